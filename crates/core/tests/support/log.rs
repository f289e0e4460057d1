//! A simulated log stream that delays, repeats and loses appends, and its writers.

use cactusdoor_core::envelope::{LogEnvelope, WriterId};
use cactusdoor_core::fold::{FoldedRecord, RecordBody, StreamFold, fold_text};
use cactusdoor_core::unit::{Offset, Sequence};
use proptest::prelude::*;

use super::names;

/// How the simulated log delivers an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendDelivery {
    Stored,
    /// Stored, but the reply to the writer is lost.
    ReplyLost,
    /// Stored twice.
    Duplicated,
    /// In transit; stored by a later `deliver`.
    Delayed,
    Lost,
}

pub fn deliveries() -> impl Strategy<Value = AppendDelivery> + Clone {
    prop_oneof![
        6 => Just(AppendDelivery::Stored),
        1 => Just(AppendDelivery::ReplyLost),
        1 => Just(AppendDelivery::Duplicated),
        2 => Just(AppendDelivery::Delayed),
        1 => Just(AppendDelivery::Lost),
    ]
}

/// One stream: the stored texts, and appends that are in transit.
#[derive(Clone, Debug, Default)]
pub struct SimulatedLog {
    stored: Vec<String>,
    transit: Vec<String>,
}

impl SimulatedLog {
    /// Appends a record; returns its offset if the writer gets a reply.
    pub fn append<B: RecordBody>(
        &mut self,
        record: &LogEnvelope<B>,
        delivery: AppendDelivery,
    ) -> Option<Offset> {
        let text = record.encode().unwrap();
        let offset = self.next();
        match delivery {
            AppendDelivery::Stored => self.stored.push(text),
            AppendDelivery::ReplyLost => {
                self.stored.push(text);
                return None;
            }
            AppendDelivery::Duplicated => {
                self.stored.push(text.clone());
                self.stored.push(text);
            }
            AppendDelivery::Delayed => {
                self.transit.push(text);
                return None;
            }
            AppendDelivery::Lost => return None,
        }
        Some(offset)
    }

    /// Stores a record that was in transit; with `keep`, a copy remains in transit.
    pub fn deliver(&mut self, number: usize, keep: bool) {
        if self.transit.is_empty() {
            return;
        }
        let position = number % self.transit.len();
        let text = self.transit[position].clone();
        if !keep {
            self.transit.remove(position);
        }
        self.stored.push(text);
    }

    /// Stores all records that were in transit.
    pub fn deliver_all(&mut self) {
        self.stored.append(&mut self.transit);
    }

    /// Stores another copy of a stored record.
    pub fn repeat(&mut self, number: usize) {
        if let Some(text) = super::pick(&self.stored, number).cloned() {
            self.stored.push(text);
        }
    }

    /// Stores any text, whether or not it is a valid record.
    pub fn append_text(&mut self, text: &str) {
        self.stored.push(text.to_owned());
    }

    pub fn next(&self) -> Offset {
        self.stored.len() as Offset
    }

    pub fn stored(&self) -> &[String] {
        &self.stored
    }

    pub fn in_transit(&self) -> usize {
        self.transit.len()
    }

    pub fn decode<B: RecordBody>(&self, offset: Offset) -> Option<LogEnvelope<B>> {
        LogEnvelope::decode(&self.stored[offset as usize]).ok()
    }

    /// Folds up to `count` records that `fold` has not read.
    pub fn read<F: StreamFold>(&self, fold: &mut F, count: usize) -> Vec<FoldedRecord<F::Effect>> {
        let from = fold.next();
        let to = self.next().min(from.saturating_add(count as Offset));
        (from..to)
            .filter_map(|offset| fold_text(fold, offset, &self.stored[offset as usize]).ok())
            .collect()
    }
}

/// A process that appends to streams.
///
/// It numbers its records across all streams, so each stream has gaps in the numbers.
#[derive(Clone, Debug)]
pub struct LogWriter {
    pub id: WriterId,
    sequence: Sequence,
}

impl LogWriter {
    pub fn new(process: usize) -> Self {
        Self { id: WriterId { process: names::process(process), incarnation: 1 }, sequence: 0 }
    }

    /// Restarts the process under a new incarnation, with no memory of the last.
    pub fn restart(&mut self) {
        self.id.incarnation += 1;
        self.sequence = 0;
    }

    pub fn record<B>(&mut self, body: B) -> LogEnvelope<B> {
        self.sequence += 1;
        LogEnvelope { writer: self.id.clone(), sequence: self.sequence, body }
    }
}
