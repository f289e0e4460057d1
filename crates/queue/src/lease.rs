//! Lengths of the leases, and when they have surely passed.

use cactusdoor_core::unit::{Millis, Moment};

/// Lease of an agent, renewed with each report: longer than an election takes.
pub const GRANT: Millis = 7_000;
/// No grant lasts longer than this after the sending of a confirmed append:
/// bridges a short outage of the store.
pub const CONFIRM_LIMIT: Millis = 9_000;
/// Clocks may run slow by 2%; the third part of a hundred is reserve.
const CLOCK_PERCENT: Millis = 3;
/// Time that a message and a late timer take.
const MESSAGE_MARGIN: Millis = 300;

/// A moment by which `millis` have surely passed on every clock.
#[must_use]
pub fn clock_bound(now: Moment, millis: Millis) -> Moment {
    now.after(millis + millis * CLOCK_PERCENT / 100 + MESSAGE_MARGIN)
}
