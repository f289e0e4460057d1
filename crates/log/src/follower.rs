//! Follows a stream: reads its records in order as they are appended.
//!
//! Reports each read with the time at which it was sent, failed reads, and records that
//! retention dropped before they were read.

use std::time::Duration;

use actix_rt::task::JoinHandle;
use cactusdoor_core::name::StreamName;
use cactusdoor_core::unit::{Millis, Moment, Offset};
use cactusdoor_node::clock::MonotonicClock;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::client::{LogClient, LogRecord, ReadError, StreamBounds};

/// Longest wait of one read; on a quiet stream this bounds the age of the last complete
/// read.
const READ_WAIT: Millis = 500;
const READ_PAGE: usize = 1_000;
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Report of a follower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowEvent {
    Read {
        /// When the read was sent; if `at_end`, all records stored before then are known.
        sent: Moment,
        records: Vec<LogRecord>,
        at_end: bool,
        bounds: StreamBounds,
    },
    /// Retention dropped records before they were read; the follower has stopped.
    Gap(StreamBounds),
    Failed(ReadError),
}

/// Handle to a follower; dropping it stops the follower.
pub struct StreamFollower {
    task: JoinHandle<()>,
}

impl Drop for StreamFollower {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl StreamFollower {
    /// Starts following `stream` from the offset `from`, on the current thread.
    #[must_use]
    pub fn spawn(
        client: LogClient,
        stream: StreamName,
        from: Offset,
        clock: MonotonicClock,
    ) -> (Self, mpsc::UnboundedReceiver<FollowEvent>) {
        let (events, receiver) = mpsc::unbounded_channel();
        let task = actix_rt::spawn(follow(client, stream, from, clock, events));
        (Self { task }, receiver)
    }
}

async fn follow(
    client: LogClient,
    stream: StreamName,
    mut from: Offset,
    clock: MonotonicClock,
    events: mpsc::UnboundedSender<FollowEvent>,
) {
    loop {
        let sent = clock.now();
        let event = match client.read(&stream, from, READ_PAGE, READ_WAIT).await {
            Ok(page) => {
                from = page.records.last().map_or(from, |record| record.offset + 1);
                let bounds = StreamBounds { start: page.start, next: page.next };
                let at_end = from >= page.next;
                FollowEvent::Read { sent, records: page.records, at_end, bounds }
            }
            Err(ReadError::Dropped(bounds)) => {
                drop(events.send(FollowEvent::Gap(bounds)));
                return;
            }
            Err(error) => FollowEvent::Failed(error),
        };
        let failed = matches!(event, FollowEvent::Failed(_));
        if events.send(event).is_err() {
            return;
        }
        if failed {
            sleep(RETRY_DELAY).await;
        }
    }
}
