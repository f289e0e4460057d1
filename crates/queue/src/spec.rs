//! What a caller hands in.

use cactusdoor_core::unit::Millis;
use serde::{Deserialize, Serialize};

use crate::name::{Label, QueueName, ServiceName};

/// What a task takes from a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskNeed {
    /// Thousandths of a processor.
    pub cpu: u64,
    /// MiB.
    pub memory: u64,
    pub accelerators: u64,
}

impl TaskNeed {
    #[must_use]
    pub fn fits(&self, free: &Self) -> bool {
        self.cpu <= free.cpu && self.memory <= free.memory && self.accelerators <= free.accelerators
    }

    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

/// A step of a job: tasks of one shape.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    pub tasks: u32,
    pub need: TaskNeed,
    /// The caller's guess of a task's run time.
    pub estimate: Millis,
    /// Steps that must be done first.
    pub after: Vec<u16>,
    pub checkpoints: bool,
    /// The tasks work only together.
    pub gang: bool,
    /// Slower when spread over racks.
    pub one_rack: bool,
    /// Label that the worker must have.
    pub label: Option<Label>,
    /// Rack where the data is.
    pub rack: Option<Label>,
    /// Most tasks of the step on one worker; 0 for any number.
    pub per_worker: u32,
    /// Copies may run at the same time.
    pub speculative: bool,
    /// Runs until the job is cancelled.
    pub endless: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<Label>,
    /// Bound on the tail latency of a task that serves users; 0 for none.
    pub target: Millis,
    /// Uses the processors that other tasks leave idle.
    pub fills: bool,
    /// Tasks that may be away at the same time through our orders.
    pub may_miss: Option<u32>,
}

impl StepSpec {
    /// What a task takes from a worker's capacity.
    #[must_use]
    pub fn reserved(&self) -> TaskNeed {
        TaskNeed { cpu: if self.fills { 0 } else { self.need.cpu }, ..self.need }
    }
}

/// A job as its entry stored it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    pub queue: QueueName,
    /// Service of the queue when the job was accepted.
    pub service: ServiceName,
    /// Opaque text for the workers.
    pub payload: String,
    pub steps: Vec<StepSpec>,
    /// Times that the steps run; 0 for once, at once.
    #[serde(default)]
    pub times: u32,
    /// Unix time of the first occurrence.
    #[serde(default)]
    pub first_due: Millis,
    /// Between occurrences.
    #[serde(default)]
    pub interval: Millis,
    /// Unix time of the entry at acceptance.
    pub accepted: Millis,
}

impl JobSpec {
    /// Whether a step runs until the job is cancelled.
    #[must_use]
    pub fn is_endless(&self) -> bool {
        self.steps.iter().any(|step| step.endless)
    }

    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.times.max(1)
    }

    /// Longest chain of work by the caller's estimates.
    #[must_use]
    pub fn chain(&self) -> Millis {
        let mut ends: Vec<Millis> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().filter_map(|step| ends.get(usize::from(*step)));
            ends.push(before.max().copied().unwrap_or_default().saturating_add(step.estimate));
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Unix time at which an occurrence may start; `None` for at once.
    #[must_use]
    pub fn due(&self, occurrence: u32) -> Option<Millis> {
        (self.times > 0).then(|| self.first_due + u64::from(occurrence) * self.interval)
    }
}
