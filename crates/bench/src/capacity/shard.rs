//! A shard with [`TASKS_PER_VM`] running tasks on each VM: its scheduler, agents and tasks.
//!
//! The scheduler is the owner's; the agents and the log are models that answer
//! immediately. Time is measured only inside the scheduler.

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

/// Number of plans in the configuration.
pub const PLANS: usize = 65;
/// Running tasks per VM, for about 27,000 tasks on 2,100 VMs.
pub const TASKS_PER_VM: u32 = 13;
/// Wall-clock time at the start, in ms since 1970.
const START_UNIX_MS: u64 = 1_700_000_000_000;

/// The part of an agent that the scheduler sees in heartbeats.
pub struct ModelAgent {
    identity: AgentIdentity,
    service: ServiceName,
    held: Vec<HeldTask>,
    ended: Vec<EndedTask>,
    heartbeat_number: u64,
    epoch: u64,
}

/// A scheduler with its agents; the log stores every record immediately.
pub struct ModelShard {
    pub scheduler: ShardScheduler,
    settings: SchedulerSettings,
    pub agents: Vec<ModelAgent>,
    pub now: Moment,
    owner_writer: WriterId,
    entry_writer: WriterId,
    next_offset: Offset,
    entry_sequence: u64,
    owner_sequence: u64,
    pending_appends: VecDeque<(AppendId, TaskRecord)>,
    /// Time spent in the scheduler since the last call of `take_scheduler_time`.
    scheduler_time: Duration,
    /// Tasks started so far.
    pub starts: usize,
}

pub fn plan_name(number: usize) -> String {
    format!("plan-{:02}", number % PLANS)
}

/// A job whose plan name and key have a typical length.
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

/// Configuration of `plans` plans with allowances that no load reaches.
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

/// Usage that stays below the declared need when the owner adds its margin of 15%, so
/// that the owner learns no higher need and the number of tasks on a VM does not change.
fn reported_usage(need: ResourceVector) -> ResourceVector {
    ResourceVector {
        processors: need.processors * 86 / 100,
        memory: need.memory * 86 / 100,
        accelerators: need.accelerators,
    }
}

impl ModelAgent {
    fn next_heartbeat(&mut self, settings: &SchedulerSettings) -> AgentHeartbeat {
        self.heartbeat_number += 1;
        let usage = self.held.iter().map(|held| UsageSample {
            token: held.token,
            used: reported_usage(held.need),
            speed_percent: 100,
            lag_ms: 1_000,
        });
        let committed = self.held.iter().fold(ResourceVector::ZERO, |total, held| ResourceVector {
            processors: total.processors + held.need.processors,
            memory: total.memory + held.need.memory,
            accelerators: total.accelerators + held.need.accelerators,
        });
        AgentHeartbeat {
            at: HybridTime { wall_ms: START_UNIX_MS + self.heartbeat_number, counter: 0 },
            agent: self.identity.clone(),
            shard: settings.shard.clone(),
            epoch: self.epoch,
            config_revision: 1,
            number: self.heartbeat_number,
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

    /// Load and latency differ at each heartbeat, as in operation.
    fn upstream(&self) -> UpstreamStatus {
        let in_flight = u32::try_from(self.heartbeat_number % 8).unwrap_or(0);
        UpstreamStatus {
            service: self.service.clone(),
            leaving: false,
            slots: 8,
            connections: 64,
            load: UpstreamLoad { in_flight, queued: 0, slots: 8 },
            latency_us: 20_000 + self.heartbeat_number,
        }
    }
}

impl ModelShard {
    /// A shard of `vms` VMs with `TASKS_PER_VM` running tasks each.
    pub fn with_running_tasks(vms: usize) -> anyhow::Result<Self> {
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
            scheduler: ShardScheduler::new(settings.clone(), fold),
            settings,
            agents: Vec::new(),
            now: Moment(1_000_000),
            owner_writer: writer,
            entry_writer: WriterId { process: "entry-north-0".parse()?, incarnation: 7 },
            next_offset: 0,
            entry_sequence: 0,
            owner_sequence: 0,
            pending_appends: VecDeque::new(),
            scheduler_time: Duration::ZERO,
            starts: 0,
        };
        let config = configuration(PLANS)?.state().clone();
        shard.scheduler.configured(shard.now, Arc::new(config));
        shard.scheduler.claim();
        shard.store_appends()?;
        for number in 0..vms {
            let (identity, service) = (identity(number)?, "counter".parse()?);
            let (held, ended) = (Vec::new(), Vec::new());
            shard.agents.push(ModelAgent {
                identity,
                service,
                held,
                ended,
                heartbeat_number: 0,
                epoch: 0,
            });
        }
        shard.exchange_heartbeats()?;
        shard.exchange_heartbeats()?;
        // 16,000 of 27,000 running tasks are latency-critical.
        for number in 0..vms {
            let critical = number % 27 < 16;
            let class = if critical { JobClass::LatencyCritical } else { JobClass::Batch };
            // Fourteen such tasks do not fit on a VM, so that every VM gets thirteen.
            let need = ResourceVector::new(2_400, 9_600, 0);
            shard.submit(job(number, class, TASKS_PER_VM, need)?)?;
        }
        let tasks = vms * TASKS_PER_VM as usize;
        shard.place(tasks)?;
        Ok(shard)
    }

    /// Time spent in the scheduler since the last call.
    pub fn take_scheduler_time(&mut self) -> Duration {
        std::mem::take(&mut self.scheduler_time)
    }

    /// Calls the scheduler and adds the elapsed time to `scheduler_time`.
    fn timed<T>(&mut self, call: impl FnOnce(&mut ShardScheduler) -> T) -> T {
        let begin = Instant::now();
        let result = call(&mut self.scheduler);
        self.scheduler_time += begin.elapsed();
        result
    }

    /// Appends a job's record as an entry does.
    pub fn submit(&mut self, spec: JobSpec) -> anyhow::Result<()> {
        self.entry_sequence += 1;
        let envelope = LogEnvelope {
            writer: self.entry_writer.clone(),
            sequence: self.entry_sequence,
            body: TaskRecord::JobSubmitted(spec),
        };
        self.fold(envelope)?;
        self.store_appends()
    }

    fn fold(&mut self, envelope: LogEnvelope<TaskRecord>) -> anyhow::Result<()> {
        let (now, offset) = (self.now, self.next_offset);
        self.next_offset += 1;
        self.timed(|scheduler| scheduler.folded(now, offset, envelope));
        self.execute_actions()
    }

    /// Queues the scheduler's appends and executes its starts.
    fn execute_actions(&mut self) -> anyhow::Result<()> {
        for action in self.timed(ShardScheduler::take_actions) {
            match action {
                SchedulerAction::Append { append_id, record, .. } => {
                    self.pending_appends.push_back((append_id, record))
                }
                SchedulerAction::Start { start, .. } => self.start(&start)?,
                SchedulerAction::Lost { current } => {
                    anyhow::bail!("the shard was taken over in epoch {current}")
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn start(&mut self, start: &TaskStart) -> anyhow::Result<()> {
        let now = self.now;
        let state = self.scheduler.fold().task(&start.task).map(|task| task.state.clone());
        let Some(TaskState::Placed { vm, .. }) = state else {
            anyhow::bail!("task {} was started without a placement", start.task)
        };
        let number = vm.as_str().rsplit('-').next().unwrap_or_default().parse::<usize>()?;
        let agent = self.agents.get_mut(number).context("a task was started on an unknown VM")?;
        agent.held.push(HeldTask {
            token: start.token,
            task: start.task.clone(),
            kind: start.kind.clone(),
            need: start.need,
            state: RunState::Running,
        });
        self.starts += 1;
        let token = start.token;
        self.timed(|scheduler| scheduler.start_answered(now, token, CallOutcome::Answered(Ok(()))));
        Ok(())
    }

    /// Stores and folds the pending appends and those that follow from them.
    fn store_appends(&mut self) -> anyhow::Result<()> {
        self.execute_actions()?;
        while let Some((append_id, body)) = self.pending_appends.pop_front() {
            self.owner_sequence += 1;
            let stored = StoredRecord { offset: self.next_offset, sequence: self.owner_sequence };
            let now = self.now;
            self.timed(|scheduler| scheduler.appended(now, append_id, Ok(stored)));
            let (writer, sequence) = (self.owner_writer.clone(), self.owner_sequence);
            self.fold(LogEnvelope { writer, sequence, body })?;
        }
        Ok(())
    }

    /// Handles one heartbeat of every agent and applies the replies.
    pub fn exchange_heartbeats(&mut self) -> anyhow::Result<()> {
        for number in 0..self.agents.len() {
            let heartbeat = self.heartbeat(number);
            let now = self.now;
            let reply = self.timed(|scheduler| {
                scheduler.handle_heartbeat(now, HybridTime::default(), &heartbeat)
            })?;
            self.store_appends()?;
            if let Some(agent) = self.agents.get_mut(number) {
                agent.epoch = agent.epoch.max(reply.epoch);
                agent.ended.retain(|ended| !reply.recorded.contains(&ended.token));
            }
        }
        Ok(())
    }

    /// The next heartbeat of an agent.
    pub fn heartbeat(&mut self, number: usize) -> AgentHeartbeat {
        let Some(agent) = self.agents.get_mut(number) else {
            unreachable!("agent {number} does not exist")
        };
        agent.next_heartbeat(&self.settings)
    }

    /// Advances the time by `millis` and runs one tick.
    pub fn tick(&mut self, millis: u64) -> anyhow::Result<()> {
        self.now = self.now.after(millis);
        let now = self.now;
        self.timed(|scheduler| {
            scheduler.confirmed(now);
            scheduler.config_confirmed(now);
            scheduler.tick(now, START_UNIX_MS + now.0);
        });
        self.store_appends()
    }

    /// Runs ticks and heartbeats until `tasks` more tasks have started. The heartbeats do
    /// not count as scheduler time.
    pub fn place(&mut self, tasks: usize) -> anyhow::Result<()> {
        let target = self.starts + tasks;
        for round in 0..10_000 {
            if self.starts >= target {
                return Ok(());
            }
            self.tick(200)?;
            if round % 5 == 4 {
                let before = self.scheduler_time;
                self.exchange_heartbeats()?;
                self.scheduler_time = before;
            }
        }
        anyhow::bail!("only {} of {target} tasks were started", self.starts)
    }

    /// Ends the tasks that `should_end` selects, sends heartbeats, and returns the number
    /// of these tasks.
    pub fn end_tasks(&mut self, should_end: impl Fn(&HeldTask) -> bool) -> anyhow::Result<usize> {
        let mut count = 0;
        for agent in &mut self.agents {
            let (ended, held) = std::mem::take(&mut agent.held).into_iter().partition(&should_end);
            agent.held = held;
            let ended: Vec<HeldTask> = ended;
            count += ended.len();
            agent.ended.extend(ended.into_iter().map(|held| EndedTask {
                token: held.token,
                task: held.task,
                end: PlacementEnd::Finished { digest: 9 },
            }));
        }
        self.exchange_heartbeats()?;
        Ok(count)
    }
}
