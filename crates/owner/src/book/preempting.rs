//! Room for urgent and latency-critical tasks in a shard full of batch work.
//!
//! Batch tasks of one VM are checkpointed and stopped until the task fits. The VM
//! takes only urgent and latency-critical tasks until they have ended, so that
//! other batch work does not take the room.

use cactusdoor_core::constants::OWNER_SILENCE;
use cactusdoor_core::job::{JobClass, JobSpec, TaskId};
use cactusdoor_core::name::VmName;
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::{Millis, Moment, Token};
use cactusdoor_peer::task::StopMode;
use cactusdoor_policy::placement::allowance::max;
use cactusdoor_policy::placement::preemption::{VictimChoice, VictimOffer, choose_victims};
use indexmap::IndexMap;

use super::ShardBook;
use super::placing::OpenVm;

/// Time after which a task that still waits may have room made on another VM: by
/// then an agent that does not answer counts as silent.
const PREEMPTION_PATIENCE: Millis = OWNER_SILENCE;

/// Evictions under way on one VM.
#[derive(Clone, Debug)]
pub(super) struct VmPreemption {
    /// The task that is to have the room.
    task: TaskId,
    victims: Vec<(Token, TaskId)>,
    /// What the task adds to its plan's use.
    charged: ResourceVector,
    since: Moment,
}

/// Whether batch tasks give way to the job.
pub(super) fn has_precedence(spec: &JobSpec) -> bool {
    spec.urgent || spec.class == JobClass::LatencyCritical
}

impl ShardBook {
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

    /// Evicts the batch tasks of one VM that lose the least work, so that `task`
    /// fits there; `true` if room for it is being made.
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
        let waits = self.preemptions.values().any(|preemption| {
            preemption.task == *task && now.since(preemption.since) < PREEMPTION_PATIENCE
        });
        if waits || !has_precedence(&spec) {
            return waits;
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
            if !usable || !open.capacity.holds(need) {
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

    /// Batch tasks of the VM that may make room; those that are being stopped
    /// already cost nothing more.
    fn victims(&self, now: Moment, vm: &VmName) -> Vec<VictimOffer> {
        let tasks: Option<&IndexMap<Token, TaskId>> = self.index.vm(vm).map(|load| &load.tasks);
        let offers = tasks.into_iter().flatten().filter_map(|(token, task)| {
            let spec = self.spec(&task.job)?;
            let need = self.index.placement(task)?.need;
            let stopping = self.stops.contains_key(token);
            let yields = spec.class == JobClass::Batch && !spec.urgent;
            if self.is_task_busy(task) || !(stopping || yields) {
                return None;
            }
            // A task placed by an earlier owner may be close to its end.
            let started = self.pending_starts.get(token).map(|pending_start| pending_start.started);
            let elapsed = match started {
                Some(Some(started)) => now.since(started),
                Some(None) => 0,
                None => spec.run_time_ms,
            };
            let elapsed = if stopping { 0 } else { elapsed };
            let lost = if spec.checkpoints { 0 } else { elapsed };
            Some(VictimOffer { token: *token, need, lost, elapsed })
        });
        offers.collect()
    }
}
