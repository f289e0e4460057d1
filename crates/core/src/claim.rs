//! Claims and outcomes of binding requests.
//!
//! The first claim of a key in log order wins and the first settlement is
//! final, also if it says "not run": a key that was settled never runs again.

use std::fmt;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::envelope::{LogEnvelope, WriterId, WriterTable};
use crate::name::{IdempotencyKey, PlanName, VmName};
use crate::unit::{Incarnation, Millis, Offset};

/// Key of a binding request.
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

/// An upstream's answer as kept with the outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    pub status: u16,
    pub length: u64,
    pub digest: u64,
    /// Absent beyond [`MAX_KEPT_ANSWER_BYTES`](crate::constants::MAX_KEPT_ANSWER_BYTES).
    pub body: Option<Vec<u8>>,
}

/// Final outcome of a binding request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimOutcome {
    Done(KeptAnswer),
    NotRun,
    Unknown,
}

/// A claim: who alone may send the request, and to which agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimSpec {
    pub key: RequestKey,
    /// Digest of the request; a key reused for another request is a conflict.
    pub request_digest: u64,
    pub agent: VmName,
    pub agent_incarnation: Incarnation,
    /// When the key may be forgotten counts from here, Unix milliseconds.
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
    /// Drops keys whose lifetime ended before this time.
    Forgotten {
        before_unix_ms: Millis,
    },
}

/// What the fold made of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEffect {
    Ignored,
    /// This claim holds the key.
    Won,
    /// An earlier claim at this offset holds the key.
    Lost {
        holder: Offset,
    },
    /// This settlement is the final one.
    Settled,
    /// The claim is unknown or was settled before.
    SettledBefore,
}

/// A claimed key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimEntry {
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
    claims: IndexMap<RequestKey, ClaimEntry>,
}

impl ClaimFold {
    /// Offset of the first record not yet folded.
    #[must_use]
    pub fn next(&self) -> Offset {
        self.next
    }

    #[must_use]
    pub fn claim(&self, key: &RequestKey) -> Option<&ClaimEntry> {
        self.claims.get(key)
    }

    pub fn claims(&self) -> impl Iterator<Item = &ClaimEntry> {
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
                self.claims.retain(|_, entry| entry.spec.claimed_unix_ms >= before_unix_ms);
                ClaimEffect::Ignored
            }
        }
    }

    /// Skips a record that does not parse.
    pub fn skip(&mut self, offset: Offset) {
        self.next = self.next.max(offset + 1);
    }

    fn claim_key(&mut self, offset: Offset, writer: WriterId, spec: ClaimSpec) -> ClaimEffect {
        if let Some(holder) = self.claims.get(&spec.key) {
            return ClaimEffect::Lost { holder: holder.offset };
        }
        let entry = ClaimEntry { offset, writer, outcome: None, spec };
        self.claims.insert(entry.spec.key.clone(), entry);
        ClaimEffect::Won
    }

    fn settle(&mut self, key: &RequestKey, claim: Offset, outcome: ClaimOutcome) -> ClaimEffect {
        match self.claims.get_mut(key) {
            Some(entry) if entry.offset == claim && entry.outcome.is_none() => {
                entry.outcome = Some(outcome);
                ClaimEffect::Settled
            }
            _ => ClaimEffect::SettledBefore,
        }
    }
}
