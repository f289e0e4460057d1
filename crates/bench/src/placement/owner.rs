//! The shard owners' scheduler as a placement policy, one owner per data centre.
//!
//! The scheduler is the one that owners run; this module models the log, the agents
//! and the entries: records are folded after a fixed append delay, agents send a
//! heartbeat every second and when a task ends, and the model answers starts and stops
//! immediately. It makes no placement decision itself.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Context;
use cactusdoor_core::config::{
    AllowanceSpec, ConfigFold, ConfigRecord, ConfigState, DataCentreState, ItemChange, ItemValue,
    PlanSpec,
};
use cactusdoor_core::constants::HEARTBEAT_INTERVAL;
use cactusdoor_core::envelope::{LogEnvelope, WriterId};
use cactusdoor_core::job::{JobId, TaskId};
use cactusdoor_core::name::{DataCentre, ShardName, VmName};
use cactusdoor_core::rendezvous::home_shard;
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::shard::{ShardFold, TaskRecord};
use cactusdoor_core::unit::{Epoch, Millis, Moment, Offset, Sequence, Token};
use cactusdoor_log::appender::StoredRecord;
use cactusdoor_owner::scheduler::{
    AppendId, CallOutcome, EntryView, SchedulerAction, SchedulerSettings, ShardScheduler,
};
use cactusdoor_peer::heartbeat::{
    AgentHeartbeat, AgentIdentity, EndedTask, HeldTask, RunState, UsageSample,
};
use cactusdoor_peer::roster::{RosterReply, ShardSummary};
use cactusdoor_peer::task::{TaskStart, TaskStop};
use cactusdoor_timeline::HybridTime;

use super::jobs::{ModelPlan, START_UNIX_MS};
use super::model::{ModelTask, PlacementModel, STEP_INTERVAL};
use super::run::PlacementPolicy;
use crate::preset::SitePreset;

/// Time from the request to append a record until it is folded.
pub const APPEND_DELAY: Millis = 50;
/// Age of the usage samples that agents report.
const USAGE_LAG: Millis = 2_000;
/// Moment at which a run starts; the scheduler treats moment 0 as the distant past.
const START_MOMENT: Millis = 1_000_000;
/// Incarnation of every process of a run.
const INCARNATION: u64 = 7;

/// A record that is being appended to a shard's stream.
struct PendingAppend {
    due: Millis,
    shard: usize,
    writer: usize,
    /// Position of the scheduler that awaits the result, and its append id.
    append_id: Option<(usize, AppendId)>,
    record: TaskRecord,
}

struct ModelShard {
    scheduler: ShardScheduler,
    next_offset: Offset,
    entry_view: EntryView,
}

struct ModelAgent {
    identity: AgentIdentity,
    shard: usize,
    epoch: Epoch,
    heartbeat_number: u64,
    lease_until: Millis,
    next_heartbeat: Millis,
    /// Samples with the time at which they were measured, oldest first.
    usage: VecDeque<(Millis, Vec<UsageSample>)>,
}

/// Owners of all shards with their agents. Shards, owners and data centres share
/// their positions, and so do agents and VMs.
pub struct OwnerPolicy {
    shard_names: Vec<ShardName>,
    shards: Vec<ModelShard>,
    agents: Vec<ModelAgent>,
    vm_positions: HashMap<VmName, usize>,
    /// Writers: one per owner, then the entry.
    writers: Vec<(WriterId, Sequence)>,
    pending_appends: VecDeque<PendingAppend>,
    job_positions: HashMap<JobId, usize>,
    config: ConfigFold,
    outage_published: bool,
}

impl OwnerPolicy {
    /// Owners that have claimed their shards.
    ///
    /// # Errors
    /// Fails if a name is invalid or a data centre has no VM.
    pub fn new(model: &PlacementModel<'_>) -> anyhow::Result<Self> {
        let site = model.site;
        let data_centres = 0..site.data_centres;
        let shard_names: Result<Vec<_>, _> = data_centres
            .clone()
            .map(|data_centre| ShardName::new(&format!("centre{data_centre}-0")))
            .collect();
        let shard_names = shard_names.context("could not name the shards")?;
        let mut agents = Vec::new();
        for vm in 0..site.vms {
            agents.push(ModelAgent {
                identity: identity(site, vm)?,
                shard: site.data_centre_of(vm),
                epoch: 0,
                heartbeat_number: 0,
                lease_until: 0,
                next_heartbeat: 90 * vm as Millis,
                usage: VecDeque::new(),
            });
        }
        let mut writers = Vec::new();
        for process in 0..=site.data_centres {
            let process = format!("process-{process}").parse()?;
            writers.push((WriterId { process, incarnation: INCARNATION }, 0));
        }
        let mut shards = Vec::new();
        for data_centre in data_centres {
            let owner = (0..site.vms).find(|&vm| site.data_centre_of(vm) == data_centre);
            let settings = SchedulerSettings {
                shard: shard_names[data_centre].clone(),
                identity: identity(site, owner.context("a data centre has no VM")?)?,
                writer: writers[data_centre].0.clone(),
                shards: shard_names.clone(),
            };
            let fold = ShardFold::new(shard_names[data_centre].clone());
            let scheduler = ShardScheduler::new(settings, fold);
            shards.push(ModelShard { scheduler, next_offset: 0, entry_view: EntryView::default() });
        }
        let job_positions =
            model.jobs.iter().enumerate().map(|(at, job)| (job.spec.id.clone(), at));
        let mut policy = Self {
            vm_positions: (0..).zip(&agents).map(|(vm, it)| (it.identity.vm.clone(), vm)).collect(),
            job_positions: job_positions.collect(),
            shard_names,
            shards,
            agents,
            writers,
            pending_appends: VecDeque::new(),
            config: ConfigFold::default(),
            outage_published: false,
        };
        policy.publish(plan_items(model.plans), 0);
        for shard in &mut policy.shards {
            shard.scheduler.claim();
        }
        Ok(policy)
    }

    /// Appends a configuration change and passes the new state to all schedulers.
    fn publish(&mut self, items: Vec<ItemValue>, now: Millis) {
        let state = self.config.state();
        let items = items
            .into_iter()
            .map(|value| ItemChange { premise: state.premise(&value.name()), value })
            .collect();
        let entry = self.writers.len() - 1;
        let (writer, sequence) = &mut self.writers[entry];
        *sequence += 1;
        let body = ConfigRecord::Changed { items };
        let envelope = LogEnvelope { writer: writer.clone(), sequence: *sequence, body };
        self.config.apply(*sequence, envelope);
        let state: Arc<ConfigState> = Arc::new(self.config.state().clone());
        for shard in &mut self.shards {
            shard.scheduler.configured(Moment(START_MOMENT + now), state.clone());
        }
    }

    fn append(&mut self, now: Millis, shard: usize, writer: usize, record: TaskRecord) {
        let due = now + APPEND_DELAY;
        self.pending_appends.push_back(PendingAppend {
            due,
            shard,
            writer,
            append_id: None,
            record,
        });
    }

    /// Position of the job's home shard.
    fn home_position(&self, job: &JobId) -> Option<usize> {
        let home = home_shard(&job.plan, &self.shard_names)?;
        self.shard_names.iter().position(|name| name == home)
    }

    /// Stores and folds the records whose append delay is over.
    fn store_due(&mut self, model: &mut PlacementModel<'_>) {
        while self
            .pending_appends
            .front()
            .is_some_and(|pending_append| pending_append.due <= model.now)
        {
            let Some(pending_append) = self.pending_appends.pop_front() else { return };
            let now = Moment(START_MOMENT + model.now);
            let (writer, sequence) = &mut self.writers[pending_append.writer];
            *sequence += 1;
            let envelope = LogEnvelope {
                writer: writer.clone(),
                sequence: *sequence,
                body: pending_append.record,
            };
            let stored = StoredRecord {
                offset: self.shards[pending_append.shard].next_offset,
                sequence: *sequence,
            };
            self.shards[pending_append.shard].next_offset += 1;
            if let Some((owner, append_id)) = pending_append.append_id {
                self.shards[owner].scheduler.appended(now, append_id, Ok(stored));
            }
            self.shards[pending_append.shard].scheduler.folded(now, stored.offset, envelope);
            self.execute_actions(model);
        }
    }

    /// Executes the schedulers' actions until there are no more.
    fn execute_actions(&mut self, model: &mut PlacementModel<'_>) {
        for shard in 0..self.shards.len() {
            loop {
                let actions = self.shards[shard].scheduler.take_actions();
                if actions.is_empty() {
                    break;
                }
                for action in actions {
                    self.execute(model, shard, action);
                }
            }
        }
    }

    fn execute(&mut self, model: &mut PlacementModel<'_>, owner: usize, action: SchedulerAction) {
        let due = model.now + APPEND_DELAY;
        match action {
            SchedulerAction::Append { append_id, record, .. } => {
                let append_id = Some((owner, append_id));
                self.pending_appends.push_back(PendingAppend {
                    due,
                    shard: owner,
                    writer: owner,
                    append_id,
                    record,
                });
            }
            SchedulerAction::AppendRemote { append_id, shard, record } => {
                let Some(shard) = self.shard_names.iter().position(|name| *name == shard) else {
                    return;
                };
                let append_id = Some((owner, append_id));
                self.pending_appends.push_back(PendingAppend {
                    due,
                    shard,
                    writer: owner,
                    append_id,
                    record,
                });
            }
            SchedulerAction::Start { vm, start, .. } => self.start(model, owner, &vm, &start),
            SchedulerAction::Stop { vm, stop, .. } => self.stop(model, owner, &vm, &stop),
            _ => {}
        }
    }

    fn start(
        &mut self,
        model: &mut PlacementModel<'_>,
        owner: usize,
        vm: &VmName,
        start: &TaskStart,
    ) {
        let (Some(&vm), Some(&job)) =
            (self.vm_positions.get(vm), self.job_positions.get(&start.task.job))
        else {
            return;
        };
        let answer = model.start(vm, start.token, (job, start.task.index), start.need);
        let now = Moment(START_MOMENT + model.now);
        let answer = CallOutcome::Answered(answer);
        self.shards[owner].scheduler.start_answered(now, start.token, answer);
    }

    fn stop(&mut self, model: &mut PlacementModel<'_>, owner: usize, vm: &VmName, stop: &TaskStop) {
        let Some(&position) = self.vm_positions.get(vm) else { return };
        let reply = model.stop(position, stop.token, stop.mode);
        let now = Moment(START_MOMENT + model.now);
        let answer = CallOutcome::Answered(Ok(reply));
        self.shards[owner].scheduler.stop_answered(now, vm, stop, answer);
    }

    /// Sends a heartbeat of the VM's agent to its owner and applies the reply.
    fn send_heartbeat(&mut self, model: &mut PlacementModel<'_>, vm: usize) {
        let now = model.now;
        let samples = usage_samples(model, vm);
        let agent = &mut self.agents[vm];
        agent.heartbeat_number += 1;
        agent.usage.push_back((now, samples));
        while agent.usage.get(1).is_some_and(|(at, _)| at + USAGE_LAG <= now) {
            agent.usage.pop_front();
        }
        let measured = agent.usage.front().filter(|(at, _)| at + USAGE_LAG <= now);
        let usage = measured.map_or_else(Vec::new, |(at, samples)| {
            let aged = samples.iter().map(|it| UsageSample { lag_ms: now - at, ..*it });
            aged.collect()
        });
        let task =
            |key: (usize, u32)| TaskId { job: model.jobs[key.0].spec.id.clone(), index: key.1 };
        let model_vm = &model.vms[vm];
        let held = model_vm.running.iter().map(|it| HeldTask {
            token: it.token,
            task: task(it.key),
            kind: model.jobs[it.key.0].spec.kind.clone(),
            need: it.need,
            state: match it.throttle {
                100 => RunState::Running,
                percent => RunState::Throttled(percent),
            },
        });
        let ended = model_vm.ended.iter().map(|it| EndedTask {
            token: it.token,
            task: task(it.key),
            end: it.end.clone(),
        });
        let heartbeat = AgentHeartbeat {
            at: HybridTime { wall_ms: START_MOMENT + now, counter: 0 },
            agent: agent.identity.clone(),
            shard: self.shard_names[agent.shard].clone(),
            epoch: agent.epoch,
            config_revision: self.config.state().revision(),
            number: agent.heartbeat_number,
            lease_left_ms: agent.lease_until.saturating_sub(now),
            capacity: model.site.vm,
            committed: model_vm.committed(),
            draining: false,
            held: held.collect(),
            ended: ended.collect(),
            usage,
            upstreams: Vec::new(),
        };
        let scheduler = &mut self.shards[agent.shard].scheduler;
        // A shard has no owner until its first claim is folded.
        let reply = scheduler.handle_heartbeat(
            Moment(START_MOMENT + now),
            HybridTime::default(),
            &heartbeat,
        );
        if let Ok(reply) = reply {
            agent.epoch = agent.epoch.max(reply.epoch);
            agent.lease_until = now + reply.lease_ms;
            let recorded: Vec<Token> = reply.recorded;
            model.vms[vm].ended.retain(|ended| !recorded.contains(&ended.token));
        }
        self.execute_actions(model);
    }

    /// Collects the owners' roster updates and sends every owner the summaries of the
    /// other shards, as an entry does.
    fn exchange_rosters(&mut self, now: Millis) {
        let moment = Moment(START_MOMENT + now);
        let mut summaries = Vec::new();
        for shard in &mut self.shards {
            if let Some(update) = shard.scheduler.roster(moment, &mut shard.entry_view) {
                let (epoch, room) = (update.epoch, update.room);
                let (shard, data_centre) = (update.shard, update.data_centre);
                summaries.push(ShardSummary { shard, data_centre, epoch, room });
            }
        }
        for shard in &mut self.shards {
            let others = summaries.iter().filter(|it| it.shard != *shard.scheduler.shard());
            let reply = RosterReply {
                at: HybridTime::default(),
                needs_full: false,
                newer_epoch: None,
                entries: Vec::new(),
                shards: others.cloned().collect(),
                earlier_members: Vec::new(),
                config_revision: self.config.state().revision(),
            };
            shard.scheduler.roster_answered(moment, &reply);
        }
    }
}

impl PlacementPolicy for OwnerPolicy {
    fn submit(&mut self, model: &PlacementModel<'_>, job: usize) {
        let spec = model.jobs[job].spec.clone();
        if let Some(home) = self.home_position(&spec.id) {
            let entry = self.writers.len() - 1;
            self.append(model.now, home, entry, TaskRecord::JobSubmitted(spec));
        }
    }

    fn cancel(&mut self, model: &mut PlacementModel<'_>, job: usize) {
        let id = model.jobs[job].spec.id.clone();
        if let Some(home) = self.home_position(&id) {
            let entry = self.writers.len() - 1;
            self.append(model.now, home, entry, TaskRecord::JobCancelled(id));
        }
    }

    fn step(&mut self, model: &mut PlacementModel<'_>) -> anyhow::Result<()> {
        let now = model.now;
        if model.is_outage_known() != self.outage_published {
            self.outage_published = model.is_outage_known();
            let state =
                if self.outage_published { DataCentreState::Out } else { DataCentreState::In };
            let data_centre = DataCentre::new("centre0").context("could not name a data centre")?;
            self.publish(vec![ItemValue::DataCentre(data_centre, state)], now);
        }
        self.store_due(model);
        for vm in 0..self.agents.len() {
            let ended = !model.vms[vm].ended.is_empty();
            let due = now >= self.agents[vm].next_heartbeat;
            if due || ended {
                self.send_heartbeat(model, vm);
            }
            if due {
                self.agents[vm].next_heartbeat = now + HEARTBEAT_INTERVAL;
            }
        }
        let full_second = now.is_multiple_of(1_000) || now == STEP_INTERVAL;
        if full_second {
            self.exchange_rosters(now);
        }
        for shard in &mut self.shards {
            if full_second {
                shard.scheduler.confirmed(Moment(START_MOMENT + now));
                shard.scheduler.config_confirmed(Moment(START_MOMENT + now));
            }
            shard.scheduler.tick(Moment(START_MOMENT + now), START_UNIX_MS + now);
        }
        self.execute_actions(model);
        Ok(())
    }
}

fn identity(site: &SitePreset, vm: usize) -> anyhow::Result<AgentIdentity> {
    let port = 20_000 + u16::try_from(vm)?;
    Ok(AgentIdentity {
        vm: VmName::new(&format!("vm-{vm}")).context("could not name a VM")?,
        incarnation: INCARNATION,
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        data_centre: format!("centre{}", site.data_centre_of(vm)).parse()?,
        rack: format!("rack-{}", vm / site.vms_per_rack).parse()?,
    })
}

fn plan_items(plans: &[ModelPlan]) -> Vec<ItemValue> {
    let mut items = Vec::new();
    for plan in plans {
        // All plans belong to one team: the model has no team quotas.
        if let Ok(team) = "team".parse() {
            items.push(ItemValue::Plan(plan.name.clone(), Some(PlanSpec { team, weight: 1 })));
        }
        let spec = AllowanceSpec { batch: plan.allowance, requests_per_second: 1 };
        items.push(ItemValue::Allowance(plan.name.clone(), Some(spec)));
    }
    items
}

/// Current usage of the tasks on a VM.
fn usage_samples(model: &PlacementModel<'_>, vm: usize) -> Vec<UsageSample> {
    let sample = |task: &ModelTask| {
        let usage = model.jobs[task.key.0].usage;
        let processors = usage.processors * u64::from(task.throttle) / 100;
        UsageSample {
            token: task.token,
            used: ResourceVector { processors, ..usage },
            speed_percent: (100.0 * task.speed).round().min(100.0) as u8,
            lag_ms: 0,
        }
    };
    model.vms[vm].running.iter().map(sample).collect()
}
