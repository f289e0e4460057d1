//! The agent: the process beside each upstream and platform worker.
//!
//! It alone commits the VM's capacity, starts and stops tasks and forwards
//! requests. Decisions are made by modules without I/O or clock: [`life`],
//! [`table`] and [`board`] for tasks, [`ledger`] and [`admission`] for requests.
//! The actors [`keeper`] and [`relay`] carry them out, [`service`] offers them
//! to other processes and [`daemon`] ties the parts together.

pub mod admission;
pub mod args;
pub mod board;
pub mod daemon;
pub mod keeper;
pub mod ledger;
pub mod life;
pub mod link;
pub mod metrics;
pub mod ownership;
pub mod pulse;
pub mod relay;
pub mod routes;
pub mod service;
pub mod table;
pub mod upkeep;
