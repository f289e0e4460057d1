//! Whether a run gains enough by a move to another worker.
//!
//! A pure function of the run's figures, the forecast for the other worker and the times that
//! a move takes.

use cactusdoor_core::unit::Millis;

use crate::features::SchedulingFeatures;
use crate::throttling::FULL_SPEED;

/// Time to report an end and to place the task again, ms: an immediate report and an append.
const PLACEMENT_TIME: Millis = 300;
/// Least gain of a move, ms: the error of an expected time of a few seconds.
const MIN_GAIN: Millis = 1_000;
/// Least forecast speed on the other worker, percent: it leaves room for a rise of the load.
const MIN_FORECAST: u8 = 75;
/// Greatest progress, percent, of a moved run without checkpoints, as all of it is lost.
const RESTART_PERCENT: u8 = 10;

/// Figures of a slow run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MoveCandidate {
    /// The caller's estimate of the run time at full speed, ms.
    pub estimate: Millis,
    /// Progress of the task, percent.
    pub percent: u8,
    /// Progress that its newest checkpoint holds, percent.
    pub checkpoint_percent: u8,
    /// Whether a stopped run can resume from its last checkpoint.
    pub checkpoints: bool,
    /// Newest listed speed, percent.
    pub speed: u8,
    /// Time until the job is useless, ms.
    pub useful_for: Millis,
}

/// Why a run is moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MoveFigures {
    /// Newest listed speed, percent.
    pub speed: u8,
    /// Expected time to the end on the present worker, ms.
    pub here: Millis,
    /// Expected time to the end if the run is moved, ms.
    pub there: Millis,
}

impl MoveCandidate {
    /// Whether a move may gain enough on a worker without any load.
    #[must_use]
    pub fn may_gain(&self, features: &SchedulingFeatures) -> bool {
        self.decide(FULL_SPEED, features).is_some()
    }

    /// The figures of a move to a worker with this forecast speed, percent; `None` if the run
    /// stays.
    #[must_use]
    pub fn decide(&self, forecast: u8, features: &SchedulingFeatures) -> Option<MoveFigures> {
        if forecast < MIN_FORECAST || (!self.checkpoints && self.percent > RESTART_PERCENT) {
            return None;
        }
        let here = self.time_here();
        let there = self.time_there(forecast, features);
        let gain = here.saturating_sub(there);
        let gains = gain >= MIN_GAIN && gain.saturating_mul(2) >= here;
        gains.then_some(MoveFigures { speed: self.speed, here, there })
    }

    fn time_here(&self) -> Millis {
        at_speed(self.work(self.percent), self.speed).min(self.useful_for)
    }

    fn time_there(&self, forecast: u8, features: &SchedulingFeatures) -> Millis {
        let kept = if self.checkpoints { self.checkpoint_percent.min(self.percent) } else { 0 };
        let pause = features.stop_run.saturating_add(features.restore);
        let pause = pause.saturating_add(PLACEMENT_TIME);
        at_speed(self.work(kept), forecast).saturating_add(pause)
    }

    /// Work after this progress, ms at full speed.
    fn work(&self, percent: u8) -> Millis {
        let remaining = Millis::from(FULL_SPEED.saturating_sub(percent));
        self.estimate.saturating_mul(remaining) / Millis::from(FULL_SPEED)
    }
}

/// Time that work takes at a speed, ms; the longest time for a paused run.
fn at_speed(work: Millis, speed: u8) -> Millis {
    let scaled = work.saturating_mul(Millis::from(FULL_SPEED));
    scaled.checked_div(Millis::from(speed)).unwrap_or(Millis::MAX)
}
