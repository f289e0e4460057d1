//! Failures of processes, workers and the store: no task completes twice and no job is lost.

mod support;

use std::time::Duration;

use cactusdoor_standin::platform_store::StoreMode;
use serde_json::{Value, json};
use support::{TestCluster, tasks};

/// Delay of each store call: makes the calls of several candidates overlap.
const STORE_DELAY: Duration = Duration::from_millis(40);

/// Checks that no epoch had two owners.
fn check_elections(cluster: &TestCluster) {
    let elected = cluster.elected();
    let mut distinct = elected.clone();
    distinct.dedup();
    assert_eq!(elected, distinct, "an epoch was won twice\n{}", cluster.logs());
}

/// Two candidates whose election appends had the same producer and sequence number once
/// both won: the store answered the second as a repetition of the first.
#[actix_web::test]
async fn each_epoch_has_one_owner_when_all_agents_run_for_election() {
    let mut cluster = TestCluster::open(8).await;
    cluster.store.set_delay(STORE_DELAY);
    cluster.submit("a1", 100, tasks(8)).await;
    cluster.await_state("a1", "completed").await;
    cluster.restart_all();
    cluster.submit("a2", 100, tasks(8)).await;
    cluster.await_state("a2", "completed").await;
    check_elections(&cluster);
    cluster.check();
}

#[actix_web::test]
async fn another_agent_takes_over_from_a_killed_owner() {
    let mut cluster = TestCluster::open(3).await;
    cluster.submit("b1", 3_000, tasks(6)).await;
    cluster.await_state("b1", "running").await;
    let owner = cluster.owner().unwrap();
    cluster.kill_agent(owner);
    cluster.submit("b2", 100, tasks(3)).await;
    cluster.await_state("b2", "completed").await;
    assert_ne!(cluster.owner(), Some(owner));
    cluster.start_agent(owner);
    cluster.await_state("b1", "completed").await;
    check_elections(&cluster);
    cluster.check();
}

#[actix_web::test]
async fn an_owner_that_is_stopped_resigns_and_another_takes_over() {
    let mut cluster = TestCluster::open(3).await;
    cluster.submit("c1", 100, tasks(3)).await;
    cluster.await_state("c1", "completed").await;
    let owner = cluster.owner().unwrap();
    cluster.stop_agent(owner);
    cluster.submit("c2", 100, tasks(3)).await;
    cluster.await_state("c2", "completed").await;
    let name = format!("agent-{owner}");
    assert_eq!(cluster.log_lines(&name, "\"cause\":\"stopped\""), 1);
    cluster.check();
}

/// A paused owner resumes with start orders although another owner has been elected.
#[actix_web::test]
async fn a_paused_owner_that_resumes_causes_no_second_run() {
    let mut cluster = TestCluster::open(3).await;
    cluster.submit("d1", 2_000, tasks(4)).await;
    cluster.await_state("d1", "running").await;
    let owner = cluster.owner().unwrap();
    cluster.pause_agent(owner);
    cluster.submit("d2", 100, tasks(4)).await;
    cluster.await_that("another owner", |cluster| cluster.owner() != Some(owner)).await;
    cluster.resume_agent(owner);
    cluster.await_state("d2", "completed").await;
    cluster.await_state("d1", "completed").await;
    check_elections(&cluster);
    cluster.check();
}

/// A restarted agent once reported its worker as gone while the worker's tasks ran on.
#[actix_web::test]
async fn tasks_run_on_while_all_processes_restart() {
    let mut cluster = TestCluster::open(3).await;
    cluster.submit("e1", 4_000, tasks(9)).await;
    cluster
        .await_that("nine tasks run", |cluster| {
            cluster.workers.iter().map(|worker| worker.running()).sum::<usize>() == 9
        })
        .await;
    cluster.restart_all();
    cluster.await_state("e1", "completed").await;
    assert_eq!(cluster.history.lock().unwrap().starts, 9, "no task was started again");
    cluster.check();
}

/// A restarted agent does not know how far its earlier process extended the worker's lease:
/// it must not assume that the lease of a silent worker has expired.
#[actix_web::test]
async fn a_silent_worker_keeps_its_tasks_through_a_restart_of_its_agent() {
    let mut cluster = TestCluster::open(3).await;
    cluster.submit("k1", 6_000, tasks(9)).await;
    cluster
        .await_that("nine tasks run", |cluster| {
            cluster.workers.iter().map(|worker| worker.running()).sum::<usize>() == 9
        })
        .await;
    let agent = (cluster.owner().unwrap() + 1) % 3;
    cluster.workers[agent].set_unresponsive(true);
    cluster.kill_agent(agent);
    cluster.start_agent(agent);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert_eq!(cluster.history.lock().unwrap().starts, 9);
    cluster.workers[agent].set_unresponsive(false);
    cluster.await_state("k1", "completed").await;
    cluster.check();
}

/// A restarted agent once never found the new owner: one of its async tasks held a
/// borrow across an await, and another waited for it.
#[actix_web::test]
async fn every_agent_finds_the_owner_after_all_processes_restart() {
    let mut cluster = TestCluster::open(6).await;
    cluster.store.set_delay(STORE_DELAY);
    cluster.submit("f1", 0, tasks(24)).await;
    for round in 0..3 {
        cluster
            .await_that("all tasks run", |cluster| {
                cluster.workers.iter().map(|worker| worker.running()).sum::<usize>() == 24
            })
            .await;
        cluster.restart_all();
        // Longer than the leases: tasks of an agent without an owner would end.
        tokio::time::sleep(Duration::from_secs(9)).await;
        let running: usize = cluster.workers.iter().map(|worker| worker.running()).sum();
        assert_eq!(running, 24, "round {round}\n{}", cluster.logs());
    }
    cluster.check();
}

#[actix_web::test]
async fn tasks_of_a_worker_restarted_under_its_id_run_again() {
    let cluster = TestCluster::open(2).await;
    cluster.submit("g1", 1_500, tasks(6)).await;
    cluster
        .await_that("six tasks run", |cluster| {
            cluster.workers.iter().map(|worker| worker.running()).sum::<usize>() == 6
        })
        .await;
    cluster.workers[0].restart();
    cluster.await_state("g1", "completed").await;
    cluster.check();
}

#[actix_web::test]
async fn start_calls_without_an_answer_start_a_task_once() {
    let cluster = TestCluster::open(2).await;
    cluster.submit("h0", 50, tasks(1)).await;
    cluster.await_state("h0", "completed").await;
    for worker in &cluster.workers {
        worker.set_start_delay(Some(Duration::from_millis(2_500)));
    }
    cluster.submit("h1", 300, tasks(4)).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for worker in &cluster.workers {
        worker.set_start_delay(None);
    }
    cluster.await_state("h1", "completed").await;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    cluster.check();
}

#[actix_web::test]
async fn running_tasks_survive_a_short_outage_of_the_store() {
    let cluster = TestCluster::open(3).await;
    cluster.submit("i1", 5_000, tasks(6)).await;
    cluster
        .await_that("six tasks run", |cluster| {
            cluster.workers.iter().map(|worker| worker.running()).sum::<usize>() == 6
        })
        .await;
    cluster.store.set_mode(StoreMode::Busy);
    tokio::time::sleep(Duration::from_millis(4_000)).await;
    cluster.store.set_mode(StoreMode::Serving);
    cluster.await_state("i1", "completed").await;
    assert_eq!(cluster.history.lock().unwrap().starts, 6);
    cluster.check();
}

#[actix_web::test]
async fn lost_answers_of_the_store_elect_no_second_owner() {
    let mut cluster = TestCluster::open(4).await;
    cluster.submit("j1", 100, tasks(4)).await;
    cluster.await_that("an owner", |cluster| cluster.owner().is_some()).await;
    cluster.store.set_mode(StoreMode::LosingAnswers);
    let owner = cluster.owner().unwrap();
    cluster.kill_agent(owner);
    tokio::time::sleep(Duration::from_millis(4_000)).await;
    cluster.store.set_mode(StoreMode::Serving);
    cluster.start_agent(owner);
    cluster.submit("j2", 100, tasks(4)).await;
    cluster.await_state("j1", "completed").await;
    cluster.await_state("j2", "completed").await;
    check_elections(&cluster);
    cluster.check();
}

/// An entry once kept calling an owner that could not reach the store and had been replaced.
#[actix_web::test]
async fn an_owner_that_cannot_reach_the_store_is_replaced() {
    let cluster = TestCluster::open(3).await;
    cluster.submit("l1", 100, tasks(3)).await;
    cluster.await_state("l1", "completed").await;
    let owner = cluster.owner().unwrap();
    cluster.refuse_agent(owner, true);
    cluster.submit("l2", 100, tasks(3)).await;
    cluster.await_state("l2", "completed").await;
    assert_ne!(cluster.owner(), Some(owner));
    let found = cluster.await_that("both entries have found the new owner", |cluster| {
        ["entry-0", "entry-1"].iter().all(|name| cluster.log_lines(name, "owner_found") == 2)
    });
    found.await;
    cluster.refuse_agent(owner, false);
    cluster.submit("l3", 100, tasks(3)).await;
    cluster.await_state("l3", "completed").await;
    check_elections(&cluster);
    cluster.check();
}

/// An owner whose reads failed once placed tasks of jobs that had been cancelled more than
/// 3 s before.
#[actix_web::test]
async fn an_owner_that_cannot_read_places_no_task_of_a_cancelled_job() {
    let cluster = TestCluster::open(3).await;
    let steps = json!([
        {"count": 1, "cpu": 1000, "memMb": 100},
        {"count": 3, "cpu": 1000, "memMb": 100, "after": [0]},
    ]);
    cluster.submit("m1", 2_000, steps).await;
    cluster
        .await_that("the first task runs", |cluster| {
            cluster.workers.iter().map(|worker| worker.running()).sum::<usize>() == 1
        })
        .await;
    let owner = cluster.owner().unwrap();
    cluster.fail_reads_of_agent(owner, true);
    let cancel = cluster.call("DELETE", 0, "/q/m1", Value::Null).await;
    assert_eq!(cancel.0, 200, "{}", cluster.logs());
    cluster.await_state("m1", "cancelled").await;
    tokio::time::sleep(Duration::from_millis(4_500)).await;
    assert_eq!(cluster.history.lock().unwrap().starts, 1, "{}", cluster.logs());
    assert_ne!(cluster.owner(), Some(owner), "an owner that cannot read resigns");
    cluster.fail_reads_of_agent(owner, false);
    cluster.submit("m2", 100, tasks(3)).await;
    cluster.await_state("m2", "completed").await;
    check_elections(&cluster);
    cluster.check();
}

/// An entry that the store refused once refused its callers' jobs, although the owner could
/// store them.
#[actix_web::test]
async fn the_owner_stores_jobs_for_an_entry_that_the_store_refuses() {
    let cluster = TestCluster::open(3).await;
    cluster.submit("n1", 100, tasks(3)).await;
    cluster.await_state("n1", "completed").await;
    cluster
        .await_that("the entry knows the owner", |cluster| {
            cluster.log_lines("entry-0", "owner_found") > 0
        })
        .await;
    cluster.refuse_entry(0, true);
    let body = json!({"spec": "100", "steps": tasks(3)});
    for round in 0..3 {
        let (status, _) = cluster.call("POST", 0, &format!("/q/n2{round}"), body.clone()).await;
        assert_eq!(status, 200, "round {round}\n{}", cluster.logs());
        cluster.await_state(&format!("n2{round}"), "completed").await;
    }
    cluster.refuse_entry(0, false);
    assert_eq!(cluster.call("POST", 0, "/q/n3", body).await.0, 200);
    cluster.await_state("n3", "completed").await;
    cluster.check();
}

/// At the end of an outage of the whole store, an owner's appends were answered before its
/// reads; the owner once treated that as a failure of its own reads and resigned.
#[actix_web::test]
async fn an_outage_of_the_whole_store_does_not_change_the_owner() {
    let cluster = TestCluster::open(3).await;
    cluster.submit("o1", 100, tasks(3)).await;
    cluster.await_state("o1", "completed").await;
    let elected = cluster.elected();
    for round in 0..3 {
        cluster.store.set_mode(StoreMode::Busy);
        tokio::time::sleep(Duration::from_millis(4_000)).await;
        cluster.store.set_mode(StoreMode::Serving);
        let job = format!("o2{round}");
        cluster.submit(&job, 100, tasks(3)).await;
        cluster.await_state(&job, "completed").await;
    }
    assert_eq!(cluster.elected(), elected, "{}", cluster.logs());
    cluster.check();
}
