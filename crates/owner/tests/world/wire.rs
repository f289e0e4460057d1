//! Delivers the messages of the simulation when they are due.

use cactusdoor_core::constants::TASK_LEASE;
use cactusdoor_owner::scheduler::{CallOutcome, PROBE_INCARNATION, ShardScheduler};
use cactusdoor_peer::witness::ClosingReply;
use cactusdoor_timeline::HybridTime;

use super::{Message, ShardSimulation};

impl ShardSimulation {
    pub(super) fn deliver(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (tenure, message) = entry.remove();
            let to = match &message {
                Message::Heartbeat { to, .. }
                | Message::Reply { to, .. }
                | Message::Start { to, .. }
                | Message::Started { to, .. }
                | Message::Stop { to, .. }
                | Message::Stopped { to, .. }
                | Message::Attest { to, .. }
                | Message::AttestAnswered { to, .. }
                | Message::CloseNaming { to, .. }
                | Message::NamingClosed { to, .. }
                | Message::Appended { to, .. }
                | Message::StartLost { to, .. }
                | Message::StopLost { to, .. } => Some(*to),
                Message::LateAppend(_) => None,
            };
            // A paused process receives its messages when it resumes.
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
            Message::LateAppend(envelope) => {
                self.store_envelope(envelope);
            }
            Message::Heartbeat { to, from, number, heartbeat } => {
                assert_ne!(heartbeat.agent.incarnation, PROBE_INCARNATION);
                let Some(scheduler) = &mut self.processes[to].scheduler else { return };
                let reply = scheduler.handle_heartbeat(now, HybridTime::default(), &heartbeat);
                let long = reply.as_ref().is_ok_and(|reply| reply.lease_ms > TASK_LEASE);
                self.long_leases += usize::from(long);
                self.execute_actions(to);
                if self.is_delivered(to, from) {
                    let delay = self.delay();
                    self.send(delay, 0, Message::Reply { to: from, number, reply });
                }
            }
            Message::Reply { to, number, reply } => {
                let process = &mut self.processes[to];
                process.agent.receive_reply(now, number, reply, &mut process.worker);
            }
            Message::Start { to, from, start } => {
                let process = &mut self.processes[to];
                let answer = process.agent.start(now, &start, &mut process.worker);
                if self.is_delivered(to, from) {
                    let delay = self.delay();
                    let token = start.token;
                    self.send(delay, tenure, Message::Started { to: from, token, answer });
                }
            }
            Message::Stop { to, from, stop } => {
                let process = &mut self.processes[to];
                let answer = process.agent.stop(now, &stop, &mut process.worker);
                if self.is_delivered(to, from) {
                    let delay = self.delay();
                    let vm = self.processes[to].agent.identity.vm.clone();
                    self.send(delay, tenure, Message::Stopped { to: from, vm, stop, answer });
                }
            }
            Message::Started { to, token, answer } => {
                self.with_scheduler(to, tenure, |scheduler| {
                    scheduler.start_answered(now, token, CallOutcome::Answered(answer));
                });
            }
            Message::StartLost { to, token } => {
                self.with_scheduler(to, tenure, |scheduler| {
                    scheduler.start_answered(now, token, CallOutcome::Lost);
                });
            }
            Message::Stopped { to, vm, stop, answer } => {
                self.with_scheduler(to, tenure, |scheduler| {
                    scheduler.stop_answered(now, &vm, &stop, CallOutcome::Answered(answer));
                });
            }
            Message::StopLost { to, vm, stop } => {
                self.with_scheduler(to, tenure, |scheduler| {
                    scheduler.stop_answered(now, &vm, &stop, CallOutcome::Lost);
                });
            }
            Message::Attest { to, from, request } => {
                let answer = self.processes[to].agent.namings.attest(&request);
                if self.is_delivered(to, from) {
                    let (delay, answer) = (self.delay(), CallOutcome::Answered(answer));
                    let message = Message::AttestAnswered { to: from, request, answer };
                    self.send(delay, tenure, message);
                }
            }
            Message::CloseNaming { to, from, request } => {
                let answer = self.processes[to].agent.namings.close(&request);
                self.closed_namings += usize::from(answer == ClosingReply::NotAttested);
                if self.is_delivered(to, from) {
                    let (delay, answer) = (self.delay(), CallOutcome::Answered(answer));
                    let message = Message::NamingClosed { to: from, request, answer };
                    self.send(delay, tenure, message);
                }
            }
            Message::AttestAnswered { to, request, answer } => {
                self.with_scheduler(to, tenure, |scheduler| {
                    scheduler.attest_answered(&request, answer)
                });
            }
            Message::NamingClosed { to, request, answer } => {
                self.with_scheduler(to, tenure, |scheduler| {
                    scheduler.naming_closed(&request, answer)
                });
            }
            Message::Appended { to, append_id, result } => {
                self.with_scheduler(to, tenure, |scheduler| {
                    scheduler.appended(now, append_id, result)
                });
                let process = &mut self.processes[to];
                let candidate = process.scheduler.as_ref().is_some_and(|scheduler| {
                    scheduler.owned_epoch().is_none() && !scheduler.has_open_appends()
                });
                if process.tenure == tenure && candidate {
                    process.scheduler = None;
                    process.tenure += 1;
                }
            }
        }
    }

    pub(super) fn with_scheduler(
        &mut self,
        to: usize,
        tenure: u64,
        change: impl FnOnce(&mut ShardScheduler),
    ) {
        if self.processes[to].tenure != tenure {
            return;
        }
        if let Some(scheduler) = &mut self.processes[to].scheduler {
            change(scheduler);
            self.execute_actions(to);
        }
    }
}
