//! A shard in simulated time: processes, messages, the log and injected faults, with
//! checks after each step.

mod agent;
mod owners;
mod wire;

use std::collections::{BTreeMap, HashMap, VecDeque};

use agent::{AgentModel, WorkerModel};
use cactusdoor_core::constants::LOG_TIMEOUT;
use cactusdoor_core::envelope::{LogEnvelope, WriterId};
use cactusdoor_core::job::{JobSpec, StartRefusal, TaskId};
use cactusdoor_core::name::VmName;
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::shard::{ShardFold, TaskRecord};
use cactusdoor_core::unit::{Incarnation, Millis, Moment, Offset};
use cactusdoor_log::appender::{NotStored, StoredRecord};
use cactusdoor_owner::scheduler::{AppendId, CallOutcome, ShardScheduler, TaskIndex};
use cactusdoor_peer::heartbeat::{AgentHeartbeat, HeartbeatRefusal, HeartbeatReply};
use cactusdoor_peer::task::{StopReply, TaskRefusal, TaskStart, TaskStop};
use cactusdoor_peer::witness::{AttestReply, ClosingReply, WitnessRequest};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::support::{SHARD, amount, identity, job, shard};

const STEP: Millis = 100;
const PROCESSES: usize = 4;
/// Time without an answer after which a process searches for another owner.
const OWNER_TIMEOUT: Millis = 3_000;
const PLAN: &str = "gold";

pub fn allowance() -> ResourceVector {
    amount(9_000, 64 * 1_024)
}

pub fn capacity() -> ResourceVector {
    amount(4_000, 8_192)
}

/// Probabilities per message, append or step.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub loss: f64,
    pub restart: f64,
    pub pause: f64,
    pub append_loss: f64,
    pub outage: f64,
    pub partition: f64,
    /// A partition that lasts longer than `LOG_TIMEOUT`, after which long leases are
    /// granted.
    pub cut: f64,
    pub cancel: f64,
}

enum Message {
    Heartbeat {
        to: usize,
        from: usize,
        number: u64,
        heartbeat: Box<AgentHeartbeat>,
    },
    Reply {
        to: usize,
        number: u64,
        reply: Result<HeartbeatReply, HeartbeatRefusal>,
    },
    Start {
        to: usize,
        from: usize,
        start: Box<TaskStart>,
    },
    Started {
        to: usize,
        token: Offset,
        answer: Result<(), StartRefusal>,
    },
    Stop {
        to: usize,
        from: usize,
        stop: Box<TaskStop>,
    },
    Stopped {
        to: usize,
        vm: VmName,
        stop: Box<TaskStop>,
        answer: Result<StopReply, TaskRefusal>,
    },
    Attest {
        to: usize,
        from: usize,
        request: WitnessRequest,
    },
    AttestAnswered {
        to: usize,
        request: WitnessRequest,
        answer: CallOutcome<AttestReply>,
    },
    CloseNaming {
        to: usize,
        from: usize,
        request: WitnessRequest,
    },
    NamingClosed {
        to: usize,
        request: WitnessRequest,
        answer: CallOutcome<ClosingReply>,
    },
    Appended {
        to: usize,
        append_id: AppendId,
        result: Result<StoredRecord, NotStored>,
    },
    /// An append that was reported lost and is stored later after all.
    LateAppend(LogEnvelope<TaskRecord>),
    /// Reports a call without an answer as lost.
    StartLost {
        to: usize,
        token: Offset,
    },
    StopLost {
        to: usize,
        vm: VmName,
        stop: Box<TaskStop>,
    },
}

struct Process {
    agent: AgentModel,
    worker: WorkerModel,
    scheduler: Option<ShardScheduler>,
    /// Distinguishes answers to an earlier scheduler of this process.
    tenure: u64,
    outbox: VecDeque<(AppendId, TaskRecord)>,
    append_until: Moment,
    sequence: u64,
    paused_until: Moment,
    side: u8,
    claim_at: Option<Moment>,
}

pub struct ShardSimulation {
    rng: ChaCha8Rng,
    faults: Faults,
    now: Moment,
    stream: Vec<LogEnvelope<TaskRecord>>,
    /// Fold of the whole stream.
    stream_fold: ShardFold,
    processes: Vec<Process>,
    queue: BTreeMap<(Moment, u64), (u64, Message)>,
    queued: u64,
    log_down_until: Moment,
    /// During a partition only this side reaches the log.
    log_side: Option<u8>,
    partition_until: Moment,
    jobs: Vec<JobSpec>,
    /// Number of granted leases longer than `TASK_LEASE`.
    pub long_leases: usize,
    /// Length of the stream at the last check of its usage.
    checked: usize,
    /// Number of namings that were closed without an attestation.
    pub closed_namings: usize,
    seed: u64,
}

impl ShardSimulation {
    pub fn new(seed: u64, faults: Faults) -> Self {
        let mut simulation = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults,
            now: Moment(10_000_000),
            stream: Vec::new(),
            stream_fold: ShardFold::new(shard(SHARD)),
            processes: Vec::new(),
            queue: BTreeMap::new(),
            queued: 0,
            log_down_until: Moment::default(),
            log_side: None,
            partition_until: Moment::default(),
            jobs: Vec::new(),
            long_leases: 0,
            checked: 0,
            closed_namings: 0,
            seed,
        };
        for number in 0..PROCESSES {
            let identity = identity(&format!("vm-{number}"), 1);
            let agent = AgentModel::new(identity, simulation.now);
            simulation.processes.push(Process {
                agent,
                worker: WorkerModel::default(),
                scheduler: None,
                tenure: 0,
                outbox: VecDeque::new(),
                append_until: Moment::default(),
                sequence: 0,
                paused_until: Moment::default(),
                side: 0,
                claim_at: None,
            });
        }
        for key in 0..24 {
            let spec = job(PLAN, &format!("k{key}"), 3);
            let sequence = key + 1;
            simulation.jobs.push(spec.clone());
            simulation.store("entry", 7, sequence, TaskRecord::JobSubmitted(spec));
        }
        simulation
    }

    pub fn run(&mut self, millis: Millis) {
        let end = self.now.after(millis);
        while self.now < end {
            self.step();
        }
    }

    /// Ends all faults; messages lost so far stay lost.
    pub fn end_faults(&mut self) {
        self.faults = Faults::default();
        self.log_down_until = self.now;
        self.partition_until = self.now;
        for process in &mut self.processes {
            process.paused_until = process.paused_until.min(self.now);
        }
    }

    pub fn run_until_done(&mut self, limit: Millis) {
        let end = self.now.after(limit);
        while self.now < end {
            self.step();
            if self.stream_fold.jobs().all(|job| job.is_ended()) {
                return;
            }
        }
        let open: Vec<_> = self
            .stream_fold
            .jobs()
            .flat_map(|job| job.tasks.iter().map(move |(index, task)| (&job.spec.id, index, task)))
            .filter(|(_, _, task)| {
                !matches!(task.state, cactusdoor_core::shard::TaskState::Ended(_))
            })
            .collect();
        panic!("seed {}: not done: {open:?}", self.seed);
    }

    fn chance(&mut self, chance: f64) -> bool {
        chance > 0.0 && self.rng.random_bool(chance)
    }

    fn step(&mut self) {
        self.now = self.now.after(STEP);
        self.inject();
        self.deliver();
        for index in 0..self.processes.len() {
            if self.now >= self.processes[index].paused_until {
                self.run_process(index);
            }
        }
        self.check();
    }

    fn inject(&mut self) {
        if self.now >= self.partition_until {
            self.log_side = None;
            self.processes.iter_mut().for_each(|process| process.side = 0);
        }
        if self.chance(self.faults.outage) {
            let length = self.rng.random_range(1_000..30_000);
            self.log_down_until = self.now.after(length);
        }
        let length = if self.chance(self.faults.partition) {
            Some(self.rng.random_range(2_000..60_000))
        } else if self.chance(self.faults.cut) {
            Some(self.rng.random_range(2 * LOG_TIMEOUT..6 * LOG_TIMEOUT))
        } else {
            None
        };
        if let Some(length) = length {
            self.partition_until = self.now.after(length);
            self.log_side = Some(self.rng.random_range(0..2));
            for index in 0..self.processes.len() {
                self.processes[index].side = self.rng.random_range(0..2);
            }
        }
        for index in 0..self.processes.len() {
            if self.chance(self.faults.pause) {
                let length = self.rng.random_range(1_000..20_000);
                self.processes[index].paused_until = self.now.after(length);
            }
            if self.chance(self.faults.restart) {
                self.restart(index);
            }
        }
        if self.chance(self.faults.cancel) {
            let chosen = self.rng.random_range(0..self.jobs.len());
            let id = self.jobs[chosen].id.clone();
            let sequence = self.stream.len() as u64 + 1_000;
            self.store("entry", 7, sequence, TaskRecord::JobCancelled(id));
        }
    }

    fn restart(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let incarnation = process.agent.identity.incarnation + 1;
        process.scheduler = None;
        process.tenure += 1;
        process.outbox.clear();
        process.sequence = 0;
        process.claim_at = None;
        process.paused_until = self.now;
        process.agent.restart(incarnation, &process.worker, self.now);
    }

    fn log_reachable(&self, index: usize) -> bool {
        let side = self.log_side.is_none_or(|side| side == self.processes[index].side);
        side && self.now >= self.log_down_until
    }

    fn store(&mut self, process: &str, incarnation: Incarnation, sequence: u64, body: TaskRecord) {
        let writer = WriterId { process: process.parse().unwrap(), incarnation };
        self.store_envelope(LogEnvelope { writer, sequence, body });
    }

    fn store_envelope(&mut self, envelope: LogEnvelope<TaskRecord>) -> Offset {
        let offset = self.stream.len() as Offset;
        self.stream.push(envelope.clone());
        self.stream_fold.apply(offset, envelope);
        offset
    }

    fn send(&mut self, delay: std::ops::Range<Millis>, tenure: u64, message: Message) {
        let at = self.now.after(self.rng.random_range(delay));
        self.queued += 1;
        self.queue.insert((at, self.queued), (tenure, message));
    }

    /// Whether a message between two processes is delivered.
    fn is_delivered(&mut self, from: usize, to: usize) -> bool {
        self.processes[from].side == self.processes[to].side && !self.chance(self.faults.loss)
    }

    /// Range of a message's delay in milliseconds: mostly short, rarely very long.
    fn delay(&mut self) -> std::ops::Range<Millis> {
        if self.faults.loss > 0.0 && self.rng.random_bool(0.05) { 500..15_000 } else { 1..150 }
    }

    fn run_process(&mut self, index: usize) {
        let now = self.now;
        let process = &mut self.processes[index];
        process.agent.step(now, &mut process.worker, &mut self.rng);
        if let Some((number, heartbeat)) = process.agent.due_heartbeat(now, &process.worker) {
            let to = process.agent.owner;
            if let Some(to) = to.filter(|to| self.is_delivered(index, *to)) {
                let delay = self.delay();
                let message =
                    Message::Heartbeat { to, from: index, number, heartbeat: Box::new(heartbeat) };
                self.send(delay, 0, message);
            }
        }
        self.find_owner(index);
        self.run_owner(index);
    }

    fn check(&mut self) {
        let mut places: HashMap<&TaskId, &VmName> = HashMap::new();
        for process in &self.processes {
            let vm = &process.agent.identity.vm;
            let mut used = ResourceVector::ZERO;
            for run in process.worker.running(self.now) {
                used = used.checked_add(run.need).unwrap();
                if let Some(other) = places.insert(&run.task, vm) {
                    panic!("seed {}: {} runs on {other} and {vm}", self.seed, run.task);
                }
            }
            assert!(capacity().can_fit(used), "seed {}: {vm} uses {used:?}", self.seed);
        }
        // The checks below depend on the stream alone.
        if std::mem::replace(&mut self.checked, self.stream.len()) == self.stream.len() {
            return;
        }
        let index = TaskIndex::of(&self.stream_fold);
        let used = index.allowances().used(&PLAN.parse().unwrap());
        assert!(allowance().can_fit(used), "seed {}: the plan uses {used:?}", self.seed);
        for (vm, load) in index.vms() {
            let fits = capacity().can_fit(load.committed);
            assert!(fits, "seed {}: {vm} is committed to {:?}", self.seed, load.committed);
        }
    }
}
