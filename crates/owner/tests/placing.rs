//! Placement of tasks, from submission to recorded end.

mod support;

use assert_matches::assert_matches;
use cactusdoor_core::job::{PlacementEnd, StartRefusal, TaskOutcome};
use cactusdoor_core::shard::TaskState;
use cactusdoor_log::appender::NotStored;
use cactusdoor_owner::scheduler::CallOutcome;
use cactusdoor_timeline::event::{EventKind, WaitReason};
use support::{FakeAgent, SchedulerHarness, amount, job, task};

/// Guards against a placement that never reaches the agent, and an end that is never
/// recorded or acknowledged.
#[test]
fn a_task_is_placed_started_and_recorded() {
    let mut harness = SchedulerHarness::owner("vm-0");
    let mut agent = FakeAgent::new("vm-1");
    harness.join(&mut agent);
    let spec = job("gold", "a", 1);
    harness.submit(&spec);
    harness.tick();
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].agent_incarnation, agent.identity.incarnation);
    let token = starts[0].token;
    harness.scheduler.start_answered(harness.now, token, CallOutcome::Answered(Ok(())));
    agent.add_task(&starts[0]);
    harness.send_heartbeat(&mut agent).unwrap();
    agent.end(token, PlacementEnd::Finished { digest: 9 });
    harness.send_heartbeat(&mut agent).unwrap();
    let reply = harness.send_heartbeat(&mut agent).unwrap();
    assert_eq!(reply.recorded, vec![token]);
    let status = harness.scheduler.fold().task(&task(&spec, 0)).unwrap();
    assert_eq!(status.state, TaskState::Ended(TaskOutcome::Finished { digest: 9 }));
}

/// Guards against a start before the placement was read back.
#[test]
fn nothing_starts_before_the_placement_is_read_back() {
    let mut harness = SchedulerHarness::owner("vm-0");
    let mut agent = FakeAgent::new("vm-1");
    harness.join(&mut agent);
    harness.stores_appends = false;
    harness.submit(&job("gold", "a", 1));
    harness.tick();
    assert_eq!(harness.open_appends.len(), 1);
    harness.advance_with_heartbeats(2_000, &mut [&mut agent]);
    assert!(harness.take_starts().is_empty());
    assert_eq!(harness.open_appends.len(), 1, "one append per task at a time");
    let append = harness.open_appends.remove(0);
    harness.store(append, true);
    assert_eq!(harness.take_starts().len(), 1);
}

/// Guards against a second placement when the answer to the append is lost although its
/// record is stored.
#[test]
fn a_placement_whose_answer_was_lost_counts_once() {
    let mut harness = SchedulerHarness::owner("vm-0");
    let mut agent = FakeAgent::new("vm-1");
    harness.join(&mut agent);
    harness.stores_appends = false;
    harness.submit(&job("gold", "a", 1));
    harness.tick();
    let append = harness.open_appends.remove(0);
    harness.store(append.clone(), false);
    assert_eq!(harness.take_starts().len(), 1);
    harness.report_failure(&append, NotStored::Unknown);
    harness.advance_with_heartbeats(2_000, &mut [&mut agent]);
    assert!(harness.open_appends.is_empty());
}

/// Guards against a task that waits for ever after its append was refused.
#[test]
fn a_placement_that_was_not_stored_is_tried_again() {
    let mut harness = SchedulerHarness::owner("vm-0");
    let mut agent = FakeAgent::new("vm-1");
    harness.join(&mut agent);
    harness.stores_appends = false;
    harness.submit(&job("gold", "a", 1));
    harness.tick();
    let append = harness.open_appends.remove(0);
    harness.report_failure(&append, NotStored::Unavailable);
    harness.advance_with_heartbeats(500, &mut [&mut agent]);
    assert_eq!(harness.open_appends.len(), 1);
}

/// Guards against committing more than a VM's capacity while several appends are under
/// way.
#[test]
fn placements_under_way_count_against_the_vm() {
    let mut harness = SchedulerHarness::owner("vm-0");
    let mut agent = FakeAgent::new("vm-1");
    agent.capacity = amount(3_000, 8_192);
    harness.join(&mut agent);
    harness.stores_appends = false;
    harness.submit(&job("gold", "a", 5));
    harness.tick();
    assert_eq!(harness.open_appends.len(), 3);
    harness.advance_with_heartbeats(2_000, &mut [&mut agent]);
    assert_eq!(harness.open_appends.len(), 3);
}

/// Guards against exceeding a plan's allowance while several appends are under way.
#[test]
fn placements_under_way_count_against_the_allowance() {
    let mut harness = SchedulerHarness::owner("vm-0");
    let mut agent = FakeAgent::new("vm-1");
    harness.join(&mut agent);
    harness.stores_appends = false;
    let spec = job("tin", "a", 5);
    harness.submit(&spec);
    harness.tick();
    harness.advance_with_heartbeats(2_000, &mut [&mut agent]);
    assert_eq!(harness.open_appends.len(), 2);
    let waits = EventKind::TaskWaits { task: task(&spec, 0), reason: WaitReason::AllowanceUsed };
    assert!(harness.events.contains(&waits));
}

/// Guards against a refused task that is lost, or placed again before its end is
/// recorded.
#[test]
fn a_refused_start_is_recorded_and_placed_again() {
    let mut harness = SchedulerHarness::owner("vm-0");
    let mut agent = FakeAgent::new("vm-1");
    harness.join(&mut agent);
    let spec = job("gold", "a", 1);
    harness.submit(&spec);
    harness.tick();
    let start = harness.take_starts().remove(0);
    let refusal = CallOutcome::Answered(Err(StartRefusal::ConfigurationStale));
    harness.scheduler.start_answered(harness.now, start.token, refusal);
    harness.settle();
    let state = &harness.scheduler.fold().task(&task(&spec, 0)).unwrap().state;
    assert_matches!(state, TaskState::Pending { .. });
    harness.advance_with_heartbeats(3_000, &mut [&mut agent]);
    let again = harness.take_starts();
    assert_eq!(again.len(), 1);
    assert!(again[0].token > start.token);
}

/// Guards against a late copy of a start that runs after its refusal was recorded.
#[test]
fn a_refusal_after_a_lost_answer_is_fenced_by_a_stop() {
    let mut harness = SchedulerHarness::owner("vm-0");
    let mut agent = FakeAgent::new("vm-1");
    harness.join(&mut agent);
    let spec = job("gold", "a", 1);
    harness.submit(&spec);
    harness.tick();
    let token = harness.take_starts().remove(0).token;
    harness.scheduler.start_answered(harness.now, token, CallOutcome::Lost);
    harness.advance_with_heartbeats(1_000, &mut [&mut agent]);
    assert_eq!(harness.take_starts().len(), 1, "the start is repeated");
    let refusal = CallOutcome::Answered(Err(StartRefusal::NotReady));
    harness.scheduler.start_answered(harness.now, token, refusal);
    harness.settle();
    let state = &harness.scheduler.fold().task(&task(&spec, 0)).unwrap().state;
    assert_matches!(state, TaskState::Placed { .. });
    let stops = harness.take_stops();
    assert_eq!(stops.len(), 1);
    assert_eq!(stops[0].1.token, token);
}

/// Guards against a second placement before a read to the end has shown that the first is
/// not stored, and against one that never comes.
#[test]
fn a_placement_of_unknown_outcome_waits_for_a_read_to_the_end() {
    let mut harness = SchedulerHarness::owner("vm-0");
    let mut agent = FakeAgent::new("vm-1");
    harness.join(&mut agent);
    harness.stores_appends = false;
    harness.submit(&job("gold", "a", 1));
    harness.tick();
    let append = harness.open_appends.remove(0);
    harness.report_failure(&append, NotStored::Unknown);
    // Reads sent before the append was reported unknown prove nothing.
    let sent = harness.now;
    for _ in 0..4 {
        harness.now = harness.now.after(500);
        harness.send_heartbeat(&mut agent).unwrap();
        harness.scheduler.confirmed(sent);
        harness.scheduler.tick(harness.now, 0);
        harness.collect();
    }
    assert!(harness.open_appends.is_empty());
    harness.advance_with_heartbeats(1_000, &mut [&mut agent]);
    assert_eq!(harness.open_appends.len(), 1);
}
