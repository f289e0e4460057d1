//! HTTP server of an agent: announcements of its worker, and metrics.
//!
//! Parses announcements and passes them to the worker controller, which decides what follows.

use std::net::SocketAddr;

use std::sync::Arc;

use actix_web::http::StatusCode;
use actix_web::web::{self, Data, Path, Payload};
use actix_web::{HttpRequest, HttpResponse};
use cactusdoor_platform::announcement::{self, AnnouncementAnswer, WorkerAnnouncement};
use cactusdoor_platform::calls;
use prometheus::Registry;
use tokio::sync::mpsc;

use crate::body::{self, BodyBudget, BodyError};
use crate::connection_table::{CallerConnection, ServedAddress};
use crate::guard::{self, ConfigureApp, GuardContext, GuardHandle, GuardedAddress};
use crate::limits::{ClientLimits, RejectCause};
use crate::rejections::Rejections;
use crate::{metrics, odd_entry};

/// Largest announcement: a hundred times that of a worker with many labels.
const MAX_ANNOUNCEMENT_BYTES: usize = 64 * 1024;
/// Bytes of announcements over all connections: the only legitimate client sends one at a time.
const ANNOUNCEMENT_BYTES: usize = 1024 * 1024;
/// Announcements that wait for the controller: a minute of a worker's announcements.
const WAITING_MESSAGES: usize = 256;

/// An announcement or a departure of a worker.
#[derive(Debug)]
pub enum WorkerMessage {
    Announced(WorkerAnnouncement),
    /// The worker with this id ends now.
    Left(String),
}

struct ServerState {
    messages: mpsc::Sender<WorkerMessage>,
    registry: Registry,
    bodies: BodyBudget,
    rejections: Rejections,
}

/// Listens for the worker at `address` and serves metrics at `metrics_address`.
pub fn bind(
    address: SocketAddr,
    metrics_address: SocketAddr,
    registry: Registry,
    limits: ClientLimits,
    rejections: Rejections,
) -> anyhow::Result<(GuardHandle, mpsc::Receiver<WorkerMessage>)> {
    let (messages, receiver) = mpsc::channel(WAITING_MESSAGES);
    let bodies = BodyBudget::new(ANNOUNCEMENT_BYTES);
    let state =
        Data::new(ServerState { messages, registry, bodies, rejections: rejections.clone() });
    let configure: ConfigureApp = Arc::new(move |config| {
        config
            .app_data(state.clone())
            .route(calls::ANNOUNCE, web::post().to(announce))
            .route(calls::LEAVE, web::post().to(leave))
            .route("/metrics", web::get().to(metrics));
    });
    let context = GuardContext { configure, limits: limits.reserved(), rejections };
    let addresses = vec![
        GuardedAddress { address, kind: ServedAddress::Callers },
        GuardedAddress { address: metrics_address, kind: ServedAddress::Metrics },
    ];
    Ok((guard::serve(vec![(context, addresses)])?, receiver))
}

async fn announce(
    state: Data<ServerState>,
    id: Path<String>,
    request: HttpRequest,
    mut payload: Payload,
) -> HttpResponse {
    let Some(caller) = request.conn_data::<CallerConnection>() else {
        log::error!("an announcement has no connection");
        return HttpResponse::InternalServerError().finish();
    };
    let limit = MAX_ANNOUNCEMENT_BYTES;
    let body = body::read(caller, request.headers(), &mut payload, &state.bodies, limit).await;
    let body = match body {
        Ok(body) => body,
        Err(BodyError::Broken) => return HttpResponse::BadRequest().finish(),
        Err(BodyError::Rejected(cause)) => {
            state.rejections.record(cause, caller.connection.peer);
            let status = match cause {
                RejectCause::BodySize => StatusCode::PAYLOAD_TOO_LARGE,
                RejectCause::BodyTime => StatusCode::REQUEST_TIMEOUT,
                _ => StatusCode::SERVICE_UNAVAILABLE,
            };
            return HttpResponse::new(status);
        }
    };
    let announced = match announcement::read(&id, &body.bytes) {
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
    match state.messages.try_send(message) {
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
