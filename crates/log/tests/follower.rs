//! The follower, and reads from the log service.

mod common;

use assert_matches::assert_matches;
use cactusdoor_core::unit::Offset;
use cactusdoor_log::client::{LogRecord, ReadError, StreamBounds};
use cactusdoor_log::follower::{FollowEvent, StreamFollower};
use cactusdoor_node::clock::MonotonicClock;
use cactusdoor_standin::log_service::{LogFault, LogOptions};
use tokio::sync::mpsc::UnboundedReceiver;

use common::{Fixture, text};

fn follow(fixture: &Fixture, from: Offset) -> (StreamFollower, UnboundedReceiver<FollowEvent>) {
    let clock = MonotonicClock::open();
    StreamFollower::spawn(fixture.client.clone(), fixture.stream.clone(), from, clock)
}

/// Collects records until a read has reached the end of a stream that is not empty.
async fn records(events: &mut UnboundedReceiver<FollowEvent>) -> Vec<LogRecord> {
    let mut all = Vec::new();
    loop {
        match events.recv().await {
            Some(FollowEvent::Read { records, at_end, .. }) => {
                all.extend(records);
                if at_end && !all.is_empty() {
                    return all;
                }
            }
            Some(FollowEvent::Failed(_)) => {}
            other => panic!("unexpected {other:?}"),
        }
    }
}

/// Guards against lost, repeated or reordered records across pages.
#[actix_rt::test]
async fn follower_reads_all_records_in_order() {
    let fixture = Fixture::open(LogOptions::default());
    fixture.append_texts(0..2_500).await;
    let (_follower, mut events) = follow(&fixture, 0);
    let read = records(&mut events).await;
    assert!(read.iter().map(|record| record.offset).eq(0..2_500));
    assert!((0..2_500).zip(&read).all(|(number, record)| record.body == text(number)));
    fixture.append_texts(2_500..2_501).await;
    let read = records(&mut events).await;
    assert_eq!(read, [LogRecord { offset: 2_500, body: text(2_500) }]);
}

/// Guards against a stream being taken as current without a read that reached its end, and
/// against a time later than that at which the read was sent.
#[actix_rt::test]
async fn a_read_of_a_quiet_stream_reports_when_it_was_sent() {
    let fixture = Fixture::open(LogOptions::default());
    let clock = MonotonicClock::open();
    let client = fixture.client.clone();
    let before = clock.now();
    let (_follower, mut events) = StreamFollower::spawn(client, fixture.stream.clone(), 0, clock);
    let event = events.recv().await;
    let answered = clock.now();
    assert_matches!(event, Some(FollowEvent::Read { sent, at_end: true, ref records, .. }) => {
        assert!(records.is_empty());
        // The read waits for a record that does not arrive, so it was sent well before the answer.
        assert!(sent >= before && sent < answered);
    });
}

/// Guards against records that retention dropped being skipped without a report.
#[actix_rt::test]
async fn follower_reports_dropped_records_and_stops() {
    let fixture = Fixture::open(LogOptions::default());
    fixture.append_texts(0..10).await;
    fixture.log.drop_before(common::STREAM, 4);
    let (_follower, mut events) = follow(&fixture, 2);
    assert_eq!(events.recv().await, Some(FollowEvent::Gap(StreamBounds { start: 4, next: 10 })));
    assert_eq!(events.recv().await, None);
}

/// Guards against a follower that stops during an outage or skips records after it.
#[actix_rt::test]
async fn follower_survives_an_outage() {
    let fixture = Fixture::open(LogOptions::default());
    fixture.append_texts(0..3).await;
    fixture.log.set_fault(LogFault { down: true, ..LogFault::default() });
    let (_follower, mut events) = follow(&fixture, 0);
    let first = events.recv().await;
    assert_eq!(first, Some(FollowEvent::Failed(ReadError::Unavailable)));
    fixture.log.set_fault(LogFault::default());
    assert_eq!(records(&mut events).await.len(), 3);
}

/// Guards against a follower that misses a delayed append or reads it out of order.
#[actix_rt::test]
async fn follower_reads_a_delayed_append_in_order() {
    let fixture = Fixture::open(LogOptions::default());
    fixture.log.set_fault(LogFault { hold_back: 1, ..LogFault::default() });
    fixture.client.append(&fixture.stream, &[text(0)]).await.unwrap_err();
    fixture.append_texts(1..2).await;
    let (_follower, mut events) = follow(&fixture, 0);
    assert_eq!(records(&mut events).await, [LogRecord { offset: 0, body: text(1) }]);
    fixture.log.release();
    assert_eq!(records(&mut events).await, [LogRecord { offset: 1, body: text(0) }]);
}

/// Guards against retention by time that drops nothing or resets the offsets.
#[actix_rt::test]
async fn retention_drops_old_records_and_keeps_offsets() {
    let options = LogOptions { retention_ms: Some(50), ..LogOptions::default() };
    let fixture = Fixture::open(options);
    fixture.append_texts(0..5).await;
    loop {
        let bounds = fixture.client.bounds(&fixture.stream).await.unwrap();
        assert_eq!(bounds.next, 5);
        if bounds.start == 5 {
            break;
        }
    }
    let dropped = fixture.client.read(&fixture.stream, 4, 10, 0).await;
    assert_eq!(dropped, Err(ReadError::Dropped(StreamBounds { start: 5, next: 5 })));
}
