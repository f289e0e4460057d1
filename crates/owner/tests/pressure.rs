//! Learned usage, protection of latency-critical tasks, reduced allowances and rosters.

mod support;

use cactusdoor_core::config::DataCentreState;
use cactusdoor_core::job::{JobClass, JobSpec, PlacementEnd};
use cactusdoor_core::name::VmName;
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::shard::TaskState;
use cactusdoor_core::unit::Millis;
use cactusdoor_owner::scheduler::{CallOutcome, EntryView};
use cactusdoor_peer::heartbeat::{RunState, UsageSample};
use cactusdoor_peer::roster::{RosterReply, ShardCapacity, ShardSummary};
use cactusdoor_peer::task::{StopMode, StopReply, TaskStop};
use cactusdoor_timeline::HybridTime;
use cactusdoor_timeline::event::EventKind;
use support::{FakeAgent, SHARD, SchedulerHarness, amount, job, shard, task, vm};

fn start_all(harness: &mut SchedulerHarness, agent: &mut FakeAgent) {
    harness.tick();
    for start in harness.take_starts() {
        harness.scheduler.start_answered(harness.now, start.token, CallOutcome::Answered(Ok(())));
        agent.add_task(&start);
    }
    harness.send_heartbeat(agent).unwrap();
}

fn critical(key: &str) -> JobSpec {
    let kind = "counter".parse().unwrap();
    JobSpec { class: JobClass::LatencyCritical, kind, ..job("gold", key, 1) }
}

/// Sends a heartbeat in which the latency-critical task runs at `speed` percent.
fn heartbeat_at_speed(
    harness: &mut SchedulerHarness,
    agent: &mut FakeAgent,
    speed: u8,
) -> Vec<(VmName, TaskStop)> {
    harness.now = harness.now.after(2_000);
    let mut heartbeat = agent.next_heartbeat();
    heartbeat.usage = agent
        .held
        .iter()
        .map(|held| UsageSample {
            token: held.token,
            used: amount(500, 512),
            speed_percent: if held.kind.as_str() == "counter" { speed } else { 100 },
            lag_ms: 500,
        })
        .collect();
    harness.deliver(agent, &heartbeat).unwrap();
    harness.take_stops()
}

fn set_throttle(agent: &mut FakeAgent, stops: &[(VmName, TaskStop)]) {
    for (_, stop) in stops {
        if let StopMode::Throttle(percent) = stop.mode {
            let held = agent.held.iter_mut().find(|held| held.token == stop.token).unwrap();
            held.state =
                if percent == 100 { RunState::Running } else { RunState::Throttled(percent) };
        }
    }
}

/// Guards against batch tasks that slow down a latency-critical task for ever, against
/// throttling the task to be protected, and against a throttle that is never lifted.
#[test]
fn batch_tasks_are_throttled_then_evicted_and_later_resume() {
    let mut harness = SchedulerHarness::owner("vm-0");
    let mut agent = FakeAgent::new("vm-1");
    harness.join(&mut agent);
    harness.submit(&critical("service"));
    harness.submit(&job("gold", "batch", 2));
    start_all(&mut harness, &mut agent);
    assert_eq!(agent.held.len(), 3);
    let batch = |stop: &TaskStop| stop.task.job == job("gold", "batch", 2).id;
    for percent in [50, 20] {
        let stops = heartbeat_at_speed(&mut harness, &mut agent, 60);
        assert_eq!(stops.len(), 2);
        assert!(stops.iter().all(|(_, s)| batch(s) && s.mode == StopMode::Throttle(percent)));
        set_throttle(&mut agent, &stops);
    }
    let evictions = heartbeat_at_speed(&mut harness, &mut agent, 60);
    assert_eq!(evictions.len(), 1, "one task at a time");
    assert!(batch(&evictions[0].1));
    assert_eq!(evictions[0].1.mode, StopMode::CheckpointAndStop);
    let end = PlacementEnd::Evicted { checkpoint: Some("c1".parse().unwrap()) };
    let answer = CallOutcome::Answered(Ok(StopReply::Ended(end)));
    harness.scheduler.stop_answered(harness.now, &evictions[0].0, &evictions[0].1, answer);
    agent.held.retain(|held| held.token != evictions[0].1.token);
    harness.settle();
    // The VM accepts no batch tasks while a latency-critical task is slowed down.
    harness.advance_with_heartbeats(2_000, &mut [&mut agent]);
    assert!(harness.take_starts().is_empty());
    harness.take_stops();
    for _ in 0..40 {
        let stops = heartbeat_at_speed(&mut harness, &mut agent, 100);
        set_throttle(&mut agent, &stops);
    }
    assert!(agent.held.iter().all(|held| held.state == RunState::Running));
    harness.tick();
    assert_eq!(harness.take_starts().len(), 1, "the evicted task resumes");
}

/// Guards against throttles on a VM without a latency-critical task.
#[test]
fn slow_batch_tasks_alone_are_not_throttled() {
    let mut harness = SchedulerHarness::owner("vm-0");
    let mut agent = FakeAgent::new("vm-1");
    harness.join(&mut agent);
    harness.submit(&job("gold", "batch", 2));
    start_all(&mut harness, &mut agent);
    for _ in 0..5 {
        assert!(heartbeat_at_speed(&mut harness, &mut agent, 30).is_empty());
    }
}

/// Guards against commitments that stay at a declared need far above the real one, and
/// against a commitment that differs from the need sent to the agent.
#[test]
fn a_learned_need_is_committed_and_sent_to_the_agent() {
    let mut harness = SchedulerHarness::owner("vm-0");
    let mut agent = FakeAgent::new("vm-1");
    agent.capacity = amount(64_000, 1 << 18);
    harness.join(&mut agent);
    harness.submit(&job("gold", "first", 10));
    start_all(&mut harness, &mut agent);
    for _ in 0..3 {
        heartbeat_at_speed(&mut harness, &mut agent, 100);
    }
    while let Some(held) = agent.held.first() {
        let token = held.token;
        agent.end(token, PlacementEnd::Finished { digest: 1 });
    }
    harness.send_heartbeat(&mut agent).unwrap();
    let spec = job("gold", "second", 1);
    harness.submit(&spec);
    harness.advance_with_heartbeats(1_000, &mut [&mut agent]);
    let start = harness.take_starts().remove(0);
    assert!(start.need.processors < 1_000 && start.need.processors >= 500, "{:?}", start.need);
    let state = &harness.scheduler.fold().task(&task(&spec, 0)).unwrap().state;
    assert!(matches!(state, TaskState::Placed { need, .. } if *need == start.need));
}

/// Guards against a reduced allowance that never affects running tasks, and against
/// stopping more than necessary.
#[test]
fn a_reduced_allowance_stops_the_newest_tasks() {
    let mut harness = SchedulerHarness::owner("vm-0");
    let mut agent = FakeAgent::new("vm-1");
    harness.join(&mut agent);
    harness.submit(&job("gold", "a", 4));
    start_all(&mut harness, &mut agent);
    assert_eq!(agent.held.len(), 4);
    let newest: Vec<u64> = agent.held.iter().skip(2).map(|held| held.token).collect();
    harness.configure(&[("gold", amount(2_000, 8_192))], DataCentreState::In);
    harness.advance_with_heartbeats(1_500, &mut [&mut agent]);
    let mut stopped: Vec<u64> = harness.take_stops().iter().map(|(_, s)| s.token).collect();
    stopped.sort_unstable();
    stopped.dedup();
    assert_eq!(stopped, newest);
}

fn reply(shards: &[&str]) -> RosterReply {
    let summary = |name: &&str| ShardSummary {
        shard: shard(name),
        data_centre: "north".parse().unwrap(),
        epoch: 1,
        room: ShardCapacity::default(),
    };
    RosterReply {
        at: HybridTime::default(),
        needs_full: false,
        newer_epoch: None,
        entries: Vec::new(),
        shards: shards.iter().map(summary).collect(),
        earlier_members: Vec::new(),
        config_revision: 0,
    }
}

/// Guards against entries that miss a member, keep one that is gone, or receive the whole
/// list each second.
#[test]
fn a_roster_is_full_first_and_then_lists_changes() {
    let mut harness = SchedulerHarness::owner("vm-0");
    let (mut first, mut second) = (FakeAgent::new("vm-1"), FakeAgent::new("vm-2"));
    harness.join(&mut first);
    let mut view = EntryView::default();
    let update = harness.scheduler.roster(harness.now, &mut view).unwrap();
    assert!(update.full && update.members.len() == 1);
    assert_eq!(update.room.free, first.capacity);
    harness.join(&mut second);
    let update = harness.scheduler.roster(harness.now, &mut view).unwrap();
    assert!(!update.full && update.members.len() == 1 && update.number == 2);
    assert_eq!(update.members[0].agent.vm, vm("vm-2"));
    harness.advance_with_heartbeats(11_000, &mut [&mut second]);
    let update = harness.scheduler.roster(harness.now, &mut view).unwrap();
    assert!(update.members.is_empty());
    assert_eq!(update.gone, vec![vm("vm-1")]);
    view.reset();
    let update = harness.scheduler.roster(harness.now, &mut view).unwrap();
    assert!(update.full && update.members.len() == 1);
}

/// Guards against claims of shards whose owners are running, and against shards without an
/// owner that no process claims.
#[test]
fn a_shard_counts_as_silent_only_after_the_owner_timeout() {
    let settings = cactusdoor_owner::scheduler::SchedulerSettings {
        shard: shard(SHARD),
        identity: support::identity("vm-0", 5),
        writer: support::writer("vm-0"),
        shards: vec![shard(SHARD), shard("south-0"), shard("west-0")],
    };
    let mut harness = SchedulerHarness::with_settings(settings, Vec::new());
    harness.claim();
    let mut agent = FakeAgent::new("vm-1");
    let step: Millis = 1_000;
    for second in 0..40 {
        harness.scheduler.roster_answered(harness.now, &reply(&[SHARD, "south-0"]));
        harness.advance_with_heartbeats(step, &mut [&mut agent]);
        let silent = harness.send_heartbeat(&mut agent).unwrap().silent_shards;
        if second < 28 {
            assert!(silent.is_empty(), "after {second} s");
        }
    }
    assert_eq!(harness.send_heartbeat(&mut agent).unwrap().silent_shards, vec![shard("west-0")]);
    // Without answers of entries there is no information about other shards.
    harness.advance_with_heartbeats(10_000, &mut [&mut agent]);
    assert!(harness.send_heartbeat(&mut agent).unwrap().silent_shards.is_empty());
}

/// Guards against a timeline filled with repetitions of the same reason.
#[test]
fn a_wait_is_reported_when_its_reason_changes() {
    let mut harness = SchedulerHarness::owner("vm-0");
    let mut agent = FakeAgent::new("vm-1");
    agent.capacity = ResourceVector::new(1_000, 1_024, 0);
    harness.join(&mut agent);
    harness.submit(&job("gold", "a", 3));
    start_all(&mut harness, &mut agent);
    harness.advance_with_heartbeats(5_000, &mut [&mut agent]);
    let waits = |harness: &SchedulerHarness| {
        harness.events.iter().filter(|event| matches!(event, EventKind::TaskWaits { .. })).count()
    };
    assert_eq!(waits(&harness), 1);
    harness.configure(&[("gold", amount(100_000, 1 << 20))], DataCentreState::Out);
    harness.advance_with_heartbeats(1_500, &mut [&mut agent]);
    assert_eq!(waits(&harness), 2);
}
