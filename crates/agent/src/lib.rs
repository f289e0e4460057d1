//! The agent: the process beside each upstream and platform worker.
//!
//! It alone commits the VM's capacity, starts and stops tasks and forwards
//! requests. Decisions are made by modules without I/O or clock: [`life`],
//! [`table`] and [`manager`] for tasks, [`ledger`] and [`admission`] for requests.
//! The actors [`task_actor`] and [`relay`] carry them out, [`service`] offers them
//! to other processes and [`daemon`] ties the parts together.

pub mod admission;
pub mod args;
pub mod daemon;
pub mod heartbeats;
pub mod ledger;
pub mod life;
pub mod link;
pub mod manager;
pub mod metrics;
pub mod ownership;
pub mod relay;
pub mod routes;
pub mod service;
pub mod table;
pub mod task_actor;
pub mod upkeep;
