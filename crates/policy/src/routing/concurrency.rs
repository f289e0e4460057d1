//! Limit on the requests in flight to one upstream.
//!
//! The limit follows the measured latency: it grows by one per round trip of
//! the limit while latency stays near its floor, and shrinks by a tenth when
//! latency doubles. Latencies are averaged over a window first: single service
//! times vary by more than a factor of two without any load. It starts at the
//! upstream's slots and never exceeds its connections.

use super::Micros;

/// Latency above the floor at which the limit shrinks, in percent of the floor.
const SHRINK_AT_PERCENT: u64 = 200;
/// Answers that are averaged before they are compared.
const AVERAGED_ANSWERS: u32 = 16;
/// Windows after which the floor rises by an eighth, so that it follows a
/// service that has become slower for good.
const FLOOR_WINDOWS: u32 = 512;
/// Latencies below this are not compared: timer noise doubles them easily.
const NOISE_FLOOR: Micros = 2_000;

/// Concurrency limit of one upstream.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    /// In thousandths of a request, for growth by fractions.
    limit: u64,
    ceiling: u32,
    floor: Option<Micros>,
    windows: u32,
    /// Sum and number of the latencies in the current window.
    sum: Micros,
    answers: u32,
    /// Whether the last window was slow.
    is_slow: bool,
}

impl ConcurrencyLimit {
    #[must_use]
    pub fn new(slots: u32, connections: u32) -> Self {
        let ceiling = connections.max(1);
        let start = slots.clamp(1, ceiling);
        Self {
            limit: u64::from(start) * 1_000,
            ceiling,
            floor: None,
            windows: 0,
            sum: 0,
            answers: 0,
            is_slow: false,
        }
    }

    /// Takes over what the upstream now announces.
    pub fn set_ceiling(&mut self, connections: u32) {
        self.ceiling = connections.max(1);
        self.limit = self.limit.min(u64::from(self.ceiling) * 1_000);
    }

    /// Requests that may be in flight, at least 1.
    #[must_use]
    pub fn current(&self) -> u32 {
        u32::try_from(self.limit / 1_000).unwrap_or(u32::MAX).max(1)
    }

    /// Takes note of an answer after `latency`, with `in_flight` requests before it.
    pub fn answered(&mut self, latency: Micros, in_flight: u32) {
        self.sum += latency;
        self.answers += 1;
        if self.answers == AVERAGED_ANSWERS {
            let mean = self.sum / u64::from(self.answers);
            (self.sum, self.answers) = (0, 0);
            self.compare(mean);
        }
        if in_flight * 2 >= self.current() && !self.is_slow {
            self.limit += 1_000 / u64::from(self.current());
            self.limit = self.limit.min(u64::from(self.ceiling) * 1_000);
        }
    }

    fn compare(&mut self, mean: Micros) {
        let floor = self.track_floor(mean);
        self.is_slow = mean > floor.max(NOISE_FLOOR) * SHRINK_AT_PERCENT / 100;
        if self.is_slow {
            self.shrink(10);
        }
    }

    /// Takes note of an upstream that had no room.
    pub fn refused(&mut self) {
        self.shrink(10);
    }

    fn shrink(&mut self, divisor: u64) {
        self.limit = (self.limit - self.limit / divisor.max(2)).max(1_000);
    }

    fn track_floor(&mut self, mean: Micros) -> Micros {
        self.windows += 1;
        let mut floor = self.floor.unwrap_or(mean).min(mean);
        if self.windows >= FLOOR_WINDOWS {
            self.windows = 0;
            floor += floor / 8;
        }
        self.floor = Some(floor);
        floor
    }
}
