//! Forecast of the speed of a best-effort task on a worker.
//!
//! Rests on the headroom that the agent reported, with its age, and on the learned averages
//! where there is no recent report. Decides no placement.

use cactusdoor_core::unit::{Millis, Moment};
use thiserror::Error;

use crate::interference::{MAX_HEADROOM, spare_beyond};
use crate::latency::TREND_HORIZON;
use crate::name::{AgentName, Label, TaskName};
use crate::observation::RunObservation;
use crate::placement::ChoiceContext;
use crate::report::{MAX_LOAD_IMAGES, ReportedRun, ServingLoad, WorkerLoad};
use crate::scheduler::QueueScheduler;
use crate::spec::StepSpec;
use crate::throttling::{FULL_SPEED, TARGET_HEADROOM};
use crate::worker::{AssignedRun, TrackedWorker};

/// Age, ms, up to which a load is used alone: three reports.
const FRESH_AGE: Millis = 2_000;
/// Age, ms, from which a load is not used: serving loads vary by half over 20 s.
const STALE_AGE: Millis = 5_000;
/// Longest time, ms, over which a fall is extrapolated; over a longer one it may reverse.
const MAX_FALL_TIME: Millis = 1_000;
/// Least time between two log lines about invalid loads of one worker, ms.
const REJECTION_INTERVAL: Millis = 10_000;
/// Slowdown of a task that is not slowed down, thousandths.
const NO_SLOWDOWN: u64 = 1_000;

/// Why a load is not used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LoadError {
    #[error("load lists {0} images, more than {MAX_LOAD_IMAGES}")]
    TooManyImages(usize),
    #[error("load of image {0} is not a number from 0")]
    InvalidNumber(Label),
}

/// The newest load of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct MeasuredLoad {
    pub load: WorkerLoad,
    /// When the worker measured it, on the owner's clock.
    pub at: Moment,
}

impl MeasuredLoad {
    /// A load that arrived at `now`.
    #[must_use]
    pub fn open(load: WorkerLoad, now: Moment) -> Self {
        let at = Moment(now.0.saturating_sub(load.age));
        Self { load, at }
    }

    /// Age at `now`, ms.
    #[must_use]
    pub fn age(&self, now: Moment) -> Millis {
        now.0.saturating_sub(self.at.0)
    }

    /// Weight of the load against the learned average, from 0 to 1.
    #[expect(clippy::cast_precision_loss, reason = "a few seconds in ms")]
    fn weight(&self, now: Moment) -> f64 {
        let left = STALE_AGE.saturating_sub(self.age(now));
        (left as f64 / (STALE_AGE - FRESH_AGE) as f64).min(1.0)
    }

    /// Expected baseline headroom of a serving image; `None` if it was not measured.
    #[expect(clippy::cast_precision_loss, reason = "a second in ms")]
    fn baseline(&self, image: &Label, now: Moment) -> Option<f64> {
        let serving = self.load.serving.iter().find(|serving| serving.image == *image)?;
        // The agent subtracts the fall within its horizon, too, when it sets the first speed.
        let time = self.age(now).saturating_add(TREND_HORIZON).min(MAX_FALL_TIME);
        let fall = f64::from(serving.fall) * time as f64 / 1_000.0;
        Some((f64::from(serving.baseline) - fall).clamp(0.0, MAX_HEADROOM))
    }
}

/// Checks what an agent has sent.
fn check_load(load: &WorkerLoad) -> Result<(), LoadError> {
    if load.serving.len() > MAX_LOAD_IMAGES {
        return Err(LoadError::TooManyImages(load.serving.len()));
    }
    let is_valid = |value: f32| value.is_finite() && value >= 0.0;
    let is_invalid =
        |serving: &&ServingLoad| !is_valid(serving.baseline) || !is_valid(serving.fall);
    match load.serving.iter().find(is_invalid) {
        Some(serving) => Err(LoadError::InvalidNumber(serving.image.clone())),
        None => Ok(()),
    }
}

/// Forecast for a best-effort task on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowdownForecast {
    /// Expected slowdown, thousandths.
    pub slowdown: u64,
}

impl SlowdownForecast {
    #[must_use]
    pub fn of(tracked: &TrackedWorker, context: &ChoiceContext<'_>) -> Self {
        let unthrottled = Self::unthrottled(tracked, context);
        let serving = tracked.runs.serving_images();
        let throttled = serving.map(|serving| throttled(tracked, context, serving));
        let throttled = thousandths(throttled.fold(0.0, f64::max));
        Self { slowdown: unthrottled.slowdown.max(throttled) }
    }

    /// The forecast without regard to serving tasks, which can only slow the task down further.
    #[must_use]
    pub fn unthrottled(tracked: &TrackedWorker, context: &ChoiceContext<'_>) -> Self {
        let idle = tracked.idle_cpu().max(1);
        let demand = tracked.runs.best_effort_cpu().saturating_add(context.step.need.cpu);
        Self { slowdown: demand.saturating_mul(1_000) / idle }
    }

    /// Expected speed, percent.
    #[must_use]
    pub fn speed(&self) -> u8 {
        let speed = u64::from(FULL_SPEED) * NO_SLOWDOWN / self.slowdown.max(NO_SLOWDOWN);
        u8::try_from(speed).unwrap_or(FULL_SPEED)
    }
}

/// Factor by which the worker's best-effort tasks are slowed down for a serving image. All of
/// them count, also those that the task precedes in the owner's order: placing tasks that
/// displace others overloaded the workers, and fewer jobs were in time.
fn throttled(tracked: &TrackedWorker, context: &ChoiceContext<'_>, serving: Option<&Label>) -> f64 {
    let image = context.step.image.as_ref();
    let estimates = context.interference.serving_image(serving);
    let loss = |image, cpu| estimates.coefficient(image) * tracked.share(cpu);
    let used = tracked.runs.best_effort_images();
    let others: f64 = used.map(|(other, used)| loss(other, used)).sum();
    (loss(image, context.step.need.cpu) + others)
        / spare_headroom(tracked, context, serving, estimates.baseline())
}

/// Baseline headroom beyond the target: as reported, and the learned average as far as the
/// report is old.
fn spare_headroom(
    tracked: &TrackedWorker,
    context: &ChoiceContext<'_>,
    serving: Option<&Label>,
    learned: f64,
) -> f64 {
    let reported = tracked.load.as_ref().zip(serving).and_then(|(load, image)| {
        Some((load.baseline(image, context.now)?, load.weight(context.now)))
    });
    let baseline =
        reported.map_or(learned, |(reported, weight)| learned + weight * (reported - learned));
    spare_beyond(baseline, TARGET_HEADROOM)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "saturates, and is not negative"
)]
pub(crate) fn thousandths(share: f64) -> u64 {
    (share * 1_000.0) as u64
}

impl QueueScheduler {
    /// Keeps the load that an agent has reported, unless it is invalid.
    pub(crate) fn keep_load(&mut self, agent: &AgentName, load: &WorkerLoad, now: Moment) {
        let Some(tracked) = self.workers.get_mut(agent) else { return };
        if let Err(error) = check_load(load) {
            if tracked.load_rejected.is_none_or(|at| at.after(REJECTION_INTERVAL) <= now) {
                tracked.load_rejected = Some(now);
                let agent = agent.clone();
                self.observations.push(RunObservation::LoadRejected { agent, error });
            }
            return;
        }
        tracked.load = Some(MeasuredLoad::open(load.clone(), now));
        self.interference_changed |= self.features.headroom_forecast;
    }

    /// Expected speed of a best-effort task on a worker, percent; `None` without forecasts.
    pub(crate) fn forecast_speed(
        &self,
        worker: usize,
        task: &TaskName,
        step: &StepSpec,
        now: Moment,
    ) -> Option<u8> {
        if !self.features.headroom_forecast || !step.best_effort {
            return None;
        }
        let (_, tracked) = self.workers.get_index(worker)?;
        let config = self.queue_config(&self.jobs.get(&task.job)?.spec);
        let name = task.step_name();
        Some(SlowdownForecast::of(tracked, &self.choice(&name, step, &config, now)).speed())
    }

    /// Age of the oldest load that forecasts use, ms; `None` if they use none.
    #[must_use]
    pub fn oldest_load(&self, now: Moment) -> Option<Millis> {
        if !self.features.headroom_forecast {
            return None;
        }
        let serving = self.workers.values().filter(|tracked| tracked.runs.serving() > 0);
        let ages = serving.filter_map(|tracked| Some(tracked.load.as_ref()?.age(now)));
        ages.filter(|age| *age < STALE_AGE).max()
    }
}

/// Compares the forecast with the speed in the worker's first list of the run.
pub(crate) fn compare_forecast(
    agent: &AgentName,
    run: &AssignedRun,
    listed: &ReportedRun,
) -> Option<RunObservation> {
    let is_first = run.percent.is_none() && listed.percent.is_some();
    let forecast = run.forecast.filter(|_| is_first)?;
    let (task, run) = (listed.task.clone(), listed.run);
    let agent = agent.clone();
    Some(RunObservation::FirstSpeed { agent, task, run, forecast, speed: listed.speed })
}
