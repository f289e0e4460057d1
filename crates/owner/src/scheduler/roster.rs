//! Updates for entries about the shard's agents and free capacity, and the entries'
//! answers about other shards.

use cactusdoor_core::constants::{MEMBERSHIP_LIFETIME, REMOTE_OWNER_TIMEOUT};
use cactusdoor_core::name::{ShardName, VmName};
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::{Millis, Moment};
use cactusdoor_peer::heartbeat::{AgentIdentity, OwnerNotice};
use cactusdoor_peer::roster::{RosterMember, RosterReply, RosterUpdate, ShardCapacity};
use cactusdoor_timeline::HybridTime;
use indexmap::IndexMap;

use super::ShardScheduler;
use super::action::SchedulerAction;

/// Age of the last answer of an entry up to which its list of silent shards is used; also
/// the least time between two notices to one agent.
const REPLY_LIFETIME: Millis = 5_000;

#[derive(Clone, Debug, Default)]
pub(super) struct RosterState {
    /// When an entry last reported a summary of each shard.
    last_reported: IndexMap<ShardName, Moment>,
    last_reply: Option<Moment>,
    /// When each agent was last notified of the new owner.
    announced: IndexMap<VmName, Moment>,
}

/// The members last sent to one entry.
#[derive(Clone, Debug, Default)]
pub struct EntryView {
    number: u64,
    /// Whether the entry has received `members`.
    synchronised: bool,
    members: IndexMap<VmName, RosterMember>,
}

impl EntryView {
    /// Sends the complete list next time.
    pub fn reset(&mut self) {
        self.members.clear();
        self.synchronised = false;
    }
}

impl ShardScheduler {
    /// Builds the next update for an entry; `None` while this process does not own the
    /// shard.
    pub fn roster(&self, now: Moment, view: &mut EntryView) -> Option<RosterUpdate> {
        let epoch = self.owned_epoch()?;
        let mut members: IndexMap<VmName, RosterMember> = IndexMap::new();
        for (vm, agent) in &self.agents {
            if now.since(agent.last_heartbeat) < MEMBERSHIP_LIFETIME {
                let upstreams = agent.upstreams.clone();
                let (agent, draining) = (agent.identity.clone(), agent.draining);
                members.insert(vm.clone(), RosterMember { agent, draining, upstreams });
            }
        }
        let full = !view.synchronised;
        let known = &view.members;
        let changed = members.iter().filter(|(vm, member)| known.get(*vm) != Some(*member));
        let changed: Vec<RosterMember> = changed.map(|(_, member)| member.clone()).collect();
        let gone = known.keys().filter(|vm| !members.contains_key(*vm)).cloned().collect();
        view.members = members;
        view.number += 1;
        view.synchronised = true;
        Some(RosterUpdate {
            at: HybridTime::default(),
            shard: self.settings.shard.clone(),
            data_centre: self.data_centre.clone(),
            epoch,
            owner: self.settings.identity.vm.clone(),
            owner_address: self.settings.identity.address,
            number: view.number,
            full,
            members: changed,
            gone,
            room: self.shard_capacity(now),
        })
    }

    fn shard_capacity(&self, now: Moment) -> ShardCapacity {
        let mut capacity = ShardCapacity {
            pending_tasks: u32::try_from(self.index.pending_count()).unwrap_or(u32::MAX),
            ..ShardCapacity::default()
        };
        for (vm, agent) in self.agents.iter().filter(|(_, agent)| agent.accepts_tasks(now)) {
            let committed = self.index.vm(vm).map_or(ResourceVector::ZERO, |load| load.committed);
            let used =
                committed.saturating_add(self.appends.reserved(vm)).saturating_add(agent.orphaned);
            let free = agent.capacity.saturating_sub(used);
            capacity.free = capacity.free.saturating_add(free);
            let size = |amount: ResourceVector| (amount.accelerators, amount.processors);
            if size(free) > size(capacity.largest) {
                capacity.largest = free;
            }
        }
        capacity
    }

    /// Applies an entry's answer to an update.
    pub fn roster_answered(&mut self, now: Moment, reply: &RosterReply) {
        if self.tenure().is_none() {
            return;
        }
        self.roster.last_reply = Some(now);
        for summary in &reply.shards {
            self.roster.last_reported.insert(summary.shard.clone(), now);
            if summary.shard != self.settings.shard {
                self.transfers.update_summary(now, summary.clone());
            }
        }
        for shard in &self.settings.shards {
            self.roster.last_reported.entry(shard.clone()).or_insert(now);
        }
        for agent in &reply.earlier_members {
            self.announce(now, agent);
        }
    }

    /// Notifies an agent of this owner if the agent has not accepted it yet.
    fn announce(&mut self, now: Moment, agent: &AgentIdentity) {
        let accepted = self.agents.get(&agent.vm).is_some_and(|known| known.adopted);
        let last = self.roster.announced.get(&agent.vm).copied();
        let recently = last.is_some_and(|at| now.since(at) < REPLY_LIFETIME);
        let Some(epoch) = self.owned_epoch() else { return };
        if accepted || recently {
            return;
        }
        self.roster.announced.insert(agent.vm.clone(), now);
        let notice = OwnerNotice {
            shard: self.settings.shard.clone(),
            epoch,
            address: self.settings.identity.address,
        };
        self.push_action(SchedulerAction::Announce { address: agent.address, notice });
    }

    /// Shards whose summary no entry has sent for `REMOTE_OWNER_TIMEOUT`.
    pub(super) fn silent_shards(&self, now: Moment) -> Vec<ShardName> {
        if self.roster.last_reply.is_none_or(|at| now.since(at) > REPLY_LIFETIME) {
            return Vec::new();
        }
        let silent = |at: &Moment| now.since(*at) >= REMOTE_OWNER_TIMEOUT;
        let shards = self.roster.last_reported.iter().filter(|(_, at)| silent(at));
        shards.map(|(shard, _)| shard.clone()).collect()
    }
}
