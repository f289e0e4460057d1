//! Control of one worker, without an owner.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cactusdoor_fleet::announcements;
use cactusdoor_fleet::decision_log::DecisionLog;
use cactusdoor_fleet::limits::ClientLimits;
use cactusdoor_fleet::metrics::AgentMetrics;
use cactusdoor_fleet::rejections::Rejections;
use cactusdoor_fleet::worker_controller::{ControllerContext, WorkerController};
use cactusdoor_node::clock::MonotonicClock;
use cactusdoor_platform::worker::WorkerClient;
use cactusdoor_queue::name::WorkerIncarnation;
use cactusdoor_queue::report::{AgentLease, AgentOrder, StartOrder, WorkerInfo};
use cactusdoor_standin::harness::address::free_address;
use cactusdoor_standin::platform_worker::PlatformWorker;
use prometheus::Registry;

/// Pause between two checks of a condition.
const CHECK_PAUSE: Duration = Duration::from_millis(10);
/// Time in which several attempts of a start are made.
const ATTEMPTS_TIME: Duration = Duration::from_millis(600);

fn open() -> (Rc<WorkerController>, PlatformWorker, MonotonicClock) {
    let (announce, address) = (free_address().unwrap(), free_address().unwrap());
    let registry = Registry::new();
    let metrics = AgentMetrics::open(&registry).unwrap();
    let log = DecisionLog::open("a".into(), std::io::sink()).unwrap();
    let rejections = Rejections::new(metrics.rejected.clone(), log);
    let limits = ClientLimits::default();
    let metrics_address = free_address().unwrap();
    let (_, messages) =
        announcements::bind(announce, metrics_address, registry, limits, rejections).unwrap();
    let clock = MonotonicClock::open();
    let controller = WorkerController::spawn(ControllerContext {
        worker: WorkerClient::open(address),
        clock,
        log: DecisionLog::open("a".into(), std::io::sink()).unwrap(),
        metrics,
        lease_limit: 10_000,
        cancel_bound: 10_000,
        harm_bound: 4_000,
        features: cactusdoor_queue::features::SchedulingFeatures::default(),
        messages,
    });
    let worker = PlatformWorker::spawn("i-1", address, announce, "north", Arc::default()).unwrap();
    (controller, worker, clock)
}

/// A lease of the owner of `epoch` that orders one start.
fn lease(epoch: u64, incarnation: &WorkerIncarnation) -> AgentLease {
    let start = StartOrder {
        task: "j.0.0.0".parse().unwrap(),
        incarnation: incarnation.clone(),
        run: 1,
        checkpoint: "".into(),
        payload: Arc::from("5000"),
        latency_bound: 0,
        best_effort: false,
        image: None,
        cpu: 100,
        job_deadline: 0,
    };
    AgentLease {
        epoch,
        incarnation: Some(incarnation.clone()),
        duration: 9_000,
        confirmed: true,
        heartbeat: 0,
        acknowledged: 0,
        acknowledged_runs: Vec::new(),
        orders: vec![(1, AgentOrder::Start(start))],
        interference: None,
    }
}

/// Guards against two loops that repeat the same start: one is refused and reports the run
/// as not started while the call of the other starts it.
#[actix_web::test]
async fn a_start_ordered_again_after_its_worker_was_removed_is_sent_once() {
    let (controller, worker, clock) = open();
    // An agent calls its worker only once it knows an owner.
    controller.state.borrow_mut().adopt(1);
    controller.execute(Vec::new());
    let known = || -> Option<WorkerInfo> { controller.state.borrow().worker.clone() };
    while known().is_none() {
        tokio::time::sleep(CHECK_PAUSE).await;
    }
    let info = known().unwrap();
    worker.set_unresponsive(true);
    let calls = controller.state.borrow_mut().apply_lease(lease(1, &info.incarnation), clock.now());
    assert_eq!(calls.len(), 1);
    controller.execute(calls);
    tokio::time::sleep(ATTEMPTS_TIME).await;
    let calls = {
        let mut state = controller.state.borrow_mut();
        state.remove();
        state.register(info.clone());
        state.apply_lease(lease(2, &info.incarnation), clock.now())
    };
    assert_eq!(calls.len(), 1);
    controller.execute(calls);
    worker.set_unresponsive(false);
    while worker.start_calls() == 0 {
        tokio::time::sleep(CHECK_PAUSE).await;
    }
    tokio::time::sleep(ATTEMPTS_TIME).await;
    assert_eq!((worker.start_calls(), worker.running()), (1, 1));
}
