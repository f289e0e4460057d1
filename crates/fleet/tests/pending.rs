//! Pending counts that entries give to callers.

mod support;

use std::time::{Duration, Instant};

use support::{TestCluster, tasks};

/// Delay of start calls that are never carried out.
const ENDLESS_DELAY: Duration = Duration::from_secs(600);
/// Longest wait for a pending count, on a busy machine.
const COUNT_TIMEOUT: Duration = Duration::from_secs(40);
/// Pause between two checks of a pending count.
const CHECK_PAUSE: Duration = Duration::from_millis(25);
/// Greatest age of a pending count.
const PENDING_AGE: Duration = Duration::from_millis(2_000);

/// Guards against a job that counts as started, also at the next owner, although no worker
/// has carried out a start.
#[actix_web::test]
async fn a_job_is_pending_while_its_starts_are_under_way() {
    let mut cluster = TestCluster::open(3).await;
    cluster.submit("warm", 50, tasks(3)).await;
    cluster.await_state("warm", "completed").await;
    cluster.workers.iter().for_each(|worker| worker.set_start_delay(Some(ENDLESS_DELAY)));
    cluster.submit("f1", 9_000, tasks(3)).await;
    let delayed =
        |cluster: &TestCluster| cluster.workers.iter().any(|worker| worker.delayed_starts() > 0);
    cluster.await_that("the starts are under way", delayed).await;
    tokio::time::sleep(PENDING_AGE).await;
    assert_eq!(cluster.pending(0).await, Some(1), "{}", cluster.logs());
    let owner = cluster.owner().unwrap();
    cluster.kill_agent(owner);
    cluster
        .await_that("the entry has found the next owner", |cluster| {
            cluster.log_lines("entry-0", "owner_found") >= 2
        })
        .await;
    tokio::time::sleep(PENDING_AGE).await;
    assert_eq!(cluster.pending(0).await, Some(1), "{}", cluster.logs());
    cluster.start_agent(owner);
    cluster.workers.iter().for_each(|worker| worker.set_start_delay(None));
    cluster.await_state("f1", "running").await;
    assert_eq!(cluster.pending(0).await, Some(0), "{}", cluster.logs());
}

/// Waits until the first entry gives a count.
async fn await_count(cluster: &TestCluster) {
    let deadline = Instant::now() + COUNT_TIMEOUT;
    while cluster.pending(0).await.is_none() {
        assert!(Instant::now() < deadline, "no pending count\n{}", cluster.logs());
        tokio::time::sleep(CHECK_PAUSE).await;
    }
}

/// Guards against an entry that repeats the count of an owner that no longer answers.
#[actix_web::test]
async fn an_entry_gives_no_pending_count_that_is_too_old() {
    let mut cluster = TestCluster::open(2).await;
    cluster.submit("warm", 50, tasks(2)).await;
    cluster.await_state("warm", "completed").await;
    await_count(&cluster).await;
    for agent in 0..2 {
        cluster.kill_agent(agent);
    }
    cluster.submit("g1", 50, tasks(1)).await;
    tokio::time::sleep(PENDING_AGE + Duration::from_millis(200)).await;
    assert_eq!(cluster.pending(0).await, None, "{}", cluster.logs());
    for agent in 0..2 {
        cluster.start_agent(agent);
    }
    cluster.await_state("g1", "completed").await;
    await_count(&cluster).await;
}
