//! The runs assigned to one worker, with the sums that placement needs.
//!
//! Each sum changes with the run that is inserted or removed, so reading it does not
//! depend on the number of runs. Decides nothing.

use std::ops::Deref;

use indexmap::IndexMap;

use crate::name::{Label, StepName, TaskName};
use crate::spec::TaskNeed;
use crate::worker::AssignedRun;

/// Share of its reserved processors that a serving task uses on average, percent: the
/// reservation is sized for peak load.
const SERVING_PERCENT: u64 = 50;

/// Needs of all runs; wide enough for the sum of unbounded ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct NeedSum {
    cpu: u128,
    memory: u128,
    accelerators: u128,
}

impl NeedSum {
    fn add(&mut self, need: &TaskNeed) {
        self.cpu += u128::from(need.cpu);
        self.memory += u128::from(need.memory);
        self.accelerators += u128::from(need.accelerators);
    }

    fn subtract(&mut self, need: &TaskNeed) {
        self.cpu -= u128::from(need.cpu);
        self.memory -= u128::from(need.memory);
        self.accelerators -= u128::from(need.accelerators);
    }

    fn total(&self) -> TaskNeed {
        TaskNeed {
            cpu: saturate(self.cpu),
            memory: saturate(self.memory),
            accelerators: saturate(self.accelerators),
        }
    }
}

/// Runs of one image and the processors that they use at full speed, thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ImageUse {
    runs: usize,
    cpu: u128,
}

/// Runs by task; reads go to the map, changes of the set of runs through this type.
#[derive(Clone, Debug, Default)]
pub struct RunTable {
    runs: IndexMap<TaskName, AssignedRun>,
    reserved: NeedSum,
    /// Processors in use on average, thousandths.
    busy: u128,
    serving: usize,
    best_effort_cpu: u128,
    best_effort_memory: u128,
    best_effort_images: IndexMap<Option<Label>, ImageUse>,
    serving_images: IndexMap<Option<Label>, ImageUse>,
    steps: IndexMap<StepName, u32>,
}

impl Deref for RunTable {
    type Target = IndexMap<TaskName, AssignedRun>;

    fn deref(&self) -> &Self::Target {
        &self.runs
    }
}

impl RunTable {
    /// Inserts a run in place of an older one of the same task.
    pub fn insert(&mut self, run: AssignedRun) {
        let task = run.start.task.clone();
        self.remove(&task);
        self.reserved.add(&run.reserved);
        self.busy += u128::from(busy_cpu(&run));
        *self.steps.entry(task.step_name()).or_default() += 1;
        if run.start.best_effort {
            self.best_effort_cpu += u128::from(run.start.cpu);
            self.best_effort_memory += u128::from(run.reserved.memory);
            count(&mut self.best_effort_images, &run);
        }
        if run.start.latency_bound > 0 {
            self.serving += 1;
            count(&mut self.serving_images, &run);
        }
        self.runs.insert(task, run);
    }

    pub fn remove(&mut self, task: &TaskName) -> Option<AssignedRun> {
        let run = self.runs.shift_remove(task)?;
        self.reserved.subtract(&run.reserved);
        self.busy -= u128::from(busy_cpu(&run));
        let step = task.step_name();
        if let Some(number) = self.steps.get_mut(&step) {
            *number -= 1;
            if *number == 0 {
                self.steps.swap_remove(&step);
            }
        }
        if run.start.best_effort {
            self.best_effort_cpu -= u128::from(run.start.cpu);
            self.best_effort_memory -= u128::from(run.reserved.memory);
            discount(&mut self.best_effort_images, &run);
        }
        if run.start.latency_bound > 0 {
            self.serving -= 1;
            discount(&mut self.serving_images, &run);
        }
        Some(run)
    }

    /// A run whose progress or phase changes; its order and its needs must not.
    pub fn get_mut(&mut self, task: &TaskName) -> Option<&mut AssignedRun> {
        self.runs.get_mut(task)
    }

    /// Resources reserved by all runs.
    #[must_use]
    pub fn reserved(&self) -> TaskNeed {
        self.reserved.total()
    }

    /// Processors that the runs use on average, thousandths.
    #[must_use]
    pub fn busy_cpu(&self) -> u64 {
        saturate(self.busy)
    }

    /// Processors that the best-effort runs use together at full speed, thousandths.
    #[must_use]
    pub fn best_effort_cpu(&self) -> u64 {
        saturate(self.best_effort_cpu)
    }

    /// Number of best-effort runs.
    #[must_use]
    pub fn best_effort(&self) -> usize {
        self.best_effort_images.values().map(|used| used.runs).sum()
    }

    /// Memory that the best-effort runs reserve, MiB.
    #[must_use]
    pub fn best_effort_memory(&self) -> u64 {
        saturate(self.best_effort_memory)
    }

    #[must_use]
    pub fn serving(&self) -> usize {
        self.serving
    }

    /// Number of runs of one step.
    #[must_use]
    pub fn of_step(&self, step: &StepName) -> u32 {
        self.steps.get(step).copied().unwrap_or_default()
    }

    /// Images of the best-effort runs with their processors at full speed, thousandths.
    pub fn best_effort_images(&self) -> impl Iterator<Item = (Option<&Label>, u64)> {
        self.best_effort_images.iter().map(|(image, used)| (image.as_ref(), saturate(used.cpu)))
    }

    /// Images of the serving runs.
    pub fn serving_images(&self) -> impl Iterator<Item = Option<&Label>> {
        self.serving_images.keys().map(Option::as_ref)
    }
}

fn count(images: &mut IndexMap<Option<Label>, ImageUse>, run: &AssignedRun) {
    let used = images.entry(run.start.image.clone()).or_default();
    used.runs += 1;
    used.cpu += u128::from(run.start.cpu);
}

fn discount(images: &mut IndexMap<Option<Label>, ImageUse>, run: &AssignedRun) {
    let Some(used) = images.get_mut(&run.start.image) else { return };
    used.runs -= 1;
    used.cpu -= u128::from(run.start.cpu);
    if used.runs == 0 {
        images.swap_remove(&run.start.image);
    }
}

fn busy_cpu(run: &AssignedRun) -> u64 {
    let share = if run.start.latency_bound > 0 { SERVING_PERCENT } else { 100 };
    run.reserved.cpu.saturating_mul(share) / 100
}

fn saturate(sum: u128) -> u64 {
    u64::try_from(sum).unwrap_or(u64::MAX)
}
