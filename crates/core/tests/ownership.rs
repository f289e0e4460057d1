//! Processes that claim the same shard concurrently.
//!
//! Guards against two owners whose records take effect at the same time. An owner's
//! record may take effect only if its claim is the newest before it in the stream.

mod support;

use std::collections::BTreeMap;

use cactusdoor_core::envelope::WriterId;
use cactusdoor_core::job::{JobClass, PlacementEnd};
use cactusdoor_core::shard::{ShardFold, TaskEffect, TaskRecord, TaskState};
use cactusdoor_core::unit::{Epoch, Offset, Sequence};
use proptest::prelude::*;
use support::log::{AppendDelivery, LogWriter, SimulatedLog, deliveries};
use support::{Simulation, fuzz, names};

const PROCESSES: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    Read {
        process: usize,
        count: usize,
    },
    Claim {
        process: usize,
        delivery: AppendDelivery,
    },
    /// A process that believes it is the owner places the task, or ends its placement.
    Place {
        process: usize,
        delivery: AppendDelivery,
    },
    /// A process writes a placement or a claim for an epoch that may not be its own.
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
    /// Epoch that this incarnation claimed and whose claim it has read.
    owned: Option<Epoch>,
}

/// Oracle: claims in log order, and the records that took effect.
#[derive(Default)]
struct Oracle {
    next: Offset,
    highest: BTreeMap<(String, u64), Sequence>,
    /// Offset and writer of the claim of each epoch; epoch 1 is at index 0.
    claims: Vec<(Offset, WriterId)>,
    /// Placements that took effect.
    placements: Vec<(Offset, Epoch)>,
    /// Offset of the current placement.
    placed: Option<Offset>,
}

struct OwnershipSimulation {
    log: SimulatedLog,
    processes: Vec<Process>,
    reference: ShardFold,
    oracle: Oracle,
}

impl OwnershipSimulation {
    fn update_oracle(&mut self) {
        while self.oracle.next < self.log.next() {
            let offset = self.oracle.next;
            self.oracle.next += 1;
            let record = self.log.decode::<TaskRecord>(offset).unwrap();
            let effect = self.log.read(&mut self.reference, 1).pop().unwrap().effect;
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
                    let effective = epoch == current && current > 0 && self.oracle.placed.is_none();
                    assert_eq!(effect == TaskEffect::Applied, effective, "{effect:?} at {offset}");
                    if effective {
                        self.oracle.placements.push((offset, epoch));
                        self.oracle.placed = Some(offset);
                    }
                }
                TaskRecord::TaskEnded { epoch, token, .. } => {
                    let effective =
                        epoch == current && current > 0 && self.oracle.placed == Some(token);
                    assert_eq!(effect == TaskEffect::Applied, effective, "{effect:?} at {offset}");
                    if effective {
                        self.oracle.placed = None;
                    }
                }
                _ => assert_eq!(effect, TaskEffect::Applied),
            }
        }
    }

    fn read(process: &mut Process, log: &SimulatedLog, count: usize) {
        let id = process.writer.id.clone();
        for read in log.read(&mut process.fold, count) {
            if let TaskEffect::Owned(epoch) = read.effect {
                process.owned = (read.writer == id).then_some(epoch);
            }
        }
    }
}

impl Simulation for OwnershipSimulation {
    type Step = Step;

    fn steps() -> BoxedStrategy<Step> {
        let process = 0..PROCESSES;
        prop_oneof![
            6 => (process.clone(), 0..10_usize)
                .prop_map(|(process, count)| Step::Read { process, count }),
            4 => (process.clone(), deliveries())
                .prop_map(|(process, delivery)| Step::Claim { process, delivery }),
            5 => (process.clone(), deliveries())
                .prop_map(|(process, delivery)| Step::Place { process, delivery }),
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
            |number| Process { writer: LogWriter::new(number), fold: empty.clone(), owned: None };
        let mut log = SimulatedLog::default();
        let mut entry = LogWriter::new(PROCESSES);
        let job = TaskRecord::JobSubmitted(names::spec(0, JobClass::Watch, 1));
        log.append(&entry.record(job), AppendDelivery::Stored);
        Self {
            log,
            processes: (0..PROCESSES).map(process).collect(),
            reference: empty.clone(),
            oracle: Oracle::default(),
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Read { process, count } => {
                Self::read(&mut self.processes[process], &self.log, count);
            }
            Step::Claim { process, delivery } => {
                let state = &mut self.processes[process];
                let record = TaskRecord::OwnerClaimed {
                    epoch: state.fold.epoch() + 1,
                    owner: names::vm(process),
                    address: names::address(process),
                };
                self.log.append(&state.writer.record(record), delivery);
            }
            Step::Place { process, delivery } => {
                let state = &mut self.processes[process];
                if let Some(epoch) = state.owned {
                    let task = names::task(0, 0);
                    let record = match state.fold.task(&task).map(|tracked| &tracked.state) {
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
                    self.log.append(&state.writer.record(record), delivery);
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
                self.log.append(&record, AppendDelivery::Stored);
            }
            Step::Restart { process, from_empty } => {
                let state = &mut self.processes[process];
                state.writer.restart();
                state.owned = None;
                state.fold = if from_empty {
                    ShardFold::new(names::shard(0))
                } else {
                    serde_json::from_str(&serde_json::to_string(&state.fold).unwrap()).unwrap()
                };
            }
            Step::Deliver { number, keep } => self.log.deliver(number, keep),
            Step::Repeat { number } => self.log.repeat(number),
        }
        self.update_oracle();
    }

    fn check(&self) {
        assert_eq!(self.reference.epoch(), self.oracle.claims.len() as Epoch);
        // Two processes never own the same epoch, whatever they have read.
        for (number, process) in self.processes.iter().enumerate() {
            if let Some(epoch) = process.owned {
                let (offset, writer) = &self.oracle.claims[epoch as usize - 1];
                assert_eq!(*writer, process.writer.id, "process {number} owns epoch {epoch}");
                assert!(*offset < process.fold.next());
            }
        }
        // No record of an earlier epoch takes effect after a later claim.
        for (offset, epoch) in &self.oracle.placements {
            let later = self.oracle.claims.get(*epoch as usize);
            assert!(later.is_none_or(|(claim, _)| offset < claim));
        }
    }
}

#[test]
fn owner_records_take_effect_only_under_the_newest_claim() {
    fuzz::<OwnershipSimulation>("ownership", 512, 1..80);
}
