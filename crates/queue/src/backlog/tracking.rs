//! Changes of jobs that change the sums of the remaining work.

use cactusdoor_core::unit::{Millis, Moment};
use indexmap::IndexSet;

use super::admission::USELESS_BUDGETS;
use super::index::{OccurrenceKey, TrackedWork};
use super::{Backlog, task_work};
use crate::config::OperatorView;
use crate::job::{JobProgress, TaskProgress};
use crate::name::{AgentName, JobId, ServiceName, StepName, TaskName};
use crate::scheduler::QueueScheduler;
use crate::worker::REPORT_TIMEOUT;

/// The rate is not measured while more than one in so many agents is silent: what their workers
/// do is not known. A single lost worker of a fleet changes little.
const SILENT_PART: usize = 10;

impl QueueScheduler {
    /// The work that waits; `None` unless refusals are switched on.
    pub fn backlog(&mut self, now: Moment, unix: Millis) -> Option<Backlog> {
        if !self.features.refusals {
            return None;
        }
        Some(self.backlog_index.answer(self.features.job_order, now, unix))
    }

    /// Records for which services best-effort tasks wait. Call it only while the owner may place.
    pub(crate) fn sample_waiting(&mut self, now: Moment) {
        if !self.features.refusals {
            return;
        }
        let mut waiting = IndexSet::new();
        for (service, step) in self.waiting.refused_best_effort() {
            if !waiting.contains(service) && self.waits_for_room(service, step, now) {
                waiting.insert(service.clone());
            }
        }
        self.backlog_index.sample(&waiting, now);
        let (reached, agents) = self.reached_agents(REPORT_TIMEOUT, now);
        if (agents - reached) * SILENT_PART > agents {
            self.backlog_index.placing.interrupt(now);
        }
    }

    /// Whether a step that no worker can take shows that there is no room for others: half of
    /// the workers could take two of its tasks at once if they were empty, and none of its tasks
    /// waits for another one of them.
    fn waits_for_room(&self, service: &ServiceName, name: &StepName, now: Moment) -> bool {
        let job = self.jobs.get(&name.job);
        let step = job.and_then(|job| job.spec.steps.get(usize::from(name.step)));
        let Some(step) = step.filter(|step| !step.gang && step.per_worker == 0) else {
            return false;
        };
        let need = step.reserved().plus(&step.reserved());
        let (mut workers, mut fitting) = (0usize, 0usize);
        for tracked in self.workers.values() {
            let worker = tracked.worker.as_ref().filter(|worker| worker.service == *service);
            let reports = now <= tracked.reported_at.after(REPORT_TIMEOUT);
            let Some(worker) = worker.filter(|_| reports) else { continue };
            let labelled = step.label.as_ref().is_none_or(|label| tracked.has_label(label));
            let open = !tracked.is_taken_out(&self.view);
            workers += 1;
            fitting += usize::from(labelled && open && need.fits(&worker.capacity));
        }
        fitting > 0 && fitting * 2 >= workers
    }

    /// Adds the open occurrences of a job that the sums do not have yet.
    pub(crate) fn track_job(&mut self, id: &JobId, unix: Millis) {
        let Some(job) = self.jobs.get(id).filter(|_| self.features.refusals) else { return };
        self.backlog_index.advance(unix);
        for &occurrence in job.occurrences.keys() {
            let key = (id.clone(), occurrence);
            if !self.backlog_index.contains(&key) {
                self.backlog_index.insert(key, Self::tracked_work(&self.view, job, occurrence));
            }
        }
    }

    /// Takes all occurrences of a job out of the sums.
    pub(crate) fn untrack_job(&mut self, job: &JobProgress) {
        if !self.features.refusals {
            return;
        }
        for &occurrence in job.occurrences.keys() {
            self.backlog_index.remove(&(job.id.clone(), occurrence));
        }
    }

    /// Changes a task, and the sums with it.
    pub(crate) fn change_tracked_task(
        &mut self,
        name: &TaskName,
        change: impl FnOnce(&mut TaskProgress),
        now: Moment,
    ) {
        let Some(job) = self.jobs.get_mut(&name.job) else { return };
        let (before, was_done) = (Self::step_work(job, name), job.step_is_done(name));
        job.change_task(name, change);
        let after = Self::step_work(job, name);
        // The last task of a step may have been listed with all its progress before its end.
        let is_done = job.step_is_done(name);
        if !self.features.refusals || (before == after && is_done == was_done) {
            return;
        }
        let Some(step) = job.step_spec(name) else { return };
        let best_effort = step.best_effort;
        let key: OccurrenceKey = (name.job.clone(), name.occurrence);
        // Only the end of a step changes the remaining path.
        let in_time_until = is_done.then(|| Self::in_time_until(&self.view, job, name.occurrence));
        let changed = self.backlog_index.change(&key, |work| {
            let sum = if best_effort { &mut work.best_effort } else { &mut work.reserving };
            *sum = sum.saturating_sub(before).saturating_add(after);
            work.in_time_until = in_time_until.unwrap_or(work.in_time_until);
        });
        if let Some((service, done)) = changed.filter(|(_, done)| *done != 0) {
            self.backlog_index.rate(&service).add(done, now);
        }
    }

    /// Records the progress that a worker has listed, and the processors that its best-effort
    /// runs use, thousandths.
    pub(crate) fn record_progress(
        &mut self,
        agent: &AgentName,
        listed: Vec<(TaskName, u8)>,
        used: u64,
        now: Moment,
    ) {
        for (task, percent) in listed {
            self.change_tracked_task(&task, |task| task.percent = percent.min(100), now);
        }
        let worker = self.workers.get(agent).and_then(|tracked| tracked.worker.as_ref());
        if let Some(worker) = worker.filter(|_| self.features.refusals) {
            let used = used.min(worker.capacity.cpu);
            self.backlog_index.list(agent, &worker.service, used, now);
        }
    }

    /// Remaining work of a step, hundredths of a processor-ms.
    fn step_work(job: &JobProgress, name: &TaskName) -> u128 {
        let steps = job.occurrences.get(&name.occurrence);
        let progress = steps.and_then(|steps| steps.get(usize::from(name.step)));
        let (Some(progress), Some(step)) = (progress, job.step_spec(name)) else { return 0 };
        u128::from(task_work(step)) * u128::from(progress.left)
    }

    fn in_time_until(view: &OperatorView, job: &JobProgress, occurrence: u32) -> Millis {
        let deadline = Self::deadline(view, job, occurrence);
        deadline.saturating_sub(job.remaining_path(occurrence))
    }

    fn tracked_work(view: &OperatorView, job: &JobProgress, occurrence: u32) -> TrackedWork {
        let config = Self::configured(view, &job.spec);
        let (mut best_effort, mut reserving) = (0u128, 0u128);
        let steps = job.occurrences.get(&occurrence).into_iter().flatten();
        for (progress, step) in steps.zip(&job.spec.steps) {
            let sum = if step.best_effort { &mut best_effort } else { &mut reserving };
            *sum += u128::from(task_work(step)) * u128::from(progress.left);
        }
        let begins = job.spec.due(occurrence).unwrap_or(job.spec.accepted);
        let budget = config.terms.time_budget(job.critical_path);
        TrackedWork {
            service: config.service.clone(),
            priority: config.terms.priority,
            best_effort,
            reserving,
            in_time_until: Self::in_time_until(view, job, occurrence),
            deadline: Self::deadline(view, job, occurrence),
            useful_until: begins.saturating_add(budget.saturating_mul(USELESS_BUDGETS)),
        }
    }
}
