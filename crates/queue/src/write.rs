//! Writes of the scheduler: records to store, and effects to release afterwards.

use crate::name::{AgentName, JobId, RunNumber, TaskName, WorkerIncarnation};
use crate::report::JobState;

/// An effect that is released once its write is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitEffect {
    Started {
        agent: AgentName,
        task: TaskName,
        run: RunNumber,
        /// Reserved processors of the worker after the placement, thousandths.
        reserved_cpu: u64,
        /// Expected speed of a best-effort run, percent.
        forecast: Option<u8>,
    },
    /// The worker may drop its ended runs up to this number.
    Acknowledged {
        agent: AgentName,
        incarnation: WorkerIncarnation,
        number: u64,
    },
    /// The agent may drop the end of a run that the worker did not list.
    RunAcknowledged {
        agent: AgentName,
        task: TaskName,
        run: RunNumber,
    },
    Published {
        job: JobId,
        state: JobState,
    },
}

/// A record to store, as key and value (`None` deletes the key), and its effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingWrite {
    pub record: Option<(String, Option<Vec<u8>>)>,
    pub effect: Option<CommitEffect>,
}
