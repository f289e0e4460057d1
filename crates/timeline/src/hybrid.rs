//! Hybrid logical clock: wall time plus a counter that preserves causal order.

use serde::{Deserialize, Serialize};

/// A point in causal order, close to wall time.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HybridTime {
    /// Unix milliseconds.
    pub wall_ms: u64,
    /// Orders events with the same `wall_ms`.
    pub counter: u32,
}

/// Hybrid logical clock of one process; its timestamps strictly increase.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: HybridTime,
}

impl HybridClock {
    /// Timestamp for a local event or a message to be sent.
    pub fn tick(&mut self, wall_ms: u64) -> HybridTime {
        self.last = if wall_ms > self.last.wall_ms {
            HybridTime { wall_ms, counter: 0 }
        } else {
            HybridTime { counter: self.last.counter.saturating_add(1), ..self.last }
        };
        self.last
    }

    /// Timestamp for the receipt of a message that was sent at `remote`.
    pub fn observe(&mut self, remote: HybridTime, wall_ms: u64) -> HybridTime {
        self.last = self.last.max(remote);
        self.tick(wall_ms)
    }
}
