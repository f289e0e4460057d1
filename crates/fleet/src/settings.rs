//! Settings of the daemons, read from an INI file that the platform generates.
//!
//! Both daemons read the same template. All invalid settings of a file are reported together.

use std::net::SocketAddr;
use std::path::Path;

use cactusdoor_core::unit::Millis;
use cactusdoor_node::settings::{InvalidKind, SettingsError, SettingsFile};
use cactusdoor_queue::features::SchedulingFeatures;
use cactusdoor_queue::name::{AgentName, DataCentre};

use crate::limits::ClientLimits;
use crate::owner::OwnerBounds;

/// Permitted bounds, in ms: from the time of a message between data centres to ten minutes.
const BOUND_RANGE: (f64, f64) = (100.0, 600_000.0);
/// Permitted times of a run's stop and restore, in ms.
const RUN_RANGE: (f64, f64) = (0.0, 60_000.0);
/// Expected form of an address, for error messages.
const ADDRESS: &str = "an IP address and port, such as 127.0.0.1:7000";

/// The `[process]` and `[logging]` sections, which all daemons have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessSettings {
    pub name: AgentName,
    pub data_centre: DataCentre,
    pub log_level: String,
    /// Address at which metrics are served.
    pub metrics_address: SocketAddr,
    pub store_address: SocketAddr,
    /// Longest time for a graceful stop.
    pub stop: Millis,
}

/// Settings of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySettings {
    pub process: ProcessSettings,
    pub caller_address: SocketAddr,
    pub ready_address: SocketAddr,
    /// Time within which a new configuration takes effect.
    pub config_bound: Millis,
    pub features: SchedulingFeatures,
    pub limits: ClientLimits,
}

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    pub process: ProcessSettings,
    /// Address at which other processes call this agent.
    pub peer_address: SocketAddr,
    /// Address to which the worker sends its announcements.
    pub announce_address: SocketAddr,
    pub worker_address: SocketAddr,
    /// Longest lease that a worker accepts.
    pub lease_limit: Millis,
    pub bounds: OwnerBounds,
    /// Longest time for which a serving task may miss its latency bound.
    pub harm_bound: Millis,
    pub features: SchedulingFeatures,
    pub limits: ClientLimits,
}

impl EntrySettings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let mut file = SettingsFile::open(path)?;
        let process = read_process(&mut file);
        let caller_address = file.required("callers", "address", ADDRESS);
        let ready_address = file.required("callers", "ready_address", ADDRESS);
        let config_bound = read_millis(&mut file, "bounds", "config_ms", BOUND_RANGE, 2_000);
        skip(&mut file, "bounds", &["cancel_ms", "take_out_ms", "harm_ms"]);
        skip(&mut file, "worker", &["address", "announce_address", "lease_limit_ms"]);
        let features = read_features(&mut file);
        let limits = ClientLimits::read(&mut file);
        let settings = (|| {
            Some(Self {
                process: process?,
                caller_address: caller_address?,
                ready_address: ready_address?,
                config_bound: config_bound?,
                features: features?,
                limits: limits?,
            })
        })();
        file.finish(settings)
    }
}

impl AgentSettings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let mut file = SettingsFile::open(path)?;
        let process = read_process(&mut file);
        let peer_address = file.required("process", "peer_address", ADDRESS);
        let announce_address = file.required("worker", "announce_address", ADDRESS);
        let worker_address = file.required("worker", "address", ADDRESS);
        let lease_limit =
            read_millis(&mut file, "worker", "lease_limit_ms", (1_000.0, 600_000.0), 10_000);
        skip(&mut file, "callers", &["address", "ready_address"]);
        skip(&mut file, "bounds", &["config_ms"]);
        let cancel = read_millis(&mut file, "bounds", "cancel_ms", BOUND_RANGE, 3_000);
        let harm = read_millis(&mut file, "bounds", "harm_ms", BOUND_RANGE, 4_000);
        let take_out = read_millis(&mut file, "bounds", "take_out_ms", BOUND_RANGE, 5_000);
        let features = read_features(&mut file);
        let limits = ClientLimits::read(&mut file);
        let settings = (|| {
            Some(Self {
                process: process?,
                peer_address: peer_address?,
                announce_address: announce_address?,
                worker_address: worker_address?,
                lease_limit: lease_limit?,
                bounds: OwnerBounds { cancel: cancel?, take_out: take_out? },
                harm_bound: harm?,
                features: features?,
                limits: limits?,
            })
        })();
        file.finish(settings)
    }
}

fn read_process(file: &mut SettingsFile) -> Option<ProcessSettings> {
    let name: Option<String> = file.required("process", "name", "a name");
    let data_centre: Option<String> = file.required("process", "data_centre", "a name");
    let metrics_address = file.required("process", "metrics_address", ADDRESS);
    let _: Option<String> = file.or_default("process", "peer_address", ADDRESS, String::new());
    let store_address = file.required("store", "address", ADDRESS);
    let stop = read_stop(file);
    let log_level = file.or_default("logging", "level", "a log level", "info".to_owned());
    Some(ProcessSettings {
        name: name?.into(),
        data_centre: data_centre?.into(),
        log_level: log_level?,
        metrics_address: metrics_address?,
        store_address: store_address?,
        stop: stop?,
    })
}

/// The `[scheduling]` section.
fn read_features(file: &mut SettingsFile) -> Option<SchedulingFeatures> {
    let defaults = SchedulingFeatures::default();
    let headroom_forecast = read_switch(file, "headroom_forecast");
    let job_order = read_switch(file, "job_order");
    let moves = read_switch(file, "moves");
    let refusals = read_switch(file, "refusals");
    let learned_state = read_switch(file, "learned_state");
    let stop_run = read_millis(file, "scheduling", "stop_run_ms", RUN_RANGE, defaults.stop_run);
    let restore = read_millis(file, "scheduling", "restore_ms", RUN_RANGE, defaults.restore);
    Some(SchedulingFeatures {
        headroom_forecast: headroom_forecast?,
        job_order: job_order?,
        moves: moves?,
        refusals: refusals?,
        learned_state: learned_state?,
        stop_run: stop_run?,
        restore: restore?,
    })
}

/// A switch of the `[scheduling]` section; off if it is missing.
fn read_switch(file: &mut SettingsFile, key: &str) -> Option<bool> {
    let accepted = "on or off";
    let value: String = file.or_default("scheduling", key, accepted, "off".to_owned())?;
    match value.as_str() {
        "on" => Some(true),
        "off" => Some(false),
        _ => {
            let kind = InvalidKind::Invalid { value, accepted: accepted.to_owned() };
            file.report_invalid("scheduling", key, kind);
            None
        }
    }
}

/// Time in ms, without its fraction; the platform gives bounds as fractions too.
fn read_millis(
    file: &mut SettingsFile,
    section: &str,
    key: &str,
    range: (f64, f64),
    default: Millis,
) -> Option<Millis> {
    Some(file.decimal(section, key, range)?.map_or(default, whole))
}

/// Longest time for a graceful stop; `stop_s` takes precedence over `stop_ms`.
fn read_stop(file: &mut SettingsFile) -> Option<Millis> {
    let seconds = file.decimal("bounds", "stop_s", (0.5, 600.0));
    let millis = read_millis(file, "bounds", "stop_ms", (500.0, 600_000.0), 6_000);
    Some(seconds?.map_or(millis?, |seconds| whole(seconds * 1_000.0)))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a permitted bound is neither negative nor that large"
)]
fn whole(number: f64) -> Millis {
    number as Millis
}

/// Accepts keys of the other daemon, as one template serves both.
fn skip(file: &mut SettingsFile, section: &str, keys: &[&str]) {
    for key in keys {
        let _: Option<String> = file.or_default(section, key, "any text", String::new());
    }
}
