//! The actor that finds the owners of shards for its agent, claims shards whose owners
//! are lost, and forwards heartbeats to the shards owned by this process.
//!
//! It claims the shard of another owner only if that owner was silent for `OWNER_TIMEOUT`
//! (`REMOTE_OWNER_TIMEOUT` outside the shard of this VM) and does not answer a probe.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix::{
    Actor, ActorFutureExt, Addr, AsyncContext, Context, Handler, Message, ResponseFuture,
    WrapFuture,
};
use cactusdoor_core::config::ConfigFold;
use cactusdoor_core::constants::{CLAIM_JITTER, OWNER_TIMEOUT, REMOTE_OWNER_TIMEOUT};
use cactusdoor_core::envelope::WriterId;
use cactusdoor_core::name::ShardName;
use cactusdoor_core::rendezvous::stream;
use cactusdoor_core::shard::{ShardOwnership, TaskRecord};
use cactusdoor_core::unit::Millis;
use cactusdoor_log::appender::GroupAppender;
use cactusdoor_log::client::LogClient;
use cactusdoor_log::snapshot::{LoadError, load};
use cactusdoor_node::clock::MonotonicClock;
use cactusdoor_peer::heartbeat::{AgentHeartbeat, AgentIdentity, HeartbeatRefusal, HeartbeatReply};
use cactusdoor_timeline::EventLog;
use futures::future::join_all;
use prometheus::Registry;
use thiserror::Error;
use tokio::sync::{Mutex, watch};
use tokio::time::{sleep, timeout};

use crate::finder::{ReadShard, answers_as_owner, read_shard, read_tail};
use crate::metrics::OwnerMetrics;
use crate::peers::PeerPool;
use crate::scheduler::{SchedulerSettings, ShardScheduler};
use crate::shard_actor::{ReleaseShard, ShardActor, ShardHeartbeat, ShardPhase};

/// Least time between two grouped appends to one stream. 11 shards then make at most 220
/// appends a second, of several hundred that the log service accepts.
const GROUP_INTERVAL: Millis = 50;
/// Longest wait for a claim to be read back.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest random delay before a shard of a lost data centre is claimed. It is longer
/// than within a shard because all agents elsewhere are candidates.
const REMOTE_CLAIM_JITTER: Millis = 10_000;

/// Settings and services of the process that the host uses.
pub struct HostSettings {
    pub identity: AgentIdentity,
    pub writer: WriterId,
    /// All shards of the system.
    pub shards: Vec<ShardName>,
    /// The shard that this VM belongs to.
    pub own_shard: ShardName,
    /// Peer addresses of some entries, for first contact.
    pub entries: Vec<SocketAddr>,
    pub log: LogClient,
    pub clock: MonotonicClock,
    pub events: EventLog,
    pub registry: Registry,
}

/// A heartbeat from another agent, or from the one in this process.
#[derive(Message)]
#[rtype(result = "Result<HeartbeatReply, HeartbeatRefusal>")]
pub struct HostHeartbeat(pub AgentHeartbeat);

/// Asks for the owner of a shard, and claims the shard if that owner is lost.
#[derive(Message)]
#[rtype(result = "Result<ShardOwnership, FindError>")]
pub struct FindOwner {
    pub shard: ShardName,
    /// Time for which the shard's owner has not answered the caller.
    pub silent_for: Millis,
}

/// Reports shards whose summary no entry has sent for `REMOTE_OWNER_TIMEOUT`.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SilentShards(pub Vec<ShardName>);

/// Releases all shards owned by this process; answered when their last appends are
/// settled.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ReleaseShards;

/// Reason why no owner was found.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FindError {
    #[error("shard {0} is not configured")]
    UnknownShard(ShardName),
    #[error("log service is unavailable")]
    LogUnavailable,
    #[error("stream of shard {0} lost records that no snapshot covers")]
    Uncovered(ShardName),
    #[error("the claim of shard {0} could not be stored")]
    ClaimNotStored(ShardName),
    #[error("shard {0} has no owner yet")]
    NoOwner(ShardName),
    #[error("this process is stopping")]
    Stopping,
}

/// State shared by the host and its actors.
pub struct HostCore {
    pub(crate) settings: HostSettings,
    pub(crate) peers: Rc<PeerPool>,
    metrics: Option<OwnerMetrics>,
    /// One appender per stream for the lifetime of the process: a second one would
    /// restart the sequence numbers, and the folds drop numbers that they have seen.
    appenders: RefCell<HashMap<ShardName, GroupAppender<TaskRecord>>>,
    local_shards: RefCell<HashMap<ShardName, LocalShard>>,
    /// Newest owners found in the streams of other shards.
    known_owners: RefCell<HashMap<ShardName, ShardOwnership>>,
    find_locks: RefCell<HashMap<ShardName, Rc<Mutex<()>>>>,
    stopping: Cell<bool>,
}

struct LocalShard {
    actor: Addr<ShardActor>,
    phase: watch::Receiver<ShardPhase>,
}

impl HostCore {
    /// Updates the metrics if they are registered.
    pub(crate) fn update_metrics(&self, change: impl FnOnce(&OwnerMetrics)) {
        if let Some(metrics) = &self.metrics {
            change(metrics);
        }
    }

    /// Returns the appender to the task stream of `shard`.
    pub(crate) fn appender(&self, shard: &ShardName) -> Option<GroupAppender<TaskRecord>> {
        let mut appenders = self.appenders.borrow_mut();
        if let Some(appender) = appenders.get(shard) {
            return Some(appender.clone());
        }
        let stream = stream::tasks(shard).ok()?;
        let (log, writer) = (self.settings.log.clone(), self.settings.writer.clone());
        let appender = GroupAppender::spawn(log, stream, writer, GROUP_INTERVAL);
        appenders.insert(shard.clone(), appender.clone());
        Some(appender)
    }

    /// Returns the actor of a shard owned here, and its ownership.
    fn owned(&self, shard: &ShardName) -> Option<(Addr<ShardActor>, ShardOwnership)> {
        let local = self.local_shards.borrow();
        let local = local.get(shard)?;
        match &*local.phase.borrow() {
            ShardPhase::Owned(ownership) => Some((local.actor.clone(), ownership.clone())),
            _ => None,
        }
    }

    async fn find(self: Rc<Self>, request: FindOwner) -> Result<ShardOwnership, FindError> {
        if !self.settings.shards.contains(&request.shard) {
            return Err(FindError::UnknownShard(request.shard));
        }
        let lock = self.find_locks.borrow_mut().entry(request.shard.clone()).or_default().clone();
        let _guard = lock.lock().await;
        match self.await_claim(&request.shard).await {
            Some(ShardPhase::Owned(ownership)) => return Ok(ownership),
            Some(ShardPhase::Claiming) => return Err(FindError::ClaimNotStored(request.shard)),
            Some(ShardPhase::Lost(_)) | None => {}
        }
        let mut read = self.read(&request.shard).await?;
        if let Some(found) = self.find_live_owner(&request, &read).await? {
            return Ok(found);
        }
        if self.stopping.get() {
            return Err(FindError::Stopping);
        }
        let delay = rand::random_range(0..=CLAIM_JITTER);
        sleep(Duration::from_millis(delay)).await;
        let epoch = read.fold.epoch();
        let tail = read_tail(&self.settings.log, &mut read).await;
        tail.map_err(|_| FindError::LogUnavailable)?;
        match read.fold.ownership() {
            Some(ownership) if read.fold.epoch() != epoch => {
                self.known_owners.borrow_mut().insert(request.shard, ownership.clone());
                Ok(ownership.clone())
            }
            _ if self.stopping.get() => Err(FindError::Stopping),
            _ => self.claim(&request.shard, read).await,
        }
    }

    async fn read(&self, shard: &ShardName) -> Result<ReadShard, FindError> {
        let read = read_shard(&self.settings.log, shard).await.map_err(|error| match error {
            LoadError::Uncovered { .. } => FindError::Uncovered(shard.clone()),
            LoadError::Read(_) | LoadError::Name(_) => FindError::LogUnavailable,
        })?;
        if let Some(ownership) = read.fold.ownership() {
            self.known_owners.borrow_mut().insert(shard.clone(), ownership.clone());
        }
        Ok(read)
    }

    /// Returns the owner to use; `None` if the shard is to be claimed.
    async fn find_live_owner(
        &self,
        request: &FindOwner,
        read: &ReadShard,
    ) -> Result<Option<ShardOwnership>, FindError> {
        let identity = &self.settings.identity;
        let silence_limit = if request.shard == self.settings.own_shard {
            OWNER_TIMEOUT
        } else {
            REMOTE_OWNER_TIMEOUT
        };
        let Some(ownership) = read.fold.ownership() else {
            if request.shard == self.settings.own_shard || request.silent_for >= silence_limit {
                return Ok(None);
            }
            return Err(FindError::NoOwner(request.shard.clone()));
        };
        if ownership.owner == identity.vm {
            // An earlier run of this process, or an ownership that it released.
            return Ok(None);
        }
        let (address, at) = (ownership.address, self.settings.events.stamp());
        let answers = answers_as_owner(&self.peers, identity, &request.shard, address, at).await;
        let wait = answers || request.silent_for < silence_limit;
        Ok(wait.then(|| ownership.clone()))
    }

    async fn claim(
        self: &Rc<Self>,
        shard: &ShardName,
        read: ReadShard,
    ) -> Result<ShardOwnership, FindError> {
        let epoch = read.fold.epoch();
        let stream = stream::config().map_err(|_| FindError::LogUnavailable)?;
        let config = load(&self.settings.log, &stream, ConfigFold::default()).await;
        let config = config.map_err(|_| FindError::LogUnavailable)?;
        let (sender, phase) = watch::channel(ShardPhase::Claiming);
        let settings = SchedulerSettings {
            shard: shard.clone(),
            identity: self.settings.identity.clone(),
            writer: self.settings.writer.clone(),
            shards: self.settings.shards.clone(),
        };
        let scheduler = ShardScheduler::new(settings, read.fold.clone());
        let core = Rc::clone(self);
        let actor = ShardActor::new(core, scheduler, &read, config.fold, stream, sender).start();
        self.local_shards.borrow_mut().insert(shard.clone(), LocalShard { actor, phase });
        match self.await_claim(shard).await {
            Some(ShardPhase::Owned(ownership) | ShardPhase::Lost(Some(ownership)))
                if ownership.epoch > epoch =>
            {
                self.known_owners.borrow_mut().insert(shard.clone(), ownership.clone());
                Ok(ownership)
            }
            _ => Err(FindError::ClaimNotStored(shard.clone())),
        }
    }

    /// Waits for a claim made here and returns its phase; `None` if there is none.
    async fn await_claim(&self, shard: &ShardName) -> Option<ShardPhase> {
        let mut phase = self.local_shards.borrow().get(shard)?.phase.clone();
        let settled = phase.wait_for(|phase| *phase != ShardPhase::Claiming);
        let settled = match timeout(CLAIM_TIMEOUT, settled).await {
            Ok(Ok(phase)) => phase.clone(),
            Ok(Err(_)) => ShardPhase::Lost(None),
            Err(_) => ShardPhase::Claiming,
        };
        if matches!(settled, ShardPhase::Lost(_)) {
            self.local_shards.borrow_mut().remove(shard);
        }
        Some(settled)
    }

    fn not_owner(&self, shard: ShardName) -> HeartbeatRefusal {
        let known = self.known_owners.borrow().get(&shard).cloned();
        let epoch = known.as_ref().map_or(0, |known| known.epoch);
        let own = self.settings.identity.address;
        let owner = known.map(|known| known.address).filter(|address| *address != own);
        HeartbeatRefusal::NotOwner { shard, epoch, owner }
    }
}

/// Finds and claims shards for an agent.
pub struct OwnerHost {
    core: Rc<HostCore>,
    searched_shards: HashSet<ShardName>,
}

impl OwnerHost {
    /// Starts the host on the current thread.
    ///
    /// It reports no metrics if the registry already has them.
    #[must_use]
    pub fn spawn(settings: HostSettings) -> Addr<Self> {
        let metrics = OwnerMetrics::register(&settings.registry)
            .inspect_err(|error| log::error!("could not register metrics: {error}"))
            .ok();
        let core = HostCore {
            metrics,
            settings,
            peers: Rc::default(),
            appenders: RefCell::default(),
            local_shards: RefCell::default(),
            known_owners: RefCell::default(),
            find_locks: RefCell::default(),
            stopping: Cell::new(false),
        };
        Self { core: Rc::new(core), searched_shards: HashSet::new() }.start()
    }
}

impl Actor for OwnerHost {
    type Context = Context<Self>;
}

impl Handler<HostHeartbeat> for OwnerHost {
    type Result = ResponseFuture<Result<HeartbeatReply, HeartbeatRefusal>>;

    fn handle(
        &mut self,
        HostHeartbeat(heartbeat): HostHeartbeat,
        _: &mut Context<Self>,
    ) -> Self::Result {
        let shard = heartbeat.shard.clone();
        let core = Rc::clone(&self.core);
        Box::pin(async move {
            let Some((actor, _)) = core.owned(&shard) else { return Err(core.not_owner(shard)) };
            match actor.send(ShardHeartbeat(heartbeat)).await {
                Ok(reply) => reply,
                Err(_) => Err(core.not_owner(shard)),
            }
        })
    }
}

impl Handler<FindOwner> for OwnerHost {
    type Result = ResponseFuture<Result<ShardOwnership, FindError>>;

    fn handle(&mut self, request: FindOwner, _: &mut Context<Self>) -> Self::Result {
        Box::pin(Rc::clone(&self.core).find(request))
    }
}

impl Handler<SilentShards> for OwnerHost {
    type Result = ();

    fn handle(&mut self, SilentShards(shards): SilentShards, ctx: &mut Context<Self>) {
        for shard in shards {
            let own = shard == self.core.settings.own_shard;
            if own
                || self.core.owned(&shard).is_some()
                || !self.searched_shards.insert(shard.clone())
            {
                continue;
            }
            let core = Rc::clone(&self.core);
            let delay = Duration::from_millis(rand::random_range(0..=REMOTE_CLAIM_JITTER));
            let request = FindOwner { shard: shard.clone(), silent_for: REMOTE_OWNER_TIMEOUT };
            let found = async move {
                sleep(delay).await;
                core.find(request).await
            };
            ctx.spawn(found.into_actor(self).map(move |result, host, _| {
                host.searched_shards.remove(&shard);
                if let Err(error) = result {
                    log::info!("could not find an owner of silent shard {shard}: {error}");
                }
            }));
        }
    }
}

impl Handler<ReleaseShards> for OwnerHost {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _: ReleaseShards, _: &mut Context<Self>) -> Self::Result {
        self.core.stopping.set(true);
        let local = self.core.local_shards.borrow();
        let actors: Vec<_> = local.values().map(|local| local.actor.clone()).collect();
        Box::pin(async move {
            for result in join_all(actors.iter().map(|actor| actor.send(ReleaseShard))).await {
                // An actor that has stopped already has nothing to release.
                if let Err(error) = result {
                    log::debug!("could not release a shard: {error}");
                }
            }
        })
    }
}
