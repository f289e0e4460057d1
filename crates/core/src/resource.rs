//! Amounts of processors, memory and accelerators.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::unit::{Accelerators, Mebibytes, Millicores};

/// Resources of a VM, needs of a task, or the allowance of a plan.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResourceVector {
    pub processors: Millicores,
    pub memory: Mebibytes,
    pub accelerators: Accelerators,
}

/// A kind of resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResourceKind {
    Processors,
    Memory,
    Accelerators,
}

impl fmt::Display for ResourceKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Processors => "processors",
            Self::Memory => "memory",
            Self::Accelerators => "accelerators",
        })
    }
}

impl ResourceVector {
    pub const ZERO: Self = Self { processors: 0, memory: 0, accelerators: 0 };

    #[must_use]
    pub fn new(processors: Millicores, memory: Mebibytes, accelerators: Accelerators) -> Self {
        Self { processors, memory, accelerators }
    }

    /// Sum; `None` if a component overflows.
    #[must_use]
    pub fn checked_add(self, other: Self) -> Option<Self> {
        Some(Self {
            processors: self.processors.checked_add(other.processors)?,
            memory: self.memory.checked_add(other.memory)?,
            accelerators: self.accelerators.checked_add(other.accelerators)?,
        })
    }

    /// Sum; a component that overflows becomes the largest number.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        Self {
            processors: self.processors.saturating_add(other.processors),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Difference; a negative component becomes 0.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self {
            processors: self.processors.saturating_sub(other.processors),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// The first kind of resource of which `self` has less than `need`.
    #[must_use]
    pub fn shortage(self, need: Self) -> Option<ResourceKind> {
        if need.processors > self.processors {
            Some(ResourceKind::Processors)
        } else if need.memory > self.memory {
            Some(ResourceKind::Memory)
        } else if need.accelerators > self.accelerators {
            Some(ResourceKind::Accelerators)
        } else {
            None
        }
    }

    /// Whether `need` fits within `self`.
    #[must_use]
    pub fn can_fit(self, need: Self) -> bool {
        self.shortage(need).is_none()
    }
}
