//! Rate limit on the requests of each plan.
//!
//! Each entry enforces an equal share of a plan's allowance on its own: the load
//! balancer spreads callers evenly, and exact limits would cost a message between
//! entries for each request.

use std::collections::HashMap;

use cactusdoor_core::name::PlanName;
use cactusdoor_core::unit::Moment;

/// Thousandths of a request.
type MilliRequests = u64;

const ONE_REQUEST: MilliRequests = 1_000;

/// Token bucket that holds at most one second of its rate.
#[derive(Clone, Debug)]
struct RateBucket {
    tokens: MilliRequests,
    filled: Moment,
}

/// Token buckets of the plans that have sent requests.
#[derive(Debug, Default)]
pub struct PlanRates {
    buckets: HashMap<PlanName, RateBucket>,
}

impl PlanRates {
    /// Admits one request of `plan`, whose `requests_per_second` are split over `entries`.
    ///
    /// Returns `false` if this entry's share of the allowance is used up.
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
        // One request per second equals one thousandth of a request per millisecond.
        let total = u64::from(requests_per_second);
        let rate = total.div_ceil(entries.max(1) as u64);
        let capacity = rate * ONE_REQUEST;
        let bucket = self
            .buckets
            .entry(plan.clone())
            .or_insert_with(|| RateBucket { tokens: capacity, filled: now });
        let gained = now.since(bucket.filled).saturating_mul(rate);
        bucket.tokens = bucket.tokens.saturating_add(gained).min(capacity);
        bucket.filled = bucket.filled.max(now);
        if bucket.tokens < ONE_REQUEST {
            return false;
        }
        bucket.tokens -= ONE_REQUEST;
        true
    }

    /// Drops the buckets of plans for which `known` returns false.
    pub fn retain(&mut self, mut known: impl FnMut(&PlanName) -> bool) {
        self.buckets.retain(|plan, _| known(plan));
    }
}
