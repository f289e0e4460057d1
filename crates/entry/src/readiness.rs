//! Readiness of this process, and counts of the work in progress.
//!
//! The process is ready while no part is missing and it is not draining. The parts
//! are the streams that it has to load.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cactusdoor_node::monitor::ProcessMonitor;

/// Time between checks of the counts while the process stops.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

struct SharedState {
    monitor: ProcessMonitor,
    /// Missing parts and the reasons.
    missing: Mutex<BTreeMap<String, String>>,
    draining: AtomicBool,
    in_progress: AtomicUsize,
    background: AtomicUsize,
}

/// Shared readiness and counts of work in progress.
#[derive(Clone)]
pub struct ReadinessState {
    state: Arc<SharedState>,
}

impl ReadinessState {
    #[must_use]
    pub fn open(monitor: ProcessMonitor) -> Self {
        let state = SharedState {
            monitor,
            missing: Mutex::default(),
            draining: AtomicBool::new(false),
            in_progress: AtomicUsize::new(0),
            background: AtomicUsize::new(0),
        };
        Self { state: Arc::new(state) }
    }

    /// Records that `part` is missing, and why.
    pub fn set_missing(&self, part: &str, reason: impl Into<String>) {
        self.update(|missing| {
            missing.insert(part.to_owned(), reason.into());
        });
    }

    /// Records that `part` is available.
    pub fn set_available(&self, part: &str) {
        self.update(|missing| {
            missing.remove(part);
        });
    }

    fn update(&self, change: impl FnOnce(&mut BTreeMap<String, String>)) {
        let mut missing = self.state.missing.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut missing);
        self.state.monitor.set_ready(missing.is_empty() && !self.is_draining());
    }

    /// Refuses new work from now on.
    pub fn drain(&self) {
        self.state.draining.store(true, Ordering::SeqCst);
        self.update(|_| ());
    }

    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.state.draining.load(Ordering::SeqCst)
    }

    /// Counts a request until the guard is dropped.
    #[must_use]
    pub fn track_request(&self) -> WorkGuard {
        WorkGuard::open(self, |state| &state.in_progress)
    }

    /// Counts work that may outlast its request, until the guard is dropped.
    #[must_use]
    pub fn track_background(&self) -> WorkGuard {
        WorkGuard::open(self, |state| &state.background)
    }

    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.state.in_progress.load(Ordering::SeqCst)
    }

    /// Waits without limit until no request is in progress, then at most `timeout`
    /// for work in the background.
    pub async fn wait_finished(&self, timeout: Duration) {
        while self.in_progress() > 0 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let background = async {
            while self.state.background.load(Ordering::SeqCst) > 0 {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        if tokio::time::timeout(timeout, background).await.is_err() {
            log::warn!("stopping before all outcomes in the background are settled");
        }
    }
}

type Counter = fn(&SharedState) -> &AtomicUsize;

/// Counts one piece of work as in progress until dropped.
pub struct WorkGuard {
    readiness: ReadinessState,
    counter: Counter,
}

impl WorkGuard {
    fn open(readiness: &ReadinessState, counter: Counter) -> Self {
        counter(&readiness.state).fetch_add(1, Ordering::SeqCst);
        Self { readiness: readiness.clone(), counter }
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        (self.counter)(&self.readiness.state).fetch_sub(1, Ordering::SeqCst);
    }
}
