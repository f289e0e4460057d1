//! The monotonic clock of this process.
//!
//! It is the boot-time clock, which also counts the time for which the machine
//! is suspended: a right must not outlive its deadline because of a suspension.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use cactusdoor_core::unit::{Millis, Moment};
use rustix::time::{ClockId, clock_gettime};

/// Start of the clock, so that a freshly started process can subtract.
const ORIGIN: Millis = 3_600_000;

/// Turns instants into moments and back.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    start: Millis,
}

impl MonotonicClock {
    #[must_use]
    pub fn open() -> Self {
        Self { start: boot_ms() }
    }

    #[must_use]
    pub fn now(&self) -> Moment {
        Moment(ORIGIN.saturating_add(boot_ms().saturating_sub(self.start)))
    }

    /// The instant of `moment`, for timers; the past is now.
    #[must_use]
    pub fn instant(&self, moment: Moment) -> Instant {
        Instant::now() + Duration::from_millis(moment.0.saturating_sub(self.now().0))
    }
}

/// Milliseconds since the machine was started, suspensions included.
fn boot_ms() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    seconds * 1_000 + nanos / 1_000_000
}

/// Unix milliseconds.
#[must_use]
pub fn unix_ms() -> Millis {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
