//! Estimates for serving tasks: their current tail latency and the trend of their
//! baseline headroom.
//!
//! Corrects the lag of the worker's running averages; decides no speeds.

use cactusdoor_core::unit::{Millis, Moment};
use indexmap::IndexMap;

use crate::name::TaskName;
use crate::throttling::{BestEffortRun, POLL_GAP_LIMIT, ServingRun};

/// Least time between two measurements of a worker, ms.
const MEASUREMENT_INTERVAL: Millis = 230;
/// Time constant, ms, with which the worker's running averages fall once all best-effort
/// tasks have stopped; they cover about the last half second.
const AVERAGE_TIME: f64 = 380.0;
/// Least estimated latency as a share of the listed one.
const MIN_CURRENT_SHARE: f64 = 0.15;
/// Least time between two measurements of a trend, ms.
const TREND_INTERVAL: Millis = 450;
/// Time for which a trend is extrapolated, ms: a speed can be corrected only after the lag
/// of the measurements and one poll.
pub(crate) const TREND_HORIZON: Millis = 600;

/// Estimates current tail latencies from the worker's lagging averages.
///
/// A listed latency is a running average, so it follows a change for a second and more.
/// The change of the average since the last poll gives the latency in that time.
#[derive(Clone, Debug, Default)]
pub(crate) struct LatencyEstimator {
    at: Moment,
    /// Tail latencies as shares of their bounds, as listed.
    listed: IndexMap<TaskName, f64>,
}

impl LatencyEstimator {
    /// Current headrooms; `None` if the worker has not measured since the last poll.
    #[expect(clippy::cast_precision_loss, reason = "milliseconds of a few polls")]
    pub(crate) fn estimate(
        &mut self,
        serving: &[ServingRun],
        now: Moment,
    ) -> Option<Vec<ServingRun>> {
        let passed = now.0.saturating_sub(self.at.0);
        if passed < MEASUREMENT_INTERVAL {
            return None;
        }
        let decay = (-(passed as f64) / AVERAGE_TIME).exp();
        let estimate = |run: &ServingRun| {
            let listed = 1.0 / run.headroom;
            let before = self.listed.get(&run.task).copied().unwrap_or(listed);
            let tail = (listed - decay * before) / (1.0 - decay);
            ServingRun { headroom: 1.0 / tail.max(listed * MIN_CURRENT_SHARE), ..run.clone() }
        };
        let current = serving.iter().map(estimate).collect();
        self.at = now;
        self.listed = serving.iter().map(|run| (run.task.clone(), 1.0 / run.headroom)).collect();
        Some(current)
    }
}

/// Estimates the processors that best-effort tasks use from lagging averages, as
/// [`LatencyEstimator`] estimates latencies: without it, the baseline headroom seems to fall
/// after each start and to rise after each end.
#[derive(Clone, Debug, Default)]
pub(crate) struct UseEstimator {
    at: Moment,
    /// Shares of the processors, as listed.
    listed: IndexMap<TaskName, f64>,
}

impl UseEstimator {
    /// Current shares of the processors, at most those at full speed.
    #[expect(clippy::cast_precision_loss, reason = "milliseconds of a few polls")]
    pub(crate) fn estimate(&mut self, best_effort: &[BestEffortRun], now: Moment) -> Vec<f64> {
        let passed = now.0.saturating_sub(self.at.0).max(1);
        let decay = (-(passed as f64) / AVERAGE_TIME).exp();
        let estimate = |run: &BestEffortRun| {
            let before = self.listed.get(&run.task).copied().unwrap_or_default();
            let current = (run.used - decay * before) / (1.0 - decay);
            current.clamp(0.0, run.share.max(run.used))
        };
        let current = best_effort.iter().map(estimate).collect();
        self.at = now;
        self.listed = best_effort.iter().map(|run| (run.task.clone(), run.used)).collect();
        current
    }
}

/// Trend of the baseline headrooms, those without any interference.
#[derive(Clone, Debug, Default)]
pub(crate) struct BaselineTrend {
    at: Moment,
    baseline: IndexMap<TaskName, f64>,
    falls: IndexMap<TaskName, f64>,
}

impl BaselineTrend {
    /// Expected fall of each baseline headroom within `TREND_HORIZON`.
    #[expect(clippy::cast_precision_loss, reason = "milliseconds of a few polls")]
    pub(crate) fn update(
        &mut self,
        serving: &[ServingRun],
        baseline: &[f64],
        now: Moment,
    ) -> Vec<f64> {
        let passed = now.0.saturating_sub(self.at.0);
        if passed >= TREND_INTERVAL {
            let rate = |run: &ServingRun, baseline: f64| {
                let fallen = self.baseline.get(&run.task).map_or(0.0, |before| before - baseline);
                let recent = if passed <= POLL_GAP_LIMIT { fallen / passed as f64 } else { 0.0 };
                (recent * TREND_HORIZON as f64).max(0.0)
            };
            let falls = serving.iter().zip(baseline);
            self.falls =
                falls.map(|(run, baseline)| (run.task.clone(), rate(run, *baseline))).collect();
            self.baseline = serving
                .iter()
                .zip(baseline)
                .map(|(run, baseline)| (run.task.clone(), *baseline))
                .collect();
            self.at = now;
        }
        serving.iter().map(|run| self.falls.get(&run.task).copied().unwrap_or(0.0)).collect()
    }
}
