//! Settings of an agent.
//!
//! They are defined here so that the command line can check a settings file without
//! depending on the daemon.

use std::net::SocketAddr;
use std::path::Path;

use cactusdoor_core::name::{DataCentre, ShardName};
use cactusdoor_core::rendezvous;
use cactusdoor_core::unit::Millis;

use crate::process::{ProcessSettings, read_process};
use crate::settings::{InvalidKind, SettingsError, SettingsFile};

const ADDRESS: &str = "an IP address and port, such as 127.0.0.1:7000";
const MEBIBYTE: u64 = 1024 * 1024;

/// The `[shards]` section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardSettings {
    pub all: Vec<ShardName>,
    /// The shard to which this VM belongs.
    pub own: ShardName,
}

/// The `[limits]` section.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentLimits {
    /// Time between polls of the worker's tasks.
    pub worker_poll: Millis,
    /// Most claims of binding requests that are remembered individually.
    pub remembered_claims: usize,
    /// Most bytes of answers to binding requests that are stored.
    pub stored_answer_bytes: usize,
    /// Longest time for a graceful stop.
    pub stop: Millis,
}

/// All settings of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    pub process: ProcessSettings,
    pub log_address: SocketAddr,
    pub entries: Vec<SocketAddr>,
    pub shards: ShardSettings,
    pub worker_address: SocketAddr,
    pub upstream_address: SocketAddr,
    pub limits: AgentLimits,
    pub log_level: String,
}

impl AgentSettings {
    /// Reads and checks a settings file; an error lists all invalid settings.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        read(SettingsFile::open(path)?)
    }

    /// Checks settings given as text; `path` appears only in errors.
    pub fn parse(path: &Path, text: &str) -> Result<Self, SettingsError> {
        read(SettingsFile::parse(path, text)?)
    }
}

fn read(mut file: SettingsFile) -> Result<AgentSettings, SettingsError> {
    let process = read_process(&mut file);
    let log_address = file.required("log", "address", ADDRESS);
    let entries = file.list("entries", "peers", "addresses, comma-separated");
    let shards = read_shards(&mut file, process.as_ref());
    let worker_address = file.required("worker", "address", ADDRESS);
    let upstream_address = file.required("upstream", "address", ADDRESS);
    let limits = read_limits(&mut file);
    let log_level = file.or_default("logging", "level", "a log level", "info".to_owned());
    let settings = (|| {
        Some(AgentSettings {
            process: process?,
            log_address: log_address?,
            entries: entries?,
            shards: shards?,
            worker_address: worker_address?,
            upstream_address: upstream_address?,
            limits: limits?,
            log_level: log_level?,
        })
    })();
    file.finish(settings)
}

fn read_shards(
    file: &mut SettingsFile,
    process: Option<&ProcessSettings>,
) -> Option<ShardSettings> {
    let centres: Option<Vec<DataCentre>> =
        file.list("shards", "data_centres", "data centre names, comma-separated");
    let count = file.integer("shards", "per_data_centre", (1, 64), Some(1));
    let (centres, count, process) = (centres?, count?, process?);
    let all = centres.iter().map(|centre| rendezvous::shards_of(centre, count));
    let all = all.collect::<Result<Vec<_>, _>>().ok()?.concat();
    let own = centres.contains(&process.data_centre).then_some(&process.data_centre);
    let own = own.and_then(|centre| rendezvous::shards_of(centre, count).ok());
    match own.and_then(|own| rendezvous::pick(process.vm.as_str(), &own).cloned()) {
        Some(own) => Some(ShardSettings { all, own }),
        None => {
            let kind = InvalidKind::Invalid {
                value: process.data_centre.to_string(),
                accepted: "one of the data centres of [shards]".into(),
            };
            file.report_invalid("process", "data_centre", kind);
            None
        }
    }
}

fn read_limits(file: &mut SettingsFile) -> Option<AgentLimits> {
    let worker_poll = file.integer("limits", "worker_poll_ms", (20, 1_000), Some(250));
    let claims = file.integer("limits", "remembered_claims", (1_000, 1_000_000), Some(65_536));
    let answers = file.integer("limits", "kept_answer_mib", (1, 128), Some(32));
    let stop = file.integer("limits", "stop_ms", (1_000, 600_000), Some(90_000));
    Some(AgentLimits {
        worker_poll: worker_poll?,
        remembered_claims: usize::try_from(claims?).ok()?,
        stored_answer_bytes: usize::try_from(answers? * MEBIBYTE).ok()?,
        stop: stop?,
    })
}
