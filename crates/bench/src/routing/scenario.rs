//! Scenarios of the routing experiment.

use crate::event::{Micros, SECOND};
use crate::load::LoadShape;
use crate::preset::SitePreset;

/// Load of a run, and the disturbances and failures during it.
#[derive(Clone, Debug)]
pub struct RoutingScenario {
    pub name: &'static str,
    pub load: LoadShape,
    pub duration: Micros,
    /// Mean number of batch tasks that start on each VM per minute.
    pub batch_starts_per_minute: f64,
    /// Data centre 0 is out of service in this interval.
    pub outage: Option<(Micros, Micros)>,
    /// Factor on the service times of VM 0 in the middle third of the run.
    pub slow_vm_factor: Option<f64>,
}

/// All scenarios, in the order of the table; loads are shares of the site's capacity
/// without interference.
#[must_use]
pub fn all(site: &SitePreset) -> Vec<RoutingScenario> {
    let rate = |share: f64| share * site.capacity_rate();
    let steady = |name, share| RoutingScenario {
        name,
        load: LoadShape::constant(rate(share)),
        duration: 120 * SECOND,
        batch_starts_per_minute: 1.0,
        outage: None,
        slow_vm_factor: None,
    };
    let peak = LoadShape {
        peak_factor: 2.2,
        peak_start: 20 * SECOND,
        peak_end: 100 * SECOND,
        ..LoadShape::constant(rate(0.3))
    };
    let surge = LoadShape {
        surge_factor: 2.5,
        surge_start: 40 * SECOND,
        surge_end: 70 * SECOND,
        ..LoadShape::constant(rate(0.6))
    };
    vec![
        RoutingScenario { load: peak, ..steady("evening peak", 0.0) },
        RoutingScenario { batch_starts_per_minute: 8.0, ..steady("noisy waves", 0.45) },
        RoutingScenario { slow_vm_factor: Some(6.0), ..steady("one slow VM", 0.5) },
        RoutingScenario {
            outage: Some((40 * SECOND, 80 * SECOND)),
            ..steady("data centre out", 0.4)
        },
        RoutingScenario { load: surge, ..steady("surge to 1.5x for 30 s", 0.0) },
    ]
}
