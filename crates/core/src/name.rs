//! Validated names, stored as shared immutable strings.
//!
//! Every record and message contains several names, so the serde visitors are written
//! by hand: they turn a borrowed string into a shared one without an extra copy.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::de::{self, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use thiserror::Error;

/// Longest accepted name in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Why a text is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NameError {
    #[error("name is empty")]
    Empty,
    #[error("name has {0} bytes, more than {MAX_NAME_BYTES}")]
    TooLong(usize),
    #[error("name contains {0:?}; letters, digits and \"-_.:@\" are allowed")]
    Character(char),
}

fn check(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong(text.len()));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:@".contains(c);
    match text.chars().find(|&c| !allowed(c)) {
        Some(c) => Err(NameError::Character(c)),
        None => Ok(()),
    }
}

macro_rules! shared_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Makes a name of `text`; fails if it is empty, too long or has other
            /// characters than ASCII letters, digits and `-_.:@`.
            pub fn new(text: &str) -> Result<Self, NameError> {
                check(text).map(|()| Self(Arc::from(text)))
            }

            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::str::FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&*self.0, f)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                struct NameVisitor;

                impl Visitor<'_> for NameVisitor {
                    type Value = $name;

                    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                        f.write_str(concat!("a ", stringify!($name)))
                    }

                    fn visit_str<E: de::Error>(self, text: &str) -> Result<$name, E> {
                        $name::new(text).map_err(E::custom)
                    }
                }

                deserializer.deserialize_str(NameVisitor)
            }
        }
    };
}

shared_name!(
    /// A VM, and the agent and worker on it.
    VmName
);
shared_name!(
    /// A data centre.
    DataCentre
);
shared_name!(
    /// A rack within a data centre.
    RackName
);
shared_name!(
    /// A plan: a customer of the platform.
    PlanName
);
shared_name!(
    /// A team that owns plans.
    TeamName
);
shared_name!(
    /// A caller's idempotency key.
    IdempotencyKey
);
shared_name!(
    /// A service that upstreams offer.
    ServiceName
);
shared_name!(
    /// A scheduling shard, `<data centre>-<index>`.
    ShardName
);
shared_name!(
    /// A process of the system.
    ProcessName
);
shared_name!(
    /// A kind of task, such as `transcription`; tasks of one kind behave alike.
    TaskKind
);
shared_name!(
    /// A checkpoint that the platform stores.
    CheckpointName
);
shared_name!(
    /// A stream of the log service.
    StreamName
);
