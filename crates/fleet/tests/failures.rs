//! Processes, workers and the store fail; no task runs twice and no job is lost.

mod support;

use std::time::Duration;

use cactusdoor_standin::platform_store::StoreMode;
use rustix::process::Signal;
use serde_json::{Value, json};
use support::{Site, tasks};

/// A store that takes its time, so that what candidates do overlaps.
const SLOW: Duration = Duration::from_millis(40);

/// No two processes may believe to own the same epoch.
fn check_elections(site: &Site) {
    let elected = site.elected();
    let mut different = elected.clone();
    different.dedup();
    assert_eq!(elected, different, "an epoch was won twice\n{}", site.logs());
}

/// Two candidates that numbered their elections alike once both won.
#[actix_web::test]
async fn each_epoch_has_one_owner_when_all_stand_at_once() {
    let mut site = Site::open(8).await;
    site.store.set_delay(SLOW);
    site.submit("a1", 100, tasks(8)).await;
    site.await_state("a1", "completed").await;
    site.restart_all();
    site.submit("a2", 100, tasks(8)).await;
    site.await_state("a2", "completed").await;
    check_elections(&site);
    site.check();
}

#[actix_web::test]
async fn another_agent_takes_over_from_a_killed_owner() {
    let mut site = Site::open(3).await;
    site.submit("b1", 3_000, tasks(6)).await;
    site.await_state("b1", "running").await;
    let owner = site.owner().unwrap();
    site.kill_agent(owner);
    site.submit("b2", 100, tasks(3)).await;
    site.await_state("b2", "completed").await;
    assert_ne!(site.owner(), Some(owner));
    site.start_agent(owner);
    site.await_state("b1", "completed").await;
    check_elections(&site);
    site.check();
}

#[actix_web::test]
async fn a_stopped_owner_hands_over() {
    let mut site = Site::open(3).await;
    site.submit("c1", 100, tasks(3)).await;
    site.await_state("c1", "completed").await;
    let owner = site.owner().unwrap();
    site.stop_agent(owner);
    site.submit("c2", 100, tasks(3)).await;
    site.await_state("c2", "completed").await;
    let name = format!("agent-{owner}");
    assert_eq!(site.log_lines(&name, "\"cause\":\"stopped\""), 1);
    site.check();
}

/// A paused owner comes back with orders that another owner has overtaken.
#[actix_web::test]
async fn a_paused_owner_acts_no_more() {
    let mut site = Site::open(3).await;
    site.submit("d1", 2_000, tasks(4)).await;
    site.await_state("d1", "running").await;
    let owner = site.owner().unwrap();
    site.signal_agent(owner, Signal::STOP);
    site.submit("d2", 100, tasks(4)).await;
    site.await_that("another owner", |site| site.owner() != Some(owner)).await;
    site.signal_agent(owner, Signal::CONT);
    site.await_state("d2", "completed").await;
    site.await_state("d1", "completed").await;
    check_elections(&site);
    site.check();
}

/// A restarted agent once reported its worker as gone while its tasks ran on.
#[actix_web::test]
async fn workers_run_on_while_all_processes_are_restarted() {
    let mut site = Site::open(3).await;
    site.submit("e1", 4_000, tasks(9)).await;
    site.await_that("nine tasks run", |site| {
        site.workers.iter().map(|worker| worker.running()).sum::<usize>() == 9
    })
    .await;
    site.restart_all();
    site.await_state("e1", "completed").await;
    assert_eq!(site.history.lock().unwrap().starts, 9, "no task was started again");
    site.check();
}

/// An agent that was restarted does not know what lease the earlier process had
/// extended to: it must not take a silent worker's lease for passed.
#[actix_web::test]
async fn a_silent_worker_keeps_its_tasks_through_a_restart_of_its_agent() {
    let mut site = Site::open(3).await;
    site.submit("k1", 6_000, tasks(9)).await;
    site.await_that("nine tasks run", |site| {
        site.workers.iter().map(|worker| worker.running()).sum::<usize>() == 9
    })
    .await;
    let agent = (site.owner().unwrap() + 1) % 3;
    site.workers[agent].set_silent(true);
    site.kill_agent(agent);
    site.start_agent(agent);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert_eq!(site.history.lock().unwrap().starts, 9);
    site.workers[agent].set_silent(false);
    site.await_state("k1", "completed").await;
    site.check();
}

/// A restarted agent once never found the new owner, as one of its tasks held a
/// borrow that another waited for.
#[actix_web::test]
async fn every_agent_finds_the_owner_after_a_restart_of_all() {
    let mut site = Site::open(6).await;
    site.store.set_delay(SLOW);
    site.submit("f1", 0, tasks(24)).await;
    for round in 0..3 {
        site.await_that("all tasks run", |site| {
            site.workers.iter().map(|worker| worker.running()).sum::<usize>() == 24
        })
        .await;
        site.restart_all();
        // Longer than the leases: an agent without an owner would let its tasks lapse.
        tokio::time::sleep(Duration::from_secs(9)).await;
        let running: usize = site.workers.iter().map(|worker| worker.running()).sum();
        assert_eq!(running, 24, "round {round}\n{}", site.logs());
    }
    site.check();
}

#[actix_web::test]
async fn a_worker_reborn_under_its_id_starts_with_nothing() {
    let site = Site::open(2).await;
    site.submit("g1", 1_500, tasks(6)).await;
    site.await_that("six tasks run", |site| {
        site.workers.iter().map(|worker| worker.running()).sum::<usize>() == 6
    })
    .await;
    site.workers[0].rebirth();
    site.await_state("g1", "completed").await;
    site.check();
}

#[actix_web::test]
async fn starts_without_an_answer_are_carried_out_once() {
    let site = Site::open(2).await;
    site.submit("h0", 50, tasks(1)).await;
    site.await_state("h0", "completed").await;
    for worker in &site.workers {
        worker.set_late(Some(Duration::from_millis(2_500)));
    }
    site.submit("h1", 300, tasks(4)).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for worker in &site.workers {
        worker.set_late(None);
    }
    site.await_state("h1", "completed").await;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    site.check();
}

#[actix_web::test]
async fn running_tasks_outlive_a_short_outage_of_the_store() {
    let site = Site::open(3).await;
    site.submit("i1", 5_000, tasks(6)).await;
    site.await_that("six tasks run", |site| {
        site.workers.iter().map(|worker| worker.running()).sum::<usize>() == 6
    })
    .await;
    site.store.set_mode(StoreMode::Busy);
    tokio::time::sleep(Duration::from_millis(4_000)).await;
    site.store.set_mode(StoreMode::Serving);
    site.await_state("i1", "completed").await;
    assert_eq!(site.history.lock().unwrap().starts, 6);
    site.check();
}

#[actix_web::test]
async fn lost_answers_of_the_store_elect_no_second_owner() {
    let mut site = Site::open(4).await;
    site.submit("j1", 100, tasks(4)).await;
    site.await_that("an owner", |site| site.owner().is_some()).await;
    site.store.set_mode(StoreMode::LosingAnswers);
    let owner = site.owner().unwrap();
    site.kill_agent(owner);
    tokio::time::sleep(Duration::from_millis(4_000)).await;
    site.store.set_mode(StoreMode::Serving);
    site.start_agent(owner);
    site.submit("j2", 100, tasks(4)).await;
    site.await_state("j1", "completed").await;
    site.await_state("j2", "completed").await;
    check_elections(&site);
    site.check();
}

/// An entry once went on asking an owner that the store refused and that had
/// been replaced.
#[actix_web::test]
async fn an_owner_that_the_store_refuses_is_left_by_agents_and_entries() {
    let site = Site::open(3).await;
    site.submit("l1", 100, tasks(3)).await;
    site.await_state("l1", "completed").await;
    let owner = site.owner().unwrap();
    site.refuse_agent(owner, true);
    site.submit("l2", 100, tasks(3)).await;
    site.await_state("l2", "completed").await;
    assert_ne!(site.owner(), Some(owner));
    let found = site.await_that("both entries follow", |site| {
        ["entry-0", "entry-1"].iter().all(|name| site.log_lines(name, "owner_found") == 2)
    });
    found.await;
    site.refuse_agent(owner, false);
    site.submit("l3", 100, tasks(3)).await;
    site.await_state("l3", "completed").await;
    check_elections(&site);
    site.check();
}

/// An owner whose reads had no answer went on placing tasks of jobs that had been
/// cancelled more than 3 s before.
#[actix_web::test]
async fn an_owner_that_cannot_read_places_nothing_of_a_cancelled_job() {
    let site = Site::open(3).await;
    let steps = json!([
        {"count": 1, "cpu": 1000, "memMb": 100},
        {"count": 3, "cpu": 1000, "memMb": 100, "after": [0]},
    ]);
    site.submit("m1", 2_000, steps).await;
    site.await_that("the first task runs", |site| {
        site.workers.iter().map(|worker| worker.running()).sum::<usize>() == 1
    })
    .await;
    let owner = site.owner().unwrap();
    site.blind_agent(owner, true);
    let cancel = site.call("DELETE", 0, "/q/m1", Value::Null).await;
    assert_eq!(cancel.0, 200, "{}", site.logs());
    site.await_state("m1", "cancelled").await;
    tokio::time::sleep(Duration::from_millis(4_500)).await;
    assert_eq!(site.history.lock().unwrap().starts, 1, "{}", site.logs());
    assert_ne!(site.owner(), Some(owner), "an owner that cannot read gives up its right");
    site.blind_agent(owner, false);
    site.submit("m2", 100, tasks(3)).await;
    site.await_state("m2", "completed").await;
    check_elections(&site);
    site.check();
}

/// Jobs handed in at an entry that the store turns away were refused, although the
/// owner could store them.
#[actix_web::test]
async fn the_owner_stores_for_an_entry_that_the_store_turns_away() {
    let site = Site::open(3).await;
    site.submit("n1", 100, tasks(3)).await;
    site.await_state("n1", "completed").await;
    site.await_that("the entry knows the owner", |site| {
        site.log_lines("entry-0", "owner_found") > 0
    })
    .await;
    site.refuse_entry(0, true);
    let body = json!({"spec": "100", "steps": tasks(3)});
    for round in 0..3 {
        let (status, _) = site.call("POST", 0, &format!("/q/n2{round}"), body.clone()).await;
        assert_eq!(status, 200, "round {round}\n{}", site.logs());
        site.await_state(&format!("n2{round}"), "completed").await;
    }
    site.refuse_entry(0, false);
    assert_eq!(site.call("POST", 0, "/q/n3", body).await.0, 200);
    site.await_state("n3", "completed").await;
    site.check();
}

/// An owner once took the end of an outage for everybody for a failure of its own
/// reads, as its appends were answered first, and resigned.
#[actix_web::test]
async fn an_outage_for_everybody_changes_no_owner() {
    let site = Site::open(3).await;
    site.submit("o1", 100, tasks(3)).await;
    site.await_state("o1", "completed").await;
    let elected = site.elected();
    for round in 0..3 {
        site.store.set_mode(StoreMode::Busy);
        tokio::time::sleep(Duration::from_millis(4_000)).await;
        site.store.set_mode(StoreMode::Serving);
        let job = format!("o2{round}");
        site.submit(&job, 100, tasks(3)).await;
        site.await_state(&job, "completed").await;
    }
    assert_eq!(site.elected(), elected, "{}", site.logs());
    site.check();
}
