//! Agents and workers that return: what the owner may grant before it knows their runs.

mod support;

use cactusdoor_core::unit::Moment;
use cactusdoor_queue::agent::{AgentState, ReportContent, WorkerCall, WorkerList};
use cactusdoor_queue::lease::{AGENT_LEASE, clock_bound};
use cactusdoor_queue::report::{AgentLease, AgentOrder, AgentReport, ReportedRun, RunEnd};
use cactusdoor_queue::scheduler::QueueScheduler;
use support::*;

const NOW: Moment = Moment(10_000);

/// The owner's answer to a report, with all outstanding orders.
fn answer(scheduler: &QueueScheduler) -> AgentLease {
    let tracked = &scheduler.workers["a"];
    AgentLease {
        epoch: scheduler.epoch,
        incarnation: tracked.worker.as_ref().map(|worker| worker.incarnation.clone()),
        duration: tracked.lease_duration(AGENT_LEASE),
        confirmed: true,
        heartbeat: 0,
        acknowledged: 0,
        acknowledged_runs: Vec::new(),
        orders: tracked.orders.iter().cloned().collect(),
        interference: None,
    }
}

fn content(full_list: bool) -> ReportContent {
    ReportContent { agent: "a".into(), incarnation: 1, full_list, wait: 0 }
}

/// An agent that has received the start of run 1 and not called its worker yet.
fn received() -> (QueueScheduler, AgentState) {
    let (mut scheduler, mut agent) = (scheduler(), AgentState::default());
    agent.register(worker("a", 1));
    agent.apply_list(1, WorkerList { running: Vec::new(), ended: Vec::new() });
    let listing = agent.report(content(true));
    scheduler.report(&listing, NOW, UNIX);
    scheduler.submit(&"j".into(), job(vec![step(1, 1_000)]));
    scheduler.place(NOW, UNIX);
    store(&mut scheduler);
    assert_eq!(agent.apply_answer(answer(&scheduler), listing.number, NOW).len(), 1);
    (scheduler, agent)
}

/// Guards against a task that runs twice (TWICE): an agent that was frozen with a start order
/// returns, and its first report that arrives carries no list.
#[test]
fn an_agent_with_expired_runs_gets_no_lease_before_it_has_reported_its_list() {
    let (mut scheduler, mut agent) = received();
    let later = clock_bound(NOW, AGENT_LEASE).after(1);
    scheduler.expire(later, UNIX);
    assert!(!scheduler.is_assigned(&"a".into(), &task("j", 0, 0), 1));
    scheduler.report(&agent.report(content(false)), later, UNIX);
    let calls = agent.apply_lease(answer(&scheduler), later);
    assert_eq!(calls, vec![WorkerCall::Stop { task: task("j", 0, 0), run: 1 }]);
    assert!(agent.lease_end <= later, "the agent may start the run that has expired");
    scheduler.report(&agent.report(content(true)), later, UNIX);
    agent.apply_lease(answer(&scheduler), later);
    assert!(agent.needs_stop(&task("j", 0, 0), 1));
    assert!(agent.lease_end > later);
}

/// Guards against a task that never starts (LOST): an agent that removes its worker forgets
/// its orders, and the same incarnation registers before a report says so.
#[test]
fn an_order_that_the_agent_has_forgotten_is_repeated() {
    let (mut scheduler, mut agent) = received();
    scheduler.report(&agent.report(content(false)), NOW, UNIX);
    assert!(scheduler.workers["a"].orders.is_empty());
    agent.remove();
    agent.register(worker("a", 1));
    agent.apply_list(2, WorkerList { running: Vec::new(), ended: Vec::new() });
    scheduler.report(&agent.report(content(true)), NOW, UNIX);
    assert!(scheduler.is_assigned(&"a".into(), &task("j", 0, 0), 1));
    let calls = agent.apply_lease(answer(&scheduler), NOW);
    assert!(matches!(&calls[..], [WorkerCall::Start(start)] if start.run == 1), "{calls:?}");
    scheduler.report(&agent.report(content(true)), NOW, UNIX);
    assert!(scheduler.workers["a"].orders.is_empty(), "a listed run needs no further order");
}

/// Guards against runs that never end (LOST): after a restart of the machine, the worker may
/// have started at an earlier wall-clock time than the incarnation before.
#[test]
fn a_listed_worker_replaces_an_incarnation_with_a_later_start() {
    let mut scheduler = scheduler();
    scheduler.report(&report("a", 1, Some(worker("a", 2))), NOW, UNIX);
    scheduler.submit(&"j".into(), job(vec![step(1, 1_000)]));
    scheduler.place(NOW, UNIX);
    store(&mut scheduler);
    let restarted = AgentReport { incarnation: 2, ..report("a", 1, Some(successor("a", 1))) };
    scheduler.report(&restarted, NOW, UNIX);
    assert!(scheduler.is_assigned(&"a".into(), &task("j", 0, 0), 1));
    let listed = AgentReport { number: 2, runs: Some(Vec::new()), ..restarted };
    scheduler.report(&listed, NOW, UNIX);
    assert!(!scheduler.is_assigned(&"a".into(), &task("j", 0, 0), 1));
}

/// Guards against lost orders (LOST): a report of a former process of the agent, delayed by the
/// network, counts orders that the present process has not received.
#[test]
fn a_delayed_report_of_a_former_process_takes_no_order() {
    let (mut scheduler, mut agent) = received();
    let delayed = agent.report(content(false));
    assert_eq!(delayed.received, 1);
    let restarted = AgentReport { incarnation: 2, ..report("a", 1, Some(worker("a", 1))) };
    scheduler.report(&restarted, NOW, UNIX);
    assert_eq!(starts(&scheduler, "a"), vec![(task("j", 0, 0), 1)]);
    assert!(!scheduler.report(&delayed, NOW, UNIX));
    assert_eq!(starts(&scheduler, "a"), vec![(task("j", 0, 0), 1)]);
}

/// Guards against a worker that stays closed: the end of an unassigned run frees its worker
/// without waiting for the next list.
#[test]
fn the_end_of_an_unassigned_run_frees_its_worker() {
    let (mut scheduler, _) = received();
    let stray = ReportedRun {
        task: task("old", 0, 0),
        run: 1,
        checkpoint: "".into(),
        percent: Some(5),
        speed: 100,
    };
    let listing = AgentReport { runs: Some(vec![stray]), ..report("a", 2, Some(worker("a", 1))) };
    scheduler.report(&listing, NOW, UNIX);
    assert!(!scheduler.workers["a"].unassigned.is_empty());
    let ended = vec![ended(1, &task("old", 0, 0), 1, RunEnd::Stopped)];
    let ending = AgentReport { ended, ..report("a", 3, Some(worker("a", 1))) };
    scheduler.report(&ending, NOW, UNIX);
    assert!(scheduler.workers["a"].unassigned.is_empty());
}

/// Guards against a worker that is closed by a stop that crossed the end of its run: the agent
/// would list the run, which the owner no longer knows.
#[test]
fn a_stop_that_arrives_with_the_acknowledgement_of_the_end_is_dropped() {
    let (scheduler, mut agent) = received();
    let ended = vec![ended(1, &task("j", 0, 0), 1, RunEnd::Done)];
    agent.apply_list(2, WorkerList { running: Vec::new(), ended });
    let stop = AgentOrder::Stop { task: task("j", 0, 0), run: 1 };
    let lease = AgentLease { acknowledged: 1, orders: vec![(2, stop)], ..answer(&scheduler) };
    assert_eq!(agent.apply_lease(lease, NOW), vec![]);
    assert!(!agent.has_ends());
    assert_eq!(agent.report(content(true)).runs, Some(Vec::new()));
}

/// Guards against a worker that stays closed: while a stop is under way, each list leads to
/// another order of it, which must not begin the wait for its effect anew.
#[test]
fn a_repeated_stop_causes_no_further_call() {
    let (scheduler, mut agent) = received();
    let stop = AgentOrder::Stop { task: task("j", 0, 0), run: 1 };
    let orders = vec![(2, stop.clone()), (3, stop)];
    let calls = agent.apply_lease(AgentLease { orders, ..answer(&scheduler) }, NOW);
    assert_eq!(calls, vec![WorkerCall::Stop { task: task("j", 0, 0), run: 1 }]);
    assert!(agent.needs_stop(&task("j", 0, 0), 1), "the call is repeated until it is answered");
}

/// Guards against a worker above its capacity (LIMIT): the first report with a list may be lost,
/// and the next one must not name the worker without it.
#[test]
fn an_agent_lists_its_runs_until_the_owner_has_answered() {
    let mut agent = AgentState::default();
    agent.register(worker("a", 1));
    assert_eq!(agent.report(content(true)).worker, None, "the list is not known");
    agent.apply_list(1, WorkerList { running: Vec::new(), ended: Vec::new() });
    let unanswered = agent.report(content(false)).number;
    assert_eq!(agent.report(content(false)).runs, Some(Vec::new()));
    let (scheduler, _) = received();
    agent.apply_answer(answer(&scheduler), unanswered, NOW);
    assert_eq!(agent.report(content(false)).runs, None);
    assert!(agent.report(content(false)).worker.is_some());
}
