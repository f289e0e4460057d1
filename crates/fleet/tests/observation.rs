//! The owner's log and metrics tell which runs it ended itself and which it did not assign.

mod support;

use std::time::Duration;

use serde_json::json;
use support::{TestCluster, tasks};

const OWNER_ACTIVE: &str = "cactusdoor_owner_active";
const LAPSED_ENDS: &str = r#"cactusdoor_owner_ends_total{end="lapsed"}"#;
const UNASSIGNED: &str = "cactusdoor_owner_unassigned_runs_total";

fn lapses(cause: &str) -> String {
    format!("cactusdoor_owner_lapsed_runs_total{{cause=\"{cause}\"}}")
}

fn epoch(cluster: &TestCluster) -> u64 {
    cluster.elected().pop().unwrap()
}

/// Waits until six tasks run on three workers; returns the owner and another agent with tasks.
async fn run_tasks(cluster: &TestCluster) -> (usize, usize) {
    cluster.submit("a1", 3_000, tasks(6)).await;
    cluster
        .await_that("six tasks run", |cluster| {
            cluster.workers.iter().map(|worker| worker.running()).sum::<usize>() == 6
        })
        .await;
    let owner = cluster.owner().unwrap();
    let mut others = (0..3).filter(|agent| *agent != owner);
    let other = others.find(|agent| cluster.workers[*agent].running() > 0);
    (owner, other.expect("the tasks are spread"))
}

/// Checks that each run that lapsed has an event with its cause and is counted.
async fn check_lapses(cluster: &TestCluster, (owner, other): (usize, usize), cause: &str) {
    let events = cluster.decisions(&format!("agent-{owner}"), "run_lapsed");
    assert!(!events.is_empty(), "{}", cluster.logs());
    for event in &events {
        assert_eq!(event["cause"], cause, "{event}");
        assert_eq!(event["agent"], format!("agent-{other}"), "{event}");
        assert_eq!(
            (event["run"].as_u64(), event["epoch"].as_u64()),
            (Some(1), Some(epoch(cluster)))
        );
        assert!(event["task"].as_str().unwrap().starts_with("a1.0.0."), "{event}");
    }
    let count = events.len() as u64;
    assert_eq!(cluster.metric(owner, &lapses(cause)).await, count);
    assert_eq!(cluster.metric(owner, LAPSED_ENDS).await, count);
}

#[actix_web::test]
async fn the_lapse_of_runs_of_a_restarted_worker_is_logged_and_counted() {
    let cluster = TestCluster::open(3).await;
    let (owner, other) = run_tasks(&cluster).await;
    // A run that no list names yet ends by a stop instead.
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    cluster.workers[other].restart();
    cluster.await_state("a1", "completed").await;
    check_lapses(&cluster, (owner, other), "worker_replaced").await;
    assert_eq!(cluster.metric(owner, UNASSIGNED).await, 0);
    cluster.check();
}

#[actix_web::test]
async fn the_lapse_of_runs_of_a_lost_agent_is_logged_and_counted() {
    let mut cluster = TestCluster::open(3).await;
    let (owner, other) = run_tasks(&cluster).await;
    // The worker restarts, so that no run of a lost VM completes.
    cluster.kill_agent(other);
    cluster.workers[other].restart();
    cluster.await_state("a1", "completed").await;
    check_lapses(&cluster, (owner, other), "lease_expired").await;
    cluster.check();
}

#[actix_web::test]
async fn a_run_that_the_owner_did_not_assign_is_logged_and_counted() {
    let cluster = TestCluster::open(3).await;
    let (owner, other) = run_tasks(&cluster).await;
    let body = json!({"task": "b1.0.0.0", "run": 4, "spec": "0", "deadlineMs": 60_000,
        "fencingToken": epoch(&cluster)});
    assert_eq!(cluster.call_worker(other, "/run-start", body).await, 200);
    let name = format!("agent-{owner}");
    cluster
        .await_that("the run is observed", |cluster| {
            !cluster.decisions(&name, "run_unassigned").is_empty()
        })
        .await;
    cluster.await_state("a1", "completed").await;
    let events = cluster.decisions(&name, "run_unassigned");
    for event in &events {
        assert_eq!((event["task"].as_str(), event["run"].as_u64()), (Some("b1.0.0.0"), Some(4)));
        assert_eq!(event["agent"], format!("agent-{other}"), "{event}");
        assert_eq!(event["epoch"], epoch(&cluster), "{event}");
    }
    assert_eq!(cluster.metric(owner, UNASSIGNED).await, events.len() as u64);
    assert_eq!(cluster.metric(owner, LAPSED_ENDS).await, 0);
}

#[actix_web::test]
async fn a_placement_is_logged_with_what_is_reserved_on_its_worker() {
    let cluster = TestCluster::open(3).await;
    let (owner, other) = run_tasks(&cluster).await;
    let placed = cluster.decisions(&format!("agent-{owner}"), "task_placed");
    let agent = format!("agent-{other}");
    let reserved = placed.iter().filter(|event| event["agent"] == agent);
    let reserved: Vec<_> = reserved.map(|event| event["reserved_cpu"].as_u64()).collect();
    let expected: Vec<_> = (1..=reserved.len() as u64).map(|tasks| Some(tasks * 1_000)).collect();
    assert_eq!(reserved, expected, "{placed:?}");
}

/// The gauge was only ever set to 0, so it did not show the owner.
#[actix_web::test]
async fn the_gauge_of_the_owner_is_1_only_at_the_owner() {
    let mut cluster = TestCluster::open(3).await;
    let (owner, _) = run_tasks(&cluster).await;
    for agent in 0..3 {
        let expected = u64::from(agent == owner);
        assert_eq!(cluster.metric(agent, OWNER_ACTIVE).await, expected, "agent-{agent}");
    }
    cluster.stop_agent(owner);
    let elected = |cluster: &TestCluster| cluster.owner().filter(|agent| *agent != owner);
    cluster.await_that("another owner", |cluster| elected(cluster).is_some()).await;
    let successor = elected(&cluster).unwrap();
    cluster.await_state("a1", "completed").await;
    assert_eq!(cluster.metric(successor, OWNER_ACTIVE).await, 1);
}
