//! The measured rate of best-effort work: a rate that is too low refuses jobs for which there is
//! room.

mod support;

use std::collections::BTreeMap;

use cactusdoor_core::unit::Moment;
use cactusdoor_queue::report::{AgentReport, RunEnd};
use cactusdoor_queue::scheduler::QueueScheduler;
use cactusdoor_queue::spec::{JobSpec, StepSpec, TaskNeed};
use support::*;

const TICK: u64 = 500;

/// An owner and its workers, each of which holds two tasks of [`filling`].
struct Fleet {
    scheduler: QueueScheduler,
    reports: BTreeMap<String, u64>,
    ends: u64,
    now: u64,
}

/// A job whose tasks need 2 processors for 1 s, and so much memory that a worker holds two.
fn filling(tasks: u32) -> JobSpec {
    let need = TaskNeed { cpu: 2_000, memory: 4_500, accelerators: 0 };
    job(vec![StepSpec { need, estimate: 1_000, best_effort: true, ..step(tasks, 0) }])
}

impl Fleet {
    fn open(agents: &[&str]) -> Self {
        let mut scheduler = scheduler();
        scheduler.set_features(refusing());
        let mut fleet = Self { scheduler, reports: BTreeMap::new(), ends: 0, now: 10_000 };
        for agent in agents {
            fleet.report(agent, |_| {});
        }
        fleet.pass();
        fleet
    }

    fn unix(&self) -> u64 {
        UNIX + self.now - 10_000
    }

    fn submit(&mut self, id: &str, spec: JobSpec) {
        self.scheduler.submit(&id.into(), JobSpec { accepted: self.unix(), ..spec });
        self.pass();
    }

    fn report(&mut self, agent: &str, change: impl FnOnce(&mut AgentReport)) {
        let number = self.reports.entry(agent.to_owned()).or_default();
        *number += 1;
        let mut message = report(agent, *number, Some(worker(agent, 1)));
        change(&mut message);
        let (now, unix) = (Moment(self.now), self.unix());
        self.scheduler.report(&message, now, unix);
    }

    /// What the owner does while it may place.
    fn pass(&mut self) {
        let (now, unix) = (Moment(self.now), self.unix());
        self.scheduler.expire(now, unix);
        self.scheduler.balance(now, unix);
        self.scheduler.place(now, unix);
        store(&mut self.scheduler);
    }

    /// Ends a run of a job on an agent's worker.
    fn end(&mut self, agent: &str, job: &str, end: RunEnd) {
        let mut runs = self.scheduler.workers[agent].runs.values().map(|run| &run.start);
        let Some(run) = runs.find(|start| &*start.task.job == job).cloned() else { return };
        self.ends += 1;
        let run = ended(self.ends, &run.task, run.run, end);
        self.report(agent, |message| message.ended = vec![run]);
    }

    fn rate(&mut self) -> Option<u64> {
        let backlog = self.scheduler.backlog(Moment(self.now), self.unix()).unwrap();
        backlog.services.first().and_then(|service| service.rate)
    }

    /// One task ends on each worker in each tick, while others wait; returns the rate.
    fn work(&mut self, agents: &[&str], ticks: u32) -> Option<u64> {
        for _ in 0..ticks {
            self.now += TICK;
            agents.iter().for_each(|agent| self.end(agent, "j", RunEnd::Done));
            self.pass();
        }
        self.rate()
    }
}

/// Guards against the rate of an outage, in which nothing is placed: the store confirms nothing,
/// or requests are not read. Its end is no measurement either, as runs start anew.
#[test]
fn an_owner_that_cannot_place_measures_nothing() {
    let mut fleet = Fleet::open(&["a"]);
    fleet.submit("j", filling(90));
    assert_eq!(fleet.work(&["a"], 16), Some(4_000));
    for _ in 0..8 {
        fleet.now += TICK;
        fleet.report("a", |_| {});
        let rate = fleet.rate();
        assert!(rate.is_none_or(|rate| rate >= 4_000), "{rate:?}");
    }
    assert_eq!(fleet.rate(), None);
    // The first tasks after the outage are still under way.
    fleet.now += TICK;
    fleet.report("a", |_| {});
    fleet.pass();
    for _ in 0..3 {
        fleet.now += TICK;
        fleet.report("a", |_| {});
        fleet.pass();
        assert_eq!(fleet.rate(), None);
    }
    for _ in 0..12 {
        let rate = fleet.work(&["a"], 1);
        assert!(rate.is_none_or(|rate| rate == 4_000), "{rate:?}");
    }
    assert_eq!(fleet.rate(), Some(4_000));
}
