//! Prometheus metrics of the daemons.

use cactusdoor_queue::backlog::{Backlog, PriorityWork};
use prometheus::{
    Encoder, Gauge, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry, TextEncoder,
};

/// Upper bounds of the latency buckets in seconds, up to callers' longest deadline.
const LATENCY_BUCKETS: [f64; 10] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0];

/// Upper bounds of the buckets of forecast errors in percent of full speed.
const ERROR_BUCKETS: [f64; 8] = [0.0, 5.0, 10.0, 20.0, 30.0, 50.0, 75.0, 100.0];

/// Metrics of an owner.
#[derive(Clone)]
pub struct OwnerMetrics {
    pub owns: IntGauge,
    pub started: IntCounter,
    pub ended: IntCounterVec,
    /// Runs that the owner ended itself.
    pub lapsed: IntCounterVec,
    /// Stops ordered for runs that the owner had not assigned.
    pub unassigned: IntCounter,
    /// Stops ordered for moves and preemptions.
    pub moves: IntCounterVec,
    pub appended_records: IntCounter,
    /// Duration of a round of the owner's loop.
    pub rounds: Histogram,
    /// Calls that waited for the loop when its last round began.
    pub waiting_calls: IntGauge,
    /// Absolute differences of forecast and first speeds, percent of full speed.
    pub forecast_errors: Histogram,
    /// Age of the oldest load that forecasts use, s.
    pub load_age: Gauge,
    /// Best-effort steps by what their jobs can still achieve.
    pub ranked_steps: IntGaugeVec,
    /// Remaining work of the jobs, by service and kind.
    pub backlog: IntGaugeVec,
}

/// Metrics of an agent.
#[derive(Clone)]
pub struct AgentMetrics {
    pub starts: IntCounterVec,
    pub listings: IntCounter,
    pub reports: IntCounter,
    pub throttles: IntCounter,
    /// Connections and announcements rejected because of a limit.
    pub rejected: IntCounterVec,
}

/// Metrics of an entry.
#[derive(Clone)]
pub struct EntryMetrics {
    pub answers: IntCounterVec,
    pub store_wait: Histogram,
    /// Requests that the owner stored for this entry.
    pub relayed: IntCounter,
    /// Connections and requests rejected because of a limit.
    pub rejected: IntCounterVec,
    /// Jobs refused for lack of room, by queue.
    pub room_refusals: IntCounterVec,
}

impl OwnerMetrics {
    pub fn open(registry: &Registry) -> prometheus::Result<Self> {
        let rounds = HistogramOpts::new(
            "cactusdoor_owner_round_seconds",
            "Duration of a round: calls handled, tasks placed, answers sent",
        );
        let errors = HistogramOpts::new(
            "cactusdoor_owner_forecast_error_percent",
            "Absolute difference of forecast and first listed speed of a best-effort run",
        );
        let metrics = Self {
            owns: IntGauge::new("cactusdoor_owner_active", "1 while this process owns the queues")?,
            started: IntCounter::new("cactusdoor_owner_placements_total", "Stored placements")?,
            ended: vector("cactusdoor_owner_ends_total", "Runs that ended", &["end"])?,
            lapsed: vector(
                "cactusdoor_owner_lapsed_runs_total",
                "Runs that the owner ended without a report of their end",
                &["cause"],
            )?,
            unassigned: IntCounter::new(
                "cactusdoor_owner_unassigned_runs_total",
                "Stops ordered for listed runs that the owner had not assigned",
            )?,
            moves: vector(
                "cactusdoor_owner_moves_total",
                "Stops ordered so that a task continues elsewhere",
                &["cause"],
            )?,
            appended_records: IntCounter::new(
                "cactusdoor_owner_records_total",
                "Records sent to the store",
            )?,
            rounds: Histogram::with_opts(rounds.buckets(LATENCY_BUCKETS.to_vec()))?,
            waiting_calls: IntGauge::new(
                "cactusdoor_owner_waiting_calls",
                "Calls that waited for the owner when its last round began",
            )?,
            forecast_errors: Histogram::with_opts(errors.buckets(ERROR_BUCKETS.to_vec()))?,
            load_age: Gauge::new(
                "cactusdoor_owner_load_age_seconds",
                "Age of the oldest load that forecasts use; 0 without one",
            )?,
            ranked_steps: IntGaugeVec::new(
                Opts::new(
                    "cactusdoor_owner_ranked_steps",
                    "Best-effort steps by what their jobs can still achieve",
                ),
                &["class"],
            )?,
            backlog: IntGaugeVec::new(
                Opts::new(
                    "cactusdoor_owner_backlog_cpu_seconds",
                    "Work of the jobs that is not done, by the callers' estimates",
                ),
                &["service", "kind"],
            )?,
        };
        registry.register(Box::new(metrics.rounds.clone()))?;
        registry.register(Box::new(metrics.waiting_calls.clone()))?;
        registry.register(Box::new(metrics.forecast_errors.clone()))?;
        registry.register(Box::new(metrics.load_age.clone()))?;
        registry.register(Box::new(metrics.ranked_steps.clone()))?;
        registry.register(Box::new(metrics.backlog.clone()))?;
        registry.register(Box::new(metrics.owns.clone()))?;
        registry.register(Box::new(metrics.started.clone()))?;
        registry.register(Box::new(metrics.ended.clone()))?;
        registry.register(Box::new(metrics.lapsed.clone()))?;
        registry.register(Box::new(metrics.unassigned.clone()))?;
        registry.register(Box::new(metrics.moves.clone()))?;
        registry.register(Box::new(metrics.appended_records.clone()))?;
        Ok(metrics)
    }

    /// Sets the gauges of the remaining work; those of services without work are dropped.
    pub fn set_backlog(&self, backlog: &Backlog) {
        self.backlog.reset();
        for service in &backlog.services {
            let sum = |kind: fn(&PriorityWork) -> u64| {
                let sum = service.work.iter().map(kind).fold(0, u64::saturating_add);
                i64::try_from(sum / 1_000).unwrap_or(i64::MAX)
            };
            let gauge = |kind| self.backlog.with_label_values(&[&*service.service, kind]);
            gauge("best_effort").set(sum(|work| work.best_effort));
            gauge("reserving").set(sum(|work| work.reserving));
        }
    }
}

impl AgentMetrics {
    pub fn open(registry: &Registry) -> prometheus::Result<Self> {
        let metrics = Self {
            starts: vector(
                "cactusdoor_agent_starts_total",
                "Start calls to the worker",
                &["outcome"],
            )?,
            listings: IntCounter::new(
                "cactusdoor_agent_listings_total",
                "Run lists read from the worker",
            )?,
            reports: IntCounter::new("cactusdoor_agent_reports_total", "Reports to the owner")?,
            throttles: IntCounter::new("cactusdoor_agent_paces_total", "Changes of a run's speed")?,
            rejected: vector(
                "cactusdoor_agent_rejected_total",
                "Connections and announcements rejected because of a limit",
                &["cause"],
            )?,
        };
        registry.register(Box::new(metrics.rejected.clone()))?;
        registry.register(Box::new(metrics.starts.clone()))?;
        registry.register(Box::new(metrics.listings.clone()))?;
        registry.register(Box::new(metrics.reports.clone()))?;
        registry.register(Box::new(metrics.throttles.clone()))?;
        Ok(metrics)
    }
}

impl EntryMetrics {
    pub fn open(registry: &Registry) -> prometheus::Result<Self> {
        let wait = HistogramOpts::new("cactusdoor_entry_store_seconds", "Time to store a request");
        let metrics = Self {
            answers: vector("cactusdoor_entry_answers_total", "Answers", &["call", "status"])?,
            store_wait: Histogram::with_opts(wait.buckets(LATENCY_BUCKETS.to_vec()))?,
            relayed: IntCounter::new(
                "cactusdoor_entry_relayed_total",
                "Requests that the owner stored for this entry",
            )?,
            rejected: vector(
                "cactusdoor_entry_rejected_total",
                "Connections and requests rejected because of a limit",
                &["cause"],
            )?,
            room_refusals: vector(
                "cactusdoor_entry_room_refusals_total",
                "Jobs refused as they would have been useless when complete",
                &["queue"],
            )?,
        };
        registry.register(Box::new(metrics.rejected.clone()))?;
        registry.register(Box::new(metrics.relayed.clone()))?;
        registry.register(Box::new(metrics.room_refusals.clone()))?;
        registry.register(Box::new(metrics.answers.clone()))?;
        registry.register(Box::new(metrics.store_wait.clone()))?;
        Ok(metrics)
    }
}

fn vector(name: &str, help: &str, labels: &[&str]) -> prometheus::Result<IntCounterVec> {
    IntCounterVec::new(Opts::new(name, help), labels)
}

/// All metrics in the text format of Prometheus.
pub fn text(registry: &Registry) -> prometheus::Result<Vec<u8>> {
    let mut text = Vec::new();
    TextEncoder::new().encode(&registry.gather(), &mut text)?;
    Ok(text)
}
