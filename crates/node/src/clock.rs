//! The monotonic clock of this process, and Unix time.
//!
//! The monotonic clock is the boot-time clock, which also advances while the machine is
//! suspended. Otherwise a suspension would keep leases in force beyond their deadline.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use cactusdoor_core::unit::{Millis, Moment};
use rustix::time::{ClockId, clock_gettime};

/// Reading of the clock when it is opened. Not 0, so that a process that has just started
/// can subtract durations.
const START_READING: Millis = 3_600_000;

/// Reads the current moment and converts moments to instants.
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
        Moment(START_READING.saturating_add(boot_ms().saturating_sub(self.start)))
    }

    /// The instant of `moment`, for timers; a past moment becomes now.
    #[must_use]
    pub fn instant(&self, moment: Moment) -> Instant {
        Instant::now() + Duration::from_millis(moment.0.saturating_sub(self.now().0))
    }
}

/// Milliseconds since the machine booted, including suspensions.
fn boot_ms() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    seconds * 1_000 + nanos / 1_000_000
}

/// Unix time in milliseconds, 0 for a time before 1970.
#[must_use]
pub fn unix_ms() -> Millis {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
