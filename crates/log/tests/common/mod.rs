//! A log service with one appender, and the fold of the stored records.
#![allow(dead_code)] // Each test program uses only a part.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use cactusdoor_core::config::{ConfigFold, ConfigRecord, DataCentreState, ItemChange, ItemValue};
use cactusdoor_core::envelope::{LogEnvelope, WriterId};
use cactusdoor_core::fold::fold_text;
use cactusdoor_core::name::{DataCentre, ProcessName, StreamName};
use cactusdoor_log::appender::GroupAppender;
use cactusdoor_log::client::LogClient;
use cactusdoor_standin::log_service::{LogOptions, LogStandin};

pub const STREAM: &str = "config";
/// Longest wait for an expected event.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

pub fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

pub struct Fixture {
    pub log: LogStandin,
    pub client: LogClient,
    pub stream: StreamName,
}

impl Fixture {
    pub fn open(options: LogOptions) -> Self {
        let log = LogStandin::spawn(loopback(), options).unwrap();
        let client = LogClient::open(log.address());
        Self { log, client, stream: StreamName::new(STREAM).unwrap() }
    }

    pub fn appender(&self) -> GroupAppender<ConfigRecord> {
        GroupAppender::spawn(self.client.clone(), self.stream.clone(), writer(), 0)
    }

    /// Fold of all records that were ever stored.
    pub fn fold(&self) -> ConfigFold {
        let mut fold = ConfigFold::default();
        for record in self.log.history() {
            if record.stream == STREAM {
                fold_text(&mut fold, record.offset, &record.body).unwrap();
            }
        }
        fold
    }

    /// Whether the record of [`change`] with this number has an effect on the fold.
    pub fn has_effect(&self, number: usize) -> bool {
        let name = DataCentre::new(&format!("dc-{number}")).unwrap();
        self.fold().state().data_centre(&name) == DataCentreState::Out
    }

    /// Appends the records of `numbers` as another writer.
    pub async fn append_texts(&self, numbers: std::ops::Range<usize>) {
        let texts: Vec<String> = numbers.map(text).collect();
        self.client.append(&self.stream, &texts).await.unwrap();
    }
}

pub fn writer() -> WriterId {
    WriterId { process: ProcessName::new("entry-1").unwrap(), incarnation: 7 }
}

/// A change that takes the data centre `dc-<number>` out of service.
pub fn change(number: usize) -> ConfigRecord {
    let name = DataCentre::new(&format!("dc-{number}")).unwrap();
    let value = ItemValue::DataCentre(name, DataCentreState::Out);
    ConfigRecord::Changed { items: vec![ItemChange { premise: 0, value }] }
}

/// Encoded record of another writer.
pub fn text(number: usize) -> String {
    let process = ProcessName::new("entry-2").unwrap();
    let writer = WriterId { process, incarnation: 8 };
    let sequence = number as u64 + 1;
    LogEnvelope { writer, sequence, body: change(number) }.encode().unwrap()
}

/// Waits until `condition` holds.
pub async fn eventually(what: &str, condition: impl Fn() -> bool) {
    let started = std::time::Instant::now();
    while !condition() {
        assert!(started.elapsed() < WAIT_LIMIT, "timed out: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
