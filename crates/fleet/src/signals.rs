//! Check of the settings file at each SIGHUP.

use std::path::Path;

use cactusdoor_node::settings::SettingsError;
use tokio::signal::unix::{SignalKind, signal};

use crate::decision::DecisionEvent;
use crate::decision_log::DecisionLog;

/// Checks the settings file at each SIGHUP and logs the result.
///
/// Changed settings take effect only at the next start; errors are reported at once.
pub async fn watch_settings<T>(
    path: &Path,
    log: DecisionLog,
    load: impl Fn(&Path) -> Result<T, SettingsError>,
) -> std::io::Result<()> {
    let mut hangups = signal(SignalKind::hangup())?;
    while hangups.recv().await.is_some() {
        let error = load(path).err().map(|error| error.to_string());
        log.record(DecisionEvent::SettingsReloaded { error });
    }
    Ok(())
}
