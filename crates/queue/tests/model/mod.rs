//! Simulation of agents, workers, owners and the store as a sequence of timed events.
//!
//! The schedulers and the agents' states are the real ones; the loops around them, the
//! workers and the network are modelled. All processes share one clock, except that the
//! clocks of workers may be slow.

mod agent;
mod event;
mod fault;
mod ledger;
mod order;
mod owner;
mod registration;
mod report;
mod worker;

use std::collections::{BTreeMap, VecDeque};

use cactusdoor_core::unit::Moment;
use cactusdoor_queue::features::SchedulingFeatures;
use cactusdoor_queue::name::{JobId, TaskName};
use cactusdoor_queue::report::WorkerInfo;
use cactusdoor_queue::spec::JobSpec;

use self::agent::AgentModel;
use self::event::{Call, CallBody, Event, Outcome};
use self::fault::LinkFaults;
pub use self::fault::{Action, CallFault, CallScope, Restart, StepShape};
use self::ledger::RunLedger;
use self::owner::{OwnerModel, StoreModel};
use self::worker::{TaskShape, WorkerModel};
use crate::support;

pub const AGENTS: [&str; 3] = ["a", "b", "c"];
/// Rates of the workers' clocks, percent.
const CLOCK_RATES: [u64; 3] = [98, 100, 99];
const START: u64 = 100_000;
/// Time within which all jobs complete once faults have stopped, ms.
const COMPLETION_LIMIT: u64 = 120_000;
/// Longest time for which a run may stay on a worker without the owner's knowledge once
/// faults have stopped, ms: the longest lease, a delayed call and a stop.
const ORPHAN_LIMIT: u64 = 25_000;
/// Most lines of the trace that a failure prints.
const TRACE_LINES: usize = 400;

/// A simulated fleet with three agents and their workers.
pub struct Simulation {
    now: u64,
    queue: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    random: u64,
    workers: Vec<WorkerModel>,
    agents: Vec<AgentModel>,
    owners: Vec<OwnerModel>,
    store: StoreModel,
    /// Time that the next owner needs to load the stored state, ms.
    store_loading: u64,
    /// The previous incarnation of each worker.
    earlier: Vec<Option<WorkerInfo>>,
    /// All jobs that were ever submitted, and whether they were cancelled.
    jobs: BTreeMap<JobId, (JobSpec, bool)>,
    faults: Vec<LinkFaults>,
    ledger: RunLedger,
    trace: VecDeque<String>,
    features: SchedulingFeatures,
    /// Number of moves that owners have ordered.
    pub moves: usize,
    /// Number of runs that owners have preempted.
    pub preemptions: usize,
    violation: Option<String>,
}

impl Simulation {
    pub fn open(seed: u64) -> Self {
        Self::open_with(seed, SchedulingFeatures::default())
    }

    /// A fleet whose workers pause their best-effort runs now and then, and that moves them.
    pub fn open_moving(seed: u64) -> Self {
        Self::open_with(seed, SchedulingFeatures { moves: true, ..SchedulingFeatures::default() })
    }

    fn open_with(seed: u64, features: SchedulingFeatures) -> Self {
        let workers = AGENTS.iter().zip(CLOCK_RATES).enumerate();
        let workers = workers.map(|(index, (name, rate))| {
            let mut worker = WorkerModel::open(name, START, rate, index == 2);
            worker.set_stop_time(if index == 0 { 900 } else { 200 });
            worker
        });
        let mut simulation = Self {
            now: START,
            queue: BTreeMap::new(),
            sequence: 0,
            random: seed | 1,
            workers: workers.collect(),
            agents: AGENTS.iter().map(|_| AgentModel::open(1)).collect(),
            owners: Vec::new(),
            store: StoreModel::default(),
            store_loading: 0,
            earlier: AGENTS.iter().map(|_| None).collect(),
            jobs: BTreeMap::new(),
            faults: AGENTS.iter().map(|_| LinkFaults::default()).collect(),
            ledger: RunLedger::default(),
            trace: VecDeque::new(),
            features,
            moves: 0,
            preemptions: 0,
            violation: None,
        };
        simulation.elect();
        for index in 0..AGENTS.len() {
            simulation.spawn_agent(index);
            simulation.announce(index);
        }
        simulation.advance(1_000);
        simulation
    }

    /// Applies the actions, each after its delay, then stops all faults and waits for the
    /// jobs to complete.
    pub fn run(&mut self, actions: &[(u16, Action)]) -> Result<(), String> {
        for (delay, action) in actions {
            self.advance(u64::from(*delay));
            if self.violation.is_none() {
                self.note(format!("== {action:?}"));
                self.apply(action);
            }
        }
        if self.violation.is_none() {
            self.stop_faults();
            self.finish();
        }
        match self.violation.take() {
            Some(violation) => Err(self.describe(&violation)),
            None => Ok(()),
        }
    }

    /// Waits until every job has completed and no worker has a run that the owner does not know.
    fn finish(&mut self) {
        let frozen_until = self.agents.iter().map(|agent| agent.frozen_until).max();
        let until = self.store.down_until.max(frozen_until.unwrap_or_default());
        self.advance(until.saturating_sub(self.now));
        let began = self.now;
        self.advance(ORPHAN_LIMIT);
        for id in self.endless_jobs() {
            self.cancel(&id);
        }
        self.check_orphans();
        while self.violation.is_none() && self.now < began + COMPLETION_LIMIT {
            self.advance(1_000);
            let ended = self.owners.last().is_some_and(|owner| owner.scheduler.jobs.is_empty());
            if ended && self.workers.iter().all(|worker| worker.running.is_empty()) {
                break;
            }
        }
        let incomplete = self.incomplete_jobs();
        if self.violation.is_none() && !incomplete.is_empty() {
            self.violate(format!("LOST: jobs that do not end: {incomplete:?}"));
        }
        self.check_orphans();
    }

    fn check_orphans(&mut self) {
        if self.violation.is_none()
            && let Some(orphan) = self.orphans().into_iter().next()
        {
            self.violate(format!("ORPHAN: {orphan}"));
        }
    }

    fn describe(&self, violation: &str) -> String {
        let lines: Vec<_> = self.trace.iter().map(String::as_str).collect();
        format!("{violation}\n{}", lines.join("\n"))
    }

    fn violate(&mut self, violation: String) {
        self.note(violation.clone());
        self.violation.get_or_insert(violation);
    }

    fn note(&mut self, line: String) {
        if self.trace.len() == TRACE_LINES {
            self.trace.pop_front();
        }
        self.trace.push_back(format!("{:>7} {line}", self.now - START));
    }

    /// Runs all events of the next `millis`.
    fn advance(&mut self, millis: u64) {
        let until = self.now + millis;
        while self.violation.is_none() {
            let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= until)
            else {
                break;
            };
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.handle(event);
        }
        self.now = until;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Call { worker, call } => self.execute_call(worker, call),
            Event::PollDue { worker, number, born } => self.answer_due_poll(worker, number, born),
            Event::Outcome { to, number, outcome } => self.handle_outcome(to, number, outcome),
            Event::Wake { to, wake } => self.handle_wake(to, wake),
            Event::Report { epoch, from, number, report } => {
                self.handle_report(epoch, from, number, &report);
            }
            Event::Reply { to, number, reply } => self.handle_reply(to, number, reply),
            Event::Announcement { to, number, clock, info } => {
                self.handle_announcement(to, number, clock, *info);
            }
            Event::Announce { worker, born } => {
                if self.workers[worker].incarnation.born == born {
                    self.announce(worker);
                }
            }
            Event::WorkerChange { worker } => self.advance_worker(worker),
            Event::Leave { worker, born } => self.leave(worker, born),
            Event::WorkerRestart { worker, restart } => self.restart_worker(worker, restart),
            Event::AgentRestart { agent } => self.spawn_agent(agent),
            Event::OwnerTick { epoch } => self.tick_owner(epoch),
            Event::Heartbeat { epoch } => self.handle_heartbeat(epoch),
            Event::Stored { epoch, sent } => self.handle_stored(epoch, sent),
            Event::Close { epoch } => self.close_owner(epoch, "resigns"),
            Event::Elect => self.elect_if_missing(),
            Event::Open { epoch, fenced } => self.open_owner(epoch, fenced),
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((at.max(self.now), self.sequence), event);
    }

    /// A number in `low..=high`.
    fn draw(&mut self, low: u64, high: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        low + (self.random >> 16) % (high - low + 1)
    }

    fn moment(&self) -> Moment {
        Moment(self.now)
    }

    fn unix(&self) -> u64 {
        support::UNIX + self.now
    }

    fn shape(&self, task: &TaskName) -> TaskShape {
        let step = &self.jobs[&task.job].0.steps[usize::from(task.step)];
        TaskShape { cpu: step.reserved().cpu, duration: step.estimate, endless: step.endless }
    }

    /// Executes a call that reaches the worker now.
    fn execute_call(&mut self, index: usize, call: Call) {
        self.advance_worker(index);
        if self.workers[index].incarnation.born != call.born && !call.held {
            return;
        }
        if let Err(outcome) = self.workers[index].admit(&call) {
            self.answer_call(&call, outcome);
            return;
        }
        let now = self.now;
        match &call.body {
            CallBody::Start { order, deadline } => {
                let shape = self.shape(&order.task);
                let outcome = self.workers[index].start(order, *deadline, shape, now);
                let outcome = match outcome {
                    Ok(begins) => {
                        if begins {
                            self.check_start(index, &order.task, order.run);
                        }
                        Outcome::Done
                    }
                    Err(outcome) => outcome,
                };
                let (name, task, run) = (AGENTS[index], &order.task, order.run);
                self.note(format!("worker {name}: start {task} run {run}: {outcome:?}"));
                self.answer_call(&call, outcome);
            }
            CallBody::Stop { task, run } => {
                let outcome = self.workers[index].stop(task, *run, now);
                let name = AGENTS[index];
                self.note(format!("worker {name}: stop {task} run {run}: {outcome:?}"));
                self.answer_call(&call, outcome);
            }
            CallBody::Poll { wait, .. } => {
                let until = now + *wait;
                let forgotten = self.workers[index].acknowledge(&call.body, now);
                self.acknowledge(index, &forgotten);
                if self.workers[index].ended.is_empty() && *wait > 0 {
                    let (number, born) = (call.number, call.born);
                    self.workers[index].waiting.push((call, until));
                    self.schedule(until, Event::PollDue { worker: index, number, born });
                } else {
                    let list = self.workers[index].list(now);
                    self.answer_call(&call, list);
                }
            }
        }
        self.schedule_change(index);
    }

    fn answer_call(&mut self, call: &Call, outcome: Outcome) {
        if call.answered {
            let delay = self.draw(1, 4);
            let (to, number) = (call.from, call.number);
            self.schedule(self.now + delay, Event::Outcome { to, number, outcome });
        }
    }

    fn answer_due_poll(&mut self, index: usize, number: u64, born: u64) {
        self.advance_worker(index);
        if self.workers[index].incarnation.born != born {
            return;
        }
        let waiting = std::mem::take(&mut self.workers[index].waiting);
        let now = self.now;
        let (due, waiting): (Vec<_>, _) =
            waiting.into_iter().partition(|(call, until)| call.number == number && *until <= now);
        self.workers[index].waiting = waiting;
        for (call, _) in due {
            let list = self.workers[index].list(now);
            self.answer_call(&call, list);
        }
    }

    /// Applies the ends of runs that are due on a worker.
    fn advance_worker(&mut self, index: usize) {
        let now = self.now;
        if self.workers[index].tick_at.is_some_and(|at| at <= now) {
            self.workers[index].tick_at = None;
        }
        let ends = self.workers[index].advance(now);
        for ended in &ends {
            let (name, task, run, end) = (AGENTS[index], &ended.task, ended.run, ended.end);
            self.note(format!("worker {name}: {task} run {run} ends {end:?}"));
        }
        self.record_ends(index, &ends);
        if !ends.is_empty() {
            let list = self.workers[index].list(now);
            for (call, _) in std::mem::take(&mut self.workers[index].waiting) {
                self.answer_call(&call, list.clone());
            }
        }
        self.schedule_change(index);
    }

    fn schedule_change(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        let Some(at) = worker.next_change().filter(|_| worker.up) else { return };
        if worker.tick_at.is_none_or(|tick| at < tick) {
            worker.tick_at = Some(at);
            self.schedule(at, Event::WorkerChange { worker: index });
        }
    }
}
