//! The system's own topics in the store.

/// Accepted jobs and cancels, by job.
pub const REQUESTS: &str = "keyed.requests";
/// Tasks, ends of jobs and elections; appended to only by the owner.
pub const TASKS: &str = "keyed.tasks";
/// The owner's beacon.
pub const OWNER: &str = "keyed.owner";
/// Producer of the owner's appends; epochs fence it.
pub const OWNER_PRODUCER: &str = "owner";
