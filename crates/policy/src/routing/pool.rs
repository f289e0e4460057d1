//! The upstreams of one service and the choice between them.
//!
//! The choice compares two random candidates by load and latency. It prefers the
//! local data centre and skips ejected upstreams unless most of them are ejected.

use cactusdoor_core::name::{DataCentre, VmName};
use cactusdoor_core::unit::Moment;
use indexmap::IndexMap;

use super::Micros;
use super::upstream::{UpstreamListing, UpstreamRecord};

/// An upstream above this multiple of the median latency is slow.
const SLOW_FACTOR: u64 = 4;
/// Upstreams below which latencies are not compared.
const MIN_COMPARED_UPSTREAMS: usize = 4;
/// Least difference to the median at which a slow upstream is ejected.
const MIN_SLOW_DIFFERENCE: Micros = 50_000;

/// A request goes to a remote upstream only if the local one's expected time is more
/// than this multiple of the remote one's, because traffic between data centres costs
/// more than local traffic.
const SPILL_FACTOR: u64 = 2;

/// Two random numbers for one choice.
pub type RandomPair = [u64; 2];

/// Result of a choice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PoolChoice {
    Send(VmName),
    /// All usable upstreams are at their concurrency limit.
    Full,
    /// No upstream accepts requests.
    None,
}

/// End of an attempt, as recorded for the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    Answered(Micros),
    /// No answer, or an incomplete one.
    Failed,
    /// The upstream's agent could not be reached, so nothing was sent.
    Unreachable,
    /// The upstream was at capacity.
    Busy,
    /// The upstream or its agent is leaving and accepts no more requests.
    Closed,
    /// The attempt was abandoned because another one was answered.
    Abandoned,
}

/// Upstreams of one service, by VM.
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

    /// Adds or updates an upstream from a roster's listing.
    pub fn update_listing(&mut self, vm: &VmName, listing: UpstreamListing) {
        match self.upstreams.get_mut(vm) {
            Some(record) => record.update(listing),
            None => {
                self.upstreams.insert(vm.clone(), UpstreamRecord::new(listing));
            }
        }
    }

    /// Drops the upstreams for which `listed` returns false.
    pub fn retain(&mut self, mut listed: impl FnMut(&VmName) -> bool) {
        self.upstreams.retain(|vm, _| listed(vm));
    }

    /// Chooses an upstream, preferably in the `local` data centre.
    ///
    /// `in_service` returns whether a data centre is in service; `tried` lists the upstreams
    /// to which this request was sent before.
    #[must_use]
    pub fn choose(
        &self,
        now: Moment,
        local: &DataCentre,
        in_service: impl Fn(&DataCentre) -> bool,
        tried: &[VmName],
        random: RandomPair,
    ) -> PoolChoice {
        let usable = |vm: &VmName, record: &UpstreamRecord| {
            !tried.contains(vm) && record.is_open(now) && in_service(&record.listing.data_centre)
        };
        let mut candidates: Vec<(&VmName, &UpstreamRecord)> =
            self.upstreams.iter().filter(|(vm, record)| usable(vm, record)).collect();
        if candidates.is_empty() {
            return PoolChoice::None;
        }
        // If more than half are ejected, the cause is probably the network or the load
        // and not single upstreams, so ejected ones are used as a last resort.
        let ejected = candidates.iter().filter(|(_, record)| !record.accepts_requests(now)).count();
        let last_resort = ejected * 2 > candidates.len();
        candidates.retain(|(_, record)| record.has_capacity());
        let (available, ejected): (Vec<_>, Vec<_>) =
            candidates.into_iter().partition(|(_, record)| record.accepts_requests(now));
        let mut chosen = prefer_local(&available, now, local, random);
        if chosen.is_none() && last_resort {
            chosen = prefer_local(&ejected, now, local, random);
        }
        chosen.map_or(PoolChoice::Full, PoolChoice::Send)
    }

    /// Counts a request that is about to be sent.
    pub fn sent(&mut self, vm: &VmName) {
        if let Some(record) = self.upstreams.get_mut(vm) {
            record.in_flight += 1;
        }
    }

    /// Records the end of an attempt; `true` if it ejects the upstream.
    pub fn ended(&mut self, vm: &VmName, now: Moment, result: AttemptResult) -> bool {
        let median = self.median_latency();
        let Some(record) = self.upstreams.get_mut(vm) else { return false };
        let in_flight = record.in_flight;
        record.in_flight = in_flight.saturating_sub(1);
        match result {
            AttemptResult::Answered(latency) => {
                record.measure(latency, now);
                record.limit.answered(latency, in_flight);
                record.detector.succeeded(now);
                let slow = median.is_some_and(|median| {
                    record.latency() > (SLOW_FACTOR * median).max(median + MIN_SLOW_DIFFERENCE)
                });
                if slow && !record.detector.is_ejected(now) {
                    record.detector.eject(now);
                    return true;
                }
                false
            }
            AttemptResult::Failed => record.detector.failed(now),
            AttemptResult::Unreachable if record.detector.is_ejected(now) => false,
            AttemptResult::Unreachable => {
                record.detector.eject(now);
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

    /// Mean of the expected latencies, for estimates of queueing time.
    #[must_use]
    pub fn mean_latency(&self) -> Micros {
        let count = self.upstreams.len().max(1) as u64;
        self.upstreams.values().map(UpstreamRecord::latency).sum::<u64>() / count
    }

    /// Sum of the concurrency limits of the upstreams that accept requests.
    #[must_use]
    pub fn concurrency(&self, now: Moment) -> u32 {
        let available = self.upstreams.values().filter(|record| record.accepts_requests(now));
        available.map(|record| record.limit.current()).sum()
    }

    /// Whether any open upstream, ejected or not, is below its concurrency limit.
    #[must_use]
    pub fn has_capacity(&self, now: Moment) -> bool {
        self.upstreams.values().any(|record| record.is_open(now) && record.has_capacity())
    }

    fn median_latency(&self) -> Option<Micros> {
        if self.upstreams.len() < MIN_COMPARED_UPSTREAMS {
            return None;
        }
        let mut latencies: Vec<Micros> =
            self.upstreams.values().map(UpstreamRecord::latency).collect();
        let middle = latencies.len() / 2;
        Some(*latencies.select_nth_unstable(middle).1)
    }
}

/// Picks a local candidate, unless a remote one is expected to answer much sooner.
fn prefer_local(
    candidates: &[(&VmName, &UpstreamRecord)],
    now: Moment,
    local: &DataCentre,
    random: RandomPair,
) -> Option<VmName> {
    let is_local = |record: &UpstreamRecord| record.listing.data_centre == *local;
    let (locals, remotes): (Vec<_>, Vec<_>) =
        candidates.iter().partition(|(_, record)| is_local(record));
    let chosen = match (better_of_two(&locals, now, random), better_of_two(&remotes, now, random)) {
        (Some((_, local_best)), Some(remote_best))
            if local_best.expected_time() > SPILL_FACTOR * remote_best.1.expected_time() =>
        {
            Some(remote_best)
        }
        (local_best, remote_best) => local_best.or(remote_best),
    };
    chosen.map(|(vm, _)| vm.clone())
}

/// The candidate with the lower cost of two random ones.
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
