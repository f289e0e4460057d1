//! Transfers of tasks between shards whose owners are replaced, over logs that delay,
//! repeat and lose appends.
//!
//! Guards against a task that has two valid placements in any shards, resumes twice,
//! gets lost in transfer, or runs after its cancellation. Owners act on what they have
//! read, which may be out of date.

mod support;

use std::collections::BTreeMap;

use cactusdoor_core::envelope::LogEnvelope;
use cactusdoor_core::job::{
    JobClass, JobId, JobSpec, PlacementEnd, TaskId, TaskOutcome, TaskTransfer,
};
use cactusdoor_core::name::CheckpointName;
use cactusdoor_core::shard::{ShardFold, TaskEffect, TaskRecord, TaskState, TrackedTask};
use cactusdoor_core::unit::{Offset, Token};
use proptest::prelude::*;
use support::log::{AppendDelivery, LogWriter, SimulatedLog, deliveries};
use support::owner::{
    Candidate, OwnerAction, SHARDS, has_received, local_record, owner_actions, received_record,
    shard_number,
};
use support::{Simulation, fuzz, names, pick};

/// Processes per shard that may own it.
const CANDIDATES: usize = 2;
/// Number of tasks of each job: a batch job with one, and a watch job with two.
const TASKS: [u32; 2] = [1, 2];
const JOBS: usize = TASKS.len();

#[derive(Clone, Debug)]
enum Step {
    Read {
        shard: usize,
        candidate: usize,
        count: usize,
    },
    Claim {
        shard: usize,
        candidate: usize,
        delivery: AppendDelivery,
    },
    PerformAction {
        shard: usize,
        candidate: usize,
        task: usize,
        action: OwnerAction,
        delivery: AppendDelivery,
    },
    /// The owner of the task's shard reads all records and takes the next step for the
    /// task, which makes long histories likely.
    Advance {
        task: usize,
        choice: usize,
        delivery: AppendDelivery,
    },
    Restart {
        shard: usize,
        candidate: usize,
        from_empty: bool,
    },
    Submit {
        job: usize,
        delivery: AppendDelivery,
    },
    Cancel {
        job: usize,
        delivery: AppendDelivery,
    },
    /// So much time passes that every append arrives and is read.
    Quiesce,
    Deliver {
        shard: usize,
        number: usize,
        keep: bool,
    },
    Repeat {
        shard: usize,
        number: usize,
    },
}

/// Effects of the records of one task in all shards, in the order they were stored.
#[derive(Clone, Debug, Default)]
struct TaskHistory {
    /// Shard and token of the valid placement.
    running: Option<(usize, Token)>,
    checkpoint: Option<CheckpointName>,
    ended: bool,
    placements: usize,
    /// Number of placements that have ended.
    ended_placements: usize,
}

struct TransferSimulation {
    logs: Vec<SimulatedLog>,
    candidates: Vec<Vec<Candidate>>,
    references: Vec<ShardFold>,
    /// The entry that writes submissions and cancellations.
    entry: LogWriter,
    histories: BTreeMap<TaskId, TaskHistory>,
    tokens: Vec<Token>,
    /// Job and shard of each cancellation that took effect.
    cancelled: Vec<(usize, usize)>,
    submitted: Vec<usize>,
}

fn tasks() -> Vec<TaskId> {
    (0..JOBS).flat_map(|job| (0..TASKS[job]).map(move |index| names::task(job, index))).collect()
}

fn job_number(id: &JobId) -> usize {
    (0..JOBS).find(|job| names::job(*job) == *id).unwrap()
}

fn spec(job: usize) -> JobSpec {
    names::spec(job, if job == 0 { JobClass::Batch } else { JobClass::Watch }, TASKS[job])
}

impl TransferSimulation {
    /// Folds the new records and checks those that take effect against the histories.
    fn update_oracle(&mut self) {
        for shard in 0..SHARDS {
            while self.references[shard].next() < self.logs[shard].next() {
                let offset = self.references[shard].next();
                let record = self.logs[shard].decode::<TaskRecord>(offset).unwrap();
                let effect =
                    self.logs[shard].read(&mut self.references[shard], 1).pop().unwrap().effect;
                if effect == TaskEffect::Applied {
                    self.apply_effect(shard, offset, record);
                }
            }
        }
    }

    fn apply_effect(&mut self, shard: usize, offset: Offset, record: LogEnvelope<TaskRecord>) {
        match record.body {
            TaskRecord::TaskPlaced { task, .. } => {
                let job = job_number(&task.job);
                assert!(
                    !self.cancelled.contains(&(job, shard)),
                    "{task} placed in shard {shard} after its cancellation"
                );
                let history = self.histories.entry(task.clone()).or_default();
                assert_eq!(history.running, None, "{task} has two placements, shard {shard}");
                assert!(!history.ended, "{task} placed after its end");
                assert_eq!(history.placements, history.ended_placements, "{task} resumed twice");
                history.running = Some((shard, offset));
                history.placements += 1;
                let state = &self.references[shard].task(&task).unwrap().state;
                let TaskState::Placed { checkpoint, .. } = state else { panic!("{state:?}") };
                assert_eq!(*checkpoint, history.checkpoint, "checkpoint of {task}");
                self.tokens.push(offset);
            }
            TaskRecord::TaskEnded { task, token, end, .. } => {
                let history = self.histories.entry(task.clone()).or_default();
                assert_eq!(history.running, Some((shard, token)), "end of {task}");
                history.running = None;
                history.ended_placements += 1;
                if let PlacementEnd::Evicted { checkpoint: Some(checkpoint) } = end {
                    history.checkpoint = Some(checkpoint);
                }
                let state = &self.references[shard].task(&task).unwrap().state;
                history.ended = matches!(state, TaskState::Ended(_));
            }
            TaskRecord::JobCancelled(id) => self.cancelled.push((job_number(&id), shard)),
            TaskRecord::JobSubmitted(spec) => self.submitted.push(job_number(&spec.id)),
            _ => {}
        }
    }

    fn perform(
        &mut self,
        shard: usize,
        candidate: usize,
        task: usize,
        action: &OwnerAction,
        delivery: AppendDelivery,
    ) {
        let task = pick(&tasks(), task).unwrap().clone();
        let quiescent = self.is_quiescent();
        let Candidate { writer, fold, owned } = &mut self.candidates[shard][candidate];
        let (Some(epoch), Some(job)) = (*owned, fold.job(&task.job)) else { return };
        let Some(tracked) = job.tasks.get(&task.index) else { return };
        let (target, body) = match action {
            OwnerAction::Send => match received_record(tracked, job) {
                Some((target, body)) => (target, body),
                None => return,
            },
            OwnerAction::ForwardCancel => match &tracked.state {
                TaskState::Transferred { transfer, .. } if job.cancelled => {
                    (shard_number(&transfer.to), TaskRecord::JobCancelled(task.job))
                }
                _ => return,
            },
            OwnerAction::Confirm => {
                let TaskState::Transferred { transfer, .. } = &tracked.state else { return };
                if !has_received(&self.references[shard_number(&transfer.to)], transfer) {
                    return;
                }
                let number = transfer.number;
                (shard, TaskRecord::TransferConfirmed { epoch, task, number })
            }
            // A job may be forgotten only when no earlier append can still arrive.
            OwnerAction::Forget if !quiescent => return,
            OwnerAction::Forget => (shard, TaskRecord::JobForgotten { epoch, job: task.job }),
            local => match local_record(local, epoch, shard, task, tracked, job, &self.tokens) {
                Some(body) => (shard, body),
                None => return,
            },
        };
        self.logs[target].append(&writer.record(body), delivery);
    }

    /// Whether no append is in transit and every process has read all records.
    fn is_quiescent(&self) -> bool {
        self.logs.iter().zip(&self.candidates).all(|(log, candidates)| {
            let read = candidates.iter().all(|candidate| candidate.fold.next() == log.next());
            log.in_transit() == 0 && read
        })
    }

    /// Shards that hold the task, without those that transferred it away.
    fn holders(&self, task: &TaskId) -> Vec<(usize, &TrackedTask)> {
        let tracked = |shard: usize| Some((shard, self.references[shard].task(task)?));
        (0..SHARDS)
            .filter_map(tracked)
            .filter(|(_, tracked)| !matches!(tracked.state, TaskState::Transferred { .. }))
            .collect()
    }

    /// Lets the current owner of a shard act; claims the shard if it has no owner.
    fn act_as_owner(
        &mut self,
        shard: usize,
        task: usize,
        action: &OwnerAction,
        delivery: AppendDelivery,
    ) {
        let log = &self.logs[shard];
        self.candidates[shard].iter_mut().for_each(|candidate| candidate.read(log, usize::MAX));
        match self.candidates[shard].iter().position(|candidate| candidate.owned.is_some()) {
            Some(owner) => self.perform(shard, owner, task, action, delivery),
            None => self.claim(shard, 0, AppendDelivery::Stored),
        }
    }

    fn advance(&mut self, number: usize, choice: usize, delivery: AppendDelivery) {
        let task = &tasks()[number % tasks().len()];
        let known =
            (0..SHARDS).filter_map(|shard| Some((shard, self.references[shard].task(task)?)));
        let (shard_choice, choice, content) = (choice % 16, choice / 16 % 16, choice / 256);
        let rank = |(_, tracked): &(usize, &TrackedTask)| {
            let unconfirmed =
                matches!(tracked.state, TaskState::Transferred { confirmed: false, .. });
            let has_task = !matches!(tracked.state, TaskState::Transferred { .. });
            // Rarely advances a shard that transferred the task away, to confirm or forget.
            (has_task && shard_choice > 2, unconfirmed && shard_choice > 0, tracked.moves)
        };
        let Some((shard, tracked)) = known.max_by_key(rank) else { return };
        let checkpoint = (content % 5 < 3).then(|| names::checkpoint(content % 7));
        let action = match (&tracked.state, choice) {
            (TaskState::Pending { .. }, 0..8) => OwnerAction::Transfer(content),
            (TaskState::Pending { .. }, _) => OwnerAction::Place,
            (TaskState::Placed { .. }, 0..2) => {
                OwnerAction::End(PlacementEnd::Finished { digest: 1 })
            }
            (TaskState::Placed { .. }, 2..4) => OwnerAction::EndLate(content),
            (TaskState::Placed { .. }, _) => OwnerAction::End(PlacementEnd::Evicted { checkpoint }),
            (TaskState::Ended(_), 0..10) if shard != 0 => OwnerAction::Transfer(0),
            (TaskState::Transferred { .. }, 0..6) => OwnerAction::Send,
            (TaskState::Transferred { .. }, 6..10) => OwnerAction::Confirm,
            _ => OwnerAction::Forget,
        };
        if matches!(action, OwnerAction::Forget) && content.is_multiple_of(2) {
            self.quiesce();
        }
        self.act_as_owner(shard, number, &action, delivery);
    }

    fn quiesce(&mut self) {
        for (log, candidates) in self.logs.iter_mut().zip(&mut self.candidates) {
            log.deliver_all();
            candidates.iter_mut().for_each(|candidate| candidate.read(log, usize::MAX));
        }
        self.update_oracle();
    }

    fn claim(&mut self, shard: usize, candidate: usize, delivery: AppendDelivery) {
        let claimant = &mut self.candidates[shard][candidate];
        let record = TaskRecord::OwnerClaimed {
            epoch: claimant.fold.epoch() + 1,
            owner: names::vm(candidate),
            address: names::address(candidate),
        };
        self.logs[shard].append(&claimant.writer.record(record), delivery);
    }
}

impl Simulation for TransferSimulation {
    type Step = Step;

    fn steps() -> BoxedStrategy<Step> {
        let (shard, candidate) = (0..SHARDS, 0..CANDIDATES);
        let task = prop_oneof![3 => Just(0_usize), 2 => Just(1), 1 => Just(2)];
        prop_oneof![
            4 => (shard.clone(), candidate.clone(), 0..12_usize)
                .prop_map(|(shard, candidate, count)| Step::Read { shard, candidate, count }),
            1 => (shard.clone(), candidate.clone(), deliveries())
                .prop_map(|(shard, candidate, delivery)| Step::Claim { shard, candidate, delivery }),
            8 => (shard.clone(), candidate.clone(), task.clone(), owner_actions(), deliveries())
                .prop_map(|(shard, candidate, task, action, delivery)| {
                    Step::PerformAction { shard, candidate, task, action, delivery }
                }),
            24 => (task, any::<usize>(), deliveries())
                .prop_map(|(task, choice, delivery)| Step::Advance { task, choice, delivery }),
            1 => (shard.clone(), candidate, any::<bool>())
                .prop_map(|(shard, candidate, from_empty)| {
                    Step::Restart { shard, candidate, from_empty }
                }),
            2 => (0..JOBS, deliveries()).prop_map(|(job, delivery)| Step::Submit { job, delivery }),
            1 => (0..JOBS, deliveries()).prop_map(|(job, delivery)| Step::Cancel { job, delivery }),
            1 => Just(Step::Quiesce),
            3 => (shard.clone(), any::<usize>(), any::<bool>())
                .prop_map(|(shard, number, keep)| Step::Deliver { shard, number, keep }),
            1 => (shard, any::<usize>())
                .prop_map(|(shard, number)| Step::Repeat { shard, number }),
        ]
        .boxed()
    }

    fn new() -> Self {
        let candidate = |shard: usize, candidate: usize| Candidate {
            writer: LogWriter::new(shard * CANDIDATES + candidate),
            fold: ShardFold::new(names::shard(shard)),
            owned: None,
        };
        let candidates = |shard| (0..CANDIDATES).map(|number| candidate(shard, number)).collect();
        Self {
            logs: vec![SimulatedLog::default(); SHARDS],
            candidates: (0..SHARDS).map(candidates).collect(),
            references: (0..SHARDS).map(|shard| ShardFold::new(names::shard(shard))).collect(),
            entry: LogWriter::new(99),
            histories: BTreeMap::new(),
            tokens: Vec::new(),
            cancelled: Vec::new(),
            submitted: Vec::new(),
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Read { shard, candidate, count } => {
                self.candidates[shard][candidate].read(&self.logs[shard], count);
            }
            Step::Claim { shard, candidate, delivery } => self.claim(shard, candidate, delivery),
            Step::PerformAction { shard, candidate, task, action, delivery } => {
                self.perform(shard, candidate, task, &action, delivery);
            }
            Step::Advance { task, choice, delivery } => self.advance(task, choice, delivery),
            Step::Restart { shard, candidate, from_empty } => {
                let restarted = &mut self.candidates[shard][candidate];
                restarted.writer.restart();
                restarted.owned = None;
                if from_empty {
                    restarted.fold = ShardFold::new(names::shard(shard));
                }
            }
            Step::Submit { job, delivery } => {
                // The key of a forgotten job may be used again; this test doesn't do so.
                let forgotten = self.submitted.contains(&job)
                    && self.references[0].job(&names::job(job)).is_none();
                if !forgotten && self.logs[0].in_transit() == 0 {
                    let record = self.entry.record(TaskRecord::JobSubmitted(spec(job)));
                    self.logs[0].append(&record, delivery);
                }
            }
            Step::Cancel { job, delivery } => {
                let record = self.entry.record(TaskRecord::JobCancelled(names::job(job)));
                self.logs[0].append(&record, delivery);
            }
            Step::Quiesce => self.quiesce(),
            Step::Deliver { shard, number, keep } => self.logs[shard].deliver(number, keep),
            Step::Repeat { shard, number } => self.logs[shard].repeat(number),
        }
        self.update_oracle();
    }

    fn check(&self) {
        for task in tasks() {
            let holders = self.holders(&task);
            assert!(holders.len() <= 1, "{task} is held by {holders:?}");
            let Some(home) = self.references[0].task(&task) else { continue };
            if let TaskState::Transferred { transfer, .. } = &home.state
                && holders.is_empty()
            {
                self.check_in_transfer(&task, transfer);
            }
        }
    }

    fn finish(mut self) {
        // Once all appends arrive and owners continue, the batch task ends.
        for round in 0..30 {
            for shard in 0..SHARDS {
                self.logs[shard].deliver_all();
                for (task, id) in tasks().iter().enumerate() {
                    let action = match self.references[shard].task(id).map(|tracked| &tracked.state)
                    {
                        Some(TaskState::Pending { .. }) => OwnerAction::Place,
                        Some(TaskState::Placed { .. }) => {
                            OwnerAction::End(PlacementEnd::Finished { digest: 1 })
                        }
                        Some(TaskState::Ended(_)) if shard != 0 => OwnerAction::Transfer(0),
                        Some(TaskState::Transferred { confirmed: false, .. }) if round % 2 == 0 => {
                            OwnerAction::Send
                        }
                        Some(TaskState::Transferred { confirmed: false, .. }) => {
                            OwnerAction::Confirm
                        }
                        _ => continue,
                    };
                    self.act_as_owner(shard, task, &action, AppendDelivery::Stored);
                    self.update_oracle();
                    self.check();
                }
            }
        }
        for task in tasks().iter().filter(|task| job_number(&task.job) == 0) {
            if let Some(home) = self.references[0].task(task) {
                let ended = matches!(
                    home.state,
                    TaskState::Ended(TaskOutcome::Finished { .. } | TaskOutcome::Cancelled)
                );
                assert!(ended, "{task} did not end: {:?}", home.state);
            }
        }
    }
}

impl TransferSimulation {
    /// Checks that a task without a holder is in transfer: its newest transfer was not
    /// received yet.
    fn check_in_transfer(&self, task: &TaskId, from_home: &TaskTransfer) {
        let remote = shard_number(&from_home.to);
        let newest = match self.references[remote].task(task).map(|tracked| &tracked.state) {
            Some(TaskState::Transferred { transfer, .. }) if transfer.number > from_home.number => {
                transfer
            }
            _ => from_home,
        };
        let target = self.references[shard_number(&newest.to)].task(task);
        let received = target.is_some_and(|tracked| tracked.moves >= newest.number);
        assert!(!received, "{task} is in no shard, last transfer {newest:?}");
    }
}

#[test]
fn task_has_at_most_one_valid_placement_across_shards() {
    fuzz::<TransferSimulation>("hand-over", 768, 1..160);
}

/// Guards against an ended task that runs again: the shard that sent it home was cut
/// off and repeats the transfer after the home shard has forgotten the job.
#[test]
fn repeated_transfer_home_does_not_restore_a_forgotten_job() {
    let mut log = SimulatedLog::default();
    let (mut owner, mut other_owner) = (LogWriter::new(0), LogWriter::new(1));
    let task = names::task(0, 0);
    let transfer = |number, from, to| TaskTransfer {
        task: task.clone(),
        number,
        from: names::shard(from),
        to: names::shard(to),
        checkpoint: None,
        ended: None,
    };
    let returned = TaskRecord::TaskReceived { spec: spec(0), transfer: transfer(2, 1, 0) };
    let (owner_vm, address) = (names::vm(0), names::address(0));
    let placed = TaskRecord::TaskPlaced {
        epoch: 1,
        task: task.clone(),
        vm: names::vm(0),
        need: names::need(),
    };
    let end = PlacementEnd::Finished { digest: 1 };
    let records = [
        owner.record(TaskRecord::OwnerClaimed { epoch: 1, owner: owner_vm, address }),
        owner.record(TaskRecord::JobSubmitted(spec(0))),
        owner.record(TaskRecord::TaskTransferred { epoch: 1, transfer: transfer(1, 0, 1) }),
        other_owner.record(returned.clone()),
        owner.record(placed),
        owner.record(TaskRecord::TaskEnded { epoch: 1, task: task.clone(), token: 4, end }),
        owner.record(TaskRecord::JobForgotten { epoch: 1, job: names::job(0) }),
    ];
    for record in &records {
        log.append(record, AppendDelivery::Stored);
    }
    let mut fold = ShardFold::new(names::shard(0));
    for read in log.read(&mut fold, usize::MAX) {
        assert!(matches!(read.effect, TaskEffect::Applied | TaskEffect::Owned(1)), "{read:?}");
    }
    log.append(&other_owner.record(returned), AppendDelivery::Stored);
    let effect = log.read(&mut fold, 1).pop().unwrap().effect;
    assert_eq!((effect, fold.job(&names::job(0))), (TaskEffect::PreconditionFailed, None));
}
