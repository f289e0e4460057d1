//! Callers' requests as an owner handles them: reads, relays and removals.
//!
//! Jobs and cancels that were read from the store go to the scheduler, and requests that an
//! entry could not store are stored for it. Only the requests of ended jobs are removed.

use std::time::Duration;

use bytes::Bytes;
use cactusdoor_core::unit::{Millis, Moment};
use cactusdoor_node::clock::unix_ms;
use cactusdoor_peer::queue::{FindReply, RelayedAppend, RelayedRequest, StoreReply};
use cactusdoor_platform::store::{AppendIdentity, KeyedRecord, StoredRecord};
use cactusdoor_queue::record::RequestKey;
use cactusdoor_queue::spec::JobSpec;
use tokio::sync::oneshot;

use super::background::AppendGroup;
use super::{AppendResult, OwnerTerm, send};
use crate::appender::{AppenderError, TopicAppender};
use crate::follower::TopicUpdate;
use crate::odd_entry;
use crate::topic::REQUESTS;

/// Longest time for which an entry's append is repeated: the entry waits no longer.
const REPEAT_LIMIT: Duration = Duration::from_millis(900);
/// Time between two removals of the requests of ended jobs, ms.
pub(super) const REMOVAL_INTERVAL: Millis = 2_000;

impl OwnerTerm {
    /// Removes the requests of ended jobs, and the states of jobs that ended long ago.
    pub(super) fn remove_ended(&mut self, now: Moment, unix: Millis) {
        if now < self.removal_at {
            return;
        }
        self.removal_at = now.after(REMOVAL_INTERVAL);
        for job in self.scheduler.drop_ended(unix) {
            self.published.swap_remove(&job);
        }
        let ended = std::mem::take(&mut self.ended);
        let keys = ended.into_iter().flat_map(|job| {
            [RequestKey::Job(job.clone()), RequestKey::Cancel(job)].map(|key| key.text())
        });
        let records: Vec<_> = keys.map(|key| KeyedRecord { key, value: None }).collect();
        if !records.is_empty() {
            self.append_requests(records, None);
        }
    }

    /// Appends to the requests; `reply` gets the result.
    pub(super) fn append_requests(
        &mut self,
        records: Vec<KeyedRecord>,
        reply: Option<oneshot::Sender<StoreReply>>,
    ) {
        // A relayed request is not repeated: its entry can then refuse the caller in time.
        let retries = reply.is_none();
        self.relayed.push_back(reply);
        if self.request_groups.send(AppendGroup { records, retries }).is_err() {
            log::warn!("appender of the requests has stopped");
        }
    }

    /// Stores requests for an entry whose appends the store refuses or delays, unless the
    /// store does not confirm this owner's appends either.
    pub(super) fn relay(
        &mut self,
        requests: Vec<RelayedRequest>,
        reply: oneshot::Sender<StoreReply>,
        now: Moment,
    ) {
        if !self.is_confirmed(now) {
            send(reply, StoreReply::NotStored);
            return;
        }
        self.append_requests(requests.into_iter().map(keyed_record).collect(), Some(reply));
    }

    /// Repeats an append for an entry that the store refuses or does not answer. The store
    /// executes it once, however often and by whomever it is sent.
    pub(super) fn repeat_append(
        &self,
        append: RelayedAppend,
        reply: oneshot::Sender<StoreReply>,
        now: Moment,
    ) {
        if !self.is_confirmed(now) {
            send(reply, StoreReply::NotStored);
            return;
        }
        let RelayedAppend { producer, epoch, sequence, requests } = append;
        let identity = AppendIdentity { producer, epoch, sequence };
        let (store, clock) = (self.context.store.clone(), self.context.clock);
        let mut appender = TopicAppender::resume(store, clock, REQUESTS, identity);
        let records: Vec<_> = requests.into_iter().map(keyed_record).collect();
        actix_rt::spawn(async move {
            let result = tokio::time::timeout(REPEAT_LIMIT, appender.append(None, &records)).await;
            let stored = match result {
                Ok(Ok(_)) => StoreReply::Stored,
                Ok(Err(AppenderError::Refused(_))) => StoreReply::NotStored,
                Ok(Err(_)) | Err(_) => StoreReply::Unknown,
            };
            send(reply, stored);
        });
    }

    pub(super) fn handle_request_result(&mut self, result: AppendResult) {
        if let Some(reply) = self.relayed.pop_front().flatten() {
            let stored = match result {
                Ok(_) => StoreReply::Stored,
                Err(AppenderError::Refused(_)) => StoreReply::NotStored,
                Err(_) => StoreReply::Unknown,
            };
            send(reply, stored);
        }
    }

    pub(super) fn apply_requests(&mut self, update: TopicUpdate) {
        self.requests_read = self.requests_read.max(update.sent);
        for stored in &update.records {
            self.apply_request(stored);
        }
        let (answered, waiting) = std::mem::take(&mut self.finds)
            .into_iter()
            .partition(|(_, _, asked)| *asked < update.sent);
        self.finds = waiting;
        let answered: Vec<_> = answered;
        for (job, reply, _) in answered {
            let state = self.scheduler.jobs.get(&job).map(|job| job.state);
            let state = state.or_else(|| self.scheduler.ended.get(&job).map(|ending| ending.state));
            send(reply, state.map_or(FindReply::Unknown, FindReply::Known));
        }
    }

    pub(super) fn apply_request(&mut self, stored: &StoredRecord) {
        let Some(value) = &stored.record.value else { return };
        let job = match RequestKey::parse(&stored.record.key) {
            RequestKey::Cancel(job) => {
                self.scheduler.cancel(&job, unix_ms());
                job
            }
            RequestKey::Job(job) => {
                match JobSpec::decode(value) {
                    Ok(spec) => {
                        self.scheduler.submit(&job, spec);
                    }
                    Err(error) => odd_entry::warn("the requests", format!("{job}: {error}")),
                }
                job
            }
        };
        // The request may have been stored again after its removal.
        if self.published.get(&job).is_some_and(|state| state.has_ended()) {
            self.ended.push(job);
        }
    }
}

fn keyed_record(request: RelayedRequest) -> KeyedRecord {
    KeyedRecord { key: request.key, value: Some(Bytes::from(request.value)) }
}
