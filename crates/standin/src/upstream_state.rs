//! What one upstream stand-in executes.

use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::http::StatusCode;
use actix_web::web::Bytes;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use xxhash_rust::xxh3::xxh3_64;

use crate::history::{HistoryLog, UnixMicros, lock, unix_us};
use crate::server::{ConnectionPermit, RunningServer};
use crate::upstream::{
    AnswerBody, ExecutionChange, ExecutionHistory, RequestWishes, UpstreamFault, UpstreamOptions,
    UpstreamStatus,
};

/// State behind the upstream's HTTP interface.
pub struct UpstreamState {
    pub options: UpstreamOptions,
    pub history: HistoryLog<ExecutionHistory>,
    /// Wakes the announcer.
    pub left: Notify,
    fault: Mutex<UpstreamFault>,
    slots: Semaphore,
    connections: Arc<Semaphore>,
    leaving: Mutex<Option<UnixMicros>>,
    withdrawn: Mutex<Option<UnixMicros>>,
    closed: AtomicBool,
    in_progress: AtomicUsize,
    executions: AtomicU64,
    over_limit: AtomicU64,
    server: Mutex<Option<RunningServer>>,
}

/// What the agent says about a request.
#[derive(Clone, Debug, Default)]
pub struct CallHeaders {
    request_id: String,
    key: Option<String>,
    plan: String,
    service: String,
    wishes: RequestWishes,
}

impl CallHeaders {
    #[must_use]
    pub fn read(request: &HttpRequest) -> Self {
        let text = |name: &str| {
            let value = request.headers().get(name)?.to_str().ok()?;
            Some(value.to_owned())
        };
        let wishes = RequestWishes {
            service_time_ms: text("X-Service-Time-Ms").and_then(|value| value.parse().ok()),
            answer_bytes: text("X-Answer-Bytes").and_then(|value| value.parse().ok()),
        };
        Self {
            request_id: text("X-Request-Id").unwrap_or_default(),
            key: text("Idempotency-Key"),
            plan: text("X-Plan").unwrap_or_default(),
            service: text("X-Service").unwrap_or_default(),
            wishes,
        }
    }
}

/// A completed execution.
pub struct Execution {
    pub answer: Bytes,
}

/// What becomes of an answer.
#[derive(Clone, Copy, Debug)]
pub struct AnswerFate {
    pub status: StatusCode,
    pub break_off: bool,
    pub lose: bool,
}

/// Counts a request until it is dropped.
struct ProgressCount<'a>(&'a AtomicUsize);

impl<'a> ProgressCount<'a> {
    fn open(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(count)
    }
}

impl Drop for ProgressCount<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Records the end of an execution, also if the upstream ends first.
struct OpenExecution<'a> {
    history: &'a HistoryLog<ExecutionHistory>,
    record: ExecutionHistory,
}

impl Drop for OpenExecution<'_> {
    fn drop(&mut self) {
        self.record.time_unix_us = unix_us();
        self.history.push(self.record.clone());
    }
}

impl UpstreamState {
    pub fn open(options: UpstreamOptions) -> io::Result<Self> {
        Ok(Self {
            history: HistoryLog::open(options.history.as_deref())?,
            left: Notify::new(),
            fault: Mutex::default(),
            slots: Semaphore::new(options.slots as usize),
            connections: Arc::new(Semaphore::new(options.connections as usize)),
            leaving: Mutex::default(),
            withdrawn: Mutex::default(),
            closed: AtomicBool::new(false),
            in_progress: AtomicUsize::new(0),
            executions: AtomicU64::new(0),
            over_limit: AtomicU64::new(0),
            server: Mutex::default(),
            options,
        })
    }

    pub fn set_fault(&self, fault: UpstreamFault) {
        *lock(&self.fault) = fault;
    }

    pub fn leave(&self) {
        lock(&self.leaving).get_or_insert_with(unix_us);
        if self.options.agent.is_none() {
            self.set_withdrawn();
        }
        self.left.notify_one();
    }

    pub fn is_leaving(&self) -> bool {
        lock(&self.leaving).is_some()
    }

    /// The agent has acknowledged the withdrawal.
    pub fn set_withdrawn(&self) {
        lock(&self.withdrawn).get_or_insert_with(unix_us);
    }

    pub fn status(&self) -> UpstreamStatus {
        UpstreamStatus {
            leaving: self.is_leaving(),
            withdrawn_unix_us: *lock(&self.withdrawn),
            in_progress: self.in_progress.load(Ordering::SeqCst),
            executions: self.executions.load(Ordering::SeqCst),
            over_limit: self.over_limit.load(Ordering::SeqCst),
        }
    }

    /// Ends the server for good.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        self.left.notify_one();
        drop(self.take_server());
    }

    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    pub fn take_server(&self) -> Option<RunningServer> {
        lock(&self.server).take()
    }

    /// Keeps the server running until it is taken; ends it if the upstream has been closed.
    pub fn keep_server(&self, server: RunningServer) {
        let mut kept = lock(&self.server);
        if !self.is_closed() {
            *kept = Some(server);
        }
    }

    /// Whether the connection may carry requests.
    pub fn admit_connection(&self, request: &HttpRequest) -> bool {
        let admitted = request.conn_data::<ConnectionPermit>().is_some_and(|permit| {
            permit.hold(|| self.connections.clone().try_acquire_owned().ok())
        });
        if !admitted {
            self.over_limit.fetch_add(1, Ordering::SeqCst);
        }
        admitted
    }

    /// Executes a request once a slot is free.
    pub async fn execute(state: Arc<Self>, headers: CallHeaders, body: Bytes) -> Execution {
        let _count = ProgressCount::open(&state.in_progress);
        // The semaphore is never closed, so every request gets its slot.
        let _slot = state.slots.acquire().await.ok();
        let execution = state.executions.fetch_add(1, Ordering::SeqCst) + 1;
        let record = state.start_record(execution, &headers, &body);
        state.history.push(record.clone());
        let mut open = OpenExecution {
            history: &state.history,
            record: ExecutionHistory { change: ExecutionChange::Interrupted, ..record },
        };
        let wishes = state.wishes(&headers, &body);
        tokio::time::sleep(Duration::from_millis(wishes.service_time_ms.unwrap_or(0))).await;
        open.record.change = ExecutionChange::Completed;
        let answer = state.answer(&open.record, wishes.answer_bytes.unwrap_or(0));
        Execution { answer }
    }

    fn start_record(&self, execution: u64, headers: &CallHeaders, body: &[u8]) -> ExecutionHistory {
        let now = unix_us();
        let leaving_us = lock(&self.leaving).map(|since| now.saturating_sub(since));
        ExecutionHistory {
            upstream: self.options.name.clone(),
            time_unix_us: now,
            execution,
            request_id: headers.request_id.clone(),
            key: headers.key.clone(),
            plan: headers.plan.clone(),
            service: headers.service.clone(),
            body_digest: xxh3_64(body),
            change: ExecutionChange::Started { leaving_us },
        }
    }

    /// What the request asks for, with the defaults and the fault filled in.
    fn wishes(&self, headers: &CallHeaders, body: &[u8]) -> RequestWishes {
        let asked: RequestWishes = serde_json::from_slice(body).unwrap_or_default();
        let time = headers.wishes.service_time_ms.or(asked.service_time_ms);
        let bytes = headers.wishes.answer_bytes.or(asked.answer_bytes);
        let slow = lock(&self.fault).slow_ms;
        RequestWishes {
            service_time_ms: Some(time.unwrap_or(self.options.service_time_ms) + slow),
            answer_bytes: Some(bytes.unwrap_or(self.options.answer_bytes)),
        }
    }

    fn answer(&self, record: &ExecutionHistory, bytes: usize) -> Bytes {
        if bytes == 0 {
            return Bytes::new();
        }
        let mut answer = AnswerBody {
            upstream: self.options.name.clone(),
            execution: record.execution,
            request_id: record.request_id.clone(),
            key: record.key.clone(),
            body_digest: record.body_digest,
            padding: String::new(),
        };
        let encode = |answer: &AnswerBody| serde_json::to_vec(answer).unwrap_or_default();
        let bare = encode(&answer).len();
        answer.padding = "x".repeat(bytes.saturating_sub(bare));
        encode(&answer).into()
    }

    /// Takes the faults that concern the next answer.
    pub fn next_fate(&self) -> AnswerFate {
        let mut fault = lock(&self.fault);
        let status = fault.status.and_then(|status| StatusCode::from_u16(status).ok());
        let status = status.unwrap_or(StatusCode::OK);
        let lose = fault.lose_answers > 0;
        let break_off = !lose && fault.break_answers > 0;
        fault.lose_answers = fault.lose_answers.saturating_sub(1);
        if break_off {
            fault.break_answers -= 1;
        }
        AnswerFate { status, break_off, lose }
    }
}

impl ConnectionPermit {
    /// Takes a permit for this connection unless it has one.
    fn hold(&self, take: impl FnOnce() -> Option<OwnedSemaphorePermit>) -> bool {
        let mut permit = lock(&self.0);
        if permit.is_none() {
            *permit = take();
        }
        permit.is_some()
    }
}
