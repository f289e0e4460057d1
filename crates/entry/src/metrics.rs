//! Metrics of an entry.

use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Counters and histograms, all with the prefix `cactusdoor_entry_`.
#[derive(Clone)]
pub struct EntryMetrics {
    /// By kind and outcome.
    pub requests: IntCounterVec,
    pub latency: Histogram,
    /// By kind: retry, hedge, redirect.
    pub extra_attempts: IntCounterVec,
    pub dropped_answers: IntCounter,
    pub ejections: IntCounter,
    pub queued: IntGauge,
    /// By result: won, lost, not_stored.
    pub claims: IntCounterVec,
    /// By outcome.
    pub settlements: IntCounterVec,
    /// By result: applied, stale, gap.
    pub rosters: IntCounterVec,
    pub config_revision: IntGauge,
    pub changes: IntCounterVec,
    pub jobs: IntCounterVec,
}

fn options(name: &str, help: &str) -> Opts {
    Opts::new(name, help).namespace("cactusdoor_entry")
}

impl EntryMetrics {
    pub fn open(registry: &Registry) -> prometheus::Result<Self> {
        let family = |name: &str, help: &str, labels: &[&str]| {
            let family = IntCounterVec::new(options(name, help), labels)?;
            registry.register(Box::new(family.clone()))?;
            prometheus::Result::Ok(family)
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::with_opts(options(name, help))?;
            registry.register(Box::new(counter.clone()))?;
            prometheus::Result::Ok(counter)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::with_opts(options(name, help))?;
            registry.register(Box::new(gauge.clone()))?;
            prometheus::Result::Ok(gauge)
        };
        let help = "Time from receipt to answer of interactive requests.";
        let buckets = prometheus::exponential_buckets(0.000_5, 1.5, 28)?;
        let histogram = HistogramOpts::from(options("request_seconds", help)).buckets(buckets);
        let latency = Histogram::with_opts(histogram)?;
        registry.register(Box::new(latency.clone()))?;
        let outcomes = "Requests by kind and outcome.";
        Ok(Self {
            requests: family("requests_total", outcomes, &["kind", "outcome"])?,
            latency,
            extra_attempts: family(
                "extra_attempts_total",
                "Retries, hedges and redirects.",
                &["kind"],
            )?,
            dropped_answers: counter(
                "dropped_answers_total",
                "Answers that were foreign or not whole.",
            )?,
            ejections: counter("ejections_total", "Ejections of upstreams.")?,
            queued: gauge("queued_requests", "Requests that wait for room.")?,
            claims: family("claims_total", "Claims by result.", &["result"])?,
            settlements: family("settlements_total", "Settlements by outcome.", &["outcome"])?,
            rosters: family("rosters_total", "Roster updates by result.", &["result"])?,
            config_revision: gauge("config_revision", "Revision of the configuration.")?,
            changes: family("config_changes_total", "Operators' changes by result.", &["result"])?,
            jobs: family("job_calls_total", "Job calls by kind and result.", &["kind", "result"])?,
        })
    }
}
