//! Histories that the stand-ins record for checks, in memory and optionally as
//! JSON lines in a file.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use serde::Serialize;

/// Unix time in microseconds.
pub type UnixMicros = u64;

/// Current time; never goes back within a process, even if the wall clock is set.
#[must_use]
pub fn unix_us() -> UnixMicros {
    static START: OnceLock<(Instant, UnixMicros)> = OnceLock::new();
    let (start, unix) = START.get_or_init(|| {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        (Instant::now(), u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
    });
    unix.saturating_add(u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX))
}

/// Locks `mutex` even if a thread panicked while it held the lock, so that a
/// stand-in still answers after a failed assertion.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Records in the order of their events.
pub struct HistoryLog<T> {
    contents: Mutex<LogContents<T>>,
}

struct LogContents<T> {
    records: Vec<T>,
    file: Option<File>,
}

impl<T: Serialize + Clone> HistoryLog<T> {
    /// Opens an empty history; records are also appended to `file` if given. Fails if
    /// the file cannot be opened.
    pub fn open(file: Option<&Path>) -> io::Result<Self> {
        let open = |path| OpenOptions::new().create(true).append(true).open(path);
        let file = file.map(open).transpose()?;
        Ok(Self { contents: Mutex::new(LogContents { records: Vec::new(), file }) })
    }

    pub fn push(&self, record: T) {
        let mut contents = lock(&self.contents);
        if let Some(file) = &mut contents.file {
            let written = serde_json::to_string(&record)
                .map_err(io::Error::other)
                .and_then(|line| file.write_all(format!("{line}\n").as_bytes()));
            if let Err(error) = written {
                log::error!("could not write a record to the history file: {error}");
            }
        }
        contents.records.push(record);
    }

    #[must_use]
    pub fn records(&self) -> Vec<T> {
        lock(&self.contents).records.clone()
    }
}
