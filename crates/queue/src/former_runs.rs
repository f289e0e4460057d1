//! Runs that have ended on a worker, for as long as a call may still start them.
//!
//! An agent stops the runs that a late call may start on a restarted worker, but does not know
//! the calls of its own former process. The owner orders these stops instead.

use std::collections::VecDeque;

use cactusdoor_core::unit::Moment;

use crate::lease::CALL_LIFETIME;
use crate::name::{RunNumber, TaskName, WorkerIncarnation};

#[derive(Clone, Debug)]
struct FormerRun {
    task: TaskName,
    run: RunNumber,
    incarnation: WorkerIncarnation,
    /// No call starts the run after this time.
    until: Moment,
}

/// Runs that have ended on one worker, the oldest end first.
#[derive(Clone, Debug, Default)]
pub struct FormerRuns {
    runs: VecDeque<FormerRun>,
    /// Calls of former processes of the agent are not carried out after this time.
    unknown_until: Moment,
}

impl FormerRuns {
    /// Records that a new process of the agent has reported.
    pub fn expect_former_calls(&mut self, now: Moment) {
        self.unknown_until = now.after(CALL_LIFETIME);
    }

    /// Adds a run that has ended.
    pub fn add(
        &mut self,
        task: &TaskName,
        run: RunNumber,
        incarnation: &WorkerIncarnation,
        now: Moment,
    ) {
        while self.runs.front().is_some_and(|first| first.until < now) {
            self.runs.pop_front();
        }
        let (task, incarnation) = (task.clone(), incarnation.clone());
        self.runs.push_back(FormerRun { task, run, incarnation, until: now.after(CALL_LIFETIME) });
    }

    #[must_use]
    pub fn contains(&self, task: &TaskName, run: RunNumber) -> bool {
        self.runs.iter().any(|former| former.task == *task && former.run == run)
    }

    /// The runs that a call of a former process of the agent may start on the successor of their
    /// worker under the same id.
    #[must_use]
    pub fn startable(&self, worker: &WorkerIncarnation, now: Moment) -> Vec<(TaskName, RunNumber)> {
        if self.unknown_until < now {
            return Vec::new();
        }
        let former = self.runs.iter().filter(|former| {
            let earlier = &former.incarnation;
            now <= former.until && earlier.id == worker.id && earlier != worker
        });
        former.map(|former| (former.task.clone(), former.run)).collect()
    }
}
