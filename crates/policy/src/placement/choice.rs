//! Choice of a VM for one task.

use cactusdoor_core::resource::ResourceVector;

/// Weight of accelerators left idle by a task that needs none. Above the
/// largest leftover (1.0), so that such a task takes an accelerator VM only if
/// no other has room.
const ACCELERATOR_WEIGHT: f64 = 2.0;
/// Weight of the job's share of tasks that are already in the same rack.
const RACK_WEIGHT: f64 = 0.5;
/// Weight of the expected slowdown, as a fraction of full speed.
const SLOWDOWN_WEIGHT: f64 = 2.0;

/// Cost of a VM on which the job failed recently; above all others together, so
/// that a job tries every other VM first.
const FAILED_HERE: f64 = 8.0;

/// A VM that may take the task, as far as the choice depends on it.
#[derive(Clone, Copy, Debug)]
pub struct VmOffer {
    pub capacity: ResourceVector,
    pub free: ResourceVector,
    /// Slowdown that the task is expected to suffer and cause there, in percent.
    pub slowdown_percent: f64,
    /// Running tasks of the same job in the same rack.
    pub job_in_rack: u32,
    /// Running tasks of the same job.
    pub job_running: u32,
    /// Whether a task of the job failed there recently.
    pub failed_here: bool,
}

/// Cost of placing `need` on the VM, lower is better; `None` if it does not fit.
#[must_use]
pub fn cost(offer: &VmOffer, need: ResourceVector) -> Option<f64> {
    if !offer.free.holds(need) {
        return None;
    }
    let left = offer.free.saturating_sub(need);
    let processors = fraction(left.processors, offer.capacity.processors);
    let memory = fraction(left.memory, offer.capacity.memory);
    let idle_accelerators = if need.accelerators == 0 {
        fraction(left.accelerators.into(), offer.capacity.accelerators.into())
    } else {
        0.0
    };
    let rack = f64::from(offer.job_in_rack) / f64::from(offer.job_running.max(1));
    // A VM left with much of one resource and little of the other fits fewer
    // later tasks than one left with the same of both.
    let leftover = (processors + memory) / 2.0 + (processors - memory).abs() / 2.0;
    Some(
        leftover
            + ACCELERATOR_WEIGHT * idle_accelerators
            + RACK_WEIGHT * rack
            + SLOWDOWN_WEIGHT * offer.slowdown_percent / 100.0
            + if offer.failed_here { FAILED_HERE } else { 0.0 },
    )
}

/// Position of the cheapest offer; the first of equal ones.
pub fn choose(
    offers: impl IntoIterator<Item = (usize, VmOffer)>,
    need: ResourceVector,
) -> Option<usize> {
    let mut best: Option<(usize, f64)> = None;
    for (position, offer) in offers {
        let Some(cost) = cost(&offer, need) else { continue };
        if best.is_none_or(|(_, lowest)| cost < lowest) {
            best = Some((position, cost));
        }
    }
    best.map(|(position, _)| position)
}

fn fraction(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}
