//! Each kind of work, sent once through a running entry.

mod support;

use cactusdoor_peer::digest;
use support::agent::FakeAgent;
use support::entry::TestEntry;
use support::log::FakeLog;

/// Guards against an entry whose actors and servers are not connected to each other.
#[actix::test]
async fn entry_serves_each_kind_of_work() {
    let log = FakeLog::open();
    let agent = FakeAgent::open("vm1").await;
    let entry = TestEntry::open("entry1", &log, &[]).await;
    entry.publish_plan().await;
    entry.list_members(1, vec![agent.member("dc1")]).await;

    let reply = entry.interactive(b"draft", 2_000).await;
    assert_eq!((reply.status, &*reply.body), (200, &b"echo:draft"[..]));
    assert_eq!(reply.length.as_deref(), Some("10"));
    assert_eq!(reply.digest, Some(format!("{:016x}", digest(b"echo:draft"))));
    assert!(reply.request.is_some());

    let reply = entry.binding("certify-1", b"record", 5_000).await;
    assert_eq!((reply.status, &*reply.body), (200, &b"echo:record"[..]));
    let again = entry.binding("certify-1", b"record", 5_000).await;
    assert_eq!((again.status, &again.body), (200, &reply.body));
    assert_eq!(agent.runs(), ["koperasi/certify-1"]);

    let job = br#"{"plan": "koperasi", "kind": "transcription", "class": "batch", "tasks": 2,
        "need": {"processors": 1000, "memory": 512, "accelerators": 0}, "run_time_ms": 60000}"#;
    let reply = entry.post("/v1/jobs", &[("Idempotency-Key", "evening")], job).await;
    assert_eq!(reply.status, 202, "{}", String::from_utf8_lossy(&reply.body));
    let shard = reply.json()["shard"].as_str().unwrap().to_owned();
    assert_eq!(log.state().records(&format!("tasks-{shard}")).len(), 1);

    let url = format!("http://{}/metrics", entry.daemon.operator_address);
    let metrics = entry.http.get(url).send().await.unwrap().body().await.unwrap();
    let metrics = String::from_utf8_lossy(&metrics);
    assert!(metrics.contains("cactusdoor_entry_claims_total{result=\"won\"} 1"), "{metrics}");
    assert!(metrics.lines().all(|line| line.contains("cactusdoor_entry_")), "{metrics}");

    let url = format!("http://{}/v1/jobs/koperasi/evening", entry.daemon.caller_address);
    let mut job_status = entry.http.get(url).send().await.unwrap();
    let job_status: serde_json::Value = job_status.json().await.unwrap();
    assert_eq!(job_status["tasks"].as_array().unwrap().len(), 2, "{job_status}");
}
