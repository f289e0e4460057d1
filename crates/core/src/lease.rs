//! Leases on tasks, as seen by the holder and by the grantor.

use crate::constants::with_lease_margins;
use crate::unit::{Millis, Moment};

/// The holder's side: valid until a deadline counted from when it asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    deadline: Moment,
}

impl HeldLease {
    /// A lease of `term` asked for at `sent`.
    #[must_use]
    pub fn granted(sent: Moment, term: Millis) -> Self {
        Self { deadline: sent.after(term) }
    }

    #[must_use]
    pub fn deadline(&self) -> Moment {
        self.deadline
    }

    /// Replaces the term by a newer grant, which may also be shorter.
    pub fn renew(&mut self, sent: Moment, term: Millis) {
        self.deadline = sent.after(term);
    }

    #[must_use]
    pub fn is_valid(&self, now: Moment) -> bool {
        now < self.deadline
    }

    /// What is left at `now`, for the wire.
    #[must_use]
    pub fn left(&self, now: Moment) -> Millis {
        self.deadline.since(now)
    }
}

/// The grantor's side: when the holder has surely stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantedLease {
    surely_over: Moment,
}

impl GrantedLease {
    /// Bound for a holder that may have been granted at most `term` until `now`.
    #[must_use]
    pub fn unknown(now: Moment, term: Millis) -> Self {
        Self { surely_over: now.after(with_lease_margins(term)) }
    }

    /// A renewal answered at `now`.
    ///
    /// The holder reports what its lease still had `left` when it asked: if the
    /// reply is lost, it goes on under that earlier grant.
    pub fn renew(&mut self, now: Moment, term: Millis, left: Millis) {
        self.surely_over = now.after(with_lease_margins(term.max(left)));
    }

    #[must_use]
    pub fn surely_over(&self) -> Moment {
        self.surely_over
    }

    #[must_use]
    pub fn is_surely_over(&self, now: Moment) -> bool {
        now >= self.surely_over
    }
}
