//! HTTP server of an agent: announcements of its worker, and metrics.
//!
//! Parses announcements and passes them to the worker controller, which decides what follows.

use std::net::SocketAddr;

use actix_web::dev::ServerHandle;
use actix_web::web::{Bytes, Data, Path};
use actix_web::{App, HttpResponse, HttpServer, web};
use anyhow::Context as _;
use cactusdoor_platform::announcement::{self, AnnouncementAnswer, WorkerAnnouncement};
use cactusdoor_platform::calls;
use prometheus::Registry;
use tokio::sync::mpsc;

use crate::{metrics, odd_entry};

/// An announcement or a departure of a worker.
#[derive(Debug)]
pub enum WorkerMessage {
    Announced(WorkerAnnouncement),
    /// The worker with this id ends now.
    Left(String),
}

struct ServerState {
    messages: mpsc::UnboundedSender<WorkerMessage>,
    registry: Registry,
}

/// Listens for the worker at `address` and serves metrics at `metrics_address`.
pub fn bind(
    address: SocketAddr,
    metrics_address: SocketAddr,
    registry: Registry,
) -> anyhow::Result<(ServerHandle, mpsc::UnboundedReceiver<WorkerMessage>)> {
    let (messages, receiver) = mpsc::unbounded_channel();
    let state = Data::new(ServerState { messages, registry });
    let server = HttpServer::new(move || {
        App::new()
            .app_data(state.clone())
            .route(calls::ANNOUNCE, web::post().to(announce))
            .route(calls::LEAVE, web::post().to(leave))
            .route("/metrics", web::get().to(metrics))
    });
    let server = server.workers(1).disable_signals().shutdown_timeout(1);
    let server = server.bind(address).with_context(|| format!("could not listen at {address}"))?;
    let server = server
        .bind(metrics_address)
        .with_context(|| format!("could not listen at {metrics_address}"))?;
    let server = server.run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok((handle, receiver))
}

async fn announce(state: Data<ServerState>, id: Path<String>, body: Bytes) -> HttpResponse {
    let announced = match announcement::read(&id, &body) {
        Ok(announced) => announced,
        Err(error) => {
            odd_entry::warn("the worker's announcements", error);
            return HttpResponse::BadRequest().finish();
        }
    };
    forward(&state, WorkerMessage::Announced(announced))
}

async fn leave(state: Data<ServerState>, id: Path<String>) -> HttpResponse {
    forward(&state, WorkerMessage::Left(id.into_inner()))
}

fn forward(state: &ServerState, message: WorkerMessage) -> HttpResponse {
    match state.messages.send(message) {
        Ok(()) => HttpResponse::Ok().json(AnnouncementAnswer::default()),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn metrics(state: Data<ServerState>) -> HttpResponse {
    match metrics::text(&state.registry) {
        Ok(text) => HttpResponse::Ok().content_type("text/plain; charset=utf-8").body(text),
        Err(error) => {
            log::error!("could not encode metrics: {error}");
            HttpResponse::InternalServerError().finish()
        }
    }
}
