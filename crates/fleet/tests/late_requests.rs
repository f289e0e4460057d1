//! Requests that are stored again after their job has ended.

mod support;

use support::{TestCluster, tasks};

/// Guards against a job that runs again (TWICE): an append without an answer, or a repeated
/// request at another entry, may store the request of an ended job anew. Once the state of the
/// job is dropped, the next owner would take it for a new job.
#[actix_web::test]
async fn the_repeated_request_of_an_ended_job_is_removed() {
    let cluster = TestCluster::open(1).await;
    cluster.submit("m1", 50, tasks(1)).await;
    cluster.await_state("m1", "completed").await;
    let written = || cluster.store.records("keyed.requests").into_iter();
    let (key, value) = written().find(|(key, _)| key == "m1").unwrap();
    let removals = |cluster: &TestCluster| {
        let records = cluster.store.records("keyed.requests");
        records.iter().filter(|(key, value)| key == "m1" && value.is_empty()).count()
    };
    cluster.await_that("the request is removed", |cluster| removals(cluster) == 1).await;
    cluster.store.write("keyed.requests", &key, &value);
    cluster.await_that("the repeated request is removed", |cluster| removals(cluster) == 2).await;
    cluster.check();
}
