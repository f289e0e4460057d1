//! An owner with moves and agents that list chosen speeds, for tests of moves.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::{BTreeMap, BTreeSet};

use cactusdoor_core::unit::Moment;
use cactusdoor_queue::config::{OperatorView, QueueConfig, QueueTerms};
use cactusdoor_queue::features::SchedulingFeatures;
use cactusdoor_queue::moves::decision::MoveFigures;
use cactusdoor_queue::name::TaskName;
use cactusdoor_queue::observation::RunObservation;
use cactusdoor_queue::record::{TaskKey, TaskRecord};
use cactusdoor_queue::report::{ReportedRun, RunEnd};
use cactusdoor_queue::scheduler::QueueScheduler;
use cactusdoor_queue::spec::{JobSpec, StepSpec};

use crate::support::*;

pub const START: Moment = Moment(10_000);
/// Time between two lists of a worker, ms.
pub const LIST_INTERVAL: u64 = 900;
pub const FEATURES: fn() -> SchedulingFeatures =
    || SchedulingFeatures { moves: true, ..SchedulingFeatures::default() };

/// Progress, speed and checkpoint that a worker lists for a task.
#[derive(Clone, Copy)]
pub struct Listing {
    pub percent: u8,
    pub speed: u8,
    pub checkpoint: &'static str,
}

pub const FULL: Listing = Listing { percent: 5, speed: 100, checkpoint: "" };
pub const PAUSED: Listing = Listing { percent: 30, speed: 0, checkpoint: "c" };

/// An owner, its store, and agents that list the runs assigned to their workers.
pub struct Fleet {
    pub scheduler: QueueScheduler,
    pub now: Moment,
    pub agents: Vec<&'static str>,
    pub silent: BTreeSet<&'static str>,
    /// Agents that report without the list of their worker.
    pub listless: BTreeSet<&'static str>,
    listings: BTreeMap<TaskName, Listing>,
    jobs: Vec<(&'static str, JobSpec)>,
    records: BTreeMap<String, Vec<u8>>,
    /// Numbers of reports and ends, which increase.
    number: u64,
    epoch: u64,
}

pub fn queue_of(name: &str, priority: u32, slack_base: u64) -> QueueConfig {
    let terms = QueueTerms { priority, slack_base, ..queue().terms };
    QueueConfig { name: name.into(), terms, ..queue() }
}

pub fn operators() -> OperatorView {
    let mut view = view_of(queue_of("q", 1, 2_500));
    let config = view.config.as_mut().unwrap();
    for queue in
        [queue_of("slack", 1, 60_000), queue_of("high", 0, 2_500), queue_of("low", 2, 2_500)]
    {
        config.queues.insert(queue.name.clone(), queue.into());
    }
    view
}

/// A best-effort step whose tasks save checkpoints.
pub fn filler(tasks: u32) -> StepSpec {
    let image = Some("x".into());
    let best_effort = StepSpec { best_effort: true, checkpoints: true, image, ..step(tasks, 900) };
    StepSpec { estimate: 2_200, ..best_effort }
}

pub fn job_in(queue: &str, steps: Vec<StepSpec>) -> JobSpec {
    JobSpec { queue: queue.into(), ..job(steps) }
}

impl Fleet {
    /// A fleet of one worker, `a`.
    pub fn open() -> Self {
        let mut fleet = Self {
            scheduler: QueueScheduler::open(1, Moment(0)),
            now: START,
            agents: vec!["a"],
            silent: BTreeSet::new(),
            listless: BTreeSet::new(),
            listings: BTreeMap::new(),
            jobs: Vec::new(),
            records: BTreeMap::new(),
            number: 0,
            epoch: 1,
        };
        fleet.scheduler.set_view(operators());
        fleet.scheduler.set_features(FEATURES());
        fleet.pass(100);
        fleet
    }

    /// A fleet with the job on worker `a`, beside which the other workers are free.
    pub fn running(spec: JobSpec, others: &[&'static str]) -> Self {
        let mut fleet = Self::open();
        fleet.submit("j", spec);
        fleet.pass(100);
        fleet.agents.extend(others);
        fleet.pass(100);
        fleet
    }

    pub fn unix(&self) -> u64 {
        UNIX + (self.now.0 - START.0)
    }

    pub fn submit(&mut self, id: &'static str, spec: JobSpec) {
        let spec = JobSpec { accepted: self.unix(), ..spec };
        self.jobs.push((id, spec.clone()));
        assert!(self.scheduler.submit(&id.into(), spec));
    }

    pub fn list(&mut self, tasks: impl IntoIterator<Item = TaskName>, listing: Listing) {
        self.listings.extend(tasks.into_iter().map(|task| (task, listing)));
    }

    /// Lists a run of each agent that is not silent.
    pub fn report(&mut self) {
        let list = self.now.0 / LIST_INTERVAL;
        for agent in self.agents.clone() {
            if self.silent.contains(agent) {
                continue;
            }
            let tracked = self.scheduler.workers.get(agent);
            let runs = tracked.into_iter().flat_map(|tracked| tracked.runs.values());
            let rows = runs.filter(|run| run.stored).map(|run| {
                let listing = self.listings.get(&run.start.task).copied().unwrap_or(FULL);
                // A run at full speed progresses, or its worker counts as stalled.
                let progress = if listing.speed == 100 { list % 2 } else { 0 };
                ReportedRun {
                    task: run.start.task.clone(),
                    run: run.start.run,
                    checkpoint: listing.checkpoint.into(),
                    percent: Some(listing.percent + u8::try_from(progress).unwrap()),
                    speed: listing.speed,
                }
            });
            let rows = rows.collect();
            self.number += 1;
            let mut message = report(agent, self.number, Some(worker(agent, 1)));
            message.epoch = self.epoch;
            message.received =
                self.scheduler.workers.get(agent).map_or(0, |tracked| tracked.last_order);
            message.runs = Some(rows).filter(|_| !self.listless.contains(agent));
            let (now, unix) = (self.now, self.unix());
            self.scheduler.report(&message, now, unix);
        }
    }

    /// One round of the owner after `millis`, with a list of each agent.
    pub fn pass(&mut self, millis: u64) {
        self.now = self.now.after(millis);
        self.report();
        let (now, unix) = (self.now, self.unix());
        self.scheduler.expire(now, unix);
        self.scheduler.balance(now, unix);
        self.scheduler.place(now, unix);
        self.store();
        self.check_single_runs();
    }

    /// Lists for long enough to move a run.
    pub fn pass_lists(&mut self, lists: u32) {
        (0..lists).for_each(|_| self.pass(LIST_INTERVAL));
    }

    pub fn store(&mut self) {
        for write in self.scheduler.take_writes() {
            match write.record {
                Some((key, Some(value))) => drop(self.records.insert(key, value)),
                Some((key, None)) => drop(self.records.remove(&key)),
                None => {}
            }
            if let Some(effect) = write.effect {
                self.scheduler.release(&effect);
            }
        }
    }

    /// Guards against a task that runs twice (TWICE).
    pub fn check_single_runs(&self) {
        let mut seen = BTreeSet::new();
        for tracked in self.scheduler.workers.values() {
            for task in tracked.runs.keys() {
                assert!(seen.insert(task.clone()), "{task} has two runs");
            }
        }
    }

    /// Reports the end of the task's run.
    pub fn end(&mut self, task: &TaskName, end: RunEnd, checkpoint: &str) {
        let (agent, run) = self.place_of(task).unwrap();
        self.end_run(&agent, task, run, end, checkpoint);
    }

    pub fn end_run(
        &mut self,
        agent: &str,
        task: &TaskName,
        run: u32,
        end: RunEnd,
        checkpoint: &str,
    ) {
        self.number += 1;
        let mut message = report(agent, self.number, Some(worker(agent, 1)));
        message.epoch = self.epoch;
        message.received = self.scheduler.workers[agent].last_order;
        let mut row = ended(self.number, task, run, end);
        row.checkpoint = checkpoint.into();
        message.ended = vec![row];
        let (now, unix) = (self.now, self.unix());
        self.scheduler.report(&message, now, unix);
        self.listings.remove(task);
    }

    /// Replaces the owner by one that knows only the stored records.
    pub fn replace_owner(&mut self) {
        self.epoch += 1;
        let mut next = QueueScheduler::open(self.epoch, self.now.after(9_000));
        next.set_view(operators());
        next.set_features(FEATURES());
        for (id, spec) in &self.jobs {
            next.submit(&(*id).into(), spec.clone());
        }
        for (key, value) in &self.records {
            if let TaskKey::Task(name) = TaskKey::parse(key) {
                let record: TaskRecord = serde_json::from_slice(value).unwrap();
                next.restore_task(&name, &record, self.now);
            }
        }
        next.finish_loading(self.unix());
        self.scheduler = next;
    }

    /// The worker's agent and the number of the task's run.
    pub fn place_of(&self, task: &TaskName) -> Option<(String, u32)> {
        self.scheduler.workers.values().find_map(|tracked| {
            let run = tracked.runs.get(task)?;
            Some((tracked.agent.to_string(), run.start.run))
        })
    }

    /// Tasks whose stop is under way.
    pub fn stopping(&self) -> Vec<TaskName> {
        let workers = self.scheduler.workers.values();
        let runs = workers.flat_map(|tracked| tracked.runs.values());
        runs.filter(|run| run.stopping).map(|run| run.start.task.clone()).collect()
    }

    pub fn moved(&mut self) -> Vec<(TaskName, MoveFigures)> {
        let observations = self.scheduler.take_observations().into_iter();
        let moved = observations.filter_map(|observation| match observation {
            RunObservation::Moved { task, figures, .. } => Some((task, figures)),
            _ => None,
        });
        moved.collect()
    }
}
