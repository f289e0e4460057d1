//! Agents of the shard, as their heartbeats show them.

use cactusdoor_core::constants::{HEARTBEAT_INTERVAL, OWNER_SILENCE};
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

use super::ShardBook;
use super::append::AppendKey;

/// Incarnation of a heartbeat that only asks whether its receiver owns the
/// shard. Processes draw incarnations above 0.
pub const PROBE_INCARNATION: Incarnation = 0;

/// Age of the last heartbeat beyond which nothing is placed on a VM.
const PLACING_SILENCE: Millis = 2 * HEARTBEAT_INTERVAL + HEARTBEAT_INTERVAL / 2;
/// Time after which no heartbeat of an earlier incarnation is still on its way.
const HEARTBEAT_LIFETIME: Millis = 20_000;
/// Earlier incarnations that are remembered per VM.
const PAST_INCARNATIONS: usize = 16;
/// Pause of placements on a VM after it refused one.
const REFUSAL_PAUSE: Millis = 1_000;
/// Longest such pause; doubled with each refusal in a row.
const LONGEST_REFUSAL_PAUSE: Millis = 60_000;
/// Time after which a started task that heartbeats do not list is asked about.
const MISSING_TIME: Millis = 3_000;

/// An agent and its VM.
#[derive(Clone, Debug)]
pub(super) struct AgentBook {
    pub identity: AgentIdentity,
    /// Timestamp of the newest heartbeat, by the agent's clock.
    at: HybridTime,
    pub last_beat: Moment,
    /// Whether the agent has accepted an answer of this tenure.
    pub adopted: bool,
    lease: GrantedLease,
    pub capacity: ResourceVector,
    pub draining: bool,
    pub upstreams: Vec<UpstreamStatus>,
    held: IndexSet<Token>,
    /// Held by the agent although the fold has no such placement.
    pub stray: ResourceVector,
    /// Lapsed tokens that the agent must renounce before it gets a lease again.
    pub fences: IndexMap<Token, TaskId>,
    pub escalation: PressureEscalation,
    past: Vec<Incarnation>,
    avoid_until: Moment,
    /// Refused starts in a row.
    refusals: u32,
    pub silent: bool,
}

impl AgentBook {
    fn new(beat: &AgentHeartbeat, now: Moment, epoch: Epoch) -> Self {
        Self {
            identity: beat.agent.clone(),
            at: HybridTime::default(),
            last_beat: now,
            adopted: false,
            lease: GrantedLease::unknown(epoch, now, 0),
            capacity: beat.capacity,
            draining: beat.draining,
            upstreams: Vec::new(),
            held: IndexSet::new(),
            stray: ResourceVector::ZERO,
            fences: IndexMap::new(),
            escalation: PressureEscalation::default(),
            past: Vec::new(),
            avoid_until: Moment::default(),
            refusals: 0,
            silent: false,
        }
    }

    /// Whether tasks may be placed there.
    pub fn takes_tasks(&self, now: Moment) -> bool {
        self.adopted
            && !self.draining
            && self.fences.is_empty()
            && now >= self.avoid_until
            && now.since(self.last_beat) <= PLACING_SILENCE
    }

    fn bound(&self) -> Moment {
        self.lease.surely_over()
    }

    pub fn refused(&mut self, now: Moment) {
        let pause = REFUSAL_PAUSE << self.refusals.min(6);
        self.refusals += 1;
        self.avoid_until = now.after(pause.min(LONGEST_REFUSAL_PAUSE));
    }

    /// The agent has started a task.
    pub fn accepted(&mut self) {
        self.refusals = 0;
    }

    fn restart(&mut self, identity: AgentIdentity) {
        if self.past.len() == PAST_INCARNATIONS {
            self.past.remove(0);
        }
        self.past.push(self.identity.incarnation);
        self.identity = identity;
        self.lease.restart();
        self.at = HybridTime::default();
        self.adopted = false;
        // Starts name the incarnation, so the new one refuses those on their way.
        self.fences.clear();
        self.held.clear();
    }
}

impl ShardBook {
    /// Answers a heartbeat that arrives at `now`; `at` is the answer's timestamp.
    pub fn beat(
        &mut self,
        now: Moment,
        at: HybridTime,
        beat: &AgentHeartbeat,
    ) -> Result<HeartbeatReply, HeartbeatRefusal> {
        let epoch = match self.tenure() {
            Some(tenure) if !self.handing_back && beat.epoch <= tenure.epoch => tenure.epoch,
            _ => return Err(self.not_owner(beat.epoch)),
        };
        let mut reply = HeartbeatReply {
            at,
            epoch,
            lease_ms: 0,
            config: self.config.delta_since(beat.config_revision),
            config_age_ms: self.config_view.age(now),
            recorded: Vec::new(),
            silent_shards: self.silent_shards(now),
        };
        if beat.agent.incarnation == PROBE_INCARNATION {
            return Ok(reply);
        }
        if !self.register(now, beat, epoch) {
            return Err(self.not_owner(beat.epoch));
        }
        let vm = &beat.agent.vm;
        reply.recorded = self.recorded(beat);
        reply.lease_ms = self.grant(now, beat);
        let newest = self.agents.get(vm).is_some_and(|agent| agent.at == beat.at);
        if newest {
            self.take_ends(beat);
            self.take_inventory(now, beat);
            self.take_usage(now, beat);
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

    /// Takes the heartbeat in; `false` if it is from an earlier incarnation.
    fn register(&mut self, now: Moment, beat: &AgentHeartbeat, epoch: u64) -> bool {
        let vm = beat.agent.vm.clone();
        let joined = !self.agents.contains_key(&vm);
        let agent =
            self.agents.entry(vm.clone()).or_insert_with(|| AgentBook::new(beat, now, epoch));
        if agent.past.contains(&beat.agent.incarnation) {
            return false;
        }
        if agent.identity.incarnation != beat.agent.incarnation {
            // A restarted VM may have an earlier wall clock, so silence counts too.
            let silent = now.since(agent.last_beat) >= HEARTBEAT_LIFETIME;
            if beat.at <= agent.at && !silent {
                return false;
            }
            agent.restart(beat.agent.clone());
        }
        let back = joined || std::mem::take(&mut agent.silent);
        // A heartbeat that arrives late or twice is answered, because the agent
        // counts its lease from when it sent it, but it shows an old state.
        if beat.at > agent.at || joined {
            agent.at = beat.at;
            agent.identity = beat.agent.clone();
            agent.last_beat = now;
            agent.capacity = beat.capacity;
            agent.draining = beat.draining;
            agent.upstreams.clone_from(&beat.upstreams);
            agent.held = beat.held.iter().map(|held| held.token).collect();
        }
        if beat.epoch >= epoch {
            agent.adopted = true;
        }
        if back {
            let shard = self.settings.shard.clone();
            self.event(EventKind::AgentJoined { vm, shard });
            self.placing_due = true;
        }
        true
    }

    /// Renews the lease on the VM's tasks.
    fn grant(&mut self, now: Moment, beat: &AgentHeartbeat) -> Millis {
        let vm = &beat.agent.vm;
        let term = self.lease_term(now);
        let Some(agent) = self.agents.get_mut(vm) else { return 0 };
        let term = if agent.fences.is_empty() { term } else { 0 };
        let (epoch, number, left) = (beat.epoch, beat.number, beat.lease_left_ms);
        agent.lease.renew(now, LeaseRequest { epoch, number, left }, term);
        term
    }

    /// When the VM's tasks have surely stopped if no heartbeat comes.
    #[must_use]
    pub fn surely_over(&self, vm: &VmName) -> Moment {
        match self.agents.get(vm) {
            Some(agent) if agent.adopted => agent.bound(),
            Some(agent) => agent.bound().max(self.earlier_grant()),
            None => self.earlier_grant(),
        }
    }

    /// Reported ends that need not be repeated.
    fn recorded(&self, beat: &AgentHeartbeat) -> Vec<Token> {
        let open = |task: &TaskId, token: Token| {
            self.index.placement(task).is_some_and(|placement| placement.token == token)
        };
        let ended = beat.ended.iter().filter(|ended| !open(&ended.task, ended.token));
        ended.map(|ended| ended.token).collect()
    }

    fn take_ends(&mut self, beat: &AgentHeartbeat) {
        for ended in &beat.ended {
            self.record_end(&ended.task, ended.token, ended.end.clone());
        }
    }

    /// Appends the end of a placement, unless it is no longer the current one.
    pub(super) fn record_end(&mut self, task: &TaskId, token: Token, end: PlacementEnd) {
        let current = self.index.placement(task).is_some_and(|current| current.token == token);
        if !current || self.is_task_busy(task) {
            return;
        }
        let Some(epoch) = self.owned_epoch() else { return };
        let Some(entry) = self.fold.job(&task.job) else { return };
        // A stop without a checkpoint is reported as a cancellation, also if it
        // only made room.
        let end = match end {
            PlacementEnd::Cancelled if !entry.cancelled => {
                PlacementEnd::Evicted { checkpoint: None }
            }
            end => end,
        };
        let makes_room =
            self.index.placement(task).is_some_and(|placed| self.is_preempting(&placed.vm));
        let urgent = entry.spec.urgent || makes_room;
        let record = TaskRecord::TaskEnded { epoch, task: task.clone(), token, end };
        self.append(AppendKey::Task(task.clone()), record, urgent);
    }

    /// Compares what the agent holds with the placements in the fold.
    fn take_inventory(&mut self, now: Moment, beat: &AgentHeartbeat) {
        let vm = &beat.agent.vm;
        let mut stray = ResourceVector::ZERO;
        for held in &beat.held {
            let placed = self.index.placement(&held.task);
            if placed.is_some_and(|placed| placed.token == held.token) {
                if let Some(pending_start) = self.pending_starts.get_mut(&held.token) {
                    pending_start.missing_since = None;
                }
                continue;
            }
            stray = stray.saturating_add(held.need);
            self.request_stop(now, held.token, &held.task, vm, StopMode::Cancel);
        }
        let ended: IndexSet<Token> = beat.ended.iter().map(|ended| ended.token).collect();
        let fences = match self.agents.get_mut(vm) {
            Some(agent) => {
                agent.stray = stray;
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
        let held: IndexSet<Token> = beat.held.iter().map(|held| held.token).collect();
        for (token, task) in placed {
            if !held.contains(&token) && !ended.contains(&token) {
                self.missing(now, vm, token, &task);
            }
        }
        self.send_stops(now);
    }

    /// The agent does not list a token that the fold places there.
    fn missing(&mut self, now: Moment, vm: &VmName, token: Token, task: &TaskId) {
        let incarnation = self.agents.get(vm).map(|agent| agent.identity.incarnation);
        let ask = match self.pending_starts.get_mut(&token) {
            // Placed under an earlier epoch.
            None => true,
            Some(pending_start) if Some(pending_start.incarnation) != incarnation => true,
            Some(pending_start) if pending_start.started.is_some() => {
                let since = *pending_start.missing_since.get_or_insert(now);
                now.since(since) >= MISSING_TIME
            }
            Some(_) => false,
        };
        if ask {
            self.request_stop(now, token, task, vm, StopMode::CheckpointAndStop);
        }
    }

    /// Number of agents that send heartbeats.
    #[must_use]
    pub fn agent_count(&self) -> usize {
        self.agents.values().filter(|agent| !agent.silent).count()
    }

    /// Notes agents that stopped sending heartbeats.
    pub(super) fn note_silence(&mut self, now: Moment) {
        let mut silent = Vec::new();
        for (vm, agent) in &mut self.agents {
            if !agent.silent && now.since(agent.last_beat) >= OWNER_SILENCE {
                agent.silent = true;
                silent.push(vm.clone());
            }
        }
        for vm in silent {
            let shard = self.settings.shard.clone();
            self.event(EventKind::AgentSilent { vm, shard });
        }
    }
}
