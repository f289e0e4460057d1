//! Entries of another writer: each is ignored, and the workers, jobs and owners beside it
//! are used as before.

mod support;

use std::time::Duration;

use serde_json::{Value, json};
use support::{TestCluster, tasks};

/// Longer than a worker's poll and an owner's answer together.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);

/// Starts a job of `count` tasks that outlast the test's writes.
async fn start_tasks(cluster: &TestCluster, job: &str, count: usize) {
    cluster.submit(job, 6_000, tasks(u32::try_from(count).unwrap())).await;
    cluster
        .await_that("all tasks run", |cluster| {
            cluster.workers.iter().map(|worker| worker.running()).sum::<usize>() == count
        })
        .await;
}

/// The worker's announcement with changed fields.
fn changed(cluster: &TestCluster, worker: usize, fields: Value) -> (String, String) {
    let (id, mut body) = cluster.workers[worker].announcement();
    body["seqNo"] = json!(1_000_000);
    for (name, value) in fields.as_object().unwrap() {
        body[name] = value.clone();
    }
    (id, body.to_string())
}

fn starts(cluster: &TestCluster) -> u64 {
    cluster.history.lock().unwrap().starts
}

/// An announcement under another id once replaced the living worker: the owner ended its
/// runs and started their tasks a second time while they ran on.
#[actix_web::test]
async fn an_announcement_of_another_id_does_not_end_the_runs_of_the_living_worker() {
    let cluster = TestCluster::open(2).await;
    start_tasks(&cluster, "a1", 8).await;
    let (_, body) = changed(&cluster, 0, json!({"born": 4_102_444_800_000u64}));
    for _ in 0..3 {
        cluster.announce(0, "i-foreign", body.clone()).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    tokio::time::sleep(SETTLE_TIME).await;
    cluster.check();
    assert_eq!(starts(&cluster), 8, "{}", cluster.logs());
    assert_eq!(cluster.log_lines("agent-0", "worker_gone"), 0, "{}", cluster.logs());
    cluster.await_state("a1", "completed").await;
    cluster.check();
}

/// An announcement with a later birth than the living worker's once ended its runs.
#[actix_web::test]
async fn an_announcement_with_a_later_birth_does_not_end_the_runs_of_the_living_worker() {
    let cluster = TestCluster::open(2).await;
    start_tasks(&cluster, "b1", 8).await;
    for born in [4_102_444_800_000u64, u64::MAX] {
        let (id, body) = changed(&cluster, 0, json!({"born": born}));
        cluster.announce(0, &id, body).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    tokio::time::sleep(SETTLE_TIME).await;
    cluster.check();
    assert_eq!(starts(&cluster), 8, "{}", cluster.logs());
    cluster.await_state("b1", "completed").await;
    cluster.check();
}

/// A delayed announcement of an earlier incarnation that reached a restarted agent first
/// once ended the runs of the living one.
#[actix_web::test]
async fn a_delayed_announcement_to_a_restarted_agent_does_not_end_the_runs() {
    let mut cluster = TestCluster::open(3).await;
    start_tasks(&cluster, "c1", 9).await;
    let agent = (cluster.owner().unwrap() + 1) % 3;
    let (_, living) = cluster.workers[agent].announcement();
    let born = living["born"].as_u64().unwrap() - 20_000;
    let (id, body) = changed(&cluster, agent, json!({"born": born}));
    cluster.kill_agent(agent);
    cluster.start_agent(agent);
    for _ in 0..60 {
        cluster.announce(agent, &id, body.clone()).await;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    tokio::time::sleep(SETTLE_TIME).await;
    cluster.check();
    assert_eq!(starts(&cluster), 9, "{}", cluster.logs());
    cluster.await_state("c1", "completed").await;
    cluster.check();
}

/// A sequence number at the end of its range once hid all later announcements: a worker
/// that drained was still given tasks.
#[actix_web::test]
async fn a_sequence_number_out_of_range_does_not_hide_later_announcements() {
    let cluster = TestCluster::open(2).await;
    start_tasks(&cluster, "d1", 2).await;
    for number in [u64::MAX, 1 << 53, 1 << 40] {
        let (id, body) = changed(&cluster, 0, json!({"seqNo": number}));
        cluster.announce(0, &id, body).await;
    }
    cluster.workers[0].drain();
    cluster
        .await_that("the agent knows that its worker drains", |cluster| {
            cluster.log_lines("agent-0", "worker_leaving") == 1
        })
        .await;
    cluster.check();
}

/// Announcements that cannot be read or name no worker to use.
#[actix_web::test]
async fn unusable_announcements_change_nothing() {
    let cluster = TestCluster::open(2).await;
    start_tasks(&cluster, "e1", 8).await;
    let odd = [
        json!({"address": "10.0.0.1:70000"}),
        json!({"address": "10.0.0.1:0"}),
        json!({"address": 7}),
        json!({"address": null}),
        json!({"state": "odd"}),
        json!({"service": 7}),
        json!({"seqNo": -1}),
        json!({"seqNo": 1e300}),
        json!({"clockMs": u64::MAX, "state": "draining"}),
        json!({"service": "other"}),
        json!({"capacity": {"cpu": u64::MAX, "memMb": u64::MAX, "gpu": u64::MAX}}),
    ];
    for fields in odd {
        let (id, body) = changed(&cluster, 0, fields);
        cluster.announce(0, &id, body).await;
    }
    let nested = "[".repeat(100_000) + &"]".repeat(100_000);
    let (id, body) = changed(&cluster, 0, json!({"labels": "NESTED"}));
    cluster.announce(0, &id, body.replace("\"NESTED\"", &nested)).await;
    cluster.announce(0, &id, nested).await;
    cluster.announce(0, &id, vec![0xff; 64]).await;
    let (_, body) = changed(&cluster, 0, json!({"seqNo": 2_000_000}));
    cluster.announce(0, "odd%0Aid", body).await;
    tokio::time::sleep(SETTLE_TIME).await;
    cluster.check();
    assert_eq!(starts(&cluster), 8, "{}", cluster.logs());
    assert_eq!(cluster.log_lines("agent-0", "worker_leaving"), 0, "{}", cluster.logs());
    assert_eq!(cluster.log_lines("agent-0", "panicked"), 0, "{}", cluster.logs());
    cluster.submit("e2", 100, tasks(12)).await;
    cluster.await_state("e2", "completed").await;
    cluster.await_state("e1", "completed").await;
    cluster.check();
}

/// No owner was elected any more once the heartbeat's record could not be read or named a
/// higher epoch than the last election.
#[actix_web::test]
async fn an_owner_is_elected_despite_an_odd_heartbeat_record() {
    let mut cluster = TestCluster::open(3).await;
    cluster.submit("f0", 100, tasks(3)).await;
    cluster.await_state("f0", "completed").await;
    let heartbeat = |address: &str, epoch: u64| {
        json!({"epoch": epoch, "owner": "odd", "address": address, "resigned": false}).to_string()
    };
    let odd = [heartbeat("127.0.0.1:70000", 1), heartbeat("127.0.0.1:1", u64::MAX)];
    for (number, value) in odd.iter().enumerate() {
        let owner = cluster.owner().unwrap();
        cluster.kill_agent(owner);
        cluster.store.write("keyed.owner", "owner", value.as_bytes());
        let job = format!("f{}", number + 1);
        cluster.submit(&job, 100, tasks(3)).await;
        cluster.await_state(&job, "completed").await;
        cluster.start_agent(owner);
    }
    cluster.check();
}

/// An election record that could not be read, or with the highest possible epoch, once
/// ended all elections.
#[actix_web::test]
async fn an_owner_is_elected_despite_an_odd_election_record() {
    let mut cluster = TestCluster::open(3).await;
    cluster.submit("g0", 100, tasks(3)).await;
    cluster.await_state("g0", "completed").await;
    let odd = [json!({"epoch": "x"}), json!({"epoch": u64::MAX, "owner": "odd"})];
    for (number, value) in odd.iter().enumerate() {
        let owner = cluster.owner().unwrap();
        cluster.kill_agent(owner);
        cluster.store.write("keyed.tasks", "@owner", value.to_string().as_bytes());
        let job = format!("g{}", number + 1);
        cluster.submit(&job, 100, tasks(3)).await;
        cluster.await_state(&job, "completed").await;
        cluster.start_agent(owner);
    }
    cluster.check();
}

/// A query with a deadline of years once ended the entry's connection to the owner, again
/// and again until the caller left.
#[actix_web::test]
async fn a_query_with_a_huge_deadline_is_answered() {
    let cluster = TestCluster::open(2).await;
    cluster.submit("h1", 100, tasks(1)).await;
    cluster.await_state("h1", "completed").await;
    for deadline in ["100000000000", "18446744073709551615", "-1", "1e400"] {
        let status = cluster.query_within(0, "unknown", deadline).await;
        assert_eq!(status, Some(410), "{deadline}\n{}", cluster.logs());
    }
    assert_eq!(cluster.log_lines("entry-0", "panicked"), 0, "{}", cluster.logs());
}

/// Records of another writer in the owner's topics: the jobs beside them are carried out,
/// by the owner that reads them as they come and by one that loads them.
#[actix_web::test]
async fn odd_records_do_not_stop_the_jobs_beside_them() {
    let mut cluster = TestCluster::open(3).await;
    cluster.submit("i0", 100, tasks(3)).await;
    cluster.await_state("i0", "completed").await;
    let job = |tasks: u32, times: u32| {
        json!({"queue": "q", "service": "minutes", "payload": "100", "accepted": 1, "times": times,
            "first_due": u64::MAX, "interval": u64::MAX,
            "steps": [{"tasks": tasks, "need": {"cpu": u64::MAX, "memory": 1, "accelerators": 0},
                "estimate": u64::MAX, "fills": true}]})
    };
    for (key, value) in [
        ("many", job(30_000, 0)),
        ("often", job(0, 30_000)),
        ("late", job(1, 2)),
        ("wide", job(1, 0)),
        ("odd", json!({"steps": 7})),
        ("nested", json!("[".repeat(5_000))),
    ] {
        cluster.store.write("keyed.requests", key, value.to_string().as_bytes());
    }
    cluster.store.write("keyed.requests", "nested", "[".repeat(50_000).as_bytes());
    let placed = json!({"a": "agent-0", "l": {"id": "i-0", "born": u64::MAX}});
    for (key, value) in [
        ("i1.0.0.0", json!({"r": u32::MAX, "f": u32::MAX})),
        ("i1.4294967295.0.0", json!({"r": 1})),
        ("i1.0.65535.0", json!({"r": 1, "p": placed})),
        ("x.0.0.0", json!({"r": u32::MAX, "p": placed})),
        ("y", json!({"state": "Odd", "at": -1})),
    ] {
        cluster.store.write("keyed.tasks", key, value.to_string().as_bytes());
    }
    cluster.submit("i2", 100, tasks(3)).await;
    cluster.await_state("i2", "completed").await;
    let owner = cluster.owner().unwrap();
    cluster.kill_agent(owner);
    cluster.submit("i3", 100, tasks(3)).await;
    cluster.await_state("i3", "completed").await;
    for agent in ["agent-0", "agent-1", "agent-2"] {
        assert_eq!(cluster.log_lines(agent, "panicked"), 0, "{}", cluster.logs());
    }
    assert_eq!(cluster.state("many").await, "unknown");
    cluster.check();
}
