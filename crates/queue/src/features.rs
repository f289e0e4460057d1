//! Optional decisions of the scheduler, switched on by the settings of a deployment.

use cactusdoor_core::unit::Millis;

/// Default of [`SchedulingFeatures::stop_run`], ms.
const DEFAULT_STOP: Millis = 400;
/// Default of [`SchedulingFeatures::restore`], ms.
const DEFAULT_RESTORE: Millis = 600;

/// Which optional decisions are made, and the platform's times that they need.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulingFeatures {
    /// Forecasts rest on the headroom that agents report.
    pub headroom_forecast: bool,
    /// Best-effort steps are ranked once for the whole fleet.
    pub job_order: bool,
    /// Runs that make no progress are moved to workers with room.
    pub moves: bool,
    /// Entries refuse jobs that could only complete when they are useless.
    pub refusals: bool,
    /// What an owner has learned is stored for its successor.
    pub learned_state: bool,
    /// Longest stop of a run, ms.
    pub stop_run: Millis,
    /// Time that a run needs to resume from a checkpoint, ms.
    pub restore: Millis,
}

impl SchedulingFeatures {
    /// No optional decision.
    pub const NONE: Self = Self {
        headroom_forecast: false,
        job_order: false,
        moves: false,
        refusals: false,
        learned_state: false,
        stop_run: DEFAULT_STOP,
        restore: DEFAULT_RESTORE,
    };
}

impl Default for SchedulingFeatures {
    fn default() -> Self {
        Self::NONE
    }
}
