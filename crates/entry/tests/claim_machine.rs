//! The state machine of a binding request: all sequences of results up to a depth,
//! without I/O.

use assert_matches::assert_matches;
use cactusdoor_core::claim::{ClaimOutcome, StoredAnswer};
use cactusdoor_core::name::VmName;
use cactusdoor_entry::binding::{
    ClaimAction, ClaimAnswer, ClaimInput, ClaimMachine, ClaimView, DeliveryResult,
};
use cactusdoor_peer::answer::FenceReply;

const DIGEST: u64 = 5;

fn done() -> ClaimOutcome {
    ClaimOutcome::Done(StoredAnswer { status: 200, length: 0, digest: 0, body: None })
}

fn view(claim: u64, digest: u64, outcome: Option<ClaimOutcome>) -> ClaimView {
    ClaimView {
        claim,
        request_digest: digest,
        agent: VmName::new("vm1").unwrap(),
        agent_incarnation: 1,
        claimed_unix_ms: 0,
        outcome,
    }
}

/// Every result that `action` may have.
fn results(action: &ClaimAction) -> Vec<ClaimInput> {
    let open = || ClaimInput::ClaimRead(Some(view(1, DIGEST, None)));
    let settled = |outcome| ClaimInput::ClaimRead(Some(view(1, DIGEST, Some(outcome))));
    match action {
        ClaimAction::ReadClaim => vec![
            ClaimInput::ClaimRead(None),
            ClaimInput::NotLoaded,
            open(),
            settled(done()),
            settled(ClaimOutcome::NotRun),
            settled(ClaimOutcome::Unknown),
            ClaimInput::ClaimRead(Some(view(1, DIGEST + 1, None))),
        ],
        ClaimAction::AppendClaim => vec![
            ClaimInput::Won { claim: 1, late: false },
            ClaimInput::Won { claim: 1, late: true },
            ClaimInput::Lost,
            ClaimInput::NotClaimed,
        ],
        ClaimAction::Deliver { .. } => [
            DeliveryResult::Answered(done()),
            DeliveryResult::NotDelivered,
            DeliveryResult::Unknown,
            DeliveryResult::Unresolved,
        ]
        .map(ClaimInput::Delivered)
        .to_vec(),
        ClaimAction::AwaitOutcome { view } => {
            vec![settled(done()), ClaimInput::HolderTimedOut(view.clone()), ClaimInput::NotLoaded]
        }
        ClaimAction::Fence { .. } => vec![
            ClaimInput::FenceAnswered(FenceReply::Fenced),
            ClaimInput::FenceAnswered(FenceReply::InProgress),
            ClaimInput::FenceAnswered(FenceReply::Ended(done())),
            ClaimInput::FenceAnswered(FenceReply::OtherIncarnation),
            ClaimInput::FenceFailed { given_up: false },
            ClaimInput::FenceFailed { given_up: true },
        ],
        ClaimAction::Pause | ClaimAction::PauseSettle { .. } => vec![ClaimInput::Resumed],
        ClaimAction::Settle { .. } => vec![
            ClaimInput::Settled,
            ClaimInput::NotSettled { given_up: false },
            ClaimInput::NotSettled { given_up: true },
        ],
        ClaimAction::Answer(_) => Vec::new(),
    }
}

type Step = (ClaimAction, ClaimInput);

fn explore(machine: ClaimMachine, action: ClaimAction, path: &mut Vec<Step>, depth: u32) -> u64 {
    check(&action, path);
    if depth == 0 {
        return 1;
    }
    let mut paths = 0;
    for input in results(&action) {
        let mut machine = machine.clone();
        path.push((action.clone(), input.clone()));
        let next = machine.step(input);
        paths += explore(machine, next, path, depth - 1);
        path.pop();
    }
    paths.max(1)
}

fn check(action: &ClaimAction, path: &[Step]) {
    let earlier = |wanted: fn(&ClaimAction) -> bool| path.iter().any(|(done, _)| wanted(done));
    match action {
        ClaimAction::Deliver { .. } => {
            assert!(!earlier(|a| matches!(a, ClaimAction::Deliver { .. })), "{path:?}");
            let last = &path.last().unwrap().1;
            assert_eq!(*last, ClaimInput::Won { claim: 1, late: false }, "{path:?}");
        }
        ClaimAction::AppendClaim => {
            assert!(!earlier(|a| matches!(a, ClaimAction::AppendClaim)), "{path:?}");
        }
        ClaimAction::Settle { outcome: ClaimOutcome::NotRun, .. } => {
            let reasons = [
                ClaimInput::Won { claim: 1, late: true },
                ClaimInput::Delivered(DeliveryResult::NotDelivered),
                ClaimInput::FenceAnswered(FenceReply::Fenced),
            ];
            assert!(path.iter().any(|(_, input)| reasons.contains(input)), "{path:?}");
        }
        ClaimAction::Answer(ClaimAnswer::Outcome(outcome)) => {
            // Only an outcome read from the fold is final.
            assert_matches!(&path.last().unwrap().1, ClaimInput::ClaimRead(Some(view)) => {
                assert_eq!(view.outcome.as_ref(), Some(outcome), "{path:?}");
            });
        }
        _ => {}
    }
}

/// Guards against a second delivery, a delivery without an accepted claim, a claim
/// settled as "not run" that may have been delivered, and an outcome that the log has
/// not stored.
#[test]
fn no_sequence_delivers_twice_or_answers_without_a_stored_outcome() {
    let machine = ClaimMachine::new(DIGEST);
    let start = machine.start();
    let paths = explore(machine, start, &mut Vec::new(), 20);
    assert!(paths > 10_000, "{paths}");
}

/// Guards against delivering a request whose caller was already answered "unknown".
#[test]
fn late_claim_is_settled_without_delivery() {
    let mut machine = ClaimMachine::new(DIGEST);
    assert_eq!(machine.step(ClaimInput::ClaimRead(None)), ClaimAction::AppendClaim);
    let action = machine.step(ClaimInput::Won { claim: 4, late: true });
    assert_eq!(action, ClaimAction::Settle { claim: 4, outcome: ClaimOutcome::NotRun });
}

/// Guards against a holder that waits for its own claim after the delivery broke off.
#[test]
fn holder_fences_its_claim_after_an_unresolved_delivery() {
    let mut machine = ClaimMachine::new(DIGEST);
    machine.step(ClaimInput::ClaimRead(None));
    machine.step(ClaimInput::Won { claim: 4, late: false });
    assert_eq!(
        machine.step(ClaimInput::Delivered(DeliveryResult::Unresolved)),
        ClaimAction::ReadClaim
    );
    let open = view(4, DIGEST, None);
    let action = machine.step(ClaimInput::ClaimRead(Some(open.clone())));
    assert_eq!(action, ClaimAction::Fence { view: open });
}
