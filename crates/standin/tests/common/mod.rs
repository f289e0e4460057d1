//! Addresses, names and waiting.
#![allow(dead_code)] // Each test binary uses a part of it.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use cactusdoor_core::job::{JobId, TaskId};
use cactusdoor_core::name::{IdempotencyKey, PlanName, TaskKind};

/// Longest wait for an event that has to happen.
const PATIENCE: Duration = Duration::from_secs(20);

pub fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

pub fn task(index: u32) -> TaskId {
    let plan = PlanName::new("plan").unwrap();
    TaskId { job: JobId { plan, key: IdempotencyKey::new("job").unwrap() }, index }
}

pub fn kind(name: &str) -> TaskKind {
    TaskKind::new(name).unwrap()
}

/// Waits until `condition` holds.
pub async fn eventually(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < PATIENCE, "timed out: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
