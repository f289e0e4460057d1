//! `cactusdoor-fleet`: the daemons on the users' platform.

use cactusdoor_fleet::args::{FleetCommand, fleet_command};
use cactusdoor_fleet::check::Run as _;
use cactusdoor_fleet::{agent, check, entry, explain, trace};

fn main() -> anyhow::Result<()> {
    match fleet_command().run() {
        FleetCommand::Entry(settings) => entry::EntryCommand { settings }.run(),
        FleetCommand::Agent(settings) => agent::AgentCommand { settings }.run(),
        FleetCommand::Trace { job, files } => trace::JobTrace { job, files }.run(),
        FleetCommand::Explain { owner, queue, json, file } => {
            explain::JobExplain { owner, queue, json, file }.run()
        }
        FleetCommand::Check { role, settings } => check::SettingsCheck { role, settings }.run(),
    }
}
