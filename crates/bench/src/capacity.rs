//! Measures the cost of each role per unit of load, for `docs/CAPACITY.md`.
//!
//! The decision logic is measured without a network, on the state of a complete shard;
//! appends and daemons are measured against the stand-ins.

mod appends;
mod daemons;
mod owner;
mod process;
mod queue;
mod shard;
mod state;
mod wire;

use std::str::FromStr;
use std::time::Duration;

/// A group of measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityPart {
    Owner,
    Queue,
    State,
    Wire,
    Appends,
    Daemons,
}

impl FromStr for CapacityPart {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "owner" => Ok(Self::Owner),
            "queue" => Ok(Self::Queue),
            "state" => Ok(Self::State),
            "wire" => Ok(Self::Wire),
            "appends" => Ok(Self::Appends),
            "daemons" => Ok(Self::Daemons),
            other => Err(format!("part {other:?} does not exist")),
        }
    }
}

/// Measures `part` and prints its tables after the command that reproduces them.
pub fn run(part: CapacityPart) -> anyhow::Result<()> {
    let name = format!("{part:?}").to_lowercase();
    println!("`cargo run --release -p cactusdoor-bench -- capacity {name}`\n");
    match part {
        CapacityPart::Owner => owner::run(),
        CapacityPart::Queue => queue::run(),
        CapacityPart::State => state::run(),
        CapacityPart::Wire => wire::run(),
        CapacityPart::Appends => actix_rt::System::new().block_on(appends::run()),
        CapacityPart::Daemons => actix_rt::System::new().block_on(daemons::run()),
    }
}

/// Microseconds per operation, for `count` operations in `elapsed`.
fn micros_each(elapsed: Duration, count: usize) -> f64 {
    elapsed.as_secs_f64() * 1e6 / count.max(1) as f64
}
