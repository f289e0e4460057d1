//! Ranks of the runs on an agent's worker, as the owner has sent them.
//!
//! The newest update of the highest epoch counts. It stays in use while there is no owner.

use cactusdoor_core::unit::Epoch;
use indexmap::IndexMap;
use thiserror::Error;

use super::AgentState;
use crate::name::StepName;
use crate::rank::{StepRank, split};
use crate::report::{RankUpdate, StartOrder};
use crate::throttling::RunTurn;

/// Most steps of an update that is applied; an owner sends at most 200.
const MAX_STEPS: usize = 1_000;

/// Why an update of the ranks is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RankUpdateError {
    #[error("update {0} is older than the ranks in use")]
    Outdated(u64),
    #[error("update has {0} steps, more than {MAX_STEPS}")]
    TooLong(usize),
}

/// The ranks in use.
#[derive(Debug, Default)]
pub(super) struct RunRanks {
    epoch: Epoch,
    number: u64,
    ranks: IndexMap<StepName, StepRank>,
}

impl RunRanks {
    /// Drops the ranks; older updates are still ignored.
    pub fn clear(&mut self) {
        self.ranks.clear();
    }

    /// Turn of a run in the order; without a rank, by its deadline behind all ranked runs.
    pub fn turn(&self, start: &StartOrder) -> RunTurn {
        match self.ranks.get(&start.task.step_name()) {
            Some(rank) => {
                let (class, time) = split(*rank);
                RunTurn { class, time }
            }
            None => RunTurn { class: u64::MAX, time: start.job_deadline },
        }
    }
}

impl AgentState {
    /// Applies the ranks in an answer of the owner of `epoch`. If a step is listed twice, its first
    /// rank counts.
    pub fn apply_ranks(&mut self, epoch: Epoch, update: RankUpdate) -> Result<(), RankUpdateError> {
        let known = (self.ranks.epoch, self.ranks.number);
        if epoch < self.epoch || (epoch, update.number) <= known {
            return Err(RankUpdateError::Outdated(update.number));
        }
        if update.ranks.len() > MAX_STEPS {
            return Err(RankUpdateError::TooLong(update.ranks.len()));
        }
        (self.ranks.epoch, self.ranks.number) = (epoch, update.number);
        self.ranks.ranks.clear();
        for (step, rank) in update.ranks {
            self.ranks.ranks.entry(step).or_insert(rank);
        }
        Ok(())
    }
}
