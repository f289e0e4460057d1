//! Tails a stream.

use std::time::Duration;

use actix_rt::task::JoinHandle;
use cactusdoor_core::name::StreamName;
use cactusdoor_core::unit::{Millis, Moment, Offset};
use cactusdoor_node::clock::MonotonicClock;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::client::{LogClient, LogRecord, ReadError, StreamBounds};

/// Longest wait of one read; bounds the age of the confirmation on a quiet stream.
const READ_WAIT: Millis = 500;
const READ_PAGE: usize = 1_000;
/// Pause after a failed read.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// What a follower reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowEvent {
    Read {
        /// When the read was sent: the view is complete up to here if `at_end`.
        sent: Moment,
        records: Vec<LogRecord>,
        at_end: bool,
        bounds: StreamBounds,
    },
    /// Records were dropped by retention before they were read. The follower has stopped.
    Gap(StreamBounds),
    Failed(ReadError),
}

/// Handle to a follower; dropping it ends the follower.
pub struct StreamFollower {
    task: JoinHandle<()>,
}

impl Drop for StreamFollower {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl StreamFollower {
    /// Follows `stream` from the offset `from` on the current thread.
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
            sleep(FAILURE_PAUSE).await;
        }
    }
}
