//! Owners in the simulation: claims, reads, actions and appends.

use std::net::SocketAddr;
use std::sync::Arc;

use cactusdoor_core::config::DataCentreState;
use cactusdoor_core::envelope::{LogEnvelope, WriterId};
use cactusdoor_core::name::VmName;
use cactusdoor_core::shard::{ShardFold, TaskRecord};
use cactusdoor_log::appender::{NotStored, StoredRecord};
use cactusdoor_owner::scheduler::{
    CallOutcome, SchedulerAction, SchedulerSettings, ShardScheduler,
};
use rand::Rng;

use super::{Message, OWNER_TIMEOUT, PLAN, ShardSimulation, allowance};
use crate::support::{SHARD, config, shard};

impl ShardSimulation {
    /// Finds the shard's newest owner if it answers, or claims the shard.
    pub(super) fn find_owner(&mut self, index: usize) {
        let now = self.now;
        let silent = now.since(self.processes[index].agent.last_answer) >= OWNER_TIMEOUT;
        if !silent || self.processes[index].scheduler.is_some() || !self.log_reachable(index) {
            self.processes[index].claim_at = None;
            return;
        }
        let newest = self.stream_fold.ownership().map(|ownership| ownership.owner.clone());
        let owner =
            self.processes.iter().position(|p| Some(&p.agent.identity.vm) == newest.as_ref());
        if let Some(owner) = owner.filter(|owner| *owner != index)
            && self.processes[owner].side == self.processes[index].side
            && now >= self.processes[owner].paused_until
            && self.processes[owner]
                .scheduler
                .as_ref()
                .is_some_and(|scheduler| scheduler.owned_epoch().is_some())
        {
            self.processes[index].agent.owner = Some(owner);
            return;
        }
        let jitter = self.rng.random_range(0..1_000);
        let claim_at = *self.processes[index].claim_at.get_or_insert(now.after(jitter));
        if now < claim_at {
            return;
        }
        let settings = SchedulerSettings {
            shard: shard(SHARD),
            identity: self.processes[index].agent.identity.clone(),
            writer: self.writer(index),
            shards: vec![shard(SHARD)],
        };
        // The claim may be based on a read that misses the newest record.
        let behind = self.rng.random_range(0..2).min(self.stream.len());
        let mut fold = ShardFold::new(shard(SHARD));
        for (offset, record) in (0..).zip(&self.stream[..self.stream.len() - behind]) {
            fold.apply(offset, record.clone());
        }
        let mut scheduler = ShardScheduler::new(settings, fold);
        let state = config(&[(PLAN, allowance())], DataCentreState::In);
        scheduler.configured(now, Arc::new(state));
        scheduler.claim();
        let process = &mut self.processes[index];
        process.tenure += 1;
        process.claim_at = None;
        process.scheduler = Some(scheduler);
        process.outbox.clear();
        self.execute_actions(index);
    }

    pub(super) fn writer(&self, index: usize) -> WriterId {
        let identity = &self.processes[index].agent.identity;
        WriterId {
            process: identity.vm.as_str().parse().unwrap(),
            incarnation: identity.incarnation,
        }
    }

    /// Runs the reads, appends and ticks of a process that has a scheduler.
    pub(super) fn run_owner(&mut self, index: usize) {
        if self.processes[index].scheduler.is_none() {
            return;
        }
        let now = self.now;
        if self.log_reachable(index) && self.rng.random_bool(0.8) {
            let (stream, process) = (&self.stream, &mut self.processes[index]);
            let Some(scheduler) = &mut process.scheduler else { return };
            let from = scheduler.fold().next();
            for (offset, record) in (0..).zip(stream).skip(usize::try_from(from).unwrap()) {
                scheduler.folded(now, offset, record.clone());
            }
            scheduler.confirmed(now);
            scheduler.config_confirmed(now);
            if scheduler.owned_epoch().is_some() {
                process.agent.owner = Some(index);
            }
            if scheduler.is_replaced() {
                process.scheduler = None;
                process.tenure += 1;
                process.outbox.clear();
                return;
            }
        }
        if let Some(scheduler) = &mut self.processes[index].scheduler {
            scheduler.tick(now, 1_700_000_000_000);
        }
        self.execute_actions(index);
        self.append(index);
    }

    pub(super) fn execute_actions(&mut self, index: usize) {
        let tenure = self.processes[index].tenure;
        let Some(scheduler) = &mut self.processes[index].scheduler else { return };
        let actions = scheduler.take_actions();
        let mut lost = false;
        for action in actions {
            match action {
                SchedulerAction::Append { append_id, record, .. } => {
                    self.processes[index].outbox.push_back((append_id, record));
                }
                SchedulerAction::Start { vm, start, .. } => {
                    let to = self.index_of(&vm);
                    let token = start.token;
                    self.send(3_000..3_001, tenure, Message::StartLost { to: index, token });
                    if self.is_delivered(index, to) {
                        let delay = self.delay();
                        let start = Box::new(start);
                        self.send(delay, tenure, Message::Start { to, from: index, start });
                    }
                }
                SchedulerAction::Stop { vm, stop, .. } => {
                    let to = self.index_of(&vm);
                    let stop = Box::new(stop);
                    let unanswered = Message::StopLost { to: index, vm, stop: stop.clone() };
                    self.send(3_000..3_001, tenure, unanswered);
                    if self.is_delivered(index, to) {
                        let delay = self.delay();
                        self.send(delay, tenure, Message::Stop { to, from: index, stop });
                    }
                }
                SchedulerAction::Attest { address, request } => {
                    let to = self.index_at(address);
                    let (call, answer) = (request.clone(), CallOutcome::Lost);
                    let unanswered = Message::AttestAnswered { to: index, request: call, answer };
                    self.send(1_000..1_001, tenure, unanswered);
                    if self.is_delivered(index, to) {
                        let delay = self.delay();
                        self.send(delay, tenure, Message::Attest { to, from: index, request });
                    }
                }
                SchedulerAction::CloseNaming { address, request } => {
                    let to = self.index_at(address);
                    let (call, answer) = (request.clone(), CallOutcome::Lost);
                    let unanswered = Message::NamingClosed { to: index, request: call, answer };
                    self.send(1_000..1_001, tenure, unanswered);
                    if self.is_delivered(index, to) {
                        let delay = self.delay();
                        let message = Message::CloseNaming { to, from: index, request };
                        self.send(delay, tenure, message);
                    }
                }
                SchedulerAction::Lost { .. } => lost = true,
                _ => {}
            }
        }
        if lost {
            let process = &mut self.processes[index];
            process.scheduler = None;
            process.tenure += 1;
            process.outbox.clear();
        }
    }

    pub(super) fn index_of(&self, name: &VmName) -> usize {
        self.processes.iter().position(|p| p.agent.identity.vm == *name).unwrap()
    }

    fn index_at(&self, address: SocketAddr) -> usize {
        self.processes.iter().position(|p| p.agent.identity.address == address).unwrap()
    }

    /// Sends one group of appends at a time per process, and reports outcomes as the
    /// appender does under faults.
    pub(super) fn append(&mut self, index: usize) {
        let now = self.now;
        let tenure = self.processes[index].tenure;
        if now < self.processes[index].append_until || self.processes[index].outbox.is_empty() {
            return;
        }
        let group: Vec<_> = self.processes[index].outbox.drain(..).collect();
        let writer = self.writer(index);
        if !self.log_reachable(index) {
            for (append_id, _) in group {
                let result = Err(NotStored::Unavailable);
                let message = Message::Appended { to: index, append_id, result };
                self.send(100..2_000, tenure, message);
            }
            self.processes[index].append_until = now.after(2_000);
            return;
        }
        let lost = self.chance(self.faults.append_loss);
        let stored = !lost || self.rng.random_bool(0.5);
        let wait = if lost { 3_000 } else { 100 };
        let delay = || if lost { 500..3_000 } else { 1..100 };
        self.processes[index].append_until = now.after(wait);
        let mut late = Vec::new();
        for (append_id, body) in group {
            self.processes[index].sequence += 1;
            let sequence = self.processes[index].sequence;
            let envelope = LogEnvelope { writer: writer.clone(), sequence, body };
            let result = if stored {
                let offset = self.store_envelope(envelope);
                Ok(StoredRecord { offset, sequence })
            } else {
                late.push(envelope);
                Err(NotStored::Lost)
            };
            self.send(delay(), tenure, Message::Appended { to: index, append_id, result });
        }
        if lost {
            self.processes[index].sequence += 1;
            let sequence = self.processes[index].sequence;
            let noop = LogEnvelope { writer, sequence, body: TaskRecord::Noop };
            self.store_envelope(noop);
        }
        for envelope in late {
            self.send(100..20_000, tenure, Message::LateAppend(envelope));
        }
    }
}
