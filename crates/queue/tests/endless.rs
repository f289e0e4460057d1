//! Tasks that run until their job is cancelled: they are started again however their runs end.

mod support;

use cactusdoor_core::unit::Moment;
use cactusdoor_queue::record::TaskRecord;
use cactusdoor_queue::report::{AgentReport, JobState, RunEnd};
use cactusdoor_queue::scheduler::QueueScheduler;
use cactusdoor_queue::spec::StepSpec;
use support::*;

const NOW: Moment = Moment(10_000);
const ENDS: [RunEnd; 7] = [
    RunEnd::Done,
    RunEnd::Failed,
    RunEnd::Stopped,
    RunEnd::Lapsed,
    RunEnd::Broken,
    RunEnd::Alone,
    RunEnd::NotStarted,
];

fn endless(tasks: u32, gang: bool) -> StepSpec {
    StepSpec { endless: true, gang, ..step(tasks, 1_000) }
}

/// Places what waits; returns the number of starts of `run`, of all tasks.
fn placed(scheduler: &mut QueueScheduler, run: u32) -> usize {
    scheduler.place(NOW, UNIX);
    store(scheduler);
    starts(scheduler, "a").iter().filter(|(_, started)| *started == run).count()
}

/// Guards against a task that lasts and never runs again (LOST), and against a job that is shown as
/// completed (MIXED): its run has ended, also as done.
#[test]
fn a_task_that_lasts_is_started_again_however_its_run_ends() {
    for (end, gang) in ENDS.into_iter().flat_map(|end| [(end, false), (end, true)]) {
        let mut scheduler = scheduler();
        scheduler.report(&report("a", 1, Some(worker("a", 1))), NOW, UNIX);
        scheduler.submit(&"j".into(), job(vec![endless(2, gang)]));
        assert_eq!(placed(&mut scheduler, 1), 2);
        let ended = (0..2).map(|index| ended(1 + u64::from(index), &task("j", 0, index), 1, end));
        let report = AgentReport { ended: ended.collect(), ..report("a", 2, Some(worker("a", 1))) };
        scheduler.report(&report, NOW, UNIX);
        assert_eq!(placed(&mut scheduler, 2), 2, "{end:?}, gang: {gang}");
        assert_eq!(scheduler.jobs["j"].state, JobState::Running, "{end:?}, gang: {gang}");
    }
}

/// Guards against a task that lasts and never runs again (LOST): an owner of an earlier build has
/// stored that it is done.
#[test]
fn a_new_owner_starts_a_task_that_lasts_whose_record_says_done() {
    for gang in [false, true] {
        let mut scheduler = scheduler();
        scheduler.submit(&"j".into(), job(vec![endless(2, gang)]));
        let record = TaskRecord { run: 3, done: true, ..TaskRecord::default() };
        for index in 0..2 {
            scheduler.restore_task(&task("j", 0, index), &record, NOW);
        }
        scheduler.finish_loading(UNIX);
        scheduler.report(&report("a", 1, Some(worker("a", 1))), NOW, UNIX);
        assert_eq!(placed(&mut scheduler, 4), 2, "gang: {gang}");
    }
}

/// Guards against a job that is shown as completed while a task of it lasts (MIXED).
#[test]
fn a_job_with_a_task_that_lasts_is_not_completed_by_its_other_tasks() {
    let mut scheduler = scheduler();
    scheduler.report(&report("a", 1, Some(worker("a", 1))), NOW, UNIX);
    scheduler.submit(&"j".into(), job(vec![step(1, 1_000), endless(1, false)]));
    assert_eq!(placed(&mut scheduler, 1), 2);
    let ended = vec![
        ended(1, &task("j", 0, 0), 1, RunEnd::Done),
        ended(2, &task("j", 1, 0), 1, RunEnd::Done),
    ];
    scheduler.report(&AgentReport { ended, ..report("a", 2, Some(worker("a", 1))) }, NOW, UNIX);
    assert_eq!(placed(&mut scheduler, 2), 1);
    assert_eq!(scheduler.jobs["j"].state, JobState::Running);
    assert!(scheduler.cancel(&"j".into(), UNIX));
    assert_eq!(scheduler.ended["j"].state, JobState::Cancelled);
}
