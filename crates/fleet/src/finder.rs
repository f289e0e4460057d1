//! Finds the owner by its beacon in the store.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use cactusdoor_core::unit::{Epoch, Millis, Moment, Offset};
use cactusdoor_node::clock::MonotonicClock;
use cactusdoor_platform::store::{KeyedRecord, ReadFault, StoreClient};
use cactusdoor_queue::name::AgentName;
use serde::{Deserialize, Serialize};

use crate::decision::DecisionEvent;
use crate::follower::read_newest;
use crate::journal::DecisionLog;
use crate::topic::OWNER;

/// Key of the beacon.
const BEACON_KEY: &str = "owner";
/// Least time between two readings of the beacon.
const READ_INTERVAL: Millis = 250;
/// Readings further apart do not show that the store answered in between.
const READ_GAP: Millis = 1_000;

/// The owner as it shows itself once a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerBeacon {
    pub epoch: Epoch,
    pub owner: AgentName,
    pub address: SocketAddr,
    /// The owner has given up its right.
    pub resigned: bool,
}

impl OwnerBeacon {
    #[must_use]
    pub fn record(&self) -> KeyedRecord {
        let value = serde_json::to_vec(self).unwrap_or_default();
        KeyedRecord { key: BEACON_KEY.into(), value: Some(Bytes::from(value)) }
    }
}

/// The newest beacon that was read.
#[derive(Clone, Debug)]
struct SeenBeacon {
    beacon: OwnerBeacon,
    offset: Offset,
    /// By when it stood at this offset.
    since: Moment,
}

/// Reads the beacon on demand.
pub struct OwnerFinder {
    store: StoreClient,
    clock: MonotonicClock,
    log: DecisionLog,
    seen: RefCell<Option<SeenBeacon>>,
    read_at: Cell<Moment>,
    /// Since when the store has answered every reading, without a long gap.
    served_since: Cell<Moment>,
    /// Whether the store has ever answered.
    answered: Cell<bool>,
}

impl OwnerFinder {
    #[must_use]
    pub fn open(store: StoreClient, clock: MonotonicClock, log: DecisionLog) -> Rc<Self> {
        Rc::new(Self {
            store,
            clock,
            log,
            seen: RefCell::default(),
            read_at: Cell::default(),
            served_since: Cell::default(),
            answered: Cell::new(false),
        })
    }

    /// The newest known owner.
    #[must_use]
    pub fn owner(&self) -> Option<OwnerBeacon> {
        self.seen.borrow().as_ref().map(|seen| seen.beacon.clone())
    }

    /// Whether the store has answered and no owner has ever shown itself.
    #[must_use]
    pub fn is_vacant(&self) -> bool {
        self.answered.get() && self.seen.borrow().is_none()
    }

    /// Time for which the beacon has not moved, as of the last reading.
    #[must_use]
    pub fn still(&self) -> Millis {
        let seen = self.seen.borrow();
        seen.as_ref().map_or(0, |seen| self.read_at.get().0.saturating_sub(seen.since.0))
    }

    /// Time for which the store has answered this process: a beacon that does not
    /// move while the store is down says nothing of the owner.
    #[must_use]
    pub fn served(&self) -> Millis {
        self.read_at.get().0.saturating_sub(self.served_since.get().0)
    }

    /// Notes the beacon that the owner has just confirmed.
    pub fn note(&self, epoch: Epoch, end: Offset) {
        if let Some(seen) = self.seen.borrow_mut().as_mut()
            && seen.beacon.epoch == epoch
            && seen.offset + 1 < end
        {
            seen.offset = end - 1;
            seen.since = self.clock.now();
        }
    }

    /// Reads the beacon unless that was done just now.
    pub async fn refresh(&self) -> Result<(), ReadFault> {
        let now = self.clock.now();
        if self.answered.get() && now < self.read_at.get().after(READ_INTERVAL) {
            return Ok(());
        }
        self.read().await
    }

    /// Reads the beacon.
    pub async fn read(&self) -> Result<(), ReadFault> {
        let now = self.clock.now();
        let records = match read_newest(&self.store, OWNER).await {
            Ok((records, _)) => records,
            Err(fault) => {
                self.served_since.set(self.clock.now());
                return Err(fault);
            }
        };
        if now.0.saturating_sub(self.read_at.get().0) > READ_GAP {
            self.served_since.set(now);
        }
        self.read_at.set(now);
        self.answered.set(true);
        let beacon = records.into_iter().find(|stored| stored.record.key == BEACON_KEY);
        let Some(stored) = beacon else { return Ok(()) };
        let value = stored.record.value.unwrap_or_default();
        let beacon = serde_json::from_slice(&value).map_err(|_| ReadFault::Malformed)?;
        self.see(beacon, stored.offset, now);
        Ok(())
    }

    fn see(&self, beacon: OwnerBeacon, offset: Offset, now: Moment) {
        let mut seen = self.seen.borrow_mut();
        if let Some(known) = seen.as_mut() {
            if beacon.epoch < known.beacon.epoch {
                return;
            }
            if known.offset == offset {
                return;
            }
        }
        let known = seen.as_ref().map(|known| known.beacon.epoch);
        if known != Some(beacon.epoch) {
            let (epoch, owner) = (beacon.epoch, beacon.owner.clone());
            self.log.note(DecisionEvent::OwnerFound { epoch, owner });
        }
        *seen = Some(SeenBeacon { beacon, offset, since: now });
    }
}
