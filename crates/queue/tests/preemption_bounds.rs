//! Limits of preemption: no run is stopped in vain, and none because of what the owner does not
//! know yet.

#[path = "moves/fleet.rs"]
mod fleet;
mod support;

use cactusdoor_queue::name::TaskName;
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

/// Guards against stops that are repeated without end: each of two ends frees too little for the
/// step, and waiting tasks of the lower priority took that memory.
#[test]
fn freed_memory_is_kept_for_the_step_until_all_runs_have_ended() {
    let mut fleet = Fleet::running(job_in("low", vec![large_filler(9, 3_000)]), &[]);
    fleet.pass_lists(3);
    fleet.submit("h", high(6_000));
    fleet.pass_lists(2);
    let stopping = fleet.stopping();
    assert_eq!(stopping.len(), 2);
    for victim in &stopping {
        assert_eq!(fleet.place_of(&needed()), None);
        fleet.end(victim, RunEnd::Stopped, "c");
        fleet.pass(100);
    }
    assert_eq!(fleet.place_of(&needed()), Some(("a".to_owned(), 1)));
    assert_eq!(fleet.stopping(), vec![]);
}

/// Guards against memory that nothing uses: of the kept memory, steps of the same priority may
/// take some, and all others do once the runs should have ended.
#[test]
fn memory_is_kept_from_lower_priorities_only_and_for_a_limited_time() {
    let mut fleet = Fleet::running(job_in("low", vec![large_filler(9, 3_000)]), &[]);
    fleet.pass_lists(3);
    fleet.submit("h", high(6_000));
    fleet.pass_lists(2);
    let stopping = fleet.stopping();
    fleet.end(&stopping[0], RunEnd::Stopped, "c");
    // Both have the same needs, and the lower one is refused first.
    fleet.submit("l", job_in("low", vec![large(2_000)]));
    fleet.pass(100);
    fleet.submit("e", high(2_000));
    fleet.pass(100);
    assert_eq!(fleet.place_of(&task("l", 0, 0)), None);
    assert_eq!(fleet.place_of(&task("e", 0, 0)), Some(("a".to_owned(), 1)));
    // The stop of the other run takes far too long.
    fleet.pass_lists(7);
    assert_eq!(fleet.place_of(&task("l", 0, 0)), Some(("a".to_owned(), 1)));
}

/// Guards against more stops than needed: the memory of runs whose stop is under way for another
/// reason counts.
#[test]
fn memory_of_runs_that_are_being_stopped_counts() {
    let mut fleet = Fleet::open();
    for (id, memory) in [("j0", 3_000), ("j1", 3_000), ("j2", 3_000)] {
        fleet.submit(id, job_in("low", vec![large_filler(1, memory)]));
        fleet.pass(100);
    }
    fleet.pass_lists(3);
    let unix = fleet.unix();
    assert!(fleet.scheduler.cancel(&"j0".into(), unix));
    assert_eq!(fleet.stopping(), vec![task("j0", 0, 0)]);
    // 1,000 MiB are free, and 3,000 will be.
    fleet.submit("h", high(6_000));
    fleet.pass_lists(2);
    assert_eq!(fleet.stopping(), vec![task("j0", 0, 0), task("j2", 0, 0)]);
}

/// Guards against stops by a new owner that does not know yet what is free, and how much work
/// the runs would lose.
#[test]
fn a_new_owner_preempts_only_after_its_agents_have_reported() {
    let mut fleet = Fleet::running(job_in("low", vec![large_filler(3, 3_000)]), &[]);
    fleet.pass_lists(3);
    fleet.replace_owner();
    fleet.submit("h", high(4_000));
    fleet.pass(100);
    fleet.pass(600);
    assert_eq!(fleet.stopping(), vec![], "another worker may be free");
    fleet.agents.push("b");
    fleet.pass(100);
    assert_eq!(fleet.place_of(&needed()), Some(("b".to_owned(), 1)));
}

/// Guards against the loss of work that no list has shown to the owner.
#[test]
fn a_run_that_was_never_listed_is_not_preempted() {
    let mut fleet = Fleet::running(job_in("low", vec![large_filler(3, 3_000)]), &[]);
    fleet.pass_lists(3);
    fleet.replace_owner();
    fleet.listless.insert("a");
    fleet.submit("h", high(4_000));
    fleet.pass_lists(5);
    assert_eq!(fleet.stopping(), vec![]);
    fleet.listless.clear();
    fleet.pass_lists(2);
    assert_eq!(fleet.stopping().len(), 1);
}
