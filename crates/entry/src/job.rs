//! Jobs: submission, cancellation and queries. Only owners place their tasks.

mod actor;
mod status;

pub use actor::{CancelJob, GetJob, GetShardJobs, JobActor, JobParts, SubmitJob};
