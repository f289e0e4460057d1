//! The table of shards and their agents, without I/O.
//!
//! An update with an older epoch or a repeated number changes nothing, nor does a
//! partial one that does not directly follow the last. Members that only an earlier
//! epoch listed stay until the new owner lists them, but for at most
//! [`MEMBERSHIP_LIFETIME`] after that owner's first full update.

use cactusdoor_core::constants::MEMBERSHIP_LIFETIME;
use cactusdoor_core::name::{DataCentre, ShardName, VmName};
use cactusdoor_core::unit::{Epoch, Moment};
use cactusdoor_operator::types::{AgentView, ShardView};
use cactusdoor_peer::heartbeat::AgentIdentity;
use cactusdoor_peer::roster::{RosterMember, RosterUpdate, ShardCapacity, ShardSummary};
use indexmap::IndexMap;

/// Result of applying a roster update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RosterOutcome {
    Applied,
    /// Already applied, or older than the last one; nothing changed.
    Repeated,
    /// An earlier update is missing, so the full list is needed.
    Gap,
    /// Another owner has claimed the shard in the epoch `newer`.
    Stale {
        newer: Epoch,
    },
}

/// Members that an update listed, and members that were removed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RosterChange {
    pub listed: Vec<RosterMember>,
    pub gone: Vec<VmName>,
}

impl RosterChange {
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.listed.is_empty() && self.gone.is_empty()
    }
}

#[derive(Clone, Debug)]
struct MemberRecord {
    member: RosterMember,
    /// When the member is removed; set if only an earlier epoch listed it.
    expiry: Option<Moment>,
}

#[derive(Clone, Debug)]
struct ShardRecord {
    data_centre: DataCentre,
    epoch: Epoch,
    owner: VmName,
    owner_address: std::net::SocketAddr,
    /// Number of the last update applied in this epoch.
    number: u64,
    /// Whether the members are those of the update `number`; false once they expired.
    complete: bool,
    /// When the last update was applied.
    confirmed: Moment,
    capacity: ShardCapacity,
    members: IndexMap<VmName, MemberRecord>,
}

/// All shards that owners have reported, with their members.
#[derive(Clone, Debug, Default)]
pub struct MembershipTable {
    shards: IndexMap<ShardName, ShardRecord>,
}

impl MembershipTable {
    /// Applies an update received at `now`.
    pub fn apply(&mut self, update: RosterUpdate, now: Moment) -> (RosterOutcome, RosterChange) {
        let unchanged = RosterChange::default();
        match self.shards.get_mut(&update.shard) {
            Some(shard) if update.epoch < shard.epoch => {
                (RosterOutcome::Stale { newer: shard.epoch }, unchanged)
            }
            Some(shard) if update.epoch == shard.epoch => {
                if update.number <= shard.number {
                    let outcome =
                        if shard.complete { RosterOutcome::Repeated } else { RosterOutcome::Gap };
                    return (outcome, unchanged);
                }
                let is_next = shard.complete && update.number == shard.number + 1;
                if !update.full && !is_next {
                    return (RosterOutcome::Gap, unchanged);
                }
                (RosterOutcome::Applied, shard.apply(update, now, None))
            }
            _ if !update.full => (RosterOutcome::Gap, unchanged),
            Some(shard) => {
                let until = now.after(MEMBERSHIP_LIFETIME);
                (RosterOutcome::Applied, shard.apply(update, now, Some(until)))
            }
            None => {
                let mut shard = ShardRecord::new(&update, now);
                let name = update.shard.clone();
                let change = shard.apply(update, now, None);
                self.shards.insert(name, shard);
                (RosterOutcome::Applied, change)
            }
        }
    }

    /// Removes expired members, and all members of shards without an update for
    /// [`MEMBERSHIP_LIFETIME`].
    pub fn expire(&mut self, now: Moment) -> RosterChange {
        let mut change = RosterChange::default();
        for shard in self.shards.values_mut() {
            let outdated = now.since(shard.confirmed) > MEMBERSHIP_LIFETIME;
            if outdated {
                // The epoch stays, so that updates of earlier owners remain stale.
                shard.complete = false;
            }
            shard.members.retain(|vm, record| {
                let gone = outdated || record.expiry.is_some_and(|until| now > until);
                if gone {
                    change.gone.push(vm.clone());
                }
                !gone
            });
        }
        change.gone.retain(|vm| !self.shards.values().any(|shard| shard.members.contains_key(vm)));
        change
    }

    /// Agents of `shard` that only earlier epochs listed.
    #[must_use]
    pub fn earlier_members(&self, shard: &ShardName) -> Vec<AgentIdentity> {
        let members = self.shards.get(shard).into_iter().flat_map(|shard| shard.members.values());
        let earlier = members.filter(|record| record.expiry.is_some());
        earlier.map(|record| record.member.agent.clone()).collect()
    }

    /// Summaries of the shards with a recent update, without `own`.
    #[must_use]
    pub fn summaries(&self, own: &ShardName, now: Moment) -> Vec<ShardSummary> {
        let recent = |shard: &ShardRecord| now.since(shard.confirmed) <= MEMBERSHIP_LIFETIME;
        let others = self.shards.iter().filter(|(name, shard)| *name != own && recent(shard));
        others.map(|(name, shard)| shard.summary(name)).collect()
    }

    /// Free capacity of a shard; `None` without a recent update.
    #[must_use]
    pub fn capacity(&self, shard: &ShardName, now: Moment) -> Option<ShardCapacity> {
        let shard = self.shards.get(shard)?;
        (now.since(shard.confirmed) <= MEMBERSHIP_LIFETIME).then_some(shard.capacity)
    }

    /// All shards and members, for operators.
    #[must_use]
    pub fn view(&self, now: Moment) -> Vec<ShardView> {
        self.shards.iter().map(|(name, shard)| shard.view(name, now)).collect()
    }
}

impl ShardRecord {
    fn new(update: &RosterUpdate, now: Moment) -> Self {
        Self {
            data_centre: update.data_centre.clone(),
            epoch: update.epoch,
            owner: update.owner.clone(),
            owner_address: update.owner_address,
            number: update.number,
            complete: true,
            confirmed: now,
            capacity: update.room,
            members: IndexMap::new(),
        }
    }

    /// Applies an update. With `expiry`, members that a full update does not list
    /// stay until then; without it, they are removed unless they already have an expiry.
    fn apply(&mut self, update: RosterUpdate, now: Moment, expiry: Option<Moment>) -> RosterChange {
        let mut gone = update.gone;
        if update.full {
            for (vm, record) in &mut self.members {
                if update.members.iter().any(|member| member.agent.vm == *vm) {
                    continue;
                }
                match expiry {
                    Some(until) => {
                        record.expiry.get_or_insert(until);
                    }
                    None if record.expiry.is_none() => gone.push(vm.clone()),
                    None => {}
                }
            }
        }
        for vm in &gone {
            self.members.shift_remove(vm);
        }
        for member in &update.members {
            let record = MemberRecord { member: member.clone(), expiry: None };
            self.members.insert(member.agent.vm.clone(), record);
        }
        self.epoch = update.epoch;
        self.owner = update.owner;
        self.owner_address = update.owner_address;
        self.number = update.number;
        self.complete = true;
        self.confirmed = now;
        self.capacity = update.room;
        RosterChange { listed: update.members, gone }
    }

    fn summary(&self, shard: &ShardName) -> ShardSummary {
        ShardSummary {
            shard: shard.clone(),
            data_centre: self.data_centre.clone(),
            epoch: self.epoch,
            room: self.capacity,
        }
    }

    fn view(&self, shard: &ShardName, now: Moment) -> ShardView {
        ShardView {
            shard: shard.clone(),
            data_centre: self.data_centre.clone(),
            epoch: self.epoch,
            owner: self.owner.clone(),
            owner_address: self.owner_address,
            roster_age_ms: now.since(self.confirmed),
            capacity: self.capacity,
            agents: self.members.values().map(MemberRecord::view).collect(),
        }
    }
}

impl MemberRecord {
    fn view(&self) -> AgentView {
        let agent = self.member.agent.clone();
        AgentView {
            vm: agent.vm,
            incarnation: agent.incarnation,
            address: agent.address,
            data_centre: agent.data_centre,
            draining: self.member.draining,
            upstreams: self.member.upstreams.clone(),
            from_earlier_epoch: self.expiry.is_some(),
        }
    }
}
