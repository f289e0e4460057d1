//! The owner's scheduler: its jobs, its workers, and the placement of tasks.
//!
//! Decides which job is served first, which task starts on which worker, and when
//! a job ends. Every change is queued as a write, in the order in which it must be
//! stored. The effect of a write may be released only once that write and all
//! earlier ones are stored.

use std::sync::Arc;

use cactusdoor_core::unit::{Epoch, Millis, Moment};
use indexmap::IndexMap;

use crate::config::{OperatorView, QueueConfig};
use crate::interference::InterferenceModel;
use crate::job::{JobProgress, TaskPlace};
use crate::name::{
    AgentName, Checkpoint, JobId, QueueName, RunNumber, TaskName, WorkerIncarnation,
};
use crate::observation::RunObservation;
use crate::placement::{ChoiceContext, cost};
use crate::record::{JobEnding, PlacedAt, TaskRecord};
use crate::report::{JobState, StartOrder};
use crate::spec::{JobSpec, StepSpec, TaskNeed};
use crate::worker::{AssignedRun, TrackedWorker};
pub use crate::write::{CommitEffect, PendingWrite};

/// Time for which the state of an ended job is kept, ms: twice the time promised to callers.
const ENDED_LIFETIME: Millis = 240_000;

/// State of one owner: jobs, workers, and writes that are not stored yet.
#[derive(Debug)]
pub struct QueueScheduler {
    pub epoch: Epoch,
    pub jobs: IndexMap<JobId, JobProgress>,
    pub ended: IndexMap<JobId, JobEnding>,
    pub workers: IndexMap<AgentName, TrackedWorker>,
    pub view: OperatorView,
    /// Not stored; each owner learns it anew.
    pub interference: InterferenceModel,
    writes: Vec<PendingWrite>,
    pub(crate) observations: Vec<RunObservation>,
    /// Runs of agents that have not reported to this owner may continue until this time.
    unknown_until: Moment,
}

impl QueueScheduler {
    #[must_use]
    pub fn open(epoch: Epoch, unknown_until: Moment) -> Self {
        Self {
            epoch,
            jobs: IndexMap::new(),
            ended: IndexMap::new(),
            workers: IndexMap::new(),
            view: OperatorView::default(),
            interference: InterferenceModel::default(),
            writes: Vec::new(),
            observations: Vec::new(),
            unknown_until,
        }
    }

    /// Writes since the last call, in the order in which they must be stored.
    pub fn take_writes(&mut self) -> Vec<PendingWrite> {
        std::mem::take(&mut self.writes)
    }

    pub(crate) fn push(
        &mut self,
        record: Option<(String, Option<Vec<u8>>)>,
        effect: Option<CommitEffect>,
    ) {
        self.writes.push(PendingWrite { record, effect });
    }

    pub(crate) fn push_task(
        &mut self,
        task: &TaskName,
        record: &TaskRecord,
        effect: Option<CommitEffect>,
    ) {
        let value = serde_json::to_vec(record).unwrap_or_default();
        self.push(Some((task.to_string(), Some(value))), effect);
    }

    /// Adds a job; returns `false` and changes nothing if its id is known.
    pub fn submit(&mut self, id: &JobId, spec: JobSpec) -> bool {
        if self.jobs.contains_key(id) || self.ended.contains_key(id) {
            return false;
        }
        self.jobs.insert(id.clone(), JobProgress::open(id.clone(), spec));
        self.push(None, Some(CommitEffect::Published { job: id.clone(), state: JobState::Queued }));
        true
    }

    /// Cancels a job; returns `false` if it is unknown or has ended.
    pub fn cancel(&mut self, id: &JobId, unix: Millis) -> bool {
        self.end_job(id, JobState::Cancelled, unix)
    }

    /// Restores the stored final state of a job.
    pub fn restore_ending(&mut self, id: &JobId, ending: JobEnding) {
        self.jobs.shift_remove(id);
        self.ended.insert(id.clone(), ending);
    }

    /// Restores a stored task; call it only after all jobs have been submitted.
    pub fn restore_task(&mut self, name: &TaskName, record: &TaskRecord, now: Moment) {
        let job = self.jobs.get_mut(&name.job);
        let known = job.is_some();
        let mut input = (None, Arc::from(""));
        if let Some(job) = job {
            job.restore(name, record);
            input = (job.step_spec(name).cloned(), job.payload.clone());
        }
        if !known && record.placed.is_none() {
            self.push(Some((name.to_string(), None)), None);
        }
        if let Some(placed) = &record.placed {
            let job_deadline =
                self.jobs.get(&name.job).map(|job| self.deadline(&job.spec, name.occurrence));
            let unknown_until = self.unknown_until;
            let tracked = self.workers.entry(placed.agent.clone());
            let tracked =
                tracked.or_insert_with(|| TrackedWorker::open(placed.agent.clone(), unknown_until));
            let (step, payload) = input;
            // The spec of an ended job may be gone.
            let reserved = step.as_ref().map_or(TaskNeed::UNBOUNDED, StepSpec::reserved);
            let step = step.unwrap_or_default();
            let (incarnation, checkpoint) = (placed.incarnation.clone(), record.checkpoint.clone());
            let start = StartOrder {
                checkpoint,
                job_deadline: job_deadline.unwrap_or_default(),
                ..start_order(name, incarnation, record.run, &step, payload)
            };
            let mut run = AssignedRun::open(start, &step, now);
            run.stored = true;
            run.stopping = !known;
            run.reserved = reserved;
            tracked.runs.insert(name.clone(), run);
        }
    }

    /// Finishes loading: ends jobs whose last task is done and publishes the state
    /// of every job.
    pub fn finish_loading(&mut self, unix: Millis) {
        let names: Vec<_> = self.jobs.keys().cloned().collect();
        for id in names {
            self.complete_loaded(&id, unix);
        }
        let live = self.jobs.values().map(|job| (job.id.clone(), job.state));
        let ended = self.ended.iter().map(|(id, ending)| (id.clone(), ending.state));
        let published: Vec<_> = live.chain(ended).collect();
        for (job, state) in published {
            self.push(None, Some(CommitEffect::Published { job, state }));
        }
    }

    /// Ends a job whose tasks are all done, if the previous owner did not store its end.
    fn complete_loaded(&mut self, id: &JobId, unix: Millis) {
        if self.jobs.get(id).is_some_and(JobProgress::is_completed) {
            self.end_job(id, JobState::Completed, unix);
        }
    }

    /// Configuration of a job's queue; defaults if the queue is no longer configured.
    #[must_use]
    pub fn queue_config(&self, spec: &JobSpec) -> Arc<QueueConfig> {
        let config = self.view.config.as_ref();
        let config = config.and_then(|config| config.queues.get(&spec.queue)).cloned();
        config.unwrap_or_else(|| Arc::new(QueueConfig::of_removed(&spec.queue, &spec.service)))
    }

    /// Unix time by which an occurrence of a job should be done.
    fn deadline(&self, spec: &JobSpec, occurrence: u32) -> Millis {
        let begins = spec.due(occurrence).unwrap_or(spec.accepted);
        begins.saturating_add(self.queue_config(spec).time_budget(spec.critical_path()))
    }

    /// Ends a job: stops its runs and deletes the records of tasks that are not placed.
    pub(crate) fn end_job(&mut self, id: &JobId, state: JobState, unix: Millis) -> bool {
        let Some(job) = self.jobs.shift_remove(id) else { return false };
        let ending = JobEnding { state, at: unix };
        self.ended.insert(id.clone(), ending);
        let value = serde_json::to_vec(&ending).unwrap_or_default();
        let published = CommitEffect::Published { job: id.clone(), state };
        self.push(Some((id.to_string(), Some(value))), Some(published));
        for name in job.started() {
            let placed = self.workers.values_mut().any(|tracked| {
                tracked.stop(&name);
                tracked.runs.contains_key(&name)
            });
            if !placed {
                self.push(Some((name.to_string(), None)), None);
            }
        }
        true
    }

    /// Opens due occurrences and places every ready task that fits on a worker.
    pub fn place(&mut self, now: Moment, unix: Millis) {
        for id in self.placement_order(unix) {
            self.place_job(&id, now, unix);
        }
    }

    fn placement_order(&mut self, unix: Millis) -> Vec<JobId> {
        let mut order = Vec::with_capacity(self.jobs.len());
        for job in self.jobs.values_mut() {
            job.open_due(unix);
        }
        for job in self.jobs.values() {
            let newest = job.occurrences.keys().next_back().copied().unwrap_or_default();
            // At equal priority, jobs that can no longer meet their deadline come last.
            let late = !job.spec.is_endless() && self.deadline(&job.spec, newest) < unix;
            let priority = self.queue_config(&job.spec).priority;
            order.push((priority, late, job.spec.accepted, job.id.clone()));
        }
        order.sort();
        order.into_iter().map(|(_, _, _, id)| id).collect()
    }

    fn place_job(&mut self, id: &JobId, now: Moment, unix: Millis) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.update_idle(now);
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
        let config = self.queue_config(&spec);
        if job.has_failed(config.attempts) {
            self.end_job(id, JobState::Failed, unix);
            return;
        }
        for (occurrence, step) in ready {
            let Some(step_spec) = spec.steps.get(usize::from(step)) else { continue };
            let first = TaskName { job: id.clone(), occurrence, step, index: 0 };
            if step_spec.gang {
                self.place_gang(&first, step_spec, &config, now);
            } else {
                self.place_step(&first, step_spec, &config, now);
            }
        }
    }

    fn place_step(&mut self, first: &TaskName, step: &StepSpec, config: &QueueConfig, now: Moment) {
        for index in 0..step.tasks {
            let name = TaskName { index, ..first.clone() };
            let task = self.jobs.get(&first.job).and_then(|job| job.task(&name));
            let Some(task) = task.filter(|task| task.is_waiting(now)) else { continue };
            let run = task.run.saturating_add(1);
            let Some(agent) = self.choose(&name, step, config, now) else { return };
            self.start(&agent, &name, run, now);
            if let Some(job) = self.jobs.get_mut(&first.job) {
                job.update_idle(now);
            }
        }
    }

    /// Places all tasks of a gang or none.
    fn place_gang(&mut self, first: &TaskName, step: &StepSpec, config: &QueueConfig, now: Moment) {
        let names: Vec<_> =
            (0..step.tasks).map(|index| TaskName { index, ..first.clone() }).collect();
        let Some(job) = self.jobs.get(&first.job) else { return };
        let members: Vec<_> = names.iter().filter_map(|name| job.task(name)).collect();
        if !members.iter().all(|member| member.is_waiting(now)) {
            return;
        }
        let run = members.iter().map(|member| member.run).max().unwrap_or_default();
        let run = run.saturating_add(1);
        let Some(agents) = self.choose_gang(&names, step, config, now) else { return };
        for (name, agent) in names.iter().zip(agents) {
            self.start(&agent, name, run, now);
        }
    }

    fn choose_gang(
        &mut self,
        names: &[TaskName],
        step: &StepSpec,
        config: &QueueConfig,
        now: Moment,
    ) -> Option<Vec<AgentName>> {
        let mut racks: Vec<_> =
            self.workers.values().filter_map(|tracked| tracked.rack().cloned()).collect();
        racks.sort();
        racks.dedup();
        let one_rack = racks.into_iter().filter(|_| step.one_rack).map(Some);
        for rack in one_rack.chain([None]) {
            let within = StepSpec { label: rack.or(step.label.clone()), ..step.clone() };
            let mut chosen = Vec::new();
            for name in names {
                let Some(agent) = self.choose(name, &within, config, now) else { break };
                self.assign_run(&agent, name, &within, 0, now);
                chosen.push(agent);
            }
            for (name, agent) in names.iter().zip(&chosen) {
                if let Some(tracked) = self.workers.get_mut(agent) {
                    tracked.runs.shift_remove(name);
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
        config: &QueueConfig,
        now: Moment,
    ) -> Option<AgentName> {
        let taken_out = &self.view.taken_out;
        let (service, interference) = (&config.service, &self.interference);
        let may_wait = self.jobs.get(&task.job).is_none_or(|job| job.may_wait(now));
        let context = ChoiceContext { task, step, service, taken_out, interference, may_wait, now };
        let costs =
            self.workers.values().filter_map(|tracked| Some((cost(tracked, &context)?, tracked)));
        costs.min_by_key(|(cost, _)| *cost).map(|(_, tracked)| tracked.agent.clone())
    }

    fn assign_run(
        &mut self,
        agent: &AgentName,
        name: &TaskName,
        step: &StepSpec,
        run: RunNumber,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get(&name.job) else { return };
        let checkpoint =
            job.task(name).map(|task| task.checkpoint.clone()).unwrap_or_else(|| Arc::from(""));
        let payload = job.payload.clone();
        let job_deadline = self.deadline(&job.spec, name.occurrence);
        let Some(tracked) = self.workers.get_mut(agent) else { return };
        let Some(incarnation) = tracked.worker.as_ref().map(|worker| worker.incarnation.clone())
        else {
            return;
        };
        let start = StartOrder {
            checkpoint,
            job_deadline,
            ..start_order(name, incarnation, run, step, payload)
        };
        tracked.runs.insert(name.clone(), AssignedRun::open(start, step, now));
    }

    fn start(&mut self, agent: &AgentName, name: &TaskName, run: RunNumber, now: Moment) {
        let incarnation = self.workers.get(agent).and_then(|tracked| tracked.worker.as_ref());
        let Some(incarnation) = incarnation.map(|worker| worker.incarnation.clone()) else {
            return;
        };
        let Some(step) = self.jobs.get(&name.job).and_then(|job| job.step_spec(name)).cloned()
        else {
            return;
        };
        self.assign_run(agent, name, &step, run, now);
        let reserved_cpu = self.workers.get(agent).map_or(0, |tracked| tracked.reserved().cpu);
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        let Some(task) = job.task_mut(name) else { return };
        task.run = run;
        task.place = TaskPlace::Placed(agent.clone());
        let record = task.record(Some(PlacedAt { agent: agent.clone(), incarnation }));
        let started =
            CommitEffect::Started { agent: agent.clone(), task: name.clone(), run, reserved_cpu };
        self.push_task(name, &record, Some(started));
    }

    /// Applies the effect of a stored write to the state of its worker.
    pub fn release(&mut self, effect: &CommitEffect) {
        match effect {
            CommitEffect::Started { agent, task, run, .. } => self.send_start(agent, task, *run),
            CommitEffect::Acknowledged { agent, incarnation, number } => {
                if let Some(tracked) = self.workers.get_mut(agent)
                    && tracked
                        .worker
                        .as_ref()
                        .is_some_and(|worker| worker.incarnation == *incarnation)
                {
                    tracked.acknowledged = tracked.acknowledged.max(*number);
                    tracked.has_updates = true;
                }
            }
            CommitEffect::RunAcknowledged { agent, task, run } => {
                if let Some(tracked) = self.workers.get_mut(agent) {
                    tracked.acknowledged_runs.push((task.clone(), *run));
                    tracked.has_updates = true;
                }
            }
            CommitEffect::Published { .. } => {}
        }
    }

    fn send_start(&mut self, agent: &AgentName, task: &TaskName, number: RunNumber) {
        let Some(tracked) = self.workers.get_mut(agent) else { return };
        let Some(run) = tracked.runs.get_mut(task).filter(|run| run.start.run == number) else {
            return;
        };
        run.stored = true;
        let order = run.order();
        tracked.order(order);
    }

    /// Marks agents with outstanding orders, so that the next answers repeat these orders.
    pub fn resend_orders(&mut self) {
        for tracked in self.workers.values_mut() {
            tracked.has_updates |= !tracked.orders.is_empty();
        }
    }

    /// Number of jobs of which no task is known to have started, by queue.
    #[must_use]
    pub fn pending(&self) -> IndexMap<QueueName, u64> {
        let mut pending = IndexMap::new();
        for job in self.jobs.values().filter(|job| job.state == JobState::Queued) {
            *pending.entry(job.spec.queue.clone()).or_insert(0) += 1;
        }
        pending
    }

    /// Whether the run is assigned to the agent's worker.
    #[must_use]
    pub fn is_assigned(&self, agent: &AgentName, task: &TaskName, run: RunNumber) -> bool {
        let tracked = self.workers.get(agent);
        tracked
            .and_then(|tracked| tracked.runs.get(task))
            .is_some_and(|assigned| assigned.start.run == run)
    }

    /// Drops the states of jobs that ended more than `ENDED_LIFETIME` ago; returns these jobs.
    pub fn drop_ended(&mut self, unix: Millis) -> Vec<JobId> {
        let old = |ending: &JobEnding| ending.at.saturating_add(ENDED_LIFETIME) < unix;
        let dropped: Vec<_> =
            self.ended.iter().filter(|(_, ending)| old(ending)).map(|(id, _)| id.clone()).collect();
        for id in &dropped {
            self.ended.shift_remove(id);
            self.push(Some((id.to_string(), None)), None);
        }
        dropped
    }
}

/// A start without a checkpoint; the caller sets the job's deadline.
fn start_order(
    task: &TaskName,
    incarnation: WorkerIncarnation,
    run: RunNumber,
    step: &StepSpec,
    payload: Arc<str>,
) -> StartOrder {
    StartOrder {
        task: task.clone(),
        incarnation,
        run,
        checkpoint: Checkpoint::from(""),
        payload,
        latency_bound: step.latency_bound,
        best_effort: step.best_effort,
        image: step.image.clone(),
        cpu: step.need.cpu,
        job_deadline: 0,
    }
}
