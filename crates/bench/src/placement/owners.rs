//! The project's own policy: one owner's book per data centre, driven as it is.
//!
//! Records come back through the fold after a fixed append delay; agents beat
//! each second and when a task ends; starts and stops are answered by the model
//! at once.

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

use super::jobs::{ModelPlan, START_UNIX};
use super::run::PlacementPolicy;
use super::world::{PlacementWorld, STEP};
use crate::preset::SitePreset;

/// Time from the decision about a record until it is folded.
pub const APPEND_DELAY: Millis = 50;
/// Age of the usage figures that agents report.
const USAGE_LAG: Millis = 2_000;
/// Moment at which a run starts; the book takes moment 0 for the distant past.
const START: Millis = 1_000_000;
/// Incarnation of every process of a run.
const INCARNATION: u64 = 7;

/// A record on its way to a stream.
struct Flight {
    due: Millis,
    shard: usize,
    writer: usize,
    /// The book that waits for the answer, with its append id.
    append_id: Option<(usize, AppendId)>,
    record: TaskRecord,
}

struct ModelShard {
    book: ShardScheduler,
    next: Offset,
    view: EntryView,
}

struct ModelAgent {
    identity: AgentIdentity,
    shard: usize,
    epoch: Epoch,
    number: u64,
    lease_until: Millis,
    next_beat: Millis,
    usage: VecDeque<(Millis, Vec<UsageSample>)>,
}

/// Owners of all shards with their agents.
pub struct OwnerPolicy {
    names: Vec<ShardName>,
    shards: Vec<ModelShard>,
    agents: Vec<ModelAgent>,
    vm_names: HashMap<VmName, usize>,
    /// Writers: one per owner, then the entry.
    writers: Vec<(WriterId, Sequence)>,
    pending_starts: VecDeque<Flight>,
    jobs: HashMap<JobId, usize>,
    config: ConfigFold,
    out: bool,
}

impl OwnerPolicy {
    /// Books that have claimed their shards, one per data centre.
    pub fn open(world: &PlacementWorld<'_>) -> anyhow::Result<Self> {
        let site = world.site;
        let centres = 0..site.data_centres;
        let names: Result<Vec<_>, _> =
            centres.clone().map(|centre| ShardName::new(&format!("centre{centre}-0"))).collect();
        let names = names.context("could not name the shards")?;
        let mut agents = Vec::new();
        for vm in 0..site.vms {
            agents.push(ModelAgent {
                identity: identity(site, vm)?,
                shard: site.data_centre_of(vm),
                epoch: 0,
                number: 0,
                lease_until: 0,
                next_beat: 90 * vm as Millis,
                usage: VecDeque::new(),
            });
        }
        let mut writers = Vec::new();
        for process in 0..=site.data_centres {
            let process = format!("process-{process}").parse()?;
            writers.push((WriterId { process, incarnation: INCARNATION }, 0));
        }
        let mut shards = Vec::new();
        for centre in centres {
            let owner = (0..site.vms).find(|&vm| site.data_centre_of(vm) == centre);
            let settings = SchedulerSettings {
                shard: names[centre].clone(),
                identity: identity(site, owner.context("a data centre has no VM")?)?,
                writer: writers[centre].0.clone(),
                shards: names.clone(),
            };
            let fold = ShardFold::new(names[centre].clone());
            let book = ShardScheduler::new(settings, fold);
            shards.push(ModelShard { book, next: 0, view: EntryView::default() });
        }
        let jobs = world.jobs.iter().enumerate().map(|(at, job)| (job.spec.id.clone(), at));
        let mut policy = Self {
            vm_names: (0..).zip(&agents).map(|(vm, it)| (it.identity.vm.clone(), vm)).collect(),
            jobs: jobs.collect(),
            names,
            shards,
            agents,
            writers,
            pending_starts: VecDeque::new(),
            config: ConfigFold::default(),
            out: false,
        };
        policy.publish(plan_items(world.plans), 0);
        for shard in &mut policy.shards {
            shard.book.claim();
        }
        Ok(policy)
    }

    /// Appends a configuration change and passes the result on.
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
            shard.book.configured(Moment(START + now), state.clone());
        }
    }

    fn send(&mut self, now: Millis, shard: usize, writer: usize, record: TaskRecord) {
        let due = now + APPEND_DELAY;
        self.pending_starts.push_back(Flight { due, shard, writer, append_id: None, record });
    }

    fn home(&self, job: &JobId) -> Option<usize> {
        let home = home_shard(&job.plan, &self.names)?;
        self.names.iter().position(|name| name == home)
    }

    /// Stores and folds the records whose delay is over.
    fn store(&mut self, world: &mut PlacementWorld<'_>) {
        while self
            .pending_starts
            .front()
            .is_some_and(|pending_start| pending_start.due <= world.now)
        {
            let Some(pending_start) = self.pending_starts.pop_front() else { return };
            let now = Moment(START + world.now);
            let (writer, sequence) = &mut self.writers[pending_start.writer];
            *sequence += 1;
            let envelope = LogEnvelope {
                writer: writer.clone(),
                sequence: *sequence,
                body: pending_start.record,
            };
            let stored =
                StoredRecord { offset: self.shards[pending_start.shard].next, sequence: *sequence };
            self.shards[pending_start.shard].next += 1;
            if let Some((owner, append_id)) = pending_start.append_id {
                self.shards[owner].book.appended(now, append_id, Ok(stored));
            }
            self.shards[pending_start.shard].book.folded(now, stored.offset, envelope);
            self.carry_out(world);
        }
    }

    /// Carries out what the books ask for.
    fn carry_out(&mut self, world: &mut PlacementWorld<'_>) {
        for shard in 0..self.shards.len() {
            loop {
                let actions = self.shards[shard].book.take_actions();
                if actions.is_empty() {
                    break;
                }
                for action in actions {
                    self.act(world, shard, action);
                }
            }
        }
    }

    fn act(&mut self, world: &mut PlacementWorld<'_>, owner: usize, action: SchedulerAction) {
        let due = world.now + APPEND_DELAY;
        match action {
            SchedulerAction::Append { append_id, record, .. } => {
                let append_id = Some((owner, append_id));
                self.pending_starts.push_back(Flight {
                    due,
                    shard: owner,
                    writer: owner,
                    append_id,
                    record,
                });
            }
            SchedulerAction::AppendRemote { append_id, shard, record } => {
                let Some(shard) = self.names.iter().position(|name| *name == shard) else { return };
                let append_id = Some((owner, append_id));
                self.pending_starts.push_back(Flight {
                    due,
                    shard,
                    writer: owner,
                    append_id,
                    record,
                });
            }
            SchedulerAction::Start { vm, start, .. } => self.start(world, owner, &vm, &start),
            SchedulerAction::Stop { vm, stop, .. } => self.stop(world, owner, &vm, &stop),
            _ => {}
        }
    }

    fn start(
        &mut self,
        world: &mut PlacementWorld<'_>,
        owner: usize,
        vm: &VmName,
        start: &TaskStart,
    ) {
        let (Some(&vm), Some(&job)) = (self.vm_names.get(vm), self.jobs.get(&start.task.job))
        else {
            return;
        };
        let answer = world.start(vm, start.token, (job, start.task.index), start.need);
        let now = Moment(START + world.now);
        let answer = CallOutcome::Answered(answer);
        self.shards[owner].book.start_answered(now, start.token, answer);
    }

    fn stop(&mut self, world: &mut PlacementWorld<'_>, owner: usize, vm: &VmName, stop: &TaskStop) {
        let Some(&position) = self.vm_names.get(vm) else { return };
        let reply = world.stop(position, stop.token, stop.mode);
        let now = Moment(START + world.now);
        let answer = CallOutcome::Answered(Ok(reply));
        self.shards[owner].book.stop_answered(now, vm, stop, answer);
    }

    fn beat(&mut self, world: &mut PlacementWorld<'_>, vm: usize) {
        let now = world.now;
        let samples = samples(world, vm);
        let agent = &mut self.agents[vm];
        agent.number += 1;
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
            |key: (usize, u32)| TaskId { job: world.jobs[key.0].spec.id.clone(), index: key.1 };
        let state = &world.vms[vm];
        let held = state.running.iter().map(|it| HeldTask {
            token: it.token,
            task: task(it.key),
            kind: world.jobs[it.key.0].spec.kind.clone(),
            need: it.need,
            state: match it.throttle {
                100 => RunState::Running,
                percent => RunState::Throttled(percent),
            },
        });
        let ended = state.ended.iter().map(|it| EndedTask {
            token: it.token,
            task: task(it.key),
            end: it.end.clone(),
        });
        let beat = AgentHeartbeat {
            at: HybridTime { wall_ms: START + now, counter: 0 },
            agent: agent.identity.clone(),
            shard: self.names[agent.shard].clone(),
            epoch: agent.epoch,
            config_revision: self.config.state().revision(),
            number: agent.number,
            lease_left_ms: agent.lease_until.saturating_sub(now),
            capacity: world.site.vm,
            committed: state.committed(),
            draining: false,
            held: held.collect(),
            ended: ended.collect(),
            usage,
            upstreams: Vec::new(),
        };
        let book = &mut self.shards[agent.shard].book;
        // A shard has no owner until its first claim is folded.
        let reply = book.handle_heartbeat(Moment(START + now), HybridTime::default(), &beat);
        if let Ok(reply) = reply {
            agent.epoch = agent.epoch.max(reply.epoch);
            agent.lease_until = now + reply.lease_ms;
            let recorded: Vec<Token> = reply.recorded;
            world.vms[vm].ended.retain(|ended| !recorded.contains(&ended.token));
        }
        self.carry_out(world);
    }

    /// What entries pass on between the owners.
    fn inform(&mut self, now: Millis) {
        let moment = Moment(START + now);
        let mut summaries = Vec::new();
        for shard in &mut self.shards {
            if let Some(update) = shard.book.roster(moment, &mut shard.view) {
                let (epoch, room) = (update.epoch, update.room);
                let (shard, data_centre) = (update.shard, update.data_centre);
                summaries.push(ShardSummary { shard, data_centre, epoch, room });
            }
        }
        for shard in &mut self.shards {
            let others = summaries.iter().filter(|it| it.shard != *shard.book.shard());
            let reply = RosterReply {
                at: HybridTime::default(),
                needs_full: false,
                newer_epoch: None,
                entries: Vec::new(),
                shards: others.cloned().collect(),
                earlier_members: Vec::new(),
                config_revision: self.config.state().revision(),
            };
            shard.book.roster_answered(moment, &reply);
        }
    }
}

impl PlacementPolicy for OwnerPolicy {
    fn submit(&mut self, world: &PlacementWorld<'_>, job: usize) {
        let spec = world.jobs[job].spec.clone();
        if let Some(home) = self.home(&spec.id) {
            let entry = self.writers.len() - 1;
            self.send(world.now, home, entry, TaskRecord::JobSubmitted(spec));
        }
    }

    fn cancel(&mut self, world: &mut PlacementWorld<'_>, job: usize) {
        let id = world.jobs[job].spec.id.clone();
        if let Some(home) = self.home(&id) {
            let entry = self.writers.len() - 1;
            self.send(world.now, home, entry, TaskRecord::JobCancelled(id));
        }
    }

    fn step(&mut self, world: &mut PlacementWorld<'_>) -> anyhow::Result<()> {
        let now = world.now;
        if world.is_out() != self.out {
            self.out = world.is_out();
            let state = if self.out { DataCentreState::Out } else { DataCentreState::In };
            let centre = DataCentre::new("centre0").context("could not name a data centre")?;
            self.publish(vec![ItemValue::DataCentre(centre, state)], now);
        }
        self.store(world);
        for vm in 0..self.agents.len() {
            let ended = !world.vms[vm].ended.is_empty();
            let due = now >= self.agents[vm].next_beat;
            if due || ended {
                self.beat(world, vm);
            }
            if due {
                self.agents[vm].next_beat = now + HEARTBEAT_INTERVAL;
            }
        }
        let second = now.is_multiple_of(1_000) || now == STEP;
        if second {
            self.inform(now);
        }
        for shard in &mut self.shards {
            if second {
                shard.book.confirmed(Moment(START + now));
                shard.book.config_confirmed(Moment(START + now));
            }
            shard.book.tick(Moment(START + now), START_UNIX + now);
        }
        self.carry_out(world);
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
        // All plans belong to one team; quotas of teams are not in the model.
        if let Ok(team) = "team".parse() {
            items.push(ItemValue::Plan(plan.name.clone(), Some(PlanSpec { team, weight: 1 })));
        }
        let spec = AllowanceSpec { batch: plan.allowance, requests_per_second: 1 };
        items.push(ItemValue::Allowance(plan.name.clone(), Some(spec)));
    }
    items
}

/// Usage of the tasks on a VM as it is now.
fn samples(world: &PlacementWorld<'_>, vm: usize) -> Vec<UsageSample> {
    let sample = |task: &super::world::ModelTask| {
        let used = world.jobs[task.key.0].used;
        let processors = used.processors * u64::from(task.throttle) / 100;
        UsageSample {
            token: task.token,
            used: ResourceVector { processors, ..used },
            speed_percent: (100.0 * task.speed).round().min(100.0) as u8,
            lag_ms: 0,
        }
    };
    world.vms[vm].running.iter().map(sample).collect()
}
