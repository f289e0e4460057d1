//! One order of best-effort steps for the whole fleet.
//!
//! A rank is an absolute number: it does not depend on which other steps there are, so agents
//! and owners that know different sets of jobs order two steps alike.

use cactusdoor_core::unit::Moment;

use crate::name::AgentName;
use crate::report::RankUpdate;
use crate::scheduler::QueueScheduler;

/// Position of a best-effort step in the order; lower comes first.
pub type StepRank = u64;

impl QueueScheduler {
    /// Ranks for an agent, if any rank of a run on its worker has changed and an update is due.
    pub fn due_ranks(&mut self, _agent: &AgentName, _now: Moment) -> Option<RankUpdate> {
        None
    }
}
