//! Transfers of tasks between shards.
//!
//! Only the home shard of a job sends its tasks to another shard. Any other shard returns
//! a task to the home shard when the task has ended, was evicted or cannot be placed. So
//! the home shard always knows the usage that counts against the plan's allowance.
//!
//! The sender appends a transfer to its own stream, then to the target's stream until
//! that append is stored, and then confirms it in its own stream. Each transfer of a task
//! has a move number, one higher than the last, so that a shard drops repeated transfers.

use std::collections::HashMap;

use cactusdoor_core::config::DataCentreState;
use cactusdoor_core::job::{JobId, TaskId, TaskOutcome, TaskTransfer};
use cactusdoor_core::name::{CheckpointName, ShardName};
use cactusdoor_core::rendezvous::home_shard;
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::shard::{TaskRecord, TaskState};
use cactusdoor_core::unit::{Millis, Moment, Token};
use cactusdoor_log::appender::{NotStored, StoredRecord};
use cactusdoor_peer::roster::ShardSummary;
use cactusdoor_peer::task::StopMode;
use cactusdoor_timeline::event::WaitReason;
use indexmap::{IndexMap, IndexSet};

use super::ShardScheduler;
use super::action::{AppendId, SchedulerAction};
use super::append::AppendKey;

/// Most transfers begun in one pass; a large job leaves over several seconds.
const TRANSFERS_PER_PASS: usize = 256;
/// Most evictions requested in one pass while the data centre is out of service.
const EVICTIONS_PER_PASS: usize = 128;
/// Time without enough capacity after which a task is transferred.
const CAPACITY_WAIT: Millis = 3_000;
/// Age after which the summary of another shard is not used.
const SUMMARY_LIFETIME: Millis = 5_000;
/// Pause before a transfer that was not stored is repeated.
const REPEAT_PAUSE: Millis = 1_000;

#[derive(Clone, Debug)]
enum RemoteAppend {
    Transfer(TaskId, u32),
    Cancellation(JobId, ShardName),
}

/// Transfers under way and the free capacity of other shards.
#[derive(Clone, Debug, Default)]
pub(super) struct TransferState {
    open: HashMap<AppendId, RemoteAppend>,
    /// Transfers that are being appended to the target's stream, or the time at which to
    /// retry.
    in_progress: IndexMap<TaskId, Option<Moment>>,
    /// Move numbers of transfers stored in the target's stream.
    delivered: IndexMap<TaskId, u32>,
    /// Cancellations stored in the receiving shard's stream, or being appended to it.
    cancelled: IndexSet<(JobId, ShardName)>,
    summaries: IndexMap<ShardName, (ShardSummary, Moment)>,
    /// Tasks evicted in a shard other than their home.
    returning: IndexSet<TaskId>,
    last_pass: Moment,
}

impl TransferState {
    pub fn pass_due(&mut self, now: Moment, interval: Millis) -> bool {
        let due = now.since(self.last_pass) >= interval;
        if due {
            self.last_pass = now;
        }
        due
    }

    /// Whether some shard has a VM with at least `need` free.
    pub fn some_shard_holds(&self, need: ResourceVector) -> bool {
        self.summaries.values().any(|(summary, _)| summary.room.largest.can_fit(need))
    }

    pub fn mark_evicted(&mut self, task: &TaskId) {
        self.returning.insert(task.clone());
    }

    /// Forgets a transfer that is confirmed in the own stream.
    pub fn forget(&mut self, task: &TaskId) {
        self.in_progress.swap_remove(task);
        self.delivered.swap_remove(task);
        self.returning.swap_remove(task);
    }

    pub fn update_summary(&mut self, now: Moment, summary: ShardSummary) {
        let known = self.summaries.get(&summary.shard);
        if known.is_none_or(|(known, _)| summary.epoch >= known.epoch) {
            self.summaries.insert(summary.shard.clone(), (summary, now));
        }
    }
}

impl ShardScheduler {
    /// Handles the result of an append to another shard's stream; `false` if the id
    /// belongs to no such append.
    pub(super) fn appended_elsewhere(
        &mut self,
        now: Moment,
        append_id: AppendId,
        result: &Result<StoredRecord, NotStored>,
    ) -> bool {
        let Some(purpose) = self.transfers.open.remove(&append_id) else { return false };
        match purpose {
            RemoteAppend::Transfer(task, number) => {
                // Repeated unless it is known to be stored; the receiver drops a move
                // number that it has seen.
                if result.is_ok() {
                    self.transfers.in_progress.swap_remove(&task);
                    self.transfers.delivered.insert(task, number);
                } else {
                    self.transfers.in_progress.insert(task, Some(now.after(REPEAT_PAUSE)));
                }
            }
            RemoteAppend::Cancellation(job, shard) => {
                if result.is_err() {
                    self.transfers.cancelled.swap_remove(&(job, shard));
                }
            }
        }
        true
    }

    /// Begins the transfers that are due.
    pub(super) fn plan_transfers(&mut self, now: Moment) {
        let out = self.config.data_centre(&self.data_centre) == DataCentreState::Out;
        if out {
            self.evacuate(now);
        }
        if self.releasing {
            return;
        }
        self.forward_cancellations();
        let mut budget = TRANSFERS_PER_PASS;
        self.return_ended(&mut budget);
        let jobs: Vec<JobId> = self.index.pending().keys().cloned().collect();
        for job in jobs {
            if budget == 0 {
                break;
            }
            let Some(status) = self.fold.job(&job) else { continue };
            if status.cancelled || (status.home && status.parked.is_some()) {
                continue;
            }
            if status.home {
                self.transfer_away(now, &job, out, &mut budget);
            } else {
                self.return_home(now, &job, out, &mut budget);
            }
        }
    }

    /// Checkpoints and stops tasks in a data centre that is out of service.
    fn evacuate(&mut self, now: Moment) {
        let running: Vec<_> = self
            .index
            .vms()
            .flat_map(|(vm, load)| {
                load.tasks.iter().map(move |(token, task)| (vm.clone(), *token, task.clone()))
            })
            .filter(|(_, token, _): &(_, Token, _)| !self.pending_stops.contains_key(token))
            .take(EVICTIONS_PER_PASS)
            .collect();
        for (vm, token, task) in running {
            self.request_stop(now, token, &task, &vm, StopMode::CheckpointAndStop);
        }
        self.send_stops(now);
    }

    /// Returns ended tasks to their home shard.
    fn return_ended(&mut self, budget: &mut usize) {
        let ended: Vec<TaskId> = self
            .index
            .ended()
            .iter()
            .filter(|(job, _)| self.fold.job(job).is_some_and(|status| !status.home))
            .flat_map(|(job, tasks)| {
                tasks.iter().map(|index| TaskId { job: job.clone(), index: *index })
            })
            .take(*budget)
            .collect();
        for task in ended {
            if let Some(home) = self.home_of(&task.job) {
                self.transfer(&task, home);
                *budget = budget.saturating_sub(1);
            }
        }
    }

    fn home_of(&self, job: &JobId) -> Option<ShardName> {
        home_shard(&job.plan, &self.settings.shards).cloned()
    }

    /// Transfers pending tasks of a job of this home shard to shards with enough
    /// capacity.
    fn transfer_away(&mut self, now: Moment, job: &JobId, out: bool, budget: &mut usize) {
        let Some(need) = self.spec(job).map(|spec| spec.need) else { return };
        let lacks_capacity = matches!(
            self.waits.get(job),
            Some((WaitReason::NoCapacity, since)) if now.since(*since) >= CAPACITY_WAIT
        );
        if !out && !lacks_capacity {
            return;
        }
        for task in self.pending_of(job, *budget) {
            // A transferred task counts against the allowance as if it ran.
            if !self.allowance_covers(&job.plan, need) {
                return;
            }
            let Some(target) = self.shard_with_capacity(now, need) else { return };
            self.transfer(&task, target);
            *budget -= 1;
        }
    }

    /// Returns pending tasks that were evicted or cannot be placed here.
    fn return_home(&mut self, now: Moment, job: &JobId, out: bool, budget: &mut usize) {
        let Some(home) = self.home_of(job).filter(|home| *home != self.settings.shard) else {
            return;
        };
        let stuck = match self.waits.get(job) {
            Some((WaitReason::NoCapacity, since)) => now.since(*since) >= 5 * CAPACITY_WAIT,
            Some((WaitReason::Parked(_), _)) => true,
            _ => false,
        };
        for task in self.pending_of(job, *budget) {
            if out || stuck || self.transfers.returning.contains(&task) {
                self.transfer(&task, home.clone());
                *budget -= 1;
            }
        }
    }

    fn pending_of(&self, job: &JobId, limit: usize) -> Vec<TaskId> {
        let pending = self.index.pending().get(job).into_iter().flatten();
        let tasks = pending.map(|index| TaskId { job: job.clone(), index: *index });
        tasks.filter(|task| !self.is_task_busy(task)).take(limit).collect()
    }

    /// Chooses the shard in service with the fewest pending tasks, then the most free
    /// processors, and deducts `need` from its summary.
    fn shard_with_capacity(&mut self, now: Moment, need: ResourceVector) -> Option<ShardName> {
        let (config, own) = (&self.config, &self.settings.shard);
        let candidates = self.transfers.summaries.values_mut().filter(|(summary, updated)| {
            summary.shard != *own
                && now.since(*updated) <= SUMMARY_LIFETIME
                && config.data_centre(&summary.data_centre) == DataCentreState::In
                && summary.room.largest.can_fit(need)
                && summary.room.free.can_fit(need)
        });
        let (summary, _) = candidates.max_by_key(|(summary, _)| {
            (std::cmp::Reverse(summary.room.pending_tasks), summary.room.free.processors)
        })?;
        summary.room.free = summary.room.free.saturating_sub(need);
        Some(summary.shard.clone())
    }

    fn transfer(&mut self, task: &TaskId, to: ShardName) {
        let Some(epoch) = self.owned_epoch() else { return };
        if self.is_task_busy(task) || to == self.settings.shard {
            return;
        }
        let Some(status) = self.fold.task(task) else { return };
        let (checkpoint, ended): (Option<CheckpointName>, Option<TaskOutcome>) = match &status.state
        {
            TaskState::Pending { checkpoint } => (checkpoint.clone(), None),
            TaskState::Ended(outcome) => (None, Some(outcome.clone())),
            _ => return,
        };
        let transfer = TaskTransfer {
            task: task.clone(),
            number: status.moves + 1,
            from: self.settings.shard.clone(),
            to,
            checkpoint,
            ended,
        };
        let charged = match self.fold.job(&task.job) {
            Some(status) if status.home => status.spec.need,
            _ => ResourceVector::ZERO,
        };
        let record = TaskRecord::TaskTransferred { epoch, transfer };
        let append_id = self.append(AppendKey::Task(task.clone()), record, false);
        self.appends.reserve(
            append_id,
            super::append::PlacementReservation {
                vm: self.settings.identity.vm.clone(),
                need: ResourceVector::ZERO,
                plan: task.job.plan.clone(),
                charged,
            },
        );
    }

    /// Repeats transfers until they are stored in the target's stream, and then confirms
    /// them.
    pub(super) fn send_transfers(&mut self, now: Moment) {
        let Some(epoch) = self.owned_epoch() else { return };
        if self.index.unconfirmed().is_empty() {
            return;
        }
        let open: Vec<TaskTransfer> = self
            .index
            .unconfirmed()
            .values()
            .filter(|transfer| !self.is_task_busy(&transfer.task))
            .filter(|transfer| match self.transfers.in_progress.get(&transfer.task) {
                None => true,
                Some(retry) => retry.is_some_and(|at| now >= at),
            })
            .take(TRANSFERS_PER_PASS)
            .cloned()
            .collect();
        for transfer in open {
            let (task, number) = (transfer.task.clone(), transfer.number);
            if self.transfers.delivered.get(&task) == Some(&number) {
                let key = AppendKey::Task(task.clone());
                self.append(key, TaskRecord::TransferConfirmed { epoch, task, number }, false);
                continue;
            }
            let Some(spec) = self.spec(&task.job).map(|spec| (**spec).clone()) else { continue };
            let append_id = self.appends.next_id();
            self.transfers.open.insert(append_id, RemoteAppend::Transfer(task.clone(), number));
            self.transfers.in_progress.insert(task, None);
            let shard = transfer.to.clone();
            let record = TaskRecord::TaskReceived { spec, transfer };
            self.push_action(SchedulerAction::AppendRemote { append_id, shard, record });
        }
    }

    /// Forwards cancellations to the shards that have tasks of the job.
    fn forward_cancellations(&mut self) {
        let mut due = Vec::new();
        for job in self.index.cancelled() {
            let Some(status) = self.fold.job(job).filter(|status| status.home) else { continue };
            for task in status.tasks.values() {
                if let TaskState::Transferred { transfer, confirmed: true } = &task.state {
                    due.push((job.clone(), transfer.to.clone()));
                }
            }
        }
        for (job, shard) in due {
            if self.transfers.cancelled.insert((job.clone(), shard.clone())) {
                let append_id = self.appends.next_id();
                let purpose = RemoteAppend::Cancellation(job.clone(), shard.clone());
                self.transfers.open.insert(append_id, purpose);
                let record = TaskRecord::JobCancelled(job);
                self.push_action(SchedulerAction::AppendRemote { append_id, shard, record });
            }
        }
    }
}
