//! Random arrivals at a rate with an evening peak and a surge, and the random variates
//! of the models.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::event::{Micros, SECOND};

/// Rate of arrivals over time: a base rate, multiplied during a peak and a surge.
#[derive(Clone, Copy, Debug)]
pub struct LoadShape {
    /// Arrivals per second outside the peak.
    pub base_rate: f64,
    /// Factor at the middle of the evening peak, which has the shape of half a sine wave.
    pub peak_factor: f64,
    pub peak_start: Micros,
    pub peak_end: Micros,
    /// Factor during `surge_start..surge_end`, in addition to that of the peak.
    pub surge_factor: f64,
    pub surge_start: Micros,
    pub surge_end: Micros,
}

impl LoadShape {
    /// A constant rate.
    #[must_use]
    pub fn constant(base_rate: f64) -> Self {
        Self {
            base_rate,
            peak_factor: 1.0,
            peak_start: 0,
            peak_end: 0,
            surge_factor: 1.0,
            surge_start: 0,
            surge_end: 0,
        }
    }

    /// Arrivals per second at `at`.
    #[must_use]
    pub fn rate(&self, at: Micros) -> f64 {
        let mut rate = self.base_rate;
        if (self.peak_start..self.peak_end).contains(&at) {
            let position = (at - self.peak_start) as f64 / (self.peak_end - self.peak_start) as f64;
            let height = (std::f64::consts::PI * position).sin();
            rate *= 1.0 + (self.peak_factor - 1.0) * height;
        }
        if (self.surge_start..self.surge_end).contains(&at) {
            rate *= self.surge_factor;
        }
        rate
    }

    /// Upper bound of `rate`.
    fn highest_rate(&self) -> f64 {
        self.base_rate * self.peak_factor.max(1.0) * self.surge_factor.max(1.0)
    }

    /// Time of the next arrival after `at`, of a Poisson process thinned to `rate`.
    pub fn next_arrival(&self, mut at: Micros, rng: &mut ChaCha8Rng) -> Micros {
        let highest = self.highest_rate();
        loop {
            at += (exponential(rng) / highest * SECOND as f64) as Micros + 1;
            if rng.random::<f64>() * highest <= self.rate(at) {
                return at;
            }
        }
    }
}

/// An exponential variate with mean 1.
pub fn exponential(rng: &mut ChaCha8Rng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

/// A log-normal variate with median 1 and the given sigma.
pub fn log_normal(rng: &mut ChaCha8Rng, sigma: f64) -> f64 {
    let radius = (2.0 * exponential(rng)).sqrt();
    let angle = 2.0 * std::f64::consts::PI * rng.random::<f64>();
    (sigma * radius * angle.cos()).exp()
}
