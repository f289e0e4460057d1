//! What agents report: workers, runs and their ends.

use cactusdoor_core::unit::{Millis, Moment};

use crate::book::{BookEffect, QueueBook};
use crate::job::TaskPlace;
use crate::lease::{GRANT, clock_bound};
use crate::name::{AgentName, Checkpoint, JobId, RunNumber, TaskName, WorkerLife};
use crate::report::{AgentOrder, AgentReport, EndedRun, HeldRun, JobState, RunEnd, WorkerState};
use crate::seat::{SeatRun, WorkerSeat};

/// Wait before a failed task is started again, doubled with each failure.
const RETRY: Millis = 100;
/// Most doublings of that wait.
const MAX_RETRY_DOUBLINGS: u32 = 4;
/// A worker none of whose tasks has progressed for so long stands still: four
/// reports of its whole list.
const STALL: Millis = 3_500;
/// The same as a share of a task's estimate: progress is told in percent.
const STALL_PERCENT: Millis = 5;
/// A task that is paced down further says nothing about its worker.
const STALL_PACE: u8 = 50;
/// Percent of a task that lasts and is at work.
const AT_WORK: u8 = 100;
/// Left of a leaving worker's time when its tasks are moved: a stop and a report.
const LEAVE_MARGIN: Millis = 600;

impl QueueBook {
    /// Takes up a report; returns whether it was new.
    pub fn report(&mut self, report: &AgentReport, now: Moment, unix: Millis) -> bool {
        let agent = &report.agent;
        let seat = self.seats.entry(agent.clone());
        let seat = seat.or_insert_with(|| WorkerSeat::open(agent.clone(), now));
        if seat.incarnation == report.incarnation && report.number <= seat.report {
            return false;
        }
        seat.report = report.number;
        for sample in &report.samples {
            self.presses.learn(sample);
        }
        seat.heard = now;
        if seat.incarnation != report.incarnation {
            renew(seat, report.incarnation);
        }
        // Orders of an earlier owner were numbered by themselves.
        let received = if report.epoch == self.epoch { report.received } else { 0 };
        seat.orders.retain(|(number, _)| *number > received);
        self.meet_worker(agent, (report.worker.as_ref(), report.gone.as_ref()), now, unix);
        self.take_ends(agent, &report.ended, now, unix);
        // The answer grants a lease from now on, also to what is placed before
        // it is sent. Without a known worker no lease is extended.
        if let Some(seat) = self.seats.get_mut(agent).filter(|seat| seat.worker.is_some()) {
            seat.granted_until = seat.granted_until.max(clock_bound(now, GRANT));
        }
        if let Some(held) = &report.held {
            self.compare(agent, held, received, now);
        }
        true
    }

    /// Ends the runs of a life that is over.
    fn meet_worker(
        &mut self,
        agent: &AgentName,
        (worker, gone): (Option<&WorkerState>, Option<&WorkerLife>),
        now: Moment,
        unix: Millis,
    ) {
        let Some(seat) = self.seats.get_mut(agent) else { return };
        // An agent that was restarted does not know its worker yet.
        let is_over = |life: &WorkerLife| {
            gone == Some(life) || worker.is_some_and(|worker| worker.life != *life)
        };
        let over: Vec<_> = seat
            .runs
            .iter()
            .filter(|(_, run)| is_over(&run.start.life))
            .map(|(task, run)| (task.clone(), run.start.run))
            .collect();
        if seat.worker.as_ref().map(|old| &old.life) != worker.map(|new| &new.life) {
            seat.noted = 0;
        }
        let leaves = worker.and_then(|worker| worker.leaves_in);
        seat.leaves_at = leaves.map(|left| now.after(left));
        seat.worker = worker.cloned();
        for (task, run) in over {
            self.end_run(agent, &task, run, RunEnd::Lapsed, None, now, unix);
        }
        if leaves.is_some() {
            self.empty(agent, now);
        }
    }

    /// Moves what would not end before the worker leaves.
    fn empty(&mut self, agent: &AgentName, now: Moment) {
        let Some(seat) = self.seats.get_mut(agent) else { return };
        let Some(leaves_at) = seat.leaves_at else { return };
        let moving = seat.runs.iter().filter(|(_, run)| {
            let ends = now.after(run.remaining(now)).after(LEAVE_MARGIN);
            run.endless || (run.checkpoints && ends > leaves_at)
        });
        let moving: Vec<_> = moving.map(|(task, _)| task.clone()).collect();
        for task in moving {
            seat.stop(&task);
        }
    }

    fn take_ends(&mut self, agent: &AgentName, ended: &[EndedRun], now: Moment, unix: Millis) {
        for ended in ended {
            self.end_run(agent, &ended.task, ended.run, ended.end, Some(ended), now, unix);
        }
        let life = self.seats.get(agent).and_then(|seat| seat.worker.as_ref());
        let Some(life) = life.map(|worker| worker.life.clone()) else { return };
        if let Some(number) = ended.iter().map(|ended| ended.number).max().filter(|n| *n > 0) {
            let noted = BookEffect::Noted { agent: agent.clone(), life, number };
            self.push(None, Some(noted));
        }
        for ended in ended.iter().filter(|ended| ended.number == 0) {
            let (task, run) = (ended.task.clone(), ended.run);
            self.push(None, Some(BookEffect::Settled { agent: agent.clone(), task, run }));
        }
    }

    #[expect(clippy::too_many_arguments, reason = "an end and its circumstances")]
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
        let Some(seat) = self.seats.get_mut(agent) else { return };
        if seat.runs.get(task).is_none_or(|run| run.start.run != number) {
            return;
        }
        let Some(run) = seat.runs.shift_remove(task) else { return };
        match end {
            RunEnd::Done => seat.trust.succeed(),
            RunEnd::Failed if !run.endless => seat.trust.fail(&task.job, now),
            RunEnd::NotStarted if !run.stopping => seat.trust.fail(&task.job, now),
            _ => {}
        }
        if !self.jobs.contains_key(&task.job) {
            self.push(Some((task.to_string(), None)), None);
            return;
        }
        let listed = listed.map(|listed| &listed.saved).filter(|saved| !saved.is_empty());
        let saved = listed.cloned().unwrap_or(run.saved);
        let gang = self.jobs.get(&task.job).and_then(|job| job.step_spec(task));
        let gang = gang.filter(|step| step.gang).map(|step| step.tasks);
        let done = end == RunEnd::Done;
        if let Some(count) = gang.filter(|_| done) {
            for index in 0..count {
                self.settle_task(&TaskName { index, ..task.clone() }, done, false, &saved, now);
            }
        } else {
            let failed = end == RunEnd::Failed && !run.endless;
            self.settle_task(task, done, failed, &saved, now);
        }
        self.check_job(&task.job, unix);
    }

    fn settle_task(
        &mut self,
        name: &TaskName,
        done: bool,
        failed: bool,
        saved: &Checkpoint,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        let Some(task) = job.task_mut(name).filter(|task| task.place != TaskPlace::Done) else {
            return;
        };
        task.saved = saved.clone();
        task.failures += u32::from(failed);
        let doublings = task.failures.saturating_sub(1).min(MAX_RETRY_DOUBLINGS);
        let retry = if failed { RETRY << doublings } else { 0 };
        task.place = if done { TaskPlace::Done } else { TaskPlace::Waiting(now.after(retry)) };
        let record = task.record(None);
        self.push_task(name, &record, None);
    }

    fn check_job(&mut self, id: &JobId, unix: Millis) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.has_failed(self.terms(&job.spec).attempts) {
            self.end_job(id, JobState::Failed, unix);
        } else if job.is_completed() {
            self.end_job(id, JobState::Completed, unix);
        }
    }

    /// Compares the worker's list with the book.
    fn compare(&mut self, agent: &AgentName, held: &[HeldRun], received: u64, now: Moment) {
        let Some(seat) = self.seats.get_mut(agent) else { return };
        for listed in held {
            let known = seat.runs.get_mut(&listed.task);
            match known.filter(|run| run.start.run == listed.run) {
                Some(run) => {
                    if run.percent != listed.percent {
                        run.percent = listed.percent;
                        run.progressed = now;
                    }
                    if !listed.saved.is_empty() {
                        run.saved = listed.saved.clone();
                    }
                }
                None => {
                    let (task, run) = (listed.task.clone(), listed.run);
                    let stop = AgentOrder::Stop { task, run };
                    if !seat.orders.iter().any(|(_, order)| *order == stop) {
                        seat.order(stop);
                    }
                }
            }
        }
        // An order counts as received only up to `received`; later ones are on their way.
        if seat.orders.is_empty() && received == seat.last_order {
            check_stall(seat, held, now);
        }
    }

    /// Ends the runs of agents whose grant has surely passed; returns these
    /// agents and how long they have been silent, `None` if they never reported.
    pub fn expire(&mut self, now: Moment, unix: Millis) -> Vec<(AgentName, Option<Millis>)> {
        let mut silent = Vec::new();
        let mut over = Vec::new();
        for seat in self.seats.values() {
            if seat.granted_until < now && !seat.runs.is_empty() {
                let heard = (seat.incarnation != 0).then_some(seat.heard);
                let since = heard.map(|heard| now.0.saturating_sub(heard.0));
                silent.push((seat.agent.clone(), since));
                let runs = seat.runs.iter();
                over.extend(
                    runs.map(|(task, run)| (seat.agent.clone(), task.clone(), run.start.run)),
                );
            }
        }
        for (agent, task, run) in over {
            self.end_run(&agent, &task, run, RunEnd::Lapsed, None, now, unix);
        }
        silent
    }
}

/// Repeats all orders to an agent that was restarted.
fn renew(seat: &mut WorkerSeat, incarnation: u64) {
    seat.incarnation = incarnation;
    seat.orders.clear();
    seat.last_order = 0;
    seat.settled.clear();
    let stored = seat.runs.values().filter(|run| run.stored);
    for order in stored.map(SeatRun::order).collect::<Vec<_>>() {
        seat.order(order);
    }
}

/// Moves all tasks away from a worker on which none makes progress.
fn check_stall(seat: &mut WorkerSeat, held: &[HeldRun], now: Moment) {
    let working = held.iter().filter(|run| run.pace >= STALL_PACE && run.percent.is_some());
    let runs = working.filter_map(|listed| seat.runs.get(&listed.task));
    let finite: Vec<_> = runs.filter(|run| !run.stopping && !run.endless).collect();
    let stalled = |run: &&SeatRun| {
        let limit = STALL.max(run.estimate * STALL_PERCENT / 100);
        run.progressed.after(limit) < now
    };
    if finite.is_empty() || !finite.iter().all(stalled) {
        return;
    }
    seat.trust.bar(now);
    // A task that lasts and is at work has no progress to show.
    let at_work = |run: &SeatRun| run.endless && run.percent >= Some(AT_WORK);
    let leaving = seat.runs.iter().filter(|(_, run)| !at_work(run));
    for task in leaving.map(|(task, _)| task.clone()).collect::<Vec<_>>() {
        seat.stop(&task);
    }
}
