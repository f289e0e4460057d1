//! Appends under way, at most one per task and per job.

use std::collections::HashMap;

use cactusdoor_core::job::{JobId, TaskId};
use cactusdoor_core::name::{PlanName, VmName};
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::{Moment, Offset};
use cactusdoor_policy::placement::allowance::AllowanceBook;
use indexmap::IndexMap;

use super::action::Ticket;

/// What a record decides about.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum AppendKey {
    Claim,
    Witness,
    Job(JobId),
    Task(TaskId),
}

/// Resources held for a placement until its record is folded.
#[derive(Clone, Debug)]
pub struct PlacementHold {
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
    /// When the appender gave up finding out whether it is stored.
    unknown_since: Option<Moment>,
    hold: Option<PlacementHold>,
}

/// Appends whose records have not come back through the fold.
#[derive(Clone, Debug, Default)]
pub struct AppendTable {
    last: Ticket,
    open: IndexMap<Ticket, OpenAppend>,
    busy: HashMap<AppendKey, Ticket>,
    held: IndexMap<VmName, ResourceVector>,
    charged: AllowanceBook,
}

impl AppendTable {
    /// A number for an append that decides nothing here.
    pub fn ticket(&mut self) -> Ticket {
        self.last += 1;
        self.last
    }

    pub fn open(&mut self, key: AppendKey) -> Ticket {
        let ticket = self.ticket();
        self.busy.insert(key.clone(), ticket);
        self.open.insert(ticket, OpenAppend { key, stored: None, unknown_since: None, hold: None });
        ticket
    }

    /// Holds resources until the append is settled.
    pub fn hold(&mut self, ticket: Ticket, hold: PlacementHold) {
        if let Some(entry) = self.open.get_mut(&ticket) {
            let held = self.held.entry(hold.vm.clone()).or_default();
            *held = (*held).saturating_add(hold.need);
            self.charged.add(&hold.plan, hold.charged);
            entry.hold = Some(hold);
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
    pub fn held(&self, vm: &VmName) -> ResourceVector {
        self.held.get(vm).copied().unwrap_or_default()
    }

    /// VMs of placements that are under way.
    pub fn placing(&self) -> impl Iterator<Item = &VmName> {
        self.open.values().filter_map(|entry| entry.hold.as_ref().map(|hold| &hold.vm))
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
        let Some(entry) = self.open.swap_remove(&ticket) else { return };
        self.busy.remove(&entry.key);
        if let Some(hold) = entry.hold {
            if let Some(held) = self.held.get_mut(&hold.vm) {
                *held = held.saturating_sub(hold.need);
            }
            self.charged.remove(&hold.plan, hold.charged);
        }
    }

    /// The record of `ticket` stands at `offset`.
    pub fn stored(&mut self, ticket: Ticket, offset: Offset) {
        if let Some(entry) = self.open.get_mut(&ticket) {
            entry.stored = Some(offset);
        }
    }

    pub fn unknown(&mut self, ticket: Ticket, now: Moment) {
        if let Some(entry) = self.open.get_mut(&ticket) {
            entry.unknown_since = Some(now);
        }
    }

    /// Everything stored before `sent` was folded, so what is still open is not stored.
    pub fn settle_unknown(&mut self, sent: Moment) {
        self.settle_where(|entry| entry.unknown_since.is_some_and(|since| since < sent));
    }

    /// Settles what stands before `next` but had no effect.
    pub fn settle_before(&mut self, next: Offset) {
        self.settle_where(|entry| entry.stored.is_some_and(|offset| offset < next));
    }

    fn settle_where(&mut self, done: impl Fn(&OpenAppend) -> bool) {
        let open = self.open.iter();
        let done: Vec<Ticket> =
            open.filter(|(_, entry)| done(entry)).map(|(ticket, _)| *ticket).collect();
        for ticket in done {
            self.settle(ticket);
        }
    }

    pub fn clear(&mut self) {
        let last = self.last;
        *self = Self { last, ..Self::default() };
    }
}
