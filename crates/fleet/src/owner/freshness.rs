//! Freshness of the owner's reads of callers' requests and operators' records.
//!
//! Decides whether tasks may start and whether the owner must resign: an owner that cannot
//! read may not know of a cancel or of a data centre taken out, and must start no task.

use cactusdoor_core::unit::{Millis, Moment};

use super::{OwnerBounds, OwnerTerm};
use crate::decision::DecisionEvent;

/// An owner whose reads of the requests fail for this long, while its appends are
/// confirmed, resigns: two reads were lost.
const READ_FAILURE_LIMIT: Millis = 3_000;
/// Age limit of a read when a task starts, in percent of the bound; the age of the
/// owner's last answer to the agent uses another share of the bound.
const READ_AGE_PERCENT: Millis = 45;

impl OwnerTerm {
    /// Withholds starts while the owner may not know of a cancel or of a data centre taken out.
    pub(super) fn check_freshness(&mut self, now: Moment, view_read: Moment) {
        let OwnerBounds { cancel, take_out } = self.context.bounds;
        let requests_until = self.requests_read.after(read_age_limit(cancel));
        let view_until = view_read.after(read_age_limit(take_out));
        let outdated = now > requests_until || now > view_until;
        if outdated == self.outdated {
            return;
        }
        self.outdated = outdated;
        let epoch = self.scheduler.epoch;
        let requests_age = now.0.saturating_sub(self.requests_read.0);
        let view_age = now.0.saturating_sub(view_read.0);
        let event =
            DecisionEvent::StartsWithheld { epoch, withheld: outdated, requests_age, view_age };
        self.context.log.record(event);
        if !outdated {
            self.scheduler.resend_orders();
        }
    }

    /// Whether reads fail while appends are confirmed: another agent may be able to do both,
    /// so the owner resigns. After an outage of the whole store, appends may be answered before reads, so they
    /// have to be confirmed for a while first.
    pub(super) fn reads_failed(&self, now: Moment) -> bool {
        let stored = self.is_confirmed(now) && now > self.confirmed_since.after(READ_FAILURE_LIMIT);
        stored && now > self.requests_read.after(READ_FAILURE_LIMIT)
    }
}

/// Greatest age, ms, of a read on which a start may rely, under a bound in ms.
fn read_age_limit(bound: Millis) -> Millis {
    bound * READ_AGE_PERCENT / 100
}
