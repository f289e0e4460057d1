//! One upstream as an entry sees it.

use cactusdoor_core::name::DataCentre;
use cactusdoor_core::unit::{Incarnation, Millis, Moment};

use super::Micros;
use super::concurrency::ConcurrencyLimit;
use super::ejection::OutlierGuard;

/// What a roster says of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamListing {
    pub data_centre: DataCentre,
    pub incarnation: Incarnation,
    /// Leaving, or beside an agent that is stopping.
    pub leaving: bool,
    pub slots: u32,
    pub connections: u32,
    /// Mean latency that the agent measured, 0 if none.
    pub latency: Micros,
}

/// Load and history of one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRecord {
    pub listing: UpstreamListing,
    pub in_flight: u32,
    /// Smoothed latency and its smoothed deviation.
    latency: Option<(Micros, Micros)>,
    measured: Moment,
    pub limit: ConcurrencyLimit,
    pub guard: OutlierGuard,
    /// Refused as leaving; it gets nothing before this moment.
    closed_until: Moment,
}

/// Time after a refusal within which a roster must have told the reason.
const CLOSED_TIME: Millis = 3_000;
/// Time without an answer after which a latency counts half.
const LATENCY_HALF_LIFE: Millis = 1_000;
const MAX_HALVINGS: u64 = 10;
/// Latency assumed before the first measurement.
const UNKNOWN_LATENCY: Micros = 5_000;

impl UpstreamRecord {
    #[must_use]
    pub fn new(listing: UpstreamListing) -> Self {
        let limit = ConcurrencyLimit::new(listing.slots, listing.connections);
        let guard = OutlierGuard::default();
        Self {
            listing,
            in_flight: 0,
            latency: None,
            measured: Moment::default(),
            limit,
            guard,
            closed_until: Moment::default(),
        }
    }

    /// Takes over a newer listing; a new incarnation starts without history.
    pub fn update(&mut self, listing: UpstreamListing) {
        if listing.incarnation != self.listing.incarnation {
            let in_flight = self.in_flight;
            *self = Self { in_flight, ..Self::new(listing) };
            return;
        }
        self.limit.set_ceiling(listing.connections);
        self.listing = listing;
    }

    /// Expected latency.
    #[must_use]
    pub fn latency(&self) -> Micros {
        match self.latency {
            Some((mean, _)) => mean.max(1),
            None if self.listing.latency > 0 => self.listing.latency,
            None => UNKNOWN_LATENCY,
        }
    }

    /// Time after which an answer counts as late: mean plus four deviations.
    #[must_use]
    pub fn late_after(&self) -> Option<Micros> {
        self.latency.map(|(mean, deviation)| mean + 4 * deviation)
    }

    /// Takes note of a refusal because the upstream or its agent is leaving.
    pub fn close(&mut self, now: Moment) {
        self.closed_until = now.after(CLOSED_TIME);
    }

    /// Whether it is neither leaving nor closed.
    #[must_use]
    pub fn is_open(&self, now: Moment) -> bool {
        !self.listing.leaving && now >= self.closed_until
    }

    #[must_use]
    pub fn takes_work(&self, now: Moment) -> bool {
        self.is_open(now) && !self.guard.is_ejected(now)
    }

    /// Whether one more request may be in flight.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.in_flight < self.limit.current()
    }

    /// Time until an answer: the latency, longer once requests exceed the slots.
    #[must_use]
    pub fn expected_time(&self) -> Micros {
        let slots = u64::from(self.listing.slots.max(1));
        self.latency() * slots.max(u64::from(self.in_flight + 1)) / slots
    }

    /// In-flight requests times latency, higher while the upstream returns from an ejection.
    ///
    /// A latency counts for less the older it is. Otherwise an upstream that
    /// was slow once would get no request that could show that it is fast again.
    #[must_use]
    pub fn cost(&self, now: Moment) -> u64 {
        let share = self.guard.share_percent(now).max(1);
        let halvings = now.since(self.measured) / LATENCY_HALF_LIFE;
        let latency = self.latency() >> halvings.min(MAX_HALVINGS);
        u64::from(self.in_flight + 1) * latency.max(1) * 100 / share
    }

    /// Smooths as TCP does for its retransmission timer.
    pub fn measure(&mut self, latency: Micros, now: Moment) {
        self.measured = now;
        self.latency = Some(match self.latency {
            None => (latency, latency / 2),
            Some((mean, deviation)) => {
                let off = mean.abs_diff(latency);
                ((7 * mean + latency) / 8, (3 * deviation + off) / 4)
            }
        });
    }
}
