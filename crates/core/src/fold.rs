//! The interface that the folds of all streams share.
//!
//! A fold must be deterministic: the same records give the same state everywhere.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::claim::{ClaimEffect, ClaimFold, ClaimRecord};
use crate::config::{ConfigEffect, ConfigFold, ConfigRecord};
use crate::envelope::{LogEnvelope, RecordError, WriterId};
use crate::shard::{ShardFold, TaskEffect, TaskRecord};
use crate::unit::{Offset, Sequence};

/// Body of a record; one value is a no-op.
pub trait RecordBody: Serialize + DeserializeOwned + 'static {
    fn noop() -> Self;
}

/// A deterministic fold of one stream.
pub trait StreamFold: Serialize + DeserializeOwned + 'static {
    type Record: RecordBody;
    type Effect;

    /// Offset of the first record not yet folded.
    fn next(&self) -> Offset;
    fn fold(&mut self, offset: Offset, record: LogEnvelope<Self::Record>) -> Self::Effect;
    /// Moves past a record that does not parse.
    fn skip(&mut self, offset: Offset);
}

/// One record and its effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FoldedRecord<E> {
    pub offset: Offset,
    pub writer: WriterId,
    pub sequence: Sequence,
    pub effect: E,
}

/// Parses and folds the record at `offset`; skips it and returns the error if it does
/// not parse.
pub fn fold_text<F: StreamFold>(
    fold: &mut F,
    offset: Offset,
    text: &str,
) -> Result<FoldedRecord<F::Effect>, RecordError> {
    match LogEnvelope::<F::Record>::decode(text) {
        Ok(record) => {
            let (writer, sequence) = (record.writer.clone(), record.sequence);
            let effect = fold.fold(offset, record);
            Ok(FoldedRecord { offset, writer, sequence, effect })
        }
        Err(error) => {
            fold.skip(offset);
            Err(error)
        }
    }
}

macro_rules! stream_fold {
    ($fold:ty, $record:ty, $effect:ty) => {
        impl RecordBody for $record {
            fn noop() -> Self {
                Self::Noop
            }
        }

        impl StreamFold for $fold {
            type Record = $record;
            type Effect = $effect;

            fn next(&self) -> Offset {
                self.next()
            }

            fn fold(&mut self, offset: Offset, record: LogEnvelope<$record>) -> $effect {
                self.apply(offset, record)
            }

            fn skip(&mut self, offset: Offset) {
                self.skip(offset);
            }
        }
    };
}

stream_fold!(ConfigFold, ConfigRecord, ConfigEffect);
stream_fold!(ClaimFold, ClaimRecord, ClaimEffect);
stream_fold!(ShardFold, TaskRecord, TaskEffect);
