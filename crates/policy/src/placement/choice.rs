//! Choice of a VM for one task.
//!
//! A VM that lacks capacity is never chosen. Among the others the cost prefers VMs
//! that leave little unused, spreads a job over racks, and avoids slowdown, idle
//! accelerators and VMs on which the job has just failed.

use cactusdoor_core::resource::ResourceVector;

/// Weight of idle accelerators, for a task that needs none. Larger than the greatest
/// leftover cost (1.0), so that such a task goes to a VM without idle accelerators
/// even if that leaves more unused.
const ACCELERATOR_WEIGHT: f64 = 2.0;
/// Weight of the share of the job's running tasks that are in the same rack.
const RACK_WEIGHT: f64 = 0.5;
/// Weight of the expected slowdown, as a fraction of full speed.
const SLOWDOWN_WEIGHT: f64 = 2.0;

/// Cost of a VM on which the job failed recently; larger than the usual sum of the
/// other terms, so that the job tries other VMs first.
const RECENT_FAILURE_COST: f64 = 8.0;

/// Properties of a candidate VM on which the choice depends.
#[derive(Clone, Copy, Debug)]
pub struct VmCandidate {
    pub capacity: ResourceVector,
    pub free: ResourceVector,
    /// Slowdown that the task is expected to suffer and to cause, in percent.
    pub slowdown_percent: f64,
    /// Running tasks of the same job in the same rack.
    pub job_in_rack: u32,
    /// Running tasks of the same job on any VM.
    pub job_running: u32,
    /// Whether a task of the job failed on the VM recently.
    pub failed_here: bool,
}

/// Cost of placing `need` on the VM, lowest is best; `None` if it does not fit.
#[must_use]
pub fn cost(candidate: &VmCandidate, need: ResourceVector) -> Option<f64> {
    if !candidate.free.can_fit(need) {
        return None;
    }
    let remaining = candidate.free.saturating_sub(need);
    let processors = fraction(remaining.processors, candidate.capacity.processors);
    let memory = fraction(remaining.memory, candidate.capacity.memory);
    let idle_accelerators = if need.accelerators == 0 {
        fraction(remaining.accelerators.into(), candidate.capacity.accelerators.into())
    } else {
        0.0
    };
    let rack = f64::from(candidate.job_in_rack) / f64::from(candidate.job_running.max(1));
    // A VM with much of one resource and little of the other fits fewer later
    // tasks than a VM with equal shares of both.
    let leftover = (processors + memory) / 2.0 + (processors - memory).abs() / 2.0;
    Some(
        leftover
            + ACCELERATOR_WEIGHT * idle_accelerators
            + RACK_WEIGHT * rack
            + SLOWDOWN_WEIGHT * candidate.slowdown_percent / 100.0
            + if candidate.failed_here { RECENT_FAILURE_COST } else { 0.0 },
    )
}

/// Position of the candidate with the lowest cost; the first one on a tie.
pub fn choose(
    candidates: impl IntoIterator<Item = (usize, VmCandidate)>,
    need: ResourceVector,
) -> Option<usize> {
    let mut best: Option<(usize, f64)> = None;
    for (position, candidate) in candidates {
        let Some(cost) = cost(&candidate, need) else { continue };
        if best.is_none_or(|(_, lowest)| cost < lowest) {
            best = Some((position, cost));
        }
    }
    best.map(|(position, _)| position)
}

fn fraction(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 / whole as f64 }
}
