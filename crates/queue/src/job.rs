//! Progress of a job: its occurrences, steps and tasks.
//!
//! Decides which tasks are ready, from when on a job counts as running, and when it is
//! completed or has failed. Refers to
//! workers only by the names of their agents.

use std::collections::BTreeMap;
use std::sync::Arc;

use cactusdoor_core::unit::{Millis, Moment};

use crate::name::{AgentName, Checkpoint, JobId, RunNumber, TaskName};
use crate::record::{PlacedAt, TaskRecord};
use crate::report::JobState;
use crate::spec::{JobSpec, StepSpec};

/// Longest time for which a job without a placed task waits for less busy workers, ms:
/// half of the time after which the job counts as lost.
const IDLE_LIMIT: Millis = 1_500;

/// Whether a task is waiting, placed on a worker, or done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskPlace {
    /// Must not start before the given moment.
    Waiting(Moment),
    Placed(AgentName),
    Done,
}

/// Progress of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskProgress {
    /// Highest run number used; 0 before the first start.
    pub run: RunNumber,
    pub failures: u32,
    /// Checkpoint from which the next run resumes.
    pub checkpoint: Checkpoint,
    pub place: TaskPlace,
}

impl TaskProgress {
    fn open() -> Self {
        let place = TaskPlace::Waiting(Moment::default());
        Self { run: 0, failures: 0, checkpoint: Checkpoint::from(""), place }
    }

    /// The task's record to store; `placed`: its worker, if it is placed.
    #[must_use]
    pub fn record(&self, placed: Option<PlacedAt>) -> TaskRecord {
        TaskRecord {
            run: self.run,
            failures: self.failures,
            checkpoint: self.checkpoint.clone(),
            placed,
            done: self.place == TaskPlace::Done,
        }
    }

    #[must_use]
    pub fn is_waiting(&self, now: Moment) -> bool {
        matches!(self.place, TaskPlace::Waiting(since) if since <= now)
    }
}

/// Progress of the tasks of one step in one occurrence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepProgress {
    pub tasks: Vec<TaskProgress>,
}

impl StepProgress {
    fn open(spec: &StepSpec) -> Self {
        Self { tasks: vec![TaskProgress::open(); spec.tasks as usize] }
    }

    /// Most failures of one task; for a gang, the sum over its tasks.
    fn failures(&self, spec: &StepSpec) -> u32 {
        let failures = self.tasks.iter().map(|task| task.failures);
        if spec.gang {
            failures.fold(0, u32::saturating_add)
        } else {
            failures.max().unwrap_or_default()
        }
    }

    #[must_use]
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.place == TaskPlace::Done)
    }
}

/// A job that has not ended.
#[derive(Clone, Debug)]
pub struct JobProgress {
    pub id: JobId,
    pub spec: Arc<JobSpec>,
    pub payload: Arc<str>,
    /// `Queued` until a task is known to have started.
    pub state: JobState,
    /// Time since which no task is placed; `None` while one is.
    pub idle_since: Option<Moment>,
    pub occurrences: BTreeMap<u32, Vec<StepProgress>>,
}

impl JobProgress {
    #[must_use]
    pub fn open(id: JobId, spec: JobSpec) -> Self {
        let payload = spec.payload.as_str().into();
        let (spec, occurrences) = (Arc::new(spec), BTreeMap::new());
        let (state, idle_since) = (JobState::Queued, None);
        Self { id, spec, payload, state, idle_since, occurrences }
    }

    /// Opens the occurrences that are due; returns whether any was opened.
    pub fn open_due(&mut self, unix: Millis) -> bool {
        let mut opened = false;
        for occurrence in 0..self.spec.occurrences() {
            let due = self.spec.due(occurrence).is_none_or(|due| due <= unix);
            if due && !self.occurrences.contains_key(&occurrence) {
                self.open_occurrence(occurrence);
                opened = true;
            }
        }
        opened
    }

    fn open_occurrence(&mut self, occurrence: u32) {
        let steps = self.spec.steps.iter().map(StepProgress::open).collect();
        self.occurrences.insert(occurrence, steps);
    }

    /// Unix time of the next occurrence that has not been opened.
    #[must_use]
    pub fn next_due(&self) -> Option<Millis> {
        let next = (0..self.spec.occurrences()).find(|k| !self.occurrences.contains_key(k))?;
        self.spec.due(next)
    }

    #[must_use]
    pub fn task(&self, name: &TaskName) -> Option<&TaskProgress> {
        let steps = self.occurrences.get(&name.occurrence)?;
        steps.get(usize::from(name.step))?.tasks.get(name.index as usize)
    }

    pub fn task_mut(&mut self, name: &TaskName) -> Option<&mut TaskProgress> {
        let steps = self.occurrences.get_mut(&name.occurrence)?;
        steps.get_mut(usize::from(name.step))?.tasks.get_mut(name.index as usize)
    }

    #[must_use]
    pub fn step_spec(&self, name: &TaskName) -> Option<&StepSpec> {
        self.spec.steps.get(usize::from(name.step))
    }

    /// Whether the job has such a task.
    fn has_task(&self, name: &TaskName) -> bool {
        let step = self.spec.steps.get(usize::from(name.step));
        name.occurrence < self.spec.occurrences()
            && step.is_some_and(|step| name.index < step.tasks)
    }

    /// Restores a stored task; a record of a task that the job does not have is ignored.
    /// Neither a placement nor a run number shows that it has started.
    pub fn restore(&mut self, name: &TaskName, record: &TaskRecord) {
        if !self.has_task(name) {
            return;
        }
        if !self.occurrences.contains_key(&name.occurrence) {
            self.open_occurrence(name.occurrence);
        }
        let Some(task) = self.task_mut(name) else { return };
        task.run = record.run;
        task.failures = record.failures;
        task.checkpoint = record.checkpoint.clone();
        task.place = match (&record.placed, record.done) {
            (_, true) => TaskPlace::Done,
            (Some(placed), false) => TaskPlace::Placed(placed.agent.clone()),
            (None, false) => TaskPlace::Waiting(Moment::default()),
        };
        if record.done || record.failures > 0 || !record.checkpoint.is_empty() {
            self.state = JobState::Running;
        }
    }

    /// Whether a task waits, or an occurrence has not been opened yet.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        let waiting = |task: &TaskProgress| matches!(task.place, TaskPlace::Waiting(_));
        self.occurrences.len() < self.spec.occurrences() as usize
            || self.occurrences.values().flatten().any(|step| step.tasks.iter().any(waiting))
    }

    /// Updates `idle_since` from whether a task is placed on a worker.
    pub fn update_idle(&mut self, now: Moment) {
        let placed = |task: &TaskProgress| matches!(task.place, TaskPlace::Placed(_));
        if self.occurrences.values().flatten().any(|step| step.tasks.iter().any(placed)) {
            self.idle_since = None;
        } else if self.idle_since.is_none() {
            self.idle_since = Some(now);
        }
    }

    /// Whether the tasks may wait for a less busy worker.
    #[must_use]
    pub fn may_wait(&self, now: Moment) -> bool {
        self.idle_since.is_none_or(|since| now < since.after(IDLE_LIMIT))
    }

    /// Whether all steps before this one are done.
    #[must_use]
    pub fn is_ready(&self, occurrence: u32, step: u16) -> bool {
        let Some(steps) = self.occurrences.get(&occurrence) else { return false };
        let Some(spec) = self.spec.steps.get(usize::from(step)) else { return false };
        let done =
            |before: &u16| steps.get(usize::from(*before)).is_some_and(StepProgress::is_done);
        spec.after.iter().all(done)
    }

    /// Whether every task of every occurrence is done.
    #[must_use]
    pub fn is_completed(&self) -> bool {
        let all = self.occurrences.len() == self.spec.occurrences() as usize;
        all && self.occurrences.values().flatten().all(StepProgress::is_done)
    }

    /// Whether a task or a gang has used all its attempts; 0 for no limit.
    #[must_use]
    pub fn has_failed(&self, attempts: u32) -> bool {
        if attempts == 0 {
            return false;
        }
        self.occurrences.values().any(|steps| {
            steps.iter().zip(&self.spec.steps).any(|(step, spec)| step.failures(spec) >= attempts)
        })
    }

    /// Names of all tasks that were started at least once.
    #[must_use]
    pub fn started(&self) -> Vec<TaskName> {
        let mut names = Vec::new();
        for (&occurrence, steps) in &self.occurrences {
            for (step, progress) in (0u16..).zip(steps) {
                let started = (0u32..).zip(&progress.tasks).filter(|(_, task)| task.run > 0);
                names.extend(started.map(|(index, _)| TaskName {
                    job: self.id.clone(),
                    occurrence,
                    step,
                    index,
                }));
            }
        }
        names
    }
}
