//! Fold of a task stream: who owns the shard, and the state of its jobs and tasks.
//!
//! The fold decides which records take effect. An owner's record carries its
//! epoch and has no effect if a claim of a later epoch precedes it in the stream.
//! A task is placed only from `Pending` and becomes `Pending` again only when the
//! end of its current placement is recorded, so it never has two valid placements.
//!
//! All processes fold the same records, so the result must depend on nothing else.

mod record;

use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use indexmap::map::Entry;
use serde::{Deserialize, Serialize};

use crate::envelope::{LogEnvelope, WriterTable};
use crate::job::{JobId, JobSpec, ParkReason, PlacementEnd, TaskId, TaskOutcome, TaskTransfer};
use crate::name::{CheckpointName, ShardName, VmName};
use crate::resource::ResourceVector;
use crate::unit::{Epoch, Offset, Token};

pub use record::{TaskRecord, WitnessId};

/// The current owner of a shard and the address of its server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardOwnership {
    pub epoch: Epoch,
    pub owner: VmName,
    pub address: SocketAddr,
}

/// The last witness that an owner of the shard named.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardWitness {
    /// Epoch of the owner that named the witness.
    pub epoch: Epoch,
    /// Offset of the `WitnessNamed` record.
    pub naming: Offset,
    pub witness: WitnessId,
}

/// State of one task within a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    Pending {
        checkpoint: Option<CheckpointName>,
    },
    Placed {
        token: Token,
        epoch: Epoch,
        vm: VmName,
        need: ResourceVector,
        checkpoint: Option<CheckpointName>,
    },
    Ended(TaskOutcome),
    /// Transferred to another shard; the owner resends the task until `confirmed`.
    #[serde(rename = "away")]
    Transferred {
        #[serde(rename = "task_move")]
        transfer: TaskTransfer,
        confirmed: bool,
    },
}

/// State of a task and its counts of transfers, failures and placements.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrackedTask {
    pub state: TaskState,
    /// Number of the last transfer recorded in this shard, 0 before the first.
    pub moves: u32,
    pub failures: u32,
    pub placements: u32,
}

impl TrackedTask {
    fn pending(checkpoint: Option<CheckpointName>, moves: u32) -> Self {
        let state = TaskState::Pending { checkpoint };
        Self { state, moves, failures: 0, placements: 0 }
    }
}

/// State of a job and of its tasks within one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrackedJob {
    pub spec: Arc<JobSpec>,
    /// Offset of the record that added the job to this shard.
    pub since: Offset,
    /// Whether this is the job's home shard, which counts the use of the plan's allowance.
    pub home: bool,
    /// The shard that the job was received from; `None` in the home shard.
    pub origin: Option<ShardName>,
    pub cancelled: bool,
    pub parked: Option<ParkReason>,
    pub tasks: IndexMap<u32, TrackedTask>,
}

impl TrackedJob {
    /// Whether every task has ended.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.tasks.values().all(|task| matches!(task.state, TaskState::Ended(_)))
    }
}

/// Effect of a record on the fold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskEffect {
    /// Repeated record, no-op, or a transfer that was received before.
    Ignored,
    /// The claim takes effect: its writer owns the shard from this offset.
    Owned(Epoch),
    Applied,
    /// A job with this id exists already.
    DuplicateJob,
    /// The record's epoch is not the current one; a claim's is not the next one.
    StaleEpoch {
        current: Epoch,
    },
    /// The job or task is not in the state that the record requires.
    PreconditionFailed,
}

/// Fold of a task stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardFold {
    shard: ShardName,
    next: Offset,
    writers: WriterTable,
    ownership: Option<ShardOwnership>,
    witness: Option<ShardWitness>,
    #[serde(with = "indexmap::map::serde_seq")]
    jobs: IndexMap<JobId, TrackedJob>,
}

impl ShardFold {
    #[must_use]
    pub fn new(shard: ShardName) -> Self {
        Self {
            shard,
            next: 0,
            writers: WriterTable::default(),
            ownership: None,
            witness: None,
            jobs: IndexMap::new(),
        }
    }

    #[must_use]
    pub fn shard(&self) -> &ShardName {
        &self.shard
    }

    /// Offset of the first record not yet folded.
    #[must_use]
    pub fn next(&self) -> Offset {
        self.next
    }

    #[must_use]
    pub fn ownership(&self) -> Option<&ShardOwnership> {
        self.ownership.as_ref()
    }

    /// The last named witness, whichever owner named it.
    #[must_use]
    pub fn witness(&self) -> Option<&ShardWitness> {
        self.witness.as_ref()
    }

    /// Current epoch; 0 before the first claim.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.ownership.as_ref().map_or(0, |ownership| ownership.epoch)
    }

    #[must_use]
    pub fn job(&self, job: &JobId) -> Option<&TrackedJob> {
        self.jobs.get(job)
    }

    pub fn jobs(&self) -> impl Iterator<Item = &TrackedJob> {
        self.jobs.values()
    }

    #[must_use]
    pub fn task(&self, task: &TaskId) -> Option<&TrackedTask> {
        self.jobs.get(&task.job)?.tasks.get(&task.index)
    }

    /// Moves past a record that does not parse.
    pub fn skip(&mut self, offset: Offset) {
        self.next = self.next.max(offset + 1);
    }

    /// Folds the record at `offset`; offsets before [`next`](Self::next) have no effect.
    pub fn apply(&mut self, offset: Offset, record: LogEnvelope<TaskRecord>) -> TaskEffect {
        if offset < self.next {
            return TaskEffect::Ignored;
        }
        self.next = offset + 1;
        if !self.writers.admit(&record.writer, record.sequence, offset) {
            return TaskEffect::Ignored;
        }
        match record.body {
            TaskRecord::Noop => TaskEffect::Ignored,
            TaskRecord::OwnerClaimed { epoch, owner, address } => {
                self.claim(ShardOwnership { epoch, owner, address })
            }
            TaskRecord::JobSubmitted(spec) => self.submit(offset, spec),
            TaskRecord::JobCancelled(job) => self.cancel(&job),
            TaskRecord::TaskReceived { spec, transfer } => self.receive(offset, spec, transfer),
            owned => self.apply_owned(offset, owned),
        }
    }

    fn apply_owned(&mut self, offset: Offset, record: TaskRecord) -> TaskEffect {
        let Some(epoch) = record.epoch() else { return TaskEffect::Ignored };
        // Epoch 0 means that the shard has no owner.
        if epoch == 0 || epoch != self.epoch() {
            return TaskEffect::StaleEpoch { current: self.epoch() };
        }
        let applied = match record {
            TaskRecord::TaskPlaced { task, vm, need, .. } => {
                self.place(&task, offset, epoch, vm, need)
            }
            TaskRecord::TaskEnded { task, token, end, .. } => self.end(&task, token, end),
            TaskRecord::WitnessNamed { witness, .. } => {
                self.witness = Some(ShardWitness { epoch, naming: offset, witness });
                Some(())
            }
            TaskRecord::JobParked { job, reason, .. } => self.park(&job, Some(reason)),
            TaskRecord::JobReleased { job, .. } => self.park(&job, None),
            TaskRecord::TaskTransferred { transfer, .. } => self.transfer(transfer),
            TaskRecord::TransferConfirmed { task, number, .. } => self.confirm(&task, number),
            TaskRecord::JobForgotten { job, .. } => self.forget(&job),
            _ => None,
        };
        applied.map_or(TaskEffect::PreconditionFailed, |()| TaskEffect::Applied)
    }

    fn claim(&mut self, ownership: ShardOwnership) -> TaskEffect {
        if ownership.epoch != self.epoch() + 1 {
            return TaskEffect::StaleEpoch { current: self.epoch() };
        }
        let epoch = ownership.epoch;
        self.ownership = Some(ownership);
        TaskEffect::Owned(epoch)
    }

    fn submit(&mut self, offset: Offset, spec: JobSpec) -> TaskEffect {
        if self.jobs.contains_key(&spec.id) {
            return TaskEffect::DuplicateJob;
        }
        let tasks = (0..spec.tasks).map(|index| (index, TrackedTask::pending(None, 0))).collect();
        self.jobs.insert(spec.id.clone(), TrackedJob::new(spec, offset, None, tasks));
        TaskEffect::Applied
    }

    fn cancel(&mut self, job: &JobId) -> TaskEffect {
        let Some(job) = self.jobs.get_mut(job) else { return TaskEffect::PreconditionFailed };
        job.cancelled = true;
        for task in job.tasks.values_mut() {
            if matches!(task.state, TaskState::Pending { .. }) {
                task.state = TaskState::Ended(TaskOutcome::Cancelled);
            }
        }
        TaskEffect::Applied
    }

    /// Adds a task that is new to this shard, or one that returns after a transfer.
    ///
    /// A late record of an earlier transfer has no effect, because the task has a higher
    /// number by then. Nor has a late record of an earlier job under the same key, because
    /// the task was not transferred away. Transfers with an even number return to
    /// the home shard; a job that is unknown there was forgotten.
    fn receive(&mut self, offset: Offset, spec: JobSpec, transfer: TaskTransfer) -> TaskEffect {
        let returns = transfer.number.is_multiple_of(2);
        let unknown = !self.jobs.contains_key(&spec.id);
        if transfer.to != self.shard || (returns && unknown) {
            return TaskEffect::PreconditionFailed;
        }
        let job = self
            .jobs
            .entry(spec.id.clone())
            .or_insert_with(|| TrackedJob::new(spec, offset, Some(transfer.from), IndexMap::new()));
        if job.home != returns {
            return TaskEffect::PreconditionFailed;
        }
        let state = match transfer.ended {
            Some(outcome) => TaskState::Ended(outcome),
            None if job.cancelled => TaskState::Ended(TaskOutcome::Cancelled),
            None => TaskState::Pending { checkpoint: transfer.checkpoint },
        };
        match job.tasks.entry(transfer.task.index) {
            Entry::Vacant(_) if job.home => TaskEffect::PreconditionFailed,
            Entry::Vacant(vacant) => {
                vacant.insert(TrackedTask { state, ..TrackedTask::pending(None, transfer.number) });
                TaskEffect::Applied
            }
            Entry::Occupied(occupied) => {
                let task = occupied.into_mut();
                if transfer.number <= task.moves {
                    return TaskEffect::Ignored;
                }
                if !matches!(task.state, TaskState::Transferred { .. }) {
                    return TaskEffect::PreconditionFailed;
                }
                task.moves = transfer.number;
                task.state = state;
                TaskEffect::Applied
            }
        }
    }

    fn task_mut(&mut self, task: &TaskId) -> Option<(&mut TrackedTask, &JobSpec, bool)> {
        let job = self.jobs.get_mut(&task.job)?;
        let task = job.tasks.get_mut(&task.index)?;
        Some((task, &job.spec, job.cancelled))
    }

    fn place(
        &mut self,
        task: &TaskId,
        token: Token,
        epoch: Epoch,
        vm: VmName,
        need: ResourceVector,
    ) -> Option<()> {
        let (task, _, _) = self.task_mut(task)?;
        let TaskState::Pending { checkpoint } = &task.state else { return None };
        let checkpoint = checkpoint.clone();
        task.state = TaskState::Placed { token, epoch, vm, need, checkpoint };
        task.placements += 1;
        Some(())
    }

    fn end(&mut self, task: &TaskId, token: Token, end: PlacementEnd) -> Option<()> {
        let (task, spec, cancelled) = self.task_mut(task)?;
        let TaskState::Placed { token: current, checkpoint, .. } = &task.state else {
            return None;
        };
        if *current != token {
            return None;
        }
        let previous = checkpoint.clone();
        if end == PlacementEnd::Failed {
            task.failures += 1;
        }
        task.state = match end {
            PlacementEnd::Finished { digest } if !spec.class.is_endless() => {
                TaskState::Ended(TaskOutcome::Finished { digest })
            }
            _ if cancelled => TaskState::Ended(TaskOutcome::Cancelled),
            PlacementEnd::Cancelled => TaskState::Ended(TaskOutcome::Cancelled),
            PlacementEnd::Evicted { checkpoint } => {
                TaskState::Pending { checkpoint: checkpoint.or(previous) }
            }
            _ => TaskState::Pending { checkpoint: previous },
        };
        Some(())
    }

    fn park(&mut self, job: &JobId, reason: Option<ParkReason>) -> Option<()> {
        let job = self.jobs.get_mut(job)?;
        if job.parked.is_some() == reason.is_some() {
            return None;
        }
        job.parked = reason;
        Some(())
    }

    fn transfer(&mut self, transfer: TaskTransfer) -> Option<()> {
        let job = self.jobs.get(&transfer.task.job)?;
        let home = job.home;
        // A shard that received the job may only send its tasks back.
        let allowed = transfer.from == self.shard
            && transfer.to != self.shard
            && job.origin.as_ref().is_none_or(|origin| *origin == transfer.to);
        let (task, _, _) = self.task_mut(&transfer.task)?;
        if !allowed || transfer.number != task.moves + 1 {
            return None;
        }
        let ready = match (&task.state, &transfer.ended) {
            (TaskState::Pending { checkpoint }, None) => *checkpoint == transfer.checkpoint,
            // An ended task stays in its home shard.
            (TaskState::Ended(outcome), Some(sent)) => !home && outcome == sent,
            _ => false,
        };
        if !ready {
            return None;
        }
        task.moves = transfer.number;
        task.state = TaskState::Transferred { transfer, confirmed: false };
        Some(())
    }

    fn confirm(&mut self, task: &TaskId, number: u32) -> Option<()> {
        let (task, _, _) = self.task_mut(task)?;
        match &mut task.state {
            TaskState::Transferred { transfer, confirmed } if transfer.number == number => {
                *confirmed = true;
                Some(())
            }
            _ => None,
        }
    }

    /// Removes a job: in its home shard once all tasks have ended, elsewhere once
    /// all tasks have been sent back and the transfers are confirmed.
    ///
    /// A late `TaskReceived` or `JobSubmitted` would add the job again, so an owner
    /// writes this record only when appends of that age can no longer arrive.
    fn forget(&mut self, job: &JobId) -> Option<()> {
        let tracked = self.jobs.get(job)?;
        let removable = |task: &TrackedTask| match &task.state {
            // In another shard, the outcome must first be sent to the home shard.
            TaskState::Ended(_) => tracked.home,
            TaskState::Transferred { confirmed, .. } => *confirmed && !tracked.home,
            _ => false,
        };
        if !tracked.tasks.values().all(removable) {
            return None;
        }
        self.jobs.shift_remove(job);
        Some(())
    }
}

impl TrackedJob {
    fn new(
        spec: JobSpec,
        since: Offset,
        origin: Option<ShardName>,
        tasks: IndexMap<u32, TrackedTask>,
    ) -> Self {
        let home = origin.is_none();
        Self { spec: Arc::new(spec), since, home, origin, cancelled: false, parked: None, tasks }
    }
}
