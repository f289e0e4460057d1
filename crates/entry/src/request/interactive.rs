//! Runs one interactive request: attempts, retries, hedges and the outcome.
//!
//! A request may run more than once. Its outcome is `not run` only if every attempt
//! was refused before an upstream was called.

use std::rc::Rc;
use std::time::{Duration, Instant};

use cactusdoor_caller::answer::ServiceAnswer;
use cactusdoor_caller::request::InteractiveRequest;
use cactusdoor_caller::{CallerError, ErrorCode, RetryAdvice};
use cactusdoor_core::config::ConfigState;
use cactusdoor_core::name::VmName;
use cactusdoor_core::unit::{Millis, Moment};
use cactusdoor_peer::answer::{CallFailure, CallRefusal, RequestId, UpstreamAnswer, UpstreamCall};
use cactusdoor_policy::routing::attempt::{AttemptEnd, AttemptHistory, RequestOutcome};
use cactusdoor_policy::routing::pool::AttemptResult;
use cactusdoor_timeline::EventKind;
use futures::future::LocalBoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};

use super::check::check_answer;
use super::router::{RequestRouter, SlotGuard, SlotOutcome};
use crate::connections::ConnectionError;

/// Most redirects of one request: attempts after an agent or upstream accepted no
/// requests or could not be reached. They add no load to upstreams and cost no retry
/// budget.
const MAX_REDIRECTS: u32 = 2;
/// Most attempts of one request, redirects included.
const MAX_ATTEMPTS: u32 = 4;
/// Least delay before a hedge; the system's timers are too imprecise for a shorter one.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(5);

/// How one attempt ended.
pub enum AttemptOutcome {
    Answered(UpstreamAnswer),
    /// Refused because the agent or upstream accepts no requests or cannot be reached.
    Closed,
    /// Refused because the queue was full or the deadline too short.
    Busy,
    /// The upstream may have run the request.
    Uncertain,
}

type Attempt = LocalBoxFuture<'static, AttemptOutcome>;

/// An admitted request and its attempts so far.
struct PendingRequest {
    router: Rc<RequestRouter>,
    config: std::sync::Arc<ConfigState>,
    request: InteractiveRequest,
    id: RequestId,
    name: String,
    deadline: Moment,
    history: AttemptHistory,
    tried: Vec<VmName>,
    attempts: FuturesUnordered<Attempt>,
    redirects: u32,
    /// When to send a hedge.
    hedge: Option<Instant>,
}

/// Name of a request for callers and operators.
#[must_use]
pub fn request_name(id: RequestId) -> String {
    format!("{:016x}-{}", id.entry, id.number)
}

/// Serves one interactive request and records its outcome.
pub async fn serve(
    router: Rc<RequestRouter>,
    request: InteractiveRequest,
) -> Result<ServiceAnswer, CallerError> {
    let started = Instant::now();
    let id = router.next_id();
    let metrics = router.parts.metrics.clone();
    let events = router.parts.events.clone();
    let result = execute(router, request, id).await;
    let outcome = match &result {
        Ok(_) => "answered",
        Err(error) if error.outcome == cactusdoor_caller::WorkOutcome::NotRun => "not_run",
        Err(_) => "unknown",
    };
    metrics.requests.with_label_values(&["interactive", outcome]).inc();
    metrics.latency.observe(started.elapsed().as_secs_f64());
    if result.is_err() {
        let elapsed_ms = started.elapsed().as_millis() as Millis;
        let (request, outcome) = (request_name(id), outcome.to_owned());
        events.record(EventKind::RequestEnded { request, outcome, elapsed_ms });
    }
    result.map_err(|error| error.for_request(request_name(id)))
}

async fn execute(
    router: Rc<RequestRouter>,
    request: InteractiveRequest,
    id: RequestId,
) -> Result<ServiceAnswer, CallerError> {
    let deadline = router.now().after(request.deadline_ms);
    let (config, _work) = router.admit(&request.plan)?;
    router.earn_retry(&request.service);
    let slot = router.acquire(&request.service, &config, deadline, &[]).await?;
    let mut pending = PendingRequest {
        name: request_name(id),
        router,
        config,
        request,
        id,
        deadline,
        history: AttemptHistory::default(),
        tried: Vec::new(),
        attempts: FuturesUnordered::new(),
        redirects: 0,
        hedge: None,
    };
    pending.send(slot);
    pending.run().await
}

impl PendingRequest {
    fn send(&mut self, slot: SlotGuard) {
        let attempt = self.history.begin_attempt();
        let vm = slot.agent.vm.clone();
        let delay = self.router.hedge_delay(&self.request.service, &vm);
        self.hedge = delay.map(|delay| Instant::now() + delay.max(MIN_HEDGE_DELAY));
        if attempt > 0 {
            let (request, vm) = (self.name.clone(), vm.clone());
            self.router.parts.events.record(EventKind::RequestSent { request, vm, attempt });
        }
        self.tried.push(vm);
        let id = RequestId { attempt, ..self.id };
        let call = UpstreamCall {
            id,
            plan: self.request.plan.clone(),
            service: self.request.service.clone(),
            deadline_left_ms: self.deadline.since(self.router.now()),
            body: self.request.body.clone(),
        };
        let router = Rc::clone(&self.router);
        let deadline = self.router.instant(self.deadline);
        self.attempts.push(Box::pin(call_agent(router, slot, call, deadline)));
    }

    async fn run(&mut self) -> Result<ServiceAnswer, CallerError> {
        let deadline = tokio::time::Instant::from_std(self.router.instant(self.deadline));
        loop {
            let hedge = self.hedge.map_or(deadline, Into::into);
            let outcome = tokio::select! {
                biased;
                outcome = self.attempts.next() => outcome,
                () = tokio::time::sleep_until(hedge), if hedge < deadline => {
                    self.hedge();
                    continue;
                }
                () = tokio::time::sleep_until(deadline) => return Err(self.failure(true)),
            };
            let Some(outcome) = outcome else { return Err(self.failure(false)) };
            if let AttemptOutcome::Answered(answer) = outcome {
                return Ok(self.answer(answer));
            }
            self.handle_attempt_end(outcome);
        }
    }

    /// Sends a second attempt for a request whose answer is late.
    fn hedge(&mut self) {
        self.hedge = None;
        self.send_extra("hedge", true);
    }

    fn handle_attempt_end(&mut self, outcome: AttemptOutcome) {
        let end = match outcome {
            AttemptOutcome::Uncertain | AttemptOutcome::Answered(_) => AttemptEnd::Uncertain,
            AttemptOutcome::Closed | AttemptOutcome::Busy => AttemptEnd::Refused,
        };
        self.history.end_attempt(end);
        if matches!(outcome, AttemptOutcome::Closed) && self.redirects < MAX_REDIRECTS {
            self.redirects += 1;
            self.send_extra("redirect", false);
        } else if self.attempts.is_empty() {
            self.send_extra("retry", true);
        }
    }

    /// Sends another attempt if an upstream has a free slot and, if `budgeted`, the
    /// retry budget allows it.
    fn send_extra(&mut self, kind: &str, budgeted: bool) {
        let late = self.router.now() >= self.deadline;
        if late || self.history.sent() >= MAX_ATTEMPTS {
            return;
        }
        let service = &self.request.service;
        let acquired = self.router.try_acquire(service, &self.config, self.deadline, &self.tried);
        let SlotOutcome::Slot(slot) = acquired else { return };
        if budgeted && !self.router.spend_retry(service) {
            return;
        }
        self.router.parts.metrics.extra_attempts.with_label_values(&[kind]).inc();
        self.send(slot);
    }

    fn answer(&self, answer: UpstreamAnswer) -> ServiceAnswer {
        ServiceAnswer {
            request: self.name.clone(),
            status: answer.status,
            length: answer.length,
            digest: answer.digest,
            body: Some(answer.body),
        }
    }

    fn failure(&self, late: bool) -> CallerError {
        let retry = RetryAdvice::NewRequest;
        match self.history.outcome() {
            RequestOutcome::NotRun => {
                let text = "every attempt was refused before the upstream was called";
                CallerError::not_run(ErrorCode::NotRun, retry, text)
            }
            RequestOutcome::Unknown if late => {
                let text = "no answer arrived before the deadline";
                CallerError::unknown(ErrorCode::DeadlineExceeded, retry, text)
            }
            RequestOutcome::Unknown => {
                let text = "no upstream sent a whole answer";
                CallerError::unknown(ErrorCode::NoAnswer, retry, text)
            }
        }
    }
}

async fn call_agent(
    router: Rc<RequestRouter>,
    slot: SlotGuard,
    call: UpstreamCall,
    deadline: Instant,
) -> AttemptOutcome {
    let id = call.id;
    let sent = Instant::now();
    let address = slot.agent.address;
    let answer = router
        .connections
        .call(address, deadline, |client, context| async move { client.call(context, call).await })
        .await;
    let (result, outcome) = match answer {
        Ok(Ok(answer)) => match check_answer(id, &answer) {
            Ok(()) => {
                let latency = u64::try_from(sent.elapsed().as_micros()).unwrap_or(u64::MAX);
                (AttemptResult::Answered(latency), AttemptOutcome::Answered(answer))
            }
            Err(error) => {
                log::warn!("dropped answer from {}: {error}", slot.agent.vm);
                router.parts.metrics.dropped_answers.inc();
                (AttemptResult::Failed, AttemptOutcome::Uncertain)
            }
        },
        Ok(Err(CallFailure::NotRun(refusal))) => classify_refusal(refusal),
        Ok(Err(CallFailure::Broken | CallFailure::TimedOut)) => {
            (AttemptResult::Failed, AttemptOutcome::Uncertain)
        }
        Err(ConnectionError::NotSent(_)) => (AttemptResult::Unreachable, AttemptOutcome::Closed),
        Err(error) => {
            log::debug!("attempt on {} failed: {error}", slot.agent.vm);
            (AttemptResult::Failed, AttemptOutcome::Uncertain)
        }
    };
    slot.finish(result);
    outcome
}

/// Maps a refusal to the result recorded for the upstream and the outcome of the attempt.
pub fn classify_refusal(refusal: CallRefusal) -> (AttemptResult, AttemptOutcome) {
    match refusal {
        CallRefusal::NoUpstream | CallRefusal::Leaving | CallRefusal::Draining => {
            (AttemptResult::Closed, AttemptOutcome::Closed)
        }
        CallRefusal::ConnectionRefused => (AttemptResult::Failed, AttemptOutcome::Closed),
        CallRefusal::QueueFull => (AttemptResult::Busy, AttemptOutcome::Busy),
        CallRefusal::DeadlineTooShort => (AttemptResult::Abandoned, AttemptOutcome::Busy),
    }
}
