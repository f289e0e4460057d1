//! Heartbeats to the owner, and the search for it when it is silent.

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

/// Least time between heartbeats, so that ends that follow each other closely
/// share one.
const BEAT_SPACING: Duration = Duration::from_millis(20);

/// What came of a heartbeat.
enum BeatOutcome {
    Answered,
    /// Ask for the newest owner.
    OwnerUnknown,
    /// The inventory is not taken.
    NotReady,
    /// Another owner is known now.
    Redirected,
    NoAnswer,
}

impl BeatOutcome {
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
    pub(crate) async fn beat_always(self: Rc<Self>) {
        loop {
            let started = tokio::time::Instant::now();
            let outcome = self.beat().await;
            self.settings.metrics.heartbeats.with_label_values(&[outcome.label()]).inc();
            match outcome {
                BeatOutcome::Answered | BeatOutcome::NotReady => {}
                BeatOutcome::Redirected => self.beat_wanted.notify_one(),
                BeatOutcome::OwnerUnknown => self.search_owner(),
                BeatOutcome::NoAnswer if self.silence() >= OWNER_TIMEOUT => self.search_owner(),
                BeatOutcome::NoAnswer => {}
            }
            tokio::time::sleep(BEAT_SPACING).await;
            let next = started + Duration::from_millis(HEARTBEAT_INTERVAL);
            tokio::select! {
                () = tokio::time::sleep_until(next) => {}
                () = self.beat_wanted.notified() => {}
            }
        }
    }

    /// Time since the last answer.
    fn silence(&self) -> Millis {
        self.now().since(self.answered.get())
    }

    async fn beat(self: &Rc<Self>) -> BeatOutcome {
        // An owner takes the first heartbeat for a complete list of what runs here.
        if self.manager.borrow().table().is_none() {
            return BeatOutcome::NotReady;
        }
        let Some(owner) = self.owner.get() else { return BeatOutcome::OwnerUnknown };
        let upstreams = self.settings.upstreams.send(ListUpstreams).await.unwrap_or_default();
        // After a pause, tasks whose lease has passed must not be listed as running.
        self.stop_unentitled();
        let sent = self.now();
        let lease = self.manager.borrow_mut().ask_lease(sent);
        let beat = AgentHeartbeat { upstreams, ..self.heartbeat(sent, lease) };
        let answer = if owner.address == self.settings.identity.address {
            let answer = self.settings.ownership.beat.send(HostHeartbeat(beat));
            let limit = Duration::from_millis(HEARTBEAT_INTERVAL);
            match tokio::time::timeout(limit, answer).await {
                Ok(Ok(answer)) => answer,
                _ => return BeatOutcome::NoAnswer,
            }
        } else {
            match self.link.heartbeat(owner.address, beat).await {
                Ok(answer) => answer,
                Err(error) => {
                    log::debug!("heartbeat to {}: {error}", owner.address);
                    return BeatOutcome::NoAnswer;
                }
            }
        };
        match answer {
            Ok(reply) => self.take_reply(sent, lease.number, owner, &reply),
            Err(refusal) => self.take_refusal(owner, &refusal),
        }
    }

    fn heartbeat(&self, sent: Moment, lease: LeaseRequest) -> AgentHeartbeat {
        let manager = self.manager.borrow();
        let book = manager.table().map(TaskTable::book);
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
            capacity: book.map(|book| book.capacity()).unwrap_or_default(),
            committed: book.map(|book| book.committed()).unwrap_or_default(),
            draining: manager.is_draining(),
            held: manager.held(),
            ended: manager.ended(),
            usage,
            upstreams: Vec::new(),
        }
    }

    fn take_reply(
        self: &Rc<Self>,
        sent: Moment,
        number: u64,
        owner: KnownOwner,
        reply: &HeartbeatReply,
    ) -> BeatOutcome {
        self.settings.monitor.events.observe(reply.at);
        let before =
            self.manager.borrow().config().data_centre(&self.settings.identity.data_centre);
        let received = self.manager.borrow_mut().receive(self.now(), sent, number, reply);
        let Ok(effect) = received else {
            self.owner.set(None);
            return BeatOutcome::OwnerUnknown;
        };
        self.owner.set(Some(KnownOwner { epoch: reply.epoch, ..owner }));
        self.answered.set(self.now());
        self.renewed.notify_one();
        if effect.config_changed {
            self.note_config(before);
        }
        if !effect.recorded.is_empty() {
            self.after_change();
            let worker = self.settings.worker.clone();
            let acknowledgement = EndAcknowledgement { tokens: effect.recorded };
            actix_rt::spawn(async move {
                // An end that stays listed is acknowledged after the next inventory.
                if let Err(error) = worker.acknowledge(&acknowledgement).await {
                    log::debug!("could not acknowledge ends: {error}");
                }
            });
        }
        if !reply.silent_shards.is_empty() {
            self.settings.ownership.silent.do_send(SilentShards(reply.silent_shards.clone()));
        }
        self.send_stops();
        self.update_metrics();
        BeatOutcome::Answered
    }

    fn note_config(&self, before: cactusdoor_core::config::DataCentreState) {
        let manager = self.manager.borrow();
        let revision = manager.config().revision();
        self.record(EventKind::ConfigApplied { revision });
        let data_centre = self.settings.identity.data_centre.clone();
        let state = manager.config().data_centre(&data_centre);
        if state != before {
            self.record(EventKind::DataCentreChanged { data_centre, state, revision });
        }
    }

    fn take_refusal(&self, asked: KnownOwner, refusal: &HeartbeatRefusal) -> BeatOutcome {
        let HeartbeatRefusal::NotOwner { epoch, owner, .. } = refusal;
        match owner {
            Some(address) if *address != asked.address && *epoch >= asked.epoch => {
                self.owner.set(Some(KnownOwner { epoch: *epoch, address: *address }));
                BeatOutcome::Redirected
            }
            _ => {
                self.owner.set(None);
                BeatOutcome::OwnerUnknown
            }
        }
    }

    /// Searches for the newest owner beside the heartbeats: the search can take long
    /// in a log outage, and the silent owner may answer again meanwhile.
    fn search_owner(self: &Rc<Self>) {
        if !self.searching.replace(true) {
            let state = Rc::clone(self);
            actix_rt::spawn(async move {
                state.find_owner().await;
                state.searching.set(false);
            });
        }
    }

    /// Asks for the newest owner; this process may become it.
    async fn find_owner(&self) {
        if self.silence() >= OWNER_TIMEOUT {
            // All agents of the shard notice the silence at about the same time.
            let jitter = rand::random_range(0..=CLAIM_JITTER);
            tokio::time::sleep(Duration::from_millis(jitter)).await;
            if self.owner.get().is_some() && self.silence() < OWNER_TIMEOUT {
                return;
            }
        }
        let ask = FindOwner { shard: self.settings.shard.clone(), silent_for: self.silence() };
        match self.settings.ownership.find.send(ask).await {
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
                    self.beat_wanted.notify_one();
                }
            }
            Ok(Err(error)) => log::warn!("no owner found: {error}"),
            Err(error) => log::error!("owner side of this process does not answer: {error}"),
        }
    }

    fn update_metrics(&self) {
        let now = self.now();
        let manager = self.manager.borrow();
        let metrics = &self.settings.metrics;
        let signed = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        metrics.lease_left.set(signed(manager.lease_left(now)));
        metrics.epoch.set(signed(manager.epoch()));
        metrics.config_revision.set(signed(manager.config().revision()));
        metrics.config_age.set(manager.view().age(now).map_or(-1, signed));
        let Some(table) = manager.table() else { return };
        let committed = table.book().committed();
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
