//! The membership table, the directory of entries, and replies to roster updates.

mod support;

use cactusdoor_core::constants::MEMBERSHIP_LIFETIME;
use cactusdoor_core::name::{DataCentre, RackName, ShardName, VmName};
use cactusdoor_core::unit::Moment;
use cactusdoor_entry::membership::{EntryDirectory, MembershipTable, RosterOutcome};
use cactusdoor_peer::heartbeat::AgentIdentity;
use cactusdoor_peer::roster::RosterMember;
use support::entry::{TestEntry, update};
use support::log::FakeLog;

const NOW: Moment = Moment(1_000_000);

fn member(vm: &str) -> RosterMember {
    RosterMember {
        agent: AgentIdentity {
            vm: VmName::new(vm).unwrap(),
            incarnation: 1,
            address: "127.0.0.1:1".parse().unwrap(),
            data_centre: DataCentre::new("dc1").unwrap(),
            rack: RackName::new("r1").unwrap(),
        },
        draining: false,
        upstreams: Vec::new(),
    }
}

fn members(table: &MembershipTable) -> Vec<String> {
    let views = table.view(NOW);
    views.iter().flat_map(|shard| &shard.agents).map(|agent| agent.vm.to_string()).collect()
}

fn shard() -> ShardName {
    ShardName::new("dc1-0").unwrap()
}

/// Guards against late updates of a replaced owner that overwrite the new owner's list.
#[test]
fn older_epoch_changes_nothing() {
    let mut table = MembershipTable::default();
    table.apply(update(5, 1, true, vec![member("vm1")]), NOW);
    let (outcome, change) = table.apply(update(4, 9, true, vec![member("vm2")]), NOW);
    assert_eq!(outcome, RosterOutcome::Stale { newer: 5 });
    assert!(change.is_empty());
    assert_eq!(members(&table), ["vm1"]);
}

/// Guards against applying an update to a list from which earlier updates are missing.
#[test]
fn missing_update_requires_the_full_list() {
    let mut table = MembershipTable::default();
    assert_eq!(table.apply(update(1, 7, false, vec![member("vm1")]), NOW).0, RosterOutcome::Gap);
    assert!(members(&table).is_empty());
    table.apply(update(1, 8, true, vec![member("vm1")]), NOW);
    let (outcome, _) = table.apply(update(1, 10, false, vec![member("vm2")]), NOW);
    assert_eq!(outcome, RosterOutcome::Gap);
    assert_eq!(members(&table), ["vm1"]);
    let (outcome, _) = table.apply(update(1, 9, false, vec![member("vm2")]), NOW);
    assert_eq!(outcome, RosterOutcome::Applied);
    assert_eq!(members(&table), ["vm1", "vm2"]);
}

/// Guards against a delayed update that restores an older list.
#[test]
fn repeated_update_changes_nothing() {
    let mut table = MembershipTable::default();
    table.apply(update(1, 1, true, vec![member("vm1")]), NOW);
    let mut leave = update(1, 2, false, Vec::new());
    leave.gone = vec![VmName::new("vm1").unwrap()];
    table.apply(leave, NOW);
    let (outcome, _) = table.apply(update(1, 1, true, vec![member("vm1")]), NOW);
    assert_eq!(outcome, RosterOutcome::Repeated);
    assert!(members(&table).is_empty());
}

/// Guards against a new owner that never finds agents which have not reported to
/// it: the entry retains and reports them until the owner lists them or their
/// lifetime ends.
#[test]
fn members_of_an_earlier_epoch_stay_until_their_lifetime_ends() {
    let mut table = MembershipTable::default();
    table.apply(update(1, 1, true, vec![member("vm1"), member("vm2")]), NOW);
    let (_, change) = table.apply(update(2, 1, true, vec![member("vm1")]), NOW);
    assert!(change.gone.is_empty());
    let earlier = table.earlier_members(&shard());
    assert_eq!(earlier.len(), 1);
    assert_eq!(earlier[0].vm.as_str(), "vm2");
    let later = NOW.after(MEMBERSHIP_LIFETIME + 1);
    table.apply(update(2, 2, false, Vec::new()), later);
    let change = table.expire(later);
    assert_eq!(change.gone, [VmName::new("vm2").unwrap()]);
    assert_eq!(members(&table), ["vm1"]);
}

/// Guards against routing to a shard whose owner sends no updates, and against
/// accepting updates of an earlier owner afterwards.
#[test]
fn shard_without_updates_loses_its_members_but_keeps_its_epoch() {
    let mut table = MembershipTable::default();
    table.apply(update(3, 1, true, vec![member("vm1")]), NOW);
    assert!(table.expire(NOW.after(MEMBERSHIP_LIFETIME)).is_empty());
    let late = NOW.after(MEMBERSHIP_LIFETIME + 1);
    assert_eq!(table.expire(late).gone.len(), 1);
    assert!(members(&table).is_empty());
    assert!(table.summaries(&ShardName::new("dc2-0").unwrap(), late).is_empty());
    let (outcome, _) = table.apply(update(2, 5, true, vec![member("vm1")]), late);
    assert_eq!(outcome, RosterOutcome::Stale { newer: 3 });
    let (outcome, _) = table.apply(update(3, 2, false, vec![member("vm1")]), late);
    assert_eq!(outcome, RosterOutcome::Gap);
    let (outcome, _) = table.apply(update(3, 3, true, vec![member("vm1")]), late);
    assert_eq!(outcome, RosterOutcome::Applied);
}

/// Guards against entries that keep listing a stopped entry as live.
#[test]
fn entries_without_contact_are_removed_and_seeds_are_retried() {
    let (own, seed) = ("127.0.0.1:1".parse().unwrap(), "127.0.0.1:2".parse().unwrap());
    let mut directory = EntryDirectory::new(own, vec![own, seed]);
    assert_eq!(directory.live(), [own]);
    assert_eq!(directory.targets(), [seed]);
    directory.record_contact(seed, NOW);
    directory.record_contact(own, NOW);
    assert_eq!(directory.live(), [own, seed]);
    directory.expire(NOW.after(MEMBERSHIP_LIFETIME + 1));
    assert_eq!(directory.live(), [own]);
    assert_eq!(directory.targets(), [seed]);
}

/// Guards against replies that do not report a newer epoch, a gap, earlier members or
/// other shards to the owner.
#[actix::test]
async fn roster_reply_reports_gaps_newer_epochs_and_other_shards() {
    let log = FakeLog::open();
    let entry = TestEntry::open("entry1", &log, &[]).await;
    entry.publish_plan().await;
    entry.roster(update(2, 1, true, vec![member("vm1"), member("vm2")])).await;
    let mut other = update(7, 1, true, vec![member("vm9")]);
    other.shard = ShardName::new("dc2-0").unwrap();
    other.data_centre = DataCentre::new("dc2").unwrap();
    let reply = entry.roster(other).await;
    assert_eq!(reply.entries, [entry.daemon.peer_address]);
    assert_eq!(reply.config_revision, 1);
    let shards: Vec<_> = reply.shards.iter().map(|shard| (&shard.shard, shard.epoch)).collect();
    assert_eq!(shards, [(&shard(), 2)]);

    let reply = entry.roster(update(3, 1, true, vec![member("vm1")])).await;
    let earlier: Vec<_> = reply.earlier_members.iter().map(|agent| agent.vm.as_str()).collect();
    assert_eq!((earlier, reply.needs_full, reply.newer_epoch), (vec!["vm2"], false, None));
    let reply = entry.roster(update(3, 3, false, Vec::new())).await;
    assert!(reply.needs_full);
    let reply = entry.roster(update(2, 9, true, Vec::new())).await;
    assert_eq!(reply.newer_epoch, Some(3));
}
