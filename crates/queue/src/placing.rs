//! Which worker gets a task.

use std::collections::BTreeSet;

use cactusdoor_core::unit::Moment;

use crate::name::{DataCentre, ServiceName, TaskName};
use crate::press::PressModel;
use crate::seat::{SILENCE, WorkerSeat};
use crate::spec::StepSpec;

/// Largest slowdown of tasks that fill, in thousandths: beyond it a task waits.
const FILL_LIMIT: u64 = 1_500;
/// Added for a worker that is not near the data, in thousandths of its capacity.
const REMOTE_PENALTY: u64 = 2_000;
/// Added for a worker with tasks that serve users, which a task that fills disturbs.
const SERVING_PENALTY: u64 = 300;

/// What a choice depends on beside the worker.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceContext<'a> {
    pub task: &'a TaskName,
    pub step: &'a StepSpec,
    pub service: &'a ServiceName,
    pub taken_out: &'a BTreeSet<DataCentre>,
    pub presses: &'a PressModel,
    /// Whether the task may wait for a less busy worker: others of its job run.
    pub may_wait: bool,
    pub now: Moment,
}

/// The cost of a task on a worker, lowest first; `None` if it cannot run there.
#[must_use]
pub fn cost(seat: &WorkerSeat, context: &ChoiceContext<'_>) -> Option<u64> {
    if !accepts(seat, context) || !admits(seat, context) {
        return None;
    }
    let step = context.step;
    let near = step.rack.as_ref().is_none_or(|rack| seat.has_label(rack));
    let remote = if near { 0 } else { REMOTE_PENALTY };
    let load = if step.fills { fill_cost(seat, context)? } else { reserve_cost(seat, step) };
    Some(load.saturating_add(remote))
}

/// Whether the worker takes new tasks of the service at all.
#[must_use]
pub fn accepts(seat: &WorkerSeat, context: &ChoiceContext<'_>) -> bool {
    let Some(worker) = &seat.worker else { return false };
    worker.service == *context.service
        && worker.leaves_in.is_none()
        && !context.taken_out.contains(&worker.data_centre)
        && context.now <= seat.heard.after(SILENCE)
        && !seat.trust.is_barred(context.now)
}

fn admits(seat: &WorkerSeat, context: &ChoiceContext<'_>) -> bool {
    let step = context.step;
    let labelled = step.label.as_ref().is_none_or(|label| seat.has_label(label));
    labelled
        && !seat.runs.contains_key(context.task)
        && step.reserved().fits(&seat.free())
        && (step.per_worker == 0 || siblings(seat, context.task) < step.per_worker)
}

fn siblings(seat: &WorkerSeat, task: &TaskName) -> u32 {
    let same = |other: &&TaskName| {
        other.job == task.job && other.occurrence == task.occurrence && other.step == task.step
    };
    u32::try_from(seat.runs.keys().filter(same).count()).unwrap_or(u32::MAX)
}

/// Thousandths of the capacity that are reserved afterwards; for tasks that serve
/// users, those that are left.
///
/// Tasks that serve users share the fullest workers, so that others are left
/// where tasks that fill disturb nobody.
fn reserve_cost(seat: &WorkerSeat, step: &StepSpec) -> u64 {
    let capacity = seat.worker.as_ref().map_or(1, |worker| worker.capacity.cpu).max(1);
    let reserved = (seat.used().cpu + step.need.cpu) * 1_000 / capacity;
    if step.target > 0 { 1_000u64.saturating_sub(reserved) } else { reserved }
}

/// Thousandths by which the tasks that fill are slowed there afterwards: they
/// share the idle processors, and they are paced for the sake of those that serve.
fn fill_cost(seat: &WorkerSeat, context: &ChoiceContext<'_>) -> Option<u64> {
    let step = context.step;
    let idle = seat.idle().max(1);
    let asked = seat.filling() + step.need.cpu;
    let shared = asked * 1_000 / idle;
    let bearable = |slowed: u64| slowed <= FILL_LIMIT || !context.may_wait;
    if seat.serving() == 0 {
        return bearable(shared).then_some(shared);
    }
    let paced = seat.slowdown(context.presses, step.image.as_ref(), step.need.cpu);
    let slowed = shared.max(thousandths(paced));
    bearable(slowed).then(|| slowed.saturating_add(SERVING_PENALTY))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "saturates, and is not negative"
)]
fn thousandths(share: f64) -> u64 {
    (share * 1_000.0) as u64
}
