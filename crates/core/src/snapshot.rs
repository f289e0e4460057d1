//! Snapshots of folds, published so that state outlives the log's retention.

use serde::{Deserialize, Serialize};

use crate::unit::Offset;

/// State of a fold with the offset it covers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FoldSnapshot<F> {
    /// First offset that the state does not include.
    pub covers: Offset,
    pub fold: F,
}

/// Whether a snapshot is due: the newest one covers less than the older half
/// of what the log retains.
#[must_use]
pub fn is_due(newest_covers: Offset, start: Offset, next: Offset) -> bool {
    next > newest_covers && newest_covers < start + (next - start.min(next)) / 2
}
