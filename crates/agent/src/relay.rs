//! The actor that forwards requests to the upstreams of this VM.
//!
//! [`AdmissionQueue`] decides when a request is sent, [`ClaimTable`] whether a binding
//! request may be sent at all. This module waits for slots, sends each request at most
//! once and records the outcomes.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix::{Actor, Addr, Context, Handler, Message, ResponseFuture};
use cactusdoor_core::claim::{ClaimOutcome, StoredAnswer};
use cactusdoor_core::name::{IdempotencyKey, ServiceName};
use cactusdoor_core::unit::{Incarnation, Millis, Moment};
use cactusdoor_node::clock::MonotonicClock;
use cactusdoor_peer::answer::{
    CallFailure, CallRefusal, ClaimDelivery, ClaimFence, DeliveryFailure, FenceReply,
    UpstreamAnswer, UpstreamCall,
};
use cactusdoor_peer::heartbeat::UpstreamStatus;
use cactusdoor_upstream::{
    CompleteAnswer, LocalUpstream, SendFailure, UpstreamClient, UpstreamRegistry, UpstreamRequest,
};
use tokio::sync::{Notify, oneshot};

use crate::admission::{AdmissionQueue, AdmissionResult, RequestNumber, WaitResult};
use crate::claims::{ClaimId, ClaimLimits, ClaimTable};
use crate::metrics::AgentMetrics;

/// Longest wait for the answer to a binding request, in milliseconds: the longest
/// deadline of a caller. A caller that stopped waiting earlier can still request the outcome.
const BINDING_TIMEOUT: Millis = 60_000;

/// Forwards an interactive request.
#[derive(Message)]
#[rtype(result = "Result<UpstreamAnswer, CallFailure>")]
pub struct ForwardCall(pub UpstreamCall);

/// Delivers the claim of a binding request.
#[derive(Message)]
#[rtype(result = "Result<UpstreamAnswer, DeliveryFailure>")]
pub struct DeliverClaim(pub ClaimDelivery);

/// Forbids the delivery of a claim.
#[derive(Message)]
#[rtype(result = "FenceReply")]
pub struct FenceClaim(pub ClaimFence);

/// Asks for the status of all upstreams.
#[derive(Message)]
#[rtype(result = "Vec<UpstreamStatus>")]
pub struct ListUpstreams;

/// Refuses new requests; answered once none is in progress.
#[derive(Message)]
#[rtype(result = "()")]
pub struct DrainRequests;

/// Settings and services of the process that the relay uses.
pub struct RelaySettings {
    pub incarnation: Incarnation,
    pub clock: MonotonicClock,
    pub upstreams: UpstreamRegistry,
    pub limits: ClaimLimits,
    pub metrics: AgentMetrics,
}

struct RelayState {
    clock: MonotonicClock,
    upstreams: UpstreamRegistry,
    metrics: AgentMetrics,
    client: UpstreamClient,
    claims: RefCell<ClaimTable>,
    queues: RefCell<HashMap<ServiceName, AdmissionQueue>>,
    waiters: RefCell<HashMap<RequestNumber, oneshot::Sender<Result<(), CallRefusal>>>>,
    next_number: Cell<RequestNumber>,
    in_progress: Cell<usize>,
    draining: Cell<bool>,
    idle: Notify,
}

/// Forwards requests from the entries to upstreams.
pub struct RequestRelay {
    state: Rc<RelayState>,
}

impl RequestRelay {
    /// Starts the relay on the current thread.
    #[must_use]
    pub fn spawn(settings: RelaySettings) -> Addr<Self> {
        let claims = ClaimTable::new(settings.incarnation, settings.limits);
        let state = RelayState {
            clock: settings.clock,
            upstreams: settings.upstreams,
            metrics: settings.metrics,
            client: UpstreamClient::open(),
            claims: RefCell::new(claims),
            queues: RefCell::default(),
            waiters: RefCell::default(),
            next_number: Cell::new(0),
            in_progress: Cell::new(0),
            draining: Cell::new(false),
            idle: Notify::new(),
        };
        Self { state: Rc::new(state) }.start()
    }
}

/// Messages that can wait for the relay: a burst on all connections that a VM accepts.
const MAILBOX_CAPACITY: usize = 1_024;

impl Actor for RequestRelay {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(MAILBOX_CAPACITY);
    }
}

impl Handler<ForwardCall> for RequestRelay {
    type Result = ResponseFuture<Result<UpstreamAnswer, CallFailure>>;

    fn handle(&mut self, ForwardCall(call): ForwardCall, _: &mut Context<Self>) -> Self::Result {
        let state = Rc::clone(&self.state);
        Box::pin(async move { state.forward(call).await })
    }
}

impl Handler<DeliverClaim> for RequestRelay {
    type Result = ResponseFuture<Result<UpstreamAnswer, DeliveryFailure>>;

    fn handle(&mut self, DeliverClaim(it): DeliverClaim, _: &mut Context<Self>) -> Self::Result {
        let state = Rc::clone(&self.state);
        Box::pin(async move { state.deliver(it).await })
    }
}

impl Handler<FenceClaim> for RequestRelay {
    type Result = actix::MessageResult<FenceClaim>;

    fn handle(&mut self, FenceClaim(fence): FenceClaim, _: &mut Context<Self>) -> Self::Result {
        actix::MessageResult(self.state.fence(&fence))
    }
}

impl Handler<ListUpstreams> for RequestRelay {
    type Result = Vec<UpstreamStatus>;

    fn handle(&mut self, _: ListUpstreams, _: &mut Context<Self>) -> Self::Result {
        self.state.list_upstreams()
    }
}

impl Handler<DrainRequests> for RequestRelay {
    type Result = ResponseFuture<()>;

    fn handle(&mut self, _: DrainRequests, _: &mut Context<Self>) -> Self::Result {
        let state = Rc::clone(&self.state);
        state.draining.set(true);
        Box::pin(async move {
            while state.in_progress.get() > 0 {
                state.idle.notified().await;
            }
        })
    }
}

/// Counts a request as in progress while it exists.
struct ProgressGuard<'a>(&'a RelayState);

impl<'a> ProgressGuard<'a> {
    fn open(state: &'a RelayState) -> Self {
        state.in_progress.set(state.in_progress.get() + 1);
        Self(state)
    }
}

impl Drop for ProgressGuard<'_> {
    fn drop(&mut self) {
        self.0.in_progress.set(self.0.in_progress.get() - 1);
        self.0.idle.notify_waiters();
    }
}

impl RelayState {
    async fn forward(&self, call: UpstreamCall) -> Result<UpstreamAnswer, CallFailure> {
        let _progress = ProgressGuard::open(self);
        let deadline = self.clock.now().after(call.deadline_left_ms);
        let result = match self.admit(&call.service, deadline).await {
            Ok(upstream) => {
                let remaining = deadline.since(self.clock.now());
                let sent = self.send(&upstream, &call, None, remaining).await;
                sent.map_err(|failure| match failure {
                    SendFailure::NotSent => CallFailure::NotRun(CallRefusal::ConnectionRefused),
                    SendFailure::Broken => CallFailure::Broken,
                    SendFailure::TimedOut => CallFailure::TimedOut,
                })
            }
            Err(refusal) => Err(CallFailure::NotRun(refusal)),
        };
        let outcome = match &result {
            Ok(_) => "answered",
            Err(CallFailure::NotRun(_)) => "not_run",
            Err(CallFailure::Broken) => "broken",
            Err(CallFailure::TimedOut) => "timed_out",
        };
        self.metrics.calls.with_label_values(&[outcome]).inc();
        result
    }

    async fn deliver(&self, delivery: ClaimDelivery) -> Result<UpstreamAnswer, DeliveryFailure> {
        let _progress = ProgressGuard::open(self);
        let result = self.deliver_once(delivery).await;
        let outcome = match &result {
            Ok(_) => "answered",
            Err(DeliveryFailure::NotRun(_)) => "not_run",
            Err(DeliveryFailure::Fenced) => "fenced",
            Err(DeliveryFailure::DeliveredBefore) => "delivered_before",
            Err(DeliveryFailure::OtherIncarnation) => "other_incarnation",
            Err(DeliveryFailure::Unknown) => "unknown",
        };
        self.metrics.deliveries.with_label_values(&[outcome]).inc();
        result
    }

    async fn deliver_once(
        &self,
        delivery: ClaimDelivery,
    ) -> Result<UpstreamAnswer, DeliveryFailure> {
        let now = self.clock.now();
        let ClaimDelivery { key, claim, agent_incarnation, call } = delivery;
        let id = ClaimId { key, claim };
        self.claims.borrow_mut().accept(now, &id, agent_incarnation)?;
        let deadline = now.after(call.deadline_left_ms);
        let upstream = match self.admit(&call.service, deadline).await {
            Ok(upstream) => upstream,
            Err(refusal) => {
                self.claims.borrow_mut().refuse(&id);
                return Err(DeliveryFailure::NotRun(refusal));
            }
        };
        if !self.claims.borrow_mut().begin_send(&id) {
            self.release_slot(&call.service, None);
            return Err(DeliveryFailure::Fenced);
        }
        match self.send(&upstream, &call, Some(&id.key.key), BINDING_TIMEOUT).await {
            Ok(answer) => {
                let stored = StoredAnswer {
                    status: answer.status,
                    length: answer.length,
                    digest: answer.digest,
                    body: Some(answer.body.to_vec()),
                };
                self.claims.borrow_mut().record_outcome(&id, ClaimOutcome::Done(stored));
                Ok(answer)
            }
            Err(SendFailure::NotSent) => {
                self.claims.borrow_mut().refuse(&id);
                Err(DeliveryFailure::NotRun(CallRefusal::ConnectionRefused))
            }
            Err(SendFailure::Broken | SendFailure::TimedOut) => {
                self.claims.borrow_mut().record_outcome(&id, ClaimOutcome::Unknown);
                Err(DeliveryFailure::Unknown)
            }
        }
    }

    fn fence(&self, fence: &ClaimFence) -> FenceReply {
        let reply = self.claims.borrow_mut().fence(self.clock.now(), fence);
        let outcome = match &reply {
            FenceReply::Fenced => "fenced",
            FenceReply::InProgress => "in_progress",
            FenceReply::Ended(_) => "ended",
            FenceReply::OtherIncarnation => "other_incarnation",
        };
        self.metrics.fences.with_label_values(&[outcome]).inc();
        reply
    }

    /// Waits for a slot of the service's upstream; the caller has to release it.
    async fn admit(
        &self,
        service: &ServiceName,
        deadline: Moment,
    ) -> Result<LocalUpstream, CallRefusal> {
        let upstream = self.accepting_upstream(service)?;
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let admission = {
            let mut queues = self.queues.borrow_mut();
            let (slots, connections) =
                (upstream.announcement.slots, upstream.announcement.connections);
            let queue = queues
                .entry(service.clone())
                .or_insert_with(|| AdmissionQueue::new(slots, connections));
            queue.resize(slots, connections);
            queue.offer(self.clock.now(), number, deadline)
        };
        match admission {
            AdmissionResult::Admitted => return Ok(upstream),
            AdmissionResult::Refused(refusal) => return Err(refusal),
            AdmissionResult::Queued => self.wait(service, number, deadline).await?,
        }
        // The upstream may have begun to leave while the request waited.
        let upstream = self.accepting_upstream(service);
        if upstream.is_err() {
            self.release_slot(service, None);
        }
        upstream
    }

    /// Waits until the request holds a slot.
    async fn wait(
        &self,
        service: &ServiceName,
        number: RequestNumber,
        deadline: Moment,
    ) -> Result<(), CallRefusal> {
        let (admit, admitted) = oneshot::channel();
        self.waiters.borrow_mut().insert(number, admit);
        let until = self.clock.instant(deadline).into();
        if let Ok(Ok(result)) = tokio::time::timeout_at(until, admitted).await {
            return result;
        }
        // A result that was sent is returned above, so the request is still queued.
        self.waiters.borrow_mut().remove(&number);
        if let Some(queue) = self.queues.borrow_mut().get_mut(service) {
            queue.withdraw(number);
        }
        Err(CallRefusal::DeadlineTooShort)
    }

    /// The upstream of a service, if it accepts requests.
    fn accepting_upstream(&self, service: &ServiceName) -> Result<LocalUpstream, CallRefusal> {
        if self.draining.get() {
            return Err(CallRefusal::Draining);
        }
        match self.upstreams.upstream(service) {
            Some(upstream) if upstream.is_leaving() => Err(CallRefusal::Leaving),
            Some(upstream) => Ok(upstream),
            None => Err(CallRefusal::NoUpstream),
        }
    }

    /// Sends a request that holds a slot, at most once, and releases the slot.
    async fn send(
        &self,
        upstream: &LocalUpstream,
        call: &UpstreamCall,
        key: Option<&IdempotencyKey>,
        timeout: Millis,
    ) -> Result<UpstreamAnswer, SendFailure> {
        let request = UpstreamRequest {
            id: call.id,
            plan: call.plan.clone(),
            service: call.service.clone(),
            key: key.cloned(),
            body: call.body.clone(),
        };
        let sent = Instant::now();
        let timeout = Duration::from_millis(timeout);
        let result = self.client.send(upstream.announcement.address, &request, timeout).await;
        let elapsed = sent.elapsed();
        // A timeout is a lower bound of the latency; other failures do not measure it.
        let measured = matches!(result, Ok(_) | Err(SendFailure::TimedOut));
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        self.release_slot(&call.service, measured.then_some(micros));
        let CompleteAnswer { status, length, digest, body } = result?;
        self.metrics.latency.observe(elapsed.as_secs_f64());
        let load = self.queues.borrow().get(&call.service).map(AdmissionQueue::load);
        let load = load.unwrap_or_default();
        Ok(UpstreamAnswer { id: call.id, status, length, digest, body, load })
    }

    /// Releases a slot and admits or refuses the requests that wait for it.
    fn release_slot(&self, service: &ServiceName, latency_us: Option<u64>) {
        let mut queues = self.queues.borrow_mut();
        let Some(queue) = queues.get_mut(service) else { return };
        queue.release(latency_us);
        while let Some(result_of_wait) = queue.end_wait(self.clock.now()) {
            let (number, result) = match result_of_wait {
                WaitResult::Admitted(number) => (number, Ok(())),
                WaitResult::Refused(number) => (number, Err(CallRefusal::DeadlineTooShort)),
            };
            let waiter = self.waiters.borrow_mut().remove(&number);
            let received = waiter.is_some_and(|waiter| waiter.send(result).is_ok());
            if !received && result.is_ok() {
                queue.release(None);
            }
        }
    }

    fn list_upstreams(&self) -> Vec<UpstreamStatus> {
        let present = self.upstreams.present();
        let mut queues = self.queues.borrow_mut();
        // The latency of an upstream that is gone does not apply to its successor.
        queues.retain(|service, queue| {
            !queue.is_idle() || present.iter().any(|it| it.announcement.service == *service)
        });
        self.metrics.claims.set(i64::try_from(self.claims.borrow().len()).unwrap_or(i64::MAX));
        let status = present.into_iter().map(|upstream| {
            let queue = queues.get(&upstream.announcement.service);
            UpstreamStatus {
                leaving: upstream.is_leaving() || self.draining.get(),
                slots: upstream.announcement.slots,
                connections: upstream.announcement.connections,
                load: queue.map(AdmissionQueue::load).unwrap_or_default(),
                latency_us: queue.map_or(0, AdmissionQueue::latency_us),
                service: upstream.announcement.service,
            }
        });
        status.collect()
    }
}
