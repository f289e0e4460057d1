//! Whether what callers and operators say is known up to now.

use cactusdoor_core::unit::{Millis, Moment};

use super::{OwnerBounds, OwnerTerm};
use crate::decision::DecisionEvent;

/// An owner whose readings of the requests fail for so long, while it stores,
/// resigns: two readings were lost.
const BLIND_LIMIT: Millis = 3_000;
/// Share of a bound that a reading may be old at a start, in percent; the agent's
/// knowledge of the owner takes another share of the bound.
const READING_PERCENT: Millis = 45;

impl OwnerTerm {
    /// Notes whether a cancel or a data centre that was taken out may be unknown here.
    pub(super) fn check_readings(&mut self, now: Moment, view_read: Moment) {
        let OwnerBounds { cancel, take_out } = self.context.bounds;
        let requests_until = self.requests_read.after(reading_limit(cancel));
        let view_until = view_read.after(reading_limit(take_out));
        let outdated = now > requests_until || now > view_until;
        if outdated == self.outdated {
            return;
        }
        self.outdated = outdated;
        let epoch = self.book.epoch;
        let requests_age = now.0.saturating_sub(self.requests_read.0);
        let view_age = now.0.saturating_sub(view_read.0);
        let event =
            DecisionEvent::StartsWithheld { epoch, withheld: outdated, requests_age, view_age };
        self.context.log.note(event);
        if !outdated {
            self.book.renew_orders();
        }
    }

    /// Whether only the readings fail: another agent may reach the store whole. After
    /// an outage for everybody the appends may be answered before the readings.
    pub(super) fn is_blind(&self, now: Moment) -> bool {
        let stored = self.is_confirmed(now) && now > self.confirmed_since.after(BLIND_LIMIT);
        stored && now > self.requests_read.after(BLIND_LIMIT)
    }
}

/// Oldest reading that a start may rest on, under a bound.
fn reading_limit(bound: Millis) -> Millis {
    bound * READING_PERCENT / 100
}
