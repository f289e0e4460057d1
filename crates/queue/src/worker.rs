//! The owner's record of one agent and its worker: runs, outstanding orders, lease
//! and health.
//!
//! Accounts for the worker's capacity and decides when a failing worker is
//! quarantined. It stores nothing; the scheduler does.

use std::collections::VecDeque;

use cactusdoor_core::unit::{Millis, Moment};
use indexmap::IndexSet;

use crate::config::OperatorView;
use crate::forecast::MeasuredLoad;
use crate::former_runs::FormerRuns;
use crate::interference::InterferenceModel;
use crate::moves::index::SlowSpan;
use crate::name::{AgentName, Checkpoint, JobId, Label, RunNumber, TaskName, WorkerIncarnation};
use crate::report::{AgentOrder, ReportedRun, StartOrder, WorkerInfo};
use crate::run_table::RunTable;
use crate::spec::{StepSpec, TaskNeed};
use crate::throttling::TARGET_HEADROOM;

/// Time without a report, ms, after which an agent gets no new tasks: two lost reports.
pub const REPORT_TIMEOUT: Millis = 1_600;
/// Bytes of orders from which on no further one goes with an answer: a fraction of a frame.
const ANSWER_BYTES: usize = 2 * 1024 * 1024;
/// Bytes of an order apart from its texts, at most.
const ORDER_BYTES: usize = 256;
/// Distinct jobs that fail on a worker in a row before it is quarantined.
const FAILED_JOBS: usize = 2;
/// Length of a worker's first quarantine, ms; doubled with each further one.
const QUARANTINE: Millis = 2_000;
/// Most doublings of the length of a quarantine.
const MAX_QUARANTINE_DOUBLINGS: u32 = 3;

/// A run assigned to a worker, from its placement to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AssignedRun {
    pub start: StartOrder,
    pub reserved: TaskNeed,
    pub endless: bool,
    /// Whether a stopped run can resume from its last checkpoint.
    pub checkpoints: bool,
    /// The caller's estimate of the run time, ms.
    pub estimate: Millis,
    /// Whether the record of the placement is stored.
    pub stored: bool,
    pub stopping: bool,
    /// Whether the run has ended with its worker, which has restarted under its id; the task is
    /// free once the successor has answered the stop of the run.
    pub lapsed: bool,
    /// Progress in the worker's newest list, percent.
    pub percent: Option<u8>,
    /// When the run was placed, or restored by a new owner.
    pub since: Moment,
    /// When the progress last changed.
    pub progressed: Moment,
    /// Earlier runs of the task that were stopped since their workers seemed stalled.
    pub stalls: u32,
    /// Whether the run is stopped since its worker seems stalled.
    pub stalled: bool,
    /// Newest checkpoint.
    pub checkpoint: Checkpoint,
    /// Speed that was forecast at the placement, percent.
    pub forecast: Option<u8>,
    /// Progress that the newest checkpoint holds, percent; 0 if unknown.
    pub checkpoint_percent: u8,
    /// Whether the run may be moved or preempted: a best-effort run of no gang, whose stop is
    /// not limited.
    pub movable: bool,
    /// `None` if the newest list shows the run at a higher speed.
    pub slow: Option<SlowSpan>,
}

impl AssignedRun {
    /// A new run; its placement is not stored yet.
    #[must_use]
    pub fn open(start: StartOrder, step: &StepSpec, now: Moment) -> Self {
        Self {
            checkpoint: start.checkpoint.clone(),
            start,
            reserved: step.reserved(),
            endless: step.endless,
            checkpoints: step.checkpoints,
            estimate: step.estimate,
            stored: false,
            stopping: false,
            lapsed: false,
            percent: None,
            since: now,
            progressed: now,
            stalls: 0,
            stalled: false,
            forecast: None,
            checkpoint_percent: 0,
            movable: step.best_effort && !step.gang && !step.endless && step.may_miss.is_none(),
            slow: None,
        }
    }

    /// Records the listed speed of a run, percent.
    pub fn list_speed(&mut self, speed: u8, now: Moment) {
        self.slow = SlowSpan::of(self.slow, speed, now).filter(|_| self.movable);
    }

    /// Order that the agent must execute for the run.
    #[must_use]
    pub fn order(&self) -> AgentOrder {
        if self.stopping {
            AgentOrder::Stop { task: self.start.task.clone(), run: self.start.run }
        } else {
            AgentOrder::Start(self.start.clone())
        }
    }

    /// Remaining time, ms, extrapolated from the progress; the estimate without any progress.
    #[must_use]
    pub fn remaining(&self, now: Moment) -> Millis {
        let elapsed = now.0.saturating_sub(self.since.0);
        match self.percent {
            Some(percent) if percent > 0 => {
                let remaining = u64::from(100u8.saturating_sub(percent));
                elapsed * remaining / u64::from(percent)
            }
            _ => self.estimate,
        }
    }
}

/// Recent failures and quarantines of a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerHealth {
    /// Jobs that failed since the last success.
    failed: Vec<JobId>,
    quarantined_until: Moment,
    quarantines: u32,
}

impl WorkerHealth {
    pub fn succeed(&mut self) {
        self.failed.clear();
        self.quarantines = 0;
    }

    /// Records a failure; quarantines the worker after `FAILED_JOBS` jobs in a row.
    pub fn fail(&mut self, job: &JobId, now: Moment) {
        if !self.failed.contains(job) {
            self.failed.push(job.clone());
        }
        if self.failed.len() >= FAILED_JOBS {
            self.quarantine(now);
        }
    }

    pub fn quarantine(&mut self, now: Moment) {
        self.quarantined_until =
            now.after(QUARANTINE << self.quarantines.min(MAX_QUARANTINE_DOUBLINGS));
        self.quarantines += 1;
        self.failed.clear();
    }

    #[must_use]
    pub fn quarantined_until(&self) -> Moment {
        self.quarantined_until
    }

    /// Number of quarantines since the last success.
    #[must_use]
    pub fn quarantines(&self) -> u32 {
        self.quarantines
    }

    #[must_use]
    pub fn is_quarantined(&self, now: Moment) -> bool {
        now < self.quarantined_until
    }
}

/// Memory that runs are being stopped for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryHold {
    /// Priority of the queue whose step needs it; the memory is kept from lower ones.
    pub priority: u32,
    pub until: Moment,
}

/// An agent, its worker and the runs assigned to it.
#[derive(Clone, Debug)]
pub struct TrackedWorker {
    pub agent: AgentName,
    /// Incarnation of the agent's process; 0 before its first report.
    pub incarnation: u64,
    /// Incarnations of former processes, whose reports may be delayed.
    pub former: VecDeque<u64>,
    /// Number of the newest applied report.
    pub last_report: u64,
    pub worker: Option<WorkerInfo>,
    /// When the newest report arrived.
    pub reported_at: Moment,
    /// End of the agent's lease: no run of the worker continues after this time.
    pub lease_end: Moment,
    pub leaves_at: Option<Moment>,
    pub runs: RunTable,
    pub former_runs: FormerRuns,
    /// Runs in the worker's newest list that are not assigned to it.
    pub unassigned: Vec<(TaskName, RunNumber)>,
    /// Whether the agent may still start runs that have ended: this owner has had no list yet,
    /// or runs have expired since the newest one.
    pub awaits_list: bool,
    pub orders: VecDeque<(u64, AgentOrder)>,
    /// Number of the newest order.
    pub last_order: u64,
    /// Highest number of a stored end in the worker's list.
    pub acknowledged: u64,
    /// Stored ends that the worker did not list, to be acknowledged to the agent.
    pub acknowledged_runs: Vec<(TaskName, RunNumber)>,
    pub health: WorkerHealth,
    /// `None` if no run is being preempted.
    pub hold: Option<MemoryHold>,
    /// The newest reported load.
    pub load: Option<MeasuredLoad>,
    /// When an invalid load was last logged.
    pub load_rejected: Option<Moment>,
    /// Whether orders wait to be sent to the agent; acknowledgements go with any answer.
    pub has_updates: bool,
}

impl TrackedWorker {
    #[must_use]
    pub fn open(agent: AgentName, lease_end: Moment) -> Self {
        Self {
            agent,
            incarnation: 0,
            former: VecDeque::new(),
            last_report: 0,
            worker: None,
            reported_at: Moment::default(),
            lease_end,
            leaves_at: None,
            runs: RunTable::default(),
            former_runs: FormerRuns::default(),
            unassigned: Vec::new(),
            awaits_list: true,
            orders: VecDeque::new(),
            last_order: 0,
            acknowledged: 0,
            acknowledged_runs: Vec::new(),
            health: WorkerHealth::default(),
            hold: None,
            load: None,
            load_rejected: None,
            has_updates: false,
        }
    }

    pub fn order(&mut self, order: AgentOrder) {
        self.has_updates = true;
        self.last_order += 1;
        self.orders.push_back((self.last_order, order));
    }

    /// Whether all stops of runs that are not assigned are among the first `sent` orders: an
    /// agent that has not received one of them may still start the run.
    #[must_use]
    pub fn revokes_all(&self, sent: usize) -> bool {
        self.orders.iter().skip(sent).all(|(_, order)| match order {
            AgentOrder::Start(_) => true,
            AgentOrder::Stop { task, run } => {
                self.runs.get(task).is_some_and(|assigned| assigned.start.run == *run)
            }
        })
    }

    /// Orders of the next answer, the oldest first. `withheld`: no start may be sent; agents
    /// execute orders in sequence, so the orders behind a withheld start wait too.
    ///
    /// All outstanding orders may exceed a frame: those that do not fit go with later answers.
    pub fn next_orders(&mut self, withheld: bool) -> Vec<(u64, AgentOrder)> {
        let is_sendable =
            |(_, order): &&(u64, AgentOrder)| !withheld || matches!(order, AgentOrder::Stop { .. });
        let (mut orders, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for order in self.orders.iter().take_while(is_sendable) {
            if bytes >= ANSWER_BYTES {
                has_more = true;
                break;
            }
            bytes += order.1.text_bytes() + ORDER_BYTES;
            orders.push(order.clone());
        }
        self.has_updates = has_more;
        orders
    }

    /// Duration of the lease that an answer grants, at most `limit`, ms. A report without a
    /// worker does not extend `lease_end`, so its answer grants nothing. Nor does an answer
    /// that does not order the stop of every expired run that the agent may still start.
    #[must_use]
    pub fn lease_duration(&self, limit: Millis) -> Millis {
        if self.worker.is_some() && !self.awaits_list { limit } else { 0 }
    }

    /// Replaces the start order of an ended run by a stop: the agent may not have received
    /// it yet, and orders are numbered without gaps. Returns whether there was one.
    pub fn withdraw_start(&mut self, task: &TaskName, run: RunNumber) -> bool {
        let mut withdrawn = false;
        for (_, order) in &mut self.orders {
            if let AgentOrder::Start(start) = order
                && start.task == *task
                && start.run == run
            {
                *order = AgentOrder::Stop { task: task.clone(), run };
                withdrawn = true;
            }
        }
        withdrawn
    }

    /// Assigns a run to the successor of its worker and stops it there, so that a delayed start
    /// is refused. Returns whether the run was known to have started, and has lapsed.
    pub fn stop_on_successor(
        &mut self,
        task: &TaskName,
        number: RunNumber,
        successor: &WorkerIncarnation,
    ) -> bool {
        self.withdraw_start(task, number);
        let Some(run) = self.runs.get_mut(task) else { return false };
        run.start.incarnation = successor.clone();
        run.stopping = true;
        let lapses = run.percent.is_some() && !run.lapsed;
        run.lapsed |= lapses;
        if run.stored {
            let order = run.order();
            self.order(order);
        }
        lapses
    }

    /// Orders stops of runs that have ended and that a late call may start on the worker, which
    /// has just registered.
    pub fn stop_former_runs(&mut self, worker: &WorkerIncarnation, now: Moment) {
        for (task, run) in self.former_runs.startable(worker, now) {
            self.order(AgentOrder::Stop { task, run });
        }
    }

    /// Orders runs again that the agent has received but never listed: it forgets its orders
    /// when it removes its worker, and the same incarnation may register again.
    pub fn repeat_orders(&mut self, reported: &[ReportedRun]) {
        let Some(worker) = &self.worker else { return };
        let ordered = self.orders.iter().map(|(_, order)| order.run());
        let listed = reported.iter().map(|listed| (&listed.task, listed.run));
        let known: IndexSet<_> = ordered.chain(listed).collect();
        let forgotten = self.runs.values().filter(|run| {
            let current = run.stored && run.start.incarnation == worker.incarnation;
            // A run that is stopped on a successor was listed by the earlier incarnation.
            let unlisted = run.percent.is_none() || run.stopping;
            current && unlisted && !known.contains(&(&run.start.task, run.start.run))
        });
        for order in forgotten.map(AssignedRun::order).collect::<Vec<_>>() {
            self.order(order);
        }
    }

    /// Stops a run; returns `false` if it is unknown or is being stopped already.
    pub fn stop(&mut self, task: &TaskName) -> bool {
        let Some(run) = self.runs.get_mut(task).filter(|run| !run.stopping) else { return false };
        run.stopping = true;
        if run.stored {
            let order = run.order();
            self.order(order);
        }
        true
    }

    /// Stops all runs that are not known to have started, and returns them. Before the
    /// worker's list has arrived, a restored run may have started long ago.
    pub fn stop_unstarted(&mut self) -> Vec<(TaskName, RunNumber)> {
        if self.awaits_list {
            return Vec::new();
        }
        let unstarted = self.runs.iter().filter(|(_, run)| run.percent.is_none());
        let mut stopped: Vec<_> =
            unstarted.map(|(task, run)| (task.clone(), run.start.run)).collect();
        stopped.retain(|(task, _)| self.stop(task));
        stopped
    }

    /// Resources reserved by the runs, including runs that are being stopped. The need of
    /// an unassigned run is not known.
    #[must_use]
    pub fn reserved(&self) -> TaskNeed {
        if self.unassigned.is_empty() { self.runs.reserved() } else { TaskNeed::UNBOUNDED }
    }

    /// Whether the free memory is kept for a step of a higher priority than this one.
    #[must_use]
    pub fn is_held_from(&self, priority: u32, now: Moment) -> bool {
        self.hold.is_some_and(|hold| hold.priority < priority && now < hold.until)
    }

    #[must_use]
    pub fn free(&self) -> TaskNeed {
        let capacity = self.worker.as_ref().map(|worker| worker.capacity).unwrap_or_default();
        capacity.minus(&self.reserved())
    }

    /// Processors that are idle on average, reserved ones included, in thousandths.
    #[must_use]
    pub fn idle_cpu(&self) -> u64 {
        let capacity = self.worker.as_ref().map_or(0, |worker| worker.capacity.cpu);
        capacity.saturating_sub(self.runs.busy_cpu())
    }

    /// Factor by which best-effort tasks must be slowed down for every serving task to
    /// keep its target headroom, with one more task of `image` and `cpu`.
    #[must_use]
    pub fn slowdown(&self, model: &InterferenceModel, image: Option<&Label>, cpu: u64) -> f64 {
        let slowed = self.runs.serving_images().map(|serving| {
            let estimates = model.serving_image(serving);
            let loss = |image, cpu| estimates.coefficient(image) * self.share(cpu);
            // One sum an image: the new task adds to the tasks of its own.
            let mut own = cpu;
            let mut others = 0.0;
            for (other, used) in self.runs.best_effort_images() {
                if other == image {
                    own = own.saturating_add(used);
                } else {
                    others += loss(other, used);
                }
            }
            (loss(image, own) + others) / model.spare_headroom(serving, TARGET_HEADROOM)
        });
        slowed.fold(0.0, f64::max)
    }

    /// `cpu` as a share of the worker's processors.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "far below 2^53")]
    pub fn share(&self, cpu: u64) -> f64 {
        let capacity = self.worker.as_ref().map_or(1, |worker| worker.capacity.cpu).max(1);
        cpu as f64 / capacity as f64
    }

    /// Whether operators have taken the worker's data centre out of service.
    #[must_use]
    pub fn is_taken_out(&self, view: &OperatorView) -> bool {
        self.worker.as_ref().is_some_and(|worker| view.taken_out.contains(&worker.data_centre))
    }

    #[must_use]
    pub fn rack(&self) -> Option<&Label> {
        self.worker.as_ref()?.labels.last()
    }

    #[must_use]
    pub fn has_label(&self, label: &Label) -> bool {
        self.worker.as_ref().is_some_and(|worker| worker.labels.contains(label))
    }
}
