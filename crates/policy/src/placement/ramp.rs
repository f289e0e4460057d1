//! Gradual return of a data centre to service.

use cactusdoor_core::unit::{Millis, Moment};

/// Time over which the VMs of a returned data centre are opened.
pub const RAMP_TIME: Millis = 30_000;
/// Share of the VMs that are open at once, in percent.
const FIRST_PERCENT: u64 = 20;

/// Which part of the VMs takes new tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReturnRamp {
    since: Option<Moment>,
}

impl ReturnRamp {
    /// The data centre has come back.
    pub fn begin(&mut self, now: Moment) {
        self.since = Some(now);
    }

    /// Number of `vms` that are open, at least 1 if there are any.
    #[must_use]
    pub fn open(&self, now: Moment, vms: usize) -> usize {
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
