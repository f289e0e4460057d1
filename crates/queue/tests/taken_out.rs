//! Runs that wait for their start in a data centre when operators take it out.

mod support;

use std::collections::BTreeSet;

use cactusdoor_core::unit::Moment;
use cactusdoor_queue::agent::{AgentState, ListedRun, ReportContent, WorkerList};
use cactusdoor_queue::config::OperatorView;
use cactusdoor_queue::lease::AGENT_LEASE;
use cactusdoor_queue::observation::RunObservation;
use cactusdoor_queue::record::{PlacedAt, TaskRecord};
use cactusdoor_queue::report::{AgentLease, AgentOrder, StartOrder};
use cactusdoor_queue::scheduler::QueueScheduler;
use support::*;

const NOW: Moment = Moment(10_000);

/// The operators' view while the data centre of all workers is out of service.
fn north_out() -> OperatorView {
    OperatorView { taken_out: BTreeSet::from(["north".into()]), ..view() }
}

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

/// Starts that the agent has been ordered to execute and has not called the worker for.
fn waiting_starts(agent: &AgentState, orders: &[(u64, AgentOrder)]) -> Vec<StartOrder> {
    let starts = orders.iter().filter_map(|(_, order)| match order {
        AgentOrder::Start(start) => Some(start.clone()),
        AgentOrder::Stop { .. } => None,
    });
    starts.filter(|start| agent.needs_start(start)).collect()
}

/// A worker's list with these tasks of job `j`.
fn list(running: &[u32]) -> WorkerList {
    let running = running.iter().map(|index| ListedRun {
        task: task("j", 0, *index),
        run: 1,
        checkpoint: "".into(),
        percent: 5,
        measurement: 0,
    });
    WorkerList { running: running.collect(), ended: Vec::new() }
}

/// An agent whose worker has listed these tasks of job `j` as running.
fn listing_agent(running: &[u32]) -> AgentState {
    let mut agent = AgentState::default();
    agent.register(worker("a", 1));
    agent.apply_list(1, list(running));
    agent
}

/// A scheduler that has ordered two tasks from an agent, which has received both starts.
fn ordered() -> (QueueScheduler, AgentState, Vec<(u64, AgentOrder)>) {
    let (mut scheduler, mut agent) = (scheduler(), listing_agent(&[]));
    scheduler.report(&agent.report(content(true)), NOW, UNIX);
    scheduler.submit(&"j".into(), job(vec![step(2, 1_000)]));
    scheduler.place(NOW, UNIX);
    store(&mut scheduler);
    let lease = answer(&scheduler);
    let orders = lease.orders.clone();
    agent.apply_lease(lease, NOW);
    assert_eq!(waiting_starts(&agent, &orders).len(), 2);
    (scheduler, agent, orders)
}

/// A new owner that has restored the placement of run 1 of one task on the worker.
fn restored() -> QueueScheduler {
    let mut scheduler = QueueScheduler::open(2, NOW.after(9_000));
    scheduler.set_view(north_out());
    scheduler.submit(&"j".into(), job(vec![step(1, 1_000)]));
    let placed = PlacedAt { agent: "a".into(), incarnation: worker("a", 1).incarnation };
    let record = TaskRecord { run: 1, placed: Some(placed), ..TaskRecord::default() };
    scheduler.restore_task(&task("j", 0, 0), &record, NOW);
    scheduler.finish_loading(UNIX);
    scheduler
}

/// Guards against a task that starts in a data centre taken out seconds before (EVAC): its
/// start was ordered earlier and the worker has not answered it.
#[test]
fn a_start_without_an_answer_is_withdrawn_when_its_data_centre_is_taken_out() {
    let (mut scheduler, mut agent, orders) = ordered();
    scheduler.set_view(north_out());
    agent.apply_lease(answer(&scheduler), NOW);
    assert_eq!(waiting_starts(&agent, &orders), vec![]);
    assert!(scheduler.take_updated().contains("a"), "the answer is due at once");
    let withdrawn =
        |index| RunObservation::Withdrawn { agent: "a".into(), task: task("j", 0, index), run: 1 };
    assert_eq!(scheduler.take_observations(), vec![withdrawn(0), withdrawn(1)]);
}

/// Guards against a task that starts in a data centre taken out seconds before (EVAC): its
/// placement is stored only once the owner knows that the data centre is out.
#[test]
fn a_placement_that_is_stored_after_its_data_centre_is_taken_out_is_not_started() {
    let mut scheduler = scheduler();
    let mut agent = listing_agent(&[]);
    scheduler.report(&agent.report(content(true)), NOW, UNIX);
    scheduler.submit(&"j".into(), job(vec![step(1, 1_000)]));
    scheduler.place(NOW, UNIX);
    scheduler.set_view(north_out());
    store(&mut scheduler);
    assert_eq!(starts(&scheduler, "a"), vec![]);
}

/// Guards against a task that starts in a data centre taken out seconds before (EVAC): a new
/// owner orders the placements of its predecessor again.
#[test]
fn a_new_owner_starts_no_restored_run_in_a_data_centre_taken_out() {
    for full_list in [true, false] {
        let mut scheduler = restored();
        let mut agent = listing_agent(&[]);
        // Its lease of the former owner has not ended.
        agent.lease_end = NOW.after(2_000);
        scheduler.report(&agent.report(content(full_list)), NOW, UNIX);
        let orders: Vec<_> = scheduler.workers["a"].orders.iter().cloned().collect();
        agent.apply_lease(answer(&scheduler), NOW);
        assert_eq!(waiting_starts(&agent, &orders), vec![], "full list: {full_list}");
    }
}

/// Guards against work that is lost when a data centre is taken out: tasks that have started
/// run on, also under a new owner that has not had their worker's list yet.
#[test]
fn running_tasks_go_on_in_a_data_centre_taken_out() {
    let (mut scheduler, mut agent, _) = ordered();
    agent.apply_list(2, list(&[0, 1]));
    scheduler.report(&agent.report(content(true)), NOW, UNIX);
    scheduler.set_view(north_out());
    assert_eq!(stops(&scheduler, "a"), vec![]);

    let mut next = restored();
    next.set_view(north_out());
    let mut agent = listing_agent(&[0]);
    next.report(&agent.report(content(false)), NOW, UNIX);
    next.set_view(north_out());
    next.report(&agent.report(content(true)), NOW, UNIX);
    assert_eq!(stops(&next, "a"), vec![]);
    assert!(next.is_assigned(&"a".into(), &task("j", 0, 0), 1));
}

/// Guards against a task that waits for ever (LOST): its start was withdrawn.
#[test]
fn a_task_whose_start_was_withdrawn_is_placed_in_another_data_centre() {
    let (mut scheduler, mut agent, _) = ordered();
    scheduler.set_view(north_out());
    assert_eq!(stops(&scheduler, "a"), vec![(task("j", 0, 0), 1), (task("j", 0, 1), 1)]);
    agent.apply_lease(answer(&scheduler), NOW);
    for index in 0..2 {
        agent.record_stop_answer(&task("j", 0, index), 1, 1);
    }
    agent.apply_list(3, list(&[]));
    scheduler.report(&agent.report(content(true)), NOW, UNIX);
    let mut elsewhere = worker("b", 1);
    elsewhere.data_centre = "south".into();
    scheduler.report(&report("b", 1, Some(elsewhere)), NOW, UNIX);
    scheduler.place(NOW, UNIX);
    store(&mut scheduler);
    assert_eq!(starts(&scheduler, "b"), vec![(task("j", 0, 0), 2), (task("j", 0, 1), 2)]);
}
