//! What callers ask for: their requests, and the requests that entries relay.

use bytes::Bytes;
use cactusdoor_core::unit::{Millis, Moment};
use cactusdoor_node::clock::unix_ms;
use cactusdoor_peer::queue::{FindReply, RelayedRequest, StoreReply};
use cactusdoor_platform::store::{KeyedRecord, StoredRecord};
use cactusdoor_queue::record::RequestKey;
use tokio::sync::oneshot;

use super::feeds::LaneGroup;
use super::{LaneVerdict, OwnerTerm, send};
use crate::follower::TopicReading;
use crate::lane::LaneFault;

/// Between two removals of the requests of ended jobs.
pub(super) const FORGET_INTERVAL: Millis = 2_000;

impl OwnerTerm {
    /// Drops the requests of ended jobs and endings that nobody may ask for.
    pub(super) fn forget(&mut self, now: Moment, unix: Millis) {
        if now < self.forget_at {
            return;
        }
        self.forget_at = now.after(FORGET_INTERVAL);
        for job in self.book.forget(unix) {
            self.shown.shift_remove(&job);
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

    /// Appends to the requests; `reply` waits for the verdict.
    pub(super) fn append_requests(
        &mut self,
        records: Vec<KeyedRecord>,
        reply: Option<oneshot::Sender<StoreReply>>,
    ) {
        // An entry whose relayed requests are refused can say so while the caller waits.
        let insists = reply.is_none();
        self.relayed.push_back(reply);
        if self.request_groups.send(LaneGroup { records, insists }).is_err() {
            log::warn!("lane of the requests has ended");
        }
    }

    /// Stores requests of an entry that the store turns away, unless the store does
    /// not answer here either.
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
        let records = requests.into_iter().map(|request| KeyedRecord {
            key: request.key,
            value: Some(Bytes::from(request.value)),
        });
        self.append_requests(records.collect(), Some(reply));
    }

    pub(super) fn take_stored(&mut self, verdict: LaneVerdict) {
        if let Some(reply) = self.relayed.pop_front().flatten() {
            let stored = match verdict {
                Ok(_) => StoreReply::Stored,
                Err(LaneFault::Refused(_)) => StoreReply::NotStored,
                Err(_) => StoreReply::Unknown,
            };
            send(reply, stored);
        }
    }

    pub(super) fn take_requests(&mut self, reading: TopicReading) {
        self.requests_read = self.requests_read.max(reading.sent);
        for stored in &reading.records {
            self.take_request(stored);
        }
        let (answered, waiting) = std::mem::take(&mut self.finds)
            .into_iter()
            .partition(|(_, _, asked)| *asked < reading.sent);
        self.finds = waiting;
        let answered: Vec<_> = answered;
        for (job, reply, _) in answered {
            let state = self.book.jobs.get(&job).map(|job| job.state);
            let state = state.or_else(|| self.book.ended.get(&job).map(|ending| ending.state));
            send(reply, state.map_or(FindReply::Unknown, FindReply::Known));
        }
    }

    pub(super) fn take_request(&mut self, stored: &StoredRecord) {
        let Some(value) = &stored.record.value else { return };
        match RequestKey::parse(&stored.record.key) {
            RequestKey::Cancel(job) => {
                self.book.cancel(&job, unix_ms());
            }
            RequestKey::Job(job) => match serde_json::from_slice(value) {
                Ok(spec) => {
                    self.book.submit(&job, spec);
                }
                Err(error) => log::error!("job {job} is not used: {error}"),
            },
        }
    }
}
