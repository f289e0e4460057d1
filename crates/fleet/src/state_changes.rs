//! Changes of job states in an owner's term, as entries follow them.
//!
//! Entries name the position up to which they know the changes. An entry that starts late in
//! a term needs all of them, which may exceed a frame, so it gets them in pages.

use cactusdoor_queue::name::JobId;
use cactusdoor_queue::report::JobState;

/// Most changes of a page: a change takes less than 100 bytes, so a page is a fraction of a frame.
const MAX_PAGE: usize = 20_000;

/// A change of one job's state.
pub type StateChange = (JobId, JobState);

/// Published changes of a term, in order.
#[derive(Debug, Default)]
pub struct StateChanges {
    changes: Vec<StateChange>,
}

impl StateChanges {
    pub fn push(&mut self, change: StateChange) {
        self.changes.push(change);
    }

    /// Whether there are changes from a position on.
    #[must_use]
    pub fn has_after(&self, from: usize) -> bool {
        self.changes.len() > from
    }

    /// The changes from a position on, at most a page, and the position after them.
    #[must_use]
    pub fn page(&self, from: usize) -> (&[StateChange], usize) {
        let from = from.min(self.changes.len());
        let end = self.changes.len().min(from + MAX_PAGE);
        (&self.changes[from..end], end)
    }
}
