//! Lease durations, and the witness that records whether an owner granted long leases.
//!
//! While the log can be read, leases are short. During a log outage nobody can replace an
//! owner that dies, so the owner grants long leases. A later owner cannot end the tasks
//! of an agent that it does not reach before the leases of earlier owners have expired,
//! and needs to know whether to wait for short or for long ones.
//!
//! For this, an owner appends a naming: a record that names one agent as its witness.
//! Before the first long lease it asks the witness to attest the naming, which means that
//! long leases may exist. A later owner asks the witness to close the naming: the witness
//! answers whether it attested, and does not attest this naming afterwards. If it did not
//! attest, the later owner waits for short leases, otherwise for long ones.
//!
//! An owner whose naming is being appended, or whose witness does not answer, grants
//! short leases only. An owner without a naming may grant long leases.

use cactusdoor_core::constants::{
    HEARTBEAT_INTERVAL, LOG_TIMEOUT, OUTAGE_LEASE, OWNER_TIMEOUT, TASK_LEASE, with_lease_margins,
};
use cactusdoor_core::lease::{lease_duration, short_lease_duration};
use cactusdoor_core::name::VmName;
use cactusdoor_core::shard::{ShardWitness, TaskRecord, WitnessId};
use cactusdoor_core::unit::{Millis, Moment, Offset};
use cactusdoor_peer::witness::{AttestReply, ClosingReply, WitnessRequest};

use super::action::{CallOutcome, SchedulerAction};
use super::append::AppendKey;
use super::{OwnerTenure, ShardScheduler};

/// Age of the last confirming read from which the witness is asked to attest.
const ATTEST_AGE: Millis = LOG_TIMEOUT / 2;
/// Time between two attempts to call a witness.
const CALL_INTERVAL: Millis = HEARTBEAT_INTERVAL;
/// Longest time from the last confirming read of an owner without an attestation to the
/// end of the last lease that it grants.
const SHORT_LEASE_SPAN: Millis = LOG_TIMEOUT + TASK_LEASE;

/// Longest leases that earlier owners may have granted to agents that this owner cannot
/// reach.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum EarlierLeases {
    /// No earlier owner.
    None,
    Short,
    Long,
    /// Long unless this witness says that it did not attest.
    Unconfirmed(ShardWitness),
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WitnessState {
    /// Offset of the naming whose witness attested.
    attested: Option<Offset>,
    /// When a witness was last called.
    called: Moment,
}

impl ShardScheduler {
    /// Leases of earlier owners, as the fold shows them at a claim.
    ///
    /// An owner names a witness only after the leases of its predecessors have expired,
    /// so the newest naming covers all of them.
    pub(super) fn earlier_leases(&self, previous: Option<u64>) -> EarlierLeases {
        match (previous, self.fold.witness()) {
            (None, _) => EarlierLeases::None,
            (Some(epoch), Some(named)) if named.epoch == epoch => {
                EarlierLeases::Unconfirmed(named.clone())
            }
            _ => EarlierLeases::Long,
        }
    }

    /// Time until which a lease granted by an earlier owner may last.
    pub(super) fn earlier_lease_end(&self) -> Moment {
        let Some(tenure) = self.tenure() else { return Moment(Millis::MAX) };
        let duration = match tenure.earlier {
            EarlierLeases::None => return tenure.since,
            EarlierLeases::Short => SHORT_LEASE_SPAN,
            EarlierLeases::Long | EarlierLeases::Unconfirmed(_) => OUTAGE_LEASE,
        };
        tenure.since.after(with_lease_margins(duration))
    }

    /// Duration of a lease granted at `now`.
    ///
    /// The lease ends within the time that a later owner waits after its claim. That
    /// claim comes after the last confirming read, so the duration counts from there.
    /// Otherwise an owner that alone is cut off from the log could renew leases for ever.
    #[must_use]
    pub fn lease_duration(&self, now: Moment) -> Millis {
        let Some(age) = self.tasks_view.age(now) else { return 0 };
        if self.may_grant_long() { lease_duration(age) } else { short_lease_duration(age) }
    }

    /// Long leases need no attestation without a naming, because a later owner that finds
    /// none waits for long leases anyway.
    fn may_grant_long(&self) -> bool {
        let named = self.own_witness().map(|named| named.naming);
        !self.appends.is_busy(&AppendKey::Witness)
            && named.is_none_or(|naming| self.witness.attested == Some(naming))
    }

    fn own_witness(&self) -> Option<&ShardWitness> {
        let epoch = self.owned_epoch()?;
        self.fold.witness().filter(|named| named.epoch == epoch)
    }

    /// Names and calls witnesses; called by the timer.
    pub(super) fn maintain_witness(&mut self, now: Moment) {
        self.call_earlier_witness(now);
        let Some(age) = self.tasks_view.age(now) else { return };
        if age >= ATTEST_AGE {
            self.request_attestation(now);
        } else if self.needs_witness(now) && self.leases_are_short(now) {
            self.name_witness(now);
        }
    }

    fn call_earlier_witness(&mut self, now: Moment) {
        let Some(OwnerTenure { earlier: EarlierLeases::Unconfirmed(named), .. }) = self.tenure()
        else {
            return;
        };
        let (address, request) = (named.witness.address, self.witness_request(named));
        if self.may_call(now) {
            self.push_action(SchedulerAction::CloseNaming { address, request });
        }
    }

    fn request_attestation(&mut self, now: Moment) {
        let Some(named) = self.own_witness() else { return };
        if self.witness.attested == Some(named.naming) {
            return;
        }
        let (address, request) = (named.witness.address, self.witness_request(named));
        if self.may_call(now) {
            self.push_action(SchedulerAction::Attest { address, request });
        }
    }

    fn may_call(&mut self, now: Moment) -> bool {
        let due = now.since(self.witness.called) >= CALL_INTERVAL;
        if due {
            self.witness.called = now;
        }
        due
    }

    fn witness_request(&self, named: &ShardWitness) -> WitnessRequest {
        WitnessRequest {
            shard: self.settings.shard.clone(),
            naming: named.naming,
            incarnation: named.witness.incarnation,
        }
    }

    /// Whether there is no naming yet, or its witness is gone or has attested already.
    fn needs_witness(&self, now: Moment) -> bool {
        let Some(named) = self.own_witness() else { return true };
        let used = self.witness.attested == Some(named.naming);
        let agent = self.agents.get(&named.witness.vm);
        used || agent.is_none_or(|agent| {
            agent.draining
                || agent.identity.incarnation != named.witness.incarnation
                || now.since(agent.last_heartbeat) > OWNER_TIMEOUT
        })
    }

    /// Whether the leases of all VMs with tasks are short by now.
    fn leases_are_short(&self, now: Moment) -> bool {
        let loaded = self.index.vms().filter(|(_, load)| !load.tasks.is_empty());
        let mut used = loaded.map(|(vm, _)| vm).chain(self.appends.placing());
        used.all(|vm| self.lease_is_short(vm, now))
    }

    /// Whether the VM's agent certainly holds no long lease any more.
    ///
    /// Tasks are placed only on such VMs: a naming ignores idle agents, and a task
    /// started under a long lease would outlast the short wait of a later owner.
    pub(super) fn lease_is_short(&self, vm: &VmName, now: Moment) -> bool {
        self.certain_expiry(vm) <= now.after(with_lease_margins(SHORT_LEASE_SPAN))
    }

    fn name_witness(&mut self, now: Moment) {
        let Some(epoch) = self.owned_epoch() else { return };
        if self.appends.is_busy(&AppendKey::Witness) {
            return;
        }
        if let Some(witness) = self.choose_witness(now) {
            let record = TaskRecord::WitnessNamed { epoch, witness };
            self.append(AppendKey::Witness, record, false);
        }
    }

    /// Chooses an agent that is unlikely to fail together with this one.
    fn choose_witness(&self, now: Moment) -> Option<WitnessId> {
        let own = &self.settings.identity;
        let candidates = self.agents.values().filter(|agent| {
            agent.adopted
                && !agent.draining
                && agent.identity.vm != own.vm
                && now.since(agent.last_heartbeat) <= OWNER_TIMEOUT
        });
        let chosen = candidates
            .map(|agent| &agent.identity)
            .min_by_key(|agent| (agent.rack == own.rack, agent.vm.clone()))?;
        Some(WitnessId {
            vm: chosen.vm.clone(),
            incarnation: chosen.incarnation,
            address: chosen.address,
        })
    }

    /// Handles the answer of this owner's witness.
    pub fn attest_answered(&mut self, request: &WitnessRequest, answer: CallOutcome<AttestReply>) {
        let current = self.own_witness().is_some_and(|named| named.naming == request.naming);
        if current && answer == CallOutcome::Answered(AttestReply::Attested) {
            self.witness.attested = Some(request.naming);
        }
    }

    /// Handles the answer of the previous owner's witness.
    pub fn naming_closed(&mut self, request: &WitnessRequest, answer: CallOutcome<ClosingReply>) {
        let super::OwnerRole::Owner(tenure) = &mut self.role else { return };
        let EarlierLeases::Unconfirmed(named) = &tenure.earlier else { return };
        if named.naming != request.naming {
            return;
        }
        tenure.earlier = match answer {
            CallOutcome::Answered(ClosingReply::NotAttested) => EarlierLeases::Short,
            CallOutcome::Answered(_) => EarlierLeases::Long,
            CallOutcome::Lost => return,
        };
    }
}
