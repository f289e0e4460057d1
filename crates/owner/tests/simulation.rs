//! Owners, agents and a log with faults, in simulated time and from a seed.
//!
//! The agents follow the rules of the design: epochs, leases, fences. Whatever
//! is lost, late, paused or restarted, no task may run in two places, no plan may
//! exceed its allowance, and once everything works again all work must end.

mod support;
mod world;

use world::{Faults, World};

/// Time with faults, and then without: the longest wait of an owner and the time
/// to run what is left.
const FAULTY_MS: u64 = 120_000;
const CALM_MS: u64 = 900_000;

fn run(seed: u64, faults: Faults) {
    let mut world = World::new(seed, faults);
    world.run(FAULTY_MS);
    world.heal();
    world.run_until_done(CALM_MS);
}

/// Guards against a second copy of a task after lost messages.
#[test]
fn lost_and_late_messages() {
    for seed in 0..8 {
        run(seed, Faults { loss: 0.2, ..Faults::default() });
    }
}

/// Guards against a second copy of a task after processes restart or pause.
#[test]
fn restarts_and_pauses() {
    for seed in 0..8 {
        run(seed, Faults { restart: 0.002, pause: 0.002, ..Faults::default() });
    }
}

/// Guards against decisions on appends whose fate is unknown.
#[test]
fn lost_appends_and_log_outages() {
    for seed in 0..8 {
        run(seed, Faults { append_loss: 0.3, outage: 0.002, ..Faults::default() });
    }
}

/// Guards against two owners on the two sides of a partition.
#[test]
fn partitions() {
    for seed in 0..8 {
        run(seed, Faults { partition: 0.003, loss: 0.05, ..Faults::default() });
    }
}

/// All faults together.
#[test]
fn everything_at_once() {
    for seed in 100..116 {
        let faults = Faults {
            loss: 0.1,
            restart: 0.001,
            pause: 0.001,
            append_loss: 0.1,
            outage: 0.001,
            partition: 0.002,
            cancel: 0.002,
        };
        run(seed, faults);
    }
}
