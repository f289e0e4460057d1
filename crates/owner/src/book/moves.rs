//! Moves of tasks between shards.
//!
//! Only the home shard sends a task to another shard; any other shard hands it
//! back home once it has ended, was evicted, or cannot be placed. So the home
//! always knows what counts against the plan's allowance.

use std::collections::HashMap;

use cactusdoor_core::config::DataCentreState;
use cactusdoor_core::job::{JobId, TaskId, TaskMove, TaskOutcome};
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

use super::ShardBook;
use super::action::{BookAction, Ticket};
use super::append::AppendKey;

/// Most hand-overs begun in one look; a large job leaves over several seconds.
const MOVES_PER_LOOK: usize = 256;
/// Most checkpoints asked for in one look when the data centre is out.
const EVICTIONS_PER_LOOK: usize = 128;
/// Time without room after which a task is moved.
const NO_ROOM_TIME: Millis = 3_000;
/// Age after which the summary of another shard is not used.
const SUMMARY_LIFETIME: Millis = 5_000;
/// Pause before a hand-over that was not stored is repeated.
const REPEAT_PAUSE: Millis = 1_000;

#[derive(Clone, Debug)]
enum Elsewhere {
    HandOver(TaskId, u32),
    Cancellation(JobId, ShardName),
}

/// Hand-overs under way and the room of other shards.
#[derive(Clone, Debug, Default)]
pub(super) struct MoveBook {
    open: HashMap<Ticket, Elsewhere>,
    /// Hand-overs that are being appended, or were tried a moment ago.
    trying: IndexMap<TaskId, Option<Moment>>,
    /// Hand-overs that stand in the target's stream.
    delivered: IndexMap<TaskId, u32>,
    /// Cancellations that the receiving shard's stream holds or is about to.
    cancelled: IndexSet<(JobId, ShardName)>,
    summaries: IndexMap<ShardName, (ShardSummary, Moment)>,
    /// Evicted in a shard other than their home.
    returning: IndexSet<TaskId>,
    last_look: Moment,
}

impl MoveBook {
    pub fn slow_due(&mut self, now: Moment, interval: Millis) -> bool {
        let due = now.since(self.last_look) >= interval;
        if due {
            self.last_look = now;
        }
        due
    }

    /// Whether some shard has a VM with so much free.
    pub fn some_shard_holds(&self, need: ResourceVector) -> bool {
        self.summaries.values().any(|(summary, _)| summary.room.largest.holds(need))
    }

    /// The task was evicted away from home.
    pub fn evicted(&mut self, task: &TaskId) {
        self.returning.insert(task.clone());
    }

    /// The hand-over is confirmed in the own stream.
    pub fn confirmed(&mut self, task: &TaskId) {
        self.trying.swap_remove(task);
        self.delivered.swap_remove(task);
        self.returning.swap_remove(task);
    }

    pub fn learn(&mut self, now: Moment, summary: ShardSummary) {
        let known = self.summaries.get(&summary.shard);
        if known.is_none_or(|(known, _)| summary.epoch >= known.epoch) {
            self.summaries.insert(summary.shard.clone(), (summary, now));
        }
    }
}

impl ShardBook {
    /// Result of an append to another shard's stream; `false` if it is none.
    pub(super) fn appended_elsewhere(
        &mut self,
        now: Moment,
        ticket: Ticket,
        result: &Result<StoredRecord, NotStored>,
    ) -> bool {
        let Some(purpose) = self.moves.open.remove(&ticket) else { return false };
        match purpose {
            Elsewhere::HandOver(task, number) => {
                // Unless it surely stands there it is repeated; the receiver
                // drops a number that it has seen.
                if result.is_ok() {
                    self.moves.trying.swap_remove(&task);
                    self.moves.delivered.insert(task, number);
                } else {
                    self.moves.trying.insert(task, Some(now.after(REPEAT_PAUSE)));
                }
            }
            Elsewhere::Cancellation(job, shard) => {
                if result.is_err() {
                    self.moves.cancelled.swap_remove(&(job, shard));
                }
            }
        }
        true
    }

    /// Begins the moves that are due.
    pub(super) fn plan_moves(&mut self, now: Moment) {
        let out = self.config.data_centre(&self.data_centre) == DataCentreState::Out;
        if out {
            self.evacuate(now);
        }
        if self.handing_back {
            return;
        }
        self.cancel_elsewhere();
        let mut budget = MOVES_PER_LOOK;
        self.return_ended(&mut budget);
        let jobs: Vec<JobId> = self.index.pending().keys().cloned().collect();
        for job in jobs {
            if budget == 0 {
                break;
            }
            let Some(entry) = self.fold.job(&job) else { continue };
            if entry.cancelled || (entry.home && entry.parked.is_some()) {
                continue;
            }
            if entry.home {
                self.move_away(now, &job, out, &mut budget);
            } else {
                self.move_home(now, &job, out, &mut budget);
            }
        }
    }

    /// Checkpoints and stops what runs in a data centre that is out.
    fn evacuate(&mut self, now: Moment) {
        let running: Vec<_> = self
            .index
            .vms()
            .flat_map(|(vm, load)| {
                load.tasks.iter().map(move |(token, task)| (vm.clone(), *token, task.clone()))
            })
            .filter(|(_, token, _): &(_, Token, _)| !self.stops.contains_key(token))
            .take(EVICTIONS_PER_LOOK)
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
            .filter(|(job, _)| self.fold.job(job).is_some_and(|entry| !entry.home))
            .flat_map(|(job, tasks)| {
                tasks.iter().map(|index| TaskId { job: job.clone(), index: *index })
            })
            .take(*budget)
            .collect();
        for task in ended {
            if let Some(home) = self.home_of(&task.job) {
                self.hand_over(&task, home);
                *budget = budget.saturating_sub(1);
            }
        }
    }

    fn home_of(&self, job: &JobId) -> Option<ShardName> {
        home_shard(&job.plan, &self.settings.shards).cloned()
    }

    /// Sends pending tasks of a job of this home to shards with room.
    fn move_away(&mut self, now: Moment, job: &JobId, out: bool, budget: &mut usize) {
        let Some(need) = self.spec(job).map(|spec| spec.need) else { return };
        let short = matches!(
            self.waits.get(job),
            Some((WaitReason::NoRoom, since)) if now.since(*since) >= NO_ROOM_TIME
        );
        if !out && !short {
            return;
        }
        for task in self.pending_of(job, *budget) {
            // What is handed over counts against the allowance as if it ran.
            if !self.allowance_covers(&job.plan, need) {
                return;
            }
            let Some(target) = self.room_elsewhere(now, need) else { return };
            self.hand_over(&task, target);
            *budget -= 1;
        }
    }

    /// Returns pending tasks that were evicted or cannot be placed here.
    fn move_home(&mut self, now: Moment, job: &JobId, out: bool, budget: &mut usize) {
        let Some(home) = self.home_of(job).filter(|home| *home != self.settings.shard) else {
            return;
        };
        let stuck = match self.waits.get(job) {
            Some((WaitReason::NoRoom, since)) => now.since(*since) >= 5 * NO_ROOM_TIME,
            Some((WaitReason::Parked(_), _)) => true,
            _ => false,
        };
        for task in self.pending_of(job, *budget) {
            if out || stuck || self.moves.returning.contains(&task) {
                self.hand_over(&task, home.clone());
                *budget -= 1;
            }
        }
    }

    fn pending_of(&self, job: &JobId, most: usize) -> Vec<TaskId> {
        let pending = self.index.pending().get(job).into_iter().flatten();
        let tasks = pending.map(|index| TaskId { job: job.clone(), index: *index });
        tasks.filter(|task| !self.is_task_busy(task)).take(most).collect()
    }

    /// The shard in service with the most room, of which `need` is taken.
    fn room_elsewhere(&mut self, now: Moment, need: ResourceVector) -> Option<ShardName> {
        let (config, own) = (&self.config, &self.settings.shard);
        let candidates = self.moves.summaries.values_mut().filter(|(summary, learned)| {
            summary.shard != *own
                && now.since(*learned) <= SUMMARY_LIFETIME
                && config.data_centre(&summary.data_centre) == DataCentreState::In
                && summary.room.largest.holds(need)
                && summary.room.free.holds(need)
        });
        let (summary, _) = candidates.max_by_key(|(summary, _)| {
            (std::cmp::Reverse(summary.room.pending_tasks), summary.room.free.processors)
        })?;
        summary.room.free = summary.room.free.saturating_sub(need);
        Some(summary.shard.clone())
    }

    fn hand_over(&mut self, task: &TaskId, to: ShardName) {
        let Some(epoch) = self.owned_epoch() else { return };
        if self.is_task_busy(task) || to == self.settings.shard {
            return;
        }
        let Some(entry) = self.fold.task(task) else { return };
        let (checkpoint, ended): (Option<CheckpointName>, Option<TaskOutcome>) = match &entry.state
        {
            TaskState::Pending { checkpoint } => (checkpoint.clone(), None),
            TaskState::Ended(outcome) => (None, Some(outcome.clone())),
            _ => return,
        };
        let task_move = TaskMove {
            task: task.clone(),
            number: entry.moves + 1,
            from: self.settings.shard.clone(),
            to,
            checkpoint,
            ended,
        };
        let charged = match self.fold.job(&task.job) {
            Some(entry) if entry.home => entry.spec.need,
            _ => ResourceVector::ZERO,
        };
        let record = TaskRecord::TaskHandedOver { epoch, task_move };
        let ticket = self.append(AppendKey::Task(task.clone()), record, false);
        self.appends.hold(
            ticket,
            super::append::PlacementHold {
                vm: self.settings.identity.vm.clone(),
                need: ResourceVector::ZERO,
                plan: task.job.plan.clone(),
                charged,
            },
        );
    }

    /// Repeats hand-overs until they stand in the target's stream, and then
    /// confirms them.
    pub(super) fn send_moves(&mut self, now: Moment) {
        let Some(epoch) = self.owned_epoch() else { return };
        if self.index.unconfirmed().is_empty() {
            return;
        }
        let open: Vec<TaskMove> = self
            .index
            .unconfirmed()
            .values()
            .filter(|task_move| !self.is_task_busy(&task_move.task))
            .filter(|task_move| match self.moves.trying.get(&task_move.task) {
                None => true,
                Some(retry) => retry.is_some_and(|at| now >= at),
            })
            .take(MOVES_PER_LOOK)
            .cloned()
            .collect();
        for task_move in open {
            let (task, number) = (task_move.task.clone(), task_move.number);
            if self.moves.delivered.get(&task) == Some(&number) {
                let key = AppendKey::Task(task.clone());
                self.append(key, TaskRecord::HandOverConfirmed { epoch, task, number }, false);
                continue;
            }
            let Some(spec) = self.spec(&task.job).map(|spec| (**spec).clone()) else { continue };
            let ticket = self.appends.ticket();
            self.moves.open.insert(ticket, Elsewhere::HandOver(task.clone(), number));
            self.moves.trying.insert(task, None);
            let shard = task_move.to.clone();
            let record = TaskRecord::TaskReceived { spec, task_move };
            self.act(BookAction::AppendElsewhere { ticket, shard, record });
        }
    }

    /// Passes cancellations on to the shards that have tasks of the job.
    fn cancel_elsewhere(&mut self) {
        let mut due = Vec::new();
        for job in self.index.cancelled() {
            let Some(entry) = self.fold.job(job).filter(|entry| entry.home) else { continue };
            for task in entry.tasks.values() {
                if let TaskState::Away { task_move, confirmed: true } = &task.state {
                    due.push((job.clone(), task_move.to.clone()));
                }
            }
        }
        for (job, shard) in due {
            if self.moves.cancelled.insert((job.clone(), shard.clone())) {
                let ticket = self.appends.ticket();
                let purpose = Elsewhere::Cancellation(job.clone(), shard.clone());
                self.moves.open.insert(ticket, purpose);
                let record = TaskRecord::JobCancelled(job);
                self.act(BookAction::AppendElsewhere { ticket, shard, record });
            }
        }
    }
}
