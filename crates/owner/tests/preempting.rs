//! Urgent and latency-critical tasks in a shard full of batch work.

mod support;

use std::collections::HashSet;

use cactusdoor_core::config::DataCentreState;
use cactusdoor_core::job::{JobClass, JobSpec, PlacementEnd};
use cactusdoor_core::name::VmName;
use cactusdoor_core::shard::TaskState;
use cactusdoor_owner::book::CallOutcome;
use cactusdoor_peer::task::{StopMode, StopReply, TaskStop};
use support::{Bench, FakeAgent, amount, job, task, vm};

/// Target for the start of urgent work.
const URGENT_START_MS: u64 = 1_000;

fn urgent(key: &str, tasks: u32) -> JobSpec {
    JobSpec { urgent: true, ..job("gold", key, tasks) }
}

/// Two VMs, full with four tasks each of `spec`.
fn full(spec: &JobSpec) -> (Bench, FakeAgent, FakeAgent) {
    let mut bench = Bench::owner("vm-0");
    let (mut one, mut two) = (FakeAgent::new("vm-1"), FakeAgent::new("vm-2"));
    bench.join(&mut one);
    bench.join(&mut two);
    bench.submit(spec);
    bench.pass_with(1_000, &mut [&mut one, &mut two]);
    let starts = bench.take_starts();
    assert_eq!(starts.len(), 8);
    for start in &starts {
        bench.book.start_answered(bench.now, start.token, CallOutcome::Answered(Ok(())));
        let on = bench.book.index().placement(&start.task).unwrap().vm.clone();
        if on == one.identity.vm { one.hold(start) } else { two.hold(start) }
    }
    bench.pass_with(1_000, &mut [&mut one, &mut two]);
    bench.take_stops();
    (bench, one, two)
}

fn answer(bench: &mut Bench, agents: [&mut FakeAgent; 2], stops: &[(VmName, TaskStop)]) {
    for (name, stop) in stops {
        let end = PlacementEnd::Evicted { checkpoint: Some("c1".parse().unwrap()) };
        let reply = CallOutcome::Answered(Ok(StopReply::Ended(end)));
        bench.book.stop_answered(bench.now, name, stop, reply);
        bench.settle();
    }
    for agent in agents {
        agent.held.retain(|held| stops.iter().all(|(_, stop)| stop.token != held.token));
    }
}

fn is_placed(bench: &Bench, spec: &JobSpec, index: u32) -> bool {
    let state = &bench.book.fold().task(&task(spec, index)).unwrap().state;
    matches!(state, TaskState::Placed { .. })
}

/// Guards against urgent work that waits until batch work ends, and against
/// evicted batch work that takes the room itself or is lost.
#[test]
fn urgent_work_starts_within_a_second_in_a_full_shard() {
    let batch = job("gold", "batch", 8);
    let (mut bench, mut one, mut two) = full(&batch);
    let spec = JobSpec { need: amount(2_000, 1_024), ..urgent("now", 1) };
    let submitted = bench.now;
    bench.submit(&spec);
    bench.tick();
    let stops = bench.take_stops();
    assert_eq!(stops.len(), 2, "as many as make room");
    assert_eq!(stops[0].0, stops[1].0, "on one VM");
    assert!(stops.iter().all(|(_, stop)| stop.mode == StopMode::CheckpointAndStop));
    bench.now = bench.now.after(250);
    answer(&mut bench, [&mut one, &mut two], &stops[..1]);
    bench.tick();
    assert!(bench.take_starts().is_empty(), "half the room is taken by nobody");
    bench.now = bench.now.after(250);
    answer(&mut bench, [&mut one, &mut two], &stops[1..]);
    bench.tick();
    let starts = bench.take_starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].task, task(&spec, 0));
    assert!(bench.now.since(submitted) <= URGENT_START_MS);
    let waiting = (0..8).filter(|index| !is_placed(&bench, &batch, *index)).count();
    assert_eq!(waiting, 2, "the evicted tasks wait for room");
}

/// Guards against several preemptions on one VM at a time, and against a task that
/// has room made on one VM after the other.
#[test]
fn one_preemption_per_vm_and_task_at_a_time() {
    let (mut bench, mut one, mut two) = full(&job("gold", "batch", 8));
    bench.submit(&urgent("now", 5));
    bench.tick();
    let stops = bench.take_stops();
    let on: HashSet<&VmName> = stops.iter().map(|(name, _)| name).collect();
    assert_eq!((stops.len(), on.len()), (2, 2));
    bench.pass_with(400, &mut [&mut one, &mut two]);
    let tokens: HashSet<u64> = stops.iter().map(|(_, stop)| stop.token).collect();
    assert!(bench.take_stops().iter().all(|(_, stop)| tokens.contains(&stop.token)));
    answer(&mut bench, [&mut one, &mut two], &stops);
    bench.tick();
    assert_eq!(bench.take_starts().len(), 2);
    assert_eq!(bench.take_stops().len(), 2, "then for the next tasks");

    let (mut bench, mut one, mut two) = full(&job("gold", "batch", 8));
    bench.submit(&urgent("now", 1));
    bench.pass_with(1_000, &mut [&mut one, &mut two]);
    let tokens: HashSet<u64> = bench.take_stops().iter().map(|(_, stop)| stop.token).collect();
    assert_eq!(tokens.len(), 1);
}

/// Guards against evictions of watches, of latency-critical and of urgent tasks.
#[test]
fn only_batch_work_that_is_not_urgent_gives_way() {
    for class in [JobClass::Watch, JobClass::LatencyCritical, JobClass::Batch] {
        let spec = JobSpec { class, ..urgent("resident", 8) };
        let spec = JobSpec { urgent: class == JobClass::Batch, ..spec };
        let (mut bench, mut one, mut two) = full(&spec);
        bench.submit(&urgent("now", 1));
        bench.pass_with(2_000, &mut [&mut one, &mut two]);
        assert!(bench.take_stops().is_empty(), "{class:?}");
    }
}

/// Guards against a latency-critical task that waits for batch work, and against
/// batch work that evicts other batch work.
#[test]
fn latency_critical_tasks_evict_and_batch_tasks_do_not() {
    let (mut bench, mut one, mut two) = full(&job("gold", "batch", 8));
    bench.submit(&job("gold", "more", 1));
    bench.pass_with(2_000, &mut [&mut one, &mut two]);
    assert!(bench.take_stops().is_empty());
    bench.submit(&JobSpec { class: JobClass::LatencyCritical, ..job("gold", "service", 1) });
    bench.pass_with(1_000, &mut [&mut one, &mut two]);
    let stops = bench.take_stops();
    assert_eq!(stops.len(), 1);
    answer(&mut bench, [&mut one, &mut two], &stops);
    bench.tick();
    assert_eq!(bench.take_starts()[0].task, task(&job("gold", "service", 1), 0));
}

/// Guards against evictions for tasks that the plan's allowance does not cover,
/// also together with those for which room is already being made.
#[test]
fn nobody_gives_way_beyond_the_allowance() {
    for (processors, expected) in [(0, 0), (1_000, 1), (2_000, 2)] {
        let (mut bench, mut one, mut two) = full(&job("gold", "batch", 8));
        let allowances = [("gold", amount(100_000, 1 << 20)), ("tin", amount(processors, 4_096))];
        bench.configure(&allowances, DataCentreState::In);
        let spec = JobSpec { urgent: true, ..job("tin", "now", 2) };
        bench.submit(&spec);
        bench.pass_with(1_000, &mut [&mut one, &mut two]);
        let tokens: HashSet<u64> = bench.take_stops().iter().map(|(_, stop)| stop.token).collect();
        assert_eq!(tokens.len(), expected, "{processors}");
    }
}

/// Guards against lost work where tasks that save their progress would do.
#[test]
fn tasks_that_save_their_progress_give_way_first() {
    let mut bench = Bench::owner("vm-0");
    let mut agent = FakeAgent::new("vm-1");
    bench.join(&mut agent);
    let lossy = JobSpec { checkpoints: false, ..job("gold", "lossy", 3) };
    let saving = job("gold", "saving", 1);
    for spec in [&saving, &lossy] {
        bench.submit(spec);
        bench.pass_with(1_000, &mut [&mut agent]);
        for start in bench.take_starts() {
            bench.book.start_answered(bench.now, start.token, CallOutcome::Answered(Ok(())));
            agent.hold(&start);
        }
    }
    bench.pass_with(1_000, &mut [&mut agent]);
    bench.submit(&urgent("now", 1));
    bench.tick();
    let stops = bench.take_stops();
    assert_eq!(stops.len(), 1);
    assert_eq!((&stops[0].0, &stops[0].1.task), (&vm("vm-1"), &task(&saving, 0)));
}
