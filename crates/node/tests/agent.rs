//! Settings of an agent.

use std::path::Path;

use assert_matches::assert_matches;
use cactusdoor_node::agent::AgentSettings;
use cactusdoor_node::settings::SettingsError;

const TEXT: &str = "
[process]
name = agent-1
vm = vm-1
data_centre = dc1
rack = r1
peer_address = 127.0.0.1:7000
operator_address = 127.0.0.1:7001
[log]
address = 127.0.0.1:7002
[entries]
peers = 127.0.0.1:7003, 127.0.0.1:7004
[shards]
data_centres = dc1, dc2
per_data_centre = 2
[worker]
address = 127.0.0.1:7005
[upstream]
address = 127.0.0.1:7006
";

fn parse(text: &str) -> Result<AgentSettings, SettingsError> {
    AgentSettings::parse(Path::new("agent.ini"), text)
}

/// Guards against defaults and shards that differ from the documentation.
#[test]
fn complete_settings_are_accepted() {
    let settings = parse(TEXT).unwrap();
    let shards: Vec<&str> = settings.shards.all.iter().map(|shard| shard.as_str()).collect();
    assert_eq!(shards, ["dc1-0", "dc1-1", "dc2-0", "dc2-1"]);
    assert!(settings.shards.own.as_str().starts_with("dc1-"));
    assert_eq!(settings.entries.len(), 2);
    assert_eq!((settings.limits.worker_poll, settings.log_level.as_str()), (250, "info"));
}

/// Guards against a file whose errors are reported one at each start.
#[test]
fn all_invalid_settings_are_reported_at_once() {
    let text = TEXT
        .replace("data_centre = dc1\n", "data_centre = dc9\n")
        .replace("per_data_centre = 2", "per_data_centre = two")
        .replace("127.0.0.1:7002", "nowhere")
        .replace("[worker]", "[limits]\nworker_poll_ms = 5\nqueue = 9\n[other]");
    let problems =
        assert_matches!(parse(&text), Err(SettingsError::Invalid { problems, .. }) => problems);
    let mut named: Vec<String> =
        problems.iter().map(|setting| format!("{}.{}", setting.section, setting.key)).collect();
    named.sort();
    let expected = [
        "limits.queue",
        "limits.worker_poll_ms",
        "log.address",
        "other.address",
        "shards.per_data_centre",
        "worker.address",
    ];
    assert_eq!(named, expected);
}

/// Guards against an agent whose VM belongs to none of the shards.
#[test]
fn the_data_centre_of_an_agent_must_have_shards() {
    let text = TEXT.replace("data_centre = dc1\n", "data_centre = dc9\n");
    let problems =
        assert_matches!(parse(&text), Err(SettingsError::Invalid { problems, .. }) => problems);
    assert_eq!(
        (problems[0].section.as_str(), problems[0].key.as_str()),
        ("process", "data_centre")
    );
}
