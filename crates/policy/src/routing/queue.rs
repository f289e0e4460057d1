//! Requests of a service that wait for room, in order of arrival.

use std::collections::VecDeque;

use cactusdoor_core::unit::{Millis, Moment};

use super::Micros;

/// Rounds of requests at the upstreams, its own included, that a request may
/// wait for. A longer queue serves no more requests, it only makes them late.
const MAX_ROUNDS: u64 = 2;

/// Why a request may not wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueRefusal {
    Full,
    /// Its turn would come too late.
    DeadlineTooShort,
}

/// Time that a request which joins behind `queued` others takes until its answer.
#[must_use]
pub fn expected_time(queued: usize, latency: Micros, concurrency: u32) -> Millis {
    let rounds = queued as u64 / u64::from(concurrency.max(1)) + 1;
    // Half a latency on average until the next answer makes room.
    (rounds * latency + latency / 2) / 1_000
}

/// Bounded queue of waiting requests.
#[derive(Debug)]
pub struct WaitQueue<T> {
    waiting: VecDeque<(Moment, T)>,
    bound: usize,
}

impl<T> WaitQueue<T> {
    #[must_use]
    pub fn new(bound: usize) -> Self {
        Self { waiting: VecDeque::new(), bound }
    }

    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether a request with this deadline may join.
    pub fn check(
        &self,
        now: Moment,
        deadline: Moment,
        latency: Micros,
        concurrency: u32,
    ) -> Result<(), QueueRefusal> {
        if self.waiting.len() >= self.bound {
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

    /// The next request whose deadline has not passed.
    pub fn pop(&mut self, now: Moment) -> Option<T> {
        while let Some((deadline, waiter)) = self.waiting.pop_front() {
            if now < deadline {
                return Some(waiter);
            }
        }
        None
    }
}
