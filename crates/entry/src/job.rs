//! Jobs: submission, cancellation and queries.

mod actor;
mod status;

pub use actor::{CancelJob, GetJob, GetShardJobs, JobActor, JobParts, SubmitJob};
