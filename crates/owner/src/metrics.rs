//! Metrics of the shards owned by this process.

use cactusdoor_core::job::PlacementEnd;
use cactusdoor_timeline::EventKind;
use prometheus::{IntCounter, IntCounterVec, IntGaugeVec, Opts, Registry};

/// Counters and gauges with the prefix `cactusdoor_owner_`.
#[derive(Clone)]
pub struct OwnerMetrics {
    pub claims: IntCounter,
    pub heartbeats: IntCounter,
    pub lost_calls: IntCounter,
    pub failed_appends: IntCounter,
    placements: IntCounter,
    lapses: IntCounter,
    transfers: IntCounter,
    ends: IntCounterVec,
    /// By shard.
    pub pending: IntGaugeVec,
    pub agents: IntGaugeVec,
}

impl OwnerMetrics {
    /// Creates the metrics and registers them.
    pub fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let counter = |name: &str, help: &str| -> Result<IntCounter, prometheus::Error> {
            let counter = IntCounter::new(format!("cactusdoor_owner_{name}"), help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let gauge = |name: &str, help: &str| -> Result<IntGaugeVec, prometheus::Error> {
            let opts = Opts::new(format!("cactusdoor_owner_{name}"), help);
            let gauge = IntGaugeVec::new(opts, &["shard"])?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let ends = Opts::new("cactusdoor_owner_ends_total", "Recorded ends of placements by kind");
        let ends = IntCounterVec::new(ends, &["end"])?;
        registry.register(Box::new(ends.clone()))?;
        Ok(Self {
            claims: counter("claims_total", "Claims of shards that this process appended")?,
            heartbeats: counter("heartbeats_total", "Answered heartbeats")?,
            lost_calls: counter("lost_calls_total", "Starts and stops without an answer")?,
            failed_appends: counter("failed_appends_total", "Appends that were not stored")?,
            placements: counter("placements_total", "Committed placements")?,
            lapses: counter("lapses_total", "VMs whose leases expired without a heartbeat")?,
            transfers: counter("moves_total", "Tasks transferred to other shards")?,
            ends,
            pending: gauge("pending_tasks", "Tasks that wait for a placement")?,
            agents: gauge("agents", "Agents that send heartbeats")?,
        })
    }

    /// Removes the gauges of a shard that this process no longer owns.
    pub fn remove(&self, shard: &str) {
        for gauge in [&self.pending, &self.agents] {
            if let Err(error) = gauge.remove_label_values(&[shard]) {
                log::debug!("could not remove a gauge of shard {shard}: {error}");
            }
        }
    }

    /// Updates the counters for an event.
    pub fn count(&self, event: &EventKind) {
        match event {
            EventKind::TaskPlaced { .. } => self.placements.inc(),
            EventKind::LeaseLapsed { .. } => self.lapses.inc(),
            EventKind::TaskTransferred { .. } => self.transfers.inc(),
            EventKind::TaskEnded { end, .. } => {
                self.ends.with_label_values(&[label(end)]).inc();
            }
            _ => {}
        }
    }
}

fn label(end: &PlacementEnd) -> &'static str {
    match end {
        PlacementEnd::Finished { .. } => "finished",
        PlacementEnd::Failed => "failed",
        PlacementEnd::Evicted { .. } => "evicted",
        PlacementEnd::Lapsed => "lapsed",
        PlacementEnd::Refused(_) => "refused",
        PlacementEnd::Cancelled => "cancelled",
    }
}
