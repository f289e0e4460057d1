//! RPC client that sends heartbeats to the owner of this VM's shard.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cactusdoor_peer::heartbeat::{AgentHeartbeat, HeartbeatRefusal, HeartbeatReply};
use cactusdoor_peer::{AgentServiceClient, wire};
use tarpc::context::Context;
use thiserror::Error;

/// Longest wait for the answer to a heartbeat: the heartbeat interval.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Why a heartbeat got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HeartbeatError {
    #[error("could not connect to the owner")]
    NotConnected,
    #[error("owner did not answer")]
    NoAnswer,
}

/// Keeps one connection open, to the owner that was called last.
#[derive(Default)]
pub struct OwnerClient {
    connection: RefCell<Option<(SocketAddr, AgentServiceClient)>>,
}

impl OwnerClient {
    pub async fn heartbeat(
        &self,
        address: SocketAddr,
        heartbeat: AgentHeartbeat,
    ) -> Result<Result<HeartbeatReply, HeartbeatRefusal>, HeartbeatError> {
        let exchange = async {
            let client = self.connect(address).await?;
            let mut context = Context::current();
            context.deadline = Instant::now() + HEARTBEAT_TIMEOUT;
            client.heartbeat(context, heartbeat).await.map_err(|_| HeartbeatError::NoAnswer)
        };
        let answer = tokio::time::timeout(HEARTBEAT_TIMEOUT, exchange).await;
        let answer = answer.unwrap_or(Err(HeartbeatError::NoAnswer));
        if answer.is_err() {
            self.connection.borrow_mut().take();
        }
        answer
    }

    async fn connect(&self, address: SocketAddr) -> Result<AgentServiceClient, HeartbeatError> {
        if let Some((connected, client)) = &*self.connection.borrow()
            && *connected == address
        {
            return Ok(client.clone());
        }
        let connected = wire::connect_agent(address).await;
        let (client, dispatch) = connected.map_err(|_| HeartbeatError::NotConnected)?;
        actix_rt::spawn(dispatch);
        *self.connection.borrow_mut() = Some((address, client.clone()));
        Ok(client)
    }
}
