//! HTTP endpoint for upstreams, on the loopback address of the VM.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use actix_web::web::{Data, Json, Query, ServiceConfig, resource};
use actix_web::{HttpResponse, Responder, web};
use cactusdoor_core::name::{ServiceName, VmName};
use cactusdoor_core::unit::Moment;
use cactusdoor_node::clock::MonotonicClock;
use cactusdoor_timeline::{EventKind, EventLog};
use serde::Deserialize;

use crate::announcement::{
    Announcement, AnnouncementBook, AnnouncementEffect, LocalUpstream, MAX_CONNECTIONS,
    MAX_SERVICES,
};

/// Shared handle to the upstreams of this VM.
#[derive(Clone)]
pub struct UpstreamRegistry {
    vm: VmName,
    clock: MonotonicClock,
    events: EventLog,
    book: Arc<Mutex<AnnouncementBook>>,
}

impl UpstreamRegistry {
    #[must_use]
    pub fn open(vm: VmName, clock: MonotonicClock, events: EventLog) -> Self {
        Self { vm, clock, events, book: Arc::default() }
    }

    fn book(&self) -> MutexGuard<'_, AnnouncementBook> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The upstream of a service, unless it is gone.
    #[must_use]
    pub fn upstream(&self, service: &ServiceName) -> Option<LocalUpstream> {
        self.book().upstream(self.now(), service).cloned()
    }

    /// All upstreams that are not gone.
    #[must_use]
    pub fn present(&self) -> Vec<LocalUpstream> {
        self.book().present(self.now()).cloned().collect()
    }

    pub fn announce(&self, announcement: Announcement) -> AnnouncementEffect {
        let service = announcement.service.clone();
        let effect = self.book().announce(self.now(), announcement);
        if effect == AnnouncementEffect::New {
            log::info!(service = service.as_str(); "upstream announced itself");
            self.events.record(EventKind::UpstreamAnnounced { vm: self.vm.clone(), service });
        }
        effect
    }

    /// Marks one upstream as leaving, or all of them.
    pub fn leave(&self, service: Option<&ServiceName>) {
        let left = self.book().leave(self.now(), service);
        for service in left {
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
        let range = format!("slots and connections must be from 1 to {MAX_CONNECTIONS}\n");
        return HttpResponse::BadRequest().body(range);
    }
    match registry.announce(announcement.into_inner()) {
        AnnouncementEffect::New | AnnouncementEffect::Repeated => {
            HttpResponse::NoContent().finish()
        }
        AnnouncementEffect::Leaving => HttpResponse::Conflict().body("upstream is leaving\n"),
        AnnouncementEffect::Full => {
            let bound = format!("this VM has {MAX_SERVICES} services already\n");
            HttpResponse::InsufficientStorage().body(bound)
        }
    }
}

/// A VM may run several services; without a name all of them leave.
#[derive(Deserialize)]
struct LeaveQuery {
    service: Option<ServiceName>,
}

async fn leave(registry: Data<UpstreamRegistry>, query: Query<LeaveQuery>) -> impl Responder {
    registry.leave(query.service.as_ref());
    HttpResponse::NoContent().finish()
}
