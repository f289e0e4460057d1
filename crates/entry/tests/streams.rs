//! Streams of a running entry: snapshots, dropped records, and jobs.

mod support;

use cactusdoor_core::config::ConfigFold;
use cactusdoor_core::fold::fold_text;
use serde_json::{Value, json};
use support::entry::{TestEntry, plan_items};
use support::eventually;
use support::log::FakeLog;

const JOB: &[u8] = br#"{"plan": "koperasi", "kind": "transcription", "class": "batch", "tasks": 2,
    "need": {"processors": 1000, "memory": 512, "accelerators": 0}, "run_time_ms": 60000}"#;

async fn ready_status(entry: &TestEntry) -> u16 {
    let url = format!("http://{}/readyz", entry.daemon.operator_address);
    entry.http.get(url).send().await.unwrap().status().as_u16()
}

/// Guards against an entry that starts with an incomplete configuration because
/// retention dropped records that no snapshot covers.
#[actix::test]
async fn entry_is_not_ready_until_a_snapshot_covers_dropped_records() {
    let log = FakeLog::open();
    let entry = TestEntry::open("entry1", &log, &[]).await;
    entry.operators.change(plan_items("a", 1)).await.unwrap();
    entry.operators.change(plan_items("b", 1)).await.unwrap();
    log.state().drop_before("config", 1);
    let late = TestEntry::open_unready("entry2", &log, &[]).await;
    let tried = async || {
        // The claim streams are complete; only the configuration stream is missing.
        let config = late.operators.config().await;
        (config.is_err() && ready_status(&late).await == 503).then_some(())
    };
    eventually("unready entry", tried).await;
    // The first entry has read all records and publishes a snapshot.
    late.wait_ready().await;
    let view = late.operators.config().await.unwrap();
    assert_eq!((view.revision, view.items.len()), (2, 4));
}

/// Guards against snapshots that are never published or do not match the fold of
/// the records that they cover.
#[actix::test]
async fn snapshots_are_published_when_due() {
    let log = FakeLog::open();
    let entry = TestEntry::open("entry1", &log, &[]).await;
    for name in ["a", "b", "c", "d"] {
        entry.operators.change(plan_items(name, 1)).await.unwrap();
    }
    let published = eventually("snapshot", async || {
        let snapshots = log.state().records("config.snapshot");
        snapshots.last().cloned()
    })
    .await;
    let snapshot: Value = serde_json::from_str(&published).unwrap();
    let covers = snapshot["covers"].as_u64().unwrap();
    let mut fold = ConfigFold::default();
    for (offset, record) in (0..covers).zip(log.state().records("config")) {
        fold_text(&mut fold, offset, &record).unwrap();
    }
    assert_eq!(snapshot["fold"], serde_json::to_value(&fold).unwrap());
}

/// Guards against a second submission that replaces or extends the job of its key.
#[actix::test]
async fn repeated_submission_keeps_the_first_job() {
    let log = FakeLog::open();
    let entry = TestEntry::open("entry1", &log, &[]).await;
    entry.publish_plan().await;
    for body in [JOB.to_vec(), String::from_utf8_lossy(JOB).replace("2,", "9,").into_bytes()] {
        let reply = entry.post("/v1/jobs", &[("Idempotency-Key", "k")], &body).await;
        assert_eq!(reply.status, 202, "{}", String::from_utf8_lossy(&reply.body));
    }
    assert_eq!(get_job(&entry).await["tasks"].as_array().unwrap().len(), 2);
}

async fn get_job(entry: &TestEntry) -> Value {
    let url = format!("http://{}/v1/jobs/koperasi/k", entry.daemon.caller_address);
    entry.http.get(url).send().await.unwrap().json().await.unwrap()
}

/// Guards against a query through another entry that misses acknowledged changes.
#[actix::test]
async fn query_sees_every_acknowledged_change() {
    let log = FakeLog::open();
    let first = TestEntry::open("entry1", &log, &[]).await;
    let second = TestEntry::open("entry2", &log, &[]).await;
    first.publish_plan().await;
    let missing = get_job(&second).await;
    assert_eq!(missing["error"]["code"], "not_found");
    let reply = first.post("/v1/jobs", &[("Idempotency-Key", "k")], JOB).await;
    assert_eq!(reply.status, 202);
    assert_eq!(get_job(&second).await["cancelled"], false);
    let url = format!("http://{}/v1/jobs/koperasi/k", first.daemon.caller_address);
    assert_eq!(first.http.delete(url).send().await.unwrap().status().as_u16(), 202);
    let job = get_job(&second).await;
    assert_eq!(job["cancelled"], true);
    assert_eq!(job["tasks"][0]["state"], json!({"ended": "cancelled"}));
}

/// Guards against accepting jobs of unknown plans, and jobs that the log has not
/// stored.
#[actix::test]
async fn job_is_accepted_only_after_the_log_stored_it() {
    let log = FakeLog::open();
    let entry = TestEntry::open("entry1", &log, &[]).await;
    let reply = entry.post("/v1/jobs", &[("Idempotency-Key", "k")], JOB).await;
    assert_eq!((reply.status, &*reply.error("code")), (403, "unknown_plan"));
    entry.publish_plan().await;
    log.state().down = true;
    let reply = entry.post("/v1/jobs", &[("Idempotency-Key", "k")], JOB).await;
    assert_eq!((reply.status, &*reply.error("code")), (503, "log_unavailable"));
    assert_eq!((&*reply.error("outcome"), &*reply.error("retry")), ("not_run", "same_key"));
    log.state().down = false;
    let reply = entry.post("/v1/jobs", &[("Idempotency-Key", "k")], JOB).await;
    assert_eq!(reply.status, 202);
    let shard = reply.json()["shard"].as_str().unwrap().to_owned();
    // The entry reads the log back after a lost answer and finds the record stored.
    log.state().lose_answers.insert(format!("tasks-{shard}"), 1);
    let reply = entry.post("/v1/jobs", &[("Idempotency-Key", "k2")], JOB).await;
    assert_eq!(reply.status, 202);
}

/// Guards against a shard view without the reason why a task waits.
#[actix::test]
async fn shard_jobs_report_why_tasks_wait() {
    let log = FakeLog::open();
    let entry = TestEntry::open("entry1", &log, &[]).await;
    entry.publish_plan().await;
    let big = String::from_utf8_lossy(JOB).replace("1000", "9000").into_bytes();
    let reply = entry.post("/v1/jobs", &[("Idempotency-Key", "k")], &big).await;
    let shard = reply.json()["shard"].as_str().unwrap().parse().unwrap();
    let jobs = entry.operators.shard_jobs(&shard).await.unwrap();
    let state = serde_json::to_value(&jobs[0].tasks[0].state).unwrap();
    assert_eq!(state, json!({"pending": {"reason": "allowance_used"}}));
}
