//! The owner's scheduler: its jobs, its workers, and the placement of tasks.
//!
//! Decides which job is served first, which task starts on which worker, and when
//! a job ends. Every change is queued as a write, in the order in which it must be
//! stored. The effect of a write may be released only once that write and all
//! earlier ones are stored.

use std::sync::Arc;

use cactusdoor_core::unit::{Epoch, Millis, Moment};
use indexmap::{IndexMap, IndexSet};

use crate::backlog::BacklogIndex;
use crate::config::{OperatorView, QueueConfig};
use crate::features::SchedulingFeatures;
use crate::interference::InterferenceModel;
use crate::job::JobProgress;
use crate::lease::{CONFIRM_LIMIT, clock_bound};
use crate::moves::index::MoveState;
use crate::name::{
    AgentName, Checkpoint, JobId, QueueName, RunNumber, StepName, TaskName, WorkerIncarnation,
};
use crate::observation::RunObservation;
use crate::rank::RankIndex;
use crate::record::{JobEnding, TaskRecord};
use crate::report::{JobState, LoadReport, StartOrder};
use crate::spec::{JobSpec, StepSpec, TaskNeed};
use crate::timers::{DayTimer, SteadyTimer, TimerQueue};
use crate::waiting::{RoomChanges, WaitingSteps};
use crate::worker::{AssignedRun, TrackedWorker};
pub use crate::write::{CommitEffect, PendingWrite};

/// Time for which the state of an ended job is kept, ms: twice the time promised to callers.
const ENDED_LIFETIME: Millis = 240_000;
/// Least time between two executions of [`QueueScheduler::balance`], ms: a fraction of the time
/// between two lists of a worker.
const BALANCE_INTERVAL: Millis = 100;

/// State of one owner: jobs, workers, and writes that are not stored yet.
#[derive(Debug)]
pub struct QueueScheduler {
    pub epoch: Epoch,
    pub jobs: IndexMap<JobId, JobProgress>,
    pub ended: IndexMap<JobId, JobEnding>,
    pub workers: IndexMap<AgentName, TrackedWorker>,
    pub(crate) view: OperatorView,
    pub(crate) features: SchedulingFeatures,
    /// When [`Self::balance`] was last executed.
    balanced: Moment,
    /// Whether the next placement is followed by a decision on moves.
    pub(crate) moves_due: bool,
    pub(crate) ranks: RankIndex,
    pub(crate) moves: MoveState,
    /// Not stored; each owner learns it anew.
    pub interference: InterferenceModel,
    /// Whether samples have arrived since refused best-effort steps were last tried.
    pub(crate) interference_changed: bool,
    pub(crate) best_effort_tried: Moment,
    writes: Vec<PendingWrite>,
    pub(crate) observations: Vec<RunObservation>,
    /// Runs of agents that have not reported to this owner may continue until this time.
    pub(crate) unknown_until: Moment,
    pub(crate) waiting: WaitingSteps,
    pub(crate) rooms: RoomChanges,
    /// Sums of the remaining work; kept only if refusals are switched on.
    pub(crate) backlog_index: BacklogIndex,
    /// Jobs whose first occurrences have not been opened.
    pub(crate) opened: Vec<JobId>,
    /// Occurrences whose waiting steps must be determined again.
    pub(crate) changed: IndexSet<(JobId, u32)>,
    pub(crate) steady_timers: TimerQueue<SteadyTimer>,
    pub(crate) day_timers: TimerQueue<DayTimer>,
    /// No lease of a worker with runs ends before this time; `None` if no worker has runs.
    pub(crate) next_expiry: Option<Moment>,
    /// Jobs of which no task is known to have started, by queue.
    pending: IndexMap<QueueName, u64>,
    /// Agents to which orders wait to be sent.
    updated: IndexSet<AgentName>,
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
            features: SchedulingFeatures::default(),
            balanced: Moment::default(),
            moves_due: false,
            ranks: RankIndex::default(),
            moves: MoveState::default(),
            interference: InterferenceModel::default(),
            interference_changed: false,
            best_effort_tried: Moment::default(),
            writes: Vec::new(),
            observations: Vec::new(),
            unknown_until,
            waiting: WaitingSteps::default(),
            rooms: RoomChanges::default(),
            backlog_index: BacklogIndex::default(),
            opened: Vec::new(),
            changed: IndexSet::new(),
            steady_timers: TimerQueue::default(),
            day_timers: TimerQueue::default(),
            next_expiry: None,
            pending: IndexMap::new(),
            updated: IndexSet::new(),
        }
    }

    /// The operators' configuration and the data centres taken out.
    #[must_use]
    pub fn view(&self) -> &OperatorView {
        &self.view
    }

    /// Replaces the operators' view; all waiting steps are looked at again, and no run that
    /// waits for its start begins in a data centre taken out.
    pub fn set_view(&mut self, view: OperatorView) {
        self.view = view;
        let (workers, view) = (self.workers.values_mut(), &self.view);
        for tracked in workers.filter(|tracked| tracked.is_taken_out(view)) {
            let stopped = tracked.stop_unstarted();
            self.observations.extend(RunObservation::withdrawn(&tracked.agent, stopped));
            if tracked.has_updates {
                self.updated.insert(tracked.agent.clone());
            }
        }
        // Priorities and services may have changed; opening the jobs counts them again.
        self.backlog_index.clear();
        self.waiting.clear();
        self.day_timers.clear();
        self.opened = self.jobs.keys().cloned().collect();
    }

    /// Switches optional decisions on or off.
    pub fn set_features(&mut self, features: SchedulingFeatures) {
        let order_switched = self.features.job_order != features.job_order;
        if features.refusals && !self.features.refusals {
            self.opened = self.jobs.keys().cloned().collect();
        }
        self.features = features;
        if order_switched {
            self.reset_ranks();
        }
        if !features.refusals {
            self.backlog_index.clear();
        }
    }

    /// Applies a report with the worker's load; see [`Self::report`].
    pub fn report_load(&mut self, report: &LoadReport, now: Moment, unix: Millis) -> bool {
        let applied = self.report(&report.report, now, unix);
        if applied && let Some(load) = &report.load {
            self.keep_load(&report.report.agent, load, now);
        }
        applied
    }

    /// Updates the order of best-effort steps and has the next [`Self::place`] decide moves, at most
    /// once in `BALANCE_INTERVAL`. Call it directly before [`Self::place`], and only while starts are
    /// permitted.
    pub fn balance(&mut self, now: Moment, unix: Millis) {
        if now < self.balanced.after(BALANCE_INTERVAL) {
            return;
        }
        self.balanced = now;
        self.update_ranks(now, unix);
        self.sample_waiting(now);
        self.moves_due = self.features.moves;
    }

    /// Writes since the last call, in the order in which they must be stored.
    pub fn take_writes(&mut self) -> Vec<PendingWrite> {
        std::mem::take(&mut self.writes)
    }

    /// Agents to which orders have waited to be sent since the last call.
    pub fn take_updated(&mut self) -> IndexSet<AgentName> {
        std::mem::take(&mut self.updated)
    }

    /// Names the agent among the updated ones if orders wait for it.
    pub(crate) fn note_updates(&mut self, agent: &AgentName) {
        if self.workers.get(agent).is_some_and(|tracked| tracked.has_updates) {
            self.updated.insert(agent.clone());
        }
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
        *self.pending.entry(spec.queue.clone()).or_default() += 1;
        self.opened.push(id.clone());
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
        self.remove_job(id);
        self.ended.insert(id.clone(), ending);
    }

    /// Removes a job with its waiting steps and timers.
    fn remove_job(&mut self, id: &JobId) -> Option<JobProgress> {
        let job = self.jobs.swap_remove(id)?;
        self.ranks.remove(id);
        self.untrack_job(&job);
        if job.state == JobState::Queued {
            self.discount_pending(&job.spec.queue);
        }
        for (&occurrence, steps) in &job.occurrences {
            for (step, progress) in (0u16..).zip(steps) {
                if progress.count.waiting > 0 {
                    self.waiting.remove(&StepName { job: id.clone(), occurrence, step });
                }
            }
        }
        if let Some(due) = job.next_due() {
            self.day_timers.cancel(due, DayTimer::Due(id.clone()));
        }
        Some(job)
    }

    /// Records that a job no longer counts as pending.
    pub(crate) fn discount_pending(&mut self, queue: &QueueName) {
        let Some(number) = self.pending.get_mut(queue) else { return };
        *number = number.saturating_sub(1);
        if *number == 0 {
            self.pending.swap_remove(queue);
        }
    }

    /// Restores a stored task; call it only after all jobs have been submitted.
    pub fn restore_task(&mut self, name: &TaskName, record: &TaskRecord, now: Moment) {
        let job = self.jobs.get_mut(&name.job);
        let known = job.is_some();
        let mut input = (None, Arc::from(""));
        let mut started = None;
        if let Some(job) = job {
            let queued = job.state == JobState::Queued;
            job.restore(name, record);
            started = (queued && job.state != JobState::Queued).then(|| job.spec.queue.clone());
            input = (job.step_spec(name).cloned(), job.payload.clone());
        }
        if let Some(queue) = started {
            self.discount_pending(&queue);
        }
        if !known && record.placed.is_none() {
            self.push(Some((name.to_string(), None)), None);
        }
        if let Some(placed) = &record.placed {
            let job = self.jobs.get(&name.job);
            let job_deadline = job.map(|job| Self::deadline(&self.view, job, name.occurrence));
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
            tracked.runs.insert(run);
            let lease_end = tracked.lease_end;
            self.expire_from(lease_end);
        }
    }

    /// Has the leases checked after `lease_end`, at the latest.
    pub(crate) fn expire_from(&mut self, lease_end: Moment) {
        self.next_expiry = Some(self.next_expiry.map_or(lease_end, |known| known.min(lease_end)));
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

    /// Configuration of a job's queue; the terms of its acceptance if the queue is not configured.
    #[must_use]
    pub fn queue_config(&self, spec: &JobSpec) -> Arc<QueueConfig> {
        Self::configured(&self.view, spec)
    }

    pub(crate) fn configured(view: &OperatorView, spec: &JobSpec) -> Arc<QueueConfig> {
        let config = view.config.as_ref();
        let config = config.and_then(|config| config.queues.get(&spec.queue)).cloned();
        config.unwrap_or_else(|| {
            let terms = spec.terms.unwrap_or_default();
            Arc::new(QueueConfig::of_removed(&spec.queue, &spec.service, terms))
        })
    }

    /// Whether a task or a gang of the job has used all attempts of its queue. Without a
    /// configuration their number is not known: jobs that have used them end once it is.
    pub(crate) fn has_failed(&self, job: &JobProgress) -> bool {
        self.view.config.is_some() && job.has_failed(self.queue_config(&job.spec).terms.attempts)
    }

    /// Unix time by which an occurrence of a job should be done.
    pub(crate) fn deadline(view: &OperatorView, job: &JobProgress, occurrence: u32) -> Millis {
        let begins = job.spec.due(occurrence).unwrap_or(job.spec.accepted);
        let budget = Self::configured(view, &job.spec).terms.time_budget(job.critical_path);
        begins.saturating_add(budget)
    }

    /// Ends a job: stops its runs and deletes the records of tasks that are not placed.
    pub(crate) fn end_job(&mut self, id: &JobId, state: JobState, unix: Millis) -> bool {
        let Some(job) = self.remove_job(id) else { return false };
        let ending = JobEnding { state, at: unix };
        self.ended.insert(id.clone(), ending);
        let value = serde_json::to_vec(&ending).unwrap_or_default();
        let published = CommitEffect::Published { job: id.clone(), state };
        self.push(Some((id.to_string(), Some(value))), Some(published));
        for (name, agent) in job.started() {
            let tracked = agent.as_ref().and_then(|agent| self.workers.get_mut(agent));
            let placed = tracked.is_some_and(|tracked| {
                tracked.stop(&name);
                tracked.runs.contains_key(&name)
            });
            if let Some(agent) = agent.filter(|_| placed) {
                self.note_updates(&agent);
            }
            if !placed {
                self.push(Some((name.to_string(), None)), None);
            }
        }
        true
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
                }
            }
            CommitEffect::RunAcknowledged { agent, task, run } => {
                if let Some(tracked) = self.workers.get_mut(agent) {
                    tracked.acknowledged_runs.push((task.clone(), *run));
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
        self.updated.insert(agent.clone());
    }

    /// Marks agents with outstanding orders, so that the next answers repeat these orders.
    pub fn resend_orders(&mut self) {
        for tracked in self.workers.values_mut().filter(|tracked| !tracked.orders.is_empty()) {
            tracked.has_updates = true;
            self.updated.insert(tracked.agent.clone());
        }
    }

    /// Number of agents that have reported within `silence` ms, and of all known agents. An
    /// agent that has been silent for longer than any lease has left.
    #[must_use]
    pub fn reached_agents(&self, silence: Millis, now: Moment) -> (usize, usize) {
        let reported = self.workers.values().filter(|tracked| tracked.incarnation != 0);
        let reported = reported.map(|tracked| tracked.reported_at);
        let known = reported.filter(|at| now <= clock_bound(*at, CONFIRM_LIMIT));
        known.fold((0, 0), |(reached, agents), at| {
            (reached + usize::from(now <= at.after(silence)), agents + 1)
        })
    }

    /// Number of jobs of which no task is known to have started, by queue.
    #[must_use]
    pub fn pending(&self) -> &IndexMap<QueueName, u64> {
        &self.pending
    }

    /// Whether the run is assigned to the agent's worker.
    #[must_use]
    pub fn is_assigned(&self, agent: &AgentName, task: &TaskName, run: RunNumber) -> bool {
        self.assigned(agent, task, run).is_some()
    }

    fn assigned(&self, agent: &AgentName, task: &TaskName, run: RunNumber) -> Option<&AssignedRun> {
        let assigned = self.workers.get(agent)?.runs.get(task)?;
        Some(assigned).filter(|assigned| assigned.start.run == run)
    }

    /// Whether the run is assigned to the agent's worker and has not lapsed.
    #[must_use]
    pub fn is_live(&self, agent: &AgentName, task: &TaskName, run: RunNumber) -> bool {
        self.assigned(agent, task, run).is_some_and(|assigned| !assigned.lapsed)
    }

    /// Drops the states of jobs that ended more than `ENDED_LIFETIME` ago; returns these jobs.
    pub fn drop_ended(&mut self, unix: Millis) -> Vec<JobId> {
        let old = |ending: &JobEnding| ending.at.saturating_add(ENDED_LIFETIME) < unix;
        let dropped: Vec<_> =
            self.ended.iter().filter(|(_, ending)| old(ending)).map(|(id, _)| id.clone()).collect();
        for id in &dropped {
            self.ended.swap_remove(id);
            self.push(Some((id.to_string(), None)), None);
        }
        dropped
    }
}

/// A start without a checkpoint; the caller sets the job's deadline.
pub(crate) fn start_order(
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
