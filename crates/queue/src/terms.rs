//! The configuration as the owner and the entries use it.

use std::collections::BTreeSet;
use std::sync::Arc;

use cactusdoor_core::unit::Millis;
use indexmap::IndexMap;

use crate::name::{DataCentre, QueueName, ServiceName};

/// Attempts of a task in a queue that the configuration does not name any more.
const DEFAULT_ATTEMPTS: u32 = 3;
/// Stretch of a queue that the configuration does not name any more.
const DEFAULT_STRETCH: f64 = 2.0;

/// What the operators' list says of one queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueTerms {
    pub name: QueueName,
    pub host: String,
    pub prefix: String,
    pub service: ServiceName,
    /// 0 comes first.
    pub priority: u32,
    pub attempts: u32,
    /// A job should take at most this many times its longest chain of work.
    pub stretch: f64,
    /// Added to the stretched chain of work.
    pub aim: Millis,
    /// Longest time that a call may take; 0 for none.
    pub timeout: Millis,
}

impl QueueTerms {
    /// Terms of a queue that is no longer configured.
    #[must_use]
    pub fn of_removed(name: &QueueName, service: &ServiceName) -> Self {
        Self {
            name: name.clone(),
            host: String::new(),
            prefix: String::new(),
            service: service.clone(),
            priority: u32::MAX,
            attempts: DEFAULT_ATTEMPTS,
            stretch: DEFAULT_STRETCH,
            aim: 0,
            timeout: 0,
        }
    }

    /// Time that work of a length is worth waiting for.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "saturates, and is not negative"
    )]
    pub fn patience(&self, chain: Millis) -> Millis {
        let stretched = chain as f64 * self.stretch.max(1.0);
        (stretched as Millis).saturating_add(self.aim)
    }
}

/// One version of the operators' list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigList {
    pub version: u64,
    pub queues: IndexMap<QueueName, Arc<QueueTerms>>,
    /// Largest body of a call; 0 for no bound.
    pub body_bytes: usize,
}

impl ConfigList {
    /// The queue with the longest prefix that `path` begins with.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<QueueTerms>> {
        let matching = self.queues.values().filter(|queue| {
            queue.host.eq_ignore_ascii_case(host) && path.starts_with(&queue.prefix)
        });
        matching.max_by_key(|queue| queue.prefix.len())
    }
}

/// All that operators have said.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorView {
    pub config: Option<ConfigList>,
    /// Data centres that are out of service.
    pub taken_out: BTreeSet<DataCentre>,
}
