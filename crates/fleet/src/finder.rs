//! Discovery of the owner by its heartbeat in the store.
//!
//! Records the newest heartbeat, how long it has not changed and how long the store has
//! answered, and whether another process has announced its candidacy. The candidate, not this
//! module, decides whether the owner has failed.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use cactusdoor_core::unit::{Epoch, Millis, Moment, Offset};
use cactusdoor_node::clock::MonotonicClock;
use cactusdoor_platform::store::{KeyedRecord, ReadError, StoreClient};
use cactusdoor_queue::name::AgentName;
use serde::{Deserialize, Serialize};

use crate::appender::{AppenderError, TopicAppender};
use crate::decision::DecisionEvent;
use crate::decision_log::DecisionLog;
use crate::follower::read_newest;
use crate::odd_entry;
use crate::topic::OWNER;

/// Key of the heartbeat's record.
const HEARTBEAT_KEY: &str = "owner";
/// Key of the record that announces a candidacy.
const CANDIDACY_KEY: &str = "candidacy";
/// Time in which an announced candidate sends its first heartbeat, ms: it loads the stored
/// state meanwhile.
const CANDIDACY_TIME: Millis = 1_800;
/// Least time between two reads of the heartbeat, ms.
const READ_INTERVAL: Millis = 250;
/// Longest time between two reads, ms, across which the store counts as available.
const READ_GAP: Millis = 1_000;

/// The owner's liveness record: its epoch, name and address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerHeartbeat {
    pub epoch: Epoch,
    pub owner: AgentName,
    pub address: SocketAddr,
    /// Whether the owner has resigned.
    pub resigned: bool,
    /// Whether the owner repeats appends under their numbers; earlier versions do not.
    #[serde(default, rename = "appends")]
    pub repeats_appends: bool,
    /// Whether the owner serves `report_load`; earlier versions do not.
    #[serde(default)]
    pub loads: bool,
    /// Whether the owner serves `watch_backlog`; earlier versions do not.
    #[serde(default)]
    pub backlogs: bool,
}

impl OwnerHeartbeat {
    #[must_use]
    pub fn record(&self) -> KeyedRecord {
        let value = serde_json::to_vec(self).unwrap_or_default();
        KeyedRecord { key: HEARTBEAT_KEY.into(), value: Some(Bytes::from(value)) }
    }
}

/// The newest heartbeat that was read.
#[derive(Clone, Debug)]
struct SeenHeartbeat {
    heartbeat: OwnerHeartbeat,
    offset: Offset,
    /// When it was first seen at this offset.
    since: Moment,
}

/// The newest candidacy that was read.
#[derive(Clone, Copy, Debug)]
struct SeenCandidacy {
    offset: Offset,
    /// When it was first seen.
    since: Moment,
    /// Whether this process has announced it.
    own: bool,
}

/// Reads the owner's heartbeat on demand.
pub struct OwnerFinder {
    store: StoreClient,
    clock: MonotonicClock,
    log: DecisionLog,
    seen: RefCell<Option<SeenHeartbeat>>,
    candidacy: Cell<Option<SeenCandidacy>>,
    /// Offset after the last record of the topic, as of the last read.
    end: Cell<Offset>,
    read_at: Cell<Moment>,
    /// Since when the store has answered every read, without a long gap.
    available_since: Cell<Moment>,
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
            candidacy: Cell::default(),
            end: Cell::default(),
            read_at: Cell::default(),
            available_since: Cell::default(),
            answered: Cell::new(false),
        })
    }

    /// The newest known owner.
    #[must_use]
    pub fn owner(&self) -> Option<OwnerHeartbeat> {
        self.seen.borrow().as_ref().map(|seen| seen.heartbeat.clone())
    }

    /// Whether the store has answered and no owner has ever sent a heartbeat.
    #[must_use]
    pub fn has_no_heartbeat(&self) -> bool {
        self.answered.get() && self.seen.borrow().is_none()
    }

    /// Time without a new heartbeat, as of the last read.
    #[must_use]
    pub fn heartbeat_age(&self) -> Millis {
        let seen = self.seen.borrow();
        seen.as_ref().map_or(0, |seen| self.read_at.get().0.saturating_sub(seen.since.0))
    }

    /// Time for which the store has answered this process: missing heartbeats during an
    /// outage of the store prove nothing about the owner.
    #[must_use]
    pub fn store_uptime(&self) -> Millis {
        self.read_at.get().0.saturating_sub(self.available_since.get().0)
    }

    /// Applies the offset after the newest heartbeat, as contained in an answer of the owner.
    pub fn confirm(&self, epoch: Epoch, end: Offset) {
        if let Some(seen) = self.seen.borrow_mut().as_mut()
            && seen.heartbeat.epoch == epoch
            && seen.offset.saturating_add(1) < end
        {
            seen.offset = end - 1;
            seen.since = self.clock.now();
        }
    }

    /// Whether another process has recently announced its candidacy and no heartbeat has
    /// followed, as of the last read.
    #[must_use]
    pub fn has_candidate(&self) -> bool {
        let seen = self.seen.borrow();
        let heartbeat = seen.as_ref().map(|seen| seen.offset);
        self.candidacy.get().is_some_and(|candidacy| {
            let recent = self.read_at.get() < candidacy.since.after(CANDIDACY_TIME);
            let pending = heartbeat.is_none_or(|heartbeat| heartbeat < candidacy.offset);
            recent && pending && !candidacy.own
        })
    }

    /// Announces the candidacy of `name`. Fails if anything was appended since the last read:
    /// a heartbeat, or the candidacy of another process.
    pub async fn announce_candidacy(&self, name: &AgentName) -> Result<(), AppenderError> {
        let producer = format!("candidacy-{name}-{:016x}", rand::random::<u64>());
        let mut appender = TopicAppender::open(self.store.clone(), self.clock, OWNER, producer, 1);
        let value = Some(Bytes::copy_from_slice(name.as_bytes()));
        let record = KeyedRecord { key: CANDIDACY_KEY.into(), value };
        let stored = appender.append(Some(self.end.get()), &[record]).await?;
        self.note_candidacy(stored.end.saturating_sub(1), self.clock.now(), true);
        Ok(())
    }

    fn note_candidacy(&self, offset: Offset, since: Moment, own: bool) {
        if self.candidacy.get().is_none_or(|known| known.offset < offset) {
            self.candidacy.set(Some(SeenCandidacy { offset, since, own }));
        }
    }

    /// Reads the heartbeat unless it was read less than `READ_INTERVAL` ago.
    pub async fn refresh(&self) -> Result<(), ReadError> {
        let now = self.clock.now();
        if self.answered.get() && now < self.read_at.get().after(READ_INTERVAL) {
            return Ok(());
        }
        self.read().await
    }

    /// Reads the heartbeat.
    pub async fn read(&self) -> Result<(), ReadError> {
        let now = self.clock.now();
        let records = match read_newest(&self.store, OWNER).await {
            Ok((records, end)) => {
                self.end.set(end);
                records
            }
            Err(error) => {
                self.available_since.set(self.clock.now());
                return Err(error);
            }
        };
        if now.0.saturating_sub(self.read_at.get().0) > READ_GAP {
            self.available_since.set(now);
        }
        self.read_at.set(now);
        self.answered.set(true);
        if let Some(stored) = records.iter().find(|stored| stored.record.key == CANDIDACY_KEY) {
            self.note_candidacy(stored.offset, now, false);
        }
        let heartbeat = records.into_iter().find(|stored| stored.record.key == HEARTBEAT_KEY);
        let Some(stored) = heartbeat else { return Ok(()) };
        let value = stored.record.value.unwrap_or_default();
        match serde_json::from_slice(&value) {
            Ok(heartbeat) => self.apply(heartbeat, stored.offset, now),
            Err(error) => odd_entry::warn("the owner's heartbeats", error),
        }
        Ok(())
    }

    fn apply(&self, heartbeat: OwnerHeartbeat, offset: Offset, now: Moment) {
        let mut seen = self.seen.borrow_mut();
        if let Some(known) = seen.as_ref() {
            // The store refuses heartbeats of an owner once a higher epoch has appended, so the
            // newest record is that of the newest owner.
            if offset <= known.offset {
                return;
            }
        }
        let known = seen.as_ref().map(|known| known.heartbeat.epoch);
        if known != Some(heartbeat.epoch) {
            let (epoch, owner) = (heartbeat.epoch, heartbeat.owner.clone());
            self.log.record(DecisionEvent::OwnerFound { epoch, owner });
        }
        *seen = Some(SeenHeartbeat { heartbeat, offset, since: now });
    }
}
