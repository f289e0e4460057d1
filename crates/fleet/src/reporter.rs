//! Reports to the owner and takes its orders.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use cactusdoor_core::unit::{Epoch, Millis, Moment};
use cactusdoor_node::clock::MonotonicClock;
use cactusdoor_queue::agent::ReportShape;
use cactusdoor_queue::name::AgentName;
use cactusdoor_queue::report::ReportReply;
use tokio::sync::watch;

use crate::candidate::OwnerContact;
use crate::decision::DecisionEvent;
use crate::finder::OwnerFinder;
use crate::journal::DecisionLog;
use crate::keeper::WorkerKeeper;
use crate::lane::pause;
use crate::link::{LinkError, OwnerLink};
use crate::meters::AgentMeters;

/// Longest wait for orders: two reports fit into the time after which an agent
/// counts as silent.
const ORDER_WAIT: Millis = 600;
/// Ends that come within this time share a report.
const END_GROUP: Duration = Duration::from_millis(4);
/// Between two reports of the worker's whole list.
const WHOLE_INTERVAL: Millis = 900;
/// Pause after a call without an answer, in ms.
const RETRY_PAUSE: (u64, u64) = (100, 250);

/// Reports for one agent.
pub struct OwnerReporter {
    pub name: AgentName,
    pub incarnation: u64,
    pub clock: MonotonicClock,
    pub finder: Rc<OwnerFinder>,
    pub keeper: Rc<WorkerKeeper>,
    pub contact: watch::Sender<OwnerContact>,
    pub meters: AgentMeters,
    pub log: DecisionLog,
}

struct ReportLoop {
    reporter: OwnerReporter,
    link: OwnerLink,
    whole_at: Cell<Moment>,
    heard: Cell<Moment>,
    epoch: Cell<Epoch>,
}

impl OwnerReporter {
    /// Reports from now on: one loop waits for orders, one sends ends at once.
    pub fn spawn(reporter: Self) {
        let heard = Cell::new(reporter.clock.now());
        let reports = Rc::new(ReportLoop {
            reporter,
            link: OwnerLink::default(),
            whole_at: Cell::default(),
            heard,
            epoch: Cell::new(0),
        });
        actix_rt::spawn(Rc::clone(&reports).wait_for_orders());
        actix_rt::spawn(reports.send_ends());
    }
}

impl ReportLoop {
    async fn wait_for_orders(self: Rc<Self>) {
        loop {
            // The first answer of an owner is not worth waiting for orders.
            let good = *self.reporter.contact.borrow() == OwnerContact::Good;
            if self.report(if good { ORDER_WAIT } else { 0 }).await {
                continue;
            }
            if let Err(fault) = self.reporter.finder.refresh().await {
                log::debug!("could not look for the owner: {fault}");
            }
            pause(RETRY_PAUSE).await;
        }
    }

    async fn send_ends(self: Rc<Self>) {
        loop {
            self.reporter.keeper.news.notified().await;
            tokio::time::sleep(END_GROUP).await;
            if !self.report(0).await {
                pause(RETRY_PAUSE).await;
            }
        }
    }

    /// Sends one report; returns whether the owner has answered it.
    async fn report(&self, wait: Millis) -> bool {
        let reporter = &self.reporter;
        let Some(beacon) = reporter.finder.owner() else {
            return false;
        };
        let sent = reporter.clock.now();
        let whole = sent >= self.whole_at.get() || self.epoch.get() != beacon.epoch;
        if whole {
            self.whole_at.set(sent.after(WHOLE_INTERVAL));
        }
        let (agent, incarnation) = (reporter.name.clone(), reporter.incarnation);
        let shape = ReportShape { agent, incarnation, whole, wait };
        let report = reporter.keeper.book.borrow_mut().report(shape);
        reporter.meters.reports.inc();
        match self.link.report(beacon.address, report).await {
            Ok(ReportReply::Grant(grant)) => {
                self.heard.set(reporter.clock.now());
                self.epoch.set(grant.epoch);
                reporter.finder.note(grant.epoch, grant.beacon);
                let contact =
                    if grant.confirmed { OwnerContact::Good } else { OwnerContact::Doubtful };
                self.contact(contact);
                let calls = reporter.keeper.book.borrow_mut().grant(grant, sent);
                reporter.keeper.carry_out(calls);
                if contact == OwnerContact::Doubtful {
                    self.look_around().await;
                }
                true
            }
            Ok(ReportReply::NotOwner) => {
                self.lose(OwnerContact::Refused(beacon.epoch), "not the owner")
            }
            Err(LinkError::NotConnected) => {
                self.lose(OwnerContact::Refused(beacon.epoch), "not connected")
            }
            Err(LinkError::NoAnswer) => self.lose(OwnerContact::Doubtful, "no answer"),
        }
    }

    /// Looks whether a doubtful owner has been replaced.
    async fn look_around(&self) {
        if let Err(fault) = self.reporter.finder.refresh().await {
            log::debug!("could not look for the owner: {fault}");
        }
        pause(RETRY_PAUSE).await;
    }

    fn contact(&self, contact: OwnerContact) {
        self.reporter.contact.send_if_modified(|known| {
            let changed = *known != contact;
            *known = contact;
            changed
        });
    }

    fn lose(&self, contact: OwnerContact, cause: &'static str) -> bool {
        if *self.reporter.contact.borrow() == OwnerContact::Good {
            let silent = self.reporter.clock.now().0.saturating_sub(self.heard.get().0);
            let (epoch, cause) = (self.epoch.get(), cause.to_owned());
            self.reporter.log.note(DecisionEvent::OwnerLost { epoch, cause, silent });
        }
        self.contact(contact);
        false
    }
}
