//! Addresses of the other entries: seeds, those in recent contact, and those that
//! other entries named.

use std::net::SocketAddr;

use cactusdoor_core::constants::MEMBERSHIP_LIFETIME;
use cactusdoor_core::unit::Moment;
use indexmap::{IndexMap, IndexSet};

/// Most entries stored, far above the few that a platform runs.
const MAX_ENTRIES: usize = 256;

/// Addresses of entries and the times of their last contact.
#[derive(Clone, Debug)]
pub struct EntryDirectory {
    own: SocketAddr,
    seeds: Vec<SocketAddr>,
    /// Named by other entries; not live until they answer themselves.
    suggested: Vec<SocketAddr>,
    last_contact: IndexMap<SocketAddr, Moment>,
}

impl EntryDirectory {
    #[must_use]
    pub fn new(own: SocketAddr, seeds: Vec<SocketAddr>) -> Self {
        Self { own, seeds, suggested: Vec::new(), last_contact: IndexMap::new() }
    }

    /// Records contact with an entry at `now`.
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

    /// Removes entries without contact for [`MEMBERSHIP_LIFETIME`].
    pub fn expire(&mut self, now: Moment) {
        self.last_contact.retain(|_, last_contact| now.since(*last_contact) <= MEMBERSHIP_LIFETIME);
    }

    /// This entry and all entries in recent contact.
    #[must_use]
    pub fn live(&self) -> Vec<SocketAddr> {
        std::iter::once(self.own).chain(self.last_contact.keys().copied()).collect()
    }

    /// Entries to which this one introduces itself.
    #[must_use]
    pub fn targets(&self) -> Vec<SocketAddr> {
        let mut targets: Vec<_> = self.last_contact.keys().copied().collect();
        let is_new = |address: &&SocketAddr| {
            **address != self.own && !self.last_contact.contains_key(*address)
        };
        let others: IndexSet<_> =
            self.seeds.iter().chain(&self.suggested).filter(is_new).copied().collect();
        targets.extend(others);
        targets
    }
}
