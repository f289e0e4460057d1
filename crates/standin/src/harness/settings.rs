//! Settings files of the daemons.

use std::net::SocketAddr;
use std::path::Path;

use cactusdoor_core::name::DataCentre;
use ini::Ini;

use crate::harness::child::{HarnessError, failed};

/// What all processes of an installation share.
#[derive(Clone, Debug)]
pub struct SharedSettings {
    pub data_centres: Vec<DataCentre>,
    pub shards_per_data_centre: u32,
    /// Peer addresses of entries for first contact.
    pub entries: Vec<SocketAddr>,
    /// Level of the logs.
    pub level: String,
    /// Keys of `[limits]`, which differ between the daemons.
    pub entry_limits: Vec<(String, String)>,
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

/// Settings of an entry that callers reach at `callers`.
#[must_use]
pub fn entry(shared: &SharedSettings, process: &ProcessAddresses, callers: SocketAddr) -> Ini {
    let mut ini = common(shared, process, &shared.entry_limits);
    ini.with_section(Some("callers")).set("address", callers.to_string());
    ini
}

/// Settings of an agent beside `worker` that takes announcements at `upstream`.
#[must_use]
pub fn agent(
    shared: &SharedSettings,
    process: &ProcessAddresses,
    worker: SocketAddr,
    upstream: SocketAddr,
) -> Ini {
    let mut ini = common(shared, process, &shared.agent_limits);
    ini.with_section(Some("worker")).set("address", worker.to_string());
    ini.with_section(Some("upstream")).set("address", upstream.to_string());
    ini
}

fn common(shared: &SharedSettings, process: &ProcessAddresses, limits: &[(String, String)]) -> Ini {
    let mut ini = Ini::new();
    ini.with_section(Some("process"))
        .set("name", &process.name)
        .set("vm", &process.vm)
        .set("data_centre", process.data_centre.as_str())
        .set("rack", &process.rack)
        .set("peer_address", process.peer.to_string())
        .set("operator_address", process.operator.to_string());
    ini.with_section(Some("log")).set("address", process.log.to_string());
    ini.with_section(Some("entries")).set("peers", list(&shared.entries));
    ini.with_section(Some("shards"))
        .set("data_centres", list(&shared.data_centres))
        .set("per_data_centre", shared.shards_per_data_centre.to_string());
    ini.with_section(Some("logging")).set("level", &shared.level);
    for (key, value) in limits {
        ini.with_section(Some("limits")).set(key, value);
    }
    ini
}

fn list<T: ToString>(values: &[T]) -> String {
    values.iter().map(T::to_string).collect::<Vec<_>>().join(", ")
}

/// Writes `ini` to `path`.
pub fn write(ini: &Ini, path: &Path) -> Result<(), HarnessError> {
    ini.write_to_file(path).map_err(failed(format!("write {}", path.display())))
}
