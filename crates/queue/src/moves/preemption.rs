//! Preemption: best-effort runs of lower-priority queues give up memory.
//!
//! Applies to a step that no worker can take. Only memory is freed, as best-effort runs
//! reserve no processors.

use std::cmp::Reverse;

use cactusdoor_core::unit::{Millis, Moment};

use super::index::{LOOK_INTERVAL, StopCause};
use crate::config::QueueConfig;
use crate::name::{AgentName, StepName, TaskName};
use crate::observation::RunObservation;
use crate::placement::{accepts, cost};
use crate::rank::StepRank;
use crate::scheduler::QueueScheduler;
use crate::spec::StepSpec;
use crate::timers::SteadyTimer;
use crate::worker::{MemoryHold, REPORT_TIMEOUT, TrackedWorker};

/// Most waiting steps that are looked at in [`LOOK_INTERVAL`]: each costs a look at all workers.
const MAX_STEPS: usize = 5;
/// Most workers whose runs are examined for a step: bounds the duration of a pass.
const MAX_WORKERS: usize = 20;

/// Time beyond a stop for which the memory of a worker is kept for a step, ms: two lost reports of
/// an end and its append. Bounds what a run that does not stop keeps unused.
const HOLD_TIME: Millis = 2_000;

/// A run that may be preempted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PreemptableRun {
    pub task: TaskName,
    /// Reserved memory, MiB.
    pub memory: u64,
    /// Whether a stopped run can resume from its last checkpoint.
    pub checkpoints: bool,
    /// Position in the order of its step; the highest comes last.
    pub order: VictimOrder,
    /// Work that its stop loses, ms at full speed.
    pub lost: Millis,
}

/// Position of a run in the order of the steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct VictimOrder {
    /// Priority of its queue.
    pub priority: u32,
    /// Rank of its step; `None` without an order of best-effort steps.
    pub rank: Option<StepRank>,
    /// When its job was accepted.
    pub accepted: Millis,
}

/// Runs to stop, on one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PreemptionPlan {
    /// Tasks of the step for which the worker then has memory.
    pub tasks: u64,
    pub victims: Vec<TaskName>,
    /// Work that is lost, ms at full speed.
    pub lost: Millis,
}

/// Chooses runs that free memory for as many of `wanted` tasks as possible: those that save
/// checkpoints first, then those last in the order. `None` if they free too little for a task, or
/// if no run has to be stopped for one.
#[must_use]
pub fn choose_victims(
    mut runs: Vec<PreemptableRun>,
    free: u64,
    need: u64,
    wanted: u64,
) -> Option<PreemptionPlan> {
    if need <= free {
        return None;
    }
    runs.sort_by_key(|run| (!run.checkpoints, Reverse(run.order), run.lost));
    let total = runs.iter().fold(free, |sum, run| sum.saturating_add(run.memory));
    let tasks = total.checked_div(need)?.min(wanted);
    if tasks == 0 {
        return None;
    }
    let mut missing = need.saturating_mul(tasks).saturating_sub(free);
    let mut chosen = Vec::new();
    for run in runs {
        if missing == 0 {
            break;
        }
        if run.memory > 0 {
            missing = missing.saturating_sub(run.memory);
            chosen.push(run);
        }
    }
    // Of the first runs, some may be smaller than what the last one frees beyond the need.
    let freed = chosen.iter().fold(free, |sum, run| sum.saturating_add(run.memory));
    let mut spare = freed.saturating_sub(need.saturating_mul(tasks));
    chosen.retain(|run| {
        let unneeded = run.memory <= spare;
        spare -= if unneeded { run.memory } else { 0 };
        !unneeded
    });
    let lost = chosen.iter().fold(0, |sum: Millis, run| sum.saturating_add(run.lost));
    let victims = chosen.into_iter().map(|run| run.task).collect();
    Some(PreemptionPlan { tasks, victims, lost })
}

impl QueueScheduler {
    pub(super) fn preempt(&mut self, now: Moment) {
        // Until its agents have reported, a new owner does not know which workers are free.
        let began = *self.moves.began.get_or_insert(now);
        let is_due = now >= self.moves.preempted.after(LOOK_INTERVAL);
        if self.waiting.is_empty() || !is_due || now < began.after(REPORT_TIMEOUT) {
            return;
        }
        self.moves.preempted = now;
        for step in self.waiting.refused_steps(MAX_STEPS) {
            if !self.moves.frees_for(&step)
                && let Some((agent, plan)) = self.plan_preemption(&step, now)
            {
                self.stop_victims(&agent, &step, &plan, now);
            }
        }
    }

    fn stop_victims(
        &mut self,
        agent: &AgentName,
        step: &StepName,
        plan: &PreemptionPlan,
        now: Moment,
    ) {
        self.hold_memory(agent, step, now);
        for task in &plan.victims {
            let cause = StopCause::Preempted(step.clone());
            if let Some(run) = self.stop_run(agent, task, cause, now) {
                let (agent, task, job) = (agent.clone(), task.clone(), step.job.clone());
                self.observations.push(RunObservation::Preempted { agent, task, run, job });
            }
        }
    }

    /// Keeps the memory that the stops free from lower priorities: the runs end one by one, and each
    /// end may free enough for a task of theirs, but not for the step.
    fn hold_memory(&mut self, agent: &AgentName, step: &StepName, now: Moment) {
        let Some(job) = self.jobs.get(&step.job) else { return };
        let priority = self.queue_config(&job.spec).terms.priority;
        let until = now.after(self.features.stop_run).after(HOLD_TIME);
        let Some(tracked) = self.workers.get_mut(agent) else { return };
        tracked.hold = Some(MemoryHold { priority, until });
        self.steady_timers.set(until.0, SteadyTimer::Hold(agent.clone()));
    }

    /// The worker on which the most tasks of the step fit after the stop of the least work.
    fn plan_preemption(&self, name: &StepName, now: Moment) -> Option<(AgentName, PreemptionPlan)> {
        let job = self.jobs.get(&name.job)?;
        let step = job.spec.steps.get(usize::from(name.step)).filter(|step| !step.gang)?;
        let progress = job.occurrences.get(&name.occurrence)?.get(usize::from(name.step))?;
        let (config, wanted) = (self.queue_config(&job.spec), u64::from(progress.count.waiting));
        let mut workers: Vec<_> = self
            .workers
            .values()
            .filter(|tracked| self.may_free(tracked, name, step, &config, now))
            .collect();
        workers.sort_by_key(|tracked| Reverse(tracked.free().memory));
        let mut best: Option<(AgentName, PreemptionPlan)> = None;
        for tracked in workers.into_iter().take(MAX_WORKERS) {
            let wanted = wanted.min(fitting_tasks(tracked, name, step));
            // Runs that are being stopped free enough.
            if wanted > 0 && step.need.memory <= memory_after_stops(tracked) {
                return None;
            }
            let Some(plan) = self.worker_plan(tracked, step, &config, wanted, now) else {
                continue;
            };
            let gain = |plan: &PreemptionPlan| (plan.tasks, Reverse(plan.lost));
            let is_better = best.as_ref().is_none_or(|(_, best)| gain(&plan) > gain(best));
            if is_better && self.admits_after(tracked, name, step, &config, &plan, now) {
                best = Some((tracked.agent.clone(), plan));
            }
        }
        best
    }

    /// Whether the worker lacks only memory for the step, and best-effort runs hold enough.
    fn may_free(
        &self,
        tracked: &TrackedWorker,
        name: &StepName,
        step: &StepSpec,
        config: &QueueConfig,
        now: Moment,
    ) -> bool {
        let (free, need) = (tracked.free().memory, step.need.memory);
        need > free
            && need <= free.saturating_add(tracked.runs.best_effort_memory())
            && tracked.unassigned.is_empty()
            && !self.moves.frees_on(&tracked.agent)
            && accepts(tracked, &self.choice(name, step, config, now))
    }

    fn worker_plan(
        &self,
        tracked: &TrackedWorker,
        step: &StepSpec,
        config: &QueueConfig,
        wanted: u64,
        now: Moment,
    ) -> Option<PreemptionPlan> {
        let runs = tracked.runs.iter().filter_map(|(task, run)| {
            let order = self.victim_order(task)?;
            let is_lower = order.priority > config.terms.priority;
            let lost = if run.checkpoints { run.checkpoint_percent } else { 0 };
            let lost = run.percent.unwrap_or_default().saturating_sub(lost);
            (is_lower && self.may_stop(task, run, now)).then(|| PreemptableRun {
                task: task.clone(),
                memory: run.reserved.memory,
                checkpoints: run.checkpoints,
                order,
                lost: run.estimate.saturating_mul(Millis::from(lost)) / 100,
            })
        });
        choose_victims(runs.collect(), memory_after_stops(tracked), step.need.memory, wanted)
    }

    /// Position of a task's step among those that may be preempted.
    fn victim_order(&self, task: &TaskName) -> Option<VictimOrder> {
        let job = self.jobs.get(&task.job)?;
        let priority = self.queue_config(&job.spec).terms.priority;
        let rank = self.step_rank(&task.step_name());
        Some(VictimOrder { priority, rank, accepted: job.spec.accepted })
    }

    /// Whether the worker can take a task of the step once the victims have ended.
    fn admits_after(
        &self,
        tracked: &TrackedWorker,
        name: &StepName,
        step: &StepSpec,
        config: &QueueConfig,
        plan: &PreemptionPlan,
        now: Moment,
    ) -> bool {
        let mut after = tracked.clone();
        let stopping = tracked.runs.iter().filter(|(_, run)| run.stopping).map(|(task, _)| task);
        for task in stopping.chain(&plan.victims) {
            after.runs.remove(task);
        }
        cost(&after, &self.choice(name, step, config, now)).is_some()
    }
}

/// Memory that is free, or will be after the stops under way, MiB.
fn memory_after_stops(tracked: &TrackedWorker) -> u64 {
    let stopping = tracked.runs.values().filter(|run| run.stopping);
    stopping.fold(tracked.free().memory, |sum, run| sum.saturating_add(run.reserved.memory))
}

/// Tasks of the step for which the worker has free processors and accelerators, and which the
/// step's limit for a worker permits.
fn fitting_tasks(tracked: &TrackedWorker, name: &StepName, step: &StepSpec) -> u64 {
    let (free, need) = (tracked.free(), step.reserved());
    let by_cpu = free.cpu.checked_div(need.cpu).unwrap_or(u64::MAX);
    let by_accelerators = free.accelerators.checked_div(need.accelerators).unwrap_or(u64::MAX);
    let by_limit = match step.per_worker {
        0 => u64::MAX,
        limit => u64::from(limit.saturating_sub(tracked.runs.of_step(name))),
    };
    by_cpu.min(by_accelerators).min(by_limit)
}
