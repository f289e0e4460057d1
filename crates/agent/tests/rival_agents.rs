//! Two agents and a scheduler that places tasks on either of them. Messages are lost, late
//! and reordered, and agents pause. Simulated time, fixed seeds.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use cactusdoor_agent::manager::{ManagerIdentity, StartStep, StopStep, TaskManager};
use cactusdoor_agent::table::{LaunchAnswer, StopAnswer};
use cactusdoor_core::constants::{PAUSE_MARGIN, TASK_LEASE};
use cactusdoor_core::job::{PlacementEnd, StartRefusal};
use cactusdoor_core::lease::{GrantedLease, LeaseRequest};
use cactusdoor_core::unit::{Millis, Moment, Token};
use cactusdoor_peer::heartbeat::HeartbeatReply;
use cactusdoor_peer::task::{StopMode, TaskStart, TaskStop};
use cactusdoor_worker::{EndedTask, RunningTask, TaskEnd, TaskInventory};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{INCARNATION, T0, capacity, listed, reply, small, stop};

const VMS: usize = 2;
const TASKS: u32 = 4;
const SEEDS: u64 = 300;
const STEPS: usize = 1_500;
/// Time after which an agent no longer waits for an answer of its worker.
const CALL_TIMEOUT: Millis = 1_000;

/// A worker that enforces leases and the order of tokens, as its protocol specifies.
#[derive(Default)]
struct SimulatedWorker {
    running: BTreeMap<Token, (RunningTask, Moment)>,
    ended: BTreeMap<Token, EndedTask>,
    used: BTreeMap<u32, Token>,
}

impl SimulatedWorker {
    fn expire_leases(&mut self, now: Moment) {
        let expired: Vec<Token> = self
            .running
            .iter()
            .filter(|(_, (_, deadline))| now >= *deadline)
            .map(|(token, _)| *token)
            .collect();
        for token in expired {
            self.end(token, TaskEnd::Lapsed);
        }
    }

    fn end(&mut self, token: Token, end: TaskEnd) {
        if let Some((task, _)) = self.running.remove(&token) {
            self.ended.insert(token, EndedTask { token, task: task.task, end });
        }
    }

    fn start(&mut self, now: Moment, start: &TaskStart, lease: Millis) -> LaunchAnswer {
        if self.running.contains_key(&start.token) {
            return LaunchAnswer::Runs;
        }
        let used = self.used.entry(start.task.index).or_default();
        if *used >= start.token {
            return LaunchAnswer::NotStarted;
        }
        *used = start.token;
        let mut task = listed(start.token, 0);
        task.task = start.task.clone();
        self.running.insert(start.token, (task, now.after(lease)));
        LaunchAnswer::Runs
    }

    fn inventory(&self, now: Moment) -> TaskInventory {
        let running = self.running.values().map(|(task, deadline)| RunningTask {
            lease_left_ms: deadline.since(now),
            ..task.clone()
        });
        TaskInventory { running: running.collect(), ended: self.ended.values().cloned().collect() }
    }
}

/// A message or an answer in transit.
#[derive(Clone)]
enum Event {
    // At the scheduler.
    Heartbeat { vm: usize, sent: Moment, lease: LeaseRequest, ended: Vec<(Token, PlacementEnd)> },
    StartAnswer { token: Token, result: Result<(), StartRefusal> },
    StopAnswer { vm: usize, token: Token },
    // At an agent.
    Reply { vm: usize, sent: Moment, number: u64, reply: HeartbeatReply },
    Start { vm: usize, start: TaskStart },
    Stop { vm: usize, stop: TaskStop },
    Launched { vm: usize, token: Token, answer: LaunchAnswer },
    Stopped { vm: usize, token: Token, sent: Moment, answer: StopAnswer },
    Inventory { vm: usize, sent: Moment, inventory: TaskInventory },
    // At a worker.
    Launch { vm: usize, start: TaskStart, lease: Millis, sent: Moment },
    Renew { vm: usize, tokens: Vec<Token>, lease: Millis },
    StopTask { vm: usize, token: Token, sent: Moment },
    ListTasks { vm: usize, sent: Moment },
}

impl Event {
    /// The agent that receives the event, which it can do only while it is not paused.
    fn agent(&self) -> Option<usize> {
        match self {
            Self::Reply { vm, .. }
            | Self::Start { vm, .. }
            | Self::Stop { vm, .. }
            | Self::Launched { vm, .. }
            | Self::Stopped { vm, .. }
            | Self::Inventory { vm, .. } => Some(*vm),
            _ => None,
        }
    }
}

/// Places each task on one VM at a time, as the leases allow.
struct Scheduler {
    leases: Vec<GrantedLease>,
    placed: BTreeMap<u32, (usize, Token)>,
    /// By VM: tokens of expired placements that the agent must report as not running before
    /// it gets a lease again.
    fences: Vec<BTreeSet<Token>>,
    next_token: Token,
}

struct Simulation {
    rng: ChaCha8Rng,
    now: Moment,
    managers: Vec<TaskManager>,
    workers: Vec<SimulatedWorker>,
    /// By VM: until when the agent is paused.
    paused_until: Vec<Moment>,
    /// By VM: until when messages to and from it are lost.
    cut_until: Vec<Moment>,
    scheduler: Scheduler,
    events: Vec<(Moment, Event)>,
    starts: usize,
    placements: usize,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let manager = || {
            let identity = ManagerIdentity { incarnation: INCARNATION, ..support::identity() };
            let mut manager = TaskManager::new(identity);
            manager.load_inventory(T0, T0, capacity(), &TaskInventory::default());
            manager
        };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: T0,
            managers: (0..VMS).map(|_| manager()).collect(),
            workers: (0..VMS).map(|_| SimulatedWorker::default()).collect(),
            paused_until: vec![T0; VMS],
            cut_until: vec![T0; VMS],
            scheduler: Scheduler {
                leases: vec![GrantedLease::assumed(1, T0, 0); VMS],
                placed: BTreeMap::new(),
                fences: vec![BTreeSet::new(); VMS],
                next_token: 1,
            },
            events: Vec::new(),
            starts: 0,
            placements: 0,
        }
    }

    fn send(&mut self, longest: Millis, event: Event) {
        let delay = if self.rng.random_bool(0.7) {
            self.rng.random_range(0..=longest.min(20))
        } else {
            self.rng.random_range(0..=longest)
        };
        self.events.push((self.now.after(delay), event));
    }

    /// Sends a message between VMs, which may be lost or late.
    fn post(&mut self, vm: usize, event: Event) {
        if self.cut_until[vm] <= self.now && !self.rng.random_bool(0.1) {
            self.send(6_000, event);
        }
    }

    /// Sends a call of an agent to its worker, which takes effect within [`PAUSE_MARGIN`].
    fn call(&mut self, event: Event) {
        self.send(PAUSE_MARGIN, event);
    }

    fn step(&mut self) {
        let time = self.rng.random_range(0..120);
        let until = self.now.after(time);
        self.run_until(until);
        let vm = self.rng.random_range(0..VMS);
        let awake = self.paused_until[vm] <= self.now;
        match self.rng.random_range(0..1_000) {
            0..4 if awake => {
                let pause = self.rng.random_range(500..15_000);
                self.paused_until[vm] = self.now.after(pause);
            }
            4..8 => {
                let outage = self.rng.random_range(500..12_000);
                self.cut_until[vm] = self.now.after(outage);
            }
            8..250 if awake => self.heartbeat(vm),
            250..350 if awake => self.tick(vm),
            350..500 if awake => {
                if let Some((tokens, lease)) = self.managers[vm].renewal(self.now) {
                    self.call(Event::Renew { vm, tokens, lease });
                }
            }
            500..650 if awake => {
                let sent = self.now;
                self.send(CALL_TIMEOUT / 2, Event::ListTasks { vm, sent });
            }
            650..850 => self.schedule(),
            850..870 => {
                let token = self.workers[vm].running.keys().next().copied();
                if let Some(token) = token {
                    self.workers[vm].end(token, TaskEnd::Failed);
                }
            }
            _ => {}
        }
    }

    fn run_until(&mut self, until: Moment) {
        loop {
            let paused_until = &self.paused_until;
            let due = |at: &Moment, event: &Event| {
                let ready = event.agent().map_or(*at, |vm| (*at).max(paused_until[vm]));
                (ready <= until).then_some(ready)
            };
            let ready = self.events.iter().enumerate().filter_map(|(position, (at, event))| {
                due(at, event).map(|ready| (ready, position))
            });
            // A paused agent receives the waiting messages in any order.
            let Some(earliest) = ready.clone().map(|(ready, _)| ready).min() else { break };
            let first: Vec<usize> =
                ready.filter(|(at, _)| *at == earliest).map(|(_, position)| position).collect();
            let chosen = first[self.rng.random_range(0..first.len())];
            let (_, event) = self.events.swap_remove(chosen);
            self.advance(earliest.max(self.now));
            self.handle(event);
            self.check();
        }
        self.advance(until);
    }

    fn advance(&mut self, now: Moment) {
        self.now = now;
        for worker in &mut self.workers {
            worker.expire_leases(now);
        }
    }

    fn heartbeat(&mut self, vm: usize) {
        self.tick(vm);
        let lease = self.managers[vm].request_lease(self.now);
        let ended = self.managers[vm].ended();
        let ended = ended.into_iter().map(|task| (task.token, task.end)).collect();
        let sent = self.now;
        self.post(vm, Event::Heartbeat { vm, sent, lease, ended });
    }

    fn tick(&mut self, vm: usize) {
        self.managers[vm].stop_if_not_allowed(self.now);
        for (token, _) in self.managers[vm].stopping() {
            self.call(Event::StopTask { vm, token, sent: self.now });
        }
    }

    fn schedule(&mut self) {
        let index = self.rng.random_range(0..TASKS);
        let vm = self.rng.random_range(0..VMS);
        match self.scheduler.placed.get(&index).copied() {
            None => {
                let token = self.scheduler.next_token;
                self.scheduler.next_token += 1;
                self.scheduler.placed.insert(index, (vm, token));
                self.placements += 1;
                self.send_start(vm, index, token);
            }
            Some((vm, token)) if self.rng.random_bool(0.5) => self.send_start(vm, index, token),
            Some((vm, token)) => {
                let stop = stop(token, 1, StopMode::CheckpointAndStop);
                self.post(vm, Event::Stop { vm, stop });
            }
        }
        for vm in 0..VMS {
            let token = self.scheduler.fences[vm].first().copied();
            if let Some(token) = token {
                let stop = stop(token, 1, StopMode::CheckpointAndStop);
                self.post(vm, Event::Stop { vm, stop });
            }
            if self.scheduler.leases[vm].is_certainly_expired(self.now) {
                self.expire_placements(vm);
            }
        }
    }

    fn send_start(&mut self, vm: usize, index: u32, token: Token) {
        let mut start = small(token, 1);
        start.task = support::task(index);
        self.post(vm, Event::Start { vm, start });
    }

    fn expire_placements(&mut self, vm: usize) {
        let fences = &mut self.scheduler.fences[vm];
        self.scheduler.placed.retain(|_, (placed_vm, token)| {
            let expired = *placed_vm == vm;
            if expired {
                fences.insert(*token);
            }
            !expired
        });
    }

    fn record_end(&mut self, token: Token) {
        self.scheduler.placed.retain(|_, (_, placed)| *placed != token);
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Heartbeat { vm, sent, lease, ended } => {
                if self.scheduler.leases[vm].is_certainly_expired(now) {
                    self.expire_placements(vm);
                }
                let duration = if self.scheduler.fences[vm].is_empty() { TASK_LEASE } else { 0 };
                self.scheduler.leases[vm].renew(now, lease, duration);
                let recorded = ended.iter().map(|(token, _)| *token).collect();
                for (token, _) in ended {
                    self.record_end(token);
                }
                let reply = HeartbeatReply { recorded, ..reply(1, duration, Some(0)) };
                self.post(vm, Event::Reply { vm, sent, number: lease.number, reply });
            }
            Event::StartAnswer { token, result } => {
                if result.is_err() {
                    self.record_end(token);
                }
            }
            Event::StopAnswer { vm, token } => {
                self.record_end(token);
                self.scheduler.fences[vm].remove(&token);
            }
            Event::Reply { vm, sent, number, reply } => {
                drop(self.managers[vm].apply_reply(now, sent, number, &reply));
            }
            Event::Start { vm, start } => self.receive_start(vm, start),
            Event::Stop { vm, stop } => match self.managers[vm].begin_stop(&stop) {
                Ok(StopStep::Stop) => self.tick(vm),
                Ok(StopStep::NotRunning | StopStep::Ended(_)) => {
                    self.post(vm, Event::StopAnswer { vm, token: stop.token });
                }
                _ => {}
            },
            Event::Launched { vm, token, answer } => {
                self.managers[vm].record_launch(now, token, answer);
                self.tick(vm);
            }
            Event::Stopped { vm, token, sent, answer } => {
                self.managers[vm].record_stop(now, sent, token, answer);
            }
            Event::Inventory { vm, sent, inventory } => {
                self.managers[vm].reconcile(now, sent, &inventory);
            }
            Event::Launch { vm, start, lease, sent } => {
                let answer = self.workers[vm].start(now, &start, lease);
                self.starts += 1;
                if now.since(sent) < CALL_TIMEOUT && !self.rng.random_bool(0.1) {
                    self.send(0, Event::Launched { vm, token: start.token, answer });
                }
            }
            Event::Renew { vm, tokens, lease } => {
                for token in tokens {
                    if let Some((_, deadline)) = self.workers[vm].running.get_mut(&token) {
                        *deadline = now.after(lease);
                    }
                }
            }
            Event::StopTask { vm, token, sent } => {
                self.workers[vm].end(token, TaskEnd::Stopped { checkpoint: None });
                let answer = match self.workers[vm].ended.get(&token) {
                    Some(task) => StopAnswer::Ended(task.end.clone()),
                    None => StopAnswer::UnknownToken,
                };
                self.send(CALL_TIMEOUT, Event::Stopped { vm, token, sent, answer });
            }
            Event::ListTasks { vm, sent } => {
                let inventory = self.workers[vm].inventory(now);
                self.send(CALL_TIMEOUT / 2, Event::Inventory { vm, sent, inventory });
            }
        }
    }

    fn receive_start(&mut self, vm: usize, start: TaskStart) {
        let now = self.now;
        let token = start.token;
        let result = match self.managers[vm].begin_start(now, &start) {
            Ok(StartStep::Repeated) => Ok(()),
            Ok(StartStep::Launch) => match self.managers[vm].launch_lease(now, token, 1) {
                Ok(lease) => {
                    self.call(Event::Launch { vm, start, lease, sent: now });
                    // The start counts as uncertain if there is no answer by then.
                    let answer = LaunchAnswer::Uncertain;
                    let at = now.after(CALL_TIMEOUT);
                    self.events.push((at, Event::Launched { vm, token, answer }));
                    Ok(())
                }
                Err(refusal) => Err(refusal),
            },
            Err(refusal) => Err(refusal),
        };
        self.post(vm, Event::StartAnswer { token, result });
    }

    /// Checks that no task runs in two places.
    fn check(&self) {
        let mut places = BTreeMap::new();
        for (vm, worker) in self.workers.iter().enumerate() {
            for (token, (task, _)) in &worker.running {
                let other = places.insert(task.task.index, (vm, *token));
                assert_eq!(
                    other, None,
                    "task {} also runs on VM {vm} under token {token}",
                    task.task.index
                );
            }
        }
    }
}

/// Guards against a task that runs on two VMs at once, in whatever order messages,
/// pauses, expired leases and late calls occur.
#[test]
fn task_never_runs_on_two_vms() {
    let (mut starts, mut placements) = (0, 0);
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed);
        let run = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            for _ in 0..STEPS {
                simulation.step();
                simulation.check();
            }
        }));
        assert!(run.is_ok(), "seed {seed} at {:?}", simulation.now);
        starts += simulation.starts;
        placements += simulation.placements;
    }
    // Without starts and placements the test would check nothing.
    assert!(starts > 10 * SEEDS as usize, "only {starts} starts");
    assert!(placements > 20 * SEEDS as usize, "only {placements} placements");
}
