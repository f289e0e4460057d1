//! Checks of settings files.

use std::path::Path;

use assert_matches::assert_matches;
use cactusdoor_node::process::read_process;
use cactusdoor_node::settings::{InvalidKind, SettingsError, SettingsFile};

/// Guards against a check that stops at the first invalid setting or ignores misspelt keys.
#[test]
fn every_invalid_setting_is_reported_at_once() {
    let text = "[process]\nname=a b\nvm=vm1\ndata_centre=dc1\nrack=r1\npeer_adress=127.0.0.1:1\noperator_address=nowhere\n";
    let mut file = SettingsFile::parse(Path::new("agent.ini"), text).unwrap();
    let settings = read_process(&mut file);
    let error = file.finish(settings).unwrap_err();
    assert_matches!(&error, SettingsError::Invalid { problems, .. } => {
        let found: Vec<_> = problems.iter().map(|setting| (setting.key.as_str(), &setting.kind)).collect();
        assert_eq!(found.len(), 4, "{error}");
        assert_matches!(found[0], ("name", InvalidKind::Invalid { .. }));
        assert_matches!(found[1], ("peer_address", InvalidKind::Missing { .. }));
        assert_matches!(found[2], ("operator_address", InvalidKind::Invalid { .. }));
        assert_matches!(found[3], ("peer_adress", InvalidKind::UnknownKey));
    });
    assert!(error.to_string().contains("agent.ini"));
}

/// Guards against integers outside the accepted range being used.
#[test]
fn integers_out_of_range_are_rejected() {
    let mut file = SettingsFile::parse(Path::new("a.ini"), "[limits]\nslots=0\n").unwrap();
    let slots = file.integer("limits", "slots", (1, 64), None);
    let error = file.finish(slots).unwrap_err();
    assert!(error.to_string().contains("an integer from 1 to 64"), "{error}");
}
