//! Stand-in for the log service: streams in memory, with faults.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_web::web::{Data, Json, Path, Query, ServiceConfig, get, post};
use actix_web::{HttpRequest, HttpResponse};
use cactusdoor_core::unit::{Millis, Offset};
use cactusdoor_log::client::{AppendedRange, ReadPage, StreamBounds};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::history::{HistoryLog, UnixMicros, lock, unix_us};
use crate::server::{RunningServer, cut_connection};
use crate::stream::RecordStream;

/// Server threads; long polls do not occupy one.
const THREADS: usize = 2;
/// Time for which a silent fault keeps a connection open.
const SILENCE: Duration = Duration::from_secs(3_600);

/// What the service promises.
#[derive(Clone, Debug, Default)]
pub struct LogOptions {
    /// Age at which records are dropped; never if absent.
    pub retention_ms: Option<Millis>,
    /// Appends per second over all streams; unlimited if absent.
    pub appends_per_second: Option<u32>,
    /// File for the history of stored records, as JSON lines.
    pub history: Option<PathBuf>,
}

/// Faults; setting one replaces all earlier ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFault {
    /// Every call is answered with 503.
    pub down: bool,
    /// Time before a call has an effect; it has it even if the client gives up.
    pub delay_ms: Millis,
    /// Appends that are stored and not answered.
    pub lose_answers: u32,
    /// Appends that are not answered and are stored later.
    pub hold_back: u32,
    /// Appends that are answered with 429 and have no effect.
    pub limit_appends: u32,
    /// When held appends are stored; only on `POST /release` if absent.
    pub hold_ms: Option<Millis>,
    /// Whether an unanswered connection stays open instead of being closed.
    pub silent: bool,
    /// Lost answers and held appends concern streams with this prefix.
    pub stream_prefix: String,
}

/// What the service has done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogCounters {
    /// Appends that were stored, late ones included.
    pub appends: u64,
    pub records: u64,
    pub rate_limited: u64,
    pub held: u64,
}

/// A stored record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredHistory {
    pub stream: String,
    pub offset: Offset,
    pub time_unix_us: UnixMicros,
    pub body: String,
}

/// Handle to a running log service.
pub struct LogStandin {
    server: RunningServer,
    state: Arc<LogState>,
}

impl LogStandin {
    /// Listens on `address`; port 0 selects a free one.
    pub fn spawn(address: SocketAddr, options: LogOptions) -> io::Result<Self> {
        let state = Arc::new(LogState::open(options)?);
        let data = Data::from(state.clone());
        let server = RunningServer::spawn(address, THREADS, move |config| {
            configure(config, data.clone());
        })?;
        Ok(Self { server, state })
    }

    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    pub fn set_fault(&self, fault: LogFault) {
        *lock(&self.state.fault) = fault;
    }

    /// Stores the appends that were held back, in their order of arrival.
    pub fn release(&self) {
        self.state.release();
    }

    #[must_use]
    pub fn counters(&self) -> LogCounters {
        *lock(&self.state.counters)
    }

    /// All records ever stored, retained or not.
    #[must_use]
    pub fn history(&self) -> Vec<StoredHistory> {
        self.state.history.records()
    }

    /// Drops the records of `stream` before `offset`, as retention does.
    pub fn drop_before(&self, stream: &str, offset: Offset) {
        lock(&self.state.streams).entry(stream.into()).or_default().drop_before(offset);
    }
}

struct HeldAppend {
    stream: String,
    records: Vec<String>,
}

/// What happens to the answer of an append.
enum AppendFate {
    Answer(AppendedRange),
    Lost { silent: bool },
}

/// Token bucket for appends.
struct AppendBucket {
    tokens: f64,
    filled: Instant,
}

struct LogState {
    options: LogOptions,
    streams: Mutex<HashMap<String, RecordStream>>,
    fault: Mutex<LogFault>,
    held: Mutex<Vec<HeldAppend>>,
    bucket: Mutex<AppendBucket>,
    counters: Mutex<LogCounters>,
    history: HistoryLog<StoredHistory>,
}

impl LogState {
    fn open(options: LogOptions) -> io::Result<Self> {
        Ok(Self {
            history: HistoryLog::open(options.history.as_deref())?,
            options,
            streams: Mutex::default(),
            fault: Mutex::default(),
            held: Mutex::default(),
            bucket: Mutex::new(AppendBucket { tokens: 1.0, filled: Instant::now() }),
            counters: Mutex::default(),
        })
    }

    /// Takes the right to one append.
    fn admit(&self) -> bool {
        let mut fault = lock(&self.fault);
        if fault.limit_appends > 0 {
            fault.limit_appends -= 1;
            lock(&self.counters).rate_limited += 1;
            return false;
        }
        drop(fault);
        let Some(rate) = self.options.appends_per_second.map(f64::from) else { return true };
        let mut bucket = lock(&self.bucket);
        let now = Instant::now();
        let earned = now.duration_since(bucket.filled).as_secs_f64() * rate;
        // A tenth of a second's worth may be used at once.
        bucket.tokens = (bucket.tokens + earned).min((rate / 10.0).max(1.0));
        bucket.filled = now;
        if bucket.tokens < 1.0 {
            lock(&self.counters).rate_limited += 1;
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }

    fn store(&self, stream: &str, records: Vec<String>) -> AppendedRange {
        let time_unix_us = unix_us();
        let mut streams = lock(&self.streams);
        let target = streams.entry(stream.into()).or_default();
        self.expire(target);
        let first = target.next();
        for (offset, body) in (first..).zip(&records) {
            let (stream, body) = (stream.into(), body.clone());
            self.history.push(StoredHistory { stream, offset, time_unix_us, body });
        }
        let mut counters = lock(&self.counters);
        counters.appends += 1;
        counters.records += records.len() as u64;
        target.append(records);
        AppendedRange { first, next: target.next() }
    }

    fn append(&self, stream: &str, records: Vec<String>) -> (AppendFate, Option<Millis>) {
        let mut fault = lock(&self.fault);
        let concerned = stream.starts_with(&fault.stream_prefix);
        let silent = fault.silent;
        if concerned && fault.hold_back > 0 {
            fault.hold_back -= 1;
            lock(&self.counters).held += 1;
            lock(&self.held).push(HeldAppend { stream: stream.into(), records });
            return (AppendFate::Lost { silent }, fault.hold_ms);
        }
        let range = self.store(stream, records);
        if concerned && fault.lose_answers > 0 {
            fault.lose_answers -= 1;
            return (AppendFate::Lost { silent }, None);
        }
        (AppendFate::Answer(range), None)
    }

    fn release(&self) {
        let held = std::mem::take(&mut *lock(&self.held));
        for append in held {
            self.store(&append.stream, append.records);
        }
    }

    fn expire(&self, stream: &mut RecordStream) {
        if let Some(retention) = self.options.retention_ms {
            stream.expire(Duration::from_millis(retention));
        }
    }

    /// A page, or the bounds if `from` was dropped; and the end of the stream to wait on.
    fn read(
        &self,
        stream: &str,
        query: &ReadQuery,
    ) -> (Result<ReadPage, StreamBounds>, watch::Receiver<Offset>) {
        let mut streams = lock(&self.streams);
        let source = streams.entry(stream.into()).or_default();
        self.expire(source);
        (source.page(query.from, query.max), source.watch())
    }
}

#[derive(Deserialize)]
struct AppendBody {
    records: Vec<String>,
}

#[derive(Clone, Copy, Deserialize)]
struct ReadQuery {
    from: Offset,
    max: usize,
    #[serde(default)]
    wait_ms: Millis,
}

fn configure(config: &mut ServiceConfig, state: Data<LogState>) {
    config
        .app_data(state)
        .route("/v1/streams/{stream}/records", post().to(append))
        .route("/v1/streams/{stream}/records", get().to(read))
        .route("/fault", post().to(set_fault))
        .route("/release", post().to(release))
        .route("/counters", get().to(counters))
        .route("/history", get().to(history));
}

async fn append(
    state: Data<LogState>,
    stream: Path<String>,
    body: Json<AppendBody>,
    request: HttpRequest,
) -> HttpResponse {
    let (down, delay) = faulty(&state);
    if down {
        return HttpResponse::ServiceUnavailable().finish();
    }
    if !state.admit() {
        return HttpResponse::TooManyRequests().finish();
    }
    // A task of its own, because the handler ends with the client's connection.
    let work = actix_web::rt::spawn(async move {
        tokio::time::sleep(delay).await;
        let (fate, hold) = state.append(&stream, body.into_inner().records);
        if let Some(hold) = hold {
            actix_web::rt::spawn(async move {
                tokio::time::sleep(Duration::from_millis(hold)).await;
                state.release();
            });
        }
        fate
    });
    match work.await {
        Ok(AppendFate::Answer(range)) => HttpResponse::Ok().json(range),
        Ok(AppendFate::Lost { silent }) => {
            if silent {
                tokio::time::sleep(SILENCE).await;
            }
            cut_connection(&request);
            HttpResponse::InternalServerError().finish()
        }
        Err(_) => HttpResponse::InternalServerError().finish(),
    }
}

async fn read(
    state: Data<LogState>,
    stream: Path<String>,
    query: Query<ReadQuery>,
) -> HttpResponse {
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
    let (_, delay) = faulty(&state);
    tokio::time::sleep(delay).await;
    loop {
        if faulty(&state).0 {
            return HttpResponse::ServiceUnavailable().finish();
        }
        let (page, mut end) = state.read(&stream, &query);
        match page {
            Err(bounds) => return HttpResponse::Gone().json(bounds),
            Ok(page) if !page.records.is_empty() || query.max == 0 => {
                return HttpResponse::Ok().json(page);
            }
            Ok(page) => tokio::select! {
                _ = end.changed() => {}
                () = tokio::time::sleep_until(deadline.into()) => {
                    return HttpResponse::Ok().json(page);
                }
            },
        }
    }
}

/// Whether the service is down, and the delay of a call.
fn faulty(state: &LogState) -> (bool, Duration) {
    let fault = lock(&state.fault);
    (fault.down, Duration::from_millis(fault.delay_ms))
}

async fn set_fault(state: Data<LogState>, fault: Json<LogFault>) -> HttpResponse {
    *lock(&state.fault) = fault.into_inner();
    HttpResponse::NoContent().finish()
}

async fn release(state: Data<LogState>) -> HttpResponse {
    state.release();
    HttpResponse::NoContent().finish()
}

async fn counters(state: Data<LogState>) -> HttpResponse {
    HttpResponse::Ok().json(*lock(&state.counters))
}

async fn history(state: Data<LogState>) -> HttpResponse {
    HttpResponse::Ok().json(state.history.records())
}
