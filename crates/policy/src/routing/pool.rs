//! The upstreams of one service, and the choice among them.

use cactusdoor_core::name::{DataCentre, VmName};
use cactusdoor_core::unit::Moment;
use indexmap::IndexMap;

use super::Micros;
use super::upstream::{UpstreamListing, UpstreamRecord};

/// An upstream counts as slow at this multiple of the median latency.
const SLOW_FACTOR: u64 = 4;
/// Upstreams are compared by latency only from this number on.
const MIN_COMPARED: usize = 4;
/// Differences below this are not worth an ejection.
const MIN_SLOW: Micros = 50_000;

/// A local upstream whose expected time is more than this multiple of a remote one's
/// loses the request; traffic between data centres costs more than local traffic.
const SPILL_FACTOR: u64 = 2;

/// Two random numbers for one choice.
pub type RandomPair = [u64; 2];

/// Where a request may go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PoolChoice {
    Send(VmName),
    /// Every upstream is at its limit.
    Full,
    /// No upstream takes work.
    None,
}

/// End of an attempt, as far as the upstream's record is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    Answered(Micros),
    /// No answer, or one that was not whole.
    Failed,
    /// The agent beside it could not be reached, so nothing was sent.
    Unreachable,
    /// No room at the upstream.
    Busy,
    /// It takes no work any more.
    Closed,
    /// The attempt was given up because another one was answered.
    Abandoned,
}

/// Upstreams of one service by VM.
#[derive(Clone, Debug, Default)]
pub struct ServicePool {
    upstreams: IndexMap<VmName, UpstreamRecord>,
}

impl ServicePool {
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    #[must_use]
    pub fn upstream(&self, vm: &VmName) -> Option<&UpstreamRecord> {
        self.upstreams.get(vm)
    }

    /// Takes over a listing from a roster.
    pub fn list(&mut self, vm: &VmName, listing: UpstreamListing) {
        match self.upstreams.get_mut(vm) {
            Some(record) => record.update(listing),
            None => {
                self.upstreams.insert(vm.clone(), UpstreamRecord::new(listing));
            }
        }
    }

    /// Drops upstreams that no roster lists any more.
    pub fn retain(&mut self, mut listed: impl FnMut(&VmName) -> bool) {
        self.upstreams.retain(|vm, _| listed(vm));
    }

    /// Chooses an upstream: the local data centre first, then the others.
    ///
    /// `open` tells which data centres take work, `tried` names upstreams that
    /// this request was sent to before.
    #[must_use]
    pub fn choose(
        &self,
        now: Moment,
        local: &DataCentre,
        open: impl Fn(&DataCentre) -> bool,
        tried: &[VmName],
        random: RandomPair,
    ) -> PoolChoice {
        let usable = |vm: &VmName, record: &UpstreamRecord| {
            !tried.contains(vm) && record.is_open(now) && open(&record.listing.data_centre)
        };
        let mut candidates: Vec<(&VmName, &UpstreamRecord)> =
            self.upstreams.iter().filter(|(vm, record)| usable(vm, record)).collect();
        if candidates.is_empty() {
            return PoolChoice::None;
        }
        // Ejections of more than half point at the network or the load rather
        // than at single upstreams, so ejected ones are used as a last resort.
        let ejected = candidates.iter().filter(|(_, record)| !record.takes_work(now)).count();
        let last_resort = ejected * 2 > candidates.len();
        candidates.retain(|(_, record)| record.has_room());
        let (working, ejected): (Vec<_>, Vec<_>) =
            candidates.into_iter().partition(|(_, record)| record.takes_work(now));
        let mut chosen = nearer(&working, now, local, random);
        if chosen.is_none() && last_resort {
            chosen = nearer(&ejected, now, local, random);
        }
        chosen.map_or(PoolChoice::Full, PoolChoice::Send)
    }

    /// Counts a request that is about to be sent.
    pub fn sent(&mut self, vm: &VmName) {
        if let Some(record) = self.upstreams.get_mut(vm) {
            record.in_flight += 1;
        }
    }

    /// Takes note of the end of an attempt; `true` if it ejects the upstream.
    pub fn ended(&mut self, vm: &VmName, now: Moment, result: AttemptResult) -> bool {
        let median = self.median_latency();
        let Some(record) = self.upstreams.get_mut(vm) else { return false };
        let in_flight = record.in_flight;
        record.in_flight = in_flight.saturating_sub(1);
        match result {
            AttemptResult::Answered(latency) => {
                record.measure(latency, now);
                record.limit.answered(latency, in_flight);
                record.guard.succeeded(now);
                let slow = median.is_some_and(|median| {
                    record.latency() > (SLOW_FACTOR * median).max(median + MIN_SLOW)
                });
                if slow && !record.guard.is_ejected(now) {
                    record.guard.eject(now);
                    return true;
                }
                false
            }
            AttemptResult::Failed => record.guard.failed(now),
            AttemptResult::Unreachable if record.guard.is_ejected(now) => false,
            AttemptResult::Unreachable => {
                record.guard.eject(now);
                true
            }
            AttemptResult::Busy => {
                record.limit.refused();
                false
            }
            AttemptResult::Closed => {
                record.close(now);
                false
            }
            AttemptResult::Abandoned => false,
        }
    }

    /// Mean expected latency, for queue estimates.
    #[must_use]
    pub fn mean_latency(&self) -> Micros {
        let count = self.upstreams.len().max(1) as u64;
        self.upstreams.values().map(UpstreamRecord::latency).sum::<u64>() / count
    }

    /// Requests that may be in flight to all upstreams that take work.
    #[must_use]
    pub fn concurrency(&self, now: Moment) -> u32 {
        let working = self.upstreams.values().filter(|record| record.takes_work(now));
        working.map(|record| record.limit.current()).sum()
    }

    /// Whether some open upstream has room for one more request.
    #[must_use]
    pub fn has_room(&self, now: Moment) -> bool {
        self.upstreams.values().any(|record| record.is_open(now) && record.has_room())
    }

    fn median_latency(&self) -> Option<Micros> {
        if self.upstreams.len() < MIN_COMPARED {
            return None;
        }
        let mut latencies: Vec<Micros> =
            self.upstreams.values().map(UpstreamRecord::latency).collect();
        let middle = latencies.len() / 2;
        Some(*latencies.select_nth_unstable(middle).1)
    }
}

/// A local candidate, unless a remote one is expected to answer much sooner.
fn nearer(
    candidates: &[(&VmName, &UpstreamRecord)],
    now: Moment,
    local: &DataCentre,
    random: RandomPair,
) -> Option<VmName> {
    let is_local = |record: &UpstreamRecord| record.listing.data_centre == *local;
    let (near, far): (Vec<_>, Vec<_>) = candidates.iter().partition(|(_, record)| is_local(record));
    let chosen = match (better_of_two(&near, now, random), better_of_two(&far, now, random)) {
        (Some((_, near)), Some(far))
            if near.expected_time() > SPILL_FACTOR * far.1.expected_time() =>
        {
            Some(far)
        }
        (near, far) => near.or(far),
    };
    chosen.map(|(vm, _)| vm.clone())
}

/// Of two random candidates the one with the lower cost.
fn better_of_two<'a>(
    candidates: &[(&'a VmName, &'a UpstreamRecord)],
    now: Moment,
    [first, second]: RandomPair,
) -> Option<(&'a VmName, &'a UpstreamRecord)> {
    let count = candidates.len() as u64;
    if count == 0 {
        return None;
    }
    let one = first % count;
    let other = if count == 1 { one } else { (one + 1 + second % (count - 1)) % count };
    let pick = |index: u64| usize::try_from(index).ok().and_then(|index| candidates.get(index));
    let (one, other) = (pick(one)?, pick(other)?);
    Some(if other.1.cost(now) < one.1.cost(now) { *other } else { *one })
}
