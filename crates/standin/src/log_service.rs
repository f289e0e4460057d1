//! Stand-in for the log service: append-only streams of records in memory.
//!
//! Tests inject faults such as lost answers, delayed appends and rate limits.
//! The history contains every stored record.

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

/// Threads of the HTTP server; long polls do not occupy one.
const SERVER_THREADS: usize = 2;
/// Time for which a silent fault keeps an unanswered connection open.
const SILENT_TIMEOUT: Duration = Duration::from_secs(3_600);

/// Retention, rate limit and history file of the service.
#[derive(Clone, Debug, Default)]
pub struct LogOptions {
    /// Age at which records are dropped; they are never dropped if absent.
    pub retention_ms: Option<Millis>,
    /// Appends per second over all streams; unlimited if absent.
    pub appends_per_second: Option<u32>,
    /// File for the history of stored records, as JSON lines.
    pub history: Option<PathBuf>,
}

/// Injected faults; setting them replaces all earlier ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFault {
    /// Every call gets status 503.
    pub down: bool,
    /// Delay before a call takes effect; an append does so even if the client gives up.
    pub delay_ms: Millis,
    /// Number of appends that are stored and get no answer.
    pub lose_answers: u32,
    /// Number of appends that get no answer and are stored later.
    pub hold_back: u32,
    /// Number of appends that get status 429 and have no effect.
    pub limit_appends: u32,
    /// Delay after which held appends are stored; only on `POST /release` if absent.
    pub hold_ms: Option<Millis>,
    /// Whether an unanswered connection stays open instead of being closed.
    pub silent: bool,
    /// `lose_answers` and `hold_back` apply to streams with this prefix.
    pub stream_prefix: String,
}

/// Counts since the start of the service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogCounters {
    /// Appends that were stored, late ones included.
    pub appends: u64,
    /// Stored records.
    pub records: u64,
    /// Appends that got status 429.
    pub rate_limited: u64,
    /// Appends that were held back.
    pub held: u64,
}

/// History record of one stored record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredHistory {
    pub stream: String,
    pub offset: Offset,
    pub time_unix_us: UnixMicros,
    pub body: String,
}

/// Handle to a running log service; dropping it ends the service.
pub struct LogStandin {
    server: RunningServer,
    state: Arc<LogState>,
}

impl LogStandin {
    /// Listens on `address`; port 0 selects a free one.
    pub fn spawn(address: SocketAddr, options: LogOptions) -> io::Result<Self> {
        let state = Arc::new(LogState::open(options)?);
        let data = Data::from(state.clone());
        let server = RunningServer::spawn(address, SERVER_THREADS, move |config| {
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

    /// Stores the held appends in their order of arrival.
    pub fn release(&self) {
        self.state.release();
    }

    #[must_use]
    pub fn counters(&self) -> LogCounters {
        *lock(&self.state.counters)
    }

    /// All records ever stored, dropped ones included.
    #[must_use]
    pub fn history(&self) -> Vec<StoredHistory> {
        self.state.history.records()
    }

    /// Drops the records of `stream` below `offset`, as retention does.
    pub fn drop_before(&self, stream: &str, offset: Offset) {
        lock(&self.state.streams).entry(stream.into()).or_default().drop_before(offset);
    }
}

/// An append that got no answer and is stored later.
struct HeldAppend {
    stream: String,
    records: Vec<String>,
}

/// Whether an append is answered.
enum AppendOutcome {
    Answer(AppendedRange),
    Lost { silent: bool },
}

/// Token bucket for appends.
struct AppendBucket {
    tokens: f64,
    refilled: Instant,
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
            bucket: Mutex::new(AppendBucket { tokens: 1.0, refilled: Instant::now() }),
            counters: Mutex::default(),
        })
    }

    /// Takes a token for one append; `false` if the append is over the rate limit.
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
        let refill = now.duration_since(bucket.refilled).as_secs_f64() * rate;
        // Allows a burst of a tenth of a second.
        bucket.tokens = (bucket.tokens + refill).min((rate / 10.0).max(1.0));
        bucket.refilled = now;
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

    /// Stores an append, or holds it back if the fault requires it; also returns the
    /// delay until held appends are stored.
    fn append(&self, stream: &str, records: Vec<String>) -> (AppendOutcome, Option<Millis>) {
        let mut fault = lock(&self.fault);
        let applies = stream.starts_with(&fault.stream_prefix);
        let silent = fault.silent;
        if applies && fault.hold_back > 0 {
            fault.hold_back -= 1;
            lock(&self.counters).held += 1;
            lock(&self.held).push(HeldAppend { stream: stream.into(), records });
            return (AppendOutcome::Lost { silent }, fault.hold_ms);
        }
        let range = self.store(stream, records);
        if applies && fault.lose_answers > 0 {
            fault.lose_answers -= 1;
            return (AppendOutcome::Lost { silent }, None);
        }
        (AppendOutcome::Answer(range), None)
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

    /// A page, or the stream's bounds if `from` was dropped, and a receiver of its end.
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
    let (down, delay) = active_fault(&state);
    if down {
        return HttpResponse::ServiceUnavailable().finish();
    }
    if !state.admit() {
        return HttpResponse::TooManyRequests().finish();
    }
    // Spawned, because actix drops the handler when the client closes its connection.
    let call = actix_web::rt::spawn(async move {
        tokio::time::sleep(delay).await;
        let (outcome, release_delay) = state.append(&stream, body.into_inner().records);
        if let Some(delay_ms) = release_delay {
            actix_web::rt::spawn(async move {
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                state.release();
            });
        }
        outcome
    });
    match call.await {
        Ok(AppendOutcome::Answer(range)) => HttpResponse::Ok().json(range),
        Ok(AppendOutcome::Lost { silent }) => {
            if silent {
                tokio::time::sleep(SILENT_TIMEOUT).await;
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
    let (_, delay) = active_fault(&state);
    tokio::time::sleep(delay).await;
    loop {
        if active_fault(&state).0 {
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

/// Whether the service is down, and the delay of calls.
fn active_fault(state: &LogState) -> (bool, Duration) {
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
