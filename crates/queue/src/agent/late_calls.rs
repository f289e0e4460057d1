//! Start calls that may still be carried out after their worker has restarted.
//!
//! A call without an answer may be carried out seconds later, also after the call was repeated and
//! answered. The incarnation for which it was meant refuses it once its deadline has passed or its
//! run has been stopped there. A successor under the same id knows neither and has a clock that
//! starts anew. So a run with such a call does not count as ended with its worker: it ends once
//! the successor has answered its stop, or with the agent's lease.

use cactusdoor_core::unit::Moment;
use indexmap::{IndexMap, IndexSet};

use super::AgentState;
use crate::lease::CALL_LIFETIME;
use crate::name::{Checkpoint, RunNumber, TaskName, WorkerIncarnation};
use crate::report::{ReportedRun, StartOrder};
use crate::throttling::FULL_SPEED;
use crate::worker_call::WorkerCall;

/// A start of which a call has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
struct UnansweredStart {
    incarnation: WorkerIncarnation,
    /// The call is not carried out after this time.
    until: Moment,
}

/// Start calls that may still be carried out.
#[derive(Clone, Debug, Default)]
pub struct LateCalls {
    starts: IndexMap<(TaskName, RunNumber), UnansweredStart>,
    /// Calls of an earlier process of the agent are not carried out after this time.
    unknown_until: Moment,
}

impl LateCalls {
    /// Whether a call may still start the run.
    fn covers(&self, run: &(TaskName, RunNumber), now: Moment) -> bool {
        let start = self.starts.get(run);
        now <= self.unknown_until || start.is_some_and(|start| now <= start.until)
    }
}

fn key(order: &StartOrder) -> (TaskName, RunNumber) {
    (order.task.clone(), order.run)
}

impl AgentState {
    /// Records that the agent's process starts now; it does not know the calls of earlier ones.
    pub fn expect_earlier_calls(&mut self, now: Moment) {
        self.late_calls.unknown_until = now.after(CALL_LIFETIME);
    }

    /// Records a start call that is sent, or has failed, without an answer; returns whether an
    /// earlier call of the start has none either.
    pub fn record_start_call(&mut self, order: &StartOrder, now: Moment) -> bool {
        let starts = &mut self.late_calls.starts;
        starts.retain(|_, start| now <= start.until);
        let incarnation = order.incarnation.clone();
        let start = UnansweredStart { incarnation, until: now.after(CALL_LIFETIME) };
        starts.insert(key(order), start).is_some()
    }

    /// Records that every call of a start has been answered.
    pub fn settle_start(&mut self, order: &StartOrder) {
        self.late_calls.starts.shift_remove(&key(order));
    }

    /// Removes a worker whose incarnation has ended, with its runs.
    pub fn remove(&mut self) {
        self.ended_incarnation =
            self.worker.take().map(|worker| worker.incarnation).or(self.ended_incarnation.take());
        self.clear_runs();
    }

    /// Removes a worker that has ended and may start again under its id; returns its runs that
    /// a late call may start again there. They are reported as under way.
    pub fn remove_crashed(&mut self, now: Moment) -> Vec<(TaskName, RunNumber)> {
        let running = self.running.iter().map(|listed| (listed.task.clone(), listed.run));
        let ordered = self.ordered.iter().map(|(task, ordered)| (task.clone(), ordered.run));
        let ended = self.ended.iter().chain(&self.unlisted);
        let ended = ended.map(|ended| (ended.task.clone(), ended.run));
        let known: IndexSet<_> = running.chain(ordered).chain(ended).collect();
        let uncertain: Vec<_> =
            known.into_iter().filter(|run| self.late_calls.covers(run, now)).collect();
        self.remove();
        self.uncertain = uncertain.clone();
        uncertain
    }

    /// Removes a worker that has restarted under its id, before the successor has registered.
    pub fn remove_restarted(&mut self) {
        self.worker = None;
        self.clear_runs();
    }

    /// Calls to a worker that has just registered: stops of the runs that calls to an earlier
    /// incarnation under its id may start.
    pub fn stop_late_starts(&mut self, now: Moment) -> Vec<WorkerCall> {
        let Some(worker) = self.incarnation().cloned() else { return Vec::new() };
        let starts = self.late_calls.starts.iter().filter(|(_, start)| {
            let earlier = &start.incarnation;
            now <= start.until && earlier.id == worker.id && *earlier != worker
        });
        let late: Vec<_> = starts.map(|(run, _)| run.clone()).collect();
        self.superseded.extend(late.iter().cloned());
        late.into_iter().map(|(task, run)| WorkerCall::Stop { task, run }).collect()
    }

    /// The runs of a removed worker that a late call may start again.
    pub(super) fn uncertain_runs(&self) -> Vec<ReportedRun> {
        let reported = self.uncertain.iter().map(|(task, run)| ReportedRun {
            task: task.clone(),
            run: *run,
            checkpoint: Checkpoint::from(""),
            percent: None,
            speed: FULL_SPEED,
        });
        reported.collect()
    }
}
