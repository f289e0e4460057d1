//! Connections to agents and entries, opened on first use and kept.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cactusdoor_peer::wire::{connect_agent, connect_entry};
use cactusdoor_peer::{AgentServiceClient, EntryServiceClient};
use tarpc::context::Context;
use thiserror::Error;
use tokio::time::timeout;

/// Longest wait for a connection, and for an answer to a short call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for the answer to starts and stops: a stop includes a checkpoint.
pub const TASK_CALL_TIMEOUT: Duration = Duration::from_secs(8);

/// Reason why a call has no answer; it may have been carried out.
#[derive(Debug, Error)]
pub enum CallError {
    #[error("could not connect to {0}")]
    NotConnected(SocketAddr),
    #[error("no answer from {0}")]
    NoAnswer(SocketAddr),
}

/// Open connections by address.
#[derive(Default)]
pub struct PeerPool {
    agents: RefCell<HashMap<SocketAddr, AgentServiceClient>>,
    entries: RefCell<HashMap<SocketAddr, EntryServiceClient>>,
}

macro_rules! connect {
    ($pool:expr, $connect:path, $address:expr) => {{
        let known = $pool.borrow().get(&$address).cloned();
        match known {
            Some(client) => Ok(client),
            None => match timeout(CALL_TIMEOUT, $connect($address)).await {
                Ok(Ok((client, dispatch))) => {
                    actix_rt::spawn(dispatch);
                    $pool.borrow_mut().insert($address, client.clone());
                    Ok(client)
                }
                _ => Err(CallError::NotConnected($address)),
            },
        }
    }};
}

impl PeerPool {
    pub async fn agent(&self, address: SocketAddr) -> Result<AgentServiceClient, CallError> {
        connect!(self.agents, connect_agent, address)
    }

    pub async fn entry(&self, address: SocketAddr) -> Result<EntryServiceClient, CallError> {
        connect!(self.entries, connect_entry, address)
    }

    /// Returns the result of a call, and drops the connection if there is no answer.
    pub fn answer<T, E>(&self, address: SocketAddr, result: Result<T, E>) -> Result<T, CallError> {
        result.map_err(|_| {
            self.agents.borrow_mut().remove(&address);
            self.entries.borrow_mut().remove(&address);
            CallError::NoAnswer(address)
        })
    }
}

/// Context of a short call.
#[must_use]
pub fn short_call() -> Context {
    call_within(CALL_TIMEOUT)
}

/// Context of a call that may take up to `limit`.
#[must_use]
pub fn call_within(limit: Duration) -> Context {
    let mut context = Context::current();
    context.deadline = Instant::now() + limit;
    context
}
