//! `cactusdoor check`: checks a settings file.

use std::io::Write;
use std::net::SocketAddr;

use cactusdoor_core::name::DataCentre;
use cactusdoor_node::entry::EntrySettings;
use cactusdoor_node::process::{ProcessSettings, read_process};
use cactusdoor_node::settings::{SettingsError, SettingsFile};

use crate::args::Check;
use crate::{CommandError, Run};

const ADDRESSES: &str = "an IP address and port, such as 127.0.0.1:7000";

impl Run for Check {
    async fn run(self, out: &mut dyn Write) -> Result<(), CommandError> {
        let file = SettingsFile::open(&self.file)?;
        let is_agent = file.sections().iter().any(|name| name == "worker" || name == "upstream");
        let (kind, process) = if is_agent {
            ("agent", check_agent(file)?)
        } else {
            ("entry", EntrySettings::read(file)?.process)
        };
        let path = self.file.display();
        writeln!(out, "{path}: settings of {kind} {} have no faults", process.name)?;
        Ok(())
    }
}

/// Checks the sections of an agent. Its limits are checked by the agent itself;
/// here each must be an integer.
fn check_agent(mut file: SettingsFile) -> Result<ProcessSettings, SettingsError> {
    let process = read_process(&mut file);
    for section in ["log", "worker", "upstream"] {
        file.required::<SocketAddr>(section, "address", ADDRESSES);
    }
    file.list::<SocketAddr>("entries", "peers", ADDRESSES);
    let data_centres = "names of data centres, separated by commas";
    file.list::<DataCentre>("shards", "data_centres", data_centres);
    file.integer("shards", "per_data_centre", (1, 64), Some(1));
    file.or_default("logging", "level", "a log level", "info".to_owned());
    for key in file.keys("limits") {
        file.integer("limits", &key, (0, u64::MAX), None);
    }
    // A fault of any section makes the result an error.
    file.finish(process)
}
