//! Operator routes of the agent: status and configuration, as JSON.

use std::net::SocketAddr;

use actix::Addr;
use actix_web::web::{Data, ServiceConfig, get};
use actix_web::{HttpResponse, Responder};
use cactusdoor_core::name::ShardName;
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::{Epoch, Millis, Revision};
use cactusdoor_peer::heartbeat::{AgentIdentity, EndedTask, HeldTask};
use serde::Serialize;

use crate::task_actor::{DescribeAgent, DescribeConfig, TaskActor};

/// `GET /v1/agent`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct AgentReport {
    pub agent: AgentIdentity,
    pub shard: ShardName,
    pub epoch: Epoch,
    pub owner: Option<SocketAddr>,
    pub lease_left_ms: Millis,
    pub draining: bool,
    pub inventory_taken: bool,
    pub capacity: ResourceVector,
    pub committed: ResourceVector,
    pub held: Vec<HeldTask>,
    /// Ends that the owner has not recorded yet.
    pub ended: Vec<EndedTask>,
}

/// `GET /v1/config`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct ConfigReport {
    pub revision: Revision,
    /// Absent before the first confirmation.
    pub confirmed_age_ms: Option<Millis>,
}

/// Adds `/v1/agent` and `/v1/config` to a server.
pub fn configure(config: &mut ServiceConfig, task_actor: Addr<TaskActor>) {
    config
        .app_data(Data::new(task_actor))
        .route("/v1/agent", get().to(agent))
        .route("/v1/config", get().to(configuration));
}

async fn agent(task_actor: Data<Addr<TaskActor>>) -> impl Responder {
    match task_actor.send(DescribeAgent).await {
        Ok(report) => HttpResponse::Ok().json(report),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn configuration(task_actor: Data<Addr<TaskActor>>) -> impl Responder {
    match task_actor.send(DescribeConfig).await {
        Ok(report) => HttpResponse::Ok().json(report),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}
