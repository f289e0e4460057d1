//! An agent's book: its worker's runs and the orders of the owner.
//!
//! A run is settled only by the worker's own list: an end that it lists, or a
//! list that was asked for after the worker had answered a call about the run
//! and that names it neither as running nor as ended.

use std::sync::Arc;

use cactusdoor_core::unit::{Epoch, Millis, Moment};
use indexmap::IndexMap;

use crate::name::{Checkpoint, RunNumber, TaskName, WorkerLife};
use crate::pacing::{FULL_PACE, FillPace, FillingRun, PaceCall, ServingRun};
use crate::press::PressSample;
use crate::report::{
    AgentGrant, AgentOrder, AgentReport, EndedRun, HeldRun, RunEnd, StartOrder, WorkerState,
};

/// Most ends in one list of a worker; a full list may lack some.
const MAX_LISTED_ENDS: usize = 500;

/// Most samples that wait for a report: some seconds without an owner.
const MAX_SAMPLES: usize = 40;

/// How far an order has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// The worker has not answered yet.
    Open,
    /// The worker has answered; lists asked for after this one name the run.
    Answered { list: u64 },
}

/// A run that the owner has ordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderedRun {
    pub run: RunNumber,
    /// `None` once a stop has been ordered.
    pub start: Option<StartOrder>,
    /// What is known of the task, once its start was ordered.
    pub shape: Option<Arc<StartOrder>>,
    pub phase: RunPhase,
}

/// A run as the worker lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedRun {
    pub task: TaskName,
    pub run: RunNumber,
    pub saved: Checkpoint,
    pub percent: u8,
    /// Tail latency in ms of a task that serves, else processors in use.
    pub figure: u64,
}

/// A worker's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerList {
    pub running: Vec<ListedRun>,
    pub ended: Vec<EndedRun>,
}

/// A call to the worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerCall {
    Start(StartOrder),
    Stop { task: TaskName, run: RunNumber },
}

/// The book of one agent.
#[derive(Debug, Default)]
pub struct AgentBook {
    pub worker: Option<WorkerState>,
    /// Newest life that is known to be over.
    gone: Option<WorkerLife>,
    pub epoch: Epoch,
    /// Highest order received in `epoch`.
    pub received: u64,
    /// Ends up to this number are stored.
    pub noted: u64,
    /// The worker's tasks may be kept until then.
    pub granted_until: Moment,
    /// Sending of the newest report that the owner has answered.
    pub answered_at: Moment,
    ordered: IndexMap<TaskName, OrderedRun>,
    running: Vec<ListedRun>,
    ended: Vec<EndedRun>,
    unlisted: Vec<EndedRun>,
    pace: FillPace,
    paced: IndexMap<(TaskName, RunNumber), u8>,
    samples: Vec<PressSample>,
    reports: u64,
}

impl AgentBook {
    /// Takes up what the worker says of itself; returns whether it is a new life.
    pub fn meet(&mut self, worker: WorkerState) -> bool {
        let known = self.worker.as_ref().map(|known| known.life.clone());
        match known {
            Some(life) if life == worker.life => {
                self.worker = Some(worker);
                false
            }
            Some(life) if worker.life.born < life.born => false,
            known => {
                self.forget_runs();
                self.gone = known.or(self.gone.take()).filter(|gone| *gone != worker.life);
                self.worker = Some(worker);
                true
            }
        }
    }

    /// Drops a worker that is gone for good.
    pub fn part(&mut self) {
        self.gone = self.worker.take().map(|worker| worker.life).or(self.gone.take());
        self.forget_runs();
    }

    fn forget_runs(&mut self) {
        self.ordered.clear();
        self.running.clear();
        self.ended.clear();
        self.unlisted.clear();
        self.paced.clear();
        self.pace = FillPace::default();
        self.noted = 0;
    }

    #[must_use]
    pub fn life(&self) -> Option<&WorkerLife> {
        self.worker.as_ref().map(|worker| &worker.life)
    }

    /// Takes up a worker's list, asked for after `list - 1` others; returns
    /// whether it has ends that were not known.
    pub fn list(&mut self, number: u64, list: WorkerList) -> bool {
        let newest = self.ended.last().map_or(self.noted, |ended| ended.number);
        let news = list.ended.iter().any(|ended| ended.number > newest);
        let whole = list.ended.len() < MAX_LISTED_ENDS;
        self.running = list.running;
        self.ended = list.ended;
        let ended: Vec<_> = self.ended.iter().map(|end| (end.task.clone(), end.run)).collect();
        for (task, run) in ended {
            if self.ordered.get(&task).is_some_and(|ordered| ordered.run <= run) {
                self.ordered.shift_remove(&task);
            }
        }
        let absent = if whole { self.take_absent(number) } else { Vec::new() };
        let news = news || !absent.is_empty();
        self.unlisted.extend(absent);
        let running = &self.running;
        let runs = |key: &(TaskName, RunNumber)| {
            running.iter().any(|listed| listed.task == key.0 && listed.run == key.1)
        };
        self.paced.retain(|key, _| runs(key));
        news
    }

    /// Runs that the worker has answered for and does not list.
    fn take_absent(&mut self, number: u64) -> Vec<EndedRun> {
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
                saved: Checkpoint::from(""),
            })
            .collect();
        for ended in &absent {
            self.ordered.shift_remove(&ended.task);
        }
        absent
    }

    /// Takes up the owner's answer; returns the calls that it asks for.
    pub fn grant(&mut self, grant: AgentGrant, sent: Moment) -> Vec<WorkerCall> {
        if grant.epoch < self.epoch {
            return Vec::new();
        }
        self.adopt(grant.epoch);
        self.answered_at = self.answered_at.max(sent);
        self.granted_until = self.granted_until.max(sent.after(grant.grant));
        if grant.life.as_ref() == self.life() {
            self.noted = self.noted.max(grant.noted);
        }
        let noted = self.noted;
        self.ended.retain(|ended| ended.number > noted);
        let settled = grant.settled;
        self.unlisted.retain(|ended| {
            !settled.iter().any(|(task, run)| *task == ended.task && *run == ended.run)
        });
        if let Some(presses) = grant.presses {
            self.pace.model.take(presses);
        }
        let mut calls = Vec::new();
        if self.worker.is_none() {
            // Orders that cannot be carried out yet must come again.
            return calls;
        }
        for (number, order) in grant.orders {
            if number == self.received + 1 {
                self.received = number;
                calls.extend(self.take_order(order));
            }
        }
        calls
    }

    /// Follows an owner of a higher epoch.
    pub fn adopt(&mut self, epoch: Epoch) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.received = 0;
        }
    }

    fn take_order(&mut self, order: AgentOrder) -> Option<WorkerCall> {
        match order {
            AgentOrder::Start(start) => self.order_start(start),
            AgentOrder::Stop { task, run } => self.order_stop(task, run),
        }
    }

    fn order_start(&mut self, start: StartOrder) -> Option<WorkerCall> {
        if self.life() != Some(&start.life) {
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
            shape: Some(Arc::new(start.clone())),
            start: Some(start.clone()),
            phase: RunPhase::Open,
        };
        self.ordered.insert(start.task.clone(), ordered);
        Some(WorkerCall::Start(start))
    }

    fn order_stop(&mut self, task: TaskName, run: RunNumber) -> Option<WorkerCall> {
        let ended = |ended: &EndedRun| ended.task == task && ended.run >= run;
        if self.ended.iter().chain(&self.unlisted).any(ended) {
            return None;
        }
        if self.ordered.get(&task).is_some_and(|known| known.run > run) {
            return None;
        }
        let shape = self.ordered.get(&task).and_then(|known| known.shape.clone());
        let stopped = OrderedRun { run, start: None, shape, phase: RunPhase::Open };
        self.ordered.insert(task.clone(), stopped);
        Some(WorkerCall::Stop { task, run })
    }

    /// Whether a start is still wanted.
    #[must_use]
    pub fn wants_start(&self, start: &StartOrder) -> bool {
        let ordered = self.ordered.get(&start.task);
        self.life() == Some(&start.life)
            && ordered.is_some_and(|known| known.start.as_ref() == Some(start))
    }

    /// Whether the worker has said that it leaves.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.worker.as_ref().is_some_and(|worker| worker.leaves_in.is_some())
    }

    /// Gives up a start on a worker that leaves. One that may have been carried out
    /// has to be stopped; any other has done nothing.
    pub fn give_up(&mut self, start: &StartOrder, uncertain: bool) -> Option<WorkerCall> {
        if uncertain {
            return self.order_stop(start.task.clone(), start.run);
        }
        self.refused(&start.task, start.run);
        None
    }

    /// Whether a stop is still wanted.
    #[must_use]
    pub fn wants_stop(&self, task: &TaskName, run: RunNumber) -> bool {
        let ordered = self.ordered.get(task);
        ordered.is_some_and(|known| known.run == run && known.start.is_none())
    }

    /// Notes that the worker has answered; `list` lists have been asked for.
    pub fn answered(&mut self, task: &TaskName, run: RunNumber, list: u64) {
        if let Some(ordered) = self.ordered.get_mut(task).filter(|known| known.run == run) {
            ordered.phase = RunPhase::Answered { list };
        }
    }

    /// Notes that the worker has refused a start and done nothing.
    pub fn refused(&mut self, task: &TaskName, run: RunNumber) {
        if self.ordered.get(task).is_some_and(|known| known.run == run) {
            self.ordered.shift_remove(task);
            let (task, saved) = (task.clone(), Checkpoint::from(""));
            self.unlisted.push(EndedRun { number: 0, task, run, end: RunEnd::NotStarted, saved });
        }
    }

    /// The paces to set after a list. `harm_bound` is the time for which a serving
    /// task may miss its bound.
    pub fn pace(&mut self, harm_bound: Millis, now: Moment, unix: Millis) -> Vec<PaceCall> {
        let capacity = self.worker.as_ref().map_or(1, |worker| worker.capacity.cpu).max(1);
        let (mut serving, mut filling) = (Vec::new(), Vec::new());
        for listed in &self.running {
            let ordered = self.ordered.get(&listed.task);
            let Some(shape) = ordered.and_then(|ordered| ordered.shape.as_ref()) else { continue };
            if shape.target > 0 && listed.percent >= FULL_PACE {
                let (task, image) = (listed.task.clone(), shape.image.clone());
                let headroom = share(shape.target, listed.figure.max(1));
                serving.push(ServingRun { task, image, headroom });
            }
            if shape.fills {
                let pace = self.paced.get(&(listed.task.clone(), listed.run)).copied();
                filling.push(FillingRun {
                    task: listed.task.clone(),
                    run: listed.run,
                    image: shape.image.clone(),
                    share: share(shape.cpu, capacity),
                    used: share(listed.figure, capacity),
                    pace: pace.unwrap_or(FULL_PACE),
                    percent: listed.percent,
                    late: shape.due < unix,
                });
            }
        }
        let step = self.pace.follow(&serving, &filling, harm_bound, now);
        self.samples.extend(step.samples);
        let surplus = self.samples.len().saturating_sub(MAX_SAMPLES);
        self.samples.drain(..surplus);
        step.calls
    }

    pub fn paced(&mut self, call: &PaceCall) {
        self.paced.insert((call.task.clone(), call.run), call.percent);
    }

    /// Whether a task that serves runs beside one that fills.
    #[must_use]
    pub fn is_shared(&self) -> bool {
        let shapes = || self.ordered.values().filter_map(|run| run.shape.as_ref());
        shapes().any(|shape| shape.target > 0) && shapes().any(|shape| shape.fills)
    }

    /// Ends that are not stored yet.
    #[must_use]
    pub fn has_ends(&self) -> bool {
        !self.ended.is_empty() || !self.unlisted.is_empty()
    }

    /// The next report; `whole` asks for the worker's whole list.
    pub fn report(&mut self, shape: ReportShape) -> AgentReport {
        self.reports += 1;
        AgentReport {
            agent: shape.agent,
            incarnation: shape.incarnation,
            number: self.reports,
            epoch: self.epoch,
            received: self.received,
            worker: self.worker.clone(),
            gone: self.gone.clone(),
            ended: self.ended.iter().chain(&self.unlisted).cloned().collect(),
            held: shape.whole.then(|| self.held()),
            samples: std::mem::take(&mut self.samples),
            wait: shape.wait,
        }
    }

    fn held(&self) -> Vec<HeldRun> {
        let paces = &self.paced;
        let pace =
            |task: &TaskName, run| paces.get(&(task.clone(), run)).copied().unwrap_or(FULL_PACE);
        let mut held: Vec<_> = self
            .running
            .iter()
            .map(|listed| HeldRun {
                task: listed.task.clone(),
                run: listed.run,
                saved: listed.saved.clone(),
                percent: Some(listed.percent),
                pace: pace(&listed.task, listed.run),
            })
            .collect();
        for (task, ordered) in &self.ordered {
            let listed = self.running.iter();
            if !listed.clone().any(|known| known.task == *task && known.run == ordered.run) {
                held.push(HeldRun {
                    task: task.clone(),
                    run: ordered.run,
                    saved: Checkpoint::from(""),
                    percent: None,
                    pace: FULL_PACE,
                });
            }
        }
        held
    }
}

#[expect(clippy::cast_precision_loss, reason = "far below 2^53")]
fn share(part: u64, whole: u64) -> f64 {
    part as f64 / whole as f64
}

/// What a report is to carry.
#[derive(Clone, Debug)]
pub struct ReportShape {
    pub agent: crate::name::AgentName,
    pub incarnation: u64,
    pub whole: bool,
    pub wait: u64,
}
