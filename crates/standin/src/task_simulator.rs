//! Simulated execution of the tasks of one worker.
//!
//! The caller passes the time in; the simulator reads no clock. Each advance
//! computes the exact time at which a task completed or its lease expired, so
//! results do not depend on how often the caller advances it.

use cactusdoor_core::job::TaskId;
use cactusdoor_core::name::TaskKind;
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::Token;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::history::UnixMicros;

/// Lowest speed of a task; interference never stops it.
const MIN_SPEED_PERCENT: f64 = 5.0;

/// Slowdown that tasks of one kind cause in tasks of another on the same VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PairInterference {
    pub victim: TaskKind,
    pub noisy: TaskKind,
    /// Slowdown if the noisy task needs all processors of the VM; proportionally less otherwise.
    pub slowdown_percent: f64,
}

/// Actual run time and usage of a task kind, in percent of the declared ones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindBehaviour {
    pub kind: TaskKind,
    pub run_time_percent: f64,
    pub usage_percent: f64,
}

/// Interference between task kinds, and deviations from their declared resources.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TaskBehaviour {
    pub interference: Vec<PairInterference>,
    pub kinds: Vec<KindBehaviour>,
}

impl TaskBehaviour {
    fn kind(&self, kind: &TaskKind) -> Option<&KindBehaviour> {
        self.kinds.iter().find(|behaviour| behaviour.kind == *kind)
    }

    /// Actual run time in percent of the declared one.
    #[must_use]
    pub fn run_time_percent(&self, kind: &TaskKind) -> f64 {
        self.kind(kind).map_or(100.0, |behaviour| behaviour.run_time_percent)
    }

    /// Actual usage in percent of the declared need.
    #[must_use]
    pub fn usage_percent(&self, kind: &TaskKind) -> f64 {
        self.kind(kind).map_or(100.0, |behaviour| behaviour.usage_percent)
    }
}

/// State of a running task.
#[derive(Clone, Debug)]
pub struct SimulatedTask {
    pub task: TaskId,
    pub kind: TaskKind,
    pub need: ResourceVector,
    pub throttle_percent: u8,
    pub lease_end: UnixMicros,
    /// Progress, in microseconds of run time at full speed.
    pub done_us: f64,
    /// Total run time at full speed, in microseconds; absent for an endless task.
    pub total_us: Option<f64>,
    /// Whether it fails, instead of finishing, at `total_us`.
    pub fails: bool,
}

/// The end of a task by completion or by expiry of its lease.
#[derive(Clone, Debug)]
pub struct TimedEnd {
    pub time: UnixMicros,
    pub token: Token,
    pub task: SimulatedTask,
    pub cause: EndCause,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndCause {
    Completed,
    LeaseExpired,
}

/// Running tasks and the time up to which they are simulated.
#[derive(Debug, Default)]
pub struct TaskSimulator {
    pub capacity: ResourceVector,
    pub behaviour: TaskBehaviour,
    pub running: IndexMap<Token, SimulatedTask>,
    now: UnixMicros,
}

impl TaskSimulator {
    #[must_use]
    pub fn new(capacity: ResourceVector, behaviour: TaskBehaviour, now: UnixMicros) -> Self {
        Self { capacity, behaviour, running: IndexMap::new(), now }
    }

    /// The time up to which the tasks are simulated.
    #[must_use]
    pub fn now(&self) -> UnixMicros {
        self.now
    }

    /// Sum of the needs of the running tasks.
    #[must_use]
    pub fn committed(&self) -> ResourceVector {
        let needs = self.running.values().map(|task| task.need);
        let add = |sum: ResourceVector, need| sum.checked_add(need).unwrap_or(self.capacity);
        needs.fold(ResourceVector::ZERO, add)
    }

    /// Speed of a task in percent, after throttling and interference; 0 if it is not running.
    #[must_use]
    pub fn speed_percent(&self, token: Token) -> f64 {
        let Some(victim) = self.running.get(&token) else { return 0.0 };
        let others = self.running.iter().filter(|(other, _)| **other != token);
        let speed_factor: f64 =
            others.map(|(_, noisy)| 1.0 - self.slowdown(victim, noisy)).product();
        let speed = f64::from(victim.throttle_percent) * speed_factor.max(0.0);
        speed.max(MIN_SPEED_PERCENT)
    }

    /// Slowdown of `victim` by `noisy`, from 0 to 1.
    fn slowdown(&self, victim: &SimulatedTask, noisy: &SimulatedTask) -> f64 {
        let pairs = &self.behaviour.interference;
        let pair = pairs.iter().find(|pair| pair.victim == victim.kind && pair.noisy == noisy.kind);
        let share = noisy.need.processors as f64 / (self.capacity.processors.max(1)) as f64;
        let load = share * f64::from(noisy.throttle_percent) / 100.0;
        pair.map_or(0.0, |pair| (pair.slowdown_percent / 100.0 * load).clamp(0.0, 1.0))
    }

    /// Advances to `to` and returns the tasks that ended by then, in order of time.
    pub fn advance(&mut self, to: UnixMicros) -> Vec<TimedEnd> {
        let mut ends = Vec::new();
        while let Some((time, token, cause)) = self.next_end().filter(|(time, ..)| *time <= to) {
            self.progress_to(time);
            if let Some(task) = self.running.shift_remove(&token) {
                ends.push(TimedEnd { time, token, task, cause });
            }
        }
        self.progress_to(to);
        ends
    }

    /// The earliest end at the current speeds; lease expiry wins over completion at the same time.
    fn next_end(&self) -> Option<(UnixMicros, Token, EndCause)> {
        let ends = self.running.iter().map(|(&token, task)| {
            let expiry = (task.lease_end.max(self.now), token, EndCause::LeaseExpired);
            let Some(total) = task.total_us else { return expiry };
            let remaining = (total - task.done_us).max(0.0) * 100.0 / self.speed_percent(token);
            let completed = self.now.saturating_add(remaining.ceil() as u64);
            if completed < expiry.0 { (completed, token, EndCause::Completed) } else { expiry }
        });
        ends.min_by_key(|(time, ..)| *time)
    }

    /// Adds the progress until `to` at the current speeds.
    fn progress_to(&mut self, to: UnixMicros) {
        let elapsed = to.saturating_sub(self.now) as f64;
        let speeds: Vec<f64> = self.running.keys().map(|&t| self.speed_percent(t)).collect();
        for (task, speed) in self.running.values_mut().zip(speeds) {
            task.done_us += elapsed * speed / 100.0;
        }
        self.now = self.now.max(to);
    }
}
