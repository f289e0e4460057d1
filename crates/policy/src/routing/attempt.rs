//! Outcome of the attempts of one request.
//!
//! Decides whether the caller may be told that the request was not run.

/// End of an attempt without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Refused before the upstream was called.
    Refused,
    /// The upstream may have run the request.
    Uncertain,
}

/// What the caller may be told if no attempt is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    NotRun,
    Unknown,
}

/// Number of attempts of one request that were sent and refused.
#[derive(Clone, Debug, Default)]
pub struct AttemptHistory {
    sent: u32,
    refused: u32,
}

impl AttemptHistory {
    /// Counts an attempt before it is sent; returns its number, from 0.
    pub fn begin_attempt(&mut self) -> u32 {
        self.sent += 1;
        self.sent - 1
    }

    pub fn end_attempt(&mut self, end: AttemptEnd) {
        if end == AttemptEnd::Refused {
            self.refused += 1;
        }
    }

    #[must_use]
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// `NotRun` only if all attempts were refused; an unfinished attempt counts as uncertain.
    #[must_use]
    pub fn outcome(&self) -> RequestOutcome {
        if self.refused == self.sent { RequestOutcome::NotRun } else { RequestOutcome::Unknown }
    }
}
