//! Preemption of batch tasks by urgent and latency-critical tasks in a full shard.

mod support;

use std::collections::HashSet;

use cactusdoor_core::config::DataCentreState;
use cactusdoor_core::job::{JobClass, JobSpec, PlacementEnd};
use cactusdoor_core::name::VmName;
use cactusdoor_core::shard::TaskState;
use cactusdoor_owner::scheduler::CallOutcome;
use cactusdoor_peer::task::{StopMode, StopReply, TaskStop};
use support::{FakeAgent, SchedulerHarness, amount, job, task, vm};

/// Longest accepted time from submission to start of an urgent task.
const URGENT_START_MS: u64 = 1_000;

fn urgent(key: &str, tasks: u32) -> JobSpec {
    JobSpec { urgent: true, ..job("gold", key, tasks) }
}

/// Creates two VMs that each run four tasks of `spec`.
fn full_shard(spec: &JobSpec) -> (SchedulerHarness, FakeAgent, FakeAgent) {
    let mut harness = SchedulerHarness::owner("vm-0");
    let (mut one, mut two) = (FakeAgent::new("vm-1"), FakeAgent::new("vm-2"));
    harness.join(&mut one);
    harness.join(&mut two);
    harness.submit(spec);
    harness.advance_with_heartbeats(1_000, &mut [&mut one, &mut two]);
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 8);
    for start in &starts {
        harness.scheduler.start_answered(harness.now, start.token, CallOutcome::Answered(Ok(())));
        let vm = harness.scheduler.index().placement(&start.task).unwrap().vm.clone();
        if vm == one.identity.vm { one.add_task(start) } else { two.add_task(start) }
    }
    harness.advance_with_heartbeats(1_000, &mut [&mut one, &mut two]);
    harness.take_stops();
    (harness, one, two)
}

fn answer_stops(
    harness: &mut SchedulerHarness,
    agents: [&mut FakeAgent; 2],
    stops: &[(VmName, TaskStop)],
) {
    for (name, stop) in stops {
        let end = PlacementEnd::Evicted { checkpoint: Some("c1".parse().unwrap()) };
        let reply = CallOutcome::Answered(Ok(StopReply::Ended(end)));
        harness.scheduler.stop_answered(harness.now, name, stop, reply);
        harness.settle();
    }
    for agent in agents {
        agent.held.retain(|held| stops.iter().all(|(_, stop)| stop.token != held.token));
    }
}

fn is_placed(harness: &SchedulerHarness, spec: &JobSpec, index: u32) -> bool {
    let state = &harness.scheduler.fold().task(&task(spec, index)).unwrap().state;
    matches!(state, TaskState::Placed { .. })
}

/// Guards against urgent tasks that wait until batch tasks end, and against evicted batch
/// tasks that are placed in the freed capacity or get lost.
#[test]
fn an_urgent_task_starts_within_a_second_in_a_full_shard() {
    let batch = job("gold", "batch", 8);
    let (mut harness, mut one, mut two) = full_shard(&batch);
    let spec = JobSpec { need: amount(2_000, 1_024), ..urgent("now", 1) };
    let submitted = harness.now;
    harness.submit(&spec);
    harness.tick();
    let stops = harness.take_stops();
    assert_eq!(stops.len(), 2, "as many as the task needs");
    assert_eq!(stops[0].0, stops[1].0, "on one VM");
    assert!(stops.iter().all(|(_, stop)| stop.mode == StopMode::CheckpointAndStop));
    harness.now = harness.now.after(250);
    answer_stops(&mut harness, [&mut one, &mut two], &stops[..1]);
    harness.tick();
    assert!(
        harness.take_starts().is_empty(),
        "no task starts while one of two evictions is pending"
    );
    harness.now = harness.now.after(250);
    answer_stops(&mut harness, [&mut one, &mut two], &stops[1..]);
    harness.tick();
    let starts = harness.take_starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].task, task(&spec, 0));
    assert!(harness.now.since(submitted) <= URGENT_START_MS);
    let waiting = (0..8).filter(|index| !is_placed(&harness, &batch, *index)).count();
    assert_eq!(waiting, 2, "the evicted tasks wait");
}

/// Guards against several preemptions on one VM at a time, and against a task that
/// preempts on one VM after another.
#[test]
fn each_vm_and_task_has_one_preemption_at_a_time() {
    let (mut harness, mut one, mut two) = full_shard(&job("gold", "batch", 8));
    harness.submit(&urgent("now", 5));
    harness.tick();
    let stops = harness.take_stops();
    let vms: HashSet<&VmName> = stops.iter().map(|(name, _)| name).collect();
    assert_eq!((stops.len(), vms.len()), (2, 2));
    harness.advance_with_heartbeats(400, &mut [&mut one, &mut two]);
    let tokens: HashSet<u64> = stops.iter().map(|(_, stop)| stop.token).collect();
    assert!(harness.take_stops().iter().all(|(_, stop)| tokens.contains(&stop.token)));
    answer_stops(&mut harness, [&mut one, &mut two], &stops);
    harness.tick();
    assert_eq!(harness.take_starts().len(), 2);
    assert_eq!(harness.take_stops().len(), 2, "one for each of the next two tasks");

    let (mut harness, mut one, mut two) = full_shard(&job("gold", "batch", 8));
    harness.submit(&urgent("now", 1));
    harness.advance_with_heartbeats(1_000, &mut [&mut one, &mut two]);
    let tokens: HashSet<u64> = harness.take_stops().iter().map(|(_, stop)| stop.token).collect();
    assert_eq!(tokens.len(), 1);
}

/// Guards against evictions of watches, of latency-critical tasks and of urgent tasks.
#[test]
fn only_batch_tasks_that_are_not_urgent_are_preempted() {
    for class in [JobClass::Watch, JobClass::LatencyCritical, JobClass::Batch] {
        let spec = JobSpec { class, ..urgent("resident", 8) };
        let spec = JobSpec { urgent: class == JobClass::Batch, ..spec };
        let (mut harness, mut one, mut two) = full_shard(&spec);
        harness.submit(&urgent("now", 1));
        harness.advance_with_heartbeats(2_000, &mut [&mut one, &mut two]);
        assert!(harness.take_stops().is_empty(), "{class:?}");
    }
}

/// Guards against a latency-critical task that waits for batch tasks, and against batch
/// tasks that evict other batch tasks.
#[test]
fn latency_critical_tasks_evict_and_batch_tasks_do_not() {
    let (mut harness, mut one, mut two) = full_shard(&job("gold", "batch", 8));
    harness.submit(&job("gold", "more", 1));
    harness.advance_with_heartbeats(2_000, &mut [&mut one, &mut two]);
    assert!(harness.take_stops().is_empty());
    harness.submit(&JobSpec { class: JobClass::LatencyCritical, ..job("gold", "service", 1) });
    harness.advance_with_heartbeats(1_000, &mut [&mut one, &mut two]);
    let stops = harness.take_stops();
    assert_eq!(stops.len(), 1);
    answer_stops(&mut harness, [&mut one, &mut two], &stops);
    harness.tick();
    assert_eq!(harness.take_starts()[0].task, task(&job("gold", "service", 1), 0));
}

/// Guards against evictions for tasks that the plan's allowance does not cover, also
/// counting tasks with a preemption under way.
#[test]
fn no_task_is_preempted_beyond_the_allowance() {
    for (processors, expected) in [(0, 0), (1_000, 1), (2_000, 2)] {
        let (mut harness, mut one, mut two) = full_shard(&job("gold", "batch", 8));
        let allowances = [("gold", amount(100_000, 1 << 20)), ("tin", amount(processors, 4_096))];
        harness.configure(&allowances, DataCentreState::In);
        let spec = JobSpec { urgent: true, ..job("tin", "now", 2) };
        harness.submit(&spec);
        harness.advance_with_heartbeats(1_000, &mut [&mut one, &mut two]);
        let tokens: HashSet<u64> =
            harness.take_stops().iter().map(|(_, stop)| stop.token).collect();
        assert_eq!(tokens.len(), expected, "{processors}");
    }
}

/// Guards against lost work when evicting tasks with checkpoints is enough.
#[test]
fn tasks_with_checkpoints_are_preempted_first() {
    let mut harness = SchedulerHarness::owner("vm-0");
    let mut agent = FakeAgent::new("vm-1");
    harness.join(&mut agent);
    let lossy = JobSpec { checkpoints: false, ..job("gold", "lossy", 3) };
    let saving = job("gold", "saving", 1);
    for spec in [&saving, &lossy] {
        harness.submit(spec);
        harness.advance_with_heartbeats(1_000, &mut [&mut agent]);
        for start in harness.take_starts() {
            harness.scheduler.start_answered(
                harness.now,
                start.token,
                CallOutcome::Answered(Ok(())),
            );
            agent.add_task(&start);
        }
    }
    harness.advance_with_heartbeats(1_000, &mut [&mut agent]);
    harness.submit(&urgent("now", 1));
    harness.tick();
    let stops = harness.take_stops();
    assert_eq!(stops.len(), 1);
    assert_eq!((&stops[0].0, &stops[0].1.task), (&vm("vm-1"), &task(&saving, 0)));
}
