//! Scenarios of the routing experiment.

use crate::event::{Micros, SECOND};
use crate::load::LoadShape;
use crate::preset::SitePreset;

/// A load and what happens during it.
#[derive(Clone, Debug)]
pub struct RoutingScenario {
    pub name: &'static str,
    pub load: LoadShape,
    pub length: Micros,
    /// Batch tasks that start on a VM per minute.
    pub noise_per_minute: f64,
    /// Data centre 0 is out of service in this interval.
    pub out: Option<(Micros, Micros)>,
    /// VM 0 is this much slower in the middle third of the run.
    pub slow_vm: Option<f64>,
}

/// All scenarios, with loads as parts of the site's undisturbed capacity.
#[must_use]
pub fn all(site: &SitePreset) -> Vec<RoutingScenario> {
    let rate = |part: f64| part * site.capacity_rate();
    let quiet = |name, part| RoutingScenario {
        name,
        load: LoadShape::constant(rate(part)),
        length: 120 * SECOND,
        noise_per_minute: 1.0,
        out: None,
        slow_vm: None,
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
        RoutingScenario { load: peak, ..quiet("evening peak", 0.0) },
        RoutingScenario { noise_per_minute: 8.0, ..quiet("noisy waves", 0.45) },
        RoutingScenario { slow_vm: Some(6.0), ..quiet("one slow VM", 0.5) },
        RoutingScenario { out: Some((40 * SECOND, 80 * SECOND)), ..quiet("data centre out", 0.4) },
        RoutingScenario { load: surge, ..quiet("surge to 1.5x for 30 s", 0.0) },
    ]
}
