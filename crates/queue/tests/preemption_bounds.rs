//! Limits of preemption: no run is stopped in vain, and none because of what the owner does not
//! know yet.

#[path = "moves/fleet.rs"]
mod fleet;
mod support;

use cactusdoor_queue::name::TaskName;
use cactusdoor_queue::spec::{StepSpec, TaskNeed};
use fleet::*;
use support::*;

fn large(memory: u64) -> StepSpec {
    StepSpec { need: TaskNeed { cpu: 500, memory, accelerators: 0 }, ..step(1, 0) }
}

fn large_filler(tasks: u32, memory: u64) -> StepSpec {
    StepSpec { need: TaskNeed { cpu: 500, memory, accelerators: 0 }, ..filler(tasks) }
}

fn high(memory: u64) -> cactusdoor_queue::spec::JobSpec {
    job_in("high", vec![large(memory)])
}

fn needed() -> TaskName {
    task("h", 0, 0)
}

/// Guards against a stop although a worker that has just become free takes the step.
#[test]
fn nothing_is_preempted_if_another_worker_has_gained_room() {
    let mut fleet = Fleet::running(job_in("low", vec![large_filler(3, 3_000)]), &[]);
    fleet.pass_lists(3);
    // Waiting steps were looked at shortly before the step is refused.
    fleet.submit("l", job_in("low", vec![large(4_000)]));
    fleet.pass(100);
    fleet.submit("h", high(4_000));
    fleet.pass(100);
    assert_eq!((fleet.place_of(&needed()), fleet.stopping()), (None, vec![]));
    fleet.agents.push("b");
    fleet.pass(600);
    assert_eq!(fleet.place_of(&needed()), Some(("b".to_owned(), 1)));
    assert_eq!(fleet.stopping(), vec![]);
}
