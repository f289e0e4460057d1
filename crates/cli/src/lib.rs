//! The `cactusdoor` command line for operators and callers.
//!
//! Each subcommand has its own module and implements [`Run`]; all arguments are
//! declared in [`args`]. Subcommands call entries and agents over HTTP; they
//! never write to the log themselves.

pub mod allowances;
pub mod args;
pub mod bring_back;
pub mod check;
pub mod error;
pub mod jobs;
pub mod list;
pub mod plans;
pub mod roster;
pub mod take_out;
pub mod timeline;

pub use error::{CommandError, ExitStatus};

use std::future::Future;
use std::io::Write;

use args::Command;

/// A subcommand.
pub trait Run {
    /// Executes the subcommand and writes its result to `out`.
    fn run(self, out: &mut dyn Write) -> impl Future<Output = Result<(), CommandError>>;
}

impl Run for Command {
    async fn run(self, out: &mut dyn Write) -> Result<(), CommandError> {
        match self {
            Self::Plans(command) => command.run(out).await,
            Self::Allowances(command) => command.run(out).await,
            Self::TakeOut(command) => command.run(out).await,
            Self::BringBack(command) => command.run(out).await,
            Self::Jobs(command) => command.run(out).await,
            Self::Roster(command) => command.run(out).await,
            Self::Timeline(command) => command.run(out).await,
            Self::Check(command) => command.run(out).await,
        }
    }
}
