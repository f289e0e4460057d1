//! Reports of an agent to the owner, and the leases and orders in the owner's answers.
//!
//! Decides when a report is sent, whether its answer may still be used and whether the owner
//! is reachable. Calls no worker: the worker controller executes the orders.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use cactusdoor_core::unit::{Epoch, Millis, Moment};
use cactusdoor_node::clock::MonotonicClock;
use cactusdoor_queue::agent::ReportContent;
use cactusdoor_queue::lease::is_late_answer;
use cactusdoor_queue::name::AgentName;
use cactusdoor_queue::report::{AgentReport, LoadReport, ReportReply};
use tokio::sync::watch;

use crate::appender::pause;
use crate::candidate::OwnerContact;
use crate::decision::DecisionEvent;
use crate::decision_log::DecisionLog;
use crate::finder::{OwnerFinder, OwnerHeartbeat};
use crate::metrics::AgentMetrics;
use crate::owner_client::{CallError, OwnerClient};
use crate::worker_controller::WorkerController;

/// Longest wait for orders, ms: two reports fit into the report timeout of an agent.
const ORDER_WAIT: Millis = 600;
/// Delay of a report of ended runs; ends within this time share the report.
const END_DELAY: Duration = Duration::from_millis(4);
/// Time between two reports of the complete list of the worker's runs, ms.
const FULL_REPORT_INTERVAL: Millis = 900;
/// Pause after a call without an answer, in ms.
const RETRY_PAUSE: (u64, u64) = (100, 250);

/// Dependencies of an agent's reports.
pub struct OwnerReporter {
    pub name: AgentName,
    pub incarnation: u64,
    pub clock: MonotonicClock,
    pub finder: Rc<OwnerFinder>,
    pub controller: Rc<WorkerController>,
    pub contact: watch::Sender<OwnerContact>,
    pub metrics: AgentMetrics,
    pub log: DecisionLog,
}

struct ReportLoop {
    reporter: OwnerReporter,
    client: OwnerClient,
    full_report_at: Cell<Moment>,
    last_answer: Cell<Moment>,
    epoch: Cell<Epoch>,
    /// Number of reports that wait for an answer.
    waiting: Cell<u32>,
}

impl OwnerReporter {
    /// Starts two loops: while the report of one waits for orders, the other reports ended runs.
    /// The owner answers an older report when a newer one arrives, so one report waits.
    pub fn spawn(reporter: Self) {
        let last_answer = Cell::new(reporter.clock.now());
        let reports = Rc::new(ReportLoop {
            reporter,
            client: OwnerClient::default(),
            full_report_at: Cell::default(),
            last_answer,
            epoch: Cell::new(0),
            waiting: Cell::new(0),
        });
        actix_rt::spawn(Rc::clone(&reports).exchange());
        actix_rt::spawn(reports.exchange());
    }
}

impl ReportLoop {
    async fn exchange(self: Rc<Self>) {
        loop {
            if self.waiting.get() > 0 {
                self.reporter.controller.report_due.notified().await;
                tokio::time::sleep(END_DELAY).await;
            }
            // An unconfirmed owner must answer at once, with or without orders.
            let confirmed = *self.reporter.contact.borrow() == OwnerContact::Confirmed;
            self.waiting.set(self.waiting.get() + 1);
            let answered = self.report(if confirmed { ORDER_WAIT } else { 0 }).await;
            self.waiting.set(self.waiting.get() - 1);
            if answered {
                continue;
            }
            if let Err(error) = self.reporter.finder.refresh().await {
                log::debug!("could not read the owner's heartbeat: {error}");
            }
            pause(RETRY_PAUSE).await;
        }
    }

    /// Sends one report and applies the answer; returns whether the owner has answered.
    async fn report(&self, wait: Millis) -> bool {
        let reporter = &self.reporter;
        let Some(heartbeat) = reporter.finder.owner() else {
            return false;
        };
        let sent = reporter.clock.now();
        let due = sent >= self.full_report_at.get() || self.epoch.get() != heartbeat.epoch;
        let full_list = due && reporter.controller.state.borrow().has_list();
        if full_list {
            self.full_report_at.set(sent.after(FULL_REPORT_INTERVAL));
        }
        let (agent, incarnation) = (reporter.name.clone(), reporter.incarnation);
        let content = ReportContent { agent, incarnation, full_list, wait };
        let report = reporter.controller.state.borrow_mut().report(content);
        let number = report.number;
        reporter.metrics.reports.inc();
        match self.exchange_report(&heartbeat, report, sent).await {
            Ok(ReportReply::Lease(_)) if is_late_answer(sent, reporter.clock.now()) => {
                self.handle_loss(OwnerContact::Unconfirmed, "late answer")
            }
            Ok(ReportReply::Lease(lease)) => {
                self.last_answer.set(reporter.clock.now());
                self.epoch.set(lease.epoch);
                reporter.finder.confirm(lease.epoch, lease.heartbeat);
                let contact = if lease.confirmed {
                    OwnerContact::Confirmed
                } else {
                    OwnerContact::Unconfirmed
                };
                self.set_contact(contact);
                let calls =
                    reporter.controller.state.borrow_mut().apply_answer(lease, number, sent);
                reporter.controller.execute(calls);
                if contact == OwnerContact::Unconfirmed {
                    self.find_successor().await;
                }
                true
            }
            Ok(ReportReply::NotOwner) => {
                self.handle_loss(OwnerContact::Refused(heartbeat.epoch), "not the owner")
            }
            Err(CallError::NotConnected) => {
                self.handle_loss(OwnerContact::Refused(heartbeat.epoch), "not connected")
            }
            Err(CallError::NoAnswer) => self.handle_loss(OwnerContact::Unconfirmed, "no answer"),
        }
    }

    /// Sends a report, with the worker's load if the owner takes it; applies the ranks of the
    /// answer.
    async fn exchange_report(
        &self,
        heartbeat: &OwnerHeartbeat,
        report: AgentReport,
        sent: Moment,
    ) -> Result<ReportReply, CallError> {
        if !heartbeat.loads {
            return self.client.report(heartbeat.address, report).await;
        }
        let load = self.reporter.controller.state.borrow().load(sent);
        let report = LoadReport { report, load };
        let answer = self.client.report_load(heartbeat.address, report).await?;
        if let (ReportReply::Lease(lease), Some(ranks)) = (&answer.reply, answer.ranks) {
            let mut state = self.reporter.controller.state.borrow_mut();
            if let Err(error) = state.apply_ranks(lease.epoch, ranks) {
                log::warn!("ranks of epoch {} are ignored: {error}", lease.epoch);
            }
        }
        Ok(answer.reply)
    }

    /// Checks whether an unconfirmed owner has been replaced.
    async fn find_successor(&self) {
        if let Err(error) = self.reporter.finder.refresh().await {
            log::debug!("could not read the owner's heartbeat: {error}");
        }
        pause(RETRY_PAUSE).await;
    }

    fn set_contact(&self, contact: OwnerContact) {
        self.reporter.contact.send_if_modified(|known| {
            let changed = *known != contact;
            *known = contact;
            changed
        });
    }

    fn handle_loss(&self, contact: OwnerContact, cause: &'static str) -> bool {
        if *self.reporter.contact.borrow() == OwnerContact::Confirmed {
            let silent = self.reporter.clock.now().0.saturating_sub(self.last_answer.get().0);
            let (epoch, cause) = (self.epoch.get(), cause.to_owned());
            self.reporter.log.record(DecisionEvent::OwnerLost { epoch, cause, silent });
        }
        self.set_contact(contact);
        false
    }
}
