//! An agent's state: the runs of its worker and the orders of the owner.
//!
//! Decides which calls are sent to the worker and which ends are reported. Except for a
//! start whose every call was refused, a run counts as ended only by the worker's own list: the list
//! names its end, or the list was requested after the worker had answered a call
//! about the run and names it neither as running nor as ended. The other runs of a worker end
//! with it, but for those that a late call may start again (`late_calls`).

mod late_calls;
mod ranks;
mod speeds;

use std::sync::Arc;

use cactusdoor_core::unit::{Epoch, Moment};
use indexmap::{IndexMap, IndexSet};

use self::late_calls::LateCalls;
pub use self::ranks::RankUpdateError;
use self::ranks::RunRanks;
use crate::features::SchedulingFeatures;
use crate::interference::InterferenceSample;
use crate::name::{Checkpoint, RunNumber, TaskName, WorkerIncarnation};
use crate::report::{
    AgentLease, AgentOrder, AgentReport, EndedRun, ReportedRun, RunEnd, StartOrder, WorkerInfo,
    WorkerLoad,
};
use crate::throttling::{FULL_SPEED, ThrottleController};

pub use crate::worker_call::{ListedRun, WorkerCall, WorkerList};

/// Most ends in one list of a worker; a list of this length may be incomplete.
const MAX_LISTED_ENDS: usize = 500;
/// Most samples kept for the next report: a few seconds without an owner.
const MAX_SAMPLES: usize = 40;

/// Progress of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// The worker has not answered yet.
    Unanswered,
    /// The worker has answered; lists requested after number `list` reflect the call.
    Answered { list: u64 },
}

/// A run that the owner has ordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderedRun {
    pub run: RunNumber,
    /// `None` once a stop has been ordered.
    pub start: Option<StartOrder>,
    /// The start order, kept after a stop too; `None` if no start was ordered.
    pub original: Option<Arc<StartOrder>>,
    pub phase: RunPhase,
}

/// State of one agent.
#[derive(Debug, Default)]
pub struct AgentState {
    pub worker: Option<WorkerInfo>,
    /// Newest incarnation of a worker that is known to have ended; not the predecessor of the
    /// registered worker under the same id, which starts without an answer may still reach.
    ended_incarnation: Option<WorkerIncarnation>,
    pub epoch: Epoch,
    /// Highest number of an order received in `epoch`.
    pub received: u64,
    /// Highest number of an end that the owner has acknowledged as stored.
    pub acknowledged: u64,
    /// End of the agent's lease: the worker's tasks may run until this time.
    pub lease_end: Moment,
    /// Time at which the newest answered report was sent.
    pub answered_at: Moment,
    ordered: IndexMap<TaskName, OrderedRun>,
    /// Runs to stop that are not ordered: older runs of ordered tasks, and runs that a late call
    /// may start.
    superseded: IndexSet<(TaskName, RunNumber)>,
    /// Whether the worker's list is known.
    has_list: bool,
    /// Number of the first report with a list.
    listed_since: Option<u64>,
    /// Whether the owner has answered a report with a list.
    list_answered: bool,
    running: Vec<ListedRun>,
    ended: Vec<EndedRun>,
    /// Runs that did not start, reported as ended although the worker does not list them.
    unlisted: Vec<EndedRun>,
    late_calls: LateCalls,
    /// Runs of a removed worker that a late call may start again.
    uncertain: Vec<(TaskName, RunNumber)>,
    throttle: ThrottleController,
    features: SchedulingFeatures,
    ranks: RunRanks,
    speeds: IndexMap<(TaskName, RunNumber), u8>,
    samples: Vec<InterferenceSample>,
    reports: u64,
    /// Number of reports before the worker registered.
    earlier_reports: u64,
}

impl AgentState {
    /// Registers the worker; returns whether this is a new incarnation.
    pub fn register(&mut self, worker: WorkerInfo) -> bool {
        let known = self.worker.as_ref().map(|known| known.incarnation.clone());
        match known {
            Some(incarnation) if incarnation == worker.incarnation => {
                self.worker = Some(worker);
                false
            }
            Some(incarnation) if worker.incarnation.born < incarnation.born => false,
            known => {
                self.clear_runs();
                self.earlier_reports = self.reports;
                self.ended_incarnation = known
                    .or(self.ended_incarnation.take())
                    .filter(|ended| ended.id != worker.incarnation.id);
                self.worker = Some(worker);
                true
            }
        }
    }

    fn clear_runs(&mut self) {
        self.ordered.clear();
        self.superseded.clear();
        self.has_list = false;
        self.listed_since = None;
        self.list_answered = false;
        self.running.clear();
        self.ended.clear();
        self.unlisted.clear();
        self.uncertain.clear();
        self.speeds.clear();
        self.ranks.clear();
        self.throttle = ThrottleController::default();
        self.acknowledged = 0;
    }

    #[must_use]
    pub fn incarnation(&self) -> Option<&WorkerIncarnation> {
        self.worker.as_ref().map(|worker| &worker.incarnation)
    }

    /// Applies the worker's list; `number` counts the requests for lists. Returns whether
    /// the list shows ends that were not known.
    pub fn apply_list(&mut self, number: u64, list: WorkerList) -> bool {
        let newest = self.ended.last().map_or(self.acknowledged, |ended| ended.number);
        let has_new_ends = list.ended.iter().any(|ended| ended.number > newest);
        let is_complete = list.ended.len() < MAX_LISTED_ENDS;
        self.has_list = true;
        self.running = list.running;
        self.ended = list.ended;
        let ended: Vec<_> = self.ended.iter().map(|end| (end.task.clone(), end.run)).collect();
        for (task, run) in ended {
            if self.ordered.get(&task).is_some_and(|ordered| ordered.run <= run) {
                self.ordered.shift_remove(&task);
            }
        }
        let absent = if is_complete { self.remove_absent(number) } else { Vec::new() };
        let has_new_ends = has_new_ends || !absent.is_empty();
        self.unlisted.extend(absent);
        let running = &self.running;
        let runs = |key: &(TaskName, RunNumber)| {
            running.iter().any(|listed| listed.task == key.0 && listed.run == key.1)
        };
        self.speeds.retain(|key, _| runs(key));
        has_new_ends
    }

    /// Removes runs whose order the worker has answered but which it does not list: they
    /// have ended as not started.
    fn remove_absent(&mut self, number: u64) -> Vec<EndedRun> {
        let running = &self.running;
        let is_absent = |task: &TaskName, ordered: &OrderedRun| {
            let answered = matches!(ordered.phase, RunPhase::Answered { list } if list < number);
            answered
                && !running.iter().any(|listed| listed.task == *task && listed.run == ordered.run)
        };
        let absent: Vec<_> = self
            .ordered
            .iter()
            .filter(|(task, ordered)| is_absent(task, ordered))
            .map(|(task, ordered)| EndedRun {
                number: 0,
                task: task.clone(),
                run: ordered.run,
                end: RunEnd::NotStarted,
                checkpoint: Checkpoint::from(""),
            })
            .collect();
        for ended in &absent {
            self.ordered.shift_remove(&ended.task);
        }
        absent
    }

    /// Applies the owner's answer to the report with this number; returns the calls to the
    /// worker. Once the worker has registered, earlier answers give no orders: the owner may
    /// have ended their runs with a later report.
    pub fn apply_answer(
        &mut self,
        mut lease: AgentLease,
        number: u64,
        sent: Moment,
    ) -> Vec<WorkerCall> {
        if number <= self.earlier_reports {
            lease.orders.clear();
        }
        self.list_answered |= self.listed_since.is_some_and(|first| number >= first);
        self.apply_lease(lease, sent)
    }

    /// Applies the lease and orders of the owner's answer; returns the calls to the worker.
    pub fn apply_lease(&mut self, lease: AgentLease, sent: Moment) -> Vec<WorkerCall> {
        if lease.epoch < self.epoch {
            return Vec::new();
        }
        self.adopt(lease.epoch);
        self.answered_at = self.answered_at.max(sent);
        self.lease_end = self.lease_end.max(sent.after(lease.duration));
        if lease.incarnation.as_ref() == self.incarnation() {
            self.acknowledged = self.acknowledged.max(lease.acknowledged);
        }
        if let Some(interference) = lease.interference {
            self.throttle.model.set_estimates(interference);
        }
        let mut calls = Vec::new();
        // Without a worker, orders are not counted as received, so the owner repeats them.
        let has_worker = self.worker.is_some();
        for (number, order) in lease.orders.into_iter().filter(|_| has_worker) {
            if number == self.received + 1 {
                self.received = number;
                calls.extend(self.apply_order(order));
            }
        }
        // Ends are dropped last: a stop may have crossed the end of its run.
        let acknowledged = self.acknowledged;
        self.ended.retain(|ended| ended.number > acknowledged);
        let acknowledged_runs = lease.acknowledged_runs;
        self.unlisted.retain(|ended| {
            !acknowledged_runs.iter().any(|(task, run)| *task == ended.task && *run == ended.run)
        });
        calls
    }

    /// Switches optional decisions on or off.
    pub fn set_features(&mut self, features: SchedulingFeatures) {
        self.features = features;
    }

    /// The worker's load, for a report that is sent at `now`.
    #[must_use]
    pub fn load(&self, now: Moment) -> Option<WorkerLoad> {
        let capacity = self.worker.as_ref()?.capacity.cpu;
        self.throttle.load(capacity, now)
    }

    /// Switches to an owner of a higher epoch.
    pub fn adopt(&mut self, epoch: Epoch) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.received = 0;
        }
    }

    fn apply_order(&mut self, order: AgentOrder) -> Option<WorkerCall> {
        match order {
            AgentOrder::Start(start) => self.order_start(start),
            AgentOrder::Stop { task, run } => self.order_stop(task, run),
        }
    }

    fn order_start(&mut self, start: StartOrder) -> Option<WorkerCall> {
        if self.incarnation() != Some(&start.incarnation) {
            return None;
        }
        let known = self.ordered.get(&start.task).is_some_and(|known| known.run >= start.run);
        let ended = self.ended.iter().chain(&self.unlisted);
        let mut ended = ended.filter(|ended| ended.task == start.task);
        if known || ended.any(|ended| ended.run >= start.run) {
            return None;
        }
        let ordered = OrderedRun {
            run: start.run,
            original: Some(Arc::new(start.clone())),
            start: Some(start.clone()),
            phase: RunPhase::Unanswered,
        };
        if let Some(older) = self.ordered.insert(start.task.clone(), ordered)
            && older.start.is_none()
            && older.phase == RunPhase::Unanswered
        {
            self.superseded.insert((start.task.clone(), older.run));
        }
        Some(WorkerCall::Start(start))
    }

    fn order_stop(&mut self, task: TaskName, run: RunNumber) -> Option<WorkerCall> {
        let ended = |ended: &EndedRun| ended.task == task && ended.run >= run;
        if self.ended.iter().chain(&self.unlisted).any(ended) {
            return None;
        }
        if self.ordered.get(&task).is_some_and(|known| known.run > run) {
            let new = self.superseded.insert((task.clone(), run));
            return new.then_some(WorkerCall::Stop { task, run });
        }
        let known = self.ordered.get(&task);
        if known.is_some_and(|known| known.run == run && known.start.is_none()) {
            return None;
        }
        let original = known.and_then(|known| known.original.clone());
        let stopped = OrderedRun { run, start: None, original, phase: RunPhase::Unanswered };
        self.ordered.insert(task.clone(), stopped);
        let called = self.superseded.contains(&(task.clone(), run));
        (!called).then_some(WorkerCall::Stop { task, run })
    }

    /// Whether a start must still be sent.
    #[must_use]
    pub fn needs_start(&self, start: &StartOrder) -> bool {
        let ordered = self.ordered.get(&start.task);
        self.incarnation() == Some(&start.incarnation)
            && ordered.is_some_and(|known| known.start.as_ref() == Some(start))
    }

    /// Whether the worker's newest list names the run as running.
    #[must_use]
    pub fn is_running(&self, task: &TaskName, run: RunNumber) -> bool {
        self.running.iter().any(|listed| listed.task == *task && listed.run == run)
    }

    /// Whether the worker has announced that it leaves.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.worker.as_ref().is_some_and(|worker| worker.leaves_in.is_some())
    }

    /// Abandons a start that was refused or must not be sent. If it may have been executed
    /// (`uncertain`), returns the stop call; otherwise the run ends as not started.
    pub fn abandon_start(&mut self, start: &StartOrder, uncertain: bool) -> Option<WorkerCall> {
        if uncertain {
            return self.order_stop(start.task.clone(), start.run);
        }
        self.record_refusal(&start.task, start.run);
        None
    }

    /// Whether a stop must still be sent.
    #[must_use]
    pub fn needs_stop(&self, task: &TaskName, run: RunNumber) -> bool {
        let ordered = self.ordered.get(task);
        ordered.is_some_and(|known| known.run == run && known.start.is_none())
            || self.superseded.contains(&(task.clone(), run))
    }

    /// Records that the worker has answered the call about a run; `list`: number of lists
    /// requested so far.
    pub fn record_answer(&mut self, task: &TaskName, run: RunNumber, list: u64) {
        if let Some(ordered) = self.ordered.get_mut(task).filter(|known| known.run == run) {
            ordered.phase = RunPhase::Answered { list };
        }
    }

    /// Records that the worker has answered the stop of a run.
    pub fn record_stop_answer(&mut self, task: &TaskName, run: RunNumber, list: u64) {
        self.superseded.shift_remove(&(task.clone(), run));
        self.record_answer(task, run, list);
    }

    /// Records that the worker has refused a start: the run ends as not started.
    pub fn record_refusal(&mut self, task: &TaskName, run: RunNumber) {
        if self.ordered.get(task).is_some_and(|known| known.run == run) {
            self.ordered.shift_remove(task);
            let (task, checkpoint) = (task.clone(), Checkpoint::from(""));
            self.unlisted.push(EndedRun {
                number: 0,
                task,
                run,
                end: RunEnd::NotStarted,
                checkpoint,
            });
        }
    }

    /// Whether the worker's list is known: it has been read since the worker registered.
    #[must_use]
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// Whether any end is not acknowledged yet.
    #[must_use]
    pub fn has_ends(&self) -> bool {
        !self.ended.is_empty() || !self.unlisted.is_empty()
    }

    /// The next report. It names no worker without a known list, which it carries until the
    /// owner has answered.
    pub fn report(&mut self, content: ReportContent) -> AgentReport {
        self.reports += 1;
        let lists_runs = self.has_list && (content.full_list || !self.list_answered);
        self.listed_since = self.listed_since.or(lists_runs.then_some(self.reports));
        let runs = if lists_runs {
            Some(self.reported_runs())
        } else {
            Some(self.uncertain_runs()).filter(|uncertain| !uncertain.is_empty())
        };
        AgentReport {
            agent: content.agent,
            incarnation: content.incarnation,
            number: self.reports,
            epoch: self.epoch,
            received: self.received,
            worker: self.worker.clone().filter(|_| self.has_list),
            ended_incarnation: self.ended_incarnation.clone(),
            ended: self.ended.iter().chain(&self.unlisted).cloned().collect(),
            runs,
            samples: std::mem::take(&mut self.samples),
            wait: content.wait,
        }
    }

    fn reported_runs(&self) -> Vec<ReportedRun> {
        let speeds = &self.speeds;
        let speed =
            |task: &TaskName, run| speeds.get(&(task.clone(), run)).copied().unwrap_or(FULL_SPEED);
        let mut reported: Vec<_> = self
            .running
            .iter()
            .map(|listed| ReportedRun {
                task: listed.task.clone(),
                run: listed.run,
                checkpoint: listed.checkpoint.clone(),
                percent: Some(listed.percent),
                speed: speed(&listed.task, listed.run),
            })
            .collect();
        for (task, ordered) in &self.ordered {
            let listed = self.running.iter();
            if !listed.clone().any(|known| known.task == *task && known.run == ordered.run) {
                reported.push(ReportedRun {
                    task: task.clone(),
                    run: ordered.run,
                    checkpoint: Checkpoint::from(""),
                    percent: None,
                    speed: FULL_SPEED,
                });
            }
        }
        reported
    }
}

/// Parts of a report that the reporter sets.
#[derive(Clone, Debug)]
pub struct ReportContent {
    pub agent: crate::name::AgentName,
    /// Identifies the process of the agent.
    pub incarnation: u64,
    /// Whether the report carries the complete list of runs.
    pub full_list: bool,
    /// Longest time for which the owner may wait for orders before answering, ms.
    pub wait: u64,
}
