//! Leases on tasks, as the holder and the grantor see them.
//!
//! The holder computes its deadline; the grantor computes the time at which the
//! lease has certainly expired. That time must never precede the holder's
//! deadline, although requests and replies may be lost, delayed and reordered and
//! a lease may be renewed for a shorter duration than before. Two rules ensure it:
//! the holder accepts only the reply to its newest request, and the grantor lowers
//! its expiry time only on a request that is newer than all others and whose sender
//! has adopted the grantor's epoch. Without the second rule, the reply to an earlier
//! request, or of an earlier owner, could still give the holder a longer lease.

use serde::{Deserialize, Serialize};

use crate::constants::{LOG_TIMEOUT, OUTAGE_LEASE, TASK_LEASE, with_lease_margins};
use crate::unit::{Epoch, Millis, Moment};

/// A holder's request for a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Highest epoch that the holder knows; it accepts no reply of a lower one.
    pub epoch: Epoch,
    /// Number of this request among all of the holder, to any owner, starting at 1.
    pub number: u64,
    /// Remaining duration of the lease when the holder sent the request.
    #[serde(rename = "left")]
    pub remaining: Millis,
}

/// The holder's side: valid until a deadline counted from when it sent the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldLease {
    deadline: Moment,
    /// Number of the newest request, and when it was sent.
    number: u64,
    sent: Moment,
}

impl HeldLease {
    /// A lease of `duration` counted from `sent`; a duration of 0 gives no lease.
    #[must_use]
    pub fn granted(sent: Moment, duration: Millis) -> Self {
        Self { deadline: sent.after(duration), number: 0, sent }
    }

    #[must_use]
    pub fn deadline(&self) -> Moment {
        self.deadline
    }

    /// Creates the request that the holder sends at `now`; `epoch` is the highest it knows.
    pub fn request_renewal(&mut self, now: Moment, epoch: Epoch) -> LeaseRequest {
        self.number += 1;
        self.sent = now;
        LeaseRequest { epoch, number: self.number, remaining: self.remaining(now) }
    }

    /// Applies the reply to request `number`, even if it shortens the lease; `false`
    /// if a newer request was sent since.
    pub fn renew(&mut self, number: u64, duration: Millis) -> bool {
        let newest = number == self.number;
        if newest {
            self.deadline = self.sent.after(duration);
        }
        newest
    }

    #[must_use]
    pub fn is_valid(&self, now: Moment) -> bool {
        now < self.deadline
    }

    /// Remaining duration at `now`, as sent to other processes.
    #[must_use]
    pub fn remaining(&self, now: Moment) -> Millis {
        self.deadline.since(now)
    }
}

/// The grantor's side: when the lease has certainly expired.
///
/// A restarted agent numbers its requests from 1 again and counts as a new holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantedLease {
    epoch: Epoch,
    certain_expiry: Moment,
    newest: u64,
}

impl GrantedLease {
    /// A lease that the owner of `epoch` did not grant itself: an earlier owner may have
    /// granted one of up to `duration` until `now`.
    #[must_use]
    pub fn assumed(epoch: Epoch, now: Moment, duration: Millis) -> Self {
        Self { epoch, certain_expiry: now.after(with_lease_margins(duration)), newest: 0 }
    }

    /// Records that `request` was answered at `now` with a lease of `duration`.
    ///
    /// If the reply is lost, the holder keeps the remaining duration of its request.
    pub fn renew(&mut self, now: Moment, request: LeaseRequest, duration: Millis) {
        let expiry = now.after(with_lease_margins(duration.max(request.remaining)));
        if request.epoch == self.epoch && request.number > self.newest {
            self.newest = request.number;
            self.certain_expiry = expiry;
        } else {
            self.certain_expiry = self.certain_expiry.max(expiry);
        }
    }

    /// Accepts request numbers from 1 again, after the holder restarted.
    pub fn restart(&mut self) {
        self.newest = 0;
    }

    /// Earliest time at which the lease has certainly expired.
    #[must_use]
    pub fn certain_expiry(&self) -> Moment {
        self.certain_expiry
    }

    #[must_use]
    pub fn is_certainly_expired(&self, now: Moment) -> bool {
        now >= self.certain_expiry
    }
}

/// Duration of a lease from an owner that may not grant long leases.
///
/// No lease outlasts the owner's last confirming read, sent `age` ago, by more than
/// [`LOG_TIMEOUT`] plus [`TASK_LEASE`].
#[must_use]
pub fn short_lease_duration(age: Millis) -> Millis {
    TASK_LEASE.min((LOG_TIMEOUT + TASK_LEASE).saturating_sub(age))
}

/// Duration of a lease from an owner whose last confirming read was sent `age` ago.
///
/// No lease outlasts that read by more than [`OUTAGE_LEASE`]: an owner that cannot
/// reach the log may have been replaced, and its successor waits [`OUTAGE_LEASE`]
/// plus margins after its claim before it reassigns tasks.
#[must_use]
pub fn lease_duration(age: Millis) -> Millis {
    if age <= LOG_TIMEOUT { TASK_LEASE } else { OUTAGE_LEASE.saturating_sub(age + 1) }
}
