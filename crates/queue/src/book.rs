//! The owner's book of jobs and workers.
//!
//! Changes are kept as entries in the order in which they must be stored. An
//! effect is released once all entries before it and its own are stored.

use std::sync::Arc;

use cactusdoor_core::unit::{Epoch, Millis, Moment};
use indexmap::IndexMap;

use crate::job::{JobProgress, TaskPlace};
use crate::name::{AgentName, Checkpoint, JobId, QueueName, RunNumber, TaskName, WorkerLife};
use crate::placing::{ChoiceContext, cost};
use crate::press::PressModel;
use crate::record::{JobEnding, PlacedAt, TaskRecord};
use crate::report::{JobState, StartOrder};
use crate::seat::{SeatRun, WorkerSeat};
use crate::spec::{JobSpec, StepSpec};
use crate::terms::{OperatorView, QueueTerms};

/// How long the state of an ended job is kept: twice what callers are promised.
const ENDED_LIFETIME: Millis = 240_000;

/// What happens once a record is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BookEffect {
    Started {
        agent: AgentName,
        task: TaskName,
        run: RunNumber,
    },
    /// The worker may forget its ends up to this number.
    Noted {
        agent: AgentName,
        life: WorkerLife,
        number: u64,
    },
    Settled {
        agent: AgentName,
        task: TaskName,
        run: RunNumber,
    },
    Shown {
        job: JobId,
        state: JobState,
    },
}

/// A record to store, as a key and a value (none to drop the key), and its effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BookEntry {
    pub record: Option<(String, Option<Vec<u8>>)>,
    pub effect: Option<BookEffect>,
}

/// Jobs, workers and what has to be stored.
#[derive(Debug)]
pub struct QueueBook {
    pub epoch: Epoch,
    pub jobs: IndexMap<JobId, JobProgress>,
    pub ended: IndexMap<JobId, JobEnding>,
    pub seats: IndexMap<AgentName, WorkerSeat>,
    pub view: OperatorView,
    /// Learned anew by each owner.
    pub presses: PressModel,
    entries: Vec<BookEntry>,
    /// Runs of agents that have not reported yet may live until then.
    unknown_until: Moment,
}

impl QueueBook {
    #[must_use]
    pub fn open(epoch: Epoch, unknown_until: Moment) -> Self {
        Self {
            epoch,
            jobs: IndexMap::new(),
            ended: IndexMap::new(),
            seats: IndexMap::new(),
            view: OperatorView::default(),
            presses: PressModel::default(),
            entries: Vec::new(),
            unknown_until,
        }
    }

    /// Entries since the last call, in order.
    pub fn take_entries(&mut self) -> Vec<BookEntry> {
        std::mem::take(&mut self.entries)
    }

    pub(crate) fn push(
        &mut self,
        record: Option<(String, Option<Vec<u8>>)>,
        effect: Option<BookEffect>,
    ) {
        self.entries.push(BookEntry { record, effect });
    }

    pub(crate) fn push_task(
        &mut self,
        task: &TaskName,
        record: &TaskRecord,
        effect: Option<BookEffect>,
    ) {
        let value = serde_json::to_vec(record).unwrap_or_default();
        self.push(Some((task.to_string(), Some(value))), effect);
    }

    /// Takes up a job; a known one is left as it is.
    pub fn submit(&mut self, id: &JobId, spec: JobSpec) -> bool {
        if self.jobs.contains_key(id) || self.ended.contains_key(id) {
            return false;
        }
        self.jobs.insert(id.clone(), JobProgress::open(id.clone(), spec));
        self.push(None, Some(BookEffect::Shown { job: id.clone(), state: JobState::Queued }));
        true
    }

    /// Cancels a job that has not ended; returns whether there was one.
    pub fn cancel(&mut self, id: &JobId, unix: Millis) -> bool {
        self.end_job(id, JobState::Cancelled, unix)
    }

    /// Takes up an ending that was stored.
    pub fn restore_ending(&mut self, id: &JobId, ending: JobEnding) {
        self.jobs.shift_remove(id);
        self.ended.insert(id.clone(), ending);
    }

    /// Takes up a task that was stored, once all jobs have been taken up.
    pub fn restore_task(&mut self, name: &TaskName, record: &TaskRecord, now: Moment) {
        let job = self.jobs.get_mut(&name.job);
        let known = job.is_some();
        let mut shape = (StepSpec::default(), Arc::from(""));
        if let Some(job) = job {
            job.restore(name, record);
            let step = job.step_spec(name).cloned().unwrap_or_default();
            shape = (step, job.payload.clone());
        }
        if !known && record.placed.is_none() {
            self.push(Some((name.to_string(), None)), None);
        }
        if let Some(placed) = &record.placed {
            let due = self.jobs.get(&name.job).map(|job| self.due(&job.spec, name.occurrence));
            let unknown_until = self.unknown_until;
            let seat = self.seats.entry(placed.agent.clone());
            let seat =
                seat.or_insert_with(|| WorkerSeat::open(placed.agent.clone(), unknown_until));
            let (step, payload) = shape;
            let (life, saved) = (placed.life.clone(), record.saved.clone());
            let start = StartOrder {
                saved,
                due: due.unwrap_or_default(),
                ..start_order(name, life, record.run, &step, payload)
            };
            let mut run = open_run(start, &step, now);
            run.stored = true;
            run.stopping = !known;
            seat.runs.insert(name.clone(), run);
        }
    }

    /// Ends the loading: shows every job, ends those whose last task is done and
    /// drops what ended jobs left behind.
    pub fn finish_loading(&mut self, unix: Millis) {
        let names: Vec<_> = self.jobs.keys().cloned().collect();
        for id in names {
            self.check_loaded(&id, unix);
        }
        let live = self.jobs.values().map(|job| (job.id.clone(), job.state));
        let ended = self.ended.iter().map(|(id, ending)| (id.clone(), ending.state));
        let shown: Vec<_> = live.chain(ended).collect();
        for (job, state) in shown {
            self.push(None, Some(BookEffect::Shown { job, state }));
        }
    }

    /// A job whose last end was stored without its ending.
    fn check_loaded(&mut self, id: &JobId, unix: Millis) {
        if self.jobs.get(id).is_some_and(JobProgress::is_completed) {
            self.end_job(id, JobState::Completed, unix);
        }
    }

    /// The terms of a job's queue.
    #[must_use]
    pub fn terms(&self, spec: &JobSpec) -> Arc<QueueTerms> {
        let config = self.view.config.as_ref();
        let terms = config.and_then(|config| config.queues.get(&spec.queue)).cloned();
        terms.unwrap_or_else(|| Arc::new(QueueTerms::of_removed(&spec.queue, &spec.service)))
    }

    /// Unix time by which an occurrence of a job is to be done.
    fn due(&self, spec: &JobSpec, occurrence: u32) -> Millis {
        let begins = spec.due(occurrence).unwrap_or(spec.accepted);
        begins.saturating_add(self.terms(spec).patience(spec.chain()))
    }

    /// Ends a job: stops its runs and drops the records of its other tasks.
    pub(crate) fn end_job(&mut self, id: &JobId, state: JobState, unix: Millis) -> bool {
        let Some(job) = self.jobs.shift_remove(id) else { return false };
        let ending = JobEnding { state, at: unix };
        self.ended.insert(id.clone(), ending);
        let value = serde_json::to_vec(&ending).unwrap_or_default();
        let shown = BookEffect::Shown { job: id.clone(), state };
        self.push(Some((id.to_string(), Some(value))), Some(shown));
        for name in job.started() {
            let placed = self.seats.values_mut().any(|seat| {
                seat.stop(&name);
                seat.runs.contains_key(&name)
            });
            if !placed {
                self.push(Some((name.to_string(), None)), None);
            }
        }
        true
    }

    /// Opens what is due and places what fits.
    pub fn place(&mut self, now: Moment, unix: Millis) {
        for id in self.placing_order(unix) {
            self.place_job(&id, now, unix);
        }
    }

    fn placing_order(&mut self, unix: Millis) -> Vec<JobId> {
        let mut order = Vec::with_capacity(self.jobs.len());
        for job in self.jobs.values_mut() {
            job.open_due(unix);
        }
        for job in self.jobs.values() {
            let newest = job.occurrences.keys().next_back().copied().unwrap_or_default();
            // What can no longer be in time is worth less: it takes what is left.
            let late = !job.spec.is_endless() && self.due(&job.spec, newest) < unix;
            let priority = self.terms(&job.spec).priority;
            order.push((priority, late, job.spec.accepted, job.id.clone()));
        }
        order.sort();
        order.into_iter().map(|(_, _, _, id)| id).collect()
    }

    fn place_job(&mut self, id: &JobId, now: Moment, unix: Millis) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.note_idle(now);
        }
        let Some(job) = self.jobs.get(id) else { return };
        let mut ready = Vec::new();
        for (&occurrence, steps) in &job.occurrences {
            for (step, progress) in (0u16..).zip(steps) {
                let waiting = progress.tasks.iter().any(|task| task.is_waiting(now));
                if waiting && job.is_ready(occurrence, step) {
                    ready.push((occurrence, step));
                }
            }
        }
        if ready.is_empty() {
            return;
        }
        let spec = job.spec.clone();
        let terms = self.terms(&spec);
        if job.has_failed(terms.attempts) {
            self.end_job(id, JobState::Failed, unix);
            return;
        }
        for (occurrence, step) in ready {
            let Some(shape) = spec.steps.get(usize::from(step)) else { continue };
            let first = TaskName { job: id.clone(), occurrence, step, index: 0 };
            if shape.gang {
                self.place_gang(&first, shape, &terms, now);
            } else {
                self.place_step(&first, shape, &terms, now);
            }
        }
    }

    fn place_step(&mut self, first: &TaskName, step: &StepSpec, terms: &QueueTerms, now: Moment) {
        for index in 0..step.tasks {
            let name = TaskName { index, ..first.clone() };
            let task = self.jobs.get(&first.job).and_then(|job| job.task(&name));
            let Some(task) = task.filter(|task| task.is_waiting(now)) else { continue };
            let run = task.run + 1;
            let Some(agent) = self.choose(&name, step, terms, now) else { return };
            self.start(&agent, &name, run, now);
            if let Some(job) = self.jobs.get_mut(&first.job) {
                job.note_idle(now);
            }
        }
    }

    /// Places all members of a gang or none.
    fn place_gang(&mut self, first: &TaskName, step: &StepSpec, terms: &QueueTerms, now: Moment) {
        let names: Vec<_> =
            (0..step.tasks).map(|index| TaskName { index, ..first.clone() }).collect();
        let Some(job) = self.jobs.get(&first.job) else { return };
        let members: Vec<_> = names.iter().filter_map(|name| job.task(name)).collect();
        if !members.iter().all(|member| member.is_waiting(now)) {
            return;
        }
        let run = members.iter().map(|member| member.run).max().unwrap_or_default() + 1;
        let Some(seats) = self.gang_seats(&names, step, terms, now) else { return };
        for (name, agent) in names.iter().zip(seats) {
            self.start(&agent, name, run, now);
        }
    }

    fn gang_seats(
        &mut self,
        names: &[TaskName],
        step: &StepSpec,
        terms: &QueueTerms,
        now: Moment,
    ) -> Option<Vec<AgentName>> {
        let mut racks: Vec<_> =
            self.seats.values().filter_map(|seat| seat.rack().cloned()).collect();
        racks.sort();
        racks.dedup();
        let one_rack = racks.into_iter().filter(|_| step.one_rack).map(Some);
        for rack in one_rack.chain([None]) {
            let within = StepSpec { label: rack.or(step.label.clone()), ..step.clone() };
            let mut chosen = Vec::new();
            for name in names {
                let Some(agent) = self.choose(name, &within, terms, now) else { break };
                self.seat_run(&agent, name, &within, 0, now);
                chosen.push(agent);
            }
            for (name, agent) in names.iter().zip(&chosen) {
                if let Some(seat) = self.seats.get_mut(agent) {
                    seat.runs.shift_remove(name);
                }
            }
            if chosen.len() == names.len() {
                return Some(chosen);
            }
        }
        None
    }

    fn choose(
        &self,
        task: &TaskName,
        step: &StepSpec,
        terms: &QueueTerms,
        now: Moment,
    ) -> Option<AgentName> {
        let taken_out = &self.view.taken_out;
        let (service, presses) = (&terms.service, &self.presses);
        let may_wait = self.jobs.get(&task.job).is_none_or(|job| job.may_wait(now));
        let context = ChoiceContext { task, step, service, taken_out, presses, may_wait, now };
        let costs = self.seats.values().filter_map(|seat| Some((cost(seat, &context)?, seat)));
        costs.min_by_key(|(cost, _)| *cost).map(|(_, seat)| seat.agent.clone())
    }

    fn seat_run(
        &mut self,
        agent: &AgentName,
        name: &TaskName,
        step: &StepSpec,
        run: RunNumber,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get(&name.job) else { return };
        let saved = job.task(name).map(|task| task.saved.clone()).unwrap_or_else(|| Arc::from(""));
        let payload = job.payload.clone();
        let due = self.due(&job.spec, name.occurrence);
        let Some(seat) = self.seats.get_mut(agent) else { return };
        let Some(life) = seat.worker.as_ref().map(|worker| worker.life.clone()) else { return };
        let start = StartOrder { saved, due, ..start_order(name, life, run, step, payload) };
        seat.runs.insert(name.clone(), open_run(start, step, now));
    }

    fn start(&mut self, agent: &AgentName, name: &TaskName, run: RunNumber, now: Moment) {
        let life = self.seats.get(agent).and_then(|seat| seat.worker.as_ref());
        let Some(life) = life.map(|worker| worker.life.clone()) else { return };
        let Some(step) = self.jobs.get(&name.job).and_then(|job| job.step_spec(name)).cloned()
        else {
            return;
        };
        self.seat_run(agent, name, &step, run, now);
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        let first = job.state == JobState::Queued;
        job.state = JobState::Running;
        let Some(task) = job.task_mut(name) else { return };
        task.run = run;
        task.place = TaskPlace::Placed(agent.clone());
        let record = task.record(Some(PlacedAt { agent: agent.clone(), life }));
        let started = BookEffect::Started { agent: agent.clone(), task: name.clone(), run };
        self.push_task(name, &record, Some(started));
        if first {
            let shown = BookEffect::Shown { job: name.job.clone(), state: JobState::Running };
            self.push(None, Some(shown));
        }
    }

    /// Carries out what the owner itself keeps of an effect.
    pub fn release(&mut self, effect: &BookEffect) {
        match effect {
            BookEffect::Started { agent, task, run } => self.release_start(agent, task, *run),
            BookEffect::Noted { agent, life, number } => {
                if let Some(seat) = self.seats.get_mut(agent)
                    && seat.worker.as_ref().is_some_and(|worker| worker.life == *life)
                {
                    seat.noted = seat.noted.max(*number);
                    seat.news = true;
                }
            }
            BookEffect::Settled { agent, task, run } => {
                if let Some(seat) = self.seats.get_mut(agent) {
                    seat.settled.push((task.clone(), *run));
                    seat.news = true;
                }
            }
            BookEffect::Shown { .. } => {}
        }
    }

    fn release_start(&mut self, agent: &AgentName, task: &TaskName, number: RunNumber) {
        let Some(seat) = self.seats.get_mut(agent) else { return };
        let Some(run) = seat.runs.get_mut(task).filter(|run| run.start.run == number) else {
            return;
        };
        run.stored = true;
        let order = run.order();
        seat.order(order);
    }

    /// Tells the agents again of orders that were withheld.
    pub fn renew_orders(&mut self) {
        for seat in self.seats.values_mut() {
            seat.news |= !seat.orders.is_empty();
        }
    }

    /// Accepted jobs of each queue of which no task has been started.
    #[must_use]
    pub fn pending(&self) -> IndexMap<QueueName, u64> {
        let mut pending = IndexMap::new();
        for job in self.jobs.values().filter(|job| job.state == JobState::Queued) {
            *pending.entry(job.spec.queue.clone()).or_insert(0) += 1;
        }
        pending
    }

    /// Whether a run of an agent's worker stands in the book.
    #[must_use]
    pub fn holds(&self, agent: &AgentName, task: &TaskName, run: RunNumber) -> bool {
        let seat = self.seats.get(agent);
        seat.and_then(|seat| seat.runs.get(task)).is_some_and(|held| held.start.run == run)
    }

    /// Drops endings that callers may no longer ask for, and returns their jobs.
    pub fn forget(&mut self, unix: Millis) -> Vec<JobId> {
        let old = |ending: &JobEnding| ending.at.saturating_add(ENDED_LIFETIME) < unix;
        let forgotten: Vec<_> =
            self.ended.iter().filter(|(_, ending)| old(ending)).map(|(id, _)| id.clone()).collect();
        for id in &forgotten {
            self.ended.shift_remove(id);
            self.push(Some((id.to_string(), None)), None);
        }
        forgotten
    }
}

/// A start from the beginning, due at once.
fn start_order(
    task: &TaskName,
    life: WorkerLife,
    run: RunNumber,
    step: &StepSpec,
    payload: Arc<str>,
) -> StartOrder {
    StartOrder {
        task: task.clone(),
        life,
        run,
        saved: Checkpoint::from(""),
        payload,
        target: step.target,
        fills: step.fills,
        image: step.image.clone(),
        cpu: step.need.cpu,
        due: 0,
    }
}

/// A run whose placement is not stored yet.
fn open_run(start: StartOrder, step: &StepSpec, now: Moment) -> SeatRun {
    SeatRun {
        saved: start.saved.clone(),
        start,
        reserved: step.reserved(),
        endless: step.endless,
        checkpoints: step.checkpoints,
        estimate: step.estimate,
        stored: false,
        stopping: false,
        percent: None,
        since: now,
        progressed: now,
    }
}
