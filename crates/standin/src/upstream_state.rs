//! State of the upstream stand-in: its slots and connections, the requests in
//! progress, its withdrawal and the injected fault.
//!
//! It decides which connections may carry requests and which answers a fault
//! affects. It records every execution in the history.

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
    AnswerBody, ExecutionChange, ExecutionHistory, RequestParameters, UpstreamFault,
    UpstreamOptions, UpstreamStatus,
};

/// State behind the upstream's HTTP interface.
pub struct UpstreamState {
    pub options: UpstreamOptions,
    pub history: HistoryLog<ExecutionHistory>,
    /// Wakes the announcer when the upstream leaves or is closed.
    pub leave_signal: Notify,
    fault: Mutex<UpstreamFault>,
    slots: Semaphore,
    /// Permits for connections that may carry requests.
    connections: Arc<Semaphore>,
    /// When the upstream began to leave.
    leaving_since: Mutex<Option<UnixMicros>>,
    /// When the agent acknowledged the withdrawal.
    withdrawn_at: Mutex<Option<UnixMicros>>,
    closed: AtomicBool,
    in_progress: AtomicUsize,
    executions: AtomicU64,
    /// Requests rejected because their connection got no permit.
    over_limit: AtomicU64,
    /// Absent while connections are refused and after the upstream is closed.
    server: Mutex<Option<RunningServer>>,
}

/// Headers that the agent sends with a request.
#[derive(Clone, Debug, Default)]
pub struct CallHeaders {
    request_id: String,
    key: Option<String>,
    plan: String,
    service: String,
    parameters: RequestParameters,
}

impl CallHeaders {
    #[must_use]
    pub fn read(request: &HttpRequest) -> Self {
        let text = |name: &str| {
            let value = request.headers().get(name)?.to_str().ok()?;
            Some(value.to_owned())
        };
        let parameters = RequestParameters {
            service_time_ms: text("X-Service-Time-Ms").and_then(|value| value.parse().ok()),
            answer_bytes: text("X-Answer-Bytes").and_then(|value| value.parse().ok()),
        };
        Self {
            request_id: text("X-Request-Id").unwrap_or_default(),
            key: text("Idempotency-Key"),
            plan: text("X-Plan").unwrap_or_default(),
            service: text("X-Service").unwrap_or_default(),
            parameters,
        }
    }
}

/// Result of a completed execution.
pub struct Execution {
    pub answer: Bytes,
}

/// Faults that apply to one answer.
#[derive(Clone, Copy, Debug)]
pub struct AnswerFault {
    pub status: StatusCode,
    /// Only the first half is sent.
    pub truncated: bool,
    /// The connection is cut without an answer.
    pub lost: bool,
}

/// Counts a request as in progress until it is dropped.
struct ProgressGuard<'a>(&'a AtomicUsize);

impl<'a> ProgressGuard<'a> {
    fn open(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(count)
    }
}

impl Drop for ProgressGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Records the end of an execution when dropped, also if the upstream ends first.
struct ExecutionGuard<'a> {
    history: &'a HistoryLog<ExecutionHistory>,
    record: ExecutionHistory,
}

impl Drop for ExecutionGuard<'_> {
    fn drop(&mut self) {
        self.record.time_unix_us = unix_us();
        self.history.push(self.record.clone());
    }
}

impl UpstreamState {
    pub fn open(options: UpstreamOptions) -> io::Result<Self> {
        Ok(Self {
            history: HistoryLog::open(options.history.as_deref())?,
            leave_signal: Notify::new(),
            fault: Mutex::default(),
            slots: Semaphore::new(options.slots as usize),
            connections: Arc::new(Semaphore::new(options.connections as usize)),
            leaving_since: Mutex::default(),
            withdrawn_at: Mutex::default(),
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

    /// Begins the withdrawal, which is complete at once if there is no agent.
    pub fn leave(&self) {
        lock(&self.leaving_since).get_or_insert_with(unix_us);
        if self.options.agent.is_none() {
            self.set_withdrawn();
        }
        self.leave_signal.notify_one();
    }

    pub fn is_leaving(&self) -> bool {
        lock(&self.leaving_since).is_some()
    }

    /// Records that the agent has acknowledged the withdrawal.
    pub fn set_withdrawn(&self) {
        lock(&self.withdrawn_at).get_or_insert_with(unix_us);
    }

    pub fn status(&self) -> UpstreamStatus {
        UpstreamStatus {
            leaving: self.is_leaving(),
            withdrawn_unix_us: *lock(&self.withdrawn_at),
            in_progress: self.in_progress.load(Ordering::SeqCst),
            executions: self.executions.load(Ordering::SeqCst),
            over_limit: self.over_limit.load(Ordering::SeqCst),
        }
    }

    /// Ends the server permanently.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        self.leave_signal.notify_one();
        drop(self.take_server());
    }

    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    /// Removes and returns the running server; dropping it ends the server.
    pub fn take_server(&self) -> Option<RunningServer> {
        lock(&self.server).take()
    }

    /// Stores the running server; ends it if the upstream has been closed.
    pub fn store_server(&self, server: RunningServer) {
        let mut stored = lock(&self.server);
        if !self.is_closed() {
            *stored = Some(server);
        }
    }

    /// Whether the connection of `request` may carry requests.
    pub fn admit_connection(&self, request: &HttpRequest) -> bool {
        let admitted = request.conn_data::<ConnectionPermit>().is_some_and(|permit| {
            permit.acquire(|| self.connections.clone().try_acquire_owned().ok())
        });
        if !admitted {
            self.over_limit.fetch_add(1, Ordering::SeqCst);
        }
        admitted
    }

    /// Executes a request once a slot is free.
    pub async fn execute(state: Arc<Self>, headers: CallHeaders, body: Bytes) -> Execution {
        let _progress = ProgressGuard::open(&state.in_progress);
        // The semaphore is never closed, so every request gets its slot.
        let _slot = state.slots.acquire().await.ok();
        let execution = state.executions.fetch_add(1, Ordering::SeqCst) + 1;
        let record = state.start_record(execution, &headers, &body);
        state.history.push(record.clone());
        let mut guard = ExecutionGuard {
            history: &state.history,
            record: ExecutionHistory { change: ExecutionChange::Interrupted, ..record },
        };
        let parameters = state.request_parameters(&headers, &body);
        tokio::time::sleep(Duration::from_millis(parameters.service_time_ms.unwrap_or(0))).await;
        guard.record.change = ExecutionChange::Completed;
        let answer = state.answer(&guard.record, parameters.answer_bytes.unwrap_or(0));
        Execution { answer }
    }

    fn start_record(&self, execution: u64, headers: &CallHeaders, body: &[u8]) -> ExecutionHistory {
        let now = unix_us();
        let leaving_us = lock(&self.leaving_since).map(|since| now.saturating_sub(since));
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

    /// Service time and answer size from headers, body and defaults, plus the fault's delay.
    fn request_parameters(&self, headers: &CallHeaders, body: &[u8]) -> RequestParameters {
        let requested: RequestParameters = serde_json::from_slice(body).unwrap_or_default();
        let time = headers.parameters.service_time_ms.or(requested.service_time_ms);
        let bytes = headers.parameters.answer_bytes.or(requested.answer_bytes);
        let delay = lock(&self.fault).slow_ms;
        RequestParameters {
            service_time_ms: Some(time.unwrap_or(self.options.service_time_ms) + delay),
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
        let unpadded = encode(&answer).len();
        answer.padding = "x".repeat(bytes.saturating_sub(unpadded));
        encode(&answer).into()
    }

    /// Faults of the next answer; decrements the fault's count of lost or truncated answers.
    pub fn take_answer_fault(&self) -> AnswerFault {
        let mut fault = lock(&self.fault);
        let status = fault.status.and_then(|status| StatusCode::from_u16(status).ok());
        let status = status.unwrap_or(StatusCode::OK);
        let lost = fault.lose_answers > 0;
        let truncated = !lost && fault.break_answers > 0;
        fault.lose_answers = fault.lose_answers.saturating_sub(1);
        if truncated {
            fault.break_answers -= 1;
        }
        AnswerFault { status, truncated, lost }
    }
}

impl ConnectionPermit {
    /// Takes a permit for this connection unless it has one; `false` if none is free.
    fn acquire(&self, take: impl FnOnce() -> Option<OwnedSemaphorePermit>) -> bool {
        let mut permit = lock(&self.0);
        if permit.is_none() {
            *permit = take();
        }
        permit.is_some()
    }
}
