//! Work that waits for room, and the refusal of jobs that it would make useless.

use cactusdoor_core::unit::{Millis, Moment};
use serde::{Deserialize, Serialize};

use crate::config::QueueConfig;
use crate::name::ServiceName;
use crate::scheduler::QueueScheduler;
use crate::spec::JobSpec;

/// Work of the jobs of one priority that is not done, in processor-ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PriorityWork {
    pub priority: u32,
    pub best_effort: u64,
    pub reserving: u64,
}

/// Work that waits for the workers of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceBacklog {
    pub service: ServiceName,
    /// Processors, in thousandths, that best-effort work used on average while work waited;
    /// `None` if no work has waited.
    pub rate: Option<u64>,
    pub work: Vec<PriorityWork>,
}

/// Work that waits in the whole fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backlog {
    pub services: Vec<ServiceBacklog>,
}

/// Whether an entry accepts a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    Accept,
    /// The job would complete when it is useless.
    Refuse {
        /// Expected time until the job would be complete, ms.
        expected: Millis,
        /// Time after which the job would be in time, ms.
        retry_after: Millis,
    },
}

/// Decides whether an entry accepts a job; `age`: age of the backlog, ms.
#[must_use]
pub fn admit(
    _backlog: &Backlog,
    _age: Millis,
    _spec: &JobSpec,
    _config: &QueueConfig,
) -> Admission {
    Admission::Accept
}

impl QueueScheduler {
    /// The work that waits; `None` unless refusals are switched on.
    pub fn backlog(&mut self, _now: Moment) -> Option<Backlog> {
        None
    }
}
