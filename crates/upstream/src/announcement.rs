//! The upstreams of one VM and what they announce.
//!
//! Decides when an upstream counts as new, leaving or gone, and bounds how many are
//! remembered. Performs no I/O and reads no clock.

use std::net::SocketAddr;

use cactusdoor_core::name::ServiceName;
use cactusdoor_core::unit::{Millis, Moment};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Time without an announcement after which an upstream counts as gone.
pub const UPSTREAM_TIMEOUT: Millis = 3_000;
/// Most services of one VM; bounds the memory that a faulty upstream can fill.
pub const MAX_SERVICES: usize = 64;
/// Largest number of slots or connections that is accepted.
pub const MAX_CONNECTIONS: u32 = 10_000;

/// `PUT /v1/upstream`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    pub service: ServiceName,
    pub address: SocketAddr,
    /// Requests that the upstream processes at the same time.
    pub slots: u32,
    /// Connections that the upstream accepts at the same time.
    pub connections: u32,
}

impl Announcement {
    /// Whether slots and connections are in range.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let range = 1..=MAX_CONNECTIONS;
        range.contains(&self.slots) && range.contains(&self.connections)
    }
}

/// An upstream on the agent's VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalUpstream {
    pub announcement: Announcement,
    /// When the newest announcement was received.
    pub announced_at: Moment,
    /// When the upstream reported that it leaves.
    pub left_at: Option<Moment>,
}

impl LocalUpstream {
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.left_at.is_some()
    }

    fn is_gone(&self, now: Moment) -> bool {
        now.since(self.announced_at) >= UPSTREAM_TIMEOUT
    }
}

/// Effect of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementEffect {
    New,
    Repeated,
    /// Ignored, because the upstream reported less than [`UPSTREAM_TIMEOUT`] ago that it
    /// leaves.
    Leaving,
    /// Ignored, because the VM has [`MAX_SERVICES`] services already.
    Full,
}

/// The upstreams of one VM, by service.
#[derive(Clone, Debug, Default)]
pub struct UpstreamTable {
    upstreams: IndexMap<ServiceName, LocalUpstream>,
}

impl UpstreamTable {
    /// Applies an announcement.
    ///
    /// A leaving upstream stays leaving if an announcement arrives soon after its leave
    /// request, as it may have been sent before. A restarted upstream is accepted again
    /// [`UPSTREAM_TIMEOUT`] after the leave request.
    pub fn announce(&mut self, now: Moment, announcement: Announcement) -> AnnouncementEffect {
        self.remove_gone(now);
        let full = self.upstreams.len() >= MAX_SERVICES;
        match self.upstreams.get_mut(&announcement.service) {
            Some(upstream)
                if upstream
                    .left_at
                    .is_some_and(|left_at| now.since(left_at) < UPSTREAM_TIMEOUT) =>
            {
                AnnouncementEffect::Leaving
            }
            Some(upstream) => {
                let new = upstream.is_leaving();
                *upstream = LocalUpstream { announcement, announced_at: now, left_at: None };
                if new { AnnouncementEffect::New } else { AnnouncementEffect::Repeated }
            }
            None if full => AnnouncementEffect::Full,
            None => {
                let upstream = LocalUpstream { announcement, announced_at: now, left_at: None };
                self.upstreams.insert(upstream.announcement.service.clone(), upstream);
                AnnouncementEffect::New
            }
        }
    }

    /// Marks one upstream as leaving, or all of them; returns the services that were not
    /// leaving before.
    pub fn leave(&mut self, now: Moment, service: Option<&ServiceName>) -> Vec<ServiceName> {
        let mut leaving = Vec::new();
        for (name, upstream) in &mut self.upstreams {
            if service.is_none_or(|service| service == name) && !upstream.is_leaving() {
                upstream.left_at = Some(now);
                leaving.push(name.clone());
            }
        }
        leaving
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

    fn remove_gone(&mut self, now: Moment) {
        self.upstreams.retain(|_, upstream| !upstream.is_gone(now));
    }
}
