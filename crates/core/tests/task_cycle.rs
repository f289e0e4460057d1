//! Life cycle of tasks in one shard, under any order of records.
//!
//! Guards against a task that is placed twice, resumes twice, loses its
//! checkpoint or outlives its cancellation. The oracle states, for each record,
//! whether the page lets it count.

mod support;

use std::collections::BTreeMap;

use cactusdoor_core::envelope::LogEnvelope;
use cactusdoor_core::fold::fold_text;
use cactusdoor_core::job::{
    JobClass, ParkReason, PlacementEnd, StartRefusal, TaskMove, TaskOutcome,
};
use cactusdoor_core::name::CheckpointName;
use cactusdoor_core::resource::ResourceKind;
use cactusdoor_core::shard::{JobEntry, ShardFold, TaskEffect, TaskRecord, TaskState};
use cactusdoor_core::unit::{Epoch, Offset, Token};
use proptest::prelude::*;
use support::log::LogWriter;
use support::{World, fuzz, names, pick_recent};

const JOBS: usize = 3;
const TASKS: u32 = 2;

#[derive(Clone, Debug)]
enum Act {
    Claim,
    Submit,
    Cancel,
    Place,
    /// Ends the placement that stands, or an earlier one.
    End {
        token: Option<usize>,
        end: PlacementEnd,
    },
    Park,
    Release,
    HandOver {
        number: u32,
        to: usize,
        checkpoint: Option<usize>,
        ended: Option<TaskOutcome>,
    },
    /// A hand-over that fits what the task is.
    Leave {
        to: usize,
    },
    Receive {
        number: u32,
        to: usize,
        checkpoint: Option<usize>,
        ended: Option<TaskOutcome>,
    },
    Confirm {
        number: u32,
    },
    Forget,
}

#[derive(Clone, Debug)]
struct Step {
    job: usize,
    index: u32,
    /// Distance of the record's epoch from the current one.
    stale: i64,
    act: Act,
}

#[derive(Clone, Debug, PartialEq)]
enum Situation {
    Waiting(Option<CheckpointName>),
    Running(Token, Option<CheckpointName>),
    Over(TaskOutcome),
    Gone { number: u32, confirmed: bool },
}

#[derive(Clone, Debug, PartialEq)]
struct OracleTask {
    situation: Situation,
    moves: u32,
    failures: u32,
    placements: u32,
}

#[derive(Clone, Debug)]
struct OracleJob {
    home: bool,
    cancelled: bool,
    parked: bool,
    tasks: BTreeMap<u32, OracleTask>,
}

struct CycleWorld {
    fold: ShardFold,
    writer: LogWriter,
    offset: Offset,
    epoch: Epoch,
    jobs: BTreeMap<usize, OracleJob>,
    tokens: Vec<Token>,
}

fn class(job: usize) -> JobClass {
    [JobClass::Batch, JobClass::Watch, JobClass::LatencyCritical][job]
}

fn waiting(checkpoint: Option<CheckpointName>, moves: u32) -> OracleTask {
    let situation = Situation::Waiting(checkpoint);
    OracleTask { situation, moves, failures: 0, placements: 0 }
}

impl OracleTask {
    fn place(&mut self, offset: Offset) -> bool {
        let Situation::Waiting(checkpoint) = &self.situation else { return false };
        self.situation = Situation::Running(offset, checkpoint.clone());
        self.placements += 1;
        true
    }

    fn end(&mut self, token: Token, end: &PlacementEnd, endless: bool, cancelled: bool) -> bool {
        let Situation::Running(current, kept) = self.situation.clone() else { return false };
        if current != token {
            return false;
        }
        self.failures += u32::from(*end == PlacementEnd::Failed);
        let finished = match end {
            PlacementEnd::Finished { digest } if !endless => {
                Some(TaskOutcome::Finished { digest: *digest })
            }
            PlacementEnd::Cancelled => Some(TaskOutcome::Cancelled),
            _ => cancelled.then_some(TaskOutcome::Cancelled),
        };
        let newer = match end {
            PlacementEnd::Evicted { checkpoint } => checkpoint.clone(),
            _ => None,
        };
        self.situation = finished.map_or(Situation::Waiting(newer.or(kept)), Situation::Over);
        true
    }

    fn leave(&mut self, task_move: &TaskMove, home: bool) -> bool {
        let fits = match (&self.situation, &task_move.ended) {
            (Situation::Waiting(checkpoint), None) => *checkpoint == task_move.checkpoint,
            // Only the home shard keeps what has ended.
            (Situation::Over(outcome), Some(moved)) => !home && outcome == moved,
            _ => false,
        };
        let target = if home { [1, 2].map(names::shard).to_vec() } else { vec![names::shard(1)] };
        let elsewhere = task_move.from == names::shard(0) && target.contains(&task_move.to);
        if !fits || !elsewhere || task_move.number != self.moves + 1 {
            return false;
        }
        self.moves = task_move.number;
        self.situation = Situation::Gone { number: task_move.number, confirmed: false };
        true
    }

    fn enter(&mut self, task_move: &TaskMove, cancelled: bool) -> bool {
        let gone = matches!(self.situation, Situation::Gone { .. });
        if !gone || task_move.number <= self.moves {
            return false;
        }
        self.moves = task_move.number;
        self.situation = match &task_move.ended {
            Some(outcome) => Situation::Over(outcome.clone()),
            None if cancelled => Situation::Over(TaskOutcome::Cancelled),
            None => Situation::Waiting(task_move.checkpoint.clone()),
        };
        true
    }
}

impl CycleWorld {
    fn task_move(&self, step: &Step) -> Option<TaskMove> {
        let task = names::task(step.job, step.index);
        let shard = names::shard;
        match &step.act {
            Act::HandOver { number, to, checkpoint, ended } => Some(TaskMove {
                task,
                number: *number,
                from: shard(0),
                to: shard(*to),
                checkpoint: checkpoint.map(names::checkpoint),
                ended: ended.clone(),
            }),
            Act::Receive { number, to, checkpoint, ended } => Some(TaskMove {
                task,
                number: *number,
                from: shard(1),
                to: shard(*to),
                checkpoint: checkpoint.map(names::checkpoint),
                ended: ended.clone(),
            }),
            Act::Leave { to } => {
                let found = self.jobs.get(&step.job)?.tasks.get(&step.index)?;
                let (checkpoint, ended) = match &found.situation {
                    Situation::Waiting(checkpoint) => (checkpoint.clone(), None),
                    Situation::Over(outcome) => (None, Some(outcome.clone())),
                    _ => return None,
                };
                let number = found.moves + 1;
                Some(TaskMove { task, number, from: shard(0), to: shard(*to), checkpoint, ended })
            }
            _ => None,
        }
    }

    fn token(&self, step: &Step, wanted: Option<usize>) -> Token {
        let known = self.jobs.get(&step.job).and_then(|job| job.tasks.get(&step.index));
        match (known.map(|task| &task.situation), wanted) {
            (Some(Situation::Running(token, _)), None) => *token,
            (_, number) => pick_recent(&self.tokens, number.unwrap_or(0)).copied().unwrap_or(0),
        }
    }

    fn record(&self, step: &Step) -> Option<TaskRecord> {
        let epoch = self.epoch.saturating_add_signed(step.stale);
        let (job, task) = (names::job(step.job), names::task(step.job, step.index));
        Some(match &step.act {
            Act::Claim => TaskRecord::OwnerClaimed {
                epoch: epoch + 1,
                owner: names::vm(0),
                address: names::address(0),
            },
            Act::Submit => TaskRecord::JobSubmitted(names::spec(step.job, class(step.job), TASKS)),
            Act::Cancel => TaskRecord::JobCancelled(job),
            Act::Place => {
                TaskRecord::TaskPlaced { epoch, task, vm: names::vm(0), need: names::need() }
            }
            Act::End { token, end } => {
                let token = self.token(step, *token);
                TaskRecord::TaskEnded { epoch, task, token, end: end.clone() }
            }
            Act::Park => {
                let reason = ParkReason::NeverFits(ResourceKind::Memory);
                TaskRecord::JobParked { epoch, job, reason }
            }
            Act::Release => TaskRecord::JobReleased { epoch, job },
            Act::HandOver { .. } | Act::Leave { .. } => {
                TaskRecord::TaskHandedOver { epoch, task_move: self.task_move(step)? }
            }
            Act::Receive { .. } => TaskRecord::TaskReceived {
                spec: names::spec(step.job, class(step.job), TASKS),
                task_move: self.task_move(step)?,
            },
            Act::Confirm { number } => {
                TaskRecord::HandOverConfirmed { epoch, task, number: *number }
            }
            Act::Forget => TaskRecord::JobForgotten { epoch, job },
        })
    }

    /// Whether the record counts; brings the oracle up to date.
    fn expect(&mut self, step: &Step, offset: Offset, record: &TaskRecord) -> bool {
        let current = self.epoch > 0 && step.stale == 0;
        match record {
            TaskRecord::OwnerClaimed { epoch, .. } => {
                let wins = *epoch == self.epoch + 1;
                self.epoch += u64::from(wins);
                return wins;
            }
            TaskRecord::JobSubmitted(_) => {
                let new = !self.jobs.contains_key(&step.job);
                self.jobs.entry(step.job).or_insert_with(|| OracleJob {
                    home: true,
                    cancelled: false,
                    parked: false,
                    tasks: (0..TASKS).map(|index| (index, waiting(None, 0))).collect(),
                });
                return new;
            }
            TaskRecord::TaskReceived { task_move, .. } => return self.receive(step, task_move),
            TaskRecord::JobCancelled(_) => {}
            _ if !current => return false,
            _ => {}
        }
        let Some(job) = self.jobs.get_mut(&step.job) else { return false };
        let (home, cancelled) = (job.home, job.cancelled);
        let task = job.tasks.get_mut(&step.index);
        match record {
            TaskRecord::JobCancelled(_) => {
                job.cancelled = true;
                for task in job.tasks.values_mut() {
                    if matches!(task.situation, Situation::Waiting(_)) {
                        task.situation = Situation::Over(TaskOutcome::Cancelled);
                    }
                }
                true
            }
            TaskRecord::TaskPlaced { .. } => task.is_some_and(|task| task.place(offset)),
            TaskRecord::TaskEnded { token, end, .. } => task
                .is_some_and(|task| task.end(*token, end, class(step.job).is_endless(), cancelled)),
            TaskRecord::JobParked { .. } => !std::mem::replace(&mut job.parked, true),
            TaskRecord::JobReleased { .. } => std::mem::replace(&mut job.parked, false),
            TaskRecord::TaskHandedOver { task_move, .. } => {
                task.is_some_and(|task| task.leave(task_move, home))
            }
            TaskRecord::HandOverConfirmed { number: confirmed_number, .. } => {
                match task.map(|task| &mut task.situation) {
                    Some(Situation::Gone { number, confirmed }) if number == confirmed_number => {
                        *confirmed = true;
                        true
                    }
                    _ => false,
                }
            }
            TaskRecord::JobForgotten { .. } => {
                let over = job.tasks.values().all(|task| match task.situation {
                    Situation::Over(_) => home,
                    Situation::Gone { confirmed, .. } => !home && confirmed,
                    _ => false,
                });
                if over {
                    self.jobs.remove(&step.job);
                }
                over
            }
            _ => false,
        }
    }

    fn receive(&mut self, step: &Step, task_move: &TaskMove) -> bool {
        // A task leaves home with odd numbers and returns with even ones.
        let home = self.jobs.get(&step.job).is_some_and(|job| job.home);
        if task_move.to != names::shard(0) || home != task_move.number.is_multiple_of(2) {
            return false;
        }
        let job = self.jobs.entry(step.job).or_insert_with(|| OracleJob {
            home: false,
            cancelled: false,
            parked: false,
            tasks: BTreeMap::new(),
        });
        if job.home && !job.tasks.contains_key(&step.index) {
            return false;
        }
        let cancelled = job.cancelled;
        let unknown = OracleTask {
            situation: Situation::Gone { number: 0, confirmed: true },
            ..waiting(None, 0)
        };
        job.tasks.entry(step.index).or_insert(unknown).enter(task_move, cancelled)
    }

    fn compare(job: &JobEntry, oracle: &OracleJob) {
        assert_eq!(
            (job.home, job.cancelled, job.parked.is_some()),
            (oracle.home, oracle.cancelled, oracle.parked)
        );
        let found: BTreeMap<u32, OracleTask> = job
            .tasks
            .iter()
            .map(|(index, entry)| {
                let situation = match entry.state.clone() {
                    TaskState::Pending { checkpoint } => Situation::Waiting(checkpoint),
                    TaskState::Placed { token, checkpoint, .. } => {
                        Situation::Running(token, checkpoint)
                    }
                    TaskState::Ended(outcome) => Situation::Over(outcome),
                    TaskState::Away { task_move, confirmed } => {
                        Situation::Gone { number: task_move.number, confirmed }
                    }
                };
                let (moves, failures) = (entry.moves, entry.failures);
                let placements = entry.placements;
                (*index, OracleTask { situation, moves, failures, placements })
            })
            .collect();
        assert_eq!(found, oracle.tasks);
    }
}

fn ends() -> impl Strategy<Value = PlacementEnd> {
    let checkpoint = proptest::option::of(0..5_usize);
    prop_oneof![
        1 => (0..3_u64).prop_map(|digest| PlacementEnd::Finished { digest }),
        1 => Just(PlacementEnd::Failed),
        3 => checkpoint.prop_map(|checkpoint| PlacementEnd::Evicted {
            checkpoint: checkpoint.map(names::checkpoint)
        }),
        1 => Just(PlacementEnd::Lapsed),
        1 => Just(PlacementEnd::Refused(StartRefusal::Draining)),
        1 => Just(PlacementEnd::Cancelled),
    ]
}

fn acts() -> impl Strategy<Value = Act> {
    let outcome = proptest::option::of(prop_oneof![
        Just(TaskOutcome::Cancelled),
        (0..3_u64).prop_map(|digest| TaskOutcome::Finished { digest }),
    ]);
    let moved = (0..6_u32, 0..3_usize, proptest::option::of(0..5_usize), outcome);
    prop_oneof![
        1 => Just(Act::Claim),
        3 => Just(Act::Submit),
        1 => Just(Act::Cancel),
        6 => Just(Act::Place),
        6 => (proptest::option::weighted(0.3, any::<usize>()), ends())
            .prop_map(|(token, end)| Act::End { token, end }),
        1 => Just(Act::Park),
        1 => Just(Act::Release),
        1 => moved.clone().prop_map(|(number, to, checkpoint, ended)| Act::HandOver {
            number, to, checkpoint, ended
        }),
        3 => prop_oneof![4 => Just(1), 1 => Just(2)].prop_map(|to| Act::Leave { to }),
        3 => moved.prop_map(|(number, to, checkpoint, ended)| Act::Receive {
            number, to, checkpoint, ended
        }),
        2 => (0..6_u32).prop_map(|number| Act::Confirm { number }),
        2 => Just(Act::Forget),
    ]
}

impl World for CycleWorld {
    type Step = Step;

    fn steps() -> BoxedStrategy<Step> {
        let stale = prop_oneof![12 => Just(0), 1 => Just(-1), 1 => Just(1)];
        (0..JOBS, 0..TASKS + 1, stale, acts())
            .prop_map(|(job, index, stale, act)| Step { job, index, stale, act })
            .boxed()
    }

    fn new() -> Self {
        let mut world = Self {
            fold: ShardFold::new(names::shard(0)),
            writer: LogWriter::new(0),
            offset: 0,
            epoch: 0,
            jobs: BTreeMap::new(),
            tokens: Vec::new(),
        };
        world.step(Step { job: 0, index: 0, stale: 0, act: Act::Claim });
        world
    }

    fn step(&mut self, step: Step) {
        let Some(record) = self.record(&step) else { return };
        let offset = self.offset;
        self.offset += 1;
        let envelope: LogEnvelope<TaskRecord> = self.writer.record(record.clone());
        let text = envelope.encode().unwrap();
        let effect = fold_text(&mut self.fold, offset, &text).unwrap().effect;
        let counts = matches!(effect, TaskEffect::Applied | TaskEffect::Owned(_));
        let expected = self.expect(&step, offset, &record);
        assert_eq!(counts, expected, "{effect:?} of {record:?}");
        if counts && matches!(record, TaskRecord::TaskPlaced { .. }) {
            self.tokens.push(offset);
        }
    }

    fn check(&self) {
        assert_eq!(self.fold.epoch(), self.epoch);
        assert_eq!(self.fold.jobs().count(), self.jobs.len());
        for (number, oracle) in &self.jobs {
            let job = self.fold.job(&names::job(*number)).expect("job is missing");
            Self::compare(job, oracle);
        }
    }
}

#[test]
fn task_states_match_the_oracle() {
    fuzz::<CycleWorld>("task cycle", 640, 1..100);
}
