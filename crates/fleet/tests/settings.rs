//! All settings of a file are checked, and one template serves both daemons.

use std::fs;
use std::path::PathBuf;

use cactusdoor_fleet::settings::{AgentSettings, EntrySettings};

const AGENT: &str = "[process]\nname = a\ndata_centre = north\npeer_address = 127.0.0.1:7000\n\
    metrics_address = 127.0.0.1:7001\n[store]\naddress = 127.0.0.1:7002\n[worker]\n\
    address = 127.0.0.1:7003\nannounce_address = 127.0.0.1:7004\nlease_limit_ms = 10000\n\
    [bounds]\nconfig_ms = 2000\nstop_ms = 6000\n";

fn file(text: &str) -> (tempfile::TempDir, PathBuf) {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("settings.ini");
    fs::write(&path, text).unwrap();
    (directory, path)
}

#[test]
fn the_settings_of_an_agent_are_read() {
    let (_directory, path) = file(AGENT);
    let settings = AgentSettings::load(&path).unwrap();
    assert_eq!((&*settings.process.name, settings.lease_limit), ("a", 10_000));
}

#[test]
fn all_errors_of_a_file_are_reported_at_once() {
    let text = AGENT.replace("name = a\n", "").replace("10000", "7").replace("stop_ms", "stop");
    let (_directory, path) = file(&text);
    let error = AgentSettings::load(&path).unwrap_err().to_string();
    for expected in ["[process] name", "[worker] lease_limit_ms", "[bounds] stop: unknown key"] {
        assert!(error.contains(expected), "{expected} is missing in {error}");
    }
}

#[test]
fn an_entry_needs_its_own_addresses() {
    let (_directory, path) = file(AGENT);
    let error = EntrySettings::load(&path).unwrap_err().to_string();
    assert!(error.contains("[callers] address"), "{error}");
}
