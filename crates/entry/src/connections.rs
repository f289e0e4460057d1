//! Connections to agents: one per agent address, shared by all calls and reopened
//! after a failure.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cactusdoor_peer::AgentServiceClient;
use cactusdoor_peer::wire::connect_agent;
use tarpc::client::RpcError;
use tarpc::context::Context;
use thiserror::Error;
use tokio::sync::Mutex;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after a failed connection attempt during which calls fail immediately.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Consecutive calls without an answer after which a connection counts as half-open
/// and is replaced.
const MAX_SILENT_CALLS: u32 = 3;

/// Why a call has no answer. Unless nothing was sent, the agent may have run it.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConnectionError {
    /// There was no connection, so nothing was sent.
    #[error("could not connect to agent at {0}")]
    NotSent(SocketAddr),
    #[error("connection to agent broke: {0}")]
    Broken(String),
    #[error("agent did not answer in time")]
    TimedOut,
}

#[derive(Clone)]
struct ConnectedClient {
    client: AgentServiceClient,
    /// Cleared when the connection has broken or counts as half-open.
    alive: Rc<Cell<bool>>,
}

#[derive(Default)]
struct ConnectionState {
    live: Option<ConnectedClient>,
    /// When the last connection attempt failed.
    failed: Option<Instant>,
}

struct AgentConnection {
    address: SocketAddr,
    state: Mutex<ConnectionState>,
    silent_calls: Cell<u32>,
}

/// All connections to agents, used on one thread.
#[derive(Clone, Default)]
pub struct AgentConnections {
    connections: Rc<RefCell<HashMap<SocketAddr, Rc<AgentConnection>>>>,
}

impl AgentConnections {
    /// Calls the agent at `address`; nothing is sent after `deadline`.
    pub async fn call<T, C>(
        &self,
        address: SocketAddr,
        deadline: Instant,
        call: impl FnOnce(AgentServiceClient, Context) -> C,
    ) -> Result<T, ConnectionError>
    where
        C: Future<Output = Result<T, RpcError>>,
    {
        let connection = self.connection(address);
        let live = connection.connect(deadline).await?;
        let mut context = tarpc::context::current();
        context.deadline = deadline;
        let pending =
            PendingCall { connection: &connection, live: &live, deadline, answered: false };
        let answer = call(live.client.clone(), context).await;
        pending.finish(answer)
    }

    /// Drops the connection to an agent that is gone; pending calls may finish.
    pub fn close(&self, address: SocketAddr) {
        self.connections.borrow_mut().remove(&address);
    }

    fn connection(&self, address: SocketAddr) -> Rc<AgentConnection> {
        let mut connections = self.connections.borrow_mut();
        Rc::clone(connections.entry(address).or_insert_with(|| {
            let (state, silent_calls) = (Mutex::default(), Cell::new(0));
            Rc::new(AgentConnection { address, state, silent_calls })
        }))
    }
}

impl AgentConnection {
    async fn connect(&self, deadline: Instant) -> Result<ConnectedClient, ConnectionError> {
        let mut state = self.state.lock().await;
        if let Some(live) = state.live.as_ref().filter(|live| live.alive.get()) {
            return Ok(live.clone());
        }
        let now = Instant::now();
        let paused = state.failed.is_some_and(|failed| now < failed + RECONNECT_DELAY);
        if paused || now >= deadline {
            return Err(ConnectionError::NotSent(self.address));
        }
        let limit = CONNECT_TIMEOUT.min(deadline - now);
        let connected = tokio::time::timeout(limit, connect_agent(self.address)).await;
        let Ok(Ok((client, dispatch))) = connected else {
            state.failed = Some(Instant::now());
            return Err(ConnectionError::NotSent(self.address));
        };
        let live = ConnectedClient { client, alive: Rc::new(Cell::new(true)) };
        let alive = Rc::clone(&live.alive);
        actix_rt::spawn(async move {
            dispatch.await;
            alive.set(false);
        });
        state.live = Some(live.clone());
        state.failed = None;
        self.silent_calls.set(0);
        Ok(live)
    }
}

/// A call in progress; its future may be dropped before the answer.
struct PendingCall<'a> {
    connection: &'a AgentConnection,
    live: &'a ConnectedClient,
    deadline: Instant,
    answered: bool,
}

impl PendingCall<'_> {
    fn finish<T>(mut self, answer: Result<T, RpcError>) -> Result<T, ConnectionError> {
        match answer {
            Ok(answer) => {
                self.answered = true;
                self.connection.silent_calls.set(0);
                Ok(answer)
            }
            Err(RpcError::DeadlineExceeded) => Err(ConnectionError::TimedOut),
            Err(error) => {
                self.live.alive.set(false);
                Err(ConnectionError::Broken(error.to_string()))
            }
        }
    }
}

impl Drop for PendingCall<'_> {
    /// Counts a call without an answer by its deadline.
    fn drop(&mut self) {
        if self.answered || Instant::now() < self.deadline {
            return;
        }
        let silent = self.connection.silent_calls.get() + 1;
        self.connection.silent_calls.set(silent);
        if silent >= MAX_SILENT_CALLS {
            self.live.alive.set(false);
        }
    }
}
