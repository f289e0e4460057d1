//! Fold of a claim stream: claims and outcomes of binding requests.
//!
//! The fold decides which claim holds a key and which outcome is final. The first
//! claim of a key in log order wins, and the first outcome recorded for it is final
//! even if it says that the request was not run: the request never runs afterwards.

use std::fmt;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::envelope::{LogEnvelope, WriterId, WriterTable};
use crate::name::{IdempotencyKey, PlanName, VmName};
use crate::unit::{Incarnation, Millis, Offset};

/// Idempotency key of a binding request, unique within its plan.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestKey {
    pub plan: PlanName,
    pub key: IdempotencyKey,
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.plan, self.key)
    }
}

/// An upstream's answer as stored with the outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    pub status: u16,
    pub length: u64,
    pub digest: u64,
    /// `None` if longer than [`MAX_STORED_ANSWER_BYTES`](crate::constants::MAX_STORED_ANSWER_BYTES).
    pub body: Option<Vec<u8>>,
}

/// Final outcome of a binding request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimOutcome {
    Done(StoredAnswer),
    /// The request did not run and never will.
    NotRun,
    /// It is not known whether the request ran.
    Unknown,
}

/// A claim of the sole right to send a binding request, through the named agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimSpec {
    pub key: RequestKey,
    /// Digest of the request; reusing the key for another request is a conflict.
    pub request_digest: u64,
    pub agent: VmName,
    pub agent_incarnation: Incarnation,
    /// Start of the key's lifetime, in Unix milliseconds.
    pub claimed_unix_ms: Millis,
}

/// A record of a claim stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimRecord {
    Noop,
    Claimed(ClaimSpec),
    Settled {
        key: RequestKey,
        claim: Offset,
        outcome: ClaimOutcome,
    },
    /// Removes keys that were claimed before this time.
    Forgotten {
        before_unix_ms: Millis,
    },
}

/// Effect of a record on the fold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEffect {
    /// Repeated record, no-op, or removal of expired keys.
    Ignored,
    /// This claim holds the key.
    Won,
    /// The earlier claim at offset `holder` holds the key.
    Lost { holder: Offset },
    /// This outcome is the final one.
    Settled,
    /// The claim does not hold the key, or has its outcome already.
    AlreadySettled,
}

/// The claim that holds a key, and its outcome once settled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimStatus {
    pub offset: Offset,
    pub writer: WriterId,
    pub spec: ClaimSpec,
    pub outcome: Option<ClaimOutcome>,
}

/// Fold of a claim stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimFold {
    next: Offset,
    writers: WriterTable,
    #[serde(with = "indexmap::map::serde_seq")]
    claims: IndexMap<RequestKey, ClaimStatus>,
}

impl ClaimFold {
    /// Offset of the first record not yet folded.
    #[must_use]
    pub fn next(&self) -> Offset {
        self.next
    }

    #[must_use]
    pub fn claim(&self, key: &RequestKey) -> Option<&ClaimStatus> {
        self.claims.get(key)
    }

    pub fn claims(&self) -> impl Iterator<Item = &ClaimStatus> {
        self.claims.values()
    }

    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Folds the record at `offset`; offsets before [`next`](Self::next) have no effect.
    pub fn apply(&mut self, offset: Offset, record: LogEnvelope<ClaimRecord>) -> ClaimEffect {
        if offset < self.next {
            return ClaimEffect::Ignored;
        }
        self.next = offset + 1;
        if !self.writers.admit(&record.writer, record.sequence, offset) {
            return ClaimEffect::Ignored;
        }
        match record.body {
            ClaimRecord::Noop => ClaimEffect::Ignored,
            ClaimRecord::Claimed(spec) => self.claim_key(offset, record.writer, spec),
            ClaimRecord::Settled { key, claim, outcome } => self.settle(&key, claim, outcome),
            ClaimRecord::Forgotten { before_unix_ms } => {
                self.claims.retain(|_, claim| claim.spec.claimed_unix_ms >= before_unix_ms);
                ClaimEffect::Ignored
            }
        }
    }

    /// Moves past a record that does not parse.
    pub fn skip(&mut self, offset: Offset) {
        self.next = self.next.max(offset + 1);
    }

    fn claim_key(&mut self, offset: Offset, writer: WriterId, spec: ClaimSpec) -> ClaimEffect {
        if let Some(holder) = self.claims.get(&spec.key) {
            return ClaimEffect::Lost { holder: holder.offset };
        }
        let status = ClaimStatus { offset, writer, outcome: None, spec };
        self.claims.insert(status.spec.key.clone(), status);
        ClaimEffect::Won
    }

    fn settle(&mut self, key: &RequestKey, claim: Offset, outcome: ClaimOutcome) -> ClaimEffect {
        match self.claims.get_mut(key) {
            Some(status) if status.offset == claim && status.outcome.is_none() => {
                status.outcome = Some(outcome);
                ClaimEffect::Settled
            }
            _ => ClaimEffect::AlreadySettled,
        }
    }
}
