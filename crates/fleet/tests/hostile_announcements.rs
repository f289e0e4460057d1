//! Announcements of legal size that stop short, and slow ones, at an agent.

mod hostile;
mod support;

use std::time::Duration;

use hostile::{CONNECTIONS, LIMITS, Load, Usage, bounds_exceeded, complete_job, head, lock, send};
use support::TestCluster;

/// Guards against the agent's memory growing with the connections to its announcement address.
#[actix_web::test]
async fn announcements_that_stop_short() {
    let _lock = lock();
    let cluster = TestCluster::open_with(1, LIMITS).await;
    cluster.await_ready(0).await;
    complete_job(&cluster, "before").await;
    let process = cluster.agent_process(0);
    let start = Usage::read(process);
    let mut faults = Vec::new();
    for (number, size) in [250_000, 1_000].into_iter().enumerate() {
        let fields = format!("content-length: {size}\r\n");
        let mut bytes = head("POST", "/instances/i-9/heartbeat", &fields).into_bytes();
        bytes.resize(bytes.len() + size - 1, b' ');
        let bytes = vec![bytes; CONNECTIONS];
        let load = Load { bytes, piece: usize::MAX, pause: Duration::from_millis(1), read: 0 };
        let loaded = send(process, cluster.announce_address(0), load).await;
        faults.extend(bounds_exceeded(&format!("{size} bytes"), start, loaded.usage));
        complete_job(&cluster, &format!("after{number}")).await;
    }
    cluster.check();
    assert!(faults.is_empty(), "bounds exceeded: {faults:#?}");
}
