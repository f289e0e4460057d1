//! Stores what the owner has learned, and loads it for a new owner.
//!
//! The record is written rarely and read once in a term. A failure of either is logged and has
//! no further effect: the owner learns anew.

use std::time::Duration;

use bytes::Bytes;
use cactusdoor_core::unit::{Epoch, Millis, Moment};
use cactusdoor_node::clock::{MonotonicClock, unix_ms};
use cactusdoor_platform::store::{KeyedRecord, StoreClient};
use cactusdoor_queue::interference::InterferenceModel;
use cactusdoor_queue::learned::LearnedRecord;
use tokio::sync::mpsc;

use crate::candidate::open_appender;
use crate::follower::read_newest;
use crate::odd_entry;
use crate::topic::LEARNED;

/// Key of the record.
const LEARNED_KEY: &str = "interference";
/// Time between two records, ms: estimates settle within some seconds, and a record of 20
/// serving and 20 best-effort images is about 15 KB.
const RECORD_INTERVAL: Millis = 8_000;
/// Longest wait for the record during an election, which waits meanwhile.
const LOAD_LIMIT: Duration = Duration::from_millis(300);

/// The newest usable record of an earlier owner.
pub async fn load(store: &StoreClient) -> Option<LearnedRecord> {
    let records = match tokio::time::timeout(LOAD_LIMIT, read_newest(store, LEARNED)).await {
        Ok(Ok((records, _))) => records,
        Ok(Err(error)) => {
            log::warn!("could not read what the predecessor has learned: {error}");
            return None;
        }
        Err(_) => {
            log::warn!("what the predecessor has learned was not read in time");
            return None;
        }
    };
    let stored = records.into_iter().find(|stored| stored.record.key == LEARNED_KEY)?;
    let decoded = LearnedRecord::decode(&stored.record.value?, unix_ms());
    decoded.inspect_err(|error| odd_entry::warn("the learned estimates", error)).ok()
}

/// Appends a record now and then.
pub struct LearnedWriter {
    records: mpsc::Sender<KeyedRecord>,
    /// The model of the newest record.
    stored: InterferenceModel,
    next: Moment,
}

impl LearnedWriter {
    /// Starts the writer of the owner of `epoch`; a higher epoch fences its appends.
    #[must_use]
    pub fn spawn(store: &StoreClient, clock: MonotonicClock, epoch: Epoch) -> Self {
        let mut appender = open_appender(store, clock, LEARNED, epoch);
        let (records, mut waiting) = mpsc::channel::<KeyedRecord>(1);
        actix_rt::spawn(async move {
            while let Some(record) = waiting.recv().await {
                if let Err(error) = appender.append(None, &[record]).await {
                    log::debug!("could not store what this owner has learned: {error}");
                }
            }
        });
        let next = clock.now().after(RECORD_INTERVAL);
        Self { records, stored: InterferenceModel::default(), next }
    }

    /// Stores the model if it has changed and a record is due; a record that is still being
    /// stored is not waited for.
    pub fn update(&mut self, model: &InterferenceModel, now: Moment, unix: Millis) {
        if now < self.next || self.stored == *model {
            return;
        }
        self.next = now.after(RECORD_INTERVAL);
        let value = LearnedRecord::of(model, unix).encode();
        let record = KeyedRecord { key: LEARNED_KEY.to_owned(), value: Some(Bytes::from(value)) };
        if self.records.try_send(record).is_ok() {
            self.stored = model.clone();
        }
    }
}
