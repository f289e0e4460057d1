//! Executes the actions of a claim machine: log appends, deliveries, fences.
//!
//! The machine alone decides which action comes next. The runner only adds the
//! time limits after which it gives up.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cactusdoor_caller::CallerError;
use cactusdoor_caller::request::BindingRequest;
use cactusdoor_core::claim::{
    ClaimEffect, ClaimFold, ClaimOutcome, ClaimRecord, ClaimSpec, StoredAnswer,
};
use cactusdoor_core::config::ConfigState;
use cactusdoor_core::constants::MAX_STORED_ANSWER_BYTES;
use cactusdoor_core::unit::{Millis, Moment, Offset};
use cactusdoor_log::appender::FlushMode;
use cactusdoor_node::clock::unix_ms;
use cactusdoor_peer::answer::{
    ClaimDelivery, ClaimFence, DeliveryFailure, FenceReply, RequestId, UpstreamAnswer, UpstreamCall,
};
use cactusdoor_policy::routing::pool::AttemptResult;
use cactusdoor_timeline::EventKind;
use tokio::time::sleep;

use super::machine::{
    ClaimAction, ClaimAnswer, ClaimInput, ClaimMachine, ClaimView, DeliveryResult,
};
use super::serve::{BindingContext, ClaimResult, request_digest};
use crate::connections::ConnectionError;
use crate::request::{SlotGuard, check_answer, check_stored, classify_refusal, request_name};
use crate::stream::StreamHandle;

/// Time past the deadline for which the runner still awaits the agent's answer,
/// so that the outcome can be settled.
const DELIVERY_GRACE: Millis = 2_000;
const FENCE_TIMEOUT: Millis = 1_000;
/// Delay before a fence or the append of an outcome is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Time past the deadline after which the outcome is settled as unknown if the
/// agent cannot be reached.
const AGENT_RETRY_BUDGET: Millis = 30_000;
/// Time past the deadline after which this process stops trying to settle a claim;
/// the next request with the same key settles it.
const SETTLE_RETRY_BUDGET: Millis = 600_000;

/// Runs one binding request.
pub(super) struct ClaimRunner {
    context: Rc<BindingContext>,
    request: BindingRequest,
    id: RequestId,
    name: String,
    deadline: Moment,
    config: Arc<ConfigState>,
    /// Slot at the upstream, occupied from the claim to the end of the delivery.
    slot: Option<SlotGuard>,
    /// Body of the answer, if this process received it.
    body: Option<Bytes>,
}

impl ClaimRunner {
    pub fn new(
        context: Rc<BindingContext>,
        request: BindingRequest,
        id: RequestId,
        deadline: Moment,
        config: Arc<ConfigState>,
    ) -> Self {
        let name = request_name(id);
        Self { context, request, id, name, deadline, config, slot: None, body: None }
    }

    /// Runs the machine until it answers; an error if no upstream slot was available
    /// for a claim.
    pub async fn run(mut self) -> Result<ClaimResult, CallerError> {
        let Some(stream) = self.context.stream(&self.request).cloned() else {
            return Ok(ClaimResult { answer: ClaimAnswer::Undecided, body: None });
        };
        let mut machine = ClaimMachine::new(request_digest(&self.request));
        let mut action = machine.start();
        loop {
            let input = match action {
                ClaimAction::ReadClaim => self.read_claim(&stream).await,
                ClaimAction::AppendClaim => self.claim(&stream).await?,
                ClaimAction::Deliver { claim } => ClaimInput::Delivered(self.deliver(claim).await),
                ClaimAction::AwaitOutcome { view } => self.await_outcome(&stream, view).await,
                ClaimAction::Fence { view } => self.fence(view).await,
                ClaimAction::Settle { claim, outcome } => {
                    self.settle(&stream, claim, outcome).await
                }
                ClaimAction::Pause | ClaimAction::PauseSettle { .. } => {
                    if self.now() >= self.deadline.after(SETTLE_RETRY_BUDGET) {
                        return Ok(ClaimResult { answer: ClaimAnswer::Undecided, body: None });
                    }
                    sleep(RETRY_DELAY).await;
                    ClaimInput::Resumed
                }
                ClaimAction::Answer(answer) => return Ok(ClaimResult { answer, body: self.body }),
            };
            action = machine.step(input);
        }
    }

    fn now(&self) -> Moment {
        self.context.router.now()
    }

    async fn read_claim(&self, stream: &StreamHandle<ClaimFold>) -> ClaimInput {
        let key = self.request.key.clone();
        let view = stream.inspect(move |view| view.fold.claim(&key).map(ClaimView::from));
        view.await.map_or(ClaimInput::NotLoaded, ClaimInput::ClaimRead)
    }

    async fn claim(&mut self, stream: &StreamHandle<ClaimFold>) -> Result<ClaimInput, CallerError> {
        let router = Rc::clone(&self.context.router);
        let service = &self.request.service;
        let slot = router.acquire(service, &self.config, self.deadline, &[]).await?;
        let spec = ClaimSpec {
            key: self.request.key.clone(),
            request_digest: request_digest(&self.request),
            agent: slot.agent.vm.clone(),
            agent_incarnation: slot.agent.incarnation,
            claimed_unix_ms: unix_ms(),
        };
        let vm = slot.agent.vm.clone();
        self.slot = Some(slot);
        let expires = Some(router.instant(self.deadline).into());
        let record = ClaimRecord::Claimed(spec);
        let committed = stream.commit(record, FlushMode::Grouped, expires).await;
        let (result, input) = match committed {
            Ok(committed) if committed.effect == Some(ClaimEffect::Won) => {
                let late = self.now() >= self.deadline;
                let request = self.name.clone();
                self.context.router.parts.events.record(EventKind::ClaimWon { request, vm });
                ("won", ClaimInput::Won { claim: committed.offset, late })
            }
            Ok(_) => ("lost", ClaimInput::Lost),
            Err(error) => {
                log::info!("could not commit claim of {}: {error}", self.request.key);
                ("not_stored", ClaimInput::NotClaimed)
            }
        };
        if !matches!(input, ClaimInput::Won { late: false, .. }) {
            self.slot = None;
        }
        router.parts.metrics.claims.with_label_values(&[result]).inc();
        Ok(input)
    }

    async fn deliver(&mut self, claim: Offset) -> DeliveryResult {
        let Some(slot) = self.slot.take() else { return DeliveryResult::NotDelivered };
        let router = &self.context.router;
        let remaining = self.deadline.since(self.now());
        let call = UpstreamCall {
            id: self.id,
            plan: self.request.key.plan.clone(),
            service: self.request.service.clone(),
            deadline_left_ms: remaining,
            body: self.request.body.clone(),
        };
        let key = self.request.key.clone();
        let agent_incarnation = slot.agent.incarnation;
        let delivery = ClaimDelivery { key, claim, agent_incarnation, call };
        let until = router.instant(self.deadline.after(DELIVERY_GRACE));
        let sent = Instant::now();
        let answer = router
            .connections
            .call(slot.agent.address, until, |client, context| async move {
                client.deliver(context, delivery).await
            })
            .await;
        let latency = u64::try_from(sent.elapsed().as_micros()).unwrap_or(u64::MAX);
        let (attempt_result, delivery_result) = self.classify_reply(answer, latency);
        slot.finish(attempt_result);
        delivery_result
    }

    fn classify_reply(
        &mut self,
        answer: Result<Result<UpstreamAnswer, DeliveryFailure>, ConnectionError>,
        latency: u64,
    ) -> (AttemptResult, DeliveryResult) {
        match answer {
            Ok(Ok(answer)) => match check_answer(self.id, &answer) {
                Ok(()) => {
                    let outcome = ClaimOutcome::Done(stored_answer(&answer));
                    self.body = Some(answer.body);
                    (AttemptResult::Answered(latency), DeliveryResult::Answered(outcome))
                }
                Err(error) => {
                    log::warn!("dropped answer to binding request {}: {error}", self.request.key);
                    self.context.router.parts.metrics.dropped_answers.inc();
                    (AttemptResult::Failed, DeliveryResult::Unresolved)
                }
            },
            Ok(Err(failure)) => match failure {
                // This process delivers a claim only once, so a refused claim was
                // not delivered and never will be.
                DeliveryFailure::NotRun(refusal) => {
                    (classify_refusal(refusal).0, DeliveryResult::NotDelivered)
                }
                DeliveryFailure::Fenced => (AttemptResult::Abandoned, DeliveryResult::NotDelivered),
                DeliveryFailure::OtherIncarnation => {
                    (AttemptResult::Closed, DeliveryResult::NotDelivered)
                }
                DeliveryFailure::DeliveredBefore => {
                    (AttemptResult::Failed, DeliveryResult::Unresolved)
                }
                DeliveryFailure::Unknown => (AttemptResult::Failed, DeliveryResult::Unknown),
            },
            Err(ConnectionError::NotSent(_)) => {
                (AttemptResult::Unreachable, DeliveryResult::NotDelivered)
            }
            Err(failure) => {
                log::info!("delivery of {} has no usable answer: {failure}", self.request.key);
                (AttemptResult::Failed, DeliveryResult::Unresolved)
            }
        }
    }

    /// Waits for an outcome in the fold. The holder times out once this caller's time
    /// limit has passed since the claim was written, at the latest at this caller's
    /// deadline.
    ///
    /// The holder's wall clock gives the time of the claim. If that clock is wrong,
    /// the fence is sent too early or too late; both are safe.
    async fn await_outcome(&self, stream: &StreamHandle<ClaimFold>, view: ClaimView) -> ClaimInput {
        let due_unix_ms = view.claimed_unix_ms.saturating_add(self.request.deadline_ms);
        let remaining = due_unix_ms.saturating_sub(unix_ms());
        let holder_timeout = self.now().after(remaining).min(self.deadline);
        let until = self.context.router.instant(holder_timeout).into();
        let mut progress = stream.progress();
        loop {
            progress.mark_unchanged();
            match self.read_claim(stream).await {
                ClaimInput::ClaimRead(Some(current)) if current.outcome.is_none() => {}
                other => return other,
            }
            match tokio::time::timeout_at(until, progress.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return ClaimInput::NotLoaded,
                Err(_) => return ClaimInput::HolderTimedOut(view),
            }
        }
    }

    async fn fence(&self, view: ClaimView) -> ClaimInput {
        let given_up = self.now() >= self.deadline.after(AGENT_RETRY_BUDGET);
        let router = &self.context.router;
        let Some(agent) = router.agent(&view.agent) else {
            return ClaimInput::FenceFailed { given_up };
        };
        let key = self.request.key.clone();
        let agent_incarnation = view.agent_incarnation;
        let fence = ClaimFence { key, claim: view.claim, agent_incarnation };
        let until = router.instant(self.now().after(FENCE_TIMEOUT));
        let reply = router.connections.call(agent.address, until, |client, context| async move {
            client.fence(context, fence).await
        });
        match reply.await {
            Ok(FenceReply::Ended(ClaimOutcome::Done(stored))) if check_stored(&stored).is_err() => {
                log::warn!(
                    "dropped outcome of {} from {}: the stored body is not intact",
                    self.request.key,
                    agent.vm
                );
                router.parts.metrics.dropped_answers.inc();
                ClaimInput::FenceFailed { given_up }
            }
            Ok(reply) => ClaimInput::FenceAnswered(reply),
            Err(failure) => {
                log::info!("could not fence claim of {}: {failure}", self.request.key);
                ClaimInput::FenceFailed { given_up }
            }
        }
    }

    async fn settle(
        &self,
        stream: &StreamHandle<ClaimFold>,
        claim: Offset,
        outcome: ClaimOutcome,
    ) -> ClaimInput {
        let parts = &self.context.router.parts;
        let label = match &outcome {
            ClaimOutcome::Done(_) => "done",
            ClaimOutcome::NotRun => "not_run",
            ClaimOutcome::Unknown => "unknown",
        };
        let key = self.request.key.clone();
        let record = ClaimRecord::Settled { key, claim, outcome };
        match stream.commit(record, FlushMode::Grouped, None).await {
            Ok(committed) => {
                if committed.effect == Some(ClaimEffect::Settled) {
                    parts.metrics.settlements.with_label_values(&[label]).inc();
                    let (request, outcome) = (self.name.clone(), label.to_owned());
                    parts.events.record(EventKind::ClaimSettled { request, outcome });
                }
                ClaimInput::Settled
            }
            Err(error) => {
                log::info!("could not commit outcome of {}: {error}", self.request.key);
                let given_up = self.now() >= self.deadline.after(SETTLE_RETRY_BUDGET);
                ClaimInput::NotSettled { given_up }
            }
        }
    }
}

fn stored_answer(answer: &UpstreamAnswer) -> StoredAnswer {
    let small = answer.body.len() <= MAX_STORED_ANSWER_BYTES;
    StoredAnswer {
        status: answer.status,
        length: answer.length,
        digest: answer.digest,
        body: small.then(|| answer.body.to_vec()),
    }
}
