//! Simulation of owners, agents and a log with injected faults, in simulated time and
//! from a seed.
//!
//! The modelled agents follow the rules for epochs, leases and fences. With messages lost
//! or late and processes paused or restarted, no task may run in two places and no plan
//! may exceed its allowance. When the faults end, all jobs must end.

mod support;
mod world;

use cactusdoor_core::constants::{OUTAGE_LEASE, with_lease_margins};
use cactusdoor_core::unit::Millis;
use world::{Faults, ShardSimulation};

/// Time with faults.
const FAULTY_MS: Millis = 120_000;
/// Time without faults within which the remaining tasks must run.
const RECOVERY_MS: Millis = 900_000;

fn run(seed: u64, faults: Faults) -> ShardSimulation {
    let mut simulation = ShardSimulation::new(seed, faults);
    simulation.run(FAULTY_MS);
    simulation.end_faults();
    // The last owner may first wait for the long leases of an earlier one.
    simulation.run_until_done(RECOVERY_MS + with_lease_margins(OUTAGE_LEASE));
    simulation
}

/// Guards against a second copy of a task after lost messages.
#[test]
fn tasks_run_once_despite_lost_and_late_messages() {
    for seed in 0..8 {
        run(seed, Faults { loss: 0.2, ..Faults::default() });
    }
}

/// Guards against a second copy of a task after processes restart or pause.
#[test]
fn tasks_run_once_despite_restarts_and_pauses() {
    for seed in 0..8 {
        run(seed, Faults { restart: 0.002, pause: 0.002, ..Faults::default() });
    }
}

/// Guards against decisions based on appends of unknown outcome.
#[test]
fn tasks_run_once_despite_lost_appends_and_log_outages() {
    for seed in 0..8 {
        run(seed, Faults { append_loss: 0.3, outage: 0.002, ..Faults::default() });
    }
}

/// Guards against two owners on the two sides of a partition.
#[test]
fn tasks_run_once_despite_partitions() {
    for seed in 0..8 {
        run(seed, Faults { partition: 0.003, loss: 0.05, ..Faults::default() });
    }
}

/// Guards against a second copy of a task whose holder has a long lease from an
/// owner that was replaced while it was cut off from the log.
#[test]
fn tasks_run_once_despite_long_cuts_from_the_log() {
    let (mut long_leases, mut closed_namings) = (0, 0);
    for seed in 200..224 {
        let faults =
            Faults { cut: 0.004, loss: 0.1, restart: 0.0005, pause: 0.0005, ..Faults::default() };
        let simulation = run(seed, faults);
        long_leases += simulation.long_leases;
        closed_namings += simulation.closed_namings;
    }
    assert!(long_leases > 0, "no owner granted a long lease");
    assert!(closed_namings > 0, "no naming was closed without an attestation");
}

/// Guards against faults that do no harm alone, but do together.
#[test]
fn tasks_run_once_despite_all_faults_together() {
    for seed in 100..116 {
        let faults = Faults {
            loss: 0.1,
            restart: 0.001,
            pause: 0.001,
            append_loss: 0.1,
            outage: 0.001,
            partition: 0.002,
            cut: 0.001,
            cancel: 0.002,
        };
        run(seed, faults);
    }
}
