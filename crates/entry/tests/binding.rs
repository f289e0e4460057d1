//! Binding requests through a running entry: a key runs at most once, and its outcome is final.

mod support;

use cactusdoor_core::claim::{ClaimRecord, ClaimSpec, RequestKey};
use cactusdoor_core::envelope::{LogEnvelope, WriterId};
use cactusdoor_core::name::{IdempotencyKey, PlanName, ProcessName};
use cactusdoor_core::rendezvous::claim_stream;
use cactusdoor_node::clock::unix_ms;
use cactusdoor_peer::answer::CallRefusal;
use support::agent::{Behaviour, FakeAgent};
use support::entry::TestEntry;
use support::eventually;
use support::log::FakeLog;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Deadline in ms that no test reaches.
const LONG_DEADLINE_MS: u64 = 30_000;

async fn start() -> (FakeLog, FakeAgent, TestEntry) {
    let log = FakeLog::open();
    let agent = FakeAgent::open("vm1").await;
    let entry = TestEntry::open("entry1", &log, &[]).await;
    entry.publish_plan().await;
    entry.list_members(1, vec![agent.member("dc1")]).await;
    (log, agent, entry)
}

fn stream(key: &str) -> String {
    format!("claims-{}", claim_stream("koperasi", key))
}

/// Stores a claim of another entry that never delivers or settles it.
fn abandon_claim(log: &FakeLog, key: &str, body: &[u8], incarnation: u64, claimed_unix_ms: u64) {
    let key_name = RequestKey {
        plan: PlanName::new("koperasi").unwrap(),
        key: IdempotencyKey::new(key).unwrap(),
    };
    let spec = ClaimSpec {
        key: key_name,
        request_digest: xxh3_64_with_seed(body, xxh3_64(b"minutes")),
        agent: cactusdoor_core::name::VmName::new("vm1").unwrap(),
        agent_incarnation: incarnation,
        claimed_unix_ms,
    };
    let writer = WriterId { process: ProcessName::new("entry9").unwrap(), incarnation: 9 };
    let record = LogEnvelope { writer, sequence: 1, body: ClaimRecord::Claimed(spec) };
    log.state().push(&stream(key), record.encode().unwrap());
}

/// Waits until the entry has read the claim of `key`, by sending a later request
/// on the same claim stream.
async fn wait_folded(entry: &TestEntry, key: &str) {
    let probes = (0..).map(|number| format!("probe-{number}"));
    let probe = probes.into_iter().find(|probe| stream(probe) == stream(key)).unwrap();
    assert_eq!(entry.binding(&probe, b"record", LONG_DEADLINE_MS).await.status, 200);
}

/// Guards against a repeated claim or delivery when the log stores the claim but
/// its answer is lost.
#[actix::test]
async fn request_runs_once_when_the_answer_to_its_claim_is_lost() {
    let (log, agent, entry) = start().await;
    log.state().lose_answers.insert(stream("k1"), 1);
    let reply = entry.binding("k1", b"record", LONG_DEADLINE_MS).await;
    assert_eq!(reply.status, 200, "{}", String::from_utf8_lossy(&reply.body));
    assert_eq!(agent.runs(), ["koperasi/k1"]);
}

/// Guards against a final outcome for a claim that the log never stored: the
/// caller may send the same key again.
#[actix::test]
async fn key_can_be_sent_again_after_its_claim_was_lost() {
    let (log, agent, entry) = start().await;
    log.state().lose_appends.insert(stream("k1"), 1);
    let reply = entry.binding("k1", b"record", LONG_DEADLINE_MS).await;
    assert_eq!(reply.status, 503);
    assert_eq!((&*reply.error("outcome"), &*reply.error("retry")), ("unknown", "same_key"));
    assert!(agent.runs().is_empty());
    assert_eq!(entry.binding("k1", b"record", LONG_DEADLINE_MS).await.status, 200);
    assert_eq!(agent.runs(), ["koperasi/k1"]);
}

/// Guards against a "not run" answer, and against a delivery, while the log is down.
#[actix::test]
async fn request_is_undecided_during_a_log_outage() {
    let (log, agent, entry) = start().await;
    log.state().down = true;
    let reply = entry.binding("k1", b"record", LONG_DEADLINE_MS).await;
    assert_eq!(reply.status, 503);
    assert_eq!((&*reply.error("outcome"), &*reply.error("retry")), ("unknown", "same_key"));
    assert!(agent.runs().is_empty());
    log.state().down = false;
    assert_eq!(entry.binding("k1", b"record", LONG_DEADLINE_MS).await.status, 200);
}

/// Guards against a delivery after the caller was answered "unknown" because the log
/// stored the claim late.
#[actix::test]
async fn claim_stored_after_the_deadline_is_not_delivered() {
    let (log, agent, entry) = start().await;
    log.state().stall = Some(stream("k1"));
    let reply = entry.binding("k1", b"record", 50).await;
    assert_eq!(reply.status, 504);
    assert_eq!((&*reply.error("outcome"), &*reply.error("retry")), ("unknown", "same_key"));
    log.state().stall = None;
    let reply = entry.binding("k1", b"record", LONG_DEADLINE_MS).await;
    assert_eq!(reply.error("outcome"), "not_run", "{}", String::from_utf8_lossy(&reply.body));
    assert!(agent.runs().is_empty());
}

/// Guards against a claim that is still queued at its deadline and uses up its
/// key when the log answers again.
#[actix::test]
async fn claim_queued_past_the_deadline_is_not_stored() {
    let (log, agent, entry) = start().await;
    let keys = (0..).map(|number| format!("other-{number}"));
    let other = keys.into_iter().find(|key| stream(key) == stream("k1")).unwrap();
    log.state().stall = Some(stream("k1"));
    let stalled = entry.binding(&other, b"record", LONG_DEADLINE_MS);
    let queued = async {
        eventually("stalled append", async || (log.state().stalled > 0).then_some(())).await;
        let reply = entry.binding("k1", b"record", 50).await;
        assert_eq!((reply.status, &*reply.error("retry")), (504, "same_key"));
        log.state().stall = None;
    };
    let (reply, ()) = futures::join!(stalled, queued);
    assert_eq!(reply.status, 200);
    assert_eq!(entry.binding("k1", b"record", LONG_DEADLINE_MS).await.status, 200);
    assert_eq!(agent.runs().len(), 2);
}

/// Guards against two runs of a key that two entries receive at the same time.
#[actix::test]
async fn two_entries_run_one_key_once() {
    let (log, agent, first) = start().await;
    let second = TestEntry::open("entry2", &log, &[]).await;
    second.list_members(1, vec![agent.member("dc1")]).await;
    for round in 0..10 {
        let key = format!("k{round}");
        let (one, other) = futures::join!(
            first.binding(&key, b"record", LONG_DEADLINE_MS),
            second.binding(&key, b"record", LONG_DEADLINE_MS)
        );
        assert_eq!((one.status, other.status), (200, 200), "{key}");
        assert_eq!(one.body, other.body);
    }
    assert_eq!(agent.runs().len(), 10);
}

/// Guards against two runs of a key that one entry receives several times at once.
#[actix::test]
async fn concurrent_repeats_run_once() {
    let (_log, agent, entry) = start().await;
    let repeats = (0..8).map(|_| entry.binding("k1", b"record", LONG_DEADLINE_MS));
    let replies = futures::future::join_all(repeats).await;
    assert!(replies.iter().all(|reply| reply.status == 200));
    assert_eq!(agent.runs(), ["koperasi/k1"]);
}

/// Guards against running a different request under a key that was already used.
#[actix::test]
async fn key_of_another_request_is_a_conflict() {
    let (_log, agent, entry) = start().await;
    assert_eq!(entry.binding("k1", b"record", LONG_DEADLINE_MS).await.status, 200);
    let reply = entry.binding("k1", b"other", LONG_DEADLINE_MS).await;
    assert_eq!((reply.status, &*reply.error("code")), (409, "key_conflict"));
    assert_eq!(reply.error("outcome"), "unknown");
    assert_eq!(agent.runs(), ["koperasi/k1"]);
}

/// Guards against running a key after its caller was answered "not run".
#[actix::test]
async fn not_run_outcome_is_final() {
    let (_log, agent, entry) = start().await;
    agent.set_behaviour(Behaviour::Refuse(CallRefusal::ConnectionRefused));
    let reply = entry.binding("k1", b"record", LONG_DEADLINE_MS).await;
    assert_eq!((reply.status, &*reply.error("outcome")), (503, "not_run"));
    agent.set_behaviour(Behaviour::Echo);
    let reply = entry.binding("k1", b"record", LONG_DEADLINE_MS).await;
    assert_eq!((reply.status, &*reply.error("outcome")), (503, "not_run"));
    assert!(agent.runs().is_empty());
}

/// Guards against passing on answers of other attempts and incomplete or corrupt
/// ones: the entry asks the agent for the outcome and doesn't send the request again.
#[actix::test]
async fn outcome_is_fetched_when_the_answer_is_corrupt() {
    let (_log, agent, entry) = start().await;
    let corrupt = [Behaviour::OtherRequest, Behaviour::Partial, Behaviour::Corrupted];
    for (round, behaviour) in corrupt.into_iter().enumerate() {
        agent.set_behaviour(behaviour);
        let reply = entry.binding(&format!("k{round}"), b"record", LONG_DEADLINE_MS).await;
        assert_eq!((reply.status, &*reply.body), (200, &b"echo:record"[..]), "{behaviour:?}");
        assert_eq!(agent.runs().len(), round + 1);
        assert_eq!(agent.fences() as usize, round + 1);
    }
}

/// Guards against settling an incomplete answer that the agent returns as the
/// outcome of the claim.
#[actix::test]
async fn partial_outcome_is_not_settled() {
    let (_log, agent, entry) = start().await;
    agent.set_behaviour(Behaviour::PartialOutcome);
    let reply = entry.binding("k1", b"record", 300).await;
    assert_eq!((reply.status, &*reply.error("retry")), (504, "same_key"));
    assert!(agent.fences() > 0);
    assert_eq!(agent.runs(), ["koperasi/k1"]);
}

/// Guards against a key that stays undecided because the entry that claimed it
/// stopped before the delivery.
#[actix::test]
async fn abandoned_claim_is_fenced_and_settled() {
    let (log, agent, entry) = start().await;
    abandon_claim(&log, "k1", b"record", 77, unix_ms() - LONG_DEADLINE_MS);
    wait_folded(&entry, "k1").await;
    let runs = agent.runs().len();
    let reply = entry.binding("k1", b"record", LONG_DEADLINE_MS).await;
    assert_eq!(reply.error("outcome"), "not_run");
    assert_eq!((agent.fences(), agent.runs().len()), (1, runs));
}

/// Guards against fencing a claim while its holder may still deliver it.
#[actix::test]
async fn entry_waits_for_a_recent_claim_of_another_entry() {
    let (log, agent, entry) = start().await;
    // The holder's clock is an hour ahead, so the claim stays recent.
    abandon_claim(&log, "k1", b"record", 77, unix_ms() + 3_600_000);
    wait_folded(&entry, "k1").await;
    let reply = entry.binding("k1", b"record", 60).await;
    assert_eq!((reply.status, &*reply.error("retry")), (504, "same_key"));
    // The entry settles the claim in the background after the deadline.
    let settled = async || {
        let reply = entry.binding("k1", b"record", 1_000).await;
        (reply.error("outcome") == "not_run").then_some(())
    };
    eventually("settled key", settled).await;
    assert!(!agent.runs().contains(&"koperasi/k1".to_owned()));
}

/// Guards against a "not run" answer for a claim whose agent has restarted: its
/// earlier incarnation may have delivered the request.
#[actix::test]
async fn outcome_of_a_claim_for_an_earlier_incarnation_is_unknown() {
    let (log, agent, entry) = start().await;
    abandon_claim(&log, "k1", b"record", 76, unix_ms() - LONG_DEADLINE_MS);
    wait_folded(&entry, "k1").await;
    let reply = entry.binding("k1", b"record", LONG_DEADLINE_MS).await;
    assert_eq!((&*reply.error("outcome"), &*reply.error("retry")), ("unknown", "never"));
    assert!(!agent.runs().contains(&"koperasi/k1".to_owned()));
}

/// Guards against a second run when the upstream ran the request but the agent's
/// answer never arrived.
#[actix::test]
async fn request_runs_once_when_the_agent_answer_is_lost() {
    let (_log, agent, entry) = start().await;
    agent.set_behaviour(Behaviour::RunAndHang);
    let reply = entry.binding("k1", b"record", 50).await;
    assert_eq!((reply.status, &*reply.error("retry")), (504, "same_key"));
    let reply = entry.binding("k1", b"record", LONG_DEADLINE_MS).await;
    assert_eq!((reply.status, &*reply.body), (200, &b"echo:record"[..]));
    assert_eq!(agent.runs(), ["koperasi/k1"]);
}

/// Guards against answering with an outcome that the log has not stored: during an
/// outage the request stays undecided, and the outcome is settled afterwards.
#[actix::test]
async fn outcome_is_settled_after_a_log_outage() {
    let (log, agent, entry) = start().await;
    agent.set_behaviour(Behaviour::Slow(300));
    let outage = async {
        eventually("delivery", async || (agent.known_claims() > 0).then_some(())).await;
        log.state().down = true;
    };
    let (reply, ()) = futures::join!(entry.binding("k1", b"record", 1_000), outage);
    assert_eq!((reply.status, &*reply.error("retry")), (504, "same_key"));
    log.state().down = false;
    agent.set_behaviour(Behaviour::Echo);
    let reply = entry.binding("k1", b"record", LONG_DEADLINE_MS).await;
    assert_eq!(reply.status, 200, "{}", String::from_utf8_lossy(&reply.body));
    assert_eq!(agent.runs(), ["koperasi/k1"]);
}

/// Guards against losing an answer too large to store: the waiting caller gets the
/// whole body, and later callers get its length and digest.
#[actix::test]
async fn large_answers_are_stored_by_length_and_digest() {
    let (_log, _agent, entry) = start().await;
    let body = vec![7; 100_000];
    let reply = entry.binding("k1", &body, LONG_DEADLINE_MS).await;
    assert_eq!((reply.status, reply.body.len()), (200, 100_005));
    let again = entry.binding("k1", &body, LONG_DEADLINE_MS).await;
    assert_eq!((again.status, again.body.len()), (200, 0));
    assert_eq!((again.length, again.digest), (reply.length, reply.digest));
}
