//! The whole path: entries, agents and an owner against the store and workers.

mod support;

use std::time::Duration;

use cactusdoor_standin::platform_store::StoreMode;
use serde_json::{Value, json};
use support::{Site, tasks};

#[actix_web::test]
async fn a_job_is_accepted_run_in_order_and_shown() {
    let site = Site::open(3).await;
    let steps = json!([{"count": 5, "cpu": 1000, "memMb": 10},
        {"count": 2, "cpu": 1000, "memMb": 10, "after": [0]}]);
    site.submit("a1", 100, steps).await;
    site.await_state("a1", "completed").await;
    assert_eq!(site.history.lock().unwrap().done.len(), 7);
    site.check();
}

#[actix_web::test]
async fn a_job_handed_in_twice_is_one_job() {
    let site = Site::open(2).await;
    site.submit("b1", 100, tasks(3)).await;
    let body = json!({"spec": "100", "steps": tasks(3)});
    assert_eq!(site.call("POST", 1, "/q/b1", body.clone()).await.0, 200);
    site.await_state("b1", "completed").await;
    assert_eq!(site.call("POST", 1, "/q/b1", body).await.0, 200);
    site.await_state("b1", "completed").await;
    assert_eq!(site.history.lock().unwrap().starts, 3);
    site.check();
}

#[actix_web::test]
async fn unknown_queues_and_jobs_are_told_apart() {
    let site = Site::open(2).await;
    site.submit("c1", 50, tasks(1)).await;
    site.await_state("c1", "completed").await;
    assert_eq!(site.call("GET", 0, "/other/c1", Value::Null).await.0, 404);
    assert_eq!(site.call("GET", 0, "/q/nosuchjob", Value::Null).await.0, 410);
    assert_eq!(site.call("DELETE", 1, "/q/nosuchjob", Value::Null).await.0, 410);
    let (status, body) = site.call("GET", 0, "/q/", Value::Null).await;
    assert_eq!((status, &body["pending"]), (200, &json!(0)));
}

#[actix_web::test]
async fn a_cancelled_job_is_stopped_and_stays_cancelled() {
    let site = Site::open(2).await;
    site.submit("d1", 0, tasks(4)).await;
    site.await_that("four tasks run", |site| running(site) == 4).await;
    assert_eq!(site.call("DELETE", 1, "/q/d1", Value::Null).await.0, 200);
    site.await_that("no task runs", |site| running(site) == 0).await;
    site.await_state("d1", "cancelled").await;
    site.check();
}

fn running(site: &Site) -> usize {
    site.workers.iter().map(cactusdoor_standin::platform_worker::PlatformWorker::running).sum()
}

/// What is refused has not been stored; the entry says so in its readiness too.
#[actix_web::test]
async fn jobs_are_refused_while_the_store_refuses() {
    let site = Site::open(2).await;
    site.submit("e1", 50, tasks(1)).await;
    site.store.set_mode(StoreMode::Busy);
    let body = json!({"spec": "50", "steps": tasks(1)});
    assert_eq!(site.call("POST", 0, "/q/e2", body.clone()).await.0, 503);
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    assert!(!site.ready(0).await);
    site.store.set_mode(StoreMode::Serving);
    site.submit("e2", 50, tasks(1)).await;
    site.await_state("e2", "completed").await;
    site.await_ready(0).await;
    site.check();
}

/// The owner once kept relayed requests while the store refused it too, so that
/// the entry could only say that the verdict was not known.
#[actix_web::test]
async fn a_job_that_neither_entry_nor_owner_can_store_is_refused() {
    let site = Site::open(2).await;
    site.submit("l1", 50, tasks(1)).await;
    site.await_state("l1", "completed").await;
    site.await_that("the entry knows the owner", |site| {
        site.log_lines("entry-0", "owner_found") > 0
    })
    .await;
    site.store.set_mode(StoreMode::Busy);
    let body = json!({"spec": "50", "steps": tasks(1)});
    for round in 0..3 {
        let (status, _) = site.call("POST", 0, &format!("/q/l2{round}"), body.clone()).await;
        assert_eq!(status, 503, "round {round}\n{}", site.logs());
    }
    site.store.set_mode(StoreMode::Serving);
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    assert_eq!(site.state("l20").await, "unknown", "a refused job never runs");
    site.check();
}

#[actix_web::test]
async fn a_job_whose_append_lost_its_answer_is_stored_once() {
    let site = Site::open(2).await;
    site.submit("f1", 50, tasks(1)).await;
    site.store.set_mode(StoreMode::LosingAnswers);
    let body = json!({"spec": "50", "steps": tasks(2)});
    let path = "/q/f2";
    let lost = site.call("POST", 0, path, body).await.0;
    assert!(matches!(lost, 200 | 504), "{lost}");
    site.store.set_mode(StoreMode::Serving);
    site.await_state("f2", "completed").await;
    let stored = site.store.records("keyed.requests");
    let stored = stored.iter().filter(|(key, value)| key == "f2" && !value.is_empty()).count();
    assert_eq!(stored, 1);
    site.check();
}

#[actix_web::test]
async fn a_change_of_the_queues_is_in_force_without_history() {
    let site = Site::open(2).await;
    site.submit("g1", 50, tasks(1)).await;
    site.configure(5, &["q", "new"]);
    site.store.forget("keyed.op");
    let body = json!({"spec": "50", "steps": tasks(1)});
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    assert_eq!(site.call("POST", 0, "/new/g2", body).await.0, 200);
    site.configure(4, &["q"]);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let (status, _) = site.call("GET", 0, "/new/", Value::Null).await;
    assert_eq!(status, 200, "a lower version is not used");
}

#[actix_web::test]
async fn nothing_is_placed_in_a_data_centre_that_is_out() {
    let site = Site::open(2).await;
    site.submit("h1", 50, tasks(1)).await;
    site.await_state("h1", "completed").await;
    site.store.write("keyed.op", "evacuate/north", b"{}");
    tokio::time::sleep(Duration::from_millis(500)).await;
    let starts = site.history.lock().unwrap().starts;
    site.submit("h2", 50, tasks(2)).await;
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(site.history.lock().unwrap().starts, starts);
    site.store.write("keyed.op", "evacuate/north", b"");
    site.await_state("h2", "completed").await;
    site.check();
}

#[actix_web::test]
async fn a_leaving_worker_gets_nothing_more() {
    let site = Site::open(2).await;
    site.submit("i1", 0, tasks(2)).await;
    site.await_that("two tasks run", |site| running(site) == 2).await;
    site.workers[0].drain();
    site.await_that("tasks that last have moved", |site| {
        site.workers[0].running() == 0 && site.workers[1].running() == 2
    })
    .await;
    site.check();
}
