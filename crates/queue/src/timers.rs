//! Timers in the order in which they fire.
//!
//! The next one is read off, not searched. A timer only tells what to look at again, so one
//! that is no longer needed does no harm.

use std::collections::BTreeSet;

use cactusdoor_core::unit::Millis;

use crate::name::{AgentName, JobId};

/// Timer on the steady clock.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SteadyTimer {
    /// The job waits no longer for less busy workers.
    Idle(JobId),
    /// The retry delay of a task of this occurrence, or its time away from a worker, is over.
    Retry(JobId, u32),
    /// The quarantine of the agent's worker is over.
    Quarantine(AgentName),
    /// Memory of the agent's worker is no longer kept for a step.
    Hold(AgentName),
}

/// Timer on the time of day.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DayTimer {
    /// An occurrence of the job is due.
    Due(JobId),
    /// This occurrence can no longer meet its deadline.
    Late(JobId, u32),
}

/// Timers of one clock, ms.
#[derive(Debug)]
pub struct TimerQueue<T> {
    timers: BTreeSet<(Millis, T)>,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> Self {
        Self { timers: BTreeSet::new() }
    }
}

impl<T: Ord + Clone> TimerQueue<T> {
    pub fn set(&mut self, at: Millis, timer: T) {
        self.timers.insert((at, timer));
    }

    pub fn cancel(&mut self, at: Millis, timer: T) {
        self.timers.remove(&(at, timer));
    }

    pub fn clear(&mut self) {
        self.timers.clear();
    }

    /// When the next timer fires.
    #[must_use]
    pub fn next(&self) -> Option<Millis> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Removes and returns a timer that has fired.
    pub fn take_due(&mut self, now: Millis) -> Option<T> {
        if self.next()? > now {
            return None;
        }
        self.timers.pop_first().map(|(_, timer)| timer)
    }
}
