//! Outlier detection: ejects failing upstreams and lets them return gradually.
//!
//! An ejected upstream gets no requests for a time that doubles with each ejection;
//! afterwards its share of requests rises to the normal one.

use cactusdoor_core::unit::{Millis, Moment};

/// Consecutive failures that eject an upstream.
pub const FAILURES_TO_EJECT: u32 = 5;
/// Length of the first ejection; each further one is twice as long.
pub const FIRST_EJECTION: Millis = 2_000;
const LONGEST_EJECTION: Millis = 60_000;
/// Time after an ejection until the upstream gets its full share again.
pub const RETURN_TIME: Millis = 10_000;
/// Share of requests right after an ejection, in percent.
const FIRST_SHARE_PERCENT: u64 = 10;

/// Ejection state of one upstream.
#[derive(Clone, Debug, Default)]
pub struct OutlierDetector {
    failures: u32,
    ejections: u32,
    /// End of the last ejection.
    ejected_until: Option<Moment>,
}

impl OutlierDetector {
    #[must_use]
    pub fn is_ejected(&self, now: Moment) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Share of its normal load that the upstream gets, in percent.
    #[must_use]
    pub fn share_percent(&self, now: Moment) -> u64 {
        match self.ejected_until {
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
        if self.ejected_until.is_some_and(|until| now >= until.after(RETURN_TIME)) {
            *self = Self::default();
        }
    }

    /// Records a failure; `true` if it ejects the upstream. While an upstream returns,
    /// one failure is enough.
    pub fn failed(&mut self, now: Moment) -> bool {
        self.failures += 1;
        let returning = self.ejected_until.is_some_and(|until| now < until.after(RETURN_TIME));
        if self.is_ejected(now) || (!returning && self.failures < FAILURES_TO_EJECT) {
            return false;
        }
        self.eject(now);
        true
    }

    /// Ejects the upstream at `now`, twice as long as the last time, up to a limit.
    pub fn eject(&mut self, now: Moment) {
        let length = FIRST_EJECTION << self.ejections.min(16);
        self.ejections = self.ejections.saturating_add(1);
        self.failures = 0;
        self.ejected_until = Some(now.after(length.min(LONGEST_EJECTION)));
    }
}
