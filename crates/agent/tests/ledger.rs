//! Claims of binding requests: at most one delivery, none after a fence.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use cactusdoor_agent::ledger::{ClaimId, ClaimLedger, LedgerLimits};
use cactusdoor_core::claim::{ClaimOutcome, RequestKey, StoredAnswer};
use cactusdoor_core::constants::{KEY_LIFETIME, MAX_STORED_ANSWER_BYTES};
use cactusdoor_core::unit::Offset;
use cactusdoor_peer::answer::{ClaimFence, DeliveryFailure, FenceReply};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::{INCARNATION, T0};

const LIMITS: LedgerLimits = LedgerLimits { claims: 16, answer_bytes: 10_000 };

fn ledger() -> ClaimLedger {
    ClaimLedger::new(INCARNATION, LIMITS)
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

fn deliver(ledger: &mut ClaimLedger, id: &ClaimId, outcome: ClaimOutcome) {
    ledger.accept(T0, id, INCARNATION).unwrap();
    assert!(ledger.send(id));
    ledger.end(id, outcome);
}

/// Guards against a second run when an entry repeats a delivery.
#[test]
fn claim_is_delivered_once() {
    let mut ledger = ledger();
    let id = id(1, 5);
    ledger.accept(T0, &id, INCARNATION).unwrap();
    let refusal = Err(DeliveryFailure::DeliveredBefore);
    assert_eq!(ledger.accept(T0, &id, INCARNATION), refusal);
    assert!(ledger.send(&id));
    assert!(!ledger.send(&id));
    ledger.end(&id, done(10));
    assert_eq!(ledger.accept(T0, &id, INCARNATION), refusal);
    assert_eq!(ledger.fence(T0, &fence(&id)), FenceReply::Ended(done(10)));
}

/// Guards against a delivery that arrives after its claim was fenced.
#[test]
fn fence_forbids_a_late_delivery() {
    let mut ledger = ledger();
    let id = id(1, 5);
    assert_eq!(ledger.fence(T0, &fence(&id)), FenceReply::Fenced);
    assert_eq!(ledger.accept(T0, &id, INCARNATION), Err(DeliveryFailure::Fenced));
}

/// Guards against a request that is sent after its fence while it waited for a slot.
#[test]
fn fence_reaches_a_waiting_delivery() {
    let mut ledger = ledger();
    let id = id(1, 5);
    ledger.accept(T0, &id, INCARNATION).unwrap();
    assert_eq!(ledger.fence(T0, &fence(&id)), FenceReply::Fenced);
    assert!(!ledger.send(&id));
}

/// Guards against "not run" for a request that is with the upstream.
#[test]
fn fence_of_a_sent_claim_is_refused() {
    let mut ledger = ledger();
    let id = id(1, 5);
    ledger.accept(T0, &id, INCARNATION).unwrap();
    assert!(ledger.send(&id));
    assert_eq!(ledger.fence(T0, &fence(&id)), FenceReply::InProgress);
    ledger.end(&id, ClaimOutcome::Unknown);
    assert_eq!(ledger.fence(T0, &fence(&id)), FenceReply::Ended(ClaimOutcome::Unknown));
}

/// Guards against a restarted agent that delivers or fences claims of its earlier run.
#[test]
fn claims_of_another_incarnation_are_refused() {
    let mut ledger = ledger();
    let id = id(1, 5);
    let refusal = Err(DeliveryFailure::OtherIncarnation);
    assert_eq!(ledger.accept(T0, &id, INCARNATION + 1), refusal);
    let other = ClaimFence { agent_incarnation: INCARNATION + 1, ..fence(&id) };
    assert_eq!(ledger.fence(T0, &other), FenceReply::OtherIncarnation);
    assert_eq!(ledger.accept(T0, &id, INCARNATION), Ok(()));
}

/// Guards against a request that was refused for want of a slot and runs later.
#[test]
fn refused_delivery_never_runs() {
    let mut ledger = ledger();
    let id = id(1, 5);
    ledger.accept(T0, &id, INCARNATION).unwrap();
    ledger.refuse(&id);
    assert!(!ledger.send(&id));
    assert_eq!(ledger.accept(T0, &id, INCARNATION), Err(DeliveryFailure::Fenced));
}

/// Guards against outcomes that are dropped before their key's lifetime ends.
#[test]
fn outcomes_are_kept_for_the_lifetime_of_the_key() {
    let mut ledger = ledger();
    let id = id(1, 5);
    deliver(&mut ledger, &id, done(10));
    let last = T0.after(KEY_LIFETIME - 1);
    assert_eq!(ledger.fence(last, &fence(&id)), FenceReply::Ended(done(10)));
    let over = T0.after(KEY_LIFETIME);
    let unknown = FenceReply::Ended(ClaimOutcome::Unknown);
    assert_eq!(ledger.fence(over, &fence(&id)), unknown);
    assert!(ledger.is_empty());
}

/// Guards against memory that grows with the number of requests, and against a
/// second delivery of a claim that was dropped to stay within the bound.
#[test]
fn dropped_claims_are_not_delivered_again() {
    let mut ledger = ledger();
    let ids: Vec<ClaimId> = (0..100).map(|claim| id(claim, claim)).collect();
    for id in &ids {
        deliver(&mut ledger, id, ClaimOutcome::NotRun);
    }
    assert_eq!(ledger.len(), LIMITS.claims);
    let refusal = Err(DeliveryFailure::DeliveredBefore);
    for id in &ids {
        assert_eq!(ledger.accept(T0, id, INCARNATION), refusal);
        assert_ne!(ledger.fence(T0, &fence(id)), FenceReply::Fenced);
    }
}

/// Guards against kept answers that fill the memory.
#[test]
fn kept_answers_stay_within_their_bound() {
    let mut ledger = ledger();
    for claim in 0..12 {
        deliver(&mut ledger, &id(claim, claim), done(1_000));
    }
    assert_eq!(ledger.answer_bytes(), LIMITS.answer_bytes);
    let FenceReply::Ended(ClaimOutcome::Done(oldest)) = ledger.fence(T0, &fence(&id(0, 0))) else {
        panic!("outcome is lost with its answer")
    };
    assert_eq!((oldest.body, oldest.length, oldest.digest), (None, 1_000, 1));
    let large = id(20, 20);
    deliver(&mut ledger, &large, done(MAX_STORED_ANSWER_BYTES + 1));
    assert_eq!(ledger.answer_bytes(), LIMITS.answer_bytes);
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

    /// Guards against a claim that is sent twice or after "fenced", and against
    /// "fenced" for a claim that was sent, with more claims than are remembered.
    #[test]
    fn at_most_one_delivery_and_none_after_a_fence(steps in steps()) {
        let mut ledger = ledger();
        let mut now = T0;
        let mut sent = BTreeMap::<u64, u32>::new();
        let mut fenced = BTreeSet::new();
        for step in steps {
            match step {
                Step::Accept(claim) => {
                    let _ = ledger.accept(now, &id(claim, claim), INCARNATION);
                }
                Step::Send(claim) => {
                    if ledger.send(&id(claim, claim)) {
                        *sent.entry(claim).or_default() += 1;
                        prop_assert_eq!(sent[&claim], 1);
                        prop_assert!(!fenced.contains(&claim), "sent after a fence");
                    }
                }
                // A claim that was sent is refused only if no byte left, so not here.
                Step::Refuse(claim) if !sent.contains_key(&claim) => {
                    ledger.refuse(&id(claim, claim));
                }
                Step::Refuse(_) => {}
                Step::End(claim) => ledger.end(&id(claim, claim), done(2_000)),
                Step::Fence(claim) => {
                    if ledger.fence(now, &fence(&id(claim, claim))) == FenceReply::Fenced {
                        prop_assert!(!sent.contains_key(&claim), "fenced after it was sent");
                        fenced.insert(claim);
                    }
                }
                Step::Wait(time) => now = now.after(time),
            }
            prop_assert!(ledger.answer_bytes() <= LIMITS.answer_bytes);
        }
    }
}
