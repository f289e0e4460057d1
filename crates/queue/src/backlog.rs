//! Work that waits for room, and the refusal of jobs that it would make useless.
//!
//! The owner sums the remaining work of its jobs and sends the sums to the entries; an entry
//! decides with them whether it accepts a job.

mod admission;
mod index;
mod rate;
mod tracking;

use cactusdoor_core::unit::Millis;
use serde::{Deserialize, Serialize};

pub use self::admission::{
    AcceptedWork, Admission, CompletionForecast, RoomRefusal, admit, forecast,
};
pub(crate) use self::index::BacklogIndex;
use crate::name::ServiceName;
use crate::spec::StepSpec;

/// Most work of one task that counts, processor-ms: 1,000 processors for 11 days. The sums over
/// all tasks of an owner fit into their types with it.
const MAX_TASK_WORK: u64 = 1_000_000_000_000;

/// Work of the jobs of one priority that is not done, in processor-ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PriorityWork {
    pub priority: u32,
    pub best_effort: u64,
    pub reserving: u64,
}

/// Best-effort work that has a value until some time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimedWork {
    /// Processor-ms.
    pub work: u64,
    /// Remaining time, ms, on average over the work.
    pub remaining: Millis,
}

/// Best-effort work of jobs of one priority and similar size.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassWork {
    pub priority: u32,
    /// Class of the remaining work of the jobs; see [`size_class`].
    pub size: u32,
    /// Jobs that can still be in time; remaining: until they must be done.
    pub in_time: TimedWork,
    /// Jobs that can only be late; remaining: until they are useless.
    pub useful: TimedWork,
}

/// Work that waits for the workers of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceBacklog {
    pub service: ServiceName,
    /// Best-effort work that was done while work waited, by the estimates of the callers:
    /// thousandths of a processor-ms in a ms. `None` if no work has waited for long enough.
    pub rate: Option<u64>,
    /// All work, for operators.
    pub work: Vec<PriorityWork>,
    /// Best-effort work that still has a value.
    pub classes: Vec<ClassWork>,
}

/// Work that waits in the whole fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backlog {
    /// Whether the owner serves smaller jobs first.
    pub ordered: bool,
    pub services: Vec<ServiceBacklog>,
}

/// Class of a job's best-effort work in processor-ms; each covers a factor of 4.
#[must_use]
pub fn size_class(work: u64) -> u32 {
    work.max(1).ilog2() / 2
}

/// Work of one task of a step by the caller's estimate, processor-ms. A step without an end has
/// no amount of work.
#[must_use]
pub fn task_work(step: &StepSpec) -> u64 {
    if step.endless {
        return 0;
    }
    let work = u128::from(step.need.cpu) * u128::from(step.estimate) / 1_000;
    u64::try_from(work).unwrap_or(u64::MAX).min(MAX_TASK_WORK)
}
