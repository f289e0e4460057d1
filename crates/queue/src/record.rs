//! Formats of the owner's stored records and of their keys.
//!
//! Records outlive the owner that stored them: their stored names must not change.

use cactusdoor_core::unit::{Epoch, Millis};
use serde::{Deserialize, Serialize};

use crate::name::{AgentName, Checkpoint, JobId, RunNumber, TaskName, WorkerIncarnation};
use crate::report::JobState;

/// Suffix of the key of a cancellation in the topic of requests.
const CANCEL_SUFFIX: char = '!';
/// Key of the election in the topic of tasks.
pub const ELECTION_KEY: &str = "@owner";

/// The worker on which a task was placed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedAt {
    #[serde(rename = "a")]
    pub agent: AgentName,
    #[serde(rename = "l")]
    pub incarnation: WorkerIncarnation,
}

/// Stored state of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TaskRecord {
    #[serde(rename = "r")]
    pub run: RunNumber,
    #[serde(rename = "f", skip_serializing_if = "is_zero")]
    pub failures: u32,
    #[serde(rename = "s", skip_serializing_if = "str::is_empty")]
    pub checkpoint: Checkpoint,
    #[serde(rename = "p", skip_serializing_if = "Option::is_none")]
    pub placed: Option<PlacedAt>,
    #[serde(rename = "d", skip_serializing_if = "std::ops::Not::not")]
    pub done: bool,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// Final state of a job and the time of its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobEnding {
    pub state: JobState,
    /// Unix time.
    pub at: Millis,
}

/// Result of an election: the owner of an epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerElected {
    pub epoch: Epoch,
    pub owner: AgentName,
}

/// Key of a record in the topic of requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestKey {
    Job(JobId),
    Cancel(JobId),
}

impl RequestKey {
    #[must_use]
    pub fn parse(key: &str) -> Self {
        match key.strip_suffix(CANCEL_SUFFIX) {
            Some(job) => Self::Cancel(job.into()),
            None => Self::Job(key.into()),
        }
    }

    #[must_use]
    pub fn text(&self) -> String {
        match self {
            Self::Job(job) => job.to_string(),
            Self::Cancel(job) => format!("{job}{CANCEL_SUFFIX}"),
        }
    }
}

/// Key of a record in the topic of tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskKey {
    Election,
    Task(TaskName),
    Job(JobId),
}

impl TaskKey {
    #[must_use]
    pub fn parse(key: &str) -> Self {
        if key == ELECTION_KEY {
            return Self::Election;
        }
        match key.parse() {
            Ok(task) => Self::Task(task),
            Err(_) => Self::Job(key.into()),
        }
    }
}
