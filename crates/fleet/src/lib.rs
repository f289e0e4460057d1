//! The daemons that run on the users' platform.
//!
//! An entry accepts callers' jobs; an agent runs beside each worker; one of the agents is the
//! owner of the queues and places tasks. The scheduling decisions are made in
//! `cactusdoor-queue`; this crate connects them to sockets, clocks and the store.

pub mod admission;
pub mod agent;
pub mod announcements;
pub mod api;
pub mod appender;
pub mod args;
pub mod body;
pub mod candidate;
pub mod check;
pub mod connection;
pub mod connection_table;
pub mod decision;
pub mod decision_log;
pub mod entry;
pub mod explain;
pub mod finder;
pub mod follower;
pub mod guard;
pub mod head_scan;
pub mod limits;
pub mod loading;
pub mod metrics;
pub mod odd_entry;
pub mod operators;
pub mod owner;
pub mod owner_client;
pub mod queue_server;
pub mod rejections;
pub mod reporter;
pub mod room;
pub mod settings;
pub mod signals;
pub mod state_changes;
pub mod submitter;
pub mod topic;
pub mod trace;
pub mod watcher;
pub mod worker_controller;
