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

use super::action::AppendId;

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
    last: AppendId,
    open: IndexMap<AppendId, OpenAppend>,
    busy: HashMap<AppendKey, AppendId>,
    reserved: IndexMap<VmName, ResourceVector>,
    charged: AllowanceUsage,
}

impl AppendTable {
    /// Returns an id for an append that has no key in this table.
    pub fn next_id(&mut self) -> AppendId {
        self.last += 1;
        self.last
    }

    pub fn open(&mut self, key: AppendKey) -> AppendId {
        let append_id = self.next_id();
        self.busy.insert(key.clone(), append_id);
        self.open.insert(
            append_id,
            OpenAppend { key, stored: None, unknown_since: None, reservation: None },
        );
        append_id
    }

    /// Reserves resources until the append is settled.
    pub fn reserve(&mut self, append_id: AppendId, reservation: PlacementReservation) {
        if let Some(append) = self.open.get_mut(&append_id) {
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
        if let Some(append_id) = self.busy.get(key).copied() {
            self.settle(append_id);
        }
    }

    pub fn settle(&mut self, append_id: AppendId) {
        let Some(append) = self.open.swap_remove(&append_id) else { return };
        self.busy.remove(&append.key);
        if let Some(reservation) = append.reservation {
            if let Some(reserved) = self.reserved.get_mut(&reservation.vm) {
                *reserved = reserved.saturating_sub(reservation.need);
            }
            self.charged.remove(&reservation.plan, reservation.charged);
        }
    }

    /// The append's record is stored at `offset`.
    pub fn stored(&mut self, append_id: AppendId, offset: Offset) {
        if let Some(append) = self.open.get_mut(&append_id) {
            append.stored = Some(offset);
        }
    }

    pub fn unknown(&mut self, append_id: AppendId, now: Moment) {
        if let Some(append) = self.open.get_mut(&append_id) {
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
        let done: Vec<AppendId> =
            open.filter(|(_, append)| done(append)).map(|(append_id, _)| *append_id).collect();
        for append_id in done {
            self.settle(append_id);
        }
    }

    pub fn clear(&mut self) {
        let last = self.last;
        *self = Self { last, ..Self::default() };
    }
}
