//! Stand-in for the platform's store: topics of keyed records, held in memory.
//!
//! Each topic has one partition. An append may name the offset that it expects
//! (`at`) and a producer with epoch and sequence number; the store rejects an
//! append that does not match, and repeats its answer to a repeated append.
//! Tests inject faults for the whole store or for one of its addresses.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_web::web::{Bytes, Data, Query, ServiceConfig, get, post};
use actix_web::{HttpRequest, HttpResponse};
use indexmap::IndexMap;
use serde::Deserialize;
use serde_json::json;

use crate::history::lock;
use crate::server::{RunningServer, cut_connection};

/// Number of latest appends per producer whose answers are stored for repeated calls.
const REMEMBERED_APPENDS: usize = 5;
/// Time between two polls of a long-poll read.
const READ_POLL_INTERVAL: Duration = Duration::from_millis(4);
/// Maximum number of items in a page of `/log-newest`; small, so that tests read
/// several pages.
const MAX_PAGE_ITEMS: usize = 40;

/// How the store treats calls at all addresses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    #[default]
    Serving,
    /// Every call gets status 503 and has no effect.
    Busy,
    /// Appends take effect and their connections are cut without an answer.
    LosingAnswers,
}

#[derive(Default)]
struct Producer {
    epoch: u64,
    /// Sequence number of the next append.
    next_seq_no: u64,
    /// Latest appends: sequence number, offset of the first record, end after it.
    answers: VecDeque<(u64, u64, u64)>,
}

#[derive(Default)]
struct Topic {
    /// Key and value of every record ever appended, by offset.
    records: Vec<(String, Vec<u8>)>,
    /// Lowest offset that can still be read.
    first: u64,
    /// Offset of the newest record of each key; an empty value removes its key.
    newest: IndexMap<String, u64>,
    producers: IndexMap<String, Producer>,
}

#[derive(Default)]
struct StoreState {
    mode: StoreMode,
    /// Delay before a call takes effect; all calls but reads wait for it again before
    /// the answer.
    delay: Duration,
    topics: IndexMap<String, Topic>,
}

/// Calls that one address refuses while the others serve them.
#[derive(Default)]
struct EndpointRefusals {
    appends: AtomicBool,
    reads: AtomicBool,
}

/// One address of the store; it can refuse calls independently of the others.
pub struct StoreEndpoint {
    server: RunningServer,
    refusals: Arc<EndpointRefusals>,
}

impl StoreEndpoint {
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Refuses all calls at this address, or serves them again if `refused` is false.
    pub fn set_refused(&self, refused: bool) {
        self.refusals.appends.store(refused, Ordering::Relaxed);
        self.set_reads_refused(refused);
    }

    /// Refuses reads at this address, or serves them again if `refused` is false;
    /// appends are unaffected.
    pub fn set_reads_refused(&self, refused: bool) {
        self.refusals.reads.store(refused, Ordering::Relaxed);
    }
}

/// Handle to the store; its addresses share one state.
pub struct PlatformStore {
    state: Arc<Mutex<StoreState>>,
}

impl PlatformStore {
    /// Opens an empty store without an address.
    #[must_use]
    pub fn open() -> Self {
        Self { state: Arc::default() }
    }

    /// Serves the store at one more address, until the returned handle is dropped.
    pub fn open_endpoint(&self, address: SocketAddr) -> io::Result<StoreEndpoint> {
        let refusals = Arc::new(EndpointRefusals::default());
        let (shared, flags) = (Data::from(Arc::clone(&self.state)), Arc::clone(&refusals));
        let server = RunningServer::spawn(address, 1, move |config: &mut ServiceConfig| {
            config
                .app_data(shared.clone())
                .app_data(Data::from(Arc::clone(&flags)))
                .route("/log-append", post().to(append))
                .route("/log-read", get().to(read))
                .route("/log-newest", get().to(newest));
        })?;
        Ok(StoreEndpoint { server, refusals })
    }

    pub fn set_mode(&self, mode: StoreMode) {
        lock(&self.state).mode = mode;
    }

    /// Delays each append and each page of newest records by `delay` before its
    /// effect and again before its answer, and each read once.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.state).delay = delay;
    }

    /// Appends a record without conditions, as an unrelated writer does.
    pub fn write(&self, topic: &str, key: &str, value: &[u8]) {
        let mut state = lock(&self.state);
        state.topics.entry(topic.to_owned()).or_default().push(key.to_owned(), value.to_vec());
    }

    /// Makes all records up to now unreadable, as retention does; `/log-newest`
    /// still returns the newest record of each key.
    pub fn expire_records(&self, topic: &str) {
        let mut state = lock(&self.state);
        if let Some(topic) = state.topics.get_mut(topic) {
            topic.first = topic.records.len() as u64;
        }
    }

    /// Keys and values of all records of a topic by offset, expired ones included.
    #[must_use]
    pub fn records(&self, topic: &str) -> Vec<(String, Vec<u8>)> {
        lock(&self.state).topics.get(topic).map(|topic| topic.records.clone()).unwrap_or_default()
    }
}

impl Topic {
    fn push(&mut self, key: String, value: Vec<u8>) {
        let offset = self.records.len() as u64;
        if value.is_empty() {
            self.newest.shift_remove(&key);
        } else {
            self.newest.insert(key.clone(), offset);
        }
        self.records.push((key, value));
    }

    fn end(&self) -> u64 {
        self.records.len() as u64
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct AppendQuery {
    topic: String,
    at: Option<u64>,
    producer: Option<String>,
    #[serde(default)]
    epoch: u64,
    #[serde(default)]
    seq_no: u64,
}

async fn append(
    state: Data<Mutex<StoreState>>,
    refusals: Data<EndpointRefusals>,
    query: Query<AppendQuery>,
    body: Bytes,
    request: HttpRequest,
) -> HttpResponse {
    apply_delay(&state).await;
    let answer = {
        let mut state = lock(&state);
        if state.mode == StoreMode::Busy || refusals.appends.load(Ordering::Relaxed) {
            return HttpResponse::ServiceUnavailable().finish();
        }
        let loses_answer = state.mode == StoreMode::LosingAnswers;
        let topic = state.topics.entry(query.topic.clone()).or_default();
        let answer = append_records(topic, &query, &body);
        if loses_answer {
            cut_connection(&request);
        }
        answer
    };
    apply_delay(&state).await;
    answer
}

async fn apply_delay(state: &Mutex<StoreState>) {
    let delay = lock(state).delay;
    tokio::time::sleep(delay).await;
}

fn append_records(topic: &mut Topic, query: &AppendQuery, body: &Bytes) -> HttpResponse {
    let end = topic.end();
    if let Some(name) = &query.producer {
        let producer = topic.producers.entry(name.clone()).or_default();
        if query.epoch < producer.epoch {
            return HttpResponse::Conflict().json(json!({"reason": "fenced"}));
        }
        if query.epoch == producer.epoch {
            let known = producer.answers.iter().find(|(seq_no, ..)| *seq_no == query.seq_no);
            if let Some((_, offset, end)) = known {
                return HttpResponse::Ok().json(json!({"offset": offset, "end": end}));
            }
            if query.seq_no != producer.next_seq_no {
                let expected = producer.next_seq_no;
                return HttpResponse::Conflict().json(json!({"reason": "seq", "seqNo": expected}));
            }
        }
    }
    if query.at.is_some_and(|at| at != end) {
        return HttpResponse::PreconditionFailed().json(json!({"end": end}));
    }
    for (key, value) in decode_records(body) {
        topic.push(key, value);
    }
    let new_end = topic.end();
    if let Some(name) = &query.producer {
        let producer = topic.producers.entry(name.clone()).or_default();
        if query.epoch > producer.epoch {
            producer.answers.clear();
        }
        producer.epoch = query.epoch;
        producer.next_seq_no = query.seq_no + 1;
        producer.answers.push_back((query.seq_no, end, new_end));
        if producer.answers.len() > REMEMBERED_APPENDS {
            producer.answers.pop_front();
        }
    }
    HttpResponse::Ok().json(json!({"offset": end, "end": new_end}))
}

/// Parses records, each a 4-byte length, a 1-byte key length, the key and the value.
fn decode_records(mut body: &[u8]) -> Vec<(String, Vec<u8>)> {
    let mut records = Vec::new();
    while let Some((length, remaining)) = body.split_first_chunk::<4>() {
        let (record, remaining) = remaining.split_at(u32::from_be_bytes(*length) as usize);
        let (key, value) = record[1..].split_at(usize::from(record[0]));
        records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
        body = remaining;
    }
    records
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ReadQuery {
    topic: String,
    from: u64,
    #[serde(default)]
    wait_ms: u64,
}

async fn read(
    state: Data<Mutex<StoreState>>,
    refusals: Data<EndpointRefusals>,
    query: Query<ReadQuery>,
) -> HttpResponse {
    apply_delay(&state).await;
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        {
            let mut state = lock(&state);
            if state.mode == StoreMode::Busy || refusals.reads.load(Ordering::Relaxed) {
                return HttpResponse::ServiceUnavailable().finish();
            }
            let topic = state.topics.entry(query.topic.clone()).or_default();
            if query.from < topic.first {
                return HttpResponse::Gone().json(json!({"first": topic.first}));
            }
            if topic.end() > query.from || Instant::now() >= deadline {
                return HttpResponse::Ok().body(encode_page(topic, query.from));
            }
        }
        tokio::time::sleep(READ_POLL_INTERVAL).await;
    }
}

/// Encodes the end and the first offset of a topic and its records from `from`.
fn encode_page(topic: &Topic, from: u64) -> Vec<u8> {
    let mut body = Vec::new();
    body.extend(topic.end().to_be_bytes());
    body.extend(topic.first.to_be_bytes());
    let from = usize::try_from(from).unwrap_or(usize::MAX).min(topic.records.len());
    for (key, value) in &topic.records[from..] {
        let length = u32::try_from(1 + key.len() + value.len()).unwrap_or(u32::MAX);
        body.extend(length.to_be_bytes());
        body.push(u8::try_from(key.len()).unwrap_or(u8::MAX));
        body.extend(key.as_bytes());
        body.extend(value);
    }
    body
}

#[derive(Deserialize)]
struct NewestQuery {
    topic: String,
    after: Option<String>,
}

async fn newest(
    state: Data<Mutex<StoreState>>,
    refusals: Data<EndpointRefusals>,
    query: Query<NewestQuery>,
) -> HttpResponse {
    apply_delay(&state).await;
    if refusals.reads.load(Ordering::Relaxed) {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let page = newest_page(&mut lock(&state), &query);
    apply_delay(&state).await;
    page
}

fn newest_page(state: &mut StoreState, query: &NewestQuery) -> HttpResponse {
    if state.mode == StoreMode::Busy {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let topic = state.topics.entry(query.topic.clone()).or_default();
    let mut keys: Vec<_> = topic.newest.keys().cloned().collect();
    keys.sort();
    let is_later = |key: &String| query.after.as_ref().is_none_or(|after| key > after);
    let mut keys: Vec<_> = keys.into_iter().filter(is_later).collect();
    let has_more = keys.len() > MAX_PAGE_ITEMS;
    keys.truncate(MAX_PAGE_ITEMS);
    let items: Vec<_> = keys.iter().map(|key| item_json(topic, key)).collect();
    HttpResponse::Ok().json(json!({"items": items, "hasMore": has_more, "end": topic.end()}))
}

fn item_json(topic: &Topic, key: &str) -> serde_json::Value {
    use base64::Engine as _;
    let offset = topic.newest.get(key).copied().unwrap_or_default();
    let index = usize::try_from(offset).unwrap_or(usize::MAX);
    let value = topic.records.get(index).map(|(_, value)| value.as_slice()).unwrap_or_default();
    let value = base64::prelude::BASE64_STANDARD.encode(value);
    json!({"key": key, "value": value, "offset": offset})
}
