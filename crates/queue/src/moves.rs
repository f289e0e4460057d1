//! Moves of best-effort runs that make no progress, and preemption.
//!
//! A run is moved by an order to stop it; its task then waits like any other. A pass selects the
//! runs whose listed speed is low, forecasts their speed on the best other worker, and orders the
//! stops that gain enough. It follows a placement, so that it uses no capacity that waiting
//! steps are about to get.

pub mod decision;
pub mod index;
pub mod preemption;

use cactusdoor_core::unit::{Millis, Moment};
use indexmap::IndexMap;

use self::decision::{MoveCandidate, MoveFigures};
use self::index::StopCause;
use crate::job::TaskMoves;
use crate::name::{AgentName, RunNumber, StepName, TaskName};
use crate::observation::RunObservation;
use crate::placement::{ChoiceContext, cost, expected_speed};
use crate::scheduler::QueueScheduler;
use crate::spec::StepSpec;
use crate::worker::{AssignedRun, REPORT_TIMEOUT};

/// Time after a move in which the task is neither moved again nor placed on the worker that it
/// left, ms: the learned load of the two workers follows a change within a few reports.
pub const SETTLE_TIME: Millis = 5_000;
/// Most moves of a task: bounds the work that is lost if loads vary.
const MAX_MOVES: u32 = 3;
/// Divisor of a step's tasks, of which at most this part moves at once.
const STEP_PART: usize = 4;
/// Divisor of the fleet's best-effort runs, of which at most this part moves at once.
const FLEET_PART: usize = 50;
/// Moves at once that are permitted in a fleet of any size.
const MIN_MOVES: usize = 2;
/// After this multiple of its time budget a job has no value.
const USEFUL_BUDGETS: Millis = 3;

/// Workers that can take a task of a step, by the cost there or a lower bound of it, and
/// whether the cost is known.
type StepTargets = Vec<(u64, usize, bool)>;

/// Where the task of a moved run is expected to continue.
struct MoveTarget {
    agent: AgentName,
    /// Forecast speed, percent.
    speed: u8,
}

impl QueueScheduler {
    /// Tasks of the runs that are listed at a low speed, with the agents of their workers.
    pub fn slow_runs(&self) -> impl Iterator<Item = (&TaskName, &AgentName)> {
        self.moves.slow()
    }

    pub(crate) fn decide_moves(&mut self, now: Moment, unix: Millis) {
        let candidates = self.moves.take_due(now);
        if !candidates.is_empty() {
            self.move_runs(candidates, now, unix);
        }
        self.preempt(now);
    }

    fn move_runs(&mut self, candidates: Vec<(TaskName, AgentName)>, now: Moment, unix: Millis) {
        let mut limit = None;
        let mut targets: IndexMap<StepName, StepTargets> = IndexMap::new();
        for (task, agent) in candidates {
            let Some(candidate) = self.candidate(&task, &agent, now, unix) else { continue };
            if !candidate.may_gain(&self.features) {
                continue;
            }
            if self.moves.moving() >= *limit.get_or_insert_with(|| self.move_limit()) {
                return;
            }
            let step = task.step_name();
            if !targets.contains_key(&step) {
                targets.insert(step.clone(), self.step_targets(&step, now));
            }
            let target = self.best_other(&targets[&step], &task, &agent, now);
            let figures = target
                .and_then(|target| Some((candidate.decide(target.speed, &self.features)?, target)));
            if let Some((figures, target)) = figures {
                self.move_run(&agent, &task, &target, figures, now);
            }
        }
    }

    /// Most moves at once.
    fn move_limit(&self) -> usize {
        let runs: usize = self.workers.values().map(|tracked| tracked.runs.best_effort()).sum();
        (runs / FLEET_PART).max(MIN_MOVES)
    }

    /// Figures of a slow run; `None` if it must not be moved.
    fn candidate(
        &self,
        task: &TaskName,
        agent: &AgentName,
        now: Moment,
        unix: Millis,
    ) -> Option<MoveCandidate> {
        let tracked = self.workers.get(agent)?;
        let run = tracked.runs.get(task)?;
        let slow = run.slow?;
        let listed = now <= slow.newest.after(REPORT_TIMEOUT)
            && now <= tracked.reported_at.after(REPORT_TIMEOUT);
        if !listed || !slow.lasts() || !self.may_stop(task, run, now) {
            return None;
        }
        let job = self.jobs.get(&task.job)?;
        let moved = job.task(task)?.moves.as_ref().map_or(0, |moves| moves.number);
        let step = task.step_name();
        let progress = job.occurrences.get(&step.occurrence)?.get(usize::from(step.step))?;
        let step_limit = (progress.tasks.len() / STEP_PART).max(1);
        if moved >= MAX_MOVES
            || progress.count.waiting > 0
            || self.moves.moving_of(&step) >= step_limit
        {
            return None;
        }
        let begins = job.spec.due(step.occurrence).unwrap_or(job.spec.accepted);
        let budget = Self::deadline(&self.view, job, step.occurrence).saturating_sub(begins);
        let useless = begins.saturating_add(budget.saturating_mul(USEFUL_BUDGETS));
        Some(MoveCandidate {
            estimate: run.estimate,
            percent: run.percent.unwrap_or_default(),
            checkpoint_percent: run.checkpoint_percent,
            checkpoints: run.checkpoints,
            speed: slow.speed,
            useful_for: useless.saturating_sub(unix),
        })
    }

    /// Whether a run may be stopped for a move or a preemption. Before it is listed to this owner,
    /// the work that its stop loses is not known.
    fn may_stop(&self, task: &TaskName, run: &AssignedRun, now: Moment) -> bool {
        let settles = self.avoided_worker(task, now).is_some();
        let is_known = run.stored && run.percent.is_some();
        run.movable && is_known && !run.stopping && !run.lapsed && !settles
    }

    /// The worker to which a task must not return yet.
    pub(crate) fn avoided_worker(&self, task: &TaskName, now: Moment) -> Option<&AgentName> {
        let progress = self.jobs.get(&task.job)?.task(task)?;
        progress.avoided_worker(now)
    }

    /// Workers that can take one more task of the step.
    fn step_targets(&self, name: &StepName, now: Moment) -> StepTargets {
        let Some(job) = self.jobs.get(&name.job) else { return Vec::new() };
        let Some(step) = job.spec.steps.get(usize::from(name.step)) else { return Vec::new() };
        let config = self.queue_config(&job.spec);
        let ranked = self.rank_workers(None, name, step, &config, now);
        let mut targets: Vec<_> = ranked.into_iter().map(|ranked| ranked.0).collect();
        targets.sort_unstable();
        targets
    }

    /// The worker on which the placement would put the task, and its forecast. Each worker is
    /// the target of one move at a time, as a target's capacity is not reserved.
    fn best_other(
        &self,
        targets: &StepTargets,
        task: &TaskName,
        from: &AgentName,
        now: Moment,
    ) -> Option<MoveTarget> {
        let job = self.jobs.get(&task.job)?;
        let step: &StepSpec = job.step_spec(task)?;
        let (config, name) = (self.queue_config(&job.spec), task.step_name());
        // The limit of the slowdown applies to every move, as the run need not leave its worker.
        let context = ChoiceContext { may_wait: true, ..self.choice(&name, step, &config, now) };
        let mut best: Option<(u64, usize)> = None;
        for &(bound, worker, exact) in targets {
            if best.is_some_and(|best| best <= (bound, worker)) {
                break;
            }
            let Some((agent, tracked)) = self.workers.get_index(worker) else { continue };
            if agent == from || self.moves.is_target(agent) {
                continue;
            }
            let known = if exact { Some(bound) } else { cost(tracked, &context) };
            let found = known.map(|cost| (cost, worker));
            best = [best, found].into_iter().flatten().min();
        }
        let (agent, tracked) = self.workers.get_index(best?.1)?;
        let speed = expected_speed(tracked, &context)?;
        Some(MoveTarget { agent: agent.clone(), speed })
    }

    fn move_run(
        &mut self,
        agent: &AgentName,
        task: &TaskName,
        target: &MoveTarget,
        figures: MoveFigures,
        now: Moment,
    ) {
        let cause = StopCause::Moved(target.agent.clone());
        let Some(run) = self.stop_run(agent, task, cause, now) else { return };
        let (agent, task, target) = (agent.clone(), task.clone(), target.agent.clone());
        self.observations.push(RunObservation::Moved { agent, task, run, target, figures });
    }

    /// Orders the stop of a run, whose task then keeps away from its worker for a while.
    fn stop_run(
        &mut self,
        agent: &AgentName,
        task: &TaskName,
        cause: StopCause,
        now: Moment,
    ) -> Option<RunNumber> {
        let tracked = self.workers.get_mut(agent)?;
        let run = tracked.runs.get(task)?.start.run;
        if !tracked.stop(task) {
            return None;
        }
        self.note_updates(agent);
        let moved = u32::from(matches!(cause, StopCause::Moved(_)));
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.change_task(task, |progress| {
                let number = progress.moves.as_ref().map_or(0, |moves| moves.number) + moved;
                let until = now.after(SETTLE_TIME);
                let moves = TaskMoves { number, away_from: agent.clone(), until };
                progress.moves = Some(Box::new(moves));
            });
        }
        self.moves.stop(agent, task, run, cause);
        Some(run)
    }
}
