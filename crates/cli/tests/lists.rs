//! Lists of plans and allowances: reading, formatting, and changes between them.

use std::path::Path;

use assert_matches::assert_matches;
use cactusdoor_cli::args::{Allowances, Plans};
use cactusdoor_cli::list::{PublishedList, difference, read, write};
use cactusdoor_core::config::{ConfigFold, ConfigRecord, ItemChange, ItemValue};
use cactusdoor_core::envelope::{LogEnvelope, WriterId};
use cactusdoor_core::name::ProcessName;
use cactusdoor_node::settings::{SettingsError, SettingsFile};
use cactusdoor_operator::types::ConfigView;

const ALLOWANCES: &str = "[p]\nprocessors = 8000\nmemory = 4096\naccelerators = 1\n\
                          requests_per_second = 20\n";

fn file(text: &str) -> SettingsFile {
    SettingsFile::parse(Path::new("list.ini"), text).unwrap()
}

/// Publishes the list `text` to `fold` and returns the changes that this took.
fn publish<L: PublishedList>(fold: &mut ConfigFold, text: &str) -> Vec<ItemChange> {
    let items = difference::<L>(&view(fold), read::<L>(file(text)).unwrap());
    if !items.is_empty() {
        let writer = WriterId { process: ProcessName::new("test").unwrap(), incarnation: 1 };
        let body = ConfigRecord::Changed { items: items.clone() };
        let (offset, before) = (fold.next(), fold.state().revision());
        fold.apply(offset, LogEnvelope { writer, sequence: offset + 1, body });
        assert_eq!(fold.state().revision(), before + 1, "the change was not accepted");
    }
    items
}

fn view(fold: &ConfigFold) -> ConfigView {
    let items = fold.state().items().cloned().collect();
    ConfigView { revision: fold.state().revision(), confirmed_age_ms: Some(0), items }
}

/// Guards against changes with a stale premise, which the fold rejects: for a plan that
/// was removed and is added again, and for an item that last changed at an older revision.
#[test]
fn changes_between_successive_lists_are_accepted() {
    let mut fold = ConfigFold::default();
    let plan = |name: &str, weight: u32| format!("[{name}]\nteam = t\nweight = {weight}\n");
    assert_eq!(publish::<Plans>(&mut fold, &(plan("a", 1) + &plan("b", 1))).len(), 2);
    assert_eq!(publish::<Plans>(&mut fold, &(plan("a", 1) + &plan("b", 2))).len(), 1);
    let removed = publish::<Plans>(&mut fold, &plan("a", 1));
    assert_matches!(&removed[..], [ItemChange { premise: 2, value: ItemValue::Plan(name, None) }] => {
        assert_eq!(name.as_str(), "b");
    });
    let added_again = publish::<Plans>(&mut fold, &(plan("b", 7) + &plan("a", 1)));
    assert_matches!(&added_again[..], [ItemChange { premise: 3, .. }]);
    assert!(publish::<Plans>(&mut fold, &(plan("b", 7) + &plan("a", 1))).is_empty());
}

/// Guards against publishing one list changing the items of the other.
#[test]
fn publishing_one_list_leaves_the_other_unchanged() {
    let mut fold = ConfigFold::default();
    publish::<Allowances>(&mut fold, ALLOWANCES);
    assert!(publish::<Plans>(&mut fold, "").is_empty());
    publish::<Plans>(&mut fold, "[p]\nteam = t\nweight = 3\n");
    assert!(publish::<Allowances>(&mut fold, ALLOWANCES).is_empty());
}

/// Guards against a shown list that changes the configuration when it is published.
#[test]
fn publishing_a_shown_list_changes_nothing() {
    let mut fold = ConfigFold::default();
    publish::<Allowances>(&mut fold, &(ALLOWANCES.to_owned() + &ALLOWANCES.replace("[p]", "[q]")));
    publish::<Plans>(&mut fold, "[p]\nteam = t\nweight = 3\n[q]\nteam = u\nweight = 1000\n");
    let (plans, allowances) = (write::<Plans>(&view(&fold)), write::<Allowances>(&view(&fold)));
    assert!(publish::<Plans>(&mut fold, &plans).is_empty(), "{plans}");
    assert!(publish::<Allowances>(&mut fold, &allowances).is_empty(), "{allowances}");
}

/// Guards against an invalid list that is published in part, and against invalid
/// settings that are reported one at a time.
#[test]
fn every_invalid_setting_of_a_list_is_reported() {
    let text = "[a b]\nteam = t\nweight = 1\n[p]\nteam = \nweight = 0\nwieght = 1\n[q]\nteam = t\n";
    let error = read::<Plans>(file(text)).unwrap_err();
    assert_matches!(&error, SettingsError::Invalid { problems, .. } => {
        assert_eq!(problems.len(), 5, "{error}");
    });
    let error = read::<Allowances>(file("[p]\nprocessors = -1\nmemory = 1\n")).unwrap_err();
    assert_matches!(&error, SettingsError::Invalid { problems, .. } => {
        assert_eq!(problems.len(), 3, "{error}");
    });
}
