//! Numbered appends, one at a time, each repeated until its verdict is known.

use std::time::Duration;

use cactusdoor_core::unit::{Epoch, Moment, Offset};
use cactusdoor_node::clock::MonotonicClock;
use cactusdoor_platform::store::{AppendFault, AppendIdentity, KeyedRecord, StoreClient};
use rand::Rng as _;
use thiserror::Error;

/// Shortest and longest pause before an append is repeated, in ms: a busy store
/// charges each refusal.
const REPEAT_PAUSE: (u64, u64) = (60, 180);

/// Final verdicts of an append that was not stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LaneFault {
    /// Not stored and never will be.
    #[error("store refuses the append ({0})")]
    Refused(u16),
    #[error("a higher epoch has appended")]
    Fenced,
    #[error("partition does not end where the append expects")]
    Moved,
}

/// A stored append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredAppend {
    /// Offset after the last record.
    pub end: Offset,
    /// When the call that was answered was sent.
    pub sent: Moment,
}

/// Appends of one producer to one topic.
pub struct AppendLane {
    store: StoreClient,
    clock: MonotonicClock,
    topic: &'static str,
    identity: AppendIdentity,
}

impl AppendLane {
    #[must_use]
    pub fn open(
        store: StoreClient,
        clock: MonotonicClock,
        topic: &'static str,
        producer: String,
        epoch: Epoch,
    ) -> Self {
        let identity = AppendIdentity { producer, epoch, sequence: 0 };
        Self { store, clock, topic, identity }
    }

    /// Appends; an append without an answer is repeated with the same number.
    pub async fn append(
        &mut self,
        at: Option<Offset>,
        records: &[KeyedRecord],
    ) -> Result<StoredAppend, LaneFault> {
        let mut uncertain = false;
        loop {
            let sent = self.clock.now();
            let fault = match self.store.append(self.topic, &self.identity, at, records).await {
                Ok(end) => {
                    self.identity.sequence += 1;
                    return Ok(StoredAppend { end, sent });
                }
                Err(fault) => fault,
            };
            match fault {
                AppendFault::Refused(status) if !uncertain => {
                    return Err(LaneFault::Refused(status));
                }
                AppendFault::Fenced | AppendFault::OutOfSequence => return Err(LaneFault::Fenced),
                AppendFault::Moved => return Err(LaneFault::Moved),
                AppendFault::NoAnswer => uncertain = true,
                AppendFault::Refused(_) => {}
            }
            pause(REPEAT_PAUSE).await;
        }
    }
}

/// Waits for a random time within a range of milliseconds.
pub async fn pause((least, most): (u64, u64)) {
    let millis = rand::rng().random_range(least..=most);
    tokio::time::sleep(Duration::from_millis(millis)).await;
}
