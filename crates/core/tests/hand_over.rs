//! Tasks that move between shards whose owners are replaced, over logs that
//! delay, repeat and lose appends.
//!
//! Guards against a task that has two placements which count in any pair of
//! shards, that resumes twice, gets lost on its way, or runs after its
//! cancellation. Owners act on what they have read, which may be old.

mod support;

use std::collections::BTreeMap;

use cactusdoor_core::envelope::LogEnvelope;
use cactusdoor_core::job::{JobClass, JobId, JobSpec, PlacementEnd, TaskId, TaskMove, TaskOutcome};
use cactusdoor_core::name::CheckpointName;
use cactusdoor_core::shard::{ShardFold, TaskEffect, TaskEntry, TaskRecord, TaskState};
use cactusdoor_core::unit::{Offset, Token};
use proptest::prelude::*;
use support::log::{AppendFate, LogWriter, SimulatedLog, fates};
use support::owner::{
    OwnerAct, Rival, SHARDS, holds, local_record, owner_acts, send, shard_number,
};
use support::{World, fuzz, names, pick};

/// Processes per shard that may own it.
const RIVALS: usize = 2;
/// Number of tasks of each job: one batch task, and a watch with two.
const TASKS: [u32; 2] = [1, 2];
const JOBS: usize = TASKS.len();

#[derive(Clone, Debug)]
enum Step {
    Read {
        shard: usize,
        rival: usize,
        count: usize,
    },
    Claim {
        shard: usize,
        rival: usize,
        fate: AppendFate,
    },
    Act {
        shard: usize,
        rival: usize,
        task: usize,
        act: OwnerAct,
        fate: AppendFate,
    },
    /// The owner of the shard that has the task reads all and does what comes
    /// next, which makes long stories likely.
    Advance {
        task: usize,
        choice: usize,
        fate: AppendFate,
    },
    Restart {
        shard: usize,
        rival: usize,
        from_empty: bool,
    },
    Submit {
        job: usize,
        fate: AppendFate,
    },
    Cancel {
        job: usize,
        fate: AppendFate,
    },
    /// So much time passes that everything arrives and is read.
    Settle,
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

/// What counted for one task, over all shards, in the order of storing.
#[derive(Clone, Debug, Default)]
struct Story {
    /// Shard and token of the placement that counts.
    running: Option<(usize, Token)>,
    checkpoint: Option<CheckpointName>,
    over: bool,
    placements: usize,
    resumable: usize,
}

struct HandOverWorld {
    logs: Vec<SimulatedLog>,
    rivals: Vec<Vec<Rival>>,
    truth: Vec<ShardFold>,
    entry: LogWriter,
    stories: BTreeMap<TaskId, Story>,
    tokens: Vec<Token>,
    /// Shards in whose stream the cancellation of a job counted.
    cancelled: Vec<(usize, usize)>,
    submitted: Vec<usize>,
}

fn tasks() -> Vec<TaskId> {
    (0..JOBS).flat_map(|job| (0..TASKS[job]).map(move |index| names::task(job, index))).collect()
}

fn number_of(id: &JobId) -> usize {
    (0..JOBS).find(|job| names::job(*job) == *id).unwrap()
}

fn spec(job: usize) -> JobSpec {
    names::spec(job, if job == 0 { JobClass::Batch } else { JobClass::Watch }, TASKS[job])
}

impl HandOverWorld {
    /// Folds what was stored and checks each record that counts against the stories.
    fn follow(&mut self) {
        for shard in 0..SHARDS {
            while self.truth[shard].next() < self.logs[shard].next() {
                let offset = self.truth[shard].next();
                let record = self.logs[shard].decode::<TaskRecord>(offset).unwrap();
                let effect = self.logs[shard].read(&mut self.truth[shard], 1).pop().unwrap().effect;
                if effect == TaskEffect::Applied {
                    self.counted(shard, offset, record);
                }
            }
        }
    }

    fn counted(&mut self, shard: usize, offset: Offset, record: LogEnvelope<TaskRecord>) {
        match record.body {
            TaskRecord::TaskPlaced { task, .. } => {
                let job = number_of(&task.job);
                assert!(
                    !self.cancelled.contains(&(job, shard)),
                    "{task} placed in shard {shard} when cancelled"
                );
                let story = self.stories.entry(task.clone()).or_default();
                assert_eq!(story.running, None, "{task} has two placements, shard {shard}");
                assert!(!story.over, "{task} placed after its end");
                assert_eq!(story.placements, story.resumable, "{task} resumed twice");
                story.running = Some((shard, offset));
                story.placements += 1;
                let state = &self.truth[shard].task(&task).unwrap().state;
                let TaskState::Placed { checkpoint, .. } = state else { panic!("{state:?}") };
                assert_eq!(*checkpoint, story.checkpoint, "checkpoint of {task}");
                self.tokens.push(offset);
            }
            TaskRecord::TaskEnded { task, token, end, .. } => {
                let story = self.stories.entry(task.clone()).or_default();
                assert_eq!(story.running, Some((shard, token)), "end of {task}");
                story.running = None;
                story.resumable += 1;
                if let PlacementEnd::Evicted { checkpoint: Some(checkpoint) } = end {
                    story.checkpoint = Some(checkpoint);
                }
                let state = &self.truth[shard].task(&task).unwrap().state;
                story.over = matches!(state, TaskState::Ended(_));
            }
            TaskRecord::JobCancelled(id) => self.cancelled.push((number_of(&id), shard)),
            TaskRecord::JobSubmitted(spec) => self.submitted.push(number_of(&spec.id)),
            _ => {}
        }
    }

    fn act(&mut self, shard: usize, rival: usize, task: usize, act: &OwnerAct, fate: AppendFate) {
        let task = pick(&tasks(), task).unwrap().clone();
        let settled = self.is_settled();
        let Rival { writer, fold, held } = &mut self.rivals[shard][rival];
        let (Some(epoch), Some(job)) = (*held, fold.job(&task.job)) else { return };
        let Some(entry) = job.tasks.get(&task.index) else { return };
        let (target, body) = match act {
            OwnerAct::Send => match send(entry, job) {
                Some((target, body)) => (target, body),
                None => return,
            },
            OwnerAct::PassOnCancel => match &entry.state {
                TaskState::Away { task_move, .. } if job.cancelled => {
                    (shard_number(&task_move.to), TaskRecord::JobCancelled(task.job))
                }
                _ => return,
            },
            OwnerAct::Confirm => {
                let TaskState::Away { task_move, .. } = &entry.state else { return };
                if !holds(&self.truth[shard_number(&task_move.to)], task_move) {
                    return;
                }
                let number = task_move.number;
                (shard, TaskRecord::HandOverConfirmed { epoch, task, number })
            }
            // Nothing of an earlier stay may still arrive when a job is forgotten.
            OwnerAct::Forget if !settled => return,
            OwnerAct::Forget => (shard, TaskRecord::JobForgotten { epoch, job: task.job }),
            local => match local_record(local, epoch, shard, task, entry, job, &self.tokens) {
                Some(body) => (shard, body),
                None => return,
            },
        };
        self.logs[target].append(&writer.record(body), fate);
    }

    /// Whether no append is on its way and every process has read everything.
    fn is_settled(&self) -> bool {
        self.logs.iter().zip(&self.rivals).all(|(log, rivals)| {
            let read = rivals.iter().all(|rival| rival.fold.next() == log.next());
            log.in_transit() == 0 && read
        })
    }

    /// Shards that hold the task, other than as one that left.
    fn holders(&self, task: &TaskId) -> Vec<(usize, &TaskEntry)> {
        let held = |shard: usize| Some((shard, self.truth[shard].task(task)?));
        (0..SHARDS)
            .filter_map(held)
            .filter(|(_, entry)| !matches!(entry.state, TaskState::Away { .. }))
            .collect()
    }

    /// Lets the current owner of a shard act; claims the shard if there is none.
    fn act_as_owner(&mut self, shard: usize, task: usize, act: &OwnerAct, fate: AppendFate) {
        let log = &self.logs[shard];
        self.rivals[shard].iter_mut().for_each(|rival| rival.read(log, usize::MAX));
        match self.rivals[shard].iter().position(|rival| rival.held.is_some()) {
            Some(owner) => self.act(shard, owner, task, act, fate),
            None => self.claim(shard, 0, AppendFate::Stored),
        }
    }

    fn advance(&mut self, number: usize, choice: usize, fate: AppendFate) {
        let task = &tasks()[number % tasks().len()];
        let known = (0..SHARDS).filter_map(|shard| Some((shard, self.truth[shard].task(task)?)));
        let (place, choice, content) = (choice % 16, choice / 16 % 16, choice / 256);
        let rank = |(_, entry): &(usize, &TaskEntry)| {
            let unconfirmed = matches!(entry.state, TaskState::Away { confirmed: false, .. });
            let here = !matches!(entry.state, TaskState::Away { .. });
            // A stay elsewhere is confirmed and forgotten only now and then.
            (here && place > 2, unconfirmed && place > 0, entry.moves)
        };
        let Some((shard, entry)) = known.max_by_key(rank) else { return };
        let checkpoint = (content % 5 < 3).then(|| names::checkpoint(content % 7));
        let act = match (&entry.state, choice) {
            (TaskState::Pending { .. }, 0..8) => OwnerAct::HandOver(content),
            (TaskState::Pending { .. }, _) => OwnerAct::Place,
            (TaskState::Placed { .. }, 0..2) => OwnerAct::End(PlacementEnd::Finished { digest: 1 }),
            (TaskState::Placed { .. }, 2..4) => OwnerAct::EndLate(content),
            (TaskState::Placed { .. }, _) => OwnerAct::End(PlacementEnd::Evicted { checkpoint }),
            (TaskState::Ended(_), 0..10) if shard != 0 => OwnerAct::HandOver(0),
            (TaskState::Away { .. }, 0..6) => OwnerAct::Send,
            (TaskState::Away { .. }, 6..10) => OwnerAct::Confirm,
            _ => OwnerAct::Forget,
        };
        if matches!(act, OwnerAct::Forget) && content.is_multiple_of(2) {
            self.settle();
        }
        self.act_as_owner(shard, number, &act, fate);
    }

    fn settle(&mut self) {
        for (log, rivals) in self.logs.iter_mut().zip(&mut self.rivals) {
            log.deliver_all();
            rivals.iter_mut().for_each(|rival| rival.read(log, usize::MAX));
        }
        self.follow();
    }

    fn claim(&mut self, shard: usize, rival: usize, fate: AppendFate) {
        let claimant = &mut self.rivals[shard][rival];
        let record = TaskRecord::OwnerClaimed {
            epoch: claimant.fold.epoch() + 1,
            owner: names::vm(rival),
            address: names::address(rival),
        };
        self.logs[shard].append(&claimant.writer.record(record), fate);
    }
}

impl World for HandOverWorld {
    type Step = Step;

    fn steps() -> BoxedStrategy<Step> {
        let (shard, rival) = (0..SHARDS, 0..RIVALS);
        let task = prop_oneof![3 => Just(0_usize), 2 => Just(1), 1 => Just(2)];
        prop_oneof![
            4 => (shard.clone(), rival.clone(), 0..12_usize)
                .prop_map(|(shard, rival, count)| Step::Read { shard, rival, count }),
            1 => (shard.clone(), rival.clone(), fates())
                .prop_map(|(shard, rival, fate)| Step::Claim { shard, rival, fate }),
            8 => (shard.clone(), rival.clone(), task.clone(), owner_acts(), fates()).prop_map(
                |(shard, rival, task, act, fate)| Step::Act { shard, rival, task, act, fate }
            ),
            24 => (task, any::<usize>(), fates())
                .prop_map(|(task, choice, fate)| Step::Advance { task, choice, fate }),
            1 => (shard.clone(), rival, any::<bool>()).prop_map(|(shard, rival, from_empty)| {
                Step::Restart { shard, rival, from_empty }
            }),
            2 => (0..JOBS, fates()).prop_map(|(job, fate)| Step::Submit { job, fate }),
            1 => (0..JOBS, fates()).prop_map(|(job, fate)| Step::Cancel { job, fate }),
            1 => Just(Step::Settle),
            3 => (shard.clone(), any::<usize>(), any::<bool>())
                .prop_map(|(shard, number, keep)| Step::Deliver { shard, number, keep }),
            1 => (shard, any::<usize>())
                .prop_map(|(shard, number)| Step::Repeat { shard, number }),
        ]
        .boxed()
    }

    fn new() -> Self {
        let rival = |shard: usize, rival: usize| Rival {
            writer: LogWriter::new(shard * RIVALS + rival),
            fold: ShardFold::new(names::shard(shard)),
            held: None,
        };
        let rivals = |shard| (0..RIVALS).map(|number| rival(shard, number)).collect();
        Self {
            logs: vec![SimulatedLog::default(); SHARDS],
            rivals: (0..SHARDS).map(rivals).collect(),
            truth: (0..SHARDS).map(|shard| ShardFold::new(names::shard(shard))).collect(),
            entry: LogWriter::new(99),
            stories: BTreeMap::new(),
            tokens: Vec::new(),
            cancelled: Vec::new(),
            submitted: Vec::new(),
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Read { shard, rival, count } => {
                self.rivals[shard][rival].read(&self.logs[shard], count);
            }
            Step::Claim { shard, rival, fate } => self.claim(shard, rival, fate),
            Step::Act { shard, rival, task, act, fate } => {
                self.act(shard, rival, task, &act, fate);
            }
            Step::Advance { task, choice, fate } => self.advance(task, choice, fate),
            Step::Restart { shard, rival, from_empty } => {
                let restarted = &mut self.rivals[shard][rival];
                restarted.writer.restart();
                restarted.held = None;
                if from_empty {
                    restarted.fold = ShardFold::new(names::shard(shard));
                }
            }
            Step::Submit { job, fate } => {
                // A key may be used again once its job was forgotten; not tried here.
                let forgotten =
                    self.submitted.contains(&job) && self.truth[0].job(&names::job(job)).is_none();
                if !forgotten && self.logs[0].in_transit() == 0 {
                    let record = self.entry.record(TaskRecord::JobSubmitted(spec(job)));
                    self.logs[0].append(&record, fate);
                }
            }
            Step::Cancel { job, fate } => {
                let record = self.entry.record(TaskRecord::JobCancelled(names::job(job)));
                self.logs[0].append(&record, fate);
            }
            Step::Settle => self.settle(),
            Step::Deliver { shard, number, keep } => self.logs[shard].deliver(number, keep),
            Step::Repeat { shard, number } => self.logs[shard].repeat(number),
        }
        self.follow();
    }

    fn check(&self) {
        for task in tasks() {
            let holders = self.holders(&task);
            assert!(holders.len() <= 1, "{task} is held by {holders:?}");
            let Some(home) = self.truth[0].task(&task) else { continue };
            if let TaskState::Away { task_move, .. } = &home.state
                && holders.is_empty()
            {
                self.check_on_its_way(&task, task_move);
            }
        }
    }

    fn finish(mut self) {
        // Once all appends arrive and owners carry on, every task comes to its end.
        for round in 0..30 {
            for shard in 0..SHARDS {
                self.logs[shard].deliver_all();
                for (task, id) in tasks().iter().enumerate() {
                    let act = match self.truth[shard].task(id).map(|entry| &entry.state) {
                        Some(TaskState::Pending { .. }) => OwnerAct::Place,
                        Some(TaskState::Placed { .. }) => {
                            OwnerAct::End(PlacementEnd::Finished { digest: 1 })
                        }
                        Some(TaskState::Ended(_)) if shard != 0 => OwnerAct::HandOver(0),
                        Some(TaskState::Away { confirmed: false, .. }) if round % 2 == 0 => {
                            OwnerAct::Send
                        }
                        Some(TaskState::Away { confirmed: false, .. }) => OwnerAct::Confirm,
                        _ => continue,
                    };
                    self.act_as_owner(shard, task, &act, AppendFate::Stored);
                    self.follow();
                    self.check();
                }
            }
        }
        for task in tasks().iter().filter(|task| number_of(&task.job) == 0) {
            if let Some(home) = self.truth[0].task(task) {
                let ended = matches!(
                    home.state,
                    TaskState::Ended(TaskOutcome::Finished { .. } | TaskOutcome::Cancelled)
                );
                assert!(ended, "{task} did not end: {:?}", home.state);
            }
        }
    }
}

impl HandOverWorld {
    /// A task that nobody holds is on its way: its newest move is not received yet.
    fn check_on_its_way(&self, task: &TaskId, from_home: &TaskMove) {
        let away = shard_number(&from_home.to);
        let newest = match self.truth[away].task(task).map(|entry| &entry.state) {
            Some(TaskState::Away { task_move, .. }) if task_move.number > from_home.number => {
                task_move
            }
            _ => from_home,
        };
        let target = self.truth[shard_number(&newest.to)].task(task);
        let received = target.is_some_and(|entry| entry.moves >= newest.number);
        assert!(!received, "{task} is nowhere, last move {newest:?}");
    }
}

#[test]
fn task_has_one_placement_in_all_shards() {
    fuzz::<HandOverWorld>("hand-over", 768, 1..160);
}

/// Guards against an ended task that runs again: the shard it came from was cut off
/// and repeats the hand-over when the home shard has forgotten the job.
#[test]
fn repeated_return_does_not_revive_a_forgotten_job() {
    let mut log = SimulatedLog::default();
    let (mut owner, mut guest) = (LogWriter::new(0), LogWriter::new(1));
    let task = names::task(0, 0);
    let moved = |number, from, to| TaskMove {
        task: task.clone(),
        number,
        from: names::shard(from),
        to: names::shard(to),
        checkpoint: None,
        ended: None,
    };
    let returned = TaskRecord::TaskReceived { spec: spec(0), task_move: moved(2, 1, 0) };
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
        owner.record(TaskRecord::TaskHandedOver { epoch: 1, task_move: moved(1, 0, 1) }),
        guest.record(returned.clone()),
        owner.record(placed),
        owner.record(TaskRecord::TaskEnded { epoch: 1, task: task.clone(), token: 4, end }),
        owner.record(TaskRecord::JobForgotten { epoch: 1, job: names::job(0) }),
    ];
    for record in &records {
        log.append(record, AppendFate::Stored);
    }
    let mut fold = ShardFold::new(names::shard(0));
    for read in log.read(&mut fold, usize::MAX) {
        assert!(matches!(read.effect, TaskEffect::Applied | TaskEffect::Owned(1)), "{read:?}");
    }
    log.append(&guest.record(returned), AppendFate::Stored);
    let effect = log.read(&mut fold, 1).pop().unwrap().effect;
    assert_eq!((effect, fold.job(&names::job(0))), (TaskEffect::StalePremise, None));
}
