//! Simulated VMs: the decisions of agent and owner, and a worker that runs tasks.

pub mod pair;
pub mod worker;

use std::collections::VecDeque;
use std::sync::Arc;

use cactusdoor_agent::manager::{ManagerIdentity, StartStep, StopStep, TaskManager};
use cactusdoor_core::config::{
    AllowanceSpec, ConfigFold, ConfigRecord, ConfigState, ItemChange, ItemValue, PlanSpec,
};
use cactusdoor_core::envelope::LogEnvelope;
use cactusdoor_core::job::StartRefusal;
use cactusdoor_core::name::VmName;
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::shard::{ShardFold, TaskRecord};
use cactusdoor_core::unit::{Millis, Moment};
use cactusdoor_owner::scheduler::{AppendId, SchedulerAction, SchedulerSettings, ShardScheduler};
use cactusdoor_peer::heartbeat::{AgentHeartbeat, AgentIdentity, HeartbeatReply};
use cactusdoor_peer::task::{StopReply, TaskRefusal, TaskStart, TaskStop};
use cactusdoor_timeline::HybridTime;

use crate::support::clock::SimulatedClock;
use crate::support::log::LogWriter;
use crate::support::names;
use worker::SimulatedWorker;

pub const CAPACITY: ResourceVector =
    ResourceVector { processors: 2_000, memory: 4_096, accelerators: 0 };

/// Calls, each with the number of the VM that receives it.
pub type CallsTo<T> = Vec<(usize, T)>;

pub fn config() -> ConfigState {
    let (team, plan) = (names::team(0), names::plan(0));
    let batch = ResourceVector::new(1 << 20, 1 << 20, 0);
    let allowance = AllowanceSpec { batch, requests_per_second: 1 };
    let items = [
        ItemValue::Plan(plan.clone(), Some(PlanSpec { team, weight: 1 })),
        ItemValue::Allowance(plan, Some(allowance)),
    ];
    let items = items.map(|value| ItemChange { premise: 0, value }).to_vec();
    let mut fold = ConfigFold::default();
    fold.apply(0, LogWriter::new(99).record(ConfigRecord::Changed { items }));
    fold.state().clone()
}

/// A VM whose agent may own the shard.
pub struct SimulatedVm {
    pub number: usize,
    pub clock: SimulatedClock,
    pub worker: SimulatedWorker,
    pub manager: TaskManager,
    pub scheduler: ShardScheduler,
    pub writer: LogWriter,
    /// Number of schedulers this VM has had; answers to calls of an earlier one are dropped.
    pub generation: u64,
    pub appends: VecDeque<(AppendId, TaskRecord)>,
    /// The VM that gets the heartbeats as owner of the shard.
    pub owner: usize,
    heartbeats: u64,
}

fn identity(number: usize, incarnation: u64) -> AgentIdentity {
    AgentIdentity {
        vm: names::vm(number),
        incarnation,
        address: names::address(number),
        data_centre: names::centre(0),
        rack: format!("rack{number}").parse().unwrap(),
    }
}

fn new_scheduler(
    number: usize,
    writer: &LogWriter,
    fold: ShardFold,
    now: Moment,
) -> ShardScheduler {
    let settings = SchedulerSettings {
        shard: names::shard(0),
        identity: identity(number, writer.id.incarnation),
        writer: writer.id.clone(),
        shards: vec![names::shard(0)],
    };
    let mut scheduler = ShardScheduler::new(settings, fold);
    scheduler.configured(now, Arc::new(config()));
    scheduler
}

fn vm_number(name: &VmName) -> usize {
    (0..).find(|number| names::vm(*number) == *name).unwrap()
}

fn new_manager(incarnation: u64) -> TaskManager {
    TaskManager::new(ManagerIdentity {
        incarnation,
        shard: names::shard(0),
        data_centre: names::centre(0),
    })
}

impl SimulatedVm {
    pub fn new(number: usize) -> Self {
        let clock = SimulatedClock::new(5_000_000_000 + 77_777_777 * number as u64);
        let writer = LogWriter::new(number);
        let mut vm = Self {
            number,
            manager: new_manager(1),
            scheduler: new_scheduler(number, &writer, ShardFold::new(names::shard(0)), clock.now()),
            worker: SimulatedWorker::default(),
            writer,
            clock,
            generation: 0,
            appends: VecDeque::new(),
            owner: 0,
            heartbeats: 0,
        };
        vm.load_inventory();
        vm
    }

    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    pub fn incarnation(&self) -> u64 {
        self.writer.id.incarnation
    }

    fn load_inventory(&mut self) {
        let (now, inventory) = (self.now(), self.worker.inventory(self.clock.nanos()));
        self.manager.load_inventory(now, now, CAPACITY, &inventory);
    }

    /// Restarts the agent process, which loses its memory.
    pub fn restart(&mut self) {
        self.writer.restart();
        self.manager = new_manager(self.incarnation());
        self.new_scheduler(ShardFold::new(names::shard(0)));
        self.load_inventory();
    }

    /// Gives a replaced owner a new scheduler, which starts from the folded records.
    pub fn replace_scheduler(&mut self) {
        if self.scheduler.is_replaced() {
            self.new_scheduler(self.scheduler.fold().clone());
        }
    }

    fn new_scheduler(&mut self, fold: ShardFold) {
        self.generation += 1;
        self.appends.clear();
        self.scheduler = new_scheduler(self.number, &self.writer, fold, self.now());
    }

    pub fn advance(&mut self, micros: u64) {
        self.clock.advance(micros);
        self.worker.expire_leases(self.clock.nanos());
    }

    /// Stops tasks whose lease expired and tasks marked as stopping.
    pub fn stop_due(&mut self) {
        self.manager.stop_if_not_allowed(self.now());
        for (token, cancel) in self.manager.stopping() {
            let (now, answer) = (self.now(), self.worker.stop(token, cancel));
            self.manager.record_stop(now, now, token, answer);
        }
    }

    /// The renewal that the lease allows now; the caller passes it to the worker later.
    pub fn renewal(&self) -> Option<(Vec<u64>, Millis)> {
        self.manager.renewal(self.now())
    }

    pub fn reconcile_inventory(&mut self) {
        let (now, inventory) = (self.now(), self.worker.inventory(self.clock.nanos()));
        self.manager.reconcile(now, now, &inventory);
        if let Some(table) = self.manager.table() {
            self.worker.acknowledge(&table.acknowledgeable(&inventory));
        }
    }

    pub fn heartbeat(&mut self) -> (Moment, AgentHeartbeat) {
        self.stop_due();
        let sent = self.now();
        let lease = self.manager.request_lease(sent);
        self.heartbeats += 1;
        let heartbeat = AgentHeartbeat {
            at: HybridTime { wall_ms: self.heartbeats, counter: 0 },
            agent: identity(self.number, self.incarnation()),
            shard: names::shard(0),
            epoch: lease.epoch,
            number: lease.number,
            config_revision: self.manager.config().revision(),
            lease_left_ms: lease.remaining,
            capacity: CAPACITY,
            committed: ResourceVector::ZERO,
            draining: false,
            held: self.manager.held(),
            ended: self.manager.ended(),
            usage: Vec::new(),
            upstreams: Vec::new(),
        };
        (sent, heartbeat)
    }

    pub fn receive(&mut self, sent: Moment, number: u64, reply: &HeartbeatReply) {
        if let Ok(effect) = self.manager.apply_reply(self.now(), sent, number, reply) {
            self.worker.acknowledge(&effect.recorded);
        }
    }

    /// Accepts a start; returns the task's lease if the worker has to be called.
    pub fn begin_start(&mut self, start: &TaskStart) -> Result<Option<Millis>, StartRefusal> {
        match self.manager.begin_start(self.now(), start)? {
            StartStep::Repeated => Ok(None),
            StartStep::Launch => {
                self.manager.launch_lease(self.now(), start.token, start.epoch).map(Some)
            }
        }
    }

    pub fn launch(&mut self, start: &TaskStart, lease: Millis) {
        let answer = self.worker.start(self.clock.nanos(), start, lease);
        self.manager.record_launch(self.now(), start.token, answer);
        self.stop_due();
    }

    pub fn stop(&mut self, stop: &TaskStop) -> Result<StopReply, TaskRefusal> {
        match self.manager.begin_stop(stop)? {
            StopStep::Ended(end) => Ok(StopReply::Ended(end)),
            StopStep::NotRunning => Ok(StopReply::NotRunning),
            StopStep::Throttle(_) => Err(TaskRefusal::WorkerFailed),
            StopStep::Stop => {
                self.stop_due();
                let end = self.manager.table().and_then(|table| table.end_of(stop.token));
                end.cloned().map(StopReply::Ended).ok_or(TaskRefusal::WorkerFailed)
            }
        }
    }

    /// Queues the scheduler's appends and returns its calls to other VMs.
    pub fn collect_actions(&mut self) -> (CallsTo<TaskStart>, CallsTo<TaskStop>) {
        let (mut starts, mut stops) = (Vec::new(), Vec::new());
        for action in self.scheduler.take_actions() {
            match action {
                SchedulerAction::Append { append_id, record, .. } => {
                    self.appends.push_back((append_id, record));
                }
                SchedulerAction::Start { vm, start, .. } => starts.push((vm_number(&vm), start)),
                SchedulerAction::Stop { vm, stop, .. } => stops.push((vm_number(&vm), stop)),
                _ => {}
            }
        }
        (starts, stops)
    }

    /// Folds up to `count` records; reaching the end of the log confirms the view.
    pub fn follow(&mut self, log: &[LogEnvelope<TaskRecord>], count: usize) {
        let (now, from) = (self.now(), self.scheduler.fold().next() as usize);
        for (offset, record) in log.iter().enumerate().skip(from).take(count) {
            self.scheduler.folded(now, offset as u64, record.clone());
        }
        if self.scheduler.fold().next() as usize == log.len() {
            self.scheduler.confirmed(now);
            self.scheduler.config_confirmed(now);
        }
    }
}
