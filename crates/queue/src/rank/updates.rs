//! Ranks for the agents: which update goes with an answer.

use cactusdoor_core::unit::{Millis, Moment};

use super::StepRank;
use crate::name::{AgentName, StepName};
use crate::report::RankUpdate;
use crate::scheduler::QueueScheduler;

/// Least time between two updates of one agent, ms: half of the time between two reports.
const UPDATE_INTERVAL: Millis = 300;
/// Time after which unchanged ranks are sent again, ms: the answer that had them may be lost,
/// and an agent orders runs without a rank last.
const REPEAT_INTERVAL: Millis = 3_000;
/// Most steps of an update: bounds an answer to a few kilobytes.
pub(crate) const MAX_RANKED_STEPS: usize = 200;

/// The newest update of an agent.
#[derive(Debug, Default)]
pub(crate) struct SentRanks {
    at: Moment,
    /// Incarnation of the agent's process; a new one has no ranks.
    incarnation: u64,
    ranks: Vec<(StepName, StepRank)>,
}

impl QueueScheduler {
    /// Ranks for an agent, if any rank of a run on its worker has changed and an update is due.
    /// The steps that come last are left out of a list that is too long.
    pub fn due_ranks(&mut self, agent: &AgentName, now: Moment) -> Option<RankUpdate> {
        if !self.features.job_order {
            return None;
        }
        let sent = self.ranks.sent.get(agent);
        if sent.is_some_and(|sent| now < sent.at.after(UPDATE_INTERVAL)) {
            return None;
        }
        let tracked = self.workers.get(agent)?;
        let runs = tracked.runs.values().filter(|run| run.start.best_effort);
        let steps = runs.map(|run| run.start.task.step_name());
        let ranked = steps.filter_map(|step| Some((self.step_rank(&step)?, step)));
        let mut ranked: Vec<_> = ranked.collect();
        ranked.sort_unstable();
        ranked.dedup();
        ranked.truncate(MAX_RANKED_STEPS);
        let ranks: Vec<_> = ranked.into_iter().map(|(rank, step)| (step, rank)).collect();
        let incarnation = tracked.incarnation;
        let is_known = sent.is_some_and(|sent| {
            let repeats = now >= sent.at.after(REPEAT_INTERVAL);
            sent.incarnation == incarnation && sent.ranks == ranks && !repeats
        });
        if ranks.is_empty() || is_known {
            return None;
        }
        self.ranks.number += 1;
        let sent = SentRanks { at: now, incarnation, ranks: ranks.clone() };
        self.ranks.sent.insert(agent.clone(), sent);
        Some(RankUpdate { number: self.ranks.number, ranks })
    }
}
