//! Appends of an owner's records, and the effects of stored ones.
//!
//! A decision takes effect only once its record is stored, in the order of the records.

use bytes::Bytes;
use cactusdoor_core::unit::Moment;
use cactusdoor_platform::store::KeyedRecord;
use cactusdoor_queue::scheduler::CommitEffect;

use super::answers::MAX_CONFIRM_AGE;
use super::background::AppendGroup;
use super::{ACKNOWLEDGE_DELAY, AppendResult, OwnerTerm, TermEnd};
use crate::appender::AppenderError;
use crate::decision::DecisionEvent;

/// Most records of one append.
const APPEND_RECORDS: usize = 600;
/// Most bytes of one append: a fraction of the largest call.
const APPEND_BYTES: usize = 400_000;

impl OwnerTerm {
    /// Applies effects that need no stored record and starts the next append.
    pub(super) fn flush(&mut self, now: Moment) {
        while self.in_flight.is_none()
            && self.writes.front().is_some_and(|write| write.record.is_none())
        {
            if let Some(effect) = self.writes.pop_front().and_then(|write| write.effect) {
                self.apply_effect(&effect);
            }
        }
        if !self.may_append(now) || self.writes.is_empty() {
            return;
        }
        let (mut group, mut records, mut bytes) = (Vec::new(), Vec::new(), 0);
        while bytes < APPEND_BYTES && records.len() < APPEND_RECORDS {
            let Some(write) = self.writes.pop_front() else { break };
            if let Some((key, value)) = &write.record {
                let value = value.clone().map(Bytes::from);
                let record = KeyedRecord { key: key.clone(), value };
                bytes += record.size();
                records.push(record);
            }
            group.push(write);
        }
        self.appended = now;
        self.context.metrics.appended_records.inc_by(records.len() as u64);
        if self.groups.send(AppendGroup { records, retries: true }).is_err() {
            log::error!("appender of the owner's records has stopped");
        }
        self.in_flight = Some(group);
    }

    pub(super) fn handle_append_result(&mut self, result: AppendResult) -> Option<TermEnd> {
        match result {
            Ok(stored) => {
                self.confirm(stored.sent);
                let group = self.in_flight.take().unwrap_or_default();
                for effect in group.into_iter().filter_map(|write| write.effect) {
                    self.apply_effect(&effect);
                }
                None
            }
            Err(_) => Some(TermEnd::Fenced),
        }
    }

    pub(super) fn confirm(&mut self, sent: Moment) {
        if sent > self.confirmed.after(MAX_CONFIRM_AGE) {
            self.confirmed_since = sent;
        }
        self.confirmed = self.confirmed.max(sent);
    }

    pub(super) fn handle_heartbeat_result(&mut self, result: AppendResult) -> Option<TermEnd> {
        match result {
            Ok(stored) => {
                self.heartbeat_end = self.heartbeat_end.max(stored.end);
                self.confirm(stored.sent);
                None
            }
            Err(AppenderError::Fenced) => Some(TermEnd::Fenced),
            Err(_) => None,
        }
    }

    fn apply_effect(&mut self, effect: &CommitEffect) {
        self.scheduler.release(effect);
        let epoch = self.scheduler.epoch;
        match effect {
            CommitEffect::Started { agent, task, run, reserved_cpu, forecast } => {
                self.context.metrics.started.inc();
                self.context.log.record(DecisionEvent::TaskPlaced {
                    task: task.clone(),
                    run: *run,
                    agent: agent.clone(),
                    reserved_cpu: *reserved_cpu,
                    forecast: *forecast,
                    epoch,
                });
            }
            CommitEffect::Published { job, state } => {
                if self.published.insert(job.clone(), *state) != Some(*state) {
                    self.changes.push((job.clone(), *state));
                    let (job, state) = (job.clone(), *state);
                    self.context.log.record(DecisionEvent::JobPublished { job, state, epoch });
                }
                if state.has_ended() {
                    self.ended.push(job.clone());
                }
            }
            CommitEffect::Acknowledged { agent, .. }
            | CommitEffect::RunAcknowledged { agent, .. } => {
                self.reports.hasten(agent, self.context.clock.now().after(ACKNOWLEDGE_DELAY));
            }
        }
    }
}
