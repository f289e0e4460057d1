//! Selects the batch tasks of one VM to evict for an urgent task.
//!
//! The choice aims to lose little completed work. It is made for one VM; the caller
//! compares several VMs by [`VictimChoice::rank`].

use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::{Millis, Token};

/// A batch task that may be evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VictimCandidate {
    pub token: Token,
    pub need: ResourceVector,
    /// Run time lost by an eviction, 0 for a task that writes checkpoints.
    pub lost: Millis,
    /// Run time so far, including any that would be lost.
    pub elapsed: Millis,
}

impl VictimCandidate {
    /// Work lost by the eviction, in millicores times milliseconds.
    fn work_lost(&self) -> u64 {
        self.lost.saturating_mul(self.need.processors)
    }
}

/// The tasks to evict on one VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VictimChoice {
    pub tokens: Vec<Token>,
    /// In millicores times milliseconds.
    pub work_lost: u64,
}

impl VictimChoice {
    /// Sort key for the choices of several VMs; the lowest is chosen.
    #[must_use]
    pub fn rank(&self) -> (u64, usize) {
        (self.work_lost, self.tokens.len())
    }
}

/// The tasks whose eviction makes `need` fit into a VM with `free` resources; `None`
/// if evicting all of them is not enough.
///
/// Tasks are added in order of the work lost until `need` fits. Then each task that
/// turns out to be unnecessary is removed again, starting with the most expensive.
#[must_use]
pub fn choose_victims(
    free: ResourceVector,
    need: ResourceVector,
    mut candidates: Vec<VictimCandidate>,
) -> Option<VictimChoice> {
    candidates.sort_by_key(|candidate| (candidate.work_lost(), candidate.elapsed, candidate.token));
    let fits = |victims: &[VictimCandidate]| {
        victims
            .iter()
            .fold(free, |total, candidate| total.saturating_add(candidate.need))
            .can_fit(need)
    };
    let count = (0..=candidates.len()).find(|&count| fits(&candidates[..count]))?;
    candidates.truncate(count);
    for position in (0..candidates.len()).rev() {
        let spared = candidates.remove(position);
        if !fits(&candidates) {
            candidates.insert(position, spared);
        }
    }
    let work_lost =
        candidates.iter().fold(0u64, |lost, candidate| lost.saturating_add(candidate.work_lost()));
    Some(VictimChoice {
        tokens: candidates.iter().map(|candidate| candidate.token).collect(),
        work_lost,
    })
}
