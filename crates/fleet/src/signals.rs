//! Signals of the platform: a graceful stop, and settings that have changed.

use std::path::Path;

use cactusdoor_node::settings::SettingsError;
use tokio::signal::unix::{SignalKind, signal};

use crate::decision::DecisionEvent;
use crate::journal::DecisionLog;

/// Checks the settings whenever SIGHUP says that they have changed.
///
/// Addresses and bounds are taken up at the next start; a file that does not
/// hold is reported at once.
pub async fn watch_settings<T>(
    path: &Path,
    log: DecisionLog,
    load: impl Fn(&Path) -> Result<T, SettingsError>,
) -> std::io::Result<()> {
    let mut hangups = signal(SignalKind::hangup())?;
    while hangups.recv().await.is_some() {
        let fault = load(path).err().map(|error| error.to_string());
        log.note(DecisionEvent::SettingsReloaded { fault });
    }
    Ok(())
}
