//! One run of the routing experiment: an event simulation of clients, entries, the
//! network and the VMs.
//!
//! The policy makes every routing decision; this module delivers requests and advances
//! the time.

use std::collections::VecDeque;

use anyhow::Context;
use cactusdoor_policy::routing::pool::AttemptResult;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::policy::{AdmissionDecision, EntryPolicy, PolicyKind, RequestIndex, new_policy};
use super::scenario::RoutingScenario;
use crate::event::{EventQueue, MILLISECOND, Micros, SECOND};
use crate::interference::{InterferenceModel, TASK_KINDS};
use crate::load::{exponential, log_normal};
use crate::preset::SitePreset;
use crate::report::LatencyRecord;

/// Time from the arrival of a request to its deadline.
const REQUEST_TIMEOUT: Micros = 2 * SECOND;
/// Delay until a data centre's new state reaches the entries.
const CONFIG_DELAY: Micros = 1_500 * MILLISECOND;
/// Share of messages between data centres that are lost and sent again.
const LOSS_RATE: f64 = 0.001;
/// Additional delay of a lost message.
const RETRANSMISSION_DELAY: Micros = 200 * MILLISECOND;
/// Most attempts of one request, the first included.
const MAX_ATTEMPTS: usize = 4;
/// Sigma of the log-normal service times.
const SERVICE_SIGMA: f64 = 0.5;

/// Result of a run.
#[derive(Clone, Debug)]
pub struct RoutingResult {
    /// Latency of answered requests, as the client sees it.
    pub latency: LatencyRecord,
    pub offered: u64,
    /// Answered before the deadline.
    pub answered: u64,
    /// Refused on arrival, or because every attempt was refused by its agent.
    pub refused: u64,
    /// Retries and hedges.
    pub extra_attempts: u64,
    /// Answered requests, by second of the run.
    pub goodput: Vec<u64>,
}

enum RunEvent {
    Arrival,
    Delivery { request: RequestIndex, vm: usize },
    ServiceEnd { request: RequestIndex, vm: usize },
    Response { request: RequestIndex, vm: usize, served: bool },
    HedgeDue { request: RequestIndex, attempt: usize },
    BatchStart { vm: usize },
    BatchEnd { vm: usize, kind: usize },
    DataCentreState { in_service: bool },
}

struct Request {
    entry: usize,
    /// Time at which the client meant to send the request.
    intended: Micros,
    deadline: Micros,
    /// VM and send time of each attempt.
    attempts: Vec<(usize, Micros)>,
    open_attempts: usize,
    /// Answered or refused.
    done: bool,
}

#[derive(Default)]
struct Vm {
    /// Occupied slots.
    running: u32,
    queue: VecDeque<RequestIndex>,
    /// Running batch tasks, by kind.
    batch_tasks: [u32; TASK_KINDS],
}

struct RoutingRun<'a> {
    site: &'a SitePreset,
    scenario: &'a RoutingScenario,
    events: EventQueue<RunEvent>,
    /// Random numbers of arrivals and batch tasks, the same for every policy.
    workload_rng: ChaCha8Rng,
    /// Random numbers of service times and the network.
    service_rng: ChaCha8Rng,
    interference: InterferenceModel,
    policies: Vec<Box<dyn EntryPolicy>>,
    requests: Vec<Request>,
    vms: Vec<Vm>,
    result: RoutingResult,
}

/// Runs `scenario` under one policy.
///
/// # Errors
/// Fails if a name is invalid or the histogram cannot be created.
pub fn run(
    site: &SitePreset,
    scenario: &RoutingScenario,
    kind: PolicyKind,
    seed: u64,
) -> anyhow::Result<RoutingResult> {
    let mut workload_rng = ChaCha8Rng::seed_from_u64(seed);
    let interference = InterferenceModel::generate(&mut workload_rng);
    let policies: Result<Vec<_>, _> = (0..site.data_centres)
        .map(|home| new_policy(kind, site, home, ChaCha8Rng::seed_from_u64(seed ^ home as u64)))
        .collect();
    let seconds = usize::try_from(scenario.duration / SECOND)? + 1;
    let mut run = RoutingRun {
        site,
        scenario,
        events: EventQueue::default(),
        workload_rng,
        service_rng: ChaCha8Rng::seed_from_u64(!seed),
        interference,
        policies: policies.context("could not name the VMs")?,
        requests: Vec::new(),
        vms: (0..site.vms).map(|_| Vm::default()).collect(),
        result: RoutingResult {
            latency: LatencyRecord::new().context("could not create a histogram")?,
            offered: 0,
            answered: 0,
            refused: 0,
            extra_attempts: 0,
            goodput: vec![0; seconds + 3],
        },
    };
    run.schedule_initial_events();
    while let Some(event) = run.events.next_event() {
        run.handle(event);
    }
    Ok(run.result)
}

impl RoutingRun<'_> {
    fn schedule_initial_events(&mut self) {
        let first = self.scenario.load.next_arrival(0, &mut self.workload_rng);
        self.events.schedule_at(first, RunEvent::Arrival);
        for vm in 0..self.site.vms {
            let at = self.batch_start_gap();
            self.events.schedule_at(at, RunEvent::BatchStart { vm });
        }
        if let Some((from, to)) = self.scenario.outage {
            self.events
                .schedule_at(from + CONFIG_DELAY, RunEvent::DataCentreState { in_service: false });
            self.events
                .schedule_at(to + CONFIG_DELAY, RunEvent::DataCentreState { in_service: true });
        }
    }

    /// Time until the next batch task starts on a VM.
    fn batch_start_gap(&mut self) -> Micros {
        let mean = 60.0 * SECOND as f64 / self.scenario.batch_starts_per_minute;
        (exponential(&mut self.workload_rng) * mean) as Micros
    }

    fn handle(&mut self, event: RunEvent) {
        match event {
            RunEvent::Arrival => self.arrive(),
            RunEvent::Delivery { request, vm } => self.deliver(request, vm),
            RunEvent::ServiceEnd { request, vm } => self.end_service(request, vm),
            RunEvent::Response { request, vm, served } => self.handle_response(request, vm, served),
            RunEvent::HedgeDue { request, attempt } => self.handle_hedge_due(request, attempt),
            RunEvent::BatchStart { vm } => self.start_batch_task(vm),
            RunEvent::BatchEnd { vm, kind } => self.vms[vm].batch_tasks[kind] -= 1,
            RunEvent::DataCentreState { in_service } => {
                let mut states = vec![true; self.site.data_centres];
                states[0] = in_service;
                self.policies.iter_mut().for_each(|policy| policy.set_in_service(&states));
            }
        }
    }

    fn start_batch_task(&mut self, vm: usize) {
        let kind = self.workload_rng.random_range(0..TASK_KINDS);
        let run_time = (exponential(&mut self.workload_rng) * 20.0 * SECOND as f64) as Micros;
        let gap = self.batch_start_gap();
        self.vms[vm].batch_tasks[kind] += 1;
        self.events.schedule_after(run_time, RunEvent::BatchEnd { vm, kind });
        if self.events.now() + gap < self.scenario.duration {
            self.events.schedule_after(gap, RunEvent::BatchStart { vm });
        }
    }

    fn arrive(&mut self) {
        let now = self.events.now();
        let next = self.scenario.load.next_arrival(now, &mut self.workload_rng);
        if next < self.scenario.duration {
            self.events.schedule_at(next, RunEvent::Arrival);
        }
        let entry = self.workload_rng.random_range(0..self.site.data_centres);
        let request = self.requests.len();
        let deadline = now + REQUEST_TIMEOUT;
        self.requests.push(Request {
            entry,
            intended: now,
            deadline,
            attempts: Vec::new(),
            open_attempts: 0,
            done: false,
        });
        self.result.offered += 1;
        match self.policies[entry].admit(now, request, deadline) {
            AdmissionDecision::Send(vm) => self.send(request, vm),
            AdmissionDecision::Wait => {}
            AdmissionDecision::Refuse => {
                self.requests[request].done = true;
                self.result.refused += 1;
            }
        }
    }

    /// One-way delay between an entry and a VM.
    fn link_delay(&mut self, entry: usize, vm: usize) -> Micros {
        let local = self.site.data_centre_of(vm) == entry;
        let base = if local { 300 } else { self.site.link_delay };
        let jitter = (exponential(&mut self.service_rng) * 0.1 * base as f64) as Micros;
        let lost = !local && self.service_rng.random::<f64>() < LOSS_RATE;
        base + jitter + if lost { RETRANSMISSION_DELAY } else { 0 }
    }

    fn send(&mut self, request: RequestIndex, vm: usize) {
        let entry = self.requests[request].entry;
        let delay = self.link_delay(entry, vm);
        let now = self.events.now();
        let state = &mut self.requests[request];
        state.attempts.push((vm, now));
        state.open_attempts += 1;
        let attempt = state.attempts.len();
        self.events.schedule_after(delay, RunEvent::Delivery { request, vm });
        if let Some(delay) = self.policies[entry].hedge_delay(vm) {
            self.events.schedule_after(delay, RunEvent::HedgeDue { request, attempt });
        }
    }

    /// The agent starts the request in a free slot, else queues it while connections
    /// remain, else refuses it.
    fn deliver(&mut self, request: RequestIndex, vm: usize) {
        let state = &mut self.vms[vm];
        if state.running < self.site.slots {
            state.running += 1;
            self.start_service(request, vm);
        } else if state.running as usize + state.queue.len() < self.site.connections as usize {
            state.queue.push_back(request);
        } else {
            self.respond(request, vm, false);
        }
    }

    fn start_service(&mut self, request: RequestIndex, vm: usize) {
        let factor =
            self.interference.service_factor(&self.vms[vm].batch_tasks) * self.slow_vm_factor(vm);
        let variate = log_normal(&mut self.service_rng, SERVICE_SIGMA);
        // Mean of a log-normal variate with median 1.
        let mean = (SERVICE_SIGMA * SERVICE_SIGMA / 2.0).exp();
        let time = self.site.service_time as f64 * factor * variate / mean;
        self.events.schedule_after(time as Micros, RunEvent::ServiceEnd { request, vm });
    }

    fn slow_vm_factor(&self, vm: usize) -> f64 {
        let third = self.scenario.duration / 3;
        match self.scenario.slow_vm_factor {
            Some(factor) if vm == 0 && (third..2 * third).contains(&self.events.now()) => factor,
            _ => 1.0,
        }
    }

    /// Frees the slot and starts the next queued request.
    fn end_service(&mut self, request: RequestIndex, vm: usize) {
        self.vms[vm].running -= 1;
        while let Some(next) = self.vms[vm].queue.pop_front() {
            // Agents refuse queued requests whose deadline has passed.
            if self.requests[next].deadline > self.events.now() {
                self.vms[vm].running += 1;
                self.start_service(next, vm);
                break;
            }
            self.respond(next, vm, false);
        }
        self.respond(request, vm, true);
    }

    fn respond(&mut self, request: RequestIndex, vm: usize, served: bool) {
        let delay = self.link_delay(self.requests[request].entry, vm);
        self.events.schedule_after(delay, RunEvent::Response { request, vm, served });
    }

    fn handle_response(&mut self, request: RequestIndex, vm: usize, served: bool) {
        let now = self.events.now();
        let state = &mut self.requests[request];
        state.open_attempts -= 1;
        let entry = state.entry;
        let sent = state.attempts.iter().find(|(tried, _)| *tried == vm).map_or(now, |(_, at)| *at);
        let late = now >= state.deadline;
        let result = match (served, state.done, late) {
            (false, ..) => AttemptResult::Busy,
            (true, true, _) => AttemptResult::Abandoned,
            (true, false, true) => AttemptResult::Failed,
            (true, false, false) => AttemptResult::Answered(now - sent),
        };
        let answered = served && !state.done && !late;
        state.done |= answered;
        let all_refused = !state.done && state.open_attempts == 0;
        let intended = state.intended;
        self.policies[entry].attempt_ended(now, vm, result);
        if answered {
            self.result.answered += 1;
            // The client's latency includes the delay to its entry and back.
            self.result.latency.add(now - intended + 2 * self.site.client_delay);
            if let Some(second) = self.result.goodput.get_mut((now / SECOND) as usize) {
                *second += 1;
            }
        } else if all_refused && !late {
            self.send_extra_attempt(request);
            let state = &mut self.requests[request];
            if state.open_attempts == 0 {
                state.done = true;
                self.result.refused += 1;
            }
        }
        while let Some((waiting, vm)) = self.policies[entry].next_waiting(now) {
            self.send(waiting, vm);
        }
    }

    /// Sends a hedge if the request has had no further attempt.
    fn handle_hedge_due(&mut self, request: RequestIndex, attempt: usize) {
        if self.requests[request].attempts.len() == attempt {
            self.send_extra_attempt(request);
        }
    }

    /// Sends another attempt if the request is open and the policy allows it.
    fn send_extra_attempt(&mut self, request: RequestIndex) {
        let now = self.events.now();
        let state = &self.requests[request];
        if state.done || now >= state.deadline || state.attempts.len() >= MAX_ATTEMPTS {
            return;
        }
        let tried: Vec<usize> = state.attempts.iter().map(|(vm, _)| *vm).collect();
        if let Some(vm) = self.policies[state.entry].extra_attempt(now, &tried) {
            self.result.extra_attempts += 1;
            self.send(request, vm);
        }
    }
}
