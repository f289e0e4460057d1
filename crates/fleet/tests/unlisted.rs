//! Runs on a worker whose list the owner does not know yet.

mod support;

use std::time::Duration;

use serde_json::json;
use support::{TestCluster, tasks};

/// Guards against a worker above its capacity (LIMIT): a restarted agent names its worker before
/// it has read the worker's list, and the owner counts no run that it has not assigned.
#[actix_web::test]
async fn a_worker_gets_no_task_before_its_list_is_known() {
    let mut cluster = TestCluster::open(1).await;
    cluster.submit("n0", 50, tasks(1)).await;
    cluster.await_state("n0", "completed").await;
    cluster.kill_agent(0);
    let stray = json!({"task": "stray.0.0.0", "run": 1, "spec": "0", "deadlineMs": 3_600_000,
        "fencingToken": 1});
    assert_eq!(cluster.call_worker(0, "/run-start", stray).await, 200);
    cluster.submit("n1", 3_000, tasks(1)).await;
    cluster.start_agent(0);
    let started = |cluster: &TestCluster| cluster.history.lock().unwrap().starts == 3;
    while !started(&cluster) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(cluster.workers[0].running(), 1, "the other run still uses the worker");
    cluster.await_state("n1", "completed").await;
    cluster.check();
}
