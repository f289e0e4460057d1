//! Loading a fold from published snapshots.

mod common;

use assert_matches::assert_matches;
use cactusdoor_core::config::ConfigFold;
use cactusdoor_core::fold::fold_text;
use cactusdoor_core::name::StreamName;
use cactusdoor_log::client::{LogClient, ReadError};
use cactusdoor_log::snapshot::{LoadError, load, newest_snapshot, publish};
use cactusdoor_standin::log_service::{LogFault, LogOptions};

use common::{Fixture, text};

fn fold_of(numbers: std::ops::Range<usize>) -> ConfigFold {
    let mut fold = ConfigFold::default();
    for number in numbers {
        fold_text(&mut fold, number as u64, &text(number)).unwrap();
    }
    fold
}

async fn load_config(fixture: &Fixture) -> Result<ConfigFold, LoadError> {
    let loaded = load(&fixture.client, &fixture.stream, ConfigFold::default()).await?;
    assert_eq!(loaded.covers, loaded.fold.next());
    Ok(loaded.fold)
}

/// Guards against a process that cannot start on a new stream.
#[actix_rt::test]
async fn a_complete_stream_needs_no_snapshot() {
    let fixture = Fixture::open(LogOptions::default());
    assert_eq!(load_config(&fixture).await.unwrap(), ConfigFold::default());
    fixture.append_texts(0..3).await;
    assert_eq!(load_config(&fixture).await.unwrap(), ConfigFold::default());
}

/// Guards against a start from an empty fold after records were dropped.
#[actix_rt::test]
async fn dropped_records_without_a_snapshot_are_an_error() {
    let fixture = Fixture::open(LogOptions::default());
    fixture.append_texts(0..10).await;
    publish(&fixture.client, &fixture.stream, &fold_of(0..4)).await.unwrap();
    fixture.log.drop_before(common::STREAM, 5);
    assert_matches!(load_config(&fixture).await, Err(LoadError::Uncovered { bounds, .. }) => {
        assert_eq!((bounds.start, bounds.next), (5, 10));
    });
}

/// Guards against state being lost with dropped records that a snapshot covers.
#[actix_rt::test]
async fn a_snapshot_replaces_the_dropped_records() {
    let fixture = Fixture::open(LogOptions::default());
    fixture.append_texts(0..10).await;
    publish(&fixture.client, &fixture.stream, &fold_of(0..6)).await.unwrap();
    fixture.log.drop_before(common::STREAM, 6);
    let mut fold = load_config(&fixture).await.unwrap();
    let tail = fixture.client.read(&fixture.stream, fold.next(), 100, 0).await.unwrap();
    for record in tail.records {
        fold_text(&mut fold, record.offset, &record.body).unwrap();
    }
    assert_eq!(fold, fold_of(0..10));
}

/// Guards against an older snapshot that is stored after a newer one, and against a
/// malformed snapshot, being used instead of the newest.
#[actix_rt::test]
async fn the_snapshot_with_the_highest_offset_is_used() {
    let fixture = Fixture::open(LogOptions::default());
    fixture.append_texts(0..10).await;
    publish(&fixture.client, &fixture.stream, &fold_of(0..8)).await.unwrap();
    publish(&fixture.client, &fixture.stream, &fold_of(0..3)).await.unwrap();
    let snapshots = StreamName::new("config.snapshot").unwrap();
    fixture.client.append(&snapshots, &["{\"covers\":".to_owned()]).await.unwrap();
    let newest = newest_snapshot::<ConfigFold>(&fixture.client, &fixture.stream).await;
    assert_matches!(newest, Ok(Some(snapshot)) => assert_eq!(snapshot.covers, 8));
}

/// Guards against an outage being taken for an empty stream.
#[actix_rt::test]
async fn an_outage_is_reported_as_a_read_error() {
    let fixture = Fixture::open(LogOptions::default());
    fixture.log.set_fault(LogFault { down: true, ..LogFault::default() });
    assert_matches!(load_config(&fixture).await, Err(LoadError::Read(ReadError::Unavailable)));
    let disconnected = LogClient::open(fixture.log.address());
    drop(fixture.log);
    let result = load(&disconnected, &fixture.stream, ConfigFold::default()).await;
    assert_matches!(result, Err(LoadError::Read(ReadError::Unavailable)));
}
