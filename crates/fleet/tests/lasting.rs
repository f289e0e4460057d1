//! Tasks that run until their job is cancelled, with real processes.

mod support;

use serde_json::{Value, json};
use support::TestCluster;

/// Guards against a task that lasts and never runs again: its runs end as done, also around a
/// restart of all processes, which read what the earlier ones have stored.
#[actix_web::test]
async fn a_task_that_lasts_runs_again_after_each_end_until_its_job_is_cancelled() {
    let mut cluster = TestCluster::open(3).await;
    // The stand-in ends each run as done after 300 ms.
    let steps = json!([{"count": 1, "cpu": 1000, "memMb": 100, "longRunning": true}]);
    cluster.submit("a1", 300, steps).await;
    let done = |cluster: &TestCluster| -> u32 {
        cluster.history.lock().unwrap().done.get("a1.0.0.0").copied().unwrap_or_default()
    };
    cluster.await_that("three runs have ended", |cluster| done(cluster) >= 3).await;
    cluster.restart_all();
    let before = done(&cluster);
    cluster.await_that("three more runs have ended", |cluster| done(cluster) >= before + 3).await;
    cluster.await_state("a1", "running").await;
    let (status, _) = cluster.call("DELETE", 0, "/q/a1", Value::Null).await;
    assert_eq!(status, 200);
    cluster.await_state("a1", "cancelled").await;
}
