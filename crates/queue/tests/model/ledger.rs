//! Checks of the runs on all workers against the rules.

use std::collections::BTreeMap;

use cactusdoor_queue::name::{RunNumber, TaskName, WorkerIncarnation};
use cactusdoor_queue::report::{EndedRun, RunEnd};

use super::{AGENTS, Simulation};

/// An end `Done` that a worker listed.
#[derive(Debug)]
struct ListedDone {
    incarnation: WorkerIncarnation,
    number: u64,
    /// Number of lapses of the worker's lease before the end.
    lapses: u64,
    acknowledged: bool,
    /// Run that started after the end, if any.
    restarted: Option<(usize, RunNumber)>,
}

/// Ends `Done` of all tasks.
#[derive(Debug, Default)]
pub struct RunLedger {
    done: BTreeMap<TaskName, Vec<ListedDone>>,
}

impl Simulation {
    /// Checks a run that has just begun.
    pub(super) fn check_start(&mut self, index: usize, task: &TaskName, run: RunNumber) {
        let others = self.workers.iter().enumerate().flat_map(|(other, worker)| {
            worker.running.iter().map(move |running| (other, running.task.clone(), running.run))
        });
        let mut twin = others
            .filter(|(other, name, number)| name == task && (*other, *number) != (index, run));
        if let Some((other, _, number)) = twin.next() {
            let (here, there) = (AGENTS[index], AGENTS[other]);
            let cause = format!("TWICE: {task} run {run} on {here}, run {number} on {there}");
            self.violate(cause);
        }
        let done = self.ledger.done.get_mut(task);
        for done in done.into_iter().flatten() {
            done.restarted.get_or_insert((index, run));
        }
        self.check_restarts(task);
        let worker = &self.workers[index];
        let (used, capacity) = (worker.used_cpu(), worker.info(self.now).capacity.cpu);
        if used > capacity {
            let name = AGENTS[index];
            self.violate(format!("LIMIT: {task} run {run} on {name}: {used} of {capacity} used"));
        }
    }

    fn check_restarts(&mut self, task: &TaskName) {
        let done = self.ledger.done.get(task).into_iter().flatten();
        let restarted = done.filter(|done| done.acknowledged).find_map(|done| done.restarted);
        if let Some((index, run)) = restarted {
            let name = AGENTS[index];
            self.violate(format!("TWICE: {task} run {run} on {name} after an acknowledged end"));
        }
    }

    pub(super) fn record_ends(&mut self, index: usize, ends: &[EndedRun]) {
        let worker = &self.workers[index];
        for ended in ends.iter().filter(|ended| ended.end == RunEnd::Done) {
            self.ledger.done.entry(ended.task.clone()).or_default().push(ListedDone {
                incarnation: worker.incarnation.clone(),
                number: ended.number,
                lapses: worker.lapses,
                acknowledged: false,
                restarted: None,
            });
        }
    }

    /// Records that a poll has acknowledged ends; an end does not count if the worker's
    /// lease has lapsed since.
    pub(super) fn acknowledge(&mut self, index: usize, forgotten: &[EndedRun]) {
        let (incarnation, lapses) =
            (self.workers[index].incarnation.clone(), self.workers[index].lapses);
        for ended in forgotten.iter().filter(|ended| ended.end == RunEnd::Done) {
            for done in self.ledger.done.get_mut(&ended.task).into_iter().flatten() {
                done.acknowledged |= done.incarnation == incarnation
                    && done.number == ended.number
                    && done.lapses == lapses;
            }
            self.check_restarts(&ended.task);
        }
    }

    /// Runs on workers that the owner has not assigned to them.
    pub(super) fn orphans(&self) -> Vec<String> {
        let Some(owner) = self.owners.last() else { return Vec::new() };
        let runs = self.workers.iter().flat_map(|worker| {
            worker.running.iter().map(|running| (worker.name, &running.task, running.run))
        });
        let orphans = runs
            .filter(|(name, task, run)| !owner.scheduler.is_assigned(&(*name).into(), task, *run));
        orphans.map(|(name, task, run)| format!("{task} run {run} on {name}")).collect()
    }

    /// Jobs that were not cancelled and have not completed.
    pub(super) fn incomplete_jobs(&self) -> Vec<String> {
        let jobs = self.jobs.iter().filter(|(_, (_, cancelled))| !cancelled);
        let incomplete = jobs.filter(|(id, (spec, _))| {
            let done = |step: u16, index: u32| {
                let task = TaskName { job: (*id).clone(), occurrence: 0, step, index };
                self.ledger.done.contains_key(&task)
            };
            let steps = (0u16..).zip(&spec.steps);
            let all_done = steps
                .clone()
                .all(|(number, step)| (0..step.tasks).all(|index| done(number, index)));
            let ended = self.owners.last().is_some_and(|owner| {
                owner.scheduler.ended.get(*id).is_some_and(|ending| {
                    ending.state == cactusdoor_queue::report::JobState::Completed
                })
            });
            !(all_done && ended)
        });
        incomplete.map(|(id, _)| id.to_string()).collect()
    }
}
