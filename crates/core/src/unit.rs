//! Aliases for units, and points in time.
//!
//! A [`Moment`] is a point on the monotonic clock of one process. It must not be
//! sent to another process, because clocks of different VMs are not synchronised;
//! messages contain ages and remaining durations instead.

use serde::{Deserialize, Serialize};

/// Thousandths of a processor.
pub type Millicores = u64;
/// Memory in MiB.
pub type Mebibytes = u64;
/// Whole accelerators.
pub type Accelerators = u32;
/// Position of a record in a log stream.
pub type Offset = u64;
/// Number of an owner's term in a shard, starting at 1; 0 stands for no owner.
pub type Epoch = u64;
/// Number of accepted configuration changes.
pub type Revision = u64;
/// Duration, or Unix time, in milliseconds.
pub type Millis = u64;
/// Fencing token of a task: the offset of its placement record.
pub type Token = Offset;
/// Random number drawn when a process starts.
pub type Incarnation = u64;
/// Number of a record among those of its writer's incarnation, starting at 1.
pub type Sequence = u64;

/// Time on the monotonic clock of this process, in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Moment(pub Millis);

impl Moment {
    /// The moment `millis` later.
    #[must_use]
    pub fn after(self, millis: Millis) -> Self {
        Self(self.0.saturating_add(millis))
    }

    /// The moment `millis` earlier.
    #[must_use]
    pub fn before(self, millis: Millis) -> Self {
        Self(self.0.saturating_sub(millis))
    }

    /// Milliseconds since `earlier`; 0 if `earlier` is later than `self`.
    #[must_use]
    pub fn since(self, earlier: Self) -> Millis {
        self.0.saturating_sub(earlier.0)
    }
}
