//! Metrics of an entry.

use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Counters and histograms, all with the prefix `cactusdoor_entry_`.
#[derive(Clone)]
pub struct EntryMetrics {
    /// By kind (interactive, binding) and outcome.
    pub requests: IntCounterVec,
    /// Of interactive requests, in seconds.
    pub latency: Histogram,
    /// By kind: retry, hedge, redirect.
    pub extra_attempts: IntCounterVec,
    pub dropped_answers: IntCounter,
    pub ejections: IntCounter,
    /// Requests that wait for a slot at an upstream.
    pub queued: IntGauge,
    /// By result: won, lost, not_stored.
    pub claims: IntCounterVec,
    /// By outcome: done, not_run, unknown.
    pub settlements: IntCounterVec,
    /// By result: applied, repeated, gap, stale.
    pub rosters: IntCounterVec,
    pub config_revision: IntGauge,
    /// By result: accepted, conflict, unknown, not_changed.
    pub changes: IntCounterVec,
    /// By kind (submit, cancel) and result (stored, not_stored).
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
                "Answers of another attempt, incomplete or corrupted, not passed on.",
            )?,
            ejections: counter("ejections_total", "Upstreams ejected after failures.")?,
            queued: gauge("queued_requests", "Requests waiting for a slot at an upstream.")?,
            claims: family("claims_total", "Claims of binding requests by result.", &["result"])?,
            settlements: family("settlements_total", "Claims settled by outcome.", &["outcome"])?,
            rosters: family("rosters_total", "Roster updates by result.", &["result"])?,
            config_revision: gauge("config_revision", "Revision of the configuration in force.")?,
            changes: family("config_changes_total", "Operators' changes by result.", &["result"])?,
            jobs: family("job_calls_total", "Job calls by kind and result.", &["kind", "result"])?,
        })
    }
}
