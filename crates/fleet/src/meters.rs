//! Counters and histograms of the daemons.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Bounds of latencies in seconds, up to the longest deadline of callers.
const LATENCY_BUCKETS: [f64; 10] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0];

/// Meters of an owner.
#[derive(Clone)]
pub struct OwnerMeters {
    pub owns: IntGauge,
    pub started: IntCounter,
    pub ended: IntCounterVec,
    pub appended_records: IntCounter,
}

/// Meters of an agent.
#[derive(Clone)]
pub struct AgentMeters {
    pub starts: IntCounterVec,
    pub listings: IntCounter,
    pub reports: IntCounter,
    pub paces: IntCounter,
}

/// Meters of an entry.
#[derive(Clone)]
pub struct EntryMeters {
    pub answers: IntCounterVec,
    pub store_wait: Histogram,
    /// Requests that the owner stored for this entry.
    pub relayed: IntCounter,
}

impl OwnerMeters {
    pub fn open(registry: &Registry) -> prometheus::Result<Self> {
        let meters = Self {
            owns: IntGauge::new("cactusdoor_owner_active", "1 while this process owns the queues")?,
            started: IntCounter::new("cactusdoor_owner_placements_total", "Stored placements")?,
            ended: vector("cactusdoor_owner_ends_total", "Ends of runs", &["end"])?,
            appended_records: IntCounter::new(
                "cactusdoor_owner_records_total",
                "Records handed to the store",
            )?,
        };
        registry.register(Box::new(meters.owns.clone()))?;
        registry.register(Box::new(meters.started.clone()))?;
        registry.register(Box::new(meters.ended.clone()))?;
        registry.register(Box::new(meters.appended_records.clone()))?;
        Ok(meters)
    }
}

impl AgentMeters {
    pub fn open(registry: &Registry) -> prometheus::Result<Self> {
        let meters = Self {
            starts: vector("cactusdoor_agent_starts_total", "Start calls", &["outcome"])?,
            listings: IntCounter::new("cactusdoor_agent_listings_total", "Lists of the worker")?,
            reports: IntCounter::new("cactusdoor_agent_reports_total", "Reports to the owner")?,
            paces: IntCounter::new("cactusdoor_agent_paces_total", "Changes of pace")?,
        };
        registry.register(Box::new(meters.starts.clone()))?;
        registry.register(Box::new(meters.listings.clone()))?;
        registry.register(Box::new(meters.reports.clone()))?;
        registry.register(Box::new(meters.paces.clone()))?;
        Ok(meters)
    }
}

impl EntryMeters {
    pub fn open(registry: &Registry) -> prometheus::Result<Self> {
        let wait = HistogramOpts::new("cactusdoor_entry_store_seconds", "Time to store a request");
        let meters = Self {
            answers: vector("cactusdoor_entry_answers_total", "Answers", &["call", "status"])?,
            store_wait: Histogram::with_opts(wait.buckets(LATENCY_BUCKETS.to_vec()))?,
            relayed: IntCounter::new(
                "cactusdoor_entry_relayed_total",
                "Requests that the owner stored for this entry",
            )?,
        };
        registry.register(Box::new(meters.relayed.clone()))?;
        registry.register(Box::new(meters.answers.clone()))?;
        registry.register(Box::new(meters.store_wait.clone()))?;
        Ok(meters)
    }
}

fn vector(name: &str, help: &str, labels: &[&str]) -> prometheus::Result<IntCounterVec> {
    IntCounterVec::new(Opts::new(name, help), labels)
}

/// All meters as text.
pub fn text(registry: &Registry) -> prometheus::Result<Vec<u8>> {
    let mut text = Vec::new();
    TextEncoder::new().encode(&registry.gather(), &mut text)?;
    Ok(text)
}
