//! An in-memory log service that never drops records.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use actix_web::web::{Data, Json, Path, Query, get, post};
use actix_web::{App, HttpResponse, HttpServer};
use serde::Deserialize;
use serde_json::json;

#[derive(Clone, Default)]
pub struct LogService {
    streams: Arc<Mutex<HashMap<String, Vec<String>>>>,
}

#[derive(Deserialize)]
struct AppendBody {
    records: Vec<String>,
}

#[derive(Deserialize)]
struct ReadQuery {
    from: u64,
    max: usize,
    wait_ms: u64,
}

impl LogService {
    /// Serves on a free port until the test ends.
    pub fn spawn() -> (Self, SocketAddr) {
        let service = Self::default();
        let data = service.clone();
        let server = HttpServer::new(move || {
            App::new()
                .app_data(Data::new(data.clone()))
                .route("/v1/streams/{stream}/records", post().to(append))
                .route("/v1/streams/{stream}/records", get().to(read))
        });
        let server = server.workers(1).bind(("127.0.0.1", 0)).unwrap();
        let address = server.addrs()[0];
        actix_rt::spawn(server.disable_signals().run());
        (service, address)
    }

    pub fn records(&self, stream: &str) -> Vec<String> {
        self.streams.lock().unwrap().get(stream).cloned().unwrap_or_default()
    }
}

async fn append(
    service: Data<LogService>,
    stream: Path<String>,
    Json(body): Json<AppendBody>,
) -> HttpResponse {
    let mut streams = service.streams.lock().unwrap();
    let records = streams.entry(stream.into_inner()).or_default();
    let first = records.len();
    records.extend(body.records);
    HttpResponse::Ok().json(json!({"first": first, "next": records.len()}))
}

async fn read(
    service: Data<LogService>,
    stream: Path<String>,
    query: Query<ReadQuery>,
) -> HttpResponse {
    let stream = stream.into_inner();
    let mut waited = 0;
    loop {
        let records = service.records(&stream);
        let from = usize::try_from(query.from).unwrap().min(records.len());
        if from < records.len() || waited >= query.wait_ms {
            let page: Vec<_> = (from..records.len())
                .take(query.max)
                .map(|offset| json!({"offset": offset, "body": records[offset]}))
                .collect();
            let body = json!({"start": 0, "next": records.len(), "records": page});
            return HttpResponse::Ok().json(body);
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
        waited += 10;
    }
}
