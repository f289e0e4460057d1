//! The owner's scheduler: placement, reports, ends, and recovery by the next owner.

mod support;

use std::collections::BTreeSet;

use assert_matches::assert_matches;
use cactusdoor_core::unit::Moment;
use cactusdoor_queue::config::OperatorView;
use cactusdoor_queue::job::TaskPlace;
use cactusdoor_queue::lease::{AGENT_LEASE, clock_bound};
use cactusdoor_queue::name::TaskName;
use cactusdoor_queue::record::{JobEnding, PlacedAt, TaskRecord};
use cactusdoor_queue::report::{AgentReport, JobState, ReportedRun, RunEnd};
use cactusdoor_queue::scheduler::{CommitEffect, QueueScheduler};
use cactusdoor_queue::spec::StepSpec;
use support::*;

const NOW: Moment = Moment(10_000);

/// A scheduler with one worker and one job whose placed tasks are stored.
fn running(steps: Vec<StepSpec>) -> QueueScheduler {
    let mut scheduler = scheduler();
    scheduler.report(&report("a", 1, Some(worker("a", 1))), NOW, UNIX);
    scheduler.submit(&"j".into(), job(steps));
    scheduler.place(NOW, UNIX);
    store(&mut scheduler);
    scheduler
}

#[test]
fn a_start_is_ordered_only_once_its_placement_is_stored() {
    let mut scheduler = scheduler();
    scheduler.report(&report("a", 1, Some(worker("a", 1))), NOW, UNIX);
    scheduler.submit(&"j".into(), job(vec![step(1, 1_000)]));
    scheduler.place(NOW, UNIX);
    assert_eq!(starts(&scheduler, "a"), vec![]);
    store(&mut scheduler);
    assert_eq!(starts(&scheduler, "a"), vec![(task("j", 0, 0), 1)]);
}

#[test]
fn a_repeated_submission_adds_no_job() {
    let mut scheduler = running(vec![step(1, 1_000)]);
    assert!(!scheduler.submit(&"j".into(), job(vec![step(5, 1_000)])));
    scheduler.place(NOW, UNIX);
    store(&mut scheduler);
    assert_eq!(starts(&scheduler, "a").len(), 1);
}

#[test]
fn a_worker_is_never_overcommitted() {
    let scheduler = running(vec![step(9, 1_000)]);
    assert_eq!(starts(&scheduler, "a").len(), 4);
}

#[test]
fn a_run_that_is_being_stopped_keeps_its_reservation() {
    let mut scheduler = running(vec![step(4, 1_000)]);
    scheduler.cancel(&"j".into(), UNIX);
    scheduler.submit(&"k".into(), job(vec![step(1, 1_000)]));
    scheduler.place(NOW, UNIX);
    store(&mut scheduler);
    assert_eq!(stops(&scheduler, "a").len(), 4);
    assert!(!starts(&scheduler, "a").contains(&(task("k", 0, 0), 1)));
    let mut end = report("a", 2, Some(worker("a", 1)));
    end.ended = vec![ended(1, &task("j", 0, 0), 1, RunEnd::Stopped)];
    scheduler.report(&end, NOW, UNIX);
    scheduler.place(NOW, UNIX);
    store(&mut scheduler);
    assert!(starts(&scheduler, "a").contains(&(task("k", 0, 0), 1)));
}

#[test]
fn a_step_starts_after_all_tasks_of_the_steps_before_it_are_done() {
    let second = StepSpec { after: vec![0], ..step(1, 100) };
    let mut scheduler = running(vec![step(2, 1_000), second]);
    let mut first = report("a", 2, Some(worker("a", 1)));
    first.ended = vec![ended(1, &task("j", 0, 0), 1, RunEnd::Done)];
    scheduler.report(&first, NOW, UNIX);
    scheduler.place(NOW, UNIX);
    store(&mut scheduler);
    assert!(!starts(&scheduler, "a").contains(&(task("j", 1, 0), 1)));
    let mut last = report("a", 3, Some(worker("a", 1)));
    last.ended = vec![ended(2, &task("j", 0, 1), 1, RunEnd::Done)];
    scheduler.report(&last, NOW, UNIX);
    scheduler.place(NOW, UNIX);
    store(&mut scheduler);
    assert!(starts(&scheduler, "a").contains(&(task("j", 1, 0), 1)));
}

#[test]
fn an_end_is_acknowledged_only_once_it_is_stored() {
    let mut scheduler = running(vec![step(1, 1_000)]);
    let mut end = report("a", 2, Some(worker("a", 1)));
    end.ended = vec![ended(7, &task("j", 0, 0), 1, RunEnd::Done)];
    scheduler.report(&end, NOW, UNIX);
    assert_eq!(scheduler.workers["a"].acknowledged, 0);
    let writes = store(&mut scheduler);
    assert_eq!(scheduler.workers["a"].acknowledged, 7);
    let acknowledged = |effect: &CommitEffect| matches!(effect, CommitEffect::Acknowledged { .. });
    let acknowledged =
        writes.iter().position(|write| write.effect.as_ref().is_some_and(acknowledged));
    let record = writes.iter().position(|write| write.record.is_some());
    assert!(record < acknowledged, "the end is stored before it is acknowledged");
}

#[test]
fn a_job_fails_once_a_task_has_used_all_its_attempts() {
    let mut scheduler = running(vec![step(1, 1_000)]);
    let mut now = NOW;
    for run in 1..=3 {
        let mut end = report("a", u64::from(run) + 1, Some(worker("a", 1)));
        end.ended = vec![ended(u64::from(run), &task("j", 0, 0), run, RunEnd::Failed)];
        scheduler.report(&end, now, UNIX);
        now = now.after(1_000);
        scheduler.report(&report("a", 100 + u64::from(run), Some(worker("a", 1))), now, UNIX);
        scheduler.workers["a"].last_report = u64::from(run) + 1;
        scheduler.place(now, UNIX);
        store(&mut scheduler);
    }
    assert_eq!(scheduler.ended["j"].state, JobState::Failed);
    assert!(!starts(&scheduler, "a").contains(&(task("j", 0, 0), 4)));
}

/// A restarted agent does not know its worker yet; the worker's tasks continue.
#[test]
fn runs_end_only_when_the_worker_is_reported_as_ended() {
    let mut scheduler = running(vec![step(1, 1_000)]);
    let mut fresh = report("a", 1, None);
    fresh.incarnation = 2;
    scheduler.report(&fresh, NOW, UNIX);
    assert!(scheduler.is_assigned(&agent("a"), &task("j", 0, 0), 1));
    let mut ended = report("a", 2, None);
    ended.incarnation = 2;
    ended.ended_incarnation = Some(worker("a", 1).incarnation);
    scheduler.report(&ended, NOW, UNIX);
    assert!(!scheduler.is_assigned(&agent("a"), &task("j", 0, 0), 1));
}

#[test]
fn a_new_incarnation_of_a_worker_ends_the_runs_of_the_old_one() {
    let mut scheduler = running(vec![step(1, 1_000)]);
    scheduler.report(&report("a", 2, Some(successor("a", 2))), NOW, UNIX);
    scheduler.place(NOW, UNIX);
    store(&mut scheduler);
    assert!(starts(&scheduler, "a").contains(&(task("j", 0, 0), 2)));
}

/// A start call without an answer may reach a successor under the same id, also after a repeated
/// call was answered and the run was listed. Guards against a second run elsewhere before the
/// successor has answered the stop (TWICE).
#[test]
fn runs_are_stopped_on_a_successor_under_the_same_id_whether_listed_or_not() {
    let mut scheduler = running(vec![step(2, 1_000)]);
    let mut listed = report("a", 2, Some(worker("a", 1)));
    listed.runs = Some(vec![ReportedRun {
        task: task("j", 0, 0),
        run: 1,
        checkpoint: "".into(),
        percent: Some(10),
        speed: 100,
    }]);
    scheduler.report(&listed, NOW, UNIX);
    scheduler.report(&report("a", 3, Some(worker("a", 2))), NOW, UNIX);
    scheduler.place(NOW, UNIX);
    store(&mut scheduler);
    for index in 0..2 {
        assert!(!starts(&scheduler, "a").contains(&(task("j", 0, index), 2)), "task {index}");
        assert!(stops(&scheduler, "a").contains(&(task("j", 0, index), 1)), "task {index}");
    }
    for index in 0..2 {
        let mut answered = report("a", 4 + u64::from(index), Some(worker("a", 2)));
        answered.ended = vec![ended(0, &task("j", 0, index), 1, RunEnd::NotStarted)];
        scheduler.report(&answered, NOW, UNIX);
        scheduler.place(NOW, UNIX);
        store(&mut scheduler);
        assert!(starts(&scheduler, "a").contains(&(task("j", 0, index), 2)), "task {index}");
    }
}

#[test]
fn an_older_report_is_ignored() {
    let mut scheduler = running(vec![step(1, 1_000)]);
    scheduler.report(&report("a", 5, Some(worker("a", 1))), NOW, UNIX);
    assert!(!scheduler.report(&report("a", 4, Some(worker("a", 9))), NOW, UNIX));
    assert!(scheduler.is_assigned(&agent("a"), &task("j", 0, 0), 1));
}

#[test]
fn runs_of_a_silent_agent_end_only_after_its_lease() {
    let mut scheduler = running(vec![step(1, 1_000)]);
    let until = clock_bound(NOW, AGENT_LEASE);
    assert_eq!(scheduler.expire(until, UNIX), vec![]);
    assert!(scheduler.is_assigned(&agent("a"), &task("j", 0, 0), 1));
    scheduler.expire(until.after(1), UNIX);
    assert!(!scheduler.is_assigned(&agent("a"), &task("j", 0, 0), 1));
}

#[test]
fn no_task_is_placed_in_a_data_centre_out_of_service_or_on_a_leaving_worker() {
    let mut scheduler = scheduler();
    let taken_out = BTreeSet::from(["north".into()]);
    scheduler.set_view(OperatorView { taken_out, ..view() });
    scheduler.report(&report("a", 1, Some(worker("a", 1))), NOW, UNIX);
    scheduler.submit(&"j".into(), job(vec![step(1, 1_000)]));
    scheduler.place(NOW, UNIX);
    store(&mut scheduler);
    assert_eq!(starts(&scheduler, "a"), vec![]);
    scheduler.set_view(view());
    let mut leaving = worker("a", 1);
    leaving.leaves_in = Some(2_000);
    scheduler.report(&report("a", 2, Some(leaving)), NOW, UNIX);
    scheduler.place(NOW, UNIX);
    store(&mut scheduler);
    assert_eq!(starts(&scheduler, "a"), vec![]);
}

#[test]
fn an_unknown_run_is_stopped() {
    let mut scheduler = running(vec![step(1, 1_000)]);
    let mut unknown = report("a", 2, Some(worker("a", 1)));
    let reported = ReportedRun {
        task: task("old", 0, 0),
        run: 3,
        checkpoint: "".into(),
        percent: Some(5),
        speed: 100,
    };
    unknown.runs = Some(vec![reported]);
    scheduler.report(&unknown, NOW, UNIX);
    assert_eq!(stops(&scheduler, "a"), vec![(task("old", 0, 0), 3)]);
}

#[test]
fn a_gang_is_placed_completely_or_not_at_all() {
    let gang = StepSpec { gang: true, ..step(5, 1_000) };
    assert_eq!(starts(&running(vec![gang]), "a"), vec![]);
    let gang = StepSpec { gang: true, ..step(4, 1_000) };
    let scheduler = running(vec![gang]);
    assert_eq!(starts(&scheduler, "a").len(), 4);
    assert!(starts(&scheduler, "a").iter().all(|(_, run)| *run == 1));
}

#[test]
fn an_occurrence_does_not_start_before_its_time() {
    let mut scheduler = scheduler();
    scheduler.report(&report("a", 1, Some(worker("a", 1))), NOW, UNIX);
    let mut timed = job(vec![step(1, 1_000)]);
    (timed.times, timed.first_due, timed.interval) = (2, UNIX + 100, 1_000);
    scheduler.submit(&"j".into(), timed);
    scheduler.place(NOW, UNIX + 99);
    store(&mut scheduler);
    assert_eq!(starts(&scheduler, "a"), vec![]);
    scheduler.place(NOW, UNIX + 100);
    store(&mut scheduler);
    assert_eq!(starts(&scheduler, "a").len(), 1);
}

/// The next owner must not place a task again while the stored run may continue.
#[test]
fn the_next_owner_restores_a_stored_placement() {
    let mut scheduler = QueueScheduler::open(2, NOW.after(9_000));
    scheduler.set_view(view());
    scheduler.submit(&"j".into(), job(vec![step(2, 1_000)]));
    let placed = PlacedAt { agent: agent("a"), incarnation: worker("a", 1).incarnation };
    let record = TaskRecord { run: 4, placed: Some(placed), ..TaskRecord::default() };
    scheduler.restore_task(&task("j", 0, 0), &record, NOW);
    scheduler.finish_loading(UNIX);
    scheduler.report(&report("b", 1, Some(worker("b", 1))), NOW, UNIX);
    scheduler.place(NOW, UNIX);
    store(&mut scheduler);
    assert_eq!(starts(&scheduler, "b"), vec![(task("j", 0, 1), 1)]);
    scheduler.expire(NOW.after(9_001), UNIX);
    scheduler.report(&report("b", 2, Some(worker("b", 1))), NOW.after(9_001), UNIX);
    scheduler.place(NOW.after(9_001), UNIX);
    store(&mut scheduler);
    assert!(starts(&scheduler, "b").contains(&(task("j", 0, 0), 5)));
}

#[test]
fn the_next_owner_completes_a_job_whose_last_task_end_is_stored() {
    let mut scheduler = QueueScheduler::open(2, NOW);
    scheduler.submit(&"j".into(), job(vec![step(1, 1_000)]));
    let record = TaskRecord { run: 1, done: true, ..TaskRecord::default() };
    scheduler.restore_task(&task("j", 0, 0), &record, NOW);
    scheduler.finish_loading(UNIX);
    assert_matches!(scheduler.ended["j"], JobEnding { state: JobState::Completed, .. });
}

/// A successor under the same id has to answer the stop of the run first.
#[test]
fn the_next_run_resumes_from_the_checkpoint_of_a_lost_run() {
    for (successor, same_id) in [(successor("a", 2), false), (worker("a", 2), true)] {
        let mut scheduler = with_checkpoint("c1");
        scheduler.report(&report("a", 3, Some(successor.clone())), NOW, UNIX);
        if same_id {
            let mut answered = report("a", 4, Some(successor));
            answered.ended = vec![ended(0, &task("j", 0, 0), 1, RunEnd::NotStarted)];
            scheduler.report(&answered, NOW, UNIX);
        }
        let resumed = scheduler.jobs["j"].task(&task("j", 0, 0)).unwrap();
        assert_eq!(&*resumed.checkpoint, "c1");
        assert_matches!(resumed.place, TaskPlace::Waiting(_));
    }
}

/// A scheduler whose one run has listed a checkpoint.
fn with_checkpoint(checkpoint: &str) -> QueueScheduler {
    let mut scheduler = running(vec![step(1, 1_000)]);
    let mut progress = report("a", 2, Some(worker("a", 1)));
    let reported = ReportedRun {
        task: task("j", 0, 0),
        run: 1,
        checkpoint: checkpoint.into(),
        percent: Some(40),
        speed: 100,
    };
    progress.runs = Some(vec![reported]);
    scheduler.report(&progress, NOW, UNIX);
    scheduler
}

#[test]
fn a_worker_that_fails_several_jobs_is_quarantined() {
    let mut scheduler = scheduler();
    scheduler.report(&report("a", 1, Some(worker("a", 1))), NOW, UNIX);
    scheduler.submit(&"j".into(), job(vec![step(1, 100)]));
    scheduler.submit(&"k".into(), job(vec![step(1, 100)]));
    scheduler.place(NOW, UNIX);
    store(&mut scheduler);
    let mut ends = report("a", 2, Some(worker("a", 1)));
    ends.ended = vec![
        ended(1, &task("j", 0, 0), 1, RunEnd::Failed),
        ended(2, &task("k", 0, 0), 1, RunEnd::Failed),
    ];
    scheduler.report(&ends, NOW, UNIX);
    let later = NOW.after(1_000);
    scheduler.report(&report("a", 3, Some(worker("a", 1))), later, UNIX);
    scheduler.place(later, UNIX);
    store(&mut scheduler);
    assert_eq!(starts(&scheduler, "a").len(), 2, "no task starts after the first two");
}

/// Guards against a best-effort job that waits for less busy workers without running at
/// all.
#[test]
fn an_idle_job_is_placed_however_busy_the_workers_are() {
    let best_effort =
        |tasks| StepSpec { best_effort: true, image: Some("x".into()), ..step(tasks, 4_000) };
    let mut scheduler = running(vec![best_effort(8)]);
    let placed = starts(&scheduler, "a").len();
    assert!(placed < 8, "no task had to wait");
    scheduler.submit(&"k".into(), job(vec![best_effort(8)]));
    scheduler.place(NOW, UNIX);
    let later = NOW.after(1_500);
    scheduler.report(&report("a", 2, Some(worker("a", 1))), later, UNIX);
    scheduler.place(later, UNIX);
    store(&mut scheduler);
    assert!(starts(&scheduler, "a").contains(&(task("k", 0, 0), 1)));
    assert_eq!(starts(&scheduler, "a").len(), placed + 1);
}

/// Reports lists of a worker whose tasks make no progress.
fn report_stall(scheduler: &mut QueueScheduler, speed: u8, lists: u64) {
    for list in 1..=lists {
        let now = NOW.after(list * 900);
        let mut stalled = report("a", 10 + list, Some(worker("a", 1)));
        stalled.received = scheduler.workers["a"].last_order;
        let reported = |index| ReportedRun {
            task: task("j", 0, index),
            run: 1,
            checkpoint: "".into(),
            percent: Some(7),
            speed,
        };
        stalled.runs = Some(vec![reported(0), reported(1)]);
        scheduler.report(&stalled, now, UNIX);
    }
}

#[test]
fn all_tasks_are_moved_off_a_worker_on_which_none_makes_progress() {
    let mut scheduler = running(vec![step(2, 1_000)]);
    report_stall(&mut scheduler, 100, 5);
    assert_eq!(stops(&scheduler, "a").len(), 2);
}

/// Guards against throttled tasks that count as stalled and are stopped.
#[test]
fn a_throttled_task_does_not_count_as_stalled() {
    let mut scheduler = running(vec![step(2, 1_000)]);
    report_stall(&mut scheduler, 20, 6);
    assert_eq!(stops(&scheduler, "a"), vec![]);
}

/// Guards against a stop of an operational task that serves users.
#[test]
fn an_operational_endless_task_stays_on_a_quarantined_worker() {
    let endless = StepSpec { endless: true, ..step(1, 1_000) };
    let mut scheduler = running(vec![step(2, 1_000), endless]);
    scheduler.workers["a"].runs.get_mut(&task("j", 1, 0)).unwrap().percent = Some(100);
    report_stall(&mut scheduler, 100, 5);
    assert_eq!(stops(&scheduler, "a").len(), 2);
    assert!(!stops(&scheduler, "a").contains(&(task("j", 1, 0), 1)));
}

/// The answer to a report may be delayed. Guards against a run placed in the meantime that
/// counts as expired at once and is started a second time.
#[test]
fn a_run_placed_before_the_answer_to_the_first_report_is_covered_by_the_lease() {
    let mut scheduler = running(vec![step(1, 1_000)]);
    assert_eq!(scheduler.expire(NOW.after(20), UNIX), vec![]);
    assert!(scheduler.is_assigned(&agent("a"), &task("j", 0, 0), 1));
}

/// The report of an agent that does not know its worker extends no lease.
#[test]
fn reports_without_a_worker_do_not_extend_its_lease() {
    let mut scheduler = running(vec![step(1, 1_000)]);
    let until = clock_bound(NOW, AGENT_LEASE);
    let mut fresh = report("a", 1, None);
    fresh.incarnation = 2;
    scheduler.report(&fresh, until, UNIX);
    scheduler.expire(until.after(1), UNIX);
    assert!(!scheduler.is_assigned(&agent("a"), &task("j", 0, 0), 1));
}

/// Guards against a task that runs twice (TWICE): a restarted agent that is granted a lease
/// before its worker has registered extends its runs beyond the time known to the owner.
#[test]
fn the_answer_to_a_report_without_a_worker_grants_no_lease() {
    let mut scheduler = running(vec![step(1, 1_000)]);
    let list = AgentReport { runs: Some(Vec::new()), ..report("a", 2, Some(worker("a", 1))) };
    scheduler.report(&list, NOW, UNIX);
    assert_eq!(scheduler.workers["a"].lease_duration(AGENT_LEASE), AGENT_LEASE);
    let fresh = AgentReport { incarnation: 2, ..report("a", 1, None) };
    scheduler.report(&fresh, NOW, UNIX);
    assert_eq!(scheduler.workers["a"].lease_duration(AGENT_LEASE), 0);
}

/// A worker of another service, without the label, or already at the step's limit of tasks
/// per worker gets no task.
#[test]
fn a_task_is_placed_only_where_its_step_and_queue_allow() {
    let mut scheduler = scheduler();
    let mut other = worker("other", 1);
    other.service = "lending".into();
    let mut unlabelled = worker("unlabelled", 1);
    unlabelled.labels = vec!["b".into(), "r2".into()];
    for state in [other, unlabelled, worker("fit", 1)] {
        let name = state.incarnation.id.strip_prefix("i-").unwrap().to_owned();
        scheduler.report(&report(&name, 1, Some(state)), NOW, UNIX);
    }
    let spread = StepSpec { label: Some("a".into()), per_worker: 1, ..step(3, 100) };
    scheduler.submit(&"j".into(), job(vec![spread]));
    scheduler.place(NOW, UNIX);
    store(&mut scheduler);
    assert_eq!(starts(&scheduler, "other"), vec![]);
    assert_eq!(starts(&scheduler, "unlabelled"), vec![]);
    assert_eq!(starts(&scheduler, "fit"), vec![(task("j", 0, 0), 1)]);
}

/// The first occurrence of a timed job is done while later ones are not due yet.
#[test]
fn a_timed_job_is_completed_only_with_its_last_occurrence() {
    let mut scheduler = scheduler();
    scheduler.report(&report("a", 1, Some(worker("a", 1))), NOW, UNIX);
    let mut timed = job(vec![step(1, 1_000)]);
    (timed.times, timed.first_due, timed.interval) = (2, UNIX, 1_000);
    scheduler.submit(&"j".into(), timed);
    for (number, unix) in [(1, UNIX), (2, UNIX + 1_000)] {
        scheduler.place(NOW, unix);
        store(&mut scheduler);
        assert!(!scheduler.ended.contains_key("j"), "not before occurrence {number} is done");
        let occurrence = u32::try_from(number).unwrap() - 1;
        let done = TaskName { occurrence, ..task("j", 0, 0) };
        let mut end = report("a", number + 1, Some(worker("a", 1)));
        end.ended = vec![ended(number, &done, 1, RunEnd::Done)];
        scheduler.report(&end, NOW, unix);
        store(&mut scheduler);
    }
    assert_eq!(scheduler.ended["j"].state, JobState::Completed);
}

/// Guards against a gang that prefers a single rack and loses its required label by it.
#[test]
fn a_gang_in_one_rack_stays_on_workers_with_its_label() {
    let mut scheduler = scheduler();
    let mut other = worker("b", 1);
    other.labels = vec!["b".into(), "r0".into()];
    scheduler.report(&report("b", 1, Some(other)), NOW, UNIX);
    scheduler.report(&report("a", 1, Some(worker("a", 1))), NOW, UNIX);
    let gang = StepSpec { gang: true, one_rack: true, label: Some("a".into()), ..step(2, 1_000) };
    scheduler.submit(&"j".into(), job(vec![gang]));
    scheduler.place(NOW, UNIX);
    store(&mut scheduler);
    assert_eq!(starts(&scheduler, "b"), vec![]);
    assert_eq!(starts(&scheduler, "a").len(), 2);
}
