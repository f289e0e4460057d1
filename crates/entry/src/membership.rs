//! Shards, owners, agents and upstreams as owners report them, and other entries.

mod actor;
mod directory;
mod table;

pub use actor::{
    Introduce, MembersChanged, MembershipActor, MembershipParts, ShowRoom, ShowRoster, TakeRoster,
};
pub use directory::EntryDirectory;
pub use table::{MembershipTable, RosterChange, RosterVerdict};
