//! Follows what operators write.

use std::collections::BTreeSet;
use std::time::Duration;

use cactusdoor_core::unit::{Moment, Offset};
use cactusdoor_node::clock::MonotonicClock;
use cactusdoor_platform::config::{self, OperatorKey};
use cactusdoor_platform::store::{OPERATOR_TOPIC, StoreClient, StoredRecord};
use cactusdoor_queue::terms::OperatorView;
use indexmap::IndexMap;
use tokio::sync::watch;

use crate::decision::DecisionEvent;
use crate::follower::{TopicFollower, TopicReading};
use crate::journal::DecisionLog;

/// Longest wait of a reading: half of the time in which a change must be in
/// force, so that one lost reading does not make the view stale.
const READ_WAIT: Duration = Duration::from_millis(800);

/// What operators have said, and when that was last confirmed.
#[derive(Clone, Debug, Default)]
pub struct ConfirmedView {
    pub view: OperatorView,
    /// Sending of the newest answered reading.
    pub confirmed: Moment,
}

/// Folds the operators' records.
#[derive(Debug, Default)]
pub struct OperatorFold {
    view: OperatorView,
    offsets: IndexMap<String, Offset>,
}

impl OperatorFold {
    /// Takes up a reading; returns what has changed.
    pub fn apply(&mut self, reading: TopicReading) -> Vec<DecisionEvent> {
        let mut events = Vec::new();
        if reading.whole {
            let kept = |zone: &str| {
                reading.records.iter().any(|stored| {
                    OperatorKey::parse(&stored.record.key) == OperatorKey::TakenOut(zone.to_owned())
                })
            };
            let (taken_out, back): (BTreeSet<_>, BTreeSet<_>) =
                self.view.taken_out.iter().cloned().partition(|zone| kept(zone));
            self.view.taken_out = taken_out;
            events.extend(
                back.into_iter()
                    .map(|data_centre| DecisionEvent::DataCentreBroughtBack { data_centre }),
            );
        }
        for stored in reading.records {
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
            OperatorKey::TakenOut(zone) => {
                let data_centre = zone.as_str().into();
                if stored.record.value.is_some() {
                    let new = self.view.taken_out.insert(zone.into());
                    new.then_some(DecisionEvent::DataCentreTakenOut { data_centre })
                } else {
                    let known = self.view.taken_out.remove(zone.as_str());
                    known.then_some(DecisionEvent::DataCentreBroughtBack { data_centre })
                }
            }
            OperatorKey::Other => None,
        }
    }

    /// Versions never go down within one life of the process.
    fn apply_config(&mut self, stored: &StoredRecord) -> Option<DecisionEvent> {
        let list = match config::read(stored.record.value.as_deref()?) {
            Ok(list) => list,
            Err(error) => {
                log::error!("configuration at offset {} is not used: {error}", stored.offset);
                return None;
            }
        };
        if self.view.config.as_ref().is_some_and(|known| known.version >= list.version) {
            return None;
        }
        let (version, queues) = (list.version, list.queues.len());
        self.view.config = Some(list);
        Some(DecisionEvent::ConfigApplied { version, queues, offset: stored.offset })
    }
}

/// Follows the operators' topic from now on.
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
                Ok(reading) => {
                    if let Some(since) = lost.take() {
                        let silent = clock.now().0.saturating_sub(since.0);
                        log.note(DecisionEvent::DependencyRegained { dependency: "store", silent });
                    }
                    let confirmed = reading.sent;
                    let events = fold.apply(reading);
                    let changed = !events.is_empty();
                    events.into_iter().for_each(|event| log.note(event));
                    sender.send_if_modified(|view| {
                        view.confirmed = confirmed;
                        if changed {
                            view.view = fold.view.clone();
                        }
                        changed
                    });
                }
                Err(fault) => {
                    if lost.is_none() {
                        lost = Some(clock.now());
                        let cause = fault.to_string();
                        log.note(DecisionEvent::DependencyLost { dependency: "store", cause });
                    }
                    follower.recover().await;
                }
            }
        }
    });
    receiver
}
