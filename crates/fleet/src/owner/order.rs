//! The order of best-effort steps in the owner's log and metrics.

use cactusdoor_queue::rank::RankCounts;

use super::OwnerTerm;
use crate::decision::DecisionEvent;

impl OwnerTerm {
    /// Logs and shows the numbers of ranked steps; the scheduler bounds how often.
    pub(super) fn record_order(&self, counts: RankCounts) {
        let RankCounts { feasible, useful, neither } = counts;
        let gauges = &self.context.metrics.ranked_steps;
        for (class, steps) in [("feasible", feasible), ("useful", useful), ("neither", neither)] {
            gauges.with_label_values(&[class]).set(i64::try_from(steps).unwrap_or(i64::MAX));
        }
        let epoch = self.scheduler.epoch;
        self.context.log.record(DecisionEvent::OrderChanged { epoch, feasible, useful, neither });
    }
}
