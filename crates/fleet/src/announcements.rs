//! Where the worker reports itself, and where an agent shows its metrics.

use std::net::SocketAddr;

use actix_web::dev::ServerHandle;
use actix_web::web::{Bytes, Data, Path};
use actix_web::{App, HttpResponse, HttpServer, web};
use anyhow::Context as _;
use cactusdoor_platform::announcement::{self, AnnouncementAnswer, WorkerAnnouncement};
use cactusdoor_platform::calls;
use prometheus::Registry;
use tokio::sync::mpsc;

use crate::meters;

/// What a worker says.
#[derive(Debug)]
pub enum WorkerMessage {
    Announced(WorkerAnnouncement),
    /// It ends now.
    Left(String),
}

struct PortState {
    messages: mpsc::UnboundedSender<WorkerMessage>,
    registry: Registry,
}

/// Listens for the worker at one address and shows metrics at another.
pub fn bind(
    address: SocketAddr,
    metrics_address: SocketAddr,
    registry: Registry,
) -> anyhow::Result<(ServerHandle, mpsc::UnboundedReceiver<WorkerMessage>)> {
    let (messages, receiver) = mpsc::unbounded_channel();
    let state = Data::new(PortState { messages, registry });
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

async fn announce(state: Data<PortState>, id: Path<String>, body: Bytes) -> HttpResponse {
    let announced = match announcement::read(&id, &body) {
        Ok(announced) => announced,
        Err(error) => {
            log::warn!("announcement of {id} is not used: {error}");
            return HttpResponse::BadRequest().finish();
        }
    };
    tell(&state, WorkerMessage::Announced(announced))
}

async fn leave(state: Data<PortState>, id: Path<String>) -> HttpResponse {
    tell(&state, WorkerMessage::Left(id.into_inner()))
}

fn tell(state: &PortState, message: WorkerMessage) -> HttpResponse {
    match state.messages.send(message) {
        Ok(()) => HttpResponse::Ok().json(AnnouncementAnswer::default()),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn metrics(state: Data<PortState>) -> HttpResponse {
    match meters::text(&state.registry) {
        Ok(text) => HttpResponse::Ok().content_type("text/plain; charset=utf-8").body(text),
        Err(error) => {
            log::error!("could not encode metrics: {error}");
            HttpResponse::InternalServerError().finish()
        }
    }
}
