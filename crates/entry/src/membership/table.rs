//! The table of members, without I/O.
//!
//! An update with an older epoch, or one that does not follow the last one,
//! changes nothing. Members of an earlier epoch stay until the new owner lists
//! them or until they have not been listed for [`MEMBERSHIP_LIFETIME`].

use cactusdoor_core::constants::MEMBERSHIP_LIFETIME;
use cactusdoor_core::name::{DataCentre, ShardName, VmName};
use cactusdoor_core::unit::{Epoch, Moment};
use cactusdoor_operator::types::{AgentView, ShardView};
use cactusdoor_peer::heartbeat::AgentIdentity;
use cactusdoor_peer::roster::{RosterMember, RosterUpdate, ShardCapacity, ShardSummary};
use indexmap::IndexMap;

/// What the table made of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RosterVerdict {
    Applied,
    /// Seen before; nothing changed.
    Repeated,
    /// The complete list is needed.
    Gap,
    /// A newer epoch is known.
    Stale {
        newer: Epoch,
    },
}

/// Members that changed and members that are gone.
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
struct MemberEntry {
    member: RosterMember,
    /// Set if only an earlier epoch listed it: when it is forgotten.
    earlier_until: Option<Moment>,
}

#[derive(Clone, Debug)]
struct ShardEntry {
    data_centre: DataCentre,
    epoch: Epoch,
    owner: VmName,
    owner_address: std::net::SocketAddr,
    number: u64,
    /// Whether the members are those of the update `number`.
    complete: bool,
    confirmed: Moment,
    room: ShardCapacity,
    members: IndexMap<VmName, MemberEntry>,
}

/// All shards that owners have reported.
#[derive(Clone, Debug, Default)]
pub struct MembershipTable {
    shards: IndexMap<ShardName, ShardEntry>,
}

impl MembershipTable {
    /// Takes over an update received at `now`.
    pub fn apply(&mut self, update: RosterUpdate, now: Moment) -> (RosterVerdict, RosterChange) {
        let nothing = RosterChange::default();
        match self.shards.get_mut(&update.shard) {
            Some(shard) if update.epoch < shard.epoch => {
                (RosterVerdict::Stale { newer: shard.epoch }, nothing)
            }
            Some(shard) if update.epoch == shard.epoch => {
                if update.number <= shard.number {
                    let verdict =
                        if shard.complete { RosterVerdict::Repeated } else { RosterVerdict::Gap };
                    return (verdict, nothing);
                }
                let follows = shard.complete && update.number == shard.number + 1;
                if !update.full && !follows {
                    return (RosterVerdict::Gap, nothing);
                }
                (RosterVerdict::Applied, shard.take(update, now, None))
            }
            _ if !update.full => (RosterVerdict::Gap, nothing),
            Some(shard) => {
                let until = now.after(MEMBERSHIP_LIFETIME);
                (RosterVerdict::Applied, shard.take(update, now, Some(until)))
            }
            None => {
                let mut shard = ShardEntry::new(&update, now);
                let name = update.shard.clone();
                let change = shard.take(update, now, None);
                self.shards.insert(name, shard);
                (RosterVerdict::Applied, change)
            }
        }
    }

    /// Forgets members of shards that were silent for too long.
    pub fn age(&mut self, now: Moment) -> RosterChange {
        let mut change = RosterChange::default();
        for shard in self.shards.values_mut() {
            let silent = now.since(shard.confirmed) > MEMBERSHIP_LIFETIME;
            if silent {
                // The epoch stays, so that no earlier owner is believed.
                shard.complete = false;
            }
            shard.members.retain(|vm, entry| {
                let gone = silent || entry.earlier_until.is_some_and(|until| now > until);
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
        let earlier = members.filter(|entry| entry.earlier_until.is_some());
        earlier.map(|entry| entry.member.agent.clone()).collect()
    }

    /// Summaries of the shards heard of lately, without `own`.
    #[must_use]
    pub fn summaries(&self, own: &ShardName, now: Moment) -> Vec<ShardSummary> {
        let recent = |shard: &ShardEntry| now.since(shard.confirmed) <= MEMBERSHIP_LIFETIME;
        let others = self.shards.iter().filter(|(name, shard)| *name != own && recent(shard));
        others.map(|(name, shard)| shard.summary(name)).collect()
    }

    /// Room of a shard heard of lately.
    #[must_use]
    pub fn room(&self, shard: &ShardName, now: Moment) -> Option<ShardCapacity> {
        let shard = self.shards.get(shard)?;
        (now.since(shard.confirmed) <= MEMBERSHIP_LIFETIME).then_some(shard.room)
    }

    /// Everything, for operators.
    #[must_use]
    pub fn view(&self, now: Moment) -> Vec<ShardView> {
        self.shards.iter().map(|(name, shard)| shard.view(name, now)).collect()
    }
}

impl ShardEntry {
    fn new(update: &RosterUpdate, now: Moment) -> Self {
        Self {
            data_centre: update.data_centre.clone(),
            epoch: update.epoch,
            owner: update.owner.clone(),
            owner_address: update.owner_address,
            number: update.number,
            complete: true,
            confirmed: now,
            room: update.room,
            members: IndexMap::new(),
        }
    }

    /// Takes over an update; unlisted members of an earlier epoch stay until `keep`.
    fn take(&mut self, update: RosterUpdate, now: Moment, keep: Option<Moment>) -> RosterChange {
        let mut gone = update.gone;
        if update.full {
            for (vm, entry) in &mut self.members {
                if update.members.iter().any(|member| member.agent.vm == *vm) {
                    continue;
                }
                match keep {
                    Some(until) => {
                        entry.earlier_until.get_or_insert(until);
                    }
                    None if entry.earlier_until.is_none() => gone.push(vm.clone()),
                    None => {}
                }
            }
        }
        for vm in &gone {
            self.members.shift_remove(vm);
        }
        for member in &update.members {
            let entry = MemberEntry { member: member.clone(), earlier_until: None };
            self.members.insert(member.agent.vm.clone(), entry);
        }
        self.epoch = update.epoch;
        self.owner = update.owner;
        self.owner_address = update.owner_address;
        self.number = update.number;
        self.complete = true;
        self.confirmed = now;
        self.room = update.room;
        RosterChange { listed: update.members, gone }
    }

    fn summary(&self, shard: &ShardName) -> ShardSummary {
        ShardSummary {
            shard: shard.clone(),
            data_centre: self.data_centre.clone(),
            epoch: self.epoch,
            room: self.room,
        }
    }

    fn view(&self, shard: &ShardName, now: Moment) -> ShardView {
        ShardView {
            shard: shard.clone(),
            data_centre: self.data_centre.clone(),
            epoch: self.epoch,
            owner: self.owner.clone(),
            owner_address: self.owner_address,
            silent_ms: now.since(self.confirmed),
            room: self.room,
            agents: self.members.values().map(MemberEntry::view).collect(),
        }
    }
}

impl MemberEntry {
    fn view(&self) -> AgentView {
        let agent = self.member.agent.clone();
        AgentView {
            vm: agent.vm,
            incarnation: agent.incarnation,
            address: agent.address,
            data_centre: agent.data_centre,
            draining: self.member.draining,
            upstreams: self.member.upstreams.clone(),
            earlier: self.earlier_until.is_some(),
        }
    }
}
