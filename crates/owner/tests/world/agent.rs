//! Model of an agent and its worker that follows the rules for epochs, leases and fences.

use std::collections::{HashMap, HashSet};

use cactusdoor_core::job::{PlacementEnd, StartRefusal, TaskId};
use cactusdoor_core::lease::HeldLease;
use cactusdoor_core::name::TaskKind;
use cactusdoor_core::resource::{ResourceKind, ResourceVector};
use cactusdoor_core::unit::{Epoch, Millis, Moment, Token};
use cactusdoor_owner::witness::AttestationRecords;
use cactusdoor_peer::heartbeat::{
    AgentHeartbeat, AgentIdentity, EndedTask, HeartbeatRefusal, HeartbeatReply, HeldTask, RunState,
};
use cactusdoor_peer::task::{StopMode, StopReply, TaskRefusal, TaskStart, TaskStop};
use cactusdoor_timeline::HybridTime;
use rand::Rng;

use super::capacity;
use crate::support::{SHARD, shard};

const HEARTBEAT_INTERVAL: Millis = 1_000;
/// Time after which an unanswered heartbeat counts as lost.
const HEARTBEAT_TIMEOUT: Millis = 2_000;

#[derive(Clone, Debug)]
pub struct Run {
    pub token: Token,
    pub task: TaskId,
    pub kind: TaskKind,
    pub need: ResourceVector,
    /// Time at which the worker stops the task, even without its agent.
    pub deadline: Moment,
}

/// Tasks of a worker; they are unaffected when the agent restarts.
#[derive(Default)]
pub struct WorkerModel {
    runs: Vec<Run>,
    ended: Vec<EndedTask>,
    /// Highest token used for each task.
    used: HashMap<TaskId, Token>,
}

impl WorkerModel {
    pub fn running(&self, now: Moment) -> impl Iterator<Item = &Run> {
        self.runs.iter().filter(move |run| now < run.deadline)
    }

    /// Ends the runs whose leases expired.
    fn expire_leases(&mut self, now: Moment) {
        let (runs, expired) = std::mem::take(&mut self.runs).into_iter().partition(|run| {
            let run: &Run = run;
            now < run.deadline
        });
        self.runs = runs;
        for run in expired {
            let end = PlacementEnd::Evicted { checkpoint: None };
            self.ended.push(EndedTask { token: run.token, task: run.task, end });
        }
    }

    fn end(&mut self, token: Token, end: PlacementEnd) {
        if let Some(position) = self.runs.iter().position(|run| run.token == token) {
            let run = self.runs.remove(position);
            self.ended.push(EndedTask { token, task: run.task, end });
        }
    }
}

pub struct AgentModel {
    pub identity: AgentIdentity,
    /// Lost when the agent restarts.
    pub namings: AttestationRecords,
    pub owner: Option<usize>,
    /// When an owner last answered.
    pub last_answer: Moment,
    epoch: Epoch,
    lease: HeldLease,
    fenced: HashSet<Token>,
    number: u64,
    clock: u64,
    outstanding: Option<(u64, Moment)>,
    /// Number of the newest lease request.
    lease_request: u64,
    next_heartbeat_at: Moment,
}

impl AgentModel {
    pub fn new(identity: AgentIdentity, now: Moment) -> Self {
        Self {
            namings: AttestationRecords::new(identity.incarnation),
            identity,
            owner: None,
            last_answer: now.before(5_000),
            epoch: 0,
            lease: HeldLease::granted(now, 0),
            fenced: HashSet::new(),
            number: 0,
            clock: 0,
            outstanding: None,
            lease_request: 0,
            next_heartbeat_at: now,
        }
    }

    pub fn restart(&mut self, incarnation: u64, worker: &WorkerModel, now: Moment) {
        let identity = AgentIdentity { incarnation, ..self.identity.clone() };
        let clock = self.clock;
        let remaining = worker.runs.iter().map(|run| run.deadline.since(now)).max().unwrap_or(0);
        *self = Self::new(identity, now);
        self.clock = clock;
        self.number = clock;
        self.lease = HeldLease::granted(now, remaining);
    }

    pub fn step(&mut self, now: Moment, worker: &mut WorkerModel, rng: &mut impl Rng) {
        worker.expire_leases(now);
        let tokens: Vec<Token> = worker.runs.iter().map(|run| run.token).collect();
        for token in tokens {
            if rng.random_bool(0.005) {
                worker.end(token, PlacementEnd::Finished { digest: token });
            } else if rng.random_bool(0.0002) {
                worker.end(token, PlacementEnd::Failed);
            }
        }
    }

    /// Returns the heartbeat that is due, with its number.
    pub fn due_heartbeat(
        &mut self,
        now: Moment,
        worker: &WorkerModel,
    ) -> Option<(u64, AgentHeartbeat)> {
        if self.outstanding.is_some_and(|(_, sent)| now.since(sent) >= HEARTBEAT_TIMEOUT) {
            self.outstanding = None;
        }
        if self.outstanding.is_some() || now < self.next_heartbeat_at || self.owner.is_none() {
            return None;
        }
        self.number += 1;
        self.clock += 1;
        self.next_heartbeat_at = now.after(HEARTBEAT_INTERVAL);
        self.outstanding = Some((self.number, now));
        let request = self.lease.request_renewal(now, self.epoch);
        self.lease_request = request.number;
        let held = worker.running(now).map(|run| HeldTask {
            token: run.token,
            task: run.task.clone(),
            kind: run.kind.clone(),
            need: run.need,
            state: RunState::Running,
        });
        let heartbeat = AgentHeartbeat {
            at: HybridTime { wall_ms: self.clock, counter: 0 },
            agent: self.identity.clone(),
            shard: shard(SHARD),
            epoch: request.epoch,
            number: request.number,
            config_revision: 0,
            lease_left_ms: request.remaining,
            capacity: capacity(),
            committed: ResourceVector::ZERO,
            draining: false,
            held: held.collect(),
            ended: worker.ended.clone(),
            usage: Vec::new(),
            upstreams: Vec::new(),
        };
        Some((self.number, heartbeat))
    }

    pub fn receive_reply(
        &mut self,
        now: Moment,
        number: u64,
        reply: Result<HeartbeatReply, HeartbeatRefusal>,
        worker: &mut WorkerModel,
    ) {
        if self.outstanding.take_if(|(expected, _)| *expected == number).is_none() {
            return;
        }
        let Ok(reply) = reply else { return };
        if reply.epoch < self.epoch {
            return;
        }
        worker.expire_leases(now);
        self.last_answer = now;
        self.epoch = reply.epoch;
        self.lease.renew(self.lease_request, reply.lease_ms);
        for run in &mut worker.runs {
            run.deadline = self.lease.deadline();
        }
        worker.expire_leases(now);
        worker.ended.retain(|ended| !reply.recorded.contains(&ended.token));
    }

    pub fn start(
        &mut self,
        now: Moment,
        start: &TaskStart,
        worker: &mut WorkerModel,
    ) -> Result<(), StartRefusal> {
        worker.expire_leases(now);
        if start.agent_incarnation != self.identity.incarnation {
            return Err(StartRefusal::NotReady);
        }
        if start.epoch < self.epoch {
            return Err(StartRefusal::EpochStale);
        }
        self.epoch = start.epoch;
        if worker.runs.iter().any(|run| run.token == start.token) {
            return Ok(());
        }
        let used = worker.used.get(&start.task).is_some_and(|used| start.token <= *used);
        if used || self.fenced.contains(&start.token) {
            return Err(StartRefusal::WorkerFailed);
        }
        if !self.lease.is_valid(now) {
            return Err(StartRefusal::ConfigurationStale);
        }
        let committed = worker
            .runs
            .iter()
            .fold(start.need, |sum, run| sum.checked_add(run.need).unwrap_or(sum));
        if !capacity().can_fit(committed) {
            return Err(StartRefusal::DoesNotFit(ResourceKind::Processors));
        }
        worker.used.insert(start.task.clone(), start.token);
        worker.runs.push(Run {
            token: start.token,
            task: start.task.clone(),
            kind: start.kind.clone(),
            need: start.need,
            deadline: self.lease.deadline(),
        });
        Ok(())
    }

    pub fn stop(
        &mut self,
        now: Moment,
        stop: &TaskStop,
        worker: &mut WorkerModel,
    ) -> Result<StopReply, TaskRefusal> {
        worker.expire_leases(now);
        if stop.epoch < self.epoch {
            return Err(TaskRefusal::EpochStale);
        }
        let end = match stop.mode {
            StopMode::Throttle(_) => return Ok(StopReply::Throttled),
            StopMode::CheckpointAndStop => PlacementEnd::Evicted { checkpoint: None },
            StopMode::Cancel => PlacementEnd::Cancelled,
        };
        self.fenced.insert(stop.token);
        worker.end(stop.token, end);
        let ended = worker.ended.iter().find(|ended| ended.token == stop.token);
        Ok(ended.map_or(StopReply::NotRunning, |ended| StopReply::Ended(ended.end.clone())))
    }
}
