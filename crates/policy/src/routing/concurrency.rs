//! Adaptive limit on the requests in flight to one upstream.
//!
//! Additive increase, multiplicative decrease: the limit grows by one for each limit's
//! worth of answers while latency stays near its floor, and shrinks by a tenth when
//! latency doubles. Latencies are averaged over a window, because single service
//! times vary by more than a factor of two even without load. The limit starts at the
//! upstream's slots and never exceeds its connections.

use super::Micros;

/// Latency above which the limit shrinks, in percent of the floor.
const SHRINK_AT_PERCENT: u64 = 200;
/// Answers per window, whose mean latency is compared with the floor.
const AVERAGED_ANSWERS: u32 = 16;
/// Windows after which the floor rises by an eighth, so that it adapts to a service
/// that has become permanently slower.
const FLOOR_WINDOWS: u32 = 512;
/// Least floor used in the comparison, because timer noise easily doubles smaller
/// latencies.
const NOISE_FLOOR: Micros = 2_000;

/// Concurrency limit of one upstream.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    /// In thousandths of a request, so that it can grow by fractions.
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

    /// Applies the number of connections that the upstream announces.
    pub fn set_ceiling(&mut self, connections: u32) {
        self.ceiling = connections.max(1);
        self.limit = self.limit.min(u64::from(self.ceiling) * 1_000);
    }

    /// Requests that may be in flight, at least 1.
    #[must_use]
    pub fn current(&self) -> u32 {
        u32::try_from(self.limit / 1_000).unwrap_or(u32::MAX).max(1)
    }

    /// Records an answer after `latency`; `in_flight` includes the answered request.
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

    /// Records a refusal because the upstream was at capacity.
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
