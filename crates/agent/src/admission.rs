//! Which requests go to an upstream, which wait, and which are refused early.
//!
//! At most `slots` requests are with the upstream; others wait, up to the number
//! of connections that the upstream accepts. A request whose deadline would
//! pass before its answer is refused before the upstream is called.

use std::collections::VecDeque;

use cactusdoor_core::unit::{Millis, Moment};
use cactusdoor_peer::answer::{CallRefusal, UpstreamLoad};

/// Weight of a new measurement in the mean latency, as a divisor.
const LATENCY_WEIGHT: u64 = 8;

/// Number of a request within one agent.
pub type Ticket = u64;

/// What becomes of an offered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It holds a slot.
    Admitted,
    /// It waits for a slot.
    Queued,
    Refused(CallRefusal),
}

#[derive(Clone, Copy, Debug)]
struct WaitingRequest {
    ticket: Ticket,
    deadline: Moment,
}

/// A waiting request whose turn has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It holds a slot.
    Admitted(Ticket),
    /// Its deadline can no longer be met.
    Refused(Ticket),
}

/// Requests of one upstream.
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

    /// Takes over newly announced figures.
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

    /// Requests that may be with the upstream at the same time.
    fn limit(&self) -> u32 {
        self.slots.min(self.connections)
    }

    /// Offers a request that needs its answer by `deadline`.
    pub fn offer(&mut self, now: Moment, ticket: Ticket, deadline: Moment) -> Offer {
        let load = self.load();
        if load.in_flight.saturating_add(load.queued) >= self.connections {
            return Offer::Refused(CallRefusal::QueueFull);
        }
        if !self.can_meet(now, deadline, self.waiting.len()) {
            return Offer::Refused(CallRefusal::DeadlineTooShort);
        }
        if self.running < self.limit() && self.waiting.is_empty() {
            self.running += 1;
            return Offer::Admitted;
        }
        self.waiting.push_back(WaitingRequest { ticket, deadline });
        Offer::Queued
    }

    /// Whether an answer is expected by `deadline` with `ahead` requests waiting before.
    fn can_meet(&self, now: Moment, deadline: Moment, ahead: usize) -> bool {
        if now >= deadline {
            return false;
        }
        // An idle upstream always gets a request, otherwise one slow phase could
        // keep the mean latency high for good.
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

    /// Frees the slot of a request; `latency_us` if it was answered.
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

    /// The next waiting request whose turn has come.
    pub fn next_turn(&mut self, now: Moment) -> Option<Turn> {
        let head = *self.waiting.front()?;
        // Its wait is over, so only its own run time counts.
        let runs = self.running < self.limit();
        if now >= head.deadline || (runs && !self.can_meet(now, head.deadline, 0)) {
            self.waiting.pop_front();
            return Some(Turn::Refused(head.ticket));
        }
        if !runs {
            return None;
        }
        self.waiting.pop_front();
        self.running += 1;
        Some(Turn::Admitted(head.ticket))
    }

    /// Withdraws a waiting request; `false` if it does not wait.
    pub fn withdraw(&mut self, ticket: Ticket) -> bool {
        let position = self.waiting.iter().position(|waiting| waiting.ticket == ticket);
        position.and_then(|position| self.waiting.remove(position)).is_some()
    }
}
