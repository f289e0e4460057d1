//! One log stream: an actor reads its records into a fold, appends to the stream and
//! publishes snapshots.

mod actor;
mod handle;
mod snapshots;

pub use actor::StreamParts;
pub use handle::StreamHandle;

use cactusdoor_core::fold::{FoldedRecord, StreamFold};

/// A fold whose records and effects can be sent between actors.
pub trait EntryFold:
    StreamFold<Record: Send + Unpin, Effect: Send + Unpin> + Clone + Send + Unpin
{
}

impl<F> EntryFold for F where
    F: StreamFold<Record: Send + Unpin, Effect: Send + Unpin> + Clone + Send + Unpin
{
}

/// Called after each folded record, and with `None` after the fold was loaded.
pub type FoldHook<F> = Box<dyn FnMut(&F, Option<&FoldedRecord<<F as StreamFold>::Effect>>)>;
