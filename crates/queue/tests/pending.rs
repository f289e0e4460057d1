//! Pending jobs: those of which no task is known to have started.

mod support;

use cactusdoor_core::unit::Moment;
use cactusdoor_queue::name::RunNumber;
use cactusdoor_queue::record::{PlacedAt, TaskRecord};
use cactusdoor_queue::report::{AgentReport, JobState, ReportedRun, RunEnd};
use cactusdoor_queue::scheduler::{CommitEffect, PendingWrite, QueueScheduler};
use support::*;

const NOW: Moment = Moment(10_000);

/// A scheduler with one worker and one job of one task, whose placement is stored.
fn placed() -> QueueScheduler {
    let mut scheduler = scheduler();
    scheduler.report(&report("a", 1, Some(worker("a", 1))), NOW, UNIX);
    scheduler.submit(&"j".into(), job(vec![step(1, 1_000)]));
    scheduler.place(NOW, UNIX);
    store(&mut scheduler);
    assert_eq!(starts(&scheduler, "a"), vec![(task("j", 0, 0), 1)]);
    scheduler
}

fn pending(scheduler: &QueueScheduler) -> u64 {
    scheduler.pending().get("q").copied().unwrap_or_default()
}

/// A report that lists one run; `percent`: `None` while its start is under way.
fn listing(number: u64, run: RunNumber, percent: Option<u8>) -> AgentReport {
    let (task, checkpoint) = (task("j", 0, 0), "".into());
    let run = ReportedRun { task, run, checkpoint, percent, speed: 100 };
    AgentReport { runs: Some(vec![run]), ..report("a", number, Some(worker("a", 1))) }
}

fn published(writes: &[PendingWrite]) -> Vec<JobState> {
    let states = writes.iter().filter_map(|write| match &write.effect {
        Some(CommitEffect::Published { state, .. }) => Some(*state),
        _ => None,
    });
    states.collect()
}

/// Guards against a job that counts as started because its tasks are placed, while no worker
/// has carried out a start.
#[test]
fn a_placed_job_is_pending_until_the_worker_lists_a_task() {
    let mut scheduler = placed();
    assert_eq!(pending(&scheduler), 1);
    scheduler.report(&listing(2, 1, None), NOW, UNIX);
    assert_eq!(published(&store(&mut scheduler)), vec![]);
    assert_eq!(pending(&scheduler), 1, "the start is under way");
    scheduler.report(&listing(3, 1, Some(0)), NOW, UNIX);
    assert_eq!(published(&store(&mut scheduler)), vec![JobState::Running]);
    assert_eq!(pending(&scheduler), 0);
}

/// A task may start and end between two lists.
#[test]
fn a_listed_end_shows_that_a_task_has_started() {
    for end in [RunEnd::Done, RunEnd::Failed, RunEnd::Stopped, RunEnd::Lapsed] {
        let mut scheduler = placed();
        let mut listed = report("a", 2, Some(worker("a", 1)));
        listed.ended = vec![ended(1, &task("j", 0, 0), 1, end)];
        scheduler.report(&listed, NOW, UNIX);
        assert_eq!(published(&store(&mut scheduler))[0], JobState::Running, "{end:?}");
        assert_eq!(pending(&scheduler), 0, "{end:?}");
    }
}

#[test]
fn a_job_whose_start_was_refused_or_whose_worker_is_gone_stays_pending() {
    let mut scheduler = placed();
    let mut refused = report("a", 2, Some(worker("a", 1)));
    refused.ended = vec![ended(0, &task("j", 0, 0), 1, RunEnd::NotStarted)];
    scheduler.report(&refused, NOW, UNIX);
    scheduler.place(NOW, UNIX);
    store(&mut scheduler);
    assert_eq!(pending(&scheduler), 1);
    scheduler.report(&report("a", 3, Some(worker("a", 2))), NOW, UNIX);
    scheduler.place(NOW, UNIX);
    store(&mut scheduler);
    assert_eq!(pending(&scheduler), 1);
}

fn restored(record: &TaskRecord) -> QueueScheduler {
    let mut scheduler = QueueScheduler::open(2, NOW.after(9_000));
    scheduler.set_view(view());
    scheduler.submit(&"j".into(), job(vec![step(2, 1_000)]));
    scheduler.restore_task(&task("j", 0, 0), record, NOW);
    scheduler.finish_loading(UNIX);
    scheduler
}

/// Guards against an owner that takes every job with a stored task for a started one.
#[test]
fn the_next_owner_counts_a_job_as_started_only_if_its_records_or_a_list_show_it() {
    let at = PlacedAt { agent: agent("a"), incarnation: worker("a", 1).incarnation };
    let placed = TaskRecord { run: 2, placed: Some(at), ..TaskRecord::default() };
    let mut scheduler = restored(&placed);
    assert_eq!(pending(&scheduler), 1);
    scheduler.report(&listing(1, 2, Some(40)), NOW, UNIX);
    assert_eq!(pending(&scheduler), 0);
    let waiting = TaskRecord { run: 2, ..TaskRecord::default() };
    assert_eq!(pending(&restored(&waiting)), 1);
    let started = [
        TaskRecord { done: true, ..waiting.clone() },
        TaskRecord { failures: 1, ..waiting.clone() },
        TaskRecord { checkpoint: "c".into(), ..placed },
    ];
    for record in started {
        assert_eq!(pending(&restored(&record)), 0, "{record:?}");
    }
}
