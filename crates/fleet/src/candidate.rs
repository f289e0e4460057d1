//! An agent's candidacy in the election of the owner.
//!
//! Decides when the owner counts as failed, appends an election record and opens the winner's
//! term. Only one candidate can win an epoch: the election is appended at the exact end of
//! the tasks that the candidate has read. A candidate places nothing before it has fenced
//! its predecessor and read all that the predecessor stored.

use std::rc::Rc;

use bytes::Bytes;
use cactusdoor_core::unit::{Epoch, Millis, Moment};
use cactusdoor_node::clock::{MonotonicClock, unix_ms};
use cactusdoor_platform::store::{KeyedRecord, ReadError, StoreClient};
use cactusdoor_queue::lease::{CONFIRM_LIMIT, clock_bound};
use cactusdoor_queue::record::{ELECTION_KEY, OwnerElected};
use thiserror::Error;

use crate::appender::{AppenderError, StoredAppend, TopicAppender, pause};
use crate::decision::DecisionEvent;
use crate::finder::{OwnerFinder, OwnerHeartbeat};
use crate::loading::{MAX_EPOCH, StoredState};
use crate::owner::{OwnerContext, OwnerTerm, learning};
use crate::topic::{OWNER, OWNER_PRODUCER, TASKS};

/// Time without a new heartbeat, ms, after which the owner counts as failed: two were
/// missed.
const HEARTBEAT_TIMEOUT: Millis = 1_400;
/// Time in which the winner of an election sends its first heartbeat, ms: it may still be
/// reading the stored state.
const FIRST_HEARTBEAT_TIMEOUT: Millis = 2_300;
/// Time for which the store must have answered this process, ms: after an outage, a live
/// owner needs this time to send a heartbeat.
const STORE_UP_TIME: Millis = 650;
/// Heartbeat timeout, ms, if the process at the owner's address is not the owner.
const REFUSED_TIMEOUT: Millis = 400;
/// Random delay before a candidacy, in ms: up to the time that an election takes.
const CANDIDACY_DELAY: (u64, u64) = (0, 300);
/// Pause between two reads of the heartbeat, in ms.
const POLL_PAUSE: (u64, u64) = (280, 420);
/// Pause of an owner that was fenced or resigned before its next candidacy, in ms.
const RECANDIDACY_PAUSE: (u64, u64) = (3_000, 4_000);

/// Why an election was not won.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
enum ElectionError {
    #[error("could not read the stored state: {0}")]
    Unreadable(#[from] ReadError),
    #[error("could not store the election: {0}")]
    NotStored(#[from] AppenderError),
    #[error("the owner, or its successor, has sent a heartbeat")]
    Outdated,
    #[error("the owner that was just elected has not sent a heartbeat yet")]
    NoHeartbeat,
}

/// State of the connection between this process's agent and the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerContact {
    /// The owner answers, and the store has recently confirmed its appends.
    Confirmed,
    /// The owner does not answer, or its newest confirmed append is too old.
    Unconfirmed,
    /// The process at the address of the owner of this epoch does not own the queues.
    Refused(Epoch),
}

/// Dependencies of a candidate.
pub struct CandidateContext {
    pub owner: OwnerContext,
    pub finder: Rc<OwnerFinder>,
    pub contact: tokio::sync::watch::Receiver<OwnerContact>,
    pub stopping: tokio::sync::watch::Receiver<bool>,
}

/// Runs for election whenever there is no owner, until the process stops.
pub async fn run(mut context: CandidateContext) {
    let mut pending_owner = PendingOwner::default();
    while !*context.stopping.borrow() {
        let contact = *context.contact.borrow_and_update();
        if contact == OwnerContact::Confirmed {
            tokio::select! {
                changed = context.contact.changed() => if changed.is_err() { return },
                _ = context.stopping.changed() => {}
            }
            continue;
        }
        if needs_election(&context, contact).await {
            pause(CANDIDACY_DELAY).await;
            // A borrow held across an await would block the reporter on this thread.
            let contact = *context.contact.borrow();
            if needs_election(&context, contact).await && announce(&context).await {
                run_for_election(&mut context, &mut pending_owner).await;
                continue;
            }
        }
        pause(POLL_PAUSE).await;
    }
}

/// Whether there is no live owner, as of a new read of the heartbeat.
async fn needs_election(context: &CandidateContext, contact: OwnerContact) -> bool {
    if contact == OwnerContact::Confirmed || context.finder.read().await.is_err() {
        return false;
    }
    has_failed(context, contact)
}

/// Announces the candidacy. One process at a time loads the stored state: the others wait
/// for its heartbeat.
async fn announce(context: &CandidateContext) -> bool {
    match context.finder.announce_candidacy(&context.owner.name).await {
        Ok(()) => true,
        Err(error) => {
            log::debug!("candidacy was not stored: {error}");
            false
        }
    }
}

/// Whether the owner has failed and no candidate is about to replace it, as of the last read.
fn has_failed(context: &CandidateContext, contact: OwnerContact) -> bool {
    if context.finder.has_candidate() {
        return false;
    }
    if context.finder.has_no_heartbeat() {
        return true;
    }
    let Some(heartbeat) = context.finder.owner() else { return false };
    let refused = contact == OwnerContact::Refused(heartbeat.epoch);
    let timeout = if refused { REFUSED_TIMEOUT } else { HEARTBEAT_TIMEOUT };
    let store_is_up = context.finder.store_uptime() >= STORE_UP_TIME.min(timeout);
    heartbeat.resigned || (store_is_up && context.finder.heartbeat_age() >= timeout)
}

/// An elected owner without a heartbeat so far, and since when its election is known.
#[derive(Debug, Default)]
struct PendingOwner {
    epoch: Epoch,
    since: Moment,
}

impl PendingOwner {
    /// Whether the owner of `epoch` has had time to send its first heartbeat.
    fn has_timed_out(&mut self, epoch: Epoch, now: Moment) -> bool {
        if self.epoch != epoch {
            *self = Self { epoch, since: now };
        }
        now >= self.since.after(FIRST_HEARTBEAT_TIMEOUT)
    }
}

/// Runs for election once and, if elected, serves a whole term.
async fn run_for_election(context: &mut CandidateContext, pending_owner: &mut PendingOwner) {
    let started = context.owner.clock.now();
    match elect(context, pending_owner, started).await {
        Ok(term) => {
            term.run(context.stopping.clone()).await;
            pause(RECANDIDACY_PAUSE).await;
        }
        Err(error) => {
            let epoch = context.finder.owner().map_or(0, |heartbeat| heartbeat.epoch);
            let cause = error.to_string();
            context.owner.log.record(DecisionEvent::ElectionLost { epoch, cause });
        }
    }
}

/// Loads the stored state and appends an election record directly behind it.
///
/// The election has a producer name unique to this process: under a shared name, the
/// store would answer the second of two candidates as a repetition of the first. Then the
/// epoch fences the predecessor, and all records that it stored are read.
async fn elect(
    context: &CandidateContext,
    pending_owner: &mut PendingOwner,
    started: Moment,
) -> Result<OwnerTerm, ElectionError> {
    let owner = &context.owner;
    let contact = *context.contact.borrow();
    let mut state = StoredState::load(&owner.store).await?;
    // Loading takes a while: an owner that has sent a heartbeat meanwhile is not replaced.
    context.finder.read().await?;
    if !has_failed(context, contact) {
        return Err(ElectionError::Outdated);
    }
    let seen = context.finder.owner();
    let seen_epoch = seen.as_ref().map_or(0, |heartbeat| heartbeat.epoch);
    if let Some(elected) = state.epoch().filter(|elected| seen_epoch < *elected)
        && !pending_owner.has_timed_out(elected, owner.clock.now())
    {
        return Err(ElectionError::NoHeartbeat);
    }
    let epoch = next_epoch(state.epoch(), seen_epoch, unix_ms());
    let record = election_record(epoch, owner);
    let producer = format!("candidate-{}-{:016x}", owner.name, rand::random::<u64>());
    let (store, clock) = (&owner.store, owner.clock);
    let mut election_appender = TopicAppender::open(store.clone(), clock, TASKS, producer, 1);
    election_appender.append(Some(state.tasks_end), std::slice::from_ref(&record)).await?;
    let mut task_appender = open_appender(store, clock, TASKS, epoch);
    append_until_stored(&mut task_appender, &record).await?;
    let mut heartbeat_appender = open_appender(store, clock, OWNER, epoch);
    let (name, address) = (owner.name.clone(), owner.address);
    let heartbeat = OwnerHeartbeat {
        epoch,
        owner: name,
        address,
        resigned: false,
        repeats_appends: true,
        loads: true,
        backlogs: true,
    };
    // Fences the predecessor's heartbeat, which would renew its agents' leases.
    let confirmed = append_until_stored(&mut heartbeat_appender, &heartbeat.record()).await?.sent;
    let now = clock.now();
    while let Err(error) = state.catch_up(store).await {
        log::warn!("could not read the predecessor's records: {error}");
        pause(POLL_PAUSE).await;
    }
    let mut requests_read = clock.now();
    while let Err(error) = state.read_requests(store).await {
        log::warn!("could not read the requests: {error}");
        pause(POLL_PAUSE).await;
        requests_read = clock.now();
    }
    let requests = (state.requests_end, requests_read);
    let leases_end = clock_bound(now, CONFIRM_LIMIT);
    let mut scheduler = state.into_scheduler(epoch, leases_end, now, unix_ms());
    scheduler.set_features(owner.features);
    if owner.features.learned_state
        && let Some(learned) = learning::load(store).await
    {
        let (images, age) = (learned.images(), learned.age(unix_ms()));
        scheduler.interference = learned.into_model();
        owner.log.record(DecisionEvent::EstimatesLoaded { epoch, images, age });
    }
    owner.log.record(DecisionEvent::OwnerElected {
        epoch,
        jobs: scheduler.jobs.len(),
        runs: scheduler.workers.values().map(|tracked| tracked.runs.len()).sum(),
        loading: now.0.saturating_sub(started.0),
    });
    Ok(OwnerTerm::open(
        owner.clone(),
        scheduler,
        requests,
        confirmed,
        (task_appender, heartbeat_appender, heartbeat),
    ))
}

/// Epoch of a new election, above that of every owner so far.
///
/// A heartbeat follows the election of its epoch, so a heartbeat with a higher epoch shows that
/// another writer has written one of the two records. If the record of the election is
/// unreadable, the time is above all epochs that were counted from 1.
fn next_epoch(elected: Option<Epoch>, seen: Epoch, unix: Millis) -> Epoch {
    let seen = if seen <= MAX_EPOCH { seen } else { 0 };
    elected.unwrap_or(unix).max(seen) + 1
}

/// Appends until the store accepts the record or a higher epoch fences this one.
async fn append_until_stored(
    appender: &mut TopicAppender,
    record: &KeyedRecord,
) -> Result<StoredAppend, AppenderError> {
    loop {
        match appender.append(None, std::slice::from_ref(record)).await {
            Err(AppenderError::Refused(_)) => pause(POLL_PAUSE).await,
            result => return result,
        }
    }
}

fn election_record(epoch: Epoch, owner: &OwnerContext) -> KeyedRecord {
    let elected = OwnerElected { epoch, owner: owner.name.clone() };
    let value = serde_json::to_vec(&elected).unwrap_or_default();
    KeyedRecord { key: ELECTION_KEY.into(), value: Some(Bytes::from(value)) }
}

/// An appender of the owner of `epoch`.
#[must_use]
pub fn open_appender(
    store: &StoreClient,
    clock: MonotonicClock,
    topic: &'static str,
    epoch: Epoch,
) -> TopicAppender {
    TopicAppender::open(store.clone(), clock, topic, OWNER_PRODUCER.to_owned(), epoch)
}
