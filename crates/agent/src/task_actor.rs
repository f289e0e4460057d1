//! The actor that starts and stops tasks on the worker of this VM.
//!
//! [`TaskManager`] decides. This module, [`heartbeats`](crate::heartbeats) and
//! [`maintenance`](crate::maintenance) make the calls that the manager allows, record
//! the answers there and report task ends.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix::{Actor, Addr, Context, Handler, Message, MessageResult, Recipient, ResponseFuture};
use cactusdoor_core::job::{PlacementEnd, StartRefusal};
use cactusdoor_core::name::ShardName;
use cactusdoor_core::unit::{Epoch, Millis, Moment, Token};
use cactusdoor_node::clock::MonotonicClock;
use cactusdoor_node::monitor::ProcessMonitor;
use cactusdoor_peer::heartbeat::{AgentIdentity, OwnerNotice, UsageSample};
use cactusdoor_peer::task::{StopReply, TaskRefusal, TaskStart, TaskStop};
use cactusdoor_timeline::EventKind;
use cactusdoor_worker::{
    StartError, StopOrder, TaskLaunch, ThrottleOrder, TokenError, WorkerClient,
};
use futures::future::join_all;
use tokio::sync::Notify;

use crate::manager::{ManagerIdentity, StartStep, StopStep, TaskManager};
use crate::metrics::AgentMetrics;
use crate::owner_client::OwnerClient;
use crate::ownership::OwnershipRecipients;
use crate::relay::ListUpstreams;
use crate::routes::{AgentReport, ConfigReport};
use crate::table::{LaunchAnswer, StopAnswer, TaskTable};

/// Longest wait of a stop request for the end of its task. The stop continues
/// afterwards, and a heartbeat reports the end.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest wait of a drain for the owner to record the task ends. Afterwards the worker
/// still lists them, so that the next agent process reports them.
const RECORD_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts tasks whose placement is stored in the log.
#[derive(Message)]
#[rtype(result = "Vec<Result<(), StartRefusal>>")]
pub struct StartTasks(pub Vec<TaskStart>);

/// Throttles or stops tasks.
#[derive(Message)]
#[rtype(result = "Vec<Result<StopReply, TaskRefusal>>")]
pub struct StopTasks(pub Vec<TaskStop>);

/// Reports that a new owner announced itself.
#[derive(Message)]
#[rtype(result = "()")]
pub struct AnnounceOwner(pub OwnerNotice);

/// Stops all tasks with checkpoints; answered once the owner has recorded their ends,
/// or after a time limit.
#[derive(Message)]
#[rtype(result = "()")]
pub struct DrainTasks;

/// Asks for `GET /v1/agent`.
#[derive(Message)]
#[rtype(result = "AgentReport")]
pub struct DescribeAgent;

/// Asks for `GET /v1/config`.
#[derive(Message)]
#[rtype(result = "ConfigReport")]
pub struct DescribeConfig;

/// Settings and services of the process that the task actor uses.
pub struct TaskActorSettings {
    pub identity: AgentIdentity,
    pub shard: ShardName,
    pub clock: MonotonicClock,
    pub monitor: ProcessMonitor,
    pub worker: WorkerClient,
    pub worker_poll: Millis,
    pub ownership: OwnershipRecipients,
    pub upstreams: Recipient<ListUpstreams>,
    pub metrics: AgentMetrics,
}

/// The process that the agent regards as the shard's owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownOwner {
    pub epoch: Epoch,
    pub address: SocketAddr,
}

pub(crate) struct TaskActorState {
    pub(crate) settings: TaskActorSettings,
    pub(crate) manager: RefCell<TaskManager>,
    pub(crate) owner: Cell<Option<KnownOwner>>,
    /// Time of the last heartbeat answer, at first the start of the process.
    pub(crate) last_answer: Cell<Moment>,
    /// Whether a search for the owner is running.
    pub(crate) searching: Cell<bool>,
    pub(crate) owner_client: OwnerClient,
    /// Newest usage samples and when they were received.
    pub(crate) usage: RefCell<(Moment, Vec<UsageSample>)>,
    /// Notified when a heartbeat should be sent at once.
    pub(crate) heartbeat_wanted: Notify,
    /// Notified when the first inventory is loaded.
    pub(crate) inventory_loaded: Notify,
    /// Notified after each heartbeat reply.
    pub(crate) renewed: Notify,
    /// Notified when tasks may have ended.
    pub(crate) ended: Notify,
    /// Tokens of reported ends that the owner has not recorded.
    reported: RefCell<BTreeSet<Token>>,
    /// Tokens whose stop the worker has not answered.
    stops_in_flight: RefCell<BTreeSet<Token>>,
}

/// Starts, renews and stops the tasks of a VM.
pub struct TaskActor {
    state: Rc<TaskActorState>,
}

impl TaskActor {
    /// Starts the task actor on the current thread.
    #[must_use]
    pub fn spawn(settings: TaskActorSettings) -> Addr<Self> {
        let manager = TaskManager::new(ManagerIdentity {
            incarnation: settings.identity.incarnation,
            shard: settings.shard.clone(),
            data_centre: settings.identity.data_centre.clone(),
        });
        let now = settings.clock.now();
        let state = TaskActorState {
            settings,
            manager: RefCell::new(manager),
            owner: Cell::new(None),
            last_answer: Cell::new(now),
            searching: Cell::new(false),
            owner_client: OwnerClient::default(),
            usage: RefCell::new((now, Vec::new())),
            heartbeat_wanted: Notify::new(),
            inventory_loaded: Notify::new(),
            renewed: Notify::new(),
            ended: Notify::new(),
            reported: RefCell::default(),
            stops_in_flight: RefCell::default(),
        };
        Self { state: Rc::new(state) }.start()
    }
}

impl Actor for TaskActor {
    type Context = Context<Self>;

    fn started(&mut self, _: &mut Self::Context) {
        actix_rt::spawn(Rc::clone(&self.state).send_heartbeats());
        actix_rt::spawn(Rc::clone(&self.state).poll_worker());
        actix_rt::spawn(Rc::clone(&self.state).enforce_lease());
        actix_rt::spawn(Rc::clone(&self.state).renew_leases());
    }
}

impl Handler<StartTasks> for TaskActor {
    type Result = ResponseFuture<Vec<Result<(), StartRefusal>>>;

    fn handle(&mut self, StartTasks(starts): StartTasks, _: &mut Context<Self>) -> Self::Result {
        let state = Rc::clone(&self.state);
        Box::pin(async move { join_all(starts.into_iter().map(|it| state.start(it))).await })
    }
}

impl Handler<StopTasks> for TaskActor {
    type Result = ResponseFuture<Vec<Result<StopReply, TaskRefusal>>>;

    fn handle(&mut self, StopTasks(stops): StopTasks, _: &mut Context<Self>) -> Self::Result {
        let state = Rc::clone(&self.state);
        Box::pin(async move { join_all(stops.into_iter().map(|it| state.stop(it))).await })
    }
}

impl Handler<AnnounceOwner> for TaskActor {
    type Result = ();

    fn handle(&mut self, AnnounceOwner(notice): AnnounceOwner, _: &mut Context<Self>) {
        self.state.adopt_owner(&notice);
    }
}

impl Handler<DrainTasks> for TaskActor {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _: DrainTasks, _: &mut Context<Self>) -> Self::Result {
        let state = Rc::clone(&self.state);
        Box::pin(async move { state.drain().await })
    }
}

impl Handler<DescribeAgent> for TaskActor {
    type Result = MessageResult<DescribeAgent>;

    fn handle(&mut self, _: DescribeAgent, _: &mut Context<Self>) -> Self::Result {
        MessageResult(self.state.describe())
    }
}

impl Handler<DescribeConfig> for TaskActor {
    type Result = MessageResult<DescribeConfig>;

    fn handle(&mut self, _: DescribeConfig, _: &mut Context<Self>) -> Self::Result {
        MessageResult(self.state.describe_config())
    }
}

impl TaskActorState {
    pub(crate) fn now(&self) -> Moment {
        self.settings.clock.now()
    }

    async fn start(self: &Rc<Self>, start: TaskStart) -> Result<(), StartRefusal> {
        self.settings.monitor.events.observe(start.at);
        while self.manager.borrow().table().is_none() {
            self.inventory_loaded.notified().await;
        }
        let result = self.try_start(&start).await;
        let outcome = match &result {
            Ok(()) => "accepted",
            Err(StartRefusal::DoesNotFit(_)) => "does_not_fit",
            Err(StartRefusal::DataCentreOut) => "data_centre_out",
            Err(StartRefusal::ConfigurationStale) => "configuration_stale",
            Err(StartRefusal::EpochStale) => "epoch_stale",
            Err(StartRefusal::Draining) => "draining",
            Err(StartRefusal::NotReady) => "not_ready",
            Err(StartRefusal::WorkerFailed) => "worker_failed",
        };
        self.settings.metrics.starts.with_label_values(&[outcome]).inc();
        if let Err(reason) = result {
            self.record(EventKind::StartRefused {
                task: start.task,
                token: start.token,
                vm: self.settings.identity.vm.clone(),
                reason,
            });
        }
        result
    }

    /// Checks a start and calls the worker.
    ///
    /// An uncertain answer counts as accepted: the reservation stays until the worker's
    /// inventories show the outcome, and a heartbeat then reports the end if there is one.
    async fn try_start(self: &Rc<Self>, start: &TaskStart) -> Result<(), StartRefusal> {
        let step = self.manager.borrow_mut().begin_start(self.now(), start)?;
        if step == StartStep::Repeated {
            return Ok(());
        }
        let lease = self.manager.borrow_mut().launch_lease(self.now(), start.token, start.epoch);
        let launch = TaskLaunch {
            task: start.task.clone(),
            kind: start.kind.clone(),
            need: start.need,
            run_time_ms: start.run_time_ms,
            endless: start.class.is_endless(),
            checkpoint: start.checkpoint.clone(),
            lease_ms: lease.inspect_err(|_| self.report_ends())?,
        };
        let answer = match self.settings.worker.start(start.token, &launch).await {
            Ok(_) => LaunchAnswer::Runs,
            Err(StartError::NotStarted(reason)) => {
                log::warn!(token = start.token; "worker did not start a task: {reason}");
                LaunchAnswer::NotStarted
            }
            Err(StartError::Uncertain(error)) => {
                log::warn!(token = start.token; "task start is not confirmed yet: {error}");
                LaunchAnswer::Uncertain
            }
        };
        self.manager.borrow_mut().record_launch(self.now(), start.token, answer);
        self.report_ends();
        match answer {
            LaunchAnswer::NotStarted => Err(StartRefusal::WorkerFailed),
            LaunchAnswer::Uncertain => Ok(()),
            LaunchAnswer::Runs => {
                self.record(EventKind::TaskStarted {
                    task: start.task.clone(),
                    token: start.token,
                    vm: self.settings.identity.vm.clone(),
                });
                // During the call a stop may have arrived or the lease may have expired.
                self.stop_if_not_allowed();
                Ok(())
            }
        }
    }

    async fn stop(self: &Rc<Self>, stop: TaskStop) -> Result<StopReply, TaskRefusal> {
        self.settings.monitor.events.observe(stop.at);
        let step = self.manager.borrow_mut().begin_stop(&stop)?;
        match step {
            StopStep::Ended(end) => Ok(StopReply::Ended(end)),
            StopStep::NotRunning => Ok(StopReply::NotRunning),
            StopStep::Throttle(percent) => self.throttle(&stop, percent).await,
            StopStep::Stop => {
                self.send_stops();
                let ended = tokio::time::timeout(STOP_TIMEOUT, self.end_of(stop.token)).await;
                match ended {
                    Ok(Some(end)) => Ok(StopReply::Ended(end)),
                    Ok(None) => Ok(StopReply::NotRunning),
                    Err(_) => Err(TaskRefusal::WorkerFailed),
                }
            }
        }
    }

    async fn throttle(&self, stop: &TaskStop, percent: u8) -> Result<StopReply, TaskRefusal> {
        let order = ThrottleOrder { percent };
        match self.settings.worker.throttle(stop.token, order).await {
            Ok(()) => {
                self.manager.borrow_mut().record_throttle(stop.token, percent);
                self.record(EventKind::TaskThrottled {
                    task: stop.task.clone(),
                    token: stop.token,
                    vm: self.settings.identity.vm.clone(),
                    percent,
                });
                Ok(StopReply::Throttled)
            }
            Err(error) => {
                log::warn!(token = stop.token; "could not throttle a task: {error}");
                Err(TaskRefusal::WorkerFailed)
            }
        }
    }

    /// Waits for the end of a task; `None` if the end was recorded and forgotten.
    async fn end_of(&self, token: Token) -> Option<PlacementEnd> {
        loop {
            {
                let manager = self.manager.borrow();
                let table = manager.table()?;
                if let Some(end) = table.end_of(token) {
                    return Some(end.clone());
                }
                table.get(token)?;
            }
            self.ended.notified().await;
        }
    }

    /// Stops all tasks if the lease is about to expire or the agent drains.
    pub(crate) fn stop_if_not_allowed(self: &Rc<Self>) {
        let stopped = self.manager.borrow_mut().stop_if_not_allowed(self.now());
        if !stopped.is_empty() && !self.manager.borrow().is_draining() {
            log::warn!(tasks = stopped.len(); "lease is about to expire; stopping all tasks");
            self.record(EventKind::LeaseLapsed {
                vm: self.settings.identity.vm.clone(),
                shard: self.settings.shard.clone(),
            });
        }
        self.send_stops();
    }

    /// Sends a stop to the worker for each stopping task that has none in flight.
    pub(crate) fn send_stops(self: &Rc<Self>) {
        for (token, cancel) in self.manager.borrow().stopping() {
            if self.stops_in_flight.borrow_mut().insert(token) {
                let state = Rc::clone(self);
                actix_rt::spawn(async move { state.send_stop(token, cancel).await });
            }
        }
    }

    async fn send_stop(&self, token: Token, cancel: bool) {
        let order = StopOrder { checkpoint: !cancel };
        let sent = self.now();
        let answer = match self.settings.worker.stop(token, order).await {
            Ok(end) => StopAnswer::Ended(end),
            Err(TokenError::UnknownToken) => StopAnswer::UnknownToken,
            Err(TokenError::Call(error)) => {
                log::warn!(token = token; "could not stop a task: {error}");
                StopAnswer::Uncertain
            }
        };
        self.manager.borrow_mut().record_stop(self.now(), sent, token, answer);
        self.stops_in_flight.borrow_mut().remove(&token);
        self.report_ends();
    }

    /// Reports ends that were not reported before.
    pub(crate) fn report_ends(&self) {
        let manager = self.manager.borrow();
        let Some(table) = manager.table() else { return };
        let mut reported = self.reported.borrow_mut();
        let mut new = false;
        for task in table.ended() {
            if reported.insert(task.token) {
                new = true;
                self.settings.metrics.ends.with_label_values(&[end_label(&task.end)]).inc();
                self.record(EventKind::TaskEnded {
                    task: task.task.clone(),
                    token: task.token,
                    vm: self.settings.identity.vm.clone(),
                    end: task.end.clone(),
                });
            }
        }
        reported.retain(|token| table.end_of(*token).is_some());
        if new {
            self.heartbeat_wanted.notify_one();
        }
        self.ended.notify_waiters();
    }

    fn adopt_owner(&self, notice: &OwnerNotice) {
        if notice.shard != self.settings.shard {
            return;
        }
        let known = self.owner.get();
        if self.manager.borrow_mut().adopt_epoch(notice.epoch)
            && known.is_none_or(|known| known.epoch < notice.epoch)
        {
            self.owner.set(Some(KnownOwner { epoch: notice.epoch, address: notice.address }));
            self.heartbeat_wanted.notify_one();
        }
    }

    async fn drain(self: &Rc<Self>) {
        self.manager.borrow_mut().drain();
        self.stop_if_not_allowed();
        self.wait_until(|table| table.live().next().is_none()).await;
        self.heartbeat_wanted.notify_one();
        let recorded = self.wait_until(|table| table.ended().next().is_none());
        if tokio::time::timeout(RECORD_TIMEOUT, recorded).await.is_err() {
            log::warn!(
                "owner did not record all task ends in time; the next agent process reports them"
            );
        }
    }

    /// Waits until the task table satisfies a condition.
    async fn wait_until(&self, condition: impl Fn(&TaskTable) -> bool) {
        while self.manager.borrow().table().is_some_and(|table| !condition(table)) {
            self.ended.notified().await;
        }
    }

    pub(crate) fn record(&self, kind: EventKind) {
        self.settings.monitor.events.record(kind);
    }

    fn describe(&self) -> AgentReport {
        let manager = self.manager.borrow();
        let reservations = manager.table().map(TaskTable::reservations);
        AgentReport {
            agent: self.settings.identity.clone(),
            shard: self.settings.shard.clone(),
            epoch: manager.epoch(),
            owner: self.owner.get().map(|owner| owner.address),
            lease_left_ms: manager.lease_remaining(self.now()),
            draining: manager.is_draining(),
            inventory_taken: reservations.is_some(),
            capacity: reservations.map(|it| it.capacity()).unwrap_or_default(),
            committed: reservations.map(|it| it.committed()).unwrap_or_default(),
            held: manager.held(),
            ended: manager.ended(),
        }
    }

    fn describe_config(&self) -> ConfigReport {
        let manager = self.manager.borrow();
        ConfigReport {
            revision: manager.config().revision(),
            confirmed_age_ms: manager.view().age(self.now()),
        }
    }
}

fn end_label(end: &PlacementEnd) -> &'static str {
    match end {
        PlacementEnd::Finished { .. } => "finished",
        PlacementEnd::Failed => "failed",
        PlacementEnd::Evicted { .. } => "evicted",
        PlacementEnd::Lapsed => "lapsed",
        PlacementEnd::Refused(_) => "refused",
        PlacementEnd::Cancelled => "cancelled",
    }
}
