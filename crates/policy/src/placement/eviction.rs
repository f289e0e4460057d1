//! Protection of latency-critical tasks from their batch neighbours.
//!
//! Pressure on a VM is escalated step by step: throttle, then checkpoint and
//! evict, then stop. It is escalated above one threshold and taken back only
//! below a lower one and after a longer time, so that the steps do not flap
//! while the lagging usage figures still show the state before the last step.

use cactusdoor_core::unit::{Millis, Moment};

/// Slowdown of a latency-critical task at which pressure rises, in percent.
pub const ESCALATE_PERCENT: u8 = 15;
/// Slowdown below which pressure falls, in percent.
pub const RELAX_PERCENT: u8 = 5;
/// Least time between two steps up, beyond the lag of the figures.
pub const ESCALATE_PAUSE: Millis = 1_000;
/// Time of calm before a step down.
pub const RELAX_PAUSE: Millis = 10_000;

/// What to do about the batch tasks of a VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum PressureStep {
    #[default]
    Free,
    /// Batch tasks run at half of their processors.
    Throttle,
    /// Batch tasks run at a fifth of their processors.
    ThrottleHard,
    /// The task that disturbs most is checkpointed and evicted.
    Evict,
    /// The task that disturbs most is stopped, even without a checkpoint.
    Stop,
}

impl PressureStep {
    /// Processors left to batch tasks, in percent.
    #[must_use]
    pub fn throttle_percent(self) -> u8 {
        match self {
            Self::Free => 100,
            Self::Throttle => 50,
            _ => 20,
        }
    }

    fn up(self) -> Self {
        match self {
            Self::Free => Self::Throttle,
            Self::Throttle => Self::ThrottleHard,
            Self::ThrottleHard => Self::Evict,
            Self::Evict | Self::Stop => Self::Stop,
        }
    }

    fn down(self) -> Self {
        match self {
            Self::Stop | Self::Evict => Self::ThrottleHard,
            Self::ThrottleHard => Self::Throttle,
            Self::Throttle | Self::Free => Self::Free,
        }
    }
}

/// Pressure on one VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct PressureEscalation {
    step: PressureStep,
    changed: Option<Moment>,
    calm_since: Option<Moment>,
}

impl PressureEscalation {
    #[must_use]
    pub fn step(&self) -> PressureStep {
        self.step
    }

    /// Takes the largest slowdown of a latency-critical task on the VM, as it
    /// was `lag` ago. Returns the new step if it has changed, or if the step
    /// evicts and another task must go.
    pub fn observe(
        &mut self,
        now: Moment,
        slowdown_percent: u8,
        lag: Millis,
    ) -> Option<PressureStep> {
        if slowdown_percent <= RELAX_PERCENT {
            return self.relax(now);
        }
        self.calm_since = None;
        if slowdown_percent < ESCALATE_PERCENT {
            return None;
        }
        // Figures from before the last step say nothing about its effect.
        if self.changed.is_some_and(|changed| now.since(changed) < ESCALATE_PAUSE + lag) {
            return None;
        }
        self.step = self.step.up();
        self.changed = Some(now);
        Some(self.step)
    }

    fn relax(&mut self, now: Moment) -> Option<PressureStep> {
        let calm_since = *self.calm_since.get_or_insert(now);
        if self.step == PressureStep::Free || now.since(calm_since) < RELAX_PAUSE {
            return None;
        }
        self.step = self.step.down();
        self.changed = Some(now);
        self.calm_since = Some(now);
        Some(self.step)
    }
}
