//! Orders for runs that the owner has ended itself, without an end listed by the worker.

mod support;

use cactusdoor_core::unit::Moment;
use cactusdoor_queue::agent::{AgentState, ListedRun, ReportContent, WorkerCall, WorkerList};
use cactusdoor_queue::lease::{AGENT_LEASE, clock_bound};
use cactusdoor_queue::record::{PlacedAt, TaskRecord};
use cactusdoor_queue::report::{AgentLease, AgentOrder, AgentReport, ReportedRun, StartOrder};
use cactusdoor_queue::scheduler::QueueScheduler;
use support::*;

const NOW: Moment = Moment(10_000);

/// A scheduler that has ordered run 1 of one task on the worker of agent `a`.
fn ordered() -> QueueScheduler {
    let mut scheduler = scheduler();
    scheduler.report(&report("a", 1, Some(worker("a", 1))), NOW, UNIX);
    scheduler.submit(&"j".into(), job(vec![step(1, 1_000)]));
    scheduler.place(NOW, UNIX);
    store(&mut scheduler);
    assert_eq!(starts(&scheduler, "a"), vec![(task("j", 0, 0), 1)]);
    scheduler
}

/// The report of an agent whose worker has not answered until its lease expired.
fn lost_worker(number: u64) -> AgentReport {
    let ended_incarnation = Some(worker("a", 1).incarnation);
    AgentReport { ended_incarnation, ..report("a", number, None) }
}

/// The owner's answer to a report, with all outstanding orders.
fn answer(scheduler: &QueueScheduler) -> AgentLease {
    let tracked = &scheduler.workers["a"];
    AgentLease {
        epoch: scheduler.epoch,
        incarnation: tracked.worker.as_ref().map(|worker| worker.incarnation.clone()),
        duration: 1_000,
        confirmed: true,
        heartbeat: 0,
        acknowledged: 0,
        acknowledged_runs: Vec::new(),
        orders: tracked.orders.iter().cloned().collect(),
        interference: None,
    }
}

fn started(calls: &[WorkerCall]) -> Vec<u32> {
    let runs = calls.iter().filter_map(|call| match call {
        WorkerCall::Start(start) => Some(start.run),
        WorkerCall::Stop { .. } => None,
    });
    runs.collect()
}

/// Guards against a task that runs twice (TWICE): a worker that was silent until its lease
/// expired returns, and its agent receives the start order of a run placed elsewhere since.
#[test]
fn a_returning_worker_does_not_start_a_run_that_was_placed_elsewhere() {
    let mut scheduler = ordered();
    let mut agent = AgentState::default();
    agent.register(worker("a", 1));
    agent.remove();
    scheduler.report(&lost_worker(2), NOW, UNIX);
    scheduler.report(&report("b", 1, Some(worker("b", 1))), NOW, UNIX);
    scheduler.place(NOW, UNIX);
    store(&mut scheduler);
    assert_eq!(starts(&scheduler, "b"), vec![(task("j", 0, 0), 2)]);
    agent.register(worker("a", 1));
    scheduler.report(&report("a", 3, Some(worker("a", 1))), NOW, UNIX);
    let calls = agent.apply_lease(answer(&scheduler), NOW);
    assert_eq!(started(&calls), Vec::<u32>::new());
}

/// Guards against a task that runs twice (TWICE): an agent that was silent until its lease
/// expired returns and receives the start order of the run.
#[test]
fn a_returning_agent_does_not_start_a_run_that_has_expired() {
    let mut scheduler = ordered();
    let mut agent = AgentState::default();
    agent.register(worker("a", 1));
    let later = clock_bound(NOW, AGENT_LEASE).after(1);
    scheduler.expire(later, UNIX);
    assert!(!scheduler.is_assigned(&"a".into(), &task("j", 0, 0), 1));
    scheduler.report(&report("a", 2, Some(worker("a", 1))), later, UNIX);
    let calls = agent.apply_lease(answer(&scheduler), later);
    assert_eq!(started(&calls), Vec::<u32>::new());
}

/// Guards against a task that runs twice (TWICE): a new owner repeats the orders of restored
/// runs in its answer to the report that says their worker has ended.
#[test]
fn a_new_owner_does_not_start_a_restored_run_that_has_ended() {
    let mut scheduler = QueueScheduler::open(1, NOW.after(9_000));
    scheduler.set_view(view());
    scheduler.submit(&"j".into(), job(vec![step(1, 1_000)]));
    let placed = PlacedAt { agent: "a".into(), incarnation: worker("a", 1).incarnation };
    let record = TaskRecord { run: 1, placed: Some(placed), ..TaskRecord::default() };
    scheduler.restore_task(&task("j", 0, 0), &record, NOW);
    scheduler.finish_loading(UNIX);
    scheduler.report(&lost_worker(1), NOW, UNIX);
    assert!(!scheduler.is_assigned(&"a".into(), &task("j", 0, 0), 1));
    scheduler.report(&report("a", 2, Some(worker("a", 1))), NOW, UNIX);
    let mut agent = AgentState::default();
    agent.register(worker("a", 1));
    assert_eq!(started(&agent.apply_lease(answer(&scheduler), NOW)), Vec::<u32>::new());
}

/// Guards against a run that nobody stops (TWICE, LIMIT): the stop of an older run must reach
/// the worker although a newer run of the task has been ordered there.
#[test]
fn an_older_run_is_stopped_while_a_newer_one_is_ordered() {
    let mut scheduler = ordered();
    let mut agent = AgentState::default();
    agent.register(worker("a", 1));
    let listed = ListedRun {
        task: task("j", 0, 0),
        run: 0,
        checkpoint: "".into(),
        percent: 5,
        measurement: 0,
    };
    agent.apply_list(1, WorkerList { running: vec![listed], ended: Vec::new() });
    let calls = agent.apply_lease(answer(&scheduler), NOW);
    assert_eq!(started(&calls), vec![1]);
    let content = ReportContent { agent: "a".into(), incarnation: 1, full_list: true, wait: 0 };
    let report = AgentReport { number: 2, ..agent.report(content) };
    scheduler.report(&report, NOW, UNIX);
    assert_eq!(stops(&scheduler, "a"), vec![(task("j", 0, 0), 0)]);
    let stop = WorkerCall::Stop { task: task("j", 0, 0), run: 0 };
    assert_eq!(agent.apply_lease(answer(&scheduler), NOW), vec![stop]);
    assert!(agent.needs_stop(&task("j", 0, 0), 0), "the call is repeated until it is answered");
    agent.record_answer(&task("j", 0, 0), 0, 1);
    assert!(agent.needs_stop(&task("j", 0, 0), 0), "the answer to a start ends no stop");
    agent.record_stop_answer(&task("j", 0, 0), 0, 1);
    assert!(!agent.needs_stop(&task("j", 0, 0), 0));
}

/// Guards against a run that nobody stops (TWICE, LIMIT): a newer run of the task is ordered
/// before the worker has answered the stop of the older one.
#[test]
fn the_stop_of_a_run_is_repeated_after_a_newer_run_is_ordered() {
    let mut scheduler = ordered();
    let mut agent = AgentState::default();
    agent.register(worker("a", 1));
    agent.apply_lease(answer(&scheduler), NOW);
    scheduler.expire(clock_bound(NOW, AGENT_LEASE).after(1), UNIX);
    let later = clock_bound(NOW, AGENT_LEASE).after(2);
    let stray = ReportedRun {
        task: task("j", 0, 0),
        run: 1,
        checkpoint: "".into(),
        percent: Some(5),
        speed: 100,
    };
    let worker = Some(worker("a", 1));
    let listing = AgentReport { runs: Some(vec![stray]), received: 1, ..report("a", 2, worker) };
    scheduler.report(&listing, later, UNIX);
    let stop = WorkerCall::Stop { task: task("j", 0, 0), run: 1 };
    assert_eq!(agent.apply_lease(answer(&scheduler), later), vec![stop]);
    let mut newer = answer(&scheduler);
    let AgentOrder::Start(first) = answer(&ordered()).orders[0].1.clone() else { unreachable!() };
    newer.orders = vec![(3, AgentOrder::Start(StartOrder { run: 2, ..first }))];
    assert_eq!(started(&agent.apply_lease(newer, later)), vec![2]);
    assert!(agent.needs_stop(&task("j", 0, 0), 1));
}

/// Guards against a task that runs twice (TWICE): an announcement of an earlier incarnation
/// that reaches a restarted agent late is not the end of the living one.
#[test]
fn an_earlier_incarnation_ends_no_run() {
    let mut scheduler = scheduler();
    scheduler.report(&report("a", 1, Some(worker("a", 2))), NOW, UNIX);
    scheduler.submit(&"j".into(), job(vec![step(1, 1_000)]));
    scheduler.place(NOW, UNIX);
    store(&mut scheduler);
    let delayed = AgentReport { incarnation: 2, ..report("a", 1, Some(worker("a", 1))) };
    scheduler.report(&delayed, NOW, UNIX);
    assert!(scheduler.is_assigned(&"a".into(), &task("j", 0, 0), 1));
}

/// Guards against a task that runs twice (TWICE): two reports may be under way at once, and the
/// answer to the older one arrives after the owner has ended the run with the newer one.
#[test]
fn an_answer_from_before_the_worker_returned_starts_nothing() {
    let mut scheduler = ordered();
    let mut agent = AgentState::default();
    agent.register(worker("a", 1));
    let content = || ReportContent { agent: "a".into(), incarnation: 1, full_list: false, wait: 0 };
    let delayed = agent.report(content()).number;
    let orders = answer(&scheduler);
    agent.remove();
    let lost = agent.report(content());
    agent.register(worker("a", 1));
    scheduler.report(&lost_worker(lost.number), NOW, UNIX);
    assert!(!scheduler.is_assigned(&"a".into(), &task("j", 0, 0), 1));
    assert_eq!(agent.apply_answer(orders.clone(), delayed, NOW), vec![]);
    assert_eq!(agent.report(content()).received, 0, "the owner repeats orders that still hold");
    let next = agent.report(content()).number;
    assert_eq!(started(&agent.apply_answer(orders, next, NOW)), vec![1]);
}

/// Guards against a task that runs twice (TWICE): an agent that was paused takes up a start order
/// that it had received before, after it has sent the report that ends its pause.
#[test]
fn an_agent_that_has_received_the_start_of_an_expired_run_is_told_to_stop_it() {
    let mut scheduler = ordered();
    let mut agent = AgentState::default();
    agent.register(worker("a", 1));
    agent.apply_list(1, WorkerList { running: Vec::new(), ended: Vec::new() });
    let content = || ReportContent { agent: "a".into(), incarnation: 1, full_list: true, wait: 0 };
    let first = agent.report(content()).number;
    let received = answer(&scheduler);
    let later = clock_bound(NOW, AGENT_LEASE).after(1);
    scheduler.expire(later, UNIX);
    let listing = agent.report(content());
    assert_eq!(started(&agent.apply_answer(received, first, NOW)), vec![1]);
    scheduler.report(&listing, later, UNIX);
    agent.apply_answer(answer(&scheduler), listing.number, later);
    assert!(agent.needs_stop(&task("j", 0, 0), 1));
}
