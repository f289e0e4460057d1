//! A simulated log stream with writers whose appends go astray.

use cactusdoor_core::envelope::{LogEnvelope, WriterId};
use cactusdoor_core::fold::{FoldedRecord, RecordBody, StreamFold, fold_text};
use cactusdoor_core::unit::{Offset, Sequence};
use proptest::prelude::*;

use super::names;

/// What becomes of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendFate {
    Stored,
    /// Stored, but the writer is not told.
    AnswerLost,
    /// Stored twice: a copy arrives again.
    Doubled,
    /// Still on its way; stored by a later `deliver`.
    Delayed,
    Lost,
}

pub fn fates() -> impl Strategy<Value = AppendFate> + Clone {
    prop_oneof![
        6 => Just(AppendFate::Stored),
        1 => Just(AppendFate::AnswerLost),
        1 => Just(AppendFate::Doubled),
        2 => Just(AppendFate::Delayed),
        1 => Just(AppendFate::Lost),
    ]
}

/// One stream: the stored texts, and appends that are still on their way.
#[derive(Clone, Debug, Default)]
pub struct SimulatedLog {
    stored: Vec<String>,
    transit: Vec<String>,
}

impl SimulatedLog {
    /// Appends a record; the answer is its offset, if there is one.
    pub fn append<B: RecordBody>(
        &mut self,
        record: &LogEnvelope<B>,
        fate: AppendFate,
    ) -> Option<Offset> {
        let text = record.encode().unwrap();
        let offset = self.next();
        match fate {
            AppendFate::Stored => self.stored.push(text),
            AppendFate::AnswerLost => {
                self.stored.push(text);
                return None;
            }
            AppendFate::Doubled => {
                self.stored.push(text.clone());
                self.stored.push(text);
            }
            AppendFate::Delayed => {
                self.transit.push(text);
                return None;
            }
            AppendFate::Lost => return None,
        }
        Some(offset)
    }

    /// Stores a record that was on its way; `keep` leaves a copy on its way.
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

    /// Stores all records that were on their way.
    pub fn deliver_all(&mut self) {
        self.stored.append(&mut self.transit);
    }

    /// Stores a copy of a record that is stored already.
    pub fn repeat(&mut self, number: usize) {
        if let Some(text) = super::pick(&self.stored, number).cloned() {
            self.stored.push(text);
        }
    }

    /// Stores a text that may not be a record.
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

    /// Folds up to `count` records that `fold` has not seen.
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
/// It numbers its records over all streams, which leaves gaps within each.
#[derive(Clone, Debug)]
pub struct LogWriter {
    pub id: WriterId,
    sequence: Sequence,
}

impl LogWriter {
    pub fn new(process: usize) -> Self {
        Self { id: WriterId { process: names::process(process), incarnation: 1 }, sequence: 0 }
    }

    /// Starts again without memory, under a new incarnation.
    pub fn restart(&mut self) {
        self.id.incarnation += 1;
        self.sequence = 0;
    }

    pub fn record<B>(&mut self, body: B) -> LogEnvelope<B> {
        self.sequence += 1;
        LogEnvelope { writer: self.id.clone(), sequence: self.sequence, body }
    }
}
