//! Connection to the owner of this VM's shard.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cactusdoor_peer::heartbeat::{AgentHeartbeat, HeartbeatRefusal, HeartbeatReply};
use cactusdoor_peer::{AgentServiceClient, wire};
use tarpc::context::Context;
use thiserror::Error;

/// Longest wait for the answer to a heartbeat: the time until the next one.
const BEAT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Why a heartbeat has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LinkError {
    #[error("could not connect to the owner")]
    NotConnected,
    #[error("owner did not answer")]
    NoAnswer,
}

/// Keeps one connection open, to the owner that was last called.
#[derive(Default)]
pub struct OwnerLink {
    client: RefCell<Option<(SocketAddr, AgentServiceClient)>>,
}

impl OwnerLink {
    pub async fn heartbeat(
        &self,
        address: SocketAddr,
        beat: AgentHeartbeat,
    ) -> Result<Result<HeartbeatReply, HeartbeatRefusal>, LinkError> {
        let exchange = async {
            let client = self.connect(address).await?;
            let mut context = Context::current();
            context.deadline = Instant::now() + BEAT_TIMEOUT;
            client.heartbeat(context, beat).await.map_err(|_| LinkError::NoAnswer)
        };
        let answer = tokio::time::timeout(BEAT_TIMEOUT, exchange).await;
        let answer = answer.unwrap_or(Err(LinkError::NoAnswer));
        if answer.is_err() {
            self.client.borrow_mut().take();
        }
        answer
    }

    async fn connect(&self, address: SocketAddr) -> Result<AgentServiceClient, LinkError> {
        if let Some((open, client)) = &*self.client.borrow()
            && *open == address
        {
            return Ok(client.clone());
        }
        let connected = wire::connect_agent(address).await;
        let (client, dispatch) = connected.map_err(|_| LinkError::NotConnected)?;
        actix_rt::spawn(dispatch);
        *self.client.borrow_mut() = Some((address, client.clone()));
        Ok(client)
    }
}
