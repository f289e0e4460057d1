//! Queue of simulated events, in order of time and then of insertion.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Microseconds since the start of an experiment.
pub type Micros = u64;

pub const MILLISECOND: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

struct TimedEvent<E> {
    at: Micros,
    sequence: u64,
    event: E,
}

impl<E> PartialEq for TimedEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl<E> Eq for TimedEvent<E> {}

impl<E> PartialOrd for TimedEvent<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for TimedEvent<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Future events and the current time.
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<TimedEvent<E>>>,
    now: Micros,
    last_sequence: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), now: 0, last_sequence: 0 }
    }
}

impl<E> EventQueue<E> {
    #[must_use]
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Schedules `event` at the time `at`, or now if `at` has passed.
    pub fn schedule_at(&mut self, at: Micros, event: E) {
        self.last_sequence += 1;
        let at = at.max(self.now);
        self.heap.push(Reverse(TimedEvent { at, sequence: self.last_sequence, event }));
    }

    pub fn schedule_after(&mut self, delay: Micros, event: E) {
        self.schedule_at(self.now + delay, event);
    }

    /// Advances the time to the next event and returns it.
    pub fn next_event(&mut self) -> Option<E> {
        let Reverse(timed) = self.heap.pop()?;
        self.now = timed.at;
        Some(timed.event)
    }
}
