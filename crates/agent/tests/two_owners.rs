//! The decisions of agents and owners together, against what workers truly run.
//!
//! Guards against a task that runs in two places and a VM that is overcommitted:
//! processes restart, stand still or are cut off from the log, the log and the
//! network lose and delay, and clocks differ in their rates.

#[path = "../../core/tests/support/mod.rs"]
mod support;
mod vm_world;

use support::{World, fuzz};
use vm_world::pair::{Step, TwoOwners};

#[test]
fn no_task_runs_in_two_places() {
    fuzz::<TwoOwners>("two owners", 384, 20..160);
}

/// Guards against tasks of a previous owner's VM that are placed elsewhere after the
/// short wait, although an earlier owner gave that VM the long lease.
#[test]
fn previous_owner_may_hold_the_long_lease_of_an_earlier_one() {
    let mut world = TwoOwners::new();
    (2..4).for_each(|job| world.step(Step::Submit { job }));
    world.step(Step::Well { vms: 0b111, seconds: 4 });
    // The log is out for owner 0, which grants the long lease.
    world.step(Step::Cut { owner: 0, cut: true });
    world.step(Step::Well { vms: 0b111, seconds: 13 });
    assert!(world.vms[1].worker.running().count() > 0);
    // VM 1 claims and stands still before its own agent has had an answer from it.
    world.step(Step::TakeOver { owner: 1, vms: 0 });
    world.step(Step::Cut { owner: 0, cut: false });
    world.step(Step::TakeOver { owner: 0, vms: 0b101 });
    for _ in 0..20 {
        world.step(Step::Run { vm: 1, pause: 0 });
        world.step(Step::Well { vms: 0b101, seconds: 1 });
    }
}
