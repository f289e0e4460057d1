//! Bounded FIFO queue of the requests of one service that wait for an upstream.
//!
//! Refuses a request on arrival if it could not be answered in time.

use std::collections::VecDeque;

use cactusdoor_core::unit::{Millis, Moment};

use super::Micros;

/// Most rounds of requests at the upstreams for which a request may wait, including the
/// round that answers it. A longer queue does not increase throughput, only latency.
const MAX_ROUNDS: u64 = 2;

/// Why a request may not wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueRefusal {
    Full,
    /// The request could not be answered before its deadline.
    DeadlineTooShort,
}

/// Expected time until the answer of a request that joins behind `queued` others.
#[must_use]
pub fn expected_time(queued: usize, latency: Micros, concurrency: u32) -> Millis {
    let rounds = queued as u64 / u64::from(concurrency.max(1)) + 1;
    // Plus half a latency, the mean time until the next answer frees a place.
    (rounds * latency + latency / 2) / 1_000
}

/// Bounded queue of waiting requests.
#[derive(Debug)]
pub struct WaitQueue<T> {
    waiting: VecDeque<(Moment, T)>,
    max_length: usize,
}

impl<T> WaitQueue<T> {
    #[must_use]
    pub fn new(max_length: usize) -> Self {
        Self { waiting: VecDeque::new(), max_length }
    }

    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Checks whether a request with this deadline may join the queue.
    pub fn check(
        &self,
        now: Moment,
        deadline: Moment,
        latency: Micros,
        concurrency: u32,
    ) -> Result<(), QueueRefusal> {
        if self.waiting.len() >= self.max_length {
            return Err(QueueRefusal::Full);
        }
        let expected = expected_time(self.waiting.len(), latency, concurrency);
        if now.after(expected) > deadline {
            return Err(QueueRefusal::DeadlineTooShort);
        }
        if expected > (MAX_ROUNDS * latency + latency / 2) / 1_000 {
            return Err(QueueRefusal::Full);
        }
        Ok(())
    }

    pub fn push(&mut self, deadline: Moment, waiter: T) {
        self.waiting.push_back((deadline, waiter));
    }

    /// Takes the first request whose deadline has not passed, and drops those before it.
    pub fn pop(&mut self, now: Moment) -> Option<T> {
        while let Some((deadline, waiter)) = self.waiting.pop_front() {
            if now < deadline {
                return Some(waiter);
            }
        }
        None
    }
}
