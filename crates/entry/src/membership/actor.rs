//! The actor that owns the membership table and introduces this entry to other entries.
//!
//! It publishes changes of members to the request actor and answers roster updates of owners.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use actix::prelude::*;
use cactusdoor_core::name::ShardName;
use cactusdoor_node::clock::MonotonicClock;
use cactusdoor_operator::types::RosterView;
use cactusdoor_peer::EntryServiceClient;
use cactusdoor_peer::roster::{RosterReply, RosterUpdate, ShardCapacity};
use cactusdoor_peer::wire::connect_entry;
use cactusdoor_timeline::{EventKind, EventLog};
use tokio::sync::watch;

use super::directory::EntryDirectory;
use super::table::{MembershipTable, RosterChange, RosterOutcome};
use crate::config::SharedConfig;
use crate::metrics::EntryMetrics;

/// Time between introductions to other entries.
const INTRODUCE_INTERVAL: Duration = Duration::from_secs(2);
/// Time between removals of members and entries that have expired.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);
const INTRODUCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Applies a roster update of an owner.
#[derive(Message)]
#[rtype(result = "RosterReply")]
pub struct ApplyRoster(pub RosterUpdate);

/// Records the address of an entry that introduces itself; returns the live entries.
#[derive(Message)]
#[rtype(result = "Vec<SocketAddr>")]
pub struct Introduce(pub SocketAddr);

/// The roster as operators see it.
#[derive(Message)]
#[rtype(result = "RosterView")]
pub struct GetRoster;

/// Free capacity of one shard; `None` if its owner did not report recently.
#[derive(Message)]
#[rtype(result = "Option<ShardCapacity>")]
pub struct GetCapacity(pub ShardName);

/// Dependencies and addresses of the actor.
pub struct MembershipParts {
    /// Peer address of this entry.
    pub own_address: SocketAddr,
    /// Configured addresses of other entries.
    pub seeds: Vec<SocketAddr>,
    pub clock: MonotonicClock,
    pub events: EventLog,
    pub metrics: EntryMetrics,
    pub config: SharedConfig,
    /// Receives changes of members.
    pub changes: Recipient<MembersChanged>,
    /// Number of live entries, this one included.
    pub entries: watch::Sender<usize>,
}

/// Notifies the request actor of changed members.
#[derive(Message)]
#[rtype(result = "()")]
pub struct MembersChanged(pub RosterChange);

/// Owns the membership table and the directory of entries.
pub struct MembershipActor {
    parts: MembershipParts,
    table: MembershipTable,
    directory: EntryDirectory,
    clients: HashMap<SocketAddr, EntryServiceClient>,
}

impl MembershipActor {
    #[must_use]
    pub fn new(parts: MembershipParts) -> Self {
        let directory = EntryDirectory::new(parts.own_address, parts.seeds.clone());
        Self { parts, table: MembershipTable::default(), directory, clients: HashMap::new() }
    }

    fn publish(&self, change: RosterChange) {
        if !change.is_empty() {
            self.parts.changes.do_send(MembersChanged(change));
        }
    }

    fn expire(&mut self) {
        let now = self.parts.clock.now();
        self.directory.expire(now);
        self.parts.entries.send_replace(self.directory.live().len());
        let change = self.table.expire(now);
        self.publish(change);
    }

    fn introduce(&mut self, ctx: &mut Context<Self>) {
        for target in self.directory.targets() {
            let (own, client) = (self.parts.own_address, self.clients.get(&target).cloned());
            let call = tokio::time::timeout(INTRODUCE_TIMEOUT, introduce(own, target, client));
            ctx.spawn(call.into_actor(self).map(move |answer, actor, _| {
                let Ok(Some((client, entries))) = answer else {
                    actor.clients.remove(&target);
                    return;
                };
                actor.clients.insert(target, client);
                let now = actor.parts.clock.now();
                actor.directory.record_contact(target, now);
                // An address named by another entry counts as live only once it answers.
                let others = entries.into_iter().filter(|entry| *entry != own);
                actor.directory.set_suggested(others);
                actor.parts.entries.send_replace(actor.directory.live().len());
            }));
        }
    }
}

async fn introduce(
    own: SocketAddr,
    target: SocketAddr,
    client: Option<EntryServiceClient>,
) -> Option<(EntryServiceClient, Vec<SocketAddr>)> {
    let client = match client {
        Some(client) => client,
        None => {
            let (client, dispatch) = connect_entry(target).await.ok()?;
            actix_rt::spawn(dispatch);
            client
        }
    };
    let entries = client.introduce(tarpc::context::current(), own).await.ok()?;
    Some((client, entries))
}

impl Actor for MembershipActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.introduce(ctx);
        ctx.run_interval(INTRODUCE_INTERVAL, Self::introduce);
        ctx.run_interval(EXPIRY_INTERVAL, |actor, _| actor.expire());
    }
}

impl Handler<ApplyRoster> for MembershipActor {
    type Result = MessageResult<ApplyRoster>;

    fn handle(&mut self, ApplyRoster(update): ApplyRoster, _: &mut Self::Context) -> Self::Result {
        self.parts.events.observe(update.at);
        let (shard, now) = (update.shard.clone(), self.parts.clock.now());
        let (outcome, change) = self.table.apply(update, now);
        let (result, newer_epoch) = match outcome {
            RosterOutcome::Applied => ("applied", None),
            RosterOutcome::Repeated => ("repeated", None),
            RosterOutcome::Gap => ("gap", None),
            RosterOutcome::Stale { newer } => ("stale", Some(newer)),
        };
        self.parts.metrics.rosters.with_label_values(&[result]).inc();
        for vm in &change.gone {
            let (vm, shard) = (vm.clone(), shard.clone());
            self.parts.events.record(EventKind::AgentSilent { vm, shard });
        }
        self.publish(change);
        MessageResult(RosterReply {
            at: self.parts.events.stamp(),
            needs_full: outcome == RosterOutcome::Gap,
            newer_epoch,
            entries: self.directory.live(),
            shards: self.table.summaries(&shard, now),
            earlier_members: self.table.earlier_members(&shard),
            config_revision: self.parts.config.revision(),
        })
    }
}

impl Handler<Introduce> for MembershipActor {
    type Result = MessageResult<Introduce>;

    fn handle(&mut self, Introduce(entry): Introduce, _: &mut Self::Context) -> Self::Result {
        self.directory.record_contact(entry, self.parts.clock.now());
        self.parts.entries.send_replace(self.directory.live().len());
        MessageResult(self.directory.live())
    }
}

impl Handler<GetRoster> for MembershipActor {
    type Result = MessageResult<GetRoster>;

    fn handle(&mut self, _: GetRoster, _: &mut Self::Context) -> Self::Result {
        let shards = self.table.view(self.parts.clock.now());
        MessageResult(RosterView { entries: self.directory.live(), shards })
    }
}

impl Handler<GetCapacity> for MembershipActor {
    type Result = MessageResult<GetCapacity>;

    fn handle(&mut self, GetCapacity(shard): GetCapacity, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.table.capacity(&shard, self.parts.clock.now()))
    }
}
