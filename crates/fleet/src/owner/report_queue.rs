//! Reports of agents that wait for an answer, in the order of their latest answers.

use std::collections::BTreeSet;

use cactusdoor_core::unit::Moment;
use cactusdoor_queue::name::AgentName;
use cactusdoor_queue::report::{OrderedReply, RankUpdate, ReportReply};
use indexmap::IndexMap;
use tokio::sync::oneshot;

/// Where the answer to a report goes.
#[derive(Debug)]
pub enum ReportSender {
    Plain(oneshot::Sender<ReportReply>),
    /// The report had a load; its answer may carry ranks.
    Ordered(oneshot::Sender<OrderedReply>),
}

impl ReportSender {
    /// Whether the answer may carry ranks.
    #[must_use]
    pub fn takes_ranks(&self) -> bool {
        matches!(self, Self::Ordered(_))
    }

    /// Sends the answer, unless the agent has closed its call.
    pub fn send(self, reply: ReportReply, ranks: Option<RankUpdate>) {
        match self {
            Self::Plain(sender) => super::send(sender, reply),
            Self::Ordered(sender) => super::send(sender, OrderedReply { reply, ranks }),
        }
    }
}

/// A report that waits for an answer.
#[derive(Debug)]
pub struct WaitingReport {
    pub reply: ReportSender,
    /// Latest time of the answer.
    until: Moment,
    pub received: Moment,
}

/// The newest waiting report of each agent.
#[derive(Debug, Default)]
pub struct ReportQueue {
    reports: IndexMap<AgentName, WaitingReport>,
    due: BTreeSet<(Moment, AgentName)>,
}

impl ReportQueue {
    /// Adds a report; returns the older one of the agent.
    pub fn insert(
        &mut self,
        agent: &AgentName,
        reply: ReportSender,
        until: Moment,
        received: Moment,
    ) -> Option<WaitingReport> {
        let older = self.take(agent);
        self.due.insert((until, agent.clone()));
        self.reports.insert(agent.clone(), WaitingReport { reply, until, received });
        older
    }

    /// Removes the report of an agent.
    pub fn take(&mut self, agent: &AgentName) -> Option<WaitingReport> {
        let report = self.reports.swap_remove(agent)?;
        self.due.remove(&(report.until, agent.clone()));
        Some(report)
    }

    /// Has the report of an agent answered by `until`, at the latest.
    pub fn hasten(&mut self, agent: &AgentName, until: Moment) {
        let Some(report) = self.reports.get_mut(agent).filter(|report| until < report.until) else {
            return;
        };
        self.due.remove(&(report.until, agent.clone()));
        report.until = until;
        self.due.insert((until, agent.clone()));
    }

    /// When the next answer is due.
    #[must_use]
    pub fn next_due(&self) -> Option<Moment> {
        self.due.first().map(|(until, _)| *until)
    }

    /// An agent whose answer is due.
    #[must_use]
    pub fn first_due(&self, now: Moment) -> Option<AgentName> {
        self.due.first().filter(|(until, _)| *until <= now).map(|(_, agent)| agent.clone())
    }
}
