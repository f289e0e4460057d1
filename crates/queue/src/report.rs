//! Messages between the agents and their owner.
//!
//! The codec between processes goes by position: the order of fields and variants
//! must not change.

use std::sync::Arc;

use cactusdoor_core::unit::{Epoch, Millis, Offset};
use serde::{Deserialize, Serialize};

use crate::interference::{InterferenceEstimates, InterferenceSample};
use crate::name::{
    AgentName, Checkpoint, DataCentre, Label, RunNumber, ServiceName, StepName, TaskName,
    WorkerIncarnation,
};
use crate::spec::TaskNeed;

/// A worker as it describes itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerInfo {
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
    pub service: ServiceName,
    pub data_centre: DataCentre,
    pub capacity: TaskNeed,
    /// The worker's kind and its rack.
    pub labels: Vec<Label>,
    /// Least time until the worker leaves, ms; `None` if it stays.
    pub leaves_in: Option<Millis>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    Done,
    Failed,
    Stopped,
    /// The lease expired, or the incarnation of the worker ended.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not start in time.
    Alone,
    /// The worker refused the start, or a stop arrived before it.
    NotStarted,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRun {
    /// Number of the end in the worker's list; 0 if the worker did not list it.
    pub number: u64,
    pub task: TaskName,
    pub run: RunNumber,
    pub end: RunEnd,
    #[serde(rename = "saved")]
    pub checkpoint: Checkpoint,
}

/// A run that the worker lists, or whose start is under way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedRun {
    pub task: TaskName,
    pub run: RunNumber,
    #[serde(rename = "saved")]
    pub checkpoint: Checkpoint,
    /// Progress, percent; `None` while the start is under way.
    pub percent: Option<u8>,
    /// Speed set by the agent, percent of full speed.
    #[serde(rename = "pace")]
    pub speed: u8,
}

/// An agent's report to the owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentReport {
    pub agent: AgentName,
    /// Identifies the process of the agent; drawn at its start.
    pub incarnation: u64,
    /// Number of this report in the incarnation; older reports are ignored.
    pub number: u64,
    /// Highest epoch that the agent has seen.
    pub epoch: Epoch,
    /// Highest number of an order received from this owner.
    pub received: u64,
    /// `None` if no worker has registered with the agent; one may run nevertheless.
    pub worker: Option<WorkerInfo>,
    /// Newest incarnation of a worker that is known to have ended.
    #[serde(rename = "gone")]
    pub ended_incarnation: Option<WorkerIncarnation>,
    /// Ends that the owner has not acknowledged yet.
    pub ended: Vec<EndedRun>,
    /// All runs of the worker; `None` if this report omits the list.
    #[serde(rename = "held")]
    pub runs: Option<Vec<ReportedRun>>,
    /// Interference samples since the last report.
    pub samples: Vec<InterferenceSample>,
    /// Longest time to wait for orders before answering, ms.
    pub wait: Millis,
}

/// An order to start a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    pub task: TaskName,
    /// Only this incarnation of the worker may start the task.
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
    pub run: RunNumber,
    #[serde(rename = "saved")]
    pub checkpoint: Checkpoint,
    pub payload: Arc<str>,
    /// Latency bound of a serving task, ms; 0 for other tasks.
    #[serde(rename = "target")]
    pub latency_bound: Millis,
    #[serde(rename = "fills")]
    pub best_effort: bool,
    pub image: Option<Label>,
    /// Thousandths of a processor.
    pub cpu: u64,
    /// Deadline of the job, Unix time; tasks of late jobs get spare headroom last.
    #[serde(rename = "due")]
    pub job_deadline: Millis,
}

/// An order of the owner to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentOrder {
    Start(StartOrder),
    Stop { task: TaskName, run: RunNumber },
}

impl AgentOrder {
    /// Size of the texts and checkpoints that the order carries, bytes.
    #[must_use]
    pub fn text_bytes(&self) -> usize {
        match self {
            Self::Start(start) => {
                let image = start.image.as_ref().map_or(0, |image| image.len());
                start.payload.len() + start.checkpoint.len() + start.task.job.len() + image
            }
            Self::Stop { task, .. } => task.job.len(),
        }
    }

    /// The run that the order is about.
    #[must_use]
    pub fn run(&self) -> (&TaskName, RunNumber) {
        match self {
            Self::Start(start) => (&start.task, start.run),
            Self::Stop { task, run } => (task, *run),
        }
    }
}

/// The owner's answer to a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReportReply {
    #[serde(rename = "Grant")]
    Lease(AgentLease),
    /// This process is not, or no longer, the owner of the queues.
    NotOwner,
}

/// An agent's lease on its worker's tasks, with orders and acknowledgements.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentLease {
    pub epoch: Epoch,
    /// Incarnation of the worker to which `acknowledged` applies.
    #[serde(rename = "life")]
    pub incarnation: Option<WorkerIncarnation>,
    /// Duration of the lease, ms, from the time at which the report was sent.
    #[serde(rename = "grant")]
    pub duration: Millis,
    /// Whether the owner's last append was confirmed recently.
    pub confirmed: bool,
    /// Offset after the newest confirmed heartbeat of the owner.
    #[serde(rename = "beacon")]
    pub heartbeat: Offset,
    /// Highest number of a stored end of the worker.
    #[serde(rename = "noted")]
    pub acknowledged: u64,
    /// Stored ends that the worker did not list, by task and run.
    #[serde(rename = "settled")]
    pub acknowledged_runs: Vec<(TaskName, RunNumber)>,
    /// Orders after `AgentReport::received`, numbered without gaps.
    pub orders: Vec<(u64, AgentOrder)>,
    /// Interference estimates; not part of every answer.
    #[serde(rename = "presses")]
    pub interference: Option<Vec<InterferenceEstimates>>,
}

/// Most serving images of a load: a worker serves a few.
pub const MAX_LOAD_IMAGES: usize = 32;

/// Load of the tasks of one serving image on a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServingLoad {
    pub image: Label,
    pub tasks: u32,
    /// Least headroom among the tasks, without the best-effort tasks beside them.
    pub baseline: f32,
    /// Expected fall of the baseline headroom in a second; 0 if it rises.
    pub fall: f32,
}

/// What a worker has to spare, as its agent measured it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerLoad {
    pub serving: Vec<ServingLoad>,
    /// Processors that best-effort tasks used in the last half second, thousandths.
    pub best_effort_cpu: u64,
    /// Time between the measurement and the sending of the report, ms.
    pub age: Millis,
}

/// A report with the worker's load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    pub report: AgentReport,
    /// `None` if the worker has not been measured.
    pub load: Option<WorkerLoad>,
}

/// Ranks of the steps with best-effort runs on a worker; lower comes first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankUpdate {
    /// Rises within an epoch.
    pub number: u64,
    pub ranks: Vec<(StepName, u64)>,
}

/// The owner's answer to a report with a load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrderedReply {
    pub reply: ReportReply,
    /// `None` if the ranks have not changed.
    pub ranks: Option<RankUpdate>,
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
