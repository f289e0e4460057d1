//! Budget of extra attempts.
//!
//! Retries and hedges together stay within 10% of the requests, so that they
//! cannot turn an overload into a larger one.

/// Requests that earn one extra attempt.
const REQUESTS_PER_EXTRA: u64 = 10;
/// Largest number of saved extra attempts, so that a quiet hour does not pay for a burst.
pub const MAX_SAVED: u64 = 100;

/// Extra attempts earned and not used yet.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    /// In tenths of an attempt: one request earns one.
    saved: u64,
}

impl RetryBudget {
    /// Counts a request, which earns a tenth of an attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + 1).min(MAX_SAVED * REQUESTS_PER_EXTRA);
    }

    /// Whether an extra attempt may be sent now.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.saved >= REQUESTS_PER_EXTRA
    }

    /// Takes one extra attempt; `false` if the budget is used up.
    pub fn spend(&mut self) -> bool {
        let room = self.has_room();
        if room {
            self.saved -= REQUESTS_PER_EXTRA;
        }
        room
    }
}
