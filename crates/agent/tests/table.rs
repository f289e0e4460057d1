//! The task table under uncertain, late and repeated answers of the worker.

mod support;

use std::collections::BTreeSet;

use cactusdoor_agent::manager::{StartStep, TaskManager};
use cactusdoor_agent::table::{LaunchAnswer, StopAnswer};
use cactusdoor_core::constants::{PAUSE_MARGIN, TASK_LEASE};
use cactusdoor_core::job::{PlacementEnd, StartRefusal};
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::{Moment, Token};
use cactusdoor_peer::heartbeat::{HeartbeatReply, RunState};
use cactusdoor_peer::task::StopMode;
use cactusdoor_worker::{TaskEnd, TaskInventory};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::{T0, beat, inventory, manager, reply, run, small, start, stop};

fn launch_uncertain(manager: &mut TaskManager, token: Token) {
    manager.begin_start(T0, &small(token, 1)).unwrap();
    manager.launch_lease(T0, token, 1).unwrap();
    manager.launched(T0, token, LaunchAnswer::Uncertain);
}

fn look(manager: &mut TaskManager, now: Moment, inventory: &TaskInventory) {
    manager.reconcile(now, now, inventory);
}

/// Guards against freed resources while the worker may be running the task.
#[test]
fn unanswered_start_keeps_its_reservation() {
    let mut manager = manager();
    launch_uncertain(&mut manager, 10);
    assert_eq!(manager.held()[0].state, RunState::Starting);
    look(&mut manager, T0.after(100), &inventory(&[10], &[]));
    assert_eq!(manager.held()[0].state, RunState::Running);
    assert_eq!(manager.renewal(T0.after(100)).unwrap().0, [10]);
}

/// Guards against a start that lies in the socket of a paused worker: it is not in
/// the first inventory after the worker resumes, and takes effect later.
#[test]
fn one_absence_does_not_free_an_unanswered_start() {
    let mut manager = manager();
    launch_uncertain(&mut manager, 10);
    let first = T0.after(1_000);
    look(&mut manager, first, &inventory(&[], &[]));
    look(&mut manager, first.after(PAUSE_MARGIN - 1), &inventory(&[], &[]));
    assert!(manager.table().unwrap().book().holds(10));
    look(&mut manager, first.after(PAUSE_MARGIN), &inventory(&[], &[]));
    assert!(!manager.table().unwrap().book().holds(10));
    let end = PlacementEnd::Refused(StartRefusal::WorkerFailed);
    assert_eq!(manager.ended()[0].end, end);
}

/// Guards against a task that keeps running although its start was given up.
#[test]
fn start_that_takes_effect_after_it_was_given_up_is_stopped() {
    let mut manager = manager();
    launch_uncertain(&mut manager, 10);
    look(&mut manager, T0.after(1_000), &inventory(&[], &[]));
    look(&mut manager, T0.after(1_000 + PAUSE_MARGIN), &inventory(&[], &[]));
    look(&mut manager, T0.after(4_000), &inventory(&[10], &[]));
    assert_eq!(manager.stopping(), [(10, false)]);
    assert!(manager.table().unwrap().book().holds(10));
}

/// Guards against an inventory from before an end that makes the ended task live again.
#[test]
fn late_inventory_does_not_revive_an_ended_task() {
    let mut manager = manager();
    run(&mut manager, T0, 10, 1);
    manager.begin_stop(&stop(10, 1, StopMode::CheckpointAndStop)).unwrap();
    let asked = T0.after(100);
    let ended = T0.after(110);
    manager.stopped(ended, asked, 10, StopAnswer::Ended(TaskEnd::Stopped { checkpoint: None }));
    manager.reconcile(T0.after(120), asked, &inventory(&[10], &[]));
    assert_eq!(manager.held(), []);
    assert_eq!(manager.table().unwrap().book().committed(), ResourceVector::ZERO);
}

/// Guards against an end that is lost because the start was never answered.
#[test]
fn end_of_an_unanswered_start_is_reported() {
    let mut manager = manager();
    launch_uncertain(&mut manager, 10);
    look(&mut manager, T0.after(100), &inventory(&[], &[(10, TaskEnd::Finished { digest: 5 })]));
    assert_eq!(manager.ended()[0].end, PlacementEnd::Finished { digest: 5 });
}

/// Guards against a stop that is answered "unknown" while the start is on its way.
#[test]
fn stop_of_an_unanswered_start_waits_for_the_inventory() {
    let mut manager = manager();
    launch_uncertain(&mut manager, 10);
    manager.begin_stop(&stop(10, 1, StopMode::Cancel)).unwrap();
    assert_eq!(manager.stopping(), [(10, true)]);
    manager.stopped(T0, T0, 10, StopAnswer::UnknownToken);
    assert_eq!(manager.held().len(), 1);
    look(&mut manager, T0.after(100), &inventory(&[10], &[]));
    manager.stopped(T0, T0, 10, StopAnswer::Ended(TaskEnd::Stopped { checkpoint: None }));
    assert_eq!(manager.ended()[0].end, PlacementEnd::Cancelled);
}

/// Guards against a late "unknown": the worker answered the stop before it took the
/// start, and the inventory showed the task before the answer arrived.
#[test]
fn answer_to_a_stop_that_overtook_the_start_ends_nothing() {
    let mut manager = manager();
    launch_uncertain(&mut manager, 10);
    manager.begin_stop(&stop(10, 1, StopMode::Cancel)).unwrap();
    look(&mut manager, T0.after(100), &inventory(&[10], &[]));
    manager.stopped(T0.after(50), T0.after(50), 10, StopAnswer::UnknownToken);
    assert_eq!(manager.stopping(), [(10, true)]);
    manager.stopped(T0.after(101), T0.after(101), 10, StopAnswer::UnknownToken);
    assert_eq!(manager.ended()[0].end, PlacementEnd::Cancelled);
}

/// Guards against a stop that is taken for done without an answer of the worker.
#[test]
fn unanswered_stop_is_repeated() {
    let mut manager = manager();
    run(&mut manager, T0, 10, 1);
    manager.begin_stop(&stop(10, 1, StopMode::CheckpointAndStop)).unwrap();
    manager.stopped(T0, T0, 10, StopAnswer::Uncertain);
    assert_eq!(manager.stopping(), [(10, false)]);
}

/// Guards against a checkpoint or a result that a cancellation or a stop hides.
#[test]
fn end_before_the_stop_wins() {
    let mut manager = manager();
    run(&mut manager, T0, 10, 1);
    manager.begin_stop(&stop(10, 1, StopMode::Cancel)).unwrap();
    manager.stopped(T0, T0, 10, StopAnswer::Ended(TaskEnd::Finished { digest: 9 }));
    assert_eq!(manager.ended()[0].end, PlacementEnd::Finished { digest: 9 });
}

/// Guards against tasks that the worker lost in a restart and that stay committed.
#[test]
fn vanished_task_ends() {
    let mut manager = manager();
    run(&mut manager, T0, 10, 1);
    // Asked before the start was confirmed, so it proves nothing.
    manager.reconcile(T0.after(50), T0, &inventory(&[], &[]));
    assert_eq!(manager.held().len(), 1);
    look(&mut manager, T0.after(100), &inventory(&[], &[]));
    assert_eq!(manager.ended()[0].end, PlacementEnd::Evicted { checkpoint: None });
    assert_eq!(manager.table().unwrap().book().committed(), ResourceVector::ZERO);
}

/// Guards against an end that the worker lists for ever, and against one that is
/// acknowledged before the owner has recorded it.
#[test]
fn ends_are_acknowledged_after_they_are_recorded() {
    let mut manager = manager();
    run(&mut manager, T0, 10, 1);
    let ended = inventory(&[], &[(10, TaskEnd::Failed)]);
    look(&mut manager, T0.after(100), &ended);
    assert_eq!(manager.table().unwrap().acknowledgeable(&ended), Vec::<Token>::new());
    let recorded = HeartbeatReply { recorded: vec![10], ..reply(1, TASK_LEASE, Some(0)) };
    let now = T0.after(200);
    beat(&mut manager, now, now, &recorded).unwrap();
    assert_eq!(manager.table().unwrap().acknowledgeable(&ended), [10]);
    look(&mut manager, now, &ended);
    assert_eq!(manager.ended(), []);
}

/// Guards against a memory of forbidden tokens that grows without bound, and
/// against older tokens that become startable when it is cut.
#[test]
fn forbidden_tokens_stay_forbidden_beyond_the_bound() {
    let mut manager = manager();
    for token in 100..10_000 {
        manager.begin_stop(&stop(token, 1, StopMode::Cancel)).unwrap();
    }
    for token in [50, 100, 5_000, 9_999] {
        assert!(manager.begin_start(T0, &small(token, 1)).is_err());
    }
    assert!(manager.begin_start(T0, &small(10_000, 1)).is_ok());
}

#[derive(Clone, Debug)]
enum Step {
    Start { token: Token, need: (u64, u64, u32), epoch: u64 },
    Answer { token: Token, answer: LaunchAnswer },
    Stop { token: Token, epoch: u64 },
    Stopped { token: Token, known: bool },
    Inventory { running: Vec<Token>, ended: Vec<Token> },
    Wait(u64),
    Beat { epoch: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let token = 1..20_u64;
    let answer = prop_oneof![
        Just(LaunchAnswer::Runs),
        Just(LaunchAnswer::NotStarted),
        Just(LaunchAnswer::Uncertain)
    ];
    let need = (0..9_000_u64, 0..20_000_u64, 0..4_u32);
    let step = prop_oneof![
        4 => (token.clone(), need, 1..4_u64)
            .prop_map(|(token, need, epoch)| Step::Start { token, need, epoch }),
        4 => (token.clone(), answer).prop_map(|(token, answer)| Step::Answer { token, answer }),
        2 => (token.clone(), 1..4_u64).prop_map(|(token, epoch)| Step::Stop { token, epoch }),
        2 => (token.clone(), any::<bool>())
            .prop_map(|(token, known)| Step::Stopped { token, known }),
        2 => (prop::collection::vec(token.clone(), 0..4), prop::collection::vec(token, 0..4))
            .prop_map(|(running, ended)| Step::Inventory { running, ended }),
        1 => (0..4_000_u64).prop_map(Step::Wait),
        2 => (1..4_u64).prop_map(|epoch| Step::Beat { epoch }),
    ];
    prop::collection::vec(step, 1..80)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a commitment beyond the capacity, a book that differs from
    /// the tasks held, and a token that is live again after it ended.
    #[test]
    fn any_order_of_answers_keeps_the_book_exact(steps in steps()) {
        let mut manager = manager();
        let mut now = T0;
        let mut launched = BTreeSet::new();
        let mut final_tokens = BTreeSet::new();
        for step in steps {
            match step {
                Step::Start { token, need: (cpu, memory, accelerators), epoch } => {
                    let need = ResourceVector::new(cpu, memory, accelerators);
                    let begun = manager.begin_start(now, &start(token, epoch, need));
                    if begun == Ok(StartStep::Launch) {
                        prop_assert!(launched.insert(token), "token launched twice");
                    }
                }
                Step::Answer { token, answer } => manager.launched(now, token, answer),
                Step::Stop { token, epoch } => {
                    let _ = manager.begin_stop(&stop(token, epoch, StopMode::CheckpointAndStop));
                }
                Step::Stopped { token, known } => {
                    let end = TaskEnd::Stopped { checkpoint: None };
                    let answer =
                        if known { StopAnswer::Ended(end) } else { StopAnswer::UnknownToken };
                    manager.stopped(now, now, token, answer);
                }
                Step::Inventory { running, ended } => {
                    // A worker runs only what was launched and does not list it as ended too.
                    let running: Vec<Token> = running
                        .into_iter()
                        .filter(|token| manager.table().unwrap().get(*token).is_some())
                        .collect();
                    let ended: Vec<(Token, TaskEnd)> = ended
                        .into_iter()
                        .filter(|token| launched.contains(token) && !running.contains(token))
                        .map(|token| (token, TaskEnd::Failed))
                        .collect();
                    manager.reconcile(now, now, &inventory(&running, &ended));
                }
                Step::Wait(time) => now = now.after(time),
                Step::Beat { epoch } => {
                    let _ = beat(&mut manager, now, now, &reply(epoch, TASK_LEASE, Some(0)));
                }
            }
            let table = manager.table().unwrap();
            let sum = table.live().fold(ResourceVector::ZERO, |sum, live| {
                sum.checked_add(live.placed().need).unwrap()
            });
            prop_assert_eq!(table.book().committed(), sum);
            prop_assert!(support::capacity().holds(sum), "overcommitted: {:?}", sum);
            for task in table.ended() {
                final_tokens.insert(task.token);
            }
            for live in table.live() {
                prop_assert!(!final_tokens.contains(&live.placed().token), "token revived");
            }
        }
    }
}
