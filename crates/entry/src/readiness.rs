//! What this process still lacks before it serves, and what it is serving.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cactusdoor_node::monitor::ProcessMonitor;

const POLL: Duration = Duration::from_millis(10);

struct BoardState {
    monitor: ProcessMonitor,
    lacking: Mutex<BTreeMap<String, String>>,
    draining: AtomicBool,
    in_progress: AtomicUsize,
    background: AtomicUsize,
}

/// Shared readiness of readiness and work in progress.
#[derive(Clone)]
pub struct ReadinessState {
    state: Arc<BoardState>,
}

impl ReadinessState {
    #[must_use]
    pub fn open(monitor: ProcessMonitor) -> Self {
        let state = BoardState {
            monitor,
            lacking: Mutex::default(),
            draining: AtomicBool::new(false),
            in_progress: AtomicUsize::new(0),
            background: AtomicUsize::new(0),
        };
        Self { state: Arc::new(state) }
    }

    /// Records that `part` is not there yet.
    pub fn lack(&self, part: &str, reason: impl Into<String>) {
        self.edit(|lacking| {
            lacking.insert(part.to_owned(), reason.into());
        });
    }

    /// Records that `part` is there.
    pub fn have(&self, part: &str) {
        self.edit(|lacking| {
            lacking.remove(part);
        });
    }

    fn edit(&self, change: impl FnOnce(&mut BTreeMap<String, String>)) {
        let mut lacking = self.state.lacking.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut lacking);
        self.state.monitor.set_ready(lacking.is_empty() && !self.is_draining());
    }

    /// Refuses new work from now on.
    pub fn drain(&self) {
        self.state.draining.store(true, Ordering::SeqCst);
        self.edit(|_| ());
    }

    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.state.draining.load(Ordering::SeqCst)
    }

    /// Counts a request until the guard is dropped.
    #[must_use]
    pub fn work(&self) -> WorkGuard {
        WorkGuard::open(self, |state| &state.in_progress)
    }

    /// Counts work that goes on after its caller was answered.
    #[must_use]
    pub fn background(&self) -> WorkGuard {
        WorkGuard::open(self, |state| &state.background)
    }

    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.state.in_progress.load(Ordering::SeqCst)
    }

    /// Waits until no request is in progress, and at most `patience` longer for
    /// what goes on in the background.
    pub async fn finished(&self, patience: Duration) {
        while self.in_progress() > 0 {
            tokio::time::sleep(POLL).await;
        }
        let background = async {
            while self.state.background.load(Ordering::SeqCst) > 0 {
                tokio::time::sleep(POLL).await;
            }
        };
        if tokio::time::timeout(patience, background).await.is_err() {
            log::warn!("stopping while outcomes are being settled");
        }
    }
}

type Counter = fn(&BoardState) -> &AtomicUsize;

/// A piece of work in progress.
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
