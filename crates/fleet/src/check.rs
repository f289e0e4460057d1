//! `cactusdoor-fleet check`, and the trait of all subcommands.

use std::path::PathBuf;

use crate::args::CheckRole;
use crate::settings::{AgentSettings, EntrySettings};

/// A subcommand.
pub trait Run {
    fn run(self) -> anyhow::Result<()>;
}

/// Checks a settings file and prints the settings with all defaults.
pub struct SettingsCheck {
    pub role: CheckRole,
    pub settings: PathBuf,
}

impl Run for SettingsCheck {
    fn run(self) -> anyhow::Result<()> {
        match self.role {
            CheckRole::Entry => println!("{:#?}", EntrySettings::load(&self.settings)?),
            CheckRole::Agent => println!("{:#?}", AgentSettings::load(&self.settings)?),
        }
        Ok(())
    }
}
