//! Routing policies of an entry: the service pool in use and two baselines.
//!
//! A policy chooses the upstream of every attempt and admits, queues or refuses
//! requests. It neither sends requests nor advances the time; [`super::run`] does both.

use cactusdoor_core::name::{DataCentre, NameError, VmName};
use cactusdoor_core::unit::Moment;
use cactusdoor_policy::routing::budget::RetryBudget;
use cactusdoor_policy::routing::pool::{AttemptResult, PoolChoice, ServicePool};
use cactusdoor_policy::routing::queue::WaitQueue;
use cactusdoor_policy::routing::upstream::UpstreamListing;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::event::{MILLISECOND, Micros};
use crate::preset::SitePreset;

/// Index of a request.
pub type RequestIndex = usize;
/// Requests in an entry's queue; the default of the entry's settings.
const QUEUE_LENGTH: usize = 1_024;
/// Shortest time after which an attempt is hedged.
const MIN_HEDGE_DELAY: Micros = 5 * MILLISECOND;

/// Decision about a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Send to the VM at this position.
    Send(usize),
    Wait,
    Refuse,
}

/// Policies under comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    Random,
    LeastLoaded,
    Cactusdoor,
}

impl PolicyKind {
    pub const ALL: [Self; 3] = [Self::Random, Self::LeastLoaded, Self::Cactusdoor];

    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::LeastLoaded => "least-loaded",
            Self::Cactusdoor => "cactusdoor",
        }
    }
}

/// Decisions of one entry. VMs and data centres are given by position.
pub trait EntryPolicy {
    fn admit(&mut self, now: Micros, request: RequestIndex, deadline: Micros) -> AdmissionDecision;
    /// VM for another attempt of a request that was sent to `tried`, if one is allowed.
    fn extra_attempt(&mut self, now: Micros, tried: &[usize]) -> Option<usize>;
    /// Time without an answer of `vm` after which a hedge is sent.
    fn hedge_delay(&self, vm: usize) -> Option<Micros>;
    /// Records the result of an attempt.
    fn attempt_ended(&mut self, now: Micros, vm: usize, result: AttemptResult);
    /// The next queued request that can be sent, and its VM.
    fn next_waiting(&mut self, now: Micros) -> Option<(RequestIndex, usize)>;
    /// Applies the state of every data centre.
    fn set_in_service(&mut self, in_service: &[bool]);
}

/// The policy of an entry in data centre `home`.
///
/// # Errors
/// Fails if a VM or data centre cannot be named.
pub fn new_policy(
    kind: PolicyKind,
    site: &SitePreset,
    home: usize,
    rng: ChaCha8Rng,
) -> Result<Box<dyn EntryPolicy>, NameError> {
    Ok(match kind {
        PolicyKind::Cactusdoor => Box::new(PoolPolicy::new(site, home, rng)?),
        _ => Box::new(BaselinePolicy::new(kind, site, rng)),
    })
}

/// Random or least-loaded choice among all VMs in service, without queue or extra
/// attempts.
struct BaselinePolicy {
    kind: PolicyKind,
    site: SitePreset,
    in_service: Vec<bool>,
    in_flight: Vec<u32>,
    rng: ChaCha8Rng,
}

impl BaselinePolicy {
    fn new(kind: PolicyKind, site: &SitePreset, rng: ChaCha8Rng) -> Self {
        let in_service = vec![true; site.data_centres];
        Self { kind, site: site.clone(), in_service, in_flight: vec![0; site.vms], rng }
    }
}

impl EntryPolicy for BaselinePolicy {
    fn admit(&mut self, _: Micros, _: RequestIndex, _: Micros) -> AdmissionDecision {
        let usable = |vm: &usize| self.in_service[self.site.data_centre_of(*vm)];
        let candidates: Vec<usize> = (0..self.site.vms).filter(usable).collect();
        if candidates.is_empty() {
            return AdmissionDecision::Refuse;
        }
        let start = self.rng.random_range(0..candidates.len());
        let vm = match self.kind {
            PolicyKind::Random => candidates[start],
            _ => {
                let rotated = candidates[start..].iter().chain(&candidates[..start]);
                let least = rotated.min_by_key(|vm| self.in_flight[**vm]);
                least.copied().unwrap_or(candidates[start])
            }
        };
        self.in_flight[vm] += 1;
        AdmissionDecision::Send(vm)
    }

    fn extra_attempt(&mut self, _: Micros, _: &[usize]) -> Option<usize> {
        None
    }

    fn hedge_delay(&self, _: usize) -> Option<Micros> {
        None
    }

    fn attempt_ended(&mut self, _: Micros, vm: usize, _: AttemptResult) {
        self.in_flight[vm] = self.in_flight[vm].saturating_sub(1);
    }

    fn next_waiting(&mut self, _: Micros) -> Option<(RequestIndex, usize)> {
        None
    }

    fn set_in_service(&mut self, in_service: &[bool]) {
        self.in_service.copy_from_slice(in_service);
    }
}

/// Service pool, queue and retry budget, combined as in the entry.
struct PoolPolicy {
    vm_names: Vec<VmName>,
    home: DataCentre,
    data_centres: Vec<DataCentre>,
    in_service: Vec<bool>,
    pool: ServicePool,
    queue: WaitQueue<RequestIndex>,
    budget: RetryBudget,
    rng: ChaCha8Rng,
}

impl PoolPolicy {
    fn new(site: &SitePreset, home: usize, rng: ChaCha8Rng) -> Result<Self, NameError> {
        let data_centres: Result<Vec<_>, _> =
            (0..site.data_centres).map(|index| DataCentre::new(&format!("dc-{index}"))).collect();
        let data_centres = data_centres?;
        let vm_names: Result<Vec<_>, _> =
            (0..site.vms).map(|index| VmName::new(&format!("vm-{index}"))).collect();
        let vm_names = vm_names?;
        let mut pool = ServicePool::default();
        for (index, name) in vm_names.iter().enumerate() {
            let listing = UpstreamListing {
                data_centre: data_centres[site.data_centre_of(index)].clone(),
                incarnation: 1,
                leaving: false,
                slots: site.slots,
                connections: site.connections,
                latency: 0,
            };
            pool.update_listing(name, listing);
        }
        Ok(Self {
            vm_names,
            home: data_centres[home].clone(),
            in_service: vec![true; data_centres.len()],
            data_centres,
            pool,
            queue: WaitQueue::new(QUEUE_LENGTH),
            budget: RetryBudget::default(),
            rng,
        })
    }

    /// Chooses an upstream that is not among `tried`.
    fn choose(&mut self, now: Micros, tried: &[usize]) -> PoolChoice {
        let tried: Vec<VmName> = tried.iter().map(|vm| self.vm_names[*vm].clone()).collect();
        let random = [self.rng.random(), self.rng.random()];
        let in_service = |name: &DataCentre| {
            self.data_centres
                .iter()
                .zip(&self.in_service)
                .any(|(data_centre, in_service)| data_centre == name && *in_service)
        };
        self.pool.choose(moment(now), &self.home, in_service, &tried, random)
    }

    /// Counts an attempt to `name` and returns its position.
    fn count_sent(&mut self, name: &VmName) -> Option<usize> {
        self.pool.sent(name);
        self.vm_names.iter().position(|vm_name| vm_name == name)
    }
}

fn moment(at: Micros) -> Moment {
    Moment(at / MILLISECOND)
}

impl EntryPolicy for PoolPolicy {
    fn admit(&mut self, now: Micros, request: RequestIndex, deadline: Micros) -> AdmissionDecision {
        self.budget.earn();
        if self.queue.is_empty() {
            match self.choose(now, &[]) {
                PoolChoice::Send(name) => {
                    return self
                        .count_sent(&name)
                        .map_or(AdmissionDecision::Refuse, AdmissionDecision::Send);
                }
                PoolChoice::None => return AdmissionDecision::Refuse,
                PoolChoice::Full => {}
            }
        }
        let (latency, concurrency) = (self.pool.mean_latency(), self.pool.concurrency(moment(now)));
        if self.queue.check(moment(now), moment(deadline), latency, concurrency).is_err() {
            return AdmissionDecision::Refuse;
        }
        self.queue.push(moment(deadline), request);
        AdmissionDecision::Wait
    }

    fn extra_attempt(&mut self, now: Micros, tried: &[usize]) -> Option<usize> {
        let PoolChoice::Send(name) = self.choose(now, tried) else { return None };
        if !self.budget.spend() {
            return None;
        }
        self.count_sent(&name)
    }

    fn hedge_delay(&self, vm: usize) -> Option<Micros> {
        let delay = self.pool.upstream(&self.vm_names[vm])?.late_after()?;
        Some(delay.max(MIN_HEDGE_DELAY))
    }

    fn attempt_ended(&mut self, now: Micros, vm: usize, result: AttemptResult) {
        self.pool.ended(&self.vm_names[vm], moment(now), result);
    }

    fn next_waiting(&mut self, now: Micros) -> Option<(RequestIndex, usize)> {
        if self.queue.is_empty() {
            return None;
        }
        let PoolChoice::Send(name) = self.choose(now, &[]) else { return None };
        let request = self.queue.pop(moment(now))?;
        self.count_sent(&name).map(|vm| (request, vm))
    }

    fn set_in_service(&mut self, in_service: &[bool]) {
        self.in_service.copy_from_slice(in_service);
    }
}
