//! Preemption of batch tasks for urgent and latency-critical tasks.
//!
//! Chooses one VM and checkpoints and stops batch tasks there until the task fits. Until
//! those have ended, the VM accepts only urgent and latency-critical tasks, so that other
//! batch tasks do not use the freed capacity.

use cactusdoor_core::constants::OWNER_TIMEOUT;
use cactusdoor_core::job::{JobClass, JobSpec, TaskId};
use cactusdoor_core::name::VmName;
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::{Millis, Moment, Token};
use cactusdoor_peer::task::StopMode;
use cactusdoor_policy::placement::allowance::max;
use cactusdoor_policy::placement::preemption::{VictimCandidate, VictimChoice, choose_victims};
use indexmap::IndexMap;

use super::ShardScheduler;
use super::placement::OpenVm;

/// Time after which a task that still waits may preempt tasks on another VM: by then an
/// agent that does not answer counts as silent.
const PREEMPTION_TIMEOUT: Millis = OWNER_TIMEOUT;

/// Evictions under way on one VM.
#[derive(Clone, Debug)]
pub(super) struct VmPreemption {
    /// The task that needs the capacity.
    task: TaskId,
    victims: Vec<(Token, TaskId)>,
    /// Usage that the task adds to its plan.
    charged: ResourceVector,
    since: Moment,
}

/// Whether the job's tasks may preempt batch tasks.
pub(super) fn has_precedence(spec: &JobSpec) -> bool {
    spec.urgent || spec.class == JobClass::LatencyCritical
}

impl ShardScheduler {
    /// Whether evictions are under way on the VM.
    pub(super) fn is_preempting(&self, vm: &VmName) -> bool {
        self.preemptions.contains_key(vm)
    }

    /// Forgets preemptions whose victims have all ended.
    pub(super) fn settle_preemptions(&mut self) {
        let index = &self.index;
        self.preemptions.retain(|_, preemption| {
            preemption.victims.iter().any(|(token, task)| {
                index.placement(task).is_some_and(|placement| placement.token == *token)
            })
        });
    }

    /// Evicts tasks on the VM where the least work is lost, so that `task` fits there;
    /// `true` if a preemption for it is under way.
    pub(super) fn preempt_for(
        &mut self,
        now: Moment,
        task: &TaskId,
        need: ResourceVector,
        home: bool,
        vms: &mut [OpenVm],
    ) -> bool {
        let Some(spec) = self.spec(&task.job).cloned() else { return false };
        let charged = if home { max(need, spec.need) } else { ResourceVector::ZERO };
        let under_way = self.preemptions.values().any(|preemption| {
            preemption.task == *task && now.since(preemption.since) < PREEMPTION_TIMEOUT
        });
        if under_way || !has_precedence(&spec) {
            return under_way;
        }
        let critical = spec.class == JobClass::LatencyCritical;
        let reserved = self
            .preemptions
            .values()
            .filter(|other| other.task.job.plan == task.job.plan && other.task != *task);
        let reserved = reserved.fold(charged, |total, other| total.saturating_add(other.charged));
        if charged != ResourceVector::ZERO && !self.allowance_covers(&task.job.plan, reserved) {
            return false;
        }
        let choices = vms.iter().enumerate().filter_map(|(position, open)| {
            let usable = !open.reserved && !open.probing && (critical || !open.protected);
            if !usable || !open.capacity.can_fit(need) {
                return None;
            }
            let choice = choose_victims(open.free, need, self.victims(now, &open.vm))?;
            Some((position, choice))
        });
        let best: Option<(usize, VictimChoice)> = choices.min_by_key(|(_, choice)| choice.rank());
        let Some((position, choice)) = best else { return false };
        let vm = vms[position].vm.clone();
        vms[position].reserved = true;
        let tasks = self.index.vm(&vm).map(|load| &load.tasks);
        let victims: Vec<(Token, TaskId)> = choice
            .tokens
            .iter()
            .filter_map(|token| Some((*token, tasks?.get(token)?.clone())))
            .collect();
        for (token, victim) in &victims {
            self.request_stop(now, *token, victim, &vm, StopMode::CheckpointAndStop);
        }
        let preemption = VmPreemption { task: task.clone(), victims, charged, since: now };
        self.preemptions.insert(vm, preemption);
        self.send_stops(now);
        true
    }

    /// Tasks of the VM that may be preempted; those that are being stopped already cost
    /// nothing more.
    fn victims(&self, now: Moment, vm: &VmName) -> Vec<VictimCandidate> {
        let tasks: Option<&IndexMap<Token, TaskId>> = self.index.vm(vm).map(|load| &load.tasks);
        let candidates = tasks.into_iter().flatten().filter_map(|(token, task)| {
            let spec = self.spec(&task.job)?;
            let need = self.index.placement(task)?.need;
            let stopping = self.pending_stops.contains_key(token);
            let preemptible = spec.class == JobClass::Batch && !spec.urgent;
            if self.is_task_busy(task) || !(stopping || preemptible) {
                return None;
            }
            // The start time of a task placed by an earlier owner is unknown; it may be
            // close to its end.
            let started = self.pending_starts.get(token).map(|pending_start| pending_start.started);
            let elapsed = match started {
                Some(Some(started)) => now.since(started),
                Some(None) => 0,
                None => spec.run_time_ms,
            };
            let elapsed = if stopping { 0 } else { elapsed };
            let lost = if spec.checkpoints { 0 } else { elapsed };
            Some(VictimCandidate { token: *token, need, lost, elapsed })
        });
        candidates.collect()
    }
}
