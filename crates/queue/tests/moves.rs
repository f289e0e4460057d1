//! Moves of slow best-effort runs to other workers.

#[path = "moves/fleet.rs"]
mod fleet;
mod support;

use std::collections::BTreeSet;

use cactusdoor_queue::features::SchedulingFeatures;
use cactusdoor_queue::moves::SETTLE_TIME;
use cactusdoor_queue::moves::decision::{MoveCandidate, MoveFigures};
use cactusdoor_queue::name::TaskName;
use cactusdoor_queue::report::{AgentOrder, JobState, RunEnd};
use cactusdoor_queue::spec::{JobSpec, StepSpec, TaskNeed};
use fleet::*;
use support::*;

fn only() -> TaskName {
    task("j", 0, 0)
}

/// A fleet whose one run is paused on `a` and is being moved.
fn moving() -> Fleet {
    let mut fleet = Fleet::running(job_in("q", vec![filler(1)]), &["b"]);
    fleet.list([only()], PAUSED);
    fleet.pass_lists(3);
    assert_eq!(fleet.stopping(), vec![only()]);
    fleet
}

/// Guards against a straggler that delays its job although a worker beside it is free.
#[test]
fn a_paused_run_moves_to_a_free_worker_and_resumes_from_its_checkpoint() {
    let mut fleet = moving();
    assert_eq!(stops(&fleet.scheduler, "a"), vec![(only(), 1)]);
    let moved = fleet.moved();
    assert_eq!(moved.len(), 1);
    assert_eq!((&moved[0].0, moved[0].1.speed), (&only(), 0));
    assert!(moved[0].1.there < moved[0].1.here);
    fleet.end(&only(), RunEnd::Stopped, "c2");
    fleet.pass(100);
    assert_eq!(fleet.place_of(&only()), Some(("b".to_owned(), 2)));
    let orders = &fleet.scheduler.workers["b"].orders;
    let resumed = orders.iter().find_map(|(_, order)| match order {
        AgentOrder::Start(start) => Some(&*start.checkpoint),
        AgentOrder::Stop { .. } => None,
    });
    assert_eq!(resumed, Some("c2"));
}

/// Lists the run of a job for a while; returns whether it was stopped.
fn is_moved(spec: JobSpec, listing: Listing) -> bool {
    let tasks = spec.steps[0].tasks;
    let mut fleet = Fleet::running(spec, &["b"]);
    fleet.list((0..tasks).map(|index| task("j", 0, index)), listing);
    fleet.pass_lists(5);
    !fleet.stopping().is_empty()
}

#[test]
fn a_run_that_gains_too_little_is_not_moved() {
    let spec = || job_in("q", vec![filler(1)]);
    assert!(is_moved(spec(), PAUSED));
    let nearly_done = Listing { percent: 90, speed: 20, checkpoint: "c" };
    assert!(!is_moved(spec(), nearly_done));
    assert!(!is_moved(spec(), Listing { speed: 30, ..PAUSED }));
    let quick = StepSpec { estimate: 300, ..filler(1) };
    assert!(!is_moved(job_in("q", vec![quick]), Listing { speed: 20, ..PAUSED }));
}

/// Guards against moves that lose the work of a run without checkpoints.
#[test]
fn a_run_without_checkpoints_is_moved_only_near_its_begin() {
    let spec = || job_in("q", vec![StepSpec { checkpoints: false, ..filler(1) }]);
    assert!(!is_moved(spec(), Listing { percent: 30, speed: 0, checkpoint: "" }));
    assert!(is_moved(spec(), Listing { percent: 10, speed: 0, checkpoint: "" }));
}

/// Guards against stops that harm a task: members of gangs, tasks that last, tasks that reserve
/// processors, and tasks whose stops are limited.
#[test]
fn only_best_effort_runs_that_may_be_stopped_are_moved() {
    let of = |step| job_in("q", vec![step]);
    assert!(!is_moved(of(StepSpec { gang: true, ..filler(2) }), PAUSED));
    assert!(!is_moved(of(StepSpec { endless: true, ..filler(1) }), PAUSED));
    assert!(!is_moved(of(StepSpec { may_miss: Some(1), ..filler(1) }), PAUSED));
    assert!(!is_moved(of(StepSpec { best_effort: false, ..filler(1) }), PAUSED));
    assert!(is_moved(of(StepSpec { speculative: true, ..filler(1) }), PAUSED));
}

/// Guards against moves on a single low list: loads vary.
#[test]
fn a_run_is_moved_only_after_it_was_slow_for_a_second() {
    let mut fleet = Fleet::running(job_in("q", vec![filler(1)]), &["b"]);
    fleet.list([only()], PAUSED);
    fleet.pass(LIST_INTERVAL);
    fleet.pass(LIST_INTERVAL);
    assert_eq!(fleet.stopping(), vec![], "0.9 s");
    fleet.list([only()], FULL);
    fleet.pass(LIST_INTERVAL);
    fleet.list([only()], PAUSED);
    fleet.pass(LIST_INTERVAL);
    fleet.pass(LIST_INTERVAL);
    assert_eq!(fleet.stopping(), vec![], "0.9 s again");
    fleet.pass(LIST_INTERVAL);
    assert_eq!(fleet.stopping(), vec![only()]);
}

/// Guards against stops without a worker that would take the task.
#[test]
fn a_run_stays_if_no_other_worker_is_available() {
    for others in [vec![], vec!["b"]] {
        let mut fleet = Fleet::running(job_in("q", vec![filler(1)]), &others);
        fleet.silent.extend(["b"]);
        fleet.list([only()], PAUSED);
        fleet.pass_lists(5);
        assert_eq!(fleet.stopping(), vec![]);
    }
}

/// Guards against a move to a worker that the placement would refuse: of 4,000 thousandths, 3,600
/// are within the limit without forecasts, and beyond the one of forecasts.
#[test]
fn the_limit_of_forecasts_applies_to_targets() {
    for (headroom_forecast, moved) in [(false, vec![only()]), (true, vec![])] {
        let mut fleet = Fleet::running(job_in("q", vec![filler(1)]), &["b"]);
        fleet.scheduler.set_features(SchedulingFeatures { headroom_forecast, ..FEATURES() });
        let need = TaskNeed { cpu: 2_700, ..filler(1).need };
        fleet.submit("k", job_in("q", vec![StepSpec { need, ..filler(1) }]));
        fleet.pass(100);
        assert_eq!(fleet.place_of(&task("k", 0, 0)), Some(("b".to_owned(), 1)));
        fleet.list([only()], PAUSED);
        fleet.pass_lists(3);
        assert_eq!(fleet.stopping(), moved, "{headroom_forecast}");
    }
}

/// Guards against a task that is stopped by an owner that does not know its state.
#[test]
fn a_run_of_a_silent_agent_is_not_moved() {
    let mut fleet = Fleet::running(job_in("q", vec![filler(1)]), &["b"]);
    fleet.list([only()], PAUSED);
    // Two low lists, 0.9 s apart, and one that moves it if the agent is not silent.
    fleet.pass_lists(2);
    fleet.silent.insert("a");
    fleet.pass(LIST_INTERVAL);
    fleet.pass(LIST_INTERVAL);
    assert_eq!(fleet.stopping(), vec![]);
}

#[test]
fn nothing_is_stopped_while_the_switch_is_off_or_starts_are_withheld() {
    let mut fleet = Fleet::running(job_in("q", vec![filler(1)]), &["b"]);
    fleet.scheduler.set_features(SchedulingFeatures::default());
    fleet.list([only()], PAUSED);
    fleet.pass_lists(5);
    assert_eq!((fleet.stopping(), fleet.scheduler.slow_runs().count()), (vec![], 0));
    // The owner's loop calls `balance` only while starts are permitted.
    let mut fleet = Fleet::running(job_in("q", vec![filler(1)]), &["b"]);
    fleet.list([only()], PAUSED);
    for _ in 0..5 {
        fleet.now = fleet.now.after(LIST_INTERVAL);
        fleet.report();
    }
    assert_eq!(fleet.stopping(), vec![]);
}

/// Guards against a job that loses all of its capacity at once.
#[test]
fn at_most_a_quarter_of_a_step_moves_at_once() {
    let mut fleet = Fleet::running(job_in("q", vec![filler(4)]), &["b", "c", "d"]);
    fleet.list((0..4).map(|index| task("j", 0, index)), PAUSED);
    fleet.pass_lists(5);
    assert_eq!(fleet.stopping().len(), 1);
}

#[test]
fn at_most_two_runs_of_a_small_fleet_move_at_once() {
    let mut fleet = Fleet::open();
    let jobs = ["j0", "j1", "j2", "j3"];
    jobs.into_iter().for_each(|id| fleet.submit(id, job_in("q", vec![filler(1)])));
    fleet.pass(100);
    fleet.agents.extend(["b", "c", "d", "e"]);
    fleet.list(jobs.map(|id| task(id, 0, 0)), PAUSED);
    fleet.pass_lists(5);
    let stopping = fleet.stopping();
    assert_eq!(stopping.len(), 2);
    fleet.end(&stopping[0], RunEnd::Stopped, "c");
    fleet.pass_lists(1);
    assert_eq!(fleet.stopping().len(), 2, "the next one moves once a move has ended");
}

/// Guards against several runs that are stopped for the capacity of one worker.
#[test]
fn a_worker_is_the_target_of_one_move_at_a_time() {
    let mut fleet = Fleet::open();
    let jobs = ["j0", "j1", "j2"];
    jobs.into_iter().for_each(|id| fleet.submit(id, job_in("q", vec![filler(1)])));
    fleet.pass(100);
    fleet.agents.push("b");
    fleet.list(jobs.map(|id| task(id, 0, 0)), PAUSED);
    fleet.pass_lists(5);
    assert_eq!(fleet.stopping().len(), 1);
}

/// Guards against a task that runs twice (TWICE): its stop takes long.
#[test]
fn the_next_run_starts_only_after_the_stored_end_of_the_last_one() {
    let mut fleet = moving();
    fleet.pass_lists(20);
    assert_eq!(fleet.place_of(&only()), Some(("a".to_owned(), 1)));
    assert_eq!(starts(&fleet.scheduler, "b"), vec![]);
    fleet.end(&only(), RunEnd::Stopped, "c2");
    let (now, unix) = (fleet.now, fleet.unix());
    fleet.scheduler.place(now, unix);
    assert_eq!(starts(&fleet.scheduler, "b"), vec![], "the end is not stored");
    fleet.store();
    assert_eq!(starts(&fleet.scheduler, "b"), vec![(only(), 2)]);
}

/// Guards against a task that runs twice (TWICE) or never again (LOST): the owner that ordered
/// the stop is replaced before the run has ended.
#[test]
fn a_move_survives_a_change_of_owner() {
    for reaches_agent in [true, false] {
        let mut fleet = moving();
        fleet.replace_owner();
        fleet.pass(100);
        assert_eq!(fleet.place_of(&only()), Some(("a".to_owned(), 1)));
        if reaches_agent {
            fleet.end(&only(), RunEnd::Stopped, "c2");
        } else {
            fleet.pass_lists(3);
            assert_eq!(fleet.stopping(), vec![only()], "the next owner decides anew");
            fleet.end(&only(), RunEnd::Stopped, "c2");
        }
        fleet.pass(100);
        assert_eq!(fleet.place_of(&only()).map(|(_, run)| run), Some(2));
    }
}

/// Guards against a task that never runs again (LOST): the agent is lost during the move.
#[test]
fn a_move_from_a_lost_worker_ends_with_its_lease() {
    let mut fleet = moving();
    fleet.silent.insert("a");
    fleet.pass_lists(5);
    assert_eq!(fleet.place_of(&only()), Some(("a".to_owned(), 1)));
    fleet.pass_lists(8);
    assert_eq!(fleet.place_of(&only()), Some(("b".to_owned(), 2)));
}

/// Guards against a task that starts after it is done (TWICE).
#[test]
fn an_end_before_the_stop_counts() {
    let mut fleet = moving();
    fleet.end(&only(), RunEnd::Done, "");
    fleet.pass_lists(3);
    assert_eq!(fleet.place_of(&only()), None);
    assert_eq!(fleet.scheduler.ended["j"].state, JobState::Completed);
}

/// Guards against a task that returns at once to the worker on which it was paused.
#[test]
fn a_moved_task_keeps_away_from_its_worker() {
    let mut fleet = Fleet::running(job_in("slack", vec![filler(2)]), &["b"]);
    fleet.list([only()], PAUSED);
    fleet.pass_lists(3);
    assert_eq!(fleet.stopping(), vec![only()]);
    fleet.silent.insert("b");
    fleet.pass_lists(2);
    fleet.end(&only(), RunEnd::Stopped, "c");
    let ended = fleet.now;
    while fleet.now < ended.after(SETTLE_TIME - LIST_INTERVAL) {
        fleet.pass(LIST_INTERVAL);
        assert_eq!(fleet.place_of(&only()), None, "the other task runs on");
    }
    fleet.pass_lists(2);
    assert_eq!(fleet.place_of(&only()), Some(("a".to_owned(), 2)));
}

/// Guards against a job that waits without running although a worker could take it.
#[test]
fn a_moved_task_of_an_idle_job_returns_to_its_worker() {
    let mut fleet = moving();
    fleet.silent.insert("b");
    fleet.pass_lists(2);
    fleet.end(&only(), RunEnd::Stopped, "c");
    fleet.pass(100);
    assert_eq!(fleet.place_of(&only()), None);
    fleet.pass_lists(2);
    assert_eq!(fleet.place_of(&only()), Some(("a".to_owned(), 2)));
}

/// Guards against a moved task that blocks other steps of its kind.
#[test]
fn a_task_that_keeps_away_from_a_worker_blocks_no_other_step() {
    let mut fleet = Fleet::running(job_in("slack", vec![filler(2)]), &["b"]);
    fleet.list([only()], PAUSED);
    fleet.pass_lists(3);
    fleet.silent.insert("b");
    fleet.pass_lists(2);
    fleet.end(&only(), RunEnd::Stopped, "c");
    fleet.submit("k", job_in("slack", vec![filler(1)]));
    fleet.pass(100);
    assert_eq!(fleet.place_of(&only()), None);
    assert_eq!(fleet.place_of(&task("k", 0, 0)), Some(("a".to_owned(), 1)));
}

/// Guards against runs that move back and forth between two workers whose loads swing.
#[test]
fn swinging_loads_move_a_task_at_most_three_times() {
    let mut fleet = Fleet::running(job_in("slack", vec![filler(1)]), &["b"]);
    let mut moves = Vec::new();
    for _ in 0..150 {
        let (agent, _) = fleet.place_of(&only()).unwrap();
        // Each worker is slow for 3 s, then the other one.
        let slow = if (fleet.now.0 / 3_000).is_multiple_of(2) { "a" } else { "b" };
        fleet.list([only()], if agent == slow { PAUSED } else { FULL });
        fleet.pass(300);
        if !fleet.stopping().is_empty() {
            moves.push(fleet.now);
            fleet.end(&only(), RunEnd::Stopped, "c");
            fleet.pass(100);
            assert_ne!(fleet.place_of(&only()).map(|(to, _)| to), Some(agent));
        }
    }
    assert!((1..=3).contains(&moves.len()), "{moves:?}");
    assert!(moves.windows(2).all(|pair| pair[1] >= pair[0].after(SETTLE_TIME)), "{moves:?}");
}

/// Guards against an index that keeps ended runs, or loses slow ones.
#[test]
fn slow_runs_are_indexed_until_they_are_faster_or_end() {
    let mut fleet = Fleet::running(job_in("q", vec![filler(3)]), &[]);
    let slow = |fleet: &Fleet| -> Vec<_> {
        fleet.scheduler.slow_runs().map(|(task, _)| task.index).collect()
    };
    fleet.list((0..3).map(|index| task("j", 0, index)), PAUSED);
    fleet.pass(LIST_INTERVAL);
    assert_eq!(slow(&fleet).len(), 3);
    fleet.list([task("j", 0, 1)], FULL);
    fleet.pass(LIST_INTERVAL);
    assert_eq!(BTreeSet::from_iter(slow(&fleet)), BTreeSet::from([0, 2]));
    fleet.end(&task("j", 0, 0), RunEnd::Done, "");
    assert_eq!(slow(&fleet), vec![2]);
    fleet.silent.insert("a");
    fleet.pass_lists(15);
    assert_eq!(slow(&fleet), Vec::<u32>::new(), "the run has lapsed");
}

fn candidate() -> MoveCandidate {
    MoveCandidate {
        estimate: 4_000,
        percent: 50,
        checkpoint_percent: 40,
        checkpoints: true,
        speed: 10,
        useful_for: 30_000,
    }
}

#[test]
fn the_gain_counts_the_move_the_lost_work_and_the_work_there() {
    let features = FEATURES();
    // 2 s of work at 10%; 400 + 300 + 600 ms for the move, and 2.4 s of work.
    let expected = MoveFigures { speed: 10, here: 20_000, there: 3_700 };
    assert_eq!(candidate().decide(100, &features), Some(expected));
    let slower = MoveFigures { there: 4_500, ..expected };
    assert_eq!(candidate().decide(75, &features), Some(slower));
    assert_eq!(candidate().decide(74, &features), None);
    let useless = MoveCandidate { useful_for: 7_399, ..candidate() };
    assert_eq!(useless.decide(100, &features), None, "less than half of the time is gained");
    assert!(MoveCandidate { useful_for: 7_400, ..candidate() }.decide(100, &features).is_some());
    let stuck = MoveCandidate { speed: 0, ..candidate() };
    assert_eq!(stuck.decide(100, &features).map(|figures| figures.here), Some(30_000));
    assert_eq!(MoveCandidate { useful_for: 0, ..stuck }.decide(100, &features), None);
}

/// Guards against an overflow with figures that a caller may submit.
#[test]
fn extreme_figures_are_handled() {
    let features = SchedulingFeatures { stop_run: u64::MAX, restore: u64::MAX, ..FEATURES() };
    let extreme = MoveCandidate { estimate: u64::MAX, useful_for: u64::MAX, ..candidate() };
    assert_eq!(extreme.decide(100, &features), None);
    let beyond = MoveCandidate { percent: 255, checkpoint_percent: 255, speed: 255, ..extreme };
    assert_eq!(beyond.decide(255, &FEATURES()), None);
}
