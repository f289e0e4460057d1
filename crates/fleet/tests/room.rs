//! Jobs that an entry refuses for lack of room.

mod support;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use cactusdoor_core::unit::Moment;
use cactusdoor_fleet::room::{owner_wait, retry_seconds};
use cactusdoor_fleet::watcher::JobStates;
use cactusdoor_queue::backlog::{
    Admission, Backlog, ClassWork, ServiceBacklog, TimedWork, size_class,
};
use cactusdoor_queue::config::{QueueConfig, QueueTerms};
use cactusdoor_queue::spec::JobSpec;
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

/// Guards against a time outside of what callers are promised.
#[test]
fn callers_are_told_whole_seconds_from_1_to_30() {
    for retry_after in [0, 1, 999, 1_000, 1_001, 7_300, 20_000, u64::MAX] {
        let seconds: Vec<_> = (0..=50).map(|jitter| retry_seconds(retry_after, jitter)).collect();
        assert!(seconds.iter().all(|seconds| (1..=30).contains(seconds)), "{seconds:?}");
        assert!(seconds.is_sorted());
    }
    assert_eq!([0, 25, 50].map(|jitter| retry_seconds(20_000, jitter)), [20, 25, 30]);
}

/// Guards against callers that come back in the same second: whole seconds spread short times only
/// if each of them is as likely as the others.
#[test]
fn short_times_are_spread_too() {
    for (retry_after, expected) in [(1_000, 1..=2), (1_400, 2..=3), (4_000, 4..=6)] {
        let mut counts = BTreeMap::new();
        for jitter in 0..=50 {
            *counts.entry(retry_seconds(retry_after, jitter)).or_insert(0) += 1;
        }
        assert!(counts.keys().copied().eq(expected), "{retry_after}: {counts:?}");
        assert!(counts.values().all(|count| *count >= 15), "{retry_after}: {counts:?}");
    }
}

/// Guards against a wait for the owner that leaves no time to store the job.
#[test]
fn half_of_a_callers_time_remains_to_store_the_job() {
    let wait = |millis| owner_wait(Duration::from_millis(millis)).as_millis();
    assert_eq!([0, 300, 2_000, 60_000].map(wait), [0, 150, 1_000, 1_000]);
}

/// Guards against the refusal of a job that is stored, or may be without a verdict, and runs.
#[test]
fn a_job_that_this_entry_tried_to_store_may_run() {
    let states = JobStates::default();
    assert!(!states.may_run(&"a".into()));
    states.attempt(&"a".into());
    states.accept(&"b".into());
    assert!(states.may_run(&"a".into()) && states.may_run(&"b".into()));
    assert!(!states.may_run(&"c".into()));
}

/// Guards against a burst between two backlogs, and against decisions on an old backlog.
#[test]
fn accepted_jobs_count_until_the_next_backlog() {
    let states = JobStates::default();
    let terms = QueueTerms { priority: 0, attempts: 3, slack_factor: 2.0, slack_base: 0 };
    let queue = QueueConfig::of_removed(&"q".into(), &"minutes".into(), terms);
    let step = json!({"tasks": 50, "need": {"cpu": 1000, "memory": 1, "accelerators": 0},
        "estimate": 1000, "fills": true});
    let spec = json!({"queue": "q", "service": "minutes", "payload": "", "steps": [step],
        "accepted": 0});
    let spec: JobSpec = serde_json::from_value(spec).unwrap();
    let in_time = TimedWork { work: 1, remaining: 1 };
    let class = ClassWork { priority: 0, size: size_class(50_000), in_time, ..<_>::default() };
    let service = ServiceBacklog {
        service: "minutes".into(),
        rate: Some(5_000),
        work: Vec::new(),
        classes: vec![class],
    };
    let backlog = Backlog { ordered: false, services: vec![service] };
    let decide = |now| states.admit(&spec, &queue, Moment(now));
    states.set_backlog(Some(backlog.clone()), Moment(1_000));
    assert_eq!(decide(1_100), (Admission::Accept, 100));
    assert!(matches!(decide(1_200), (Admission::Refuse(_), 200)));
    assert_eq!(decide(3_001).0, Admission::Accept);
    states.set_backlog(Some(backlog), Moment(4_000));
    assert_eq!(decide(4_000), (Admission::Accept, 0));
    states.set_backlog(None, Moment(4_500));
    assert_eq!(decide(4_500).0, Admission::Accept);
}
