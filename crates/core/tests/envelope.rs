//! The record envelope and the table of writers.
//!
//! Guards against a repeated or late append that takes effect: a record is accepted only
//! if its number is higher than all earlier ones of the same incarnation.

mod support;

use std::collections::BTreeMap;
use std::sync::LazyLock;

use assert_matches::assert_matches;
use cactusdoor_core::config::{ConfigFold, ConfigRecord};
use cactusdoor_core::envelope::{LogEnvelope, MAX_WRITERS, WriterId, WriterTable};
use cactusdoor_core::fold::fold_text;
use cactusdoor_core::unit::{Incarnation, Offset, Sequence};
use proptest::prelude::*;
use support::{Simulation, fuzz, names, property};

#[derive(Clone, Debug)]
enum Step {
    Admit {
        process: usize,
        incarnation: Incarnation,
        sequence: Sequence,
    },
    /// The table is stored in a snapshot and loaded again.
    Reload,
}

fn writer(process: usize, incarnation: Incarnation) -> WriterId {
    WriterId { process: names::process(process), incarnation }
}

fn reload(table: &WriterTable) -> WriterTable {
    serde_json::from_str(&serde_json::to_string(table).unwrap()).unwrap()
}

/// A table with few writers, compared with the highest number of each.
struct FewWriters {
    table: WriterTable,
    offset: Offset,
    highest: BTreeMap<(usize, Incarnation), Sequence>,
}

impl Simulation for FewWriters {
    type Step = Step;

    fn steps() -> BoxedStrategy<Step> {
        prop_oneof![
            20 => (0..3_usize, 1..4_u64, 1..12_u64).prop_map(|(process, incarnation, sequence)| {
                Step::Admit { process, incarnation, sequence }
            }),
            1 => Just(Step::Reload),
        ]
        .boxed()
    }

    fn new() -> Self {
        Self { table: WriterTable::default(), offset: 0, highest: BTreeMap::new() }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Reload => self.table = reload(&self.table),
            Step::Admit { process, incarnation, sequence } => {
                let highest = self.highest.entry((process, incarnation)).or_default();
                let admitted =
                    self.table.admit(&writer(process, incarnation), sequence, self.offset);
                assert_eq!(admitted, sequence > *highest, "highest {highest}");
                *highest = sequence.max(*highest);
                self.offset += 1;
            }
        }
    }

    fn check(&self) {}
}

#[test]
fn sequence_numbers_are_admitted_once_per_incarnation() {
    fuzz::<FewWriters>("envelope", 512, 1..80);
}

/// A full table, compared with a list ordered by the last admitted record.
struct ManyWriters {
    table: WriterTable,
    offset: Offset,
    recent: Vec<(usize, Sequence)>,
}

static FULL_TABLE: LazyLock<WriterTable> = LazyLock::new(|| {
    let mut table = WriterTable::default();
    for process in 0..MAX_WRITERS {
        assert!(table.admit(&writer(process, 1), 5, process as Offset));
    }
    table
});

impl Simulation for ManyWriters {
    type Step = Step;

    fn steps() -> BoxedStrategy<Step> {
        let process = prop_oneof![0..8_usize, MAX_WRITERS - 4..MAX_WRITERS + 8];
        prop_oneof![
            30 => (process, 1..10_u64).prop_map(|(process, sequence)| {
                Step::Admit { process, incarnation: 1, sequence }
            }),
            1 => Just(Step::Reload),
        ]
        .boxed()
    }

    fn new() -> Self {
        Self {
            table: FULL_TABLE.clone(),
            offset: MAX_WRITERS as Offset,
            recent: (0..MAX_WRITERS).map(|process| (process, 5)).collect(),
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Reload => self.table = reload(&self.table),
            Step::Admit { process, incarnation, sequence } => {
                let known = self.recent.iter().position(|(known, _)| *known == process);
                let expected = known.is_none_or(|at| self.recent[at].1 < sequence);
                let admitted =
                    self.table.admit(&writer(process, incarnation), sequence, self.offset);
                assert_eq!(admitted, expected, "process {process}, sequence {sequence}");
                if admitted {
                    self.recent.remove(known.unwrap_or(0));
                    self.recent.push((process, sequence));
                }
                self.offset += 1;
            }
        }
    }

    fn check(&self) {}
}

#[test]
fn writer_with_the_oldest_last_record_is_evicted_first() {
    fuzz::<ManyWriters>("writer table", 24, 1..60);
}

/// Guards against a record that changes when it is encoded and decoded.
#[test]
fn envelopes_round_trip_through_text() {
    let inputs = (0..50_usize, any::<Incarnation>(), any::<Sequence>());
    property("envelope text", 512, inputs, |(process, incarnation, sequence)| {
        let writer = writer(process, incarnation);
        let record = LogEnvelope { writer, sequence, body: ConfigRecord::Noop };
        let text = record.encode().unwrap();
        prop_assert_eq!(LogEnvelope::decode(&text).unwrap(), record);
        Ok(())
    });
}

/// Guards against a fold that stops or panics at a text that is not a record.
#[test]
fn records_that_do_not_parse_are_skipped() {
    let broken = prop_oneof![
        any::<String>(),
        (0.0..1.0_f64).prop_map(|part| {
            let record =
                LogEnvelope { writer: writer(0, 1), sequence: 1, body: ConfigRecord::Noop };
            let text = record.encode().unwrap();
            text[..(text.len() as f64 * part) as usize].to_owned()
        }),
    ];
    property("broken records", 512, broken, |text| {
        let mut fold = ConfigFold::default();
        prop_assert!(fold_text(&mut fold, 7, &text).is_err());
        prop_assert_eq!(fold.next(), 8);
        Ok(())
    });
}

#[test]
fn envelope_with_a_missing_field_or_invalid_name_is_rejected() {
    for text in [
        r#"{"i":1,"s":1,"b":"noop"}"#,
        r#"{"w":"a","s":1,"b":"noop"}"#,
        r#"{"w":"a","i":1,"b":"noop"}"#,
        r#"{"w":"a","i":1,"s":1}"#,
        r#"{"w":"a b","i":1,"s":1,"b":"noop"}"#,
    ] {
        assert_matches!(LogEnvelope::<ConfigRecord>::decode(text), Err(_), "{text}");
    }
    let text = r#"{"b":"noop","s":1,"i":1,"w":"a"}"#;
    assert_matches!(LogEnvelope::<ConfigRecord>::decode(text), Ok(_));
}
