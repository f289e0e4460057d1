//! Jobs: submission, cancellation and queries.

mod actor;
mod status;

pub use actor::{CancelJob, JobActor, JobParts, ShowJob, ShowShard, SubmitJob};
