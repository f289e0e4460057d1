//! Calls to the owner of the queues.

use cactusdoor_core::unit::{Epoch, Millis};
use cactusdoor_queue::name::{JobId, QueueName};
use cactusdoor_queue::report::{AgentReport, JobState, ReportReply};
use serde::{Deserialize, Serialize};

/// Served by every agent; only the owner's answers count.
#[tarpc::service]
pub trait QueueService {
    /// From an agent; waits for orders.
    async fn report(report: AgentReport) -> ReportReply;
    /// From an entry; waits for changes of jobs.
    async fn watch(request: WatchRequest) -> Option<WatchReply>;
    /// From an entry that does not know a job; answers once all requests that
    /// were stored before the call have been read.
    async fn find(job: JobId) -> FindReply;
    /// From an entry that the platform's store turns away.
    async fn store(requests: Vec<RelayedRequest>) -> StoreReply;
}

/// A request to store, by key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedRequest {
    pub key: String,
    pub value: Vec<u8>,
}

/// What became of relayed requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply {
    Stored,
    /// Not stored by this call.
    NotStored,
    /// Perhaps stored, or later.
    Unknown,
}

/// Asks for the changes after a position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchRequest {
    /// Epoch that `from` counts in.
    pub epoch: Epoch,
    pub from: u64,
    /// Pending figures that the entry has, by their number.
    pub pending: u64,
    /// Longest wait for a change.
    pub wait: Millis,
}

/// Changes of jobs in the order in which they were stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchReply {
    pub epoch: Epoch,
    /// Whether the owner's last append was confirmed recently.
    pub confirmed: bool,
    pub next: u64,
    pub states: Vec<(JobId, JobState)>,
    /// Number of the pending figures, and the figures if they have changed.
    pub pending: (u64, Option<Vec<(QueueName, u64)>>),
}

/// What the owner knows of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FindReply {
    Known(JobState),
    /// No such job has been stored.
    Unknown,
    NotOwner,
}
