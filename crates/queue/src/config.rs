//! Configuration of the queues and of the fleet, as the owner and the entries use it.

use std::collections::BTreeSet;
use std::sync::Arc;

use cactusdoor_core::unit::Millis;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::name::{DataCentre, QueueName, ServiceName};

/// Attempts of a task in a removed queue whose terms were not stored.
const DEFAULT_ATTEMPTS: u32 = 3;
/// Slack factor of a removed queue whose terms were not stored.
const DEFAULT_SLACK_FACTOR: f64 = 2.0;

/// How a queue's jobs are scheduled. Stored with each job, under the names written here.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueTerms {
    /// 0 is the highest priority.
    pub priority: u32,
    /// Most attempts of a task or gang; 0 for no limit.
    pub attempts: u32,
    /// Time budget of a job as a multiple of its critical path, at least 1.
    pub slack_factor: f64,
    /// Added to the multiplied critical path, ms.
    pub slack_base: Millis,
}

impl QueueTerms {
    /// Time budget of a job with a critical path of this length, ms.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "saturates, and is not negative"
    )]
    pub fn time_budget(&self, critical_path: Millis) -> Millis {
        let scaled = critical_path as f64 * self.slack_factor.max(1.0);
        (scaled as Millis).saturating_add(self.slack_base)
    }
}

impl Default for QueueTerms {
    /// Terms of a removed queue whose terms were not stored: lowest priority.
    fn default() -> Self {
        Self {
            priority: u32::MAX,
            attempts: DEFAULT_ATTEMPTS,
            slack_factor: DEFAULT_SLACK_FACTOR,
            slack_base: 0,
        }
    }
}

/// Configuration of one queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueConfig {
    pub name: QueueName,
    pub host: String,
    pub prefix: String,
    pub service: ServiceName,
    pub terms: QueueTerms,
    /// Time limit of a call, ms; 0 for none.
    pub timeout: Millis,
}

impl QueueConfig {
    /// A queue that is not configured, with the terms under which its job was accepted.
    #[must_use]
    pub fn of_removed(name: &QueueName, service: &ServiceName, terms: QueueTerms) -> Self {
        Self {
            name: name.clone(),
            host: String::new(),
            prefix: String::new(),
            service: service.clone(),
            terms,
            timeout: 0,
        }
    }
}

/// One version of the fleet's configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConfig {
    pub version: u64,
    pub queues: IndexMap<QueueName, Arc<QueueConfig>>,
    /// Largest body of a call, bytes; 0 for no limit.
    pub body_bytes: usize,
}

impl FleetConfig {
    /// The queue of `host` with the longest prefix that `path` begins with.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<QueueConfig>> {
        let matching = self.queues.values().filter(|queue| {
            queue.host.eq_ignore_ascii_case(host) && path.starts_with(&queue.prefix)
        });
        matching.max_by_key(|queue| queue.prefix.len())
    }
}

/// The operators' current configuration and the data centres taken out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorView {
    pub config: Option<FleetConfig>,
    /// Data centres taken out of service.
    pub taken_out: BTreeSet<DataCentre>,
}
