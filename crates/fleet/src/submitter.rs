//! Stores what callers hand in, in groups, one append at a time.
//!
//! A request that waits too long for its turn is refused and never stored. One
//! whose append has no answer stays open until the verdict is known.

use std::collections::VecDeque;
use std::time::Duration;

use cactusdoor_core::unit::Moment;
use cactusdoor_node::clock::MonotonicClock;
use cactusdoor_platform::store::{KeyedRecord, StoreClient};
use tokio::sync::{mpsc, oneshot};

use crate::lane::{AppendLane, LaneFault, pause};
use crate::topic::REQUESTS;

/// Longest wait of a request for its append: the caller can still try another entry.
const TURN_LIMIT: u64 = 600;
/// Pause after a refusal, in ms.
const REFUSED_PAUSE: (u64, u64) = (60, 160);
/// Most records of one append.
const GROUP_RECORDS: usize = 100;
/// Most bytes of one append; a record may be as large as a caller's body.
const GROUP_BYTES: usize = 600_000;

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitVerdict {
    Stored,
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

/// Stores requests from now on; `incarnation` names this process's appends.
pub fn spawn(
    store: StoreClient,
    clock: MonotonicClock,
    producer: String,
) -> mpsc::UnboundedSender<SubmitCall> {
    let (sender, receiver) = mpsc::unbounded_channel();
    let lane = AppendLane::open(store, clock, REQUESTS, producer, 1);
    actix_rt::spawn(run(lane, clock, receiver));
    sender
}

async fn run(
    mut lane: AppendLane,
    clock: MonotonicClock,
    mut calls: mpsc::UnboundedReceiver<SubmitCall>,
) {
    let mut waiting = VecDeque::new();
    loop {
        if waiting.is_empty() {
            let Some(call) = calls.recv().await else { return };
            waiting.push_back(call);
        }
        while let Ok(call) = calls.try_recv() {
            waiting.push_back(call);
        }
        refuse_late(&mut waiting, clock.now());
        let (group, records) = next_group(&mut waiting);
        if group.is_empty() {
            continue;
        }
        // The verdict of an append may take long; what waits behind it must not.
        let verdict = {
            let append = lane.append(None, &records);
            tokio::pin!(append);
            loop {
                tokio::select! {
                    verdict = &mut append => break verdict,
                    Some(call) = calls.recv() => waiting.push_back(call),
                    () = tokio::time::sleep(Duration::from_millis(TURN_LIMIT / 4)) => {
                        refuse_late(&mut waiting, clock.now());
                    }
                }
            }
        };
        match verdict {
            Ok(_) => answer(group, SubmitVerdict::Stored),
            Err(LaneFault::Refused(_)) => {
                for call in group.into_iter().rev() {
                    waiting.push_front(call);
                }
                refuse_late(&mut waiting, clock.now());
                pause(REFUSED_PAUSE).await;
            }
            Err(fault) => {
                log::error!("appends of this entry have ended: {fault}");
                answer(group, SubmitVerdict::Refused);
                return;
            }
        }
    }
}

fn next_group(waiting: &mut VecDeque<SubmitCall>) -> (Vec<SubmitCall>, Vec<KeyedRecord>) {
    let (mut group, mut records, mut bytes) = (Vec::new(), Vec::new(), 0);
    while records.len() < GROUP_RECORDS && bytes < GROUP_BYTES {
        let Some(call) = waiting.pop_front() else { break };
        bytes += call.record.size();
        records.push(call.record.clone());
        group.push(call);
    }
    (group, records)
}

/// Refuses what has waited for too long; none of it is part of an append.
fn refuse_late(waiting: &mut VecDeque<SubmitCall>, now: Moment) {
    while waiting.front().is_some_and(|call| call.arrived.after(TURN_LIMIT) <= now) {
        answer(waiting.pop_front(), SubmitVerdict::Refused);
    }
}

fn answer(calls: impl IntoIterator<Item = SubmitCall>, verdict: SubmitVerdict) {
    for call in calls {
        if call.reply.send(verdict).is_err() {
            log::debug!("a caller gave up before its request was stored");
        }
    }
}
