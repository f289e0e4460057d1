//! Start gate, epochs and lease of the agent, without I/O.

mod support;

use assert_matches::assert_matches;
use cactusdoor_agent::manager::{StartStep, StopStep, TaskManager};
use cactusdoor_agent::table::{LaunchAnswer, StopAnswer};
use cactusdoor_core::config::DataCentreState;
use cactusdoor_core::constants::{MAX_CONFIG_AGE, OUTAGE_LEASE, TASK_LEASE, with_rate_margin};
use cactusdoor_core::job::{PlacementEnd, StartRefusal};
use cactusdoor_core::resource::{ResourceKind, ResourceVector};
use cactusdoor_peer::heartbeat::{HeartbeatReply, RunState};
use cactusdoor_peer::task::{StopMode, TaskRefusal};
use cactusdoor_worker::{TaskEnd, TaskInventory};
use support::{
    T0, beat, capacity, centre_delta, identity, inventory, listed, manager, reply, run, small,
    start, stop,
};

/// Guards against a start under a configuration that may have changed since.
#[test]
fn stale_configuration_refuses_starts() {
    let mut manager = manager();
    let edge = T0.after(MAX_CONFIG_AGE - with_rate_margin(0));
    assert_eq!(manager.begin_start(edge, &small(10, 1)), Ok(StartStep::Launch));
    let late = edge.after(1);
    let refusal = Err(StartRefusal::ConfigurationStale);
    assert_eq!(manager.begin_start(late, &small(11, 1)), refusal);
}

/// Guards against a pause between the checks of a start and the call of the worker.
#[test]
fn gate_is_checked_again_before_the_launch() {
    let mut manager = manager();
    assert_eq!(manager.begin_start(T0, &small(10, 1)), Ok(StartStep::Launch));
    let late = T0.after(MAX_CONFIG_AGE + 1);
    assert_eq!(manager.launch_lease(late, 10, 1), Err(StartRefusal::ConfigurationStale));
    let table = manager.table().unwrap();
    assert_eq!(table.book().committed(), ResourceVector::ZERO);
    let end = PlacementEnd::Refused(StartRefusal::ConfigurationStale);
    assert_eq!(table.end_of(10), Some(&end));
}

/// Guards against the same pause when a newer owner was heard meanwhile.
#[test]
fn newer_epoch_before_the_launch_refuses_it() {
    let mut manager = manager();
    assert_eq!(manager.begin_start(T0, &small(10, 1)), Ok(StartStep::Launch));
    assert!(manager.note_epoch(2));
    assert_eq!(manager.launch_lease(T0, 10, 1), Err(StartRefusal::EpochStale));
}

/// Guards against starts in a data centre that operators have taken out.
#[test]
fn data_centre_out_refuses_starts() {
    let mut manager = manager();
    let config = centre_delta(0, 1, DataCentreState::Out);
    let out = HeartbeatReply { config, ..reply(1, TASK_LEASE, Some(0)) };
    assert!(beat(&mut manager, T0, T0, &out).unwrap().config_changed);
    let refusal = Err(StartRefusal::DataCentreOut);
    assert_eq!(manager.begin_start(T0, &small(10, 1)), refusal);
    let config = centre_delta(1, 2, DataCentreState::In);
    let back = HeartbeatReply { config, ..reply(1, TASK_LEASE, Some(0)) };
    beat(&mut manager, T0, T0, &back).unwrap();
    assert_eq!(manager.begin_start(T0, &small(11, 1)), Ok(StartStep::Launch));
}

/// Guards against a confirmation without the changes that it confirms: the reply
/// starts at a revision that the agent does not have yet.
#[test]
fn delta_beyond_the_known_revision_confirms_nothing() {
    let mut manager = TaskManager::new(identity());
    manager.take_inventory(T0, T0, capacity(), &TaskInventory::default());
    let config = centre_delta(5, 6, DataCentreState::In);
    let gap = HeartbeatReply { config, ..reply(1, TASK_LEASE, Some(0)) };
    beat(&mut manager, T0, T0, &gap).unwrap();
    let refusal = Err(StartRefusal::ConfigurationStale);
    assert_eq!(manager.begin_start(T0, &small(10, 1)), refusal);
}

/// Guards against an owner that was replaced and does not know it.
#[test]
fn stale_epoch_is_refused() {
    let mut manager = manager();
    run(&mut manager, T0, 10, 1);
    beat(&mut manager, T0, T0, &reply(2, TASK_LEASE, Some(0))).unwrap();
    assert_eq!(manager.begin_start(T0, &small(11, 1)), Err(StartRefusal::EpochStale));
    assert_eq!(manager.begin_stop(&stop(10, 1, StopMode::Cancel)), Err(TaskRefusal::EpochStale));
    let later = T0.after(1_000);
    assert!(beat(&mut manager, later, later, &reply(1, OUTAGE_LEASE, Some(0))).is_err());
    assert_eq!(manager.lease_deadline(), T0.after(TASK_LEASE));
}

/// Guards against a token that the newer owner cannot start because the older one
/// tried too late: that refusal is not in the log.
#[test]
fn refusal_for_a_stale_epoch_leaves_the_token_usable() {
    let mut manager = manager();
    manager.note_epoch(2);
    assert_eq!(manager.begin_start(T0, &small(10, 1)), Err(StartRefusal::EpochStale));
    assert_eq!(manager.begin_start(T0, &small(10, 2)), Ok(StartStep::Launch));
}

/// Guards against a repeated start after its refusal was recorded as an end.
#[test]
fn refused_token_never_starts() {
    let mut manager = manager();
    let large = start(10, 1, ResourceVector::new(9_000, 0, 0));
    let refusal = Err(StartRefusal::DoesNotFit(ResourceKind::Processors));
    assert_eq!(manager.begin_start(T0, &large), refusal);
    assert_matches!(manager.begin_start(T0, &small(10, 1)), Err(_));
}

/// Guards against a start that was meant for an earlier run of the agent.
#[test]
fn start_for_another_incarnation_is_refused() {
    let mut manager = manager();
    let mut old = small(10, 1);
    old.agent_incarnation += 1;
    assert_eq!(manager.begin_start(T0, &old), Err(StartRefusal::NotReady));
    assert_matches!(manager.begin_start(T0, &small(10, 1)), Err(_));
}

/// Guards against running a task twice when a start is repeated.
#[test]
fn duplicate_start_is_accepted_once() {
    let mut manager = manager();
    assert_eq!(manager.begin_start(T0, &small(10, 1)), Ok(StartStep::Launch));
    assert_eq!(manager.begin_start(T0, &small(10, 1)), Ok(StartStep::Repeated));
    manager.launched(T0, 10, LaunchAnswer::Runs);
    assert_eq!(manager.begin_start(T0, &small(10, 1)), Ok(StartStep::Repeated));
    manager.reconcile(T0.after(1), T0.after(1), &inventory(&[], &[(10, TaskEnd::Failed)]));
    assert_eq!(manager.begin_start(T0.after(1), &small(10, 1)), Ok(StartStep::Repeated));
    let recorded = HeartbeatReply { recorded: vec![10], ..reply(1, TASK_LEASE, Some(0)) };
    assert_eq!(beat(&mut manager, T0.after(1), T0.after(1), &recorded).unwrap().recorded, [10]);
    assert_matches!(manager.begin_start(T0.after(1), &small(10, 1)), Err(_));
}

/// Guards against two runs of one task on this VM under different tokens.
#[test]
fn task_that_has_not_ended_here_does_not_start_again() {
    let mut manager = manager();
    run(&mut manager, T0, 10, 1);
    let mut again = small(11, 1);
    again.task = support::task(10);
    assert_eq!(manager.begin_start(T0, &again), Err(StartRefusal::NotReady));
}

/// Guards against overcommitment by two owners that both believe to hold the shard.
#[test]
fn two_owners_cannot_overcommit() {
    let mut manager = manager();
    let half = ResourceVector::new(5_000, 1_024, 0);
    assert_eq!(manager.begin_start(T0, &start(10, 1, half)), Ok(StartStep::Launch));
    let refusal = Err(StartRefusal::DoesNotFit(ResourceKind::Processors));
    assert_eq!(manager.begin_start(T0, &start(11, 2, half)), refusal);
}

/// Guards against a start that arrives after the stop that was to prevent it.
#[test]
fn stop_of_an_unknown_token_forbids_its_start() {
    let mut manager = manager();
    let order = stop(10, 1, StopMode::CheckpointAndStop);
    assert_eq!(manager.begin_stop(&order), Ok(StopStep::NotRunning));
    assert_matches!(manager.begin_start(T0, &small(10, 1)), Err(_));
}

/// Guards against a stop that is answered before the inventory shows what runs.
#[test]
fn stop_before_the_inventory_is_refused() {
    let mut manager = TaskManager::new(identity());
    let order = stop(10, 1, StopMode::CheckpointAndStop);
    assert_eq!(manager.begin_stop(&order), Err(TaskRefusal::NotReady));
}

/// Guards against tasks that go on after their lease: the process was paused and
/// the owner may have placed them elsewhere.
#[test]
fn pause_beyond_the_lease_stops_all_tasks() {
    let mut manager = manager();
    run(&mut manager, T0, 10, 1);
    let resumed = T0.after(TASK_LEASE + 5_000);
    assert_eq!(manager.renewal(resumed), None);
    assert_matches!(manager.begin_start(resumed, &small(11, 1)), Err(_));
    assert_eq!(manager.stop_unentitled(resumed), [10]);
    assert_eq!(manager.stopping(), [(10, false)]);
}

/// Guards against a renewal that revives tasks whose lease has passed.
#[test]
fn renewal_after_the_deadline_does_not_revive_tasks() {
    let mut manager = manager();
    run(&mut manager, T0, 10, 1);
    let resumed = T0.after(TASK_LEASE + 5_000);
    beat(&mut manager, resumed, resumed, &reply(1, TASK_LEASE, Some(0))).unwrap();
    assert!(manager.holds_lease(resumed));
    assert_eq!(manager.held()[0].state, RunState::Stopping);
    assert_eq!(manager.renewal(resumed), None);
}

/// Guards against a reply that was read late: its term counts from the heartbeat.
#[test]
fn lease_counts_from_the_send_time() {
    let mut manager = manager();
    run(&mut manager, T0, 10, 1);
    let received = T0.after(TASK_LEASE + 1);
    beat(&mut manager, received, T0.after(500), &reply(1, TASK_LEASE, Some(0))).unwrap();
    assert_eq!(manager.lease_deadline(), T0.after(500 + TASK_LEASE));
}

/// Guards against an older reply that shortens or extends a newer grant.
#[test]
fn reply_to_an_older_heartbeat_changes_no_lease() {
    let mut manager = manager();
    let (first, second) = (T0.after(1_000), T0.after(2_000));
    let early = manager.ask_lease(first).number;
    let late = manager.ask_lease(second).number;
    manager.receive(second, first, early, &reply(1, OUTAGE_LEASE, Some(0))).unwrap();
    assert_eq!(manager.lease_deadline(), T0.after(TASK_LEASE));
    manager.receive(second, second, late, &reply(1, TASK_LEASE, Some(0))).unwrap();
    assert_eq!(manager.lease_deadline(), second.after(TASK_LEASE));
}

/// Guards against a worker that runs tasks beyond the agent's own deadline, and
/// against one that runs them for minutes when the agent dies in a log outage.
#[test]
fn worker_leases_end_with_the_own_lease() {
    let mut manager = manager();
    run(&mut manager, T0, 10, 1);
    let now = T0.after(3_000);
    assert_eq!(manager.renewal(now), Some((vec![10], TASK_LEASE - 3_000)));
    beat(&mut manager, now, now, &reply(1, OUTAGE_LEASE, Some(0))).unwrap();
    assert_eq!(manager.renewal(now), Some((vec![10], TASK_LEASE)));
}

/// Guards against checkpoints that are lost because the worker's lease ends first.
#[test]
fn tasks_are_stopped_before_the_deadline() {
    let mut manager = manager();
    run(&mut manager, T0, 10, 1);
    assert_eq!(manager.stop_unentitled(T0.after(TASK_LEASE - 1_001)), [0; 0]);
    assert_eq!(manager.stop_unentitled(T0.after(TASK_LEASE - 1_000)), [10]);
}

/// Guards against a restarted agent that forgets what runs, extends it without an
/// owner, or lets it go on for ever.
#[test]
fn restart_without_memory_takes_over_the_worker() {
    let mut manager = TaskManager::new(identity());
    let running = vec![listed(10, 4_000), listed(11, 2_000)];
    let inventory = TaskInventory { running, ended: inventory(&[], &[(9, TaskEnd::Failed)]).ended };
    manager.take_inventory(T0, T0, capacity(), &inventory);
    let committed = manager.table().unwrap().book().committed();
    assert_eq!(committed, ResourceVector::new(2_000, 2_048, 0));
    assert_eq!(manager.lease_left(T0), 4_000);
    assert_eq!(manager.renewal(T0), None);
    assert_eq!(manager.ended()[0].token, 9);
    assert_eq!(manager.stop_unentitled(T0.after(2_000)), [0; 0]);
    assert_eq!(manager.stop_unentitled(T0.after(3_000)).len(), 2);
}

/// Guards against starts of a restarted agent under the lease of the earlier one.
#[test]
fn inherited_lease_starts_nothing() {
    let mut manager = TaskManager::new(identity());
    manager.take_inventory(T0, T0, capacity(), &inventory(&[10], &[]));
    assert_matches!(manager.begin_start(T0, &small(11, 1)), Err(_));
    beat(&mut manager, T0, T0, &reply(1, TASK_LEASE, Some(0))).unwrap();
    assert_eq!(manager.begin_start(T0, &small(12, 1)), Ok(StartStep::Launch));
}

/// Guards against a stop that overtakes the start's answer and is lost.
#[test]
fn stop_during_the_start_takes_effect() {
    let mut manager = manager();
    manager.begin_start(T0, &small(10, 1)).unwrap();
    manager.launch_lease(T0, 10, 1).unwrap();
    let order = stop(10, 1, StopMode::Cancel);
    assert_eq!(manager.begin_stop(&order), Ok(StopStep::Stop));
    assert_eq!(manager.stopping(), []);
    manager.launched(T0, 10, LaunchAnswer::Runs);
    assert_eq!(manager.stopping(), [(10, true)]);
    manager.stopped(T0, T0, 10, StopAnswer::Ended(TaskEnd::Stopped { checkpoint: None }));
    assert_eq!(manager.ended()[0].end, PlacementEnd::Cancelled);
}

/// Guards against new tasks during a graceful stop.
#[test]
fn drain_refuses_starts_and_stops_tasks() {
    let mut manager = manager();
    run(&mut manager, T0, 10, 1);
    manager.drain();
    assert_eq!(manager.begin_start(T0, &small(11, 1)), Err(StartRefusal::Draining));
    assert_eq!(manager.stop_unentitled(T0), [10]);
}

/// Guards against a start with hardly any lease left, which would be stopped at once.
#[test]
fn nearly_passed_lease_starts_nothing() {
    let mut manager = manager();
    let now = T0.after(1_000);
    beat(&mut manager, now, now, &reply(1, 1_000, Some(0))).unwrap();
    assert_eq!(manager.begin_start(now, &small(10, 1)), Err(StartRefusal::NotReady));
}
