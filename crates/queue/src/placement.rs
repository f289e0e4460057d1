//! Choice of the worker for a task.
//!
//! Decides whether a worker may run the task, and at what cost. It changes no state;
//! the scheduler chooses the worker with the lowest cost.

use std::collections::BTreeSet;

use cactusdoor_core::unit::Moment;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::forecast::{SlowdownForecast, thousandths};
use crate::interference::InterferenceModel;
use crate::name::{DataCentre, Label, ServiceName, StepName};
use crate::spec::{Shortage, StepSpec, TaskNeed};
use crate::throttling::FULL_SPEED;
use crate::worker::{REPORT_TIMEOUT, TrackedWorker};

/// Largest slowdown of best-effort tasks, in thousandths; beyond it a task waits.
const SLOWDOWN_LIMIT: u64 = 1_500;
/// Largest forecast slowdown of best-effort tasks, in thousandths. Below 1,000, so that the headroom
/// which is free now can fall before a task is slowed down: on a day with an outage, 46 of 107
/// best-effort jobs were in time with 850, 42 with 700 and 43 with 1,000.
const FORECAST_LIMIT: u64 = 850;
/// Cost of a worker outside the rack of the data, in thousandths of its capacity.
const REMOTE_PENALTY: u64 = 2_000;
/// Cost of a task that reserves processors on a worker without serving tasks, in thousandths:
/// best-effort tasks interfere with nothing there.
const UNSHARED_PENALTY: u64 = 1_000;
/// Cost of placing a best-effort task beside serving tasks, in thousandths.
const SERVING_PENALTY: u64 = 300;

/// Inputs of a choice apart from the worker.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceContext<'a> {
    pub name: &'a StepName,
    pub step: &'a StepSpec,
    pub service: &'a ServiceName,
    /// Priority of the step's queue.
    pub priority: u32,
    pub taken_out: &'a BTreeSet<DataCentre>,
    pub interference: &'a InterferenceModel,
    /// Rack within which all tasks of the step must run.
    pub within: Option<&'a Label>,
    /// Whether the task may wait for a less busy worker: its job is not idle for too long.
    pub may_wait: bool,
    /// Whether forecasts rest on reported loads.
    pub forecasts: bool,
    pub now: Moment,
}

/// Why a task must not run on a worker.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Error, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum UnfitReason {
    #[error("no worker beside the agent")]
    NoWorker,
    #[error("other service")]
    OtherService,
    #[error("leaving")]
    Leaving,
    #[error("data centre taken out")]
    TakenOut,
    #[error("silent")]
    Silent,
    #[error("quarantined")]
    Quarantined,
    #[error("label missing")]
    LabelMissing,
    #[error("not enough processors")]
    Processors,
    #[error("not enough memory")]
    Memory,
    #[error("not enough accelerators")]
    Accelerators,
    #[error("limit of tasks for each worker")]
    WorkerLimit,
    #[error("slowdown over the limit")]
    Slowdown,
}

/// Cost of a task on a worker, lower is better; `None` if it must not run there.
#[must_use]
pub fn cost(tracked: &TrackedWorker, context: &ChoiceContext<'_>) -> Option<u64> {
    // Most workers are full, which the sums of their runs tell without a look at their names.
    check_room(tracked, context).ok()?;
    check_available(tracked, context).ok()?;
    load_cost(tracked, context).ok()
}

/// Cost of a task on a worker, or why it must not run there.
pub fn check_cost(
    tracked: &TrackedWorker,
    context: &ChoiceContext<'_>,
) -> Result<u64, UnfitReason> {
    check_available(tracked, context)?;
    check_room(tracked, context)?;
    load_cost(tracked, context)
}

/// Cost of a task on a worker that is available and has room.
fn load_cost(tracked: &TrackedWorker, context: &ChoiceContext<'_>) -> Result<u64, UnfitReason> {
    let step = context.step;
    let load = if step.best_effort {
        best_effort_cost(tracked, context).ok_or(UnfitReason::Slowdown)?
    } else {
        reserve_cost(tracked, step)
    };
    Ok(load.saturating_add(remote_penalty(tracked, step)))
}

/// A lower bound of the cost, and whether it is the cost. The forecast for a worker with serving
/// tasks takes about 0.2 us, and most of 2,100 workers need none for a placement.
#[must_use]
pub fn least_cost(tracked: &TrackedWorker, context: &ChoiceContext<'_>) -> Option<(u64, bool)> {
    let is_forecast = context.step.best_effort && context.forecasts;
    if !is_forecast || tracked.runs.serving() == 0 {
        return Some((cost(tracked, context)?, true));
    }
    // Most workers are full, which the sums of their runs tell without a look at their names.
    let bound = forecast_cost(tracked, context, SlowdownForecast::unthrottled(tracked, context))?;
    if !fits(tracked, context) || !accepts(tracked, context) {
        return None;
    }
    Some((bound.saturating_add(remote_penalty(tracked, context.step)), false))
}

fn remote_penalty(tracked: &TrackedWorker, step: &StepSpec) -> u64 {
    let near = step.rack.as_ref().is_none_or(|rack| tracked.has_label(rack));
    if near { 0 } else { REMOTE_PENALTY }
}

/// Expected speed of one more best-effort task on the worker, percent; `None` if it must not run
/// there.
#[must_use]
pub fn expected_speed(tracked: &TrackedWorker, context: &ChoiceContext<'_>) -> Option<u8> {
    let serving = if tracked.runs.serving() > 0 { SERVING_PENALTY } else { 0 };
    let penalties = remote_penalty(tracked, context.step).saturating_add(serving);
    let slowed = cost(tracked, context)?.saturating_sub(penalties).max(1_000);
    u8::try_from(u64::from(FULL_SPEED) * 1_000 / slowed).ok()
}

/// Whether the worker is available for new tasks of the service.
#[must_use]
pub fn accepts(tracked: &TrackedWorker, context: &ChoiceContext<'_>) -> bool {
    check_available(tracked, context).is_ok()
}

fn check_available(
    tracked: &TrackedWorker,
    context: &ChoiceContext<'_>,
) -> Result<(), UnfitReason> {
    let worker = tracked.worker.as_ref().ok_or(UnfitReason::NoWorker)?;
    // Names come last, since their text is elsewhere in memory.
    if worker.leaves_in.is_some() {
        Err(UnfitReason::Leaving)
    } else if context.now > tracked.reported_at.after(REPORT_TIMEOUT) {
        Err(UnfitReason::Silent)
    } else if tracked.health.is_quarantined(context.now) {
        Err(UnfitReason::Quarantined)
    } else if worker.service != *context.service {
        Err(UnfitReason::OtherService)
    } else if context.taken_out.contains(&worker.data_centre) {
        Err(UnfitReason::TakenOut)
    } else {
        Ok(())
    }
}

fn fits(tracked: &TrackedWorker, context: &ChoiceContext<'_>) -> bool {
    check_room(tracked, context).is_ok()
}

fn check_room(tracked: &TrackedWorker, context: &ChoiceContext<'_>) -> Result<(), UnfitReason> {
    let step = context.step;
    check_need(tracked, context, &tracked.free())?;
    if tracked.is_held_from(context.priority, context.now) {
        return Err(UnfitReason::Memory);
    }
    if step.per_worker > 0 && tracked.runs.of_step(context.name) >= step.per_worker {
        return Err(UnfitReason::WorkerLimit);
    }
    Ok(())
}

/// Checks the labels, and the reserved resources against `free`.
fn check_need(
    tracked: &TrackedWorker,
    context: &ChoiceContext<'_>,
    free: &TaskNeed,
) -> Result<(), UnfitReason> {
    match context.step.reserved().shortage(free) {
        Some(Shortage::Processors) => return Err(UnfitReason::Processors),
        Some(Shortage::Memory) => return Err(UnfitReason::Memory),
        Some(Shortage::Accelerators) => return Err(UnfitReason::Accelerators),
        None => {}
    }
    let labels = [context.step.label.as_ref(), context.within];
    if !labels.into_iter().flatten().all(|label| tracked.has_label(label)) {
        return Err(UnfitReason::LabelMissing);
    }
    Ok(())
}

/// Whether the worker could run the task if it had no other runs and were available.
#[must_use]
pub fn fits_empty(tracked: &TrackedWorker, context: &ChoiceContext<'_>) -> bool {
    let worker = tracked.worker.as_ref().filter(|worker| worker.service == *context.service);
    worker.is_some_and(|worker| check_need(tracked, context, &worker.capacity).is_ok())
}

/// Reserved share of the capacity after the placement, in thousandths; for serving
/// tasks, the share that stays free.
///
/// Serving tasks are packed onto the fullest workers, and other tasks are placed beside them.
/// On the remaining workers, best-effort tasks interfere with no serving task.
fn reserve_cost(tracked: &TrackedWorker, step: &StepSpec) -> u64 {
    let capacity = tracked.worker.as_ref().map_or(1, |worker| worker.capacity.cpu).max(1);
    let reserved = tracked.reserved().cpu.saturating_add(step.need.cpu);
    let reserved = reserved.saturating_mul(1_000) / capacity;
    if step.latency_bound == 0 {
        let alone = if tracked.runs.serving() == 0 { UNSHARED_PENALTY } else { 0 };
        return reserved.saturating_add(alone);
    }
    1_000u64.saturating_sub(reserved)
}

/// Slowdown of the worker's best-effort tasks after the placement, in thousandths:
/// they share the idle processors and are throttled to protect serving tasks.
fn best_effort_cost(tracked: &TrackedWorker, context: &ChoiceContext<'_>) -> Option<u64> {
    if context.forecasts {
        return forecast_cost(tracked, context, SlowdownForecast::of(tracked, context));
    }
    let step = context.step;
    let idle = tracked.idle_cpu().max(1);
    let demand = tracked.runs.best_effort_cpu().saturating_add(step.need.cpu);
    let shared = demand.saturating_mul(1_000) / idle;
    let is_acceptable = |slowed: u64| is_acceptable(slowed, context);
    if tracked.runs.serving() == 0 {
        return is_acceptable(shared).then_some(shared);
    }
    let throttled = tracked.slowdown(context.interference, step.image.as_ref(), step.need.cpu);
    let slowed = shared.max(thousandths(throttled));
    is_acceptable(slowed).then(|| slowed.saturating_add(SERVING_PENALTY))
}

/// Forecast slowdown with the penalties; `None` if the task waits for a less busy worker.
fn forecast_cost(
    tracked: &TrackedWorker,
    context: &ChoiceContext<'_>,
    forecast: SlowdownForecast,
) -> Option<u64> {
    let penalty = if tracked.runs.serving() == 0 { 0 } else { SERVING_PENALTY };
    is_acceptable(forecast.slowdown, context).then(|| forecast.slowdown.saturating_add(penalty))
}

fn is_acceptable(slowdown: u64, context: &ChoiceContext<'_>) -> bool {
    let limit = if context.forecasts { FORECAST_LIMIT } else { SLOWDOWN_LIMIT };
    slowdown <= limit || !context.may_wait
}
