//! Ownership of a shard among processes that claim it at the same time.
//!
//! Guards against two owners whose records count side by side: a record of an
//! owner counts only under the newest claim before it in the stream.

mod support;

use std::collections::BTreeMap;

use cactusdoor_core::envelope::WriterId;
use cactusdoor_core::job::{JobClass, PlacementEnd};
use cactusdoor_core::shard::{ShardFold, TaskEffect, TaskRecord, TaskState};
use cactusdoor_core::unit::{Epoch, Offset, Sequence};
use proptest::prelude::*;
use support::log::{AppendFate, LogWriter, SimulatedLog, fates};
use support::{World, fuzz, names};

const PROCESSES: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    Read {
        process: usize,
        count: usize,
    },
    Claim {
        process: usize,
        fate: AppendFate,
    },
    /// A process that believes to be the owner places, or ends what it placed.
    Place {
        process: usize,
        fate: AppendFate,
    },
    /// A placement or a claim of an epoch that its writer has no right to.
    Forge {
        process: usize,
        epoch: Epoch,
        claim: bool,
    },
    Restart {
        process: usize,
        from_empty: bool,
    },
    Deliver {
        number: usize,
        keep: bool,
    },
    Repeat {
        number: usize,
    },
}

struct Process {
    writer: LogWriter,
    fold: ShardFold,
    /// Epoch that this run of the process claimed and read back.
    held: Option<Epoch>,
}

/// Oracle: epochs in log order with who claimed them and since when.
#[derive(Default)]
struct Oracle {
    next: Offset,
    highest: BTreeMap<(String, u64), Sequence>,
    claims: Vec<(Offset, WriterId)>,
    counted: Vec<(Offset, Epoch)>,
    /// Offset of the placement that stands, if there is one.
    placed: Option<Offset>,
}

struct OwnershipWorld {
    log: SimulatedLog,
    processes: Vec<Process>,
    truth: ShardFold,
    oracle: Oracle,
}

impl OwnershipWorld {
    fn follow(&mut self) {
        while self.oracle.next < self.log.next() {
            let offset = self.oracle.next;
            self.oracle.next += 1;
            let record = self.log.decode::<TaskRecord>(offset).unwrap();
            let effect = self.log.read(&mut self.truth, 1).pop().unwrap().effect;
            let writer = (record.writer.process.to_string(), record.writer.incarnation);
            let highest = self.oracle.highest.entry(writer).or_default();
            if record.sequence <= *highest {
                assert_eq!(effect, TaskEffect::Ignored, "repeated record at {offset}");
                continue;
            }
            *highest = record.sequence;
            let current = self.oracle.claims.len() as Epoch;
            match record.body {
                TaskRecord::OwnerClaimed { epoch, .. } => {
                    let wins = epoch == current + 1;
                    assert_eq!(effect == TaskEffect::Owned(epoch), wins, "claim of {epoch}");
                    if wins {
                        self.oracle.claims.push((offset, record.writer));
                    }
                }
                TaskRecord::TaskPlaced { epoch, .. } => {
                    let counts = epoch == current && current > 0 && self.oracle.placed.is_none();
                    assert_eq!(effect == TaskEffect::Applied, counts, "{effect:?} at {offset}");
                    if counts {
                        self.oracle.counted.push((offset, epoch));
                        self.oracle.placed = Some(offset);
                    }
                }
                TaskRecord::TaskEnded { epoch, token, .. } => {
                    let counts =
                        epoch == current && current > 0 && self.oracle.placed == Some(token);
                    assert_eq!(effect == TaskEffect::Applied, counts, "{effect:?} at {offset}");
                    if counts {
                        self.oracle.placed = None;
                    }
                }
                _ => assert_eq!(effect, TaskEffect::Applied),
            }
        }
    }

    fn learn(process: &mut Process, log: &SimulatedLog, count: usize) {
        let id = process.writer.id.clone();
        for read in log.read(&mut process.fold, count) {
            if let TaskEffect::Owned(epoch) = read.effect {
                process.held = (read.writer == id).then_some(epoch);
            }
        }
    }
}

impl World for OwnershipWorld {
    type Step = Step;

    fn steps() -> BoxedStrategy<Step> {
        let process = 0..PROCESSES;
        prop_oneof![
            6 => (process.clone(), 0..10_usize)
                .prop_map(|(process, count)| Step::Read { process, count }),
            4 => (process.clone(), fates())
                .prop_map(|(process, fate)| Step::Claim { process, fate }),
            5 => (process.clone(), fates())
                .prop_map(|(process, fate)| Step::Place { process, fate }),
            1 => (process.clone(), 0..6_u64, any::<bool>())
                .prop_map(|(process, epoch, claim)| Step::Forge { process, epoch, claim }),
            1 => (process, any::<bool>())
                .prop_map(|(process, from_empty)| Step::Restart { process, from_empty }),
            3 => (any::<usize>(), any::<bool>())
                .prop_map(|(number, keep)| Step::Deliver { number, keep }),
            1 => any::<usize>().prop_map(|number| Step::Repeat { number }),
        ]
        .boxed()
    }

    fn new() -> Self {
        let empty = ShardFold::new(names::shard(0));
        let process =
            |number| Process { writer: LogWriter::new(number), fold: empty.clone(), held: None };
        let mut log = SimulatedLog::default();
        let mut entry = LogWriter::new(PROCESSES);
        let job = TaskRecord::JobSubmitted(names::spec(0, JobClass::Watch, 1));
        log.append(&entry.record(job), AppendFate::Stored);
        Self {
            log,
            processes: (0..PROCESSES).map(process).collect(),
            truth: empty.clone(),
            oracle: Oracle::default(),
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Read { process, count } => {
                Self::learn(&mut self.processes[process], &self.log, count);
            }
            Step::Claim { process, fate } => {
                let state = &mut self.processes[process];
                let record = TaskRecord::OwnerClaimed {
                    epoch: state.fold.epoch() + 1,
                    owner: names::vm(process),
                    address: names::address(process),
                };
                self.log.append(&state.writer.record(record), fate);
            }
            Step::Place { process, fate } => {
                let state = &mut self.processes[process];
                if let Some(epoch) = state.held {
                    let task = names::task(0, 0);
                    let record = match state.fold.task(&task).map(|entry| &entry.state) {
                        Some(TaskState::Placed { token, .. }) => TaskRecord::TaskEnded {
                            epoch,
                            task,
                            token: *token,
                            end: PlacementEnd::Failed,
                        },
                        _ => TaskRecord::TaskPlaced {
                            epoch,
                            task,
                            vm: names::vm(process),
                            need: names::need(),
                        },
                    };
                    self.log.append(&state.writer.record(record), fate);
                }
            }
            Step::Forge { process, epoch, claim } => {
                let (vm, address) = (names::vm(process), names::address(process));
                let record = if claim {
                    TaskRecord::OwnerClaimed { epoch, owner: vm, address }
                } else {
                    let need = names::need();
                    TaskRecord::TaskPlaced { epoch, task: names::task(0, 0), vm, need }
                };
                let record = self.processes[process].writer.record(record);
                self.log.append(&record, AppendFate::Stored);
            }
            Step::Restart { process, from_empty } => {
                let state = &mut self.processes[process];
                state.writer.restart();
                state.held = None;
                state.fold = if from_empty {
                    ShardFold::new(names::shard(0))
                } else {
                    serde_json::from_str(&serde_json::to_string(&state.fold).unwrap()).unwrap()
                };
            }
            Step::Deliver { number, keep } => self.log.deliver(number, keep),
            Step::Repeat { number } => self.log.repeat(number),
        }
        self.follow();
    }

    fn check(&self) {
        assert_eq!(self.truth.epoch(), self.oracle.claims.len() as Epoch);
        // Two processes never hold the same epoch, whatever they have read.
        for (number, process) in self.processes.iter().enumerate() {
            if let Some(epoch) = process.held {
                let (offset, writer) = &self.oracle.claims[epoch as usize - 1];
                assert_eq!(*writer, process.writer.id, "process {number} holds epoch {epoch}");
                assert!(*offset < process.fold.next());
            }
        }
        // No record of an earlier epoch counts behind a later claim.
        for (offset, epoch) in &self.oracle.counted {
            let later = self.oracle.claims.get(*epoch as usize);
            assert!(later.is_none_or(|(claim, _)| offset < claim));
        }
    }
}

#[test]
fn records_count_only_under_the_newest_claim() {
    fuzz::<OwnershipWorld>("ownership", 512, 1..80);
}
