//! The agent: the process on each VM beside the upstreams and the platform worker.
//!
//! Only the agent reserves the VM's capacity, starts and stops its tasks and forwards
//! requests to its upstreams. Modules without I/O or clock decide: [`lifecycle`],
//! [`table`] and [`manager`] about tasks, [`claims`] and [`admission`] about requests.
//! The actors [`task_actor`] and [`relay`] carry the decisions out. [`service`] offers
//! them to other processes, and [`daemon`] starts and stops all parts.

pub mod admission;
pub mod args;
pub mod claims;
pub mod daemon;
pub mod heartbeats;
pub mod lifecycle;
pub mod maintenance;
pub mod manager;
pub mod metrics;
pub mod owner_client;
pub mod ownership;
pub mod relay;
pub mod routes;
pub mod service;
pub mod table;
pub mod task_actor;
