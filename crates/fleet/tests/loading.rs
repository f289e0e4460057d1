//! Loading of the stored state by a new owner.

use cactusdoor_core::unit::Moment;
use cactusdoor_fleet::loading::StoredState;
use cactusdoor_platform::store::StoreClient;
use cactusdoor_queue::name::WorkerIncarnation;
use cactusdoor_queue::record::{PlacedAt, TaskRecord};
use cactusdoor_queue::spec::{JobSpec, StepSpec};
use cactusdoor_standin::harness::address::free_address;
use cactusdoor_standin::platform_store::PlatformStore;

fn job() -> JobSpec {
    JobSpec {
        queue: "q".into(),
        service: "minutes".into(),
        terms: None,
        payload: String::new(),
        steps: vec![StepSpec { tasks: 1, ..StepSpec::default() }],
        times: 0,
        first_due: 0,
        interval: 0,
        accepted: 1,
    }
}

/// A job that the predecessor accepted and placed while its successor was loading the state
/// was once placed a second time, under the same run number.
#[actix_web::test]
async fn a_job_placed_during_the_election_is_loaded_with_its_placement() {
    let store = PlatformStore::open();
    let endpoint = store.open_endpoint(free_address().unwrap()).unwrap();
    let client = StoreClient::open(endpoint.address());
    let mut state = StoredState::load(&client).await.unwrap();
    store.write("keyed.requests", "j1", &serde_json::to_vec(&job()).unwrap());
    let incarnation = WorkerIncarnation { id: "i-1".into(), born: 1 };
    let placed = Some(PlacedAt { agent: "a".into(), incarnation });
    let record = TaskRecord { run: 1, placed, ..TaskRecord::default() };
    store.write("keyed.tasks", "j1.0.0.0", &serde_json::to_vec(&record).unwrap());
    state.catch_up(&client).await.unwrap();
    state.read_requests(&client).await.unwrap();
    let scheduler = state.into_scheduler(2, Moment(9_000), Moment(0), 1);
    assert!(scheduler.is_assigned(&"a".into(), &"j1.0.0.0".parse().unwrap(), 1));
    let task = scheduler.jobs["j1"].task(&"j1.0.0.0".parse().unwrap()).unwrap();
    assert_eq!(task.run, 1, "the run number of the placement is known");
    assert!(!scheduler.workers["a"].runs.values().any(|run| run.stopping));
}
