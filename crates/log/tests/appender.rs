//! The appender with injected faults of the log service. The result that the appender
//! reports for a record must agree with the fold of the stream.

mod common;

use assert_matches::assert_matches;
use cactusdoor_core::unit::Offset;
use cactusdoor_log::appender::{FlushMode, NotStored};
use cactusdoor_standin::log_service::{LogFault, LogOptions};
use futures::future::join_all;

use common::{Fixture, change, eventually};

/// Guards against a stored append being reported as refused because the service closed
/// the connection instead of answering.
#[actix_rt::test]
async fn stored_append_is_found_after_the_connection_closes() {
    let fixture = Fixture::open(LogOptions::default());
    fixture.log.set_fault(LogFault { lose_answers: 1, ..LogFault::default() });
    let stored = fixture.appender().append(change(0), FlushMode::Immediate).await;
    assert_eq!(stored.map(|stored| stored.offset), Ok(0));
    assert!(fixture.has_effect(0));
}

/// Guards against an append being repeated because it was not answered.
#[actix_rt::test]
async fn unanswered_append_is_found_and_not_repeated() {
    let fixture = Fixture::open(LogOptions::default());
    fixture.log.set_fault(LogFault { lose_answers: 1, silent: true, ..LogFault::default() });
    let stored = fixture.appender().append(change(0), FlushMode::Immediate).await;
    assert_eq!(stored.map(|stored| stored.offset), Ok(0));
    let copies = fixture.log.history().iter().filter(|r| r.body.contains("dc-0")).count();
    assert_eq!(copies, 1);
}

/// Guards against an append that takes effect after it was reported as lost.
#[actix_rt::test]
async fn append_that_arrives_after_being_reported_lost_has_no_effect() {
    let fixture = Fixture::open(LogOptions::default());
    fixture.log.set_fault(LogFault { hold_back: 1, ..LogFault::default() });
    let appender = fixture.appender();
    assert_eq!(appender.append(change(0), FlushMode::Immediate).await, Err(NotStored::Lost));
    fixture.log.release();
    appender.append(change(1), FlushMode::Immediate).await.unwrap();
    assert_eq!(fixture.log.counters().held, 1);
    assert!(!fixture.has_effect(0));
    assert!(fixture.has_effect(1));
}

/// Guards against an append being reported as stored if it arrives between two no-ops:
/// the fold drops it because of the first one.
#[actix_rt::test]
async fn append_that_arrives_between_two_noops_is_lost() {
    let fixture = Fixture::open(LogOptions::default());
    let lost = LogFault { hold_back: 1, lose_answers: u32::MAX, ..LogFault::default() };
    fixture.log.set_fault(lost);
    let appender = fixture.appender();
    let append = appender.append(change(0), FlushMode::Immediate);
    let arrive = async {
        eventually("a no-op is stored", || fixture.log.counters().appends > 0).await;
        fixture.log.release();
        fixture.log.set_fault(LogFault::default());
    };
    let (result, ()) = futures::join!(append, arrive);
    assert!(!fixture.has_effect(0));
    assert_eq!(result, Err(NotStored::Lost));
}

/// Guards against records of a group being lost or stored twice.
#[actix_rt::test]
async fn every_record_of_an_unanswered_group_is_found() {
    let fixture = Fixture::open(LogOptions::default());
    fixture.log.set_fault(LogFault { lose_answers: 3, ..LogFault::default() });
    let appender = fixture.appender();
    let appends = (0..200).map(|number| appender.append(change(number), FlushMode::Grouped));
    let mut offsets: Vec<Offset> =
        join_all(appends).await.into_iter().map(|stored| stored.unwrap().offset).collect();
    let reported = offsets.clone();
    offsets.sort_unstable();
    offsets.dedup();
    assert_eq!(offsets.len(), 200);
    let history = fixture.log.history();
    for (number, offset) in reported.into_iter().enumerate() {
        let record = history.iter().find(|record| record.offset == offset).unwrap();
        assert!(record.body.contains(&format!("\"dc-{number}\"")), "{}", record.body);
        assert!(fixture.has_effect(number));
    }
}

/// Guards against one append per record under load.
#[actix_rt::test]
async fn concurrent_records_share_appends() {
    let fixture = Fixture::open(LogOptions::default());
    let appender = fixture.appender();
    let appends = (0..500).map(|number| appender.append(change(number), FlushMode::Grouped));
    for stored in join_all(appends).await {
        stored.unwrap();
    }
    let counters = fixture.log.counters();
    assert_eq!(counters.records, 500);
    // The first append contains the records queued by then, the next ones all others.
    assert!(counters.appends <= 3, "{counters:?}");
}

/// Guards against records being dropped while the service only limits the rate.
#[actix_rt::test]
async fn rate_limited_appends_are_repeated() {
    let fixture = Fixture::open(LogOptions { appends_per_second: Some(5), ..Default::default() });
    let appender = fixture.appender();
    for number in 0..8 {
        appender.append(change(number), FlushMode::Immediate).await.unwrap();
    }
    let counters = fixture.log.counters();
    assert_eq!(counters.records, 8);
    assert!(counters.rate_limited > 0, "{counters:?}");
}

/// Guards against endless retries if the service refuses every append.
#[actix_rt::test]
async fn a_lasting_rate_limit_is_reported() {
    let fixture = Fixture::open(LogOptions { appends_per_second: Some(0), ..Default::default() });
    let appender = fixture.appender();
    appender.append(change(0), FlushMode::Immediate).await.unwrap();
    let refused = appender.append(change(1), FlushMode::Immediate).await;
    assert_eq!(refused, Err(NotStored::RateLimited));
    assert_eq!(fixture.log.counters().records, 1);
}

/// Guards against a refused append that takes effect.
#[actix_rt::test]
async fn append_to_an_unavailable_service_is_refused_and_has_no_effect() {
    let fixture = Fixture::open(LogOptions::default());
    let appender = fixture.appender();
    fixture.log.set_fault(LogFault { down: true, ..LogFault::default() });
    let refused = appender.append(change(0), FlushMode::Immediate).await;
    assert_eq!(refused, Err(NotStored::Unavailable));
    fixture.log.set_fault(LogFault::default());
    appender.append(change(1), FlushMode::Immediate).await.unwrap();
    assert!(!fixture.has_effect(0));
    assert!(fixture.has_effect(1));
}

/// Guards against a result for an uncertain append before the log can be read.
#[actix_rt::test]
async fn an_uncertain_append_is_resolved_after_an_outage() {
    let fixture = Fixture::open(LogOptions::default());
    fixture.log.set_fault(LogFault { lose_answers: u32::MAX, ..LogFault::default() });
    let appender = fixture.appender();
    let append = appender.append(change(0), FlushMode::Immediate);
    let outage = async {
        eventually("the record is stored", || fixture.log.counters().records > 0).await;
        fixture.log.set_fault(LogFault { down: true, ..LogFault::default() });
        tokio::time::sleep(std::time::Duration::from_millis(500)).await;
        fixture.log.set_fault(LogFault::default());
    };
    let (stored, ()) = futures::join!(append, outage);
    assert_eq!(stored.map(|stored| stored.offset), Ok(0));
}

/// Guards against a record being reported as lost although retention dropped it before it
/// could be read back.
#[actix_rt::test]
async fn an_append_dropped_by_retention_is_reported_as_unknown() {
    let fixture = Fixture::open(LogOptions::default());
    fixture.append_texts(10..12).await;
    fixture.log.set_fault(LogFault { lose_answers: u32::MAX, ..LogFault::default() });
    let appender = fixture.appender();
    let append = appender.append(change(0), FlushMode::Immediate);
    let drop_record = async {
        eventually("the record is stored", || fixture.log.counters().records > 2).await;
        fixture.log.drop_before(common::STREAM, 3);
        fixture.log.set_fault(LogFault::default());
    };
    let (result, ()) = futures::join!(append, drop_record);
    assert_matches!(result, Err(NotStored::Unknown));
}

/// Guards against a delayed append being reported as lost: it is stored after the client
/// has timed out.
#[actix_rt::test]
async fn the_result_of_a_slow_append_agrees_with_the_fold() {
    let fixture = Fixture::open(LogOptions::default());
    let appender = fixture.appender();
    // Longer than the client's timeout of 2 s, so that each answer is too late.
    fixture.log.set_fault(LogFault { delay_ms: 2_500, ..LogFault::default() });
    let append = appender.append(change(0), FlushMode::Immediate);
    let recover = async {
        eventually("the record is stored", || fixture.log.counters().records > 0).await;
        fixture.log.set_fault(LogFault::default());
    };
    let (result, ()) = futures::join!(append, recover);
    assert_eq!(result.is_ok(), fixture.has_effect(0), "{result:?}");
}
