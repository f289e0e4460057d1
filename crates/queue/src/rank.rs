//! One order of best-effort steps for the whole fleet.
//!
//! A rank is an absolute number: it does not depend on which other steps there are, so agents
//! and owners that know different sets of jobs order two steps alike. This module is the
//! policy; `rank/` keeps the ranks current and sends them to the agents.

mod index;
mod order;
mod updates;

use cactusdoor_core::unit::Millis;
use serde::{Deserialize, Serialize};

pub use self::index::RankCounts;
pub(crate) use self::index::RankIndex;

/// Position of a best-effort step in the order; lower comes first.
pub type StepRank = u64;

/// Weight of a job's remaining work against its age. The capacity counts all processors, of which
/// best-effort work gets about a quarter. On a day with an outage and little room, 36 of 107
/// best-effort jobs were in time with 100, 24 with 20 and 20 with 4.
pub const SIZE_WEIGHT: u64 = 100;
/// Largest delay for remaining work, ms: bounds overtaking if an estimate is far too high or the
/// capacity low. Longer than the time budgets in use.
pub const MAX_SIZE_DELAY: Millis = 600_000;
/// A job is useful until its budget has passed this many times.
const USEFUL_BUDGETS: u64 = 3;
/// Bits of a rank that hold the time, ms; above them are 2 bits of class and 8 of priority.
const TIME_BITS: u32 = 54;
/// Bits of a rank that hold the class.
const CLASS_BITS: u32 = 2;
/// Highest number of a priority in a rank.
const MAX_PRIORITY: u32 = 255;

/// Priority and class of a rank in one number, and its time, ms.
pub(crate) fn split(rank: StepRank) -> (u64, Millis) {
    (rank >> TIME_BITS, rank & ((1 << TIME_BITS) - 1))
}

/// What a job can still achieve.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RankClass {
    /// It can be in time.
    Feasible,
    /// It is late, but of some value.
    Useful,
    /// Its budget has passed three times.
    Neither,
}

impl RankClass {
    fn number(self) -> u64 {
        match self {
            Self::Feasible => 0,
            Self::Useful => 1,
            Self::Neither => 2,
        }
    }
}

/// What the rank of an occurrence of a job depends on. Times are Unix times, ms; work is in
/// thousandths of a processor times ms, by the caller's estimates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RankInput {
    /// 0 is the highest priority.
    pub priority: u32,
    /// When the job was accepted, or when the occurrence was due if that is later.
    pub accepted: Millis,
    /// `Millis::MAX` for an endless job.
    pub deadline: Millis,
    pub budget: Millis,
    /// Longest chain of steps that are not done, less the progress of the running ones, ms.
    pub remaining_path: Millis,
    pub remaining_work: u64,
    /// Work of the occurrence from its start.
    pub total_work: u64,
    /// Processors of the service's workers, thousandths; 0 if not known.
    pub capacity: u64,
    pub now: Millis,
}

impl RankInput {
    #[must_use]
    pub fn class(&self) -> RankClass {
        if self.now <= self.feasible_until() {
            RankClass::Feasible
        } else if self.now <= self.useful_until() {
            RankClass::Useful
        } else {
            RankClass::Neither
        }
    }

    /// First time at which the class is another one without further progress.
    #[must_use]
    pub fn next_class_at(&self) -> Option<Millis> {
        let until = match self.class() {
            RankClass::Feasible => self.feasible_until(),
            RankClass::Useful => self.useful_until(),
            RankClass::Neither => return None,
        };
        until.checked_add(1)
    }

    fn feasible_until(&self) -> Millis {
        if self.deadline == Millis::MAX {
            return Millis::MAX;
        }
        self.deadline.saturating_sub(self.remaining_path)
    }

    /// The deadline is one budget after the begin.
    fn useful_until(&self) -> Millis {
        self.deadline.saturating_add(self.budget.saturating_mul(USEFUL_BUDGETS - 1))
    }

    /// Delay for the remaining work, ms.
    fn size_delay(&self) -> Millis {
        if self.capacity == 0 {
            return 0;
        }
        let weighted = u128::from(self.remaining_work) * u128::from(SIZE_WEIGHT);
        let delay = weighted / u128::from(self.capacity);
        Millis::try_from(delay).unwrap_or(MAX_SIZE_DELAY).min(MAX_SIZE_DELAY)
    }

    /// The rank: priority, class, and the time of acceptance delayed by the remaining work.
    #[must_use]
    pub fn rank(&self) -> StepRank {
        let priority = u64::from(self.priority.min(MAX_PRIORITY));
        let time = self.accepted.saturating_add(self.size_delay()).min((1 << TIME_BITS) - 1);
        priority << (TIME_BITS + CLASS_BITS) | self.class().number() << TIME_BITS | time
    }
}
