//! Watches for an owner that is gone and stands for election.

use std::rc::Rc;

use bytes::Bytes;
use cactusdoor_core::unit::{Epoch, Millis, Moment};
use cactusdoor_node::clock::{MonotonicClock, unix_ms};
use cactusdoor_platform::store::{KeyedRecord, ReadFault, StoreClient};
use cactusdoor_queue::lease::{CONFIRM_LIMIT, clock_bound};
use cactusdoor_queue::record::{ELECTION_KEY, OwnerElected};
use thiserror::Error;

use crate::decision::DecisionEvent;
use crate::finder::{OwnerBeacon, OwnerFinder};
use crate::lane::{AppendLane, LaneFault, StoredAppend, pause};
use crate::loading::StoredState;
use crate::owner::{OwnerContext, OwnerTerm};
use crate::topic::{OWNER, OWNER_PRODUCER, TASKS};

/// A beacon that has not moved for so long has no owner: two renewals were missed.
const BEACON_SILENCE: Millis = 1_400;
/// An election may have been won by a process that shows itself within this time:
/// it reads all state first.
const ELECTED_SILENCE: Millis = 2_300;
/// The store has to have answered for so long: an owner that it has just begun to
/// serve again renews its beacon meanwhile.
const SERVED_TIME: Millis = 650;
/// As `BEACON_SILENCE`, for an owner at whose address nobody owns the queues any more.
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
    /// Nobody owns the queues at the address of the owner of this epoch.
    Refused(Epoch),
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
            // A borrow held over an await would block the reporter on this thread.
            let contact = *context.contact.borrow();
            if is_vacant(&context, contact).await {
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
    let Some(beacon) = context.finder.owner() else { return false };
    let refused = contact == OwnerContact::Refused(beacon.epoch);
    let silence = if refused { REFUSED_SILENCE } else { BEACON_SILENCE };
    let served = context.finder.served() >= SERVED_TIME.min(silence);
    beacon.resigned || (served && context.finder.still() >= silence)
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
        now >= self.since.after(ELECTED_SILENCE)
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
///
/// The election is appended under a producer of this process: two candidates
/// that numbered it alike would both get the answer to the first. Then the
/// epoch fences the predecessor, and what it stored until then is read.
async fn elect(
    context: &CandidateContext,
    unshown: &mut UnshownOwner,
    started: Moment,
) -> Result<OwnerTerm, ElectionFault> {
    let owner = &context.owner;
    let mut state = StoredState::load(&owner.store).await?;
    let shown = context.finder.owner().map_or(0, |beacon| beacon.epoch);
    if shown > state.epoch() {
        return Err(ElectionFault::Outdated);
    }
    if shown < state.epoch() && !unshown.is_over(state.epoch(), owner.clock.now()) {
        return Err(ElectionFault::Unshown);
    }
    let epoch = state.epoch() + 1;
    let record = election_record(epoch, owner);
    let producer = format!("candidate-{}-{:016x}", owner.name, rand::random::<u64>());
    let (store, clock) = (&owner.store, owner.clock);
    let mut election = AppendLane::open(store.clone(), clock, TASKS, producer, 1);
    election.append(Some(state.tasks_end), std::slice::from_ref(&record)).await?;
    let mut tasks = open_lane(store, clock, TASKS, epoch);
    append_surely(&mut tasks, &record).await?;
    let mut beacons = open_lane(store, clock, OWNER, epoch);
    let (name, address) = (owner.name.clone(), owner.address);
    let beacon = OwnerBeacon { epoch, owner: name, address, resigned: false };
    // Fences the beacon of the predecessor, which would renew its grants.
    let confirmed = append_surely(&mut beacons, &beacon.record()).await?.sent;
    let now = clock.now();
    while let Err(fault) = state.catch_up(store).await {
        log::warn!("could not read what the predecessor stored: {fault}");
        pause(WATCH_PAUSE).await;
    }
    let mut requests_read = clock.now();
    while let Err(fault) = state.read_requests(store).await {
        log::warn!("could not read the requests: {fault}");
        pause(WATCH_PAUSE).await;
        requests_read = clock.now();
    }
    let requests = (state.requests_end, requests_read);
    let grants_end = clock_bound(now, CONFIRM_LIMIT);
    let book = state.into_book(epoch, grants_end, now, unix_ms());
    owner.log.note(DecisionEvent::OwnerElected {
        epoch,
        jobs: book.jobs.len(),
        runs: book.seats.values().map(|seat| seat.runs.len()).sum(),
        loading: now.0.saturating_sub(started.0),
    });
    Ok(OwnerTerm::open(owner.clone(), book, requests, confirmed, (tasks, beacons, beacon)))
}

/// Appends a record that only this process may append.
async fn append_surely(
    lane: &mut AppendLane,
    record: &KeyedRecord,
) -> Result<StoredAppend, LaneFault> {
    loop {
        match lane.append(None, std::slice::from_ref(record)).await {
            Err(LaneFault::Refused(_)) => pause(WATCH_PAUSE).await,
            verdict => return verdict,
        }
    }
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
