//! Stores callers' requests in groups, one append at a time.
//!
//! If the store refuses or delays an append of this entry, the entry asks the owner to repeat
//! it under the same number, so that it is stored once. A request
//! that waits too long for its append is refused and never stored. A request that may have
//! been stored must not be refused: it waits until its outcome is known.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use cactusdoor_core::unit::Moment;
use cactusdoor_node::clock::MonotonicClock;
use cactusdoor_peer::queue::{RelayedAppend, RelayedRequest, StoreReply};
use cactusdoor_platform::store::{AppendIdentity, KeyedRecord, StoreClient};
use tokio::sync::{Notify, mpsc, oneshot};

use crate::appender::{AppenderError, TopicAppender, pause};
use crate::body::BodyLease;
use crate::finder::OwnerFinder;
use crate::metrics::EntryMetrics;
use crate::owner_client::{CallError, OwnerClient};
use crate::topic::REQUESTS;

/// Longest wait of a request for its append, in ms: the caller can still try another entry.
const QUEUE_LIMIT: u64 = 600;
/// Pause after a refusal, in ms.
const REFUSED_PAUSE: (u64, u64) = (60, 160);
/// Most records of one append.
const GROUP_RECORDS: usize = 100;
/// Most bytes of one append; a record may be as large as a caller's body.
const GROUP_BYTES: usize = 600_000;
/// Time without a result after which a group is relayed to the owner: longer than a slow
/// answer of the store.
const RELAY_AFTER: Duration = Duration::from_millis(450);
/// Longest wait for the owner to store relayed requests.
const RELAY_LIMIT: Duration = Duration::from_millis(900);

/// Requests that wait for the submitter, and those that it holds: ten appends each, more than are
/// stored within `QUEUE_LIMIT`.
const WAITING_CALLS: usize = 1_000;

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
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
    pub reply: oneshot::Sender<SubmitOutcome>,
    /// The body's part of the budget; returned once the request is not held any more.
    pub lease: Option<BodyLease>,
}

/// Dependencies of a submitter.
pub struct SubmitContext {
    pub store: StoreClient,
    pub clock: MonotonicClock,
    /// Producer name of this process's appends, without the number of the appender.
    pub producer: String,
    pub finder: Rc<OwnerFinder>,
    pub metrics: EntryMetrics,
}

/// Starts the submitter; returns the sender of its requests.
pub fn spawn(context: SubmitContext) -> mpsc::Sender<SubmitCall> {
    let (sender, receiver) = mpsc::channel(WAITING_CALLS);
    let appender = open_appender(&context, 0);
    let submitter = Submitter {
        context,
        client: OwnerClient::default(),
        appender,
        retired: 0,
        relay_after: RELAY_AFTER,
        calls: receiver,
        waiting: VecDeque::new(),
    };
    actix_rt::spawn(submitter.run());
    sender
}

fn open_appender(context: &SubmitContext, number: u64) -> TopicAppender {
    let producer = format!("{}-{number}", context.producer);
    TopicAppender::open(context.store.clone(), context.clock, REQUESTS, producer, 1)
}

/// A waiting request, and whether it may have been stored.
struct WaitingCall {
    call: SubmitCall,
    uncertain: bool,
}

/// Outcome of a group.
enum GroupOutcome {
    Stored,
    /// Stored by the owner, under the number of this entry's append if `numbered`.
    Relayed {
        numbered: bool,
    },
    /// Stored neither here nor by the owner.
    Refused,
    /// The store refused it, and the owner did not answer.
    Unknown,
    /// The appender can append no more.
    Ended(AppenderError),
}

struct Submitter {
    context: SubmitContext,
    client: OwnerClient,
    appender: TopicAppender,
    /// Number of appenders replaced before: one with an append in flight cannot be reused.
    retired: u64,
    relay_after: Duration,
    calls: mpsc::Receiver<SubmitCall>,
    waiting: VecDeque<WaitingCall>,
}

impl Submitter {
    async fn run(mut self) {
        loop {
            if self.waiting.is_empty() {
                let Some(call) = self.calls.recv().await else { return };
                self.waiting.push_back(WaitingCall { call, uncertain: false });
            }
            while self.waiting.len() < WAITING_CALLS
                && let Ok(call) = self.calls.try_recv()
            {
                self.waiting.push_back(WaitingCall { call, uncertain: false });
            }
            refuse_expired(&mut self.waiting, self.context.clock.now());
            let (group, records) = next_group(&mut self.waiting);
            if group.is_empty() {
                continue;
            }
            match self.store(&records).await {
                GroupOutcome::Stored => {
                    self.relay_after = RELAY_AFTER;
                    answer(group, SubmitOutcome::Stored);
                }
                GroupOutcome::Relayed { numbered } => {
                    if numbered {
                        self.appender.advance();
                    } else {
                        // The append in flight may still be stored under its number.
                        self.replace_appender();
                    }
                    self.relay_after = Duration::ZERO;
                    self.context.metrics.relayed.inc_by(group.len() as u64);
                    answer(group, SubmitOutcome::Relayed);
                }
                GroupOutcome::Refused => self.requeue(group, false).await,
                GroupOutcome::Unknown => {
                    // The owner may still store the group under its number.
                    self.replace_appender();
                    self.requeue(group, true).await;
                }
                GroupOutcome::Ended(error) => {
                    log::error!("appender of this entry has failed and is replaced: {error}");
                    self.replace_appender();
                    self.requeue(group, true).await;
                }
            }
        }
    }

    fn replace_appender(&mut self) {
        self.retired += 1;
        self.appender = open_appender(&self.context, self.retired);
    }

    async fn requeue(&mut self, group: Vec<WaitingCall>, uncertain: bool) {
        for mut waiting in group.into_iter().rev() {
            waiting.uncertain |= uncertain;
            self.waiting.push_front(waiting);
        }
        refuse_expired(&mut self.waiting, self.context.clock.now());
        pause(REFUSED_PAUSE).await;
    }

    /// Appends a group, and asks the owner to store it if the append takes long or is refused.
    ///
    /// Meanwhile, requests that have waited longer than `QUEUE_LIMIT` are refused.
    async fn store(&mut self, records: &[KeyedRecord]) -> GroupOutcome {
        let relay_now = Notify::new();
        let identity = self.appender.identity().clone();
        let append = self.appender.append(None, records);
        let (finder, client) = (&self.context.finder, &self.client);
        let relay = relay(finder, client, (identity, records), self.relay_after, &relay_now);
        tokio::pin!(append, relay);
        let (mut refused, mut relayed) = (false, None);
        loop {
            tokio::select! {
                result = &mut append, if !refused => match result {
                    Ok(_) => return GroupOutcome::Stored,
                    Err(AppenderError::Refused(_)) => {
                        refused = true;
                        relay_now.notify_one();
                    }
                    Err(error) => return GroupOutcome::Ended(error),
                },
                reply = &mut relay, if relayed.is_none() => relayed = Some(reply),
                Some(call) = self.calls.recv(), if self.waiting.len() < WAITING_CALLS => {
                    self.waiting.push_back(WaitingCall { call, uncertain: false });
                }
                () = tokio::time::sleep(Duration::from_millis(QUEUE_LIMIT / 4)) => {
                    refuse_expired(&mut self.waiting, self.context.clock.now());
                }
            }
            match relayed {
                Some((StoreReply::Stored, numbered)) => return GroupOutcome::Relayed { numbered },
                Some((StoreReply::NotStored, _)) if refused => return GroupOutcome::Refused,
                Some((StoreReply::Unknown, _)) if refused => return GroupOutcome::Unknown,
                _ => {}
            }
        }
    }
}

/// Asks the owner to repeat an append, after `after` or once `relay_now` is notified. Returns
/// also whether the owner keeps to the append's number.
async fn relay(
    finder: &OwnerFinder,
    client: &OwnerClient,
    (identity, records): (AppendIdentity, &[KeyedRecord]),
    after: Duration,
    relay_now: &Notify,
) -> (StoreReply, bool) {
    // The relay starts after the wait or the notification, whichever comes first.
    let _ = tokio::time::timeout(after, relay_now.notified()).await;
    let Some(heartbeat) = finder.owner() else { return (StoreReply::NotStored, false) };
    let requests = records.iter().map(|record| RelayedRequest {
        key: record.key.clone(),
        value: record.value.clone().unwrap_or_default().into(),
    });
    let (address, requests) = (heartbeat.address, requests.collect());
    let numbered = heartbeat.repeats_appends;
    let answer = if numbered {
        let AppendIdentity { producer, epoch, sequence } = identity;
        let append = RelayedAppend { producer, epoch, sequence, requests };
        client.append(address, append, RELAY_LIMIT).await
    } else {
        client.store(address, requests, RELAY_LIMIT).await
    };
    let reply = match answer {
        Ok(reply) => reply,
        Err(CallError::NotConnected) => StoreReply::NotStored,
        Err(CallError::NoAnswer) => StoreReply::Unknown,
    };
    (reply, numbered)
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

/// Refuses requests that have waited too long and cannot have been stored; drops requests
/// that may have been stored and whose callers have closed their calls.
fn refuse_expired(waiting: &mut VecDeque<WaitingCall>, now: Moment) {
    for _ in 0..waiting.len() {
        let Some(next) = waiting.pop_front() else { return };
        if next.uncertain && next.call.reply.is_closed() {
            continue;
        }
        if !next.uncertain && next.call.arrived.after(QUEUE_LIMIT) <= now {
            answer([next], SubmitOutcome::Refused);
        } else {
            waiting.push_back(next);
        }
    }
}

fn answer(group: impl IntoIterator<Item = WaitingCall>, outcome: SubmitOutcome) {
    for waiting in group {
        if waiting.call.reply.send(outcome).is_err() {
            log::debug!("a caller closed its call before its request was stored");
        }
    }
}
