//! Answers of an owner to agents and entries.

use cactusdoor_core::unit::{Millis, Moment};
use cactusdoor_peer::queue::{WatchReply, WatchRequest};
use cactusdoor_queue::lease::{CONFIRM_LIMIT, GRANT};
use cactusdoor_queue::name::AgentName;
use cactusdoor_queue::press::ServingFigures;
use cactusdoor_queue::report::{AgentGrant, AgentOrder, ReportReply};
use tokio::sync::oneshot;

use super::{OwnerTerm, send};

/// An owner whose last confirmation is older asks its agents to look for another:
/// two beacons, and a slow answer.
pub(super) const CONFIRM_DOUBT: Millis = 1_200;
/// Between two tellings of the learned figures to an agent.
const PRESS_INTERVAL: Millis = 1_000;

impl OwnerTerm {
    pub(super) fn answer(&mut self, now: Moment) {
        let book = &self.book;
        let ready = |agent: &AgentName, until: Moment| {
            until <= now || book.seats.get(agent).is_some_and(|seat| seat.news)
        };
        let due: Vec<_> = self
            .reports
            .iter()
            .filter(|(agent, (_, until, _))| ready(agent, *until))
            .map(|(agent, _)| agent.clone())
            .collect();
        for agent in due {
            if let Some((reply, _, received)) = self.reports.swap_remove(&agent) {
                self.answer_report(&agent, reply, received);
            }
        }
        for (request, reply, until) in std::mem::take(&mut self.watches) {
            let from = self.watched_from(&request);
            if self.changes.len() > from || until <= now {
                self.answer_watch(&request, reply);
            } else {
                self.watches.push((request, reply, until));
            }
        }
    }

    pub(super) fn answer_report(
        &mut self,
        agent: &AgentName,
        reply: oneshot::Sender<ReportReply>,
        received: Moment,
    ) {
        let now = self.context.clock.now();
        let limit = GRANT.min(self.context.lease_limit * 7 / 10);
        let until = received.after(limit).min(self.confirmed.after(CONFIRM_LIMIT));
        let grant = until.0.saturating_sub(received.0);
        let confirmed = self.is_confirmed(now);
        let presses = self.press_figures(agent, now);
        let outdated = self.outdated;
        // Orders are received in their order, so what is behind a start waits too.
        let may_go =
            |(_, order): &&(u64, AgentOrder)| !outdated || matches!(order, AgentOrder::Stop { .. });
        let Some(seat) = self.book.seats.get_mut(agent) else {
            send(reply, ReportReply::NotOwner);
            return;
        };
        seat.news = false;
        let granted = AgentGrant {
            epoch: self.book.epoch,
            life: seat.worker.as_ref().map(|worker| worker.life.clone()),
            grant,
            confirmed,
            beacon: self.beacon_end,
            noted: seat.noted,
            settled: std::mem::take(&mut seat.settled),
            orders: seat.orders.iter().take_while(may_go).cloned().collect(),
            presses,
        };
        send(reply, ReportReply::Grant(granted));
    }

    /// The learned figures, once a second for each agent.
    fn press_figures(&mut self, agent: &AgentName, now: Moment) -> Option<Vec<ServingFigures>> {
        let told = self.told.entry(agent.clone()).or_default();
        if now < told.after(PRESS_INTERVAL) {
            return None;
        }
        *told = now;
        Some(self.book.presses.figures())
    }

    pub(super) fn is_confirmed(&self, now: Moment) -> bool {
        now <= self.confirmed.after(CONFIRM_DOUBT)
    }

    fn watched_from(&self, request: &WatchRequest) -> usize {
        let from = if request.epoch == self.book.epoch { request.from } else { 0 };
        usize::try_from(from).unwrap_or(usize::MAX)
    }

    pub(super) fn answer_watch(&self, request: &WatchRequest, reply: oneshot::Sender<WatchReply>) {
        let same = request.epoch == self.book.epoch;
        let from = self.watched_from(request).min(self.changes.len());
        let (number, pending) = &self.pending;
        let known = same && request.pending == *number;
        let pending = (!known).then(|| pending.iter().map(|(q, n)| (q.clone(), *n)).collect());
        let answer = WatchReply {
            epoch: self.book.epoch,
            confirmed: self.is_confirmed(self.context.clock.now()),
            next: self.changes.len() as u64,
            states: self.changes[from..].to_vec(),
            pending: (*number, pending),
        };
        send(reply, answer);
    }
}
