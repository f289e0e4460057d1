//! Specification of a job, as callers submit it and entries store it.
//!
//! Stored records use the field names written here, which must not change.

use cactusdoor_core::unit::Millis;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::config::QueueTerms;
use crate::name::{Label, QueueName, ServiceName};

/// Most tasks of a job, over all occurrences: a larger job could exhaust the owner's memory.
const MAX_TASKS: u64 = 20_000;
/// Longest payload, bytes, a few times what callers may send: every start order carries it.
const MAX_PAYLOAD_BYTES: usize = 16 * 1024;
/// Longest label, rack or image, bytes: start orders carry the image.
const MAX_LABEL_BYTES: usize = 256;

/// Why a job must not reach the scheduler.
#[derive(Debug, Error)]
pub enum JobSpecError {
    #[error("job does not parse")]
    Malformed(#[from] serde_json::Error),
    #[error("job has no step")]
    NoStep,
    #[error("step {0} waits for a step that does not come before it")]
    Order(usize),
    #[error("job has {0} tasks, more than {MAX_TASKS}")]
    TooLarge(u64),
    #[error("payload or a label is too long")]
    TooLong,
}

/// Resource of which a worker has too little.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    Processors,
    Memory,
    Accelerators,
}

/// Resources of a task or a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TaskNeed {
    /// Thousandths of a processor.
    pub cpu: u64,
    /// MiB.
    pub memory: u64,
    pub accelerators: u64,
}

impl TaskNeed {
    /// More than any worker has: stands for a need that is not known.
    pub const UNBOUNDED: Self = Self { cpu: u64::MAX, memory: u64::MAX, accelerators: u64::MAX };

    #[must_use]
    pub fn fits(&self, free: &Self) -> bool {
        self.shortage(free).is_none()
    }

    /// The first resource of which `free` has too little.
    #[must_use]
    pub fn shortage(&self, free: &Self) -> Option<Shortage> {
        if self.cpu > free.cpu {
            Some(Shortage::Processors)
        } else if self.memory > free.memory {
            Some(Shortage::Memory)
        } else if self.accelerators > free.accelerators {
            Some(Shortage::Accelerators)
        } else {
            None
        }
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

/// A step of a job: tasks with the same requirements.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    pub tasks: u32,
    pub need: TaskNeed,
    /// The caller's estimate of a task's run time, ms.
    pub estimate: Millis,
    /// Steps that must be done before this one.
    pub after: Vec<u16>,
    /// Whether a stopped task can resume from its last checkpoint.
    pub checkpoints: bool,
    /// All tasks of the step must run at the same time.
    pub gang: bool,
    /// Prefers workers of a single rack, since it runs slower across racks.
    pub one_rack: bool,
    /// Label that the worker must have.
    pub label: Option<Label>,
    /// Rack where the data is.
    pub rack: Option<Label>,
    /// Most tasks of the step on one worker; 0 for any number.
    pub per_worker: u32,
    /// Several copies of a task may run at the same time.
    pub speculative: bool,
    /// Runs until the job is cancelled.
    pub endless: bool,
    /// Image that the tasks run; tasks of one image interfere alike.
    pub image: Option<Label>,
    /// Latency bound of a serving task, ms; 0 for a task that serves no users.
    #[serde(rename = "target")]
    pub latency_bound: Millis,
    /// Best-effort: uses only processors that other tasks leave idle.
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// Most tasks that the system's own orders may stop at the same time.
    pub may_miss: Option<u32>,
}

impl StepSpec {
    /// Resources that a task reserves; a best-effort task reserves no processors.
    #[must_use]
    pub fn reserved(&self) -> TaskNeed {
        TaskNeed { cpu: if self.best_effort { 0 } else { self.need.cpu }, ..self.need }
    }
}

/// A job as an entry stored it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    pub queue: QueueName,
    /// Service of the queue when the job was accepted.
    pub service: ServiceName,
    /// Terms of the queue when the job was accepted, which apply once it is removed; `None` in
    /// records of earlier builds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub terms: Option<QueueTerms>,
    /// Opaque text that is passed to the workers.
    pub payload: String,
    pub steps: Vec<StepSpec>,
    /// Number of occurrences; 0 for a single one that starts at once.
    #[serde(default)]
    pub times: u32,
    /// Unix time of the first occurrence.
    #[serde(default)]
    pub first_due: Millis,
    /// Time between occurrences, ms.
    #[serde(default)]
    pub interval: Millis,
    /// Unix time at which the entry accepted the job.
    pub accepted: Millis,
}

impl JobSpec {
    /// Decodes and checks a stored job.
    pub fn decode(value: &[u8]) -> Result<Self, JobSpecError> {
        let spec: Self = serde_json::from_slice(value)?;
        spec.validate()?;
        Ok(spec)
    }

    /// Checks that the job fits into an owner, and that each step can start.
    pub fn validate(&self) -> Result<(), JobSpecError> {
        if self.steps.is_empty() {
            return Err(JobSpecError::NoStep);
        }
        for (index, step) in self.steps.iter().enumerate() {
            if step.after.iter().any(|before| usize::from(*before) >= index) {
                return Err(JobSpecError::Order(index));
            }
            let labels = [&step.label, &step.rack, &step.image];
            if labels.into_iter().flatten().any(|label| label.len() > MAX_LABEL_BYTES) {
                return Err(JobSpecError::TooLong);
            }
        }
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(JobSpecError::TooLong);
        }
        // Steps and occurrences without a task need memory too.
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.tasks.max(1))).sum();
        let tasks = tasks.saturating_mul(u64::from(self.occurrences()));
        if tasks > MAX_TASKS { Err(JobSpecError::TooLarge(tasks)) } else { Ok(()) }
    }

    /// Whether a step runs until the job is cancelled.
    #[must_use]
    pub fn is_endless(&self) -> bool {
        self.steps.iter().any(|step| step.endless)
    }

    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.times.max(1)
    }

    /// Length of the critical path by the caller's estimates, ms.
    #[must_use]
    pub fn critical_path(&self) -> Millis {
        self.chains().into_iter().max().unwrap_or_default()
    }

    /// For each step, the length of the longest chain that begins with it, by the caller's
    /// estimates, ms.
    #[must_use]
    pub fn chains(&self) -> Vec<Millis> {
        let mut chains = vec![0; self.steps.len()];
        for (index, step) in self.steps.iter().enumerate().rev() {
            // Later steps have added their chains already.
            chains[index] = step.estimate.saturating_add(chains[index]);
            for before in &step.after {
                let chain = chains[index];
                if let Some(after) = chains.get_mut(usize::from(*before)) {
                    *after = chain.max(*after);
                }
            }
        }
        chains
    }

    /// Unix time at which an occurrence may start; `None` for at once.
    #[must_use]
    pub fn due(&self, occurrence: u32) -> Option<Millis> {
        let elapsed = u64::from(occurrence).saturating_mul(self.interval);
        (self.times > 0).then(|| self.first_due.saturating_add(elapsed))
    }
}
