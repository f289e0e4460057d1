//! A fake log service in memory, which can lose appends and answers, stall or be down.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use actix_web::web::{Data, Json, Path, Query, get, post, resource};
use actix_web::{App, HttpResponse, HttpServer};
use serde::Deserialize;
use serde_json::json;

#[derive(Default)]
struct FakeStream {
    start: u64,
    records: Vec<String>,
}

#[derive(Default)]
pub struct LogState {
    streams: HashMap<String, FakeStream>,
    pub down: bool,
    /// Per stream, the number of next appends that are stored and answered with an error.
    pub lose_answers: HashMap<String, u32>,
    /// Per stream, the number of next appends that are not stored and answered with an
    /// error.
    pub lose_appends: HashMap<String, u32>,
    /// Stream whose appends wait until this is cleared.
    pub stall: Option<String>,
    /// Appends that had to wait for `stall`.
    pub stalled: u32,
    pub appends: u32,
}

impl LogState {
    /// Bodies of all records of a stream.
    pub fn records(&self, stream: &str) -> Vec<String> {
        self.streams.get(stream).map(|stream| stream.records.clone()).unwrap_or_default()
    }

    /// Bodies of all records of the streams whose names start with `prefix`.
    pub fn all(&self, prefix: &str) -> Vec<String> {
        let wanted = self.streams.iter().filter(|(name, _)| name.starts_with(prefix));
        wanted.flat_map(|(_, stream)| stream.records.clone()).collect()
    }

    pub fn push(&mut self, stream: &str, body: String) {
        self.streams.entry(stream.to_owned()).or_default().records.push(body);
    }

    /// Drops all records below the offset `start`, as retention does.
    pub fn drop_before(&mut self, stream: &str, start: u64) {
        self.streams.entry(stream.to_owned()).or_default().start = start;
    }
}

/// Uses up one of the remaining faults of the stream; false if none remains.
fn use_fault(faults: &mut HashMap<String, u32>, stream: &str) -> bool {
    match faults.get_mut(stream) {
        Some(remaining) if *remaining > 0 => {
            *remaining -= 1;
            true
        }
        _ => false,
    }
}

#[derive(Clone)]
pub struct FakeLog {
    pub address: SocketAddr,
    state: Arc<Mutex<LogState>>,
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

impl FakeLog {
    pub fn open() -> Self {
        let state = Arc::new(Mutex::new(LogState::default()));
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let shared = state.clone();
        let server = HttpServer::new(move || {
            let records = resource("/v1/streams/{stream}/records")
                .route(post().to(append))
                .route(get().to(read));
            let json = actix_web::web::JsonConfig::default().limit(64 << 20);
            App::new().app_data(Data::new(shared.clone())).app_data(json).service(records)
        });
        let server = server.workers(1).disable_signals().listen(listener).unwrap().run();
        actix_rt::spawn(server);
        Self { address, state }
    }

    pub fn state(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().unwrap()
    }
}

type Shared = Data<Arc<Mutex<LogState>>>;

async fn append(state: Shared, stream: Path<String>, body: Json<AppendBody>) -> HttpResponse {
    // An append continues even if its client has given up.
    let storing = actix_rt::spawn(store(state, stream, body));
    storing.await.unwrap()
}

async fn store(state: Shared, stream: Path<String>, body: Json<AppendBody>) -> HttpResponse {
    let stalls = || state.lock().unwrap().stall.as_deref() == Some(stream.as_str());
    if stalls() {
        state.lock().unwrap().stalled += 1;
    }
    while stalls() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let mut state = state.lock().unwrap();
    if state.down {
        return HttpResponse::ServiceUnavailable().finish();
    }
    if use_fault(&mut state.lose_appends, &stream) {
        return HttpResponse::InternalServerError().finish();
    }
    state.appends += 1;
    let lost = use_fault(&mut state.lose_answers, &stream);
    let log = state.streams.entry(stream.into_inner()).or_default();
    let first = log.records.len() as u64;
    log.records.extend(body.into_inner().records);
    if lost {
        return HttpResponse::InternalServerError().finish();
    }
    HttpResponse::Ok().json(json!({"first": first, "next": log.records.len()}))
}

async fn read(state: Shared, stream: Path<String>, query: Query<ReadQuery>) -> HttpResponse {
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        {
            let mut state = state.lock().unwrap();
            if state.down {
                return HttpResponse::ServiceUnavailable().finish();
            }
            let log = state.streams.entry(stream.clone()).or_default();
            let next = log.records.len() as u64;
            if query.from < log.start {
                return HttpResponse::Gone().json(json!({"start": log.start, "next": next}));
            }
            if query.from < next || Instant::now() >= deadline {
                let records: Vec<_> = (query.from.min(next)..next)
                    .take(query.max)
                    .map(|at| json!({"offset": at, "body": log.records[at as usize]}))
                    .collect();
                let page = json!({"start": log.start, "next": next, "records": records});
                return HttpResponse::Ok().json(page);
            }
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
