//! What agents and their owner tell each other.

use std::sync::Arc;

use cactusdoor_core::unit::{Epoch, Millis, Offset};
use serde::{Deserialize, Serialize};

use crate::name::{
    AgentName, Checkpoint, DataCentre, Label, RunNumber, ServiceName, TaskName, WorkerLife,
};
use crate::press::{PressSample, ServingFigures};
use crate::spec::TaskNeed;

/// A worker as it describes itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerState {
    pub life: WorkerLife,
    pub service: ServiceName,
    pub data_centre: DataCentre,
    pub capacity: TaskNeed,
    /// Its kind and its rack.
    pub labels: Vec<Label>,
    /// Least time until it leaves.
    pub leaves_in: Option<Millis>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    Done,
    Failed,
    Stopped,
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// A member of a gang that waited in vain for the others.
    Alone,
    /// The worker refused the start or has stopped it before it arrived.
    NotStarted,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRun {
    /// Number among the ends that the worker lists; 0 where it lists none.
    pub number: u64,
    pub task: TaskName,
    pub run: RunNumber,
    pub end: RunEnd,
    pub saved: Checkpoint,
}

/// A run that the worker lists, or whose start is under way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldRun {
    pub task: TaskName,
    pub run: RunNumber,
    pub saved: Checkpoint,
    /// Progress; `None` while the start is under way.
    pub percent: Option<u8>,
    /// Share of full speed that the agent lets it have.
    pub pace: u8,
}

/// What an agent tells the owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentReport {
    pub agent: AgentName,
    /// Drawn when the agent starts.
    pub incarnation: u64,
    /// Number of this report in the incarnation; an older one is dropped.
    pub number: u64,
    /// Highest epoch that the agent has seen.
    pub epoch: Epoch,
    /// Highest order received from this owner.
    pub received: u64,
    /// `None` if none is known, which does not say that none is up.
    pub worker: Option<WorkerState>,
    /// Newest life of a worker that is known to be over.
    pub gone: Option<WorkerLife>,
    /// Ends that the owner has not noted yet.
    pub ended: Vec<EndedRun>,
    /// The worker's whole list, if this report carries it.
    pub held: Option<Vec<HeldRun>>,
    /// What tasks that fill did to tasks that serve since the last report.
    pub samples: Vec<PressSample>,
    /// Longest wait for orders.
    pub wait: Millis,
}

/// One start of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    pub task: TaskName,
    /// Only this life of the worker may start it.
    pub life: WorkerLife,
    pub run: RunNumber,
    pub saved: Checkpoint,
    pub payload: Arc<str>,
    pub target: Millis,
    pub fills: bool,
    pub image: Option<Label>,
    /// Thousandths of a processor.
    pub cpu: u64,
    /// Unix time by which the job is to be done; later it is worth less.
    pub due: Millis,
}

/// What the owner tells an agent to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentOrder {
    Start(StartOrder),
    Stop { task: TaskName, run: RunNumber },
}

/// The owner's answer to a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReportReply {
    Grant(AgentGrant),
    /// This process does not own the queues (any more).
    NotOwner,
}

/// The right of an agent to keep its worker's tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentGrant {
    pub epoch: Epoch,
    /// Life of the worker that `noted` counts for.
    pub life: Option<WorkerLife>,
    /// From the sending of the report.
    pub grant: Millis,
    /// Whether the owner's last append was confirmed recently.
    pub confirmed: bool,
    /// Offset after the owner's newest confirmed beacon.
    pub beacon: Offset,
    /// Highest end of the worker that is stored.
    pub noted: u64,
    /// Ends without a number that were accepted, by task and run.
    pub settled: Vec<(TaskName, RunNumber)>,
    /// Orders after `AgentReport::received`, numbered without gaps.
    pub orders: Vec<(u64, AgentOrder)>,
    /// What images add to the tail latencies beside them, now and then.
    pub presses: Option<Vec<ServingFigures>>,
}

/// State of a job as callers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum JobState {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
}

impl JobState {
    #[must_use]
    pub fn has_ended(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
