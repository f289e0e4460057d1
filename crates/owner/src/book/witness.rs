//! The witness of this owner, and what the witness of the owner before says.
//!
//! While the log can be read, leases are short. During a log outage nobody can
//! replace an owner that dies, so it grants long leases; a later owner must then
//! wait for them if it cannot reach a holder. To tell this case from an ordinary
//! one, the owner names an agent as its witness in the log and asks it to vouch
//! before the first long grant. An owner whose naming is under way, or whose
//! witness does not answer, grants short leases only.

use cactusdoor_core::constants::{
    HEARTBEAT_INTERVAL, LOG_SILENCE, OUTAGE_LEASE, OWNER_SILENCE, TASK_LEASE, with_lease_margins,
};
use cactusdoor_core::lease::{grant_term, short_term};
use cactusdoor_core::name::VmName;
use cactusdoor_core::shard::{ShardWitness, TaskRecord, WitnessId};
use cactusdoor_core::unit::{Millis, Moment, Offset};
use cactusdoor_peer::witness::{ClosingReply, VouchReply, WitnessRequest};

use super::action::{BookAction, CallOutcome};
use super::append::AppendKey;
use super::{OwnerTenure, ShardBook};

/// Age of the last confirming read from which the witness is asked to vouch.
const VOUCH_AGE: Millis = LOG_SILENCE / 2;
/// Time between two tries of a call to a witness.
const CALL_INTERVAL: Millis = HEARTBEAT_INTERVAL;
/// Longest time from the last confirming read of an owner that was not vouched
/// for to the end of its last grant.
const SHORT_GRANTS: Millis = LOG_SILENCE + TASK_LEASE;

/// What earlier owners may have granted to agents that this one cannot reach.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum EarlierGrants {
    /// Nobody owned the shard before.
    None,
    Short,
    Long,
    /// Long unless this witness denies it.
    Asking(ShardWitness),
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WitnessState {
    /// The naming whose witness vouched.
    vouched: Option<Offset>,
    /// When a witness was last called.
    called: Moment,
}

impl ShardBook {
    /// What the fold says at a claim about the grants of earlier owners.
    ///
    /// An owner names a witness only once the grants of its predecessors are
    /// over, so the newest naming speaks for all of them.
    pub(super) fn earlier_grants(&self, previous: Option<u64>) -> EarlierGrants {
        match (previous, self.fold.witness()) {
            (None, _) => EarlierGrants::None,
            (Some(epoch), Some(named)) if named.epoch == epoch => {
                EarlierGrants::Asking(named.clone())
            }
            _ => EarlierGrants::Long,
        }
    }

    /// Until when an earlier owner's grant may last.
    pub(super) fn earlier_grant(&self) -> Moment {
        let Some(tenure) = self.tenure() else { return Moment(Millis::MAX) };
        let term = match tenure.earlier {
            EarlierGrants::None => return tenure.since,
            EarlierGrants::Short => SHORT_GRANTS,
            EarlierGrants::Long | EarlierGrants::Asking(_) => OUTAGE_LEASE,
        };
        tenure.since.after(with_lease_margins(term))
    }

    /// Term of a lease granted at `now`.
    ///
    /// It ends within the time that a later owner waits after its claim. That
    /// claim lies behind the last confirming read, so the term is counted from
    /// there: an owner that is cut off from the log while others are not must
    /// not renew for ever.
    #[must_use]
    pub fn lease_term(&self, now: Moment) -> Millis {
        let Some(age) = self.tasks_view.age(now) else { return 0 };
        if self.may_grant_long() { grant_term(age) } else { short_term(age) }
    }

    /// A later owner that finds no naming waits for long grants anyway.
    fn may_grant_long(&self) -> bool {
        let named = self.own_witness().map(|named| named.naming);
        !self.appends.is_busy(&AppendKey::Witness)
            && named.is_none_or(|naming| self.witness.vouched == Some(naming))
    }

    fn own_witness(&self) -> Option<&ShardWitness> {
        let epoch = self.owned_epoch()?;
        self.fold.witness().filter(|named| named.epoch == epoch)
    }

    /// Names, asks and closes witnesses; called by the timer.
    pub(super) fn tend_witness(&mut self, now: Moment) {
        self.close_earlier(now);
        let Some(age) = self.tasks_view.age(now) else { return };
        if age >= VOUCH_AGE {
            self.ask_to_vouch(now);
        } else if self.needs_witness(now) && self.grants_are_short(now) {
            self.name_witness(now);
        }
    }

    fn close_earlier(&mut self, now: Moment) {
        let Some(OwnerTenure { earlier: EarlierGrants::Asking(named), .. }) = self.tenure() else {
            return;
        };
        let (address, request) = (named.witness.address, self.witness_request(named));
        if self.may_call(now) {
            self.act(BookAction::CloseNaming { address, request });
        }
    }

    fn ask_to_vouch(&mut self, now: Moment) {
        let Some(named) = self.own_witness() else { return };
        if self.witness.vouched == Some(named.naming) {
            return;
        }
        let (address, request) = (named.witness.address, self.witness_request(named));
        if self.may_call(now) {
            self.act(BookAction::Vouch { address, request });
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

    /// Whether there is no naming yet, its witness is gone, or it was used up.
    fn needs_witness(&self, now: Moment) -> bool {
        let Some(named) = self.own_witness() else { return true };
        let used = self.witness.vouched == Some(named.naming);
        let agent = self.agents.get(&named.witness.vm);
        used || agent.is_none_or(|agent| {
            agent.draining
                || agent.identity.incarnation != named.witness.incarnation
                || now.since(agent.last_beat) > OWNER_SILENCE
        })
    }

    /// Whether every grant under which tasks may run is a short one by now.
    fn grants_are_short(&self, now: Moment) -> bool {
        let loaded = self.index.vms().filter(|(_, load)| !load.tasks.is_empty());
        let mut used = loaded.map(|(vm, _)| vm).chain(self.appends.placing());
        used.all(|vm| self.grant_is_short(vm, now))
    }

    /// Whether the VM's agent surely holds no long lease any more.
    ///
    /// Tasks are placed only on such VMs: a naming pays no regard to idle agents,
    /// and a task started under a long lease would outlast the short wait.
    pub(super) fn grant_is_short(&self, vm: &VmName, now: Moment) -> bool {
        self.surely_over(vm) <= now.after(with_lease_margins(SHORT_GRANTS))
    }

    fn name_witness(&mut self, now: Moment) {
        let Some(epoch) = self.owned_epoch() else { return };
        if self.appends.is_busy(&AppendKey::Witness) {
            return;
        }
        if let Some(witness) = self.candidate(now) {
            let record = TaskRecord::WitnessNamed { epoch, witness };
            self.append(AppendKey::Witness, record, false);
        }
    }

    /// An agent that is unlikely to fail together with this one.
    fn candidate(&self, now: Moment) -> Option<WitnessId> {
        let own = &self.settings.identity;
        let fit = self.agents.values().filter(|agent| {
            agent.adopted
                && !agent.draining
                && agent.identity.vm != own.vm
                && now.since(agent.last_beat) <= OWNER_SILENCE
        });
        let chosen = fit
            .map(|agent| &agent.identity)
            .min_by_key(|agent| (agent.rack == own.rack, agent.vm.clone()))?;
        Some(WitnessId {
            vm: chosen.vm.clone(),
            incarnation: chosen.incarnation,
            address: chosen.address,
        })
    }

    /// Takes the answer of the own witness.
    pub fn vouch_answered(&mut self, request: &WitnessRequest, answer: CallOutcome<VouchReply>) {
        let current = self.own_witness().is_some_and(|named| named.naming == request.naming);
        if current && answer == CallOutcome::Answered(VouchReply::Vouched) {
            self.witness.vouched = Some(request.naming);
        }
    }

    /// Takes the answer of the previous owner's witness.
    pub fn naming_closed(&mut self, request: &WitnessRequest, answer: CallOutcome<ClosingReply>) {
        let super::OwnerRole::Owner(tenure) = &mut self.role else { return };
        let EarlierGrants::Asking(named) = &tenure.earlier else { return };
        if named.naming != request.naming {
            return;
        }
        tenure.earlier = match answer {
            CallOutcome::Answered(ClosingReply::NotVouched) => EarlierGrants::Short,
            CallOutcome::Answered(_) => EarlierGrants::Long,
            CallOutcome::Lost => return,
        };
    }
}
