//! Identity of this process: the `[process]` section and the incarnation.

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
    /// Address at which this process serves RPC to its peers.
    pub peer_address: SocketAddr,
    /// Address at which this process serves HTTP to operators.
    pub operator_address: SocketAddr,
}

/// Reads the `[process]` section; `None` if a setting is invalid.
pub fn read_process(file: &mut SettingsFile) -> Option<ProcessSettings> {
    let name_format = "letters, digits and -_.:@, 1 to 128";
    let address_format = "an IP address and port, such as 127.0.0.1:7000";
    let name = file.required("process", "name", name_format);
    let vm = file.required("process", "vm", name_format);
    let data_centre = file.required("process", "data_centre", name_format);
    let rack = file.required("process", "rack", name_format);
    let peer_address = file.required("process", "peer_address", address_format);
    let operator_address = file.required("process", "operator_address", address_format);
    Some(ProcessSettings {
        name: name?,
        vm: vm?,
        data_centre: data_centre?,
        rack: rack?,
        peer_address: peer_address?,
        operator_address: operator_address?,
    })
}

/// Random incarnation for this run of the process, never 0.
#[must_use]
pub fn draw_incarnation() -> Incarnation {
    rand::random::<u64>().max(1)
}
