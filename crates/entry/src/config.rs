//! The latest accepted configuration, shared with all actors of the entry.

use std::sync::Arc;

use cactusdoor_core::config::{ConfigEffect, ConfigFold, ConfigState, ItemValue};
use cactusdoor_core::unit::Revision;
use cactusdoor_timeline::{EventKind, EventLog};
use tokio::sync::watch;

use crate::metrics::EntryMetrics;
use crate::stream::FoldHook;

/// Handle to the latest accepted configuration.
#[derive(Clone)]
pub struct SharedConfig {
    state: watch::Receiver<Option<Arc<ConfigState>>>,
}

impl SharedConfig {
    /// A handle, and the hook that updates it from the fold.
    #[must_use]
    pub fn open(events: EventLog, metrics: EntryMetrics) -> (Self, FoldHook<ConfigFold>) {
        let (sender, state) = watch::channel(None);
        let hook: FoldHook<ConfigFold> = Box::new(move |fold, folded| {
            let revision = match folded.map(|folded| &folded.effect) {
                None => fold.state().revision(),
                Some(ConfigEffect::Accepted(revision)) => {
                    record_change(&events, fold.state(), *revision);
                    *revision
                }
                Some(_) => return,
            };
            metrics.config_revision.set(i64::try_from(revision).unwrap_or(i64::MAX));
            sender.send_replace(Some(Arc::new(fold.state().clone())));
        });
        (Self { state }, hook)
    }

    /// `None` before the configuration is loaded.
    #[must_use]
    pub fn get(&self) -> Option<Arc<ConfigState>> {
        self.state.borrow().clone()
    }

    /// 0 before the configuration is loaded.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.state.borrow().as_ref().map_or(0, |state| state.revision())
    }
}

fn record_change(events: &EventLog, state: &ConfigState, revision: Revision) {
    events.record(EventKind::ConfigApplied { revision });
    for item in state.items().filter(|item| item.revision == revision) {
        if let ItemValue::DataCentre(data_centre, state) = &item.value {
            let (data_centre, state) = (data_centre.clone(), *state);
            events.record(EventKind::DataCentreChanged { data_centre, state, revision });
        }
    }
}
