//! Handling of the agents' reports: workers, runs and their ends.
//!
//! Decides when a run has ended, whether its task is retried, and when tasks are
//! moved away from a stalled or leaving worker. If an agent stops reporting, its runs
//! may end only once its lease has certainly expired.

use cactusdoor_core::unit::{Millis, Moment};

use crate::forecast::compare_forecast;
use crate::job::{TaskPlace, TaskProgress};
use crate::lease::{AGENT_LEASE, clock_bound};
use crate::moves::SETTLE_TIME;
use crate::name::{AgentName, Checkpoint, JobId, RunNumber, TaskName, WorkerIncarnation};
use crate::observation::{LapseCause, RunObservation};
use crate::report::{AgentOrder, AgentReport, EndedRun, JobState, ReportedRun, RunEnd, WorkerInfo};
use crate::scheduler::{CommitEffect, QueueScheduler};
use crate::timers::SteadyTimer;
use crate::worker::{AssignedRun, REPORT_TIMEOUT, TrackedWorker};

/// Delay before a failed task is retried, ms; doubled with each failure.
const RETRY_DELAY: Millis = 100;
/// Most doublings of the retry delay.
const MAX_RETRY_DOUBLINGS: u32 = 4;
/// Time without progress of any task after which a worker is stalled, ms: four reports
/// of its complete list.
const STALL_LIMIT: Millis = 3_500;
/// Least stall limit as a percentage of a task's estimate: progress is listed in percent.
const STALL_PERCENT: Millis = 5;
/// Most doublings of a task's stall limit: one for each run that was stopped as stalled, as the
/// estimate may be far too low.
const MAX_STALL_DOUBLINGS: u32 = 10;
/// Speed, percent, below which a throttled task is ignored in the check for a stall.
const STALL_SPEED: u8 = 50;
/// Change of a run's progress, percent, that the sums of the remaining work follow: each costs
/// about as much as the other handling of a listed run.
const PROGRESS_STEP: u8 = 10;
/// Progress, percent, at which an endless task is operational.
const OPERATIONAL: u8 = 100;
/// Most former processes of an agent whose reports are recognized.
const MAX_FORMER: usize = 8;
/// Time needed to move a task away from a leaving worker, ms: a stop and a report.
const LEAVE_MARGIN: Millis = 600;

impl QueueScheduler {
    /// Applies a report; returns `false` if it is not newer than the last one, or
    /// comes from a former process of the agent.
    pub fn report(&mut self, report: &AgentReport, now: Moment, unix: Millis) -> bool {
        let agent = &report.agent;
        let tracked = self.workers.entry(agent.clone());
        let tracked = tracked.or_insert_with(|| TrackedWorker::open(agent.clone(), now));
        let same = tracked.incarnation == report.incarnation;
        if tracked.former.contains(&report.incarnation)
            || (same && report.number <= tracked.last_report)
        {
            return false;
        }
        tracked.last_report = report.number;
        for sample in &report.samples {
            self.interference.learn(sample);
        }
        self.interference_changed |= !report.samples.is_empty();
        if tracked.reported_at.after(REPORT_TIMEOUT) < now {
            self.rooms.gain(agent);
        }
        tracked.reported_at = now;
        if !same {
            let worker = report.worker.as_ref();
            let taken_out =
                worker.is_some_and(|worker| self.view.taken_out.contains(&worker.data_centre));
            requeue_orders(tracked, report.incarnation, taken_out);
            tracked.former_runs.expect_former_calls(now);
        }
        // Each owner numbers its orders from the start.
        let received = if report.epoch == self.epoch { report.received } else { 0 };
        tracked.orders.retain(|(number, _)| *number > received);
        self.register_worker(
            agent,
            (report.worker.as_ref(), report.ended_incarnation.as_ref()),
            report.runs.as_deref(),
            now,
            unix,
        );
        self.apply_ends(agent, &report.ended, now, unix);
        // The answer extends the lease from now on, which also covers runs placed
        // before it is sent. Without a known worker no lease is extended.
        if let Some(tracked) =
            self.workers.get_mut(agent).filter(|tracked| tracked.worker.is_some())
        {
            tracked.lease_end = tracked.lease_end.max(clock_bound(now, AGENT_LEASE));
        }
        if let Some(reported) = &report.runs {
            // Without a percentage, the start is still under way.
            for listed in reported.iter().filter(|listed| listed.percent.is_some()) {
                self.record_start(&listed.task.job);
            }
            self.reconcile(agent, reported, received, now);
        }
        self.note_updates(agent);
        true
    }

    /// Registers the reported worker and ends the runs of an incarnation that has ended.
    /// `listed`: the runs that its agent lists; without them, an announcement may be an old one.
    fn register_worker(
        &mut self,
        agent: &AgentName,
        (worker, ended): (Option<&WorkerInfo>, Option<&WorkerIncarnation>),
        listed: Option<&[ReportedRun]>,
        now: Moment,
        unix: Millis,
    ) {
        let Some(tracked) = self.workers.get_mut(agent) else { return };
        // A restarted agent does not know its worker yet, so `None` ends nothing.
        let lapse_cause = |incarnation: &WorkerIncarnation| {
            let replaced = worker.is_some_and(|worker| {
                worker.incarnation.succeeds(incarnation)
                    || (listed.is_some() && worker.incarnation != *incarnation)
            });
            if ended == Some(incarnation) {
                Some(LapseCause::WorkerEnded)
            } else {
                replaced.then_some(LapseCause::WorkerReplaced)
            }
        };
        // A start call without an answer may still reach a successor under the same id, also of a
        // run that was listed: the run ends once the successor has answered its stop. Before a
        // successor is known, the agent lists the runs that have such a call.
        let may_reach = |run: &AssignedRun| match worker {
            Some(new) => new.incarnation.id == run.start.incarnation.id,
            None => listed.into_iter().flatten().any(|listed| {
                listed.task == run.start.task
                    && listed.run == run.start.run
                    && listed.percent.is_none()
            }),
        };
        let expired = tracked.runs.iter().filter_map(|(task, run)| {
            let cause = lapse_cause(&run.start.incarnation)?;
            Some((task.clone(), run.start.run, cause, may_reach(run)))
        });
        let (uncertain, expired): (Vec<_>, Vec<_>) =
            expired.partition(|(_, _, _, uncertain)| *uncertain);
        for (task, run, cause, _) in uncertain {
            if let Some(worker) = worker
                && tracked.stop_on_successor(&task, run, &worker.incarnation)
            {
                let agent = agent.clone();
                self.observations.push(RunObservation::Lapsed { agent, task, run, cause });
            }
        }
        let registered = worker.map(|new| &new.incarnation);
        if tracked.worker.as_ref().map(|old| &old.incarnation) != registered {
            tracked.acknowledged = 0;
            tracked.load = None;
            if let Some(registered) = registered {
                tracked.stop_former_runs(registered, now);
            }
        }
        let leaves = worker.and_then(|worker| worker.leaves_in);
        tracked.leaves_at = leaves.map(|remaining| now.after(remaining));
        if tracked.worker.as_ref() != worker {
            self.rooms.gain(agent);
        }
        tracked.worker = worker.cloned();
        for (task, run, cause, _) in expired {
            self.lapse_run(agent, &task, run, cause, now, unix);
        }
        if leaves.is_some() {
            self.drain(agent, now);
        }
    }

    /// Stops endless runs, and checkpointing runs that would outlast the leaving worker.
    fn drain(&mut self, agent: &AgentName, now: Moment) {
        let Some(tracked) = self.workers.get_mut(agent) else { return };
        let Some(leaves_at) = tracked.leaves_at else { return };
        let moving = tracked.runs.iter().filter(|(_, run)| {
            let ends = now.after(run.remaining(now)).after(LEAVE_MARGIN);
            run.endless || (run.checkpoints && ends > leaves_at)
        });
        let moving: Vec<_> = moving.map(|(task, _)| task.clone()).collect();
        for task in moving {
            tracked.stop(&task);
        }
    }

    fn apply_ends(&mut self, agent: &AgentName, ended: &[EndedRun], now: Moment, unix: Millis) {
        for ended in ended {
            // The worker lists the ends of those runs only that have started.
            if ended.number > 0 {
                self.record_start(&ended.task.job);
            }
            self.end_run(agent, &ended.task, ended.run, ended.end, Some(ended), now, unix);
        }
        let Some(tracked) = self.workers.get_mut(agent) else { return };
        let has_ended = |task: &TaskName, run| {
            ended.iter().any(|ended| ended.task == *task && ended.run == run)
        };
        let was_open = tracked.unassigned.is_empty();
        tracked.unassigned.retain(|(task, run)| !has_ended(task, *run));
        if !was_open && tracked.unassigned.is_empty() {
            self.rooms.gain(agent);
        }
        let incarnation = tracked.worker.as_ref().map(|worker| worker.incarnation.clone());
        let Some(incarnation) = incarnation else { return };
        if let Some(number) = ended.iter().map(|ended| ended.number).max().filter(|n| *n > 0) {
            let acknowledged =
                CommitEffect::Acknowledged { agent: agent.clone(), incarnation, number };
            self.push(None, Some(acknowledged));
        }
        for ended in ended.iter().filter(|ended| ended.number == 0) {
            let (task, run) = (ended.task.clone(), ended.run);
            self.push(
                None,
                Some(CommitEffect::RunAcknowledged { agent: agent.clone(), task, run }),
            );
        }
    }

    /// Ends a run whose end no agent has reported.
    fn lapse_run(
        &mut self,
        agent: &AgentName,
        task: &TaskName,
        run: RunNumber,
        cause: LapseCause,
        now: Moment,
        unix: Millis,
    ) {
        if self.is_live(agent, task, run) {
            let (agent, task) = (agent.clone(), task.clone());
            self.observations.push(RunObservation::Lapsed { agent, task, run, cause });
        }
        self.end_run(agent, task, run, RunEnd::Lapsed, None, now, unix);
    }

    #[expect(clippy::too_many_arguments, reason = "the end of a run with its details")]
    fn end_run(
        &mut self,
        agent: &AgentName,
        task: &TaskName,
        number: RunNumber,
        end: RunEnd,
        listed: Option<&EndedRun>,
        now: Moment,
        unix: Millis,
    ) {
        let Some(tracked) = self.workers.get_mut(agent) else { return };
        if tracked.runs.get(task).is_none_or(|run| run.start.run != number) {
            return;
        }
        let Some(run) = tracked.runs.remove(task) else { return };
        tracked.former_runs.add(task, number, &run.start.incarnation, now);
        self.rooms.gain(agent);
        let moved = self.moves.end(agent, task, number);
        if !self.moves.frees_on(agent) {
            tracked.hold = None;
        }
        // The agent may have received the start without a report of that so far, and ignores
        // another order under its number.
        if listed.is_none() && tracked.withdraw_start(task, number) {
            tracked.order(AgentOrder::Stop { task: task.clone(), run: number });
        }
        match end {
            RunEnd::Done => tracked.health.succeed(),
            RunEnd::Failed if !run.endless => tracked.health.fail(&task.job, now),
            RunEnd::NotStarted if !run.stopping => tracked.health.fail(&task.job, now),
            _ => {}
        }
        if tracked.health.is_quarantined(now) {
            let until = tracked.health.quarantined_until().0;
            self.steady_timers.set(until, SteadyTimer::Quarantine(agent.clone()));
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            self.push(Some((task.to_string(), None)), None);
            return;
        };
        if self.features.job_order {
            self.ranks.change_progress(job, task, run.percent, None);
        }
        let listed =
            listed.map(|listed| &listed.checkpoint).filter(|checkpoint| !checkpoint.is_empty());
        let checkpoint = listed.cloned().unwrap_or(run.checkpoint);
        job.change_task(task, |task| {
            task.stalls = task.stalls.saturating_add(u32::from(run.stalled));
            if task.checkpoint != checkpoint {
                task.checkpoint_percent = run.percent.unwrap_or_default();
            }
            if let Some(moves) = task.moves.as_mut().filter(|_| moved) {
                moves.until = now.after(SETTLE_TIME);
            }
        });
        if moved {
            let retry = SteadyTimer::Retry(task.job.clone(), task.occurrence);
            self.steady_timers.set(now.after(SETTLE_TIME).0, retry);
        }
        let gang = self.jobs.get(&task.job).and_then(|job| job.step_spec(task));
        let gang = gang.filter(|step| step.gang).map(|step| step.tasks);
        // A task that lasts is never done: it is started again however its run ends.
        let done = end == RunEnd::Done && !run.endless;
        if let Some(count) = gang.filter(|_| done) {
            for index in 0..count {
                self.update_task(
                    &TaskName { index, ..task.clone() },
                    done,
                    false,
                    &checkpoint,
                    now,
                );
            }
        } else {
            let failed = end == RunEnd::Failed && !run.endless;
            self.update_task(task, done, failed, &checkpoint, now);
        }
        self.check_job(&task.job, unix);
    }

    fn update_task(
        &mut self,
        name: &TaskName,
        done: bool,
        failed: bool,
        checkpoint: &Checkpoint,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get(&name.job) else { return };
        if job.task(name).is_none_or(|task| task.place == TaskPlace::Done) {
            return;
        }
        let change = |task: &mut TaskProgress| {
            task.checkpoint = checkpoint.clone();
            let saved = !done && !checkpoint.is_empty();
            // A worker may list more than the whole.
            task.percent = if saved { task.checkpoint_percent.min(100) } else { 0 };
            task.failures = task.failures.saturating_add(u32::from(failed));
            let doublings = task.failures.saturating_sub(1).min(MAX_RETRY_DOUBLINGS);
            let retry = if failed { RETRY_DELAY << doublings } else { 0 };
            task.place = if done { TaskPlace::Done } else { TaskPlace::Waiting(now.after(retry)) };
        };
        self.change_tracked_task(name, change, now);
        let Some(job) = self.jobs.get(&name.job) else { return };
        let Some(record) = job.task(name).map(|task| task.record(None)) else { return };
        self.push_task(name, &record, None);
        self.changed.insert((name.job.clone(), name.occurrence));
        self.update_idle(&name.job, now);
    }

    fn check_job(&mut self, id: &JobId, unix: Millis) {
        let Some(job) = self.jobs.get(id) else { return };
        if self.has_failed(job) {
            self.end_job(id, JobState::Failed, unix);
        } else if job.is_completed() {
            self.end_job(id, JobState::Completed, unix);
        }
    }

    /// Publishes a job as running, as one of its tasks is known to have started.
    fn record_start(&mut self, id: &JobId) {
        let queued = self.jobs.get_mut(id).filter(|job| job.state == JobState::Queued);
        let Some(job) = queued else { return };
        job.state = JobState::Running;
        let (state, queue) = (job.state, job.spec.queue.clone());
        self.discount_pending(&queue);
        self.push(None, Some(CommitEffect::Published { job: id.clone(), state }));
    }

    /// Compares the worker's list with the assigned runs and stops unknown ones.
    fn reconcile(
        &mut self,
        agent: &AgentName,
        reported: &[ReportedRun],
        received: u64,
        now: Moment,
    ) {
        let Some(tracked) = self.workers.get_mut(agent) else { return };
        let was_open = tracked.unassigned.is_empty();
        tracked.unassigned.clear();
        tracked.awaits_list = false;
        let counts = self.features.refusals;
        let (mut progress, mut used) = (Vec::new(), 0u64);
        for listed in reported {
            let known = tracked.runs.get_mut(&listed.task);
            match known.filter(|run| run.start.run == listed.run) {
                Some(run) => {
                    self.observations.extend(compare_forecast(agent, run, listed));
                    // A new checkpoint holds at least the progress of the list before.
                    let saved = run.percent.unwrap_or(run.checkpoint_percent);
                    // Without a percentage, neither speed nor progress is known.
                    if run.start.best_effort && listed.percent.is_some() {
                        let speed = u128::from(listed.speed.min(100));
                        let cpu = u128::from(run.start.cpu) * speed / 100;
                        used = used.saturating_add(u64::try_from(cpu).unwrap_or(u64::MAX));
                    }
                    if let Some(percent) = listed.percent.filter(|_| counts)
                        && run.percent.map(|known| known / PROGRESS_STEP)
                            != Some(percent / PROGRESS_STEP)
                    {
                        progress.push((listed.task.clone(), percent));
                    }
                    if listed.percent.is_some() && run.percent != listed.percent {
                        let before = std::mem::replace(&mut run.percent, listed.percent);
                        run.progressed = now;
                        let job = self.jobs.get(&listed.task.job);
                        if let Some(job) = job.filter(|_| self.features.job_order) {
                            self.ranks.change_progress(job, &listed.task, before, listed.percent);
                        }
                    }
                    if !listed.checkpoint.is_empty() && run.checkpoint != listed.checkpoint {
                        run.checkpoint = listed.checkpoint.clone();
                        run.checkpoint_percent = saved;
                    }
                    // While the start is under way, the speed is not known.
                    if self.features.moves && listed.percent.is_some() {
                        run.list_speed(listed.speed, now);
                        self.moves.update(agent, run, now);
                    }
                }
                None => {
                    let (task, run) = (listed.task.clone(), listed.run);
                    tracked.unassigned.push((task.clone(), run));
                    let stop = AgentOrder::Stop { task: task.clone(), run };
                    if !tracked.orders.iter().any(|(_, order)| *order == stop) {
                        tracked.order(stop);
                        // The stop of a run that has ended is under way.
                        if listed.percent.is_some() || !tracked.former_runs.contains(&task, run) {
                            let agent = agent.clone();
                            self.observations.push(RunObservation::Unassigned { agent, task, run });
                        }
                    }
                }
            }
        }
        if !was_open && tracked.unassigned.is_empty() {
            self.rooms.gain(agent);
        }
        if tracked.is_taken_out(&self.view) {
            let stopped = tracked.stop_unstarted();
            self.observations.extend(RunObservation::withdrawn(agent, stopped));
        }
        tracked.repeat_orders(reported);
        // The agent has received an order only if its number is at most `received`; later
        // ones are in transit, so the worker is not checked for a stall yet.
        if tracked.orders.is_empty() && received == tracked.last_order {
            check_stall(tracked, reported, now);
            if tracked.health.is_quarantined(now) {
                let until = tracked.health.quarantined_until().0;
                self.steady_timers.set(until, SteadyTimer::Quarantine(agent.clone()));
            }
        }
        self.record_progress(agent, progress, used, now);
    }

    /// Ends the runs of agents whose lease has certainly expired; returns these agents
    /// and how long they have been silent, ms, or `None` if they never reported.
    pub fn expire(&mut self, now: Moment, unix: Millis) -> Vec<(AgentName, Option<Millis>)> {
        if self.next_expiry.is_none_or(|first| now <= first) {
            return Vec::new();
        }
        let mut silent = Vec::new();
        let mut expired = Vec::new();
        let with_runs = self.workers.values().filter(|tracked| !tracked.runs.is_empty());
        let alive = with_runs.filter(|tracked| tracked.lease_end >= now);
        self.next_expiry = alive.map(|tracked| tracked.lease_end).min();
        for tracked in self.workers.values_mut() {
            if tracked.lease_end < now && !tracked.runs.is_empty() {
                tracked.awaits_list = true;
                let reported_at = (tracked.incarnation != 0).then_some(tracked.reported_at);
                let since = reported_at.map(|reported_at| now.0.saturating_sub(reported_at.0));
                silent.push((tracked.agent.clone(), since));
                let runs = tracked.runs.iter();
                expired.extend(
                    runs.map(|(task, run)| (tracked.agent.clone(), task.clone(), run.start.run)),
                );
            }
        }
        for (agent, task, run) in expired {
            self.lapse_run(&agent, &task, run, LapseCause::LeaseExpired, now, unix);
        }
        silent
    }
}

/// Queues all orders again for a restarted agent, or for one that reports to a new owner.
/// `taken_out`: starts wait for the worker's list, which tells what has started.
fn requeue_orders(tracked: &mut TrackedWorker, incarnation: u64, taken_out: bool) {
    tracked.former.push_back(std::mem::replace(&mut tracked.incarnation, incarnation));
    let excess = tracked.former.len().saturating_sub(MAX_FORMER);
    tracked.former.drain(..excess);
    tracked.orders.clear();
    tracked.last_order = 0;
    tracked.acknowledged_runs.clear();
    let due = tracked.runs.values().filter(|run| run.stored && (run.stopping || !taken_out));
    for order in due.map(AssignedRun::order).collect::<Vec<_>>() {
        tracked.order(order);
    }
}

/// Quarantines a worker on which no task progresses and stops its runs, except
/// operational endless ones.
fn check_stall(tracked: &mut TrackedWorker, reported: &[ReportedRun], now: Moment) {
    let working = reported.iter().filter(|run| run.speed >= STALL_SPEED && run.percent.is_some());
    let runs = working.filter_map(|listed| tracked.runs.get(&listed.task));
    let finite: Vec<_> = runs.filter(|run| !run.stopping && !run.endless).collect();
    let stalled = |run: &&AssignedRun| {
        let limit = STALL_LIMIT.max(run.estimate.saturating_mul(STALL_PERCENT) / 100);
        let limit = limit.saturating_mul(1 << run.stalls.min(MAX_STALL_DOUBLINGS));
        run.progressed.after(limit) < now
    };
    if finite.is_empty() || !finite.iter().all(stalled) {
        return;
    }
    tracked.health.quarantine(now);
    // The progress of an operational endless task does not change.
    let is_operational = |run: &AssignedRun| run.endless && run.percent >= Some(OPERATIONAL);
    let to_stop = tracked.runs.iter().filter(|(_, run)| !is_operational(run));
    for task in to_stop.map(|(task, _)| task.clone()).collect::<Vec<_>>() {
        if tracked.stop(&task)
            && let Some(run) = tracked.runs.get_mut(&task)
        {
            run.stalled = true;
        }
    }
}
