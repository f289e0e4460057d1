//! HTTP endpoint at which upstreams announce themselves and report that they leave.
//!
//! The agent's settings contain its address, usually the loopback address of the VM.
//! Checks announcements, applies them to the [`UpstreamTable`] and records the changes.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use actix_web::web::{Data, Json, Query, ServiceConfig, resource};
use actix_web::{HttpResponse, Responder, web};
use cactusdoor_core::name::{ServiceName, VmName};
use cactusdoor_core::unit::Moment;
use cactusdoor_node::clock::MonotonicClock;
use cactusdoor_timeline::{EventKind, EventLog};
use serde::Deserialize;

use crate::announcement::{
    Announcement, AnnouncementEffect, LocalUpstream, MAX_CONNECTIONS, MAX_SERVICES, UpstreamTable,
};

/// Shared handle to the upstreams of this VM; clones share them.
#[derive(Clone)]
pub struct UpstreamRegistry {
    vm: VmName,
    clock: MonotonicClock,
    events: EventLog,
    table: Arc<Mutex<UpstreamTable>>,
}

impl UpstreamRegistry {
    #[must_use]
    pub fn open(vm: VmName, clock: MonotonicClock, events: EventLog) -> Self {
        Self { vm, clock, events, table: Arc::default() }
    }

    fn table(&self) -> MutexGuard<'_, UpstreamTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The upstream of a service, unless it is gone.
    #[must_use]
    pub fn upstream(&self, service: &ServiceName) -> Option<LocalUpstream> {
        self.table().upstream(self.now(), service).cloned()
    }

    /// All upstreams that are not gone.
    #[must_use]
    pub fn present(&self) -> Vec<LocalUpstream> {
        self.table().present(self.now()).cloned().collect()
    }

    pub fn announce(&self, announcement: Announcement) -> AnnouncementEffect {
        let service = announcement.service.clone();
        let effect = self.table().announce(self.now(), announcement);
        if effect == AnnouncementEffect::New {
            log::info!(service = service.as_str(); "upstream announced itself");
            self.events.record(EventKind::UpstreamAnnounced { vm: self.vm.clone(), service });
        }
        effect
    }

    /// Marks one upstream as leaving, or all of them.
    pub fn leave(&self, service: Option<&ServiceName>) {
        let leaving = self.table().leave(self.now(), service);
        for service in leaving {
            log::info!(service = service.as_str(); "upstream is leaving");
            self.events.record(EventKind::UpstreamLeaving { vm: self.vm.clone(), service });
        }
    }

    fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Adds `/v1/upstream` to a server.
    pub fn configure(&self, config: &mut ServiceConfig) {
        config.app_data(Data::new(self.clone())).service(
            resource("/v1/upstream").route(web::put().to(announce)).route(web::delete().to(leave)),
        );
    }
}

async fn announce(
    registry: Data<UpstreamRegistry>,
    announcement: Json<Announcement>,
) -> impl Responder {
    if !announcement.is_valid() {
        let answer = format!("slots and connections must be from 1 to {MAX_CONNECTIONS}\n");
        return HttpResponse::BadRequest().body(answer);
    }
    match registry.announce(announcement.into_inner()) {
        AnnouncementEffect::New | AnnouncementEffect::Repeated => {
            HttpResponse::NoContent().finish()
        }
        AnnouncementEffect::Leaving => HttpResponse::Conflict().body("upstream is leaving\n"),
        AnnouncementEffect::Full => {
            let answer = format!("this VM has {MAX_SERVICES} services already\n");
            HttpResponse::InsufficientStorage().body(answer)
        }
    }
}

/// Without a service, all upstreams of the VM leave.
#[derive(Deserialize)]
struct LeaveQuery {
    service: Option<ServiceName>,
}

async fn leave(registry: Data<UpstreamRegistry>, query: Query<LeaveQuery>) -> impl Responder {
    registry.leave(query.service.as_ref());
    HttpResponse::NoContent().finish()
}
