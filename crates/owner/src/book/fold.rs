//! Folds records and reacts to those that took effect.

use cactusdoor_core::config::DataCentreState;
use cactusdoor_core::envelope::LogEnvelope;
use cactusdoor_core::job::{JobId, PlacementEnd, StartRefusal, TaskId, TaskMove};
use cactusdoor_core::shard::{ShardOwnership, TaskEffect, TaskRecord};
use cactusdoor_core::unit::{Millis, Moment, Offset};
use cactusdoor_log::appender::{NotStored, StoredRecord};
use cactusdoor_policy::placement::attribution::FailureVerdict;
use cactusdoor_timeline::EventKind;

use super::action::{BookAction, Ticket};
use super::append::AppendKey;
use super::index::Placement;
use super::tasks::PendingStart;
use super::{OwnerRole, OwnerTenure, ShardBook, data_centre_of};

/// First delay of a task after a failure; doubled each time.
const FIRST_BACKOFF: Millis = 500;
const LONGEST_BACKOFF: Millis = 60_000;

impl ShardBook {
    /// A record that does not parse.
    pub fn skipped(&mut self, offset: Offset) {
        self.fold.skip(offset);
        self.appends.settle_before(self.fold.next());
    }

    /// The record at `offset`, which may repeat one already folded.
    pub fn folded(&mut self, now: Moment, offset: Offset, record: LogEnvelope<TaskRecord>) {
        let own = record.writer == self.settings.writer;
        let body = record.body.clone();
        let job = job_of(&body).cloned();
        let tasks: Vec<u32> = match (&body, job.as_ref().and_then(|job| self.fold.job(job))) {
            (TaskRecord::JobForgotten { .. }, Some(entry)) => entry.tasks.keys().copied().collect(),
            _ => Vec::new(),
        };
        let placement = match &body {
            TaskRecord::TaskEnded { task, .. } => self.index.placement(task).cloned(),
            _ => None,
        };
        let previous = self.fold.ownership().cloned();
        let effect = self.fold.apply(offset, record);
        if own
            && effect != TaskEffect::Ignored
            && let Some(key) = key_of(&body)
        {
            self.appends.settle_key(&key);
        }
        self.appends.settle_before(self.fold.next());
        match (&body, task_of(&body), job) {
            (_, Some(task), _) => self.index.refresh(&self.fold, task),
            (_, None, Some(job)) => self.index.refresh_job(&self.fold, &job, &tasks),
            _ => {}
        }
        match effect {
            TaskEffect::Owned(epoch) => self.claimed(now, own, epoch, previous),
            TaskEffect::StaleEpoch { current }
                if own && matches!(body, TaskRecord::OwnerClaimed { .. }) =>
            {
                self.act(BookAction::Lost { current });
            }
            TaskEffect::Applied => self.applied(now, offset, body, placement),
            _ => {}
        }
    }

    fn claimed(&mut self, now: Moment, own: bool, epoch: u64, previous: Option<ShardOwnership>) {
        let shard = self.settings.shard.clone();
        if !own {
            if matches!(self.role, OwnerRole::Owner(_)) {
                self.event(EventKind::ShardLost { shard, epoch: epoch - 1 });
                self.appends.clear();
                self.role = OwnerRole::Replaced;
            }
            self.act(BookAction::Lost { current: epoch });
            return;
        }
        let earlier = self.earlier_grants(previous.map(|ownership| ownership.epoch));
        self.role = OwnerRole::Owner(OwnerTenure { epoch, since: now, earlier });
        self.placing_due = true;
        self.event(EventKind::ShardOwned { shard, epoch });
        self.act(BookAction::Owned(epoch));
    }

    fn applied(
        &mut self,
        now: Moment,
        offset: Offset,
        body: TaskRecord,
        placement: Option<Placement>,
    ) {
        if self.tenure().is_none() {
            return;
        }
        self.placing_due = true;
        match body {
            TaskRecord::TaskPlaced { task, vm, epoch, .. } => {
                let event = EventKind::TaskPlaced { task: task.clone(), token: offset, vm, epoch };
                self.event(event);
                self.begin_start(now, offset, &task);
            }
            TaskRecord::TaskEnded { task, end, .. } => {
                if let Some(placement) = placement {
                    self.ended(now, &task, &placement, end);
                }
            }
            TaskRecord::JobSubmitted(spec) => {
                self.urgent_due |= spec.urgent;
                let shard = self.settings.shard.clone();
                self.event(EventKind::JobSubmitted { job: spec.id, shard });
            }
            TaskRecord::JobCancelled(job) => {
                self.stop_cancelled(now, &job);
                self.event(EventKind::JobCancelled { job });
            }
            TaskRecord::JobParked { job, reason, .. } => {
                self.event(EventKind::JobParked { job, reason });
            }
            TaskRecord::JobReleased { job, .. } => self.ledger.released(&job),
            TaskRecord::TaskHandedOver { task_move, .. } => {
                self.backoffs.swap_remove(&task_move.task);
                let (from, to) = (task_move.from.clone(), task_move.to.clone());
                let (task, number) = (task_move.task.clone(), task_move.number);
                self.event(EventKind::TaskHandedOver { task, from, to, move_number: number });
            }
            TaskRecord::TaskReceived { task_move, .. } => self.returned(now, &task_move),
            TaskRecord::HandOverConfirmed { task, .. } => self.moves.confirmed(&task),
            TaskRecord::JobForgotten { job, .. } => {
                self.ledger.forget_job(&job);
                self.backoffs.retain(|task, _| task.job != job);
                self.waits.remove(&job);
                self.ended_since.swap_remove(&job);
            }
            _ => {}
        }
    }

    /// The end of a placement stands in the log.
    fn ended(&mut self, now: Moment, task: &TaskId, placement: &Placement, end: PlacementEnd) {
        let token = placement.token;
        let pending_start = self.pending_starts.swap_remove(&token);
        self.stops.swap_remove(&token);
        let vm = placement.vm.clone();
        // The task for which room was made is placed without delay.
        self.urgent_due |= self.is_preempting(&vm);
        let spec = self.spec(&task.job).cloned();
        if let Some(spec) = &spec {
            let started = pending_start.as_ref().and_then(|pending_start| pending_start.started);
            let finished = matches!(end, PlacementEnd::Finished { .. });
            let run_time = started.filter(|_| finished).map(|started| now.since(started));
            self.learner.ended(token, &spec.kind, run_time);
        }
        match &end {
            PlacementEnd::Finished { .. } => {
                self.settle_backoff(now, task, &pending_start);
                // A service that ends at once must not be started in a tight loop.
                if spec.as_ref().is_some_and(|spec| spec.class.is_endless()) {
                    self.back_off(now, task);
                }
                if self.ledger.succeeded(&vm, &task.job) {
                    self.event(EventKind::VmReadmitted { vm: vm.clone() });
                }
            }
            PlacementEnd::Failed => {
                self.settle_backoff(now, task, &pending_start);
                self.failed(now, task, placement);
            }
            PlacementEnd::Refused(refusal) => self.refused(now, task, placement, *refusal),
            PlacementEnd::Evicted { .. } => self.return_evicted(task),
            PlacementEnd::Cancelled => {}
            PlacementEnd::Lapsed => {
                self.return_evicted(task);
                // A start that is still on its way must not find a new lease there.
                if let (Some(agent), Some(_)) = (self.agents.get_mut(&vm), &pending_start) {
                    agent.fences.insert(token, task.clone());
                }
            }
        }
        self.event(EventKind::TaskEnded { task: task.clone(), token, vm, end });
    }

    /// A task that lost its place away from home returns there.
    fn return_evicted(&mut self, task: &TaskId) {
        if self.fold.job(&task.job).is_some_and(|entry| !entry.home) {
            self.moves.evicted(task);
        }
    }

    /// A task is back at home; it waits a little if nothing forced it back, so
    /// that a job which fits or works nowhere does not circle between shards.
    fn returned(&mut self, now: Moment, task_move: &TaskMove) {
        let home = self.fold.job(&task_move.task.job).is_some_and(|entry| entry.home);
        let forced = data_centre_of(&task_move.from)
            .is_some_and(|name| self.config.data_centre(&name) == DataCentreState::Out);
        if home && task_move.ended.is_none() && !forced {
            self.back_off(now, &task_move.task);
        }
    }

    fn failed(&mut self, now: Moment, task: &TaskId, placement: &Placement) {
        self.back_off(now, task);
        let usable = self.usable_vms(now, placement.need);
        match self.ledger.failed(&placement.vm, &task.job, usable, now) {
            FailureVerdict::Undecided => {}
            FailureVerdict::VmHeldBack { failures } => {
                let vm = placement.vm.clone();
                self.backoffs.swap_remove(task);
                self.event(EventKind::VmHeldBack { vm, failures });
            }
            FailureVerdict::JobFailsEverywhere { vms } => {
                let reason = cactusdoor_core::job::ParkReason::FailsEverywhere { vms };
                self.park(&task.job, reason);
            }
        }
    }

    fn refused(
        &mut self,
        now: Moment,
        task: &TaskId,
        placement: &Placement,
        refusal: StartRefusal,
    ) {
        let (token, vm) = (placement.token, placement.vm.clone());
        if let Some(agent) = self.agents.get_mut(&vm) {
            agent.refused(now);
        }
        let task = task.clone();
        self.event(EventKind::StartRefused { task, token, vm, reason: refusal });
    }

    /// A task that has ended for good, or ran for long, starts over.
    fn settle_backoff(&mut self, now: Moment, task: &TaskId, pending_start: &Option<PendingStart>) {
        let pending = self.index.pending().get(&task.job);
        let over = !pending.is_some_and(|tasks| tasks.contains(&task.index));
        let started = pending_start.as_ref().and_then(|pending_start| pending_start.started);
        if over || started.is_some_and(|started| now.since(started) >= LONGEST_BACKOFF) {
            self.backoffs.swap_remove(task);
        }
    }

    fn back_off(&mut self, now: Moment, task: &TaskId) {
        let backoff = self.backoffs.entry(task.clone()).or_default();
        let delay = FIRST_BACKOFF.saturating_mul(1 << backoff.step.min(10)).min(LONGEST_BACKOFF);
        backoff.step += 1;
        backoff.until = now.after(delay);
    }

    /// Result of an append that the book asked for.
    pub fn appended(
        &mut self,
        now: Moment,
        ticket: Ticket,
        result: Result<StoredRecord, NotStored>,
    ) {
        if self.appended_elsewhere(now, ticket, &result) {
            return;
        }
        match result {
            Ok(stored) => {
                self.appends.stored(ticket, stored.offset);
                self.appends.settle_before(self.fold.next());
            }
            // A read to the end from here on shows whether it is stored.
            Err(NotStored::Unknown) => self.appends.unknown(ticket, now),
            Err(_) => {
                self.appends.settle(ticket);
                self.placing_due = true;
            }
        }
    }
}

fn task_of(record: &TaskRecord) -> Option<&TaskId> {
    match record {
        TaskRecord::TaskPlaced { task, .. }
        | TaskRecord::TaskEnded { task, .. }
        | TaskRecord::HandOverConfirmed { task, .. } => Some(task),
        TaskRecord::TaskHandedOver { task_move, .. }
        | TaskRecord::TaskReceived { task_move, .. } => Some(&task_move.task),
        _ => None,
    }
}

fn job_of(record: &TaskRecord) -> Option<&JobId> {
    match record {
        TaskRecord::JobSubmitted(spec) => Some(&spec.id),
        TaskRecord::JobCancelled(job)
        | TaskRecord::JobParked { job, .. }
        | TaskRecord::JobReleased { job, .. }
        | TaskRecord::JobForgotten { job, .. } => Some(job),
        _ => None,
    }
}

/// What an own record of this kind settles.
fn key_of(record: &TaskRecord) -> Option<AppendKey> {
    match record {
        TaskRecord::OwnerClaimed { .. } => Some(AppendKey::Claim),
        TaskRecord::WitnessNamed { .. } => Some(AppendKey::Witness),
        // Written by owners of other shards, and by entries.
        TaskRecord::TaskReceived { .. }
        | TaskRecord::JobCancelled(_)
        | TaskRecord::JobSubmitted(_) => None,
        _ => match (task_of(record), job_of(record)) {
            (Some(task), _) => Some(AppendKey::Task(task.clone())),
            (None, Some(job)) => Some(AppendKey::Job(job.clone())),
            _ => None,
        },
    }
}
