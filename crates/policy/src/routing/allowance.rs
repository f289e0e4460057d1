//! Requests per second that each plan may send.
//!
//! Entries share an allowance evenly, because the load balancer spreads callers
//! evenly and the allowance is not worth a message per request.

use std::collections::HashMap;

use cactusdoor_core::name::PlanName;
use cactusdoor_core::unit::Moment;

/// Thousandths of a request.
type MilliRequests = u64;

const ONE_REQUEST: MilliRequests = 1_000;

/// Token bucket that holds at most one second of its rate.
#[derive(Clone, Debug)]
struct RateBucket {
    left: MilliRequests,
    filled: Moment,
}

/// Buckets of all plans that sent requests.
#[derive(Debug, Default)]
pub struct PlanRates {
    buckets: HashMap<PlanName, RateBucket>,
}

impl PlanRates {
    /// Takes one request of `plan` at `requests_per_second` split over `entries`.
    ///
    /// `false` if the allowance is used up.
    pub fn admit(
        &mut self,
        plan: &PlanName,
        requests_per_second: u32,
        entries: usize,
        now: Moment,
    ) -> bool {
        if requests_per_second == 0 {
            return false;
        }
        // Requests per second are thousandths of a request per millisecond.
        let total = u64::from(requests_per_second);
        let rate = total.div_ceil(entries.max(1) as u64);
        let capacity = rate * ONE_REQUEST;
        let bucket = self
            .buckets
            .entry(plan.clone())
            .or_insert_with(|| RateBucket { left: capacity, filled: now });
        let gained = now.since(bucket.filled).saturating_mul(rate);
        bucket.left = bucket.left.saturating_add(gained).min(capacity);
        bucket.filled = bucket.filled.max(now);
        if bucket.left < ONE_REQUEST {
            return false;
        }
        bucket.left -= ONE_REQUEST;
        true
    }

    /// Drops the buckets of plans for which `known` is false.
    pub fn retain(&mut self, mut known: impl FnMut(&PlanName) -> bool) {
        self.buckets.retain(|plan, _| known(plan));
    }
}
