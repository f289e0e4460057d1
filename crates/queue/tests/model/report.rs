//! Model of an agent's reports to the owner.

use cactusdoor_core::unit::Moment;
use cactusdoor_queue::agent::ReportContent;
use cactusdoor_queue::report::ReportReply;

use super::event::{AgentProcess, Event, Wake};
use super::{AGENTS, Simulation};

const ORDER_WAIT: u64 = 600;
/// Time for which a worker lists its best-effort runs as paused, ms; then for twice that time
/// at full speed.
const PAUSE_INTERVAL: u64 = 3_000;
const END_DELAY: u64 = 4;
const FULL_REPORT_INTERVAL: u64 = 900;
const RETRY_PAUSE: (u64, u64) = (100, 250);
/// Longest wait for an answer, beyond the wait that the report requests, ms.
const ANSWER_TIMEOUT: u64 = 800;

/// Which loop waits for the answer to a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportLoop {
    Orders,
    Ends,
}

/// A report whose answer has not arrived.
#[derive(Clone, Copy, Debug)]
pub struct SentReport {
    owner: ReportLoop,
    /// Number of the report in the agent's process.
    number: u64,
    sent: u64,
}

impl Simulation {
    /// Delay of a message between an agent and the owner.
    pub(super) fn report_delay(&mut self, agent: usize) -> u64 {
        let (longest, until) = self.faults[agent].delay;
        let longest = if self.now < until { longest } else { 0 };
        self.draw(2, 8 + longest)
    }

    /// Wakes the loop that reports ended runs.
    pub(super) fn notify_report(&mut self, index: usize) {
        let agent = &mut self.agents[index];
        if agent.ends_waiting {
            agent.ends_waiting = false;
            let to = agent.process(index);
            self.schedule(self.now + END_DELAY, Event::Wake { to, wake: Wake::Ends });
        } else {
            agent.report_due = true;
        }
    }

    /// Continues the loop that reports ended runs.
    pub(super) fn wait_for_ends(&mut self, index: usize) {
        self.agents[index].ends_waiting = true;
        if std::mem::take(&mut self.agents[index].report_due) {
            self.notify_report(index);
        }
    }

    pub(super) fn wait_for_orders(&mut self, index: usize) {
        let wait = if self.agents[index].confirmed { ORDER_WAIT } else { 0 };
        self.send_report(index, ReportLoop::Orders, wait);
    }

    pub(super) fn send_report(&mut self, index: usize, owner: ReportLoop, wait: u64) {
        let now = self.now;
        let agent = &mut self.agents[index];
        let (to, number) = (agent.process(index), agent.next_number());
        let Some(epoch) = agent.owner_epoch else {
            self.continue_reports(index, owner, false);
            return;
        };
        let agent = &mut self.agents[index];
        let due = now >= agent.full_report_at || agent.lease_epoch != epoch;
        let full_list = due && agent.state.has_list();
        if full_list {
            agent.full_report_at = now + FULL_REPORT_INTERVAL;
        }
        let content = ReportContent {
            agent: AGENTS[index].into(),
            incarnation: agent.process,
            full_list,
            wait,
        };
        let mut report = Box::new(agent.state.report(content));
        if self.features.moves && (now / PAUSE_INTERVAL + index as u64).is_multiple_of(3) {
            for listed in report.runs.iter_mut().flatten() {
                let step = &self.jobs[&listed.task.job].0.steps[usize::from(listed.task.step)];
                listed.speed = if step.best_effort { 0 } else { listed.speed };
            }
        }
        agent.reports.insert(number, SentReport { owner, number: report.number, sent: now });
        if now >= self.faults[index].requests_lost_until {
            let delay = self.report_delay(index);
            self.schedule(now + delay, Event::Report { epoch, from: to, number, report });
        }
        let timeout = now + ANSWER_TIMEOUT + wait;
        self.schedule(timeout, Event::Reply { to, number, reply: None });
    }

    pub(super) fn handle_reply(
        &mut self,
        to: AgentProcess,
        number: u64,
        reply: Option<Box<ReportReply>>,
    ) {
        let again = Event::Reply { to, number, reply: reply.clone() };
        if !self.is_awake(to, again) {
            return;
        }
        let index = to.agent;
        let Some(sent) = self.agents[index].reports.remove(&number) else { return };
        let Some(ReportReply::Lease(lease)) = reply.map(|reply| *reply) else {
            self.agents[index].confirmed = false;
            self.continue_reports(index, sent.owner, false);
            return;
        };
        let agent = &mut self.agents[index];
        agent.lease_epoch = lease.epoch;
        let confirmed = lease.confirmed;
        agent.confirmed = confirmed;
        let calls = agent.state.apply_answer(lease, sent.number, Moment(sent.sent));
        self.execute_orders(index, calls);
        if confirmed {
            self.continue_reports(index, sent.owner, true);
        } else {
            self.refresh_owner(index);
            self.pause_reports(index, sent.owner);
        }
    }

    fn continue_reports(&mut self, index: usize, owner: ReportLoop, answered: bool) {
        match (owner, answered) {
            (ReportLoop::Orders, true) => self.wait_for_orders(index),
            (ReportLoop::Ends, true) => self.wait_for_ends(index),
            (ReportLoop::Orders, false) => {
                self.refresh_owner(index);
                self.pause_reports(index, owner);
            }
            (ReportLoop::Ends, false) => self.pause_reports(index, owner),
        }
    }

    fn pause_reports(&mut self, index: usize, owner: ReportLoop) {
        let pause = self.draw(RETRY_PAUSE.0, RETRY_PAUSE.1);
        let wake = match owner {
            ReportLoop::Orders => Wake::Orders,
            ReportLoop::Ends => Wake::EndsPause,
        };
        let to = self.agents[index].process(index);
        self.schedule(self.now + pause, Event::Wake { to, wake });
    }

    /// Reads the newest owner from the store.
    fn refresh_owner(&mut self, index: usize) {
        if self.now >= self.store.down_until && self.store.epoch > 0 {
            self.agents[index].owner_epoch = Some(self.store.epoch);
        }
    }
}
