//! Stores what callers hand in, in groups, one append at a time.
//!
//! Where the store turns this entry away, or keeps it waiting, the owner is asked to
//! store the group. Requests are kept by key, so one that is stored both ways counts
//! once. A request that waits too long for its turn is refused and never stored. One
//! that may have been stored stays open until the verdict is known.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use cactusdoor_core::unit::Moment;
use cactusdoor_node::clock::MonotonicClock;
use cactusdoor_peer::queue::{RelayedRequest, StoreReply};
use cactusdoor_platform::store::{KeyedRecord, StoreClient};
use tokio::sync::{Notify, mpsc, oneshot};

use crate::finder::OwnerFinder;
use crate::lane::{AppendLane, LaneFault, pause};
use crate::link::{LinkError, OwnerLink};
use crate::meters::EntryMeters;
use crate::topic::REQUESTS;

/// Longest wait of a request for its append: the caller can still try another entry.
const TURN_LIMIT: u64 = 600;
/// Pause after a refusal, in ms.
const REFUSED_PAUSE: (u64, u64) = (60, 160);
/// Most records of one append.
const GROUP_RECORDS: usize = 100;
/// Most bytes of one append; a record may be as large as a caller's body.
const GROUP_BYTES: usize = 600_000;
/// An append that has no verdict for so long is relayed: a slow answer of the store
/// takes less.
const RELAY_AFTER: Duration = Duration::from_millis(450);
/// Longest wait for the owner to store relayed requests.
const RELAY_LIMIT: Duration = Duration::from_millis(900);

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitVerdict {
    Stored,
    /// Stored by the owner.
    Relayed,
    /// Not stored and never will be.
    Refused,
}

/// A request to store.
#[derive(Debug)]
pub struct SubmitCall {
    pub record: KeyedRecord,
    pub arrived: Moment,
    pub reply: oneshot::Sender<SubmitVerdict>,
}

/// What a submitter needs.
pub struct SubmitContext {
    pub store: StoreClient,
    pub clock: MonotonicClock,
    /// Names this process's appends.
    pub producer: String,
    pub finder: Rc<OwnerFinder>,
    pub meters: EntryMeters,
}

/// Stores requests from now on.
pub fn spawn(context: SubmitContext) -> mpsc::UnboundedSender<SubmitCall> {
    let (sender, receiver) = mpsc::unbounded_channel();
    let lane = open_lane(&context, 0);
    let submitter = Submitter {
        context,
        link: OwnerLink::default(),
        lane,
        lanes: 0,
        relay_after: RELAY_AFTER,
        calls: receiver,
        waiting: VecDeque::new(),
    };
    actix_rt::spawn(submitter.run());
    sender
}

fn open_lane(context: &SubmitContext, number: u64) -> AppendLane {
    let producer = format!("{}-{number}", context.producer);
    AppendLane::open(context.store.clone(), context.clock, REQUESTS, producer, 1)
}

/// A request that waits, and whether it may have been stored.
struct WaitingCall {
    call: SubmitCall,
    uncertain: bool,
}

/// What became of a group.
enum GroupVerdict {
    Stored,
    Relayed,
    /// Not stored by any call.
    Refused,
    /// The store refused it, and the owner did not answer.
    Unknown,
    /// The lane can append no more.
    Ended(LaneFault),
}

struct Submitter {
    context: SubmitContext,
    link: OwnerLink,
    lane: AppendLane,
    /// Lanes that were given up with an append in flight.
    lanes: u64,
    relay_after: Duration,
    calls: mpsc::UnboundedReceiver<SubmitCall>,
    waiting: VecDeque<WaitingCall>,
}

impl Submitter {
    async fn run(mut self) {
        loop {
            if self.waiting.is_empty() {
                let Some(call) = self.calls.recv().await else { return };
                self.waiting.push_back(WaitingCall { call, uncertain: false });
            }
            while let Ok(call) = self.calls.try_recv() {
                self.waiting.push_back(WaitingCall { call, uncertain: false });
            }
            refuse_late(&mut self.waiting, self.context.clock.now());
            let (group, records) = next_group(&mut self.waiting);
            if group.is_empty() {
                continue;
            }
            match self.store(&records).await {
                GroupVerdict::Stored => {
                    self.relay_after = RELAY_AFTER;
                    answer(group, SubmitVerdict::Stored);
                }
                GroupVerdict::Relayed => {
                    // The append in flight may still be carried out; its number is used up.
                    self.lanes += 1;
                    self.lane = open_lane(&self.context, self.lanes);
                    self.relay_after = Duration::ZERO;
                    self.context.meters.relayed.inc_by(group.len() as u64);
                    answer(group, SubmitVerdict::Relayed);
                }
                GroupVerdict::Refused => self.put_back(group, false).await,
                GroupVerdict::Unknown => self.put_back(group, true).await,
                GroupVerdict::Ended(fault) => {
                    log::error!("appends of this entry have ended: {fault}");
                    self.lanes += 1;
                    self.lane = open_lane(&self.context, self.lanes);
                    self.put_back(group, true).await;
                }
            }
        }
    }

    async fn put_back(&mut self, group: Vec<WaitingCall>, uncertain: bool) {
        for mut waiting in group.into_iter().rev() {
            waiting.uncertain |= uncertain;
            self.waiting.push_front(waiting);
        }
        refuse_late(&mut self.waiting, self.context.clock.now());
        pause(REFUSED_PAUSE).await;
    }

    /// Appends a group, and has the owner store it if that takes long or fails.
    ///
    /// What waits behind it is not kept waiting beyond its turn.
    async fn store(&mut self, records: &[KeyedRecord]) -> GroupVerdict {
        let hurry = Notify::new();
        let append = self.lane.append(None, records);
        let relay = relay(&self.context.finder, &self.link, records, self.relay_after, &hurry);
        tokio::pin!(append, relay);
        let (mut refused, mut relayed) = (false, None);
        loop {
            tokio::select! {
                verdict = &mut append, if !refused => match verdict {
                    Ok(_) => return GroupVerdict::Stored,
                    Err(LaneFault::Refused(_)) => {
                        refused = true;
                        hurry.notify_one();
                    }
                    Err(fault) => return GroupVerdict::Ended(fault),
                },
                reply = &mut relay, if relayed.is_none() => relayed = Some(reply),
                Some(call) = self.calls.recv() => {
                    self.waiting.push_back(WaitingCall { call, uncertain: false });
                }
                () = tokio::time::sleep(Duration::from_millis(TURN_LIMIT / 4)) => {
                    refuse_late(&mut self.waiting, self.context.clock.now());
                }
            }
            match relayed {
                Some(StoreReply::Stored) => return GroupVerdict::Relayed,
                Some(StoreReply::NotStored) if refused => return GroupVerdict::Refused,
                Some(StoreReply::Unknown) if refused => return GroupVerdict::Unknown,
                _ => {}
            }
        }
    }
}

/// Asks the owner to store records, after a while or once there is a hurry.
async fn relay(
    finder: &OwnerFinder,
    link: &OwnerLink,
    records: &[KeyedRecord],
    after: Duration,
    hurry: &Notify,
) -> StoreReply {
    // Either way it is time.
    let _ = tokio::time::timeout(after, hurry.notified()).await;
    let Some(beacon) = finder.owner() else { return StoreReply::NotStored };
    let requests = records.iter().map(|record| RelayedRequest {
        key: record.key.clone(),
        value: record.value.clone().unwrap_or_default().into(),
    });
    match link.store(beacon.address, requests.collect(), RELAY_LIMIT).await {
        Ok(reply) => reply,
        Err(LinkError::NotConnected) => StoreReply::NotStored,
        Err(LinkError::NoAnswer) => StoreReply::Unknown,
    }
}

fn next_group(waiting: &mut VecDeque<WaitingCall>) -> (Vec<WaitingCall>, Vec<KeyedRecord>) {
    let (mut group, mut records, mut bytes) = (Vec::new(), Vec::new(), 0);
    while records.len() < GROUP_RECORDS && bytes < GROUP_BYTES {
        let Some(next) = waiting.pop_front() else { break };
        bytes += next.call.record.size();
        records.push(next.call.record.clone());
        group.push(next);
    }
    (group, records)
}

/// Refuses what has waited for too long and was never part of an append without a
/// verdict; drops what nobody waits for any more.
fn refuse_late(waiting: &mut VecDeque<WaitingCall>, now: Moment) {
    for _ in 0..waiting.len() {
        let Some(next) = waiting.pop_front() else { return };
        if next.uncertain && next.call.reply.is_closed() {
            continue;
        }
        if !next.uncertain && next.call.arrived.after(TURN_LIMIT) <= now {
            answer([next], SubmitVerdict::Refused);
        } else {
            waiting.push_back(next);
        }
    }
}

fn answer(group: impl IntoIterator<Item = WaitingCall>, verdict: SubmitVerdict) {
    for waiting in group {
        if waiting.call.reply.send(verdict).is_err() {
            log::debug!("a caller gave up before its request was stored");
        }
    }
}
