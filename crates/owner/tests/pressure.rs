//! Usage figures, protection of latency-critical tasks, reduced allowances and
//! rosters.

mod support;

use cactusdoor_core::config::DataCentreState;
use cactusdoor_core::job::{JobClass, JobSpec, PlacementEnd};
use cactusdoor_core::name::VmName;
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::shard::TaskState;
use cactusdoor_core::unit::Millis;
use cactusdoor_owner::book::{CallOutcome, EntryView};
use cactusdoor_peer::heartbeat::{RunState, UsageSample};
use cactusdoor_peer::roster::{RosterReply, ShardRoom, ShardSummary};
use cactusdoor_peer::task::{StopMode, StopReply, TaskStop};
use cactusdoor_timeline::HybridTime;
use cactusdoor_timeline::event::EventKind;
use support::{Bench, FakeAgent, SHARD, amount, job, shard, task, vm};

fn start_all(bench: &mut Bench, agent: &mut FakeAgent) {
    bench.tick();
    for start in bench.take_starts() {
        bench.book.start_answered(bench.now, start.token, CallOutcome::Answered(Ok(())));
        agent.hold(&start);
    }
    bench.beat(agent).unwrap();
}

fn critical(key: &str) -> JobSpec {
    let kind = "counter".parse().unwrap();
    JobSpec { class: JobClass::LatencyCritical, kind, ..job("gold", key, 1) }
}

/// A heartbeat in which the latency-critical task runs at `speed`.
fn beat_at(bench: &mut Bench, agent: &mut FakeAgent, speed: u8) -> Vec<(VmName, TaskStop)> {
    bench.now = bench.now.after(2_000);
    let mut beat = agent.beat();
    beat.usage = agent
        .held
        .iter()
        .map(|held| UsageSample {
            token: held.token,
            used: amount(500, 512),
            speed_percent: if held.kind.as_str() == "counter" { speed } else { 100 },
            lag_ms: 500,
        })
        .collect();
    bench.deliver(agent, &beat).unwrap();
    bench.take_stops()
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

/// Guards against batch work that disturbs a latency-critical task for ever, a
/// throttle on the task to be protected, and a throttle that is never lifted.
#[test]
fn batch_work_gives_way_step_by_step_and_comes_back() {
    let mut bench = Bench::owner("vm-0");
    let mut agent = FakeAgent::new("vm-1");
    bench.join(&mut agent);
    bench.submit(&critical("service"));
    bench.submit(&job("gold", "batch", 2));
    start_all(&mut bench, &mut agent);
    assert_eq!(agent.held.len(), 3);
    let batch = |stop: &TaskStop| stop.task.job == job("gold", "batch", 2).id;
    for percent in [50, 20] {
        let stops = beat_at(&mut bench, &mut agent, 60);
        assert_eq!(stops.len(), 2);
        assert!(stops.iter().all(|(_, s)| batch(s) && s.mode == StopMode::Throttle(percent)));
        set_throttle(&mut agent, &stops);
    }
    let evictions = beat_at(&mut bench, &mut agent, 60);
    assert_eq!(evictions.len(), 1, "one task at a time");
    assert!(batch(&evictions[0].1));
    assert_eq!(evictions[0].1.mode, StopMode::CheckpointAndStop);
    let end = PlacementEnd::Evicted { checkpoint: Some("c1".parse().unwrap()) };
    let answer = CallOutcome::Answered(Ok(StopReply::Ended(end)));
    bench.book.stop_answered(bench.now, &evictions[0].0, &evictions[0].1, answer);
    agent.held.retain(|held| held.token != evictions[0].1.token);
    bench.settle();
    // The VM takes no batch work while it is under pressure.
    bench.pass_with(2_000, &mut [&mut agent]);
    assert!(bench.take_starts().is_empty());
    bench.take_stops();
    for _ in 0..40 {
        let stops = beat_at(&mut bench, &mut agent, 100);
        set_throttle(&mut agent, &stops);
    }
    assert!(agent.held.iter().all(|held| held.state == RunState::Running));
    bench.tick();
    assert_eq!(bench.take_starts().len(), 1, "the evicted task resumes");
}

/// Guards against throttles on a VM without anything to protect.
#[test]
fn slow_batch_work_alone_is_left_alone() {
    let mut bench = Bench::owner("vm-0");
    let mut agent = FakeAgent::new("vm-1");
    bench.join(&mut agent);
    bench.submit(&job("gold", "batch", 2));
    start_all(&mut bench, &mut agent);
    for _ in 0..5 {
        assert!(beat_at(&mut bench, &mut agent, 30).is_empty());
    }
}

/// Guards against commitments that stay at a declared size far above the real
/// one, and against a commitment that differs from what the agent is told.
#[test]
fn a_learned_need_is_committed_and_told() {
    let mut bench = Bench::owner("vm-0");
    let mut agent = FakeAgent::new("vm-1");
    agent.capacity = amount(64_000, 1 << 18);
    bench.join(&mut agent);
    bench.submit(&job("gold", "first", 10));
    start_all(&mut bench, &mut agent);
    for _ in 0..3 {
        beat_at(&mut bench, &mut agent, 100);
    }
    while let Some(held) = agent.held.first() {
        let token = held.token;
        agent.end(token, PlacementEnd::Finished { digest: 1 });
    }
    bench.beat(&mut agent).unwrap();
    let spec = job("gold", "second", 1);
    bench.submit(&spec);
    bench.pass_with(1_000, &mut [&mut agent]);
    let start = bench.take_starts().remove(0);
    assert!(start.need.processors < 1_000 && start.need.processors >= 500, "{:?}", start.need);
    let state = &bench.book.fold().task(&task(&spec, 0)).unwrap().state;
    assert!(matches!(state, TaskState::Placed { need, .. } if *need == start.need));
}

/// Guards against a reduced allowance that never takes effect on running work,
/// and against stopping more than is needed.
#[test]
fn a_reduced_allowance_stops_the_newest_tasks() {
    let mut bench = Bench::owner("vm-0");
    let mut agent = FakeAgent::new("vm-1");
    bench.join(&mut agent);
    bench.submit(&job("gold", "a", 4));
    start_all(&mut bench, &mut agent);
    assert_eq!(agent.held.len(), 4);
    let newest: Vec<u64> = agent.held.iter().skip(2).map(|held| held.token).collect();
    bench.configure(&[("gold", amount(2_000, 8_192))], DataCentreState::In);
    bench.pass_with(1_500, &mut [&mut agent]);
    let mut stopped: Vec<u64> = bench.take_stops().iter().map(|(_, s)| s.token).collect();
    stopped.sort_unstable();
    stopped.dedup();
    assert_eq!(stopped, newest);
}

fn reply(shards: &[&str]) -> RosterReply {
    let summary = |name: &&str| ShardSummary {
        shard: shard(name),
        data_centre: "north".parse().unwrap(),
        epoch: 1,
        room: ShardRoom::default(),
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

/// Guards against entries that miss a member, keep one that is gone, or get the
/// whole list each second.
#[test]
fn a_roster_is_full_first_and_then_tells_changes() {
    let mut bench = Bench::owner("vm-0");
    let (mut first, mut second) = (FakeAgent::new("vm-1"), FakeAgent::new("vm-2"));
    bench.join(&mut first);
    let mut view = EntryView::default();
    let update = bench.book.roster(bench.now, &mut view).unwrap();
    assert!(update.full && update.members.len() == 1);
    assert_eq!(update.room.free, first.capacity);
    bench.join(&mut second);
    let update = bench.book.roster(bench.now, &mut view).unwrap();
    assert!(!update.full && update.members.len() == 1 && update.number == 2);
    assert_eq!(update.members[0].agent.vm, vm("vm-2"));
    bench.pass_with(11_000, &mut [&mut second]);
    let update = bench.book.roster(bench.now, &mut view).unwrap();
    assert!(update.members.is_empty());
    assert_eq!(update.gone, vec![vm("vm-1")]);
    view.reset();
    let update = bench.book.roster(bench.now, &mut view).unwrap();
    assert!(update.full && update.members.len() == 1);
}

/// Guards against claims of shards that are alive, and against lost shards that
/// nobody claims.
#[test]
fn only_a_shard_unheard_of_for_long_is_silent() {
    let settings = cactusdoor_owner::book::BookSettings {
        shard: shard(SHARD),
        identity: support::identity("vm-0", 5),
        writer: support::writer("vm-0"),
        shards: vec![shard(SHARD), shard("south-0"), shard("west-0")],
    };
    let mut bench = Bench::with_settings(settings, Vec::new());
    bench.claim();
    let mut agent = FakeAgent::new("vm-1");
    let step: Millis = 1_000;
    for second in 0..40 {
        bench.book.roster_answered(bench.now, &reply(&[SHARD, "south-0"]));
        bench.pass_with(step, &mut [&mut agent]);
        let silent = bench.beat(&mut agent).unwrap().silent_shards;
        if second < 28 {
            assert!(silent.is_empty(), "after {second} s");
        }
    }
    assert_eq!(bench.beat(&mut agent).unwrap().silent_shards, vec![shard("west-0")]);
    // Without answers of entries nothing is known of other shards.
    bench.pass_with(10_000, &mut [&mut agent]);
    assert!(bench.beat(&mut agent).unwrap().silent_shards.is_empty());
}

/// Guards against a timeline filled by the same reason over and over.
#[test]
fn a_wait_is_reported_when_its_reason_changes() {
    let mut bench = Bench::owner("vm-0");
    let mut agent = FakeAgent::new("vm-1");
    agent.capacity = ResourceVector::new(1_000, 1_024, 0);
    bench.join(&mut agent);
    bench.submit(&job("gold", "a", 3));
    start_all(&mut bench, &mut agent);
    bench.pass_with(5_000, &mut [&mut agent]);
    let waits = |bench: &Bench| {
        bench.events.iter().filter(|event| matches!(event, EventKind::TaskWaits { .. })).count()
    };
    assert_eq!(waits(&bench), 1);
    bench.configure(&[("gold", amount(100_000, 1 << 20))], DataCentreState::Out);
    bench.pass_with(1_500, &mut [&mut agent]);
    assert_eq!(waits(&bench), 2);
}
