//! State of an agent: when a run counts as ended, and which orders are executed.

use std::sync::Arc;

use assert_matches::assert_matches;
use cactusdoor_core::unit::Moment;
use cactusdoor_queue::agent::{AgentState, ListedRun, ReportContent, WorkerCall, WorkerList};
use cactusdoor_queue::name::{TaskName, WorkerIncarnation};
use cactusdoor_queue::report::{
    AgentLease, AgentOrder, AgentReport, EndedRun, RunEnd, StartOrder, WorkerInfo,
};
use cactusdoor_queue::spec::TaskNeed;

fn incarnation(born: u64) -> WorkerIncarnation {
    WorkerIncarnation { id: "i-1".into(), born }
}

fn worker(born: u64) -> WorkerInfo {
    WorkerInfo {
        incarnation: incarnation(born),
        service: "minutes".into(),
        data_centre: "north".into(),
        capacity: TaskNeed { cpu: 8_000, memory: 8_000, accelerators: 0 },
        labels: Vec::new(),
        leaves_in: None,
    }
}

fn task() -> TaskName {
    "j.0.0.0".parse().unwrap()
}

fn start(run: u32, born: u64) -> AgentOrder {
    AgentOrder::Start(StartOrder {
        task: task(),
        incarnation: incarnation(born),
        run,
        checkpoint: "".into(),
        payload: Arc::from(""),
        latency_bound: 0,
        best_effort: false,
        image: None,
        cpu: 100,
        job_deadline: 0,
    })
}

fn lease(epoch: u64, orders: Vec<(u64, AgentOrder)>) -> AgentLease {
    AgentLease {
        epoch,
        incarnation: Some(incarnation(1)),
        duration: 1_000,
        confirmed: true,
        heartbeat: 0,
        acknowledged: 0,
        acknowledged_runs: Vec::new(),
        orders,
        interference: None,
    }
}

fn state() -> AgentState {
    let mut state = AgentState::default();
    state.register(worker(1));
    state
}

fn report(state: &mut AgentState) -> AgentReport {
    state.report(ReportContent { agent: "a".into(), incarnation: 1, full_list: true, wait: 0 })
}

fn empty() -> WorkerList {
    WorkerList { running: Vec::new(), ended: Vec::new() }
}

#[test]
fn a_repeated_order_is_executed_once() {
    let mut state = state();
    assert_eq!(state.apply_lease(lease(1, vec![(1, start(1, 1))]), Moment(0)).len(), 1);
    assert_eq!(state.apply_lease(lease(1, vec![(1, start(1, 1))]), Moment(0)), vec![]);
}

/// A restarted agent that accepts orders before its worker has registered drops them:
/// a task whose first start was lost with the old process then never runs.
#[test]
fn orders_are_not_accepted_before_the_worker_is_registered() {
    let mut state = AgentState::default();
    assert_eq!(state.apply_lease(lease(1, vec![(1, start(1, 1))]), Moment(0)), vec![]);
    assert_eq!(report(&mut state).received, 0, "the owner must repeat the orders");
    state.register(worker(1));
    assert_eq!(state.apply_lease(lease(1, vec![(1, start(1, 1))]), Moment(0)).len(), 1);
    assert_eq!(report(&mut state).received, 1);
}

#[test]
fn orders_and_leases_of_a_lower_epoch_are_ignored() {
    let mut state = state();
    state.apply_lease(lease(2, Vec::new()), Moment(0));
    assert_eq!(state.apply_lease(lease(1, vec![(1, start(1, 1))]), Moment(5_000)), vec![]);
    assert_eq!(state.lease_end, Moment(1_000));
}

#[test]
fn a_start_for_another_incarnation_of_the_worker_is_ignored() {
    let mut state = state();
    assert_eq!(state.apply_lease(lease(1, vec![(1, start(1, 7))]), Moment(0)), vec![]);
}

/// A list requested before the worker answered the start may lack the run.
#[test]
fn a_run_counts_as_absent_only_in_a_list_requested_after_the_answer() {
    let mut state = state();
    state.apply_lease(lease(1, vec![(1, start(1, 1))]), Moment(0));
    state.record_answer(&task(), 1, 5);
    assert!(!state.apply_list(5, empty()));
    assert_eq!(report(&mut state).ended, vec![]);
    assert!(state.apply_list(6, empty()));
    assert_matches!(
        &report(&mut state).ended[..],
        [EndedRun { number: 0, end: RunEnd::NotStarted, .. }]
    );
}

#[test]
fn a_start_without_an_answer_does_not_count_as_ended() {
    let mut state = state();
    state.apply_lease(lease(1, vec![(1, start(1, 1))]), Moment(0));
    for list in 1..50 {
        assert!(!state.apply_list(list, empty()));
    }
    let report = report(&mut state);
    assert_eq!(report.ended, vec![]);
    assert_eq!(report.runs.unwrap().len(), 1);
}

#[test]
fn a_stop_cancels_a_start_that_is_under_way() {
    let mut state = state();
    let calls = state.apply_lease(lease(1, vec![(1, start(1, 1))]), Moment(0));
    let [WorkerCall::Start(order)] = &calls[..] else { panic!("no start: {calls:?}") };
    assert!(state.needs_start(order));
    let stop = AgentOrder::Stop { task: task(), run: 1 };
    let calls = state.apply_lease(lease(1, vec![(2, stop)]), Moment(0));
    assert_matches!(&calls[..], [WorkerCall::Stop { run: 1, .. }]);
    assert!(!state.needs_start(order));
    assert!(state.needs_stop(&task(), 1));
}

#[test]
fn a_delayed_announcement_of_an_earlier_incarnation_is_ignored() {
    let mut state = AgentState::default();
    state.register(worker(5));
    assert!(!state.register(worker(4)));
    assert_eq!(state.incarnation(), Some(&incarnation(5)));
}

#[test]
fn a_report_names_the_incarnation_that_has_ended() {
    let mut state = state();
    let mut other = worker(2);
    other.incarnation.id = "i-2".into();
    assert!(state.register(other.clone()));
    assert_eq!(report(&mut state).ended_incarnation, Some(incarnation(1)));
    state.remove();
    let report = report(&mut state);
    assert_eq!((report.worker, report.ended_incarnation), (None, Some(other.incarnation)));
}

/// Starts without an answer may still reach a successor under the same id.
#[test]
fn a_report_does_not_name_the_predecessor_under_the_same_id() {
    let mut state = state();
    assert!(state.register(worker(2)));
    assert_eq!(report(&mut state).ended_incarnation, None);
    state.remove_restarted();
    let report = report(&mut state);
    assert_eq!((report.worker, report.ended_incarnation), (None, None));
}

#[test]
fn a_restarted_agent_reports_no_worker_before_one_registers() {
    let report = report(&mut AgentState::default());
    assert_eq!((report.worker, report.ended_incarnation), (None, None));
}

#[test]
fn an_end_is_reported_until_it_is_acknowledged() {
    let mut state = state();
    state.apply_lease(lease(1, vec![(1, start(1, 1))]), Moment(0));
    let ended =
        EndedRun { number: 3, task: task(), run: 1, end: RunEnd::Done, checkpoint: "".into() };
    assert!(state.apply_list(1, WorkerList { running: Vec::new(), ended: vec![ended] }));
    assert_eq!(report(&mut state).ended.len(), 1);
    assert_eq!(report(&mut state).ended.len(), 1);
    state.apply_lease(AgentLease { acknowledged: 3, ..lease(1, Vec::new()) }, Moment(0));
    assert_eq!(report(&mut state).ended, vec![]);
}

/// Each incarnation of a worker numbers its ends from the start.
#[test]
fn an_acknowledgement_for_an_earlier_incarnation_is_ignored() {
    let mut state = state();
    state.register(worker(2));
    state.apply_lease(AgentLease { acknowledged: 9, ..lease(1, Vec::new()) }, Moment(0));
    assert_eq!(state.acknowledged, 0);
}

#[test]
fn a_report_lists_running_tasks() {
    let mut state = state();
    let listed =
        ListedRun { task: task(), run: 2, checkpoint: "c".into(), percent: 30, measurement: 100 };
    state.apply_list(1, WorkerList { running: vec![listed], ended: Vec::new() });
    let reported = report(&mut state).runs.unwrap();
    assert_eq!((reported[0].run, reported[0].percent), (2, Some(30)));
}

/// Guards against a start without an answer that is repeated for seconds on a worker
/// that has announced that it leaves.
#[test]
fn a_start_on_a_leaving_worker_is_abandoned() {
    for uncertain in [false, true] {
        let mut state = state();
        let calls = state.apply_lease(lease(1, vec![(1, start(1, 1))]), Moment(0));
        let [WorkerCall::Start(order)] = &calls[..] else { panic!("no start: {calls:?}") };
        assert!(!state.is_leaving());
        state.register(WorkerInfo { leaves_in: Some(3_000), ..worker(1) });
        assert!(state.is_leaving());
        let stop = state.abandon_start(order, uncertain);
        assert!(!state.needs_start(order));
        let ended = report(&mut state).ended;
        if uncertain {
            assert_matches!(stop, Some(WorkerCall::Stop { run: 1, .. }));
            assert_eq!(ended, vec![], "the run may continue until the stop is answered");
        } else {
            assert_eq!(stop, None);
            assert_matches!(&ended[..], [EndedRun { end: RunEnd::NotStarted, .. }]);
        }
    }
}
