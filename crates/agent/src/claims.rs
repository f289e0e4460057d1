//! Claims of binding requests that were sent to this agent.
//!
//! Decides whether a claim may be delivered to its upstream: at most once, and never
//! after it was fenced. Outcomes are kept for the lifetime of their key. Memory is
//! bounded: beyond the limit the oldest ended claims are dropped, and a floor per claim
//! stream replaces them. A claim below the floor that is not remembered is not
//! delivered, and its outcome is unknown. Performs no I/O and reads no clock.

use std::collections::{HashMap, VecDeque};

use cactusdoor_core::claim::{ClaimOutcome, RequestKey, StoredAnswer};
use cactusdoor_core::constants::{KEY_LIFETIME, MAX_STORED_ANSWER_BYTES};
use cactusdoor_core::rendezvous::claim_stream;
use cactusdoor_core::unit::{Incarnation, Moment, Offset};
use cactusdoor_peer::answer::{ClaimFence, DeliveryFailure, FenceReply};

/// Memory limits of a claim table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimLimits {
    /// Number of claims that are remembered one by one.
    pub claims: usize,
    /// Total size of the stored answers.
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
    /// Accepted and not sent yet.
    Waiting,
    Sent,
    Ended(ClaimOutcome),
    /// Not delivered, and must never be delivered.
    Fenced,
}

#[derive(Clone, Debug)]
struct ClaimRecord {
    state: ClaimState,
    received: Moment,
}

impl ClaimRecord {
    fn is_open(&self) -> bool {
        matches!(self.state, ClaimState::Waiting | ClaimState::Sent)
    }

    fn answer_bytes(&self) -> usize {
        match &self.state {
            ClaimState::Ended(ClaimOutcome::Done(stored)) => {
                stored.body.as_ref().map_or(0, Vec::len)
            }
            _ => 0,
        }
    }
}

/// The claims that this incarnation of the agent has received.
#[derive(Clone, Debug)]
pub struct ClaimTable {
    incarnation: Incarnation,
    limits: ClaimLimits,
    claims: HashMap<ClaimId, ClaimRecord>,
    /// Claims in the order of their arrival.
    order: VecDeque<ClaimId>,
    /// Claims with stored answers, in the order of the answers.
    answers: VecDeque<ClaimId>,
    answer_bytes: usize,
    /// By claim stream: one more than the highest dropped offset.
    floors: HashMap<u64, Offset>,
}

impl ClaimTable {
    #[must_use]
    pub fn new(incarnation: Incarnation, limits: ClaimLimits) -> Self {
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

    /// Total size of the stored answers.
    #[must_use]
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Accepts a claim for delivery; each claim is accepted at most once.
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
        match self.claims.get(id).map(|record| &record.state) {
            Some(ClaimState::Fenced) => Err(DeliveryFailure::Fenced),
            Some(_) => Err(DeliveryFailure::DeliveredBefore),
            None if self.is_below_floor(id) => Err(DeliveryFailure::DeliveredBefore),
            None => {
                self.insert(now, id, ClaimState::Waiting);
                Ok(())
            }
        }
    }

    /// Marks an accepted claim as sent, right before the upstream is called; `false` if the
    /// claim must not be sent.
    pub fn begin_send(&mut self, id: &ClaimId) -> bool {
        match self.claims.get_mut(id) {
            Some(record) if record.state == ClaimState::Waiting => {
                record.state = ClaimState::Sent;
                true
            }
            _ => false,
        }
    }

    /// Records that the claim was not delivered and must never be delivered.
    pub fn refuse(&mut self, id: &ClaimId) {
        if let Some(record) = self.claims.get_mut(id)
            && record.is_open()
        {
            record.state = ClaimState::Fenced;
        }
    }

    /// Records the outcome of a claim that was sent.
    pub fn record_outcome(&mut self, id: &ClaimId, outcome: ClaimOutcome) {
        let Some(record) = self.claims.get_mut(id) else { return };
        if record.state != ClaimState::Sent {
            return;
        }
        record.state = ClaimState::Ended(without_large_body(outcome));
        let bytes = record.answer_bytes();
        if bytes > 0 {
            self.answer_bytes += bytes;
            self.answers.push_back(id.clone());
        }
        self.drop_answers();
    }

    /// Forbids the delivery of a claim, or returns its state if it was sent.
    pub fn fence(&mut self, now: Moment, fence: &ClaimFence) -> FenceReply {
        if fence.agent_incarnation != self.incarnation {
            return FenceReply::OtherIncarnation;
        }
        self.expire(now);
        let id = ClaimId { key: fence.key.clone(), claim: fence.claim };
        let dropped = self.is_below_floor(&id);
        match self.claims.get_mut(&id) {
            Some(record) => match &record.state {
                ClaimState::Waiting | ClaimState::Fenced => {
                    record.state = ClaimState::Fenced;
                    FenceReply::Fenced
                }
                ClaimState::Sent => FenceReply::InProgress,
                ClaimState::Ended(outcome) => FenceReply::Ended(outcome.clone()),
            },
            // The claim may have been delivered before its record was dropped.
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
        self.claims.insert(id.clone(), ClaimRecord { state, received: now });
        self.order.push_back(id.clone());
        self.drop_over_limit();
    }

    fn expire(&mut self, now: Moment) {
        while let Some(record) = self.order.front().and_then(|id| self.claims.get(id)) {
            if now.since(record.received) < KEY_LIFETIME || record.is_open() {
                return;
            }
            self.drop_oldest();
        }
    }

    fn drop_over_limit(&mut self) {
        // Open claims are kept: the admission queue bounds their number.
        for _ in 0..self.order.len() {
            if self.claims.len() <= self.limits.claims {
                return;
            }
            let open = self.order.front().and_then(|id| self.claims.get(id));
            if open.is_some_and(ClaimRecord::is_open) {
                self.order.rotate_left(1);
            } else {
                self.drop_oldest();
            }
        }
    }

    fn drop_oldest(&mut self) {
        let Some(id) = self.order.pop_front() else { return };
        let Some(record) = self.claims.remove(&id) else { return };
        if record.answer_bytes() > 0 {
            self.answer_bytes -= record.answer_bytes();
            self.answers.retain(|stored| *stored != id);
        }
        let floor = self.floors.entry(id.stream()).or_default();
        *floor = (*floor).max(id.claim + 1);
    }

    /// Drops the bodies of the oldest answers beyond the limit; length and digest are kept.
    fn drop_answers(&mut self) {
        while self.answer_bytes > self.limits.answer_bytes {
            let Some(id) = self.answers.pop_front() else { return };
            let Some(record) = self.claims.get_mut(&id) else { continue };
            self.answer_bytes -= record.answer_bytes();
            if let ClaimState::Ended(ClaimOutcome::Done(stored)) = &mut record.state {
                stored.body = None;
            }
        }
    }
}

fn without_large_body(outcome: ClaimOutcome) -> ClaimOutcome {
    match outcome {
        ClaimOutcome::Done(stored) => {
            let body = stored.body.filter(|body| body.len() <= MAX_STORED_ANSWER_BYTES);
            ClaimOutcome::Done(StoredAnswer { body, ..stored })
        }
        other => other,
    }
}
