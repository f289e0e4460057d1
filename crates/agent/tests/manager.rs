//! The task manager: checks of starts and stops, epochs and the lease.

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
    T0, capacity, data_centre_delta, heartbeat, identity, inventory, listed, manager, reply, run,
    small, start, stop,
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

/// Guards against a pause between the checks of a start and the call to the worker.
#[test]
fn start_is_checked_again_before_the_worker_is_called() {
    let mut manager = manager();
    assert_eq!(manager.begin_start(T0, &small(10, 1)), Ok(StartStep::Launch));
    let late = T0.after(MAX_CONFIG_AGE + 1);
    assert_eq!(manager.launch_lease(late, 10, 1), Err(StartRefusal::ConfigurationStale));
    let table = manager.table().unwrap();
    assert_eq!(table.reservations().committed(), ResourceVector::ZERO);
    let end = PlacementEnd::Refused(StartRefusal::ConfigurationStale);
    assert_eq!(table.end_of(10), Some(&end));
}

/// Guards against calling the worker after a newer owner announced itself between the
/// checks of a start and the call.
#[test]
fn newer_epoch_refuses_a_start_before_the_worker_is_called() {
    let mut manager = manager();
    assert_eq!(manager.begin_start(T0, &small(10, 1)), Ok(StartStep::Launch));
    assert!(manager.adopt_epoch(2));
    assert_eq!(manager.launch_lease(T0, 10, 1), Err(StartRefusal::EpochStale));
}

/// Guards against starts in a data centre that operators have taken out of service.
#[test]
fn starts_are_refused_in_a_data_centre_out_of_service() {
    let mut manager = manager();
    let config = data_centre_delta(0, 1, DataCentreState::Out);
    let out = HeartbeatReply { config, ..reply(1, TASK_LEASE, Some(0)) };
    assert!(heartbeat(&mut manager, T0, T0, &out).unwrap().config_changed);
    let refusal = Err(StartRefusal::DataCentreOut);
    assert_eq!(manager.begin_start(T0, &small(10, 1)), refusal);
    let config = data_centre_delta(1, 2, DataCentreState::In);
    let back = HeartbeatReply { config, ..reply(1, TASK_LEASE, Some(0)) };
    heartbeat(&mut manager, T0, T0, &back).unwrap();
    assert_eq!(manager.begin_start(T0, &small(11, 1)), Ok(StartStep::Launch));
}

/// Guards against confirming a configuration that lacks changes: the reply's delta
/// starts at a revision that the agent does not have.
#[test]
fn delta_beyond_the_known_revision_confirms_nothing() {
    let mut manager = TaskManager::new(identity());
    manager.load_inventory(T0, T0, capacity(), &TaskInventory::default());
    let config = data_centre_delta(5, 6, DataCentreState::In);
    let gap = HeartbeatReply { config, ..reply(1, TASK_LEASE, Some(0)) };
    heartbeat(&mut manager, T0, T0, &gap).unwrap();
    let refusal = Err(StartRefusal::ConfigurationStale);
    assert_eq!(manager.begin_start(T0, &small(10, 1)), refusal);
}

/// Guards against an owner that does not know that it was replaced.
#[test]
fn stale_epoch_is_refused() {
    let mut manager = manager();
    run(&mut manager, T0, 10, 1);
    heartbeat(&mut manager, T0, T0, &reply(2, TASK_LEASE, Some(0))).unwrap();
    assert_eq!(manager.begin_start(T0, &small(11, 1)), Err(StartRefusal::EpochStale));
    assert_eq!(manager.begin_stop(&stop(10, 1, StopMode::Cancel)), Err(TaskRefusal::EpochStale));
    let later = T0.after(1_000);
    assert!(heartbeat(&mut manager, later, later, &reply(1, OUTAGE_LEASE, Some(0))).is_err());
    assert_eq!(manager.lease_deadline(), T0.after(TASK_LEASE));
}

/// Guards against a token that the newer owner cannot start because a start of the
/// replaced owner was refused: that refusal is not in the log.
#[test]
fn refusal_for_a_stale_epoch_leaves_the_token_usable() {
    let mut manager = manager();
    manager.adopt_epoch(2);
    assert_eq!(manager.begin_start(T0, &small(10, 1)), Err(StartRefusal::EpochStale));
    assert_eq!(manager.begin_start(T0, &small(10, 2)), Ok(StartStep::Launch));
}

/// Guards against starting a token whose refusal the owner has recorded as its end.
#[test]
fn refused_token_never_starts() {
    let mut manager = manager();
    let large = start(10, 1, ResourceVector::new(9_000, 0, 0));
    let refusal = Err(StartRefusal::DoesNotFit(ResourceKind::Processors));
    assert_eq!(manager.begin_start(T0, &large), refusal);
    assert_matches!(manager.begin_start(T0, &small(10, 1)), Err(_));
}

/// Guards against a start that was sent to an earlier incarnation of the agent.
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
fn repeated_start_launches_the_task_once() {
    let mut manager = manager();
    assert_eq!(manager.begin_start(T0, &small(10, 1)), Ok(StartStep::Launch));
    assert_eq!(manager.begin_start(T0, &small(10, 1)), Ok(StartStep::Repeated));
    manager.record_launch(T0, 10, LaunchAnswer::Runs);
    assert_eq!(manager.begin_start(T0, &small(10, 1)), Ok(StartStep::Repeated));
    manager.reconcile(T0.after(1), T0.after(1), &inventory(&[], &[(10, TaskEnd::Failed)]));
    assert_eq!(manager.begin_start(T0.after(1), &small(10, 1)), Ok(StartStep::Repeated));
    let recorded = HeartbeatReply { recorded: vec![10], ..reply(1, TASK_LEASE, Some(0)) };
    assert_eq!(
        heartbeat(&mut manager, T0.after(1), T0.after(1), &recorded).unwrap().recorded,
        [10]
    );
    assert_matches!(manager.begin_start(T0.after(1), &small(10, 1)), Err(_));
}

/// Guards against running a task twice on one VM under different tokens.
#[test]
fn task_that_has_not_ended_on_the_vm_does_not_start_again() {
    let mut manager = manager();
    run(&mut manager, T0, 10, 1);
    let mut again = small(11, 1);
    again.task = support::task(10);
    assert_eq!(manager.begin_start(T0, &again), Err(StartRefusal::NotReady));
}

/// Guards against overcommitment when two processes act as owner of the shard.
#[test]
fn two_owners_cannot_overcommit_a_vm() {
    let mut manager = manager();
    let half = ResourceVector::new(5_000, 1_024, 0);
    assert_eq!(manager.begin_start(T0, &start(10, 1, half)), Ok(StartStep::Launch));
    let refusal = Err(StartRefusal::DoesNotFit(ResourceKind::Processors));
    assert_eq!(manager.begin_start(T0, &start(11, 2, half)), refusal);
}

/// Guards against a start that arrives after the stop of the same token.
#[test]
fn stop_of_an_unknown_token_forbids_its_start() {
    let mut manager = manager();
    let order = stop(10, 1, StopMode::CheckpointAndStop);
    assert_eq!(manager.begin_stop(&order), Ok(StopStep::NotRunning));
    assert_matches!(manager.begin_start(T0, &small(10, 1)), Err(_));
}

/// Guards against answering a stop before the inventory shows whether the task runs.
#[test]
fn stop_before_the_inventory_is_loaded_is_refused() {
    let mut manager = TaskManager::new(identity());
    let order = stop(10, 1, StopMode::CheckpointAndStop);
    assert_eq!(manager.begin_stop(&order), Err(TaskRefusal::NotReady));
}

/// Guards against tasks that keep running after the lease expired during a pause of the
/// process: the owner may have placed them elsewhere.
#[test]
fn pause_beyond_the_lease_stops_all_tasks() {
    let mut manager = manager();
    run(&mut manager, T0, 10, 1);
    let resumed = T0.after(TASK_LEASE + 5_000);
    assert_eq!(manager.renewal(resumed), None);
    assert_matches!(manager.begin_start(resumed, &small(11, 1)), Err(_));
    assert_eq!(manager.stop_if_not_allowed(resumed), [10]);
    assert_eq!(manager.stopping(), [(10, false)]);
}

/// Guards against a late renewal that lets tasks run on after their lease expired.
#[test]
fn late_renewal_does_not_keep_expired_tasks_running() {
    let mut manager = manager();
    run(&mut manager, T0, 10, 1);
    let resumed = T0.after(TASK_LEASE + 5_000);
    heartbeat(&mut manager, resumed, resumed, &reply(1, TASK_LEASE, Some(0))).unwrap();
    assert!(manager.holds_lease(resumed));
    assert_eq!(manager.held()[0].state, RunState::Stopping);
    assert_eq!(manager.renewal(resumed), None);
}

/// Guards against a lease that counts from a late receipt of the reply instead of from
/// the heartbeat.
#[test]
fn lease_counts_from_the_time_of_the_heartbeat() {
    let mut manager = manager();
    run(&mut manager, T0, 10, 1);
    let received = T0.after(TASK_LEASE + 1);
    heartbeat(&mut manager, received, T0.after(500), &reply(1, TASK_LEASE, Some(0))).unwrap();
    assert_eq!(manager.lease_deadline(), T0.after(500 + TASK_LEASE));
}

/// Guards against an older reply that shortens or extends a newer lease.
#[test]
fn reply_to_an_older_heartbeat_does_not_change_the_lease() {
    let mut manager = manager();
    let (first, second) = (T0.after(1_000), T0.after(2_000));
    let early = manager.request_lease(first).number;
    let late = manager.request_lease(second).number;
    manager.apply_reply(second, first, early, &reply(1, OUTAGE_LEASE, Some(0))).unwrap();
    assert_eq!(manager.lease_deadline(), T0.after(TASK_LEASE));
    manager.apply_reply(second, second, late, &reply(1, TASK_LEASE, Some(0))).unwrap();
    assert_eq!(manager.lease_deadline(), second.after(TASK_LEASE));
}

/// Guards against a worker that runs tasks after the agent's lease has expired, or for
/// minutes after the agent died in a log outage.
#[test]
fn worker_leases_are_never_longer_than_the_agent_lease() {
    let mut manager = manager();
    run(&mut manager, T0, 10, 1);
    let now = T0.after(3_000);
    assert_eq!(manager.renewal(now), Some((vec![10], TASK_LEASE - 3_000)));
    heartbeat(&mut manager, now, now, &reply(1, OUTAGE_LEASE, Some(0))).unwrap();
    assert_eq!(manager.renewal(now), Some((vec![10], TASK_LEASE)));
}

/// Guards against lost checkpoints: at the end of the lease the worker stops tasks
/// without one.
#[test]
fn tasks_are_stopped_before_the_lease_expires() {
    let mut manager = manager();
    run(&mut manager, T0, 10, 1);
    assert_eq!(manager.stop_if_not_allowed(T0.after(TASK_LEASE - 1_001)), [0; 0]);
    assert_eq!(manager.stop_if_not_allowed(T0.after(TASK_LEASE - 1_000)), [10]);
}

/// Guards against a restarted agent that forgets running tasks, renews them without an
/// owner, or never stops them.
#[test]
fn restarted_agent_adopts_the_tasks_of_the_worker() {
    let mut manager = TaskManager::new(identity());
    let running = vec![listed(10, 4_000), listed(11, 2_000)];
    let inventory = TaskInventory { running, ended: inventory(&[], &[(9, TaskEnd::Failed)]).ended };
    manager.load_inventory(T0, T0, capacity(), &inventory);
    let committed = manager.table().unwrap().reservations().committed();
    assert_eq!(committed, ResourceVector::new(2_000, 2_048, 0));
    assert_eq!(manager.lease_remaining(T0), 4_000);
    assert_eq!(manager.renewal(T0), None);
    assert_eq!(manager.ended()[0].token, 9);
    assert_eq!(manager.stop_if_not_allowed(T0.after(2_000)), [0; 0]);
    assert_eq!(manager.stop_if_not_allowed(T0.after(3_000)).len(), 2);
}

/// Guards against starts under the leases that a restarted agent finds at the worker.
#[test]
fn lease_found_at_the_worker_allows_no_start() {
    let mut manager = TaskManager::new(identity());
    manager.load_inventory(T0, T0, capacity(), &inventory(&[10], &[]));
    assert_matches!(manager.begin_start(T0, &small(11, 1)), Err(_));
    heartbeat(&mut manager, T0, T0, &reply(1, TASK_LEASE, Some(0))).unwrap();
    assert_eq!(manager.begin_start(T0, &small(12, 1)), Ok(StartStep::Launch));
}

/// Guards against losing a stop that arrives before the worker has answered the start.
#[test]
fn stop_during_the_start_takes_effect() {
    let mut manager = manager();
    manager.begin_start(T0, &small(10, 1)).unwrap();
    manager.launch_lease(T0, 10, 1).unwrap();
    let order = stop(10, 1, StopMode::Cancel);
    assert_eq!(manager.begin_stop(&order), Ok(StopStep::Stop));
    assert_eq!(manager.stopping(), []);
    manager.record_launch(T0, 10, LaunchAnswer::Runs);
    assert_eq!(manager.stopping(), [(10, true)]);
    manager.record_stop(T0, T0, 10, StopAnswer::Ended(TaskEnd::Stopped { checkpoint: None }));
    assert_eq!(manager.ended()[0].end, PlacementEnd::Cancelled);
}

/// Guards against starting tasks during a graceful stop.
#[test]
fn draining_agent_refuses_starts_and_stops_tasks() {
    let mut manager = manager();
    run(&mut manager, T0, 10, 1);
    manager.drain();
    assert_eq!(manager.begin_start(T0, &small(11, 1)), Err(StartRefusal::Draining));
    assert_eq!(manager.stop_if_not_allowed(T0), [10]);
}

/// Guards against starting a task that would be stopped at once because the lease is
/// about to expire.
#[test]
fn nearly_expired_lease_allows_no_start() {
    let mut manager = manager();
    let now = T0.after(1_000);
    heartbeat(&mut manager, now, now, &reply(1, 1_000, Some(0))).unwrap();
    assert_eq!(manager.begin_start(now, &small(10, 1)), Err(StartRefusal::NotReady));
}
