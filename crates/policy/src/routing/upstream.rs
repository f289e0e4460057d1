//! State of one upstream as observed by an entry: load, latency and availability.

use cactusdoor_core::name::DataCentre;
use cactusdoor_core::unit::{Incarnation, Millis, Moment};

use super::Micros;
use super::concurrency::ConcurrencyLimit;
use super::ejection::OutlierDetector;

/// An upstream as a roster lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamListing {
    pub data_centre: DataCentre,
    pub incarnation: Incarnation,
    /// The upstream is leaving or its agent is stopping.
    pub leaving: bool,
    pub slots: u32,
    pub connections: u32,
    /// Mean latency measured by the agent, 0 if none.
    pub latency: Micros,
}

/// Load and recent history of one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRecord {
    pub listing: UpstreamListing,
    pub in_flight: u32,
    /// Smoothed mean and mean deviation of the latency.
    latency: Option<(Micros, Micros)>,
    measured: Moment,
    pub limit: ConcurrencyLimit,
    pub detector: OutlierDetector,
    /// It gets no requests before this moment, because it refused one as leaving.
    closed_until: Moment,
}

/// Time for which an upstream that refused as leaving gets no requests; a roster lists
/// it as leaving before that time is over.
const CLOSED_TIME: Millis = 3_000;
/// Time without an answer after which a latency is weighted by half.
const LATENCY_HALF_LIFE: Millis = 1_000;
const MAX_HALVINGS: u64 = 10;
/// Latency assumed before the first measurement.
const UNKNOWN_LATENCY: Micros = 5_000;

impl UpstreamRecord {
    #[must_use]
    pub fn new(listing: UpstreamListing) -> Self {
        let limit = ConcurrencyLimit::new(listing.slots, listing.connections);
        let detector = OutlierDetector::default();
        Self {
            listing,
            in_flight: 0,
            latency: None,
            measured: Moment::default(),
            limit,
            detector,
            closed_until: Moment::default(),
        }
    }

    /// Applies a newer listing; a new incarnation starts without history.
    pub fn update(&mut self, listing: UpstreamListing) {
        if listing.incarnation != self.listing.incarnation {
            let in_flight = self.in_flight;
            *self = Self { in_flight, ..Self::new(listing) };
            return;
        }
        self.limit.set_ceiling(listing.connections);
        self.listing = listing;
    }

    /// Expected latency: measured here, else by the agent, else a default.
    #[must_use]
    pub fn latency(&self) -> Micros {
        match self.latency {
            Some((mean, _)) => mean.max(1),
            None if self.listing.latency > 0 => self.listing.latency,
            None => UNKNOWN_LATENCY,
        }
    }

    /// Time after which an answer is late: mean plus four mean deviations; `None` before
    /// the first answer.
    #[must_use]
    pub fn late_after(&self) -> Option<Micros> {
        self.latency.map(|(mean, deviation)| mean + 4 * deviation)
    }

    /// Records a refusal because the upstream or its agent is leaving.
    pub fn close(&mut self, now: Moment) {
        self.closed_until = now.after(CLOSED_TIME);
    }

    /// Whether it is not leaving and has not just refused a request as leaving.
    #[must_use]
    pub fn is_open(&self, now: Moment) -> bool {
        !self.listing.leaving && now >= self.closed_until
    }

    #[must_use]
    pub fn accepts_requests(&self, now: Moment) -> bool {
        self.is_open(now) && !self.detector.is_ejected(now)
    }

    /// Whether it is below its concurrency limit.
    #[must_use]
    pub fn has_capacity(&self) -> bool {
        self.in_flight < self.limit.current()
    }

    /// Expected time until an answer: the latency, scaled up once the requests in flight
    /// exceed the slots.
    #[must_use]
    pub fn expected_time(&self) -> Micros {
        let slots = u64::from(self.listing.slots.max(1));
        self.latency() * slots.max(u64::from(self.in_flight + 1)) / slots
    }

    /// Requests in flight times latency, higher while the upstream returns from an ejection.
    ///
    /// The latency decays with its age. Otherwise an upstream that was slow once would
    /// get no more requests and could not show that it is fast again.
    #[must_use]
    pub fn cost(&self, now: Moment) -> u64 {
        let share = self.detector.share_percent(now).max(1);
        let halvings = now.since(self.measured) / LATENCY_HALF_LIFE;
        let latency = self.latency() >> halvings.min(MAX_HALVINGS);
        u64::from(self.in_flight + 1) * latency.max(1) * 100 / share
    }

    /// Updates the smoothed latency like TCP's retransmission timer (RFC 6298).
    pub fn measure(&mut self, latency: Micros, now: Moment) {
        self.measured = now;
        self.latency = Some(match self.latency {
            None => (latency, latency / 2),
            Some((mean, deviation)) => {
                let difference = mean.abs_diff(latency);
                ((7 * mean + latency) / 8, (3 * deviation + difference) / 4)
            }
        });
    }
}
