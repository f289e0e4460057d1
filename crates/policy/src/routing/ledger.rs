//! What became of the attempts of one request.

/// End of one attempt that brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Refused before the upstream was called.
    Refused,
    /// The upstream may have run it.
    Uncertain,
}

/// What the caller may be told if no attempt brings an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LedgerOutcome {
    NotRun,
    Unknown,
}

/// Attempts of one request.
#[derive(Clone, Debug, Default)]
pub struct AttemptLedger {
    sent: u32,
    refused: u32,
}

impl AttemptLedger {
    /// Counts an attempt before it is sent and numbers it from 0.
    pub fn send(&mut self) -> u32 {
        self.sent += 1;
        self.sent - 1
    }

    pub fn end(&mut self, end: AttemptEnd) {
        if end == AttemptEnd::Refused {
            self.refused += 1;
        }
    }

    #[must_use]
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// `NotRun` only if every attempt was refused; one without an end counts as uncertain.
    #[must_use]
    pub fn outcome(&self) -> LedgerOutcome {
        if self.refused == self.sent { LedgerOutcome::NotRun } else { LedgerOutcome::Unknown }
    }
}
