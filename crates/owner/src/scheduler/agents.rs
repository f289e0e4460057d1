//! Agents of the shard: answers their heartbeats, renews their leases, and compares the
//! tasks that they hold with the placements in the log.
//!
//! A task that an agent lists without a placement in the log is orphaned: the scheduler
//! requests its cancellation, and counts its need as used capacity of the VM for as long
//! as heartbeats list it.
//!
//! A late or repeated heartbeat may renew a lease, but its contents are ignored. A
//! heartbeat of an earlier incarnation is refused.

use cactusdoor_core::constants::{HEARTBEAT_INTERVAL, OWNER_TIMEOUT};
use cactusdoor_core::job::{PlacementEnd, TaskId};
use cactusdoor_core::lease::{GrantedLease, LeaseRequest};
use cactusdoor_core::name::VmName;
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::shard::TaskRecord;
use cactusdoor_core::unit::{Epoch, Incarnation, Millis, Moment, Token};
use cactusdoor_peer::heartbeat::{
    AgentHeartbeat, AgentIdentity, HeartbeatRefusal, HeartbeatReply, UpstreamStatus,
};
use cactusdoor_peer::task::StopMode;
use cactusdoor_policy::placement::eviction::PressureEscalation;
use cactusdoor_timeline::{EventKind, HybridTime};
use indexmap::{IndexMap, IndexSet};

use super::ShardScheduler;
use super::append::AppendKey;

/// Incarnation in a heartbeat that only asks whether its receiver owns the shard.
/// Processes draw incarnations above 0.
pub const PROBE_INCARNATION: Incarnation = 0;

/// Age of the last heartbeat above which nothing is placed on a VM.
const MAX_HEARTBEAT_AGE: Millis = 2 * HEARTBEAT_INTERVAL + HEARTBEAT_INTERVAL / 2;
/// Time after which no heartbeat of an earlier incarnation is still in transit.
const HEARTBEAT_LIFETIME: Millis = 20_000;
/// Number of earlier incarnations remembered per VM.
const PAST_INCARNATIONS: usize = 16;
/// Pause of placements on a VM after it refused a start.
const REFUSAL_PAUSE: Millis = 1_000;
/// Longest pause; it doubles with each refusal in a row.
const LONGEST_REFUSAL_PAUSE: Millis = 60_000;
/// Time for which heartbeats may omit a started task before a stop is requested
/// from its agent.
const MISSING_LIMIT: Millis = 3_000;

/// An agent and its VM, as the newest heartbeat describes them.
#[derive(Clone, Debug)]
pub(super) struct TrackedAgent {
    pub identity: AgentIdentity,
    /// Timestamp of the newest heartbeat, by the agent's clock.
    at: HybridTime,
    pub last_heartbeat: Moment,
    /// Whether the agent has accepted an answer sent during this tenure.
    pub adopted: bool,
    lease: GrantedLease,
    pub capacity: ResourceVector,
    pub draining: bool,
    pub upstreams: Vec<UpstreamStatus>,
    held: IndexSet<Token>,
    /// Total need of the tasks that the agent holds without a placement in the log.
    pub orphaned: ResourceVector,
    /// Lapsed tokens whose stops the agent must acknowledge before it gets a lease again.
    pub fences: IndexMap<Token, TaskId>,
    pub escalation: PressureEscalation,
    past_incarnations: Vec<Incarnation>,
    paused_until: Moment,
    /// Refused starts in a row.
    refusals: u32,
    pub silent: bool,
}

impl TrackedAgent {
    fn new(heartbeat: &AgentHeartbeat, now: Moment, epoch: Epoch) -> Self {
        Self {
            identity: heartbeat.agent.clone(),
            at: HybridTime::default(),
            last_heartbeat: now,
            adopted: false,
            lease: GrantedLease::assumed(epoch, now, 0),
            capacity: heartbeat.capacity,
            draining: heartbeat.draining,
            upstreams: Vec::new(),
            held: IndexSet::new(),
            orphaned: ResourceVector::ZERO,
            fences: IndexMap::new(),
            escalation: PressureEscalation::default(),
            past_incarnations: Vec::new(),
            paused_until: Moment::default(),
            refusals: 0,
            silent: false,
        }
    }

    /// Whether tasks may be placed on the VM.
    pub fn accepts_tasks(&self, now: Moment) -> bool {
        self.adopted
            && !self.draining
            && self.fences.is_empty()
            && now >= self.paused_until
            && now.since(self.last_heartbeat) <= MAX_HEARTBEAT_AGE
    }

    fn lease_end(&self) -> Moment {
        self.lease.certain_expiry()
    }

    pub fn pause_after_refusal(&mut self, now: Moment) {
        let pause = REFUSAL_PAUSE << self.refusals.min(6);
        self.refusals += 1;
        self.paused_until = now.after(pause.min(LONGEST_REFUSAL_PAUSE));
    }

    pub fn clear_refusals(&mut self) {
        self.refusals = 0;
    }

    fn restart(&mut self, identity: AgentIdentity) {
        if self.past_incarnations.len() == PAST_INCARNATIONS {
            self.past_incarnations.remove(0);
        }
        self.past_incarnations.push(self.identity.incarnation);
        self.identity = identity;
        self.lease.restart();
        self.at = HybridTime::default();
        self.adopted = false;
        // The new incarnation refuses starts in transit, because they name the earlier
        // one.
        self.fences.clear();
        self.held.clear();
    }
}

impl ShardScheduler {
    /// Answers a heartbeat that arrives at `now`; `at` is the answer's timestamp.
    pub fn handle_heartbeat(
        &mut self,
        now: Moment,
        at: HybridTime,
        heartbeat: &AgentHeartbeat,
    ) -> Result<HeartbeatReply, HeartbeatRefusal> {
        let epoch = match self.tenure() {
            Some(tenure) if !self.releasing && heartbeat.epoch <= tenure.epoch => tenure.epoch,
            _ => return Err(self.not_owner(heartbeat.epoch)),
        };
        let mut reply = HeartbeatReply {
            at,
            epoch,
            lease_ms: 0,
            config: self.config.delta_since(heartbeat.config_revision),
            config_age_ms: self.config_view.age(now),
            recorded: Vec::new(),
            silent_shards: self.silent_shards(now),
        };
        if heartbeat.agent.incarnation == PROBE_INCARNATION {
            return Ok(reply);
        }
        if !self.update_agent(now, heartbeat, epoch) {
            return Err(self.not_owner(heartbeat.epoch));
        }
        let vm = &heartbeat.agent.vm;
        reply.recorded = self.recorded_ends(heartbeat);
        reply.lease_ms = self.renew_lease(now, heartbeat);
        let newest = self.agents.get(vm).is_some_and(|agent| agent.at == heartbeat.at);
        if newest {
            self.record_ends(heartbeat);
            self.compare_inventory(now, heartbeat);
            self.apply_usage(now, heartbeat);
        }
        Ok(reply)
    }

    fn not_owner(&self, known: u64) -> HeartbeatRefusal {
        let own = self.settings.identity.address;
        let owner = self.fold.ownership().map(|ownership| ownership.address);
        HeartbeatRefusal::NotOwner {
            shard: self.settings.shard.clone(),
            epoch: self.fold.epoch().max(known),
            owner: owner.filter(|address| *address != own),
        }
    }

    /// Updates the agent from the heartbeat; `false` if an earlier incarnation sent it.
    fn update_agent(&mut self, now: Moment, heartbeat: &AgentHeartbeat, epoch: u64) -> bool {
        let vm = heartbeat.agent.vm.clone();
        let joined = !self.agents.contains_key(&vm);
        let agent = self
            .agents
            .entry(vm.clone())
            .or_insert_with(|| TrackedAgent::new(heartbeat, now, epoch));
        if agent.past_incarnations.contains(&heartbeat.agent.incarnation) {
            return false;
        }
        if agent.identity.incarnation != heartbeat.agent.incarnation {
            // The wall clock of a restarted VM may be behind, so a long silence also
            // counts.
            let silent = now.since(agent.last_heartbeat) >= HEARTBEAT_LIFETIME;
            if heartbeat.at <= agent.at && !silent {
                return false;
            }
            agent.restart(heartbeat.agent.clone());
        }
        let reappeared = joined || std::mem::take(&mut agent.silent);
        // A late or repeated heartbeat is still answered, because the agent counts its
        // lease from the time of sending, but its contents are out of date.
        if heartbeat.at > agent.at || joined {
            agent.at = heartbeat.at;
            agent.identity = heartbeat.agent.clone();
            agent.last_heartbeat = now;
            agent.capacity = heartbeat.capacity;
            agent.draining = heartbeat.draining;
            agent.upstreams.clone_from(&heartbeat.upstreams);
            agent.held = heartbeat.held.iter().map(|held| held.token).collect();
        }
        if heartbeat.epoch >= epoch {
            agent.adopted = true;
        }
        if reappeared {
            let shard = self.settings.shard.clone();
            self.push_event(EventKind::AgentJoined { vm, shard });
            self.placement_due = true;
        }
        true
    }

    /// Renews the agent's lease and returns its duration.
    fn renew_lease(&mut self, now: Moment, heartbeat: &AgentHeartbeat) -> Millis {
        let vm = &heartbeat.agent.vm;
        let duration = self.lease_duration(now);
        let Some(agent) = self.agents.get_mut(vm) else { return 0 };
        let duration = if agent.fences.is_empty() { duration } else { 0 };
        let (epoch, number, remaining) =
            (heartbeat.epoch, heartbeat.number, heartbeat.lease_left_ms);
        agent.lease.renew(now, LeaseRequest { epoch, number, remaining }, duration);
        duration
    }

    /// Time by which the VM's tasks have certainly stopped if no further heartbeat comes.
    #[must_use]
    pub fn certain_expiry(&self, vm: &VmName) -> Moment {
        match self.agents.get(vm) {
            Some(agent) if agent.adopted => agent.lease_end(),
            Some(agent) => agent.lease_end().max(self.earlier_lease_end()),
            None => self.earlier_lease_end(),
        }
    }

    /// Reported ends that the agent need not repeat.
    fn recorded_ends(&self, heartbeat: &AgentHeartbeat) -> Vec<Token> {
        let open = |task: &TaskId, token: Token| {
            self.index.placement(task).is_some_and(|placement| placement.token == token)
        };
        let ended = heartbeat.ended.iter().filter(|ended| !open(&ended.task, ended.token));
        ended.map(|ended| ended.token).collect()
    }

    fn record_ends(&mut self, heartbeat: &AgentHeartbeat) {
        for ended in &heartbeat.ended {
            self.record_end(&ended.task, ended.token, ended.end.clone());
        }
    }

    /// Appends the end of a placement, unless the placement is no longer current.
    pub(super) fn record_end(&mut self, task: &TaskId, token: Token, end: PlacementEnd) {
        let current = self.index.placement(task).is_some_and(|current| current.token == token);
        if !current || self.is_task_busy(task) {
            return;
        }
        let Some(epoch) = self.owned_epoch() else { return };
        let Some(status) = self.fold.job(&task.job) else { return };
        // The agent reports a stop without a checkpoint as a cancellation, even if the
        // stop was a preemption.
        let end = match end {
            PlacementEnd::Cancelled if !status.cancelled => {
                PlacementEnd::Evicted { checkpoint: None }
            }
            end => end,
        };
        let preempting =
            self.index.placement(task).is_some_and(|placed| self.is_preempting(&placed.vm));
        let urgent = status.spec.urgent || preempting;
        let record = TaskRecord::TaskEnded { epoch, task: task.clone(), token, end };
        self.append(AppendKey::Task(task.clone()), record, urgent);
    }

    /// Requests stops of tasks that the agent holds without a placement, and of
    /// placements that it no longer holds.
    fn compare_inventory(&mut self, now: Moment, heartbeat: &AgentHeartbeat) {
        let vm = &heartbeat.agent.vm;
        let mut orphaned = ResourceVector::ZERO;
        for held in &heartbeat.held {
            let placed = self.index.placement(&held.task);
            if placed.is_some_and(|placed| placed.token == held.token) {
                if let Some(pending_start) = self.pending_starts.get_mut(&held.token) {
                    pending_start.missing_since = None;
                }
                continue;
            }
            orphaned = orphaned.saturating_add(held.need);
            self.request_stop(now, held.token, &held.task, vm, StopMode::Cancel);
        }
        let ended: IndexSet<Token> = heartbeat.ended.iter().map(|ended| ended.token).collect();
        let fences = match self.agents.get_mut(vm) {
            Some(agent) => {
                agent.orphaned = orphaned;
                agent.fences.clone()
            }
            None => IndexMap::new(),
        };
        for (token, task) in fences {
            self.request_stop(now, token, &task, vm, StopMode::Cancel);
        }
        let load = self.index.vm(vm);
        let placed: Vec<(Token, TaskId)> = load
            .into_iter()
            .flat_map(|load| load.tasks.iter().map(|(token, task)| (*token, task.clone())))
            .collect();
        let held: IndexSet<Token> = heartbeat.held.iter().map(|held| held.token).collect();
        for (token, task) in placed {
            if !held.contains(&token) && !ended.contains(&token) {
                self.stop_missing(now, vm, token, &task);
            }
        }
        self.send_stops(now);
    }

    /// Requests a stop of a placement that the agent does not list, unless its start may
    /// still be in transit.
    fn stop_missing(&mut self, now: Moment, vm: &VmName, token: Token, task: &TaskId) {
        let incarnation = self.agents.get(vm).map(|agent| agent.identity.incarnation);
        let must_stop = match self.pending_starts.get_mut(&token) {
            // Placed under an earlier epoch.
            None => true,
            Some(pending_start) if Some(pending_start.incarnation) != incarnation => true,
            Some(pending_start) if pending_start.started.is_some() => {
                let since = *pending_start.missing_since.get_or_insert(now);
                now.since(since) >= MISSING_LIMIT
            }
            Some(_) => false,
        };
        if must_stop {
            self.request_stop(now, token, task, vm, StopMode::CheckpointAndStop);
        }
    }

    /// Number of agents that send heartbeats.
    #[must_use]
    pub fn agent_count(&self) -> usize {
        self.agents.values().filter(|agent| !agent.silent).count()
    }

    /// Records agents that stopped sending heartbeats.
    pub(super) fn detect_silence(&mut self, now: Moment) {
        let mut silent = Vec::new();
        for (vm, agent) in &mut self.agents {
            if !agent.silent && now.since(agent.last_heartbeat) >= OWNER_TIMEOUT {
                agent.silent = true;
                silent.push(vm.clone());
            }
        }
        for vm in silent {
            let shard = self.settings.shard.clone();
            self.push_event(EventKind::AgentSilent { vm, shard });
        }
    }
}
