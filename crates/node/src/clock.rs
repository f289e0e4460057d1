//! The monotonic clock of this process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use cactusdoor_core::unit::{Millis, Moment};

/// Start of the clock, so that a freshly started process can subtract.
const ORIGIN: Millis = 3_600_000;

/// Turns instants into moments and back.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    start: Instant,
}

impl MonotonicClock {
    #[must_use]
    pub fn open() -> Self {
        Self { start: Instant::now() }
    }

    #[must_use]
    pub fn now(&self) -> Moment {
        let elapsed = u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX);
        Moment(ORIGIN.saturating_add(elapsed))
    }

    /// The instant of `moment`, for timers.
    #[must_use]
    pub fn instant(&self, moment: Moment) -> Instant {
        self.start + Duration::from_millis(moment.0.saturating_sub(ORIGIN))
    }
}

/// Unix milliseconds.
#[must_use]
pub fn unix_ms() -> Millis {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
