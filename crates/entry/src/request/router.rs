//! Admits requests and chooses an upstream for each attempt.
//!
//! All requests of the process share its upstream pools, wait queues, retry budgets
//! and plan rates. The router sends nothing itself.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cactusdoor_caller::{CallerError, ErrorCode, RetryAdvice};
use cactusdoor_core::config::{ConfigState, DataCentreState};
use cactusdoor_core::name::{DataCentre, PlanName, ServiceName, VmName};
use cactusdoor_core::unit::{Incarnation, Moment};
use cactusdoor_node::clock::MonotonicClock;
use cactusdoor_peer::answer::{RequestId, RequestNumber};
use cactusdoor_peer::heartbeat::AgentIdentity;
use cactusdoor_policy::routing::allowance::PlanRates;
use cactusdoor_policy::routing::budget::RetryBudget;
use cactusdoor_policy::routing::pool::{AttemptResult, PoolChoice, ServicePool};
use cactusdoor_policy::routing::queue::{QueueRefusal, WaitQueue};
use cactusdoor_policy::routing::upstream::UpstreamListing;
use cactusdoor_timeline::EventLog;
use tokio::sync::{oneshot, watch};

use crate::config::SharedConfig;
use crate::connections::AgentConnections;
use crate::membership::RosterChange;
use crate::metrics::EntryMetrics;
use crate::readiness::{ReadinessState, WorkGuard};

/// Dependencies and limits of requests.
pub struct RequestParts {
    pub incarnation: Incarnation,
    pub data_centre: DataCentre,
    pub clock: MonotonicClock,
    pub events: EventLog,
    pub metrics: EntryMetrics,
    pub readiness: ReadinessState,
    pub config: SharedConfig,
    /// Number of live entries, which share the plan rates.
    pub entries: watch::Receiver<usize>,
    /// Most requests that wait for one service.
    pub queue_length: usize,
    /// Most requests in progress at once.
    pub requests_in_progress: usize,
}

struct ServiceState {
    pool: ServicePool,
    queue: WaitQueue<oneshot::Sender<()>>,
    budget: RetryBudget,
}

/// Admission and choice of upstreams for all requests of this process, on one thread.
pub struct RequestRouter {
    pub parts: RequestParts,
    pub connections: AgentConnections,
    last_number: Cell<RequestNumber>,
    services: RefCell<HashMap<ServiceName, ServiceState>>,
    agents: RefCell<HashMap<VmName, AgentIdentity>>,
    rates: RefCell<PlanRates>,
}

/// A concurrency slot at an upstream, released when dropped.
pub struct SlotGuard {
    router: Rc<RequestRouter>,
    service: ServiceName,
    pub agent: AgentIdentity,
    deadline: Moment,
    result: Option<AttemptResult>,
}

/// Result of acquiring a slot.
pub enum SlotOutcome {
    Slot(SlotGuard),
    NoUpstream,
    /// Every upstream is at its concurrency limit.
    Full,
}

impl RequestRouter {
    #[must_use]
    pub fn new(parts: RequestParts) -> Rc<Self> {
        Rc::new(Self {
            parts,
            connections: AgentConnections::default(),
            last_number: Cell::new(0),
            services: RefCell::default(),
            agents: RefCell::default(),
            rates: RefCell::default(),
        })
    }

    #[must_use]
    pub fn now(&self) -> Moment {
        self.parts.clock.now()
    }

    /// Id of the next request, with attempt number 0.
    pub fn next_id(&self) -> RequestId {
        self.last_number.set(self.last_number.get() + 1);
        RequestId { entry: self.parts.incarnation, number: self.last_number.get(), attempt: 0 }
    }

    /// Admits a request of `plan`; returns the configuration and a guard that
    /// counts the request as in progress.
    pub fn admit(
        &self,
        plan: &PlanName,
    ) -> Result<(std::sync::Arc<ConfigState>, WorkGuard), CallerError> {
        let refuse = |code, retry, text: String| Err(CallerError::not_run(code, retry, text));
        if self.parts.readiness.is_draining() {
            let text = "this entry is stopping".to_owned();
            return refuse(ErrorCode::Draining, RetryAdvice::NewRequest, text);
        }
        let Some(config) = self.parts.config.get() else {
            let text = "the configuration is not loaded yet".to_owned();
            return refuse(ErrorCode::NotReady, RetryAdvice::NewRequest, text);
        };
        if config.plan(plan).is_none() {
            let text = format!("plan {plan} does not exist");
            return refuse(ErrorCode::UnknownPlan, RetryAdvice::Never, text);
        }
        if self.parts.readiness.in_progress() >= self.parts.requests_in_progress {
            let text = "too many requests are in progress".to_owned();
            return refuse(ErrorCode::Overloaded, RetryAdvice::NewRequest, text);
        }
        let rate = config.allowance(plan).map_or(0, |allowance| allowance.requests_per_second);
        let entries = *self.parts.entries.borrow();
        if !self.rates.borrow_mut().admit(plan, rate, entries, self.now()) {
            let text = format!("plan {plan} may send {rate} requests per second");
            return refuse(ErrorCode::OverAllowance, RetryAdvice::NewRequest, text);
        }
        Ok((config, self.parts.readiness.track_request()))
    }

    /// Acquires a slot at an upstream not in `tried`, without waiting.
    pub fn try_acquire(
        self: &Rc<Self>,
        service: &ServiceName,
        config: &ConfigState,
        deadline: Moment,
        tried: &[VmName],
    ) -> SlotOutcome {
        let mut services = self.services.borrow_mut();
        let Some(state) = services.get_mut(service) else { return SlotOutcome::NoUpstream };
        let in_service = |name: &DataCentre| config.data_centre(name) == DataCentreState::In;
        let random = [rand::random(), rand::random()];
        let local = &self.parts.data_centre;
        match state.pool.choose(self.now(), local, in_service, tried, random) {
            PoolChoice::Send(vm) => {
                let Some(agent) = self.agents.borrow().get(&vm).cloned() else {
                    return SlotOutcome::NoUpstream;
                };
                state.pool.sent(&vm);
                let (router, service) = (Rc::clone(self), service.clone());
                SlotOutcome::Slot(SlotGuard { router, service, agent, deadline, result: None })
            }
            PoolChoice::Full => SlotOutcome::Full,
            PoolChoice::None => SlotOutcome::NoUpstream,
        }
    }

    /// Acquires a slot at an upstream; waits in the queue until `deadline` if all are full.
    pub async fn acquire(
        self: &Rc<Self>,
        service: &ServiceName,
        config: &ConfigState,
        deadline: Moment,
        tried: &[VmName],
    ) -> Result<SlotGuard, CallerError> {
        let mut may_try = !self.has_waiting(service);
        loop {
            if may_try {
                match self.try_acquire(service, config, deadline, tried) {
                    SlotOutcome::Slot(slot) => {
                        self.wake_next(service);
                        return Ok(slot);
                    }
                    SlotOutcome::NoUpstream => return Err(no_upstream(service)),
                    SlotOutcome::Full => {}
                }
            }
            may_try = true;
            let wakeup = self.join_queue(service, deadline)?;
            let until = self.parts.clock.instant(deadline).into();
            let woken = tokio::time::timeout_at(until, wakeup).await;
            self.parts.metrics.queued.dec();
            if !matches!(woken, Ok(Ok(()))) {
                let text = "no upstream had room before the deadline";
                return Err(overloaded(ErrorCode::DeadlineExceeded, text));
            }
        }
    }

    fn has_waiting(&self, service: &ServiceName) -> bool {
        self.services.borrow().get(service).is_some_and(|state| !state.queue.is_empty())
    }

    fn join_queue(
        &self,
        service: &ServiceName,
        deadline: Moment,
    ) -> Result<oneshot::Receiver<()>, CallerError> {
        let mut services = self.services.borrow_mut();
        let Some(state) = services.get_mut(service) else { return Err(no_upstream(service)) };
        let now = self.now();
        let (latency, limit) = (state.pool.mean_latency(), state.pool.concurrency(now));
        state.queue.check(now, deadline, latency, limit).map_err(|refusal| match refusal {
            QueueRefusal::Full => overloaded(ErrorCode::Overloaded, "the queue is full"),
            QueueRefusal::DeadlineTooShort => {
                overloaded(ErrorCode::Overloaded, "the deadline cannot be met")
            }
        })?;
        let (sender, receiver) = oneshot::channel();
        state.queue.push(deadline, sender);
        self.parts.metrics.queued.inc();
        Ok(receiver)
    }

    /// Wakes the next waiting request if an upstream has a free slot.
    fn wake_next(&self, service: &ServiceName) {
        let mut services = self.services.borrow_mut();
        let Some(state) = services.get_mut(service) else { return };
        let now = self.now();
        if !state.pool.has_capacity(now) {
            return;
        }
        while let Some(waiter) = state.queue.pop(now) {
            if waiter.send(()).is_ok() {
                return;
            }
        }
    }

    /// Adds a request's share to the retry budget of the service.
    pub fn earn_retry(&self, service: &ServiceName) {
        if let Some(state) = self.services.borrow_mut().get_mut(service) {
            state.budget.earn();
        }
    }

    /// Spends one extra attempt of the retry budget; false if the budget is used up.
    pub fn spend_retry(&self, service: &ServiceName) -> bool {
        self.services.borrow_mut().get_mut(service).is_some_and(|state| state.budget.spend())
    }

    /// Time after which an answer of `vm` counts as late and a hedge may be sent; `None`
    /// before its first answer.
    #[must_use]
    pub fn hedge_delay(&self, service: &ServiceName, vm: &VmName) -> Option<Duration> {
        let services = self.services.borrow();
        let delay_us = services.get(service)?.pool.upstream(vm)?.late_after()?;
        Some(Duration::from_micros(delay_us))
    }

    /// The agent on `vm` as owners last listed it.
    #[must_use]
    pub fn agent(&self, vm: &VmName) -> Option<AgentIdentity> {
        self.agents.borrow().get(vm).cloned()
    }

    /// Applies changes of the membership to pools and connections.
    pub fn apply_change(&self, change: &RosterChange) {
        for vm in &change.gone {
            if let Some(agent) = self.agents.borrow_mut().remove(vm) {
                self.connections.close(agent.address);
            }
        }
        let mut services = self.services.borrow_mut();
        for state in services.values_mut() {
            state.pool.retain(|vm| !change.gone.contains(vm));
        }
        for member in &change.listed {
            let agent = &member.agent;
            let previous = self.agents.borrow_mut().insert(agent.vm.clone(), agent.clone());
            if let Some(previous) = previous.filter(|previous| previous.address != agent.address) {
                self.connections.close(previous.address);
            }
            let offers = |name: &ServiceName| {
                member.upstreams.iter().any(|upstream| upstream.service == *name)
            };
            for (name, state) in services.iter_mut() {
                state.pool.retain(|vm| *vm != agent.vm || offers(name));
            }
            for upstream in &member.upstreams {
                let listing = UpstreamListing {
                    data_centre: agent.data_centre.clone(),
                    incarnation: agent.incarnation,
                    leaving: upstream.leaving || member.draining,
                    slots: upstream.slots,
                    connections: upstream.connections,
                    latency: upstream.latency_us,
                };
                let state =
                    services.entry(upstream.service.clone()).or_insert_with(|| ServiceState {
                        pool: ServicePool::default(),
                        queue: WaitQueue::new(self.parts.queue_length),
                        budget: RetryBudget::default(),
                    });
                state.pool.update_listing(&agent.vm, listing);
            }
        }
        services.retain(|_, state| !state.pool.is_empty() || !state.queue.is_empty());
        let names: Vec<_> = services.keys().cloned().collect();
        drop(services);
        for name in names {
            self.wake_next(&name);
        }
    }

    /// Drops the request rates of plans that no longer exist.
    pub fn drop_unknown_plans(&self) {
        if let Some(config) = self.parts.config.get() {
            self.rates.borrow_mut().retain(|plan| config.plan(plan).is_some());
        }
    }

    /// `deadline` as an instant of the system clock.
    #[must_use]
    pub fn instant(&self, deadline: Moment) -> Instant {
        self.parts.clock.instant(deadline)
    }
}

fn no_upstream(service: &ServiceName) -> CallerError {
    let text = format!("no upstream of service {service} takes requests");
    CallerError::not_run(ErrorCode::NoUpstream, RetryAdvice::NewRequest, text)
}

fn overloaded(code: ErrorCode, text: &str) -> CallerError {
    CallerError::not_run(code, RetryAdvice::NewRequest, text)
}

impl SlotGuard {
    /// Records how the attempt ended and releases the slot.
    pub fn finish(mut self, result: AttemptResult) {
        self.result = Some(result);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let now = self.router.now();
        // A slot dropped at its deadline means that no answer arrived in time.
        let late = now >= self.deadline;
        let dropped = if late { AttemptResult::Failed } else { AttemptResult::Abandoned };
        let result = self.result.unwrap_or(dropped);
        if let Some(state) = self.router.services.borrow_mut().get_mut(&self.service)
            && state.pool.ended(&self.agent.vm, now, result)
        {
            log::warn!(
                "ejected upstream of service {} on VM {} after failures",
                self.service,
                self.agent.vm
            );
            self.router.parts.metrics.ejections.inc();
        }
        self.router.wake_next(&self.service);
    }
}
