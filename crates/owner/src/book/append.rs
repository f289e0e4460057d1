//! Appends under way, at most one per task and per job, and the resources reserved for
//! them.
//!
//! An append is settled when its record was folded, or when it is known not to be stored.

use std::collections::HashMap;

use cactusdoor_core::job::{JobId, TaskId};
use cactusdoor_core::name::{PlanName, VmName};
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::{Moment, Offset};
use cactusdoor_policy::placement::allowance::AllowanceUsage;
use indexmap::IndexMap;

use super::action::Ticket;

/// Subject of a record; only one append per key may be under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum AppendKey {
    Claim,
    Witness,
    Job(JobId),
    Task(TaskId),
}

/// Resources reserved for a placement until its record is folded.
#[derive(Clone, Debug)]
pub struct PlacementReservation {
    pub vm: VmName,
    pub need: ResourceVector,
    pub plan: PlanName,
    /// Counted against the plan's allowance.
    pub charged: ResourceVector,
}

#[derive(Clone, Debug)]
struct OpenAppend {
    key: AppendKey,
    stored: Option<Offset>,
    /// When the appender stopped trying to find out whether the record is stored.
    unknown_since: Option<Moment>,
    reservation: Option<PlacementReservation>,
}

/// Appends whose records were not read back yet.
#[derive(Clone, Debug, Default)]
pub struct AppendTable {
    last: Ticket,
    open: IndexMap<Ticket, OpenAppend>,
    busy: HashMap<AppendKey, Ticket>,
    reserved: IndexMap<VmName, ResourceVector>,
    charged: AllowanceUsage,
}

impl AppendTable {
    /// Returns an id for an append that has no key in this table.
    pub fn next_id(&mut self) -> Ticket {
        self.last += 1;
        self.last
    }

    pub fn open(&mut self, key: AppendKey) -> Ticket {
        let ticket = self.next_id();
        self.busy.insert(key.clone(), ticket);
        self.open.insert(
            ticket,
            OpenAppend { key, stored: None, unknown_since: None, reservation: None },
        );
        ticket
    }

    /// Reserves resources until the append is settled.
    pub fn reserve(&mut self, ticket: Ticket, reservation: PlacementReservation) {
        if let Some(append) = self.open.get_mut(&ticket) {
            let reserved = self.reserved.entry(reservation.vm.clone()).or_default();
            *reserved = (*reserved).saturating_add(reservation.need);
            self.charged.add(&reservation.plan, reservation.charged);
            append.reservation = Some(reservation);
        }
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    #[must_use]
    pub fn len(&self) -> usize {
        self.open.len()
    }

    #[must_use]
    pub fn is_busy(&self, key: &AppendKey) -> bool {
        self.busy.contains_key(key)
    }

    #[must_use]
    pub fn reserved(&self, vm: &VmName) -> ResourceVector {
        self.reserved.get(vm).copied().unwrap_or_default()
    }

    /// VMs of placements under way.
    pub fn placing(&self) -> impl Iterator<Item = &VmName> {
        self.open
            .values()
            .filter_map(|append| append.reservation.as_ref().map(|reservation| &reservation.vm))
    }

    #[must_use]
    pub fn charged(&self, plan: &PlanName) -> ResourceVector {
        self.charged.used(plan)
    }

    /// The record of `key` was folded, or is known not to be stored.
    pub fn settle_key(&mut self, key: &AppendKey) {
        if let Some(ticket) = self.busy.get(key).copied() {
            self.settle(ticket);
        }
    }

    pub fn settle(&mut self, ticket: Ticket) {
        let Some(append) = self.open.swap_remove(&ticket) else { return };
        self.busy.remove(&append.key);
        if let Some(reservation) = append.reservation {
            if let Some(reserved) = self.reserved.get_mut(&reservation.vm) {
                *reserved = reserved.saturating_sub(reservation.need);
            }
            self.charged.remove(&reservation.plan, reservation.charged);
        }
    }

    /// The append's record is stored at `offset`.
    pub fn stored(&mut self, ticket: Ticket, offset: Offset) {
        if let Some(append) = self.open.get_mut(&ticket) {
            append.stored = Some(offset);
        }
    }

    pub fn unknown(&mut self, ticket: Ticket, now: Moment) {
        if let Some(append) = self.open.get_mut(&ticket) {
            append.unknown_since = Some(now);
        }
    }

    /// Settles appends of unknown outcome: everything stored before `sent` was folded, so
    /// those still open are not stored.
    pub fn settle_unknown(&mut self, sent: Moment) {
        self.settle_where(|append| append.unknown_since.is_some_and(|since| since < sent));
    }

    /// Settles appends stored before `next`, whose records were folded without effect.
    pub fn settle_before(&mut self, next: Offset) {
        self.settle_where(|append| append.stored.is_some_and(|offset| offset < next));
    }

    fn settle_where(&mut self, done: impl Fn(&OpenAppend) -> bool) {
        let open = self.open.iter();
        let done: Vec<Ticket> =
            open.filter(|(_, append)| done(append)).map(|(ticket, _)| *ticket).collect();
        for ticket in done {
            self.settle(ticket);
        }
    }

    pub fn clear(&mut self) {
        let last = self.last;
        *self = Self { last, ..Self::default() };
    }
}
