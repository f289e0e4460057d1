//! Protection of latency-critical tasks from batch tasks on the same VM.
//!
//! The measures escalate step by step: throttle, checkpoint and evict, then stop
//! without a checkpoint. Escalation starts at one slowdown threshold; it is relaxed
//! only below a lower threshold and after a longer pause. This hysteresis prevents
//! flapping, because usage samples are delayed and show the state before the last
//! step for some time.

use cactusdoor_core::unit::{Millis, Moment};

/// Slowdown of a latency-critical task that escalates the measures, in percent.
pub const ESCALATE_PERCENT: u8 = 15;
/// Highest slowdown at which the measures are relaxed, in percent.
pub const RELAX_PERCENT: u8 = 5;
/// Least time between two escalations, in addition to the lag of the samples.
pub const ESCALATE_PAUSE: Millis = 1_000;
/// Time at a low slowdown before the measures are relaxed by one step.
pub const RELAX_PAUSE: Millis = 10_000;

/// Measure applied to the batch tasks of a VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum PressureStep {
    #[default]
    Unrestricted,
    /// Batch tasks run at half of their processors.
    Throttle,
    /// Batch tasks run at a fifth of their processors.
    ThrottleHard,
    /// The batch task that causes the most slowdown is checkpointed and evicted.
    Evict,
    /// The batch task that causes the most slowdown is stopped, even without a checkpoint.
    Stop,
}

impl PressureStep {
    /// Share of their processors that batch tasks keep, in percent.
    #[must_use]
    pub fn throttle_percent(self) -> u8 {
        match self {
            Self::Unrestricted => 100,
            Self::Throttle => 50,
            _ => 20,
        }
    }

    fn escalated(self) -> Self {
        match self {
            Self::Unrestricted => Self::Throttle,
            Self::Throttle => Self::ThrottleHard,
            Self::ThrottleHard => Self::Evict,
            Self::Evict | Self::Stop => Self::Stop,
        }
    }

    fn relaxed(self) -> Self {
        match self {
            Self::Stop | Self::Evict => Self::ThrottleHard,
            Self::ThrottleHard => Self::Throttle,
            Self::Throttle | Self::Unrestricted => Self::Unrestricted,
        }
    }
}

/// Escalation state of one VM.
#[derive(Clone, Copy, Debug, Default)]
pub struct PressureEscalation {
    step: PressureStep,
    changed: Option<Moment>,
    low_since: Option<Moment>,
}

impl PressureEscalation {
    #[must_use]
    pub fn step(&self) -> PressureStep {
        self.step
    }

    /// Records the largest slowdown of a latency-critical task on the VM, measured
    /// `lag` ago. Returns the step after an escalation or relaxation; at the last
    /// step, each further escalation returns it again, so that another task is
    /// stopped.
    pub fn observe(
        &mut self,
        now: Moment,
        slowdown_percent: u8,
        lag: Millis,
    ) -> Option<PressureStep> {
        if slowdown_percent <= RELAX_PERCENT {
            return self.relax(now);
        }
        self.low_since = None;
        if slowdown_percent < ESCALATE_PERCENT {
            return None;
        }
        // Samples from before the last step do not show its effect.
        if self.changed.is_some_and(|changed| now.since(changed) < ESCALATE_PAUSE + lag) {
            return None;
        }
        self.step = self.step.escalated();
        self.changed = Some(now);
        Some(self.step)
    }

    fn relax(&mut self, now: Moment) -> Option<PressureStep> {
        let low_since = *self.low_since.get_or_insert(now);
        if self.step == PressureStep::Unrestricted || now.since(low_since) < RELAX_PAUSE {
            return None;
        }
        self.step = self.step.relaxed();
        self.changed = Some(now);
        self.low_since = Some(now);
        Some(self.step)
    }
}
