//! Scenarios of the placement experiment.

use cactusdoor_core::unit::Millis;

/// Simulated time of every run.
pub const RUN_DURATION: Millis = 600_000;

/// Load of a run, and the failures and cancellations during it.
#[derive(Clone, Debug)]
pub struct PlacementScenario {
    pub name: &'static str,
    /// Declared processor demand of the arriving jobs outside the evening peak, as a
    /// share of all processors.
    pub load: f64,
    /// Share of noisy jobs among those that arrive during a noisy period.
    pub noisy_share: f64,
    /// Times at which a share of the recent jobs is cancelled.
    pub cancellations: &'static [Millis],
    /// VM 1 fails every task that starts in this interval.
    pub failing_worker: Option<(Millis, Millis)>,
    /// Data centre 0 is out of service in this interval.
    pub outage: Option<(Millis, Millis)>,
}

/// All scenarios, in the order of the table.
#[must_use]
pub fn all() -> Vec<PlacementScenario> {
    let peak = PlacementScenario {
        name: "evening peak",
        load: 0.4,
        noisy_share: 0.0,
        cancellations: &[],
        failing_worker: None,
        outage: None,
    };
    vec![
        peak.clone(),
        PlacementScenario { name: "noisy waves", noisy_share: 0.3, ..peak.clone() },
        PlacementScenario {
            name: "cancellations and a failing worker",
            cancellations: &[200_000, 320_000],
            failing_worker: Some((150_000, 300_000)),
            ..peak.clone()
        },
        PlacementScenario {
            name: "data centre out",
            load: 0.3,
            outage: Some((200_000, 380_000)),
            ..peak
        },
    ]
}
