//! Scenarios of the placement experiment.

use cactusdoor_core::unit::Millis;

/// Length of every run.
pub const LENGTH: Millis = 600_000;

/// What happens during a run, besides the arrivals with their evening peak.
#[derive(Clone, Debug)]
pub struct PlacementScenario {
    pub name: &'static str,
    /// Share of the processors that declared needs take outside the peak.
    pub load: f64,
    /// Share of the jobs that are noisy while a wave lasts.
    pub noisy: f64,
    /// Jobs are cancelled in waves at these times.
    pub cancellations: &'static [Millis],
    /// VM 1 fails every task that starts in this interval.
    pub failing: Option<(Millis, Millis)>,
    /// Data centre 0 is out of service in this interval.
    pub out: Option<(Millis, Millis)>,
}

/// All scenarios.
#[must_use]
pub fn all() -> Vec<PlacementScenario> {
    let peak = PlacementScenario {
        name: "evening peak",
        load: 0.4,
        noisy: 0.0,
        cancellations: &[],
        failing: None,
        out: None,
    };
    vec![
        peak.clone(),
        PlacementScenario { name: "noisy waves", noisy: 0.3, ..peak.clone() },
        PlacementScenario {
            name: "cancellations and a failing worker",
            cancellations: &[200_000, 320_000],
            failing: Some((150_000, 300_000)),
            ..peak.clone()
        },
        PlacementScenario {
            name: "data centre out",
            load: 0.3,
            out: Some((200_000, 380_000)),
            ..peak
        },
    ]
}
