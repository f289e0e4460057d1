//! Resources that each plan uses of its allowance, counted by the plan's home shard.

use cactusdoor_core::name::PlanName;
use cactusdoor_core::resource::{ResourceKind, ResourceVector};
use indexmap::IndexMap;

/// Usage per plan: the sum of what its tasks hold or reserve. Unused plans are absent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AllowanceUsage {
    used: IndexMap<PlanName, ResourceVector>,
}

impl AllowanceUsage {
    #[must_use]
    pub fn used(&self, plan: &PlanName) -> ResourceVector {
        self.used.get(plan).copied().unwrap_or_default()
    }

    pub fn add(&mut self, plan: &PlanName, need: ResourceVector) {
        let used = self.used.entry(plan.clone()).or_default();
        *used = (*used).saturating_add(need);
    }

    pub fn remove(&mut self, plan: &PlanName, need: ResourceVector) {
        if let Some(used) = self.used.get_mut(plan) {
            *used = used.saturating_sub(need);
            if *used == ResourceVector::ZERO {
                self.used.swap_remove(plan);
            }
        }
    }

    /// The first resource in which adding `need` would exceed `limit`.
    #[must_use]
    pub fn shortage(
        &self,
        plan: &PlanName,
        limit: ResourceVector,
        need: ResourceVector,
    ) -> Option<ResourceKind> {
        limit.shortage(self.used(plan).saturating_add(need))
    }

    pub fn plans(&self) -> impl Iterator<Item = (&PlanName, ResourceVector)> {
        self.used.iter().map(|(plan, used)| (plan, *used))
    }
}

/// Component-wise maximum.
#[must_use]
pub fn max(a: ResourceVector, b: ResourceVector) -> ResourceVector {
    ResourceVector {
        processors: a.processors.max(b.processors),
        memory: a.memory.max(b.memory),
        accelerators: a.accelerators.max(b.accelerators),
    }
}

/// Component-wise minimum.
#[must_use]
pub fn min(a: ResourceVector, b: ResourceVector) -> ResourceVector {
    ResourceVector {
        processors: a.processors.min(b.processors),
        memory: a.memory.min(b.memory),
        accelerators: a.accelerators.min(b.accelerators),
    }
}
