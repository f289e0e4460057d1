//! A clock that starts anywhere and runs up to the margin too fast.

use cactusdoor_core::constants::CLOCK_RATE_MARGIN_PERCENT;
use cactusdoor_core::unit::Moment;

/// Largest pace, in units of 0.01%: the fastest clock is ahead of the slowest by the margin.
pub const MAX_PACE: u64 = CLOCK_RATE_MARGIN_PERCENT * 100;

#[derive(Clone, Debug)]
pub struct SimulatedClock {
    nanos: u128,
    pace: u64,
}

impl SimulatedClock {
    pub fn new(micros: u64) -> Self {
        Self { nanos: u128::from(micros) * 1_000, pace: 0 }
    }

    /// Sets the rate to `pace` hundredths of a percent above the slowest clock.
    pub fn pace(&mut self, pace: u64) {
        assert!(pace <= MAX_PACE);
        self.pace = pace;
    }

    /// Lets `micros` pass on the slowest clock.
    pub fn pass(&mut self, micros: u64) {
        self.nanos += u128::from(micros) * u128::from(10_000 + self.pace) / 10;
    }

    pub fn now(&self) -> Moment {
        Moment((self.nanos / 1_000_000) as u64)
    }

    pub fn nanos(&self) -> u128 {
        self.nanos
    }
}

/// Nanoseconds from the start of a clock to `moment`.
pub fn nanos_at(moment: Moment) -> u128 {
    u128::from(moment.0) * 1_000_000
}
