//! The ranks in use, and what has changed since they were computed.

use std::collections::BTreeMap;

use cactusdoor_core::unit::{Millis, Moment};
use indexmap::{IndexMap, IndexSet};

use super::updates::SentRanks;
use super::{RankClass, StepRank};
use crate::job::JobProgress;
use crate::name::{AgentName, JobId, ServiceName, StepName, TaskName};

/// Least time between two computations of a rank after progress, ms: half of the time
/// between two lists of a worker.
const REFRESH_INTERVAL: Millis = 300;
/// Most ranks that one call computes: a fraction of a millisecond. A change of the capacity
/// concerns all jobs.
const MAX_REFRESHED: usize = 500;
/// Progress of a task that is done, percent.
const DONE_PERCENT: u8 = 100;

/// Numbers of best-effort steps by class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RankCounts {
    pub feasible: usize,
    pub useful: usize,
    pub neither: usize,
}

/// Rank of the best-effort steps of an occurrence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RankPosition {
    pub rank: StepRank,
    pub class: RankClass,
    /// Number of best-effort steps that are not done.
    pub steps: usize,
}

/// An occurrence of a job with best-effort steps.
#[derive(Debug, Default)]
struct RankedOccurrence {
    /// `None` before the first computation.
    position: Option<RankPosition>,
    /// Sum of the listed progress of running tasks, percent, by step.
    progress: Vec<u64>,
    refreshed: Moment,
    /// Unix time of the timer for the next change of the class.
    timer: Option<Millis>,
}

/// Ranks of all jobs with best-effort steps; empty if there is no order.
#[derive(Debug, Default)]
pub(crate) struct RankIndex {
    jobs: IndexMap<JobId, BTreeMap<u32, RankedOccurrence>>,
    /// Occurrences whose rank must be computed again.
    changed: IndexSet<(JobId, u32)>,
    /// Processors by service, thousandths.
    pub(super) capacities: IndexMap<ServiceName, u64>,
    /// When the capacities were last measured.
    pub(super) measured: Moment,
    pub(super) sent: IndexMap<AgentName, SentRanks>,
    /// Number of the newest update.
    pub(super) number: u64,
    /// Counts that were last published, and when.
    pub(super) published: (RankCounts, Moment),
}

impl RankIndex {
    pub fn remove(&mut self, job: &JobId) {
        self.jobs.swap_remove(job);
    }

    /// Drops the ranks and the progress. Updates stay numbered without repetition.
    pub(super) fn clear(&mut self) {
        self.jobs.clear();
        self.changed.clear();
    }

    pub(super) fn rank(&self, step: &StepName) -> Option<StepRank> {
        let occurrence = self.jobs.get(&step.job)?.get(&step.occurrence)?;
        occurrence.position.map(|position| position.rank)
    }

    /// Sum of the listed progress of a step's running tasks, percent.
    pub(super) fn progress(&self, job: &JobId, occurrence: u32, step: usize) -> u64 {
        let known = self.jobs.get(job).and_then(|occurrences| occurrences.get(&occurrence));
        known.and_then(|known| known.progress.get(step)).copied().unwrap_or_default()
    }

    /// Records that the listed progress of a run has changed; `None` before its first list and
    /// after its end.
    pub fn change_progress(
        &mut self,
        job: &JobProgress,
        task: &TaskName,
        before: Option<u8>,
        percent: Option<u8>,
    ) {
        let finite = job.step_spec(task).is_some_and(|step| !step.endless);
        if before == percent || !finite || !job.is_best_effort() {
            return;
        }
        let worth = |percent: Option<u8>| u64::from(percent.unwrap_or(0).min(DONE_PERCENT));
        let occurrences = self.jobs.entry(task.job.clone()).or_default();
        let known = occurrences.entry(task.occurrence).or_default();
        let step = usize::from(task.step);
        if known.progress.len() <= step {
            known.progress.resize(step + 1, 0);
        }
        let sum = &mut known.progress[step];
        *sum = sum.saturating_add(worth(percent)).saturating_sub(worth(before));
        self.changed.insert((task.job.clone(), task.occurrence));
    }

    /// Sets the position of an occurrence, `None` if none of its best-effort steps remains;
    /// returns whether the rank has changed.
    pub(super) fn set(
        &mut self,
        job: &JobId,
        occurrence: u32,
        position: Option<RankPosition>,
        now: Moment,
    ) -> bool {
        self.changed.swap_remove(&(job.clone(), occurrence));
        let Some(position) = position else {
            let Some(occurrences) = self.jobs.get_mut(job) else { return false };
            let removed = occurrences.remove(&occurrence).is_some();
            if occurrences.is_empty() {
                self.jobs.swap_remove(job);
            }
            return removed;
        };
        let occurrences = self.jobs.entry(job.clone()).or_default();
        let known = occurrences.entry(occurrence).or_default();
        known.refreshed = now;
        let before = known.position.replace(position);
        before.is_none_or(|before| before.rank != position.rank)
    }

    /// The timer of an occurrence that may be set.
    pub(super) fn timer(&self, job: &JobId, occurrence: u32) -> Option<Millis> {
        self.jobs.get(job)?.get(&occurrence)?.timer
    }

    pub(super) fn set_timer(&mut self, job: &JobId, occurrence: u32, at: Millis) {
        let occurrences = self.jobs.get_mut(job);
        if let Some(known) = occurrences.and_then(|known| known.get_mut(&occurrence)) {
            known.timer = Some(at);
        }
    }

    /// Has all ranks computed again.
    pub(super) fn mark_all(&mut self) {
        for (job, occurrences) in &self.jobs {
            self.changed.extend(occurrences.keys().map(|occurrence| (job.clone(), *occurrence)));
        }
    }

    /// Occurrences whose rank is due to be computed again, at most `MAX_REFRESHED`: those that were
    /// computed first. The set is not in this order, since removals move its last entries.
    pub(super) fn due(&self, now: Moment) -> Vec<(JobId, u32)> {
        let refreshed = |(job, occurrence): &(JobId, u32)| {
            let known = self.jobs.get(job).and_then(|known| known.get(occurrence));
            known.map_or(Moment::default(), |known| known.refreshed)
        };
        let aged = self.changed.iter().map(|changed| (refreshed(changed), changed));
        let mut due: Vec<_> =
            aged.filter(|(refreshed, _)| now >= refreshed.after(REFRESH_INTERVAL)).collect();
        if due.len() > MAX_REFRESHED {
            due.select_nth_unstable(MAX_REFRESHED);
            due.truncate(MAX_REFRESHED);
        }
        due.into_iter().map(|(_, changed)| changed.clone()).collect()
    }

    pub(super) fn counts(&self) -> RankCounts {
        let mut counts = RankCounts::default();
        let known = self.jobs.values().flat_map(BTreeMap::values);
        for position in known.filter_map(|known| known.position) {
            let count = match position.class {
                RankClass::Feasible => &mut counts.feasible,
                RankClass::Useful => &mut counts.useful,
                RankClass::Neither => &mut counts.neither,
            };
            *count += position.steps;
        }
        counts
    }
}
