//! Lengths of the leases, the time at which a lease has certainly expired, and how late a call may be.
//!
//! Allows for clocks that run at different rates; reads no clock itself.

use cactusdoor_core::unit::{Millis, Moment};

/// Agent lease, ms, renewed with each report: longer than an election takes.
pub const AGENT_LEASE: Millis = 7_000;
/// Longest time, ms, from the sending of a confirmed append to the end of an agent lease:
/// covers a short outage of the store.
pub const CONFIRM_LIMIT: Millis = 9_000;
/// Longest time, ms, for which a call without an answer may still be carried out: workers carry
/// calls out up to 12 s late, and the path takes a part of a second.
pub const CALL_LIFETIME: Millis = 13_000;
/// Margin for slow clocks, percent: a clock may be slow by 2%, and 1% is reserve.
const CLOCK_PERCENT: Millis = 3;
/// Margin for the delay of a message and a late timer, ms.
const MESSAGE_MARGIN: Millis = 300;

/// Whether an answer to a report that was sent at `sent` arrives too late: the agent was paused,
/// and its lease has ended, so the owner may have revoked the orders of the answer.
#[must_use]
pub fn is_late_answer(sent: Moment, now: Moment) -> bool {
    now >= sent.after(AGENT_LEASE)
}

/// The moment by which `millis` have certainly passed on every clock since `now`.
#[must_use]
pub fn clock_bound(now: Moment, millis: Millis) -> Moment {
    now.after(millis + millis * CLOCK_PERCENT / 100 + MESSAGE_MARGIN)
}
