//! Cost of the decisions of the owner on the users' platform, by fleet and backlog.

use std::sync::Arc;
use std::time::Instant;

use anyhow::Context as _;
use cactusdoor_core::unit::{Millis, Moment};
use cactusdoor_queue::config::{FleetConfig, OperatorView, QueueConfig, QueueTerms};
use cactusdoor_queue::features::SchedulingFeatures;
use cactusdoor_queue::interference::InterferenceEstimates;
use cactusdoor_queue::name::{AgentName, JobId, TaskName, WorkerIncarnation};
use cactusdoor_queue::record::TaskRecord;
use cactusdoor_queue::report::{
    AgentReport, EndedRun, LoadReport, ReportedRun, RunEnd, ServingLoad, WorkerInfo, WorkerLoad,
};
use cactusdoor_queue::scheduler::{CommitEffect, QueueScheduler};
use cactusdoor_queue::spec::{JobSpec, StepSpec, TaskNeed};
use indexmap::IndexMap;

use super::{micros_each, process};
use crate::report::ReportTable;

/// Workers, and jobs that wait when all of them are full.
const SIZES: [(usize, usize); 5] = [(11, 20), (67, 120), (160, 300), (500, 900), (2_100, 3_800)];
/// Tasks of a job.
const TASKS: u32 = 40;
/// Capacity of a worker, and need of a task, thousandths of a processor.
const CAPACITY: u64 = 32_000;
const NEED: u64 = 3_500;
/// Repetitions of passes, reports, ends and cancels.
const REPEATS: usize = 200;
const UNIX: Millis = 1_700_000_000_000;
const NOW: Moment = Moment(1_000_000);

pub fn run() -> anyhow::Result<()> {
    let mut table = ReportTable::new(&[
        "workers",
        "waiting jobs",
        "steps",
        "placement us",
        "pass us",
        "report us",
        "end us",
        "cancel us",
        "loading ms",
        "runs loaded",
        "resident KiB",
    ]);
    // Earlier fleets stay allocated, so that later ones do not reuse their memory.
    let mut fleets = Vec::new();
    for (workers, waiting) in SIZES {
        for kind in
            [StepKind::Reserving, StepKind::BestEffort, StepKind::Beside, StepKind::Forecast]
        {
            let before = process::own_resident()?;
            let mut fleet = ModelFleet::open(workers, kind);
            table.row(fleet.measure(waiting, before)?);
            fleets.push(fleet);
        }
    }
    print!("{}", table.text());
    Ok(())
}

/// Steps of the jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StepKind {
    Reserving,
    BestEffort,
    /// Best-effort, with a serving task on each worker.
    Beside,
    /// The same with forecasts from loads.
    Forecast,
}

impl StepKind {
    fn label(self) -> &'static str {
        match self {
            Self::Reserving => "reserving",
            Self::BestEffort => "best-effort",
            Self::Beside => "beside serving",
            Self::Forecast => "with forecasts",
        }
    }
}

/// A scheduler with full workers and the records that it has stored.
struct ModelFleet {
    scheduler: QueueScheduler,
    workers: usize,
    kind: StepKind,
    jobs: Vec<(JobId, JobSpec)>,
    records: IndexMap<String, Vec<u8>>,
    reports: u64,
}

impl ModelFleet {
    fn open(workers: usize, kind: StepKind) -> Self {
        let mut scheduler = QueueScheduler::open(1, NOW);
        scheduler.set_view(view());
        let is_forecast = kind == StepKind::Forecast;
        scheduler.set_features(SchedulingFeatures {
            headroom_forecast: is_forecast,
            job_order: is_forecast,
            ..SchedulingFeatures::default()
        });
        let records = IndexMap::new();
        let mut fleet = Self { scheduler, workers, kind, jobs: Vec::new(), records, reports: 0 };
        for index in 0..workers {
            let report = fleet.report(index, Vec::new());
            fleet.scheduler.report_load(&report, NOW, UNIX);
        }
        if matches!(kind, StepKind::Beside | StepKind::Forecast) {
            fleet.learn();
            fleet.serve();
        }
        fleet
    }

    fn measure(&mut self, waiting: usize, before: u64) -> anyhow::Result<Vec<String>> {
        let room = self.workers * usize::try_from(CAPACITY / NEED)?;
        let filling = room.div_ceil(TASKS as usize);
        for _ in 0..filling + waiting {
            self.submit();
        }
        let started = Instant::now();
        while self.scheduler.place(NOW, UNIX) {}
        let placing = started.elapsed();
        let placed = self.store();
        let pass = self.time(|fleet, _| fleet.pass());
        let runs: Vec<_> = (0..REPEATS).map(|index| self.first_run(index)).collect();
        let report = self.time(|fleet, index| {
            let report = fleet.report(index % fleet.workers, Vec::new());
            fleet.scheduler.report_load(&report, NOW, UNIX);
        });
        let end = self.time(|fleet, index| {
            if let Some((worker, task)) = &runs[index] {
                let report = fleet.report(*worker, vec![ended(task, index)]);
                fleet.scheduler.report_load(&report, NOW, UNIX);
                fleet.pass();
            }
        });
        self.store();
        let jobs: Vec<_> = self.jobs.iter().rev().map(|(id, _)| id.clone()).collect();
        let cancel = self.time(|fleet, index| {
            fleet.scheduler.cancel(&jobs[index % jobs.len()], UNIX);
        });
        self.store();
        let started = Instant::now();
        let loaded = self.load()?;
        let loading = started.elapsed().as_secs_f64() * 1e3;
        let loaded: usize = loaded.workers.values().map(|tracked| tracked.runs.len()).sum();
        let resident = process::own_resident()?.saturating_sub(before);
        Ok(vec![
            self.workers.to_string(),
            waiting.to_string(),
            self.kind.label().to_owned(),
            format!("{:.1}", micros_each(placing, placed)),
            format!("{pass:.2}"),
            format!("{report:.1}"),
            format!("{end:.1}"),
            format!("{cancel:.1}"),
            format!("{loading:.1}"),
            loaded.to_string(),
            resident.to_string(),
        ])
    }

    /// Mean time of an action, us.
    fn time(&mut self, action: impl Fn(&mut Self, usize)) -> f64 {
        let started = Instant::now();
        for index in 0..REPEATS {
            action(self, index);
        }
        micros_each(started.elapsed(), REPEATS)
    }

    fn pass(&mut self) {
        self.scheduler.place(NOW, UNIX);
    }

    /// Learns the interference of all pairs of images: with little of it, workers fill up.
    fn learn(&mut self) {
        let estimates = (0..3).map(|serving| InterferenceEstimates {
            image: format!("s{serving}").into(),
            baseline: 8.0,
            coefficients: (0..30).map(|image| (format!("b{image}").into(), 4.0)).collect(),
        });
        self.scheduler.interference.set_estimates(estimates.collect());
    }

    /// Places a serving task on each worker.
    fn serve(&mut self) {
        let step = StepSpec {
            tasks: u32::try_from(self.workers).unwrap_or(u32::MAX),
            need: TaskNeed { cpu: 1_000, memory: 1_000, accelerators: 0 },
            per_worker: 1,
            endless: true,
            latency_bound: 200,
            image: Some("s0".into()),
            ..StepSpec::default()
        };
        self.submit_step(step);
        while self.scheduler.place(NOW, UNIX) {}
        self.store();
    }

    fn submit(&mut self) {
        let best_effort = self.kind != StepKind::Reserving;
        let step = StepSpec {
            tasks: TASKS,
            need: TaskNeed { cpu: NEED, memory: 2_000, accelerators: 0 },
            estimate: 1_700,
            best_effort,
            image: best_effort.then(|| format!("b{}", self.jobs.len() % 30).into()),
            ..StepSpec::default()
        };
        self.submit_step(step);
    }

    fn submit_step(&mut self, step: StepSpec) {
        let id: JobId = format!("{:016x}", self.jobs.len()).into();
        let spec = JobSpec {
            queue: "q".into(),
            service: "s".into(),
            terms: None,
            payload: "text".into(),
            steps: vec![step],
            times: 0,
            first_due: 0,
            interval: 0,
            accepted: UNIX,
        };
        self.scheduler.submit(&id, spec.clone());
        self.jobs.push((id, spec));
    }

    /// Stores all writes; returns the number of starts among them.
    fn store(&mut self) -> usize {
        let mut started = 0;
        for write in self.scheduler.take_writes() {
            match write.record {
                Some((key, Some(value))) => drop(self.records.insert(key, value)),
                Some((key, None)) => drop(self.records.swap_remove(&key)),
                None => {}
            }
            if let Some(effect) = write.effect {
                started += usize::from(matches!(effect, CommitEffect::Started { .. }));
                self.scheduler.release(&effect);
            }
        }
        started
    }

    /// The oldest run of a worker that an index selects.
    fn first_run(&self, index: usize) -> Option<(usize, TaskName)> {
        let worker = index % self.workers;
        let tracked = self.scheduler.workers.get(&agent(worker))?;
        let mut runs = tracked.runs.values().filter(|run| run.start.latency_bound == 0);
        let run = runs.nth(index / self.workers)?;
        Some((worker, run.start.task.clone()))
    }

    /// A report with the complete list of the worker's runs, and its load for forecasts.
    fn report(&mut self, index: usize, ended: Vec<EndedRun>) -> LoadReport {
        let load = (self.kind == StepKind::Forecast).then(load);
        LoadReport { report: self.list(index, ended), load }
    }

    fn list(&mut self, index: usize, ended: Vec<EndedRun>) -> AgentReport {
        self.reports += 1;
        let tracked = self.scheduler.workers.get(&agent(index));
        let runs = tracked.into_iter().flat_map(|tracked| tracked.runs.values());
        let listed = runs.map(|run| ReportedRun {
            task: run.start.task.clone(),
            run: run.start.run,
            checkpoint: "".into(),
            percent: Some(40),
            speed: 100,
        });
        AgentReport {
            agent: agent(index),
            incarnation: 1,
            number: self.reports,
            epoch: 1,
            received: tracked.map_or(0, |tracked| tracked.last_order),
            worker: Some(worker(index)),
            ended_incarnation: None,
            ended,
            runs: Some(listed.collect()),
            samples: Vec::new(),
            wait: 600,
        }
    }

    /// The scheduler of a successor, from the stored records.
    fn load(&self) -> anyhow::Result<QueueScheduler> {
        let mut next = QueueScheduler::open(2, NOW);
        next.set_view(view());
        for (id, spec) in &self.jobs {
            let spec = serde_json::to_vec(spec).context("could not encode a job")?;
            next.submit(id, JobSpec::decode(&spec).context("could not decode a job")?);
        }
        for (key, value) in &self.records {
            if let Ok(name) = key.parse::<TaskName>() {
                let record: TaskRecord =
                    serde_json::from_slice(value).context("could not decode a task")?;
                next.restore_task(&name, &record, NOW);
            }
        }
        next.finish_loading(UNIX);
        Ok(next)
    }
}

/// A load with enough headroom for as many tasks as without serving tasks.
fn load() -> WorkerLoad {
    let serving = (0..3).map(|image| ServingLoad {
        image: format!("s{image}").into(),
        tasks: 1,
        baseline: 8.0,
        fall: 0.0,
    });
    WorkerLoad { serving: serving.collect(), best_effort_cpu: 20_000, age: 100 }
}

fn agent(index: usize) -> AgentName {
    format!("side-{index}").into()
}

fn worker(index: usize) -> WorkerInfo {
    WorkerInfo {
        incarnation: WorkerIncarnation { id: format!("i-{index}").into(), born: 1 },
        service: "s".into(),
        data_centre: "north".into(),
        capacity: TaskNeed { cpu: CAPACITY, memory: 125_000, accelerators: 0 },
        labels: vec!["a".into(), format!("r-{}", index / 12).into()],
        leaves_in: None,
    }
}

fn ended(task: &TaskName, index: usize) -> EndedRun {
    let number = index as u64 + 1;
    EndedRun { number, task: task.clone(), run: 1, end: RunEnd::Done, checkpoint: "".into() }
}

fn view() -> OperatorView {
    let terms = QueueTerms { priority: 0, ..QueueTerms::default() };
    let queue = QueueConfig::of_removed(&"q".into(), &"s".into(), terms);
    let queues = IndexMap::from([("q".into(), Arc::new(queue))]);
    let config = FleetConfig { version: 1, queues, body_bytes: 0 };
    OperatorView { config: Some(config), ..OperatorView::default() }
}
