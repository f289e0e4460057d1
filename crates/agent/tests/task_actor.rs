//! The task actor with an owner and a worker that fail.

mod support;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix::Addr;
use cactusdoor_agent::claims::ClaimLimits;
use cactusdoor_agent::metrics::AgentMetrics;
use cactusdoor_agent::ownership::OwnershipRecipients;
use cactusdoor_agent::relay::{RelaySettings, RequestRelay};
use cactusdoor_agent::routes::AgentReport;
use cactusdoor_agent::task_actor::{
    AnnounceOwner, DescribeAgent, DrainTasks, StartTasks, StopTasks, TaskActor, TaskActorSettings,
};
use cactusdoor_core::constants::OWNER_TIMEOUT;
use cactusdoor_core::job::{PlacementEnd, StartRefusal};
use cactusdoor_node::clock::MonotonicClock;
use cactusdoor_node::monitor::ProcessMonitor;
use cactusdoor_peer::heartbeat::{AgentIdentity, OwnerNotice, RunState};
use cactusdoor_peer::task::{StopMode, StopReply, TaskRefusal, TaskStart};
use cactusdoor_timeline::{EventKind, EventLog};
use cactusdoor_upstream::UpstreamRegistry;
use cactusdoor_worker::{TaskEnd, WorkerClient};
use support::fake_owner::{FakeOwner, OwnerState};
use support::fake_worker::{FakeWorker, StartMode};
use support::{INCARNATION, small, stop};

/// Far longer than any test needs.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const LIMITS: ClaimLimits = ClaimLimits { claims: 1_000, answer_bytes: 1_000 };

struct AgentHarness {
    task_actor: Addr<TaskActor>,
    owner: Rc<RefCell<OwnerState>>,
    monitor: ProcessMonitor,
}

fn own_address() -> SocketAddr {
    "127.0.0.1:9".parse().unwrap()
}

fn harness(worker: SocketAddr) -> AgentHarness {
    let clock = MonotonicClock::open();
    let events = EventLog::open("agent".parse().unwrap());
    let monitor = ProcessMonitor::open(events.clone());
    let metrics = AgentMetrics::open(&monitor.registry).unwrap();
    let (host, owner) = FakeOwner::spawn(own_address());
    let relay = RequestRelay::spawn(RelaySettings {
        incarnation: INCARNATION,
        clock,
        upstreams: UpstreamRegistry::open("vm".parse().unwrap(), clock, events),
        limits: LIMITS,
        metrics: metrics.clone(),
    });
    let task_actor = TaskActor::spawn(TaskActorSettings {
        identity: AgentIdentity {
            vm: "vm".parse().unwrap(),
            incarnation: INCARNATION,
            address: own_address(),
            data_centre: "dc1".parse().unwrap(),
            rack: "r1".parse().unwrap(),
        },
        shard: "dc1-0".parse().unwrap(),
        clock,
        monitor: monitor.clone(),
        worker: WorkerClient::open(worker),
        worker_poll: 20,
        ownership: OwnershipRecipients::of(&host),
        upstreams: relay.recipient(),
        metrics,
    });
    AgentHarness { task_actor, owner, monitor }
}

/// Waits until the condition holds.
async fn until(condition: impl Fn() -> bool) {
    let held = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, held).await.expect("condition did not become true in time");
}

impl AgentHarness {
    async fn report(&self) -> AgentReport {
        self.task_actor.send(DescribeAgent).await.unwrap()
    }

    /// Waits for the inventory and the first answer of the owner.
    async fn ready(&self) {
        until(|| !self.owner.borrow().heartbeats.is_empty()).await;
        let leased = async { while self.report().await.lease_left_ms == 0 {} };
        tokio::time::timeout(TEST_TIMEOUT, leased).await.unwrap();
    }

    async fn start(&self, start: TaskStart) -> Result<(), StartRefusal> {
        self.task_actor.send(StartTasks(vec![start])).await.unwrap().remove(0)
    }

    async fn stop(&self, token: u64, mode: StopMode) -> Result<StopReply, TaskRefusal> {
        self.task_actor.send(StopTasks(vec![stop(token, 1, mode)])).await.unwrap().remove(0)
    }

    fn end_of(&self, token: u64) -> Option<PlacementEnd> {
        let owner = self.owner.borrow();
        owner.ends.iter().find(|(ended, _)| *ended == token).map(|(_, end)| end.clone())
    }
}

/// Guards against task ends that are not reported to the owner or not acknowledged to the
/// worker.
#[actix_rt::test]
async fn end_of_a_task_reaches_the_owner_and_is_acknowledged() {
    let worker = FakeWorker::spawn();
    let harness = harness(worker.address);
    harness.ready().await;
    harness.start(small(10, 1)).await.unwrap();
    assert_eq!(worker.state().starts, [10]);
    until(|| !worker.state().renewals.is_empty()).await;
    worker.state().end(10, TaskEnd::Finished { digest: 3 });
    until(|| harness.end_of(10).is_some()).await;
    assert_eq!(harness.end_of(10), Some(PlacementEnd::Finished { digest: 3 }));
    until(|| worker.state().ended.is_empty()).await;
    assert!(harness.report().await.held.is_empty());
}

/// Guards against a second start, or a refusal, after the worker's answer was lost.
#[actix_rt::test]
async fn lost_answer_of_a_start_is_resolved_by_the_inventory() {
    let worker = FakeWorker::spawn();
    let harness = harness(worker.address);
    harness.ready().await;
    worker.state().mode = StartMode::RunAndFail;
    assert_eq!(harness.start(small(10, 1)).await, Ok(()));
    let running = async {
        while harness.report().await.held[0].state != RunState::Running {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, running).await.unwrap();
    assert_eq!(worker.state().starts, [10]);
}

/// Guards against a reservation that is kept for ever, or released before inventories
/// have shown for long enough that the worker does not run the task.
#[actix_rt::test]
async fn unconfirmed_start_that_never_runs_ends_as_refused() {
    let worker = FakeWorker::spawn();
    let harness = harness(worker.address);
    harness.ready().await;
    worker.state().mode = StartMode::Fail;
    assert_eq!(harness.start(small(10, 1)).await, Ok(()));
    assert_ne!(harness.report().await.committed.processors, 0);
    until(|| harness.end_of(10).is_some()).await;
    let refused = PlacementEnd::Refused(StartRefusal::WorkerFailed);
    assert_eq!(harness.end_of(10), Some(refused));
    assert_eq!(harness.report().await.committed.processors, 0);
}

/// Guards against keeping a reservation after the worker has refused the start.
#[actix_rt::test]
async fn refusal_of_the_worker_releases_the_reservation() {
    let worker = FakeWorker::spawn();
    let harness = harness(worker.address);
    harness.ready().await;
    worker.state().mode = StartMode::Refuse;
    assert_eq!(harness.start(small(10, 1)).await, Err(StartRefusal::WorkerFailed));
    assert_eq!(harness.report().await.committed.processors, 0);
}

/// Guards against a restarted agent that refuses a start which its earlier incarnation
/// had sent to the worker: the owner would record the refusal as the task's end.
#[actix_rt::test]
async fn starts_wait_for_the_inventory() {
    let worker = FakeWorker::spawn();
    let address = worker.address;
    worker.state().running.insert(10, support::listed(10, 8_000));
    let harness = harness(address);
    let mut late = small(10, 1);
    late.agent_incarnation = INCARNATION - 1;
    assert_eq!(harness.start(late).await, Ok(()));
    let mut unknown = small(11, 1);
    unknown.agent_incarnation = INCARNATION - 1;
    assert_eq!(harness.start(unknown).await, Err(StartRefusal::NotReady));
    assert!(worker.state().starts.is_empty());
}

/// Guards against a first heartbeat without the running tasks: the owner treats it as
/// the complete list.
#[actix_rt::test]
async fn first_heartbeat_lists_the_running_tasks() {
    let worker = FakeWorker::spawn();
    worker.state().running.insert(10, support::listed(10, 8_000));
    let harness = harness(worker.address);
    harness.ready().await;
    let owner = harness.owner.borrow();
    assert_eq!(owner.heartbeats[0].held[0].token, 10);
    assert_ne!(owner.heartbeats[0].lease_left_ms, 0);
}

/// Guards against tasks that run on after their lease is no longer renewed, against lost
/// progress, and against worker leases longer than the agent's own.
#[actix_rt::test]
async fn tasks_are_checkpointed_and_stopped_when_the_owner_is_silent() {
    let worker = FakeWorker::spawn();
    let harness = harness(worker.address);
    harness.owner.borrow_mut().lease = 2_500;
    harness.ready().await;
    harness.start(small(10, 1)).await.unwrap();
    harness.owner.borrow_mut().silent = true;
    until(|| !worker.state().stops.is_empty()).await;
    let state = worker.state();
    assert_eq!(state.stops[0].0, 10);
    assert!(state.stops[0].1.checkpoint);
    assert!(state.renewals.iter().all(|(_, lease)| *lease <= 2_500));
    drop(state);
    let lapsed = |event: &EventKind| matches!(event, EventKind::LeaseLapsed { .. });
    let events = harness.monitor.events.page(0, 1_000).events;
    assert!(events.iter().any(|event| lapsed(&event.kind)));
}

/// Guards against an agent that keeps calling an owner that does not answer.
#[actix_rt::test]
async fn silent_owner_is_replaced_by_the_newest_one() {
    let worker = FakeWorker::spawn();
    let harness = harness(worker.address);
    harness.ready().await;
    harness.owner.borrow_mut().silent = true;
    let searches = harness.owner.borrow().searches.len();
    until(|| harness.owner.borrow().searches.len() > searches).await;
    assert!(*harness.owner.borrow().searches.last().unwrap() >= OWNER_TIMEOUT);
    harness.owner.borrow_mut().epoch = 2;
    harness.owner.borrow_mut().silent = false;
    let adopted = async {
        while harness.report().await.epoch != 2 {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, adopted).await.unwrap();
    assert_eq!(harness.start(small(10, 1)).await, Err(StartRefusal::EpochStale));
}

/// Guards against an agent that sends no heartbeats while its search for the owner hangs
/// in a log outage, although the owner answers again.
#[actix_rt::test]
async fn owner_that_answers_again_during_a_search_gets_heartbeats() {
    let worker = FakeWorker::spawn();
    let harness = harness(worker.address);
    harness.ready().await;
    harness.owner.borrow_mut().search_hangs = true;
    harness.owner.borrow_mut().silent = true;
    let searches = harness.owner.borrow().searches.len();
    until(|| harness.owner.borrow().searches.len() > searches).await;
    harness.owner.borrow_mut().silent = false;
    let heartbeats = harness.owner.borrow().heartbeats.len();
    until(|| harness.owner.borrow().heartbeats.len() >= heartbeats + 2).await;
    assert_eq!(harness.start(small(10, 1)).await, Ok(()));
}

/// Guards against accepting a start of the replaced owner after its successor announced
/// itself, before the first heartbeat to the successor.
#[actix_rt::test]
async fn announced_owner_makes_the_earlier_epoch_stale() {
    let worker = FakeWorker::spawn();
    let harness = harness(worker.address);
    harness.ready().await;
    let notice = OwnerNotice { shard: "dc1-0".parse().unwrap(), epoch: 5, address: own_address() };
    harness.owner.borrow_mut().epoch = 5;
    harness.task_actor.send(AnnounceOwner(notice)).await.unwrap();
    assert_eq!(harness.start(small(10, 1)).await, Err(StartRefusal::EpochStale));
    assert_eq!(harness.start(small(11, 5)).await, Ok(()));
}

/// Guards against stops that are answered without the task's end or with a wrong one.
#[actix_rt::test]
async fn stops_are_answered_with_the_end_of_the_task() {
    let worker = FakeWorker::spawn();
    let harness = harness(worker.address);
    harness.ready().await;
    for token in [10, 11, 12] {
        harness.start(small(token, 1)).await.unwrap();
    }
    let checkpoint = Some("checkpoint-10".parse().unwrap());
    let evicted = StopReply::Ended(PlacementEnd::Evicted { checkpoint });
    assert_eq!(harness.stop(10, StopMode::CheckpointAndStop).await, Ok(evicted));
    let cancelled = StopReply::Ended(PlacementEnd::Cancelled);
    assert_eq!(harness.stop(11, StopMode::Cancel).await, Ok(cancelled));
    assert_eq!(harness.stop(12, StopMode::Throttle(40)).await, Ok(StopReply::Throttled));
    assert_eq!(harness.stop(13, StopMode::Cancel).await, Ok(StopReply::NotRunning));
    assert!(harness.start(small(13, 1)).await.is_err());
}

/// Guards against a graceful stop that loses tasks, their progress or their ends.
#[actix_rt::test]
async fn drain_checkpoints_tasks_and_reports_their_ends() {
    let worker = FakeWorker::spawn();
    let harness = harness(worker.address);
    harness.ready().await;
    harness.start(small(10, 1)).await.unwrap();
    harness.task_actor.send(DrainTasks).await.unwrap();
    let checkpoint = Some("checkpoint-10".parse().unwrap());
    assert_eq!(harness.end_of(10), Some(PlacementEnd::Evicted { checkpoint }));
    assert_eq!(harness.start(small(11, 1)).await, Err(StartRefusal::Draining));
}
