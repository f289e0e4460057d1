//! How fast an agent lets tasks that fill idle processors run, so that the
//! tasks that serve users beside them meet their bound.

use crate::name::{RunNumber, TaskName};

/// Full speed, percent.
pub const FULL_PACE: u8 = 100;
/// A tail latency above this share of its bound slows the tasks that fill.
const HIGH_PERCENT: u64 = 90;
/// Below this share of the bound they speed up again.
const LOW_PERCENT: u64 = 60;
/// Speed that is given back at once, percent.
const RISE: u8 = 15;
/// Slower than this is a standstill, percent.
const LEAST: u8 = 10;

/// A running task that serves users.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServingLoad {
    /// Tail latency of the last half second, ms.
    pub tail: u64,
    /// Bound on it, ms.
    pub target: u64,
}

/// A call to set the pace of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PaceCall {
    pub task: TaskName,
    pub run: RunNumber,
    pub percent: u8,
}

/// The pace of all tasks that fill on one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FillPace {
    pub percent: u8,
}

impl Default for FillPace {
    fn default() -> Self {
        Self { percent: FULL_PACE }
    }
}

impl FillPace {
    /// Follows the newest figures: halves when a bound is near, rises slowly.
    pub fn follow(&mut self, serving: &[ServingLoad]) {
        let over = |load: &ServingLoad| load.tail * 100 > load.target * HIGH_PERCENT;
        let under = |load: &ServingLoad| load.tail * 100 < load.target * LOW_PERCENT;
        if serving.iter().any(over) {
            let half = self.percent / 2;
            self.percent = if half < LEAST { 0 } else { half };
        } else if serving.iter().all(under) {
            self.percent = self.percent.saturating_add(RISE).min(FULL_PACE);
        }
    }
}
