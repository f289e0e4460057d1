//! The fold of one log stream, kept by an actor that also appends to it.

mod actor;
mod handle;
mod snapshots;

pub use actor::StreamParts;
pub use handle::StreamHandle;

use cactusdoor_core::fold::{FoldedRecord, StreamFold};

/// A fold whose records and effects may cross actors.
pub trait EntryFold:
    StreamFold<Record: Send + Unpin, Effect: Send + Unpin> + Clone + Send + Unpin
{
}

impl<F> EntryFold for F where
    F: StreamFold<Record: Send + Unpin, Effect: Send + Unpin> + Clone + Send + Unpin
{
}

/// Called with each folded record, and with `None` after the fold was loaded.
pub type FoldHook<F> = Box<dyn FnMut(&F, Option<&FoldedRecord<<F as StreamFold>::Effect>>)>;
