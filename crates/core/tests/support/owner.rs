//! Simulated owners of shards. They act on the records that they have read so far.

use cactusdoor_core::job::{PlacementEnd, TaskId, TaskTransfer};
use cactusdoor_core::name::ShardName;
use cactusdoor_core::shard::{
    ShardFold, TaskEffect, TaskRecord, TaskState, TrackedJob, TrackedTask,
};
use cactusdoor_core::unit::{Epoch, Token};
use proptest::prelude::*;

use super::log::{LogWriter, SimulatedLog};
use super::{names, pick};

/// Shard 0 is the home of all jobs.
pub const SHARDS: usize = 3;

#[derive(Clone, Debug)]
pub enum OwnerAction {
    Place,
    End(PlacementEnd),
    /// Ends any placement, not necessarily the current one.
    EndLate(usize),
    /// Transfers a task from the home shard to another, or back home from there.
    Transfer(usize),
    /// Writes `TaskReceived` to the other shard, possibly again.
    Send,
    /// Confirms a transfer if the other shard has received the task.
    Confirm,
    /// Forwards the job's cancellation to the other shard.
    ForwardCancel,
    Forget,
}

/// One of several processes that may own the same shard.
pub struct Candidate {
    pub writer: LogWriter,
    pub fold: ShardFold,
    /// Epoch that this incarnation claimed and whose claim it has read.
    pub owned: Option<Epoch>,
}

impl Candidate {
    /// Reads up to `count` records; the newest claim decides whether this process owns
    /// the shard.
    pub fn read(&mut self, log: &SimulatedLog, count: usize) {
        for read in log.read(&mut self.fold, count) {
            if let TaskEffect::Owned(epoch) = read.effect {
                self.owned = (read.writer == self.writer.id).then_some(epoch);
            }
        }
    }
}

pub fn shard_number(name: &ShardName) -> usize {
    (0..SHARDS).find(|shard| names::shard(*shard) == *name).unwrap()
}

/// Record of an unconfirmed transfer for the receiving shard, and the shard's number.
pub fn received_record(tracked: &TrackedTask, job: &TrackedJob) -> Option<(usize, TaskRecord)> {
    let TaskState::Transferred { transfer, confirmed: false } = &tracked.state else { return None };
    let spec = job.spec.as_ref().clone();
    let record = TaskRecord::TaskReceived { spec, transfer: transfer.clone() };
    Some((shard_number(&transfer.to), record))
}

/// Whether the receiving shard has received the task in this transfer or a later one.
///
/// A record in the stream is not enough: the fold ignores it if it was stored after a
/// later record of the same writer.
pub fn has_received(receiver: &ShardFold, transfer: &TaskTransfer) -> bool {
    receiver.task(&transfer.task).is_some_and(|tracked| tracked.moves >= transfer.number)
}

pub fn local_record(
    action: &OwnerAction,
    epoch: Epoch,
    shard: usize,
    task: TaskId,
    tracked: &TrackedTask,
    job: &TrackedJob,
    tokens: &[Token],
) -> Option<TaskRecord> {
    match (action, &tracked.state) {
        (OwnerAction::Place, TaskState::Pending { .. }) => {
            Some(TaskRecord::TaskPlaced { epoch, task, vm: names::vm(0), need: names::need() })
        }
        (OwnerAction::End(end), TaskState::Placed { token, .. }) => {
            Some(TaskRecord::TaskEnded { epoch, task, token: *token, end: end.clone() })
        }
        (OwnerAction::EndLate(number), _) => {
            let (token, end) = (*pick(tokens, *number)?, PlacementEnd::Lapsed);
            Some(TaskRecord::TaskEnded { epoch, task, token, end })
        }
        (OwnerAction::Transfer(to), state) => {
            let to = if shard == 0 { 1 + to % (SHARDS - 1) } else { 0 };
            let (checkpoint, ended) = match state {
                TaskState::Pending { checkpoint } => (checkpoint.clone(), None),
                TaskState::Ended(outcome) if !job.home => (None, Some(outcome.clone())),
                _ => return None,
            };
            let (from, to) = (names::shard(shard), names::shard(to));
            let number = tracked.moves + 1;
            let transfer = TaskTransfer { task, number, from, to, checkpoint, ended };
            Some(TaskRecord::TaskTransferred { epoch, transfer })
        }
        _ => None,
    }
}

pub fn owner_actions() -> impl Strategy<Value = OwnerAction> + Clone {
    let end = prop_oneof![
        1 => (0..3_u64).prop_map(|digest| PlacementEnd::Finished { digest }),
        2 => Just(PlacementEnd::Failed),
        6 => proptest::option::of(0..9_usize).prop_map(|number| PlacementEnd::Evicted {
            checkpoint: number.map(names::checkpoint)
        }),
        1 => Just(PlacementEnd::Lapsed),
    ];
    prop_oneof![
        6 => Just(OwnerAction::Place),
        5 => end.prop_map(OwnerAction::End),
        1 => any::<usize>().prop_map(OwnerAction::EndLate),
        6 => any::<usize>().prop_map(OwnerAction::Transfer),
        8 => Just(OwnerAction::Send),
        4 => Just(OwnerAction::Confirm),
        2 => Just(OwnerAction::ForwardCancel),
        2 => Just(OwnerAction::Forget),
    ]
}
