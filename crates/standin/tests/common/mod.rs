//! Addresses, names and waits shared by the tests.
#![allow(dead_code)] // Each test binary uses only some of them.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use cactusdoor_core::job::{JobId, TaskId};
use cactusdoor_core::name::{IdempotencyKey, PlanName, TaskKind};

/// Longest wait for an expected event.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A loopback address with a port that the system selects.
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

/// Waits until `condition` holds; panics with `what` after [`WAIT_TIMEOUT`].
pub async fn eventually(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < WAIT_TIMEOUT, "timed out: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
