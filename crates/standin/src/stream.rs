//! One stream of the log service: its retained records, their pages and retention.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use cactusdoor_core::unit::Offset;
use cactusdoor_log::client::{LogRecord, ReadPage, StreamBounds};
use tokio::sync::watch;

/// Maximum record text in a page; a larger record gets a page of its own.
const MAX_PAGE_BYTES: usize = 16 * 1024 * 1024;

struct StreamRecord {
    stored: Instant,
    body: String,
}

/// Records with consecutive offsets, of which the oldest may have been dropped.
pub struct RecordStream {
    /// Offset of the oldest retained record.
    start: Offset,
    records: VecDeque<StreamRecord>,
    end: watch::Sender<Offset>,
}

impl Default for RecordStream {
    fn default() -> Self {
        Self { start: 0, records: VecDeque::new(), end: watch::Sender::new(0) }
    }
}

impl RecordStream {
    /// Offset of the next append.
    #[must_use]
    pub fn next(&self) -> Offset {
        self.start + self.records.len() as Offset
    }

    pub fn append(&mut self, records: Vec<String>) {
        let stored = Instant::now();
        self.records.extend(records.into_iter().map(|body| StreamRecord { stored, body }));
        self.end.send_replace(self.next());
    }

    /// Drops records older than `retention`.
    pub fn expire(&mut self, retention: Duration) {
        while self.records.front().is_some_and(|record| record.stored.elapsed() > retention) {
            self.records.pop_front();
            self.start += 1;
        }
    }

    /// Drops records before `offset`.
    pub fn drop_before(&mut self, offset: Offset) {
        while self.start < offset && self.records.pop_front().is_some() {
            self.start += 1;
        }
    }

    /// At most `max` records from `from`, or the stream's bounds if `from` was dropped.
    pub fn page(&self, from: Offset, max: usize) -> Result<ReadPage, StreamBounds> {
        let (start, next) = (self.start, self.next());
        if from < start {
            return Err(StreamBounds { start, next });
        }
        if from >= next {
            return Ok(ReadPage { start, next, records: Vec::new() });
        }
        let skipped = usize::try_from(from - start).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let retained = (from..).zip(self.records.iter().skip(skipped)).take(max);
        let page = retained.take_while(|(_, record)| {
            let is_first = bytes == 0;
            bytes += record.body.len();
            is_first || bytes <= MAX_PAGE_BYTES
        });
        let records = page.map(|(offset, record)| LogRecord { offset, body: record.body.clone() });
        Ok(ReadPage { start, next, records: records.collect() })
    }

    /// Receiver of the end of the stream, notified of each append.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<Offset> {
        self.end.subscribe()
    }
}
