//! Jobs, workers and reports for tests of the scheduler.

#![allow(dead_code, reason = "each test file uses a part")]

use std::sync::Arc;

use cactusdoor_core::unit::Moment;
use cactusdoor_queue::config::{FleetConfig, OperatorView, QueueConfig, QueueTerms};
use cactusdoor_queue::features::SchedulingFeatures;
use cactusdoor_queue::name::{AgentName, JobId, TaskName, WorkerIncarnation};
use cactusdoor_queue::report::{
    AgentOrder, AgentReport, EndedRun, RunEnd, ServingLoad, WorkerInfo,
};
use cactusdoor_queue::scheduler::{PendingWrite, QueueScheduler};
use cactusdoor_queue::spec::{JobSpec, StepSpec, TaskNeed};
use indexmap::IndexMap;

pub const UNIX: u64 = 1_700_000_000_000;

pub fn queue() -> QueueConfig {
    QueueConfig {
        name: "q".into(),
        host: "h".into(),
        prefix: "/q/".into(),
        service: "minutes".into(),
        terms: QueueTerms { priority: 0, attempts: 3, slack_factor: 2.0, slack_base: 100 },
        timeout: 0,
    }
}

pub fn view() -> OperatorView {
    view_of(queue())
}

pub fn view_of(queue: QueueConfig) -> OperatorView {
    let queues = IndexMap::from([(queue.name.clone(), Arc::new(queue))]);
    let config = FleetConfig { version: 1, queues, body_bytes: 0 };
    OperatorView { config: Some(config), ..OperatorView::default() }
}

pub fn scheduler() -> QueueScheduler {
    let mut scheduler = QueueScheduler::open(1, Moment(0));
    scheduler.set_view(view());
    scheduler
}

/// Features of an owner that sends its backlog.
pub fn refusing() -> SchedulingFeatures {
    SchedulingFeatures { refusals: true, ..SchedulingFeatures::default() }
}

pub fn step(tasks: u32, cpu: u64) -> StepSpec {
    let need = TaskNeed { cpu, memory: 100, accelerators: 0 };
    StepSpec { tasks, need, ..StepSpec::default() }
}

pub fn job(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        queue: "q".into(),
        service: "minutes".into(),
        terms: None,
        payload: "text".into(),
        steps,
        times: 0,
        first_due: 0,
        interval: 0,
        accepted: UNIX,
    }
}

pub fn worker(agent: &str, born: u64) -> WorkerInfo {
    WorkerInfo {
        incarnation: WorkerIncarnation { id: format!("i-{agent}").into(), born },
        service: "minutes".into(),
        data_centre: "north".into(),
        capacity: TaskNeed { cpu: 4_000, memory: 10_000, accelerators: 0 },
        labels: vec!["a".into(), "r1".into()],
        leaves_in: None,
    }
}

/// A later incarnation of the worker under another id.
pub fn successor(agent: &str, born: u64) -> WorkerInfo {
    let id = format!("i-{agent}-{born}").into();
    WorkerInfo { incarnation: WorkerIncarnation { id, born }, ..worker(agent, born) }
}

pub fn report(agent: &str, number: u64, worker: Option<WorkerInfo>) -> AgentReport {
    AgentReport {
        agent: agent.into(),
        incarnation: 1,
        number,
        epoch: 1,
        received: 0,
        worker,
        ended_incarnation: None,
        ended: Vec::new(),
        runs: None,
        samples: Vec::new(),
        wait: 0,
    }
}

pub fn serving_load(image: &str, baseline: f32, fall: f32) -> ServingLoad {
    ServingLoad { image: image.into(), tasks: 1, baseline, fall }
}

pub fn ended(number: u64, task: &TaskName, run: u32, end: RunEnd) -> EndedRun {
    EndedRun { number, task: task.clone(), run, end, checkpoint: "".into() }
}

/// Takes all pending writes and releases their effects.
pub fn store(scheduler: &mut QueueScheduler) -> Vec<PendingWrite> {
    let writes = scheduler.take_writes();
    for effect in writes.iter().filter_map(|write| write.effect.as_ref()) {
        scheduler.release(effect);
    }
    writes
}

/// Starts among an agent's orders, with their run numbers.
pub fn starts(scheduler: &QueueScheduler, agent: &str) -> Vec<(TaskName, u32)> {
    let Some(tracked) = scheduler.workers.get(agent) else { return Vec::new() };
    let starts = tracked.orders.iter().filter_map(|(_, order)| match order {
        AgentOrder::Start(start) => Some((start.task.clone(), start.run)),
        AgentOrder::Stop { .. } => None,
    });
    starts.collect()
}

pub fn stops(scheduler: &QueueScheduler, agent: &str) -> Vec<(TaskName, u32)> {
    let Some(tracked) = scheduler.workers.get(agent) else { return Vec::new() };
    let stops = tracked.orders.iter().filter_map(|(_, order)| match order {
        AgentOrder::Stop { task, run } => Some((task.clone(), *run)),
        AgentOrder::Start(_) => None,
    });
    stops.collect()
}

pub fn task(job: &str, step: u16, index: u32) -> TaskName {
    TaskName { job: JobId::from(job), occurrence: 0, step, index }
}

pub fn agent(name: &str) -> AgentName {
    name.into()
}
