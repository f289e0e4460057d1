//! The agent's book: what settles a run, and what an owner may order.

use std::sync::Arc;

use assert_matches::assert_matches;
use cactusdoor_core::unit::Moment;
use cactusdoor_queue::agent::{AgentBook, ListedRun, ReportShape, WorkerCall, WorkerList};
use cactusdoor_queue::name::{TaskName, WorkerLife};
use cactusdoor_queue::report::{
    AgentGrant, AgentOrder, AgentReport, EndedRun, RunEnd, StartOrder, WorkerState,
};
use cactusdoor_queue::spec::TaskNeed;

fn life(born: u64) -> WorkerLife {
    WorkerLife { id: "i-1".into(), born }
}

fn worker(born: u64) -> WorkerState {
    WorkerState {
        life: life(born),
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
        life: life(born),
        run,
        saved: "".into(),
        payload: Arc::from(""),
        target: 0,
        fills: false,
        image: None,
        cpu: 100,
        due: 0,
    })
}

fn grant(epoch: u64, orders: Vec<(u64, AgentOrder)>) -> AgentGrant {
    AgentGrant {
        epoch,
        life: Some(life(1)),
        grant: 1_000,
        confirmed: true,
        beacon: 0,
        noted: 0,
        settled: Vec::new(),
        orders,
        presses: None,
    }
}

fn book() -> AgentBook {
    let mut book = AgentBook::default();
    book.meet(worker(1));
    book
}

fn report(book: &mut AgentBook) -> AgentReport {
    book.report(ReportShape { agent: "a".into(), incarnation: 1, whole: true, wait: 0 })
}

fn empty() -> WorkerList {
    WorkerList { running: Vec::new(), ended: Vec::new() }
}

#[test]
fn an_order_is_taken_once() {
    let mut book = book();
    assert_eq!(book.grant(grant(1, vec![(1, start(1, 1))]), Moment(0)).len(), 1);
    assert_eq!(book.grant(grant(1, vec![(1, start(1, 1))]), Moment(0)), vec![]);
}

/// A restarted agent once took orders before it had met its worker, and dropped
/// them: a task whose first start had been lost with the old process never ran.
#[test]
fn orders_wait_until_the_worker_is_met() {
    let mut book = AgentBook::default();
    assert_eq!(book.grant(grant(1, vec![(1, start(1, 1))]), Moment(0)), vec![]);
    assert_eq!(report(&mut book).received, 0, "the owner has to send them again");
    book.meet(worker(1));
    assert_eq!(book.grant(grant(1, vec![(1, start(1, 1))]), Moment(0)).len(), 1);
    assert_eq!(report(&mut book).received, 1);
}

#[test]
fn an_owner_of_a_lower_epoch_orders_nothing() {
    let mut book = book();
    book.grant(grant(2, Vec::new()), Moment(0));
    assert_eq!(book.grant(grant(1, vec![(1, start(1, 1))]), Moment(5_000)), vec![]);
    assert_eq!(book.granted_until, Moment(1_000));
}

#[test]
fn a_start_for_another_life_of_the_worker_is_not_carried_out() {
    let mut book = book();
    assert_eq!(book.grant(grant(1, vec![(1, start(1, 7))]), Moment(0)), vec![]);
}

/// A list that was asked for before the worker answered may lack the run.
#[test]
fn a_run_is_absent_only_in_a_list_asked_for_after_the_answer() {
    let mut book = book();
    book.grant(grant(1, vec![(1, start(1, 1))]), Moment(0));
    book.answered(&task(), 1, 5);
    assert!(!book.list(5, empty()));
    assert_eq!(report(&mut book).ended, vec![]);
    assert!(book.list(6, empty()));
    assert_matches!(
        &report(&mut book).ended[..],
        [EndedRun { number: 0, end: RunEnd::NotStarted, .. }]
    );
}

#[test]
fn a_start_without_an_answer_is_not_settled() {
    let mut book = book();
    book.grant(grant(1, vec![(1, start(1, 1))]), Moment(0));
    for list in 1..50 {
        assert!(!book.list(list, empty()));
    }
    let report = report(&mut book);
    assert_eq!(report.ended, vec![]);
    assert_eq!(report.held.unwrap().len(), 1);
}

#[test]
fn a_stop_cancels_a_start_that_is_under_way() {
    let mut book = book();
    let calls = book.grant(grant(1, vec![(1, start(1, 1))]), Moment(0));
    let [WorkerCall::Start(order)] = &calls[..] else { panic!("no start: {calls:?}") };
    assert!(book.wants_start(order));
    let stop = AgentOrder::Stop { task: task(), run: 1 };
    let calls = book.grant(grant(1, vec![(2, stop)]), Moment(0));
    assert_matches!(&calls[..], [WorkerCall::Stop { run: 1, .. }]);
    assert!(!book.wants_start(order));
    assert!(book.wants_stop(&task(), 1));
}

#[test]
fn a_delayed_announcement_of_an_earlier_life_does_not_displace_the_living_one() {
    let mut book = AgentBook::default();
    book.meet(worker(5));
    assert!(!book.meet(worker(4)));
    assert_eq!(book.life(), Some(&life(5)));
}

#[test]
fn a_new_life_is_told_together_with_the_one_that_is_over() {
    let mut book = book();
    assert!(book.meet(worker(2)));
    assert_eq!(report(&mut book).gone, Some(life(1)));
    book.part();
    let report = report(&mut book);
    assert_eq!((report.worker, report.gone), (None, Some(life(2))));
}

#[test]
fn a_restarted_agent_claims_nothing_of_a_worker_that_it_has_not_met() {
    let report = report(&mut AgentBook::default());
    assert_eq!((report.worker, report.gone), (None, None));
}

#[test]
fn an_end_is_reported_until_it_is_noted() {
    let mut book = book();
    book.grant(grant(1, vec![(1, start(1, 1))]), Moment(0));
    let ended = EndedRun { number: 3, task: task(), run: 1, end: RunEnd::Done, saved: "".into() };
    assert!(book.list(1, WorkerList { running: Vec::new(), ended: vec![ended] }));
    assert_eq!(report(&mut book).ended.len(), 1);
    assert_eq!(report(&mut book).ended.len(), 1);
    book.grant(AgentGrant { noted: 3, ..grant(1, Vec::new()) }, Moment(0));
    assert_eq!(report(&mut book).ended, vec![]);
}

/// Numbers of ends start anew with each life.
#[test]
fn a_note_for_an_earlier_life_is_not_used() {
    let mut book = book();
    book.meet(worker(2));
    book.grant(AgentGrant { noted: 9, ..grant(1, Vec::new()) }, Moment(0));
    assert_eq!(book.noted, 0);
}

#[test]
fn running_tasks_are_held_in_the_report() {
    let mut book = book();
    let listed = ListedRun { task: task(), run: 2, saved: "c".into(), percent: 30, figure: 100 };
    book.list(1, WorkerList { running: vec![listed], ended: Vec::new() });
    let held = report(&mut book).held.unwrap();
    assert_eq!((held[0].run, held[0].percent), (2, Some(30)));
}

/// A start without an answer was once repeated for seconds on a worker that had said
/// that it leaves.
#[test]
fn a_start_on_a_worker_that_leaves_is_given_up() {
    for uncertain in [false, true] {
        let mut book = book();
        let calls = book.grant(grant(1, vec![(1, start(1, 1))]), Moment(0));
        let [WorkerCall::Start(order)] = &calls[..] else { panic!("no start: {calls:?}") };
        assert!(!book.is_leaving());
        book.meet(WorkerState { leaves_in: Some(3_000), ..worker(1) });
        assert!(book.is_leaving());
        let stop = book.give_up(order, uncertain);
        assert!(!book.wants_start(order));
        let ended = report(&mut book).ended;
        if uncertain {
            assert_matches!(stop, Some(WorkerCall::Stop { run: 1, .. }));
            assert_eq!(ended, vec![], "it may run until the stop is answered");
        } else {
            assert_eq!(stop, None);
            assert_matches!(&ended[..], [EndedRun { end: RunEnd::NotStarted, .. }]);
        }
    }
}
