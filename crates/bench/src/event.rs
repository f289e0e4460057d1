//! Queue of timed events, in order of time and then of insertion.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Microseconds since the start of an experiment.
pub type Micros = u64;

pub const MILLISECOND: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

struct TimedEvent<E> {
    at: Micros,
    number: u64,
    event: E,
}

impl<E> PartialEq for TimedEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
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
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Events to come.
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<TimedEvent<E>>>,
    now: Micros,
    number: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), now: 0, number: 0 }
    }
}

impl<E> EventQueue<E> {
    #[must_use]
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Schedules `event`; a time in the past means now.
    pub fn at(&mut self, at: Micros, event: E) {
        self.number += 1;
        let at = at.max(self.now);
        self.heap.push(Reverse(TimedEvent { at, number: self.number, event }));
    }

    pub fn after(&mut self, delay: Micros, event: E) {
        self.at(self.now + delay, event);
    }

    /// Advances to the next event.
    pub fn next_event(&mut self) -> Option<E> {
        let Reverse(timed) = self.heap.pop()?;
        self.now = timed.at;
        Some(timed.event)
    }
}
