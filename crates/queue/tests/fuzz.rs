//! Randomised test of the scheduler and the agents against a model of the workers.
//!
//! Random sequences of submissions, ends, lost answers, restarts of agents and workers,
//! cancellations and changes of owner. The model records the runs on the workers, and
//! the test checks that no task runs twice, that capacity is respected, that no task
//! starts after an acknowledged `Done`, and that every job ends.

mod support;
#[path = "oracle/work.rs"]
mod work;

use std::collections::BTreeMap;

use cactusdoor_core::unit::Moment;
use cactusdoor_queue::agent::{AgentState, ListedRun, ReportContent, WorkerCall, WorkerList};
use cactusdoor_queue::features::SchedulingFeatures;
use cactusdoor_queue::name::{JobId, StepName, TaskName};
use cactusdoor_queue::observation::RunObservation;
use cactusdoor_queue::record::{TaskKey, TaskRecord};
use cactusdoor_queue::report::{AgentLease, EndedRun, RunEnd, WorkerInfo};
use cactusdoor_queue::scheduler::QueueScheduler;
use cactusdoor_queue::spec::{JobSpec, StepSpec};
use proptest::prelude::*;
use support::*;
use work::check_backlog;

const AGENTS: [&str; 3] = ["a", "b", "c"];
const TICK: u64 = 100;
const MOVES: SchedulingFeatures = SchedulingFeatures { moves: true, ..SchedulingFeatures::NONE };

#[derive(Clone, Debug)]
enum Action {
    Submit(u8, u8),
    Cancel(u8),
    /// A worker ends its oldest run.
    End(u8, bool),
    /// An agent and the owner exchange a report; the answer may be lost.
    Exchange(u8, bool),
    Store,
    RestartAgent(u8),
    RestartWorker(u8),
    NewOwner,
    /// A worker lists its best-effort runs as paused from now on, or at full speed.
    Pause(u8, bool),
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        3 => (0..6u8, 1..4u8).prop_map(|(job, width)| Action::Submit(job, width)),
        1 => (0..6u8).prop_map(Action::Cancel),
        5 => (0..3u8, prop::bool::weighted(0.85)).prop_map(|(w, done)| Action::End(w, done)),
        8 => (0..3u8, prop::bool::weighted(0.2)).prop_map(|(w, lost)| Action::Exchange(w, lost)),
        6 => Just(Action::Store),
        1 => (0..3u8).prop_map(Action::RestartAgent),
        1 => (0..3u8).prop_map(Action::RestartWorker),
        1 => Just(Action::NewOwner),
    ]
}

/// Actions of a fleet whose best-effort runs are paused now and then, and moved.
fn action_with_pauses() -> impl Strategy<Value = Action> {
    let pause = (0..3u8, prop::bool::weighted(0.7));
    prop_oneof![
        5 => action(),
        1 => pause.prop_map(|(worker, paused)| Action::Pause(worker, paused)),
    ]
}

/// Model of a worker.
#[derive(Default)]
struct WorkerModel {
    born: u64,
    running: Vec<(TaskName, u32)>,
    last_runs: BTreeMap<TaskName, u32>,
    ended: Vec<EndedRun>,
    last_end: u64,
    paused: bool,
}

impl WorkerModel {
    fn info(&self, name: &str) -> WorkerInfo {
        worker(name, self.born)
    }

    fn end(&mut self, index: usize, end: RunEnd) -> Option<(TaskName, u32)> {
        if index >= self.running.len() {
            return None;
        }
        let (task, run) = self.running.remove(index);
        self.last_end += 1;
        self.ended.push(ended(self.last_end, &task, run, end));
        Some((task, run))
    }

    fn list(&self, percent: u8) -> WorkerList {
        let running = self.running.iter().map(|(task, run)| ListedRun {
            task: task.clone(),
            run: *run,
            checkpoint: "".into(),
            percent,
            measurement: 0,
        });
        WorkerList { running: running.collect(), ended: self.ended.clone() }
    }
}

/// Whether the steps of a job are best-effort.
fn fills(job: &JobId) -> bool {
    job.ends_with(['1', '3', '5'])
}

struct Simulation {
    scheduler: QueueScheduler,
    agents: Vec<(AgentState, u64, u64)>,
    workers: Vec<WorkerModel>,
    /// Contents of the store.
    jobs: Vec<(JobId, JobSpec)>,
    cancels: Vec<JobId>,
    records: BTreeMap<String, Vec<u8>>,
    acknowledged_done: Vec<TaskName>,
    now: Moment,
    epoch: u64,
    features: SchedulingFeatures,
    agent_features: SchedulingFeatures,
    moves: usize,
}

impl Simulation {
    /// `agents_order`: whether the agents order best-effort steps.
    fn open(features: SchedulingFeatures, agents_order: bool) -> Self {
        let agent_features = SchedulingFeatures { job_order: agents_order, ..features };
        let agent = || {
            let mut state = AgentState::default();
            state.set_features(agent_features);
            state
        };
        let workers = AGENTS.iter().map(|_| WorkerModel { born: 1, ..WorkerModel::default() });
        let mut scheduler = scheduler();
        scheduler.set_features(features);
        Self {
            scheduler,
            agents: AGENTS.iter().map(|_| (agent(), 1, 0)).collect(),
            workers: workers.collect(),
            jobs: Vec::new(),
            cancels: Vec::new(),
            records: BTreeMap::new(),
            acknowledged_done: Vec::new(),
            now: Moment(100_000),
            epoch: 1,
            features,
            agent_features,
            moves: 0,
        }
    }

    fn apply(&mut self, action: &Action) {
        self.now = self.now.after(TICK);
        match action {
            Action::Submit(job, width) => self.submit(*job, *width),
            Action::Cancel(job) => self.cancel(*job),
            Action::End(worker, done) => {
                let end = if *done { RunEnd::Done } else { RunEnd::Failed };
                self.workers[usize::from(*worker)].end(0, end);
            }
            Action::Exchange(agent, lost) => self.exchange(usize::from(*agent), *lost),
            Action::Store => self.store(),
            Action::RestartAgent(agent) => {
                let agent = &mut self.agents[usize::from(*agent)];
                let mut state = AgentState::default();
                state.set_features(self.agent_features);
                *agent = (state, agent.1 + 1, 0);
            }
            Action::RestartWorker(worker) => {
                let worker = &mut self.workers[usize::from(*worker)];
                *worker = WorkerModel { born: worker.born + 1, ..WorkerModel::default() };
            }
            Action::NewOwner => self.change_owner(),
            Action::Pause(worker, paused) => self.workers[usize::from(*worker)].paused = *paused,
        }
    }

    fn submit(&mut self, job_number: u8, width: u8) {
        let id: JobId = format!("job{job_number}").into();
        if self.jobs.iter().any(|(known, _)| *known == id) {
            return;
        }
        let (best_effort, width) = (fills(&id), u32::from(width));
        let first = StepSpec { best_effort, estimate: 700, ..step(width, 1_300) };
        let first = if self.features.moves && !job_number.is_multiple_of(3) {
            StepSpec { best_effort: true, checkpoints: true, estimate: 20_000, ..first }
        } else {
            first
        };
        let second = StepSpec { after: vec![0], best_effort, estimate: 400, ..step(width, 900) };
        let spec = job(vec![first, second]);
        self.jobs.push((id.clone(), spec.clone()));
        self.scheduler.submit(&id, spec);
    }

    fn cancel(&mut self, job: u8) {
        let id: JobId = format!("job{job}").into();
        if self.jobs.iter().any(|(known, _)| *known == id) {
            self.cancels.push(id.clone());
            self.scheduler.cancel(&id, UNIX);
        }
    }

    fn store(&mut self) {
        self.scheduler.balance(self.now, UNIX);
        let observations = self.scheduler.take_observations();
        let moved = |seen: &&RunObservation| matches!(seen, RunObservation::Moved { .. });
        self.moves += observations.iter().filter(moved).count();
        self.scheduler.place(self.now, UNIX);
        if self.features.refusals {
            check_backlog(&mut self.scheduler, self.now, UNIX);
        } else {
            assert_eq!(self.scheduler.backlog(self.now, UNIX), None);
        }
        for write in self.scheduler.take_writes() {
            match write.record {
                Some((key, Some(value))) => drop(self.records.insert(key, value)),
                Some((key, None)) => drop(self.records.remove(&key)),
                None => {}
            }
            if let Some(effect) = write.effect {
                self.scheduler.release(&effect);
            }
        }
    }

    /// Replaces the owner by one that knows only the stored records.
    fn change_owner(&mut self) {
        self.epoch += 1;
        let mut scheduler = QueueScheduler::open(self.epoch, self.now.after(1_000_000));
        // The order is switched on after the records are loaded.
        scheduler.set_features(SchedulingFeatures { job_order: false, ..self.features });
        scheduler.set_view(view());
        let keys = self.records.iter().map(|(key, value)| (TaskKey::parse(key), value));
        let keys: Vec<_> = keys.collect();
        for (key, value) in &keys {
            if let TaskKey::Job(job) = key {
                scheduler.restore_ending(job, serde_json::from_slice(value).unwrap());
            }
        }
        for (id, spec) in &self.jobs {
            scheduler.submit(id, spec.clone());
        }
        for (key, value) in &keys {
            if let TaskKey::Task(name) = key {
                let record: TaskRecord = serde_json::from_slice(value).unwrap();
                scheduler.restore_task(name, &record, self.now);
            }
        }
        scheduler.finish_loading(UNIX);
        scheduler.set_features(self.features);
        for job in &self.cancels {
            scheduler.cancel(job, UNIX);
        }
        self.scheduler = scheduler;
    }

    fn exchange(&mut self, index: usize, lost: bool) {
        let name = AGENTS[index];
        let info = self.workers[index].info(name);
        let (agent, incarnation, lists) = &mut self.agents[index];
        agent.register(info);
        *lists += 1;
        let percent = u8::try_from(*lists * 7 % 100).unwrap();
        if agent.epoch > 0 {
            let acknowledged = agent.acknowledged;
            self.workers[index].ended.retain(|ended| {
                let dropped = ended.number <= acknowledged;
                if dropped && ended.end == RunEnd::Done {
                    self.acknowledged_done.push(ended.task.clone());
                }
                !dropped
            });
            agent.apply_list(*lists, self.workers[index].list(percent));
        }
        let (agent_name, incarnation) = (name.into(), *incarnation);
        let content = ReportContent { agent: agent_name, incarnation, full_list: true, wait: 0 };
        let mut report = agent.report(content);
        if self.workers[index].paused {
            report.runs.iter_mut().flatten().for_each(|listed| listed.speed = 0);
        }
        assert!(report.epoch <= self.epoch);
        self.scheduler.report(&report, self.now, UNIX);
        self.store();
        let ranks = self.scheduler.due_ranks(&name.into(), self.now);
        let tracked = &mut self.scheduler.workers[name];
        tracked.lease_end = tracked.lease_end.max(self.now.after(1_000_000));
        let lease = AgentLease {
            epoch: self.epoch,
            incarnation: tracked.worker.as_ref().map(|worker| worker.incarnation.clone()),
            duration: 1_000,
            confirmed: true,
            heartbeat: 0,
            acknowledged: tracked.acknowledged,
            acknowledged_runs: std::mem::take(&mut tracked.acknowledged_runs),
            orders: tracked.orders.iter().cloned().collect(),
            interference: None,
        };
        if lost {
            return;
        }
        let agent = &mut self.agents[index].0;
        if let Some(update) = ranks {
            assert!(self.features.job_order && !update.ranks.is_empty());
            let is_best_effort = |step: &StepName| {
                let (_, spec) = self.jobs.iter().find(|(id, _)| *id == step.job).unwrap();
                spec.steps[usize::from(step.step)].best_effort
            };
            assert!(update.ranks.iter().all(|(step, _)| is_best_effort(step)));
            assert_eq!(agent.apply_ranks(self.epoch, update), Ok(()));
        }
        agent.throttle(1_000, self.now, UNIX);
        let calls = agent.apply_lease(lease, self.now);
        for call in calls {
            self.execute(index, call);
        }
        self.check();
    }

    fn execute(&mut self, index: usize, call: WorkerCall) {
        let (agent, _, lists) = &mut self.agents[index];
        let worker = &mut self.workers[index];
        let (task, run) = match &call {
            WorkerCall::Start(order) => (order.task.clone(), order.run),
            WorkerCall::Stop { task, run } => (task.clone(), *run),
        };
        let last = worker.last_runs.entry(task.clone()).or_insert(0);
        let runs = worker.running.iter().position(|running| *running == (task.clone(), run));
        match call {
            WorkerCall::Start(order) if *last < run && order.incarnation.born == worker.born => {
                *last = run;
                assert!(
                    !self.acknowledged_done.contains(&task),
                    "{task} started after it was done"
                );
                worker.running.push((task.clone(), run));
            }
            WorkerCall::Start(_) => {}
            WorkerCall::Stop { .. } => {
                *last = (*last).max(run);
                if let Some(position) = runs {
                    worker.end(position, RunEnd::Stopped);
                }
            }
        }
        agent.record_answer(&task, run, *lists);
    }

    fn check(&self) {
        let mut seen: BTreeMap<&TaskName, usize> = BTreeMap::new();
        for (index, worker) in self.workers.iter().enumerate() {
            let mut cpu = 0;
            for (task, run) in &worker.running {
                let other = seen.insert(task, index);
                assert_eq!(other, None, "{task} run {run} runs twice");
                let (_, spec) = self.jobs.iter().find(|(id, _)| *id == task.job).unwrap();
                cpu += spec.steps[usize::from(task.step)].reserved().cpu;
            }
            assert!(cpu <= 4_000, "{} is overcommitted", AGENTS[index]);
        }
    }

    /// Exchanges reports without further faults until every job has ended.
    fn finish_jobs(&mut self) {
        for _ in 0..400 {
            self.now = self.now.after(TICK);
            for index in 0..AGENTS.len() {
                self.workers[index].end(0, RunEnd::Done);
                self.exchange(index, false);
            }
            if self.scheduler.jobs.is_empty() {
                return;
            }
        }
        let remaining: Vec<_> = self.scheduler.jobs.keys().collect();
        panic!("jobs that never end: {remaining:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// Guards against double runs, overcommitment and lost jobs under restarts of agents
    /// and workers, lost answers and changes of owner.
    #[test]
    fn no_task_runs_twice_and_every_job_ends(
        ordered in any::<(bool, bool)>(),
        refusals in any::<bool>(),
        actions in prop::collection::vec(action(), 1..120)
    ) {
        let features =
            SchedulingFeatures { job_order: ordered.0, refusals, ..SchedulingFeatures::default() };
        let mut simulation = Simulation::open(features, ordered.1);
        for action in &actions {
            simulation.apply(action);
        }
        simulation.finish_jobs();
    }

    /// Guards against the same faults while runs are moved.
    #[test]
    fn no_task_runs_twice_and_every_job_ends_while_runs_are_moved(
        ordered in any::<(bool, bool)>(),
        refusals in any::<bool>(),
        actions in prop::collection::vec(action_with_pauses(), 1..120)
    ) {
        let features = SchedulingFeatures { job_order: ordered.0, refusals, ..MOVES };
        let mut simulation = Simulation::open(features, ordered.1);
        for action in &actions {
            simulation.apply(action);
        }
        simulation.finish_jobs();
    }
}

/// Guards against a test of moves in which none happens.
#[test]
fn paused_runs_of_the_model_are_moved() {
    let mut simulation = Simulation::open(MOVES, false);
    for agent in 0..3 {
        simulation.apply(&Action::Exchange(agent, false));
    }
    simulation.apply(&Action::Submit(1, 3));
    for _ in 0..8 {
        (0..3).for_each(|agent| simulation.apply(&Action::Exchange(agent, false)));
    }
    simulation.apply(&Action::Pause(0, true));
    for _ in 0..10 {
        (0..3).for_each(|agent| simulation.apply(&Action::Exchange(agent, false)));
    }
    assert!(simulation.moves > 0);
    simulation.finish_jobs();
}
