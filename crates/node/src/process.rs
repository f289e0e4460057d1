//! Identity of this process and the `[process]` section.

use std::net::SocketAddr;

use cactusdoor_core::name::{DataCentre, ProcessName, RackName, VmName};
use cactusdoor_core::unit::Incarnation;

use crate::settings::SettingsFile;

/// The `[process]` section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessSettings {
    pub name: ProcessName,
    pub vm: VmName,
    pub data_centre: DataCentre,
    pub rack: RackName,
    /// Where this process serves the project's own RPC.
    pub peer_address: SocketAddr,
    /// Where operators reach this process over HTTP.
    pub operator_address: SocketAddr,
}

/// Reads the `[process]` section.
pub fn read_process(file: &mut SettingsFile) -> Option<ProcessSettings> {
    let names = "letters, digits and -_.:@, 1 to 128";
    let addresses = "an IP address and port, such as 127.0.0.1:7000";
    let name = file.required("process", "name", names);
    let vm = file.required("process", "vm", names);
    let data_centre = file.required("process", "data_centre", names);
    let rack = file.required("process", "rack", names);
    let peer_address = file.required("process", "peer_address", addresses);
    let operator_address = file.required("process", "operator_address", addresses);
    Some(ProcessSettings {
        name: name?,
        vm: vm?,
        data_centre: data_centre?,
        rack: rack?,
        peer_address: peer_address?,
        operator_address: operator_address?,
    })
}

/// Draws the incarnation of this run, never 0.
#[must_use]
pub fn draw_incarnation() -> Incarnation {
    rand::random::<u64>().max(1)
}
