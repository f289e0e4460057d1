//! The measured rate of best-effort work: a rate that is too low refuses jobs for which there is
//! room.

mod support;

use std::collections::BTreeMap;

use cactusdoor_core::unit::Moment;
use cactusdoor_queue::report::{AgentReport, ReportedRun, RunEnd};
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

/// Changes the first step of a job.
fn changed(mut spec: JobSpec, change: impl FnOnce(&mut StepSpec)) -> JobSpec {
    change(&mut spec.steps[0]);
    spec
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

    /// Lists the runs of an agent's worker with this progress and speed.
    fn list(&mut self, agent: &str, percent: u8, speed: u8) {
        let runs = self.scheduler.workers[agent].runs.values().map(|run| ReportedRun {
            task: run.start.task.clone(),
            run: run.start.run,
            checkpoint: "".into(),
            percent: Some(percent),
            speed,
        });
        let runs = runs.collect();
        self.report(agent, |message| message.runs = Some(runs));
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

/// Guards against the demand of an idle fleet that is taken for its room, since a run is
/// throttled next to a serving task.
#[test]
fn a_throttled_run_is_no_sign_of_a_full_fleet() {
    let mut fleet = Fleet::open(&["a", "b", "c", "d"]);
    fleet.submit("j", changed(filling(1), |step| step.estimate = 20_000));
    for percent in 1..16 {
        fleet.now += TICK;
        for agent in ["a", "b", "c", "d"] {
            fleet.list(agent, 4 * percent, 80);
        }
        fleet.pass();
        assert_eq!(fleet.rate(), None);
    }
}

/// Guards against the same by a step that waits although there is room for others.
#[test]
fn a_step_that_few_workers_can_take_is_no_sign_of_a_full_fleet() {
    let changes: [fn(&mut StepSpec); 5] = [
        |step| step.label = Some("none".into()),
        |step| step.need.accelerators = 1,
        |step| step.need.memory = 20_000,
        |step| step.per_worker = 1,
        |step| step.gang = true,
    ];
    for change in changes {
        let mut fleet = Fleet::open(&["a"]);
        fleet.submit(
            "w",
            changed(filling(3), |step| {
                step.need.memory = 100;
                step.tasks = 300;
                change(step);
            }),
        );
        // Far less than the fleet can do.
        fleet.submit(
            "j",
            changed(filling(80), |step| {
                step.need = TaskNeed { cpu: 10, memory: 10, accelerators: 0 };
            }),
        );
        assert!(fleet.scheduler.workers["a"].runs.values().any(|run| &*run.start.task.job == "j"));
        for _ in 0..16 {
            fleet.now += TICK;
            fleet.end("a", "j", RunEnd::Done);
            fleet.pass();
            assert_eq!(fleet.rate(), None);
        }
    }
}

/// Guards against a slot that counts whole although work waited for a part of it only.
#[test]
fn a_slot_in_which_nothing_waited_for_a_time_does_not_count() {
    let mut fleet = Fleet::open(&["a"]);
    fleet.submit("j", filling(1));
    for number in 0..20 {
        let id = format!("k{number}");
        fleet.submit(&id, filling(3));
        fleet.now += TICK / 2;
        fleet.end("a", &id, RunEnd::Done);
        fleet.pass();
        fleet.scheduler.cancel(&id.as_str().into(), fleet.unix());
        fleet.end("a", &id, RunEnd::Stopped);
        fleet.now += TICK / 2;
        fleet.pass();
        assert_eq!(fleet.rate(), None);
    }
}

/// Guards against a loss of workers whose lost work is taken for a lack of room.
#[test]
fn work_that_is_lost_with_its_worker_does_not_lower_the_rate() {
    let mut fleet = Fleet::open(&["a", "b"]);
    fleet.submit("j", changed(filling(90), |step| step.estimate = 20_000));
    for percent in 1..=16 {
        fleet.now += TICK;
        ["a", "b"].iter().for_each(|agent| fleet.list(agent, 5 * percent, 100));
        fleet.pass();
    }
    let before = fleet.rate().unwrap();
    assert!(before >= 8_000, "{before}");
    fleet.now += TICK;
    fleet.list("a", 85, 100);
    let lost = worker("b", 1).incarnation;
    fleet.report("b", |message| {
        message.worker = None;
        message.ended_incarnation = Some(lost);
    });
    fleet.pass();
    fleet.now += TICK;
    fleet.list("a", 90, 100);
    fleet.report("b", |message| message.worker = None);
    fleet.pass();
    let after = fleet.rate();
    assert!(after.is_none_or(|after| after >= before * 3 / 4), "{after:?} after {before}");
}

/// Guards against a low rate where progress is listed in large steps, or not until the end.
#[test]
fn work_counts_also_if_its_progress_is_listed_rarely() {
    let mut fleet = Fleet::open(&["a"]);
    fleet.submit("j", changed(filling(90), |step| step.estimate = 60_000));
    fleet.now += TICK;
    fleet.list("a", 0, 100);
    fleet.pass();
    for tick in 1..20 {
        fleet.now += TICK;
        fleet.list("a", if tick < 8 { 0 } else { 1 }, 100);
        fleet.pass();
    }
    assert_eq!(fleet.rate(), Some(4_000));
}

/// Guards against tasks that take longer than their caller expects and lower the rate for all
/// other jobs.
#[test]
fn estimates_that_are_too_low_do_not_lower_the_rate() {
    let mut fleet = Fleet::open(&["a"]);
    fleet.submit("j", changed(filling(90), |step| step.estimate = 10));
    for _ in 0..20 {
        fleet.now += TICK;
        fleet.end("a", "j", RunEnd::Done);
        fleet.pass();
        fleet.list("a", 50, 100);
    }
    assert_eq!(fleet.rate(), Some(4_000));
}

/// Guards against the rate of the other workers while those of a data centre are cut off, whose
/// work is not listed.
#[test]
fn silent_agents_are_no_lack_of_room() {
    let agents = ["a", "b", "c", "d"];
    let mut fleet = Fleet::open(&agents);
    fleet.submit("j", filling(200));
    assert_eq!(fleet.work(&agents, 16), Some(16_000));
    for _ in 0..10 {
        let rate = fleet.work(&agents[..3], 1);
        assert!(rate.is_none_or(|rate| rate > 14_000), "{rate:?}");
    }
    assert_eq!(fleet.rate(), None);
    assert_eq!(fleet.work(&agents, 4), None);
    assert_eq!(fleet.work(&agents, 12), Some(16_000));
}
