//! Numbered appends to one topic, one at a time, each repeated until its result is known.
//!
//! A repeated append has the same sequence number, so the store stores it once. A
//! refusal after an attempt without an answer is not final: that attempt may have stored the
//! records.

use std::time::Duration;

use cactusdoor_core::unit::{Epoch, Moment, Offset};
use cactusdoor_node::clock::MonotonicClock;
use cactusdoor_platform::store::{AppendError, AppendIdentity, KeyedRecord, StoreClient};
use rand::Rng as _;
use thiserror::Error;

/// Shortest and longest pause before an append is repeated, in ms: a busy store
/// counts refused calls against its limit too.
const REPEAT_PAUSE: (u64, u64) = (60, 180);

/// Why an append has finally failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AppenderError {
    /// Not stored and never will be. HTTP status; 0 if the store could not be reached.
    #[error("store refuses the append ({0})")]
    Refused(u16),
    #[error("a higher epoch has appended")]
    Fenced,
    #[error("partition does not end at the offset of the append")]
    EndMismatch,
}

/// A stored append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredAppend {
    /// Offset after the last record.
    pub end: Offset,
    /// When the answered call was sent.
    pub sent: Moment,
}

/// Appends of one producer to one topic.
pub struct TopicAppender {
    store: StoreClient,
    clock: MonotonicClock,
    topic: &'static str,
    identity: AppendIdentity,
}

impl TopicAppender {
    #[must_use]
    pub fn open(
        store: StoreClient,
        clock: MonotonicClock,
        topic: &'static str,
        producer: String,
        epoch: Epoch,
    ) -> Self {
        Self::resume(store, clock, topic, AppendIdentity { producer, epoch, sequence: 0 })
    }

    /// An appender whose next append has this identity.
    #[must_use]
    pub fn resume(
        store: StoreClient,
        clock: MonotonicClock,
        topic: &'static str,
        identity: AppendIdentity,
    ) -> Self {
        Self { store, clock, topic, identity }
    }

    /// Identity of the next append.
    #[must_use]
    pub fn identity(&self) -> &AppendIdentity {
        &self.identity
    }

    /// Goes on to the next append: another process has stored the current one.
    pub fn advance(&mut self) {
        self.identity.sequence += 1;
    }

    /// Appends `records`, at offset `at` if given; repeats an append without an answer
    /// under the same sequence number.
    pub async fn append(
        &mut self,
        at: Option<Offset>,
        records: &[KeyedRecord],
    ) -> Result<StoredAppend, AppenderError> {
        let mut uncertain = false;
        loop {
            let sent = self.clock.now();
            let error = match self.store.append(self.topic, &self.identity, at, records).await {
                Ok(end) => {
                    self.identity.sequence += 1;
                    return Ok(StoredAppend { end, sent });
                }
                Err(error) => error,
            };
            match error {
                AppendError::Refused(status) if !uncertain => {
                    return Err(AppenderError::Refused(status));
                }
                AppendError::Fenced | AppendError::OutOfSequence => {
                    return Err(AppenderError::Fenced);
                }
                AppendError::EndMismatch => return Err(AppenderError::EndMismatch),
                AppendError::NoAnswer => uncertain = true,
                AppendError::Refused(_) => {}
            }
            pause(REPEAT_PAUSE).await;
        }
    }
}

/// Sleeps for a random time between two bounds, in ms.
pub async fn pause((least, most): (u64, u64)) {
    let millis = rand::rng().random_range(least..=most);
    tokio::time::sleep(Duration::from_millis(millis)).await;
}
