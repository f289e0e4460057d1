//! The agent's lease, the newest owner epoch and the tasks that run under them.
//!
//! Decides which starts and stops are accepted, which tasks have to be stopped
//! and which leases the worker gets. Performs no I/O and reads no clock:
//! [`task_actor`](crate::task_actor) makes the calls and records their answers here.

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

use crate::lifecycle::{LiveTask, PlacedTask, UnconfirmedStart};
use crate::table::{LaunchAnswer, StopAnswer, TaskTable};

/// Time before the end of the lease at which tasks are stopped, so that they can still
/// be checkpointed: at the end of the lease the worker stops them without a checkpoint.
const CHECKPOINT_MARGIN: Millis = 1_000;

/// The agent that a manager decides for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ManagerIdentity {
    pub incarnation: Incarnation,
    pub shard: ShardName,
    pub data_centre: DataCentre,
}

/// Next step of an accepted start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartStep {
    /// Resources are reserved; ask [`TaskManager::launch_lease`] and call the worker.
    Launch,
    /// The same start was accepted before.
    Repeated,
}

/// Next step of an accepted stop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StopStep {
    /// Call the worker and wait for the end of the task.
    Stop,
    /// Set this speed, in percent, at the worker.
    Throttle(u8),
    Ended(PlacementEnd),
    /// The token is unknown; unless the order was a throttle, it can no longer start.
    NotRunning,
}

/// Changes made by a heartbeat reply.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplyEffect {
    pub config_changed: bool,
    /// Tokens whose ends the worker no longer has to list.
    pub recorded: Vec<Token>,
}

/// A heartbeat reply of an owner that has been replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StaleReply;

/// Lease, owner epoch and tasks of one agent.
#[derive(Clone, Debug)]
pub struct TaskManager {
    identity: ManagerIdentity,
    epoch: Epoch,
    config: ConfigState,
    view: ConfirmedView,
    lease: HeldLease,
    /// Whether an owner granted the lease; otherwise it is the remainder of the leases
    /// that the worker held when this process started.
    granted: bool,
    draining: bool,
    /// `None` until the worker's inventory is loaded.
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
    pub fn lease_remaining(&self, now: Moment) -> Millis {
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

    /// Loads the worker's inventory, which was requested at `sent`.
    ///
    /// Tasks of an earlier incarnation keep running under the leases that the worker
    /// still holds. These are renewed once an owner has answered.
    pub fn load_inventory(
        &mut self,
        now: Moment,
        sent: Moment,
        capacity: ResourceVector,
        inventory: &TaskInventory,
    ) {
        let mut table = TaskTable::new(capacity);
        table.adopt(now, inventory);
        self.table = Some(table);
        let remaining = inventory.running.iter().map(|task| task.lease_left_ms).max();
        self.lease = HeldLease::granted(sent, remaining.unwrap_or(0));
    }

    /// Adopts the epoch of an owner; `false` if a newer epoch is known.
    pub fn adopt_epoch(&mut self, epoch: Epoch) -> bool {
        self.epoch = self.epoch.max(epoch);
        self.epoch == epoch
    }

    /// Lease request for a heartbeat sent at `now`.
    pub fn request_lease(&mut self, now: Moment) -> LeaseRequest {
        self.lease.request_renewal(now, self.epoch)
    }

    /// Applies the reply to the heartbeat that was sent at `sent` with lease request
    /// `number`.
    ///
    /// Tasks are stopped if the lease expired before the reply, even if the reply renews
    /// it: the owner may have placed them elsewhere.
    pub fn apply_reply(
        &mut self,
        now: Moment,
        sent: Moment,
        number: u64,
        reply: &HeartbeatReply,
    ) -> Result<ReplyEffect, StaleReply> {
        if !self.adopt_epoch(reply.epoch) {
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
        let recorded = self.table.as_mut().map(|table| table.forget_recorded(&reply.recorded));
        Ok(ReplyEffect {
            config_changed: self.config.revision() != before,
            recorded: recorded.unwrap_or_default(),
        })
    }

    /// Whether any task may start now.
    fn check_start(&self, now: Moment, epoch: Epoch) -> Result<(), StartRefusal> {
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
        // Leases found at the worker were granted for its running tasks, not for new ones.
        if !self.granted || !self.holds_lease(now.after(CHECKPOINT_MARGIN)) {
            return Err(StartRefusal::NotReady);
        }
        Ok(())
    }

    /// Checks a start and reserves the resources it needs.
    ///
    /// A refused token never starts later, because the owner records the refusal as the
    /// end of the placement. An owner with a stale epoch cannot record the refusal, so
    /// the newer owner may still start that token. Before the inventory is loaded the
    /// caller must not answer with a refusal: an earlier incarnation may have started
    /// the task.
    pub fn begin_start(
        &mut self,
        now: Moment,
        start: &TaskStart,
    ) -> Result<StartStep, StartRefusal> {
        if let Some(step) = self.previous_answer(start.token) {
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
        self.check_start(now, start.epoch)?;
        self.epoch = start.epoch;
        let Some(table) = &mut self.table else { return Err(StartRefusal::NotReady) };
        // An earlier placement of the task has not ended on this VM.
        if table.has_live_task(&start.task) {
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

    /// Answer to a start of a known token; `None` if the token is new.
    fn previous_answer(&self, token: Token) -> Option<Result<StartStep, StartRefusal>> {
        let table = self.table.as_ref()?;
        if table.get(token).is_some() {
            return Some(Ok(StartStep::Repeated));
        }
        match table.end_of(token) {
            Some(PlacementEnd::Refused(refusal)) => Some(Err(*refusal)),
            Some(_) => Some(Ok(StartStep::Repeated)),
            None if table.is_retired(token) => Some(Err(StartRefusal::NotReady)),
            None => None,
        }
    }

    /// Last check before the worker is called; returns the task's lease in milliseconds.
    ///
    /// Ends the reservation if the task may no longer start.
    pub fn launch_lease(
        &mut self,
        now: Moment,
        token: Token,
        epoch: Epoch,
    ) -> Result<Millis, StartRefusal> {
        let check = self.check_start(now, epoch);
        let lease = self.worker_lease(now);
        let Some(table) = &mut self.table else { return Err(StartRefusal::NotReady) };
        let refusal = match (check, table.get(token)) {
            (Ok(()), Some(LiveTask::Reserved(_))) => return Ok(lease),
            (Ok(()), _) => StartRefusal::NotReady,
            (Err(refusal), _) => refusal,
        };
        table.refuse(now, token, refusal);
        Err(refusal)
    }

    /// Records the worker's answer to a start.
    pub fn record_launch(&mut self, now: Moment, token: Token, answer: LaunchAnswer) {
        if let Some(table) = &mut self.table {
            table.record_launch(now, token, answer);
        }
    }

    /// Checks a stop and marks the task as stopping.
    pub fn begin_stop(&mut self, stop: &TaskStop) -> Result<StopStep, TaskRefusal> {
        if stop.shard != self.identity.shard || !self.adopt_epoch(stop.epoch) {
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
            StopMode::CheckpointAndStop => Ok(self.mark_stopping(stop.token, false)),
            StopMode::Cancel => Ok(self.mark_stopping(stop.token, true)),
        }
    }

    fn mark_stopping(&mut self, token: Token, cancel: bool) -> StopStep {
        if let Some(table) = &mut self.table {
            table.stop(token, cancel);
        }
        StopStep::Stop
    }

    /// Records the worker's answer to a stop that was sent at `sent`.
    pub fn record_stop(&mut self, now: Moment, sent: Moment, token: Token, answer: StopAnswer) {
        if let Some(table) = &mut self.table {
            table.record_stop(now, sent, token, answer);
        }
    }

    pub fn record_throttle(&mut self, token: Token, percent: u8) {
        if let Some(table) = &mut self.table {
            table.record_throttle(token, percent);
        }
    }

    /// Reconciles the tasks with an inventory that was requested at `sent`.
    pub fn reconcile(&mut self, now: Moment, sent: Moment, inventory: &TaskInventory) {
        if let Some(table) = &mut self.table {
            table.reconcile(now, sent, inventory);
        }
    }

    /// Marks all tasks as stopping if the lease is about to expire or the agent drains.
    ///
    /// Returns the tokens that were not stopping before.
    pub fn stop_if_not_allowed(&mut self, now: Moment) -> Vec<Token> {
        if self.holds_lease(now.after(CHECKPOINT_MARGIN)) && !self.draining {
            return Vec::new();
        }
        self.stop_all()
    }

    fn stop_all(&mut self) -> Vec<Token> {
        let Some(table) = &mut self.table else { return Vec::new() };
        let active = table.live().filter(|live| !matches!(live, LiveTask::Stopping(_)));
        let tokens: Vec<Token> = active.map(|live| live.placed().token).collect();
        for token in &tokens {
            table.stop(*token, false);
        }
        tokens
    }

    /// Tokens that the worker has to be asked to stop, and whether their job was
    /// cancelled. Leaves out tasks whose start is still being sent.
    #[must_use]
    pub fn stopping(&self) -> Vec<(Token, bool)> {
        let live = self.table.iter().flat_map(TaskTable::live);
        let stopping = live.filter_map(|live| match live {
            LiveTask::Stopping(task) if task.unconfirmed != Some(UnconfirmedStart::Sending) => {
                Some((task.placed.token, task.cancel))
            }
            _ => None,
        });
        stopping.collect()
    }

    /// Tokens and lease, in milliseconds, of the next renewal at the worker, if the
    /// agent's lease allows one.
    ///
    /// Includes tasks whose start is unconfirmed, as they may be running. Leaves out
    /// stopping tasks, as they may have been placed elsewhere.
    #[must_use]
    pub fn renewal(&self, now: Moment) -> Option<(Vec<Token>, Millis)> {
        if !self.granted || !self.holds_lease(now) {
            return None;
        }
        let renewable = self.table()?.live().filter(|t| !matches!(t, LiveTask::Stopping(_)));
        let tokens: Vec<Token> = renewable.map(|live| live.placed().token).collect();
        (!tokens.is_empty()).then(|| (tokens, self.worker_lease(now)))
    }

    /// Lease for the worker's tasks: never longer than the agent's own, and short enough
    /// that the worker stops them within seconds if this process dies in a log outage.
    fn worker_lease(&self, now: Moment) -> Millis {
        self.lease_remaining(now).min(TASK_LEASE)
    }

    /// Live tasks, as the heartbeat lists them.
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

    /// Ends that the owner has not recorded, as the heartbeat lists them.
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
