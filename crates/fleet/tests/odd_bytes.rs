//! Random values and bytes in everything that a process reads: each is decoded and applied as
//! the daemons do, without a panic.

mod odd_values;

use std::time::Duration;

use bytes::Bytes;
use cactusdoor_core::unit::Moment;
use cactusdoor_fleet::finder::OwnerHeartbeat;
use cactusdoor_fleet::follower::TopicUpdate;
use cactusdoor_fleet::loading::StoredState;
use cactusdoor_fleet::operators::OperatorFold;
use cactusdoor_fleet::worker_controller::AnnouncementFilter;
use cactusdoor_platform::store::{KeyedRecord, LogPage, NewestPage, StoreClient, StoredRecord};
use cactusdoor_platform::{announcement, config, submission, worker};
use cactusdoor_queue::agent::{AgentState, ReportContent};
use cactusdoor_queue::config::{OperatorView, QueueConfig, QueueTerms};
use cactusdoor_queue::name::WorkerIncarnation;
use cactusdoor_queue::report::{AgentLease, AgentOrder, StartOrder};
use cactusdoor_queue::scheduler::QueueScheduler;
use cactusdoor_queue::spec::JobSpec;
use cactusdoor_standin::harness::address::free_address;
use cactusdoor_standin::platform_store::PlatformStore;
use odd_values::odd_document;
use proptest::prelude::*;
use serde_json::{Value, json};

const NOW: Moment = Moment(4_000_000);
const UNIX: u64 = 1_700_000_000_000;

fn announcement_document() -> Value {
    json!({"service": "s", "address": "10.0.0.1:80", "zone": "z", "state": "draining",
        "remainingMs": 1_800, "capacity": {"cpu": 16_000, "memMb": 32_768, "gpu": 0},
        "labels": ["a", "r1"], "clockMs": 482_113, "seqNo": 4, "born": 77})
}

fn list_document() -> Value {
    json!({"clockMs": 5, "born": 77,
        "running": [["j.0.0.0", 1, "c", 41, 120], ["j.0.0.1", 1, "", 100, 900]],
        "ended": [[8, "j.0.0.2", 1, "done", ""], [9, "j.0.0.3", 2, "failed", "c"]]})
}

fn config_document() -> Value {
    let route = |name: &str| {
        json!({"name": name, "host": "h", "pathPrefix": "/q/", "service": "s", "timeoutMs": 3_000,
            "targetLatencyMs": 250, "priority": 1, "maxAttempts": 4, "slackFactor": 1.5})
    };
    json!({"version": 7, "routes": [route("q"), route("r")], "services": [{"name": "s"}],
        "limits": {"maxBodyBytes": 262_144}})
}

fn job_document() -> Value {
    json!({"spec": "text", "iterations": 2, "startTimeMs": 1_000, "intervalMs": 500, "steps": [
        {"count": 2, "cpu": 500, "memMb": 256, "estimateMs": 900, "affinity": "r1", "image": "x",
            "targetMs": 150, "longRunning": true},
        {"count": 2, "cpu": 500, "gpu": 1, "after": [0], "gang": true, "requires": "a",
            "antiAffinity": 2, "fills": true, "image": "y", "mayMiss": 1}]})
}

fn stored_job() -> Value {
    let queue = QueueConfig::of_removed(&"q".into(), &"s".into(), QueueTerms::default());
    let body = job_document().to_string();
    let job = submission::read(body.as_bytes(), &queue, UNIX).unwrap();
    serde_json::to_value(job).unwrap()
}

fn task_document() -> Value {
    json!({"r": 1, "f": 1, "s": "c", "p": {"a": "agent", "l": {"id": "i-1", "born": 77}}, "d": false})
}

fn scheduler() -> QueueScheduler {
    let mut scheduler = QueueScheduler::open(1, NOW);
    let config = config::read(config_document().to_string().as_bytes()).unwrap();
    scheduler.set_view(OperatorView { config: Some(config), ..OperatorView::default() });
    scheduler
}

/// Passes the agent's report to the scheduler and lets it place tasks.
fn exchange(agent: &mut AgentState, scheduler: &mut QueueScheduler, number: u64) {
    let now = NOW.after(number * 900);
    let content = ReportContent { agent: "agent".into(), incarnation: 1, full_list: true, wait: 0 };
    scheduler.report(&agent.report(content), now, UNIX);
    scheduler.place(now, UNIX);
    for write in scheduler.take_writes() {
        write.effect.iter().for_each(|effect| scheduler.release(effect));
    }
    scheduler.expire(now, UNIX);
    let Some(tracked) = scheduler.workers.get("agent") else { return };
    let lease = AgentLease {
        epoch: 1,
        incarnation: tracked.worker.as_ref().map(|worker| worker.incarnation.clone()),
        duration: 7_000,
        confirmed: true,
        heartbeat: 1,
        acknowledged: tracked.acknowledged,
        acknowledged_runs: tracked.acknowledged_runs.clone(),
        orders: tracked.orders.iter().cloned().collect(),
        interference: Some(scheduler.interference.estimates()),
    };
    agent.apply_lease(lease, now);
    agent.throttle(4_000, now, UNIX);
}

/// An agent with two runs, one of which serves users.
fn agent() -> AgentState {
    let document = announcement_document().to_string();
    let announced = announcement::read("i-1", document.as_bytes()).unwrap();
    let mut agent = AgentState::default();
    agent.register(announced.worker);
    let start = |index: u64| StartOrder {
        task: format!("j.0.0.{index}").parse().unwrap(),
        incarnation: WorkerIncarnation { id: "i-1".into(), born: 77 },
        run: 1,
        checkpoint: "".into(),
        payload: "".into(),
        latency_bound: if index == 0 { 100 } else { 0 },
        best_effort: index != 0,
        image: Some("x".into()),
        cpu: 1_000,
        job_deadline: 0,
    };
    let lease = AgentLease {
        epoch: 1,
        incarnation: agent.incarnation().cloned(),
        duration: 7_000,
        confirmed: true,
        heartbeat: 1,
        acknowledged: 0,
        acknowledged_runs: Vec::new(),
        orders: (0..2).map(|index| (index + 1, AgentOrder::Start(start(index)))).collect(),
        interference: None,
    };
    agent.apply_lease(lease, NOW);
    agent
}

fn update(records: Vec<StoredRecord>) -> TopicUpdate {
    TopicUpdate { is_snapshot: true, records, sent: NOW }
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(&bytes[..bytes.len().min(300)]).into_owned()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..Default::default() })]

    #[test]
    fn announcements(odd in prop::collection::vec(odd_document(announcement_document()), 1..4)) {
        let (mut agent, mut scheduler) = (agent(), scheduler());
        let mut filter = AnnouncementFilter::default();
        for (number, body) in (1u64..).zip(&odd) {
            let Ok(announced) = announcement::read("i-1", body) else { continue };
            filter.judge(&announced, agent.worker.as_ref(), 482_000);
            agent.register(announced.worker);
            exchange(&mut agent, &mut scheduler, number);
        }
    }

    #[test]
    fn worker_lists(odd in prop::collection::vec(odd_document(list_document()), 1..6)) {
        let (mut agent, mut scheduler) = (agent(), scheduler());
        let job = serde_json::from_value::<JobSpec>(stored_job()).unwrap();
        scheduler.submit(&"j".into(), job);
        for (number, body) in (1u64..).zip(&odd) {
            if let Ok(polled) = worker::read_list(body) {
                prop_assert!(polled.list.running.len() + polled.skipped <= 4, "{}", text(body));
                agent.apply_list(number, polled.list);
            }
            agent.throttle(4_000, NOW.after(number * 300), UNIX);
            exchange(&mut agent, &mut scheduler, number);
        }
    }

    #[test]
    fn configurations(odd in prop::collection::vec(odd_document(config_document()), 1..4)) {
        let mut fold = OperatorFold::default();
        let mut scheduler = scheduler();
        scheduler.submit(&"j".into(), serde_json::from_value(stored_job()).unwrap());
        for (offset, body) in (1u64..).zip(odd) {
            let record = KeyedRecord { key: "config".into(), value: Some(Bytes::from(body.clone())) };
            fold.apply(update(vec![StoredRecord { offset, record }]));
            if let Ok(config) = config::read(&body) {
                scheduler.set_view(OperatorView { config: Some(config), ..OperatorView::default() });
                scheduler.place(NOW, UNIX);
            }
        }
    }

    #[test]
    fn submissions(odd in prop::collection::vec(odd_document(job_document()), 1..4)) {
        let (mut agent, mut scheduler) = (agent(), scheduler());
        let queue = QueueConfig::of_removed(&"q".into(), &"s".into(), QueueTerms::default());
        for (number, body) in (1u64..).zip(&odd) {
            if let Ok(job) = submission::read(body, &queue, UNIX) {
                let stored = serde_json::to_vec(&job).unwrap();
                scheduler.submit(&format!("j{number}").into(), JobSpec::decode(&stored).unwrap());
            }
            exchange(&mut agent, &mut scheduler, number);
        }
    }

    #[test]
    fn pages_and_heartbeats(
        body in odd_document(json!({"items": [
            {"key": "a", "value": "eA==", "offset": 3}, {"key": "b", "value": "", "offset": 4},
        ], "hasMore": true, "end": 9})),
        bytes in prop::collection::vec(any::<u8>(), 0..200),
        heartbeat in odd_document(json!({"epoch": 3, "owner": "a", "address": "10.0.0.1:80",
            "resigned": false})),
    ) {
        if let Some(page) = NewestPage::decode(&body, Some("0")) {
            prop_assert!(page.after.is_none_or(|after| &*after > "0"));
        }
        for body in [Bytes::from(bytes.clone()), Bytes::from([vec![0; 16], bytes].concat())] {
            if let Some(page) = LogPage::decode(body, 5) {
                prop_assert_eq!(page.next, 5 + (page.records.len() + page.skipped) as u64);
            }
        }
        drop(serde_json::from_slice::<OwnerHeartbeat>(&heartbeat));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 12, failure_persistence: None, ..Default::default() })]

    /// A new owner loads whatever was stored, and places tasks.
    #[test]
    fn stored_records(
        jobs in prop::collection::vec(odd_document(stored_job()), 1..30),
        tasks in prop::collection::vec(odd_document(task_document()), 1..30),
        election in odd_document(json!({"epoch": 3, "owner": "a"})),
        keys in prop::collection::vec("[a-z0-9.!@]{0,12}", 1..5),
    ) {
        actix_rt::System::new().block_on(async {
            let store = PlatformStore::open();
            let endpoint = store.open_endpoint(free_address().unwrap()).unwrap();
            for (index, job) in jobs.iter().enumerate() {
                store.write("keyed.requests", &format!("j{index}"), job);
            }
            for (index, task) in tasks.iter().enumerate() {
                let name = format!("j{}.{}.{}.{}", index % 4, index / 4 % 3, index % 2, index / 12);
                store.write("keyed.tasks", &name, task);
            }
            for key in &keys {
                store.write("keyed.tasks", key, &election);
                store.write("keyed.requests", key, &election);
            }
            store.write("keyed.tasks", "@owner", &election);
            let client = StoreClient::open(endpoint.address());
            let mut state = StoredState::load(&client).await.unwrap();
            state.read_requests(&client).await.unwrap();
            client.read("keyed.tasks", 0, Duration::ZERO).await.unwrap();
            let epoch = state.epoch().unwrap_or(3);
            let mut scheduler = state.into_scheduler(epoch + 1, NOW, NOW, UNIX);
            scheduler.set_view(self::scheduler().view().clone());
            let mut agent = agent();
            for number in 1..4 {
                exchange(&mut agent, &mut scheduler, number);
            }
            scheduler.expire(Moment(u64::MAX), UNIX);
        });
    }
}
