//! Workers to which slow runs are moved: not those whose capacity waiting steps get first.

#[path = "moves/fleet.rs"]
mod fleet;
mod support;

use cactusdoor_queue::report::RunEnd;
use cactusdoor_queue::spec::{StepSpec, TaskNeed};
use fleet::*;
use support::*;

/// A best-effort task that takes so much of a worker that none fits beside it.
fn whole() -> StepSpec {
    StepSpec { need: TaskNeed { cpu: 5_200, memory: 100, accelerators: 0 }, ..filler(1) }
}

/// Guards against a run that is stopped for capacity which a job before it in the order takes:
/// its task then waits, and has lost its place.
#[test]
fn a_run_stays_if_a_waiting_step_gets_the_capacity() {
    for (waits, moved) in [(false, 1), (true, 0)] {
        let mut fleet = Fleet::running(job_in("low", vec![filler(1)]), &[]);
        fleet.list([task("j", 0, 0)], PAUSED);
        if waits {
            fleet.submit("h", job_in("slack", vec![StepSpec { tasks: 2, ..whole() }]));
        }
        fleet.pass_lists(3);
        assert_eq!(fleet.stopping(), vec![], "no other worker");
        fleet.agents.push("b");
        fleet.pass(600);
        assert_eq!(fleet.stopping().len(), moved, "waits: {waits}");
        assert_eq!(fleet.place_of(&task("h", 0, 0)).is_some(), waits);
        fleet.pass_lists(2);
        assert_eq!(fleet.stopping().len(), moved, "waits: {waits}");
    }
}

/// Guards against two moves to one worker: the first run has ended, but its task is not placed.
#[test]
fn a_worker_is_no_target_before_the_task_of_an_earlier_move_is_placed() {
    // Half of a worker.
    let half = || {
        let need = TaskNeed { cpu: 2_000, memory: 100, accelerators: 0 };
        job_in("slack", vec![StepSpec { need, ..filler(1) }])
    };
    let mut fleet = Fleet::open();
    let jobs = ["j0", "j1"];
    for id in jobs {
        fleet.submit(id, half());
        fleet.pass(100);
    }
    fleet.agents.push("b");
    fleet.submit("k", half());
    fleet.pass(100);
    assert_eq!(fleet.place_of(&task("k", 0, 0)), Some(("b".to_owned(), 1)));
    fleet.list(jobs.map(|id| task(id, 0, 0)), PAUSED);
    fleet.pass_lists(3);
    let stopping = fleet.stopping();
    assert_eq!(stopping.len(), 1);
    fleet.end(&stopping[0], RunEnd::Stopped, "c");
    fleet.pass(600);
    assert_eq!(fleet.place_of(&stopping[0]), Some(("b".to_owned(), 2)));
    assert_eq!(fleet.stopping(), vec![]);
}
