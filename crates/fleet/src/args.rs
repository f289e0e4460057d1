//! Arguments of `cactusdoor-fleet`.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

/// Runs cactusdoor on the platform.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub enum FleetCommand {
    /// Runs the entry of an edge VM
    #[bpaf(command)]
    Entry(#[bpaf(external(settings_path))] PathBuf),
    /// Runs the agent beside a worker
    #[bpaf(command)]
    Agent(#[bpaf(external(settings_path))] PathBuf),
    /// Shows the decisions about one job from the logs of all processes
    #[bpaf(command)]
    Trace {
        /// Id of the job
        #[bpaf(argument("ID"))]
        job: String,
        /// Logs of the processes; standard input if there is none
        #[bpaf(positional("FILE"))]
        files: Vec<PathBuf>,
    },
    /// Shows where a job would be placed now, and why, without submitting it
    #[bpaf(command)]
    Explain {
        /// Peer address of the owner
        #[bpaf(argument("ADDRESS"))]
        owner: SocketAddr,
        /// Queue of the job
        #[bpaf(argument("NAME"))]
        queue: String,
        /// Prints JSON lines: one for the job and one for each step
        json: bool,
        /// Job as callers submit it; `-` for standard input
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Checks a settings file of an entry or an agent
    #[bpaf(command)]
    Check {
        #[bpaf(external(check_role))]
        role: CheckRole,
        #[bpaf(external(settings_path))]
        settings: PathBuf,
    },
}

/// Whose settings are checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Bpaf)]
pub enum CheckRole {
    /// Checks the settings of an entry
    Entry,
    /// Checks the settings of an agent
    Agent,
}

fn settings_path() -> impl bpaf::Parser<PathBuf> {
    bpaf::long("settings").env("CACTUSDOOR_CONFIG").help("Settings file").argument("FILE")
}
