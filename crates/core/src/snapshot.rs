//! Snapshots of folds, published so that state outlives the log's retention.

use serde::{Deserialize, Serialize};

use crate::fold::StreamFold;
use crate::unit::{Millis, Moment, Offset};

/// State of a fold with the offset it covers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FoldSnapshot<F> {
    /// First offset that the state does not include.
    pub covers: Offset,
    pub fold: F,
}

impl<F: StreamFold> FoldSnapshot<F> {
    /// Replaces `fold` by the snapshot's state; `false` if that is not ahead.
    pub fn advance(self, fold: &mut F) -> bool {
        let ahead = self.fold.next() > fold.next();
        if ahead {
            *fold = self.fold;
        }
        ahead
    }
}

/// Age at which a snapshot is published anew although it covers enough. It is a
/// record itself, and on a quiet stream it would be dropped by retention with
/// nothing to replace it. The log must retain records for twice this time.
pub const SNAPSHOT_LIFETIME: Millis = 600_000;

/// What a process knows of the newest snapshot of a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SnapshotWatch {
    covers: Offset,
    published: Moment,
}

impl SnapshotWatch {
    /// A snapshot that was loaded at `now` and may be of any age.
    #[must_use]
    pub fn loaded(covers: Offset, now: Moment) -> Self {
        Self { covers, published: now.before(SNAPSHOT_LIFETIME / 2) }
    }

    /// A snapshot that was found in the stream at some time.
    pub fn found(&mut self, covers: Offset) {
        self.covers = self.covers.max(covers);
    }

    /// A snapshot that this process published at `now`.
    pub fn published(&mut self, covers: Offset, now: Moment) {
        self.found(covers);
        self.published = now;
    }

    /// Whether a snapshot is due for a stream that retains records from `start`
    /// and was folded up to `next`.
    #[must_use]
    pub fn is_due(&self, start: Offset, next: Offset, now: Moment) -> bool {
        let old = now.since(self.published) >= SNAPSHOT_LIFETIME;
        next > 0 && (old || is_due(self.covers, start, next))
    }
}

/// Whether a snapshot is due: the newest one covers less than the older half
/// of what the log retains.
#[must_use]
pub fn is_due(newest_covers: Offset, start: Offset, next: Offset) -> bool {
    // Doubled, as half of an odd number of records would be rounded down.
    next > newest_covers && newest_covers.saturating_mul(2) < start.saturating_add(next)
}
