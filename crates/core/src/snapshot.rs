//! Snapshots of folds, published so that state outlives the log's retention.

use serde::{Deserialize, Serialize};

use crate::fold::StreamFold;
use crate::unit::Offset;

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

/// Whether a snapshot is due: the newest one covers less than the older half
/// of what the log retains.
#[must_use]
pub fn is_due(newest_covers: Offset, start: Offset, next: Offset) -> bool {
    // Doubled, as half of an odd number of records would be rounded down.
    next > newest_covers && newest_covers.saturating_mul(2) < start.saturating_add(next)
}
