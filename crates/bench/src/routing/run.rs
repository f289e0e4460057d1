//! One run of the routing experiment.

use std::collections::VecDeque;

use anyhow::Context;
use cactusdoor_policy::routing::pool::AttemptResult;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::policy::{Arrival, EntryPolicy, PolicyKind, RequestIndex, open_policy};
use super::scenario::RoutingScenario;
use crate::event::{EventQueue, MILLISECOND, Micros, SECOND};
use crate::interference::{InterferenceModel, TASK_KINDS};
use crate::load::{exponential, log_normal};
use crate::preset::SitePreset;
use crate::report::LatencyRecord;

/// Deadline of every request.
const DEADLINE: Micros = 2 * SECOND;
/// Time until entries know that a data centre changed its state.
const CONFIG_DELAY: Micros = 1_500 * MILLISECOND;
const LOSS: f64 = 0.001;
/// Delay that a lost packet costs.
const RETRANSMISSION: Micros = 200 * MILLISECOND;
const MAX_ATTEMPTS: usize = 4;
/// Spread of service times.
const SERVICE_SIGMA: f64 = 0.5;

/// Result of a run.
#[derive(Clone, Debug)]
pub struct RoutingResult {
    pub latency: LatencyRecord,
    pub offered: u64,
    pub answered: u64,
    /// Refused before the upstream was called.
    pub refused: u64,
    pub extra_attempts: u64,
    /// Answers per second, by second.
    pub goodput: Vec<u64>,
}

enum RunEvent {
    Arrive,
    Reach { request: RequestIndex, vm: usize },
    Serve { request: RequestIndex, vm: usize },
    Return { request: RequestIndex, vm: usize, served: bool },
    Hedge { request: RequestIndex, attempt: usize },
    Noise { vm: usize },
    NoiseEnd { vm: usize, kind: usize },
    Centre { open: bool },
}

struct Request {
    entry: usize,
    intended: Micros,
    deadline: Micros,
    /// VM and send time of each attempt.
    attempts: Vec<(usize, Micros)>,
    open_attempts: usize,
    done: bool,
}

#[derive(Default)]
struct Vm {
    running: u32,
    queue: VecDeque<RequestIndex>,
    tasks: [u32; TASK_KINDS],
}

struct RoutingRun<'a> {
    site: &'a SitePreset,
    scenario: &'a RoutingScenario,
    events: EventQueue<RunEvent>,
    /// Random numbers of arrivals and noise, the same for every policy.
    world: ChaCha8Rng,
    /// Random numbers of service times and the network.
    chance: ChaCha8Rng,
    interference: InterferenceModel,
    policies: Vec<Box<dyn EntryPolicy>>,
    requests: Vec<Request>,
    vms: Vec<Vm>,
    result: RoutingResult,
}

/// Runs `scenario` under one policy.
pub fn run(
    site: &SitePreset,
    scenario: &RoutingScenario,
    kind: PolicyKind,
    seed: u64,
) -> anyhow::Result<RoutingResult> {
    let mut world = ChaCha8Rng::seed_from_u64(seed);
    let interference = InterferenceModel::generate(&mut world);
    let policies: Result<Vec<_>, _> = (0..site.data_centres)
        .map(|home| open_policy(kind, site, home, ChaCha8Rng::seed_from_u64(seed ^ home as u64)))
        .collect();
    let seconds = usize::try_from(scenario.length / SECOND)? + 1;
    let mut run = RoutingRun {
        site,
        scenario,
        events: EventQueue::default(),
        world,
        chance: ChaCha8Rng::seed_from_u64(!seed),
        interference,
        policies: policies.context("could not name the VMs")?,
        requests: Vec::new(),
        vms: (0..site.vms).map(|_| Vm::default()).collect(),
        result: RoutingResult {
            latency: LatencyRecord::open().context("could not open a histogram")?,
            offered: 0,
            answered: 0,
            refused: 0,
            extra_attempts: 0,
            goodput: vec![0; seconds + 3],
        },
    };
    run.prepare();
    while let Some(event) = run.events.next_event() {
        run.handle(event);
    }
    Ok(run.result)
}

impl RoutingRun<'_> {
    fn prepare(&mut self) {
        let first = self.scenario.load.next_arrival(0, &mut self.world);
        self.events.at(first, RunEvent::Arrive);
        for vm in 0..self.site.vms {
            let at = self.noise_gap();
            self.events.at(at, RunEvent::Noise { vm });
        }
        if let Some((out, back)) = self.scenario.out {
            self.events.at(out + CONFIG_DELAY, RunEvent::Centre { open: false });
            self.events.at(back + CONFIG_DELAY, RunEvent::Centre { open: true });
        }
    }

    fn noise_gap(&mut self) -> Micros {
        let mean = 60.0 * SECOND as f64 / self.scenario.noise_per_minute;
        (exponential(&mut self.world) * mean) as Micros
    }

    fn handle(&mut self, event: RunEvent) {
        match event {
            RunEvent::Arrive => self.arrive(),
            RunEvent::Reach { request, vm } => self.reach(request, vm),
            RunEvent::Serve { request, vm } => self.served(request, vm),
            RunEvent::Return { request, vm, served } => self.returned(request, vm, served),
            RunEvent::Hedge { request, attempt } => self.hedge(request, attempt),
            RunEvent::Noise { vm } => self.noise(vm),
            RunEvent::NoiseEnd { vm, kind } => self.vms[vm].tasks[kind] -= 1,
            RunEvent::Centre { open } => {
                let mut states = vec![true; self.site.data_centres];
                states[0] = open;
                self.policies.iter_mut().for_each(|policy| policy.set_open(&states));
            }
        }
    }

    fn noise(&mut self, vm: usize) {
        let kind = self.world.random_range(0..TASK_KINDS);
        let length = (exponential(&mut self.world) * 20.0 * SECOND as f64) as Micros;
        let gap = self.noise_gap();
        self.vms[vm].tasks[kind] += 1;
        self.events.after(length, RunEvent::NoiseEnd { vm, kind });
        if self.events.now() + gap < self.scenario.length {
            self.events.after(gap, RunEvent::Noise { vm });
        }
    }

    fn arrive(&mut self) {
        let now = self.events.now();
        let next = self.scenario.load.next_arrival(now, &mut self.world);
        if next < self.scenario.length {
            self.events.at(next, RunEvent::Arrive);
        }
        let entry = self.world.random_range(0..self.site.data_centres);
        let request = self.requests.len();
        let deadline = now + DEADLINE;
        self.requests.push(Request {
            entry,
            intended: now,
            deadline,
            attempts: Vec::new(),
            open_attempts: 0,
            done: false,
        });
        self.result.offered += 1;
        match self.policies[entry].arrive(now, request, deadline) {
            Arrival::Send(vm) => self.send(request, vm),
            Arrival::Wait => {}
            Arrival::Refuse => {
                self.requests[request].done = true;
                self.result.refused += 1;
            }
        }
    }

    /// One way between an entry and a VM.
    fn link_delay(&mut self, entry: usize, vm: usize) -> Micros {
        let local = self.site.data_centre_of(vm) == entry;
        let base = if local { 300 } else { self.site.link_delay };
        let jitter = (exponential(&mut self.chance) * 0.1 * base as f64) as Micros;
        let lost = !local && self.chance.random::<f64>() < LOSS;
        base + jitter + if lost { RETRANSMISSION } else { 0 }
    }

    fn send(&mut self, request: RequestIndex, vm: usize) {
        let entry = self.requests[request].entry;
        let delay = self.link_delay(entry, vm);
        let now = self.events.now();
        let state = &mut self.requests[request];
        state.attempts.push((vm, now));
        state.open_attempts += 1;
        let attempt = state.attempts.len();
        self.events.after(delay, RunEvent::Reach { request, vm });
        if let Some(late) = self.policies[entry].hedge_after(vm) {
            self.events.after(late, RunEvent::Hedge { request, attempt });
        }
    }

    /// The agent takes the request in: slots, then a queue up to the connections.
    fn reach(&mut self, request: RequestIndex, vm: usize) {
        let state = &mut self.vms[vm];
        if state.running < self.site.slots {
            state.running += 1;
            self.start(request, vm);
        } else if state.running as usize + state.queue.len() < self.site.connections as usize {
            state.queue.push_back(request);
        } else {
            self.send_back(request, vm, false);
        }
    }

    fn start(&mut self, request: RequestIndex, vm: usize) {
        let factor = self.interference.service_factor(&self.vms[vm].tasks) * self.slowness(vm);
        let normal = log_normal(&mut self.chance, SERVICE_SIGMA);
        // A log-normal variate with median 1 has this mean.
        let mean = (SERVICE_SIGMA * SERVICE_SIGMA / 2.0).exp();
        let time = self.site.service_time as f64 * factor * normal / mean;
        self.events.after(time as Micros, RunEvent::Serve { request, vm });
    }

    fn slowness(&self, vm: usize) -> f64 {
        let third = self.scenario.length / 3;
        match self.scenario.slow_vm {
            Some(factor) if vm == 0 && (third..2 * third).contains(&self.events.now()) => factor,
            _ => 1.0,
        }
    }

    fn served(&mut self, request: RequestIndex, vm: usize) {
        self.vms[vm].running -= 1;
        while let Some(next) = self.vms[vm].queue.pop_front() {
            // Agents drop waiting requests whose deadline has passed.
            if self.requests[next].deadline > self.events.now() {
                self.vms[vm].running += 1;
                self.start(next, vm);
                break;
            }
            self.send_back(next, vm, false);
        }
        self.send_back(request, vm, true);
    }

    fn send_back(&mut self, request: RequestIndex, vm: usize, served: bool) {
        let delay = self.link_delay(self.requests[request].entry, vm);
        self.events.after(delay, RunEvent::Return { request, vm, served });
    }

    fn returned(&mut self, request: RequestIndex, vm: usize, served: bool) {
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
        let exhausted = !state.done && state.open_attempts == 0;
        let intended = state.intended;
        self.policies[entry].ended(now, vm, result);
        if answered {
            self.result.answered += 1;
            // The client's own way there and back belongs to its latency.
            self.result.latency.add(now - intended + 2 * self.site.client_delay);
            if let Some(second) = self.result.goodput.get_mut((now / SECOND) as usize) {
                *second += 1;
            }
        } else if exhausted && !late {
            self.extra(request);
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

    fn hedge(&mut self, request: RequestIndex, attempt: usize) {
        if self.requests[request].attempts.len() == attempt {
            self.extra(request);
        }
    }

    fn extra(&mut self, request: RequestIndex) {
        let now = self.events.now();
        let state = &self.requests[request];
        if state.done || now >= state.deadline || state.attempts.len() >= MAX_ATTEMPTS {
            return;
        }
        let tried: Vec<usize> = state.attempts.iter().map(|(vm, _)| *vm).collect();
        if let Some(vm) = self.policies[state.entry].extra(now, &tried) {
            self.result.extra_attempts += 1;
            self.send(request, vm);
        }
    }
}
