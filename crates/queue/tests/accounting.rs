//! Capacity in use that the owner cannot attribute to a task of a live job.

mod support;

use cactusdoor_core::unit::Moment;
use cactusdoor_queue::agent::{AgentState, ReportContent, WorkerList};
use cactusdoor_queue::record::{JobEnding, PlacedAt, TaskRecord};
use cactusdoor_queue::report::{AgentReport, JobState, ReportedRun, RunEnd};
use cactusdoor_queue::scheduler::QueueScheduler;
use support::*;

const NOW: Moment = Moment(10_000);

/// A report of agent `a` with a complete list of running tasks.
fn listing(number: u64, runs: &[(&str, u32)]) -> AgentReport {
    let runs = runs.iter().map(|(job, run)| ReportedRun {
        task: task(job, 0, 0),
        run: *run,
        checkpoint: "".into(),
        percent: Some(5),
        speed: 100,
    });
    AgentReport { runs: Some(runs.collect()), ..report("a", number, Some(worker("a", 1))) }
}

fn place(scheduler: &mut QueueScheduler) {
    scheduler.place(NOW, UNIX);
    store(scheduler);
}

/// Guards against a worker above its capacity (LIMIT) after a change of owner: the spec of an
/// ended job may be gone, but its run holds capacity until the worker lists the end.
#[test]
fn a_restored_run_of_an_ended_job_keeps_its_worker_closed_until_it_ends() {
    let mut scheduler = QueueScheduler::open(2, NOW.after(9_000));
    scheduler.set_view(view());
    scheduler.restore_ending(&"old".into(), JobEnding { state: JobState::Cancelled, at: UNIX });
    let placed = PlacedAt { agent: agent("a"), incarnation: worker("a", 1).incarnation };
    let record = TaskRecord { run: 1, placed: Some(placed), ..TaskRecord::default() };
    scheduler.submit(&"j".into(), job(vec![step(1, 1_000)]));
    scheduler.restore_task(&task("old", 0, 0), &record, NOW);
    scheduler.finish_loading(UNIX);
    scheduler.report(&listing(1, &[("old", 1)]), NOW, UNIX);
    place(&mut scheduler);
    assert!(stops(&scheduler, "a").contains(&(task("old", 0, 0), 1)));
    assert_eq!(starts(&scheduler, "a"), vec![], "the size of the other run is not known");
    let mut end = listing(2, &[]);
    end.ended = vec![ended(1, &task("old", 0, 0), 1, RunEnd::Stopped)];
    scheduler.report(&end, NOW, UNIX);
    place(&mut scheduler);
    assert_eq!(starts(&scheduler, "a"), vec![(task("j", 0, 0), 1)]);
}

/// Guards against a worker above its capacity (LIMIT): a run that the owner has not assigned
/// uses capacity until its stop has taken effect.
#[test]
fn a_worker_with_an_unassigned_run_gets_no_task() {
    let mut scheduler = scheduler();
    scheduler.submit(&"j".into(), job(vec![step(1, 1_000)]));
    scheduler.report(&listing(1, &[("old", 1)]), NOW, UNIX);
    place(&mut scheduler);
    assert_eq!(stops(&scheduler, "a"), vec![(task("old", 0, 0), 1)]);
    assert_eq!(starts(&scheduler, "a"), vec![]);
    scheduler.report(&report("a", 2, Some(worker("a", 1))), NOW, UNIX);
    place(&mut scheduler);
    assert_eq!(starts(&scheduler, "a"), vec![], "a report without a list shows no end");
    scheduler.report(&listing(3, &[]), NOW, UNIX);
    place(&mut scheduler);
    assert_eq!(starts(&scheduler, "a"), vec![(task("j", 0, 0), 1)]);
}

/// Guards against a list that hides runs: before its first poll, a restarted agent knows only
/// of the runs that it has ordered itself.
#[test]
fn an_agent_reports_no_list_before_its_first_poll() {
    let mut agent = AgentState::default();
    agent.register(worker("a", 1));
    let content = || ReportContent { agent: "a".into(), incarnation: 1, full_list: true, wait: 0 };
    assert_eq!(agent.report(content()).runs, None);
    agent.apply_list(1, WorkerList { running: Vec::new(), ended: Vec::new() });
    assert_eq!(agent.report(content()).runs, Some(Vec::new()));
    agent.register(worker("a", 2));
    assert_eq!(agent.report(content()).runs, None);
}
