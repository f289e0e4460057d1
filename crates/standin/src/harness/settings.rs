//! Content of the daemons' settings files.

use std::net::SocketAddr;
use std::path::Path;

use cactusdoor_core::name::DataCentre;
use ini::Ini;

use crate::harness::child::{HarnessError, io_error};

/// Settings that all processes of a cluster share.
#[derive(Clone, Debug)]
pub struct SharedSettings {
    pub data_centres: Vec<DataCentre>,
    pub shards_per_data_centre: u32,
    /// Peer addresses of the entries that a process contacts first.
    pub entries: Vec<SocketAddr>,
    /// Log filter, with levels by module.
    pub level: String,
    /// Keys and values of `[limits]` in the settings of entries.
    pub entry_limits: Vec<(String, String)>,
    /// Keys and values of `[limits]` in the settings of agents.
    pub agent_limits: Vec<(String, String)>,
}

/// Identity and addresses of one process.
#[derive(Clone, Debug)]
pub struct ProcessAddresses {
    pub name: String,
    pub vm: String,
    pub data_centre: DataCentre,
    pub rack: String,
    pub peer: SocketAddr,
    pub operator: SocketAddr,
    pub log: SocketAddr,
}

/// Settings of an entry that serves callers at `callers`.
#[must_use]
pub fn entry_settings(
    shared: &SharedSettings,
    process: &ProcessAddresses,
    callers: SocketAddr,
) -> Ini {
    let mut ini = common_settings(shared, process, &shared.entry_limits);
    ini.with_section(Some("callers")).set("address", callers.to_string());
    ini
}

/// Settings of an agent that uses the worker at `worker` and accepts upstream
/// announcements at `upstream`.
#[must_use]
pub fn agent_settings(
    shared: &SharedSettings,
    process: &ProcessAddresses,
    worker: SocketAddr,
    upstream: SocketAddr,
) -> Ini {
    let mut ini = common_settings(shared, process, &shared.agent_limits);
    ini.with_section(Some("worker")).set("address", worker.to_string());
    ini.with_section(Some("upstream")).set("address", upstream.to_string());
    ini
}

fn common_settings(
    shared: &SharedSettings,
    process: &ProcessAddresses,
    limits: &[(String, String)],
) -> Ini {
    let mut ini = Ini::new();
    ini.with_section(Some("process"))
        .set("name", &process.name)
        .set("vm", &process.vm)
        .set("data_centre", process.data_centre.as_str())
        .set("rack", &process.rack)
        .set("peer_address", process.peer.to_string())
        .set("operator_address", process.operator.to_string());
    ini.with_section(Some("log")).set("address", process.log.to_string());
    ini.with_section(Some("entries")).set("peers", comma_separated(&shared.entries));
    ini.with_section(Some("shards"))
        .set("data_centres", comma_separated(&shared.data_centres))
        .set("per_data_centre", shared.shards_per_data_centre.to_string());
    ini.with_section(Some("logging")).set("level", &shared.level);
    for (key, value) in limits {
        ini.with_section(Some("limits")).set(key, value);
    }
    ini
}

fn comma_separated<T: ToString>(values: &[T]) -> String {
    values.iter().map(T::to_string).collect::<Vec<_>>().join(", ")
}

pub fn write_settings(ini: &Ini, path: &Path) -> Result<(), HarnessError> {
    ini.write_to_file(path).map_err(io_error(format!("write {}", path.display())))
}
