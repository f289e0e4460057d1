//! The daemons that run on the users' platform.
//!
//! An entry takes callers' jobs; an agent runs beside each worker; one of the
//! agents owns the queues and decides placements. The decisions themselves are
//! in `cactusdoor-queue`; here they meet sockets, clocks and the store.

pub mod agent;
pub mod announcements;
pub mod args;
pub mod candidate;
pub mod check;
pub mod decision;
pub mod entry;
pub mod finder;
pub mod follower;
pub mod front;
pub mod journal;
pub mod keeper;
pub mod lane;
pub mod link;
pub mod loading;
pub mod meters;
pub mod operators;
pub mod owner;
pub mod port;
pub mod reporter;
pub mod settings;
pub mod signals;
pub mod submitter;
pub mod topic;
pub mod trace;
pub mod watcher;
