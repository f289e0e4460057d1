//! Attempts of jobs whose queue is not in the configuration that the owner knows.

mod support;

use cactusdoor_core::unit::Moment;
use cactusdoor_queue::config::OperatorView;
use cactusdoor_queue::record::PlacedAt;
use cactusdoor_queue::report::{AgentReport, EndedRun, JobState, RunEnd};
use cactusdoor_queue::scheduler::QueueScheduler;
use cactusdoor_queue::spec::JobSpec;
use support::*;

const NOW: Moment = Moment(10_000);
/// Longer than the delay before any retry, ms.
const RETRY: u64 = 2_000;
const ATTEMPTS: u32 = 5;

/// The view of operators who give a task five attempts.
fn five_attempts() -> OperatorView {
    let mut queue = queue();
    queue.terms.attempts = ATTEMPTS;
    view_of(queue)
}

/// An owner with one worker and one job of a single task.
fn running(view: OperatorView) -> QueueScheduler {
    let mut scheduler = QueueScheduler::open(1, Moment(0));
    scheduler.set_view(view);
    scheduler.submit(&"j".into(), job(vec![step(1, 1_000)]));
    retry(&mut scheduler, NOW);
    scheduler
}

/// Reports that the run has failed.
fn fail(scheduler: &mut QueueScheduler, run: u32, now: Moment) {
    let runs = vec![ended(u64::from(run), &task("j", 0, 0), run, RunEnd::Failed)];
    report_ends(scheduler, runs, now);
}

/// Places the next run after the longest delay of a retry.
fn retry(scheduler: &mut QueueScheduler, failed_at: Moment) {
    let now = failed_at.after(RETRY);
    report_ends(scheduler, Vec::new(), now);
    scheduler.place(now, UNIX);
    store(scheduler);
}

fn report_ends(scheduler: &mut QueueScheduler, ended: Vec<EndedRun>, now: Moment) {
    let number = scheduler.workers.get("a").map_or(1, |tracked| tracked.last_report + 1);
    let runs = Some(Vec::new());
    let report = AgentReport { ended, runs, ..report("a", number, Some(worker("a", 1))) };
    scheduler.report(&report, now, UNIX);
    store(scheduler);
}

/// Fails each run from the first to `last`, and places the next one.
fn fail_until(scheduler: &mut QueueScheduler, last: u32) {
    for run in 1..=last {
        let now = NOW.after(2 * RETRY * u64::from(run));
        fail(scheduler, run, now);
        retry(scheduler, now);
    }
}

/// The scheduler of the next owner, which has read the stored job and its task only.
fn next_owner(scheduler: &QueueScheduler) -> QueueScheduler {
    let name = task("j", 0, 0);
    let placed = PlacedAt { agent: agent("a"), incarnation: worker("a", 1).incarnation };
    let record = scheduler.jobs["j"].task(&name).unwrap().record(Some(placed));
    let mut next = QueueScheduler::open(2, Moment(60_000));
    next.submit(&"j".into(), JobSpec::clone(&scheduler.jobs["j"].spec));
    next.restore_task(&name, &record, NOW);
    next.finish_loading(UNIX);
    store(&mut next);
    next
}

/// Guards against a job that is given up early (LOST): an owner that had not read the
/// configuration yet took its queue for a removed one.
#[test]
fn no_job_fails_before_the_owner_knows_the_configuration() {
    let mut scheduler = running(five_attempts());
    fail_until(&mut scheduler, 2);
    let mut next = next_owner(&scheduler);
    fail(&mut next, 3, NOW);
    assert_eq!(next.ended.get("j"), None);
    next.set_view(five_attempts());
    retry(&mut next, NOW);
    assert!(starts(&next, "a").contains(&(task("j", 0, 0), 4)));
}

/// Guards against runs beyond the attempts of a queue (BUDGET): a failure that was reported
/// before the owner knew the configuration counts once it does.
#[test]
fn a_job_without_attempts_left_fails_once_the_owner_knows_the_configuration() {
    let mut scheduler = running(five_attempts());
    fail_until(&mut scheduler, 4);
    let mut next = next_owner(&scheduler);
    fail(&mut next, 5, NOW);
    assert_eq!(next.ended.get("j"), None);
    next.set_view(five_attempts());
    retry(&mut next, NOW);
    assert_eq!(next.ended.get("j").map(|ending| ending.state), Some(JobState::Failed));
    assert!(!starts(&next, "a").contains(&(task("j", 0, 0), 6)));
}
