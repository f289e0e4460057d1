//! The envelope of every log record, and the table that detects repeated records.
//!
//! Each writer numbers its records. A fold accepts a record only if its number is
//! higher than all previous ones of the same incarnation of the writer. A record that is
//! stored twice, or after later records of its writer, therefore has no further effect.

use std::fmt;

use indexmap::IndexMap;
use serde::de::{self, DeserializeOwned, MapAccess, Visitor};
use serde::ser::SerializeStruct;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use thiserror::Error;

use crate::name::ProcessName;
use crate::unit::{Incarnation, Offset, Sequence};

/// Number of writers in a table; the one whose last record is oldest is evicted first.
///
/// The system is designed for about 300 process starts a day. An append that is delayed
/// until its writer is evicted, several days later, is older than the log's retention.
pub const MAX_WRITERS: usize = 4_096;

/// One incarnation of a process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WriterId {
    pub process: ProcessName,
    pub incarnation: Incarnation,
}

/// A record as stored in the log: a JSON object with the fields `w`, `i`, `s` and `b`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEnvelope<B> {
    pub writer: WriterId,
    pub sequence: Sequence,
    pub body: B,
}

/// A record that could not be serialised or parsed.
#[derive(Debug, Error)]
#[error("could not encode or parse log record")]
pub struct RecordError(#[from] serde_json::Error);

impl<B: Serialize> LogEnvelope<B> {
    /// Text of the record: one JSON object.
    pub fn encode(&self) -> Result<String, RecordError> {
        Ok(serde_json::to_string(self)?)
    }
}

impl<B: DeserializeOwned> LogEnvelope<B> {
    pub fn decode(text: &str) -> Result<Self, RecordError> {
        Ok(serde_json::from_str(text)?)
    }
}

const FIELDS: &[&str] = &["w", "i", "s", "b"];

impl<B: Serialize> Serialize for LogEnvelope<B> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut fields = serializer.serialize_struct("LogEnvelope", FIELDS.len())?;
        fields.serialize_field("w", &self.writer.process)?;
        fields.serialize_field("i", &self.writer.incarnation)?;
        fields.serialize_field("s", &self.sequence)?;
        fields.serialize_field("b", &self.body)?;
        fields.end()
    }
}

impl<'de, B: Deserialize<'de>> Deserialize<'de> for LogEnvelope<B> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(field_identifier, rename_all = "lowercase")]
        enum Field {
            W,
            I,
            S,
            B,
        }

        struct EnvelopeVisitor<B>(std::marker::PhantomData<B>);

        impl<'de, B: Deserialize<'de>> Visitor<'de> for EnvelopeVisitor<B> {
            type Value = LogEnvelope<B>;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a log record")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
                let (mut process, mut incarnation, mut sequence, mut body) =
                    (None, None, None, None);
                while let Some(field) = map.next_key()? {
                    match field {
                        Field::W => process = Some(map.next_value()?),
                        Field::I => incarnation = Some(map.next_value()?),
                        Field::S => sequence = Some(map.next_value()?),
                        Field::B => body = Some(map.next_value()?),
                    }
                }
                let missing = de::Error::missing_field;
                Ok(LogEnvelope {
                    writer: WriterId {
                        process: process.ok_or_else(|| missing("w"))?,
                        incarnation: incarnation.ok_or_else(|| missing("i"))?,
                    },
                    sequence: sequence.ok_or_else(|| missing("s"))?,
                    body: body.ok_or_else(|| missing("b"))?,
                })
            }
        }

        deserializer.deserialize_struct(
            "LogEnvelope",
            FIELDS,
            EnvelopeVisitor(std::marker::PhantomData),
        )
    }
}

/// Highest sequence number seen from each writer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriterTable {
    seen: IndexMap<String, (Sequence, Offset)>,
}

impl WriterTable {
    /// Returns whether the record is new; if so, stores its number and offset.
    pub fn admit(&mut self, writer: &WriterId, sequence: Sequence, offset: Offset) -> bool {
        let key = format!("{}/{}", writer.process, writer.incarnation);
        match self.seen.get_mut(&key) {
            Some((last, _)) if sequence <= *last => false,
            Some(last) => {
                *last = (sequence, offset);
                true
            }
            None => {
                self.evict_oldest();
                self.seen.insert(key, (sequence, offset));
                true
            }
        }
    }

    fn evict_oldest(&mut self) {
        if self.seen.len() < MAX_WRITERS {
            return;
        }
        let oldest = self.seen.iter().min_by_key(|(_, (_, offset))| *offset);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.seen.swap_remove(&key);
        }
    }
}
