//! Preemption of best-effort runs whose memory a step of a higher priority needs.

#[path = "moves/fleet.rs"]
mod fleet;
mod support;

use std::collections::BTreeSet;

use cactusdoor_queue::features::SchedulingFeatures;
use cactusdoor_queue::job::TaskPlace;
use cactusdoor_queue::observation::RunObservation;
use cactusdoor_queue::report::RunEnd;
use cactusdoor_queue::spec::{StepSpec, TaskNeed};
use fleet::*;
use support::*;

fn large(memory: u64) -> StepSpec {
    StepSpec { need: TaskNeed { cpu: 500, memory, accelerators: 0 }, ..step(1, 0) }
}

fn large_filler(tasks: u32, memory: u64) -> StepSpec {
    StepSpec { need: TaskNeed { cpu: 500, memory, accelerators: 0 }, ..filler(tasks) }
}

/// A worker of 10,000 MiB whose memory runs of queue `low` hold.
fn full_of(step: StepSpec) -> Fleet {
    Fleet::running(job_in("low", vec![step]), &[])
}

/// Guards against a high-priority step that waits for the memory of best-effort runs.
#[test]
fn a_step_of_a_higher_priority_gets_the_memory_of_best_effort_runs() {
    let mut fleet = full_of(large_filler(3, 3_000));
    fleet.submit("h", job_in("high", vec![large(4_000)]));
    fleet.pass_lists(3);
    let stopping = fleet.stopping();
    assert_eq!(stopping.len(), 1, "one run frees enough");
    let preempted = fleet.scheduler.take_observations().into_iter();
    let preempted: Vec<_> = preempted
        .filter(|observation| matches!(observation, RunObservation::Preempted { .. }))
        .collect();
    assert_eq!(preempted.len(), 1);
    assert_eq!(fleet.place_of(&task("h", 0, 0)), None);
    fleet.end(&stopping[0], RunEnd::Stopped, "c");
    fleet.pass(100);
    assert_eq!(fleet.place_of(&task("h", 0, 0)), Some(("a".to_owned(), 1)));
    let waiting = fleet.scheduler.jobs["j"].task(&stopping[0]).unwrap();
    assert!(matches!(waiting.place, TaskPlace::Waiting(_)));
    assert_eq!(&*waiting.checkpoint, "c");
}

/// Guards against a run that is stopped for a step that has no precedence, or that does not fit
/// without it either.
#[test]
fn nothing_is_preempted_for_an_equal_or_lower_priority_or_in_vain() {
    let high = |step| job_in("high", vec![step]);
    let busy = StepSpec { need: TaskNeed { cpu: 9_000, ..large(4_000).need }, ..large(0) };
    let gang = StepSpec { gang: true, ..large(4_000) };
    let steps = [
        ("equal", job_in("low", vec![large(4_000)])),
        ("processors", high(busy)),
        ("too large", high(large(10_001))),
        ("gang", high(gang)),
    ];
    for (case, spec) in steps {
        let mut fleet = full_of(large_filler(3, 3_000));
        fleet.submit("h", spec);
        fleet.pass_lists(5);
        assert_eq!(fleet.stopping(), vec![], "{case}");
    }
    let mut fleet = Fleet::running(job_in("high", vec![large_filler(3, 3_000)]), &[]);
    fleet.submit("l", job_in("low", vec![large(4_000)]));
    fleet.pass_lists(5);
    assert_eq!(fleet.stopping(), vec![], "lower");
    let mut fleet = full_of(large_filler(3, 3_000));
    fleet.scheduler.set_features(SchedulingFeatures::default());
    fleet.submit("h", high(large(4_000)));
    fleet.pass_lists(5);
    assert_eq!(fleet.stopping(), vec![], "switched off");
}

/// Guards against a stop of a task that must not be stopped.
#[test]
fn gangs_reserving_and_limited_tasks_are_not_preempted() {
    let kinds = [
        StepSpec { gang: true, ..large_filler(3, 3_000) },
        StepSpec { may_miss: Some(1), ..large_filler(3, 3_000) },
        StepSpec { best_effort: false, ..large_filler(3, 3_000) },
    ];
    for kind in kinds {
        let mut fleet = full_of(kind);
        fleet.submit("h", job_in("high", vec![large(4_000)]));
        fleet.pass_lists(5);
        assert_eq!(fleet.stopping(), vec![]);
    }
}

/// Guards against lost work: of two runs, the one that saves checkpoints is stopped, and of two
/// such runs the one of the later job.
#[test]
fn runs_that_save_checkpoints_and_come_last_are_preempted_first() {
    let mut fleet = Fleet::open();
    let unsaved = StepSpec { checkpoints: false, ..large_filler(1, 3_000) };
    let jobs = [("j0", large_filler(1, 3_000)), ("j1", large_filler(1, 3_000)), ("j2", unsaved)];
    for (id, step) in jobs {
        fleet.submit(id, job_in("low", vec![step]));
        fleet.pass(100);
    }
    fleet.submit("h", job_in("high", vec![large(4_000)]));
    fleet.pass_lists(3);
    assert_eq!(fleet.stopping(), vec![task("j1", 0, 0)]);
}

/// Guards against the stop of a run that precedes another one in the order of best-effort jobs:
/// the job with more work left comes last, although it was accepted first.
#[test]
fn the_run_that_ranks_last_is_preempted_first() {
    let long = StepSpec { estimate: 22_000, ..large_filler(1, 4_000) };
    for (job_order, victim) in [(false, "j1"), (true, "j0")] {
        let mut fleet = Fleet::open();
        fleet.scheduler.set_features(SchedulingFeatures { job_order, ..FEATURES() });
        for (id, step) in [("j0", long.clone()), ("j1", large_filler(1, 4_000))] {
            fleet.submit(id, job_in("low", vec![step]));
            fleet.pass(100);
        }
        fleet.submit("h", job_in("high", vec![large(4_000)]));
        fleet.pass_lists(3);
        assert_eq!(fleet.stopping(), vec![task(victim, 0, 0)], "{job_order}");
    }
}

/// Guards against stops on several workers for the same step.
#[test]
fn runs_on_one_worker_at_a_time_are_preempted_for_a_step() {
    let mut fleet = Fleet::open();
    fleet.agents.push("b");
    fleet.pass(100);
    fleet.submit("j", job_in("low", vec![large_filler(6, 3_000)]));
    fleet.pass(100);
    fleet.submit("h", job_in("high", vec![StepSpec { tasks: 4, ..large(4_000) }]));
    fleet.pass_lists(4);
    let on = |fleet: &Fleet, agent: &str| stops(&fleet.scheduler, agent).len();
    let stopped = [on(&fleet, "a"), on(&fleet, "b")];
    assert_eq!(fleet.stopping().len(), 3, "memory for two tasks: {stopped:?}");
    assert!(stopped.contains(&0) || fleet.stopping().iter().all(|task| task.step == 0));
    let agents: BTreeSet<_> =
        fleet.stopping().iter().map(|task| fleet.place_of(task).unwrap().0).collect();
    assert_eq!(agents.len(), 1);
}
