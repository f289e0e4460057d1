//! Capacity of one VM and the reservations of its tasks.
//!
//! Decides whether a task still fits. Only the agent on the VM may change the
//! reservations, so two processes that both believe they own the shard cannot
//! overcommit the VM.

use indexmap::IndexMap;
use thiserror::Error;

use crate::resource::{ResourceKind, ResourceVector};
use crate::unit::Token;

/// Why a reservation was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CapacityError {
    #[error("not enough {0}")]
    DoesNotFit(ResourceKind),
    #[error("token {0} is reserved already")]
    AlreadyReserved(Token),
}

/// Reserved resources of a VM, by fencing token.
#[derive(Clone, Debug, Default)]
pub struct CapacityReservations {
    capacity: ResourceVector,
    committed: ResourceVector,
    reservations: IndexMap<Token, ResourceVector>,
}

impl CapacityReservations {
    #[must_use]
    pub fn new(capacity: ResourceVector) -> Self {
        Self { capacity, ..Self::default() }
    }

    #[must_use]
    pub fn capacity(&self) -> ResourceVector {
        self.capacity
    }

    #[must_use]
    pub fn committed(&self) -> ResourceVector {
        self.committed
    }

    #[must_use]
    pub fn free(&self) -> ResourceVector {
        self.capacity.saturating_sub(self.committed)
    }

    #[must_use]
    pub fn contains(&self, token: Token) -> bool {
        self.reservations.contains_key(&token)
    }

    /// Reserves `need` under `token`; fails if it does not fit or the token is in use.
    pub fn reserve(&mut self, token: Token, need: ResourceVector) -> Result<(), CapacityError> {
        if self.reservations.contains_key(&token) {
            return Err(CapacityError::AlreadyReserved(token));
        }
        if let Some(kind) = self.free().shortage(need) {
            return Err(CapacityError::DoesNotFit(kind));
        }
        self.insert(token, need);
        Ok(())
    }

    /// Reserves `need` for a task that the worker already runs, even beyond the capacity; has
    /// no effect if the token is reserved already.
    pub fn adopt(&mut self, token: Token, need: ResourceVector) {
        if !self.reservations.contains_key(&token) {
            self.insert(token, need);
        }
    }

    /// Removes a reservation; `false` if there was none.
    pub fn release(&mut self, token: Token) -> bool {
        match self.reservations.swap_remove(&token) {
            Some(_) => {
                self.recount();
                true
            }
            None => false,
        }
    }

    fn insert(&mut self, token: Token, need: ResourceVector) {
        self.reservations.insert(token, need);
        self.recount();
    }

    /// Sums all reservations: subtracting one would be wrong if the sum had saturated.
    fn recount(&mut self) {
        let needs = self.reservations.values();
        self.committed = needs.fold(ResourceVector::ZERO, |sum, need| sum.saturating_add(*need));
    }
}
