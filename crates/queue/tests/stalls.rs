//! Tasks that progress more slowly than a stalled worker is detected.

mod support;

use cactusdoor_core::unit::Moment;
use cactusdoor_queue::report::{AgentReport, ReportedRun, RunEnd};
use cactusdoor_queue::scheduler::QueueScheduler;
use support::*;

const START: Moment = Moment(10_000);
/// Time between two reports of a worker's list, ms.
const REPORT_INTERVAL: u64 = 900;

/// An owner with two workers and one task; the task's worker lists it until it is stopped.
struct Fleet {
    scheduler: QueueScheduler,
    now: Moment,
}

impl Fleet {
    fn open() -> Self {
        let mut fleet = Self { scheduler: scheduler(), now: START };
        fleet.scheduler.submit(&"j".into(), job(vec![step(1, 1_000)]));
        fleet.report(0);
        fleet
    }

    /// The agent whose worker has the task, and the number of its run.
    fn run(&self) -> Option<(&'static str, u32)> {
        let run_on = |agent: &&str| {
            let tracked = self.scheduler.workers.get(*agent);
            tracked.and_then(|tracked| tracked.runs.get(&task("j", 0, 0)))
        };
        let agent = ["a", "b"].into_iter().find(|agent| run_on(agent).is_some())?;
        Some((agent, run_on(&agent)?.start.run))
    }

    /// Reports of both agents, with the progress of the task; then places what waits.
    fn report(&mut self, percent: u8) {
        let run = self.run();
        for agent in ["a", "b"] {
            let tracked = self.scheduler.workers.get(agent);
            let (number, received) =
                tracked.map_or((0, 0), |tracked| (tracked.last_report, tracked.last_order));
            let listed = run.filter(|(on, _)| *on == agent).map(|(_, run)| ReportedRun {
                task: task("j", 0, 0),
                run,
                checkpoint: "".into(),
                percent: Some(percent),
                speed: 100,
            });
            let runs = Some(listed.into_iter().collect());
            let report = report(agent, number + 1, Some(worker(agent, 1)));
            self.scheduler.report(&AgentReport { received, runs, ..report }, self.now, UNIX);
        }
        self.scheduler.place(self.now, UNIX);
        store(&mut self.scheduler);
    }

    /// Reports a task that needs `percent_time` ms for a percent of its work until it is
    /// stopped; returns whether it was stopped before it had ten percent.
    fn is_stopped(&mut self, percent_time: u64) -> bool {
        let (agent, run) = self.run().unwrap();
        let began = self.now;
        while self.now < began.after(10 * percent_time) {
            self.now = self.now.after(REPORT_INTERVAL);
            self.report(u8::try_from(self.now.since(began) / percent_time).unwrap());
            if stops(&self.scheduler, agent).contains(&(task("j", 0, 0), run)) {
                return true;
            }
        }
        false
    }

    /// Reports the end of the stopped run; the task is placed again.
    fn end_stopped(&mut self) {
        let (agent, run) = self.run().unwrap();
        let number = self.scheduler.workers[agent].last_report + 1;
        let mut end = report(agent, number, Some(worker(agent, 1)));
        end.ended = vec![ended(u64::from(run), &task("j", 0, 0), run, RunEnd::Stopped)];
        self.scheduler.report(&end, self.now, UNIX);
        self.report(0);
    }

    /// Runs of the task until one is not stopped, at most `limit`.
    fn runs(&mut self, percent_time: u64, limit: u32) -> u32 {
        let mut runs = 1;
        while runs <= limit && self.is_stopped(percent_time) {
            self.end_stopped();
            runs += 1;
        }
        runs
    }
}

/// Guards against a task that can never end (LOST): a task far longer than its estimate was
/// stopped on each sound worker, since none of its percents was done in time.
#[test]
fn a_task_far_longer_than_its_estimate_is_not_stopped_on_each_worker() {
    assert_eq!(Fleet::open().runs(5_400, 5), 2);
}

#[test]
fn a_task_within_its_estimate_is_not_stopped() {
    assert_eq!(Fleet::open().runs(2_000, 5), 1);
}

/// A worker that does not work at all is detected each time.
#[test]
fn a_task_without_any_progress_is_moved_each_time() {
    let mut fleet = Fleet::open();
    for _ in 0..3 {
        assert!(fleet.is_stopped(100_000));
        fleet.end_stopped();
    }
}
