//! Admits binding requests and answers their callers by the deadline.
//!
//! The runner continues in the background after the deadline, so that an outcome
//! is settled even if the caller has disconnected.

use std::rc::Rc;

use bytes::Bytes;
use cactusdoor_caller::answer::ServiceAnswer;
use cactusdoor_caller::request::BindingRequest;
use cactusdoor_caller::{CallerError, ErrorCode, RetryAdvice, WorkOutcome};
use cactusdoor_core::claim::{ClaimFold, ClaimOutcome};
use cactusdoor_core::rendezvous::claim_stream;
use cactusdoor_timeline::EventKind;
use tokio::sync::oneshot;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::machine::ClaimAnswer;
use super::runner::ClaimRunner;
use crate::request::RequestRouter;
use crate::request::request_name;
use crate::stream::StreamHandle;

/// Dependencies of binding requests.
pub struct BindingContext {
    pub router: Rc<RequestRouter>,
    /// Handles of the claim streams, by stream number.
    pub claims: Vec<StreamHandle<ClaimFold>>,
}

/// A final or undecided answer, with the body if this process received it.
pub(super) struct ClaimResult {
    pub answer: ClaimAnswer,
    pub body: Option<Bytes>,
}

impl BindingContext {
    /// The claim stream of the request's key.
    pub(super) fn stream(&self, request: &BindingRequest) -> Option<&StreamHandle<ClaimFold>> {
        let number = claim_stream(request.key.plan.as_str(), request.key.key.as_str());
        self.claims.get(usize::try_from(number).ok()?)
    }
}

/// Digest of service and body, by which a key reused for another request is recognised.
pub(super) fn request_digest(request: &BindingRequest) -> u64 {
    xxh3_64_with_seed(&request.body, xxh3_64(request.service.as_str().as_bytes()))
}

/// Serves one binding request and records its outcome. Work that remains after
/// the caller's deadline continues in the background.
pub async fn serve_binding(
    context: Rc<BindingContext>,
    request: BindingRequest,
) -> Result<ServiceAnswer, CallerError> {
    let parts = &context.router.parts;
    let (metrics, events) = (parts.metrics.clone(), parts.events.clone());
    let (id, started) = (context.router.next_id(), std::time::Instant::now());
    let name = request_name(id);
    let result = run(&context, request, id).await;
    let outcome = match &result {
        Ok(_) => "done",
        Err(error) if error.outcome == WorkOutcome::NotRun => "not_run",
        Err(_) => "unknown",
    };
    metrics.requests.with_label_values(&["binding", outcome]).inc();
    let elapsed_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
    let (request, outcome) = (name.clone(), outcome.to_owned());
    events.record(EventKind::RequestEnded { request, outcome, elapsed_ms });
    match result {
        Ok(answer) => Ok(ServiceAnswer { request: name, ..answer }),
        Err(error) => Err(error.for_request(name)),
    }
}

async fn run(
    context: &Rc<BindingContext>,
    request: BindingRequest,
    id: cactusdoor_peer::answer::RequestId,
) -> Result<ServiceAnswer, CallerError> {
    let deadline = context.router.now().after(request.deadline_ms);
    // Another entry may run the same key, so a refusal must not claim "not run".
    let (config, _work) = context.router.admit(&request.key.plan).map_err(as_undecided)?;
    let settling = context.router.parts.readiness.track_background();
    let (sender, receiver) = oneshot::channel();
    let run = ClaimRunner::new(Rc::clone(context), request, id, deadline, config);
    actix_rt::spawn(async move {
        let _settling = settling;
        // The caller may have disconnected; the outcome is settled regardless.
        drop(sender.send(run.run().await));
    });
    let until = context.router.instant(deadline).into();
    match tokio::time::timeout_at(until, receiver).await {
        Ok(Ok(Ok(result))) => answer(result),
        Ok(Ok(Err(error))) => Err(as_undecided(error)),
        Ok(Err(_)) | Err(_) => {
            let text = "the outcome is not settled yet; ask again with the same key";
            Err(CallerError::unknown(ErrorCode::DeadlineExceeded, RetryAdvice::SameKey, text))
        }
    }
}

/// Turns a refusal before the claim into an unknown outcome: this entry delivers
/// nothing, but another entry may.
fn as_undecided(error: CallerError) -> CallerError {
    let retry = match error.retry {
        RetryAdvice::Never => RetryAdvice::Never,
        _ => RetryAdvice::SameKey,
    };
    CallerError { outcome: WorkOutcome::Unknown, retry, ..error }
}

fn answer(result: ClaimResult) -> Result<ServiceAnswer, CallerError> {
    match result.answer {
        ClaimAnswer::Outcome(ClaimOutcome::Done(stored)) => Ok(ServiceAnswer {
            request: String::new(),
            status: stored.status,
            length: stored.length,
            digest: stored.digest,
            body: stored.body.map(Bytes::from).or(result.body),
        }),
        ClaimAnswer::Outcome(ClaimOutcome::NotRun) => Err(CallerError::not_run(
            ErrorCode::NotRun,
            RetryAdvice::NewRequest,
            "the request did not run and this key never will; use a new key",
        )),
        ClaimAnswer::Outcome(ClaimOutcome::Unknown) => Err(CallerError::unknown(
            ErrorCode::NoAnswer,
            RetryAdvice::Never,
            "the request may have run; its outcome could not be determined",
        )),
        ClaimAnswer::Conflict => Err(CallerError::unknown(
            ErrorCode::KeyConflict,
            RetryAdvice::Never,
            "the idempotency key was used for another request",
        )),
        ClaimAnswer::Undecided => Err(CallerError::unknown(
            ErrorCode::LogUnavailable,
            RetryAdvice::SameKey,
            "the log service did not take the request; ask again with the same key",
        )),
    }
}
