//! Operators' changes: applied once, typed conflicts, correct outcomes.

mod support;

use assert_matches::assert_matches;
use cactusdoor_core::config::{ConfigConflict, DataCentreState, ItemChange, ItemValue, PlanSpec};
use cactusdoor_core::name::{DataCentre, PlanName, TeamName};
use cactusdoor_operator::OperatorError;
use cactusdoor_operator::client::OperatorClientError;
use support::entry::{TestEntry, plan_items};
use support::log::FakeLog;

fn set_weight(plan: &str, premise: u64, weight: u32) -> Vec<ItemChange> {
    let spec = PlanSpec { team: TeamName::new("team").unwrap(), weight };
    let value = ItemValue::Plan(PlanName::new(plan).unwrap(), Some(spec));
    vec![ItemChange { premise, value }]
}

/// Guards against two conflicting changes that are both reported as accepted.
#[actix::test]
async fn only_one_of_two_conflicting_changes_is_accepted() {
    let log = FakeLog::open();
    let first = TestEntry::open("entry1", &log, &[]).await;
    let second = TestEntry::open("entry2", &log, &[]).await;
    for round in 0..10 {
        let plan = format!("plan{round}");
        let (one, other) = futures::join!(
            first.operators.change(set_weight(&plan, 0, 1)),
            second.operators.change(set_weight(&plan, 0, 2))
        );
        let (winner, weight, loser) = match (one, other) {
            (Ok(winner), Err(loser)) => (winner, 1, loser),
            (Err(loser), Ok(winner)) => (winner, 2, loser),
            both => panic!("{both:?}"),
        };
        assert_matches!(loser, OperatorClientError::Refused(OperatorError::Conflict {
            conflict: ConfigConflict::StalePremise { premise: 0, current, .. }
        }) if current == winner.revision);
        for entry in [&first, &second] {
            entry.wait_revision(winner.revision).await;
            let view = entry.operators.config().await.unwrap();
            let last = view.items.iter().find(|item| item.revision == winner.revision).unwrap();
            assert_matches!(&last.value, ItemValue::Plan(_, Some(spec)) => {
                assert_eq!(spec.weight, weight);
            });
        }
    }
}

/// Guards against a change that is applied twice or reported as not stored when
/// only the log's answer was lost.
#[actix::test]
async fn change_is_applied_once_when_the_log_answer_is_lost() {
    let log = FakeLog::open();
    let entry = TestEntry::open("entry1", &log, &[]).await;
    log.state().lose_answers.insert("config".to_owned(), 1);
    let accepted = entry.operators.change(set_weight("p", 0, 1)).await.unwrap();
    assert_eq!(accepted.revision, 1);
    let accepted = entry.operators.change(set_weight("p", 1, 2)).await.unwrap();
    assert_eq!(accepted.revision, 2);
}

/// Guards against reporting "unknown" for a change that certainly was not stored.
#[actix::test]
async fn change_during_a_log_outage_is_reported_as_not_changed() {
    let log = FakeLog::open();
    let entry = TestEntry::open("entry1", &log, &[]).await;
    log.state().down = true;
    let refused = entry.operators.change(set_weight("p", 0, 1)).await;
    assert_matches!(refused, Err(OperatorClientError::Refused(OperatorError::NotChanged { .. })));
    log.state().down = false;
    assert_eq!(entry.operators.change(set_weight("p", 0, 1)).await.unwrap().revision, 1);
}

/// Guards against a definite answer while the append of the change is unanswered.
#[actix::test]
async fn change_is_unknown_while_the_log_does_not_answer() {
    let log = FakeLog::open();
    let entry = TestEntry::open("entry1", &log, &[]).await;
    log.state().stall = Some("config".to_owned());
    let refused = entry.operators.change(set_weight("p", 0, 1)).await;
    assert_matches!(refused, Err(OperatorClientError::Refused(OperatorError::Unknown { .. })));
    log.state().stall = None;
    // The stalled append is either dropped or applied as the first change.
    let accepted = entry.operators.change(set_weight("q", 0, 1)).await.unwrap();
    let view = entry.operators.config().await.unwrap();
    assert_eq!(view.items.len() as u64, accepted.revision);
}

/// Guards against accepting only some items of a change.
#[actix::test]
async fn items_of_a_change_are_accepted_all_or_none() {
    let log = FakeLog::open();
    let entry = TestEntry::open("entry1", &log, &[]).await;
    entry.operators.change(set_weight("a", 0, 1)).await.unwrap();
    let mut items = set_weight("b", 0, 1);
    items.extend(set_weight("a", 0, 9));
    let refused = entry.operators.change(items).await;
    assert_matches!(refused, Err(OperatorClientError::Refused(OperatorError::Conflict { .. })));
    assert_eq!(entry.operators.config().await.unwrap().items.len(), 1);
}

/// Guards against accepting values out of range, data centres that do not exist and
/// empty changes.
#[actix::test]
async fn invalid_changes_are_refused() {
    let log = FakeLog::open();
    let entry = TestEntry::open("entry1", &log, &[]).await;
    let refused = entry.operators.change(set_weight("a", 0, 0)).await;
    assert_matches!(refused, Err(OperatorClientError::Refused(OperatorError::Malformed { .. })));
    let unknown = DataCentre::new("dc7").unwrap();
    let refused = entry.operators.set_data_centre(&unknown, DataCentreState::Out).await;
    assert_matches!(refused, Err(OperatorClientError::Refused(OperatorError::NotFound { .. })));
    let refused = entry.operators.change(Vec::new()).await;
    assert_matches!(
        refused,
        Err(OperatorClientError::Refused(OperatorError::Conflict {
            conflict: ConfigConflict::Empty
        }))
    );
    assert!(entry.operators.config().await.unwrap().items.is_empty());
}

/// Guards against a data centre that cannot be brought back through another entry
/// than the one that took it out.
#[actix::test]
async fn data_centre_is_taken_out_and_brought_back_through_any_entry() {
    let log = FakeLog::open();
    let first = TestEntry::open("entry1", &log, &[]).await;
    let second = TestEntry::open("entry2", &log, &[]).await;
    let name = DataCentre::new("dc2").unwrap();
    let out = first.operators.set_data_centre(&name, DataCentreState::Out).await.unwrap();
    second.wait_revision(out.revision).await;
    let back = second.operators.set_data_centre(&name, DataCentreState::In).await.unwrap();
    assert!(back.revision > out.revision);
}

/// Guards against entries with a common seed that do not discover each other.
#[actix::test]
async fn entries_discover_each_other_through_a_seed() {
    let log = FakeLog::open();
    let first = TestEntry::open("entry1", &log, &[]).await;
    let seeds = [first.daemon.peer_address];
    let second = TestEntry::open("entry2", &log, &seeds).await;
    let third = TestEntry::open("entry3", &log, &seeds).await;
    let entries = [&first, &second, &third];
    for entry in entries {
        support::eventually("entries", async || {
            let listed = entry.operators.roster().await.ok()?.entries;
            let all = entries.iter().all(|other| listed.contains(&other.daemon.peer_address));
            all.then_some(())
        })
        .await;
    }
}

/// Guards against a revision that decreases when an entry restarts.
#[actix::test]
async fn configuration_revision_survives_a_restart() {
    let log = FakeLog::open();
    let entry = TestEntry::open("entry1", &log, &[]).await;
    let accepted = entry.operators.change(plan_items("p", 5)).await.unwrap();
    entry.daemon.stop().await;
    let entry = TestEntry::open("entry1", &log, &[]).await;
    assert_eq!(entry.operators.config().await.unwrap().revision, accepted.revision);
}
