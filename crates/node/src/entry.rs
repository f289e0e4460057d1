//! Settings of an entry.
//!
//! They are defined here so that the command line can check a settings file without
//! depending on the daemon.

use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;

use cactusdoor_core::name::{DataCentre, ShardName};
use cactusdoor_core::unit::Millis;

use crate::process::{ProcessSettings, read_process};
use crate::settings::{SettingsError, SettingsFile};

const ADDRESS: &str = "an IP address and port, such as 127.0.0.1:7000";

/// The `[limits]` section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryLimits {
    /// Most requests of one service that may wait for an upstream.
    pub queue_length: usize,
    /// Most requests that may be in progress in this process.
    pub requests_in_progress: usize,
    /// Least time between two appends to one claim stream.
    pub claim_flush_ms: Millis,
    /// Least time between two appends of job submissions to one task stream.
    pub job_flush_ms: Millis,
}

/// All settings of an entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    pub process: ProcessSettings,
    pub log_address: SocketAddr,
    /// Peer addresses of other entries, for the first contact.
    pub entries: Vec<SocketAddr>,
    pub data_centres: Vec<DataCentre>,
    pub shards: Vec<ShardName>,
    pub caller_address: SocketAddr,
    pub limits: EntryLimits,
    pub log_level: String,
}

/// A comma-separated list of addresses that may be empty.
struct AddressList(Vec<SocketAddr>);

impl FromStr for AddressList {
    type Err = std::net::AddrParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
        parts.map(str::parse).collect::<Result<_, _>>().map(Self)
    }
}

impl EntrySettings {
    /// Reads and checks a settings file; an error lists all invalid settings.
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        Self::read(SettingsFile::open(path)?)
    }

    pub fn read(mut file: SettingsFile) -> Result<Self, SettingsError> {
        let process = read_process(&mut file);
        let log_address = file.required("log", "address", ADDRESS);
        let entries = read_entries(&mut file);
        let shards = read_shards(&mut file);
        let caller_address = file.required("callers", "address", ADDRESS);
        let limits = read_limits(&mut file);
        let log_level = file.or_default("logging", "level", "a log level", "info".to_owned());
        let settings = (|| {
            let (data_centres, shards) = shards?;
            Some(Self {
                process: process?,
                log_address: log_address?,
                entries: entries?,
                data_centres,
                shards,
                caller_address: caller_address?,
                limits: limits?,
                log_level: log_level?,
            })
        })();
        file.finish(settings)
    }
}

fn read_entries(file: &mut SettingsFile) -> Option<Vec<SocketAddr>> {
    let accepted = "IP addresses and ports, separated by commas";
    file.or_default("entries", "peers", accepted, AddressList(Vec::new())).map(|list| list.0)
}

fn read_shards(file: &mut SettingsFile) -> Option<(Vec<DataCentre>, Vec<ShardName>)> {
    let accepted = "names of data centres, separated by commas";
    let data_centres: Option<Vec<DataCentre>> = file.list("shards", "data_centres", accepted);
    let per_data_centre = file.integer("shards", "per_data_centre", (1, 64), Some(1));
    let (data_centres, count) = (data_centres?, per_data_centre?);
    let mut shards = Vec::new();
    for data_centre in &data_centres {
        for index in 0..count {
            shards.push(ShardName::new(&format!("{data_centre}-{index}")).ok()?);
        }
    }
    Some((data_centres, shards))
}

fn read_limits(file: &mut SettingsFile) -> Option<EntryLimits> {
    let mut limit = |key, range, default| file.integer("limits", key, range, Some(default));
    let queue_length = limit("queue_length", (1, 100_000), 512);
    let requests_in_progress = limit("requests_in_progress", (1, 100_000), 4_096);
    // With four claim streams, 30 ms limits an entry to 133 appends a second.
    let claim_flush_ms = limit("claim_flush_ms", (0, 1_000), 30);
    let job_flush_ms = limit("job_flush_ms", (0, 1_000), 50);
    Some(EntryLimits {
        queue_length: usize::try_from(queue_length?).ok()?,
        requests_in_progress: usize::try_from(requests_in_progress?).ok()?,
        claim_flush_ms: claim_flush_ms?,
        job_flush_ms: job_flush_ms?,
    })
}
