//! Decides which requests are sent to an upstream, which wait and which are refused.
//!
//! At most `slots` requests are in flight at the upstream. Others wait, up to the
//! number of connections that the upstream accepts. A request is refused without a
//! call of the upstream if its answer is expected after its deadline.

use std::collections::VecDeque;

use cactusdoor_core::unit::{Millis, Moment};
use cactusdoor_peer::answer::{CallRefusal, UpstreamLoad};

/// Weight of a new measurement in the mean latency, as a divisor.
const LATENCY_WEIGHT: u64 = 8;

/// Number of a request within one agent.
pub type RequestNumber = u64;

/// Outcome of offering a request to the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionResult {
    /// The request holds a slot and may be sent.
    Admitted,
    /// The request waits for a slot.
    Queued,
    Refused(CallRefusal),
}

#[derive(Clone, Copy, Debug)]
struct WaitingRequest {
    number: RequestNumber,
    deadline: Moment,
}

/// Outcome of a request's wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitResult {
    /// The request holds a slot and may be sent.
    Admitted(RequestNumber),
    /// The answer to the request is expected after its deadline.
    Refused(RequestNumber),
}

/// The running and waiting requests of one upstream.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    slots: u32,
    connections: u32,
    running: u32,
    waiting: VecDeque<WaitingRequest>,
    /// Mean latency in microseconds; 0 until the first answer.
    latency_us: u64,
}

impl AdmissionQueue {
    #[must_use]
    pub fn new(slots: u32, connections: u32) -> Self {
        Self { slots, connections, running: 0, waiting: VecDeque::new(), latency_us: 0 }
    }

    /// Applies newly announced limits.
    pub fn resize(&mut self, slots: u32, connections: u32) {
        self.slots = slots;
        self.connections = connections;
    }

    #[must_use]
    pub fn load(&self) -> UpstreamLoad {
        let queued = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        UpstreamLoad { in_flight: self.running, queued, slots: self.limit() }
    }

    #[must_use]
    pub fn latency_us(&self) -> u64 {
        self.latency_us
    }

    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running == 0 && self.waiting.is_empty()
    }

    /// Requests that may be in flight at the same time.
    fn limit(&self) -> u32 {
        self.slots.min(self.connections)
    }

    /// Admits, queues or refuses a request that needs its answer by `deadline`.
    pub fn offer(
        &mut self,
        now: Moment,
        number: RequestNumber,
        deadline: Moment,
    ) -> AdmissionResult {
        let load = self.load();
        if load.in_flight.saturating_add(load.queued) >= self.connections {
            return AdmissionResult::Refused(CallRefusal::QueueFull);
        }
        if !self.can_meet(now, deadline, self.waiting.len()) {
            return AdmissionResult::Refused(CallRefusal::DeadlineTooShort);
        }
        if self.running < self.limit() && self.waiting.is_empty() {
            self.running += 1;
            return AdmissionResult::Admitted;
        }
        self.waiting.push_back(WaitingRequest { number, deadline });
        AdmissionResult::Queued
    }

    /// Whether an answer is expected by `deadline` if `ahead` requests wait before it.
    fn can_meet(&self, now: Moment, deadline: Moment, ahead: usize) -> bool {
        if now >= deadline {
            return false;
        }
        // An idle upstream always gets a request. Otherwise the mean latency could stay
        // high for good after one slow phase, as nothing would be measured again.
        if self.running == 0 {
            return true;
        }
        let rounds = if self.running < self.limit() {
            0
        } else {
            (ahead as u64 + 1).div_ceil(u64::from(self.limit().max(1)))
        };
        let expected: Millis = self.latency_us.saturating_mul(rounds + 1) / 1_000;
        now.after(expected) <= deadline
    }

    /// Releases the slot of a request; `latency_us` if its latency was measured.
    pub fn release(&mut self, latency_us: Option<u64>) {
        self.running = self.running.saturating_sub(1);
        if let Some(latency) = latency_us {
            self.latency_us = if self.latency_us == 0 {
                latency
            } else {
                (self.latency_us * (LATENCY_WEIGHT - 1) + latency) / LATENCY_WEIGHT
            };
        }
    }

    /// Ends the wait of the first request, if it can be admitted or must be refused.
    pub fn end_wait(&mut self, now: Moment) -> Option<WaitResult> {
        let first = *self.waiting.front()?;
        // With a free slot the request would run at once, so only its own latency counts.
        let has_slot = self.running < self.limit();
        if now >= first.deadline || (has_slot && !self.can_meet(now, first.deadline, 0)) {
            self.waiting.pop_front();
            return Some(WaitResult::Refused(first.number));
        }
        if !has_slot {
            return None;
        }
        self.waiting.pop_front();
        self.running += 1;
        Some(WaitResult::Admitted(first.number))
    }

    /// Removes a waiting request; `false` if it is not waiting.
    pub fn withdraw(&mut self, number: RequestNumber) -> bool {
        let position = self.waiting.iter().position(|waiting| waiting.number == number);
        position.and_then(|position| self.waiting.remove(position)).is_some()
    }
}
