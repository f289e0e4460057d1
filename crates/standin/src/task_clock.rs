//! Simulated execution of the tasks of one worker.
//!
//! Time is passed in. Between two calls the tasks proceed exactly: a task stops
//! at the end of its lease even if nobody looks at that time.

use cactusdoor_core::job::TaskId;
use cactusdoor_core::name::TaskKind;
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::Token;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::history::UnixMicros;

/// Lowest speed, in percent: interference never stops a task.
const MIN_SPEED_PERCENT: f64 = 5.0;

/// How much tasks of one kind slow down those of another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PairInterference {
    pub victim: TaskKind,
    pub noisy: TaskKind,
    /// Slowdown if the noisy tasks take the whole VM; proportionally less otherwise.
    pub slowdown_percent: f64,
}

/// How the tasks of a kind differ from their declaration, in percent of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindBehaviour {
    pub kind: TaskKind,
    pub run_time_percent: f64,
    pub usage_percent: f64,
}

/// What determines the speed of tasks.
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

    /// Real run time in percent of the declared one.
    #[must_use]
    pub fn run_time_percent(&self, kind: &TaskKind) -> f64 {
        self.kind(kind).map_or(100.0, |behaviour| behaviour.run_time_percent)
    }

    /// Real usage in percent of the declared need.
    #[must_use]
    pub fn usage_percent(&self, kind: &TaskKind) -> f64 {
        self.kind(kind).map_or(100.0, |behaviour| behaviour.usage_percent)
    }
}

/// A task that runs.
#[derive(Clone, Debug)]
pub struct SimulatedTask {
    pub task: TaskId,
    pub kind: TaskKind,
    pub need: ResourceVector,
    pub throttle_percent: u8,
    pub lease_end: UnixMicros,
    /// Undisturbed run time done, in microseconds.
    pub done_us: f64,
    /// Undisturbed run time of the whole; absent for an endless task.
    pub total_us: Option<f64>,
    /// Whether it fails when it has done `total_us`.
    pub fails: bool,
}

/// A task that the passage of time has ended.
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

/// Running tasks and the time up to which they have been advanced.
#[derive(Debug, Default)]
pub struct TaskClock {
    pub capacity: ResourceVector,
    pub behaviour: TaskBehaviour,
    pub running: IndexMap<Token, SimulatedTask>,
    now: UnixMicros,
}

impl TaskClock {
    #[must_use]
    pub fn new(capacity: ResourceVector, behaviour: TaskBehaviour, now: UnixMicros) -> Self {
        Self { capacity, behaviour, running: IndexMap::new(), now }
    }

    /// The time up to which the tasks have been advanced.
    #[must_use]
    pub fn now(&self) -> UnixMicros {
        self.now
    }

    /// Sum of what the running tasks were given.
    #[must_use]
    pub fn committed(&self) -> ResourceVector {
        let needs = self.running.values().map(|task| task.need);
        let add = |sum: ResourceVector, need| sum.checked_add(need).unwrap_or(self.capacity);
        needs.fold(ResourceVector::ZERO, add)
    }

    /// Speed of a task in percent, with its throttle and the others' interference.
    #[must_use]
    pub fn speed_percent(&self, token: Token) -> f64 {
        let Some(victim) = self.running.get(&token) else { return 0.0 };
        let others = self.running.iter().filter(|(other, _)| **other != token);
        let left: f64 = others.map(|(_, noisy)| 1.0 - self.slowdown(victim, noisy)).product();
        let speed = f64::from(victim.throttle_percent) * left.max(0.0);
        speed.max(MIN_SPEED_PERCENT)
    }

    fn slowdown(&self, victim: &SimulatedTask, noisy: &SimulatedTask) -> f64 {
        let pairs = &self.behaviour.interference;
        let pair = pairs.iter().find(|pair| pair.victim == victim.kind && pair.noisy == noisy.kind);
        let share = noisy.need.processors as f64 / (self.capacity.processors.max(1)) as f64;
        let load = share * f64::from(noisy.throttle_percent) / 100.0;
        pair.map_or(0.0, |pair| (pair.slowdown_percent / 100.0 * load).clamp(0.0, 1.0))
    }

    /// Advances to `to` and returns what ended on the way, in order of time.
    pub fn advance(&mut self, to: UnixMicros) -> Vec<TimedEnd> {
        let mut ends = Vec::new();
        while let Some((time, token, cause)) = self.next_end().filter(|(time, ..)| *time <= to) {
            self.proceed(time);
            if let Some(task) = self.running.shift_remove(&token) {
                ends.push(TimedEnd { time, token, task, cause });
            }
        }
        self.proceed(to);
        ends
    }

    /// The earliest end at the present speeds; the lease decides if both coincide.
    fn next_end(&self) -> Option<(UnixMicros, Token, EndCause)> {
        let ends = self.running.iter().map(|(&token, task)| {
            let lapse = (task.lease_end.max(self.now), token, EndCause::LeaseExpired);
            let Some(total) = task.total_us else { return lapse };
            let left = (total - task.done_us).max(0.0) * 100.0 / self.speed_percent(token);
            let completed = self.now.saturating_add(left.ceil() as u64);
            if completed < lapse.0 { (completed, token, EndCause::Completed) } else { lapse }
        });
        ends.min_by_key(|(time, ..)| *time)
    }

    fn proceed(&mut self, to: UnixMicros) {
        let elapsed = to.saturating_sub(self.now) as f64;
        let speeds: Vec<f64> = self.running.keys().map(|&t| self.speed_percent(t)).collect();
        for (task, speed) in self.running.values_mut().zip(speeds) {
            task.done_us += elapsed * speed / 100.0;
        }
        self.now = self.now.max(to);
    }
}
