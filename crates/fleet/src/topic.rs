//! Topics of the scheduler in the store, and the owner's producer name.

/// Accepted jobs and cancels, by job.
pub const REQUESTS: &str = "keyed.requests";
/// Tasks, ends of jobs and elections; only candidates and the owner append to it.
pub const TASKS: &str = "keyed.tasks";
/// The owner's heartbeat.
pub const OWNER: &str = "keyed.owner";
/// What the owner has learned, for its successor.
pub const LEARNED: &str = "keyed.learned";
/// Producer name of the owner's appends; a higher epoch fences those of a lower one.
pub const OWNER_PRODUCER: &str = "owner";
