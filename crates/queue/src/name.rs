//! Names of jobs, tasks, workers and agents: immutable and cheap to clone.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Id of a job, chosen by the caller and unique among jobs.
pub type JobId = Arc<str>;
/// Name of a VM, which is the name of its agent.
pub type AgentName = Arc<str>;
pub type DataCentre = Arc<str>;
/// Kind or rack of a worker; also the name of a task's image.
pub type Label = Arc<str>;
pub type QueueName = Arc<str>;
pub type ServiceName = Arc<str>;
/// Opaque progress of a task; empty for none.
pub type Checkpoint = Arc<str>;
/// Longest name of a task, bytes: the store's keys are not longer.
const MAX_TASK_NAME_BYTES: usize = 255;

/// Number of a run of a task, from 1.
pub type RunNumber = u32;

/// Incarnation of a worker: its id and its start, Unix time in ms.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WorkerIncarnation {
    pub id: Arc<str>,
    pub born: u64,
}

impl WorkerIncarnation {
    /// Whether this is a later incarnation, which shows that the other one has ended.
    #[must_use]
    pub fn succeeds(&self, other: &Self) -> bool {
        self != other && self.born >= other.born
    }
}

/// A task: `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct TaskName {
    pub job: JobId,
    pub occurrence: u32,
    pub step: u16,
    pub index: u32,
}

/// A step of one occurrence of a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StepName {
    pub job: JobId,
    pub occurrence: u32,
    pub step: u16,
}

impl StepName {
    /// Name of the step's task with this index.
    #[must_use]
    pub fn task(&self, index: u32) -> TaskName {
        TaskName { job: self.job.clone(), occurrence: self.occurrence, step: self.step, index }
    }
}

impl TaskName {
    #[must_use]
    pub fn step_name(&self) -> StepName {
        StepName { job: self.job.clone(), occurrence: self.occurrence, step: self.step }
    }
}

/// A text that is not the name of a task.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0:?} does not name a task")]
pub struct TaskNameError(pub String);

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

impl FromStr for TaskName {
    type Err = TaskNameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse(text).ok_or_else(|| TaskNameError(text.to_owned()))
    }
}

impl From<TaskName> for String {
    fn from(task: TaskName) -> Self {
        task.to_string()
    }
}

impl TryFrom<String> for TaskName {
    type Error = TaskNameError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

fn parse(text: &str) -> Option<TaskName> {
    if text.len() > MAX_TASK_NAME_BYTES {
        return None;
    }
    let mut parts = text.rsplitn(4, '.');
    let index = parts.next()?.parse().ok()?;
    let step = parts.next()?.parse().ok()?;
    let occurrence = parts.next()?.parse().ok()?;
    let job = parts.next().filter(|job| !job.is_empty())?;
    Some(TaskName { job: job.into(), occurrence, step, index })
}
