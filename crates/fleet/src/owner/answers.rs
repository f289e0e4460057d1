//! Answers of an owner to agents' reports and entries' watches.
//!
//! Decides when an answer is due and which lease and orders it carries. No lease lasts longer
//! than `CONFIRM_LIMIT` after the owner's newest confirmed append.

use cactusdoor_core::unit::{Millis, Moment};
use cactusdoor_node::clock::unix_ms;
use cactusdoor_peer::queue::{BacklogReply, WatchReply, WatchRequest};
use cactusdoor_queue::interference::InterferenceEstimates;
use cactusdoor_queue::lease::{AGENT_LEASE, CONFIRM_LIMIT};
use cactusdoor_queue::name::AgentName;
use cactusdoor_queue::report::{AgentLease, ReportReply};

use super::report_queue::ReportSender;
use super::{OwnerTerm, WaitingWatch, WatchSender, send};

/// An owner whose newest confirmed append is older reports itself as unconfirmed, and its
/// agents search for a successor: two heartbeat intervals and a slow answer.
pub(super) const MAX_CONFIRM_AGE: Millis = 1_200;
/// Least time between two answers to watches, ms for each waiting entry.
const WATCH_GAP: Millis = 3;
/// Longest time for which a change waits for others, ms.
const MAX_WATCH_GAP: Millis = 150;
/// Least time between two transmissions of the interference estimates to an agent.
const ESTIMATE_INTERVAL: Millis = 1_000;

impl OwnerTerm {
    /// Answers reports and watches that have updates or whose wait has elapsed.
    pub(super) fn answer(&mut self, now: Moment) {
        for agent in self.scheduler.take_updated() {
            if let Some(report) = self.reports.take(&agent) {
                self.answer_report(&agent, report.reply, report.received);
            }
        }
        while let Some(agent) = self.reports.first_due(now) {
            if let Some(report) = self.reports.take(&agent) {
                self.answer_report(&agent, report.reply, report.received);
            }
        }
        if self.next_watch().is_none_or(|next| now < next) {
            return;
        }
        self.watches_answered = now;
        for (request, reply, until) in std::mem::take(&mut self.watches) {
            let from = self.watched_from(&request);
            if self.changes.has_after(from) || until <= now {
                self.answer_watch(&request, reply);
            } else {
                self.watches.push((request, reply, until));
            }
        }
    }

    /// When the next watch is answered. Changes are sent together: each of them concerns
    /// every entry, so the time between two answers grows with the number of entries.
    pub(super) fn next_watch(&self) -> Option<Moment> {
        let due = self.watches.iter().map(|(_, _, until)| *until).min()?;
        let behind =
            |(request, _, _): &WaitingWatch| self.changes.has_after(self.watched_from(request));
        if !self.watches.iter().any(behind) {
            return Some(due);
        }
        let gap = (self.watches.len() as Millis * WATCH_GAP).min(MAX_WATCH_GAP);
        Some(due.min(self.watches_answered.after(gap)))
    }

    pub(super) fn answer_report(
        &mut self,
        agent: &AgentName,
        reply: ReportSender,
        received: Moment,
    ) {
        let now = self.context.clock.now();
        let limit = AGENT_LEASE.min(self.context.lease_limit * 7 / 10);
        let until = received.after(limit).min(self.confirmed.after(CONFIRM_LIMIT));
        let duration = until.0.saturating_sub(received.0);
        let confirmed = self.is_confirmed(now);
        let interference = self.due_estimates(agent, now);
        let ranks = reply.takes_ranks().then(|| self.scheduler.due_ranks(agent, now)).flatten();
        let Some(tracked) = self.scheduler.workers.get_mut(agent) else {
            reply.send(ReportReply::NotOwner, None);
            return;
        };
        let orders = tracked.next_orders(self.outdated);
        let limit = if tracked.revokes_all(orders.len()) { duration } else { 0 };
        let lease = AgentLease {
            epoch: self.scheduler.epoch,
            incarnation: tracked.worker.as_ref().map(|worker| worker.incarnation.clone()),
            duration: tracked.lease_duration(limit),
            confirmed,
            heartbeat: self.heartbeat_end,
            acknowledged: tracked.acknowledged,
            acknowledged_runs: std::mem::take(&mut tracked.acknowledged_runs),
            orders,
            interference,
        };
        reply.send(ReportReply::Lease(lease), ranks);
    }

    /// The interference estimates, once per interval for each agent; otherwise `None`.
    fn due_estimates(
        &mut self,
        agent: &AgentName,
        now: Moment,
    ) -> Option<Vec<InterferenceEstimates>> {
        let sent = self.estimates_sent.entry(agent.clone()).or_default();
        if now < sent.after(ESTIMATE_INTERVAL) {
            return None;
        }
        *sent = now;
        Some(self.scheduler.interference.estimates())
    }

    /// Whether the store has recently confirmed an append of this owner.
    pub(super) fn is_confirmed(&self, now: Moment) -> bool {
        now <= self.confirmed.after(MAX_CONFIRM_AGE)
    }

    /// Index of the first change to send; 0 for a watch of another epoch.
    fn watched_from(&self, request: &WatchRequest) -> usize {
        let from = if request.epoch == self.scheduler.epoch { request.from } else { 0 };
        usize::try_from(from).unwrap_or(usize::MAX)
    }

    pub(super) fn answer_watch(&mut self, request: &WatchRequest, reply: WatchSender) {
        let same = request.epoch == self.scheduler.epoch;
        let (states, next) = self.changes.page(self.watched_from(request));
        let (number, pending) = &self.pending;
        let known = same && request.pending == *number;
        let pending = (!known).then(|| pending.iter().map(|(q, n)| (q.clone(), *n)).collect());
        let answer = WatchReply {
            epoch: self.scheduler.epoch,
            confirmed: self.is_confirmed(self.context.clock.now()),
            next: next as u64,
            states: states.to_vec(),
            pending: (*number, pending),
        };
        match reply {
            WatchSender::Plain(sender) => send(sender, answer),
            WatchSender::Backlog(sender) => {
                let backlog = self.scheduler.backlog(self.context.clock.now(), unix_ms());
                if let Some(backlog) = &backlog {
                    self.context.metrics.set_backlog(backlog);
                }
                send(sender, BacklogReply { watch: answer, backlog });
            }
        }
    }
}
