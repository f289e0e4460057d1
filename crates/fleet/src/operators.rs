//! Operators' records: the fleet's configuration and the data centres taken out.
//!
//! Folds the operators' topic into a view and publishes it with the time of the newest
//! answered read. A lower configuration version must never replace a higher one.

use std::collections::BTreeSet;
use std::time::Duration;

use cactusdoor_core::unit::{Moment, Offset};
use cactusdoor_node::clock::MonotonicClock;
use cactusdoor_platform::config::{self, OperatorKey};
use cactusdoor_platform::store::{OPERATOR_TOPIC, StoreClient, StoredRecord};
use cactusdoor_queue::config::OperatorView;
use indexmap::IndexMap;
use tokio::sync::watch;

use crate::decision::DecisionEvent;
use crate::decision_log::DecisionLog;
use crate::follower::{TopicFollower, TopicUpdate};
use crate::odd_entry;

/// Longest wait of one read: half of the time in which a change must take effect, so that
/// one lost read does not make the view stale.
const READ_WAIT: Duration = Duration::from_millis(800);

/// The operators' view, and when it was last confirmed.
#[derive(Clone, Debug, Default)]
pub struct ConfirmedView {
    pub view: OperatorView,
    /// When the newest answered read was sent.
    pub confirmed: Moment,
}

/// Folds the operators' records.
#[derive(Debug, Default)]
pub struct OperatorFold {
    view: OperatorView,
    offsets: IndexMap<String, Offset>,
}

impl OperatorFold {
    /// Applies an update; returns the changes as events.
    pub fn apply(&mut self, update: TopicUpdate) -> Vec<DecisionEvent> {
        let mut events = Vec::new();
        if update.is_snapshot {
            let is_taken_out = |name: &str| {
                update.records.iter().any(|stored| {
                    OperatorKey::parse(&stored.record.key) == OperatorKey::TakenOut(name.to_owned())
                })
            };
            let (taken_out, back): (BTreeSet<_>, BTreeSet<_>) =
                self.view.taken_out.iter().cloned().partition(|name| is_taken_out(name));
            self.view.taken_out = taken_out;
            events.extend(
                back.into_iter()
                    .map(|data_centre| DecisionEvent::DataCentreBroughtBack { data_centre }),
            );
        }
        for stored in update.records {
            events.extend(self.apply_record(&stored));
        }
        events
    }

    fn apply_record(&mut self, stored: &StoredRecord) -> Option<DecisionEvent> {
        let key = &stored.record.key;
        if self.offsets.get(key).is_some_and(|known| *known >= stored.offset) {
            return None;
        }
        self.offsets.insert(key.clone(), stored.offset);
        match OperatorKey::parse(key) {
            OperatorKey::Config => self.apply_config(stored),
            OperatorKey::TakenOut(name) => {
                let data_centre = name.as_str().into();
                if stored.record.value.is_some() {
                    let new = self.view.taken_out.insert(name.into());
                    new.then_some(DecisionEvent::DataCentreTakenOut { data_centre })
                } else {
                    let known = self.view.taken_out.remove(name.as_str());
                    known.then_some(DecisionEvent::DataCentreBroughtBack { data_centre })
                }
            }
            OperatorKey::Other => None,
        }
    }

    /// Applies a configuration unless this process knows one of the same or a higher version.
    fn apply_config(&mut self, stored: &StoredRecord) -> Option<DecisionEvent> {
        let config = match config::read(stored.record.value.as_deref()?) {
            Ok(config) => config,
            Err(error) => {
                let cause = format!("configuration at offset {}: {error}", stored.offset);
                odd_entry::warn("the operators' records", cause);
                return None;
            }
        };
        if self.view.config.as_ref().is_some_and(|known| known.version >= config.version) {
            return None;
        }
        let (version, queues) = (config.version, config.queues.len());
        self.view.config = Some(config);
        Some(DecisionEvent::ConfigApplied { version, queues, offset: stored.offset })
    }
}

/// Starts to follow the operators' topic; returns a receiver of the newest view.
pub fn spawn(
    store: StoreClient,
    clock: MonotonicClock,
    log: DecisionLog,
) -> watch::Receiver<ConfirmedView> {
    let (sender, receiver) = watch::channel(ConfirmedView::default());
    actix_rt::spawn(async move {
        let mut follower = TopicFollower::open(store, clock, OPERATOR_TOPIC);
        let mut fold = OperatorFold::default();
        let mut lost: Option<Moment> = None;
        while !sender.is_closed() {
            match follower.read(READ_WAIT).await {
                Ok(update) => {
                    if let Some(since) = lost.take() {
                        let silent = clock.now().0.saturating_sub(since.0);
                        log.record(DecisionEvent::DependencyRegained {
                            dependency: "store",
                            silent,
                        });
                    }
                    let confirmed = update.sent;
                    let events = fold.apply(update);
                    let changed = !events.is_empty();
                    events.into_iter().for_each(|event| log.record(event));
                    sender.send_if_modified(|view| {
                        view.confirmed = confirmed;
                        if changed {
                            view.view = fold.view.clone();
                        }
                        changed
                    });
                }
                Err(error) => {
                    if lost.is_none() {
                        lost = Some(clock.now());
                        let cause = error.to_string();
                        log.record(DecisionEvent::DependencyLost { dependency: "store", cause });
                    }
                    follower.recover().await;
                }
            }
        }
    });
    receiver
}
