//! An agent's use of the ranks: which updates count, and which runs get spare headroom first.

mod support;

use assert_matches::assert_matches;
use cactusdoor_core::unit::Moment;
use cactusdoor_queue::agent::{AgentState, ListedRun, RankUpdateError, WorkerList};
use cactusdoor_queue::features::SchedulingFeatures;
use cactusdoor_queue::interference::InterferenceEstimates;
use cactusdoor_queue::name::{StepName, TaskName};
use cactusdoor_queue::report::{AgentLease, AgentOrder, RankUpdate, StartOrder};
use cactusdoor_queue::throttling::{BestEffortRun, RunTurn, ServingRun, ThrottleController};
use support::{UNIX, task, worker};

const HARM_BOUND: u64 = 4_000;
const NOW: Moment = Moment(10_000);

fn start(task: &TaskName, serving: bool, job_deadline: u64, born: u64) -> StartOrder {
    StartOrder {
        task: task.clone(),
        incarnation: worker("a", born).incarnation,
        run: 1,
        checkpoint: "".into(),
        payload: "".into(),
        latency_bound: if serving { 300 } else { 0 },
        best_effort: !serving,
        image: Some(if serving { "web" } else { "heavy" }.into()),
        cpu: 1_000,
        job_deadline,
    }
}

/// An agent with a serving task and best-effort runs, of which one fits into the headroom; each
/// run has a progress in percent and a job deadline.
fn state(ordered: bool, runs: &[(TaskName, u8, u64)]) -> AgentState {
    let mut state = AgentState::default();
    state.set_features(SchedulingFeatures { job_order: ordered, ..Default::default() });
    assign(&mut state, runs, 1);
    state
}

/// Registers an incarnation of the worker, and starts and lists the runs there.
fn assign(state: &mut AgentState, runs: &[(TaskName, u8, u64)], born: u64) {
    state.register(worker("a", born));
    let serving = start(&task("s", 0, 0), true, 0, born);
    let filling = runs.iter().map(|(task, _, deadline)| start(task, false, *deadline, born));
    let orders = [serving].into_iter().chain(filling).map(AgentOrder::Start);
    let coefficients = vec![("heavy".into(), 7.2)];
    let estimates = InterferenceEstimates { image: "web".into(), baseline: 3.0, coefficients };
    state.apply_lease(
        AgentLease {
            epoch: 1,
            incarnation: state.incarnation().cloned(),
            duration: 1_000,
            confirmed: true,
            heartbeat: 0,
            acknowledged: 0,
            acknowledged_runs: Vec::new(),
            orders: (state.received + 1..).zip(orders).collect(),
            interference: Some(vec![estimates]),
        },
        NOW,
    );
    let row = |task: &TaskName, percent, measurement| ListedRun {
        task: task.clone(),
        run: 1,
        checkpoint: "".into(),
        percent,
        measurement,
    };
    // A tail latency of 100 ms: the headroom of 3 admits one run with its loss of 1.8.
    let serving = row(&task("s", 0, 0), 100, 100);
    let filling = runs.iter().map(|(task, percent, _)| row(task, *percent, 0));
    let running = [serving].into_iter().chain(filling).collect();
    state.apply_list(1, WorkerList { running, ended: Vec::new() });
}

/// Runs that keep their full speed.
fn served(state: &mut AgentState, runs: &[(TaskName, u8, u64)]) -> Vec<TaskName> {
    let calls = state.throttle(HARM_BOUND, NOW, UNIX);
    let slowed = |task: &TaskName| calls.iter().any(|call| call.task == *task);
    runs.iter().map(|(task, ..)| task.clone()).filter(|task| !slowed(task)).collect()
}

/// An update with ranks in seconds.
fn update(number: u64, ranks: &[(&str, u64)]) -> RankUpdate {
    let step = |job: &str| StepName { job: job.into(), occurrence: 0, step: 0 };
    RankUpdate {
        number,
        ranks: ranks.iter().map(|(job, rank)| (step(job), rank.saturating_mul(1_000))).collect(),
    }
}

/// Guards against progress, deadlines or interference that count more than the rank.
#[test]
fn spare_headroom_goes_to_the_first_rank() {
    let runs = [(task("x", 0, 0), 90, UNIX + 1), (task("y", 0, 0), 5, UNIX + 9_000)];
    let mut state = state(true, &runs);
    state.apply_ranks(1, update(1, &[("x", 20), ("y", 10)])).unwrap();
    assert_eq!(served(&mut state, &runs), [task("y", 0, 0)]);
}

/// Guards against stragglers: the last tasks of a wide step that lose to the next job's first.
#[test]
fn the_last_tasks_of_a_step_come_before_the_next_jobs_first() {
    let runs = [
        (task("next", 0, 0), 99, UNIX + 1),
        (task("wide", 0, 18), 30, UNIX + 2),
        (task("wide", 0, 19), 60, UNIX + 2),
    ];
    let mut all = state(true, &runs);
    all.apply_ranks(1, update(1, &[("next", 20), ("wide", 10)])).unwrap();
    assert_eq!(served(&mut all, &runs), [task("wide", 0, 19)], "the furthest first");
    let mut both = state(true, &runs[..2]);
    both.apply_ranks(1, update(1, &[("next", 20), ("wide", 10)])).unwrap();
    assert_eq!(served(&mut both, &runs[..2]), [task("wide", 0, 18)]);
}

/// An owner of an earlier build, or without the feature, sends no ranks.
#[test]
fn without_ranks_runs_are_ordered_by_deadline_then_progress() {
    let runs = [
        (task("x", 0, 0), 90, UNIX + 19_000),
        (task("y", 0, 0), 5, UNIX + 1_000),
        (task("y", 0, 1), 6, UNIX + 1_000),
    ];
    assert_eq!(served(&mut state(true, &runs), &runs), [task("y", 0, 1)]);
    // A run without a rank comes after all ranked ones.
    let mut mixed = state(true, &runs);
    mixed.apply_ranks(1, update(1, &[("x", u64::MAX)])).unwrap();
    assert_eq!(served(&mut mixed, &runs), [task("x", 0, 0)]);
}

#[test]
fn with_the_switch_off_ranks_change_nothing() {
    let runs = [(task("x", 0, 0), 90, UNIX + 9_000), (task("y", 0, 0), 5, UNIX + 1_000)];
    let (mut plain, mut ranked) = (state(false, &runs), state(false, &runs));
    ranked.apply_ranks(1, update(1, &[("x", 20), ("y", 10)])).unwrap();
    let calls = plain.throttle(HARM_BOUND, NOW, UNIX);
    assert_eq!(calls, ranked.throttle(HARM_BOUND, NOW, UNIX));
    assert_eq!(served(&mut state(false, &runs), &runs), [task("x", 0, 0)], "by progress");
}

/// Guards against an agent that mixes the orders of two owners.
#[test]
fn an_order_lasts_over_an_election_until_the_new_owner_sends_one() {
    let runs = [(task("x", 0, 0), 0, UNIX), (task("y", 0, 0), 0, UNIX)];
    let first = |state: &mut AgentState| served(state, &runs)[0].job.to_string();
    let mut state = state(true, &runs);
    state.apply_ranks(1, update(7, &[("x", 20), ("y", 10)])).unwrap();
    for (epoch, number) in [(1, 7), (1, 6), (0, 9)] {
        let older = state.apply_ranks(epoch, update(number, &[("x", 1), ("y", 2)]));
        assert_eq!(older, Err(RankUpdateError::Outdated(number)));
    }
    state.adopt(2);
    assert_eq!(first(&mut state), "y", "kept without an update of the new owner");
    let superseded = state.apply_ranks(1, update(8, &[("x", 1), ("y", 2)]));
    assert_eq!(superseded, Err(RankUpdateError::Outdated(8)));
    state.apply_ranks(2, update(1, &[("x", 1), ("y", 2)])).unwrap();
    state.record_speed(&call(&task("x", 0, 0), 100));
    assert_eq!(first(&mut state), "x");
}

fn call(task: &TaskName, percent: u8) -> cactusdoor_queue::throttling::ThrottleCall {
    cactusdoor_queue::throttling::ThrottleCall { task: task.clone(), run: 1, percent }
}

/// Guards against memory use and order changes by odd updates.
#[test]
fn odd_updates_are_harmless() {
    let runs = [(task("x", 0, 0), 0, UNIX), (task("y", 0, 0), 0, UNIX)];
    let mut state = state(true, &runs);
    let names: Vec<_> = (0..20_000).map(|number| format!("u{number}")).collect();
    let many: Vec<_> = names.iter().map(|name| (name.as_str(), 0)).collect();
    assert_eq!(state.apply_ranks(1, update(3, &many)), Err(RankUpdateError::TooLong(20_000)));
    // The update that was skipped does not make later ones outdated.
    let odd = [("y", 10), ("unknown", 0), ("x", 20), ("x", 1), ("y", u64::MAX), ("", 5)];
    assert_matches!(state.apply_ranks(1, update(2, &odd)), Ok(()));
    assert_eq!(served(&mut state, &runs), [task("y", 0, 0)]);
    assert_matches!(state.apply_ranks(1, update(4, &[])), Ok(()));
    assert_matches!(state.apply_ranks(u64::MAX, update(u64::MAX, &[("x", 0)])), Ok(()));
}

/// A removed worker's ranks must not apply to its successor.
#[test]
fn ranks_are_dropped_with_the_runs() {
    let runs = [(task("x", 0, 0), 0, UNIX + 5_000), (task("y", 0, 0), 0, UNIX)];
    let mut state = state(true, &runs);
    state.apply_ranks(1, update(1, &[("x", 10), ("y", 20)])).unwrap();
    assert_eq!(served(&mut state, &runs), [task("x", 0, 0)]);
    assign(&mut state, &runs, 2);
    assert_eq!(served(&mut state, &runs), [task("y", 0, 0)], "by deadline");
    let again = state.apply_ranks(1, update(1, &[("x", 10), ("y", 20)]));
    assert_eq!(again, Err(RankUpdateError::Outdated(1)));
}

/// Guards against a strict order, in which a run that needs much headroom leaves others stalled:
/// one that needs e times as much for a processor is served as if its rank were 5 s later.
#[test]
fn needed_headroom_counts_beside_the_rank() {
    let run = |index, image: &str, rank: u64| BestEffortRun {
        task: task("x", 0, index),
        run: 1,
        image: Some(image.into()),
        share: 0.2,
        used: 0.0,
        speed: 100,
        percent: 0,
        late: false,
        turn: Some(RunTurn { class: 1, time: UNIX + rank }),
    };
    let serving = ServingRun { task: task("s", 0, 0), image: Some("web".into()), headroom: 3.0 };
    let slowed = |runs: [BestEffortRun; 2]| {
        let mut controller = ThrottleController::default();
        let coefficients = vec![("heavy".into(), 7.2), ("light".into(), 7.2 / std::f32::consts::E)];
        let estimates = InterferenceEstimates { image: "web".into(), baseline: 3.0, coefficients };
        controller.model.set_estimates(vec![estimates]);
        let calls = controller.update(std::slice::from_ref(&serving), &runs, HARM_BOUND, NOW).calls;
        calls.into_iter().map(|call| call.task.index).collect::<Vec<_>>()
    };
    // Together they need 1.97 of the 1.9 to spare.
    assert_eq!(slowed([run(0, "light", 4_000), run(1, "heavy", 0)]), [1]);
    assert_eq!(slowed([run(0, "light", 6_000), run(1, "heavy", 0)]), [0]);
    let mut first = run(1, "heavy", 60_000);
    first.turn = Some(RunTurn { class: 0, time: UNIX + 60_000 });
    assert_eq!(slowed([run(0, "light", 0), first]), [0], "a lower class comes first");
}
