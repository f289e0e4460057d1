//! What is committed on one VM.
//!
//! Only the agent beside the worker changes this book, so two owners that both
//! believe to hold the shard cannot overcommit the VM.

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
    Reserved(Token),
}

/// Reservations of a VM, by fencing token.
#[derive(Clone, Debug, Default)]
pub struct CapacityBook {
    capacity: ResourceVector,
    committed: ResourceVector,
    reservations: IndexMap<Token, ResourceVector>,
}

impl CapacityBook {
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
    pub fn holds(&self, token: Token) -> bool {
        self.reservations.contains_key(&token)
    }

    /// Reserves `need` under `token`.
    pub fn reserve(&mut self, token: Token, need: ResourceVector) -> Result<(), CapacityError> {
        if self.reservations.contains_key(&token) {
            return Err(CapacityError::Reserved(token));
        }
        if let Some(kind) = self.free().shortage(need) {
            return Err(CapacityError::DoesNotFit(kind));
        }
        self.enter(token, need);
        Ok(())
    }

    /// Enters what already runs, as reported by the worker after a restart.
    pub fn adopt(&mut self, token: Token, need: ResourceVector) {
        if !self.reservations.contains_key(&token) {
            self.enter(token, need);
        }
    }

    /// Frees a reservation; `false` if there was none.
    pub fn release(&mut self, token: Token) -> bool {
        match self.reservations.swap_remove(&token) {
            Some(_) => {
                self.recount();
                true
            }
            None => false,
        }
    }

    fn enter(&mut self, token: Token, need: ResourceVector) {
        self.reservations.insert(token, need);
        self.recount();
    }

    /// Sums up anew: a difference would be wrong after a sum that saturated.
    fn recount(&mut self) {
        let needs = self.reservations.values();
        self.committed = needs.fold(ResourceVector::ZERO, |sum, need| sum.saturating_add(*need));
    }
}
