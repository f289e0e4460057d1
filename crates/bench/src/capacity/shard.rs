//! A shard of the design's density: its owner's book, agents and tasks.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Context;
use cactusdoor_core::config::{
    AllowanceSpec, ConfigFold, ConfigRecord, DataCentreState, ItemChange, ItemValue, PlanSpec,
};
use cactusdoor_core::envelope::{LogEnvelope, WriterId};
use cactusdoor_core::job::{JobClass, JobId, JobSpec, PlacementEnd};
use cactusdoor_core::name::ServiceName;
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::shard::{ShardFold, TaskRecord, TaskState};
use cactusdoor_core::unit::{Moment, Offset};
use cactusdoor_log::appender::StoredRecord;
use cactusdoor_owner::scheduler::{
    AppendId, CallOutcome, SchedulerAction, SchedulerSettings, ShardScheduler,
};
use cactusdoor_peer::answer::UpstreamLoad;
use cactusdoor_peer::heartbeat::{
    AgentHeartbeat, AgentIdentity, EndedTask, HeldTask, RunState, UpstreamStatus, UsageSample,
};
use cactusdoor_peer::task::TaskStart;
use cactusdoor_timeline::HybridTime;

pub const PLANS: usize = 65;
/// 27,000 running tasks on 2,100 VMs.
pub const TASKS_PER_VM: u32 = 13;
const UNIX_MS: u64 = 1_700_000_000_000;

/// An agent as the book hears it.
pub struct ModelAgent {
    identity: AgentIdentity,
    service: ServiceName,
    held: Vec<HeldTask>,
    ended: Vec<EndedTask>,
    number: u64,
    epoch: u64,
}

/// A book with its agents; the log stores everything at once.
pub struct ModelShard {
    pub book: ShardScheduler,
    settings: SchedulerSettings,
    pub agents: Vec<ModelAgent>,
    pub now: Moment,
    writer: WriterId,
    foreign: WriterId,
    next: Offset,
    foreign_sequence: u64,
    sequence: u64,
    open: VecDeque<(AppendId, TaskRecord)>,
    /// Time spent in the book since it was last taken.
    spent: Duration,
    pub starts: usize,
}

pub fn plan_name(number: usize) -> String {
    format!("plan-{:02}", number % PLANS)
}

/// A job whose name and need have the usual length.
pub fn job(
    number: usize,
    class: JobClass,
    tasks: u32,
    need: ResourceVector,
) -> anyhow::Result<JobSpec> {
    let id = JobId {
        plan: plan_name(number).parse()?,
        key: format!("job-2026-12-04-{number:08}").parse()?,
    };
    Ok(JobSpec {
        id,
        kind: "transcription".parse()?,
        class,
        tasks,
        need,
        run_time_ms: 600_000,
        urgent: false,
        deadline_unix_ms: None,
        checkpoints: true,
    })
}

pub fn identity(number: usize) -> anyhow::Result<AgentIdentity> {
    let [_, _, high, low] = u32::try_from(number)?.to_be_bytes();
    Ok(AgentIdentity {
        vm: format!("north-vm-{number:04}").parse()?,
        incarnation: 0x1234_5678_9abc_def0,
        address: SocketAddr::from(([10, 1, high, low], 7_000)),
        data_centre: "north".parse()?,
        rack: format!("north-rack-{:03}", number / 3).parse()?,
    })
}

/// Configuration of `plans` plans with allowances that nobody reaches.
pub fn configuration(plans: usize) -> anyhow::Result<ConfigFold> {
    let mut values = vec![ItemValue::DataCentre("north".parse()?, DataCentreState::In)];
    for number in 0..plans {
        let plan: cactusdoor_core::name::PlanName = format!("plan-{number:02}").parse()?;
        let spec = PlanSpec { team: format!("team-{number:02}").parse()?, weight: 1 };
        let batch = ResourceVector::new(1 << 40, 1 << 40, 1 << 20);
        let allowance = AllowanceSpec { batch, requests_per_second: 1_000 };
        values.push(ItemValue::Plan(plan.clone(), Some(spec)));
        values.push(ItemValue::Allowance(plan, Some(allowance)));
    }
    let mut fold = ConfigFold::default();
    let items = values.into_iter().map(|value| ItemChange { premise: 0, value }).collect();
    let writer = WriterId { process: "entry-north-0".parse()?, incarnation: 7 };
    fold.apply(0, LogEnvelope { writer, sequence: 1, body: ConfigRecord::Changed { items } });
    Ok(fold)
}

/// Usage from which the owner, with its margin of 15%, does not learn a higher
/// need: declared needs have to hold for the number of tasks on a VM.
fn used(need: ResourceVector) -> ResourceVector {
    ResourceVector {
        processors: need.processors * 86 / 100,
        memory: need.memory * 86 / 100,
        accelerators: need.accelerators,
    }
}

impl ModelAgent {
    fn beat(&mut self, shard: &SchedulerSettings) -> AgentHeartbeat {
        self.number += 1;
        let usage = self.held.iter().map(|held| UsageSample {
            token: held.token,
            used: used(held.need),
            speed_percent: 100,
            lag_ms: 1_000,
        });
        let committed = self.held.iter().fold(ResourceVector::ZERO, |sum, held| ResourceVector {
            processors: sum.processors + held.need.processors,
            memory: sum.memory + held.need.memory,
            accelerators: sum.accelerators + held.need.accelerators,
        });
        AgentHeartbeat {
            at: HybridTime { wall_ms: UNIX_MS + self.number, counter: 0 },
            agent: self.identity.clone(),
            shard: shard.shard.clone(),
            epoch: self.epoch,
            config_revision: 1,
            number: self.number,
            lease_left_ms: 7_000,
            capacity: ResourceVector::new(32_000, 128_000, 2),
            committed,
            draining: false,
            held: self.held.clone(),
            ended: self.ended.clone(),
            usage: usage.collect(),
            upstreams: vec![self.upstream()],
        }
    }

    /// Load and latency differ at each heartbeat, as they do in service.
    fn upstream(&self) -> UpstreamStatus {
        let in_flight = u32::try_from(self.number % 8).unwrap_or(0);
        UpstreamStatus {
            service: self.service.clone(),
            leaving: false,
            slots: 8,
            connections: 64,
            load: UpstreamLoad { in_flight, queued: 0, slots: 8 },
            latency_us: 20_000 + self.number,
        }
    }
}

impl ModelShard {
    /// A shard of `vms` VMs, each with the usual number of running tasks.
    pub fn filled(vms: usize) -> anyhow::Result<Self> {
        let owner = identity(0)?;
        let writer = WriterId { process: "agent-north-0".parse()?, incarnation: 5 };
        let settings = SchedulerSettings {
            shard: "north-0".parse()?,
            identity: owner,
            writer: writer.clone(),
            shards: vec!["north-0".parse()?],
        };
        let fold = ShardFold::new(settings.shard.clone());
        let mut shard = Self {
            book: ShardScheduler::new(settings.clone(), fold),
            settings,
            agents: Vec::new(),
            now: Moment(1_000_000),
            writer,
            foreign: WriterId { process: "entry-north-0".parse()?, incarnation: 7 },
            next: 0,
            foreign_sequence: 0,
            sequence: 0,
            open: VecDeque::new(),
            spent: Duration::ZERO,
            starts: 0,
        };
        let config = configuration(PLANS)?.state().clone();
        shard.book.configured(shard.now, Arc::new(config));
        shard.book.claim();
        shard.settle()?;
        for number in 0..vms {
            let (identity, service) = (identity(number)?, "counter".parse()?);
            let (held, ended) = (Vec::new(), Vec::new());
            shard.agents.push(ModelAgent { identity, service, held, ended, number: 0, epoch: 0 });
        }
        shard.beat_all()?;
        shard.beat_all()?;
        // 16,000 of 27,000 running tasks are latency-critical.
        for number in 0..vms {
            let critical = number % 27 < 16;
            let class = if critical { JobClass::LatencyCritical } else { JobClass::Batch };
            // Fourteen tasks do not fit on a VM, so every VM gets thirteen.
            let need = ResourceVector::new(2_400, 9_600, 0);
            shard.submit(job(number, class, TASKS_PER_VM, need)?)?;
        }
        let wanted = vms * TASKS_PER_VM as usize;
        shard.place(wanted)?;
        Ok(shard)
    }

    /// Time spent in the book since the last call.
    pub fn take_spent(&mut self) -> Duration {
        std::mem::take(&mut self.spent)
    }

    fn timed<T>(&mut self, call: impl FnOnce(&mut ShardScheduler) -> T) -> T {
        let begin = Instant::now();
        let result = call(&mut self.book);
        self.spent += begin.elapsed();
        result
    }

    pub fn submit(&mut self, spec: JobSpec) -> anyhow::Result<()> {
        self.foreign_sequence += 1;
        let envelope = LogEnvelope {
            writer: self.foreign.clone(),
            sequence: self.foreign_sequence,
            body: TaskRecord::JobSubmitted(spec),
        };
        self.fold(envelope)?;
        self.settle()
    }

    fn fold(&mut self, envelope: LogEnvelope<TaskRecord>) -> anyhow::Result<()> {
        let (now, offset) = (self.now, self.next);
        self.next += 1;
        self.timed(|book| book.folded(now, offset, envelope));
        self.collect()
    }

    fn collect(&mut self) -> anyhow::Result<()> {
        for action in self.timed(ShardScheduler::take_actions) {
            match action {
                SchedulerAction::Append { append_id, record, .. } => {
                    self.open.push_back((append_id, record))
                }
                SchedulerAction::Start { start, .. } => self.start(&start)?,
                SchedulerAction::Lost { current } => {
                    anyhow::bail!("shard is lost to epoch {current}")
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn start(&mut self, start: &TaskStart) -> anyhow::Result<()> {
        let now = self.now;
        let state = self.book.fold().task(&start.task).map(|task| task.state.clone());
        let Some(TaskState::Placed { vm, .. }) = state else {
            anyhow::bail!("task {} is started and not placed", start.task)
        };
        let number = vm.as_str().rsplit('-').next().unwrap_or_default().parse::<usize>()?;
        let agent = self.agents.get_mut(number).context("start on an unknown VM")?;
        agent.held.push(HeldTask {
            token: start.token,
            task: start.task.clone(),
            kind: start.kind.clone(),
            need: start.need,
            state: RunState::Running,
        });
        self.starts += 1;
        let token = start.token;
        self.timed(|book| book.start_answered(now, token, CallOutcome::Answered(Ok(()))));
        Ok(())
    }

    /// Stores and folds what is open, until nothing more is asked for.
    fn settle(&mut self) -> anyhow::Result<()> {
        self.collect()?;
        while let Some((append_id, body)) = self.open.pop_front() {
            self.sequence += 1;
            let stored = StoredRecord { offset: self.next, sequence: self.sequence };
            let now = self.now;
            self.timed(|book| book.appended(now, append_id, Ok(stored)));
            let (writer, sequence) = (self.writer.clone(), self.sequence);
            self.fold(LogEnvelope { writer, sequence, body })?;
        }
        Ok(())
    }

    /// One heartbeat of every agent.
    pub fn beat_all(&mut self) -> anyhow::Result<()> {
        for number in 0..self.agents.len() {
            let beat = self.heartbeat(number);
            let now = self.now;
            let reply =
                self.timed(|book| book.handle_heartbeat(now, HybridTime::default(), &beat))?;
            self.settle()?;
            if let Some(agent) = self.agents.get_mut(number) {
                agent.epoch = agent.epoch.max(reply.epoch);
                agent.ended.retain(|ended| !reply.recorded.contains(&ended.token));
            }
        }
        Ok(())
    }

    pub fn heartbeat(&mut self, number: usize) -> AgentHeartbeat {
        let Some(agent) = self.agents.get_mut(number) else { unreachable!("agent {number}") };
        agent.beat(&self.settings)
    }

    /// Lets `millis` pass and runs one tick.
    pub fn tick(&mut self, millis: u64) -> anyhow::Result<()> {
        self.now = self.now.after(millis);
        let now = self.now;
        self.timed(|book| {
            book.confirmed(now);
            book.config_confirmed(now);
            book.tick(now, UNIX_MS + now.0);
        });
        self.settle()
    }

    /// Runs ticks and heartbeats until `wanted` more tasks have started.
    pub fn place(&mut self, wanted: usize) -> anyhow::Result<()> {
        let target = self.starts + wanted;
        for round in 0..10_000 {
            if self.starts >= target {
                return Ok(());
            }
            self.tick(200)?;
            if round % 5 == 4 {
                let before = self.spent;
                self.beat_all()?;
                self.spent = before;
            }
        }
        anyhow::bail!("{} of {target} tasks have started", self.starts)
    }

    /// Ends the tasks that `is_over` names and tells how many they were.
    pub fn finish(&mut self, is_over: impl Fn(&HeldTask) -> bool) -> anyhow::Result<usize> {
        let mut count = 0;
        for agent in &mut self.agents {
            let (over, held) = std::mem::take(&mut agent.held).into_iter().partition(&is_over);
            agent.held = held;
            let over: Vec<HeldTask> = over;
            count += over.len();
            agent.ended.extend(over.into_iter().map(|held| EndedTask {
                token: held.token,
                task: held.task,
                end: PlacementEnd::Finished { digest: 9 },
            }));
        }
        self.beat_all()?;
        Ok(count)
    }
}
