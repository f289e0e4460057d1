//! The load that an agent measures for its reports.

mod support;

use std::sync::Arc;

use cactusdoor_core::unit::Moment;
use cactusdoor_queue::agent::{AgentState, ListedRun, WorkerList};
use cactusdoor_queue::name::TaskName;
use cactusdoor_queue::report::{AgentLease, AgentOrder, StartOrder, WorkerLoad};
use support::*;

const BOUND: u64 = 600;

/// An agent with runs of serving images, and of best-effort images from the index `serving` on.
struct Agent {
    state: AgentState,
    tasks: Vec<TaskName>,
    polls: u64,
}

impl Agent {
    fn open(images: &[&str], serving: usize) -> Self {
        let mut state = AgentState::default();
        let worker = worker("a", 1);
        state.register(worker.clone());
        let tasks: Vec<_> = (0u32..).zip(images).map(|(index, _)| task("j", 0, index)).collect();
        let start = |(index, image): (usize, &&str)| StartOrder {
            task: tasks[index].clone(),
            incarnation: worker.incarnation.clone(),
            run: 1,
            checkpoint: "".into(),
            payload: Arc::from(""),
            latency_bound: if index < serving { BOUND } else { 0 },
            best_effort: index >= serving,
            image: Some((*image).into()),
            cpu: 1_000,
            job_deadline: u64::MAX,
        };
        let starts = images.iter().enumerate().map(start).map(AgentOrder::Start);
        let lease = AgentLease {
            epoch: 1,
            incarnation: Some(worker.incarnation.clone()),
            duration: 1_000,
            confirmed: true,
            heartbeat: 0,
            acknowledged: 0,
            acknowledged_runs: Vec::new(),
            orders: (1u64..).zip(starts).collect(),
            interference: None,
        };
        state.apply_lease(lease, Moment(0));
        Self { state, tasks, polls: 0 }
    }

    /// A poll at `now`; `measured`: tail latency or processors of each task.
    fn poll(&mut self, now: u64, measured: &[u64]) -> Option<WorkerLoad> {
        self.polls += 1;
        let running = self.tasks.iter().zip(measured).map(|(task, measurement)| ListedRun {
            task: task.clone(),
            run: 1,
            checkpoint: "".into(),
            percent: 100,
            measurement: *measurement,
        });
        let list = WorkerList { running: running.collect(), ended: Vec::new() };
        self.state.apply_list(self.polls, list);
        self.state.throttle(2_000, Moment(now), UNIX);
        self.state.load(Moment(now))
    }
}

/// Guards against workers without best-effort tasks that are never measured: these are the ones
/// with room. They are polled every 600 ms.
#[test]
fn a_worker_without_best_effort_tasks_is_measured() {
    let mut agent = Agent::open(&["s", "s", "t"], 3);
    assert_eq!(agent.state.load(Moment(0)), None, "before the first poll");
    let load = agent.poll(10_000, &[200, 300, 100]).unwrap();
    let images: Vec<_> =
        load.serving.iter().map(|load| (&*load.image, load.tasks, load.baseline)).collect();
    assert_eq!(images, [("s", 2, 2.0), ("t", 1, 6.0)], "the least of an image's tasks");
    assert_eq!((load.best_effort_cpu, load.age), (0, 0));
    assert!(load.serving.iter().all(|load| load.fall == 0.0), "nothing to compare with");
    // The latency has risen: the current one is above the running average.
    let load = agent.poll(10_600, &[200, 330, 90]).unwrap();
    assert!((1.7..600.0 / 330.0).contains(&load.serving[0].baseline), "{load:?}");
    assert!((0.3..0.5).contains(&load.serving[0].fall), "{load:?}");
    assert_eq!(load.serving[1].fall, 0.0, "it has risen");
}

/// Guards against a fall that is only the lag of the measured processors after a start.
#[test]
fn the_losses_to_best_effort_tasks_are_added_back() {
    let mut agent = Agent::open(&["s", "b"], 1);
    agent.poll(10_000, &[200, 0]);
    agent.poll(10_250, &[200, 0]);
    // The task takes a quarter of the worker, and so 1.5 of the headroom of 3; the worker
    // lists averages over the last half second.
    let decay = (-250.0f64 / 380.0).exp();
    let tail = (decay * 200.0 + (1.0 - decay) * 400.0).round() as u64;
    let load = agent.poll(10_500, &[tail, 500]).unwrap();
    assert!((load.serving[0].baseline - 3.0).abs() < 0.05, "{load:?}");
    assert!(load.serving[0].fall < 0.1, "{load:?}");
    assert_eq!(load.best_effort_cpu, 500);
}

/// Guards against a report of a load that was measured long ago, as if it were new.
#[test]
fn a_load_has_its_age_and_is_dropped_when_it_is_old() {
    let mut agent = Agent::open(&["s"], 1);
    let load = agent.poll(10_000, &[200]).unwrap();
    let later = WorkerLoad { age: 1_400, ..load };
    assert_eq!(agent.state.load(Moment(11_400)), Some(later));
    assert_eq!(agent.state.load(Moment(13_001)), None);
    agent.poll(14_000, &[200]);
    agent.state.remove();
    assert_eq!(agent.state.load(Moment(14_000)), None, "the worker has ended");
}

/// Guards against a worker without serving tasks that seems not to be measured.
#[test]
fn a_worker_without_serving_tasks_reports_the_used_processors() {
    let mut agent = Agent::open(&["b", "c"], 0);
    let load = agent.poll(10_000, &[900, 700]).unwrap();
    assert_eq!(load, WorkerLoad { serving: Vec::new(), best_effort_cpu: 1_600, age: 0 });
}

/// Guards against a load that the owner rejects.
#[test]
fn a_load_lists_the_images_with_the_least_headroom() {
    let names: Vec<_> = (0..40).map(|index| format!("s{index}")).collect();
    let images: Vec<_> = names.iter().map(String::as_str).collect();
    let measured: Vec<_> = (0..40).map(|index| 100 + index).collect();
    let load = Agent::open(&images, 40).poll(10_000, &measured).unwrap();
    assert_eq!(load.serving.len(), 32);
    assert_eq!(&*load.serving[0].image, "s39");
}
