//! Progress of a job: its occurrences, steps and tasks.
//!
//! Decides which tasks are ready, from when on a job counts as running, and when it is
//! completed or has failed. Refers to
//! workers only by the names of their agents.

use std::collections::BTreeMap;
use std::sync::Arc;

use cactusdoor_core::unit::{Millis, Moment};

use crate::name::{AgentName, Checkpoint, JobId, RunNumber, StepName, TaskName};
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

/// Moves of a task away from slow workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskMoves {
    pub number: u32,
    /// Agent of the worker on which the newest run was stopped.
    pub away_from: AgentName,
    /// Until then the task is neither stopped again nor placed on that worker.
    pub until: Moment,
}

/// Progress of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskProgress {
    /// Highest run number used; 0 before the first start.
    pub run: RunNumber,
    pub failures: u32,
    /// Runs that were stopped since their workers seemed stalled. Not stored; each owner counts
    /// them anew.
    pub stalls: u32,
    /// Checkpoint from which the next run resumes.
    pub checkpoint: Checkpoint,
    /// Progress of the run that produced the checkpoint, percent. Not stored; 0 if unknown.
    pub checkpoint_percent: u8,
    /// Progress that the next or present run need not repeat, percent: of the present run as its
    /// worker last listed it, or of the checkpoint. Not stored.
    pub percent: u8,
    pub place: TaskPlace,
    /// Agent whose worker got the newest run.
    pub agent: Option<AgentName>,
    /// Not stored; `None` if the task was not moved. Few tasks are.
    pub moves: Option<Box<TaskMoves>>,
}

impl TaskProgress {
    fn open() -> Self {
        let place = TaskPlace::Waiting(Moment::default());
        let checkpoint = Checkpoint::from("");
        Self {
            run: 0,
            failures: 0,
            stalls: 0,
            checkpoint,
            checkpoint_percent: 0,
            percent: 0,
            place,
            agent: None,
            moves: None,
        }
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

    /// What is left to do, percent of the task.
    fn left(&self) -> u64 {
        let left = 100u8.saturating_sub(self.percent);
        if self.place == TaskPlace::Done { 0 } else { u64::from(left) }
    }

    /// Agent of the worker on which the task must not be placed yet.
    #[must_use]
    pub fn avoided_worker(&self, now: Moment) -> Option<&AgentName> {
        let moves = self.moves.as_ref().filter(|moves| now < moves.until)?;
        Some(&moves.away_from)
    }

    #[must_use]
    pub fn is_waiting(&self, now: Moment) -> bool {
        matches!(self.place, TaskPlace::Waiting(since) if since <= now)
    }
}

/// Numbers of a step's tasks by their place.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlaceCount {
    pub waiting: u32,
    pub placed: u32,
    pub done: u32,
}

impl PlaceCount {
    fn of(&mut self, place: &TaskPlace) -> &mut u32 {
        match place {
            TaskPlace::Waiting(_) => &mut self.waiting,
            TaskPlace::Placed(_) => &mut self.placed,
            TaskPlace::Done => &mut self.done,
        }
    }
}

/// Progress of the tasks of one step in one occurrence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepProgress {
    pub tasks: Vec<TaskProgress>,
    pub count: PlaceCount,
    /// What is left to do, summed over the tasks, percent of a task.
    pub left: u64,
    /// Most failures of one task; for a gang, the sum over its tasks.
    failures: u32,
}

impl StepProgress {
    fn open(spec: &StepSpec) -> Self {
        let count = PlaceCount { waiting: spec.tasks, ..PlaceCount::default() };
        let left = u64::from(spec.tasks) * 100;
        Self { tasks: vec![TaskProgress::open(); spec.tasks as usize], count, left, failures: 0 }
    }

    /// Changes a task, and the counts with it.
    fn change(&mut self, index: u32, gang: bool, change: impl FnOnce(&mut TaskProgress)) {
        let Some(task) = self.tasks.get_mut(index as usize) else { return };
        let failures = task.failures;
        *self.count.of(&task.place) -= 1;
        self.left -= task.left();
        change(task);
        *self.count.of(&task.place) += 1;
        self.left += task.left();
        let added = task.failures.saturating_sub(failures);
        self.failures = if gang {
            self.failures.saturating_add(added)
        } else {
            self.failures.max(task.failures)
        };
    }

    fn waiting_since(&self) -> impl Iterator<Item = Moment> {
        let tasks = if self.count.waiting > 0 { self.tasks.as_slice() } else { &[] };
        tasks.iter().filter_map(|task| match task.place {
            TaskPlace::Waiting(since) => Some(since),
            _ => None,
        })
    }

    /// When a waiting task may start, for a gang when all tasks may; `None` if none waits.
    #[must_use]
    pub fn startable_at(&self, spec: &StepSpec) -> Option<Moment> {
        if !spec.gang {
            return self.waiting_since().min();
        }
        let all_wait = self.count.waiting as usize == self.tasks.len();
        self.waiting_since().max().filter(|_| all_wait)
    }

    /// Whether a waiting task must not be placed on a certain worker.
    #[must_use]
    pub fn avoids_worker(&self, now: Moment) -> bool {
        let tasks = if self.count.waiting > 0 { self.tasks.as_slice() } else { &[] };
        let waiting = tasks.iter().filter(|task| matches!(task.place, TaskPlace::Waiting(_)));
        waiting.into_iter().any(|task| task.avoided_worker(now).is_some())
    }

    /// When the next retry delay of a waiting task ends.
    #[must_use]
    pub fn next_retry(&self, now: Moment) -> Option<Moment> {
        self.waiting_since().filter(|since| *since > now).min()
    }

    #[must_use]
    pub fn is_done(&self) -> bool {
        self.count.done as usize == self.tasks.len()
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
    /// For each step, the longest chain that begins with it, ms.
    chains: Vec<Millis>,
    /// Length of the critical path by the caller's estimates, ms.
    pub critical_path: Millis,
    /// Occurrences before this one have been opened.
    next_occurrence: u32,
    /// Steps that are not done, in the opened occurrences.
    unfinished: usize,
    /// Number of placed tasks.
    placed: u32,
}

impl JobProgress {
    #[must_use]
    pub fn open(id: JobId, spec: JobSpec) -> Self {
        let payload = spec.payload.as_str().into();
        let chains = spec.chains();
        let critical_path = chains.iter().copied().max().unwrap_or_default();
        Self {
            id,
            spec: Arc::new(spec),
            payload,
            state: JobState::Queued,
            idle_since: None,
            occurrences: BTreeMap::new(),
            chains,
            critical_path,
            next_occurrence: 0,
            unfinished: 0,
            placed: 0,
        }
    }

    /// Opens the occurrences that are due; returns whether any was opened.
    pub fn open_due(&mut self, unix: Millis) -> bool {
        let mut opened = false;
        while self.next_due().is_some_and(|due| due <= unix) {
            opened |= self.open_occurrence(self.next_occurrence);
            self.next_occurrence += 1;
        }
        opened
    }

    /// Opens an occurrence; returns `false` if it is open.
    fn open_occurrence(&mut self, occurrence: u32) -> bool {
        if self.occurrences.contains_key(&occurrence) {
            return false;
        }
        let steps: Vec<_> = self.spec.steps.iter().map(StepProgress::open).collect();
        self.unfinished += steps.iter().filter(|step| !step.is_done()).count();
        self.occurrences.insert(occurrence, steps);
        true
    }

    /// Unix time of the next occurrence that may not have been opened, 0 if it may start at once.
    #[must_use]
    pub fn next_due(&self) -> Option<Millis> {
        let next = self.next_occurrence;
        (next < self.spec.occurrences()).then(|| self.spec.due(next).unwrap_or_default())
    }

    #[must_use]
    pub fn task(&self, name: &TaskName) -> Option<&TaskProgress> {
        let steps = self.occurrences.get(&name.occurrence)?;
        steps.get(usize::from(name.step))?.tasks.get(name.index as usize)
    }

    /// Changes a task, and the counts of its step and of the job with it.
    pub fn change_task(&mut self, name: &TaskName, change: impl FnOnce(&mut TaskProgress)) {
        let gang = self.step_spec(name).is_some_and(|step| step.gang);
        let steps = self.occurrences.get_mut(&name.occurrence);
        let Some(step) = steps.and_then(|steps| steps.get_mut(usize::from(name.step))) else {
            return;
        };
        let (placed, done) = (step.count.placed, step.is_done());
        step.change(name.index, gang, change);
        self.placed = self.placed - placed + step.count.placed;
        self.unfinished = self.unfinished + usize::from(done) - usize::from(step.is_done());
    }

    #[must_use]
    pub fn step_spec(&self, name: &TaskName) -> Option<&StepSpec> {
        self.spec.steps.get(usize::from(name.step))
    }

    /// Whether the job has a best-effort step.
    #[must_use]
    pub fn is_best_effort(&self) -> bool {
        self.spec.steps.iter().any(|step| step.best_effort)
    }

    /// Whether the step of a task is done.
    #[must_use]
    pub fn step_is_done(&self, name: &TaskName) -> bool {
        let steps = self.occurrences.get(&name.occurrence);
        let step = steps.and_then(|steps| steps.get(usize::from(name.step)));
        step.is_some_and(StepProgress::is_done)
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
        self.open_occurrence(name.occurrence);
        // Earlier builds stored the end of a run as the end of a task that lasts.
        let done = record.done && !self.step_spec(name).is_some_and(|step| step.endless);
        self.change_task(name, |task| {
            task.run = record.run;
            task.failures = record.failures;
            task.checkpoint = record.checkpoint.clone();
            task.agent = record.placed.as_ref().map(|placed| placed.agent.clone());
            task.place = match (&record.placed, done) {
                (_, true) => TaskPlace::Done,
                (Some(placed), false) => TaskPlace::Placed(placed.agent.clone()),
                (None, false) => TaskPlace::Waiting(Moment::default()),
            };
        });
        if record.done || record.failures > 0 || !record.checkpoint.is_empty() {
            self.state = JobState::Running;
        }
    }

    /// Updates `idle_since` from whether a task is placed on a worker.
    pub fn update_idle(&mut self, now: Moment) {
        if self.placed > 0 {
            self.idle_since = None;
        } else if self.idle_since.is_none() {
            self.idle_since = Some(now);
        }
    }

    /// When the tasks cease to wait for less busy workers, unless one is placed before.
    #[must_use]
    pub fn waits_until(&self) -> Option<Moment> {
        self.idle_since.map(|since| since.after(IDLE_LIMIT))
    }

    /// Whether the tasks may wait for a less busy worker.
    #[must_use]
    pub fn may_wait(&self, now: Moment) -> bool {
        self.waits_until().is_none_or(|until| now < until)
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

    /// Length of the longest chain of steps of an occurrence that are not done, ms.
    #[must_use]
    pub fn remaining_path(&self, occurrence: u32) -> Millis {
        let steps = self.occurrences.get(&occurrence).into_iter().flatten();
        let chains = steps.zip(&self.chains).filter(|(step, _)| !step.is_done());
        chains.map(|(_, chain)| *chain).max().unwrap_or_default()
    }

    /// Length of the longest chain of steps after this one, ms.
    #[must_use]
    pub fn path_after(&self, step: u16) -> Millis {
        let chain = self.chains.get(usize::from(step)).copied().unwrap_or_default();
        let own = self.spec.steps.get(usize::from(step)).map_or(0, |step| step.estimate);
        chain.saturating_sub(own)
    }

    /// Whether every task of every occurrence is done.
    #[must_use]
    pub fn is_completed(&self) -> bool {
        self.unfinished == 0 && self.occurrences.len() == self.spec.occurrences() as usize
    }

    /// Whether a task or a gang has used all its attempts; 0 for no limit.
    #[must_use]
    pub fn has_failed(&self, attempts: u32) -> bool {
        if attempts == 0 {
            return false;
        }
        self.occurrences.values().flatten().any(|step| step.failures >= attempts)
    }

    /// Names of all tasks that were started at least once, with the agents of their newest runs.
    #[must_use]
    pub fn started(&self) -> Vec<(TaskName, Option<AgentName>)> {
        let mut started = Vec::new();
        for (&occurrence, steps) in &self.occurrences {
            for (step, progress) in (0u16..).zip(steps) {
                let step = StepName { job: self.id.clone(), occurrence, step };
                let tasks = (0u32..).zip(&progress.tasks).filter(|(_, task)| task.run > 0);
                started.extend(tasks.map(|(index, task)| (step.task(index), task.agent.clone())));
            }
        }
        started
    }
}
