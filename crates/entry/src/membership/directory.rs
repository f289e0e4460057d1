//! Entries known to this one: the seeds, and those that introduced themselves.

use std::net::SocketAddr;

use cactusdoor_core::constants::MEMBERSHIP_LIFETIME;
use cactusdoor_core::unit::Moment;
use indexmap::{IndexMap, IndexSet};

/// Most entries that are remembered; the platform has a few.
const MAX_ENTRIES: usize = 256;

/// Addresses of entries and when they were last heard of.
#[derive(Clone, Debug)]
pub struct EntryDirectory {
    own: SocketAddr,
    seeds: Vec<SocketAddr>,
    /// Named by other entries and not heard of directly.
    suggested: Vec<SocketAddr>,
    last_contact: IndexMap<SocketAddr, Moment>,
}

impl EntryDirectory {
    #[must_use]
    pub fn new(own: SocketAddr, seeds: Vec<SocketAddr>) -> Self {
        Self { own, seeds, suggested: Vec::new(), last_contact: IndexMap::new() }
    }

    /// Takes note of an entry that spoke at `now`.
    pub fn record_contact(&mut self, entry: SocketAddr, now: Moment) {
        if entry != self.own
            && (self.last_contact.len() < MAX_ENTRIES || self.last_contact.contains_key(&entry))
        {
            self.last_contact.insert(entry, now);
        }
    }

    /// Replaces the entries that others named.
    pub fn set_suggested(&mut self, entries: impl Iterator<Item = SocketAddr>) {
        self.suggested = entries.take(MAX_ENTRIES).collect();
    }

    /// Forgets entries that were silent for too long.
    pub fn expire(&mut self, now: Moment) {
        self.last_contact.retain(|_, last_contact| now.since(*last_contact) <= MEMBERSHIP_LIFETIME);
    }

    /// This entry and all that were heard of lately.
    #[must_use]
    pub fn live(&self) -> Vec<SocketAddr> {
        std::iter::once(self.own).chain(self.last_contact.keys().copied()).collect()
    }

    /// Entries to introduce this one to.
    #[must_use]
    pub fn targets(&self) -> Vec<SocketAddr> {
        let mut targets: Vec<_> = self.last_contact.keys().copied().collect();
        let new = |seed: &&SocketAddr| **seed != self.own && !self.last_contact.contains_key(*seed);
        let others: IndexSet<_> =
            self.seeds.iter().chain(&self.suggested).filter(new).copied().collect();
        targets.extend(others);
        targets
    }
}
