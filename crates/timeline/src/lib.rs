//! Typed events with hybrid logical timestamps.
//!
//! Heartbeats, rosters and task requests contain a [`HybridTime`]: an event of the sender
//! sorts before the events that such a message causes at the receiver, even if their wall
//! clocks disagree. Each process keeps its latest events in an [`EventLog`]; the command
//! line fetches them from all processes, merges them with [`TimelineMerge`] and selects
//! them with [`EventFilter`].

pub mod event;
pub mod filter;
pub mod hybrid;
pub mod log;
pub mod merge;

pub use event::{EventKind, TimelineEvent};
pub use filter::{EventFilter, EventSubject};
pub use hybrid::{HybridClock, HybridTime};
pub use log::{EventLog, EventPage};
pub use merge::TimelineMerge;
