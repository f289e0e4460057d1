//! Throttling of an agent's best-effort tasks, so that the serving tasks beside them
//! meet their latency bound.
//!
//! Each poll of the worker gives the headroom of every serving task and the
//! processors that every best-effort task has used since the last poll. From these
//! and the learned interference coefficients, the controller computes how much the
//! best-effort tasks may use. Spare headroom goes first to jobs that can still meet their
//! deadline, then to the tasks that need the least of it, and among equals to those
//! nearest their end. Where the owner orders the steps, the time of a task in this order counts
//! beside the headroom that it needs.
//! Only best-effort tasks are throttled.

use cactusdoor_core::unit::{Millis, Moment};
use indexmap::IndexMap;

use crate::interference::{
    InterferenceModel, InterferenceSample, OVERLOADED_HEADROOM, ShareChange,
};
use crate::latency::{BaselineTrend, LatencyEstimator};
use crate::load_meter::LoadMeter;
use crate::name::{Label, RunNumber, TaskName};
use crate::report::WorkerLoad;

/// Full speed, percent.
pub const FULL_SPEED: u8 = 100;
/// Headroom that throttling leaves to serving tasks beyond the trend of the load: covers
/// the error of the interference coefficients.
pub const TARGET_HEADROOM: f64 = 1.1;
/// As [`TARGET_HEADROOM`] where placements rest on reported headroom: the forecast keeps a reserve,
/// so throttling corrects less. On a day with an outage, 30 best-effort jobs were in time with 1.0 and
/// 22 with 1.1, and serving tasks were over their bounds or slowed down for 484 and 419 s.
const FORECAST_TARGET_HEADROOM: f64 = 1.0;
/// Time in the owner's order, ms, by which a run is served later if it needs e times the headroom:
/// in strict order, runs that need much leave others stalled, and fewer jobs were in time (18
/// against 29 on a day with an outage).
const NEED_TIME: f64 = 5_000.0;
/// Least need that is distinguished.
const MIN_NEED: f64 = 1e-6;
/// Loss of headroom below which a best-effort task is not throttled.
pub(crate) const NEGLIGIBLE: f64 = 0.05;
/// Least time between two samples, ms: a measurement covers the last half second.
const SAMPLE_INTERVAL: Millis = 500;
/// Most time between two polls that are compared, ms: over a longer time the load changes
/// too much.
pub(crate) const POLL_GAP_LIMIT: Millis = 1_600;
/// Least change of a processor share for which a sample is sent.
const SAMPLE_CHANGE: f32 = 0.01;
/// Share of the time for which a bound may be missed, in percent, after which all
/// best-effort tasks are paused: measurements lag by half a second, a poll by 250 ms,
/// and a new speed takes effect 100 ms later.
const PAUSE_PERCENT: Millis = 35;
/// A task ranks by its interference times the difference of this and its progress (0 to
/// 1). Above 1, so that images with much interference rank last until their tasks end.
const RANK_OFFSET: f64 = 1.1;
/// Share of a rise that one poll allows if the headroom does not allow full speed.
const RISE_SHARE: f64 = 0.6;
/// Granularity of speeds, percent.
const SPEED_STEP: u8 = 5;
/// Least rise for which a call is made, percent.
const MIN_RISE: u8 = 10;

/// A call that sets the speed of a task, in percent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ThrottleCall {
    pub task: TaskName,
    pub run: RunNumber,
    pub percent: u8,
}

/// Calls and samples that result from one poll.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ThrottleUpdate {
    pub calls: Vec<ThrottleCall>,
    pub samples: Vec<InterferenceSample>,
}

/// A running serving task.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingRun {
    pub task: TaskName,
    pub image: Option<Label>,
    /// Latency bound divided by tail latency.
    pub headroom: f64,
}

/// A running best-effort task.
#[derive(Clone, Debug, PartialEq)]
pub struct BestEffortRun {
    pub task: TaskName,
    pub run: RunNumber,
    pub image: Option<Label>,
    /// Processors at full speed, as a share of the worker's.
    pub share: f64,
    /// Processors used in the last half second, as a share of the worker's.
    pub used: f64,
    /// Current speed, percent.
    pub speed: u8,
    /// Progress, percent.
    pub percent: u8,
    /// Whether its job can no longer meet its deadline.
    pub late: bool,
    /// Its turn in the owner's order; `None` if there is no order.
    pub turn: Option<RunTurn>,
}

/// Turn of a best-effort run in the owner's order of steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunTurn {
    /// Runs of a lower class come first, however much headroom they need.
    pub class: u64,
    /// Unix time by which runs of one class are ordered, ms.
    pub time: Millis,
}

/// A poll that the next sample is compared with.
#[derive(Clone, Debug)]
struct PollRecord {
    at: Moment,
    headrooms: IndexMap<TaskName, f64>,
    shares: IndexMap<Label, f64>,
}

/// Controls the speeds of the best-effort tasks on one worker.
#[derive(Clone, Debug, Default)]
pub struct ThrottleController {
    pub model: InterferenceModel,
    /// Whether placements rest on the headroom that agents report.
    pub is_forecast: bool,
    sampled_poll: Option<PollRecord>,
    baseline: BaselineTrend,
    latency: LatencyEstimator,
    /// Since when a serving task has missed its latency bound.
    exceeded_since: Option<Moment>,
    load: LoadMeter,
}

impl ThrottleController {
    /// Applies the newest measurements. `harm_bound`: time, ms, for which a latency bound
    /// may be missed. Returns no calls if the worker has not measured since the last poll.
    pub fn update(
        &mut self,
        serving: &[ServingRun],
        best_effort: &[BestEffortRun],
        harm_bound: Millis,
        now: Moment,
    ) -> ThrottleUpdate {
        let Some(current) = self.latency.estimate(serving, now) else {
            return ThrottleUpdate::default();
        };
        let samples = self.sample(&current, best_effort, now);
        self.load.record(&self.model, &current, best_effort, now);
        if serving.iter().all(|run| run.headroom >= 1.0) {
            self.exceeded_since = None;
        } else if self.exceeded_since.is_none() {
            self.exceeded_since = Some(now);
        }
        let pause_after = harm_bound * PAUSE_PERCENT / 100;
        let is_paused = self.exceeded_since.is_some_and(|since| since.after(pause_after) <= now);
        let speeds = if is_paused {
            vec![0; best_effort.len()]
        } else {
            self.speeds(&current, best_effort, now)
        };
        let changed =
            best_effort.iter().zip(speeds).filter(|(run, speed)| is_change(run.speed, *speed));
        let calls = changed
            .map(|(run, percent)| ThrottleCall { task: run.task.clone(), run: run.run, percent })
            .collect();
        ThrottleUpdate { calls, samples }
    }

    /// The newest measured load; `None` if it is too old. `capacity`: processors of the worker,
    /// thousandths.
    #[must_use]
    pub fn load(&self, capacity: u64, now: Moment) -> Option<WorkerLoad> {
        self.load.load(capacity, now)
    }

    fn speeds(
        &mut self,
        serving: &[ServingRun],
        best_effort: &[BestEffortRun],
        now: Moment,
    ) -> Vec<u8> {
        let coefficients: Vec<Vec<f64>> =
            best_effort.iter().map(|run| self.coefficients(serving, run)).collect();
        let baseline: Vec<f64> = serving
            .iter()
            .enumerate()
            .map(|(index, run)| {
                let lost =
                    best_effort.iter().zip(&coefficients).map(|(run, p)| p[index] * run.used);
                run.headroom + lost.sum::<f64>()
            })
            .collect();
        let falls = self.baseline.update(serving, &baseline, now);
        let target = if self.is_forecast { FORECAST_TARGET_HEADROOM } else { TARGET_HEADROOM };
        let mut margins: Vec<f64> =
            serving
                .iter()
                .zip(baseline.iter().zip(falls))
                .map(|(run, (baseline, fall))| {
                    if run.headroom < OVERLOADED_HEADROOM { 0.0 } else { baseline - fall - target }
                })
                .collect();
        let weight = |index: usize| {
            let taken = coefficients[index].iter().zip(&margins);
            taken
                .map(|(coefficient, margin)| coefficient / margin.max(NEGLIGIBLE))
                .fold(0.0, f64::max)
        };
        let mut order: Vec<_> = (0..best_effort.len())
            .map(|index| (service_order(&best_effort[index], weight(index)), index))
            .collect();
        order.sort_by(|(one, _), (other, _)| one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)));
        let mut speeds = vec![0; best_effort.len()];
        for (_, index) in order {
            let run = &best_effort[index];
            let fraction = allowed_fraction(&coefficients[index], &margins, run.share);
            let old = f64::from(run.speed) / 100.0;
            let fraction = if fraction < 1.0 && fraction > old {
                old + (fraction - old) * RISE_SHARE
            } else {
                fraction
            };
            for (margin, coefficient) in margins.iter_mut().zip(&coefficients[index]) {
                *margin -= coefficient * run.share * fraction;
            }
            speeds[index] = percent(fraction);
        }
        speeds
    }

    fn coefficients(&self, serving: &[ServingRun], run: &BestEffortRun) -> Vec<f64> {
        let coefficient =
            |task: &ServingRun| self.model.coefficient(task.image.as_ref(), run.image.as_ref());
        serving.iter().map(coefficient).collect()
    }

    /// One sample for each serving image, of the changes since the last sampled poll.
    fn sample(
        &mut self,
        serving: &[ServingRun],
        best_effort: &[BestEffortRun],
        now: Moment,
    ) -> Vec<InterferenceSample> {
        if self.sampled_poll.as_ref().is_some_and(|before| now < before.at.after(SAMPLE_INTERVAL)) {
            return Vec::new();
        }
        let poll = PollRecord {
            at: now,
            headrooms: serving.iter().map(|run| (run.task.clone(), run.headroom)).collect(),
            shares: shares(best_effort),
        };
        let before = self.sampled_poll.replace(poll.clone());
        let Some(before) = before.filter(|before| now <= before.at.after(POLL_GAP_LIMIT)) else {
            return Vec::new();
        };
        let shares = share_changes(&before, &poll);
        if shares.iter().all(|share| (share.now - share.before).abs() < SAMPLE_CHANGE) {
            return Vec::new();
        }
        let mut images: IndexMap<&Label, Vec<(f64, f64)>> = IndexMap::new();
        for run in serving {
            let (Some(image), Some(old)) = (&run.image, before.headrooms.get(&run.task)) else {
                continue;
            };
            images.entry(image).or_default().push((*old, run.headroom));
        }
        let sample = |(image, headrooms): (&Label, Vec<(f64, f64)>)| InterferenceSample {
            serving: image.clone(),
            before: mean(headrooms.iter().map(|(before, _)| *before)),
            now: mean(headrooms.iter().map(|(_, now)| *now)),
            shares: shares.clone(),
        };
        images.into_iter().map(sample).collect()
    }
}

/// Place of a run in the order of service, lower first: its class, then the headroom that it needs,
/// weighted by its progress and by its time in the owner's order. `weight`: share of the headroom that
/// it takes at full speed.
#[expect(clippy::cast_precision_loss, reason = "a Unix time is far below 2^53 ms")]
fn service_order(run: &BestEffortRun, weight: f64) -> (u64, f64) {
    let remaining = RANK_OFFSET - f64::from(run.percent) / 100.0;
    let need = weight * remaining;
    match run.turn {
        Some(turn) => (turn.class, need.max(MIN_NEED).ln() + turn.time as f64 / NEED_TIME),
        None => (u64::from(run.late), need),
    }
}

/// Largest fraction of full speed that the spare headroom of every serving task allows.
fn allowed_fraction(coefficients: &[f64], margins: &[f64], share: f64) -> f64 {
    let fractions = coefficients.iter().zip(margins).map(|(coefficient, margin)| {
        let wanted = coefficient * share;
        if wanted <= NEGLIGIBLE || wanted <= *margin { 1.0 } else { (margin / wanted).max(0.0) }
    });
    fractions.fold(1.0, f64::min)
}

fn shares(best_effort: &[BestEffortRun]) -> IndexMap<Label, f64> {
    let mut shares = IndexMap::new();
    for run in best_effort {
        if let Some(image) = &run.image {
            *shares.entry(image.clone()).or_insert(0.0) += run.used;
        }
    }
    shares
}

fn share_changes(before: &PollRecord, now: &PollRecord) -> Vec<ShareChange> {
    let new = now.shares.keys().filter(|image| !before.shares.contains_key(*image));
    let images = before.shares.keys().chain(new);
    let share = |shares: &IndexMap<Label, f64>, image| shares.get(image).copied().unwrap_or(0.0);
    images
        .map(|image| ShareChange {
            image: image.clone(),
            before: narrow(share(&before.shares, image)),
            now: narrow(share(&now.shares, image)),
        })
        .collect()
}

#[expect(clippy::cast_precision_loss, reason = "a handful of tasks")]
fn mean(values: impl ExactSizeIterator<Item = f64>) -> f32 {
    let count = values.len().max(1) as f64;
    narrow(values.sum::<f64>() / count)
}

#[expect(clippy::cast_possible_truncation, reason = "estimates need no more precision")]
fn narrow(value: f64) -> f32 {
    value as f32
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share from 0 to 1 in percent"
)]
fn percent(fraction: f64) -> u8 {
    let percent = (fraction * f64::from(FULL_SPEED)) as u8;
    percent / SPEED_STEP * SPEED_STEP
}

/// Whether a new speed, in percent, is worth a call.
fn is_change(old: u8, new: u8) -> bool {
    new < old || new >= old.saturating_add(MIN_RISE) || (new > old && new == FULL_SPEED)
}
