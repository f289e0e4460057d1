//! Start calls without an answer that may reach a restarted worker under the same id.

mod support;

use std::sync::Arc;

use cactusdoor_core::unit::Moment;
use cactusdoor_queue::agent::{AgentState, ListedRun, ReportContent, WorkerCall, WorkerList};
use cactusdoor_queue::lease::{AGENT_LEASE, clock_bound};
use cactusdoor_queue::name::TaskName;
use cactusdoor_queue::observation::{LapseCause, RunObservation};
use cactusdoor_queue::record::{PlacedAt, TaskRecord};
use cactusdoor_queue::report::{AgentReport, EndedRun, ReportedRun, RunEnd, StartOrder};
use cactusdoor_queue::scheduler::QueueScheduler;
use support::*;

const NOW: Moment = Moment(100_000);
/// Well after the last moment at which a call may be carried out late.
const LONG_AFTER: Moment = Moment(160_000);

fn order(run: u32) -> StartOrder {
    StartOrder {
        task: task("j", 0, 0),
        incarnation: worker("a", 1).incarnation,
        run,
        checkpoint: "".into(),
        payload: Arc::from(""),
        latency_bound: 0,
        best_effort: false,
        image: None,
        cpu: 100,
        job_deadline: 0,
    }
}

fn list(running: &[u32], ended: Vec<EndedRun>) -> WorkerList {
    let listed = |run: &u32| ListedRun {
        task: task("j", 0, 0),
        run: *run,
        checkpoint: "".into(),
        percent: 30,
        measurement: 0,
    };
    WorkerList { running: running.iter().map(listed).collect(), ended }
}

/// An agent whose worker lists run 1 as running.
fn agent_with_run() -> AgentState {
    let mut agent = AgentState::default();
    agent.register(worker("a", 1));
    agent.apply_list(1, list(&[1], Vec::new()));
    agent
}

fn report_of(agent: &mut AgentState) -> AgentReport {
    agent.report(ReportContent { agent: "a".into(), incarnation: 1, full_list: true, wait: 0 })
}

fn held(agent: &mut AgentState) -> Vec<(TaskName, u32, Option<u8>)> {
    let runs = report_of(agent).runs.unwrap_or_default();
    runs.into_iter().map(|run| (run.task, run.run, run.percent)).collect()
}

/// Guards against a second run beside the one that a late call starts (TWICE): the worker has
/// crashed, and its run is reported as ended.
#[test]
fn a_run_with_an_unanswered_start_does_not_end_with_its_crashed_worker() {
    let mut agent = agent_with_run();
    assert!(!agent.record_start_call(&order(1), NOW));
    assert!(agent.record_start_call(&order(1), NOW.after(1_000)), "the first call has no answer");
    assert_eq!(agent.remove_crashed(NOW.after(2_000)), vec![(task("j", 0, 0), 1)]);
    assert_eq!(held(&mut agent), vec![(task("j", 0, 0), 1, None)]);
}

/// The other runs of a crashed worker are started elsewhere at once.
#[test]
fn a_run_whose_start_calls_were_all_answered_ends_with_its_worker() {
    let mut agent = agent_with_run();
    agent.record_start_call(&order(1), NOW);
    agent.settle_start(&order(1));
    assert_eq!(agent.remove_crashed(NOW.after(2_000)), vec![]);
    let mut agent = agent_with_run();
    agent.record_start_call(&order(1), NOW);
    assert_eq!(agent.remove_crashed(LONG_AFTER), vec![], "a call is not late for that long");
    assert_eq!(report_of(&mut agent).runs, None);
}

/// Guards against a second run (TWICE): the end of a run is not acknowledged yet when its worker
/// crashes, so the task is started again, and a late call may start the run that had ended.
#[test]
fn an_unacknowledged_end_with_an_unanswered_start_is_held() {
    let mut agent = agent_with_run();
    agent.record_start_call(&order(1), NOW);
    agent.apply_list(2, list(&[], vec![ended(1, &task("j", 0, 0), 1, RunEnd::Done)]));
    assert_eq!(agent.remove_crashed(NOW), vec![(task("j", 0, 0), 1)]);
}

/// Guards against a second run (TWICE): a restarted agent doesn't know which calls of its former
/// process got no answer.
#[test]
fn a_restarted_agent_holds_all_runs_of_a_crashed_worker_for_a_while() {
    for (crashed_at, runs) in [(NOW.after(5_000), 1), (LONG_AFTER, 0)] {
        let mut agent = agent_with_run();
        agent.expect_earlier_calls(NOW);
        assert_eq!(agent.remove_crashed(crashed_at).len(), runs);
    }
}

/// Guards against a start of a task that is done (TWICE): its run has ended and is acknowledged,
/// and a late call reaches the worker's successor under the same id.
#[test]
fn a_successor_under_the_same_id_is_told_to_stop_late_starts() {
    for crashed in [false, true] {
        let mut agent = agent_with_run();
        agent.record_start_call(&order(1), NOW);
        agent.apply_list(2, list(&[], Vec::new()));
        if crashed {
            agent.remove_crashed(NOW);
        } else {
            agent.remove_restarted();
        }
        assert!(agent.register(worker("a", 2)));
        let stop = WorkerCall::Stop { task: task("j", 0, 0), run: 1 };
        assert_eq!(agent.stop_late_starts(NOW), vec![stop]);
        assert!(agent.needs_stop(&task("j", 0, 0), 1), "it is repeated until it is answered");
    }
}

/// Guards against a start of a task that is done (TWICE): a newer run of the task, whose calls were
/// all answered, hides the call of the older one.
#[test]
fn an_unanswered_start_is_remembered_after_a_newer_run_of_its_task() {
    let mut agent = agent_with_run();
    agent.record_start_call(&order(1), NOW);
    agent.record_start_call(&order(2), NOW);
    agent.settle_start(&order(2));
    agent.remove_restarted();
    agent.register(worker("a", 2));
    let stop = WorkerCall::Stop { task: task("j", 0, 0), run: 1 };
    assert_eq!(agent.stop_late_starts(NOW), vec![stop]);
}

/// Guards against stops of running tasks (AVAIL): connections were refused for a moment, and the
/// same incarnation registers again; or the successor has another id, which a late call names not.
#[test]
fn only_a_successor_under_the_same_id_is_told_to_stop() {
    for info in [worker("a", 1), successor("a", 2)] {
        let mut agent = agent_with_run();
        agent.record_start_call(&order(1), NOW);
        agent.remove_crashed(NOW);
        assert!(agent.register(info));
        assert_eq!(agent.stop_late_starts(NOW), vec![]);
    }
}

/// A scheduler with one run on the worker of agent `a`, listed or restored from its record.
fn with_run(restored: bool, endless: bool) -> QueueScheduler {
    let mut scheduler = QueueScheduler::open(1, clock_bound(NOW, AGENT_LEASE));
    scheduler.set_view(view());
    let mut spec = step(1, 1_000);
    spec.endless = endless;
    scheduler.submit(&"j".into(), job(vec![spec]));
    if restored {
        let placed = PlacedAt { agent: "a".into(), incarnation: worker("a", 1).incarnation };
        let record = TaskRecord { run: 1, placed: Some(placed), ..TaskRecord::default() };
        scheduler.restore_task(&task("j", 0, 0), &record, NOW);
        scheduler.finish_loading(UNIX);
        return scheduler;
    }
    scheduler.report(&report("a", 1, Some(worker("a", 1))), NOW, UNIX);
    scheduler.place(NOW, UNIX);
    store(&mut scheduler);
    scheduler.report(&listing(2, Some(10)), NOW, UNIX);
    assert!(scheduler.is_assigned(&"a".into(), &task("j", 0, 0), 1));
    scheduler
}

fn listing(number: u64, percent: Option<u8>) -> AgentReport {
    let run =
        ReportedRun { task: task("j", 0, 0), run: 1, checkpoint: "".into(), percent, speed: 100 };
    AgentReport { received: 1, runs: Some(vec![run]), ..report("a", number, Some(worker("a", 1))) }
}

fn placed_again(scheduler: &mut QueueScheduler, now: Moment) -> bool {
    scheduler.report(&report("b", now.0, Some(worker("b", 1))), now, UNIX);
    scheduler.place(now, UNIX);
    store(scheduler);
    starts(scheduler, "b").contains(&(task("j", 0, 0), 2))
}

/// Guards against a second run (TWICE) beside the one that a late call starts: the owner ends a
/// run that the agent holds. It ends with the agent's lease, so that the task isn't lost (LOST).
#[test]
fn a_held_run_ends_with_the_lease_of_its_agent() {
    for (restored, endless) in [(false, false), (false, true), (true, false)] {
        let mut scheduler = with_run(restored, endless);
        let crashed = AgentReport {
            worker: None,
            ended_incarnation: Some(worker("a", 1).incarnation),
            ..listing(3, None)
        };
        scheduler.report(&crashed, NOW, UNIX);
        assert!(!placed_again(&mut scheduler, NOW));
        let expired = clock_bound(NOW, AGENT_LEASE).after(1);
        scheduler.report(&AgentReport { number: 4, ..crashed }, expired, UNIX);
        scheduler.expire(expired, UNIX);
        assert!(placed_again(&mut scheduler, expired));
    }
}

/// Guards against a task that never runs again (LOST): the agent forgets the stop of a held run
/// before its worker has answered it.
#[test]
fn the_stop_of_a_held_run_is_repeated_until_it_has_ended() {
    let mut scheduler = with_run(false, false);
    scheduler.report(&report("a", 3, Some(worker("a", 2))), NOW, UNIX);
    assert_eq!(stops(&scheduler, "a"), vec![(task("j", 0, 0), 1)]);
    let received = scheduler.workers["a"].last_order;
    let forgotten =
        AgentReport { received, runs: Some(Vec::new()), ..report("a", 4, Some(worker("a", 2))) };
    scheduler.report(&forgotten, NOW, UNIX);
    assert_eq!(stops(&scheduler, "a"), vec![(task("j", 0, 0), 1)]);
}

/// Guards against runs that are counted twice as lapsed: the agent falls silent before its worker,
/// which has restarted under its id, has answered the stop.
#[test]
fn a_run_that_has_lapsed_with_its_worker_is_observed_once() {
    let mut scheduler = with_run(false, false);
    scheduler.report(&report("a", 3, Some(worker("a", 2))), NOW, UNIX);
    let (agent, task, run) = ("a".into(), task("j", 0, 0), 1);
    let lapse = RunObservation::Lapsed { agent, task, run, cause: LapseCause::WorkerReplaced };
    assert_eq!(scheduler.take_observations(), vec![lapse]);
    scheduler.expire(clock_bound(NOW, AGENT_LEASE).after(1), UNIX);
    assert_eq!(scheduler.take_observations(), vec![]);
}
