//! Figures of the tasks that serve, as they are now and as they will be.

use cactusdoor_core::unit::{Millis, Moment};
use indexmap::IndexMap;

use crate::name::TaskName;
use crate::pacing::{LOOK_LIMIT, ServingRun};

/// Between two figures of a worker.
const FIGURE_INTERVAL: Millis = 230;
/// Time constant of the worker's running averages, ms: what they say of the last
/// half second, fitted to how they fall after all that fills was stopped.
const FIGURE_TIME: f64 = 380.0;
/// Least share of a listed latency that the latency of now can be.
const LEAST_SETTLED: f64 = 0.15;
/// Between two figures that a trend is taken from.
const TREND_INTERVAL: Millis = 450;
/// A pace works until it is corrected: the lag of the figures and a look.
const TREND_AHEAD: Millis = 600;

/// Tail latencies without the lag of the worker's figures.
///
/// A figure is a running average, so it follows a change for a second and more.
/// What the average has taken up since the last look is the latency of that time.
#[derive(Clone, Debug, Default)]
pub(crate) struct TailFigures {
    at: Moment,
    /// Tail latencies as shares of their bounds, as listed.
    listed: IndexMap<TaskName, f64>,
}

impl TailFigures {
    /// The headrooms of now; `None` if the last look was just before.
    #[expect(clippy::cast_precision_loss, reason = "milliseconds of a few looks")]
    pub(crate) fn settle(
        &mut self,
        serving: &[ServingRun],
        now: Moment,
    ) -> Option<Vec<ServingRun>> {
        let passed = now.0.saturating_sub(self.at.0);
        if passed < FIGURE_INTERVAL {
            return None;
        }
        let kept = (-(passed as f64) / FIGURE_TIME).exp();
        let settle = |run: &ServingRun| {
            let listed = 1.0 / run.headroom;
            let before = self.listed.get(&run.task).copied().unwrap_or(listed);
            let tail = (listed - kept * before) / (1.0 - kept);
            ServingRun { headroom: 1.0 / tail.max(listed * LEAST_SETTLED), ..run.clone() }
        };
        let settled = serving.iter().map(settle).collect();
        self.at = now;
        self.listed = serving.iter().map(|run| (run.task.clone(), 1.0 / run.headroom)).collect();
        Some(settled)
    }
}

/// How the calm headrooms, those without any press, change.
#[derive(Clone, Debug, Default)]
pub(crate) struct CalmTrend {
    at: Moment,
    calm: IndexMap<TaskName, f64>,
    falls: IndexMap<TaskName, f64>,
}

impl CalmTrend {
    /// By how much each calm headroom will have fallen until a look shows it.
    #[expect(clippy::cast_precision_loss, reason = "milliseconds of a few looks")]
    pub(crate) fn follow(&mut self, serving: &[ServingRun], calm: &[f64], now: Moment) -> Vec<f64> {
        let passed = now.0.saturating_sub(self.at.0);
        if passed >= TREND_INTERVAL {
            let rate = |run: &ServingRun, calm: f64| {
                let fallen = self.calm.get(&run.task).map_or(0.0, |before| before - calm);
                let recent = if passed <= LOOK_LIMIT { fallen / passed as f64 } else { 0.0 };
                (recent * TREND_AHEAD as f64).max(0.0)
            };
            let falls = serving.iter().zip(calm);
            self.falls = falls.map(|(run, calm)| (run.task.clone(), rate(run, *calm))).collect();
            self.calm =
                serving.iter().zip(calm).map(|(run, calm)| (run.task.clone(), *calm)).collect();
            self.at = now;
        }
        serving.iter().map(|run| self.falls.get(&run.task).copied().unwrap_or(0.0)).collect()
    }
}
