//! Status of jobs, derived from the fold of a task stream, and why tasks wait.

use std::sync::Arc;

use cactusdoor_caller::job::{JobStatus, TaskPhase, TaskStatus};
use cactusdoor_core::config::{ConfigState, DataCentreState};
use cactusdoor_core::name::{DataCentre, PlanName, ShardName};
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::shard::{ShardFold, TaskState, TrackedJob, TrackedTask};
use cactusdoor_peer::roster::ShardCapacity;
use cactusdoor_timeline::event::WaitReason;

/// Inputs from outside the fold from which the wait reasons are derived.
#[derive(Clone, Default)]
pub struct StatusInputs {
    pub config: Option<Arc<ConfigState>>,
    /// Free capacity of the shard, if its owner reported recently.
    pub capacity: Option<ShardCapacity>,
    /// Data centre of the shard.
    pub data_centre: Option<DataCentre>,
    /// Whether the log could not be read and the fold is not recent.
    pub log_unreachable: bool,
}

/// Status of a job in the shard of `fold`.
#[must_use]
pub fn job_status(fold: &ShardFold, job: &TrackedJob, inputs: &StatusInputs) -> JobStatus {
    let used = placed_resources(fold, &job.spec.id.plan);
    let tasks = job.tasks.iter().map(|(index, task)| TaskStatus {
        index: *index,
        state: task_phase(job, task, used, inputs),
        failures: task.failures,
        placements: task.placements,
    });
    JobStatus {
        plan: job.spec.id.plan.clone(),
        key: job.spec.id.key.clone(),
        shard: fold.shard().clone(),
        home: job.home,
        kind: job.spec.kind.clone(),
        class: job.spec.class,
        need: job.spec.need,
        cancelled: job.cancelled,
        parked: job.parked.clone(),
        tasks: tasks.collect(),
    }
}

/// Sum of the resources of the plan's tasks placed in this shard.
fn placed_resources(fold: &ShardFold, plan: &PlanName) -> ResourceVector {
    let jobs = fold.jobs().filter(|job| job.spec.id.plan == *plan);
    let needs = jobs.flat_map(|job| job.tasks.values()).filter_map(|task| match &task.state {
        TaskState::Placed { need, .. } => Some(*need),
        _ => None,
    });
    needs.fold(ResourceVector::ZERO, |sum, need| sum.checked_add(need).unwrap_or(sum))
}

fn task_phase(
    job: &TrackedJob,
    task: &TrackedTask,
    used: ResourceVector,
    inputs: &StatusInputs,
) -> TaskPhase {
    match &task.state {
        TaskState::Pending { .. } => TaskPhase::Pending { reason: wait_reason(job, used, inputs) },
        TaskState::Placed { vm, token, .. } => TaskPhase::Placed { vm: vm.clone(), token: *token },
        TaskState::Ended(outcome) => TaskPhase::Ended(outcome.clone()),
        TaskState::Transferred { transfer, .. } => TaskPhase::Moved { to: transfer.to.clone() },
    }
}

fn wait_reason(
    job: &TrackedJob,
    used: ResourceVector,
    inputs: &StatusInputs,
) -> Option<WaitReason> {
    if let Some(reason) = &job.parked {
        return Some(WaitReason::Parked(reason.clone()));
    }
    if inputs.log_unreachable {
        return Some(WaitReason::LogUnreachable);
    }
    let config = inputs.config.as_ref()?;
    let is_out = |name: &DataCentre| config.data_centre(name) == DataCentreState::Out;
    if inputs.data_centre.as_ref().is_some_and(is_out) {
        return Some(WaitReason::DataCentreOut);
    }
    let need = job.spec.need;
    let allowed = config.allowance(&job.spec.id.plan).map_or(ResourceVector::ZERO, |a| a.batch);
    if used.checked_add(need).is_none_or(|sum| !allowed.can_fit(sum)) {
        return Some(WaitReason::AllowanceUsed);
    }
    inputs
        .capacity
        .filter(|capacity| !capacity.largest.can_fit(need))
        .map(|_| WaitReason::NoCapacity)
}

/// The data centre in a shard's name, `<data centre>-<index>`.
#[must_use]
pub fn data_centre_of(shard: &ShardName) -> Option<DataCentre> {
    let (data_centre, _) = shard.as_str().rsplit_once('-')?;
    DataCentre::new(data_centre).ok()
}
