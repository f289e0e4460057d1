//! Claims and outcomes of binding requests, compared with a plain table of key holders.
//!
//! Guards against a non-idempotent request that runs twice, and against an outcome that
//! changes after it was reported to a caller.

mod support;

use std::collections::BTreeMap;

use cactusdoor_core::claim::{
    ClaimEffect, ClaimFold, ClaimOutcome, ClaimRecord, ClaimSpec, RequestKey, StoredAnswer,
};
use cactusdoor_core::constants::KEY_LIFETIME;
use cactusdoor_core::unit::{Millis, Offset, Sequence};
use proptest::prelude::*;
use support::log::{AppendDelivery, LogWriter, SimulatedLog, deliveries};
use support::{Simulation, fuzz, names, pick_recent};

const ENTRIES: usize = 3;
const KEYS: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    Read {
        entry: usize,
        count: usize,
    },
    /// A caller's request reaches an entry; its content may differ from earlier ones.
    Claim {
        entry: usize,
        key: usize,
        digest: u64,
        delivery: AppendDelivery,
    },
    /// An entry settles the claim that it has read, its own or another's.
    Settle {
        entry: usize,
        key: usize,
        outcome: u64,
        delivery: AppendDelivery,
    },
    /// An entry settles any earlier claim.
    SettleOld {
        entry: usize,
        number: usize,
        outcome: u64,
    },
    Forget {
        entry: usize,
        delivery: AppendDelivery,
    },
    AdvanceTime {
        millis: Millis,
    },
    Restart {
        entry: usize,
    },
    Deliver {
        number: usize,
        keep: bool,
    },
    Repeat {
        number: usize,
    },
}

/// The claim that holds a key, according to the oracle.
#[derive(Clone, Debug, PartialEq)]
struct Holder {
    claim: Offset,
    spec: ClaimSpec,
    outcome: Option<ClaimOutcome>,
}

struct Entry {
    writer: LogWriter,
    fold: ClaimFold,
}

struct ClaimSimulation {
    log: SimulatedLog,
    entries: Vec<Entry>,
    reference: ClaimFold,
    unix_ms: Millis,
    highest: BTreeMap<(String, u64), Sequence>,
    holders: BTreeMap<usize, Holder>,
    claims: Vec<(usize, Offset)>,
    /// Final outcome of each claim that was ever settled.
    outcomes: BTreeMap<Offset, ClaimOutcome>,
}

fn request_key(number: usize) -> RequestKey {
    RequestKey { plan: names::plan(0), key: names::key(number) }
}

fn key_number(key: &RequestKey) -> usize {
    (0..KEYS).find(|number| request_key(*number) == *key).unwrap()
}

fn outcome(number: u64) -> ClaimOutcome {
    match number % 4 {
        0 => ClaimOutcome::NotRun,
        1 => ClaimOutcome::Unknown,
        _ => {
            let body = (number % 4 == 2).then(|| number.to_le_bytes().to_vec());
            ClaimOutcome::Done(StoredAnswer { status: 200, length: 8, digest: number, body })
        }
    }
}

impl ClaimSimulation {
    fn update_oracle(&mut self) {
        while self.reference.next() < self.log.next() {
            let offset = self.reference.next();
            let record = self.log.decode::<ClaimRecord>(offset).unwrap();
            let read = self.log.read(&mut self.reference, 1).pop().unwrap();
            let writer = (record.writer.process.to_string(), record.writer.incarnation);
            let highest = self.highest.entry(writer).or_default();
            let repeated = record.sequence <= *highest;
            *highest = record.sequence.max(*highest);
            let expected = match record.body {
                _ if repeated => ClaimEffect::Ignored,
                ClaimRecord::Noop => ClaimEffect::Ignored,
                ClaimRecord::Claimed(spec) => self.claimed(offset, spec),
                ClaimRecord::Settled { key, claim, outcome } => {
                    self.settled(key_number(&key), claim, outcome)
                }
                ClaimRecord::Forgotten { before_unix_ms } => {
                    self.holders.retain(|_, holder| holder.spec.claimed_unix_ms >= before_unix_ms);
                    ClaimEffect::Ignored
                }
            };
            assert_eq!(read.effect, expected, "at {offset}");
        }
    }

    fn claimed(&mut self, offset: Offset, spec: ClaimSpec) -> ClaimEffect {
        let key = key_number(&spec.key);
        if let Some(holder) = self.holders.get(&key) {
            return ClaimEffect::Lost { holder: holder.claim };
        }
        self.claims.push((key, offset));
        self.holders.insert(key, Holder { claim: offset, spec, outcome: None });
        ClaimEffect::Won
    }

    fn settled(&mut self, key: usize, claim: Offset, outcome: ClaimOutcome) -> ClaimEffect {
        match self.holders.get_mut(&key) {
            Some(holder) if holder.claim == claim && holder.outcome.is_none() => {
                holder.outcome = Some(outcome.clone());
                let earlier = self.outcomes.insert(claim, outcome);
                assert_eq!(earlier, None, "the claim at {claim} has two final outcomes");
                ClaimEffect::Settled
            }
            _ => ClaimEffect::AlreadySettled,
        }
    }
}

impl Simulation for ClaimSimulation {
    type Step = Step;

    fn steps() -> BoxedStrategy<Step> {
        let (entry, key) = (0..ENTRIES, 0..KEYS);
        prop_oneof![
            5 => (entry.clone(), 0..12_usize)
                .prop_map(|(entry, count)| Step::Read { entry, count }),
            6 => (entry.clone(), key.clone(), 0..2_u64, deliveries())
                .prop_map(|(entry, key, digest, delivery)| Step::Claim { entry, key, digest, delivery }),
            6 => (entry.clone(), key, 0..12_u64, deliveries()).prop_map(
                |(entry, key, outcome, delivery)| Step::Settle { entry, key, outcome, delivery }
            ),
            2 => (entry.clone(), any::<usize>(), 0..12_u64).prop_map(
                |(entry, number, outcome)| Step::SettleOld { entry, number, outcome }
            ),
            1 => (entry.clone(), deliveries())
                .prop_map(|(entry, delivery)| Step::Forget { entry, delivery }),
            2 => prop_oneof![0..60_000_u64, 0..2 * KEY_LIFETIME, Just(KEY_LIFETIME)]
                .prop_map(|millis| Step::AdvanceTime { millis }),
            1 => entry.prop_map(|entry| Step::Restart { entry }),
            3 => (any::<usize>(), any::<bool>())
                .prop_map(|(number, keep)| Step::Deliver { number, keep }),
            1 => any::<usize>().prop_map(|number| Step::Repeat { number }),
        ]
        .boxed()
    }

    fn new() -> Self {
        let entry = |number| Entry { writer: LogWriter::new(number), fold: ClaimFold::default() };
        Self {
            log: SimulatedLog::default(),
            entries: (0..ENTRIES).map(entry).collect(),
            reference: ClaimFold::default(),
            unix_ms: 1_700_000_000_000,
            highest: BTreeMap::new(),
            holders: BTreeMap::new(),
            claims: Vec::new(),
            outcomes: BTreeMap::new(),
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Read { entry, count } => {
                self.log.read(&mut self.entries[entry].fold, count);
            }
            Step::Claim { entry, key, digest, delivery } => {
                let spec = ClaimSpec {
                    key: request_key(key),
                    request_digest: digest,
                    agent: names::vm(entry),
                    agent_incarnation: 1,
                    claimed_unix_ms: self.unix_ms,
                };
                let record = self.entries[entry].writer.record(ClaimRecord::Claimed(spec));
                self.log.append(&record, delivery);
            }
            Step::Settle { entry, key, outcome: number, delivery } => {
                let Entry { writer, fold } = &mut self.entries[entry];
                if let Some(holder) = fold.claim(&request_key(key)) {
                    let record = ClaimRecord::Settled {
                        key: request_key(key),
                        claim: holder.offset,
                        outcome: outcome(number),
                    };
                    self.log.append(&writer.record(record), delivery);
                }
            }
            Step::SettleOld { entry, number, outcome: content } => {
                if let Some((key, claim)) = pick_recent(&self.claims, number).copied() {
                    let record = ClaimRecord::Settled {
                        key: request_key(key),
                        claim,
                        outcome: outcome(content),
                    };
                    let record = self.entries[entry].writer.record(record);
                    self.log.append(&record, AppendDelivery::Stored);
                }
            }
            Step::Forget { entry, delivery } => {
                let before_unix_ms = self.unix_ms - KEY_LIFETIME;
                let record = ClaimRecord::Forgotten { before_unix_ms };
                self.log.append(&self.entries[entry].writer.record(record), delivery);
            }
            Step::AdvanceTime { millis } => self.unix_ms += millis,
            Step::Restart { entry } => {
                let Entry { writer, fold } = &mut self.entries[entry];
                writer.restart();
                *fold = serde_json::from_str(&serde_json::to_string(fold).unwrap()).unwrap();
            }
            Step::Deliver { number, keep } => self.log.deliver(number, keep),
            Step::Repeat { number } => self.log.repeat(number),
        }
        self.update_oracle();
    }

    fn check(&self) {
        assert_eq!(self.reference.len(), self.holders.len());
        assert_eq!(self.reference.is_empty(), self.holders.is_empty());
        for (key, holder) in &self.holders {
            let found = self.reference.claim(&request_key(*key)).expect("key is missing");
            let found = Holder {
                claim: found.offset,
                spec: found.spec.clone(),
                outcome: found.outcome.clone(),
            };
            assert_eq!(found, *holder);
        }
        // A reader that lags behind never sees an outcome other than the final one.
        for entry in &self.entries {
            for key in 0..KEYS {
                let Some(seen) = entry.fold.claim(&request_key(key)) else { continue };
                assert!(self.claims.contains(&(key, seen.offset)));
                if let Some(outcome) = &seen.outcome {
                    assert_eq!(self.outcomes.get(&seen.offset), Some(outcome));
                }
            }
        }
        // A key is kept for its lifetime, so no second claim wins during that time.
        for (key, holder) in &self.holders {
            let others = self.claims.iter().filter(|(other, _)| other == key);
            assert_eq!(others.map(|(_, claim)| *claim).max(), Some(holder.claim));
        }
    }
}

#[test]
fn first_claim_and_first_outcome_of_a_key_are_final() {
    fuzz::<ClaimSimulation>("claims", 512, 1..100);
}
