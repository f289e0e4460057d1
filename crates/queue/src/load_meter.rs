//! The agent's measurement of what its worker has to spare.
//!
//! Keeps the newest poll's baseline headrooms by serving image, for the reports to the owner.
//! Decides no speeds.

use cactusdoor_core::unit::{Millis, Moment};
use indexmap::IndexMap;

use crate::interference::InterferenceModel;
use crate::latency::{BaselineTrend, TREND_HORIZON, UseEstimator};
use crate::name::Label;
use crate::report::{MAX_LOAD_IMAGES, ServingLoad, WorkerLoad};
use crate::throttling::{BestEffortRun, ServingRun};

/// Age, ms, from which a measurement is not reported: several polls have failed, and the owner
/// no longer uses it alone.
const MAX_MEASUREMENT_AGE: Millis = 3_000;

/// The newest measurement of a worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadMeter {
    trend: BaselineTrend,
    usage: UseEstimator,
    /// `None` before the first measurement.
    newest: Option<Measurement>,
}

#[derive(Clone, Debug)]
struct Measurement {
    at: Moment,
    serving: Vec<ServingLoad>,
    /// Share of the worker's processors that best-effort tasks used.
    used: f64,
}

impl LoadMeter {
    /// Records the baseline headrooms of a poll. `serving`: with current headrooms.
    pub(crate) fn record(
        &mut self,
        model: &InterferenceModel,
        serving: &[ServingRun],
        best_effort: &[BestEffortRun],
        now: Moment,
    ) {
        let used = self.usage.estimate(best_effort, now);
        let baseline: Vec<f64> = serving
            .iter()
            .map(|run| {
                let lost = best_effort.iter().zip(&used).map(|(other, used)| {
                    model.coefficient(run.image.as_ref(), other.image.as_ref()) * used
                });
                run.headroom + lost.sum::<f64>()
            })
            .collect();
        let falls = self.trend.update(serving, &baseline, now);
        let mut images: IndexMap<&Label, ServingLoad> = IndexMap::new();
        for (run, (baseline, fall)) in serving.iter().zip(baseline.iter().zip(falls)) {
            let Some(image) = &run.image else { continue };
            let load = images.entry(image).or_insert_with(|| unmeasured(image));
            load.tasks += 1;
            // The fall belongs to the task with the least headroom.
            if narrow(*baseline) < load.baseline {
                load.baseline = narrow(*baseline);
                load.fall = narrow(per_second(fall));
            }
        }
        let mut serving: Vec<_> = images.into_values().collect();
        serving.sort_by(|one, other| one.baseline.total_cmp(&other.baseline));
        serving.truncate(MAX_LOAD_IMAGES);
        let used = best_effort.iter().map(|run| run.used).sum();
        self.newest = Some(Measurement { at: now, serving, used });
    }

    /// The newest measurement as it is at `now`; `None` if it is too old. `capacity`:
    /// processors of the worker, thousandths.
    pub(crate) fn load(&self, capacity: u64, now: Moment) -> Option<WorkerLoad> {
        let newest = self.newest.as_ref()?;
        let age = now.0.saturating_sub(newest.at.0);
        (age <= MAX_MEASUREMENT_AGE).then(|| WorkerLoad {
            serving: newest.serving.clone(),
            best_effort_cpu: thousandths(newest.used, capacity),
            age,
        })
    }
}

fn unmeasured(image: &Label) -> ServingLoad {
    ServingLoad { image: image.clone(), tasks: 0, baseline: f32::INFINITY, fall: 0.0 }
}

/// A fall within [`TREND_HORIZON`] as a fall within a second.
#[expect(clippy::cast_precision_loss, reason = "less than a second in ms")]
fn per_second(fall: f64) -> f64 {
    fall * 1_000.0 / TREND_HORIZON as f64
}

#[expect(clippy::cast_possible_truncation, reason = "headrooms need no more precision")]
fn narrow(value: f64) -> f32 {
    value as f32
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "saturates, and is not negative"
)]
fn thousandths(share: f64, capacity: u64) -> u64 {
    (share * capacity as f64).round() as u64
}
