//! A scheduler that computes everything anew from the jobs and the workers' runs.

use std::collections::BTreeMap;
use std::sync::Arc;

use cactusdoor_core::unit::Moment;
use cactusdoor_queue::config::QueueConfig;
use cactusdoor_queue::features::SchedulingFeatures;
use cactusdoor_queue::job::{JobProgress, StepProgress, TaskPlace};
use cactusdoor_queue::name::{AgentName, JobId, Label, StepName, TaskName};
use cactusdoor_queue::placement::{ChoiceContext, cost};
use cactusdoor_queue::rank::RankInput;
use cactusdoor_queue::report::StartOrder;
use cactusdoor_queue::run_table::RunTable;
use cactusdoor_queue::scheduler::QueueScheduler;
use cactusdoor_queue::spec::{JobSpec, StepSpec, TaskNeed};
use cactusdoor_queue::worker::{AssignedRun, TrackedWorker};
use indexmap::IndexMap;

/// Placements that a pass over all jobs and all workers makes.
pub struct NaivePass<'a> {
    scheduler: &'a QueueScheduler,
    jobs: IndexMap<JobId, JobProgress>,
    workers: Vec<TrackedWorker>,
    /// Whether best-effort steps are ordered by rank.
    ordered: bool,
    now: Moment,
    unix: u64,
    /// Whether forecasts rest on reported loads.
    forecasts: bool,
    pub placed: Vec<(TaskName, AgentName)>,
}

impl<'a> NaivePass<'a> {
    pub fn run(
        scheduler: &'a QueueScheduler,
        features: SchedulingFeatures,
        now: Moment,
        unix: u64,
    ) -> Self {
        let workers = scheduler.workers.values().map(rebuilt).collect();
        let jobs = scheduler.jobs.clone();
        let placed = Vec::new();
        let (ordered, forecasts) = (features.job_order, features.headroom_forecast);
        let mut pass = Self { scheduler, jobs, workers, ordered, now, unix, forecasts, placed };
        for (_, _, _, step) in pass.order() {
            pass.place(&step);
        }
        pass
    }

    fn config(&self, spec: &JobSpec) -> Arc<QueueConfig> {
        self.scheduler.queue_config(spec)
    }

    /// Ready steps by priority, whether they are ranked, whether they can be in time, and age; or
    /// by rank.
    fn order(&mut self) -> Vec<(u32, bool, (bool, u64), StepName)> {
        let mut order = Vec::new();
        for job in self.jobs.values_mut() {
            job.open_due(self.unix);
            job.update_idle(self.now);
        }
        for job in self.jobs.values() {
            let config = self.config(&job.spec);
            for (&occurrence, steps) in &job.occurrences {
                let begins = job.spec.due(occurrence).unwrap_or(job.spec.accepted);
                let deadline = begins + config.terms.time_budget(job.spec.critical_path());
                let left = remaining_path(&job.spec, steps);
                let late = !job.spec.is_endless() && deadline.saturating_sub(left) < self.unix;
                for (step, progress) in (0u16..).zip(steps) {
                    let waiting = progress.tasks.iter().any(|task| task.is_waiting(self.now));
                    if waiting && job.is_ready(occurrence, step) {
                        let name = StepName { job: job.id.clone(), occurrence, step };
                        let ranked = self.ordered && job.spec.steps[usize::from(step)].best_effort;
                        let turn = if ranked {
                            let workers = &self.scheduler.workers;
                            (false, rank_of(self.scheduler, workers, job, occurrence, self.unix))
                        } else {
                            (late, job.spec.accepted)
                        };
                        order.push((config.terms.priority, ranked, turn, name));
                    }
                }
            }
        }
        order.sort();
        order
    }

    fn place(&mut self, name: &StepName) {
        let job = &self.jobs[&name.job];
        let spec = job.spec.clone();
        let config = self.config(&spec);
        if job.has_failed(config.terms.attempts) {
            return;
        }
        let step = &spec.steps[usize::from(name.step)];
        if step.gang {
            self.place_gang(name, step, &config);
        } else {
            self.place_step(name, step, &config);
        }
    }

    fn place_step(&mut self, name: &StepName, step: &StepSpec, config: &QueueConfig) {
        let moved =
            |index: &u32| self.jobs[&name.job].task(&name.task(*index)).unwrap().moves.is_some();
        let (moved, others): (Vec<_>, Vec<_>) = (0..step.tasks).partition(moved);
        for index in moved.into_iter().chain(others) {
            let task = name.task(index);
            if !self.jobs[&name.job].task(&task).is_some_and(|task| task.is_waiting(self.now)) {
                continue;
            }
            let Some(worker) = self.choose(None, name, &task, step, config) else { continue };
            self.place_task(worker, &task, step);
        }
    }

    fn place_gang(&mut self, name: &StepName, step: &StepSpec, config: &QueueConfig) {
        let tasks: Vec<_> = (0..step.tasks).map(|index| name.task(index)).collect();
        let job = &self.jobs[&name.job];
        let waits = |task| job.task(task).is_some_and(|task| task.is_waiting(self.now));
        if !tasks.iter().all(waits) {
            return;
        }
        let mut racks: Vec<_> = self.workers.iter().filter_map(TrackedWorker::rack).collect();
        racks.sort();
        racks.dedup();
        let racks: Vec<_> =
            racks.into_iter().filter(|_| step.one_rack).cloned().map(Some).collect();
        for rack in racks.into_iter().chain([None]) {
            let before = self.workers.clone();
            let mut chosen = Vec::new();
            for task in &tasks {
                let Some(worker) = self.choose(rack.as_ref(), name, task, step, config) else {
                    break;
                };
                self.assign(worker, task, step);
                chosen.push(worker);
            }
            self.workers = before;
            if chosen.len() == tasks.len() {
                for (task, worker) in tasks.iter().zip(chosen) {
                    self.place_task(worker, task, step);
                }
                return;
            }
        }
    }

    fn choose(
        &self,
        within: Option<&Label>,
        name: &StepName,
        task: &TaskName,
        step: &StepSpec,
        config: &QueueConfig,
    ) -> Option<usize> {
        let may_wait = self.jobs[&name.job].may_wait(self.now);
        let context = ChoiceContext {
            name,
            step,
            service: &config.service,
            priority: config.terms.priority,
            taken_out: &self.scheduler.view().taken_out,
            interference: &self.scheduler.interference,
            within,
            may_wait,
            forecasts: self.forecasts,
            now: self.now,
        };
        let free = self.workers.iter().enumerate();
        let free = free.filter(|(_, tracked)| !tracked.runs.contains_key(task));
        let costs = free.filter_map(|(index, tracked)| Some((cost(tracked, &context)?, index)));
        let costs: Vec<_> = costs.collect();
        // The workers of a gang's tasks are chosen together, and none of them was moved.
        let avoided = self.jobs[&name.job].task(task).unwrap().avoided_worker(self.now);
        let is_avoided = |index: usize| avoided == Some(&self.workers[index].agent);
        let others = costs.iter().filter(|(_, index)| !is_avoided(*index)).min();
        let any = costs.iter().min().filter(|_| !may_wait);
        others.or(any).map(|(_, index)| *index)
    }

    fn assign(&mut self, worker: usize, task: &TaskName, step: &StepSpec) {
        let tracked = &mut self.workers[worker];
        let incarnation = tracked.worker.as_ref().unwrap().incarnation.clone();
        let start = StartOrder {
            task: task.clone(),
            incarnation,
            run: 1,
            checkpoint: "".into(),
            payload: "".into(),
            latency_bound: step.latency_bound,
            best_effort: step.best_effort,
            image: step.image.clone(),
            cpu: step.need.cpu,
            job_deadline: 0,
        };
        tracked.runs.insert(AssignedRun::open(start, step, self.now));
    }

    fn place_task(&mut self, worker: usize, task: &TaskName, step: &StepSpec) {
        self.assign(worker, task, step);
        let agent = self.workers[worker].agent.clone();
        let job = &mut self.jobs[&task.job];
        let placed = TaskPlace::Placed(agent.clone());
        job.change_task(task, |task| task.place = placed);
        job.update_idle(self.now);
        self.placed.push((task.clone(), agent));
    }
}

/// Longest chain of steps from this one on, by depth-first search.
fn chain(spec: &JobSpec, from: usize) -> u64 {
    let after = (from + 1..spec.steps.len())
        .filter(|after| spec.steps[*after].after.iter().any(|step| usize::from(*step) == from));
    spec.steps[from].estimate + after.map(|after| chain(spec, after)).max().unwrap_or(0)
}

/// Longest chain of steps that are not done, by depth-first search.
fn remaining_path(spec: &JobSpec, steps: &[StepProgress]) -> u64 {
    let undone = (0..steps.len())
        .filter(|step| !steps[*step].tasks.iter().all(|task| task.place == TaskPlace::Done));
    undone.map(|step| chain(spec, step)).max().unwrap_or(0)
}

/// Rank of a step of a live job, computed from the runs of all workers.
pub fn naive_rank(scheduler: &QueueScheduler, step: &StepName, unix: u64) -> u64 {
    rank_of(scheduler, &scheduler.workers, &scheduler.jobs[&step.job], step.occurrence, unix)
}

fn rank_of(
    scheduler: &QueueScheduler,
    workers: &IndexMap<AgentName, TrackedWorker>,
    job: &JobProgress,
    occurrence: u32,
    unix: u64,
) -> u64 {
    let config = scheduler.queue_config(&job.spec);
    let begins = job.spec.due(occurrence).unwrap_or(job.spec.accepted);
    let budget = config.terms.time_budget(job.spec.critical_path());
    // Progress of the tasks of a step that are not done.
    let listed = |step: u16| {
        let runs = workers.values().flat_map(|tracked| tracked.runs.values());
        let own = runs.filter(|run| {
            let task = &run.start.task;
            task.job == job.id && task.occurrence == occurrence && task.step == step
        });
        own.map(|run| u64::from(run.percent.unwrap_or(0).min(100))).sum::<u64>()
    };
    let (mut work, mut total, mut path) = (0, 0, 0);
    for ((step, progress), spec) in (0u16..).zip(&job.occurrences[&occurrence]).zip(&job.spec.steps)
    {
        if spec.endless {
            continue;
        }
        let tasks = progress.tasks.iter();
        let open = tasks.filter(|task| task.place != TaskPlace::Done).count() as u64;
        let task = spec.need.cpu * spec.estimate;
        work += task * (open * 100).saturating_sub(listed(step)) / 100;
        total += task * u64::from(spec.tasks);
        if let Some(mean) = listed(step).checked_div(open) {
            let mean = mean.min(100);
            let after = chain(&job.spec, usize::from(step)) - spec.estimate;
            path = path.max(after + spec.estimate * (100 - mean) / 100);
        }
    }
    let input = RankInput {
        priority: config.terms.priority,
        accepted: begins.max(job.spec.accepted),
        deadline: if job.spec.is_endless() { u64::MAX } else { begins + budget },
        budget,
        remaining_path: path,
        remaining_work: work,
        total_work: total,
        capacity: scheduler.ranked_capacity(&config.service),
        now: unix,
    };
    input.rank()
}

/// The worker with sums that are computed from its runs.
fn rebuilt(tracked: &TrackedWorker) -> TrackedWorker {
    let mut runs = RunTable::default();
    for run in tracked.runs.values() {
        runs.insert(run.clone());
    }
    TrackedWorker { runs, ..tracked.clone() }
}

/// Checks that the index has exactly the runs whose newest listed speed is low.
pub fn check_slow(scheduler: &QueueScheduler) {
    let workers = scheduler.workers.values();
    let runs = workers.flat_map(|tracked| {
        let slow = tracked.runs.iter().filter(|(_, run)| run.slow.is_some());
        slow.map(|(task, _)| (task.clone(), tracked.agent.clone()))
    });
    let indexed = scheduler.slow_runs().map(|(task, agent)| (task.clone(), agent.clone()));
    assert_eq!(indexed.collect::<BTreeMap<_, _>>(), runs.collect::<BTreeMap<_, _>>());
}

/// Checks the sums of a worker against its runs, one by one.
pub fn check_sums(tracked: &TrackedWorker) {
    let runs = || tracked.runs.values();
    let reserved = runs().fold(TaskNeed::default(), |sum, run| sum.plus(&run.reserved));
    assert_eq!(tracked.runs.reserved(), reserved);
    let busy = |run: &AssignedRun| {
        let share = if run.start.latency_bound > 0 { 50 } else { 100 };
        run.reserved.cpu.saturating_mul(share) / 100
    };
    assert_eq!(tracked.runs.busy_cpu(), runs().map(busy).fold(0, u64::saturating_add));
    let best_effort: Vec<_> = runs().filter(|run| run.start.best_effort).collect();
    let cpu = best_effort.iter().map(|run| run.start.cpu).sum::<u64>();
    assert_eq!(tracked.runs.best_effort_cpu(), cpu);
    assert_eq!(tracked.runs.best_effort_images().map(|(_, cpu)| cpu).sum::<u64>(), cpu);
    for (image, cpu) in tracked.runs.best_effort_images() {
        let of_image = best_effort.iter().filter(|run| run.start.image.as_ref() == image);
        assert_eq!(of_image.map(|run| run.start.cpu).sum::<u64>(), cpu);
    }
    let memory = best_effort.iter().map(|run| run.reserved.memory).sum::<u64>();
    assert_eq!(tracked.runs.best_effort_memory(), memory);
    assert_eq!(tracked.runs.best_effort(), best_effort.len());
    let serving: Vec<_> = runs().filter(|run| run.start.latency_bound > 0).collect();
    assert_eq!(tracked.runs.serving(), serving.len());
    let images: std::collections::BTreeSet<_> =
        serving.iter().map(|run| run.start.image.as_ref()).collect();
    assert_eq!(tracked.runs.serving_images().collect::<std::collections::BTreeSet<_>>(), images);
    for task in tracked.runs.keys() {
        let step = task.step_name();
        let number = tracked.runs.keys().filter(|other| other.step_name() == step).count();
        assert_eq!(tracked.runs.of_step(&step) as usize, number);
    }
}
