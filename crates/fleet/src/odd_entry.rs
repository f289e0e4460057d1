//! Warnings about entries of other writers that are ignored.
//!
//! The same entry may be read again with every poll, and may hold megabytes of text: each
//! source is logged at a bounded rate, and each cause is cut.

use std::fmt::Display;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use indexmap::IndexMap;

/// Time between two warnings about one source.
const WARNING_INTERVAL: Duration = Duration::from_secs(10);
/// Most characters of a cause.
const MAX_CAUSE_CHARS: usize = 200;

/// Time of the newest warning about a source, and the number of entries ignored since.
static SOURCES: Mutex<Option<IndexMap<&'static str, (Instant, u64)>>> = Mutex::new(None);

/// Logs that an entry of `source` is ignored, unless such an entry was logged recently.
pub fn warn(source: &'static str, cause: impl Display) {
    let Some(others) = spend(source, Instant::now()) else { return };
    let cause = cause.to_string();
    let cut = cause.char_indices().nth(MAX_CAUSE_CHARS).map_or(cause.len(), |(at, _)| at);
    log::warn!("entry of {source} is ignored: {} ({others} others since)", &cause[..cut]);
}

/// Number of entries since the last warning, if another one is due.
fn spend(source: &'static str, now: Instant) -> Option<u64> {
    let mut sources = SOURCES.lock().unwrap_or_else(PoisonError::into_inner);
    let sources = sources.get_or_insert_with(IndexMap::new);
    let Some((warned, others)) = sources.get_mut(source) else {
        sources.insert(source, (now, 0));
        return Some(0);
    };
    if now.saturating_duration_since(*warned) < WARNING_INTERVAL {
        *others += 1;
        return None;
    }
    *warned = now;
    Some(std::mem::take(others))
}
