//! Routing policies under test: the project's own and two baselines.

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
/// Length of an entry's queue, the default of its settings.
const QUEUE_LENGTH: usize = 1_024;
const MIN_HEDGE_DELAY: Micros = 5 * MILLISECOND;

/// What becomes of a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    Send(usize),
    Wait,
    Refuse,
}

/// Which policy an experiment runs.
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

/// Decisions of one entry.
pub trait EntryPolicy {
    fn arrive(&mut self, now: Micros, request: RequestIndex, deadline: Micros) -> Arrival;
    /// Another attempt for a request that was sent to `tried`.
    fn extra(&mut self, now: Micros, tried: &[usize]) -> Option<usize>;
    /// Time after which an answer of `vm` is late enough for a hedge.
    fn hedge_after(&self, vm: usize) -> Option<Micros>;
    fn ended(&mut self, now: Micros, vm: usize, result: AttemptResult);
    /// A waiting request whose turn has come, and where it goes.
    fn next_waiting(&mut self, now: Micros) -> Option<(RequestIndex, usize)>;
    /// Takes over which data centres are in service.
    fn set_open(&mut self, open: &[bool]);
}

/// The policy of an entry in data centre `home`.
pub fn open_policy(
    kind: PolicyKind,
    site: &SitePreset,
    home: usize,
    rng: ChaCha8Rng,
) -> Result<Box<dyn EntryPolicy>, NameError> {
    Ok(match kind {
        PolicyKind::Cactusdoor => Box::new(PoolPolicy::open(site, home, rng)?),
        _ => Box::new(BaselinePolicy::open(kind, site, rng)),
    })
}

/// Random or least-loaded choice among all VMs; no queue, no extra attempts.
struct BaselinePolicy {
    kind: PolicyKind,
    site: SitePreset,
    open: Vec<bool>,
    in_flight: Vec<u32>,
    rng: ChaCha8Rng,
}

impl BaselinePolicy {
    fn open(kind: PolicyKind, site: &SitePreset, rng: ChaCha8Rng) -> Self {
        let open = vec![true; site.data_centres];
        Self { kind, site: site.clone(), open, in_flight: vec![0; site.vms], rng }
    }
}

impl EntryPolicy for BaselinePolicy {
    fn arrive(&mut self, _: Micros, _: RequestIndex, _: Micros) -> Arrival {
        let usable = |vm: &usize| self.open[self.site.data_centre_of(*vm)];
        let candidates: Vec<usize> = (0..self.site.vms).filter(usable).collect();
        if candidates.is_empty() {
            return Arrival::Refuse;
        }
        let offset = self.rng.random_range(0..candidates.len());
        let vm = match self.kind {
            PolicyKind::Random => candidates[offset],
            _ => {
                let rotated = candidates[offset..].iter().chain(&candidates[..offset]);
                let least = rotated.min_by_key(|vm| self.in_flight[**vm]);
                least.copied().unwrap_or(candidates[offset])
            }
        };
        self.in_flight[vm] += 1;
        Arrival::Send(vm)
    }

    fn extra(&mut self, _: Micros, _: &[usize]) -> Option<usize> {
        None
    }

    fn hedge_after(&self, _: usize) -> Option<Micros> {
        None
    }

    fn ended(&mut self, _: Micros, vm: usize, _: AttemptResult) {
        self.in_flight[vm] = self.in_flight[vm].saturating_sub(1);
    }

    fn next_waiting(&mut self, _: Micros) -> Option<(RequestIndex, usize)> {
        None
    }

    fn set_open(&mut self, open: &[bool]) {
        self.open.copy_from_slice(open);
    }
}

/// The routing of an entry, as its request core puts it together.
struct PoolPolicy {
    names: Vec<VmName>,
    home: DataCentre,
    centres: Vec<DataCentre>,
    open: Vec<bool>,
    pool: ServicePool,
    queue: WaitQueue<RequestIndex>,
    budget: RetryBudget,
    rng: ChaCha8Rng,
}

impl PoolPolicy {
    fn open(site: &SitePreset, home: usize, rng: ChaCha8Rng) -> Result<Self, NameError> {
        let centres: Result<Vec<_>, _> =
            (0..site.data_centres).map(|index| DataCentre::new(&format!("dc-{index}"))).collect();
        let centres = centres?;
        let names: Result<Vec<_>, _> =
            (0..site.vms).map(|index| VmName::new(&format!("vm-{index}"))).collect();
        let names = names?;
        let mut pool = ServicePool::default();
        for (index, name) in names.iter().enumerate() {
            let listing = UpstreamListing {
                data_centre: centres[site.data_centre_of(index)].clone(),
                incarnation: 1,
                leaving: false,
                slots: site.slots,
                connections: site.connections,
                latency: 0,
            };
            pool.list(name, listing);
        }
        Ok(Self {
            names,
            home: centres[home].clone(),
            open: vec![true; centres.len()],
            centres,
            pool,
            queue: WaitQueue::new(QUEUE_LENGTH),
            budget: RetryBudget::default(),
            rng,
        })
    }

    fn choose(&mut self, now: Micros, tried: &[usize]) -> PoolChoice {
        let tried: Vec<VmName> = tried.iter().map(|vm| self.names[*vm].clone()).collect();
        let random = [self.rng.random(), self.rng.random()];
        let open = |name: &DataCentre| {
            self.centres.iter().zip(&self.open).any(|(centre, open)| centre == name && *open)
        };
        self.pool.choose(moment(now), &self.home, open, &tried, random)
    }

    fn send(&mut self, name: &VmName) -> Option<usize> {
        self.pool.sent(name);
        self.names.iter().position(|known| known == name)
    }
}

fn moment(at: Micros) -> Moment {
    Moment(at / MILLISECOND)
}

impl EntryPolicy for PoolPolicy {
    fn arrive(&mut self, now: Micros, request: RequestIndex, deadline: Micros) -> Arrival {
        self.budget.earn();
        if self.queue.is_empty() {
            match self.choose(now, &[]) {
                PoolChoice::Send(name) => {
                    return self.send(&name).map_or(Arrival::Refuse, Arrival::Send);
                }
                PoolChoice::None => return Arrival::Refuse,
                PoolChoice::Full => {}
            }
        }
        let (latency, room) = (self.pool.mean_latency(), self.pool.concurrency(moment(now)));
        if self.queue.check(moment(now), moment(deadline), latency, room).is_err() {
            return Arrival::Refuse;
        }
        self.queue.push(moment(deadline), request);
        Arrival::Wait
    }

    fn extra(&mut self, now: Micros, tried: &[usize]) -> Option<usize> {
        let PoolChoice::Send(name) = self.choose(now, tried) else { return None };
        if !self.budget.spend() {
            return None;
        }
        self.send(&name)
    }

    fn hedge_after(&self, vm: usize) -> Option<Micros> {
        let late = self.pool.upstream(&self.names[vm])?.late_after()?;
        Some(late.max(MIN_HEDGE_DELAY))
    }

    fn ended(&mut self, now: Micros, vm: usize, result: AttemptResult) {
        self.pool.ended(&self.names[vm], moment(now), result);
    }

    fn next_waiting(&mut self, now: Micros) -> Option<(RequestIndex, usize)> {
        if self.queue.is_empty() {
            return None;
        }
        let PoolChoice::Send(name) = self.choose(now, &[]) else { return None };
        let request = self.queue.pop(moment(now))?;
        self.send(&name).map(|vm| (request, vm))
    }

    fn set_open(&mut self, open: &[bool]) {
        self.open.copy_from_slice(open);
    }
}
