//! Observations about runs, for the owner's log and metrics.
//!
//! They tell what no write shows: ends and stops that the owner decided itself, and runs
//! that it did not assign. They are not stored and decide nothing.

use serde::Serialize;

use crate::forecast::LoadError;
use crate::moves::decision::MoveFigures;
use crate::name::{AgentName, JobId, RunNumber, TaskName};
use crate::scheduler::QueueScheduler;

/// Why the owner ended a run that no agent reported as ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LapseCause {
    /// The agent reported that the worker's incarnation has ended.
    WorkerEnded,
    /// The agent reported another incarnation of the worker.
    WorkerReplaced,
    /// The agent's lease expired.
    LeaseExpired,
}

impl LapseCause {
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::WorkerEnded => "worker_ended",
            Self::WorkerReplaced => "worker_replaced",
            Self::LeaseExpired => "lease_expired",
        }
    }
}

/// An observation about one run, or about the load of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunObservation {
    /// The owner ended the run itself.
    Lapsed { agent: AgentName, task: TaskName, run: RunNumber, cause: LapseCause },
    /// The worker lists a run that the owner has not assigned; its stop was ordered.
    Unassigned { agent: AgentName, task: TaskName, run: RunNumber },
    /// The run waited for its start in a data centre taken out of service; its stop was ordered.
    Withdrawn { agent: AgentName, task: TaskName, run: RunNumber },
    /// The agent's load is invalid and is not used.
    LoadRejected { agent: AgentName, error: LoadError },
    /// The first speed that the agent lists for a run with a forecast, percent.
    FirstSpeed { agent: AgentName, task: TaskName, run: RunNumber, forecast: u8, speed: u8 },
    /// The run was slow and gains by a move; its stop was ordered. `target`: agent of the worker
    /// for which its speed was forecast.
    Moved {
        agent: AgentName,
        task: TaskName,
        run: RunNumber,
        target: AgentName,
        figures: MoveFigures,
    },
    /// The run holds memory that a job of a higher priority needs; its stop was ordered.
    Preempted { agent: AgentName, task: TaskName, run: RunNumber, job: JobId },
}

impl RunObservation {
    /// Withdrawals of an agent's runs.
    pub(crate) fn withdrawn(
        agent: &AgentName,
        runs: Vec<(TaskName, RunNumber)>,
    ) -> impl Iterator<Item = Self> {
        runs.into_iter().map(|(task, run)| Self::Withdrawn { agent: agent.clone(), task, run })
    }
}

impl QueueScheduler {
    /// Observations since the last call, in order.
    pub fn take_observations(&mut self) -> Vec<RunObservation> {
        std::mem::take(&mut self.observations)
    }
}
