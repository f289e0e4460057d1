//! Fakes of the log service and of agents, and an entry under test connected to them.
#![allow(dead_code)]

pub mod agent;
pub mod entry;
pub mod log;

use std::future::Future;
use std::time::Duration;

/// Longest wait of a test for an event.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Polls until `check` returns a value; panics after [`EVENT_TIMEOUT`].
pub async fn eventually<T, F: Future<Output = Option<T>>>(
    event: &str,
    mut check: impl FnMut() -> F,
) -> T {
    let poll = async {
        loop {
            if let Some(value) = check().await {
                return value;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    match tokio::time::timeout(EVENT_TIMEOUT, poll).await {
        Ok(value) => value,
        Err(_) => panic!("timed out waiting for {event}"),
    }
}
