//! Claims of binding requests that were addressed to this agent.
//!
//! A claim is delivered at most once, and never after it was fenced. Outcomes
//! are kept until the lifetime of the key has passed. Memory is bounded: beyond
//! the bound the oldest outcomes are dropped and a floor per claim stream takes
//! their place, below which nothing is delivered and outcomes are unknown.

use std::collections::{HashMap, VecDeque};

use cactusdoor_core::claim::{ClaimOutcome, RequestKey, StoredAnswer};
use cactusdoor_core::constants::{KEY_LIFETIME, MAX_STORED_ANSWER_BYTES};
use cactusdoor_core::rendezvous::claim_stream;
use cactusdoor_core::unit::{Incarnation, Moment, Offset};
use cactusdoor_peer::answer::{ClaimFence, DeliveryFailure, FenceReply};

/// Bounds of a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerLimits {
    /// Claims that are remembered one by one.
    pub claims: usize,
    /// Bytes of answers kept with outcomes.
    pub answer_bytes: usize,
}

/// A claim of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimId {
    pub key: RequestKey,
    /// Offset of the claim in its stream.
    pub claim: Offset,
}

impl ClaimId {
    fn stream(&self) -> u64 {
        claim_stream(self.key.plan.as_str(), self.key.key.as_str())
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum ClaimState {
    /// Accepted, not sent yet.
    Waiting,
    Sent,
    Ended(ClaimOutcome),
    /// Not delivered, and it never will be.
    Fenced,
}

#[derive(Clone, Debug)]
struct LedgerEntry {
    state: ClaimState,
    received: Moment,
}

impl LedgerEntry {
    fn is_open(&self) -> bool {
        matches!(self.state, ClaimState::Waiting | ClaimState::Sent)
    }

    fn answer_bytes(&self) -> usize {
        match &self.state {
            ClaimState::Ended(ClaimOutcome::Done(kept)) => kept.body.as_ref().map_or(0, Vec::len),
            _ => 0,
        }
    }
}

/// What this incarnation of the agent knows of claims.
#[derive(Clone, Debug)]
pub struct ClaimLedger {
    incarnation: Incarnation,
    limits: LedgerLimits,
    claims: HashMap<ClaimId, LedgerEntry>,
    /// Claims by age, the oldest first.
    order: VecDeque<ClaimId>,
    /// Claims with kept answers by age, the oldest first.
    answers: VecDeque<ClaimId>,
    answer_bytes: usize,
    /// By claim stream: claims below were dropped.
    floors: HashMap<u64, Offset>,
}

impl ClaimLedger {
    #[must_use]
    pub fn new(incarnation: Incarnation, limits: LedgerLimits) -> Self {
        Self {
            incarnation,
            limits,
            claims: HashMap::new(),
            order: VecDeque::new(),
            answers: VecDeque::new(),
            answer_bytes: 0,
            floors: HashMap::new(),
        }
    }

    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Bytes of answers kept with outcomes.
    #[must_use]
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Accepts a claim for delivery, once.
    pub fn accept(
        &mut self,
        now: Moment,
        id: &ClaimId,
        incarnation: Incarnation,
    ) -> Result<(), DeliveryFailure> {
        if incarnation != self.incarnation {
            return Err(DeliveryFailure::OtherIncarnation);
        }
        self.expire(now);
        match self.claims.get(id).map(|entry| &entry.state) {
            Some(ClaimState::Fenced) => Err(DeliveryFailure::Fenced),
            Some(_) => Err(DeliveryFailure::DeliveredBefore),
            None if self.is_below_floor(id) => Err(DeliveryFailure::DeliveredBefore),
            None => {
                self.insert(now, id, ClaimState::Waiting);
                Ok(())
            }
        }
    }

    /// Last check before the upstream is called; `false` if the claim was fenced.
    pub fn send(&mut self, id: &ClaimId) -> bool {
        match self.claims.get_mut(id) {
            Some(entry) if entry.state == ClaimState::Waiting => {
                entry.state = ClaimState::Sent;
                true
            }
            _ => false,
        }
    }

    /// Records that the claim was not delivered and never will be.
    pub fn refuse(&mut self, id: &ClaimId) {
        if let Some(entry) = self.claims.get_mut(id)
            && entry.is_open()
        {
            entry.state = ClaimState::Fenced;
        }
    }

    /// Records the outcome of a claim that was sent.
    pub fn end(&mut self, id: &ClaimId, outcome: ClaimOutcome) {
        let Some(entry) = self.claims.get_mut(id) else { return };
        if entry.state != ClaimState::Sent {
            return;
        }
        entry.state = ClaimState::Ended(bounded(outcome));
        let bytes = entry.answer_bytes();
        if bytes > 0 {
            self.answer_bytes += bytes;
            self.answers.push_back(id.clone());
        }
        self.drop_answers();
    }

    /// Forbids the delivery of a claim, or tells what came of it.
    pub fn fence(&mut self, now: Moment, fence: &ClaimFence) -> FenceReply {
        if fence.agent_incarnation != self.incarnation {
            return FenceReply::OtherIncarnation;
        }
        self.expire(now);
        let id = ClaimId { key: fence.key.clone(), claim: fence.claim };
        let dropped = self.is_below_floor(&id);
        match self.claims.get_mut(&id) {
            Some(entry) => match &entry.state {
                ClaimState::Waiting | ClaimState::Fenced => {
                    entry.state = ClaimState::Fenced;
                    FenceReply::Fenced
                }
                ClaimState::Sent => FenceReply::InProgress,
                ClaimState::Ended(outcome) => FenceReply::Ended(outcome.clone()),
            },
            // Its entry may have been dropped after a delivery.
            None if dropped => FenceReply::Ended(ClaimOutcome::Unknown),
            None => {
                self.insert(now, &id, ClaimState::Fenced);
                FenceReply::Fenced
            }
        }
    }

    fn is_below_floor(&self, id: &ClaimId) -> bool {
        self.floors.get(&id.stream()).is_some_and(|floor| id.claim < *floor)
    }

    fn insert(&mut self, now: Moment, id: &ClaimId, state: ClaimState) {
        self.claims.insert(id.clone(), LedgerEntry { state, received: now });
        self.order.push_back(id.clone());
        self.make_room();
    }

    fn expire(&mut self, now: Moment) {
        while let Some(entry) = self.order.front().and_then(|id| self.claims.get(id)) {
            if now.since(entry.received) < KEY_LIFETIME || entry.is_open() {
                return;
            }
            self.drop_oldest();
        }
    }

    fn make_room(&mut self) {
        // Open claims are bounded by the admission queue and are kept.
        for _ in 0..self.order.len() {
            if self.claims.len() <= self.limits.claims {
                return;
            }
            let open = self.order.front().and_then(|id| self.claims.get(id));
            if open.is_some_and(LedgerEntry::is_open) {
                self.order.rotate_left(1);
            } else {
                self.drop_oldest();
            }
        }
    }

    fn drop_oldest(&mut self) {
        let Some(id) = self.order.pop_front() else { return };
        let Some(entry) = self.claims.remove(&id) else { return };
        if entry.answer_bytes() > 0 {
            self.answer_bytes -= entry.answer_bytes();
            self.answers.retain(|kept| *kept != id);
        }
        let floor = self.floors.entry(id.stream()).or_default();
        *floor = (*floor).max(id.claim + 1);
    }

    /// Keeps only length and digest of the oldest answers beyond the bound.
    fn drop_answers(&mut self) {
        while self.answer_bytes > self.limits.answer_bytes {
            let Some(id) = self.answers.pop_front() else { return };
            let Some(entry) = self.claims.get_mut(&id) else { continue };
            self.answer_bytes -= entry.answer_bytes();
            if let ClaimState::Ended(ClaimOutcome::Done(kept)) = &mut entry.state {
                kept.body = None;
            }
        }
    }
}

fn bounded(outcome: ClaimOutcome) -> ClaimOutcome {
    match outcome {
        ClaimOutcome::Done(kept) => {
            let body = kept.body.filter(|body| body.len() <= MAX_STORED_ANSWER_BYTES);
            ClaimOutcome::Done(StoredAnswer { body, ..kept })
        }
        other => other,
    }
}
