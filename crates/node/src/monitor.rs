//! Monitoring over HTTP: metrics, health, readiness and events.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use actix_web::http::header::ContentType;
use actix_web::web::{Data, Json, Query, ServiceConfig, get};
use actix_web::{HttpResponse, Responder};
use cactusdoor_timeline::EventLog;
use prometheus::{Encoder, Registry, TextEncoder};
use serde::Deserialize;

/// Most events in one answer.
const MAX_PAGE_EVENTS: usize = 2_000;

/// State behind the monitoring routes; every HTTP server of a process shares it.
#[derive(Clone)]
pub struct ProcessMonitor {
    pub registry: Registry,
    pub events: EventLog,
    ready: Arc<AtomicBool>,
}

impl ProcessMonitor {
    /// Creates a monitor that reports the process as not ready.
    #[must_use]
    pub fn open(events: EventLog) -> Self {
        Self { registry: Registry::new(), events, ready: Arc::new(AtomicBool::new(false)) }
    }

    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Adds `/metrics`, `/healthz`, `/readyz` and `/v1/events` to a server.
    pub fn configure(&self, config: &mut ServiceConfig) {
        config
            .app_data(Data::new(self.clone()))
            .route("/metrics", get().to(metrics))
            .route("/healthz", get().to(healthz))
            .route("/readyz", get().to(readyz))
            .route("/v1/events", get().to(events));
    }
}

async fn metrics(monitor: Data<ProcessMonitor>) -> impl Responder {
    let mut text = Vec::new();
    match TextEncoder::new().encode(&monitor.registry.gather(), &mut text) {
        Ok(()) => HttpResponse::Ok().content_type(ContentType::plaintext()).body(text),
        Err(error) => {
            log::error!("could not encode metrics: {error}");
            HttpResponse::InternalServerError().finish()
        }
    }
}

async fn healthz() -> impl Responder {
    HttpResponse::Ok().body("ok\n")
}

async fn readyz(monitor: Data<ProcessMonitor>) -> impl Responder {
    if monitor.is_ready() {
        HttpResponse::Ok().body("ready\n")
    } else {
        HttpResponse::ServiceUnavailable().body("not ready\n")
    }
}

#[derive(Deserialize)]
struct EventQuery {
    #[serde(default)]
    from: u64,
}

async fn events(monitor: Data<ProcessMonitor>, query: Query<EventQuery>) -> impl Responder {
    Json(monitor.events.page(query.from, MAX_PAGE_EVENTS))
}
