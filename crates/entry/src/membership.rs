//! Shards, owners, agents and upstreams as owners report them, and the other live entries.

mod actor;
mod directory;
mod table;

pub use actor::{
    ApplyRoster, GetCapacity, GetRoster, Introduce, MembersChanged, MembershipActor,
    MembershipParts,
};
pub use directory::EntryDirectory;
pub use table::{MembershipTable, RosterChange, RosterOutcome};
