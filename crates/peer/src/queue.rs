//! RPC to the owner of the queues.
//!
//! Agents report to it, and entries follow job states, look up jobs and store requests
//! through it.

use cactusdoor_core::unit::{Epoch, Millis, Sequence};
use cactusdoor_queue::backlog::Backlog;
use cactusdoor_queue::explain::JobExplanation;
use cactusdoor_queue::name::{JobId, QueueName};
use cactusdoor_queue::report::{AgentReport, JobState, LoadReport, OrderedReply, ReportReply};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Served by the agents of `cactusdoor-fleet`; only the answers of the owner are valid.
#[tarpc::service]
pub trait QueueService {
    /// From an agent; long poll for orders.
    async fn report(report: AgentReport) -> ReportReply;
    /// From an entry; long poll for changes of job states.
    async fn watch(request: WatchRequest) -> Option<WatchReply>;
    /// From an entry that does not know a job; answered once the owner has read all
    /// requests that were stored before the call.
    async fn find(job: JobId) -> FindReply;
    /// From an entry whose requests the platform's store refuses; the owner stores them under
    /// a number of its own. Kept for entries and owners of an earlier version.
    async fn store(requests: Vec<RelayedRequest>) -> StoreReply;
    /// From an entry whose append the platform's store refuses or does not answer; the owner
    /// repeats it under the same number.
    async fn append(append: RelayedAppend) -> StoreReply;
    /// As `report`, with the worker's load; for owners whose heartbeat announces it.
    async fn report_load(report: LoadReport) -> OrderedReply;
    /// As `watch`, with the backlog; for owners whose heartbeat announces it.
    async fn watch_backlog(request: WatchRequest) -> Option<BacklogReply>;
    /// From an operator: where a job would be placed; `None` if this process is not the owner.
    async fn explain(request: ExplainRequest) -> Option<ExplainReply>;
}

/// An append of an entry: the store executes it once, whoever sends it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedAppend {
    pub producer: String,
    pub epoch: Epoch,
    pub sequence: Sequence,
    pub requests: Vec<RelayedRequest>,
}

/// A request to be stored under its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedRequest {
    pub key: String,
    pub value: Vec<u8>,
}

/// Result of storing relayed requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply {
    Stored,
    /// This call stored nothing and will not.
    NotStored,
    /// The requests may have been stored, or may be later.
    Unknown,
}

/// Asks for the job changes from a position on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchRequest {
    /// Epoch in which `from` counts.
    pub epoch: Epoch,
    pub from: u64,
    /// Version of the pending counts that the entry has.
    pub pending: u64,
    /// Longest time to wait for a change.
    pub wait: Millis,
}

/// Job changes in the order in which they were stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchReply {
    pub epoch: Epoch,
    /// Whether an append of the owner was confirmed recently.
    pub confirmed: bool,
    /// Position after the changes, `from` of the next request.
    pub next: u64,
    pub states: Vec<(JobId, JobState)>,
    /// Version of the pending counts, and the counts per queue if they have changed.
    pub pending: (u64, Option<Vec<(QueueName, u64)>>),
}

/// Job changes, and the work that waits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BacklogReply {
    pub watch: WatchReply,
    pub backlog: Option<Backlog>,
}

/// Result of looking up a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FindReply {
    Known(JobState),
    /// No such job has been stored.
    Unknown,
    NotOwner,
}

/// A job that is not submitted, to be explained.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainRequest {
    pub queue: QueueName,
    /// The job as callers submit it.
    pub body: Vec<u8>,
}

/// The explanation, or why there is none.
pub type ExplainReply = Result<JobExplanation, ExplainRefusal>;

/// Why a job is not explained.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum ExplainRefusal {
    #[error("owner places nothing now: it has no configuration, or its requests are outdated")]
    NotPlacing,
    #[error("queue is not configured")]
    UnknownQueue,
    #[error("job is larger than {0} bytes")]
    TooLarge(usize),
    #[error("job is invalid: {0}")]
    InvalidJob(String),
}
