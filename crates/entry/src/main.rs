//! `cactusdoor-entry`: accepts requests, jobs and operators' changes.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, long};
use cactusdoor_node::entry::EntrySettings;

fn arguments() -> OptionParser<PathBuf> {
    let help = "Settings file of this process (INI)";
    long("settings")
        .help(help)
        .argument("FILE")
        .to_options()
        .descr("Accepts requests and jobs from callers and changes from operators.")
}

fn main() -> ExitCode {
    let path = arguments().run();
    let started = EntrySettings::open(&path)
        .map_err(anyhow::Error::from)
        .and_then(|settings| cactusdoor_entry::run(&settings));
    match started {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cactusdoor-entry: {error:#}");
            ExitCode::FAILURE
        }
    }
}
