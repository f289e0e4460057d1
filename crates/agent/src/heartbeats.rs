//! Heartbeats to the shard's owner, and the search for an owner when none answers.
//!
//! Sends the agent's tasks, usage and upstreams, and passes each reply on to
//! [`TaskManager`](crate::manager::TaskManager), which decides about the lease
//! and the tasks. Remembers which process the agent regards as the owner.

use std::rc::Rc;
use std::time::Duration;

use cactusdoor_core::constants::{CLAIM_JITTER, HEARTBEAT_INTERVAL, OWNER_TIMEOUT};
use cactusdoor_core::lease::LeaseRequest;
use cactusdoor_core::unit::{Millis, Moment};
use cactusdoor_owner::{FindOwner, HostHeartbeat, SilentShards};
use cactusdoor_peer::heartbeat::{AgentHeartbeat, HeartbeatRefusal, HeartbeatReply};
use cactusdoor_timeline::EventKind;
use cactusdoor_worker::EndAcknowledgement;

use crate::relay::ListUpstreams;
use crate::table::TaskTable;
use crate::task_actor::{KnownOwner, TaskActorState};

/// Shortest pause between heartbeats, so that one heartbeat reports task ends that
/// follow each other closely.
const MIN_HEARTBEAT_PAUSE: Duration = Duration::from_millis(20);

/// Outcome of a heartbeat.
enum HeartbeatOutcome {
    Answered,
    /// No owner is known, or the receiver is not the newest owner; a search follows.
    OwnerUnknown,
    /// The worker's inventory is not loaded.
    NotReady,
    /// The receiver is not the owner and named another process.
    Redirected,
    NoAnswer,
}

impl HeartbeatOutcome {
    fn label(&self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::OwnerUnknown => "owner_unknown",
            Self::NotReady => "not_ready",
            Self::Redirected => "redirected",
            Self::NoAnswer => "no_answer",
        }
    }
}

impl TaskActorState {
    /// Sends heartbeats for as long as the process runs.
    pub(crate) async fn send_heartbeats(self: Rc<Self>) {
        loop {
            let started = tokio::time::Instant::now();
            let outcome = self.send_heartbeat().await;
            self.settings.metrics.heartbeats.with_label_values(&[outcome.label()]).inc();
            match outcome {
                HeartbeatOutcome::Answered | HeartbeatOutcome::NotReady => {}
                HeartbeatOutcome::Redirected => self.heartbeat_wanted.notify_one(),
                HeartbeatOutcome::OwnerUnknown => self.start_owner_search(),
                HeartbeatOutcome::NoAnswer if self.time_since_answer() >= OWNER_TIMEOUT => {
                    self.start_owner_search();
                }
                HeartbeatOutcome::NoAnswer => {}
            }
            tokio::time::sleep(MIN_HEARTBEAT_PAUSE).await;
            let next = started + Duration::from_millis(HEARTBEAT_INTERVAL);
            tokio::select! {
                () = tokio::time::sleep_until(next) => {}
                () = self.heartbeat_wanted.notified() => {}
            }
        }
    }

    /// Time since the last answer.
    fn time_since_answer(&self) -> Millis {
        self.now().since(self.last_answer.get())
    }

    async fn send_heartbeat(self: &Rc<Self>) -> HeartbeatOutcome {
        // An owner treats the first heartbeat as the complete list of this VM's tasks.
        if self.manager.borrow().table().is_none() {
            return HeartbeatOutcome::NotReady;
        }
        let Some(owner) = self.owner.get() else { return HeartbeatOutcome::OwnerUnknown };
        let upstreams = self.settings.upstreams.send(ListUpstreams).await.unwrap_or_default();
        // After a pause, tasks whose lease has expired must not be listed as running.
        self.stop_if_not_allowed();
        let sent = self.now();
        let lease = self.manager.borrow_mut().request_lease(sent);
        let heartbeat = AgentHeartbeat { upstreams, ..self.build_heartbeat(sent, lease) };
        let answer = if owner.address == self.settings.identity.address {
            let answer = self.settings.ownership.heartbeat.send(HostHeartbeat(heartbeat));
            let limit = Duration::from_millis(HEARTBEAT_INTERVAL);
            match tokio::time::timeout(limit, answer).await {
                Ok(Ok(answer)) => answer,
                _ => return HeartbeatOutcome::NoAnswer,
            }
        } else {
            match self.owner_client.heartbeat(owner.address, heartbeat).await {
                Ok(answer) => answer,
                Err(error) => {
                    log::debug!("could not send a heartbeat to {}: {error}", owner.address);
                    return HeartbeatOutcome::NoAnswer;
                }
            }
        };
        match answer {
            Ok(reply) => self.handle_reply(sent, lease.number, owner, &reply),
            Err(refusal) => self.handle_refusal(owner, &refusal),
        }
    }

    fn build_heartbeat(&self, sent: Moment, lease: LeaseRequest) -> AgentHeartbeat {
        let manager = self.manager.borrow();
        let reservations = manager.table().map(TaskTable::reservations);
        let (measured, samples) = &*self.usage.borrow();
        let mut usage = samples.clone();
        for sample in &mut usage {
            sample.lag_ms += sent.since(*measured);
        }
        AgentHeartbeat {
            at: self.settings.monitor.events.stamp(),
            agent: self.settings.identity.clone(),
            shard: self.settings.shard.clone(),
            epoch: lease.epoch,
            number: lease.number,
            config_revision: manager.config().revision(),
            lease_left_ms: lease.remaining,
            capacity: reservations.map(|it| it.capacity()).unwrap_or_default(),
            committed: reservations.map(|it| it.committed()).unwrap_or_default(),
            draining: manager.is_draining(),
            held: manager.held(),
            ended: manager.ended(),
            usage,
            upstreams: Vec::new(),
        }
    }

    fn handle_reply(
        self: &Rc<Self>,
        sent: Moment,
        number: u64,
        owner: KnownOwner,
        reply: &HeartbeatReply,
    ) -> HeartbeatOutcome {
        self.settings.monitor.events.observe(reply.at);
        let before =
            self.manager.borrow().config().data_centre(&self.settings.identity.data_centre);
        let received = self.manager.borrow_mut().apply_reply(self.now(), sent, number, reply);
        let Ok(effect) = received else {
            self.owner.set(None);
            return HeartbeatOutcome::OwnerUnknown;
        };
        self.owner.set(Some(KnownOwner { epoch: reply.epoch, ..owner }));
        self.last_answer.set(self.now());
        self.renewed.notify_one();
        if effect.config_changed {
            self.record_config(before);
        }
        if !effect.recorded.is_empty() {
            self.report_ends();
            let worker = self.settings.worker.clone();
            let acknowledgement = EndAcknowledgement { tokens: effect.recorded };
            actix_rt::spawn(async move {
                // After a failure the end stays listed and is acknowledged with the next
                // inventory.
                if let Err(error) = worker.acknowledge(&acknowledgement).await {
                    log::debug!("could not acknowledge task ends: {error}");
                }
            });
        }
        if !reply.silent_shards.is_empty() {
            self.settings
                .ownership
                .silent_shards
                .do_send(SilentShards(reply.silent_shards.clone()));
        }
        self.send_stops();
        self.update_metrics();
        HeartbeatOutcome::Answered
    }

    fn record_config(&self, before: cactusdoor_core::config::DataCentreState) {
        let manager = self.manager.borrow();
        let revision = manager.config().revision();
        self.record(EventKind::ConfigApplied { revision });
        let data_centre = self.settings.identity.data_centre.clone();
        let state = manager.config().data_centre(&data_centre);
        if state != before {
            self.record(EventKind::DataCentreChanged { data_centre, state, revision });
        }
    }

    fn handle_refusal(&self, asked: KnownOwner, refusal: &HeartbeatRefusal) -> HeartbeatOutcome {
        let HeartbeatRefusal::NotOwner { epoch, owner, .. } = refusal;
        match owner {
            Some(address) if *address != asked.address && *epoch >= asked.epoch => {
                self.owner.set(Some(KnownOwner { epoch: *epoch, address: *address }));
                HeartbeatOutcome::Redirected
            }
            _ => {
                self.owner.set(None);
                HeartbeatOutcome::OwnerUnknown
            }
        }
    }

    /// Starts a search for the newest owner unless one is running. Heartbeats continue
    /// meanwhile: a search can take long in a log outage, and the silent owner may
    /// answer again before it ends.
    fn start_owner_search(self: &Rc<Self>) {
        if !self.searching.replace(true) {
            let state = Rc::clone(self);
            actix_rt::spawn(async move {
                state.find_owner().await;
                state.searching.set(false);
            });
        }
    }

    /// Asks the owner host of this process for the newest owner; the host may claim the
    /// shard.
    async fn find_owner(&self) {
        if self.time_since_answer() >= OWNER_TIMEOUT {
            // All agents of a shard notice a silent owner at about the same time.
            let jitter = rand::random_range(0..=CLAIM_JITTER);
            tokio::time::sleep(Duration::from_millis(jitter)).await;
            if self.owner.get().is_some() && self.time_since_answer() < OWNER_TIMEOUT {
                return;
            }
        }
        let request =
            FindOwner { shard: self.settings.shard.clone(), silent_for: self.time_since_answer() };
        match self.settings.ownership.find.send(request).await {
            Ok(Ok(found)) => {
                let newest = self.manager.borrow().epoch();
                let known = self.owner.get();
                if found.epoch < newest || known.is_some_and(|known| known.epoch > found.epoch) {
                    return;
                }
                let found = KnownOwner { epoch: found.epoch, address: found.address };
                if known != Some(found) {
                    log::info!(epoch = found.epoch; "owner of the shard is {}", found.address);
                    self.owner.set(Some(found));
                    self.heartbeat_wanted.notify_one();
                }
            }
            Ok(Err(error)) => {
                log::warn!("could not find an owner of shard {}: {error}", self.settings.shard)
            }
            Err(error) => {
                log::error!("could not ask the owner host of this process for an owner: {error}")
            }
        }
    }

    fn update_metrics(&self) {
        let now = self.now();
        let manager = self.manager.borrow();
        let metrics = &self.settings.metrics;
        let signed = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        metrics.lease_remaining.set(signed(manager.lease_remaining(now)));
        metrics.epoch.set(signed(manager.epoch()));
        metrics.config_revision.set(signed(manager.config().revision()));
        metrics.config_age.set(manager.view().age(now).map_or(-1, signed));
        let Some(table) = manager.table() else { return };
        let committed = table.reservations().committed();
        let set = |name: &str, value: u64| {
            metrics.committed.with_label_values(&[name]).set(signed(value));
        };
        set("processors", committed.processors);
        set("memory", committed.memory);
        set("accelerators", u64::from(committed.accelerators));
        let live = table.live().count();
        let stopping = manager.stopping().len();
        metrics.tasks.with_label_values(&["stopping"]).set(signed(stopping as u64));
        metrics.tasks.with_label_values(&["held"]).set(signed(live as u64));
    }
}
