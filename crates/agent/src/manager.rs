//! Decisions of the agent about its tasks: start gate, epochs and lease.
//!
//! Nothing here performs I/O or reads a clock. The effects that a decision
//! allows are carried out by [`task_actor`](crate::task_actor), which reports back.

use cactusdoor_core::capacity::CapacityError;
use cactusdoor_core::config::{ConfigState, DataCentreState};
use cactusdoor_core::constants::TASK_LEASE;
use cactusdoor_core::freshness::ConfirmedView;
use cactusdoor_core::job::{PlacementEnd, StartRefusal};
use cactusdoor_core::lease::{HeldLease, LeaseRequest};
use cactusdoor_core::name::{DataCentre, ShardName};
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::{Epoch, Incarnation, Millis, Moment, Token};
use cactusdoor_peer::heartbeat::{EndedTask, HeartbeatReply, HeldTask};
use cactusdoor_peer::task::{StopMode, TaskRefusal, TaskStart, TaskStop};
use cactusdoor_worker::TaskInventory;

use crate::life::{LiveTask, PlacedTask, StartDoubt};
use crate::table::{LaunchAnswer, StopAnswer, TaskTable};

/// Time before the own deadline at which tasks are stopped: the worker stops them
/// at the deadline without a checkpoint, so checkpoints have to be taken before.
const CHECKPOINT_MARGIN: Millis = 1_000;

/// What the manager decides for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ManagerIdentity {
    pub incarnation: Incarnation,
    pub shard: ShardName,
    pub data_centre: DataCentre,
}

/// What is to be done about an accepted start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartStep {
    /// Resources are reserved; ask [`TaskManager::launch_lease`] and call the worker.
    Launch,
    /// The same start was accepted before.
    Repeated,
}

/// What is to be done about a stop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StopStep {
    /// Call the worker and wait for the end of the task.
    Stop,
    /// Pass the throttle to the worker.
    Throttle(u8),
    Ended(PlacementEnd),
    /// Remembered as never to start.
    NotRunning,
}

/// What a heartbeat reply changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplyEffect {
    pub config_changed: bool,
    /// Ends that the worker need not list any more.
    pub recorded: Vec<Token>,
}

/// A heartbeat reply of an owner that has been replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StaleReply;

/// The right to run tasks and what runs under it.
#[derive(Clone, Debug)]
pub struct TaskManager {
    identity: ManagerIdentity,
    epoch: Epoch,
    config: ConfigState,
    view: ConfirmedView,
    lease: HeldLease,
    /// Whether an owner granted the lease; it is inherited otherwise.
    granted: bool,
    draining: bool,
    /// `None` until the inventory is taken.
    table: Option<TaskTable>,
}

impl TaskManager {
    #[must_use]
    pub fn new(identity: ManagerIdentity) -> Self {
        Self {
            identity,
            epoch: 0,
            config: ConfigState::default(),
            view: ConfirmedView::default(),
            lease: HeldLease::default(),
            granted: false,
            draining: false,
            table: None,
        }
    }

    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    #[must_use]
    pub fn config(&self) -> &ConfigState {
        &self.config
    }

    #[must_use]
    pub fn view(&self) -> &ConfirmedView {
        &self.view
    }

    #[must_use]
    pub fn table(&self) -> Option<&TaskTable> {
        self.table.as_ref()
    }

    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    #[must_use]
    pub fn lease_deadline(&self) -> Moment {
        self.lease.deadline()
    }

    #[must_use]
    pub fn lease_left(&self, now: Moment) -> Millis {
        self.lease.remaining(now)
    }

    #[must_use]
    pub fn holds_lease(&self, now: Moment) -> bool {
        self.lease.is_valid(now)
    }

    /// Refuses new tasks from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Takes over what the worker reported when asked at `sent`.
    ///
    /// The tasks of an earlier incarnation go on under the leases that the worker
    /// still holds; they are renewed once an owner has answered.
    pub fn take_inventory(
        &mut self,
        now: Moment,
        sent: Moment,
        capacity: ResourceVector,
        inventory: &TaskInventory,
    ) {
        let mut table = TaskTable::new(capacity);
        table.adopt(now, inventory);
        self.table = Some(table);
        let left = inventory.running.iter().map(|task| task.lease_left_ms).max();
        self.lease = HeldLease::granted(sent, left.unwrap_or(0));
    }

    /// Adopts the epoch of an owner; `false` if a newer one is known.
    pub fn note_epoch(&mut self, epoch: Epoch) -> bool {
        self.epoch = self.epoch.max(epoch);
        self.epoch == epoch
    }

    /// The request for a renewal that goes with a heartbeat sent at `now`.
    pub fn ask_lease(&mut self, now: Moment) -> LeaseRequest {
        self.lease.request_renewal(now, self.epoch)
    }

    /// Takes over the reply to the heartbeat with lease request `number`, which was
    /// sent at `sent`.
    ///
    /// A renewal does not revive tasks whose lease had passed: the owner may have
    /// placed them elsewhere, so they are stopped.
    pub fn receive(
        &mut self,
        now: Moment,
        sent: Moment,
        number: u64,
        reply: &HeartbeatReply,
    ) -> Result<ReplyEffect, StaleReply> {
        if !self.note_epoch(reply.epoch) {
            return Err(StaleReply);
        }
        if !self.holds_lease(now) {
            self.stop_all();
        }
        if self.lease.renew(number, reply.lease_ms) {
            self.granted = true;
        }
        let before = self.config.revision();
        if self.config.apply_delta(&reply.config)
            && let Some(age) = reply.config_age_ms
        {
            self.view.confirm_relayed(sent, age);
        }
        let recorded = self.table.as_mut().map(|table| table.recorded(&reply.recorded));
        Ok(ReplyEffect {
            config_changed: self.config.revision() != before,
            recorded: recorded.unwrap_or_default(),
        })
    }

    /// Whether anything may start now.
    fn gate(&self, now: Moment, epoch: Epoch) -> Result<(), StartRefusal> {
        if self.table.is_none() {
            return Err(StartRefusal::NotReady);
        }
        if epoch < self.epoch {
            return Err(StartRefusal::EpochStale);
        }
        if self.draining {
            return Err(StartRefusal::Draining);
        }
        if !self.view.allows_start(now) {
            return Err(StartRefusal::ConfigurationStale);
        }
        if self.config.data_centre(&self.identity.data_centre) == DataCentreState::Out {
            return Err(StartRefusal::DataCentreOut);
        }
        // An inherited lease was granted for the tasks that run, not for new ones.
        if !self.granted || !self.holds_lease(now.after(CHECKPOINT_MARGIN)) {
            return Err(StartRefusal::NotReady);
        }
        Ok(())
    }

    /// Checks a start and reserves what it needs.
    ///
    /// A refused token never starts later, because the owner records the refusal
    /// as the end of the placement. A refusal for a stale epoch cannot be recorded,
    /// so the newer owner may still start that token. Before the inventory is taken
    /// a refusal must not be passed on: an earlier incarnation may have started it.
    pub fn begin_start(
        &mut self,
        now: Moment,
        start: &TaskStart,
    ) -> Result<StartStep, StartRefusal> {
        if let Some(step) = self.repeated(start.token) {
            return step;
        }
        let result = self.reserve(now, start);
        if let Err(refusal) = result
            && refusal != StartRefusal::EpochStale
            && let Some(table) = &mut self.table
        {
            table.forbid(start.token);
        }
        result
    }

    fn reserve(&mut self, now: Moment, start: &TaskStart) -> Result<StartStep, StartRefusal> {
        if start.agent_incarnation != self.identity.incarnation
            || start.shard != self.identity.shard
        {
            return Err(StartRefusal::NotReady);
        }
        self.gate(now, start.epoch)?;
        self.epoch = start.epoch;
        let Some(table) = &mut self.table else { return Err(StartRefusal::NotReady) };
        // The previous placement of the task has not ended here yet.
        if table.holds_task(&start.task) {
            return Err(StartRefusal::NotReady);
        }
        let placed = PlacedTask {
            token: start.token,
            task: start.task.clone(),
            kind: start.kind.clone(),
            need: start.need,
        };
        match table.reserve(placed) {
            Ok(()) => Ok(StartStep::Launch),
            Err(CapacityError::DoesNotFit(kind)) => Err(StartRefusal::DoesNotFit(kind)),
            Err(CapacityError::AlreadyReserved(_)) => Ok(StartStep::Repeated),
        }
    }

    /// Answer to a start of a token that was seen before.
    fn repeated(&self, token: Token) -> Option<Result<StartStep, StartRefusal>> {
        let table = self.table.as_ref()?;
        if table.get(token).is_some() {
            return Some(Ok(StartStep::Repeated));
        }
        match table.end_of(token) {
            Some(PlacementEnd::Refused(refusal)) => Some(Err(*refusal)),
            Some(_) => Some(Ok(StartStep::Repeated)),
            None if table.is_spent(token) => Some(Err(StartRefusal::NotReady)),
            None => None,
        }
    }

    /// Last check before the worker is called: the lease to start the task under.
    ///
    /// Ends the reservation if the task may no longer start.
    pub fn launch_lease(
        &mut self,
        now: Moment,
        token: Token,
        epoch: Epoch,
    ) -> Result<Millis, StartRefusal> {
        let gate = self.gate(now, epoch);
        let left = self.worker_term(now);
        let Some(table) = &mut self.table else { return Err(StartRefusal::NotReady) };
        let refusal = match (gate, table.get(token)) {
            (Ok(()), Some(LiveTask::Reserved(_))) => return Ok(left),
            (Ok(()), _) => StartRefusal::NotReady,
            (Err(refusal), _) => refusal,
        };
        table.refuse(now, token, refusal);
        Err(refusal)
    }

    /// Takes note of the worker's answer to a start.
    pub fn launched(&mut self, now: Moment, token: Token, answer: LaunchAnswer) {
        if let Some(table) = &mut self.table {
            table.launched(now, token, answer);
        }
    }

    /// Checks a stop and marks the task as stopping.
    pub fn begin_stop(&mut self, stop: &TaskStop) -> Result<StopStep, TaskRefusal> {
        if stop.shard != self.identity.shard || !self.note_epoch(stop.epoch) {
            return Err(TaskRefusal::EpochStale);
        }
        let Some(table) = &mut self.table else { return Err(TaskRefusal::NotReady) };
        if let Some(end) = table.end_of(stop.token) {
            return Ok(StopStep::Ended(end.clone()));
        }
        if table.get(stop.token).is_none() {
            if !matches!(stop.mode, StopMode::Throttle(_)) {
                table.forbid(stop.token);
            }
            return Ok(StopStep::NotRunning);
        }
        match stop.mode {
            StopMode::Throttle(percent) => Ok(StopStep::Throttle(percent)),
            StopMode::CheckpointAndStop => Ok(self.order_stop(stop.token, false)),
            StopMode::Cancel => Ok(self.order_stop(stop.token, true)),
        }
    }

    fn order_stop(&mut self, token: Token, cancel: bool) -> StopStep {
        if let Some(table) = &mut self.table {
            table.stop(token, cancel);
        }
        StopStep::Stop
    }

    /// Takes note of the worker's answer to a stop that was sent at `sent`.
    pub fn stopped(&mut self, now: Moment, sent: Moment, token: Token, answer: StopAnswer) {
        if let Some(table) = &mut self.table {
            table.stopped(now, sent, token, answer);
        }
    }

    pub fn throttled(&mut self, token: Token, percent: u8) {
        if let Some(table) = &mut self.table {
            table.throttled(token, percent);
        }
    }

    /// Compares the tasks with an inventory asked for at `sent`.
    pub fn reconcile(&mut self, now: Moment, sent: Moment, inventory: &TaskInventory) {
        if let Some(table) = &mut self.table {
            table.reconcile(now, sent, inventory);
        }
    }

    /// Marks all tasks as stopping when the lease is about to pass, or on a drain.
    ///
    /// Returns the tokens that were not being stopped before.
    pub fn stop_unentitled(&mut self, now: Moment) -> Vec<Token> {
        if self.holds_lease(now.after(CHECKPOINT_MARGIN)) && !self.draining {
            return Vec::new();
        }
        self.stop_all()
    }

    fn stop_all(&mut self) -> Vec<Token> {
        let Some(table) = &mut self.table else { return Vec::new() };
        let going = table.live().filter(|live| !matches!(live, LiveTask::Stopping(_)));
        let tokens: Vec<Token> = going.map(|live| live.placed().token).collect();
        for token in &tokens {
            table.stop(*token, false);
        }
        tokens
    }

    /// Tasks whose stop has to be asked of the worker, and whether their job was
    /// cancelled. While a start is being sent its answer comes first.
    #[must_use]
    pub fn stopping(&self) -> Vec<(Token, bool)> {
        let live = self.table.iter().flat_map(TaskTable::live);
        let stopping = live.filter_map(|live| match live {
            LiveTask::Stopping(task) if task.doubt != Some(StartDoubt::Asking) => {
                Some((task.placed.token, task.cancel))
            }
            _ => None,
        });
        stopping.collect()
    }

    /// Tokens and term of the next renewal at the worker, if the lease allows one.
    ///
    /// A task whose start is in doubt is renewed too, as it may be running. One
    /// that is being stopped is not, as it may have been placed elsewhere.
    #[must_use]
    pub fn renewal(&self, now: Moment) -> Option<(Vec<Token>, Millis)> {
        if !self.granted || !self.holds_lease(now) {
            return None;
        }
        let entitled = self.table()?.live().filter(|t| !matches!(t, LiveTask::Stopping(_)));
        let tokens: Vec<Token> = entitled.map(|live| live.placed().token).collect();
        (!tokens.is_empty()).then(|| (tokens, self.worker_term(now)))
    }

    /// Never beyond the own deadline, and short enough that the worker stops
    /// the tasks within seconds if this process dies during a log outage.
    fn worker_term(&self, now: Moment) -> Millis {
        self.lease_left(now).min(TASK_LEASE)
    }

    /// Tasks for the heartbeat.
    #[must_use]
    pub fn held(&self) -> Vec<HeldTask> {
        let live = self.table.iter().flat_map(TaskTable::live);
        let held = live.map(|live| {
            let placed = live.placed().clone();
            HeldTask {
                token: placed.token,
                task: placed.task,
                kind: placed.kind,
                need: placed.need,
                state: live.state(),
            }
        });
        held.collect()
    }

    /// Ends for the heartbeat.
    #[must_use]
    pub fn ended(&self) -> Vec<EndedTask> {
        let ended = self.table.iter().flat_map(TaskTable::ended);
        let ended = ended.map(|task| EndedTask {
            token: task.token,
            task: task.task.clone(),
            end: task.end.clone(),
        });
        ended.collect()
    }
}
