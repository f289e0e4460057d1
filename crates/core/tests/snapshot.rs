//! Folds that start from a snapshot, compared with folds of the whole stream.
//!
//! Guards against state that is lost when the log drops old records or is unavailable,
//! and against a snapshot that moves a process back to an earlier offset.

mod support;

use cactusdoor_core::claim::{ClaimFold, ClaimOutcome, ClaimRecord, ClaimSpec, RequestKey};
use cactusdoor_core::config::{ConfigFold, ConfigRecord, ItemChange, ItemValue, PlanSpec};
use cactusdoor_core::envelope::LogEnvelope;
use cactusdoor_core::fold::{StreamFold, fold_text};
use cactusdoor_core::job::{JobClass, PlacementEnd, TaskTransfer};
use cactusdoor_core::shard::{ShardFold, TaskRecord};
use cactusdoor_core::snapshot::{FoldSnapshot, SNAPSHOT_LIFETIME, SnapshotTracker, is_due};
use cactusdoor_core::unit::Moment;
use cactusdoor_core::unit::Offset;
use proptest::prelude::*;
use support::log::{LogWriter, SimulatedLog, deliveries};
use support::{Simulation, fuzz, names, pick, property};

/// A fold under test that generates records which mostly take effect in it.
trait TestFold: StreamFold + Clone + PartialEq + std::fmt::Debug {
    fn empty() -> Self;
    /// Generates a record that fits the current state.
    fn record(&self, number: u64) -> Self::Record;
}

impl TestFold for ConfigFold {
    fn empty() -> Self {
        Self::default()
    }

    fn record(&self, number: u64) -> ConfigRecord {
        let spec = PlanSpec { team: names::team(0), weight: (number % 100) as u32 };
        let spec = (!number.is_multiple_of(7)).then_some(spec);
        let value = ItemValue::Plan(names::plan((number % 5) as usize), spec);
        let premise = self.state().premise(&value.name());
        ConfigRecord::Changed { items: vec![ItemChange { premise, value }] }
    }
}

impl TestFold for ClaimFold {
    fn empty() -> Self {
        Self::default()
    }

    fn record(&self, number: u64) -> ClaimRecord {
        let key = RequestKey { plan: names::plan(0), key: names::key((number % 6) as usize) };
        match (number / 8 % 4, self.claim(&key)) {
            (0, Some(status)) => {
                ClaimRecord::Settled { key, claim: status.offset, outcome: ClaimOutcome::Unknown }
            }
            (1, _) => ClaimRecord::Forgotten { before_unix_ms: self.next() / 2 },
            _ => ClaimRecord::Claimed(ClaimSpec {
                key,
                request_digest: number,
                agent: names::vm(0),
                agent_incarnation: number,
                claimed_unix_ms: self.next(),
            }),
        }
    }
}

impl TestFold for ShardFold {
    fn empty() -> Self {
        Self::new(names::shard(0))
    }

    fn record(&self, number: u64) -> TaskRecord {
        let (job, task) =
            (names::job((number % 3) as usize), names::task((number % 3) as usize, 1));
        let epoch = self.epoch();
        let token = self.next().saturating_sub(1 + number / 16 % 3);
        let spec = names::spec((number % 3) as usize, JobClass::Batch, 2);
        let checkpoint = (number % 2 == 1).then(|| names::checkpoint(1));
        let moves = self.task(&task).map_or(0, |tracked| tracked.moves);
        let transfer = |from: usize, to: usize| TaskTransfer {
            task: task.clone(),
            number: moves + 1,
            from: names::shard(from),
            to: names::shard(to),
            checkpoint: checkpoint.clone(),
            ended: None,
        };
        match number / 64 % 10 {
            0 => {
                let (owner, address) = (names::vm(0), names::address(0));
                TaskRecord::OwnerClaimed { epoch: epoch + 1, owner, address }
            }
            1 => TaskRecord::JobCancelled(job),
            2 => TaskRecord::JobForgotten { epoch, job },
            3 => TaskRecord::TaskTransferred { epoch, transfer: transfer(0, 1) },
            4 => TaskRecord::TaskReceived { spec, transfer: transfer(1, 0) },
            5 | 6 => {
                let end = PlacementEnd::Evicted { checkpoint };
                TaskRecord::TaskEnded { epoch, task, token, end }
            }
            7 => TaskRecord::JobSubmitted(spec),
            _ => TaskRecord::TaskPlaced { epoch, task, vm: names::vm(0), need: names::need() },
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Append {
        writer: usize,
        number: u64,
        delivery: support::log::AppendDelivery,
    },
    Restart {
        writer: usize,
    },
    Deliver {
        number: usize,
    },
    AppendInvalid,
    /// A reader reads up to `count` more records.
    Read {
        reader: usize,
        count: usize,
    },
    /// A reader publishes its state, possibly late, twice or concurrently with others.
    Publish {
        reader: usize,
    },
    /// The log drops its oldest records.
    DropOldest {
        count: u64,
    },
    /// A reader restarts from the snapshot that covers most records.
    Load {
        reader: usize,
    },
    /// A running reader finds one of the snapshots.
    Offer {
        reader: usize,
        number: usize,
    },
}

struct SnapshotSimulation<F> {
    log: SimulatedLog,
    writers: Vec<LogWriter>,
    /// State after each record.
    states: Vec<F>,
    readers: Vec<F>,
    snapshots: Vec<String>,
    /// Offset of the first retained record.
    start: Offset,
}

impl<F: TestFold> SnapshotSimulation<F> {
    fn update_states(&mut self) {
        while self.states.len() <= self.log.next() as usize {
            let mut state = self.states.last().unwrap().clone();
            self.log.read(&mut state, 1);
            self.states.push(state);
        }
    }

    fn newest(&self) -> Option<FoldSnapshot<F>> {
        let parsed = self.snapshots.iter().map(|text| serde_json::from_str(text).unwrap());
        parsed.max_by_key(|snapshot: &FoldSnapshot<F>| snapshot.covers)
    }

    fn publish(&mut self, reader: usize) {
        let fold = &self.readers[reader];
        let snapshot = FoldSnapshot { covers: fold.next(), fold: fold.clone() };
        self.snapshots.push(serde_json::to_string(&snapshot).unwrap());
    }
}

impl<F: TestFold> Simulation for SnapshotSimulation<F> {
    type Step = Step;

    fn steps() -> BoxedStrategy<Step> {
        prop_oneof![
            12 => (0..3_usize, any::<u64>(), deliveries())
                .prop_map(|(writer, number, delivery)| Step::Append { writer, number, delivery }),
            1 => (0..3_usize).prop_map(|writer| Step::Restart { writer }),
            2 => any::<usize>().prop_map(|number| Step::Deliver { number }),
            1 => Just(Step::AppendInvalid),
            4 => (0..2_usize, 0..9_usize)
                .prop_map(|(reader, count)| Step::Read { reader, count }),
            2 => (0..2_usize).prop_map(|reader| Step::Publish { reader }),
            1 => (0..6_u64).prop_map(|count| Step::DropOldest { count }),
            3 => (0..2_usize).prop_map(|reader| Step::Load { reader }),
            2 => (0..2_usize, any::<usize>())
                .prop_map(|(reader, number)| Step::Offer { reader, number }),
        ]
        .boxed()
    }

    fn new() -> Self {
        Self {
            log: SimulatedLog::default(),
            writers: (0..3).map(LogWriter::new).collect(),
            states: vec![F::empty()],
            readers: vec![F::empty(); 2],
            snapshots: Vec::new(),
            start: 0,
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Append { writer, number, delivery } => {
                let body = self.states.last().unwrap().record(number);
                let record: LogEnvelope<F::Record> = self.writers[writer].record(body);
                self.log.append(&record, delivery);
            }
            Step::Restart { writer } => self.writers[writer].restart(),
            Step::Deliver { number } => self.log.deliver(number, number.is_multiple_of(2)),
            Step::AppendInvalid => self.log.append_text("{}"),
            Step::Read { reader, count } => {
                // A reader whose next record was dropped must not read on.
                if self.readers[reader].next() >= self.start {
                    self.log.read(&mut self.readers[reader], count);
                }
            }
            Step::Publish { reader } => self.publish(reader),
            Step::DropOldest { count } => {
                // Retention may go as far as the reader that is furthest ahead.
                let ahead = self.readers.iter().map(StreamFold::next).max().unwrap_or(0);
                self.start = (self.start + count).min(ahead);
                let covers = self.newest().map_or(0, |snapshot| snapshot.covers);
                if is_due(covers, self.start, self.log.next()) {
                    let ahead = usize::from(self.readers[1].next() > self.readers[0].next());
                    self.publish(ahead);
                }
                let covers = self.newest().map_or(0, |snapshot| snapshot.covers);
                assert!(
                    covers >= self.start,
                    "no snapshot to start from: covers {covers}, log starts at {}",
                    self.start
                );
            }
            Step::Load { reader } => {
                let newest = self.newest();
                let loaded = newest.map_or_else(F::empty, |snapshot| snapshot.fold);
                assert!(loaded.next() >= self.start);
                self.readers[reader] = loaded;
            }
            Step::Offer { reader, number } => {
                if let Some(text) = pick(&self.snapshots, number) {
                    let before = self.readers[reader].next();
                    let snapshot: FoldSnapshot<F> = serde_json::from_str(text).unwrap();
                    snapshot.advance(&mut self.readers[reader]);
                    assert!(
                        self.readers[reader].next() >= before,
                        "a snapshot moved a reader back"
                    );
                }
            }
        }
        self.update_states();
    }

    fn check(&self) {
        for reader in &self.readers {
            assert_eq!(*reader, self.states[reader.next() as usize]);
        }
        if let Some(snapshot) = self.newest() {
            assert_eq!(snapshot.covers, snapshot.fold.next());
        }
    }
}

#[test]
fn config_loaded_from_a_snapshot_equals_the_full_fold() {
    fuzz::<SnapshotSimulation<ConfigFold>>("config snapshots", 192, 1..70);
}

#[test]
fn claims_loaded_from_a_snapshot_equal_the_full_fold() {
    fuzz::<SnapshotSimulation<ClaimFold>>("claim snapshots", 192, 1..70);
}

#[test]
fn tasks_loaded_from_a_snapshot_equal_the_full_fold() {
    fuzz::<SnapshotSimulation<ShardFold>>("task snapshots", 192, 1..70);
}

/// Guards against records that are folded twice because a snapshot includes them.
#[test]
fn records_that_were_folded_before_have_no_effect() {
    property("old offsets", 192, proptest::collection::vec(any::<u64>(), 1..40), |numbers| {
        let (mut fold, mut writer) = (ShardFold::empty(), LogWriter::new(0));
        let mut texts = Vec::new();
        for (offset, number) in (0..).zip(numbers) {
            let text = writer.record(fold.record(number)).encode().unwrap();
            fold_text(&mut fold, offset, &text).unwrap();
            texts.push(text);
        }
        let before = fold.clone();
        for (offset, text) in (0..).zip(&texts) {
            fold_text(&mut fold, offset, text).unwrap();
            fold.skip(offset);
            prop_assert_eq!(&fold, &before);
        }
        Ok(())
    });
}

/// Guards against snapshots that are never due, or always.
#[test]
fn new_snapshot_is_due_when_less_than_the_older_half_is_covered() {
    let inputs = (0..50_u64, 0..50_u64, 0..50_u64);
    property("due snapshots", 4_096, inputs, |(start, length, covers)| {
        let next = start + length;
        let covers = covers.min(next);
        let covered = covers as f64 - start as f64;
        let expected = covers < next && covered < length as f64 / 2.0;
        prop_assert_eq!(is_due(covers, start, next), expected);
        Ok(())
    });
}

/// Guards against a quiet stream whose only snapshot the log drops: a process that
/// starts later would find neither records nor a snapshot.
#[test]
fn quiet_stream_gets_a_new_snapshot_before_the_old_one_is_dropped() {
    let start = Moment(10 * SNAPSHOT_LIFETIME);
    let mut tracker = SnapshotTracker::default();
    tracker.published(7, start);
    assert!(!tracker.is_due(7, 7, start.after(SNAPSHOT_LIFETIME - 1)));
    assert!(tracker.is_due(7, 7, start.after(SNAPSHOT_LIFETIME)));
    assert!(
        !tracker.is_due(0, 0, start.after(SNAPSHOT_LIFETIME)),
        "an empty stream needs no snapshot"
    );
    // A loaded snapshot may be old already.
    let tracker = SnapshotTracker::loaded(7, start);
    assert!(tracker.is_due(7, 7, start.after(SNAPSHOT_LIFETIME / 2)));
}
