//! The task table when answers of the worker are missing, late or repeated.

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
use support::{T0, heartbeat, inventory, manager, reply, run, small, start, stop};

fn launch_uncertain(manager: &mut TaskManager, token: Token) {
    manager.begin_start(T0, &small(token, 1)).unwrap();
    manager.launch_lease(T0, token, 1).unwrap();
    manager.record_launch(T0, token, LaunchAnswer::Uncertain);
}

fn reconcile_at(manager: &mut TaskManager, now: Moment, inventory: &TaskInventory) {
    manager.reconcile(now, now, inventory);
}

/// Guards against releasing resources while the worker may be running the task.
#[test]
fn unanswered_start_keeps_its_reservation() {
    let mut manager = manager();
    launch_uncertain(&mut manager, 10);
    assert_eq!(manager.held()[0].state, RunState::Starting);
    reconcile_at(&mut manager, T0.after(100), &inventory(&[10], &[]));
    assert_eq!(manager.held()[0].state, RunState::Running);
    assert_eq!(manager.renewal(T0.after(100)).unwrap().0, [10]);
}

/// Guards against ending a start that waits in the socket of a paused worker: the first
/// inventory after the worker resumes does not list the task, which starts later.
#[test]
fn one_inventory_without_the_task_does_not_end_an_unanswered_start() {
    let mut manager = manager();
    launch_uncertain(&mut manager, 10);
    let first = T0.after(1_000);
    reconcile_at(&mut manager, first, &inventory(&[], &[]));
    reconcile_at(&mut manager, first.after(PAUSE_MARGIN - 1), &inventory(&[], &[]));
    assert!(manager.table().unwrap().reservations().contains(10));
    reconcile_at(&mut manager, first.after(PAUSE_MARGIN), &inventory(&[], &[]));
    assert!(!manager.table().unwrap().reservations().contains(10));
    let end = PlacementEnd::Refused(StartRefusal::WorkerFailed);
    assert_eq!(manager.ended()[0].end, end);
}

/// Guards against a task that keeps running although its start counted as failed.
#[test]
fn task_that_starts_after_its_start_counted_as_failed_is_stopped() {
    let mut manager = manager();
    launch_uncertain(&mut manager, 10);
    reconcile_at(&mut manager, T0.after(1_000), &inventory(&[], &[]));
    reconcile_at(&mut manager, T0.after(1_000 + PAUSE_MARGIN), &inventory(&[], &[]));
    reconcile_at(&mut manager, T0.after(4_000), &inventory(&[10], &[]));
    assert_eq!(manager.stopping(), [(10, false)]);
    assert!(manager.table().unwrap().reservations().contains(10));
}

/// Guards against an inventory that was requested before an end and still lists the
/// ended task as running.
#[test]
fn late_inventory_does_not_restore_an_ended_task() {
    let mut manager = manager();
    run(&mut manager, T0, 10, 1);
    manager.begin_stop(&stop(10, 1, StopMode::CheckpointAndStop)).unwrap();
    let sent = T0.after(100);
    let ended = T0.after(110);
    manager.record_stop(ended, sent, 10, StopAnswer::Ended(TaskEnd::Stopped { checkpoint: None }));
    manager.reconcile(T0.after(120), sent, &inventory(&[10], &[]));
    assert_eq!(manager.held(), []);
    assert_eq!(manager.table().unwrap().reservations().committed(), ResourceVector::ZERO);
}

/// Guards against losing the end of a task whose start was never answered.
#[test]
fn end_of_an_unanswered_start_is_reported() {
    let mut manager = manager();
    launch_uncertain(&mut manager, 10);
    reconcile_at(
        &mut manager,
        T0.after(100),
        &inventory(&[], &[(10, TaskEnd::Finished { digest: 5 })]),
    );
    assert_eq!(manager.ended()[0].end, PlacementEnd::Finished { digest: 5 });
}

/// Guards against taking a task for ended when its stop is answered "unknown" while the
/// start is still in transit.
#[test]
fn stop_of_an_unanswered_start_waits_for_the_inventory() {
    let mut manager = manager();
    launch_uncertain(&mut manager, 10);
    manager.begin_stop(&stop(10, 1, StopMode::Cancel)).unwrap();
    assert_eq!(manager.stopping(), [(10, true)]);
    manager.record_stop(T0, T0, 10, StopAnswer::UnknownToken);
    assert_eq!(manager.held().len(), 1);
    reconcile_at(&mut manager, T0.after(100), &inventory(&[10], &[]));
    manager.record_stop(T0, T0, 10, StopAnswer::Ended(TaskEnd::Stopped { checkpoint: None }));
    assert_eq!(manager.ended()[0].end, PlacementEnd::Cancelled);
}

/// Guards against a late "unknown": the worker answered the stop before it received the
/// start, and an inventory listed the task before that answer arrived.
#[test]
fn stop_answered_before_the_start_arrived_does_not_end_the_task() {
    let mut manager = manager();
    launch_uncertain(&mut manager, 10);
    manager.begin_stop(&stop(10, 1, StopMode::Cancel)).unwrap();
    reconcile_at(&mut manager, T0.after(100), &inventory(&[10], &[]));
    manager.record_stop(T0.after(50), T0.after(50), 10, StopAnswer::UnknownToken);
    assert_eq!(manager.stopping(), [(10, true)]);
    manager.record_stop(T0.after(101), T0.after(101), 10, StopAnswer::UnknownToken);
    assert_eq!(manager.ended()[0].end, PlacementEnd::Cancelled);
}

/// Guards against taking a task for stopped without an answer of the worker.
#[test]
fn unanswered_stop_is_repeated() {
    let mut manager = manager();
    run(&mut manager, T0, 10, 1);
    manager.begin_stop(&stop(10, 1, StopMode::CheckpointAndStop)).unwrap();
    manager.record_stop(T0, T0, 10, StopAnswer::Uncertain);
    assert_eq!(manager.stopping(), [(10, false)]);
}

/// Guards against a cancellation that hides the result of a task that ended before.
#[test]
fn task_that_ended_before_its_stop_keeps_its_result() {
    let mut manager = manager();
    run(&mut manager, T0, 10, 1);
    manager.begin_stop(&stop(10, 1, StopMode::Cancel)).unwrap();
    manager.record_stop(T0, T0, 10, StopAnswer::Ended(TaskEnd::Finished { digest: 9 }));
    assert_eq!(manager.ended()[0].end, PlacementEnd::Finished { digest: 9 });
}

/// Guards against keeping the resources of a task that the worker lost in a restart.
#[test]
fn task_that_the_worker_lost_ends() {
    let mut manager = manager();
    run(&mut manager, T0, 10, 1);
    // Requested before the start was confirmed, so the task may have started since.
    manager.reconcile(T0.after(50), T0, &inventory(&[], &[]));
    assert_eq!(manager.held().len(), 1);
    reconcile_at(&mut manager, T0.after(100), &inventory(&[], &[]));
    assert_eq!(manager.ended()[0].end, PlacementEnd::Evicted { checkpoint: None });
    assert_eq!(manager.table().unwrap().reservations().committed(), ResourceVector::ZERO);
}

/// Guards against ends that the worker lists for ever, and against acknowledging an end
/// that the owner has not recorded.
#[test]
fn ends_are_acknowledged_after_they_are_recorded() {
    let mut manager = manager();
    run(&mut manager, T0, 10, 1);
    let ended = inventory(&[], &[(10, TaskEnd::Failed)]);
    reconcile_at(&mut manager, T0.after(100), &ended);
    assert_eq!(manager.table().unwrap().acknowledgeable(&ended), Vec::<Token>::new());
    let recorded = HeartbeatReply { recorded: vec![10], ..reply(1, TASK_LEASE, Some(0)) };
    let now = T0.after(200);
    heartbeat(&mut manager, now, now, &recorded).unwrap();
    assert_eq!(manager.table().unwrap().acknowledgeable(&ended), [10]);
    reconcile_at(&mut manager, now, &ended);
    assert_eq!(manager.ended(), []);
}

/// Guards against starting forbidden tokens after they were dropped to bound the memory.
#[test]
fn forbidden_tokens_stay_forbidden_beyond_the_memory_limit() {
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
    Heartbeat { epoch: u64 },
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
        2 => (1..4_u64).prop_map(|epoch| Step::Heartbeat { epoch }),
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

    /// Guards against reservations beyond the capacity, reservations that differ from the
    /// live tasks, and a token that is live again after it ended.
    #[test]
    fn reservations_match_the_live_tasks_after_any_answers(steps in steps()) {
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
                Step::Answer { token, answer } => manager.record_launch(now, token, answer),
                Step::Stop { token, epoch } => {
                    let _ = manager.begin_stop(&stop(token, epoch, StopMode::CheckpointAndStop));
                }
                Step::Stopped { token, known } => {
                    let end = TaskEnd::Stopped { checkpoint: None };
                    let answer =
                        if known { StopAnswer::Ended(end) } else { StopAnswer::UnknownToken };
                    manager.record_stop(now, now, token, answer);
                }
                Step::Inventory { running, ended } => {
                    // A worker runs only launched tasks and never lists one as ended too.
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
                Step::Heartbeat { epoch } => {
                    let _ = heartbeat(&mut manager, now, now, &reply(epoch, TASK_LEASE, Some(0)));
                }
            }
            let table = manager.table().unwrap();
            let sum = table.live().fold(ResourceVector::ZERO, |sum, live| {
                sum.checked_add(live.placed().need).unwrap()
            });
            prop_assert_eq!(table.reservations().committed(), sum);
            prop_assert!(support::capacity().can_fit(sum), "overcommitted: {:?}", sum);
            for task in table.ended() {
                final_tokens.insert(task.token);
            }
            for live in table.live() {
                prop_assert!(!final_tokens.contains(&live.placed().token), "token is live again");
            }
        }
    }
}
