//! Budget for retries and hedges.
//!
//! Together they are limited to 10% of the requests, so that they cannot amplify an
//! overload.

/// Requests that add one extra attempt to the budget.
const REQUESTS_PER_EXTRA: u64 = 10;
/// Most extra attempts that can be saved, so that a long quiet period does not allow
/// a large burst.
pub const MAX_SAVED: u64 = 100;

/// Extra attempts that have been earned and not spent.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    /// In tenths of an attempt; each request earns one tenth.
    saved: u64,
}

impl RetryBudget {
    /// Counts a request, which earns a tenth of an attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + 1).min(MAX_SAVED * REQUESTS_PER_EXTRA);
    }

    /// Whether an extra attempt may be sent now.
    #[must_use]
    pub fn can_spend(&self) -> bool {
        self.saved >= REQUESTS_PER_EXTRA
    }

    /// Takes one extra attempt from the budget; `false` if none is left.
    pub fn spend(&mut self) -> bool {
        let available = self.can_spend();
        if available {
            self.saved -= REQUESTS_PER_EXTRA;
        }
        available
    }
}
