//! Snapshots of folds. They preserve state whose records the log no longer retains.
//!
//! This module decides when a new snapshot is due; the caller publishes and loads it.

use serde::{Deserialize, Serialize};

use crate::fold::StreamFold;
use crate::unit::{Millis, Moment, Offset};

/// State of a fold and the offset up to which it includes the records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FoldSnapshot<F> {
    /// Offset of the first record that the state does not include.
    pub covers: Offset,
    pub fold: F,
}

impl<F: StreamFold> FoldSnapshot<F> {
    /// Replaces `fold` by the snapshot's state; `false` if that is no newer.
    pub fn advance(self, fold: &mut F) -> bool {
        let ahead = self.fold.next() > fold.next();
        if ahead {
            *fold = self.fold;
        }
        ahead
    }
}

/// Age at which a snapshot is published again even if it covers enough records.
///
/// A snapshot is a record too: on a stream without traffic the log would drop the only
/// one. The log must therefore retain records for twice this time.
pub const SNAPSHOT_LIFETIME: Millis = 600_000;

/// Offset and age of the newest snapshot of a stream, as far as a process knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SnapshotTracker {
    covers: Offset,
    published: Moment,
}

impl SnapshotTracker {
    /// Starts from a snapshot loaded at `now`. Its age is unknown, so it counts as half
    /// expired.
    #[must_use]
    pub fn loaded(covers: Offset, now: Moment) -> Self {
        Self { covers, published: now.before(SNAPSHOT_LIFETIME / 2) }
    }

    /// Records a snapshot that was found in the stream; its age is unknown.
    pub fn found(&mut self, covers: Offset) {
        self.covers = self.covers.max(covers);
    }

    /// Records a snapshot that this process published at `now`.
    pub fn published(&mut self, covers: Offset, now: Moment) {
        self.found(covers);
        self.published = now;
    }

    /// Whether a snapshot is due for a stream that retains records from `start` and is
    /// folded up to `next`.
    #[must_use]
    pub fn is_due(&self, start: Offset, next: Offset, now: Moment) -> bool {
        let old = now.since(self.published) >= SNAPSHOT_LIFETIME;
        next > 0 && (old || is_due(self.covers, start, next))
    }
}

/// Whether the newest snapshot covers less than the older half of the records that
/// the log retains, so that a new one is due.
#[must_use]
pub fn is_due(newest_covers: Offset, start: Offset, next: Offset) -> bool {
    // Doubles both sides, because half of an odd number would be rounded down.
    next > newest_covers && newest_covers.saturating_mul(2) < start.saturating_add(next)
}
