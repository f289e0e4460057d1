//! Agents and owners together, checked against the tasks that simulated workers run.
//!
//! Guards against a task that runs in two places and against an overcommitted VM.
//! Processes restart, pause or lose the log; the log and the network lose and delay
//! messages; clocks run at different rates.

#[path = "../../core/tests/support/mod.rs"]
mod support;
mod vm_world;

use support::{World, fuzz};
use vm_world::pair::{Step, TwoOwners};

#[test]
fn no_task_runs_in_two_places() {
    fuzz::<TwoOwners>("two owners", 384, 20..160);
}

/// Guards against placing tasks of a previous owner's VM elsewhere after the short wait,
/// although an earlier owner granted that VM the long lease.
#[test]
fn previous_owner_may_hold_the_long_lease_of_an_earlier_one() {
    let mut world = TwoOwners::new();
    (2..4).for_each(|job| world.step(Step::Submit { job }));
    world.step(Step::RunWithoutFaults { vms: 0b111, seconds: 4 });
    // Owner 0 has lost the log and grants the long lease.
    world.step(Step::CutLog { owner: 0, cut: true });
    world.step(Step::RunWithoutFaults { vms: 0b111, seconds: 13 });
    assert!(world.vms[1].worker.running().count() > 0);
    // VM 1 claims the shard and pauses before its own agent gets an answer from it.
    world.step(Step::TakeOver { owner: 1, vms: 0 });
    world.step(Step::CutLog { owner: 0, cut: false });
    world.step(Step::TakeOver { owner: 0, vms: 0b101 });
    for _ in 0..20 {
        world.step(Step::RunTimers { vm: 1, pause: 0 });
        world.step(Step::RunWithoutFaults { vms: 0b101, seconds: 1 });
    }
}
