//! Merges the events of several processes into causal order.

use std::collections::{BTreeMap, HashSet};

use cactusdoor_core::name::ProcessName;

use crate::event::TimelineEvent;
use crate::hybrid::HybridTime;

/// Sort key of events: hybrid time, then process and number.
type EventOrder = (HybridTime, ProcessName, u64);

/// Events that have been fetched and not returned yet.
///
/// Each event is returned once, even if its page is fetched repeatedly. A restarted
/// process numbers its events from 1 again, so the time is part of an event's identity.
#[derive(Debug, Default)]
pub struct TimelineMerge {
    waiting: BTreeMap<EventOrder, TimelineEvent>,
    seen: HashSet<EventOrder>,
}

impl TimelineMerge {
    /// Adds events in any order.
    pub fn push(&mut self, events: impl IntoIterator<Item = TimelineEvent>) {
        for event in events {
            let order = (event.at, event.process.clone(), event.number);
            if self.seen.insert(order.clone()) {
                self.waiting.insert(order, event);
            }
        }
    }

    /// Returns the events up to `wall_ms`, in order.
    ///
    /// A caller that follows the timeline passes a time somewhat in the past, because events
    /// that it has not fetched yet from other processes may sort before the most recent ones.
    pub fn take_until(&mut self, wall_ms: u64) -> Vec<TimelineEvent> {
        let mut ready = Vec::new();
        while let Some(entry) = self.waiting.first_entry() {
            if entry.key().0.wall_ms > wall_ms {
                break;
            }
            ready.push(entry.remove());
        }
        ready
    }

    /// Returns all remaining events, in order.
    pub fn take_all(&mut self) -> Vec<TimelineEvent> {
        self.take_until(u64::MAX)
    }
}
