//! Follows a keyed topic: first the newest record of each key, then the log.

use std::time::Duration;

use cactusdoor_core::unit::{Moment, Offset};
use cactusdoor_node::clock::MonotonicClock;
use cactusdoor_platform::store::{NewestPage, ReadFault, StoreClient, StoredRecord};

use crate::lane::pause;

/// Pause after a failed read, in ms.
const RETRY_PAUSE: (u64, u64) = (80, 240);

/// A reading of a topic that was complete when it was asked for.
#[derive(Clone, Debug)]
pub struct TopicReading {
    /// Whether the records are all that there is, not changes.
    pub whole: bool,
    pub records: Vec<StoredRecord>,
    /// When the newest call was sent.
    pub sent: Moment,
}

/// Reads all newest records; returns them with the offset to go on from.
pub async fn read_newest(
    store: &StoreClient,
    topic: &str,
) -> Result<(Vec<StoredRecord>, Offset), ReadFault> {
    let NewestPage { mut records, mut after, end } = store.newest(topic, None).await?;
    while let Some(key) = after {
        let page = store.newest(topic, Some(&key)).await?;
        records.extend(page.records);
        after = page.after;
    }
    Ok((records, end))
}

/// Follows one topic.
pub struct TopicFollower {
    store: StoreClient,
    clock: MonotonicClock,
    topic: &'static str,
    next: Option<Offset>,
}

impl TopicFollower {
    /// Follows from the newest records on.
    #[must_use]
    pub fn open(store: StoreClient, clock: MonotonicClock, topic: &'static str) -> Self {
        Self { store, clock, topic, next: None }
    }

    /// Follows from an offset on.
    #[must_use]
    pub fn resume(
        store: StoreClient,
        clock: MonotonicClock,
        topic: &'static str,
        next: Offset,
    ) -> Self {
        Self { store, clock, topic, next: Some(next) }
    }

    /// Waits for changes for at most `wait`.
    pub async fn read(&mut self, wait: Duration) -> Result<TopicReading, ReadFault> {
        let sent = self.clock.now();
        let Some(from) = self.next else {
            let (records, end) = read_newest(&self.store, self.topic).await?;
            self.next = Some(end);
            return Ok(TopicReading { whole: true, records, sent });
        };
        match self.store.read(self.topic, from, wait).await {
            Ok(page) => {
                self.next = Some(page.next);
                Ok(TopicReading { whole: false, records: page.records, sent })
            }
            Err(fault) => {
                // History is gone: the newest records tell what was missed.
                if matches!(fault, ReadFault::Dropped(_)) {
                    self.next = None;
                }
                Err(fault)
            }
        }
    }

    /// Pauses after a failed read.
    pub async fn recover(&self) {
        pause(RETRY_PAUSE).await;
    }
}
