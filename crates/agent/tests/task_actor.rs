//! The task task_actor between an owner and a worker that fail.

mod support;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix::Addr;
use cactusdoor_agent::ledger::LedgerLimits;
use cactusdoor_agent::metrics::AgentMetrics;
use cactusdoor_agent::ownership::OwnershipPort;
use cactusdoor_agent::relay::{RelaySettings, RequestRelay};
use cactusdoor_agent::routes::AgentReport;
use cactusdoor_agent::task_actor::{
    DescribeAgent, DrainTasks, NoteOwner, StartTasks, StopTasks, TaskActor, TaskActorSettings,
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

/// Far beyond what any test needs.
const PATIENCE: Duration = Duration::from_secs(30);
const LIMITS: LedgerLimits = LedgerLimits { claims: 1_000, answer_bytes: 1_000 };

struct Bench {
    task_actor: Addr<TaskActor>,
    owner: Rc<RefCell<OwnerState>>,
    monitor: ProcessMonitor,
}

fn own_address() -> SocketAddr {
    "127.0.0.1:9".parse().unwrap()
}

fn bench(worker: SocketAddr) -> Bench {
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
        ownership: OwnershipPort::of(&host),
        upstreams: relay.recipient(),
        metrics,
    });
    Bench { task_actor, owner, monitor }
}

/// Waits until the condition holds.
async fn until(condition: impl Fn() -> bool) {
    let held = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(PATIENCE, held).await.expect("condition does not come true");
}

impl Bench {
    async fn report(&self) -> AgentReport {
        self.task_actor.send(DescribeAgent).await.unwrap()
    }

    /// Waits for the inventory and the first answer of the owner.
    async fn ready(&self) {
        until(|| !self.owner.borrow().beats.is_empty()).await;
        let leased = async { while self.report().await.lease_left_ms == 0 {} };
        tokio::time::timeout(PATIENCE, leased).await.unwrap();
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

/// Guards against ends that the owner does not hear of, or that stay at the worker.
#[actix_rt::test]
async fn end_of_a_task_reaches_the_owner_and_is_acknowledged() {
    let worker = FakeWorker::spawn();
    let bench = bench(worker.address);
    bench.ready().await;
    bench.start(small(10, 1)).await.unwrap();
    assert_eq!(worker.state().starts, [10]);
    until(|| !worker.state().renewals.is_empty()).await;
    worker.state().end(10, TaskEnd::Finished { digest: 3 });
    until(|| bench.end_of(10).is_some()).await;
    assert_eq!(bench.end_of(10), Some(PlacementEnd::Finished { digest: 3 }));
    until(|| worker.state().ended.is_empty()).await;
    assert!(bench.report().await.held.is_empty());
}

/// Guards against a second start, or a refusal, after an answer that was lost.
#[actix_rt::test]
async fn lost_answer_of_a_start_is_resolved_by_the_inventory() {
    let worker = FakeWorker::spawn();
    let bench = bench(worker.address);
    bench.ready().await;
    worker.state().mode = StartMode::RunAndFail;
    assert_eq!(bench.start(small(10, 1)).await, Ok(()));
    let running = async {
        while bench.report().await.held[0].state != RunState::Running {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(PATIENCE, running).await.unwrap();
    assert_eq!(worker.state().starts, [10]);
}

/// Guards against a reservation that is kept for ever, or freed before the worker
/// has shown for a while that it does not run the task.
#[actix_rt::test]
async fn failed_start_ends_as_refused_after_the_worker_was_asked() {
    let worker = FakeWorker::spawn();
    let bench = bench(worker.address);
    bench.ready().await;
    worker.state().mode = StartMode::Fail;
    assert_eq!(bench.start(small(10, 1)).await, Ok(()));
    assert_ne!(bench.report().await.committed.processors, 0);
    until(|| bench.end_of(10).is_some()).await;
    let refused = PlacementEnd::Refused(StartRefusal::WorkerFailed);
    assert_eq!(bench.end_of(10), Some(refused));
    assert_eq!(bench.report().await.committed.processors, 0);
}

/// Guards against reservations that a definite refusal of the worker leaves behind.
#[actix_rt::test]
async fn refusal_of_the_worker_frees_the_reservation() {
    let worker = FakeWorker::spawn();
    let bench = bench(worker.address);
    bench.ready().await;
    worker.state().mode = StartMode::Refuse;
    assert_eq!(bench.start(small(10, 1)).await, Err(StartRefusal::WorkerFailed));
    assert_eq!(bench.report().await.committed.processors, 0);
}

/// Guards against a restarted agent that refuses a start although its earlier run
/// had passed it to the worker: the refusal would be recorded as an end.
#[actix_rt::test]
async fn starts_wait_for_the_inventory() {
    let worker = FakeWorker::spawn();
    let address = worker.address;
    worker.state().running.insert(10, support::listed(10, 8_000));
    let bench = bench(address);
    let mut late = small(10, 1);
    late.agent_incarnation = INCARNATION - 1;
    assert_eq!(bench.start(late).await, Ok(()));
    let mut unknown = small(11, 1);
    unknown.agent_incarnation = INCARNATION - 1;
    assert_eq!(bench.start(unknown).await, Err(StartRefusal::NotReady));
    assert!(worker.state().starts.is_empty());
}

/// Guards against an owner that takes an empty list for what runs here.
#[actix_rt::test]
async fn first_heartbeat_lists_what_runs() {
    let worker = FakeWorker::spawn();
    worker.state().running.insert(10, support::listed(10, 8_000));
    let bench = bench(worker.address);
    bench.ready().await;
    let owner = bench.owner.borrow();
    assert_eq!(owner.beats[0].held[0].token, 10);
    assert_ne!(owner.beats[0].lease_left_ms, 0);
}

/// Guards against tasks that go on under a lease that nobody renews, against lost
/// progress, and against worker leases beyond the own one.
#[actix_rt::test]
async fn silent_owner_ends_the_tasks_with_checkpoints() {
    let worker = FakeWorker::spawn();
    let bench = bench(worker.address);
    bench.owner.borrow_mut().lease = 2_500;
    bench.ready().await;
    bench.start(small(10, 1)).await.unwrap();
    bench.owner.borrow_mut().silent = true;
    until(|| !worker.state().stops.is_empty()).await;
    let state = worker.state();
    assert_eq!(state.stops[0].0, 10);
    assert!(state.stops[0].1.checkpoint);
    assert!(state.renewals.iter().all(|(_, lease)| *lease <= 2_500));
    drop(state);
    let lapsed = |event: &EventKind| matches!(event, EventKind::LeaseLapsed { .. });
    let events = bench.monitor.events.page(0, 1_000).events;
    assert!(events.iter().any(|event| lapsed(&event.kind)));
}

/// Guards against an agent that stays with an owner that is lost.
#[actix_rt::test]
async fn silent_owner_is_replaced_by_the_newest_one() {
    let worker = FakeWorker::spawn();
    let bench = bench(worker.address);
    bench.ready().await;
    bench.owner.borrow_mut().silent = true;
    let found = bench.owner.borrow().finds.len();
    until(|| bench.owner.borrow().finds.len() > found).await;
    assert!(*bench.owner.borrow().finds.last().unwrap() >= OWNER_TIMEOUT);
    bench.owner.borrow_mut().epoch = 2;
    bench.owner.borrow_mut().silent = false;
    let adopted = async {
        while bench.report().await.epoch != 2 {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(PATIENCE, adopted).await.unwrap();
    assert_eq!(bench.start(small(10, 1)).await, Err(StartRefusal::EpochStale));
}

/// Guards against an agent that sends no heartbeats while a search for the owner
/// hangs in a log outage, although the owner answers again.
#[actix_rt::test]
async fn owner_that_returns_during_a_search_is_heard() {
    let worker = FakeWorker::spawn();
    let bench = bench(worker.address);
    bench.ready().await;
    bench.owner.borrow_mut().search_hangs = true;
    bench.owner.borrow_mut().silent = true;
    let found = bench.owner.borrow().finds.len();
    until(|| bench.owner.borrow().finds.len() > found).await;
    bench.owner.borrow_mut().silent = false;
    let beats = bench.owner.borrow().beats.len();
    until(|| bench.owner.borrow().beats.len() >= beats + 2).await;
    assert_eq!(bench.start(small(10, 1)).await, Ok(()));
}

/// Guards against a placement of the replaced owner after its successor announced
/// itself, before the first heartbeat to the successor.
#[actix_rt::test]
async fn announced_owner_ends_the_earlier_epoch() {
    let worker = FakeWorker::spawn();
    let bench = bench(worker.address);
    bench.ready().await;
    let notice = OwnerNotice { shard: "dc1-0".parse().unwrap(), epoch: 5, address: own_address() };
    bench.owner.borrow_mut().epoch = 5;
    bench.task_actor.send(NoteOwner(notice)).await.unwrap();
    assert_eq!(bench.start(small(10, 1)).await, Err(StartRefusal::EpochStale));
    assert_eq!(bench.start(small(11, 5)).await, Ok(()));
}

/// Guards against an owner that gets no end for a stop, or the wrong one.
#[actix_rt::test]
async fn stops_are_acknowledged_with_the_end() {
    let worker = FakeWorker::spawn();
    let bench = bench(worker.address);
    bench.ready().await;
    for token in [10, 11, 12] {
        bench.start(small(token, 1)).await.unwrap();
    }
    let checkpoint = Some("checkpoint-10".parse().unwrap());
    let evicted = StopReply::Ended(PlacementEnd::Evicted { checkpoint });
    assert_eq!(bench.stop(10, StopMode::CheckpointAndStop).await, Ok(evicted));
    let cancelled = StopReply::Ended(PlacementEnd::Cancelled);
    assert_eq!(bench.stop(11, StopMode::Cancel).await, Ok(cancelled));
    assert_eq!(bench.stop(12, StopMode::Throttle(40)).await, Ok(StopReply::Throttled));
    assert_eq!(bench.stop(13, StopMode::Cancel).await, Ok(StopReply::NotRunning));
    assert!(bench.start(small(13, 1)).await.is_err());
}

/// Guards against a graceful stop that loses tasks, their progress or their ends.
#[actix_rt::test]
async fn drain_checkpoints_tasks_and_reports_their_ends() {
    let worker = FakeWorker::spawn();
    let bench = bench(worker.address);
    bench.ready().await;
    bench.start(small(10, 1)).await.unwrap();
    bench.task_actor.send(DrainTasks).await.unwrap();
    let checkpoint = Some("checkpoint-10".parse().unwrap());
    assert_eq!(bench.end_of(10), Some(PlacementEnd::Evicted { checkpoint }));
    assert_eq!(bench.start(small(11, 1)).await, Err(StartRefusal::Draining));
}
