//! The actor that owns one shard: follows its stream and the configuration, feeds the
//! [`ShardScheduler`] and carries out its actions.
//!
//! It decides nothing about tasks itself. It publishes snapshots of the shard's stream
//! while it is the owner.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix::{
    Actor, ActorContext, ActorFutureExt, AsyncContext, Context, Handler, Message,
    ResponseActFuture, StreamHandler, WrapFuture,
};
use cactusdoor_core::config::ConfigFold;
use cactusdoor_core::envelope::LogEnvelope;
use cactusdoor_core::fold::fold_text;
use cactusdoor_core::name::StreamName;
use cactusdoor_core::shard::{ShardFold, ShardOwnership, TaskRecord};
use cactusdoor_core::snapshot::SnapshotTracker;
use cactusdoor_core::unit::{Millis, Offset};
use cactusdoor_log::appender::{FlushMode, NotStored, StoredRecord};
use cactusdoor_log::client::{LogRecord, StreamBounds};
use cactusdoor_log::follower::{FollowEvent, StreamFollower};
use cactusdoor_log::snapshot::{newest_snapshot, publish};
use cactusdoor_node::clock::unix_ms;
use cactusdoor_peer::heartbeat::{AgentHeartbeat, HeartbeatRefusal, HeartbeatReply};
use cactusdoor_timeline::EventKind;
use tokio::sync::watch;

use crate::dispatch::CallDispatch;
use crate::finder::ReadShard;
use crate::host::HostCore;
use crate::rosters::KnownEntries;
use crate::scheduler::{AppendId, SchedulerAction, ShardScheduler};

/// Time between ticks of the scheduler. A tenth of the heartbeat interval, so that ticks
/// seldom cause a delay.
const TICK: Duration = Duration::from_millis(50);
const ROSTER_INTERVAL: Duration = Duration::from_secs(1);
/// Largest random delay before a snapshot is published.
const SNAPSHOT_JITTER: Millis = 1_000;
/// Longest wait for open appends when the shard is released.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);

/// Whether this process owns the shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ShardPhase {
    Claiming,
    Owned(ShardOwnership),
    /// Not owner; contains the owner that the stream names.
    Lost(Option<ShardOwnership>),
}

/// Actor that claims and owns one shard.
pub struct ShardActor {
    pub(crate) core: Rc<HostCore>,
    pub(crate) scheduler: ShardScheduler,
    pub(crate) calls: CallDispatch,
    pub(crate) entries: KnownEntries,
    stream: StreamName,
    config: Option<(ConfigFold, StreamName)>,
    phase: watch::Sender<ShardPhase>,
    /// Offset and age of the newest known snapshot.
    newest: SnapshotTracker,
    publishing: bool,
    log_reachable: bool,
    followers: Vec<StreamFollower>,
}

/// A heartbeat for this shard.
#[derive(Message)]
#[rtype(result = "Result<HeartbeatReply, HeartbeatRefusal>")]
pub struct ShardHeartbeat(pub AgentHeartbeat);

/// Ends the ownership when open appends are settled.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ReleaseShard;

#[derive(Message)]
#[rtype(result = "()")]
struct Appended(AppendId, Result<StoredRecord, NotStored>);

struct TaskEvents(FollowEvent);
struct ConfigEvents(FollowEvent);

impl ShardActor {
    /// Creates an actor that claims the shard when it is started.
    #[must_use]
    pub fn new(
        core: Rc<HostCore>,
        scheduler: ShardScheduler,
        read: &ReadShard,
        config: ConfigFold,
        config_stream: StreamName,
        phase: watch::Sender<ShardPhase>,
    ) -> Self {
        let entries = KnownEntries::new(&core.settings.entries);
        Self {
            calls: CallDispatch::default(),
            entries,
            stream: read.stream.clone(),
            newest: SnapshotTracker::loaded(read.covers, core.settings.clock.now()),
            config: Some((config, config_stream)),
            core,
            scheduler,
            phase,
            publishing: false,
            log_reachable: true,
            followers: Vec::new(),
        }
    }

    fn follow(&mut self, ctx: &mut Context<Self>) {
        let settings = &self.core.settings;
        let spawn = |stream: &StreamName, from: Offset| {
            StreamFollower::spawn(settings.log.clone(), stream.clone(), from, settings.clock)
        };
        let (follower, events) = spawn(&self.stream, self.scheduler.fold().next());
        ctx.add_stream(wrap_events(events, TaskEvents));
        self.followers.push(follower);
        if let Some((fold, stream)) = &self.config {
            let (follower, events) = spawn(stream, fold.next());
            ctx.add_stream(wrap_events(events, ConfigEvents));
            self.followers.push(follower);
        }
    }

    /// Carries out the scheduler's actions.
    pub(crate) fn execute_actions(&mut self, ctx: &mut Context<Self>) {
        for action in self.scheduler.take_actions() {
            match action {
                SchedulerAction::Append { append_id, record, urgent } => {
                    let shard = self.scheduler.shard().clone();
                    let flush = if urgent { FlushMode::Immediate } else { FlushMode::Grouped };
                    self.append(ctx, append_id, &shard, record, flush);
                }
                SchedulerAction::AppendRemote { append_id, shard, record } => {
                    self.append(ctx, append_id, &shard, record, FlushMode::Grouped);
                }
                SchedulerAction::Start { vm, address, start } => {
                    self.calls.start(vm, address, start)
                }
                SchedulerAction::Stop { vm, address, stop } => self.calls.stop(vm, address, stop),
                SchedulerAction::Attest { address, request } => {
                    self.request_attestation(ctx, address, request)
                }
                SchedulerAction::CloseNaming { address, request } => {
                    self.close_naming(ctx, address, request);
                }
                SchedulerAction::Announce { address, notice } => {
                    self.announce(ctx, address, notice)
                }
                SchedulerAction::Event(event) => {
                    self.core.update_metrics(|metrics| metrics.count(&event));
                    self.core.settings.events.record(event);
                }
                SchedulerAction::Owned(epoch) => {
                    log::info!(
                        "took ownership of shard {} in epoch {epoch}",
                        self.scheduler.shard()
                    );
                    if let Some(ownership) = self.scheduler.ownership() {
                        self.phase.send_replace(ShardPhase::Owned(ownership.clone()));
                    }
                }
                SchedulerAction::Lost { current } => {
                    log::info!(
                        "shard {} has another owner in epoch {current}; stopping its actor",
                        self.scheduler.shard()
                    );
                    self.abandon_shard(ctx);
                }
            }
        }
        self.send_calls(ctx);
    }

    fn abandon_shard(&mut self, ctx: &mut Context<Self>) {
        let newest = self.scheduler.ownership().cloned();
        self.phase.send_replace(ShardPhase::Lost(newest));
        ctx.stop();
    }

    /// Abandons the shard if the claim is known not to be stored.
    fn abandon_failed_claim(&mut self, ctx: &mut Context<Self>) {
        let claiming = *self.phase.borrow() == ShardPhase::Claiming;
        if claiming && !self.scheduler.has_open_appends() {
            self.abandon_shard(ctx);
        }
    }

    fn append(
        &mut self,
        ctx: &mut Context<Self>,
        append_id: AppendId,
        shard: &cactusdoor_core::name::ShardName,
        record: TaskRecord,
        flush: FlushMode,
    ) {
        let Some(appender) = self.core.appender(shard) else {
            ctx.notify(Appended(append_id, Err(NotStored::Stopped)));
            return;
        };
        // Spawned outside the actor's context, which polls all of its futures at each
        // event: hundreds of appends may be under way.
        let actor = ctx.address();
        actix_rt::spawn(async move {
            let result = appender.append(record, flush).await;
            actor.do_send(Appended(append_id, result));
        });
    }

    fn fold_tasks(&mut self, records: &[LogRecord]) {
        let now = self.core.settings.clock.now();
        for record in records {
            match LogEnvelope::<TaskRecord>::decode(&record.body) {
                Ok(envelope) => self.scheduler.folded(now, record.offset, envelope),
                Err(error) => {
                    log::warn!(
                        "skipping record {} of stream {}: {error}",
                        record.offset,
                        self.stream
                    );
                    self.scheduler.skipped(record.offset);
                }
            }
        }
    }

    fn fold_config(&mut self, records: &[LogRecord]) {
        let Some((fold, stream)) = &mut self.config else { return };
        let before = fold.state().revision();
        for record in records {
            if let Err(error) = fold_text(fold, record.offset, &record.body) {
                log::warn!("skipping record {} of stream {stream}: {error}", record.offset);
            }
        }
        if fold.state().revision() > before {
            let now = self.core.settings.clock.now();
            self.scheduler.configured(now, Arc::new(fold.state().clone()));
        }
    }

    fn record_log_state(&mut self, reachable: bool) {
        if self.log_reachable != reachable {
            self.log_reachable = reachable;
            let event = if reachable { EventKind::LogReachable } else { EventKind::LogUnreachable };
            self.core.settings.events.record(event);
        }
    }

    /// Publishes a snapshot if one is due and no other process has published it
    /// meanwhile.
    fn snapshot(&mut self, ctx: &mut Context<Self>, bounds: StreamBounds) {
        let owned = self.scheduler.owned_epoch().is_some();
        let now = self.core.settings.clock.now();
        if self.publishing || !owned || !self.newest.is_due(bounds.start, bounds.next, now) {
            return;
        }
        self.publishing = true;
        let (log, stream) = (self.core.settings.log.clone(), self.stream.clone());
        let delay = rand::random_range(0..=SNAPSHOT_JITTER);
        let newest = async move {
            actix_rt::time::sleep(Duration::from_millis(delay)).await;
            newest_snapshot::<ShardFold>(&log, &stream).await.ok().flatten()
        };
        ctx.spawn(newest.into_actor(self).then(move |newest, actor, _| {
            let covers = newest.map_or(0, |snapshot| snapshot.covers);
            actor.newest.found(covers);
            let due = actor.newest.is_due(bounds.start, bounds.next, now);
            let fold = due.then(|| actor.scheduler.fold().clone());
            let (log, stream) = (actor.core.settings.log.clone(), actor.stream.clone());
            async move {
                let fold = fold?;
                match publish(&log, &stream, &fold).await {
                    Ok(()) => Some(fold.next()),
                    Err(error) => {
                        log::warn!("could not publish snapshot of stream {stream}: {error}");
                        None
                    }
                }
            }
            .into_actor(actor)
            .map(|covers, actor, _| {
                if let Some(covers) = covers {
                    actor.newest.published(covers, actor.core.settings.clock.now());
                }
                actor.publishing = false;
            })
        }));
    }

    fn update_gauges(&self) {
        let shard = self.scheduler.shard().as_str();
        let gauge_value = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        let pending = gauge_value(self.scheduler.index().pending_count());
        let agents = gauge_value(self.scheduler.agent_count());
        self.core.update_metrics(|metrics| {
            metrics.pending.with_label_values(&[shard]).set(pending);
            metrics.agents.with_label_values(&[shard]).set(agents);
        });
    }
}

/// Wraps the events of a follower.
fn wrap_events<T>(
    mut events: tokio::sync::mpsc::UnboundedReceiver<FollowEvent>,
    wrap: fn(FollowEvent) -> T,
) -> impl futures::Stream<Item = T> {
    futures::stream::poll_fn(move |context| events.poll_recv(context).map(|e| e.map(wrap)))
}

impl Actor for ShardActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        if let Some((fold, _)) = &self.config {
            let now = self.core.settings.clock.now();
            self.scheduler.configured(now, Arc::new(fold.state().clone()));
        }
        self.follow(ctx);
        self.core.update_metrics(|metrics| metrics.claims.inc());
        self.scheduler.claim();
        self.execute_actions(ctx);
        ctx.run_interval(TICK, |actor, ctx| {
            actor.scheduler.tick(actor.core.settings.clock.now(), unix_ms());
            actor.execute_actions(ctx);
        });
        ctx.run_interval(ROSTER_INTERVAL, |actor, ctx| {
            actor.update_gauges();
            actor.send_rosters(ctx);
        });
    }

    fn stopped(&mut self, _: &mut Self::Context) {
        let shard = self.scheduler.shard().as_str();
        self.core.update_metrics(|metrics| metrics.remove(shard));
        if !matches!(*self.phase.borrow(), ShardPhase::Lost(_)) {
            self.phase.send_replace(ShardPhase::Lost(self.scheduler.ownership().cloned()));
        }
    }
}

impl StreamHandler<TaskEvents> for ShardActor {
    fn handle(&mut self, TaskEvents(event): TaskEvents, ctx: &mut Self::Context) {
        match event {
            FollowEvent::Read { sent, records, at_end, bounds } => {
                self.record_log_state(true);
                self.fold_tasks(&records);
                if at_end {
                    self.scheduler.confirmed(sent);
                }
                self.execute_actions(ctx);
                self.abandon_failed_claim(ctx);
                self.snapshot(ctx, bounds);
            }
            FollowEvent::Gap(bounds) => {
                log::error!(
                    "stream {} starts at offset {}, after unread records; abandoning the shard",
                    self.stream,
                    bounds.start
                );
                self.abandon_shard(ctx);
            }
            FollowEvent::Failed(error) => {
                log::debug!("could not read stream {}: {error}", self.stream);
                self.record_log_state(false);
            }
        }
    }

    /// The follower ends only after a gap, which was handled already.
    fn finished(&mut self, _: &mut Self::Context) {}
}

impl StreamHandler<ConfigEvents> for ShardActor {
    fn handle(&mut self, ConfigEvents(event): ConfigEvents, ctx: &mut Self::Context) {
        match event {
            FollowEvent::Read { sent, records, at_end, .. } => {
                self.fold_config(&records);
                if at_end {
                    self.scheduler.config_confirmed(sent);
                }
                self.execute_actions(ctx);
            }
            FollowEvent::Gap(bounds) => {
                log::error!(
                    "configuration starts at offset {}, after unread records; abandoning shard {}",
                    bounds.start,
                    self.scheduler.shard()
                );
                self.abandon_shard(ctx);
            }
            FollowEvent::Failed(error) => log::debug!("could not read the configuration: {error}"),
        }
    }

    fn finished(&mut self, _: &mut Self::Context) {}
}

impl Handler<Appended> for ShardActor {
    type Result = ();

    fn handle(&mut self, Appended(append_id, result): Appended, ctx: &mut Self::Context) {
        if let Err(error) = result {
            self.core.update_metrics(|metrics| metrics.failed_appends.inc());
            log::warn!("append for shard {} failed: {error}", self.scheduler.shard());
        }
        self.scheduler.appended(self.core.settings.clock.now(), append_id, result);
        self.execute_actions(ctx);
        self.abandon_failed_claim(ctx);
    }
}

impl Handler<ShardHeartbeat> for ShardActor {
    type Result = Result<HeartbeatReply, HeartbeatRefusal>;

    fn handle(
        &mut self,
        ShardHeartbeat(heartbeat): ShardHeartbeat,
        ctx: &mut Self::Context,
    ) -> Self::Result {
        let settings = &self.core.settings;
        settings.events.observe(heartbeat.at);
        let reply = self.scheduler.handle_heartbeat(
            settings.clock.now(),
            settings.events.stamp(),
            &heartbeat,
        );
        self.core.update_metrics(|metrics| metrics.heartbeats.inc());
        self.execute_actions(ctx);
        reply
    }
}

impl Handler<ReleaseShard> for ShardActor {
    type Result = ResponseActFuture<Self, ()>;

    fn handle(&mut self, _: ReleaseShard, _: &mut Self::Context) -> Self::Result {
        self.scheduler.release();
        let wait = async { actix_rt::time::sleep(TICK).await };
        let started = std::time::Instant::now();
        Box::pin(wait.into_actor(self).then(move |(), actor, _| actor.settle_and_stop(started)))
    }
}

impl ShardActor {
    /// Waits for open appends, publishes a snapshot and stops.
    fn settle_and_stop(&mut self, started: std::time::Instant) -> ResponseActFuture<Self, ()> {
        if self.scheduler.has_open_appends() && started.elapsed() < RELEASE_TIMEOUT {
            let wait = async { actix_rt::time::sleep(TICK).await };
            return Box::pin(
                wait.into_actor(self).then(move |(), actor, _| actor.settle_and_stop(started)),
            );
        }
        let fold = self.scheduler.owned_epoch().map(|_| self.scheduler.fold().clone());
        let (log, stream) = (self.core.settings.log.clone(), self.stream.clone());
        let published = async move {
            if let Some(fold) = fold
                && let Err(error) = publish(&log, &stream, &fold).await
            {
                log::warn!("could not publish snapshot of stream {stream}: {error}");
            }
        };
        Box::pin(published.into_actor(self).map(|(), actor, ctx| actor.abandon_shard(ctx)))
    }
}
