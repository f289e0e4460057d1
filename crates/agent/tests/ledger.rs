//! The claim table: at most one delivery of each claim, and none after a fence.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use cactusdoor_agent::claims::{ClaimId, ClaimLimits, ClaimTable};
use cactusdoor_core::claim::{ClaimOutcome, RequestKey, StoredAnswer};
use cactusdoor_core::constants::{KEY_LIFETIME, MAX_STORED_ANSWER_BYTES};
use cactusdoor_core::unit::Offset;
use cactusdoor_peer::answer::{ClaimFence, DeliveryFailure, FenceReply};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::{INCARNATION, T0};

const LIMITS: ClaimLimits = ClaimLimits { claims: 16, answer_bytes: 10_000 };

fn table() -> ClaimTable {
    ClaimTable::new(INCARNATION, LIMITS)
}

fn id(key: u64, claim: Offset) -> ClaimId {
    let key = RequestKey { plan: "plan".parse().unwrap(), key: format!("k{key}").parse().unwrap() };
    ClaimId { key, claim }
}

fn fence(id: &ClaimId) -> ClaimFence {
    ClaimFence { key: id.key.clone(), claim: id.claim, agent_incarnation: INCARNATION }
}

fn done(bytes: usize) -> ClaimOutcome {
    let body = Some(vec![7; bytes]);
    ClaimOutcome::Done(StoredAnswer { status: 200, length: bytes as u64, digest: 1, body })
}

fn deliver(table: &mut ClaimTable, id: &ClaimId, outcome: ClaimOutcome) {
    table.accept(T0, id, INCARNATION).unwrap();
    assert!(table.begin_send(id));
    table.record_outcome(id, outcome);
}

/// Guards against running a request twice when an entry repeats its delivery.
#[test]
fn claim_is_delivered_once() {
    let mut table = table();
    let id = id(1, 5);
    table.accept(T0, &id, INCARNATION).unwrap();
    let refusal = Err(DeliveryFailure::DeliveredBefore);
    assert_eq!(table.accept(T0, &id, INCARNATION), refusal);
    assert!(table.begin_send(&id));
    assert!(!table.begin_send(&id));
    table.record_outcome(&id, done(10));
    assert_eq!(table.accept(T0, &id, INCARNATION), refusal);
    assert_eq!(table.fence(T0, &fence(&id)), FenceReply::Ended(done(10)));
}

/// Guards against a delivery that arrives after its claim was fenced.
#[test]
fn fence_forbids_a_late_delivery() {
    let mut table = table();
    let id = id(1, 5);
    assert_eq!(table.fence(T0, &fence(&id)), FenceReply::Fenced);
    assert_eq!(table.accept(T0, &id, INCARNATION), Err(DeliveryFailure::Fenced));
}

/// Guards against sending a request that was fenced while it waited for a slot.
#[test]
fn fence_prevents_a_waiting_delivery() {
    let mut table = table();
    let id = id(1, 5);
    table.accept(T0, &id, INCARNATION).unwrap();
    assert_eq!(table.fence(T0, &fence(&id)), FenceReply::Fenced);
    assert!(!table.begin_send(&id));
}

/// Guards against "fenced" for a request that was sent to the upstream.
#[test]
fn fence_of_a_sent_claim_reports_its_progress() {
    let mut table = table();
    let id = id(1, 5);
    table.accept(T0, &id, INCARNATION).unwrap();
    assert!(table.begin_send(&id));
    assert_eq!(table.fence(T0, &fence(&id)), FenceReply::InProgress);
    table.record_outcome(&id, ClaimOutcome::Unknown);
    assert_eq!(table.fence(T0, &fence(&id)), FenceReply::Ended(ClaimOutcome::Unknown));
}

/// Guards against a restarted agent that delivers or fences claims sent to its earlier
/// incarnation.
#[test]
fn claims_of_another_incarnation_are_refused() {
    let mut table = table();
    let id = id(1, 5);
    let refusal = Err(DeliveryFailure::OtherIncarnation);
    assert_eq!(table.accept(T0, &id, INCARNATION + 1), refusal);
    let other = ClaimFence { agent_incarnation: INCARNATION + 1, ..fence(&id) };
    assert_eq!(table.fence(T0, &other), FenceReply::OtherIncarnation);
    assert_eq!(table.accept(T0, &id, INCARNATION), Ok(()));
}

/// Guards against running a request after its delivery was refused.
#[test]
fn refused_claim_is_never_delivered() {
    let mut table = table();
    let id = id(1, 5);
    table.accept(T0, &id, INCARNATION).unwrap();
    table.refuse(&id);
    assert!(!table.begin_send(&id));
    assert_eq!(table.accept(T0, &id, INCARNATION), Err(DeliveryFailure::Fenced));
}

/// Guards against outcomes that are dropped before the lifetime of their key ends.
#[test]
fn outcomes_are_kept_for_the_lifetime_of_the_key() {
    let mut table = table();
    let id = id(1, 5);
    deliver(&mut table, &id, done(10));
    let last = T0.after(KEY_LIFETIME - 1);
    assert_eq!(table.fence(last, &fence(&id)), FenceReply::Ended(done(10)));
    let over = T0.after(KEY_LIFETIME);
    let unknown = FenceReply::Ended(ClaimOutcome::Unknown);
    assert_eq!(table.fence(over, &fence(&id)), unknown);
    assert!(table.is_empty());
}

/// Guards against memory that grows with the number of requests, and against a second
/// delivery of a claim that was dropped to stay within the limit.
#[test]
fn dropped_claims_are_not_delivered_again() {
    let mut table = table();
    let ids: Vec<ClaimId> = (0..100).map(|claim| id(claim, claim)).collect();
    for id in &ids {
        deliver(&mut table, id, ClaimOutcome::NotRun);
    }
    assert_eq!(table.len(), LIMITS.claims);
    let refusal = Err(DeliveryFailure::DeliveredBefore);
    for id in &ids {
        assert_eq!(table.accept(T0, id, INCARNATION), refusal);
        assert_ne!(table.fence(T0, &fence(id)), FenceReply::Fenced);
    }
}

/// Guards against stored answers that fill the memory.
#[test]
fn stored_answers_stay_within_their_limit() {
    let mut table = table();
    for claim in 0..12 {
        deliver(&mut table, &id(claim, claim), done(1_000));
    }
    assert_eq!(table.answer_bytes(), LIMITS.answer_bytes);
    let FenceReply::Ended(ClaimOutcome::Done(oldest)) = table.fence(T0, &fence(&id(0, 0))) else {
        panic!("outcome is lost with its answer")
    };
    assert_eq!((oldest.body, oldest.length, oldest.digest), (None, 1_000, 1));
    let large = id(20, 20);
    deliver(&mut table, &large, done(MAX_STORED_ANSWER_BYTES + 1));
    assert_eq!(table.answer_bytes(), LIMITS.answer_bytes);
}

#[derive(Clone, Debug)]
enum Step {
    Accept(u64),
    Send(u64),
    Refuse(u64),
    End(u64),
    Fence(u64),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let claim = 0..40_u64;
    let step = prop_oneof![
        4 => claim.clone().prop_map(Step::Accept),
        4 => claim.clone().prop_map(Step::Send),
        1 => claim.clone().prop_map(Step::Refuse),
        2 => claim.clone().prop_map(Step::End),
        2 => claim.prop_map(Step::Fence),
        1 => (0..KEY_LIFETIME / 4).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..200)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a claim that is sent twice or after "fenced", and against "fenced"
    /// for a claim that was sent. There are more claims than the table remembers.
    #[test]
    fn claims_are_sent_at_most_once_and_never_after_a_fence(steps in steps()) {
        let mut table = table();
        let mut now = T0;
        let mut sent = BTreeMap::<u64, u32>::new();
        let mut fenced = BTreeSet::new();
        for step in steps {
            match step {
                Step::Accept(claim) => {
                    let _ = table.accept(now, &id(claim, claim), INCARNATION);
                }
                Step::Send(claim) => {
                    if table.begin_send(&id(claim, claim)) {
                        *sent.entry(claim).or_default() += 1;
                        prop_assert_eq!(sent[&claim], 1);
                        prop_assert!(!fenced.contains(&claim), "sent after a fence");
                    }
                }
                // A sent claim is refused only if no byte of it was sent, so not here.
                Step::Refuse(claim) if !sent.contains_key(&claim) => {
                    table.refuse(&id(claim, claim));
                }
                Step::Refuse(_) => {}
                Step::End(claim) => table.record_outcome(&id(claim, claim), done(2_000)),
                Step::Fence(claim) => {
                    if table.fence(now, &fence(&id(claim, claim))) == FenceReply::Fenced {
                        prop_assert!(!sent.contains_key(&claim), "fenced after it was sent");
                        fenced.insert(claim);
                    }
                }
                Step::Wait(time) => now = now.after(time),
            }
            prop_assert!(table.answer_bytes() <= LIMITS.answer_bytes);
        }
    }
}
