//! Folds records of the task stream and reacts to those that took effect.
//!
//! Updates the task index, settles own appends, starts committed placements, and decides
//! what follows the end of a placement: a delay, a quarantine, a parked job, a return to
//! the home shard.

use cactusdoor_core::config::DataCentreState;
use cactusdoor_core::envelope::LogEnvelope;
use cactusdoor_core::job::{JobId, PlacementEnd, StartRefusal, TaskId, TaskTransfer};
use cactusdoor_core::shard::{ShardOwnership, TaskEffect, TaskRecord};
use cactusdoor_core::unit::{Millis, Moment, Offset};
use cactusdoor_log::appender::{NotStored, StoredRecord};
use cactusdoor_policy::placement::attribution::FailureVerdict;
use cactusdoor_timeline::EventKind;

use super::action::{AppendId, SchedulerAction};
use super::append::AppendKey;
use super::index::Placement;
use super::tasks::PendingStart;
use super::{OwnerRole, OwnerTenure, ShardScheduler, data_centre_of};

/// First delay of a task after a failure; it doubles each time.
const FIRST_BACKOFF: Millis = 500;
const LONGEST_BACKOFF: Millis = 60_000;

impl ShardScheduler {
    /// Passes over a record that could not be parsed.
    pub fn skipped(&mut self, offset: Offset) {
        self.fold.skip(offset);
        self.appends.settle_before(self.fold.next());
    }

    /// Folds the record at `offset`, which may repeat one already folded.
    pub fn folded(&mut self, now: Moment, offset: Offset, record: LogEnvelope<TaskRecord>) {
        let own = record.writer == self.settings.writer;
        let body = record.body.clone();
        let job = job_of(&body).cloned();
        let tasks: Vec<u32> = match (&body, job.as_ref().and_then(|job| self.fold.job(job))) {
            (TaskRecord::JobForgotten { .. }, Some(status)) => {
                status.tasks.keys().copied().collect()
            }
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
                self.push_action(SchedulerAction::Lost { current });
            }
            TaskEffect::Applied => self.applied(now, offset, body, placement),
            _ => {}
        }
    }

    fn claimed(&mut self, now: Moment, own: bool, epoch: u64, previous: Option<ShardOwnership>) {
        let shard = self.settings.shard.clone();
        if !own {
            if matches!(self.role, OwnerRole::Owner(_)) {
                self.push_event(EventKind::ShardLost { shard, epoch: epoch - 1 });
                self.appends.clear();
                self.role = OwnerRole::Replaced;
            }
            self.push_action(SchedulerAction::Lost { current: epoch });
            return;
        }
        let earlier = self.earlier_leases(previous.map(|ownership| ownership.epoch));
        self.role = OwnerRole::Owner(OwnerTenure { epoch, since: now, earlier });
        self.placement_due = true;
        self.push_event(EventKind::ShardOwned { shard, epoch });
        self.push_action(SchedulerAction::Owned(epoch));
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
        self.placement_due = true;
        match body {
            TaskRecord::TaskPlaced { task, vm, epoch, .. } => {
                let event = EventKind::TaskPlaced { task: task.clone(), token: offset, vm, epoch };
                self.push_event(event);
                self.begin_start(now, offset, &task);
            }
            TaskRecord::TaskEnded { task, end, .. } => {
                if let Some(placement) = placement {
                    self.handle_end(now, &task, &placement, end);
                }
            }
            TaskRecord::JobSubmitted(spec) => {
                self.urgent_due |= spec.urgent;
                let shard = self.settings.shard.clone();
                self.push_event(EventKind::JobSubmitted { job: spec.id, shard });
            }
            TaskRecord::JobCancelled(job) => {
                self.stop_cancelled(now, &job);
                self.push_event(EventKind::JobCancelled { job });
            }
            TaskRecord::JobParked { job, reason, .. } => {
                self.push_event(EventKind::JobParked { job, reason });
            }
            TaskRecord::JobReleased { job, .. } => self.history.unpark(&job),
            TaskRecord::TaskTransferred { transfer, .. } => {
                self.backoffs.swap_remove(&transfer.task);
                let (from, to) = (transfer.from.clone(), transfer.to.clone());
                let (task, number) = (transfer.task.clone(), transfer.number);
                self.push_event(EventKind::TaskTransferred { task, from, to, move_number: number });
            }
            TaskRecord::TaskReceived { transfer, .. } => self.delay_returned(now, &transfer),
            TaskRecord::TransferConfirmed { task, .. } => self.transfers.forget(&task),
            TaskRecord::JobForgotten { job, .. } => {
                self.history.forget_job(&job);
                self.backoffs.retain(|task, _| task.job != job);
                self.waits.remove(&job);
                self.ended_since.swap_remove(&job);
            }
            _ => {}
        }
    }

    /// Reacts to the recorded end of a placement.
    fn handle_end(&mut self, now: Moment, task: &TaskId, placement: &Placement, end: PlacementEnd) {
        let token = placement.token;
        let pending_start = self.pending_starts.swap_remove(&token);
        self.pending_stops.swap_remove(&token);
        let vm = placement.vm.clone();
        // The task that caused the preemption is placed without delay.
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
                self.clear_backoff(now, task, &pending_start);
                // A service that ends immediately must not be restarted in a tight loop.
                if spec.as_ref().is_some_and(|spec| spec.class.is_endless()) {
                    self.back_off(now, task);
                }
                if self.history.succeeded(&vm, &task.job) {
                    self.push_event(EventKind::VmReadmitted { vm: vm.clone() });
                }
            }
            PlacementEnd::Failed => {
                self.clear_backoff(now, task, &pending_start);
                self.handle_failure(now, task, placement);
            }
            PlacementEnd::Refused(refusal) => self.handle_refusal(now, task, placement, *refusal),
            PlacementEnd::Evicted { .. } => self.return_evicted(task),
            PlacementEnd::Cancelled => {}
            PlacementEnd::Lapsed => {
                self.return_evicted(task);
                // A start still in transit must not reach the agent while it has a new
                // lease.
                if let (Some(agent), Some(_)) = (self.agents.get_mut(&vm), &pending_start) {
                    agent.fences.insert(token, task.clone());
                }
            }
        }
        self.push_event(EventKind::TaskEnded { task: task.clone(), token, vm, end });
    }

    /// Marks a task that was evicted away from home for its return.
    fn return_evicted(&mut self, task: &TaskId) {
        if self.fold.job(&task.job).is_some_and(|status| !status.home) {
            self.transfers.mark_evicted(task);
        }
    }

    /// Delays a task that returned to its home shard, unless its data centre was taken
    /// out of service. Otherwise a job that fits or works nowhere would circle between
    /// shards.
    fn delay_returned(&mut self, now: Moment, transfer: &TaskTransfer) {
        let home = self.fold.job(&transfer.task.job).is_some_and(|status| status.home);
        let forced = data_centre_of(&transfer.from)
            .is_some_and(|name| self.config.data_centre(&name) == DataCentreState::Out);
        if home && transfer.ended.is_none() && !forced {
            self.back_off(now, &transfer.task);
        }
    }

    fn handle_failure(&mut self, now: Moment, task: &TaskId, placement: &Placement) {
        self.back_off(now, task);
        let usable = self.usable_vms(now, placement.need);
        match self.history.failed(&placement.vm, &task.job, usable, now) {
            FailureVerdict::Undecided => {}
            FailureVerdict::VmQuarantined { failures } => {
                let vm = placement.vm.clone();
                self.backoffs.swap_remove(task);
                self.push_event(EventKind::VmQuarantined { vm, failures });
            }
            FailureVerdict::JobFailsEverywhere { vms } => {
                let reason = cactusdoor_core::job::ParkReason::FailsEverywhere { vms };
                self.park(&task.job, reason);
            }
        }
    }

    fn handle_refusal(
        &mut self,
        now: Moment,
        task: &TaskId,
        placement: &Placement,
        refusal: StartRefusal,
    ) {
        let (token, vm) = (placement.token, placement.vm.clone());
        if let Some(agent) = self.agents.get_mut(&vm) {
            agent.pause_after_refusal(now);
        }
        let task = task.clone();
        self.push_event(EventKind::StartRefused { task, token, vm, reason: refusal });
    }

    /// Clears the delay of a task that ended for good or ran for at least
    /// `LONGEST_BACKOFF`.
    fn clear_backoff(&mut self, now: Moment, task: &TaskId, pending_start: &Option<PendingStart>) {
        let pending = self.index.pending().get(&task.job);
        let ended_for_good = !pending.is_some_and(|tasks| tasks.contains(&task.index));
        let started = pending_start.as_ref().and_then(|pending_start| pending_start.started);
        if ended_for_good || started.is_some_and(|started| now.since(started) >= LONGEST_BACKOFF) {
            self.backoffs.swap_remove(task);
        }
    }

    fn back_off(&mut self, now: Moment, task: &TaskId) {
        let backoff = self.backoffs.entry(task.clone()).or_default();
        let delay = FIRST_BACKOFF.saturating_mul(1 << backoff.step.min(10)).min(LONGEST_BACKOFF);
        backoff.step += 1;
        backoff.until = now.after(delay);
    }

    /// Reports the result of an append that the scheduler requested.
    pub fn appended(
        &mut self,
        now: Moment,
        append_id: AppendId,
        result: Result<StoredRecord, NotStored>,
    ) {
        if self.appended_elsewhere(now, append_id, &result) {
            return;
        }
        match result {
            Ok(stored) => {
                self.appends.stored(append_id, stored.offset);
                self.appends.settle_before(self.fold.next());
            }
            // A read to the end sent after `now` shows whether it is stored.
            Err(NotStored::Unknown) => self.appends.unknown(append_id, now),
            Err(_) => {
                self.appends.settle(append_id);
                self.placement_due = true;
            }
        }
    }
}

fn task_of(record: &TaskRecord) -> Option<&TaskId> {
    match record {
        TaskRecord::TaskPlaced { task, .. }
        | TaskRecord::TaskEnded { task, .. }
        | TaskRecord::TransferConfirmed { task, .. } => Some(task),
        TaskRecord::TaskTransferred { transfer, .. }
        | TaskRecord::TaskReceived { transfer, .. } => Some(&transfer.task),
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

/// Key of the append that an own record settles.
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
