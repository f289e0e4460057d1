//! Forecast of the speed of a best-effort task on a worker.
//!
//! Rests on the headroom that the agent reported, with its age, and on the learned averages
//! where there is no recent report. Decides no placement.

use cactusdoor_core::unit::Moment;

use crate::report::WorkerLoad;

/// The newest load of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct MeasuredLoad {
    pub load: WorkerLoad,
    /// When the worker measured it, on the owner's clock.
    pub at: Moment,
}

impl MeasuredLoad {
    /// A load that arrived at `now`.
    #[must_use]
    pub fn open(load: WorkerLoad, now: Moment) -> Self {
        let at = Moment(now.0.saturating_sub(load.age));
        Self { load, at }
    }
}
