//! A simulated monotonic clock with any start and a rate within the permitted margin.

use cactusdoor_core::constants::CLOCK_RATE_MARGIN_PERCENT;
use cactusdoor_core::unit::Moment;

/// Largest rate above the slowest clock, in units of 0.01%: the whole rate margin.
pub const MAX_RATE: u64 = CLOCK_RATE_MARGIN_PERCENT * 100;

#[derive(Clone, Debug)]
pub struct SimulatedClock {
    nanos: u128,
    /// Rate above the slowest clock, in units of 0.01%.
    rate: u64,
}

impl SimulatedClock {
    pub fn new(micros: u64) -> Self {
        Self { nanos: u128::from(micros) * 1_000, rate: 0 }
    }

    /// Sets the rate above the slowest clock, in units of 0.01%.
    pub fn set_rate(&mut self, rate: u64) {
        assert!(rate <= MAX_RATE);
        self.rate = rate;
    }

    /// Advances the clock by the time in which `micros` pass on the slowest clock.
    pub fn advance(&mut self, micros: u64) {
        self.nanos += u128::from(micros) * u128::from(10_000 + self.rate) / 10;
    }

    pub fn now(&self) -> Moment {
        Moment((self.nanos / 1_000_000) as u64)
    }

    pub fn nanos(&self) -> u128 {
        self.nanos
    }
}

/// Reading of a clock at `moment`, in nanoseconds.
pub fn nanos_at(moment: Moment) -> u128 {
    u128::from(moment.0) * 1_000_000
}
