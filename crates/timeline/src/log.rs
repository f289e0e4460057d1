//! Ring buffer of the latest events of one process.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use cactusdoor_core::name::ProcessName;
use serde::{Deserialize, Serialize};

use crate::event::{EventKind, TimelineEvent};
use crate::hybrid::{HybridClock, HybridTime};

/// Most events that a process keeps: about 4 MiB at 250 bytes each.
pub const MAX_EVENTS: usize = 16_384;

/// Events from a requested number on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventPage {
    /// Number of the oldest event that is kept.
    pub first: u64,
    /// Number of the next event to be recorded.
    pub next: u64,
    pub events: Vec<TimelineEvent>,
}

struct EventRing {
    clock: HybridClock,
    events: VecDeque<TimelineEvent>,
    next: u64,
}

/// Shared handle to the events and the hybrid clock of a process.
#[derive(Clone)]
pub struct EventLog {
    process: ProcessName,
    ring: Arc<Mutex<EventRing>>,
}

impl EventLog {
    #[must_use]
    pub fn open(process: ProcessName) -> Self {
        let ring = EventRing { clock: HybridClock::default(), events: VecDeque::new(), next: 1 };
        Self { process, ring: Arc::new(Mutex::new(ring)) }
    }

    fn ring(&self) -> MutexGuard<'_, EventRing> {
        self.ring.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an event with the current time.
    pub fn record(&self, kind: EventKind) {
        let mut ring = self.ring();
        let at = ring.clock.tick(wall_ms());
        let number = ring.next;
        ring.next += 1;
        if ring.events.len() == MAX_EVENTS {
            ring.events.pop_front();
        }
        ring.events.push_back(TimelineEvent { at, process: self.process.clone(), number, kind });
    }

    /// Timestamp for a message to be sent.
    #[must_use]
    pub fn stamp(&self) -> HybridTime {
        self.ring().clock.tick(wall_ms())
    }

    /// Advances the clock to the timestamp of a received message.
    pub fn observe(&self, remote: HybridTime) {
        self.ring().clock.observe(remote, wall_ms());
    }

    /// At most `max` events from `number` on.
    #[must_use]
    pub fn page(&self, number: u64, max: usize) -> EventPage {
        let ring = self.ring();
        let first = ring.next - ring.events.len() as u64;
        let skip = usize::try_from(number.saturating_sub(first)).unwrap_or(usize::MAX);
        let events = ring.events.iter().skip(skip).take(max).cloned().collect();
        EventPage { first, next: ring.next, events }
    }
}

fn wall_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
