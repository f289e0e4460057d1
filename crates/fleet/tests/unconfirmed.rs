//! What an owner does not do while the store does not confirm its appends.

use std::time::Duration;

use cactusdoor_core::unit::{Millis, Moment};
use cactusdoor_fleet::candidate::open_appender;
use cactusdoor_fleet::decision_log::DecisionLog;
use cactusdoor_fleet::finder::OwnerHeartbeat;
use cactusdoor_fleet::metrics::OwnerMetrics;
use cactusdoor_fleet::operators::ConfirmedView;
use cactusdoor_fleet::owner::{OwnerBounds, OwnerContext, OwnerTerm};
use cactusdoor_fleet::queue_server::QueueServer;
use cactusdoor_fleet::topic::{OWNER, TASKS};
use cactusdoor_node::clock::{MonotonicClock, unix_ms};
use cactusdoor_platform::store::StoreClient;
use cactusdoor_queue::config::{FleetConfig, OperatorView, QueueConfig, QueueTerms};
use cactusdoor_queue::features::SchedulingFeatures;
use cactusdoor_queue::name::{TaskName, WorkerIncarnation};
use cactusdoor_queue::report::{AgentReport, ReportedRun, WorkerInfo};
use cactusdoor_queue::scheduler::QueueScheduler;
use cactusdoor_queue::spec::{JobSpec, StepSpec, TaskNeed};
use cactusdoor_standin::harness::address::free_address;
use cactusdoor_standin::platform_store::{PlatformStore, StoreMode};
use indexmap::IndexMap;
use prometheus::Registry;

const FEATURES: fn() -> SchedulingFeatures =
    || SchedulingFeatures { moves: true, ..SchedulingFeatures::default() };

fn view() -> OperatorView {
    let terms = QueueTerms { priority: 1, attempts: 3, slack_factor: 2.0, slack_base: 60_000 };
    let queue = QueueConfig {
        name: "q".into(),
        host: "h".into(),
        prefix: "/q/".into(),
        service: "minutes".into(),
        terms,
        timeout: 0,
    };
    let queues = IndexMap::from([(queue.name.clone(), queue.into())]);
    let config = FleetConfig { version: 1, queues, body_bytes: 0 };
    OperatorView { config: Some(config), ..OperatorView::default() }
}

fn best_effort_job() -> JobSpec {
    let need = TaskNeed { cpu: 900, memory: 100, accelerators: 0 };
    let step = StepSpec {
        tasks: 1,
        need,
        best_effort: true,
        checkpoints: true,
        estimate: 20_000,
        ..StepSpec::default()
    };
    JobSpec {
        queue: "q".into(),
        service: "minutes".into(),
        terms: None,
        payload: "text".into(),
        steps: vec![step],
        times: 0,
        first_due: 0,
        interval: 0,
        accepted: unix_ms(),
    }
}

fn report(agent: &str, number: u64, runs: Vec<ReportedRun>) -> AgentReport {
    let worker = WorkerInfo {
        incarnation: WorkerIncarnation { id: format!("i-{agent}").into(), born: 1 },
        service: "minutes".into(),
        data_centre: "north".into(),
        capacity: TaskNeed { cpu: 4_000, memory: 10_000, accelerators: 0 },
        labels: Vec::new(),
        leaves_in: None,
    };
    AgentReport {
        agent: agent.into(),
        incarnation: 1,
        number,
        epoch: 1,
        received: 0,
        worker: Some(worker),
        ended_incarnation: None,
        ended: Vec::new(),
        runs: Some(runs),
        samples: Vec::new(),
        wait: 0,
    }
}

/// A scheduler that is about to move a paused run from `a` to `b`.
fn about_to_move(now: Moment) -> QueueScheduler {
    let ago = |millis: Millis| Moment(now.0 - millis);
    let mut scheduler = QueueScheduler::open(1, ago(3_000));
    scheduler.set_view(view());
    scheduler.set_features(FEATURES());
    scheduler.submit(&"j".into(), best_effort_job());
    scheduler.report(&report("a", 1, Vec::new()), ago(2_000), unix_ms());
    scheduler.place(ago(2_000), unix_ms());
    for effect in scheduler.take_writes().into_iter().filter_map(|write| write.effect) {
        scheduler.release(&effect);
    }
    let task = TaskName { job: "j".into(), occurrence: 0, step: 0, index: 0 };
    assert!(scheduler.workers["a"].runs.contains_key(&task));
    for (number, millis) in [(2, 1_500), (3, 100)] {
        let paused = ReportedRun {
            task: task.clone(),
            run: 1,
            checkpoint: "c".into(),
            percent: Some(30),
            speed: 0,
        };
        scheduler.report(&report("a", number, vec![paused]), ago(millis), unix_ms());
        scheduler.report(&report("b", number, Vec::new()), ago(millis), unix_ms());
    }
    scheduler.take_writes();
    scheduler
}

/// Moves that an owner orders while the store answers no call, `age` ms after its newest
/// confirmed append.
async fn moves_after(age: Millis) -> u64 {
    let store = PlatformStore::open();
    let endpoint = store.open_endpoint(free_address().unwrap()).unwrap();
    store.set_mode(StoreMode::Busy);
    let (client, clock) = (StoreClient::open(endpoint.address()), MonotonicClock::open());
    let now = clock.now();
    let views = tokio::sync::watch::channel(ConfirmedView { view: view(), confirmed: now });
    let metrics = OwnerMetrics::open(&Registry::new()).unwrap();
    let context = OwnerContext {
        name: "a".into(),
        address: free_address().unwrap(),
        store: client.clone(),
        clock,
        log: DecisionLog::open("a".into(), std::io::sink()).unwrap(),
        queue_server: QueueServer::default(),
        views: views.1,
        metrics: metrics.clone(),
        lease_limit: 10_000,
        bounds: OwnerBounds { cancel: 20_000, take_out: 20_000 },
        features: FEATURES(),
    };
    let heartbeat = OwnerHeartbeat {
        epoch: 1,
        owner: "a".into(),
        address: context.address,
        resigned: false,
        repeats_appends: true,
        loads: true,
        backlogs: true,
    };
    let appenders =
        (open_appender(&client, clock, TASKS, 1), open_appender(&client, clock, OWNER, 1));
    let confirmed = Moment(now.0 - age);
    let (scheduler, requests) = (about_to_move(now), (0, now));
    let term = OwnerTerm::open(
        context,
        scheduler,
        requests,
        confirmed,
        (appenders.0, appenders.1, heartbeat),
    );
    let (stop, stopping) = tokio::sync::watch::channel(false);
    // Less than the time after which the agents are silent.
    let run = tokio::time::timeout(Duration::from_millis(700), term.run(stopping));
    assert!(run.await.is_err(), "the term goes on");
    drop(stop);
    metrics.moves.with_label_values(&["slow"]).get()
}

/// Guards against runs that are stopped although no append is confirmed: no end could be stored,
/// so no task would continue elsewhere. An owner without an append under way has the same state
/// as one in order, but for the age of its newest confirmed append.
#[actix_web::test]
async fn no_run_is_moved_while_appends_are_unconfirmed() {
    assert_eq!(moves_after(0).await, 1, "confirmed");
    assert_eq!(moves_after(1_300).await, 0, "unconfirmed");
}
