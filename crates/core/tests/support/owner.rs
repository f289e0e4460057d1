//! Owners of shards that act on what they have read so far.

use cactusdoor_core::job::{PlacementEnd, TaskId, TaskMove};
use cactusdoor_core::name::ShardName;
use cactusdoor_core::shard::{JobEntry, ShardFold, TaskEffect, TaskEntry, TaskRecord, TaskState};
use cactusdoor_core::unit::{Epoch, Token};
use proptest::prelude::*;

use super::log::{LogWriter, SimulatedLog};
use super::{names, pick};

/// Shard 0 is the home of all jobs.
pub const SHARDS: usize = 3;
#[derive(Clone, Debug)]
pub enum OwnerAct {
    Place,
    End(PlacementEnd),
    /// Ends a placement that need not be the current one.
    EndLate(usize),
    /// To another shard from home, back home from elsewhere.
    HandOver(usize),
    /// Writes `TaskReceived` to the other shard, once more.
    Send,
    /// Confirms if the other shard's stream holds the record.
    Confirm,
    /// Tells the other shard that the job is cancelled.
    PassOnCancel,
    Forget,
}

pub struct Rival {
    pub writer: LogWriter,
    pub fold: ShardFold,
    pub held: Option<Epoch>,
}

impl Rival {
    /// Reads on; the newest claim decides whether this process is the owner.
    pub fn read(&mut self, log: &SimulatedLog, count: usize) {
        for read in log.read(&mut self.fold, count) {
            if let TaskEffect::Owned(epoch) = read.effect {
                self.held = (read.writer == self.writer.id).then_some(epoch);
            }
        }
    }
}

pub fn shard_number(name: &ShardName) -> usize {
    (0..SHARDS).find(|shard| names::shard(*shard) == *name).unwrap()
}

pub fn send(entry: &TaskEntry, job: &JobEntry) -> Option<(usize, TaskRecord)> {
    let TaskState::Away { task_move, confirmed: false } = &entry.state else { return None };
    let spec = job.spec.as_ref().clone();
    let record = TaskRecord::TaskReceived { spec, task_move: task_move.clone() };
    Some((shard_number(&task_move.to), record))
}

/// Whether the receiving shard took the task in.
///
/// That the record stands in the stream is not enough: the fold drops it if it
/// arrived behind a later record of its writer.
pub fn holds(receiver: &ShardFold, wanted: &TaskMove) -> bool {
    receiver.task(&wanted.task).is_some_and(|entry| entry.moves >= wanted.number)
}

pub fn local_record(
    act: &OwnerAct,
    epoch: Epoch,
    shard: usize,
    task: TaskId,
    entry: &TaskEntry,
    job: &JobEntry,
    tokens: &[Token],
) -> Option<TaskRecord> {
    match (act, &entry.state) {
        (OwnerAct::Place, TaskState::Pending { .. }) => {
            Some(TaskRecord::TaskPlaced { epoch, task, vm: names::vm(0), need: names::need() })
        }
        (OwnerAct::End(end), TaskState::Placed { token, .. }) => {
            Some(TaskRecord::TaskEnded { epoch, task, token: *token, end: end.clone() })
        }
        (OwnerAct::EndLate(number), _) => {
            let (token, end) = (*pick(tokens, *number)?, PlacementEnd::Lapsed);
            Some(TaskRecord::TaskEnded { epoch, task, token, end })
        }
        (OwnerAct::HandOver(to), state) => {
            let to = if shard == 0 { 1 + to % (SHARDS - 1) } else { 0 };
            let (checkpoint, ended) = match state {
                TaskState::Pending { checkpoint } => (checkpoint.clone(), None),
                TaskState::Ended(outcome) if !job.home => (None, Some(outcome.clone())),
                _ => return None,
            };
            let (from, to) = (names::shard(shard), names::shard(to));
            let number = entry.moves + 1;
            let task_move = TaskMove { task, number, from, to, checkpoint, ended };
            Some(TaskRecord::TaskHandedOver { epoch, task_move })
        }
        _ => None,
    }
}

pub fn owner_acts() -> impl Strategy<Value = OwnerAct> + Clone {
    let end = prop_oneof![
        1 => (0..3_u64).prop_map(|digest| PlacementEnd::Finished { digest }),
        2 => Just(PlacementEnd::Failed),
        6 => proptest::option::of(0..9_usize).prop_map(|number| PlacementEnd::Evicted {
            checkpoint: number.map(names::checkpoint)
        }),
        1 => Just(PlacementEnd::Lapsed),
    ];
    prop_oneof![
        6 => Just(OwnerAct::Place),
        5 => end.prop_map(OwnerAct::End),
        1 => any::<usize>().prop_map(OwnerAct::EndLate),
        6 => any::<usize>().prop_map(OwnerAct::HandOver),
        8 => Just(OwnerAct::Send),
        4 => Just(OwnerAct::Confirm),
        2 => Just(OwnerAct::PassOnCancel),
        2 => Just(OwnerAct::Forget),
    ]
}
