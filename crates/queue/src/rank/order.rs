//! Keeps the ranks of the owner's jobs current, and the order of waiting steps with them.
//!
//! A rank is computed again when an occurrence is indexed, when its class ends, and some time
//! after progress. Without the feature there are no ranks.

use cactusdoor_core::unit::{Millis, Moment};
use indexmap::IndexMap;

use super::index::RankPosition;
use super::{RankCounts, RankInput, StepRank};
use crate::job::{JobProgress, StepProgress};
use crate::name::{JobId, ServiceName, StepName};
use crate::scheduler::QueueScheduler;
use crate::spec::StepSpec;
use crate::timers::DayTimer;
use crate::waiting::StepTurn;
use crate::worker::REPORT_TIMEOUT;

/// Least time between two measurements of the capacity, ms: it changes with whole workers.
const CAPACITY_INTERVAL: Millis = 1_000;
/// A capacity replaces the one in use if it differs by more than this part of it: a single
/// silent worker must not change all ranks.
const CAPACITY_CHANGE: u64 = 16;
/// Least time between two publications of the counts, ms: the bound on `order_changed`.
const PUBLISH_INTERVAL: Millis = 5_000;

impl QueueScheduler {
    /// Rank of a best-effort step; `None` without an order, or for another step.
    #[must_use]
    pub fn step_rank(&self, step: &StepName) -> Option<StepRank> {
        let job = self.jobs.get(&step.job)?;
        job.spec.steps.get(usize::from(step.step)).filter(|spec| spec.best_effort)?;
        self.ranks.rank(step)
    }

    /// Turn of a waiting step among those of its priority.
    pub(crate) fn step_turn(&self, step: &StepName, late: bool, accepted: Millis) -> StepTurn {
        let ranked = self.step_rank(step).map(StepTurn::Ranked);
        ranked.unwrap_or(StepTurn::Accepted { late, accepted })
    }

    /// Processors of a service's workers that ranks rest on, thousandths; 0 if not known.
    #[must_use]
    pub fn ranked_capacity(&self, service: &ServiceName) -> u64 {
        self.ranks.capacities.get(service).copied().unwrap_or_default()
    }

    /// Builds the order anew, or drops it, after the feature was switched.
    pub(crate) fn reset_ranks(&mut self) {
        self.ranks.clear();
        self.waiting.clear();
        self.opened = self.jobs.keys().cloned().collect();
        if !self.features.job_order {
            return;
        }
        for run in self.workers.values().flat_map(|tracked| tracked.runs.values()) {
            if let Some(job) = self.jobs.get(&run.start.task.job) {
                self.ranks.change_progress(job, &run.start.task, None, run.percent);
            }
        }
    }

    /// Computes ranks again after progress, and moves waiting steps with them.
    pub(crate) fn update_ranks(&mut self, now: Moment, unix: Millis) {
        if !self.features.job_order {
            return;
        }
        self.measure_capacities(now);
        for (job, occurrence) in self.ranks.due(now) {
            if self.refresh_rank(&job, occurrence, now, unix) {
                self.reorder_steps(&job, occurrence);
            }
        }
    }

    /// Computes the rank of an occurrence; returns whether it has changed.
    pub(crate) fn refresh_rank(
        &mut self,
        id: &JobId,
        occurrence: u32,
        now: Moment,
        unix: Millis,
    ) -> bool {
        if !self.features.job_order {
            return false;
        }
        let job = self.jobs.get(id);
        let steps = job.map_or(0, |job| open_steps(job, occurrence));
        let input = job.filter(|_| steps > 0).map(|job| self.rank_input(job, occurrence, unix));
        let position = input.map(|input| {
            let (rank, class) = (input.rank(), input.class());
            RankPosition { rank, class, steps }
        });
        let has_changed = self.ranks.set(id, occurrence, position, now);
        if let Some(at) = input.and_then(|input| input.next_class_at()) {
            self.set_class_timer(id, occurrence, at, unix);
        }
        has_changed
    }

    /// Sets the only timer of an occurrence: progress delays the change of its class, so an earlier
    /// timer is kept, and sets the next one when it fires.
    fn set_class_timer(&mut self, id: &JobId, occurrence: u32, at: Millis, unix: Millis) {
        let timer = DayTimer::Late(id.clone(), occurrence);
        let pending = self.ranks.timer(id, occurrence).filter(|pending| *pending > unix);
        if let Some(later) = pending.filter(|pending| *pending > at) {
            self.day_timers.cancel(later, timer.clone());
        }
        let at = pending.map_or(at, |pending| pending.min(at));
        self.day_timers.set(at, timer);
        self.ranks.set_timer(id, occurrence, at);
    }

    pub(crate) fn rank_input(&self, job: &JobProgress, occurrence: u32, unix: Millis) -> RankInput {
        let config = self.queue_config(&job.spec);
        let deadline = Self::deadline(&self.view, job, occurrence);
        let accepted = job.spec.accepted;
        let steps = job.occurrences.get(&occurrence).into_iter().flatten();
        let (mut remaining_work, mut total_work, mut remaining_path) = (0u64, 0u64, 0);
        for ((step, progress), spec) in (0u16..).zip(steps).zip(&job.spec.steps) {
            if spec.endless {
                continue;
            }
            let listed = self.ranks.progress(&job.id, occurrence, usize::from(step));
            if !progress.is_done() {
                let path = job.path_after(step).saturating_add(step_path(spec, progress, listed));
                remaining_path = remaining_path.max(path);
            }
            remaining_work = remaining_work.saturating_add(step_work(spec, progress, listed));
            total_work = total_work.saturating_add(work(spec, u64::from(spec.tasks) * 100));
        }
        RankInput {
            priority: config.terms.priority,
            accepted: job.spec.due(occurrence).map_or(accepted, |due| due.max(accepted)),
            deadline: if job.spec.is_endless() { Millis::MAX } else { deadline },
            budget: config.terms.time_budget(job.critical_path),
            remaining_path,
            remaining_work,
            total_work,
            capacity: self.ranked_capacity(&config.service),
            now: unix,
        }
    }

    fn reorder_steps(&mut self, id: &JobId, occurrence: u32) {
        let Some(job) = self.jobs.get(id) else { return };
        for step in (0u16..).zip(&job.spec.steps).map(|(step, _)| step) {
            let name = StepName { job: id.clone(), occurrence, step };
            if let Some(rank) = self.step_rank(&name) {
                self.waiting.rerank(&name, rank);
            }
        }
    }

    /// Measures the processors of each service's workers that report. If none report, the last
    /// capacity stays in use.
    fn measure_capacities(&mut self, now: Moment) {
        if now < self.ranks.measured.after(CAPACITY_INTERVAL) || self.awaits_workers(now) {
            return;
        }
        self.ranks.measured = now;
        let mut capacities: IndexMap<&ServiceName, u64> = IndexMap::new();
        let reporting = |at: Moment| now <= at.after(REPORT_TIMEOUT);
        for tracked in self.workers.values().filter(|tracked| reporting(tracked.reported_at)) {
            if let Some(worker) = &tracked.worker {
                let sum = capacities.entry(&worker.service).or_default();
                *sum = sum.saturating_add(worker.capacity.cpu);
            }
        }
        let mut changed = false;
        for (service, capacity) in capacities {
            let used = self.ranks.capacities.get(service).copied().unwrap_or_default();
            if used.abs_diff(capacity) > used / CAPACITY_CHANGE {
                self.ranks.capacities.insert(service.clone(), capacity);
                changed = true;
            }
        }
        if changed {
            self.ranks.mark_all();
        }
    }

    /// Whether a new owner has had no report of many workers with runs: the processors of the others
    /// would give a delay for remaining work that is far too long. A lost worker does not report,
    /// so this ends with the leases of the workers.
    fn awaits_workers(&self, now: Moment) -> bool {
        if !self.ranks.capacities.is_empty() || now > self.unknown_until {
            return false;
        }
        let unknown = self
            .workers
            .values()
            .filter(|tracked| tracked.worker.is_none() && !tracked.runs.is_empty());
        unknown.count() as u64 * CAPACITY_CHANGE > self.workers.len() as u64
    }

    /// Numbers of steps by class, if they have changed; at most once in `PUBLISH_INTERVAL`.
    pub fn take_rank_counts(&mut self, now: Moment) -> Option<RankCounts> {
        let (published, at) = self.ranks.published;
        if !self.features.job_order || now < at.after(PUBLISH_INTERVAL) {
            return None;
        }
        let counts = self.ranks.counts();
        self.ranks.published = (counts, now);
        (counts != published).then_some(counts)
    }
}

/// Number of best-effort steps of an occurrence that are not done.
fn open_steps(job: &JobProgress, occurrence: u32) -> usize {
    let steps = job.occurrences.get(&occurrence).into_iter().flatten().zip(&job.spec.steps);
    steps.filter(|(progress, spec)| spec.best_effort && !progress.is_done()).count()
}

/// Remaining work of a step; `listed` is the sum of the progress of its running tasks.
fn step_work(spec: &StepSpec, progress: &StepProgress, listed: u64) -> u64 {
    let open = u64::from(progress.count.waiting) + u64::from(progress.count.placed);
    work(spec, (open * 100).saturating_sub(listed))
}

/// Remaining duration of a step, ms, by the mean progress of its tasks that are not done.
fn step_path(spec: &StepSpec, progress: &StepProgress, listed: u64) -> Millis {
    let open = u64::from(progress.count.waiting) + u64::from(progress.count.placed);
    let mean = (listed / open.max(1)).min(100);
    let left = u128::from(spec.estimate) * u128::from(100 - mean) / 100;
    Millis::try_from(left).unwrap_or(Millis::MAX)
}

/// Work of a number of tasks, given in percent of one task.
fn work(spec: &StepSpec, percent: u64) -> u64 {
    let task = u128::from(spec.need.cpu) * u128::from(spec.estimate);
    u64::try_from(task.saturating_mul(u128::from(percent)) / 100).unwrap_or(u64::MAX)
}
