//! RPC service of the agent: accepts connections and passes calls to the actors.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use actix::{Addr, Recipient};
use cactusdoor_core::job::StartRefusal;
use cactusdoor_owner::HostHeartbeat;
use cactusdoor_peer::AgentService;
use cactusdoor_peer::answer::{
    CallFailure, ClaimDelivery, ClaimFence, DeliveryFailure, FenceReply, UpstreamAnswer,
    UpstreamCall,
};
use cactusdoor_peer::heartbeat::{AgentHeartbeat, HeartbeatRefusal, HeartbeatReply, OwnerNotice};
use cactusdoor_peer::task::{StopReply, TaskRefusal, TaskStart, TaskStop};
use cactusdoor_peer::wire::{MAX_FRAME_BYTES, disable_nagle};
use cactusdoor_peer::witness::{AttestReply, ClosingReply, WitnessRequest};
use cactusdoor_timeline::EventLog;
use futures::StreamExt;
use tarpc::context::Context;
use tarpc::serde_transport::tcp;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;

use crate::relay::{DeliverClaim, FenceClaim, ForwardCall, RequestRelay};
use crate::task_actor::{AnnounceOwner, StartTasks, StopTasks, TaskActor};
use cactusdoor_owner::witness::AttestationRecords;

/// Passes calls to the actors; cloned for each request.
#[derive(Clone)]
pub struct AgentServer {
    pub task_actor: Addr<TaskActor>,
    pub relay: Addr<RequestRelay>,
    pub host: Recipient<HostHeartbeat>,
    pub events: EventLog,
    pub witness: Arc<Mutex<AttestationRecords>>,
}

impl AgentServer {
    /// Binds `address`; the returned service does not accept connections yet.
    pub async fn bind(address: SocketAddr) -> io::Result<BoundService> {
        let mut incoming = tcp::listen(address, Bincode::default).await?;
        incoming.config_mut().max_frame_length(MAX_FRAME_BYTES);
        let address = incoming.local_addr();
        let accept = move |server: Self| {
            actix_rt::spawn(async move {
                while let Some(accepted) = incoming.next().await {
                    match accepted {
                        Ok(transport) => {
                            if let Err(error) = disable_nagle(transport.get_ref()) {
                                log::debug!("could not set TCP_NODELAY: {error}");
                            }
                            let requests = BaseChannel::with_defaults(transport);
                            let responses = requests.execute(server.clone().serve());
                            actix_rt::spawn(responses.for_each(|response| async {
                                actix_rt::spawn(response);
                            }));
                        }
                        Err(error) => log::warn!("could not accept a connection: {error}"),
                    }
                }
            });
        };
        Ok(BoundService { address, accept: Box::new(accept) })
    }
}

/// A bound address that does not accept connections yet.
pub struct BoundService {
    pub address: SocketAddr,
    accept: Box<dyn FnOnce(AgentServer)>,
}

impl BoundService {
    /// Starts to accept connections.
    pub fn spawn(self, server: AgentServer) {
        (self.accept)(server);
    }
}

impl AgentService for AgentServer {
    async fn heartbeat(
        self,
        _: Context,
        heartbeat: AgentHeartbeat,
    ) -> Result<HeartbeatReply, HeartbeatRefusal> {
        self.events.observe(heartbeat.at);
        let shard = heartbeat.shard.clone();
        let stopped = HeartbeatRefusal::NotOwner { shard, epoch: 0, owner: None };
        self.host.send(HostHeartbeat(heartbeat)).await.unwrap_or(Err(stopped))
    }

    async fn announce_owner(self, _: Context, notice: OwnerNotice) {
        if self.task_actor.send(AnnounceOwner(notice)).await.is_err() {
            log::error!("task actor has stopped; dropping the announcement of an owner");
        }
    }

    async fn vouch(self, _: Context, request: WitnessRequest) -> AttestReply {
        self.witness.lock().unwrap_or_else(PoisonError::into_inner).attest(&request)
    }

    async fn close_naming(self, _: Context, request: WitnessRequest) -> ClosingReply {
        self.witness.lock().unwrap_or_else(PoisonError::into_inner).close(&request)
    }

    async fn start(self, _: Context, starts: Vec<TaskStart>) -> Vec<Result<(), StartRefusal>> {
        let count = starts.len();
        let results = self.task_actor.send(StartTasks(starts)).await;
        results.unwrap_or_else(|_| vec![Err(StartRefusal::NotReady); count])
    }

    async fn stop(self, _: Context, stops: Vec<TaskStop>) -> Vec<Result<StopReply, TaskRefusal>> {
        let count = stops.len();
        let results = self.task_actor.send(StopTasks(stops)).await;
        results.unwrap_or_else(|_| vec![Err(TaskRefusal::NotReady); count])
    }

    async fn call(self, _: Context, call: UpstreamCall) -> Result<UpstreamAnswer, CallFailure> {
        self.relay.send(ForwardCall(call)).await.unwrap_or(Err(CallFailure::Broken))
    }

    async fn deliver(
        self,
        _: Context,
        delivery: ClaimDelivery,
    ) -> Result<UpstreamAnswer, DeliveryFailure> {
        self.relay.send(DeliverClaim(delivery)).await.unwrap_or(Err(DeliveryFailure::Unknown))
    }

    async fn fence(self, _: Context, fence: ClaimFence) -> FenceReply {
        self.relay.send(FenceClaim(fence)).await.unwrap_or(FenceReply::InProgress)
    }
}
