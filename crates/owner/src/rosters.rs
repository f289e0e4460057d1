//! Sends the shard's roster (its agents and free capacity) to entries each second, and
//! tracks which entries answer.

use std::net::SocketAddr;

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use cactusdoor_peer::roster::RosterReply;
use indexmap::IndexMap;

use crate::peers::{CallError, short_call};
use crate::scheduler::EntryView;
use crate::shard_actor::ShardActor;

/// Entries known to this owner.
pub struct KnownEntries {
    entries: IndexMap<SocketAddr, KnownEntry>,
}

#[derive(Default)]
struct KnownEntry {
    view: EntryView,
    calling: bool,
    /// From the settings; kept even if it does not answer.
    seed: bool,
    /// Calls without an answer since the last answer.
    failures: u32,
}

/// Failures in a row after which an entry that other entries named is forgotten.
const MAX_FAILURES: u32 = 30;

impl KnownEntries {
    #[must_use]
    pub fn new(seeds: &[SocketAddr]) -> Self {
        let seed = || KnownEntry { seed: true, ..KnownEntry::default() };
        Self { entries: seeds.iter().map(|address| (*address, seed())).collect() }
    }
}

impl ShardActor {
    /// Sends every entry its update, unless a call to it is under way.
    pub(crate) fn send_rosters(&mut self, ctx: &mut Context<Self>) {
        let now = self.core.settings.clock.now();
        let mut updates = Vec::new();
        for (address, entry) in &mut self.entries.entries {
            if entry.calling {
                continue;
            }
            if let Some(mut update) = self.scheduler.roster(now, &mut entry.view) {
                update.at = self.core.settings.events.stamp();
                entry.calling = true;
                updates.push((*address, update));
            }
        }
        for (address, update) in updates {
            let peers = self.core.peers.clone();
            let call = async move {
                let client = peers.entry(address).await?;
                peers.answer(address, client.roster(short_call(), update).await)
            };
            ctx.spawn(call.into_actor(self).map(move |result, actor, ctx| {
                actor.roster_answered(address, result);
                actor.execute_actions(ctx);
            }));
        }
    }

    fn roster_answered(&mut self, address: SocketAddr, result: Result<RosterReply, CallError>) {
        let Some(entry) = self.entries.entries.get_mut(&address) else { return };
        entry.calling = false;
        match result {
            Ok(reply) => {
                entry.failures = 0;
                if reply.needs_full {
                    entry.view.reset();
                }
                let settings = &self.core.settings;
                settings.events.observe(reply.at);
                self.scheduler.roster_answered(settings.clock.now(), &reply);
                for other in reply.entries {
                    self.entries.entries.entry(other).or_default();
                }
            }
            Err(error) => {
                log::debug!("could not send the roster: {error}");
                entry.failures += 1;
                // The update may or may not have arrived.
                entry.view.reset();
                if !entry.seed && entry.failures >= MAX_FAILURES {
                    self.entries.entries.swap_remove(&address);
                }
            }
        }
    }
}
