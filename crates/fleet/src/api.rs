//! HTTP API of an entry: jobs, their states, cancels, readiness and metrics.
//!
//! Decides how each call is answered. A new job or cancel is accepted only after it has been
//! stored; one that may have been stored is answered neither as accepted nor as refused.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use actix_web::http::header::{HOST, HeaderValue, RETRY_AFTER};
use actix_web::http::{Method, StatusCode};
use actix_web::web::{Bytes, Data, Payload};
use actix_web::{HttpRequest, HttpResponse};
use cactusdoor_core::unit::Millis;
use cactusdoor_node::clock::{MonotonicClock, unix_ms};
use cactusdoor_peer::queue::FindReply;
use cactusdoor_platform::status::{ErrorBody, PendingBody, StateBody};
use cactusdoor_platform::store::{KeyedRecord, MAX_RECORD_BYTES};
use cactusdoor_platform::{calls, submission};
use cactusdoor_queue::config::QueueConfig;
use cactusdoor_queue::name::JobId;
use cactusdoor_queue::record::RequestKey;
use cactusdoor_queue::report::JobState;
use prometheus::Registry;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot, watch};

use crate::body::{self, BodyBudget, BodyLease, HeldBody};
use crate::connection_table::{CallerConnection, ServedAddress};
use crate::decision::{DecisionEvent, StoredVia};
use crate::decision_log::DecisionLog;
use crate::limits::{ClientLimits, RejectCause};
use crate::metrics::{self, EntryMetrics};
use crate::operators::ConfirmedView;
use crate::rejections::Rejections;
use crate::room;
use crate::submitter::{SubmitCall, SubmitOutcome};
use crate::watcher::{FindCall, JobStates};

/// Deadline of a call without a deadline header.
const DEFAULT_DEADLINE: Duration = Duration::from_millis(3_000);
/// Longest deadline of a call: timers do not count beyond a few years.
const MAX_DEADLINE: Duration = Duration::from_secs(600);
/// Part of a caller's deadline that is reserved for sending the answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(120);
/// Pause between two queries to the owner.
const FIND_PAUSE: Duration = Duration::from_millis(120);
/// Time after which a refused caller may retry, in seconds.
const RETRY_AFTER_SECONDS: &str = "1";
/// Greatest age of the store's last answer at which an entry is ready.
const MAX_READY_AGE: Millis = 2_500;
/// Most characters of a job id; the caller chooses it.
const MAX_ID_CHARS: usize = 64;

/// Most characters of a path in the log: a head may be as long as its limit.
const MAX_LOGGED_CHARS: usize = 200;

/// Dependencies and settings of the API; shared by its threads.
pub struct ApiContext {
    pub limits: ClientLimits,
    /// Memory for callers' bodies.
    pub bodies: BodyBudget,
    pub rejections: Rejections,
    pub config_bound: Millis,
    pub clock: MonotonicClock,
    pub log: DecisionLog,
    pub metrics: EntryMetrics,
    pub registry: Registry,
    pub views: watch::Receiver<ConfirmedView>,
    pub states: JobStates,
    pub submits: mpsc::Sender<SubmitCall>,
    pub finds: mpsc::Sender<FindCall>,
    /// Whether jobs are refused for lack of room.
    pub refusals: bool,
    pub stopping: Arc<AtomicBool>,
}

/// Answers a call; the address that it came to decides which part of the API does.
pub async fn answer(
    context: Data<ApiContext>,
    request: HttpRequest,
    mut payload: Payload,
) -> HttpResponse {
    let Some(caller) = request.conn_data::<CallerConnection>() else {
        log::error!("a request has no connection");
        return HttpResponse::InternalServerError().finish();
    };
    match caller.address {
        ServedAddress::Ready => context.answer_ready(&request),
        ServedAddress::Metrics => context.answer_metrics(),
        ServedAddress::Callers => {
            let response = context.answer_counted(caller, &request, &mut payload).await;
            if context.stopping.load(Ordering::Relaxed) {
                caller.connection.close_after();
            }
            response
        }
    }
}

/// Where a job is submitted.
#[derive(Clone, Copy)]
struct SubmitTarget<'a> {
    queue: &'a QueueConfig,
    version: u64,
    job: &'a JobId,
}

/// Status and cause of a refused call.
pub(crate) struct Refusal {
    status: StatusCode,
    cause: &'static str,
}

impl Refusal {
    pub(crate) fn new(status: StatusCode, cause: &'static str) -> Self {
        Self { status, cause }
    }
}

impl ApiContext {
    fn answer_ready(&self, request: &HttpRequest) -> HttpResponse {
        let ready = request.path() == calls::READINESS && self.is_ready();
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        HttpResponse::new(status)
    }

    /// Whether jobs can be stored under a current configuration.
    fn is_ready(&self) -> bool {
        let view = self.views.borrow();
        let is_fresh = self.clock.now() <= view.confirmed.after(MAX_READY_AGE);
        is_fresh && view.view.config.is_some() && !self.stopping.load(Ordering::Relaxed)
    }

    fn answer_metrics(&self) -> HttpResponse {
        match metrics::text(&self.registry) {
            Ok(text) => HttpResponse::Ok().content_type("text/plain; charset=utf-8").body(text),
            Err(error) => {
                log::error!("could not encode metrics: {error}");
                HttpResponse::InternalServerError().finish()
            }
        }
    }

    /// Answers a caller and counts the answer.
    async fn answer_counted(
        &self,
        caller: &CallerConnection,
        request: &HttpRequest,
        payload: &mut Payload,
    ) -> HttpResponse {
        let response = self.answer_caller(caller, request, payload).await;
        let name = match *request.method() {
            Method::POST => "submit",
            Method::DELETE => "cancel",
            _ => "query",
        };
        let status = response.status();
        self.metrics.answers.with_label_values(&[name, status.as_str()]).inc();
        response
    }

    async fn answer_caller(
        &self,
        caller: &CallerConnection,
        request: &HttpRequest,
        payload: &mut Payload,
    ) -> HttpResponse {
        let arrived = Instant::now();
        if caller.connection.exceeds_ahead() {
            caller.connection.close_after();
            return refuse(&self.reject(caller, RejectCause::RequestsAhead));
        }
        let (queue, version) = match self.find_queue(request) {
            Ok(found) => found,
            Err(refusal) => {
                self.log.record(DecisionEvent::CallRefused {
                    path: request.path().chars().take(MAX_LOGGED_CHARS).collect(),
                    status: refusal.status.as_u16(),
                    cause: refusal.cause,
                });
                return refuse(&refusal);
            }
        };
        let id = &request.path()[queue.prefix.len()..];
        let lists_pending = id.is_empty() && request.method() == Method::GET;
        if !lists_pending && !is_job_id(id) {
            return refuse(&Refusal::new(StatusCode::NOT_FOUND, "no job id"));
        }
        let body = match self.read_body(caller, request, payload).await {
            Ok(body) => body,
            // A refusal would say that the job never runs.
            Err(_) if *request.method() == Method::POST && self.states.get(id).is_some() => {
                caller.connection.close_after();
                return HttpResponse::Ok().finish();
            }
            Err(refusal) => return refuse(&refusal),
        };
        if lists_pending {
            return self.answer_pending(&queue);
        }
        // Without a header, the deadline counts from the end of the body.
        let has_deadline = request.headers().contains_key(calls::DEADLINE_HEADER);
        let start = if has_deadline { arrived } else { Instant::now() };
        let deadline = start + caller_deadline(request);
        let job = JobId::from(id);
        match *request.method() {
            Method::POST => {
                let target = SubmitTarget { queue: &queue, version, job: &job };
                self.submit(caller, target, body, deadline).await
            }
            Method::GET => self.query(&job, deadline).await,
            Method::DELETE => self.cancel(caller, &queue, &job, deadline).await,
            _ => refuse(&Refusal::new(StatusCode::METHOD_NOT_ALLOWED, "method")),
        }
    }

    fn find_queue(&self, request: &HttpRequest) -> Result<(Arc<QueueConfig>, u64), Refusal> {
        let host = request.headers().get(HOST).and_then(|host| host.to_str().ok());
        let host = host.unwrap_or_default().split(':').next().unwrap_or_default();
        let view = self.views.borrow();
        let Some(config) = &view.view.config else {
            return Err(Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "no configuration"));
        };
        if let Some(queue) = config.find(host, request.path()) {
            return Ok((Arc::clone(queue), config.version));
        }
        // A queue may have been added since the view was last confirmed.
        if self.clock.now() > view.confirmed.after(self.config_bound) {
            return Err(Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "configuration is old"));
        }
        Err(Refusal::new(StatusCode::NOT_FOUND, "no such queue"))
    }

    fn answer_pending(&self, queue: &QueueConfig) -> HttpResponse {
        match self.states.pending(&queue.name, self.clock.now()) {
            Some(pending) => HttpResponse::Ok().json(PendingBody { pending }),
            None => refuse(&Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "no owner yet")),
        }
    }

    async fn submit(
        &self,
        caller: &CallerConnection,
        SubmitTarget { queue, version, job }: SubmitTarget<'_>,
        body: HeldBody,
        deadline: Instant,
    ) -> HttpResponse {
        if self.states.get(job).is_some() {
            return HttpResponse::Ok().finish();
        }
        let started = Instant::now();
        if started >= deadline {
            let refusal = Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "deadline has passed");
            return self.refuse_job("submit", queue, job, &refusal, started);
        }
        if body::count_values(&body.bytes, self.limits.fields) > self.limits.fields {
            return refuse(&self.reject(caller, RejectCause::Fields));
        }
        let HeldBody { bytes, mut lease } = body;
        let spec = match submission::read(&bytes, queue, unix_ms()) {
            Ok(spec) if spec.steps.len() > self.limits.steps => {
                return refuse(&self.reject(caller, RejectCause::Steps));
            }
            Ok(spec) => spec,
            Err(error) => {
                let error = error.to_string();
                return HttpResponse::BadRequest().json(ErrorBody { error });
            }
        };
        let length = bytes.len();
        drop(bytes);
        let value = serde_json::to_vec(&spec).unwrap_or_default();
        let key = RequestKey::Job(job.clone()).text();
        let record = KeyedRecord { key, value: Some(value.into()) };
        if record.size() > MAX_RECORD_BYTES {
            // The store would refuse it together with the jobs that share its append.
            let error = "job is too large".to_owned();
            return HttpResponse::BadRequest().json(ErrorBody { error });
        }
        if !lease.grow(record.size().saturating_sub(length)) {
            let refusal = self.reject(caller, RejectCause::BodyBytes);
            return self.refuse_job("submit", queue, job, &refusal, started);
        }
        if let Some(seconds) = room::refuse(self, queue, job, spec, deadline).await {
            drop(lease);
            let refusal = Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "no room in time");
            let mut response = self.refuse_job("submit", queue, job, &refusal, started);
            response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
            return response;
        }
        self.states.attempt(job);
        let refusal = match self.store(caller, record, Some(lease), deadline).await {
            Ok(via) => {
                self.states.accept(job);
                let (job, queue, waited) = (job.clone(), queue.name.clone(), elapsed(started));
                self.log.record(DecisionEvent::JobAccepted { job, queue, version, via, waited });
                return HttpResponse::Ok().finish();
            }
            Err(refusal) => refusal,
        };
        self.refuse_job("submit", queue, job, &refusal, started)
    }

    /// Refuses a call about a job and logs the cause.
    fn refuse_job(
        &self,
        call: &'static str,
        queue: &QueueConfig,
        job: &JobId,
        refusal: &Refusal,
        started: Instant,
    ) -> HttpResponse {
        self.log.record(DecisionEvent::JobRefused {
            call,
            job: job.clone(),
            queue: queue.name.clone(),
            status: refusal.status.as_u16(),
            cause: refusal.cause,
            waited: elapsed(started),
        });
        refuse(refusal)
    }

    /// Stores a request; without a result in time it may still be stored (504).
    async fn store(
        &self,
        caller: &CallerConnection,
        record: KeyedRecord,
        lease: Option<BodyLease>,
        deadline: Instant,
    ) -> Result<StoredVia, Refusal> {
        let started = Instant::now();
        let (reply, outcome) = oneshot::channel();
        let call = SubmitCall { record, arrived: self.clock.now(), reply, lease };
        match self.submits.try_send(call) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => {
                return Err(self.reject(caller, RejectCause::CallsWaiting));
            }
            Err(TrySendError::Closed(_)) => {
                return Err(Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "store lane has ended"));
            }
        }
        let outcome = tokio::time::timeout_at(deadline.into(), outcome).await;
        self.metrics.store_wait.observe(started.elapsed().as_secs_f64());
        match outcome {
            Ok(Ok(SubmitOutcome::Stored)) => Ok(StoredVia::Store),
            Ok(Ok(SubmitOutcome::Relayed)) => Ok(StoredVia::Owner),
            Ok(Ok(SubmitOutcome::Refused)) => {
                Err(Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "not stored"))
            }
            Ok(Err(_)) => Err(Refusal::new(StatusCode::BAD_GATEWAY, "store lane has ended")),
            Err(_) => Err(Refusal::new(StatusCode::GATEWAY_TIMEOUT, "verdict not known")),
        }
    }

    /// The state of a job; queries the owner if this entry does not know it.
    pub(crate) async fn find(
        &self,
        job: &JobId,
        deadline: Instant,
    ) -> Result<Option<JobState>, Refusal> {
        loop {
            if let Some(state) = self.states.get(job) {
                return Ok(Some(state));
            }
            let limit = deadline.saturating_duration_since(Instant::now());
            if limit.is_zero() {
                return Err(Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "owner did not answer"));
            }
            let (reply, answer) = oneshot::channel();
            let call = FindCall { job: job.clone(), limit, reply };
            if self.finds.send(call).await.is_err() {
                return Err(Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "stopping"));
            }
            match answer.await {
                Ok(Some(FindReply::Known(state))) => return Ok(Some(state)),
                Ok(Some(FindReply::Unknown)) => return Ok(None),
                _ => tokio::time::sleep(FIND_PAUSE).await,
            }
        }
    }

    async fn query(&self, job: &JobId, deadline: Instant) -> HttpResponse {
        match self.find(job, deadline).await {
            Ok(Some(state)) => HttpResponse::Ok().json(StateBody::of(state)),
            Ok(None) => refuse(&Refusal::new(StatusCode::GONE, "no such job")),
            Err(refusal) => refuse(&refusal),
        }
    }

    async fn cancel(
        &self,
        caller: &CallerConnection,
        queue: &QueueConfig,
        job: &JobId,
        deadline: Instant,
    ) -> HttpResponse {
        let started = Instant::now();
        match self.find(job, deadline).await {
            Ok(Some(state)) if state.has_ended() => return HttpResponse::Ok().finish(),
            Ok(Some(_)) => {}
            Ok(None) => return refuse(&Refusal::new(StatusCode::GONE, "no such job")),
            Err(refusal) => return refuse(&refusal),
        }
        let key = RequestKey::Cancel(job.clone()).text();
        let record = KeyedRecord { key, value: Some(Bytes::from_static(b"{}")) };
        match self.store(caller, record, None, deadline).await {
            Ok(via) => {
                let (job, waited) = (job.clone(), elapsed(started));
                self.log.record(DecisionEvent::CancelAccepted { job, via, waited });
                HttpResponse::Ok().finish()
            }
            Err(refusal) => self.refuse_job("cancel", queue, job, &refusal, started),
        }
    }
}

fn refuse(refusal: &Refusal) -> HttpResponse {
    let mut response = HttpResponse::build(refusal.status);
    let may_retry = [StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE];
    if may_retry.contains(&refusal.status) {
        response.insert_header((RETRY_AFTER, RETRY_AFTER_SECONDS));
    }
    response.json(ErrorBody { error: refusal.cause.to_owned() })
}

fn caller_deadline(request: &HttpRequest) -> Duration {
    let header = request.headers().get(calls::DEADLINE_HEADER);
    let millis = header.and_then(|header| header.to_str().ok()?.parse().ok());
    let deadline = millis.map_or(DEFAULT_DEADLINE, Duration::from_millis);
    deadline.min(MAX_DEADLINE).saturating_sub(ANSWER_MARGIN)
}

fn is_job_id(id: &str) -> bool {
    (1..=MAX_ID_CHARS).contains(&id.len()) && id.bytes().all(|byte| byte.is_ascii_alphanumeric())
}

fn elapsed(started: Instant) -> Millis {
    u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX)
}
