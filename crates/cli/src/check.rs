//! `cactusdoor check`: checks the settings file of an entry or agent without starting it.

use std::io::Write;
use std::net::SocketAddr;

use cactusdoor_core::name::DataCentre;
use cactusdoor_node::entry::EntrySettings;
use cactusdoor_node::process::{ProcessSettings, read_process};
use cactusdoor_node::settings::{SettingsError, SettingsFile};

use crate::args::Check;
use crate::{CommandError, Run};

const ADDRESS_FORMAT: &str = "an IP address and port, such as 127.0.0.1:7000";

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

/// Checks the settings of an agent. The ranges of its limits are checked only by the
/// agent; here each limit must be an integer.
fn check_agent(mut file: SettingsFile) -> Result<ProcessSettings, SettingsError> {
    let process = read_process(&mut file);
    for section in ["log", "worker", "upstream"] {
        file.required::<SocketAddr>(section, "address", ADDRESS_FORMAT);
    }
    file.list::<SocketAddr>("entries", "peers", ADDRESS_FORMAT);
    let data_centres = "names of data centres, separated by commas";
    file.list::<DataCentre>("shards", "data_centres", data_centres);
    file.integer("shards", "per_data_centre", (1, 64), Some(1));
    file.or_default("logging", "level", "a log level", "info".to_owned());
    for key in file.keys("limits") {
        file.integer("limits", &key, (0, u64::MAX), None);
    }
    // An invalid setting in any section makes the result an error.
    file.finish(process)
}
