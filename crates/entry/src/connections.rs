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
const MAX_UNANSWERED_CALLS: u32 = 3;

/// Why a call has no answer. The agent may have run the call, except after `NotSent`.
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
    usable: Rc<Cell<bool>>,
}

#[derive(Default)]
struct ConnectionState {
    current: Option<ConnectedClient>,
    /// When the last connection attempt failed; `None` once one has succeeded.
    last_failure: Option<Instant>,
}

struct AgentConnection {
    address: SocketAddr,
    state: Mutex<ConnectionState>,
    unanswered_calls: Cell<u32>,
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
        let connected = connection.connect(deadline).await?;
        let mut context = tarpc::context::current();
        context.deadline = deadline;
        let pending = PendingCall {
            connection: &connection,
            connected: &connected,
            deadline,
            answered: false,
        };
        let answer = call(connected.client.clone(), context).await;
        pending.finish(answer)
    }

    /// Drops the connection to an agent that is no longer listed at `address`; pending
    /// calls may finish.
    pub fn close(&self, address: SocketAddr) {
        self.connections.borrow_mut().remove(&address);
    }

    fn connection(&self, address: SocketAddr) -> Rc<AgentConnection> {
        let mut connections = self.connections.borrow_mut();
        Rc::clone(connections.entry(address).or_insert_with(|| {
            let (state, unanswered_calls) = (Mutex::default(), Cell::new(0));
            Rc::new(AgentConnection { address, state, unanswered_calls })
        }))
    }
}

impl AgentConnection {
    async fn connect(&self, deadline: Instant) -> Result<ConnectedClient, ConnectionError> {
        let mut state = self.state.lock().await;
        if let Some(connected) = state.current.as_ref().filter(|connected| connected.usable.get()) {
            return Ok(connected.clone());
        }
        let now = Instant::now();
        let delayed = state.last_failure.is_some_and(|failure| now < failure + RECONNECT_DELAY);
        if delayed || now >= deadline {
            return Err(ConnectionError::NotSent(self.address));
        }
        let timeout = CONNECT_TIMEOUT.min(deadline - now);
        let result = tokio::time::timeout(timeout, connect_agent(self.address)).await;
        let Ok(Ok((client, dispatch))) = result else {
            state.last_failure = Some(Instant::now());
            return Err(ConnectionError::NotSent(self.address));
        };
        let connected = ConnectedClient { client, usable: Rc::new(Cell::new(true)) };
        let usable = Rc::clone(&connected.usable);
        actix_rt::spawn(async move {
            dispatch.await;
            usable.set(false);
        });
        state.current = Some(connected.clone());
        state.last_failure = None;
        self.unanswered_calls.set(0);
        Ok(connected)
    }
}

/// A call in progress; its future may be dropped before the answer.
struct PendingCall<'a> {
    connection: &'a AgentConnection,
    connected: &'a ConnectedClient,
    deadline: Instant,
    answered: bool,
}

impl PendingCall<'_> {
    fn finish<T>(mut self, answer: Result<T, RpcError>) -> Result<T, ConnectionError> {
        match answer {
            Ok(answer) => {
                self.answered = true;
                self.connection.unanswered_calls.set(0);
                Ok(answer)
            }
            Err(RpcError::DeadlineExceeded) => Err(ConnectionError::TimedOut),
            Err(error) => {
                self.connected.usable.set(false);
                Err(ConnectionError::Broken(error.to_string()))
            }
        }
    }
}

impl Drop for PendingCall<'_> {
    /// Counts a call that had no answer at its deadline.
    fn drop(&mut self) {
        if self.answered || Instant::now() < self.deadline {
            return;
        }
        let unanswered = self.connection.unanswered_calls.get() + 1;
        self.connection.unanswered_calls.set(unanswered);
        if unanswered >= MAX_UNANSWERED_CALLS {
            self.connected.usable.set(false);
        }
    }
}
