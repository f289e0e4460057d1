//! The owner's book, step by step.

mod support;

use assert_matches::assert_matches;
use cactusdoor_core::unit::Moment;
use cactusdoor_queue::book::{BookEffect, QueueBook};
use cactusdoor_queue::job::TaskPlace;
use cactusdoor_queue::lease::{GRANT, clock_bound};
use cactusdoor_queue::name::TaskName;
use cactusdoor_queue::record::{JobEnding, PlacedAt, TaskRecord};
use cactusdoor_queue::report::{HeldRun, JobState, RunEnd};
use cactusdoor_queue::spec::StepSpec;
use support::*;

const NOW: Moment = Moment(10_000);

/// A book with one worker and one job whose tasks are placed and stored.
fn running(steps: Vec<StepSpec>) -> QueueBook {
    let mut book = book();
    book.report(&report("a", 1, Some(worker("a", 1))), NOW, UNIX);
    book.submit(&"j".into(), job(steps));
    book.place(NOW, UNIX);
    store(&mut book);
    book
}

#[test]
fn a_start_is_ordered_only_once_its_placement_is_stored() {
    let mut book = book();
    book.report(&report("a", 1, Some(worker("a", 1))), NOW, UNIX);
    book.submit(&"j".into(), job(vec![step(1, 1_000)]));
    book.place(NOW, UNIX);
    assert_eq!(starts(&book, "a"), vec![]);
    store(&mut book);
    assert_eq!(starts(&book, "a"), vec![(task("j", 0, 0), 1)]);
}

#[test]
fn a_second_submission_is_the_same_job() {
    let mut book = running(vec![step(1, 1_000)]);
    assert!(!book.submit(&"j".into(), job(vec![step(5, 1_000)])));
    book.place(NOW, UNIX);
    store(&mut book);
    assert_eq!(starts(&book, "a").len(), 1);
}

#[test]
fn a_worker_is_never_committed_beyond_its_capacity() {
    let book = running(vec![step(9, 1_000)]);
    assert_eq!(starts(&book, "a").len(), 4);
}

#[test]
fn what_is_being_stopped_still_counts() {
    let mut book = running(vec![step(4, 1_000)]);
    book.cancel(&"j".into(), UNIX);
    book.submit(&"k".into(), job(vec![step(1, 1_000)]));
    book.place(NOW, UNIX);
    store(&mut book);
    assert_eq!(stops(&book, "a").len(), 4);
    assert!(!starts(&book, "a").contains(&(task("k", 0, 0), 1)));
    let mut end = report("a", 2, Some(worker("a", 1)));
    end.ended = vec![ended(1, &task("j", 0, 0), 1, RunEnd::Stopped)];
    book.report(&end, NOW, UNIX);
    book.place(NOW, UNIX);
    store(&mut book);
    assert!(starts(&book, "a").contains(&(task("k", 0, 0), 1)));
}

#[test]
fn a_step_starts_after_all_tasks_of_the_steps_before_it() {
    let second = StepSpec { after: vec![0], ..step(1, 100) };
    let mut book = running(vec![step(2, 1_000), second]);
    let mut first = report("a", 2, Some(worker("a", 1)));
    first.ended = vec![ended(1, &task("j", 0, 0), 1, RunEnd::Done)];
    book.report(&first, NOW, UNIX);
    book.place(NOW, UNIX);
    store(&mut book);
    assert!(!starts(&book, "a").contains(&(task("j", 1, 0), 1)));
    let mut last = report("a", 3, Some(worker("a", 1)));
    last.ended = vec![ended(2, &task("j", 0, 1), 1, RunEnd::Done)];
    book.report(&last, NOW, UNIX);
    book.place(NOW, UNIX);
    store(&mut book);
    assert!(starts(&book, "a").contains(&(task("j", 1, 0), 1)));
}

#[test]
fn an_end_is_noted_only_once_it_is_stored() {
    let mut book = running(vec![step(1, 1_000)]);
    let mut end = report("a", 2, Some(worker("a", 1)));
    end.ended = vec![ended(7, &task("j", 0, 0), 1, RunEnd::Done)];
    book.report(&end, NOW, UNIX);
    assert_eq!(book.seats["a"].noted, 0);
    let entries = store(&mut book);
    assert_eq!(book.seats["a"].noted, 7);
    let noted = |effect: &BookEffect| matches!(effect, BookEffect::Noted { .. });
    let noted = entries.iter().position(|entry| entry.effect.as_ref().is_some_and(noted));
    let record = entries.iter().position(|entry| entry.record.is_some());
    assert!(record < noted, "the end is stored before it is noted");
}

#[test]
fn a_job_fails_once_a_task_has_failed_as_often_as_it_may() {
    let mut book = running(vec![step(1, 1_000)]);
    let mut now = NOW;
    for run in 1..=3 {
        let mut end = report("a", u64::from(run) + 1, Some(worker("a", 1)));
        end.ended = vec![ended(u64::from(run), &task("j", 0, 0), run, RunEnd::Failed)];
        book.report(&end, now, UNIX);
        now = now.after(1_000);
        book.report(&report("a", 100 + u64::from(run), Some(worker("a", 1))), now, UNIX);
        book.seats["a"].report = u64::from(run) + 1;
        book.place(now, UNIX);
        store(&mut book);
    }
    assert_eq!(book.ended["j"].state, JobState::Failed);
    assert!(!starts(&book, "a").contains(&(task("j", 0, 0), 4)));
}

/// An agent that was restarted does not know its worker yet; its tasks run on.
#[test]
fn an_unknown_worker_is_not_a_worker_that_is_gone() {
    let mut book = running(vec![step(1, 1_000)]);
    let mut fresh = report("a", 1, None);
    fresh.incarnation = 2;
    book.report(&fresh, NOW, UNIX);
    assert!(book.holds(&agent("a"), &task("j", 0, 0), 1));
    let mut gone = report("a", 2, None);
    gone.incarnation = 2;
    gone.gone = Some(worker("a", 1).life);
    book.report(&gone, NOW, UNIX);
    assert!(!book.holds(&agent("a"), &task("j", 0, 0), 1));
}

#[test]
fn a_new_life_of_a_worker_ends_the_runs_of_the_old_one() {
    let mut book = running(vec![step(1, 1_000)]);
    book.report(&report("a", 2, Some(worker("a", 2))), NOW, UNIX);
    book.place(NOW, UNIX);
    store(&mut book);
    assert!(starts(&book, "a").contains(&(task("j", 0, 0), 2)));
}

#[test]
fn an_older_report_changes_nothing() {
    let mut book = running(vec![step(1, 1_000)]);
    book.report(&report("a", 5, Some(worker("a", 1))), NOW, UNIX);
    assert!(!book.report(&report("a", 4, Some(worker("a", 9))), NOW, UNIX));
    assert!(book.holds(&agent("a"), &task("j", 0, 0), 1));
}

#[test]
fn runs_of_a_silent_agent_are_redone_only_after_its_grant() {
    let mut book = running(vec![step(1, 1_000)]);
    let until = clock_bound(NOW, GRANT);
    assert_eq!(book.expire(until, UNIX), vec![]);
    assert!(book.holds(&agent("a"), &task("j", 0, 0), 1));
    book.expire(until.after(1), UNIX);
    assert!(!book.holds(&agent("a"), &task("j", 0, 0), 1));
}

#[test]
fn nothing_is_placed_in_a_data_centre_that_is_out_or_on_a_leaving_worker() {
    let mut book = book();
    book.view.taken_out.insert("north".into());
    book.report(&report("a", 1, Some(worker("a", 1))), NOW, UNIX);
    book.submit(&"j".into(), job(vec![step(1, 1_000)]));
    book.place(NOW, UNIX);
    store(&mut book);
    assert_eq!(starts(&book, "a"), vec![]);
    book.view.taken_out.clear();
    let mut leaving = worker("a", 1);
    leaving.leaves_in = Some(2_000);
    book.report(&report("a", 2, Some(leaving)), NOW, UNIX);
    book.place(NOW, UNIX);
    store(&mut book);
    assert_eq!(starts(&book, "a"), vec![]);
}

#[test]
fn a_run_that_the_book_does_not_know_is_stopped() {
    let mut book = running(vec![step(1, 1_000)]);
    let mut stray = report("a", 2, Some(worker("a", 1)));
    let held =
        HeldRun { task: task("old", 0, 0), run: 3, saved: "".into(), percent: Some(5), pace: 100 };
    stray.held = Some(vec![held]);
    book.report(&stray, NOW, UNIX);
    assert_eq!(stops(&book, "a"), vec![(task("old", 0, 0), 3)]);
}

#[test]
fn a_gang_is_placed_whole_or_not_at_all() {
    let gang = StepSpec { gang: true, ..step(5, 1_000) };
    assert_eq!(starts(&running(vec![gang]), "a"), vec![]);
    let gang = StepSpec { gang: true, ..step(4, 1_000) };
    let book = running(vec![gang]);
    assert_eq!(starts(&book, "a").len(), 4);
    assert!(starts(&book, "a").iter().all(|(_, run)| *run == 1));
}

#[test]
fn an_occurrence_does_not_start_before_its_time() {
    let mut book = book();
    book.report(&report("a", 1, Some(worker("a", 1))), NOW, UNIX);
    let mut timed = job(vec![step(1, 1_000)]);
    (timed.times, timed.first_due, timed.interval) = (2, UNIX + 100, 1_000);
    book.submit(&"j".into(), timed);
    book.place(NOW, UNIX + 99);
    store(&mut book);
    assert_eq!(starts(&book, "a"), vec![]);
    book.place(NOW, UNIX + 100);
    store(&mut book);
    assert_eq!(starts(&book, "a").len(), 1);
}

/// What a new owner reads places nothing that may still run.
#[test]
fn a_stored_placement_is_taken_up_by_the_next_owner() {
    let mut book = QueueBook::open(2, NOW.after(9_000));
    book.view = view();
    book.submit(&"j".into(), job(vec![step(2, 1_000)]));
    let placed = PlacedAt { agent: agent("a"), life: worker("a", 1).life };
    let record = TaskRecord { run: 4, placed: Some(placed), ..TaskRecord::default() };
    book.restore_task(&task("j", 0, 0), &record, NOW);
    book.finish_loading(UNIX);
    book.report(&report("b", 1, Some(worker("b", 1))), NOW, UNIX);
    book.place(NOW, UNIX);
    store(&mut book);
    assert_eq!(starts(&book, "b"), vec![(task("j", 0, 1), 1)]);
    book.expire(NOW.after(9_001), UNIX);
    book.report(&report("b", 2, Some(worker("b", 1))), NOW.after(9_001), UNIX);
    book.place(NOW.after(9_001), UNIX);
    store(&mut book);
    assert!(starts(&book, "b").contains(&(task("j", 0, 0), 5)));
}

#[test]
fn a_job_whose_last_end_was_stored_is_completed_by_the_next_owner() {
    let mut book = QueueBook::open(2, NOW);
    book.submit(&"j".into(), job(vec![step(1, 1_000)]));
    let record = TaskRecord { run: 1, done: true, ..TaskRecord::default() };
    book.restore_task(&task("j", 0, 0), &record, NOW);
    book.finish_loading(UNIX);
    assert_matches!(book.ended["j"], JobEnding { state: JobState::Completed, .. });
}

#[test]
fn a_checkpoint_of_a_lost_run_is_where_the_next_one_resumes() {
    let mut book = running(vec![step(1, 1_000)]);
    let mut progress = report("a", 2, Some(worker("a", 1)));
    let held =
        HeldRun { task: task("j", 0, 0), run: 1, saved: "c1".into(), percent: Some(40), pace: 100 };
    progress.held = Some(vec![held]);
    book.report(&progress, NOW, UNIX);
    book.report(&report("a", 3, Some(worker("a", 2))), NOW, UNIX);
    let resumed = book.jobs["j"].task(&task("j", 0, 0)).unwrap();
    assert_eq!(&*resumed.saved, "c1");
    assert_matches!(resumed.place, TaskPlace::Waiting(_));
}

#[test]
fn a_worker_that_fails_several_jobs_gets_no_more_for_a_while() {
    let mut book = book();
    book.report(&report("a", 1, Some(worker("a", 1))), NOW, UNIX);
    book.submit(&"j".into(), job(vec![step(1, 100)]));
    book.submit(&"k".into(), job(vec![step(1, 100)]));
    book.place(NOW, UNIX);
    store(&mut book);
    let mut ends = report("a", 2, Some(worker("a", 1)));
    ends.ended = vec![
        ended(1, &task("j", 0, 0), 1, RunEnd::Failed),
        ended(2, &task("k", 0, 0), 1, RunEnd::Failed),
    ];
    book.report(&ends, NOW, UNIX);
    let later = NOW.after(1_000);
    book.report(&report("a", 3, Some(worker("a", 1))), later, UNIX);
    book.place(later, UNIX);
    store(&mut book);
    assert_eq!(starts(&book, "a").len(), 2, "only the first starts");
}

/// A job of tasks that fill once waited although nothing of it ran.
#[test]
fn a_job_with_nothing_running_is_placed_however_busy_the_workers_are() {
    let fill = |tasks| StepSpec { fills: true, image: Some("x".into()), ..step(tasks, 4_000) };
    let mut book = running(vec![fill(8)]);
    let placed = starts(&book, "a").len();
    assert!(placed < 8, "nothing had to wait");
    book.submit(&"k".into(), job(vec![fill(8)]));
    book.place(NOW, UNIX);
    let later = NOW.after(1_500);
    book.report(&report("a", 2, Some(worker("a", 1))), later, UNIX);
    book.place(later, UNIX);
    store(&mut book);
    assert!(starts(&book, "a").contains(&(task("k", 0, 0), 1)));
    assert_eq!(starts(&book, "a").len(), placed + 1);
}

/// Lists of a worker whose tasks stand at the same percent.
fn stand_still(book: &mut QueueBook, pace: u8, lists: u64) {
    for list in 1..=lists {
        let now = NOW.after(list * 900);
        let mut still = report("a", 10 + list, Some(worker("a", 1)));
        still.received = book.seats["a"].last_order;
        let held = |index| HeldRun {
            task: task("j", 0, index),
            run: 1,
            saved: "".into(),
            percent: Some(7),
            pace,
        };
        still.held = Some(vec![held(0), held(1)]);
        book.report(&still, now, UNIX);
    }
}

#[test]
fn all_tasks_leave_a_worker_on_which_none_makes_progress() {
    let mut book = running(vec![step(2, 1_000)]);
    stand_still(&mut book, 100, 5);
    assert_eq!(stops(&book, "a").len(), 2);
}

/// Tasks that were paced down once counted as standing still, and were stopped.
#[test]
fn a_task_that_is_paced_down_does_not_stand_still() {
    let mut book = running(vec![step(2, 1_000)]);
    stand_still(&mut book, 20, 6);
    assert_eq!(stops(&book, "a"), vec![]);
}

/// Guards against an order that takes a task at work away from its users.
#[test]
fn a_task_that_lasts_and_is_at_work_stays_on_a_barred_worker() {
    let lasting = StepSpec { endless: true, ..step(1, 1_000) };
    let mut book = running(vec![step(2, 1_000), lasting]);
    book.seats["a"].runs.get_mut(&task("j", 1, 0)).unwrap().percent = Some(100);
    stand_still(&mut book, 100, 5);
    assert_eq!(stops(&book, "a").len(), 2);
    assert!(!stops(&book, "a").contains(&(task("j", 1, 0), 1)));
}

/// The answer to a report may wait; a run placed meanwhile once counted as
/// lapsed at once, and was started a second time.
#[test]
fn a_run_placed_before_the_answer_to_the_first_report_has_its_lease() {
    let mut book = running(vec![step(1, 1_000)]);
    assert_eq!(book.expire(NOW.after(20), UNIX), vec![]);
    assert!(book.holds(&agent("a"), &task("j", 0, 0), 1));
}

/// An agent that does not know its worker extends no lease.
#[test]
fn reports_without_a_worker_do_not_keep_its_runs() {
    let mut book = running(vec![step(1, 1_000)]);
    let until = clock_bound(NOW, GRANT);
    let mut fresh = report("a", 1, None);
    fresh.incarnation = 2;
    book.report(&fresh, until, UNIX);
    book.expire(until.after(1), UNIX);
    assert!(!book.holds(&agent("a"), &task("j", 0, 0), 1));
}

/// A worker of another service, without the label, or with a task of the step is no
/// place for a task.
#[test]
fn a_task_goes_only_where_its_step_and_queue_allow() {
    let mut book = book();
    let mut other = worker("other", 1);
    other.service = "lending".into();
    let mut unlabelled = worker("unlabelled", 1);
    unlabelled.labels = vec!["b".into(), "r2".into()];
    for state in [other, unlabelled, worker("fit", 1)] {
        let name = state.life.id.strip_prefix("i-").unwrap().to_owned();
        book.report(&report(&name, 1, Some(state)), NOW, UNIX);
    }
    let spread = StepSpec { label: Some("a".into()), per_worker: 1, ..step(3, 100) };
    book.submit(&"j".into(), job(vec![spread]));
    book.place(NOW, UNIX);
    store(&mut book);
    assert_eq!(starts(&book, "other"), vec![]);
    assert_eq!(starts(&book, "unlabelled"), vec![]);
    assert_eq!(starts(&book, "fit"), vec![(task("j", 0, 0), 1)]);
}

/// The first occurrence of a timed job is done while later ones are not due yet.
#[test]
fn a_timed_job_is_completed_only_with_its_last_occurrence() {
    let mut book = book();
    book.report(&report("a", 1, Some(worker("a", 1))), NOW, UNIX);
    let mut timed = job(vec![step(1, 1_000)]);
    (timed.times, timed.first_due, timed.interval) = (2, UNIX, 1_000);
    book.submit(&"j".into(), timed);
    for (number, unix) in [(1, UNIX), (2, UNIX + 1_000)] {
        book.place(NOW, unix);
        store(&mut book);
        assert!(!book.ended.contains_key("j"), "not before occurrence {number} is done");
        let occurrence = u32::try_from(number).unwrap() - 1;
        let done = TaskName { occurrence, ..task("j", 0, 0) };
        let mut end = report("a", number + 1, Some(worker("a", 1)));
        end.ended = vec![ended(number, &done, 1, RunEnd::Done)];
        book.report(&end, NOW, unix);
        store(&mut book);
    }
    assert_eq!(book.ended["j"].state, JobState::Completed);
}
