//! What the owner knows of an agent and its worker.

use std::collections::VecDeque;

use cactusdoor_core::unit::{Millis, Moment};
use indexmap::{IndexMap, IndexSet};

use crate::name::{AgentName, Checkpoint, JobId, Label, RunNumber, TaskName};
use crate::pacing::GOAL;
use crate::press::PressModel;
use crate::report::{AgentOrder, StartOrder, WorkerState};
use crate::spec::TaskNeed;

/// An agent that was silent for longer gets no new tasks: two reports were lost.
pub const SILENCE: Millis = 1_600;
/// Share of its processors that a task which serves users keeps busy on average:
/// it is sized for the peak of its load.
const SERVING_PERCENT: u64 = 50;
/// Distinct jobs that fail on a worker in a row before it is barred.
const FAILED_JOBS: usize = 2;
/// First time for which a failing worker is barred; doubled each time.
const BAR: Millis = 2_000;
/// Most doublings of the time for which a worker is barred.
const MAX_BAR_DOUBLINGS: u32 = 3;

/// A run that may be on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeatRun {
    pub start: StartOrder,
    pub reserved: TaskNeed,
    pub endless: bool,
    /// Whether a stop loses no more than the work since the last checkpoint.
    pub checkpoints: bool,
    pub estimate: Millis,
    /// Whether the record of the placement is stored.
    pub stored: bool,
    pub stopping: bool,
    /// Newest progress that the worker has listed.
    pub percent: Option<u8>,
    pub since: Moment,
    /// When the progress last changed.
    pub progressed: Moment,
    /// Newest checkpoint.
    pub saved: Checkpoint,
}

impl SeatRun {
    /// What the agent is to do about the run.
    #[must_use]
    pub fn order(&self) -> AgentOrder {
        if self.stopping {
            AgentOrder::Stop { task: self.start.task.clone(), run: self.start.run }
        } else {
            AgentOrder::Start(self.start.clone())
        }
    }

    /// Time that the run still needs at its speed so far.
    #[must_use]
    pub fn remaining(&self, now: Moment) -> Millis {
        let elapsed = now.0.saturating_sub(self.since.0);
        match self.percent {
            Some(percent) if percent > 0 => {
                let left = u64::from(100u8.saturating_sub(percent));
                elapsed * left / u64::from(percent)
            }
            _ => self.estimate,
        }
    }
}

/// Whether a worker does what it is told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SeatTrust {
    /// Jobs that failed since the last success.
    failed: Vec<JobId>,
    barred_until: Moment,
    bars: u32,
}

impl SeatTrust {
    pub fn succeed(&mut self) {
        self.failed.clear();
        self.bars = 0;
    }

    /// Notes a failure; the worker is barred once several jobs have failed in a row.
    pub fn fail(&mut self, job: &JobId, now: Moment) {
        if !self.failed.contains(job) {
            self.failed.push(job.clone());
        }
        if self.failed.len() >= FAILED_JOBS {
            self.bar(now);
        }
    }

    pub fn bar(&mut self, now: Moment) {
        self.barred_until = now.after(BAR << self.bars.min(MAX_BAR_DOUBLINGS));
        self.bars += 1;
        self.failed.clear();
    }

    /// How often in a row the worker has been barred.
    #[must_use]
    pub fn bars(&self) -> u32 {
        self.bars
    }

    #[must_use]
    pub fn is_barred(&self, now: Moment) -> bool {
        now < self.barred_until
    }
}

/// An agent, its worker and the runs there.
#[derive(Clone, Debug)]
pub struct WorkerSeat {
    pub agent: AgentName,
    /// Of the agent's process; 0 before its first report.
    pub incarnation: u64,
    /// Of the newest report that was used.
    pub report: u64,
    pub worker: Option<WorkerState>,
    pub heard: Moment,
    /// No run of the worker outlives this.
    pub granted_until: Moment,
    pub leaves_at: Option<Moment>,
    pub runs: IndexMap<TaskName, SeatRun>,
    pub orders: VecDeque<(u64, AgentOrder)>,
    pub last_order: u64,
    pub noted: u64,
    /// Ends without a number that are stored.
    pub settled: Vec<(TaskName, RunNumber)>,
    pub trust: SeatTrust,
    /// Whether the agent has not been told of everything above yet.
    pub news: bool,
}

impl WorkerSeat {
    #[must_use]
    pub fn open(agent: AgentName, granted_until: Moment) -> Self {
        Self {
            agent,
            incarnation: 0,
            report: 0,
            worker: None,
            heard: Moment::default(),
            granted_until,
            leaves_at: None,
            runs: IndexMap::new(),
            orders: VecDeque::new(),
            last_order: 0,
            noted: 0,
            settled: Vec::new(),
            trust: SeatTrust::default(),
            news: false,
        }
    }

    pub fn order(&mut self, order: AgentOrder) {
        self.news = true;
        self.last_order += 1;
        self.orders.push_back((self.last_order, order));
    }

    /// Stops a run unless that is under way; returns whether it was not.
    pub fn stop(&mut self, task: &TaskName) -> bool {
        let Some(run) = self.runs.get_mut(task).filter(|run| !run.stopping) else { return false };
        run.stopping = true;
        if run.stored {
            let order = run.order();
            self.order(order);
        }
        true
    }

    /// What the runs have reserved, those that are being stopped included.
    #[must_use]
    pub fn used(&self) -> TaskNeed {
        self.runs.values().fold(TaskNeed::default(), |sum, run| sum.plus(&run.reserved))
    }

    #[must_use]
    pub fn free(&self) -> TaskNeed {
        let capacity = self.worker.as_ref().map(|worker| worker.capacity).unwrap_or_default();
        capacity.minus(&self.used())
    }

    /// Processors that are idle on average, although some of them are reserved.
    #[must_use]
    pub fn idle(&self) -> u64 {
        let capacity = self.worker.as_ref().map_or(0, |worker| worker.capacity.cpu);
        let busy = |run: &SeatRun| {
            let share = if run.start.target > 0 { SERVING_PERCENT } else { 100 };
            run.reserved.cpu * share / 100
        };
        capacity.saturating_sub(self.runs.values().map(busy).sum())
    }

    /// Processors that the tasks that fill could use together.
    #[must_use]
    pub fn filling(&self) -> u64 {
        self.runs.values().filter(|run| run.start.fills).map(|run| run.start.cpu).sum()
    }

    /// How many times slower the tasks that fill have to run, with one more of
    /// `image` and `cpu`, so that each task that serves keeps its headroom.
    #[must_use]
    pub fn slowdown(&self, presses: &PressModel, image: Option<&Label>, cpu: u64) -> f64 {
        let mut images: IndexMap<Option<&Label>, u64> = IndexMap::new();
        *images.entry(image).or_default() += cpu;
        for run in self.runs.values().filter(|run| run.start.fills) {
            *images.entry(run.start.image.as_ref()).or_default() += run.start.cpu;
        }
        let serving: IndexSet<_> = self
            .runs
            .values()
            .filter(|run| run.start.target > 0)
            .map(|run| run.start.image.as_ref())
            .collect();
        let slowed = serving.into_iter().map(|serving| {
            let press =
                images.iter().map(|(image, cpu)| presses.press(serving, *image) * self.share(*cpu));
            press.sum::<f64>() / presses.room(serving, GOAL)
        });
        slowed.fold(0.0, f64::max)
    }

    /// Processors as a share of the worker's.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "far below 2^53")]
    pub fn share(&self, cpu: u64) -> f64 {
        let capacity = self.worker.as_ref().map_or(1, |worker| worker.capacity.cpu).max(1);
        cpu as f64 / capacity as f64
    }

    /// Tasks that serve users under a bound.
    #[must_use]
    pub fn serving(&self) -> usize {
        self.runs.values().filter(|run| run.start.target > 0).count()
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
