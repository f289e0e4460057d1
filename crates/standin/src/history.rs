//! Records that checkers read: in memory, and as JSON lines in a file if wanted.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use serde::Serialize;

/// Unix time in microseconds.
pub type UnixMicros = u64;

/// Now; never runs backwards within a process, even if the wall clock is set.
#[must_use]
pub fn unix_us() -> UnixMicros {
    static START: OnceLock<(Instant, UnixMicros)> = OnceLock::new();
    let (start, unix) = START.get_or_init(|| {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        (Instant::now(), u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
    });
    unix.saturating_add(u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX))
}

/// Locks `mutex` even if a thread panicked while it held the lock: a stand-in
/// must go on answering when one test assertion failed.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Records in the order in which they happened.
pub struct HistoryLog<T> {
    inner: Mutex<Inner<T>>,
}

struct Inner<T> {
    records: Vec<T>,
    file: Option<File>,
}

impl<T: Serialize + Clone> HistoryLog<T> {
    /// Appends to `file` if one is given.
    pub fn open(file: Option<&Path>) -> io::Result<Self> {
        let open = |path| OpenOptions::new().create(true).append(true).open(path);
        let file = file.map(open).transpose()?;
        Ok(Self { inner: Mutex::new(Inner { records: Vec::new(), file }) })
    }

    pub fn push(&self, record: T) {
        let mut inner = lock(&self.inner);
        if let Some(file) = &mut inner.file {
            let written = serde_json::to_string(&record)
                .map_err(io::Error::other)
                .and_then(|line| file.write_all(format!("{line}\n").as_bytes()));
            if let Err(error) = written {
                log::error!("could not write history: {error}");
            }
        }
        inner.records.push(record);
    }

    #[must_use]
    pub fn records(&self) -> Vec<T> {
        lock(&self.inner).records.clone()
    }
}
