//! Gradual return of a data centre to service.
//!
//! Limits how many VMs take new tasks after the return, so that the data centre is
//! not filled at once.

use cactusdoor_core::unit::{Millis, Moment};

/// Time until all VMs of a returned data centre take new tasks.
pub const RAMP_TIME: Millis = 30_000;
/// Share of the VMs that take new tasks right after the return, in percent.
const FIRST_PERCENT: u64 = 20;

/// Share of the VMs that take new tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReturnRamp {
    /// When the data centre returned; `None` before the first return.
    since: Option<Moment>,
}

impl ReturnRamp {
    /// Starts the ramp when the data centre returns to service.
    pub fn begin(&mut self, now: Moment) {
        self.since = Some(now);
    }

    /// How many of `vms` take new tasks; at least 1 if there are any.
    #[must_use]
    pub fn open_vms(&self, now: Moment, vms: usize) -> usize {
        let Some(since) = self.since else { return vms };
        let elapsed = now.since(since);
        if elapsed >= RAMP_TIME {
            return vms;
        }
        let percent = FIRST_PERCENT + (100 - FIRST_PERCENT) * elapsed / RAMP_TIME;
        let open = (vms as u64 * percent).div_ceil(100);
        usize::try_from(open).unwrap_or(vms)
    }
}
