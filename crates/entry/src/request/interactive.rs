//! One interactive request: attempts, retries, hedges, outcome.

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
use super::core::{Acquired, RequestCore, SlotGuard};
use crate::links::LinkFailure;

/// Attempts of one request that may follow refusals by agents that are leaving.
/// They add no load to upstreams and therefore cost no budget.
const MAX_REDIRECTS: u32 = 2;
/// Attempts of one request in total.
const MAX_ATTEMPTS: u32 = 4;
/// Least wait before a hedge; below it the timers of the system decide.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(5);

/// How one attempt ended.
pub enum AttemptOutcome {
    Answered(UpstreamAnswer),
    /// Refused because the agent or upstream takes no work.
    Closed,
    /// Refused for lack of room or time.
    Busy,
    Uncertain,
}

type Attempt = LocalBoxFuture<'static, AttemptOutcome>;

/// A request under way.
struct Exchange {
    core: Rc<RequestCore>,
    config: std::sync::Arc<ConfigState>,
    request: InteractiveRequest,
    id: RequestId,
    name: String,
    deadline: Moment,
    ledger: AttemptHistory,
    tried: Vec<VmName>,
    attempts: FuturesUnordered<Attempt>,
    redirects: u32,
    hedge: Option<Instant>,
}

/// The name of a request as callers and operators see it.
#[must_use]
pub fn request_name(id: RequestId) -> String {
    format!("{:016x}-{}", id.entry, id.number)
}

/// Serves one request.
pub async fn serve(
    core: Rc<RequestCore>,
    request: InteractiveRequest,
) -> Result<ServiceAnswer, CallerError> {
    let started = Instant::now();
    let id = core.next_id();
    let metrics = core.parts.metrics.clone();
    let events = core.parts.events.clone();
    let result = admitted(core, request, id).await;
    let outcome = match &result {
        Ok(_) => "answered",
        Err(error) if error.outcome == cactusdoor_caller::OutcomeWord::NotRun => "not_run",
        Err(_) => "unknown",
    };
    metrics.requests.with_label_values(&["interactive", outcome]).inc();
    metrics.latency.observe(started.elapsed().as_secs_f64());
    if result.is_err() {
        let elapsed_ms = started.elapsed().as_millis() as Millis;
        let (request, outcome) = (request_name(id), outcome.to_owned());
        events.record(EventKind::RequestEnded { request, outcome, elapsed_ms });
    }
    result.map_err(|error| error.of(request_name(id)))
}

async fn admitted(
    core: Rc<RequestCore>,
    request: InteractiveRequest,
    id: RequestId,
) -> Result<ServiceAnswer, CallerError> {
    let deadline = core.now().after(request.deadline_ms);
    let (config, _work) = core.admit(&request.plan)?;
    core.earn(&request.service);
    let slot = core.acquire(&request.service, &config, deadline, &[]).await?;
    let mut exchange = Exchange {
        name: request_name(id),
        core,
        config,
        request,
        id,
        deadline,
        ledger: AttemptHistory::default(),
        tried: Vec::new(),
        attempts: FuturesUnordered::new(),
        redirects: 0,
        hedge: None,
    };
    exchange.send(slot);
    exchange.run().await
}

impl Exchange {
    fn send(&mut self, slot: SlotGuard) {
        let attempt = self.ledger.send();
        let vm = slot.agent.vm.clone();
        let late = self.core.late_after(&self.request.service, &vm);
        self.hedge = late.map(|late| Instant::now() + late.max(MIN_HEDGE_DELAY));
        if attempt > 0 {
            let (request, vm) = (self.name.clone(), vm.clone());
            self.core.parts.events.record(EventKind::RequestSent { request, vm, attempt });
        }
        self.tried.push(vm);
        let id = RequestId { attempt, ..self.id };
        let call = UpstreamCall {
            id,
            plan: self.request.plan.clone(),
            service: self.request.service.clone(),
            deadline_left_ms: self.deadline.since(self.core.now()),
            body: self.request.body.clone(),
        };
        let core = Rc::clone(&self.core);
        let deadline = self.core.instant(self.deadline);
        self.attempts.push(Box::pin(attempt_call(core, slot, call, deadline)));
    }

    async fn run(&mut self) -> Result<ServiceAnswer, CallerError> {
        let deadline = tokio::time::Instant::from_std(self.core.instant(self.deadline));
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
            self.follow_up(outcome);
        }
    }

    /// Sends a second copy of a request whose answer is late.
    fn hedge(&mut self) {
        self.hedge = None;
        self.extra("hedge", true);
    }

    fn follow_up(&mut self, outcome: AttemptOutcome) {
        let end = match outcome {
            AttemptOutcome::Uncertain | AttemptOutcome::Answered(_) => AttemptEnd::Uncertain,
            AttemptOutcome::Closed | AttemptOutcome::Busy => AttemptEnd::Refused,
        };
        self.ledger.end(end);
        if matches!(outcome, AttemptOutcome::Closed) && self.redirects < MAX_REDIRECTS {
            self.redirects += 1;
            self.extra("redirect", false);
        } else if self.attempts.is_empty() {
            self.extra("retry", true);
        }
    }

    /// Sends another attempt if there is an upstream for it and the budget allows it.
    fn extra(&mut self, kind: &str, budgeted: bool) {
        let late = self.core.now() >= self.deadline;
        if late || self.ledger.sent() >= MAX_ATTEMPTS {
            return;
        }
        let service = &self.request.service;
        let acquired = self.core.try_acquire(service, &self.config, self.deadline, &self.tried);
        let Acquired::Slot(slot) = acquired else { return };
        if budgeted && !self.core.spend(service) {
            return;
        }
        self.core.parts.metrics.extra_attempts.with_label_values(&[kind]).inc();
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
        match self.ledger.outcome() {
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

async fn attempt_call(
    core: Rc<RequestCore>,
    slot: SlotGuard,
    call: UpstreamCall,
    deadline: Instant,
) -> AttemptOutcome {
    let id = call.id;
    let sent = Instant::now();
    let address = slot.agent.address;
    let answer = core
        .links
        .call(address, deadline, |client, context| async move { client.call(context, call).await })
        .await;
    let (result, outcome) = match answer {
        Ok(Ok(answer)) => match check_answer(id, &answer) {
            Ok(()) => {
                let latency = u64::try_from(sent.elapsed().as_micros()).unwrap_or(u64::MAX);
                (AttemptResult::Answered(latency), AttemptOutcome::Answered(answer))
            }
            Err(fault) => {
                log::warn!("dropped answer of {}: {fault}", slot.agent.vm);
                core.parts.metrics.dropped_answers.inc();
                (AttemptResult::Failed, AttemptOutcome::Uncertain)
            }
        },
        Ok(Err(CallFailure::NotRun(refusal))) => judge_refusal(refusal),
        Ok(Err(CallFailure::Broken | CallFailure::TimedOut)) => {
            (AttemptResult::Failed, AttemptOutcome::Uncertain)
        }
        Err(LinkFailure::NotSent(_)) => (AttemptResult::Unreachable, AttemptOutcome::Closed),
        Err(failure) => {
            log::debug!("attempt on {}: {failure}", slot.agent.vm);
            (AttemptResult::Failed, AttemptOutcome::Uncertain)
        }
    };
    slot.end(result);
    outcome
}

/// What a refusal says of the upstream and of the request.
pub fn judge_refusal(refusal: CallRefusal) -> (AttemptResult, AttemptOutcome) {
    match refusal {
        CallRefusal::NoUpstream | CallRefusal::Leaving | CallRefusal::Draining => {
            (AttemptResult::Closed, AttemptOutcome::Closed)
        }
        CallRefusal::ConnectionRefused => (AttemptResult::Failed, AttemptOutcome::Closed),
        CallRefusal::QueueFull => (AttemptResult::Busy, AttemptOutcome::Busy),
        CallRefusal::DeadlineTooShort => (AttemptResult::Abandoned, AttemptOutcome::Busy),
    }
}
