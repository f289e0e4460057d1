//! Runs the demo of a small cluster within a time limit.

use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context, Result};
use bpaf::Bpaf;
use cactusdoor_standin::demo;

/// Starts three data centres with stand-ins for all external systems, runs one
/// interactive request per entry, one settlement and one batch job, evacuates a data
/// centre, and stops everything.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Time limit of the whole run in seconds
    #[bpaf(fallback(120), display_fallback)]
    limit_s: u64,
}

#[actix_web::main]
async fn main() -> ExitCode {
    match run(arguments().run()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cactusdoor-demo: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(arguments: Arguments) -> Result<()> {
    let limit = Duration::from_secs(arguments.limit_s);
    tokio::time::timeout(limit, demo::run()).await.context("the demo did not finish in time")?
}
