//! Life cycle of tasks in one shard, under any order of records.
//!
//! Guards against a task that is placed twice, resumes twice, loses its checkpoint or
//! runs after its cancellation. The oracle says of each record whether the documented
//! rules let it take effect.

mod support;

use std::collections::BTreeMap;

use cactusdoor_core::envelope::LogEnvelope;
use cactusdoor_core::fold::fold_text;
use cactusdoor_core::job::{
    JobClass, ParkReason, PlacementEnd, StartRefusal, TaskOutcome, TaskTransfer,
};
use cactusdoor_core::name::CheckpointName;
use cactusdoor_core::resource::ResourceKind;
use cactusdoor_core::shard::{ShardFold, TaskEffect, TaskRecord, TaskState, TrackedJob};
use cactusdoor_core::unit::{Epoch, Offset, Token};
use proptest::prelude::*;
use support::log::LogWriter;
use support::{Simulation, fuzz, names, pick_recent};

const JOBS: usize = 3;
const TASKS: u32 = 2;

#[derive(Clone, Debug)]
enum Action {
    Claim,
    Submit,
    Cancel,
    Place,
    /// Ends the current placement, or an earlier one.
    End {
        token: Option<usize>,
        end: PlacementEnd,
    },
    Park,
    Release,
    Transfer {
        number: u32,
        to: usize,
        checkpoint: Option<usize>,
        ended: Option<TaskOutcome>,
    },
    /// A transfer that matches the state of the task.
    TransferMatching {
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
    /// Difference between the record's epoch and the current one.
    epoch_offset: i64,
    action: Action,
}

#[derive(Clone, Debug, PartialEq)]
enum OracleState {
    Pending(Option<CheckpointName>),
    Placed(Token, Option<CheckpointName>),
    Ended(TaskOutcome),
    Transferred { number: u32, confirmed: bool },
}

#[derive(Clone, Debug, PartialEq)]
struct OracleTask {
    state: OracleState,
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

struct CycleSimulation {
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

fn pending(checkpoint: Option<CheckpointName>, moves: u32) -> OracleTask {
    let state = OracleState::Pending(checkpoint);
    OracleTask { state, moves, failures: 0, placements: 0 }
}

impl OracleTask {
    fn place(&mut self, offset: Offset) -> bool {
        let OracleState::Pending(checkpoint) = &self.state else { return false };
        self.state = OracleState::Placed(offset, checkpoint.clone());
        self.placements += 1;
        true
    }

    fn end(&mut self, token: Token, end: &PlacementEnd, endless: bool, cancelled: bool) -> bool {
        let OracleState::Placed(current, previous) = self.state.clone() else { return false };
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
        self.state = finished.map_or(OracleState::Pending(newer.or(previous)), OracleState::Ended);
        true
    }

    fn transfer(&mut self, transfer: &TaskTransfer, home: bool) -> bool {
        let matches = match (&self.state, &transfer.ended) {
            (OracleState::Pending(checkpoint), None) => *checkpoint == transfer.checkpoint,
            // An ended task stays in its home shard.
            (OracleState::Ended(outcome), Some(sent)) => !home && outcome == sent,
            _ => false,
        };
        let target = if home { [1, 2].map(names::shard).to_vec() } else { vec![names::shard(1)] };
        let allowed = transfer.from == names::shard(0) && target.contains(&transfer.to);
        if !matches || !allowed || transfer.number != self.moves + 1 {
            return false;
        }
        self.moves = transfer.number;
        self.state = OracleState::Transferred { number: transfer.number, confirmed: false };
        true
    }

    fn receive(&mut self, transfer: &TaskTransfer, cancelled: bool) -> bool {
        let transferred = matches!(self.state, OracleState::Transferred { .. });
        if !transferred || transfer.number <= self.moves {
            return false;
        }
        self.moves = transfer.number;
        self.state = match &transfer.ended {
            Some(outcome) => OracleState::Ended(outcome.clone()),
            None if cancelled => OracleState::Ended(TaskOutcome::Cancelled),
            None => OracleState::Pending(transfer.checkpoint.clone()),
        };
        true
    }
}

impl CycleSimulation {
    fn transfer(&self, step: &Step) -> Option<TaskTransfer> {
        let task = names::task(step.job, step.index);
        let shard = names::shard;
        match &step.action {
            Action::Transfer { number, to, checkpoint, ended } => Some(TaskTransfer {
                task,
                number: *number,
                from: shard(0),
                to: shard(*to),
                checkpoint: checkpoint.map(names::checkpoint),
                ended: ended.clone(),
            }),
            Action::Receive { number, to, checkpoint, ended } => Some(TaskTransfer {
                task,
                number: *number,
                from: shard(1),
                to: shard(*to),
                checkpoint: checkpoint.map(names::checkpoint),
                ended: ended.clone(),
            }),
            Action::TransferMatching { to } => {
                let found = self.jobs.get(&step.job)?.tasks.get(&step.index)?;
                let (checkpoint, ended) = match &found.state {
                    OracleState::Pending(checkpoint) => (checkpoint.clone(), None),
                    OracleState::Ended(outcome) => (None, Some(outcome.clone())),
                    _ => return None,
                };
                let number = found.moves + 1;
                Some(TaskTransfer {
                    task,
                    number,
                    from: shard(0),
                    to: shard(*to),
                    checkpoint,
                    ended,
                })
            }
            _ => None,
        }
    }

    fn token(&self, step: &Step, wanted: Option<usize>) -> Token {
        let known = self.jobs.get(&step.job).and_then(|job| job.tasks.get(&step.index));
        match (known.map(|task| &task.state), wanted) {
            (Some(OracleState::Placed(token, _)), None) => *token,
            (_, number) => pick_recent(&self.tokens, number.unwrap_or(0)).copied().unwrap_or(0),
        }
    }

    fn record(&self, step: &Step) -> Option<TaskRecord> {
        let epoch = self.epoch.saturating_add_signed(step.epoch_offset);
        let (job, task) = (names::job(step.job), names::task(step.job, step.index));
        Some(match &step.action {
            Action::Claim => TaskRecord::OwnerClaimed {
                epoch: epoch + 1,
                owner: names::vm(0),
                address: names::address(0),
            },
            Action::Submit => {
                TaskRecord::JobSubmitted(names::spec(step.job, class(step.job), TASKS))
            }
            Action::Cancel => TaskRecord::JobCancelled(job),
            Action::Place => {
                TaskRecord::TaskPlaced { epoch, task, vm: names::vm(0), need: names::need() }
            }
            Action::End { token, end } => {
                let token = self.token(step, *token);
                TaskRecord::TaskEnded { epoch, task, token, end: end.clone() }
            }
            Action::Park => {
                let reason = ParkReason::NeverFits(ResourceKind::Memory);
                TaskRecord::JobParked { epoch, job, reason }
            }
            Action::Release => TaskRecord::JobReleased { epoch, job },
            Action::Transfer { .. } | Action::TransferMatching { .. } => {
                TaskRecord::TaskTransferred { epoch, transfer: self.transfer(step)? }
            }
            Action::Receive { .. } => TaskRecord::TaskReceived {
                spec: names::spec(step.job, class(step.job), TASKS),
                transfer: self.transfer(step)?,
            },
            Action::Confirm { number } => {
                TaskRecord::TransferConfirmed { epoch, task, number: *number }
            }
            Action::Forget => TaskRecord::JobForgotten { epoch, job },
        })
    }

    /// Whether the record should take effect; updates the oracle.
    fn expect(&mut self, step: &Step, offset: Offset, record: &TaskRecord) -> bool {
        let current = self.epoch > 0 && step.epoch_offset == 0;
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
                    tasks: (0..TASKS).map(|index| (index, pending(None, 0))).collect(),
                });
                return new;
            }
            TaskRecord::TaskReceived { transfer, .. } => return self.receive(step, transfer),
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
                    if matches!(task.state, OracleState::Pending(_)) {
                        task.state = OracleState::Ended(TaskOutcome::Cancelled);
                    }
                }
                true
            }
            TaskRecord::TaskPlaced { .. } => task.is_some_and(|task| task.place(offset)),
            TaskRecord::TaskEnded { token, end, .. } => task
                .is_some_and(|task| task.end(*token, end, class(step.job).is_endless(), cancelled)),
            TaskRecord::JobParked { .. } => !std::mem::replace(&mut job.parked, true),
            TaskRecord::JobReleased { .. } => std::mem::replace(&mut job.parked, false),
            TaskRecord::TaskTransferred { transfer, .. } => {
                task.is_some_and(|task| task.transfer(transfer, home))
            }
            TaskRecord::TransferConfirmed { number: confirmed_number, .. } => {
                match task.map(|task| &mut task.state) {
                    Some(OracleState::Transferred { number, confirmed })
                        if number == confirmed_number =>
                    {
                        *confirmed = true;
                        true
                    }
                    _ => false,
                }
            }
            TaskRecord::JobForgotten { .. } => {
                let removable = job.tasks.values().all(|task| match task.state {
                    OracleState::Ended(_) => home,
                    OracleState::Transferred { confirmed, .. } => !home && confirmed,
                    _ => false,
                });
                if removable {
                    self.jobs.remove(&step.job);
                }
                removable
            }
            _ => false,
        }
    }

    fn receive(&mut self, step: &Step, transfer: &TaskTransfer) -> bool {
        // Odd numbers are transfers from the home shard, even ones return to it.
        let home = self.jobs.get(&step.job).is_some_and(|job| job.home);
        if transfer.to != names::shard(0) || home != transfer.number.is_multiple_of(2) {
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
            state: OracleState::Transferred { number: 0, confirmed: true },
            ..pending(None, 0)
        };
        job.tasks.entry(step.index).or_insert(unknown).receive(transfer, cancelled)
    }

    fn compare(job: &TrackedJob, oracle: &OracleJob) {
        assert_eq!(
            (job.home, job.cancelled, job.parked.is_some()),
            (oracle.home, oracle.cancelled, oracle.parked)
        );
        let found: BTreeMap<u32, OracleTask> = job
            .tasks
            .iter()
            .map(|(index, tracked)| {
                let state = match tracked.state.clone() {
                    TaskState::Pending { checkpoint } => OracleState::Pending(checkpoint),
                    TaskState::Placed { token, checkpoint, .. } => {
                        OracleState::Placed(token, checkpoint)
                    }
                    TaskState::Ended(outcome) => OracleState::Ended(outcome),
                    TaskState::Transferred { transfer, confirmed } => {
                        OracleState::Transferred { number: transfer.number, confirmed }
                    }
                };
                let (moves, failures) = (tracked.moves, tracked.failures);
                let placements = tracked.placements;
                (*index, OracleTask { state, moves, failures, placements })
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

fn actions() -> impl Strategy<Value = Action> {
    let outcome = proptest::option::of(prop_oneof![
        Just(TaskOutcome::Cancelled),
        (0..3_u64).prop_map(|digest| TaskOutcome::Finished { digest }),
    ]);
    let transfer = (0..6_u32, 0..3_usize, proptest::option::of(0..5_usize), outcome);
    prop_oneof![
        1 => Just(Action::Claim),
        3 => Just(Action::Submit),
        1 => Just(Action::Cancel),
        6 => Just(Action::Place),
        6 => (proptest::option::weighted(0.3, any::<usize>()), ends())
            .prop_map(|(token, end)| Action::End { token, end }),
        1 => Just(Action::Park),
        1 => Just(Action::Release),
        1 => transfer.clone().prop_map(|(number, to, checkpoint, ended)| Action::Transfer {
            number, to, checkpoint, ended
        }),
        3 => prop_oneof![4 => Just(1), 1 => Just(2)].prop_map(|to| Action::TransferMatching { to }),
        3 => transfer.prop_map(|(number, to, checkpoint, ended)| Action::Receive {
            number, to, checkpoint, ended
        }),
        2 => (0..6_u32).prop_map(|number| Action::Confirm { number }),
        2 => Just(Action::Forget),
    ]
}

impl Simulation for CycleSimulation {
    type Step = Step;

    fn steps() -> BoxedStrategy<Step> {
        let epoch_offset = prop_oneof![12 => Just(0), 1 => Just(-1), 1 => Just(1)];
        (0..JOBS, 0..TASKS + 1, epoch_offset, actions())
            .prop_map(|(job, index, epoch_offset, action)| Step {
                job,
                index,
                epoch_offset,
                action,
            })
            .boxed()
    }

    fn new() -> Self {
        let mut simulation = Self {
            fold: ShardFold::new(names::shard(0)),
            writer: LogWriter::new(0),
            offset: 0,
            epoch: 0,
            jobs: BTreeMap::new(),
            tokens: Vec::new(),
        };
        simulation.step(Step { job: 0, index: 0, epoch_offset: 0, action: Action::Claim });
        simulation
    }

    fn step(&mut self, step: Step) {
        let Some(record) = self.record(&step) else { return };
        let offset = self.offset;
        self.offset += 1;
        let envelope: LogEnvelope<TaskRecord> = self.writer.record(record.clone());
        let text = envelope.encode().unwrap();
        let effect = fold_text(&mut self.fold, offset, &text).unwrap().effect;
        let effective = matches!(effect, TaskEffect::Applied | TaskEffect::Owned(_));
        let expected = self.expect(&step, offset, &record);
        assert_eq!(effective, expected, "{effect:?} of {record:?}");
        if effective && matches!(record, TaskRecord::TaskPlaced { .. }) {
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
fn task_states_match_the_oracle_for_any_order_of_records() {
    fuzz::<CycleSimulation>("task cycle", 640, 1..100);
}
