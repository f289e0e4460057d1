//! Grouped appends to one stream by one writer.
//!
//! One append is in flight at a time; records that arrive in the meantime form the next
//! group. If an answer is lost, the appender stores a no-op with a higher sequence
//! number and reads the stream back. A record that is not found before the no-op is
//! reported as lost: should it arrive later, the fold drops it because of its lower
//! sequence number. For the same reason a record counts as lost if it arrived after an
//! earlier no-op, even one whose answer was lost too.
//!
//! The appender repeats an append only if the rate limit refused it. It must not repeat one
//! that may have been stored.

use std::time::Duration;

use cactusdoor_core::envelope::{LogEnvelope, WriterId};
use cactusdoor_core::fold::RecordBody;
use cactusdoor_core::name::StreamName;
use cactusdoor_core::unit::{Millis, Offset, Sequence};
use serde::Deserialize;
use serde_json::value::RawValue;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, sleep_until};

use crate::client::{AppendError, LogClient, ReadError};

/// Most records in one append.
pub const MAX_GROUP_RECORDS: usize = 512;
/// Delay before a rate-limited append is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Attempts at an append that the rate limit refuses.
const MAX_RATE_LIMITED_ATTEMPTS: u32 = 40;
const READ_PAGE: usize = 1_000;

/// Where a record was stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    pub offset: Offset,
    pub sequence: Sequence,
}

/// Why a record has no offset. Except for [`Unknown`](Self::Unknown), the record has no
/// effect, now or later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NotStored {
    #[error("log service limits the rate of appends")]
    RateLimited,
    #[error("log service is unavailable")]
    Unavailable,
    #[error("append was lost on its way")]
    Lost,
    /// Retention dropped records before they could be read back, or the appender ended
    /// before the append was answered.
    #[error("it is not known whether the record was stored")]
    Unknown,
    #[error("record could not be encoded")]
    Encoding,
    #[error("appender has stopped")]
    Stopped,
}

/// Whether a record may wait for others to join its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlushMode {
    /// Waits until the group interval has passed since the last append.
    Grouped,
    Immediate,
}

struct QueuedRecord<B> {
    body: B,
    flush: FlushMode,
    /// The record is not stored if it is still queued at this time.
    expires: Option<Instant>,
    reply: oneshot::Sender<Result<StoredRecord, NotStored>>,
}

/// Handle to the appender of one stream; clones share it.
pub struct GroupAppender<B> {
    queue: mpsc::UnboundedSender<QueuedRecord<B>>,
}

impl<B> Clone for GroupAppender<B> {
    fn clone(&self) -> Self {
        Self { queue: self.queue.clone() }
    }
}

impl<B: RecordBody> GroupAppender<B> {
    /// Starts an appender on the current thread; it ends when all handles are dropped.
    ///
    /// `interval` is the least time between two grouped appends; with 0, records are
    /// appended as soon as no append is in flight.
    #[must_use]
    pub fn spawn(
        client: LogClient,
        stream: StreamName,
        writer: WriterId,
        interval: Millis,
    ) -> Self {
        let (queue, records) = mpsc::unbounded_channel();
        let task = AppenderTask {
            client,
            stream,
            writer,
            interval: Duration::from_millis(interval),
            records,
            sequence: 0,
            resolved_end: None,
        };
        actix_rt::spawn(task.run());
        Self { queue }
    }

    /// Stores `body` and returns its offset.
    ///
    /// If the result of the append is uncertain, this waits until the log answers again.
    /// Callers that time out earlier must treat the record as possibly stored.
    pub async fn append(&self, body: B, flush: FlushMode) -> Result<StoredRecord, NotStored> {
        self.append_before(body, flush, None).await
    }

    /// Like [`append`](Self::append), but a record that is still queued at `expires` is
    /// not stored and fails with [`NotStored::Unavailable`].
    pub async fn append_before(
        &self,
        body: B,
        flush: FlushMode,
        expires: Option<Instant>,
    ) -> Result<StoredRecord, NotStored> {
        let (reply, result) = oneshot::channel();
        let record = QueuedRecord { body, flush, expires, reply };
        self.queue.send(record).map_err(|_| NotStored::Stopped)?;
        // The appender ended, possibly with this append in flight.
        result.await.unwrap_or(Err(NotStored::Unknown))
    }
}

struct NumberedRecord {
    sequence: Sequence,
    text: String,
    reply: oneshot::Sender<Result<StoredRecord, NotStored>>,
}

impl ResolvedRecords {
    fn add(&mut self, record: StoredRecord) {
        if self.accepted.last().is_none_or(|last| record.sequence > last.sequence) {
            self.accepted.push(record);
        }
    }
}

/// Writer, incarnation and sequence number of a record, without its body.
#[derive(Deserialize)]
struct RecordHeader {
    w: String,
    i: u64,
    s: Sequence,
    #[serde(rename = "b")]
    _body: Box<RawValue>,
}

/// This writer's records that were found by reading the stream back.
#[derive(Default)]
struct ResolvedRecords {
    /// Those that the fold accepts: it drops a record after one with a higher sequence
    /// number.
    accepted: Vec<StoredRecord>,
    /// Whether retention dropped records in the range that was to be read.
    has_gap: bool,
}

struct AppenderTask<B> {
    client: LogClient,
    stream: StreamName,
    writer: WriterId,
    interval: Duration,
    records: mpsc::UnboundedReceiver<QueuedRecord<B>>,
    sequence: Sequence,
    /// No unresolved record of this writer is stored before this offset.
    resolved_end: Option<Offset>,
}

impl<B: RecordBody> AppenderTask<B> {
    async fn run(mut self) {
        let mut next_group = Instant::now();
        while let Some(group) = self.collect(next_group).await {
            let numbered = self.number(group);
            if !numbered.is_empty() {
                self.store(numbered).await;
                next_group = Instant::now() + self.interval;
            }
        }
    }

    /// The next group: the records queued when the interval has passed or an immediate
    /// one arrives.
    async fn collect(&mut self, not_before: Instant) -> Option<Vec<QueuedRecord<B>>> {
        let mut group = vec![self.records.recv().await?];
        while group.len() < MAX_GROUP_RECORDS {
            let immediate = group.iter().any(|record| record.flush == FlushMode::Immediate);
            match self.records.try_recv() {
                Ok(record) => group.push(record),
                Err(_) if immediate || Instant::now() >= not_before => break,
                Err(_) => tokio::select! {
                    () = sleep_until(not_before) => {}
                    record = self.records.recv() => match record {
                        Some(record) => group.push(record),
                        None => break,
                    },
                },
            }
        }
        Some(group)
    }

    fn next_sequence(&mut self) -> Sequence {
        self.sequence += 1;
        self.sequence
    }

    fn encode(&self, sequence: Sequence, body: B) -> Result<String, NotStored> {
        let envelope = LogEnvelope { writer: self.writer.clone(), sequence, body };
        envelope.encode().map_err(|_| NotStored::Encoding)
    }

    fn number(&mut self, group: Vec<QueuedRecord<B>>) -> Vec<NumberedRecord> {
        let mut numbered = Vec::with_capacity(group.len());
        let now = Instant::now();
        for QueuedRecord { body, reply, expires, .. } in group {
            if expires.is_some_and(|expires| now >= expires) {
                let _ = reply.send(Err(NotStored::Unavailable));
                continue;
            }
            let sequence = self.next_sequence();
            match self.encode(sequence, body) {
                Ok(text) => numbered.push(NumberedRecord { sequence, text, reply }),
                Err(error) => {
                    let _ = reply.send(Err(error));
                }
            }
        }
        numbered
    }

    async fn store(&mut self, group: Vec<NumberedRecord>) {
        let texts: Vec<String> = group.iter().map(|record| record.text.clone()).collect();
        if self.resolved_end.is_none() {
            self.resolved_end = self.client.bounds(&self.stream).await.ok().map(|b| b.next);
        }
        match self.append(&texts).await {
            Ok(first) => {
                self.resolved_end = Some(first + group.len() as Offset);
                for (offset, record) in (first..).zip(group) {
                    let stored = StoredRecord { offset, sequence: record.sequence };
                    let _ = record.reply.send(Ok(stored));
                }
            }
            Err(AppendError::Uncertain) => self.resolve(group).await,
            Err(AppendError::RateLimited) => refuse(group, NotStored::RateLimited),
            Err(AppendError::Unavailable) => refuse(group, NotStored::Unavailable),
        }
    }

    /// Appends, and repeats the append only if the rate limit refused it.
    async fn append(&self, texts: &[String]) -> Result<Offset, AppendError> {
        for _ in 1..MAX_RATE_LIMITED_ATTEMPTS {
            match self.client.append(&self.stream, texts).await {
                Err(AppendError::RateLimited) => sleep(RETRY_DELAY).await,
                other => return other.map(|range| range.first),
            }
        }
        self.client.append(&self.stream, texts).await.map(|range| range.first)
    }

    /// Determines which records of an uncertain append are stored, and answers them.
    async fn resolve(&mut self, group: Vec<NumberedRecord>) {
        let end = self.store_noop().await;
        let resolved = loop {
            match self.find_records(end).await {
                Ok(resolved) => break resolved,
                Err(error) => {
                    log::warn!("could not read back stream {}: {error}", self.stream);
                    sleep(4 * RETRY_DELAY).await;
                }
            }
        };
        self.resolved_end = Some(end + 1);
        for record in group {
            let found = resolved.accepted.iter().find(|found| found.sequence == record.sequence);
            let result = match found {
                // The fold may have dropped this record because of a no-op that retention
                // has dropped.
                _ if resolved.has_gap => Err(NotStored::Unknown),
                Some(stored) => Ok(*stored),
                None => Err(NotStored::Lost),
            };
            let _ = record.reply.send(result);
        }
    }

    /// Stores a no-op, retrying until the log accepts it, and returns its offset.
    async fn store_noop(&mut self) -> Offset {
        loop {
            let sequence = self.next_sequence();
            if let Ok(text) = self.encode(sequence, B::noop()) {
                match self.client.append(&self.stream, &[text]).await {
                    Ok(range) => return range.first,
                    Err(error) => {
                        log::debug!("could not append no-op to stream {}: {error}", self.stream)
                    }
                }
            }
            sleep(4 * RETRY_DELAY).await;
        }
    }

    /// Reads this writer's records from `resolved_end` up to `end`.
    async fn find_records(&self, end: Offset) -> Result<ResolvedRecords, ReadError> {
        let mut from = self.resolved_end.unwrap_or(0);
        let mut resolved = ResolvedRecords::default();
        while from < end {
            let page = match self.client.read(&self.stream, from, READ_PAGE, 0).await {
                Err(ReadError::Dropped(bounds)) if bounds.start > from => {
                    resolved.has_gap = true;
                    from = bounds.start;
                    continue;
                }
                page => page?,
            };
            let Some(last) = page.records.last() else { break };
            from = last.offset + 1;
            page.records
                .iter()
                .filter_map(|record| self.own_record(record))
                .for_each(|r| resolved.add(r));
        }
        Ok(resolved)
    }

    fn own_record(&self, record: &crate::client::LogRecord) -> Option<StoredRecord> {
        let header: RecordHeader = serde_json::from_str(&record.body).ok()?;
        let is_own =
            header.w == self.writer.process.as_str() && header.i == self.writer.incarnation;
        is_own.then_some(StoredRecord { offset: record.offset, sequence: header.s })
    }
}

fn refuse(group: Vec<NumberedRecord>, reason: NotStored) {
    for record in group {
        let _ = record.reply.send(Err(reason));
    }
}
