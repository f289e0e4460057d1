//! From submission to recorded end.

mod support;

use assert_matches::assert_matches;
use cactusdoor_core::job::{PlacementEnd, StartRefusal, TaskOutcome};
use cactusdoor_core::shard::TaskState;
use cactusdoor_log::appender::NotStored;
use cactusdoor_owner::book::CallOutcome;
use cactusdoor_timeline::event::{EventKind, WaitReason};
use support::{Bench, FakeAgent, amount, job, task};

/// Guards against a placement that is never told to the agent, and an end that
/// is never recorded or never acknowledged.
#[test]
fn a_task_is_placed_started_and_recorded() {
    let mut bench = Bench::owner("vm-0");
    let mut agent = FakeAgent::new("vm-1");
    bench.join(&mut agent);
    let spec = job("gold", "a", 1);
    bench.submit(&spec);
    bench.tick();
    let starts = bench.take_starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].agent_incarnation, agent.identity.incarnation);
    let token = starts[0].token;
    bench.book.start_answered(bench.now, token, CallOutcome::Answered(Ok(())));
    agent.hold(&starts[0]);
    bench.beat(&mut agent).unwrap();
    agent.end(token, PlacementEnd::Finished { digest: 9 });
    bench.beat(&mut agent).unwrap();
    let reply = bench.beat(&mut agent).unwrap();
    assert_eq!(reply.recorded, vec![token]);
    let entry = bench.book.fold().task(&task(&spec, 0)).unwrap();
    assert_eq!(entry.state, TaskState::Ended(TaskOutcome::Finished { digest: 9 }));
}

/// Guards against a start before the placement has come back through the fold.
#[test]
fn nothing_starts_before_the_placement_is_read_back() {
    let mut bench = Bench::owner("vm-0");
    let mut agent = FakeAgent::new("vm-1");
    bench.join(&mut agent);
    bench.prompt = false;
    bench.submit(&job("gold", "a", 1));
    bench.tick();
    assert_eq!(bench.open.len(), 1);
    bench.pass_with(2_000, &mut [&mut agent]);
    assert!(bench.take_starts().is_empty());
    assert_eq!(bench.open.len(), 1, "one append per task at a time");
    let append = bench.open.remove(0);
    bench.store(append, true);
    assert_eq!(bench.take_starts().len(), 1);
}

/// Guards against a second placement when the answer to the append is lost
/// although its record stands in the stream.
#[test]
fn a_placement_whose_answer_was_lost_counts_once() {
    let mut bench = Bench::owner("vm-0");
    let mut agent = FakeAgent::new("vm-1");
    bench.join(&mut agent);
    bench.prompt = false;
    bench.submit(&job("gold", "a", 1));
    bench.tick();
    let append = bench.open.remove(0);
    bench.store(append.clone(), false);
    assert_eq!(bench.take_starts().len(), 1);
    bench.refuse(&append, NotStored::Unknown);
    bench.pass_with(2_000, &mut [&mut agent]);
    assert!(bench.open.is_empty());
}

/// Guards against a task that waits for ever after its append was refused.
#[test]
fn a_placement_that_was_not_stored_is_tried_again() {
    let mut bench = Bench::owner("vm-0");
    let mut agent = FakeAgent::new("vm-1");
    bench.join(&mut agent);
    bench.prompt = false;
    bench.submit(&job("gold", "a", 1));
    bench.tick();
    let append = bench.open.remove(0);
    bench.refuse(&append, NotStored::Unavailable);
    bench.pass_with(500, &mut [&mut agent]);
    assert_eq!(bench.open.len(), 1);
}

/// Guards against commitments beyond a VM, with several appends under way.
#[test]
fn placements_under_way_count_against_the_vm() {
    let mut bench = Bench::owner("vm-0");
    let mut agent = FakeAgent::new("vm-1");
    agent.capacity = amount(3_000, 8_192);
    bench.join(&mut agent);
    bench.prompt = false;
    bench.submit(&job("gold", "a", 5));
    bench.tick();
    assert_eq!(bench.open.len(), 3);
    bench.pass_with(2_000, &mut [&mut agent]);
    assert_eq!(bench.open.len(), 3);
}

/// Guards against use beyond a plan's allowance, with several appends under way.
#[test]
fn placements_under_way_count_against_the_allowance() {
    let mut bench = Bench::owner("vm-0");
    let mut agent = FakeAgent::new("vm-1");
    bench.join(&mut agent);
    bench.prompt = false;
    let spec = job("tin", "a", 5);
    bench.submit(&spec);
    bench.tick();
    bench.pass_with(2_000, &mut [&mut agent]);
    assert_eq!(bench.open.len(), 2);
    let waits = EventKind::TaskWaits { task: task(&spec, 0), reason: WaitReason::AllowanceUsed };
    assert!(bench.events.contains(&waits));
}

/// Guards against a refused task that is lost, or placed again without its end.
#[test]
fn a_refused_start_is_recorded_and_placed_again() {
    let mut bench = Bench::owner("vm-0");
    let mut agent = FakeAgent::new("vm-1");
    bench.join(&mut agent);
    let spec = job("gold", "a", 1);
    bench.submit(&spec);
    bench.tick();
    let start = bench.take_starts().remove(0);
    let refusal = CallOutcome::Answered(Err(StartRefusal::ConfigurationStale));
    bench.book.start_answered(bench.now, start.token, refusal);
    bench.settle();
    let state = &bench.book.fold().task(&task(&spec, 0)).unwrap().state;
    assert_matches!(state, TaskState::Pending { .. });
    bench.pass_with(3_000, &mut [&mut agent]);
    let again = bench.take_starts();
    assert_eq!(again.len(), 1);
    assert!(again[0].token > start.token);
}

/// Guards against a late copy of a start that runs after its refusal was recorded.
#[test]
fn a_refusal_after_a_lost_answer_is_fenced_by_a_stop() {
    let mut bench = Bench::owner("vm-0");
    let mut agent = FakeAgent::new("vm-1");
    bench.join(&mut agent);
    let spec = job("gold", "a", 1);
    bench.submit(&spec);
    bench.tick();
    let token = bench.take_starts().remove(0).token;
    bench.book.start_answered(bench.now, token, CallOutcome::Lost);
    bench.pass_with(1_000, &mut [&mut agent]);
    assert_eq!(bench.take_starts().len(), 1, "the start is repeated");
    let refusal = CallOutcome::Answered(Err(StartRefusal::NotReady));
    bench.book.start_answered(bench.now, token, refusal);
    bench.settle();
    let state = &bench.book.fold().task(&task(&spec, 0)).unwrap().state;
    assert_matches!(state, TaskState::Placed { .. });
    let stops = bench.take_stops();
    assert_eq!(stops.len(), 1);
    assert_eq!(stops[0].1.token, token);
}

/// Guards against a second placement before a read to the end has shown that the
/// first is not stored, and against one that never comes.
#[test]
fn a_placement_of_unknown_fate_waits_for_a_read_to_the_end() {
    let mut bench = Bench::owner("vm-0");
    let mut agent = FakeAgent::new("vm-1");
    bench.join(&mut agent);
    bench.prompt = false;
    bench.submit(&job("gold", "a", 1));
    bench.tick();
    let append = bench.open.remove(0);
    bench.refuse(&append, NotStored::Unknown);
    // Reads that were sent before the append was given up show nothing.
    let sent = bench.now;
    for _ in 0..4 {
        bench.now = bench.now.after(500);
        bench.beat(&mut agent).unwrap();
        bench.book.confirmed(sent);
        bench.book.tick(bench.now, 0);
        bench.collect();
    }
    assert!(bench.open.is_empty());
    bench.pass_with(1_000, &mut [&mut agent]);
    assert_eq!(bench.open.len(), 1);
}
