//! Baseline policies: one central queue, served in order of arrival by declared need.

use std::collections::HashMap;

use cactusdoor_core::job::PlacementEnd;
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::{Millis, Token};
use cactusdoor_peer::task::StopMode;

use super::model::{PlacementModel, TaskKey};
use super::owner::APPEND_DELAY;
use super::run::PlacementPolicy;

/// Delay before a failed task is placed again.
const RETRY_DELAY: Millis = 500;

/// How a baseline chooses a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BaselineChoice {
    FirstFit,
    LeastLoaded,
}

/// A placement that starts once its record is appended to the log.
struct PendingPlacement {
    due: Millis,
    vm: usize,
    key: TaskKey,
}

/// First come, first served; later tasks overtake one that does not fit.
pub struct FifoPolicy {
    choice: BaselineChoice,
    /// Waiting tasks in order of their keys, each with its earliest start.
    queue: Vec<(TaskKey, Millis)>,
    pending: Vec<PendingPlacement>,
    last_token: Token,
    outage_known: bool,
}

impl FifoPolicy {
    #[must_use]
    pub fn new(choice: BaselineChoice) -> Self {
        Self { choice, queue: Vec::new(), pending: Vec::new(), last_token: 0, outage_known: false }
    }

    fn requeue(&mut self, key: TaskKey, not_before: Millis) {
        self.queue.push((key, not_before));
        self.queue.sort_by_key(|(key, _)| *key);
    }

    /// Requeues evicted and failed tasks, except those of cancelled jobs.
    fn process_ended(&mut self, model: &mut PlacementModel<'_>) {
        let ends: Vec<_> = model.vms.iter_mut().flat_map(|vm| vm.ended.drain(..)).collect();
        for ended in ends {
            let job = &model.jobs[ended.key.0];
            let cancelled = job.cancelled_at.is_some_and(|at| at <= model.now);
            match ended.end {
                _ if cancelled => {}
                PlacementEnd::Evicted { .. } => self.requeue(ended.key, model.now),
                PlacementEnd::Failed => self.requeue(ended.key, model.now + RETRY_DELAY),
                _ => {}
            }
        }
    }

    /// Starts the tasks whose append delay is over.
    fn start_due(&mut self, model: &mut PlacementModel<'_>) {
        let (due, later) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|placement: &PendingPlacement| placement.due <= model.now);
        self.pending = later;
        let due: Vec<PendingPlacement> = due;
        for placement in due {
            self.last_token += 1;
            let need = model.jobs[placement.key.0].spec.need;
            if model.start(placement.vm, self.last_token, placement.key, need).is_err() {
                self.requeue(placement.key, model.now);
            }
        }
    }

    /// Checkpoints and stops the tasks in a data centre that is taken out of service.
    fn evacuate(&mut self, model: &mut PlacementModel<'_>) {
        let outage_known = model.is_outage_known();
        if outage_known && !self.outage_known {
            for vm in (0..model.vms.len()).filter(|&vm| model.is_vm_out(vm)).collect::<Vec<_>>() {
                let tokens: Vec<Token> =
                    model.vms[vm].running.iter().map(|task| task.token).collect();
                for token in tokens {
                    model.stop(vm, token, StopMode::CheckpointAndStop);
                }
            }
        }
        self.outage_known = outage_known;
    }

    /// Places every waiting task that fits its plan's allowance and a VM.
    fn place(&mut self, model: &PlacementModel<'_>) {
        let mut free: Vec<ResourceVector> =
            model.vms.iter().map(|vm| model.site.vm.saturating_sub(vm.committed())).collect();
        let mut remaining: HashMap<&str, ResourceVector> =
            model.plans.iter().map(|plan| (plan.name.as_str(), plan.allowance)).collect();
        let running = model.vms.iter().flat_map(|vm| &vm.running).map(|task| task.key);
        let pending = self.pending.iter().map(|placement| placement.key);
        for key in running.chain(pending) {
            let spec = &model.jobs[key.0].spec;
            if let Some(remaining) = remaining.get_mut(spec.id.plan.as_str()) {
                *remaining = remaining.saturating_sub(spec.need);
            }
        }
        for placement in &self.pending {
            let need = model.jobs[placement.key.0].spec.need;
            free[placement.vm] = free[placement.vm].saturating_sub(need);
        }
        let mut waiting = Vec::new();
        for (key, not_before) in std::mem::take(&mut self.queue) {
            let spec = &model.jobs[key.0].spec;
            let allowed =
                remaining.get(spec.id.plan.as_str()).is_some_and(|it| it.can_fit(spec.need));
            let mut fits =
                (0..free.len()).filter(|&vm| !model.is_vm_out(vm) && free[vm].can_fit(spec.need));
            let vm = match self.choice {
                BaselineChoice::FirstFit => fits.next(),
                BaselineChoice::LeastLoaded => fits.max_by_key(|&vm| free[vm].processors),
            };
            match vm.filter(|_| allowed && not_before <= model.now) {
                Some(vm) => {
                    free[vm] = free[vm].saturating_sub(spec.need);
                    if let Some(remaining) = remaining.get_mut(spec.id.plan.as_str()) {
                        *remaining = remaining.saturating_sub(spec.need);
                    }
                    self.pending.push(PendingPlacement { due: model.now + APPEND_DELAY, vm, key });
                }
                None => waiting.push((key, not_before)),
            }
        }
        self.queue = waiting;
    }
}

impl PlacementPolicy for FifoPolicy {
    fn submit(&mut self, model: &PlacementModel<'_>, job: usize) {
        let tasks = (0..model.jobs[job].spec.tasks).map(|index| ((job, index), model.now));
        self.queue.extend(tasks);
    }

    fn cancel(&mut self, model: &mut PlacementModel<'_>, job: usize) {
        self.queue.retain(|(key, _)| key.0 != job);
        self.pending.retain(|placement| placement.key.0 != job);
        for vm in 0..model.vms.len() {
            let running = model.vms[vm].running.iter().filter(|task| task.key.0 == job);
            let tokens: Vec<Token> = running.map(|task| task.token).collect();
            for token in tokens {
                model.stop(vm, token, StopMode::Cancel);
            }
        }
    }

    fn step(&mut self, model: &mut PlacementModel<'_>) -> anyhow::Result<()> {
        self.evacuate(model);
        self.process_ended(model);
        self.start_due(model);
        self.place(model);
        Ok(())
    }
}
