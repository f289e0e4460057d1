//! Which upstreams are there, from what they announce.

use std::net::SocketAddr;

use cactusdoor_core::name::ServiceName;
use cactusdoor_core::unit::{Millis, Moment};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Silence after which an upstream counts as gone.
pub const UPSTREAM_SILENCE: Millis = 3_000;
/// Services of one VM; a bound on what a faulty upstream can fill.
pub const MAX_SERVICES: usize = 64;
/// Largest number of slots or connections that is taken at its word.
pub const MAX_CONNECTIONS: u32 = 10_000;

/// `PUT /v1/upstream`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    pub service: ServiceName,
    pub address: SocketAddr,
    /// Requests that it works on at the same time.
    pub slots: u32,
    /// Connections that it accepts at the same time.
    pub connections: u32,
}

impl Announcement {
    /// Whether the figures are in range.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let range = 1..=MAX_CONNECTIONS;
        range.contains(&self.slots) && range.contains(&self.connections)
    }
}

/// An upstream beside this agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalUpstream {
    pub announcement: Announcement,
    pub heard: Moment,
    /// When it said that it leaves.
    pub left: Option<Moment>,
}

impl LocalUpstream {
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.left.is_some()
    }

    fn is_gone(&self, now: Moment) -> bool {
        now.since(self.heard) >= UPSTREAM_SILENCE
    }
}

/// What an announcement changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementEffect {
    New,
    Repeated,
    /// Sent before, but received after the message that the upstream leaves.
    Leaving,
    /// Too many services.
    Full,
}

/// The upstreams beside one agent, by service.
#[derive(Clone, Debug, Default)]
pub struct AnnouncementBook {
    upstreams: IndexMap<ServiceName, LocalUpstream>,
}

impl AnnouncementBook {
    /// Takes an announcement.
    ///
    /// One that overtakes or follows the upstream's farewell does not revive it:
    /// a restarted upstream is taken back once the silence has passed.
    pub fn announce(&mut self, now: Moment, announcement: Announcement) -> AnnouncementEffect {
        self.drop_gone(now);
        let full = self.upstreams.len() >= MAX_SERVICES;
        match self.upstreams.get_mut(&announcement.service) {
            Some(upstream)
                if upstream.left.is_some_and(|left| now.since(left) < UPSTREAM_SILENCE) =>
            {
                AnnouncementEffect::Leaving
            }
            Some(upstream) => {
                let new = upstream.is_leaving();
                *upstream = LocalUpstream { announcement, heard: now, left: None };
                if new { AnnouncementEffect::New } else { AnnouncementEffect::Repeated }
            }
            None if full => AnnouncementEffect::Full,
            None => {
                let upstream = LocalUpstream { announcement, heard: now, left: None };
                self.upstreams.insert(upstream.announcement.service.clone(), upstream);
                AnnouncementEffect::New
            }
        }
    }

    /// Marks one upstream as leaving, or all of them; returns the services.
    pub fn leave(&mut self, now: Moment, service: Option<&ServiceName>) -> Vec<ServiceName> {
        let mut left = Vec::new();
        for (name, upstream) in &mut self.upstreams {
            if service.is_none_or(|service| service == name) && !upstream.is_leaving() {
                upstream.left = Some(now);
                left.push(name.clone());
            }
        }
        left
    }

    /// The upstream of a service, unless it is gone.
    #[must_use]
    pub fn upstream(&self, now: Moment, service: &ServiceName) -> Option<&LocalUpstream> {
        self.upstreams.get(service).filter(|upstream| !upstream.is_gone(now))
    }

    /// All upstreams that are not gone.
    pub fn present(&self, now: Moment) -> impl Iterator<Item = &LocalUpstream> {
        self.upstreams.values().filter(move |upstream| !upstream.is_gone(now))
    }

    fn drop_gone(&mut self, now: Moment) {
        self.upstreams.retain(|_, upstream| !upstream.is_gone(now));
    }
}
