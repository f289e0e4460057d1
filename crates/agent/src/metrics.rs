//! Metrics of the agent, prefix `cactusdoor_agent_`.

use prometheus::{
    Histogram, HistogramOpts, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry, Result,
};

/// Buckets of the upstream latency in seconds.
const LATENCY_BUCKETS: &[f64] =
    &[0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 60.0];

/// Counters and gauges; clones share their values.
#[derive(Clone)]
pub struct AgentMetrics {
    /// By `outcome`.
    pub starts: IntCounterVec,
    /// By `end`.
    pub ends: IntCounterVec,
    /// By `outcome`.
    pub heartbeats: IntCounterVec,
    /// By `outcome`.
    pub calls: IntCounterVec,
    /// By `outcome`.
    pub deliveries: IntCounterVec,
    /// By `outcome`.
    pub fences: IntCounterVec,
    /// Seconds from sending a request to its complete answer.
    pub latency: Histogram,
    /// By `state`.
    pub tasks: IntGaugeVec,
    /// By `resource`.
    pub committed: IntGaugeVec,
    /// Milliseconds.
    pub lease_remaining: IntGauge,
    pub config_revision: IntGauge,
    /// Milliseconds since the last confirmation; -1 before the first one.
    pub config_age: IntGauge,
    /// Remembered claims of binding requests.
    pub claims: IntGauge,
    pub epoch: IntGauge,
}

impl AgentMetrics {
    pub fn open(registry: &Registry) -> Result<Self> {
        let latency = HistogramOpts::new("cactusdoor_agent_upstream_seconds", "Upstream latency.");
        let metrics = Self {
            starts: counters(registry, "starts_total", "Requested task starts.", "outcome")?,
            ends: counters(registry, "task_ends_total", "Task ends.", "end")?,
            heartbeats: counters(registry, "heartbeats_total", "Heartbeats sent.", "outcome")?,
            calls: counters(registry, "calls_total", "Interactive requests.", "outcome")?,
            deliveries: counters(registry, "deliveries_total", "Binding requests.", "outcome")?,
            fences: counters(registry, "fences_total", "Fences of claims.", "outcome")?,
            latency: Histogram::with_opts(latency.buckets(LATENCY_BUCKETS.to_vec()))?,
            tasks: gauges(registry, "tasks", "Live tasks.", "state")?,
            committed: gauges(registry, "committed", "Resources reserved for tasks.", "resource")?,
            lease_remaining: gauge(registry, "lease_left_ms", "Remaining lease.")?,
            config_revision: gauge(registry, "config_revision", "Configuration revision.")?,
            config_age: gauge(
                registry,
                "config_age_ms",
                "Age of the last confirmation; -1 if none.",
            )?,
            claims: gauge(registry, "remembered_claims", "Remembered claims.")?,
            epoch: gauge(registry, "epoch", "Highest known owner epoch.")?,
        };
        registry.register(Box::new(metrics.latency.clone()))?;
        Ok(metrics)
    }
}

fn name(part: &str) -> String {
    format!("cactusdoor_agent_{part}")
}

fn counters(registry: &Registry, part: &str, help: &str, label: &str) -> Result<IntCounterVec> {
    let counters = IntCounterVec::new(Opts::new(name(part), help), &[label])?;
    registry.register(Box::new(counters.clone()))?;
    Ok(counters)
}

fn gauges(registry: &Registry, part: &str, help: &str, label: &str) -> Result<IntGaugeVec> {
    let gauges = IntGaugeVec::new(Opts::new(name(part), help), &[label])?;
    registry.register(Box::new(gauges.clone()))?;
    Ok(gauges)
}

fn gauge(registry: &Registry, part: &str, help: &str) -> Result<IntGauge> {
    let gauge = IntGauge::new(name(part), help)?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}
