//! A scheduler driven by the test, with its stream in memory.
#![allow(dead_code)] // Each test file uses a part of it.

use std::net::SocketAddr;
use std::sync::Arc;

use cactusdoor_core::config::{
    AllowanceSpec, ConfigFold, ConfigRecord, ConfigState, DataCentreState, ItemChange, ItemName,
    ItemValue, PlanSpec,
};
use cactusdoor_core::envelope::{LogEnvelope, WriterId};
use cactusdoor_core::job::{JobClass, JobId, JobSpec, TaskId};
use cactusdoor_core::name::{ShardName, VmName};
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::shard::{ShardFold, TaskRecord};
use cactusdoor_core::unit::{Epoch, Millis, Moment, Offset, Token};
use cactusdoor_log::appender::{NotStored, StoredRecord};
use cactusdoor_owner::scheduler::{AppendId, SchedulerAction, SchedulerSettings, ShardScheduler};
use cactusdoor_peer::heartbeat::{
    AgentHeartbeat, AgentIdentity, EndedTask, HeartbeatRefusal, HeartbeatReply, HeldTask, RunState,
};
use cactusdoor_peer::task::{TaskStart, TaskStop};
use cactusdoor_peer::witness::WitnessRequest;
use cactusdoor_timeline::{EventKind, HybridTime};

pub const SHARD: &str = "north-0";

pub fn shard(name: &str) -> ShardName {
    ShardName::new(name).unwrap()
}

pub fn vm(name: &str) -> VmName {
    VmName::new(name).unwrap()
}

pub fn writer(process: &str) -> WriterId {
    WriterId { process: process.parse().unwrap(), incarnation: 7 }
}

pub fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

pub fn identity(name: &str, incarnation: u64) -> AgentIdentity {
    AgentIdentity {
        vm: vm(name),
        incarnation,
        address: address(1000 + u16::from(name.as_bytes()[name.len() - 1])),
        data_centre: "north".parse().unwrap(),
        rack: format!("rack-{}", name.as_bytes()[name.len() - 1] % 3).parse().unwrap(),
    }
}

pub fn amount(processors: u64, memory: u64) -> ResourceVector {
    ResourceVector::new(processors, memory, 0)
}

pub fn job_id(plan: &str, key: &str) -> JobId {
    JobId { plan: plan.parse().unwrap(), key: key.parse().unwrap() }
}

pub fn task(job: &JobSpec, index: u32) -> TaskId {
    TaskId { job: job.id.clone(), index }
}

pub fn job(plan: &str, key: &str, tasks: u32) -> JobSpec {
    JobSpec {
        id: job_id(plan, key),
        kind: "transcription".parse().unwrap(),
        class: JobClass::Batch,
        tasks,
        need: amount(1_000, 1_024),
        run_time_ms: 10_000,
        urgent: false,
        deadline_unix_ms: None,
        checkpoints: true,
    }
}

/// An agent as the scheduler sees it: its heartbeats, and the tasks that they list.
#[derive(Clone, Debug)]
pub struct FakeAgent {
    pub identity: AgentIdentity,
    pub epoch: Epoch,
    pub capacity: ResourceVector,
    pub held: Vec<HeldTask>,
    pub ended: Vec<EndedTask>,
    pub lease_left_ms: Millis,
    clock: u64,
}

impl FakeAgent {
    pub fn new(name: &str) -> Self {
        Self {
            identity: identity(name, 11),
            epoch: 0,
            capacity: amount(4_000, 8_192),
            held: Vec::new(),
            ended: Vec::new(),
            lease_left_ms: 0,
            clock: 0,
        }
    }

    pub fn next_heartbeat(&mut self) -> AgentHeartbeat {
        self.clock += 1;
        AgentHeartbeat {
            at: HybridTime { wall_ms: self.clock, counter: 0 },
            agent: self.identity.clone(),
            shard: shard(SHARD),
            epoch: self.epoch,
            number: self.clock,
            config_revision: 0,
            lease_left_ms: self.lease_left_ms,
            capacity: self.capacity,
            committed: ResourceVector::ZERO,
            draining: false,
            held: self.held.clone(),
            ended: self.ended.clone(),
            usage: Vec::new(),
            upstreams: Vec::new(),
        }
    }

    pub fn add_task(&mut self, start: &TaskStart) {
        self.held.push(HeldTask {
            token: start.token,
            task: start.task.clone(),
            kind: start.kind.clone(),
            need: start.need,
            state: RunState::Running,
        });
    }

    pub fn end(&mut self, token: Token, end: cactusdoor_core::job::PlacementEnd) {
        let position = self.held.iter().position(|held| held.token == token).unwrap();
        let held = self.held.remove(position);
        self.ended.push(EndedTask { token, task: held.task, end });
    }
}

/// An append that the test has not settled yet.
#[derive(Clone, Debug)]
pub struct OpenAppend {
    pub append_id: AppendId,
    pub record: TaskRecord,
}

/// A scheduler with its stream, and the actions that it requested.
pub struct SchedulerHarness {
    pub scheduler: ShardScheduler,
    pub now: Moment,
    pub stream: Vec<LogEnvelope<TaskRecord>>,
    pub writer: WriterId,
    sequence: u64,
    pub open_appends: Vec<OpenAppend>,
    pub remote_appends: Vec<(AppendId, ShardName, TaskRecord)>,
    pub starts: Vec<TaskStart>,
    pub stops: Vec<(VmName, TaskStop)>,
    pub events: Vec<EventKind>,
    /// Open appends that name a witness.
    pub namings: Vec<OpenAppend>,
    pub lost: bool,
    /// Calls to witnesses that were not answered yet.
    pub attest_requests: Vec<WitnessRequest>,
    pub close_requests: Vec<WitnessRequest>,
    /// Whether `settle` stores and folds open appends.
    pub stores_appends: bool,
    pub log_reachable: bool,
}

pub fn config(plans: &[(&str, ResourceVector)], north: DataCentreState) -> ConfigState {
    let mut items: Vec<ItemValue> = vec![ItemValue::DataCentre("north".parse().unwrap(), north)];
    for (plan, batch) in plans {
        let plan: cactusdoor_core::name::PlanName = plan.parse().unwrap();
        let spec = PlanSpec { team: "team".parse().unwrap(), weight: 1 };
        items.push(ItemValue::Plan(plan.clone(), Some(spec)));
        let allowance = AllowanceSpec { batch: *batch, requests_per_second: 10 };
        items.push(ItemValue::Allowance(plan, Some(allowance)));
    }
    let mut fold = ConfigFold::default();
    let items = items.into_iter().map(|value| ItemChange { premise: 0, value }).collect();
    let body = ConfigRecord::Changed { items };
    fold.apply(0, LogEnvelope { writer: writer("entry"), sequence: 1, body });
    assert_eq!(fold.state().premise(&ItemName::DataCentre("north".parse().unwrap())), 1);
    fold.state().clone()
}

impl SchedulerHarness {
    pub fn new(owner: &str) -> Self {
        Self::with_stream(owner, Vec::new())
    }

    /// Creates the scheduler of another process that has read `stream`.
    pub fn with_stream(owner: &str, stream: Vec<LogEnvelope<TaskRecord>>) -> Self {
        let settings = SchedulerSettings {
            shard: shard(SHARD),
            identity: identity(owner, 5),
            writer: writer(owner),
            shards: vec![shard(SHARD)],
        };
        Self::with_settings(settings, stream)
    }

    pub fn with_settings(
        settings: SchedulerSettings,
        stream: Vec<LogEnvelope<TaskRecord>>,
    ) -> Self {
        let mut fold = ShardFold::new(settings.shard.clone());
        for (offset, record) in (0..).zip(stream.iter().cloned()) {
            fold.apply(offset, record);
        }
        let writer = settings.writer.clone();
        let mut harness = Self {
            scheduler: ShardScheduler::new(settings, fold),
            now: Moment(1_000_000),
            stream,
            writer,
            sequence: 0,
            open_appends: Vec::new(),
            remote_appends: Vec::new(),
            starts: Vec::new(),
            stops: Vec::new(),
            events: Vec::new(),
            namings: Vec::new(),
            lost: false,
            attest_requests: Vec::new(),
            close_requests: Vec::new(),
            stores_appends: true,
            log_reachable: true,
        };
        let allowances = [("gold", amount(100_000, 1 << 20)), ("tin", amount(2_000, 4_096))];
        harness.configure(&allowances, DataCentreState::In);
        harness
    }

    pub fn configure(&mut self, plans: &[(&str, ResourceVector)], north: DataCentreState) {
        self.scheduler.configured(self.now, Arc::new(config(plans, north)));
    }

    /// Creates an owner whose claim took effect.
    pub fn owner(name: &str) -> Self {
        let mut harness = Self::new(name);
        harness.claim();
        assert!(harness.scheduler.owned_epoch().is_some());
        harness
    }

    pub fn claim(&mut self) {
        self.scheduler.claim();
        self.settle();
    }

    /// Stores a record of another writer and folds it.
    pub fn store_foreign(&mut self, process: &str, sequence: u64, body: TaskRecord) -> Offset {
        self.push(LogEnvelope { writer: writer(process), sequence, body })
    }

    pub fn submit(&mut self, spec: &JobSpec) {
        let sequence = self.stream.len() as u64 + 1;
        self.store_foreign("entry", sequence, TaskRecord::JobSubmitted(spec.clone()));
        self.settle();
    }

    pub fn cancel(&mut self, spec: &JobSpec) {
        let sequence = self.stream.len() as u64 + 1;
        self.store_foreign("entry", sequence, TaskRecord::JobCancelled(spec.id.clone()));
        self.settle();
    }

    fn push(&mut self, envelope: LogEnvelope<TaskRecord>) -> Offset {
        let offset = self.stream.len() as Offset;
        self.stream.push(envelope.clone());
        self.scheduler.folded(self.now, offset, envelope);
        self.collect();
        offset
    }

    /// Collects the scheduler's actions.
    pub fn collect(&mut self) {
        for action in self.scheduler.take_actions() {
            match action {
                SchedulerAction::Append { append_id, record, .. } => {
                    let naming = matches!(record, TaskRecord::WitnessNamed { .. });
                    let list = if naming { &mut self.namings } else { &mut self.open_appends };
                    list.push(OpenAppend { append_id, record });
                }
                SchedulerAction::AppendRemote { append_id, shard, record } => {
                    self.remote_appends.push((append_id, shard, record));
                }
                SchedulerAction::Start { start, .. } => self.starts.push(start),
                SchedulerAction::Stop { vm, stop, .. } => self.stops.push((vm, stop)),
                SchedulerAction::Event(event) => self.events.push(event),
                SchedulerAction::Lost { .. } => self.lost = true,
                SchedulerAction::Attest { request, .. } => self.attest_requests.push(request),
                SchedulerAction::CloseNaming { request, .. } => self.close_requests.push(request),
                SchedulerAction::Owned(_) | SchedulerAction::Announce { .. } => {}
            }
        }
    }

    /// Stores an open append. If `answer` is set, the scheduler gets the append's result
    /// before it folds the record.
    pub fn store(&mut self, append: OpenAppend, answer: bool) -> Offset {
        self.sequence += 1;
        let offset = self.stream.len() as Offset;
        if answer {
            let stored = StoredRecord { offset, sequence: self.sequence };
            self.scheduler.appended(self.now, append.append_id, Ok(stored));
        }
        let (writer, sequence) = (self.writer.clone(), self.sequence);
        self.push(LogEnvelope { writer, sequence, body: append.record })
    }

    pub fn report_failure(&mut self, append: &OpenAppend, reason: NotStored) {
        self.scheduler.appended(self.now, append.append_id, Err(reason));
        self.collect();
    }

    /// Stores all open appends, until there are no new ones.
    pub fn settle(&mut self) {
        self.collect();
        while self.stores_appends && !(self.open_appends.is_empty() && self.namings.is_empty()) {
            let list = if self.open_appends.is_empty() {
                &mut self.namings
            } else {
                &mut self.open_appends
            };
            let append = list.remove(0);
            self.store(append, true);
        }
    }

    pub fn send_heartbeat(
        &mut self,
        agent: &mut FakeAgent,
    ) -> Result<HeartbeatReply, HeartbeatRefusal> {
        let heartbeat = agent.next_heartbeat();
        self.deliver(agent, &heartbeat)
    }

    pub fn deliver(
        &mut self,
        agent: &mut FakeAgent,
        heartbeat: &AgentHeartbeat,
    ) -> Result<HeartbeatReply, HeartbeatRefusal> {
        let reply = self.scheduler.handle_heartbeat(self.now, HybridTime::default(), heartbeat);
        self.settle();
        if let Ok(reply) = &reply {
            agent.epoch = agent.epoch.max(reply.epoch);
            agent.lease_left_ms = reply.lease_ms;
            agent.ended.retain(|ended| !reply.recorded.contains(&ended.token));
        }
        reply
    }

    /// Sends two heartbeats, so that the agent has accepted the epoch.
    pub fn join(&mut self, agent: &mut FakeAgent) {
        self.send_heartbeat(agent).unwrap();
        self.send_heartbeat(agent).unwrap();
    }

    /// Advances time in steps of half a second.
    pub fn advance(&mut self, millis: Millis) {
        let end = self.now.after(millis);
        while self.now < end {
            self.now = self.now.after(500.min(end.since(self.now)));
            self.tick();
        }
    }

    /// Advances time while `agents` send heartbeats.
    pub fn advance_with_heartbeats(&mut self, millis: Millis, agents: &mut [&mut FakeAgent]) {
        let end = self.now.after(millis);
        while self.now < end {
            self.now = self.now.after(500.min(end.since(self.now)));
            for agent in agents.iter_mut() {
                self.send_heartbeat(agent).unwrap();
            }
            self.tick();
        }
    }

    pub fn tick(&mut self) {
        if self.log_reachable {
            self.scheduler.confirmed(self.now);
            self.scheduler.config_confirmed(self.now);
        }
        self.scheduler.tick(self.now, 1_700_000_000_000);
        self.settle();
    }

    pub fn take_starts(&mut self) -> Vec<TaskStart> {
        std::mem::take(&mut self.starts)
    }

    pub fn take_stops(&mut self) -> Vec<(VmName, TaskStop)> {
        std::mem::take(&mut self.stops)
    }
}
