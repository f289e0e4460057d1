//! Ejection of upstreams with abnormal errors, and their slow return.

use cactusdoor_core::unit::{Millis, Moment};

/// Failures in a row that eject an upstream.
pub const FAILURES_TO_EJECT: u32 = 5;
/// Length of the first ejection; each further one doubles.
pub const FIRST_EJECTION: Millis = 2_000;
const LONGEST_EJECTION: Millis = 60_000;
/// Time over which an upstream returns to its full share.
pub const RETURN_TIME: Millis = 10_000;
/// Share of requests right after the return, in percent.
const FIRST_SHARE_PERCENT: u64 = 10;

/// Ejection state of one upstream.
#[derive(Clone, Debug, Default)]
pub struct OutlierGuard {
    failures: u32,
    ejections: u32,
    /// End of the last ejection.
    until: Option<Moment>,
}

impl OutlierGuard {
    #[must_use]
    pub fn is_ejected(&self, now: Moment) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Share of its normal requests that the upstream gets, in percent.
    #[must_use]
    pub fn share_percent(&self, now: Moment) -> u64 {
        match self.until {
            None => 100,
            Some(until) if now < until => 0,
            Some(until) => {
                let risen = now.since(until) * (100 - FIRST_SHARE_PERCENT) / RETURN_TIME;
                (FIRST_SHARE_PERCENT + risen).min(100)
            }
        }
    }

    pub fn succeeded(&mut self, now: Moment) {
        self.failures = 0;
        if self.until.is_some_and(|until| now >= until.after(RETURN_TIME)) {
            *self = Self::default();
        }
    }

    /// Takes note of a failure; `true` if it ejects the upstream.
    pub fn failed(&mut self, now: Moment) -> bool {
        self.failures += 1;
        let returning = self.until.is_some_and(|until| now < until.after(RETURN_TIME));
        if self.is_ejected(now) || (!returning && self.failures < FAILURES_TO_EJECT) {
            return false;
        }
        self.eject(now);
        true
    }

    /// Ejects the upstream from `now` on.
    pub fn eject(&mut self, now: Moment) {
        let length = FIRST_EJECTION << self.ejections.min(16);
        self.ejections = self.ejections.saturating_add(1);
        self.failures = 0;
        self.until = Some(now.after(length.min(LONGEST_EJECTION)));
    }
}
