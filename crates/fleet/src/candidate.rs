//! Watches for an owner that is gone and stands for election.

use std::rc::Rc;

use bytes::Bytes;
use cactusdoor_core::unit::{Epoch, Millis, Moment};
use cactusdoor_node::clock::{MonotonicClock, unix_ms};
use cactusdoor_platform::store::{KeyedRecord, ReadFault, StoreClient};
use cactusdoor_queue::record::{ELECTION_KEY, OwnerElected};
use thiserror::Error;

use crate::decision::DecisionEvent;
use crate::finder::{OwnerBeacon, OwnerFinder};
use crate::lane::{AppendLane, LaneFault, pause};
use crate::loading::StoredState;
use crate::owner::{CONFIRM_LIMIT, OwnerContext, OwnerTerm, clock_bound};
use crate::topic::{OWNER, OWNER_PRODUCER, TASKS};

/// A beacon that has not moved for so long has no owner: two renewals were missed.
const BEACON_SILENCE: Millis = 2_300;
/// The same for an owner at whose address nobody owns the queues any more.
const REFUSED_SILENCE: Millis = 400;
/// Spread of the candidates, in ms: the time that an election takes.
const CANDIDATE_SPREAD: (u64, u64) = (0, 300);
/// Pause between two looks at the beacon, in ms.
const WATCH_PAUSE: (u64, u64) = (280, 420);
/// Pause of an owner that was fenced or resigned before it stands again, in ms.
const DEFEAT_PAUSE: (u64, u64) = (3_000, 4_000);

/// Why an election was not won.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
enum ElectionFault {
    #[error("could not read the stored state: {0}")]
    Unreadable(#[from] ReadFault),
    #[error("could not store the election: {0}")]
    NotStored(#[from] LaneFault),
    #[error("a higher epoch was elected before")]
    Outdated,
    #[error("the owner that was just elected has not shown itself yet")]
    Unshown,
}

/// How the agent beside this candidate stands with the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerContact {
    Good,
    /// No answer, or the owner's last append was confirmed too long ago.
    Doubtful,
    /// Nobody owns the queues at the owner's address.
    Refused,
}

/// What a candidate needs.
pub struct CandidateContext {
    pub owner: OwnerContext,
    pub finder: Rc<OwnerFinder>,
    pub contact: tokio::sync::watch::Receiver<OwnerContact>,
    pub stopping: tokio::sync::watch::Receiver<bool>,
}

/// Stands for election whenever there is no owner, until the process stops.
pub async fn run(mut context: CandidateContext) {
    let mut unshown = UnshownOwner::default();
    while !*context.stopping.borrow() {
        let contact = *context.contact.borrow_and_update();
        if contact == OwnerContact::Good {
            tokio::select! {
                changed = context.contact.changed() => if changed.is_err() { return },
                _ = context.stopping.changed() => {}
            }
            continue;
        }
        if is_vacant(&context, contact).await {
            pause(CANDIDATE_SPREAD).await;
            if is_vacant(&context, *context.contact.borrow()).await {
                stand(&mut context, &mut unshown).await;
                continue;
            }
        }
        pause(WATCH_PAUSE).await;
    }
}

async fn is_vacant(context: &CandidateContext, contact: OwnerContact) -> bool {
    if contact == OwnerContact::Good || context.finder.read().await.is_err() {
        return false;
    }
    if context.finder.is_vacant() {
        return true;
    }
    let resigned = context.finder.owner().is_some_and(|beacon| beacon.resigned);
    let silence = if contact == OwnerContact::Refused { REFUSED_SILENCE } else { BEACON_SILENCE };
    resigned || context.finder.still() >= silence
}

/// An owner that was elected and has not shown a beacon, and since when.
#[derive(Debug, Default)]
struct UnshownOwner {
    epoch: Epoch,
    since: Moment,
}

impl UnshownOwner {
    /// Whether the owner of `epoch` has had the time to show itself.
    fn is_over(&mut self, epoch: Epoch, now: Moment) -> bool {
        if self.epoch != epoch {
            *self = Self { epoch, since: now };
        }
        now >= self.since.after(BEACON_SILENCE)
    }
}

async fn stand(context: &mut CandidateContext, unshown: &mut UnshownOwner) {
    let started = context.owner.clock.now();
    match elect(context, unshown, started).await {
        Ok(term) => {
            term.run(context.stopping.clone()).await;
            pause(DEFEAT_PAUSE).await;
        }
        Err(fault) => {
            let epoch = context.finder.owner().map_or(0, |beacon| beacon.epoch);
            let cause = fault.to_string();
            context.owner.log.note(DecisionEvent::ElectionLost { epoch, cause });
        }
    }
}

/// Loads the stored state and appends the next epoch right behind it.
async fn elect(
    context: &CandidateContext,
    unshown: &mut UnshownOwner,
    started: Moment,
) -> Result<OwnerTerm, ElectionFault> {
    let owner = &context.owner;
    let state = StoredState::load(&owner.store).await?;
    let shown = context.finder.owner().map_or(0, |beacon| beacon.epoch);
    if shown > state.epoch {
        return Err(ElectionFault::Outdated);
    }
    if shown < state.epoch && !unshown.is_over(state.epoch, owner.clock.now()) {
        return Err(ElectionFault::Unshown);
    }
    let epoch = state.epoch + 1;
    let mut tasks = open_lane(&owner.store, owner.clock, TASKS, epoch);
    let record = election_record(epoch, owner);
    let stored = tasks.append(Some(state.tasks_end), &[record]).await?;
    let mut beacons = open_lane(&owner.store, owner.clock, OWNER, epoch);
    let beacon =
        OwnerBeacon { epoch, owner: owner.name.clone(), address: owner.address, resigned: false };
    // Fences the beacon of the predecessor, which would renew its grants.
    while let Err(fault) = beacons.append(None, &[beacon.record()]).await {
        if fault == LaneFault::Fenced {
            return Err(fault.into());
        }
        pause(WATCH_PAUSE).await;
    }
    let now = owner.clock.now();
    let requests_end = state.requests_end;
    let grants_end = clock_bound(now, CONFIRM_LIMIT);
    let book = state.into_book(epoch, grants_end, now, unix_ms());
    owner.log.note(DecisionEvent::OwnerElected {
        epoch,
        jobs: book.jobs.len(),
        runs: book.seats.values().map(|seat| seat.runs.len()).sum(),
        loading: now.0.saturating_sub(started.0),
    });
    Ok(OwnerTerm::open(owner.clone(), book, requests_end, stored.sent, (tasks, beacons, beacon)))
}

fn election_record(epoch: Epoch, owner: &OwnerContext) -> KeyedRecord {
    let elected = OwnerElected { epoch, owner: owner.name.clone() };
    let value = serde_json::to_vec(&elected).unwrap_or_default();
    KeyedRecord { key: ELECTION_KEY.into(), value: Some(Bytes::from(value)) }
}

/// A lane of the owner of `epoch`.
#[must_use]
pub fn open_lane(
    store: &StoreClient,
    clock: MonotonicClock,
    topic: &'static str,
    epoch: Epoch,
) -> AppendLane {
    AppendLane::open(store.clone(), clock, topic, OWNER_PRODUCER.to_owned(), epoch)
}
