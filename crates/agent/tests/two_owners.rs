//! Agents and owners together, checked against the tasks that simulated workers run.
//!
//! Guards against a task that runs in two places and against an overcommitted VM.
//! Processes restart, pause or lose the log; the log and the network lose and delay
//! messages; clocks run at different rates.

#[path = "../../core/tests/support/mod.rs"]
mod support;
mod vm_world;

use support::{Simulation, fuzz};
use vm_world::pair::{Step, TwoOwners};

#[test]
fn no_task_runs_in_two_places() {
    fuzz::<TwoOwners>("two owners", 384, 20..160);
}

/// Guards against an owner that waits only for the short leases of the previous owner and
/// places tasks again while the previous owner's VM holds a long lease of an earlier owner.
#[test]
fn tasks_under_a_long_lease_of_an_earlier_owner_run_in_one_place() {
    let mut owners = TwoOwners::new();
    (2..4).for_each(|job| owners.step(Step::Submit { job }));
    owners.step(Step::RunWithoutFaults { vms: 0b111, seconds: 4 });
    // Owner 0 cannot read the log and grants the long lease.
    owners.step(Step::CutLog { owner: 0, cut: true });
    owners.step(Step::RunWithoutFaults { vms: 0b111, seconds: 13 });
    assert!(owners.vms[1].worker.running().count() > 0);
    // VM 1 claims the shard and pauses before its own agent gets an answer from it.
    owners.step(Step::TakeOver { owner: 1, vms: 0 });
    owners.step(Step::CutLog { owner: 0, cut: false });
    owners.step(Step::TakeOver { owner: 0, vms: 0b101 });
    for _ in 0..20 {
        owners.step(Step::RunTimers { vm: 1, pause: 0 });
        owners.step(Step::RunWithoutFaults { vms: 0b101, seconds: 1 });
    }
}
