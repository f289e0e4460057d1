//! The configuration fold, compared with a plain list of accepted changes.
//!
//! Guards against changes that are lost or reverted: through operators who publish
//! concurrently, repeated and late records, deltas that reach an agent in any order,
//! and restarts from snapshots.

mod support;

use std::collections::BTreeMap;

use cactusdoor_core::config::{
    AllowanceSpec, ConfigDelta, ConfigEffect, ConfigFold, ConfigRecord, ConfigState,
    DataCentreState, ItemChange, ItemName, ItemValue, PlanSpec,
};
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::Revision;
use proptest::prelude::*;
use support::log::{AppendDelivery, LogWriter, SimulatedLog, deliveries};
use support::{Simulation, fuzz, names, pick};

const OPERATORS: usize = 3;
const OWNERS: usize = 2;
const AGENTS: usize = 2;
const ITEMS: usize = 4;

fn value(item: usize, content: u32) -> ItemValue {
    match item {
        0 | 1 => {
            let spec = PlanSpec { team: names::team(0), weight: content };
            ItemValue::Plan(names::plan(item), (!content.is_multiple_of(4)).then_some(spec))
        }
        2 => {
            let batch = ResourceVector::new(u64::from(content), 1, 0);
            let spec = AllowanceSpec { batch, requests_per_second: content };
            ItemValue::Allowance(names::plan(0), (!content.is_multiple_of(4)).then_some(spec))
        }
        _ => {
            let state =
                if content.is_multiple_of(2) { DataCentreState::Out } else { DataCentreState::In };
            ItemValue::DataCentre(names::centre(0), state)
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// An operator reads up to `count` records.
    OperatorReads {
        operator: usize,
        count: usize,
    },
    /// An operator publishes a change based on the revisions that it last read.
    Publish {
        operator: usize,
        items: Vec<(usize, u32)>,
        delivery: AppendDelivery,
    },
    Restart {
        operator: usize,
    },
    Deliver {
        number: usize,
        keep: bool,
    },
    Repeat {
        number: usize,
    },
    AppendInvalid,
    OwnerReads {
        owner: usize,
        count: usize,
    },
    OwnerRestarts {
        owner: usize,
    },
    /// An owner sends a delta since some revision to the agents.
    Send {
        owner: usize,
        since: Revision,
    },
    Receive {
        agent: usize,
        number: usize,
    },
}

/// Oracle: all items and their revisions after one accepted change.
type ItemTable = BTreeMap<String, (Revision, ItemValue)>;

struct ConfigSimulation {
    log: SimulatedLog,
    operators: Vec<(LogWriter, ConfigFold)>,
    owners: Vec<ConfigFold>,
    agents: Vec<ConfigState>,
    deltas: Vec<ConfigDelta>,
    /// Fold that reads every record as soon as it is stored.
    reference: ConfigFold,
    /// Table after each revision.
    tables: Vec<ItemTable>,
    /// Process, incarnation and sequence number of each record so far.
    seen: Vec<(String, u64, u64)>,
}

impl ConfigSimulation {
    /// Adds the records stored since the last step to the oracle.
    fn update_oracle(&mut self) {
        while self.reference.next() < self.log.next() {
            let record = self.log.decode::<ConfigRecord>(self.reference.next());
            let expected = record.and_then(|record| {
                let writer = record.writer.process.to_string();
                let (incarnation, sequence) = (record.writer.incarnation, record.sequence);
                let stale = self.seen.iter().any(|(process, number, highest)| {
                    *process == writer && *number == incarnation && *highest >= sequence
                });
                if stale {
                    return None;
                }
                self.seen.push((writer, incarnation, sequence));
                match record.body {
                    ConfigRecord::Noop => None,
                    ConfigRecord::Changed { items } => Some(items),
                }
            });
            let accepted = expected.as_ref().is_some_and(|items| self.accept(items));
            let effect = self.log.read(&mut self.reference, 1).pop().map(|read| read.effect);
            match (expected.is_some(), effect) {
                (false, None | Some(ConfigEffect::Ignored)) => {}
                (true, Some(ConfigEffect::Accepted(revision))) if accepted => {
                    assert_eq!(revision as usize, self.tables.len() - 1);
                }
                (true, Some(ConfigEffect::Rejected(_))) if !accepted => {}
                (_, effect) => panic!("expected accepted: {accepted}, effect {effect:?}"),
            }
        }
    }

    /// Whether the change is valid for the newest table; if so, adds the table after it.
    fn accept(&mut self, items: &[ItemChange]) -> bool {
        let revision = self.tables.len() as Revision;
        let mut table = self.tables.last().unwrap().clone();
        for change in items {
            let name = change.value.name().to_string();
            let current = table.get(&name).map_or(0, |(revision, _)| *revision);
            if current != change.premise {
                return false;
            }
            table.insert(name, (revision, change.value.clone()));
        }
        if items.is_empty()
            || table.values().filter(|(at, _)| *at == revision).count() != items.len()
        {
            return false;
        }
        self.tables.push(table);
        true
    }

    /// Checks that a state equals the table of its revision and is not partial.
    fn check_state(&self, state: &ConfigState) {
        let table = &self.tables[state.revision() as usize];
        let found: ItemTable = state
            .items()
            .map(|item| (item.value.name().to_string(), (item.revision, item.value.clone())))
            .collect();
        assert_eq!(&found, table, "state at revision {}", state.revision());
    }
}

impl Simulation for ConfigSimulation {
    type Step = Step;

    fn steps() -> BoxedStrategy<Step> {
        let change = proptest::collection::vec((0..ITEMS, 0..8_u32), 0..4);
        prop_oneof![
            6 => (0..OPERATORS, 0..30_usize)
                .prop_map(|(operator, count)| Step::OperatorReads { operator, count }),
            6 => (0..OPERATORS, change, deliveries())
                .prop_map(|(operator, items, delivery)| Step::Publish { operator, items, delivery }),
            1 => (0..OPERATORS).prop_map(|operator| Step::Restart { operator }),
            2 => (any::<usize>(), any::<bool>())
                .prop_map(|(number, keep)| Step::Deliver { number, keep }),
            1 => any::<usize>().prop_map(|number| Step::Repeat { number }),
            1 => Just(Step::AppendInvalid),
            5 => (0..OWNERS, 0..15_usize)
                .prop_map(|(owner, count)| Step::OwnerReads { owner, count }),
            1 => (0..OWNERS).prop_map(|owner| Step::OwnerRestarts { owner }),
            4 => (0..OWNERS, prop_oneof![0..2_u64, 0..12_u64]).prop_map(|(owner, since)| Step::Send { owner, since }),
            5 => (0..AGENTS, any::<usize>())
                .prop_map(|(agent, number)| Step::Receive { agent, number }),
        ]
        .boxed()
    }

    fn new() -> Self {
        Self {
            log: SimulatedLog::default(),
            operators: (0..OPERATORS).map(|n| (LogWriter::new(n), ConfigFold::default())).collect(),
            owners: vec![ConfigFold::default(); OWNERS],
            agents: vec![ConfigState::default(); AGENTS],
            deltas: Vec::new(),
            reference: ConfigFold::default(),
            tables: vec![ItemTable::new()],
            seen: Vec::new(),
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::OperatorReads { operator, count } => {
                self.log.read(&mut self.operators[operator].1, count);
            }
            Step::Publish { operator, items, delivery } => {
                let (writer, view) = &mut self.operators[operator];
                let change = |(item, content): (usize, u32)| {
                    let value = value(item, content);
                    ItemChange { premise: view.state().premise(&value.name()), value }
                };
                let items = items.into_iter().map(change).collect();
                self.log.append(&writer.record(ConfigRecord::Changed { items }), delivery);
            }
            Step::Restart { operator } => self.operators[operator].0.restart(),
            Step::Deliver { number, keep } => self.log.deliver(number, keep),
            Step::Repeat { number } => self.log.repeat(number),
            Step::AppendInvalid => self.log.append_text("{\"w\":"),
            Step::OwnerReads { owner, count } => {
                self.log.read(&mut self.owners[owner], count);
            }
            Step::OwnerRestarts { owner } => {
                let text = serde_json::to_string(&self.owners[owner]).unwrap();
                let loaded: ConfigFold = serde_json::from_str(&text).unwrap();
                assert_eq!(loaded, self.owners[owner], "a snapshot changed when it was loaded");
                self.owners[owner] = loaded;
            }
            Step::Send { owner, since } => {
                let delta = self.owners[owner].state().delta_since(since);
                let text = serde_json::to_string(&delta).unwrap();
                self.deltas.push(serde_json::from_str(&text).unwrap());
            }
            Step::Receive { agent, number } => {
                if let Some(delta) = pick(&self.deltas, number) {
                    let state = &mut self.agents[agent];
                    let before = state.revision();
                    let applied = state.apply_delta(delta);
                    assert_eq!(applied, delta.base <= before);
                    assert!(state.revision() >= before, "an agent's revision went back");
                    assert!(!applied || state.revision() >= delta.revision);
                }
            }
        }
        self.update_oracle();
    }

    fn check(&self) {
        let views = self.operators.iter().map(|(_, fold)| fold.state());
        let owners = self.owners.iter().map(ConfigFold::state);
        views.chain(owners).chain(&self.agents).for_each(|state| self.check_state(state));
        self.check_state(self.reference.state());
    }
}

#[test]
fn configuration_matches_the_list_of_accepted_changes() {
    fuzz::<ConfigSimulation>("config", 384, 1..100);
}

/// Guards against reports to operators of a state that was never published.
#[test]
fn items_that_were_never_configured_have_defaults() {
    let state = ConfigState::default();
    assert_eq!(state.data_centre(&names::centre(0)), DataCentreState::In);
    assert_eq!(state.plan(&names::plan(0)), None);
    assert_eq!(state.allowance(&names::plan(0)), None);
    assert_eq!(state.premise(&ItemName::Plan(names::plan(0))), 0);
}
