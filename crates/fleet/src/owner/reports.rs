//! Agents' reports, and what they mean for the decision log and the metrics.

use std::time::Duration;

use cactusdoor_core::unit::{Millis, Moment};
use cactusdoor_node::clock::unix_ms;
use cactusdoor_queue::moves::decision::MoveFigures;
use cactusdoor_queue::name::AgentName;
use cactusdoor_queue::observation::RunObservation;
use cactusdoor_queue::report::{EndedRun, LoadReport, ReportReply, RunEnd};

use super::OwnerTerm;
use super::report_queue::ReportSender;
use crate::decision::DecisionEvent;

/// Least time between two records of the loads' age, ms: it looks at all workers.
const LOAD_AGE_INTERVAL: Millis = 1_000;

impl OwnerTerm {
    pub(super) fn handle_report(&mut self, loaded: &LoadReport, reply: ReportSender, now: Moment) {
        let report = &loaded.report;
        if report.epoch > self.scheduler.epoch {
            // The agent follows an owner of a higher epoch.
            reply.send(ReportReply::NotOwner, None);
            self.superseded = true;
            return;
        }
        let epoch = self.scheduler.epoch;
        for ended in &report.ended {
            if self.scheduler.is_live(&report.agent, &ended.task, ended.run) {
                self.context.metrics.ended.with_label_values(&[end_label(ended.end)]).inc();
                self.context.log.record(DecisionEvent::RunEnded {
                    task: ended.task.clone(),
                    run: ended.run,
                    agent: report.agent.clone(),
                    end: ended.end,
                    epoch,
                });
            }
        }
        let quarantines = self.quarantines(&report.agent);
        self.scheduler.report_load(loaded, now, unix_ms());
        self.record_observations(&report.ended);
        if self.quarantines(&report.agent) > quarantines {
            let (agent, quarantines) = (report.agent.clone(), self.quarantines(&report.agent));
            self.context.log.record(DecisionEvent::WorkerQuarantined { agent, quarantines, epoch });
        }
        let until = now.after(report.wait);
        if let Some(older) = self.reports.insert(&report.agent, reply, until, now) {
            self.answer_report(&report.agent, older.reply, older.received);
        }
    }

    /// Logs and counts the scheduler's observations; the ends in `counted` have been counted.
    pub(super) fn record_observations(&mut self, counted: &[EndedRun]) {
        let epoch = self.scheduler.epoch;
        let metrics = &self.context.metrics;
        for observation in self.scheduler.take_observations() {
            let event = match observation {
                RunObservation::Lapsed { agent, task, run, cause } => {
                    metrics.lapsed.with_label_values(&[cause.label()]).inc();
                    if !counted.iter().any(|ended| ended.task == task && ended.run == run) {
                        metrics.ended.with_label_values(&[end_label(RunEnd::Lapsed)]).inc();
                    }
                    DecisionEvent::RunLapsed { task, run, agent, cause, epoch }
                }
                RunObservation::Unassigned { agent, task, run } => {
                    metrics.unassigned.inc();
                    DecisionEvent::RunUnassigned { task, run, agent, epoch }
                }
                RunObservation::Withdrawn { agent, task, run } => {
                    DecisionEvent::StartWithdrawn { task, run, agent, epoch }
                }
                RunObservation::LoadRejected { agent, error } => {
                    log::warn!("load of agent {agent} is not used: {error}");
                    continue;
                }
                RunObservation::FirstSpeed { forecast, speed, .. } => {
                    metrics.forecast_errors.observe(f64::from(forecast.abs_diff(speed)));
                    continue;
                }
                RunObservation::Moved { agent, task, run, target, figures } => {
                    metrics.moves.with_label_values(&["slow"]).inc();
                    let MoveFigures { speed, here, there } = figures;
                    DecisionEvent::RunMoved { task, run, agent, target, speed, here, there, epoch }
                }
                RunObservation::Preempted { agent, task, run, job } => {
                    metrics.moves.with_label_values(&["preempted"]).inc();
                    DecisionEvent::RunPreempted { task, run, agent, needed_by: job, epoch }
                }
            };
            self.context.log.record(event);
        }
    }

    /// Records the age of the oldest load that forecasts use, at intervals.
    pub(super) fn record_load_age(&mut self, now: Moment) {
        if now < self.load_age_recorded.after(LOAD_AGE_INTERVAL) {
            return;
        }
        self.load_age_recorded = now;
        let age = Duration::from_millis(self.scheduler.oldest_load(now).unwrap_or_default());
        self.context.metrics.load_age.set(age.as_secs_f64());
    }

    fn quarantines(&self, agent: &AgentName) -> u32 {
        self.scheduler.workers.get(agent).map_or(0, |tracked| tracked.health.quarantines())
    }
}

fn end_label(end: RunEnd) -> &'static str {
    match end {
        RunEnd::Done => "done",
        RunEnd::Failed => "failed",
        RunEnd::Stopped => "stopped",
        RunEnd::Lapsed => "lapsed",
        RunEnd::Broken => "broken",
        RunEnd::Alone => "alone",
        RunEnd::NotStarted => "not_started",
    }
}
