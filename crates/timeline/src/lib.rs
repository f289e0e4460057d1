//! Typed events with hybrid logical timestamps.
//!
//! Heartbeats, rosters and task requests carry a [`HybridTime`], so that an event which
//! caused another by such a message sorts before it, even if the wall clocks disagree. Each process
//! keeps its latest events in an [`EventLog`]; the command line fetches them from all
//! processes, merges them with [`TimelineMerge`] and selects them with [`EventFilter`].

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
