//! Stand-in for the platform's store: topics of keyed records with conditional
//! and numbered appends, one partition each.

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

/// Appends of a producer that are answered again.
const REMEMBERED_APPENDS: usize = 5;
/// Pause between two looks of a waiting read.
const READ_PAUSE: Duration = Duration::from_millis(4);
/// Most items of a page of newest records: small, so that tests see several.
const PAGE_ITEMS: usize = 40;

/// What the store does to calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    #[default]
    Serving,
    /// Refuses all calls and does nothing.
    Busy,
    /// Carries out appends and loses their answers.
    LosingAnswers,
}

#[derive(Default)]
struct Producer {
    epoch: u64,
    next: u64,
    answers: VecDeque<(u64, u64, u64)>,
}

#[derive(Default)]
struct Topic {
    /// Records with key and value; `None` once dropped by retention.
    records: Vec<(String, Vec<u8>)>,
    first: u64,
    newest: IndexMap<String, u64>,
    producers: IndexMap<String, Producer>,
}

#[derive(Default)]
struct StoreState {
    mode: StoreMode,
    /// Before each call is carried out and before it is answered.
    delay: Duration,
    topics: IndexMap<String, Topic>,
}

/// What one address of the store refuses, while others are served.
#[derive(Default)]
struct DoorRefusals {
    appends: AtomicBool,
    reads: AtomicBool,
}

/// An address of the store that can refuse its callers by itself.
pub struct StoreDoor {
    server: RunningServer,
    refusals: Arc<DoorRefusals>,
}

impl StoreDoor {
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Refuses all calls here while the store serves others.
    pub fn set_closed(&self, closed: bool) {
        self.refusals.appends.store(closed, Ordering::Relaxed);
        self.set_unreadable(closed);
    }

    /// Refuses the reads here, while appends are stored.
    pub fn set_unreadable(&self, unreadable: bool) {
        self.refusals.reads.store(unreadable, Ordering::Relaxed);
    }
}

/// A running store.
pub struct PlatformStore {
    state: Arc<Mutex<StoreState>>,
}

impl PlatformStore {
    /// A store that nobody can reach yet.
    #[must_use]
    pub fn open() -> Self {
        Self { state: Arc::default() }
    }

    /// Serves callers at one more address.
    pub fn open_door(&self, address: SocketAddr) -> io::Result<StoreDoor> {
        let refusals = Arc::new(DoorRefusals::default());
        let (shared, flags) = (Data::from(Arc::clone(&self.state)), Arc::clone(&refusals));
        let server = RunningServer::spawn(address, 1, move |config: &mut ServiceConfig| {
            config
                .app_data(shared.clone())
                .app_data(Data::from(Arc::clone(&flags)))
                .route("/log-append", post().to(append))
                .route("/log-read", get().to(read))
                .route("/log-newest", get().to(newest));
        })?;
        Ok(StoreDoor { server, refusals })
    }

    pub fn set_mode(&self, mode: StoreMode) {
        lock(&self.state).mode = mode;
    }

    /// Makes each call take twice this time.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.state).delay = delay;
    }

    /// Appends a record as another writer would.
    pub fn write(&self, topic: &str, key: &str, value: &[u8]) {
        let mut state = lock(&self.state);
        state.topics.entry(topic.to_owned()).or_default().push(key.to_owned(), value.to_vec());
    }

    /// Drops all records of a topic but the newest of each key.
    pub fn forget(&self, topic: &str) {
        let mut state = lock(&self.state);
        if let Some(topic) = state.topics.get_mut(topic) {
            topic.first = topic.records.len() as u64;
        }
    }

    /// All records of a topic, in order.
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
    refusals: Data<DoorRefusals>,
    query: Query<AppendQuery>,
    body: Bytes,
    request: HttpRequest,
) -> HttpResponse {
    wait_delay(&state).await;
    let answer = {
        let mut state = lock(&state);
        if state.mode == StoreMode::Busy || refusals.appends.load(Ordering::Relaxed) {
            return HttpResponse::ServiceUnavailable().finish();
        }
        let loses = state.mode == StoreMode::LosingAnswers;
        let topic = state.topics.entry(query.topic.clone()).or_default();
        let answer = append_to(topic, &query, &body);
        if loses {
            cut_connection(&request);
        }
        answer
    };
    wait_delay(&state).await;
    answer
}

async fn wait_delay(state: &Mutex<StoreState>) {
    let delay = lock(state).delay;
    tokio::time::sleep(delay).await;
}

fn append_to(topic: &mut Topic, query: &AppendQuery, body: &Bytes) -> HttpResponse {
    let end = topic.end();
    if let Some(name) = &query.producer {
        let producer = topic.producers.entry(name.clone()).or_default();
        if query.epoch < producer.epoch {
            return HttpResponse::Conflict().json(json!({"reason": "fenced"}));
        }
        if query.epoch == producer.epoch {
            let known = producer.answers.iter().find(|(number, ..)| *number == query.seq_no);
            if let Some((_, offset, end)) = known {
                return HttpResponse::Ok().json(json!({"offset": offset, "end": end}));
            }
            if query.seq_no != producer.next {
                let expected = producer.next;
                return HttpResponse::Conflict().json(json!({"reason": "seq", "seqNo": expected}));
            }
        }
    }
    if query.at.is_some_and(|at| at != end) {
        return HttpResponse::PreconditionFailed().json(json!({"end": end}));
    }
    for (key, value) in decode(body) {
        topic.push(key, value);
    }
    let new_end = topic.end();
    if let Some(name) = &query.producer {
        let producer = topic.producers.entry(name.clone()).or_default();
        if query.epoch > producer.epoch {
            producer.answers.clear();
        }
        producer.epoch = query.epoch;
        producer.next = query.seq_no + 1;
        producer.answers.push_back((query.seq_no, end, new_end));
        if producer.answers.len() > REMEMBERED_APPENDS {
            producer.answers.pop_front();
        }
    }
    HttpResponse::Ok().json(json!({"offset": end, "end": new_end}))
}

fn decode(mut body: &[u8]) -> Vec<(String, Vec<u8>)> {
    let mut records = Vec::new();
    while let Some((length, rest)) = body.split_first_chunk::<4>() {
        let (record, rest) = rest.split_at(u32::from_be_bytes(*length) as usize);
        let (key, value) = record[1..].split_at(usize::from(record[0]));
        records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
        body = rest;
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
    refusals: Data<DoorRefusals>,
    query: Query<ReadQuery>,
) -> HttpResponse {
    wait_delay(&state).await;
    let until = Instant::now() + Duration::from_millis(query.wait_ms);
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
            if topic.end() > query.from || Instant::now() >= until {
                return HttpResponse::Ok().body(encode(topic, query.from));
            }
        }
        tokio::time::sleep(READ_PAUSE).await;
    }
}

fn encode(topic: &Topic, from: u64) -> Vec<u8> {
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
    refusals: Data<DoorRefusals>,
    query: Query<NewestQuery>,
) -> HttpResponse {
    wait_delay(&state).await;
    if refusals.reads.load(Ordering::Relaxed) {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let page = newest_page(&mut lock(&state), &query);
    wait_delay(&state).await;
    page
}

fn newest_page(state: &mut StoreState, query: &NewestQuery) -> HttpResponse {
    if state.mode == StoreMode::Busy {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let topic = state.topics.entry(query.topic.clone()).or_default();
    let mut keys: Vec<_> = topic.newest.keys().cloned().collect();
    keys.sort();
    let later = |key: &String| query.after.as_ref().is_none_or(|after| key > after);
    let mut keys: Vec<_> = keys.into_iter().filter(later).collect();
    let has_more = keys.len() > PAGE_ITEMS;
    keys.truncate(PAGE_ITEMS);
    let items: Vec<_> = keys.iter().map(|key| item(topic, key)).collect();
    HttpResponse::Ok().json(json!({"items": items, "hasMore": has_more, "end": topic.end()}))
}

fn item(topic: &Topic, key: &str) -> serde_json::Value {
    use base64::Engine as _;
    let offset = topic.newest.get(key).copied().unwrap_or_default();
    let index = usize::try_from(offset).unwrap_or(usize::MAX);
    let value = topic.records.get(index).map(|(_, value)| value.as_slice()).unwrap_or_default();
    let value = base64::prelude::BASE64_STANDARD.encode(value);
    json!({"key": key, "value": value, "offset": offset})
}
