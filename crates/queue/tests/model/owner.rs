//! Model of the owners' event loops, the election and the store.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use cactusdoor_core::unit::Moment;
use cactusdoor_queue::config::{FleetConfig, OperatorView};
use cactusdoor_queue::lease::{AGENT_LEASE, CONFIRM_LIMIT, clock_bound};
use cactusdoor_queue::name::{AgentName, JobId};
use cactusdoor_queue::observation::RunObservation;
use cactusdoor_queue::record::{TaskKey, TaskRecord};
use cactusdoor_queue::report::{AgentLease, AgentReport, ReportReply};
use cactusdoor_queue::scheduler::{CommitEffect, PendingWrite, QueueScheduler};
use cactusdoor_queue::spec::JobSpec;
use indexmap::IndexMap;

use super::event::{AgentProcess, Event};
use super::worker::LEASE_LIMIT;
use super::{AGENTS, Simulation};
use crate::support;

const APPEND_GAP: u64 = 15;
const TICK: u64 = 50;
const HEARTBEAT_INTERVAL: u64 = 500;
const MAX_CONFIRM_AGE: u64 = 1_200;
const REMOVAL_INTERVAL: u64 = 2_000;
const UNREACHABLE_AFTER: u64 = 2_500;
/// Time from the end of an owner's term to the next election, ms.
const ELECTION_DELAY: u64 = 1_500;

/// Queue of a lower priority, whose runs are preempted.
pub(super) const LOW_QUEUE: &str = "low";

/// Contents of the store.
#[derive(Debug, Default)]
pub struct StoreModel {
    pub epoch: u64,
    pub jobs: BTreeMap<JobId, JobSpec>,
    pub cancels: BTreeSet<JobId>,
    pub records: BTreeMap<String, Vec<u8>>,
    /// Appends and reads are answered only after this time.
    pub down_until: u64,
    /// Whether an elected owner still loads the stored state.
    pub loading: bool,
}

impl StoreModel {
    fn append(&mut self, group: &[PendingWrite]) {
        for (key, value) in group.iter().filter_map(|write| write.record.as_ref()) {
            match value {
                Some(value) => drop(self.records.insert(key.clone(), value.clone())),
                None => drop(self.records.remove(key)),
            }
        }
    }
}

/// One term of an owner.
#[derive(Debug)]
pub struct OwnerModel {
    pub epoch: u64,
    pub scheduler: QueueScheduler,
    writes: VecDeque<PendingWrite>,
    in_flight: Option<Vec<PendingWrite>>,
    appended: u64,
    confirmed: u64,
    began: u64,
    /// Whether the store does not answer this owner any more.
    cut_off: bool,
    /// The newest unanswered report of each agent, and the latest time of its answer.
    reports: IndexMap<AgentName, WaitingReport>,
    ended: Vec<JobId>,
    removal_at: u64,
}

#[derive(Clone, Copy, Debug)]
struct WaitingReport {
    from: AgentProcess,
    number: u64,
    until: u64,
    received: u64,
}

fn view() -> OperatorView {
    let mut queue = support::queue();
    queue.terms.attempts = 0;
    let mut low = queue.clone();
    (low.name, low.terms.priority) = (LOW_QUEUE.into(), 9);
    let queues = [queue, low].map(|queue| (queue.name.clone(), Arc::new(queue)));
    let queues = IndexMap::from(queues);
    let config = FleetConfig { version: 1, queues, body_bytes: 0 };
    OperatorView { config: Some(config), ..OperatorView::default() }
}

impl Simulation {
    /// Elects an owner at once: from now on the store refuses its predecessors.
    pub(super) fn elect(&mut self) {
        self.elect_after(0);
    }

    fn elect_after(&mut self, loading: u64) {
        self.store.epoch += 1;
        self.store.loading = true;
        let (epoch, fenced) = (self.store.epoch, self.now);
        self.note(format!("owner {epoch} elected"));
        self.schedule(self.now + loading, Event::Open { epoch, fenced });
    }

    pub(super) fn elect_if_missing(&mut self) {
        let epoch = self.store.epoch;
        let missing = self.owners.iter().all(|owner| owner.epoch != epoch || owner.cut_off);
        if !missing || self.store.loading {
            return;
        }
        if self.now < self.store.down_until {
            self.schedule(self.store.down_until + ELECTION_DELAY, Event::Elect);
            return;
        }
        let loading = std::mem::take(&mut self.store_loading);
        self.elect_after(loading);
    }

    /// Starts the term of an elected owner.
    pub(super) fn open_owner(&mut self, epoch: u64, fenced: u64) {
        if epoch != self.store.epoch {
            return;
        }
        self.store.loading = false;
        let unix = self.unix();
        let leases_end = clock_bound(Moment(fenced), CONFIRM_LIMIT);
        let mut scheduler = QueueScheduler::open(epoch, leases_end);
        let records = self.store.records.iter();
        let records: Vec<_> =
            records.map(|(key, value)| (TaskKey::parse(key), value.clone())).collect();
        for (key, value) in &records {
            if let TaskKey::Job(job) = key {
                scheduler.restore_ending(job, serde_json::from_slice(value).unwrap());
            }
        }
        let mut jobs: Vec<_> = self.store.jobs.iter().collect();
        jobs.sort_by_key(|(_, spec)| spec.accepted);
        for (id, spec) in jobs {
            scheduler.submit(id, spec.clone());
        }
        for (key, value) in &records {
            if let TaskKey::Task(name) = key {
                let record: TaskRecord = serde_json::from_slice(value).unwrap();
                scheduler.restore_task(name, &record, Moment(fenced));
            }
        }
        scheduler.finish_loading(unix);
        for job in &self.store.cancels {
            scheduler.cancel(job, unix);
        }
        // The loop takes the configuration from the operators' records.
        scheduler.set_view(view());
        scheduler.set_features(self.features);
        self.owners.push(OwnerModel {
            epoch,
            scheduler,
            writes: VecDeque::new(),
            in_flight: None,
            appended: self.now,
            confirmed: fenced,
            began: self.now,
            cut_off: false,
            reports: IndexMap::new(),
            ended: Vec::new(),
            removal_at: self.now + REMOVAL_INTERVAL,
        });
        self.note(format!("owner {epoch} begins its term"));
        self.schedule(self.now, Event::OwnerTick { epoch });
        self.schedule(self.now + HEARTBEAT_INTERVAL, Event::Heartbeat { epoch });
    }

    fn owner_index(&self, epoch: u64) -> Option<usize> {
        self.owners.iter().position(|owner| owner.epoch == epoch)
    }

    pub(super) fn close_owner(&mut self, epoch: u64, cause: &str) {
        if let Some(index) = self.owner_index(epoch) {
            self.owners.remove(index);
            self.note(format!("owner {epoch} ends: {cause}"));
            self.schedule(self.now + ELECTION_DELAY, Event::Elect);
        }
    }

    /// See `Action::ChangeOwner`.
    pub(super) fn change_owner(&mut self, lives: u64, stored: bool, millis: u64, loading: u16) {
        let Some(owner) = self.owners.last_mut() else { return };
        let group = owner.in_flight.clone();
        owner.cut_off = true;
        let epoch = owner.epoch;
        if let Some(group) = group.filter(|_| stored && epoch == self.store.epoch) {
            self.store.append(&group);
        }
        self.note(format!("owner {epoch} loses the store"));
        self.store_loading = u64::from(loading);
        self.schedule(self.now + millis, Event::Elect);
        if lives == 0 {
            self.close_owner(epoch, "killed");
        } else {
            self.schedule(self.now + lives, Event::Close { epoch });
        }
    }

    pub(super) fn tick_owner(&mut self, epoch: u64) {
        if self.owner_index(epoch).is_some() {
            self.schedule(self.now + TICK, Event::OwnerTick { epoch });
            self.step_owner(epoch);
        }
    }

    pub(super) fn handle_heartbeat(&mut self, epoch: u64) {
        let Some(index) = self.owner_index(epoch) else { return };
        let (now, down_until) = (self.now, self.store.down_until);
        let owner = &mut self.owners[index];
        if owner.cut_off {
            return;
        }
        if epoch != self.store.epoch {
            self.close_owner(epoch, "fenced");
            return;
        }
        if now >= down_until {
            owner.confirmed = owner.confirmed.max(now);
        }
        self.schedule(now + HEARTBEAT_INTERVAL, Event::Heartbeat { epoch });
    }

    /// The store has answered the append of an owner.
    pub(super) fn handle_stored(&mut self, epoch: u64, sent: u64) {
        if self.now < self.store.down_until {
            let event = Event::Stored { epoch, sent };
            self.schedule(self.store.down_until + 5, event);
            return;
        }
        let Some(index) = self.owner_index(epoch) else { return };
        if self.owners[index].cut_off {
            return;
        }
        if epoch != self.store.epoch {
            self.close_owner(epoch, "fenced");
            return;
        }
        let group = self.owners[index].in_flight.take().unwrap_or_default();
        self.store.append(&group);
        self.owners[index].confirmed = self.owners[index].confirmed.max(sent);
        for effect in group.iter().filter_map(|write| write.effect.as_ref()) {
            self.apply_effect(index, effect);
        }
        self.step_owner(epoch);
    }

    fn apply_effect(&mut self, index: usize, effect: &CommitEffect) {
        let owner = &mut self.owners[index];
        owner.scheduler.release(effect);
        match effect {
            CommitEffect::Started { agent, task, run, .. } => {
                let epoch = owner.epoch;
                self.note(format!("owner {epoch}: {task} run {run} placed on {agent}"));
            }
            CommitEffect::Published { job, state } if state.has_ended() => {
                owner.ended.push(job.clone());
            }
            _ => {}
        }
    }

    fn step_owner(&mut self, epoch: u64) {
        let Some(index) = self.owner_index(epoch) else { return };
        let (now, unix) = (self.moment(), self.unix());
        let owner = &mut self.owners[index];
        if is_isolated(owner, now.0) {
            self.close_owner(epoch, "isolated");
            return;
        }
        let expired = owner.scheduler.expire(now, unix);
        // As the owner's loop does: nothing is moved while appends are unconfirmed.
        if owner.in_flight.is_none() && now.0 <= owner.confirmed + MAX_CONFIRM_AGE {
            owner.scheduler.balance(now, unix);
        }
        let observations = owner.scheduler.take_observations();
        let moved = |seen: &&RunObservation| matches!(seen, RunObservation::Moved { .. });
        self.moves += observations.iter().filter(moved).count();
        let preempted = |seen: &&RunObservation| matches!(seen, RunObservation::Preempted { .. });
        self.preemptions += observations.iter().filter(preempted).count();
        owner.scheduler.place(now, unix);
        if now.0 >= owner.removal_at {
            owner.removal_at = now.0 + REMOVAL_INTERVAL;
            if !owner.cut_off && epoch == self.store.epoch {
                for job in std::mem::take(&mut owner.ended) {
                    self.store.jobs.remove(&job);
                    self.store.cancels.remove(&job);
                }
            }
        }
        let writes = owner.scheduler.take_writes();
        owner.writes.extend(writes);
        for (agent, silent) in expired {
            self.note(format!("owner {epoch}: runs of {agent} expired, silent for {silent:?}"));
        }
        self.flush_owner(index);
        self.answer_reports(index);
    }

    fn flush_owner(&mut self, index: usize) {
        while self.owners[index].in_flight.is_none()
            && self.owners[index].writes.front().is_some_and(|write| write.record.is_none())
        {
            let write = self.owners[index].writes.pop_front();
            if let Some(effect) = write.and_then(|write| write.effect) {
                self.apply_effect(index, &effect);
            }
        }
        let (now, latency) = (self.now, self.draw(4, 25));
        let owner = &mut self.owners[index];
        let waits = owner.in_flight.is_some() || owner.writes.is_empty();
        if waits || now < owner.appended + APPEND_GAP {
            return;
        }
        owner.appended = now;
        owner.in_flight = Some(owner.writes.drain(..).collect());
        let epoch = owner.epoch;
        self.schedule(now + latency, Event::Stored { epoch, sent: now });
    }

    pub(super) fn handle_report(
        &mut self,
        epoch: u64,
        from: AgentProcess,
        number: u64,
        report: &AgentReport,
    ) {
        let Some(index) = self.owner_index(epoch) else {
            self.send_reply(from, number, None);
            return;
        };
        let (now, unix) = (self.now, self.unix());
        let owner = &mut self.owners[index];
        if report.epoch > epoch {
            self.send_reply(from, number, Some(ReportReply::NotOwner));
            self.close_owner(epoch, "superseded");
            return;
        }
        let ended: Vec<_> = report.ended.iter().map(|ended| (&ended.task, ended.run)).collect();
        let ended: Vec<_> = ended
            .into_iter()
            .filter(|(task, run)| owner.scheduler.is_assigned(&report.agent, task, *run))
            .map(|(task, run)| format!("owner {epoch}: {task} run {run} ended"))
            .collect();
        owner.scheduler.report(report, Moment(now), unix);
        let waiting = WaitingReport { from, number, until: now + report.wait, received: now };
        let older = owner.reports.insert(report.agent.clone(), waiting);
        for line in ended {
            self.note(line);
        }
        if let Some(older) = older {
            self.answer_report(index, &report.agent, older);
        }
        self.step_owner(epoch);
    }

    fn answer_reports(&mut self, index: usize) {
        let now = self.now;
        let owner = &self.owners[index];
        let workers = &owner.scheduler.workers;
        let updated = |agent: &AgentName| workers.get(agent).is_some_and(|agent| agent.has_updates);
        let due = owner.reports.iter();
        let due = due.filter(|(agent, report)| report.until <= now || updated(agent));
        let due: Vec<_> = due.map(|(agent, report)| (agent.clone(), *report)).collect();
        for (agent, report) in due {
            self.owners[index].reports.swap_remove(&agent);
            self.answer_report(index, &agent, report);
        }
    }

    fn answer_report(&mut self, index: usize, agent: &AgentName, report: WaitingReport) {
        let now = self.now;
        let owner = &mut self.owners[index];
        let limit = AGENT_LEASE.min(LEASE_LIMIT * 7 / 10);
        let until = (report.received + limit).min(owner.confirmed + CONFIRM_LIMIT);
        let Some(tracked) = owner.scheduler.workers.get_mut(agent) else { return };
        tracked.has_updates = false;
        let lease = AgentLease {
            epoch: owner.epoch,
            incarnation: tracked.worker.as_ref().map(|worker| worker.incarnation.clone()),
            duration: tracked.lease_duration(until.saturating_sub(report.received)),
            confirmed: now <= owner.confirmed + MAX_CONFIRM_AGE,
            heartbeat: 0,
            acknowledged: tracked.acknowledged,
            acknowledged_runs: std::mem::take(&mut tracked.acknowledged_runs),
            orders: tracked.orders.iter().cloned().collect(),
            interference: None,
        };
        self.send_reply(report.from, report.number, Some(ReportReply::Lease(lease)));
    }

    fn send_reply(&mut self, to: AgentProcess, number: u64, reply: Option<ReportReply>) {
        let faults = &self.faults[to.agent];
        if self.now < faults.answers_lost_until {
            return;
        }
        let delay = self.report_delay(to.agent);
        let reply = reply.map(Box::new);
        self.schedule(self.now + delay, Event::Reply { to, number, reply });
    }
}

/// Whether fewer than half of the known agents reach the owner.
fn is_isolated(owner: &OwnerModel, now: u64) -> bool {
    if now < owner.began + 2 * UNREACHABLE_AFTER {
        return false;
    }
    let known = owner.scheduler.workers.values().filter(|tracked| tracked.incarnation != 0);
    let known: Vec<_> = known.collect();
    let reached =
        known.iter().filter(|tracked| now <= tracked.reported_at.0 + UNREACHABLE_AFTER).count();
    known.len() >= AGENTS.len() && reached * 2 < known.len()
}
