//! Merge of the events of several processes into causal order.

use std::collections::{BTreeMap, HashSet};

use cactusdoor_core::name::ProcessName;

use crate::event::TimelineEvent;
use crate::hybrid::HybridTime;

/// Order of events: hybrid time, ties by process and number.
type EventOrder = (HybridTime, ProcessName, u64);

/// Events that were fetched and not shown yet.
///
/// Every event is taken once, however often its page is fetched. A process that
/// restarts numbers its events from 1 again, so its time is part of the identity.
#[derive(Debug, Default)]
pub struct TimelineMerge {
    waiting: BTreeMap<EventOrder, TimelineEvent>,
    taken: HashSet<EventOrder>,
}

impl TimelineMerge {
    /// Adds events in any order.
    pub fn push(&mut self, events: impl IntoIterator<Item = TimelineEvent>) {
        for event in events {
            let order = (event.at, event.process.clone(), event.number);
            if self.taken.insert(order.clone()) {
                self.waiting.insert(order, event);
            }
        }
    }

    /// Takes the events up to `wall_ms`, in order.
    ///
    /// A caller that follows the timeline holds back the latest moments, in
    /// which an event of a slower process may still sort earlier.
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

    /// Takes all events, in order.
    pub fn take_all(&mut self) -> Vec<TimelineEvent> {
        self.take_until(u64::MAX)
    }
}
