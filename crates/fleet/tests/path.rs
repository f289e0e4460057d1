//! Jobs from submission to completion: entries and agents against stand-ins for the store
//! and the workers.

mod support;

use std::time::Duration;

use cactusdoor_standin::platform_store::StoreMode;
use serde_json::{Value, json};
use support::{TestCluster, tasks};

#[actix_web::test]
async fn a_job_runs_its_steps_in_order_and_is_shown_as_completed() {
    let cluster = TestCluster::open(3).await;
    let steps = json!([{"count": 5, "cpu": 1000, "memMb": 10},
        {"count": 2, "cpu": 1000, "memMb": 10, "after": [0]}]);
    cluster.submit("a1", 100, steps).await;
    cluster.await_state("a1", "completed").await;
    assert_eq!(cluster.history.lock().unwrap().done.len(), 7);
    cluster.check();
}

#[actix_web::test]
async fn a_job_submitted_twice_runs_once() {
    let cluster = TestCluster::open(2).await;
    cluster.submit("b1", 100, tasks(3)).await;
    cluster.await_ready(1).await;
    let body = json!({"spec": "100", "steps": tasks(3)});
    assert_eq!(cluster.call("POST", 1, "/q/b1", body.clone()).await.0, 200);
    cluster.await_state("b1", "completed").await;
    assert_eq!(cluster.call("POST", 1, "/q/b1", body).await.0, 200);
    cluster.await_state("b1", "completed").await;
    assert_eq!(cluster.history.lock().unwrap().starts, 3);
    cluster.check();
}

#[actix_web::test]
async fn an_unknown_queue_and_an_unknown_job_get_different_statuses() {
    let cluster = TestCluster::open(2).await;
    cluster.submit("c1", 50, tasks(1)).await;
    cluster.await_state("c1", "completed").await;
    assert_eq!(cluster.call("GET", 0, "/other/c1", Value::Null).await.0, 404);
    assert_eq!(cluster.call("GET", 0, "/q/nosuchjob", Value::Null).await.0, 410);
    assert_eq!(cluster.call("DELETE", 1, "/q/nosuchjob", Value::Null).await.0, 410);
    let (status, body) = cluster.call("GET", 0, "/q/", Value::Null).await;
    assert_eq!((status, &body["pending"]), (200, &json!(0)));
}

#[actix_web::test]
async fn a_cancelled_job_is_stopped_and_stays_cancelled() {
    let cluster = TestCluster::open(2).await;
    cluster.submit("d1", 0, tasks(4)).await;
    cluster.await_that("four tasks run", |cluster| running(cluster) == 4).await;
    assert_eq!(cluster.call("DELETE", 1, "/q/d1", Value::Null).await.0, 200);
    cluster.await_that("no task runs", |cluster| running(cluster) == 0).await;
    cluster.await_state("d1", "cancelled").await;
    cluster.check();
}

fn running(cluster: &TestCluster) -> usize {
    cluster.workers.iter().map(cactusdoor_standin::platform_worker::PlatformWorker::running).sum()
}

/// An entry that cannot store jobs must refuse them and report itself not ready.
#[actix_web::test]
async fn submissions_are_refused_while_the_store_refuses_appends() {
    let cluster = TestCluster::open(2).await;
    cluster.submit("e1", 50, tasks(1)).await;
    cluster.await_ready(0).await;
    cluster.store.set_mode(StoreMode::Busy);
    let body = json!({"spec": "50", "steps": tasks(1)});
    assert_eq!(cluster.call("POST", 0, "/q/e2", body.clone()).await.0, 503, "{}", cluster.logs());
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    assert!(!cluster.ready(0).await);
    cluster.store.set_mode(StoreMode::Serving);
    cluster.submit("e2", 50, tasks(1)).await;
    cluster.await_state("e2", "completed").await;
    cluster.await_ready(0).await;
    cluster.check();
}

/// The owner once repeated relayed requests while the store refused its appends too, so
/// the entry could not tell in time that the job was refused.
#[actix_web::test]
async fn a_job_that_neither_entry_nor_owner_can_store_is_refused() {
    let cluster = TestCluster::open(2).await;
    cluster.submit("l1", 50, tasks(1)).await;
    cluster.await_state("l1", "completed").await;
    cluster
        .await_that("the entry knows the owner", |cluster| {
            cluster.log_lines("entry-0", "owner_found") > 0
        })
        .await;
    cluster.store.set_mode(StoreMode::Busy);
    let body = json!({"spec": "50", "steps": tasks(1)});
    for round in 0..3 {
        let (status, _) = cluster.call("POST", 0, &format!("/q/l2{round}"), body.clone()).await;
        assert_eq!(status, 503, "round {round}\n{}", cluster.logs());
    }
    cluster.store.set_mode(StoreMode::Serving);
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    assert_eq!(cluster.state("l20").await, "unknown", "a refused job never runs");
    cluster.check();
}

#[actix_web::test]
async fn a_job_whose_append_lost_its_answer_is_stored_once() {
    let cluster = TestCluster::open(2).await;
    cluster.submit("f1", 50, tasks(1)).await;
    cluster.store.set_mode(StoreMode::LosingAnswers);
    let body = json!({"spec": "50", "steps": tasks(2)});
    let path = "/q/f2";
    let lost = cluster.call("POST", 0, path, body).await.0;
    assert!(matches!(lost, 200 | 504), "{lost}");
    cluster.store.set_mode(StoreMode::Serving);
    cluster.await_state("f2", "completed").await;
    let stored = cluster.store.records("keyed.requests");
    let stored = stored.iter().filter(|(key, value)| key == "f2" && !value.is_empty()).count();
    assert_eq!(stored, 1);
    cluster.check();
}

/// The owner repeats an append under the entry's number, so the entry goes on behind it.
#[actix_web::test]
async fn jobs_after_an_append_that_the_owner_repeated_are_stored_once() {
    let cluster = TestCluster::open(2).await;
    cluster.submit("r1", 50, tasks(1)).await;
    cluster.await_state("r1", "completed").await;
    let body = json!({"spec": "50", "steps": tasks(1)});
    for round in 0..3 {
        cluster.store.set_mode(StoreMode::LosingAnswers);
        let lost = cluster.call("POST", 0, &format!("/q/r2{round}"), body.clone()).await.0;
        assert!(matches!(lost, 200 | 504), "{lost}");
        cluster.store.set_mode(StoreMode::Serving);
        cluster.submit(&format!("r3{round}"), 50, tasks(1)).await;
    }
    let stored = cluster.store.records("keyed.requests");
    for job in (0..3).flat_map(|round| [format!("r2{round}"), format!("r3{round}")]) {
        cluster.await_state(&job, "completed").await;
        let number = stored.iter().filter(|(key, value)| *key == job && !value.is_empty()).count();
        assert_eq!(number, 1, "{job}");
    }
    cluster.check();
}

#[actix_web::test]
async fn a_new_configuration_takes_effect_after_its_log_was_dropped() {
    let cluster = TestCluster::open(2).await;
    cluster.submit("g1", 50, tasks(1)).await;
    cluster.configure(5, &["q", "new"]);
    cluster.store.expire_records("keyed.op");
    let body = json!({"spec": "50", "steps": tasks(1)});
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    assert_eq!(cluster.call("POST", 0, "/new/g2", body).await.0, 200);
    cluster.configure(4, &["q"]);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let (status, _) = cluster.call("GET", 0, "/new/", Value::Null).await;
    assert_eq!(status, 200, "a lower version is not used");
}

#[actix_web::test]
async fn no_task_is_placed_in_a_data_centre_that_is_taken_out() {
    let cluster = TestCluster::open(2).await;
    cluster.submit("h1", 50, tasks(1)).await;
    cluster.await_state("h1", "completed").await;
    cluster.store.write("keyed.op", "evacuate/north", b"{}");
    tokio::time::sleep(Duration::from_millis(500)).await;
    let starts = cluster.history.lock().unwrap().starts;
    cluster.submit("h2", 50, tasks(2)).await;
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(cluster.history.lock().unwrap().starts, starts);
    cluster.store.write("keyed.op", "evacuate/north", b"");
    cluster.await_state("h2", "completed").await;
    cluster.check();
}

/// Guards against a task that starts in a data centre taken out (EVAC): the worker has not
/// answered its start by then, and the agent repeats the call.
#[actix_web::test]
async fn a_start_without_an_answer_is_withdrawn_when_its_data_centre_is_taken_out() {
    let cluster = TestCluster::open(2).await;
    cluster.submit("n1", 50, tasks(1)).await;
    cluster.await_state("n1", "completed").await;
    let starts = cluster.history.lock().unwrap().starts;
    cluster.workers.iter().for_each(|worker| worker.set_unresponsive(true));
    cluster.submit("n2", 50, tasks(2)).await;
    let owner = format!("agent-{}", cluster.owner().unwrap());
    let count = |event: &str| {
        let decisions = cluster.decisions(&owner, event).into_iter();
        decisions.filter(|decision| decision["task"].to_string().contains("n2")).count()
    };
    cluster.await_that("both tasks are placed", |_| count("task_placed") == 2).await;
    cluster.store.write("keyed.op", "evacuate/north", b"{}");
    cluster
        .await_that("the data centre is out", |cluster| {
            cluster.log_lines(&owner, "\"event\":\"data_centre_taken_out\"") > 0
        })
        .await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    cluster.workers.iter().for_each(|worker| worker.set_unresponsive(false));
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(cluster.history.lock().unwrap().starts, starts, "{}", cluster.logs());
    cluster.store.write("keyed.op", "evacuate/north", b"");
    cluster.await_state("n2", "completed").await;
    cluster.check();
}

#[actix_web::test]
async fn tasks_of_a_leaving_worker_move_to_another_worker() {
    let cluster = TestCluster::open(2).await;
    cluster.submit("i1", 0, tasks(2)).await;
    cluster.await_that("two tasks run", |cluster| running(cluster) == 2).await;
    cluster.workers[0].drain();
    cluster
        .await_that("the running tasks have moved", |cluster| {
            cluster.workers[0].running() == 0 && cluster.workers[1].running() == 2
        })
        .await;
    cluster.check();
}
