//! Messages of the simulation, delivered when they are due.

use cactusdoor_core::constants::TASK_LEASE;
use cactusdoor_owner::book::{CallOutcome, PROBE_INCARNATION, ShardBook};
use cactusdoor_peer::witness::ClosingReply;
use cactusdoor_timeline::HybridTime;

use super::{Message, World};

impl World {
    pub(super) fn deliver(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (tenure, message) = entry.remove();
            let to = match &message {
                Message::Beat { to, .. }
                | Message::Reply { to, .. }
                | Message::Start { to, .. }
                | Message::Started { to, .. }
                | Message::Stop { to, .. }
                | Message::Stopped { to, .. }
                | Message::Vouch { to, .. }
                | Message::VouchAnswered { to, .. }
                | Message::CloseNaming { to, .. }
                | Message::NamingClosed { to, .. }
                | Message::Appended { to, .. }
                | Message::StartLost { to, .. }
                | Message::StopLost { to, .. } => Some(*to),
                Message::Frozen(_) => None,
            };
            // A paused process finds its messages when it goes on.
            if let Some(to) = to
                && self.now < self.processes[to].paused_until
            {
                let at = self.processes[to].paused_until;
                self.queued += 1;
                self.queue.insert((at, self.queued), (tenure, message));
                continue;
            }
            self.receive(tenure, message);
        }
    }

    pub(super) fn receive(&mut self, tenure: u64, message: Message) {
        let now = self.now;
        match message {
            Message::Frozen(envelope) => {
                self.store_envelope(envelope);
            }
            Message::Beat { to, from, number, beat } => {
                assert_ne!(beat.agent.incarnation, PROBE_INCARNATION);
                let Some(book) = &mut self.processes[to].book else { return };
                let reply = book.beat(now, HybridTime::default(), &beat);
                let long = reply.as_ref().is_ok_and(|reply| reply.lease_ms > TASK_LEASE);
                self.long_grants += usize::from(long);
                self.carry_out(to);
                if self.passes(to, from) {
                    let delay = self.delay();
                    self.send(delay, 0, Message::Reply { to: from, number, reply });
                }
            }
            Message::Reply { to, number, reply } => {
                let process = &mut self.processes[to];
                process.agent.replied(now, number, reply, &mut process.worker);
            }
            Message::Start { to, from, start } => {
                let process = &mut self.processes[to];
                let answer = process.agent.start(now, &start, &mut process.worker);
                if self.passes(to, from) {
                    let delay = self.delay();
                    let token = start.token;
                    self.send(delay, tenure, Message::Started { to: from, token, answer });
                }
            }
            Message::Stop { to, from, stop } => {
                let process = &mut self.processes[to];
                let answer = process.agent.stop(now, &stop, &mut process.worker);
                if self.passes(to, from) {
                    let delay = self.delay();
                    let vm = self.processes[to].agent.identity.vm.clone();
                    self.send(delay, tenure, Message::Stopped { to: from, vm, stop, answer });
                }
            }
            Message::Started { to, token, answer } => {
                self.with_book(to, tenure, |book| {
                    book.start_answered(now, token, CallOutcome::Answered(answer));
                });
            }
            Message::StartLost { to, token } => {
                self.with_book(to, tenure, |book| {
                    book.start_answered(now, token, CallOutcome::Lost);
                });
            }
            Message::Stopped { to, vm, stop, answer } => {
                self.with_book(to, tenure, |book| {
                    book.stop_answered(now, &vm, &stop, CallOutcome::Answered(answer));
                });
            }
            Message::StopLost { to, vm, stop } => {
                self.with_book(to, tenure, |book| {
                    book.stop_answered(now, &vm, &stop, CallOutcome::Lost);
                });
            }
            Message::Vouch { to, from, request } => {
                let answer = self.processes[to].agent.namings.vouch(&request);
                if self.passes(to, from) {
                    let (delay, answer) = (self.delay(), CallOutcome::Answered(answer));
                    let message = Message::VouchAnswered { to: from, request, answer };
                    self.send(delay, tenure, message);
                }
            }
            Message::CloseNaming { to, from, request } => {
                let answer = self.processes[to].agent.namings.close(&request);
                self.closings += usize::from(answer == ClosingReply::NotVouched);
                if self.passes(to, from) {
                    let (delay, answer) = (self.delay(), CallOutcome::Answered(answer));
                    let message = Message::NamingClosed { to: from, request, answer };
                    self.send(delay, tenure, message);
                }
            }
            Message::VouchAnswered { to, request, answer } => {
                self.with_book(to, tenure, |book| book.vouch_answered(&request, answer));
            }
            Message::NamingClosed { to, request, answer } => {
                self.with_book(to, tenure, |book| book.naming_closed(&request, answer));
            }
            Message::Appended { to, ticket, result } => {
                self.with_book(to, tenure, |book| book.appended(now, ticket, result));
                let process = &mut self.processes[to];
                let candidate = process
                    .book
                    .as_ref()
                    .is_some_and(|book| book.owned_epoch().is_none() && !book.has_open_appends());
                if process.tenure == tenure && candidate {
                    process.book = None;
                    process.tenure += 1;
                }
            }
        }
    }

    pub(super) fn with_book(
        &mut self,
        to: usize,
        tenure: u64,
        change: impl FnOnce(&mut ShardBook),
    ) {
        if self.processes[to].tenure != tenure {
            return;
        }
        if let Some(book) = &mut self.processes[to].book {
            change(book);
            self.carry_out(to);
        }
    }
}
