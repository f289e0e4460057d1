//! Cancellations, evictions, transfers and failures.

mod support;

use assert_matches::assert_matches;
use cactusdoor_core::config::DataCentreState;
use cactusdoor_core::job::{ParkReason, PlacementEnd, TaskOutcome, TaskTransfer};
use cactusdoor_core::resource::{ResourceKind, ResourceVector};
use cactusdoor_core::shard::{TaskRecord, TaskState};
use cactusdoor_log::appender::{NotStored, StoredRecord};
use cactusdoor_owner::scheduler::{CallOutcome, SchedulerSettings};
use cactusdoor_peer::roster::{RosterReply, ShardCapacity, ShardSummary};
use cactusdoor_peer::task::{StopMode, StopReply};
use cactusdoor_timeline::HybridTime;
use cactusdoor_timeline::event::EventKind;
use support::{FakeAgent, SHARD, SchedulerHarness, amount, identity, job, shard, task, vm, writer};

fn start_all(harness: &mut SchedulerHarness, agents: &mut [&mut FakeAgent]) {
    harness.tick();
    for start in harness.take_starts() {
        harness.scheduler.start_answered(harness.now, start.token, CallOutcome::Answered(Ok(())));
        let state = &harness.scheduler.fold().task(&start.task).unwrap().state;
        let TaskState::Placed { vm, .. } = state else { panic!("not placed: {state:?}") };
        let agent = agents.iter_mut().find(|agent| agent.identity.vm == *vm).unwrap();
        agent.add_task(&start);
    }
    for agent in agents {
        harness.send_heartbeat(agent).unwrap();
    }
}

fn answer_stops(harness: &mut SchedulerHarness, end: &PlacementEnd) -> usize {
    let stops = harness.take_stops();
    for (vm, stop) in &stops {
        let answer = CallOutcome::Answered(Ok(StopReply::Ended(end.clone())));
        harness.scheduler.stop_answered(harness.now, vm, stop, answer);
        harness.settle();
    }
    stops.len()
}

/// Guards against many cancellations at once that leave tasks running or place some of
/// them again.
#[test]
fn many_cancellations_stop_every_task_once() {
    let mut harness = SchedulerHarness::owner("vm-0");
    let mut agent = FakeAgent::new("vm-1");
    agent.capacity = amount(400_000, 1 << 20);
    harness.join(&mut agent);
    let specs: Vec<_> = (0..20).map(|key| job("gold", &format!("k{key}"), 3)).collect();
    for spec in &specs {
        harness.submit(spec);
    }
    start_all(&mut harness, &mut [&mut agent]);
    assert_eq!(agent.held.len(), 60);
    for spec in &specs {
        harness.cancel(spec);
    }
    assert!(harness.stops.iter().all(|(_, stop)| stop.mode == StopMode::Cancel));
    agent.held.clear();
    assert_eq!(answer_stops(&mut harness, &PlacementEnd::Cancelled), 60);
    harness.advance_with_heartbeats(5_000, &mut [&mut agent]);
    assert!(harness.take_starts().is_empty() && harness.take_stops().is_empty());
    for spec in &specs {
        let status = harness.scheduler.fold().job(&spec.id).unwrap();
        assert!(status.tasks.values().all(|t| t.state == TaskState::Ended(TaskOutcome::Cancelled)));
    }
}

/// Guards against a cancellation that is lost because its stop was not answered.
#[test]
fn an_unanswered_stop_is_repeated() {
    let mut harness = SchedulerHarness::owner("vm-0");
    let mut agent = FakeAgent::new("vm-1");
    harness.join(&mut agent);
    let spec = job("gold", "a", 1);
    harness.submit(&spec);
    start_all(&mut harness, &mut [&mut agent]);
    harness.cancel(&spec);
    let (name, stop) = harness.take_stops().remove(0);
    harness.scheduler.stop_answered(harness.now, &name, &stop, CallOutcome::Lost);
    harness.advance_with_heartbeats(1_000, &mut [&mut agent]);
    assert!(!harness.take_stops().is_empty());
}

/// Guards against an evicted task that resumes although it was cancelled meanwhile,
/// whichever record comes first.
#[test]
fn a_task_cancelled_while_it_resumes_ends() {
    for cancelled_first in [false, true] {
        let mut harness = SchedulerHarness::owner("vm-0");
        let mut agent = FakeAgent::new("vm-1");
        harness.join(&mut agent);
        let spec = job("gold", "a", 1);
        harness.submit(&spec);
        start_all(&mut harness, &mut [&mut agent]);
        let token = agent.held[0].token;
        let checkpoint = Some("c1".parse().unwrap());
        agent.end(token, PlacementEnd::Evicted { checkpoint });
        harness.stores_appends = false;
        harness.send_heartbeat(&mut agent).unwrap();
        let evicted = harness.open_appends.remove(0);
        harness.store(evicted, true);
        harness.advance_with_heartbeats(1_000, &mut [&mut agent]);
        let resumed = harness.open_appends.remove(0);
        assert_matches!(resumed.record, TaskRecord::TaskPlaced { .. });
        harness.take_starts();
        if cancelled_first {
            harness.cancel(&spec);
            harness.store(resumed, true);
            assert!(harness.take_starts().is_empty());
        } else {
            harness.store(resumed, true);
            let starts = harness.take_starts();
            assert_eq!(starts[0].checkpoint, Some("c1".parse().unwrap()));
            harness.cancel(&spec);
            harness.stores_appends = true;
            assert_eq!(answer_stops(&mut harness, &PlacementEnd::Cancelled), 1);
        }
        let state = &harness.scheduler.fold().task(&task(&spec, 0)).unwrap().state;
        assert_eq!(*state, TaskState::Ended(TaskOutcome::Cancelled));
    }
}

/// Guards against a preemption that ends the task for good: the agent reports a stop
/// without a checkpoint as a cancellation.
#[test]
fn a_stop_without_a_checkpoint_is_recorded_as_an_eviction() {
    let mut harness = SchedulerHarness::owner("vm-0");
    let mut agent = FakeAgent::new("vm-1");
    harness.join(&mut agent);
    let spec = job("gold", "a", 1);
    harness.submit(&spec);
    start_all(&mut harness, &mut [&mut agent]);
    let token = agent.held[0].token;
    agent.end(token, PlacementEnd::Cancelled);
    harness.stores_appends = false;
    harness.send_heartbeat(&mut agent).unwrap();
    let end = harness.open_appends.remove(0);
    assert_matches!(
        end.record,
        TaskRecord::TaskEnded { end: PlacementEnd::Evicted { checkpoint: None }, .. }
    );
}

fn two_shards(owner: &str, own: &str) -> SchedulerSettings {
    SchedulerSettings {
        shard: shard(own),
        identity: identity(owner, 5),
        writer: writer(owner),
        shards: vec![shard(SHARD), shard("south-0")],
    }
}

fn roster_reply(largest: ResourceVector) -> RosterReply {
    let capacity = ShardCapacity { free: largest, largest, pending_tasks: 0 };
    RosterReply {
        at: HybridTime::default(),
        needs_full: false,
        newer_epoch: None,
        entries: Vec::new(),
        shards: vec![ShardSummary {
            shard: shard("south-0"),
            data_centre: "south".parse().unwrap(),
            epoch: 1,
            room: capacity,
        }],
        earlier_members: Vec::new(),
        config_revision: 0,
    }
}

/// A plan whose home is `north-0`.
const HOME_PLAN: &str = "gold";

/// Guards against a data centre out of service that keeps tasks, against a transfer that
/// is forgotten before the target has stored it, and against one confirmed too early.
#[test]
fn a_data_centre_out_of_service_transfers_its_tasks() {
    let mut harness = SchedulerHarness::with_settings(two_shards("vm-0", SHARD), Vec::new());
    harness.claim();
    let mut agent = FakeAgent::new("vm-1");
    harness.join(&mut agent);
    let spec = job(HOME_PLAN, "a", 1);
    harness.submit(&spec);
    start_all(&mut harness, &mut [&mut agent]);
    let plans = [(HOME_PLAN, amount(100_000, 1 << 20))];
    harness.configure(&plans, DataCentreState::Out);
    harness.advance_with_heartbeats(1_500, &mut [&mut agent]);
    assert!(harness.stops.iter().all(|(_, stop)| stop.mode == StopMode::CheckpointAndStop));
    let checkpoint = Some("c1".parse().unwrap());
    agent.held.clear();
    answer_stops(&mut harness, &PlacementEnd::Evicted { checkpoint: checkpoint.clone() });
    harness.advance_with_heartbeats(1_500, &mut [&mut agent]);
    assert!(
        harness.take_starts().is_empty(),
        "nothing starts in a data centre that is out of service"
    );
    assert!(harness.remote_appends.is_empty(), "no other shard has reported free capacity yet");
    harness.scheduler.roster_answered(harness.now, &roster_reply(amount(4_000, 4_096)));
    harness.advance_with_heartbeats(1_500, &mut [&mut agent]);
    assert_eq!(harness.remote_appends.len(), 1);
    let (append_id, target, record) = harness.remote_appends.remove(0);
    assert_eq!(target, shard("south-0"));
    let TaskRecord::TaskReceived { transfer, .. } = &record else { panic!("{record:?}") };
    assert_eq!((transfer.number, &transfer.checkpoint), (1, &checkpoint));
    // The append is lost, so the transfer is repeated with the same number.
    harness.scheduler.appended(harness.now, append_id, Err(NotStored::Lost));
    harness.advance_with_heartbeats(2_000, &mut [&mut agent]);
    assert_eq!(harness.remote_appends.len(), 1);
    let (append_id, _, again) = harness.remote_appends.remove(0);
    assert_eq!(again, record);
    let state = &harness.scheduler.fold().task(&task(&spec, 0)).unwrap().state;
    assert_matches!(state, TaskState::Transferred { confirmed: false, .. });
    harness.scheduler.appended(harness.now, append_id, Ok(StoredRecord { offset: 0, sequence: 1 }));
    harness.advance_with_heartbeats(1_000, &mut [&mut agent]);
    let state = &harness.scheduler.fold().task(&task(&spec, 0)).unwrap().state;
    assert_matches!(state, TaskState::Transferred { confirmed: true, .. });
    let used = harness.scheduler.index().allowances().used(&spec.id.plan);
    assert_eq!(used, spec.need, "the need stays reserved at home");
    // The task is returned as ended.
    let home = TaskTransfer {
        number: 2,
        from: shard("south-0"),
        to: shard(SHARD),
        checkpoint: None,
        ended: Some(TaskOutcome::Finished { digest: 3 }),
        ..transfer.clone()
    };
    harness.store_foreign(
        "vm-7",
        1,
        TaskRecord::TaskReceived { spec: spec.clone(), transfer: home },
    );
    harness.settle();
    assert_eq!(harness.scheduler.index().allowances().used(&spec.id.plan), ResourceVector::ZERO);
}

/// Guards against a transfer that a new owner forgets, or repeats under a new number.
#[test]
fn a_new_owner_repeats_an_unconfirmed_transfer() {
    let mut harness = SchedulerHarness::with_settings(two_shards("vm-0", SHARD), Vec::new());
    harness.claim();
    harness.submit(&job(HOME_PLAN, "a", 1));
    harness.configure(&[(HOME_PLAN, amount(100_000, 1 << 20))], DataCentreState::Out);
    harness.scheduler.roster_answered(harness.now, &roster_reply(amount(4_000, 4_096)));
    harness.advance(1_500);
    let (_, _, first) = harness.remote_appends.remove(0);
    let mut next =
        SchedulerHarness::with_settings(two_shards("vm-9", SHARD), harness.stream.clone());
    next.claim();
    next.advance(1_500);
    let repeated: Vec<_> =
        next.remote_appends.iter().map(|(_, _, record)| record.clone()).collect();
    assert_eq!(repeated, vec![first]);
}

/// Guards against a task that runs again because its transfer was repeated.
#[test]
fn a_repeated_transfer_is_received_once() {
    let mut harness = SchedulerHarness::with_settings(two_shards("vm-0", "south-0"), Vec::new());
    harness.claim();
    let mut agent = FakeAgent::new("vm-1");
    harness.join(&mut agent);
    let spec = job(HOME_PLAN, "a", 1);
    let transfer = TaskTransfer {
        task: task(&spec, 0),
        number: 1,
        from: shard(SHARD),
        to: shard("south-0"),
        checkpoint: None,
        ended: None,
    };
    let received = TaskRecord::TaskReceived { spec: spec.clone(), transfer };
    harness.store_foreign("vm-5", 1, received.clone());
    start_all(&mut harness, &mut [&mut agent]);
    assert_eq!(agent.held.len(), 1);
    harness.store_foreign("vm-6", 1, received.clone());
    harness.advance_with_heartbeats(1_000, &mut [&mut agent]);
    assert!(harness.take_starts().is_empty());
    let token = agent.held[0].token;
    agent.end(token, PlacementEnd::Finished { digest: 1 });
    harness.advance_with_heartbeats(3_000, &mut [&mut agent]);
    // The end is sent to the home shard, and another repetition still changes nothing.
    let (append_id, target, record) = harness.remote_appends.remove(0);
    assert_eq!(target, shard(SHARD));
    assert_matches!(record, TaskRecord::TaskReceived { transfer, .. } if transfer.number == 2);
    harness.scheduler.appended(harness.now, append_id, Ok(StoredRecord { offset: 9, sequence: 1 }));
    harness.store_foreign("vm-8", 1, received);
    harness.advance_with_heartbeats(3_000, &mut [&mut agent]);
    assert!(harness.take_starts().is_empty());
}

/// Guards against a cancellation that does not reach tasks in other shards.
#[test]
fn a_cancellation_is_forwarded_to_the_shard_of_a_transferred_task() {
    let mut harness = SchedulerHarness::with_settings(two_shards("vm-0", SHARD), Vec::new());
    harness.claim();
    let spec = job(HOME_PLAN, "a", 1);
    harness.submit(&spec);
    harness.configure(&[(HOME_PLAN, amount(100_000, 1 << 20))], DataCentreState::Out);
    harness.scheduler.roster_answered(harness.now, &roster_reply(amount(4_000, 4_096)));
    harness.advance(1_500);
    let (append_id, _, _) = harness.remote_appends.remove(0);
    harness.scheduler.appended(harness.now, append_id, Ok(StoredRecord { offset: 0, sequence: 1 }));
    harness.advance(500);
    harness.cancel(&spec);
    harness.advance(1_500);
    let cancelled = TaskRecord::JobCancelled(spec.id.clone());
    assert!(
        harness
            .remote_appends
            .iter()
            .any(|(_, to, record)| { *to == shard("south-0") && *record == cancelled })
    );
}

/// Guards against parking jobs because one VM fails all its tasks.
#[test]
fn jobs_end_unparked_although_one_vm_fails_all_its_tasks() {
    let mut harness = SchedulerHarness::owner("vm-0");
    let (mut bad, mut good) = (FakeAgent::new("vm-1"), FakeAgent::new("vm-2"));
    harness.join(&mut bad);
    harness.join(&mut good);
    for key in 0..6 {
        harness.submit(&job("gold", &format!("k{key}"), 1));
    }
    for _ in 0..40 {
        start_all(&mut harness, &mut [&mut bad, &mut good]);
        while let Some(held) = bad.held.first() {
            let token = held.token;
            bad.end(token, PlacementEnd::Failed);
        }
        while let Some(held) = good.held.first() {
            let token = held.token;
            good.end(token, PlacementEnd::Finished { digest: 1 });
        }
        harness.advance_with_heartbeats(500, &mut [&mut bad, &mut good]);
    }
    let ended = |state: &TaskState| matches!(state, TaskState::Ended(_));
    assert!(harness.scheduler.fold().jobs().all(|job| job.tasks.values().all(|t| ended(&t.state))));
    assert!(!harness.events.iter().any(|event| matches!(event, EventKind::JobParked { .. })));
}

/// Guards against quarantining VMs because one job fails on all of them.
#[test]
fn a_failing_job_is_parked_and_retried_later() {
    let mut harness = SchedulerHarness::owner("vm-0");
    let mut agents: Vec<FakeAgent> =
        ["vm-1", "vm-2", "vm-3", "vm-4"].into_iter().map(FakeAgent::new).collect();
    for agent in &mut agents {
        harness.join(agent);
    }
    let spec = job("gold", "bad", 1);
    harness.submit(&spec);
    let mut parked_at = None;
    for _ in 0..200 {
        let mut refs: Vec<&mut FakeAgent> = agents.iter_mut().collect();
        start_all(&mut harness, &mut refs);
        for agent in &mut refs {
            while let Some(held) = agent.held.first() {
                let token = held.token;
                agent.end(token, PlacementEnd::Failed);
            }
        }
        harness.advance_with_heartbeats(500, &mut refs);
        let parked = harness.scheduler.fold().job(&spec.id).unwrap().parked.clone();
        match (parked_at, parked) {
            (None, Some(reason)) => {
                assert_matches!(reason, ParkReason::FailsEverywhere { vms: 3 });
                parked_at = Some(harness.now);
            }
            (Some(_), None) => return,
            _ => {}
        }
        let quarantined = |event: &EventKind| matches!(event, EventKind::VmQuarantined { .. });
        assert!(!harness.events.iter().any(quarantined));
    }
    panic!("parked at {parked_at:?}, never released");
}

/// Guards against a job that can never run and waits without a reported reason, and
/// against one that stays parked when a larger VM joins.
#[test]
fn a_job_that_fits_nowhere_is_parked_until_a_larger_vm_joins() {
    let mut harness = SchedulerHarness::owner("vm-0");
    let mut agent = FakeAgent::new("vm-1");
    harness.join(&mut agent);
    let spec = cactusdoor_core::job::JobSpec { need: amount(1_000, 16_384), ..job("gold", "a", 1) };
    harness.submit(&spec);
    harness.advance_with_heartbeats(15_000, &mut [&mut agent]);
    let parked = harness.scheduler.fold().job(&spec.id).unwrap().parked.clone();
    assert_eq!(parked, Some(ParkReason::NeverFits(ResourceKind::Memory)));
    let mut larger = FakeAgent::new("vm-2");
    larger.capacity = amount(4_000, 32_768);
    harness.join(&mut larger);
    harness.advance_with_heartbeats(2_000, &mut [&mut agent, &mut larger]);
    assert_eq!(harness.take_starts().len(), 1);
    assert_eq!(harness.scheduler.index().vm(&vm("vm-2")).unwrap().tasks.len(), 1);
}

/// Guards against a job beyond its plan's allowance that blocks other jobs, or runs
/// anyway.
#[test]
fn a_job_beyond_its_allowance_is_parked_until_the_allowance_grows() {
    let mut harness = SchedulerHarness::owner("vm-0");
    let mut agent = FakeAgent::new("vm-1");
    harness.join(&mut agent);
    let spec = cactusdoor_core::job::JobSpec { need: amount(3_000, 1_024), ..job("tin", "a", 1) };
    harness.submit(&spec);
    harness.advance_with_heartbeats(1_000, &mut [&mut agent]);
    let parked = harness.scheduler.fold().job(&spec.id).unwrap().parked.clone();
    assert_eq!(parked, Some(ParkReason::ExceedsAllowance(ResourceKind::Processors)));
    harness.configure(&[("tin", amount(3_000, 4_096))], DataCentreState::In);
    harness.advance_with_heartbeats(2_000, &mut [&mut agent]);
    assert_eq!(harness.take_starts().len(), 1);
}
