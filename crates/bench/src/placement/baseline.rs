//! Baselines: one central queue in order of arrival, by declared need.

use std::collections::HashMap;

use cactusdoor_core::job::PlacementEnd;
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::{Millis, Token};
use cactusdoor_peer::task::StopMode;

use super::owners::APPEND_DELAY;
use super::run::PlacementPolicy;
use super::world::{PlacementWorld, TaskKey};

/// Pause of a task after a failure.
const FAILURE_PAUSE: Millis = 500;

/// How a baseline chooses a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BaselineChoice {
    FirstFit,
    LeastLoaded,
}

/// A task whose placement is being recorded.
struct Decision {
    due: Millis,
    vm: usize,
    key: TaskKey,
}

/// First come, first served; a task that does not fit lets later ones pass.
pub struct FifoPolicy {
    choice: BaselineChoice,
    queue: Vec<(TaskKey, Millis)>,
    decisions: Vec<Decision>,
    tokens: Token,
    was_out: bool,
}

impl FifoPolicy {
    #[must_use]
    pub fn new(choice: BaselineChoice) -> Self {
        Self { choice, queue: Vec::new(), decisions: Vec::new(), tokens: 0, was_out: false }
    }

    fn requeue(&mut self, key: TaskKey, not_before: Millis) {
        self.queue.push((key, not_before));
        self.queue.sort_by_key(|(key, _)| *key);
    }

    fn take_ends(&mut self, world: &mut PlacementWorld<'_>) {
        let ends: Vec<_> = world.vms.iter_mut().flat_map(|vm| vm.ended.drain(..)).collect();
        for ended in ends {
            let job = &world.jobs[ended.key.0];
            let cancelled = job.cancelled_at.is_some_and(|at| at <= world.now);
            match ended.end {
                _ if cancelled => {}
                PlacementEnd::Evicted { .. } => self.requeue(ended.key, world.now),
                PlacementEnd::Failed => self.requeue(ended.key, world.now + FAILURE_PAUSE),
                _ => {}
            }
        }
    }

    fn carry_out(&mut self, world: &mut PlacementWorld<'_>) {
        let (due, later) = std::mem::take(&mut self.decisions)
            .into_iter()
            .partition(|decision: &Decision| decision.due <= world.now);
        self.decisions = later;
        let due: Vec<Decision> = due;
        for decision in due {
            self.tokens += 1;
            let need = world.jobs[decision.key.0].spec.need;
            if world.start(decision.vm, self.tokens, decision.key, need).is_err() {
                self.requeue(decision.key, world.now);
            }
        }
    }

    fn evacuate(&mut self, world: &mut PlacementWorld<'_>) {
        let out = world.is_out();
        if out && !self.was_out {
            for vm in (0..world.vms.len()).filter(|&vm| world.is_vm_out(vm)).collect::<Vec<_>>() {
                let tokens: Vec<Token> =
                    world.vms[vm].running.iter().map(|task| task.token).collect();
                for token in tokens {
                    world.stop(vm, token, StopMode::CheckpointAndStop);
                }
            }
        }
        self.was_out = out;
    }

    fn place(&mut self, world: &PlacementWorld<'_>) {
        let mut free: Vec<ResourceVector> =
            world.vms.iter().map(|vm| world.site.vm.saturating_sub(vm.committed())).collect();
        let mut left: HashMap<&str, ResourceVector> =
            world.plans.iter().map(|plan| (plan.name.as_str(), plan.allowance)).collect();
        let taken = world.vms.iter().flat_map(|vm| &vm.running).map(|task| task.key);
        let decided = self.decisions.iter().map(|decision| decision.key);
        for key in taken.chain(decided) {
            let spec = &world.jobs[key.0].spec;
            if let Some(left) = left.get_mut(spec.id.plan.as_str()) {
                *left = left.saturating_sub(spec.need);
            }
        }
        for decision in &self.decisions {
            let need = world.jobs[decision.key.0].spec.need;
            free[decision.vm] = free[decision.vm].saturating_sub(need);
        }
        let mut waiting = Vec::new();
        for (key, not_before) in std::mem::take(&mut self.queue) {
            let spec = &world.jobs[key.0].spec;
            let allowed = left.get(spec.id.plan.as_str()).is_some_and(|it| it.holds(spec.need));
            let mut fits =
                (0..free.len()).filter(|&vm| !world.is_vm_out(vm) && free[vm].holds(spec.need));
            let vm = match self.choice {
                BaselineChoice::FirstFit => fits.next(),
                BaselineChoice::LeastLoaded => fits.max_by_key(|&vm| free[vm].processors),
            };
            match vm.filter(|_| allowed && not_before <= world.now) {
                Some(vm) => {
                    free[vm] = free[vm].saturating_sub(spec.need);
                    if let Some(left) = left.get_mut(spec.id.plan.as_str()) {
                        *left = left.saturating_sub(spec.need);
                    }
                    self.decisions.push(Decision { due: world.now + APPEND_DELAY, vm, key });
                }
                None => waiting.push((key, not_before)),
            }
        }
        self.queue = waiting;
    }
}

impl PlacementPolicy for FifoPolicy {
    fn submit(&mut self, world: &PlacementWorld<'_>, job: usize) {
        let tasks = (0..world.jobs[job].spec.tasks).map(|index| ((job, index), world.now));
        self.queue.extend(tasks);
    }

    fn cancel(&mut self, world: &mut PlacementWorld<'_>, job: usize) {
        self.queue.retain(|(key, _)| key.0 != job);
        self.decisions.retain(|decision| decision.key.0 != job);
        for vm in 0..world.vms.len() {
            let running = world.vms[vm].running.iter().filter(|task| task.key.0 == job);
            let tokens: Vec<Token> = running.map(|task| task.token).collect();
            for token in tokens {
                world.stop(vm, token, StopMode::Cancel);
            }
        }
    }

    fn step(&mut self, world: &mut PlacementWorld<'_>) -> anyhow::Result<()> {
        self.evacuate(world);
        self.take_ends(world);
        self.carry_out(world);
        self.place(world);
        Ok(())
    }
}
