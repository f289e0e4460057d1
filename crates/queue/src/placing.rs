//! Placement: which waiting step is served next, and which workers get its tasks.
//!
//! A call of [`QueueScheduler::place`] looks at what has changed since the last one: jobs with
//! a change are indexed again, and refused steps are tried on workers that have gained room.

use std::sync::Arc;

use cactusdoor_core::unit::{Millis, Moment};

use crate::config::{OperatorView, QueueConfig};
use crate::job::{JobProgress, TaskPlace};
use crate::name::{AgentName, JobId, Label, RunNumber, StepName, TaskName};
use crate::placement::{ChoiceContext, cost};
use crate::record::PlacedAt;
use crate::report::{JobState, StartOrder};
use crate::scheduler::{CommitEffect, QueueScheduler, start_order};
use crate::spec::StepSpec;
use crate::timers::{DayTimer, SteadyTimer};
use crate::waiting::{NeedClass, StepOrder};
use crate::worker::AssignedRun;

/// Most starts of one call; the caller handles other events before the next.
const MAX_STARTS: usize = 500;
/// Least time between two trials of refused best-effort steps whose workers have not gained
/// room, ms: the learned interference changes with every report.
const BEST_EFFORT_INTERVAL: Millis = 250;

impl QueueScheduler {
    /// Opens due occurrences and places ready tasks that fit on a worker; returns whether
    /// more could be placed at once. Then decides moves, if [`Self::balance`] has called for it.
    pub fn place(&mut self, now: Moment, unix: Millis) -> bool {
        let decides = std::mem::take(&mut self.moves_due);
        let has_more = self.place_steps(now, unix);
        if decides && !has_more {
            self.decide_moves(now, unix);
        }
        has_more
    }

    fn place_steps(&mut self, now: Moment, unix: Millis) -> bool {
        self.fire_timers(now, unix);
        self.index_changed(now, unix);
        self.reopen_steps(now);
        let mut started = 0;
        while started < MAX_STARTS {
            let Some(step) = self.waiting.first() else { return false };
            started += self.place_step(&step, now, unix);
        }
        true
    }

    /// When [`Self::place`] or [`Self::expire`] has something to do without a further event.
    #[must_use]
    pub fn next_wake(&self, now: Moment, unix: Millis) -> Option<Moment> {
        if !self.changed.is_empty() || !self.opened.is_empty() {
            return Some(now);
        }
        let steady = self.steady_timers.next().map(Moment);
        let day = self.day_timers.next().map(|at| now.after(at.saturating_sub(unix)));
        let expiry = self.next_expiry.map(|at| at.after(1));
        let learned = (self.retries_best_effort() && !self.waiting.is_empty())
            .then(|| self.best_effort_tried.after(BEST_EFFORT_INTERVAL));
        [steady, day, expiry, learned].into_iter().flatten().min()
    }

    fn fire_timers(&mut self, now: Moment, unix: Millis) {
        for job in std::mem::take(&mut self.opened) {
            self.open_due(&job, now, unix);
        }
        while let Some(timer) = self.steady_timers.take_due(now.0) {
            match timer {
                SteadyTimer::Idle(job) => self.mark_job(&job),
                SteadyTimer::Retry(job, occurrence) => {
                    self.changed.insert((job, occurrence));
                }
                SteadyTimer::Quarantine(agent) | SteadyTimer::Hold(agent) => {
                    self.rooms.gain(&agent);
                }
            }
        }
        while let Some(timer) = self.day_timers.take_due(unix) {
            match timer {
                DayTimer::Due(job) => self.open_due(&job, now, unix),
                DayTimer::Late(job, occurrence) => {
                    self.changed.insert((job, occurrence));
                }
            }
        }
    }

    /// Opens the due occurrences of a job and sets its timers.
    fn open_due(&mut self, id: &JobId, now: Moment, unix: Millis) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.open_due(unix);
        if let Some(due) = job.next_due() {
            self.day_timers.set(due, DayTimer::Due(id.clone()));
        }
        self.track_job(id, unix);
        self.update_idle(id, now);
        self.mark_job(id);
    }

    /// Updates since when a job is idle.
    pub(crate) fn update_idle(&mut self, id: &JobId, now: Moment) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let before = job.idle_since;
        job.update_idle(now);
        if let Some(until) = job.waits_until().filter(|_| before.is_none()) {
            self.steady_timers.set(until.0, SteadyTimer::Idle(id.clone()));
        }
    }

    /// Has all unfinished occurrences of a job indexed again.
    pub(crate) fn mark_job(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let unfinished =
            job.occurrences.iter().filter(|(_, steps)| steps.iter().any(|step| !step.is_done()));
        self.changed.extend(unfinished.map(|(&occurrence, _)| (id.clone(), occurrence)));
    }

    fn index_changed(&mut self, now: Moment, unix: Millis) {
        while let Some((job, occurrence)) = self.changed.pop() {
            self.index_occurrence(&job, occurrence, now, unix);
        }
    }

    /// Queues the ready steps of an occurrence, and removes the others from the queue.
    fn index_occurrence(&mut self, id: &JobId, occurrence: u32, now: Moment, unix: Millis) {
        self.refresh_rank(id, occurrence, now, unix);
        let Some(job) = self.jobs.get(id) else { return };
        let config = self.queue_config(&job.spec);
        let late_at = Self::late_at(&self.view, job, occurrence);
        let late = late_at.is_some_and(|at| at <= unix);
        let mut retry = None;
        let (mut ready, mut others) = (Vec::new(), Vec::new());
        let steps = job.occurrences.get(&occurrence).into_iter().flatten();
        for ((step, progress), spec) in (0u16..).zip(steps).zip(&job.spec.steps) {
            let name = StepName { job: id.clone(), occurrence, step };
            let startable = progress.startable_at(spec);
            retry = [retry, progress.next_retry(now)].into_iter().flatten().min();
            if startable.is_some_and(|at| at <= now) && job.is_ready(occurrence, step) {
                ready.push((name, progress.avoids_worker(now)));
            } else {
                others.push(name);
            }
        }
        if let Some(at) = late_at.filter(|at| *at > unix && !ready.is_empty()) {
            self.day_timers.set(at, DayTimer::Late(id.clone(), occurrence));
        }
        if let Some(at) = retry {
            self.steady_timers.set(at.0, SteadyTimer::Retry(id.clone(), occurrence));
        }
        if !ready.is_empty() && self.has_failed(job) {
            self.end_job(id, JobState::Failed, unix);
            return;
        }
        let may_wait = job.may_wait(now);
        for (name, avoids) in ready {
            let Some(step) = job.spec.steps.get(usize::from(name.step)) else { continue };
            let class = NeedClass::of(&name, step, &config, may_wait, avoids);
            let (priority, accepted) = (config.terms.priority, job.spec.accepted);
            let turn = self.step_turn(&name, late, accepted);
            self.waiting.insert(class, StepOrder { priority, turn, step: name });
        }
        for name in others {
            self.waiting.remove(&name);
        }
    }

    /// Opens refused classes that a worker with new room may take.
    fn reopen_steps(&mut self, now: Moment) {
        let retry = now >= self.best_effort_tried.after(BEST_EFFORT_INTERVAL);
        if self.retries_best_effort() && retry {
            self.interference_changed = false;
            self.best_effort_tried = now;
            self.waiting.reopen_best_effort();
        }
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.reopen(&self.rooms, |step, agent| self.admits(step, agent, now));
        self.waiting = waiting;
    }

    /// Whether workers may take refused best-effort steps without having gained room. A forecast
    /// changes with the age of its load, too.
    fn retries_best_effort(&self) -> bool {
        self.interference_changed || self.features.headroom_forecast
    }

    /// Whether an agent's worker can take a task of a waiting step.
    fn admits(&self, name: &StepName, agent: &AgentName, now: Moment) -> bool {
        let Some(job) = self.jobs.get(&name.job) else { return true };
        let Some(step) = job.spec.steps.get(usize::from(name.step)) else { return true };
        let config = self.queue_config(&job.spec);
        let context = self.choice(name, step, &config, now);
        self.workers.get(agent).is_some_and(|tracked| cost(tracked, &context).is_some())
    }

    /// Places tasks of a waiting step; returns how many. The step is refused if some remain.
    fn place_step(&mut self, name: &StepName, now: Moment, unix: Millis) -> usize {
        let Some(job) = self.jobs.get(&name.job) else {
            self.waiting.remove(name);
            return 0;
        };
        let (spec, config) = (job.spec.clone(), self.queue_config(&job.spec));
        let may_wait = job.may_wait(now);
        let placed = match spec.steps.get(usize::from(name.step)) {
            Some(step) if step.gang => self.place_gang(name, step, &config, now),
            Some(step) => self.place_tasks(name, step, &config, now),
            None => 0,
        };
        if self.jobs.get(&name.job).is_some_and(|job| job.may_wait(now) != may_wait) {
            self.mark_job(&name.job);
        }
        self.changed.insert((name.job.clone(), name.occurrence));
        let class = self.waiting.class_of(name).cloned();
        self.index_changed(now, unix);
        // A placement may have moved the step to another class.
        if let Some(class) = class.filter(|class| self.waiting.class_of(name) == Some(class)) {
            self.waiting.refuse(&class, self.rooms.number);
        }
        placed
    }

    /// Places tasks until no worker can take one.
    fn place_tasks(
        &mut self,
        name: &StepName,
        step: &StepSpec,
        config: &QueueConfig,
        now: Moment,
    ) -> usize {
        let Some(job) = self.jobs.get(&name.job) else { return 0 };
        let steps = job.occurrences.get(&name.occurrence);
        let Some(progress) = steps.and_then(|steps| steps.get(usize::from(name.step))) else {
            return 0;
        };
        let tasks = (0u32..).zip(&progress.tasks).filter(|(_, task)| task.is_waiting(now));
        let mut tasks: Vec<_> = tasks.collect();
        // Tasks that were moved have waited before.
        tasks.sort_by_key(|(_, task)| task.moves.is_none());
        let tasks = tasks.into_iter();
        let tasks: Vec<_> =
            tasks.map(|(index, task)| (name.task(index), task.run.saturating_add(1))).collect();
        let mut may_wait = job.may_wait(now);
        let mut heap = self.rank_workers(None, name, step, config, now);
        let mut placed = 0;
        for (task, run) in tasks {
            let avoided = self.avoided_worker(&task, now).cloned();
            let placed_step = (name, step, config);
            let worker = self.pop_worker(&mut heap, &task, avoided.as_ref(), placed_step, now);
            // An idle job waits no longer for another worker.
            let worker = worker.or_else(|| {
                let returns = avoided.is_some() && !may_wait;
                let pop = || self.pop_worker(&mut heap, &task, None, placed_step, now);
                returns.then(pop).flatten()
            });
            let Some(worker) = worker else {
                if avoided.is_some() {
                    continue;
                }
                break;
            };
            self.start(worker, &task, run, now);
            placed += 1;
            let waits = self.jobs.get(&name.job).is_none_or(|job| job.may_wait(now));
            if waits == may_wait {
                self.push_worker(&mut heap, worker, (name, step, config), now);
            } else {
                may_wait = waits;
                heap = self.rank_workers(None, name, step, config, now);
            }
        }
        placed
    }

    /// Places all tasks of a gang or none. All members start with the same checkpoint, as that
    /// of each is valid for the others: with the furthest one.
    fn place_gang(
        &mut self,
        name: &StepName,
        step: &StepSpec,
        config: &QueueConfig,
        now: Moment,
    ) -> usize {
        let Some(job) = self.jobs.get(&name.job) else { return 0 };
        let names: Vec<_> = (0..step.tasks).map(|index| name.task(index)).collect();
        let members: Vec<_> = names.iter().filter_map(|name| job.task(name)).collect();
        if !members.iter().all(|member| member.is_waiting(now)) {
            return 0;
        }
        let run = members.iter().map(|member| member.run).max().unwrap_or_default();
        let run = run.saturating_add(1);
        let furthest = members
            .iter()
            .max_by_key(|member| (member.checkpoint_percent, !member.checkpoint.is_empty()));
        let checkpoint = furthest.map(|member| member.checkpoint.clone()).unwrap_or_default();
        let Some(workers) = self.choose_gang(name, &names, step, config, now) else { return 0 };
        for (name, worker) in names.iter().zip(&workers) {
            if let Some(job) = self.jobs.get_mut(&name.job) {
                job.change_task(name, |task| task.checkpoint = checkpoint.clone());
            }
            self.start(*worker, name, run, now);
        }
        names.len()
    }

    fn choose_gang(
        &mut self,
        name: &StepName,
        tasks: &[TaskName],
        step: &StepSpec,
        config: &QueueConfig,
        now: Moment,
    ) -> Option<Vec<usize>> {
        let mut racks: Vec<_> =
            self.workers.values().filter_map(|tracked| tracked.rack().cloned()).collect();
        racks.sort();
        racks.dedup();
        let one_rack = racks.into_iter().filter(|_| step.one_rack).map(Some);
        one_rack
            .chain([None])
            .find_map(|rack| self.choose_in(rack.as_ref(), name, tasks, step, config, now))
    }

    /// Workers for all tasks of a gang, within a rack if one is given.
    fn choose_in(
        &mut self,
        rack: Option<&Label>,
        name: &StepName,
        tasks: &[TaskName],
        step: &StepSpec,
        config: &QueueConfig,
        now: Moment,
    ) -> Option<Vec<usize>> {
        let mut heap = self.rank_workers(rack, name, step, config, now);
        let mut chosen = Vec::new();
        for task in tasks {
            let placed_step = (name, step, config);
            let Some(worker) = self.pop_worker(&mut heap, task, None, placed_step, now) else {
                break;
            };
            self.assign_run(worker, task, step, 0, now);
            chosen.push(worker);
            self.push_worker(&mut heap, worker, (name, step, config), now);
        }
        for (task, worker) in tasks.iter().zip(&chosen) {
            if let Some((_, tracked)) = self.workers.get_index_mut(*worker) {
                tracked.runs.remove(task);
            }
        }
        (chosen.len() == tasks.len()).then_some(chosen)
    }

    pub(crate) fn choice<'a>(
        &'a self,
        name: &'a StepName,
        step: &'a StepSpec,
        config: &'a QueueConfig,
        now: Moment,
    ) -> ChoiceContext<'a> {
        let may_wait = self.jobs.get(&name.job).is_none_or(|job| job.may_wait(now));
        self.choice_for(name, step, config, may_wait, now)
    }

    /// The inputs of a choice for a step whose job need not be known.
    pub(crate) fn choice_for<'a>(
        &'a self,
        name: &'a StepName,
        step: &'a StepSpec,
        config: &'a QueueConfig,
        may_wait: bool,
        now: Moment,
    ) -> ChoiceContext<'a> {
        let taken_out = &self.view.taken_out;
        let (service, interference) = (&config.service, &self.interference);
        let forecasts = self.features.headroom_forecast;
        ChoiceContext {
            name,
            step,
            service,
            priority: config.terms.priority,
            taken_out,
            interference,
            within: None,
            may_wait,
            forecasts,
            now,
        }
    }

    fn assign_run(
        &mut self,
        worker: usize,
        name: &TaskName,
        step: &StepSpec,
        run: RunNumber,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get(&name.job) else { return };
        let task = job.task(name);
        let checkpoint = task.map(|task| task.checkpoint.clone()).unwrap_or_else(|| Arc::from(""));
        let stalls = task.map_or(0, |task| task.stalls);
        let checkpoint_percent = task.map_or(0, |task| task.checkpoint_percent);
        let payload = job.payload.clone();
        let forecast = self.forecast_speed(worker, name, step, now);
        let job_deadline = Self::deadline(&self.view, job, name.occurrence);
        let job_deadline = job_deadline.saturating_sub(job.path_after(name.step));
        let Some((_, tracked)) = self.workers.get_index_mut(worker) else { return };
        let Some(incarnation) = tracked.worker.as_ref().map(|worker| worker.incarnation.clone())
        else {
            return;
        };
        let start = StartOrder {
            checkpoint,
            job_deadline,
            ..start_order(name, incarnation, run, step, payload)
        };
        let run = AssignedRun::open(start, step, now);
        tracked.runs.insert(AssignedRun { stalls, forecast, checkpoint_percent, ..run });
        let lease_end = tracked.lease_end;
        self.expire_from(lease_end);
    }

    fn start(&mut self, worker: usize, name: &TaskName, run: RunNumber, now: Moment) {
        let Some((agent, tracked)) = self.workers.get_index(worker) else { return };
        let agent = agent.clone();
        let incarnation = tracked.worker.as_ref().map(|worker| worker.incarnation.clone());
        let Some(incarnation) = incarnation else { return };
        let Some(spec) = self.jobs.get(&name.job).map(|job| job.spec.clone()) else { return };
        let Some(step) = spec.steps.get(usize::from(name.step)) else { return };
        self.assign_run(worker, name, step, run, now);
        let tracked = self.workers.get(&agent);
        let reserved_cpu = tracked.map_or(0, |tracked| tracked.reserved().cpu);
        let forecast = tracked.and_then(|tracked| tracked.runs.get(name)?.forecast);
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        job.change_task(name, |task| {
            task.run = run;
            task.place = TaskPlace::Placed(agent.clone());
            task.agent = Some(agent.clone());
        });
        job.update_idle(now);
        let placed = PlacedAt { agent: agent.clone(), incarnation };
        let Some(record) = job.task(name).map(|task| task.record(Some(placed))) else { return };
        let started =
            CommitEffect::Started { agent, task: name.clone(), run, reserved_cpu, forecast };
        self.push_task(name, &record, Some(started));
    }

    /// Unix time from which an occurrence can no longer meet its deadline; `None` for an
    /// endless job.
    pub(crate) fn late_at(
        view: &OperatorView,
        job: &JobProgress,
        occurrence: u32,
    ) -> Option<Millis> {
        let latest = Self::deadline(view, job, occurrence);
        let latest = latest.saturating_sub(job.remaining_path(occurrence));
        (!job.spec.is_endless()).then(|| latest.saturating_add(1))
    }
}
