//! Counts and logs what was rejected because of a limit.

use std::net::IpAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use prometheus::IntCounterVec;

use crate::decision::DecisionEvent;
use crate::decision_log::DecisionLog;
use crate::limits::RejectCause;

/// Least time between two log lines of one cause.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Rejections of one cause since its last log line.
#[derive(Debug, Default)]
struct CauseUsage {
    logged: Option<Instant>,
    count: u64,
}

/// Records rejections; cheap to clone.
#[derive(Clone)]
pub struct Rejections {
    counter: IntCounterVec,
    log: DecisionLog,
    usage: Arc<Mutex<IndexMap<&'static str, CauseUsage>>>,
}

impl Rejections {
    #[must_use]
    pub fn new(counter: IntCounterVec, log: DecisionLog) -> Self {
        Self { counter, log, usage: Arc::default() }
    }

    pub fn record(&self, cause: RejectCause, peer: IpAddr) {
        self.counter.with_label_values(&[cause.label()]).inc();
        let mut usages = self.usage.lock().unwrap_or_else(PoisonError::into_inner);
        let usage = usages.entry(cause.label()).or_default();
        usage.count += 1;
        let now = Instant::now();
        if usage.logged.is_some_and(|logged| now < logged + LOG_INTERVAL) {
            return;
        }
        usage.logged = Some(now);
        let count = std::mem::take(&mut usage.count);
        drop(usages);
        self.log.record(DecisionEvent::ConnectionRejected { cause, count, peer });
    }
}
