//! Jobs that an entry refuses for lack of room.

mod support;

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use support::TestCluster;

/// Longest wait for a decision of the entry: the rate is measured for some seconds first.
const DECISION_TIMEOUT: Duration = Duration::from_secs(40);
/// Pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// A job of best-effort tasks of which the worker holds two; `estimate`: what its caller expects.
fn best_effort(count: u32, millis: u64, estimate: u64) -> Value {
    let step = json!({
        "count": count, "cpu": 2000, "memMb": 15_000, "estimateMs": estimate, "fills": true,
    });
    json!({"spec": millis.to_string(), "steps": [step]})
}

/// Submits a job at the first entry until the status is the expected one.
async fn submit_until(cluster: &TestCluster, expected: u16, prefix: &str, body: &Value) -> String {
    let deadline = Instant::now() + DECISION_TIMEOUT;
    for number in 0.. {
        // A job that is known is accepted at any time.
        let id = format!("{prefix}{number}");
        if cluster.call("POST", 0, &format!("/q/{id}"), body.clone()).await.0 == expected {
            return id;
        }
        assert!(Instant::now() < deadline, "no answer {expected}\n{}", cluster.logs());
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    unreachable!("the numbers do not end");
}

fn is_stored(cluster: &TestCluster, id: &str) -> bool {
    cluster.store.records("keyed.requests").iter().any(|(key, _)| key == id)
}

/// Guards against a refused job that runs, that callers find, or that is refused for ever.
#[actix_web::test]
async fn a_refused_job_is_unknown_and_is_accepted_when_there_is_room() {
    let cluster = TestCluster::open_with(1, "[scheduling]\nrefusals = on\n").await;
    cluster.submit("warm", 50, support::tasks(1)).await;
    cluster.await_state("warm", "completed").await;
    // Two tasks at once, each slower than its caller expects: useful for a minute.
    let backlog = best_effort(80, 12_000, 10_000);
    let (status, _) = cluster.call("POST", 0, "/q/backlog", backlog).await;
    assert_eq!(status, 200, "{}", cluster.logs());
    let body = best_effort(1, 150, 100);
    let refused = submit_until(&cluster, 503, "p", &body).await;
    let decision = &cluster.decisions("entry-0", "room_refused")[0];
    assert_eq!(decision["job"], refused.as_str());
    assert!(decision["expected"].as_u64() > decision["budget"].as_u64(), "{decision}");
    let seconds = decision["retry_after"].as_u64().unwrap();
    assert!((1..=30).contains(&seconds), "{decision}");
    let causes = cluster.decisions("entry-0", "job_refused");
    assert_eq!(causes[0]["cause"], "no room in time");
    assert!(is_stored(&cluster, "backlog") && !is_stored(&cluster, &refused));
    let path = format!("/q/{refused}");
    assert_eq!(cluster.call("GET", 0, &path, Value::Null).await.0, 410, "{}", cluster.logs());
    // A job that is known is never refused.
    assert_eq!(cluster.call("POST", 0, "/q/backlog", body.clone()).await.0, 200);
    assert_eq!(cluster.call("DELETE", 0, "/q/backlog", Value::Null).await.0, 200);
    let deadline = Instant::now() + DECISION_TIMEOUT;
    while cluster.call("POST", 0, &path, body.clone()).await.0 != 200 {
        assert!(Instant::now() < deadline, "still refused\n{}", cluster.logs());
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    cluster.await_state(&refused, "completed").await;
    cluster.check();
}
