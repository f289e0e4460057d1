//! Background tasks of an owner: appends, heartbeats and reads of the requests.
//!
//! Each task talks to the owner's loop through channels only and decides nothing but when to
//! repeat a call. An append refused by the store is repeated only while the owner runs.

use std::time::Duration;

use cactusdoor_core::unit::Offset;
use cactusdoor_platform::store::KeyedRecord;
use tokio::sync::{mpsc, watch};

use super::{AppendResult, OwnerContext};
use crate::appender::{AppenderError, TopicAppender, pause};
use crate::finder::OwnerHeartbeat;
use crate::follower::{TopicFollower, TopicUpdate};
use crate::topic::REQUESTS;

/// Time between two heartbeats.
pub(super) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait of one read of the requests; also bounds the answer to `find`.
const REQUEST_WAIT: Duration = Duration::from_millis(500);
/// Pause before a refused append is repeated, in ms.
const REFUSED_PAUSE: (u64, u64) = (60, 180);

/// Records to append together.
pub(super) struct AppendGroup {
    pub records: Vec<KeyedRecord>,
    /// Whether an append refused by the store is repeated until it is stored.
    pub retries: bool,
}

/// Appends groups in order; each gets one result.
pub(super) fn spawn_appender(
    mut appender: TopicAppender,
) -> (mpsc::UnboundedSender<AppendGroup>, mpsc::UnboundedReceiver<AppendResult>) {
    let (groups, mut waiting) = mpsc::unbounded_channel::<AppendGroup>();
    let (sender, results) = mpsc::unbounded_channel();
    actix_rt::spawn(async move {
        while let Some(group) = waiting.recv().await {
            let result = loop {
                match appender.append(None, &group.records).await {
                    Err(AppenderError::Refused(_)) if group.retries && !waiting.is_closed() => {
                        pause(REFUSED_PAUSE).await;
                    }
                    result => break result,
                }
            };
            // Once the owner's loop has ended, waiting groups are appended until one fails.
            if sender.send(result).is_err() && result.is_err() {
                return;
            }
        }
    });
    (groups, results)
}

/// Appends heartbeats until the owner resigns; the last one announces the resignation.
pub(super) fn spawn_heartbeats(
    mut appender: TopicAppender,
    mut heartbeat: OwnerHeartbeat,
    mut resigned: watch::Receiver<bool>,
) -> mpsc::UnboundedReceiver<AppendResult> {
    let (sender, results) = mpsc::unbounded_channel();
    actix_rt::spawn(async move {
        loop {
            let renewal = tokio::time::timeout(HEARTBEAT_INTERVAL, resigned.changed());
            match renewal.await {
                Ok(Ok(())) => heartbeat.resigned = *resigned.borrow(),
                Ok(Err(_)) => return,
                Err(_) => {}
            }
            let result = appender.append(None, &[heartbeat.record()]).await;
            if sender.send(result).is_err()
                || heartbeat.resigned
                || result == Err(AppenderError::Fenced)
            {
                return;
            }
        }
    });
    results
}

/// Reads the requests from an offset on.
pub(super) fn spawn_request_reader(
    context: &OwnerContext,
    next: Offset,
) -> mpsc::UnboundedReceiver<TopicUpdate> {
    let (updates, receiver) = mpsc::unbounded_channel();
    let (store, clock) = (context.store.clone(), context.clock);
    actix_rt::spawn(async move {
        let mut follower = TopicFollower::resume(store, clock, REQUESTS, next);
        while !updates.is_closed() {
            match follower.read(REQUEST_WAIT).await {
                Ok(update) => {
                    if updates.send(update).is_err() {
                        return;
                    }
                }
                Err(error) => {
                    log::debug!("could not read requests: {error}");
                    follower.recover().await;
                }
            }
        }
    });
    receiver
}
