//! Follows a keyed topic: first the newest record of each key, then the log of changes.
//!
//! If the store no longer retains the next records, the follower reads the newest record of
//! each key again and marks that update as a snapshot.

use std::time::Duration;

use cactusdoor_core::unit::{Moment, Offset};
use cactusdoor_node::clock::MonotonicClock;
use cactusdoor_platform::store::{NewestPage, ReadError, StoreClient, StoredRecord};

use crate::appender::pause;
use crate::odd_entry;

/// Pause after a failed read, in ms.
const RETRY_PAUSE: (u64, u64) = (80, 240);

/// Records of a topic, complete as of the time at which the read was sent.
#[derive(Clone, Debug)]
pub struct TopicUpdate {
    /// Whether the records are the newest of every key, not changes.
    pub is_snapshot: bool,
    pub records: Vec<StoredRecord>,
    /// When the read was sent.
    pub sent: Moment,
}

/// Reads the newest record of every key; returns them and the offset of the next record.
pub async fn read_newest(
    store: &StoreClient,
    topic: &str,
) -> Result<(Vec<StoredRecord>, Offset), ReadError> {
    let NewestPage { mut records, mut after, end, mut skipped } = store.newest(topic, None).await?;
    while let Some(key) = after {
        let page = store.newest(topic, Some(&key)).await?;
        records.extend(page.records);
        skipped += page.skipped;
        after = page.after;
    }
    warn_skipped(topic, skipped);
    Ok((records, end))
}

/// Logs that records of a topic did not decode.
pub fn warn_skipped(topic: &str, skipped: usize) {
    if skipped > 0 {
        odd_entry::warn("the store", format!("{skipped} records of {topic}"));
    }
}

/// Follows one topic.
pub struct TopicFollower {
    store: StoreClient,
    clock: MonotonicClock,
    topic: &'static str,
    next: Option<Offset>,
}

impl TopicFollower {
    /// Follows the topic, beginning with a snapshot.
    #[must_use]
    pub fn open(store: StoreClient, clock: MonotonicClock, topic: &'static str) -> Self {
        Self { store, clock, topic, next: None }
    }

    /// Follows the topic from an offset on.
    #[must_use]
    pub fn resume(
        store: StoreClient,
        clock: MonotonicClock,
        topic: &'static str,
        next: Offset,
    ) -> Self {
        Self { store, clock, topic, next: Some(next) }
    }

    /// Reads the next records; waits for changes for at most `wait`.
    pub async fn read(&mut self, wait: Duration) -> Result<TopicUpdate, ReadError> {
        let sent = self.clock.now();
        let Some(from) = self.next else {
            let (records, end) = read_newest(&self.store, self.topic).await?;
            self.next = Some(end);
            return Ok(TopicUpdate { is_snapshot: true, records, sent });
        };
        match self.store.read(self.topic, from, wait).await {
            Ok(page) => {
                warn_skipped(self.topic, page.skipped);
                self.next = Some(page.next);
                Ok(TopicUpdate { is_snapshot: false, records: page.records, sent })
            }
            Err(error) => {
                // The store has dropped the next records; the next read returns a snapshot.
                if matches!(error, ReadError::NotRetained(_)) {
                    self.next = None;
                }
                Err(error)
            }
        }
    }

    /// Pauses after a failed read.
    pub async fn recover(&self) {
        pause(RETRY_PAUSE).await;
    }
}
