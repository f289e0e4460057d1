//! Typed events with hybrid logical timestamps.
//!
//! Every message between processes carries a [`HybridTime`], so that an event
//! that could have caused another always sorts before it, whatever the wall
//! clocks say. A process keeps its latest events in an [`EventLog`]; the
//! command line fetches them from all processes and merges them.

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
