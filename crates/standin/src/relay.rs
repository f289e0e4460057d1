//! A TCP relay that delays and interrupts traffic between two processes.
//!
//! A cut holds bytes back and forwards them once it ends, as TCP does by
//! retransmission after a network outage. It keeps connections open; a reset
//! closes them.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use actix_web::HttpResponse;
use actix_web::rt::spawn;
use actix_web::web::{Data, Json, ServiceConfig, get, post};
use cactusdoor_core::unit::Millis;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until};

use crate::server::RunningServer;
use crate::socket::bind_listener;

const CHUNK_BYTES: usize = 64 * 1024;
/// Chunks buffered in one direction of a connection.
const CHUNKS_IN_FLIGHT: usize = 256;
/// Time between two attempts to bind the address again after a refusal.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Injected faults; setting them replaces all earlier ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayFault {
    /// One-way delay, in both directions.
    pub delay_ms: Millis,
    /// Holds back what clients send.
    pub cut_forward: bool,
    /// Holds back what the target sends.
    pub cut_back: bool,
    /// Refuses new connections.
    pub refuse: bool,
}

impl RelayFault {
    /// A fault that cuts both directions.
    #[must_use]
    pub fn partition() -> Self {
        Self { cut_forward: true, cut_back: true, ..Self::default() }
    }
}

/// Faults and resets that apply to all connections of a relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct RelayState {
    fault: RelayFault,
    /// Number of resets; connections close when it changes.
    resets: u64,
    closed: bool,
}

/// Handle to a running relay; dropping it closes all connections.
pub struct TcpRelay {
    address: SocketAddr,
    state: Arc<watch::Sender<RelayState>>,
    thread: Option<JoinHandle<()>>,
}

impl TcpRelay {
    /// Relays connections from `address` to `target`; port 0 selects a free one.
    pub fn spawn(address: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = bind_listener(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let state = Arc::new(watch::Sender::new(RelayState::default()));
        let states = state.subscribe();
        let thread = std::thread::spawn(move || {
            actix_web::rt::System::new().block_on(async move {
                if let Err(error) = serve(listener, address, target, states).await {
                    log::error!("relay at {address} ended: {error}");
                }
            });
        });
        Ok(Self { address, state, thread: Some(thread) })
    }

    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn set_fault(&self, fault: RelayFault) {
        self.state.send_modify(|state| state.fault = fault);
    }

    /// Closes all connections; new ones are accepted.
    pub fn reset(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }

    /// Serves `/fault` and `/reset` on `address`.
    pub fn serve_control(&self, address: SocketAddr) -> io::Result<RunningServer> {
        let state = Data::from(self.state.clone());
        RunningServer::spawn(address, 1, move |config| configure(config, state.clone()))
    }
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.state.send_modify(|state| state.closed = true);
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

fn configure(config: &mut ServiceConfig, state: Data<watch::Sender<RelayState>>) {
    config
        .app_data(state)
        .route("/fault", post().to(set_fault))
        .route("/fault", get().to(fault))
        .route("/reset", post().to(reset));
}

async fn set_fault(
    state: Data<watch::Sender<RelayState>>,
    fault: Json<RelayFault>,
) -> HttpResponse {
    state.send_modify(|state| state.fault = *fault);
    HttpResponse::NoContent().finish()
}

async fn fault(state: Data<watch::Sender<RelayState>>) -> HttpResponse {
    let fault = state.borrow().fault;
    HttpResponse::Ok().json(fault)
}

async fn reset(state: Data<watch::Sender<RelayState>>) -> HttpResponse {
    state.send_modify(|state| state.resets += 1);
    HttpResponse::NoContent().finish()
}

async fn serve(
    listener: std::net::TcpListener,
    address: SocketAddr,
    target: SocketAddr,
    mut states: watch::Receiver<RelayState>,
) -> io::Result<()> {
    let mut listening = Some(TcpListener::from_std(listener)?);
    loop {
        let state = *states.borrow_and_update();
        if state.closed {
            return Ok(());
        }
        if state.fault.refuse {
            listening = None;
            drop(states.changed().await);
            continue;
        }
        let Some(listener) = &listening else {
            listening = TcpListener::bind(address).await.ok();
            sleep(BIND_RETRY_INTERVAL).await;
            continue;
        };
        tokio::select! {
            accepted = listener.accept() => {
                let (client, _) = accepted?;
                spawn(relay_connection(client, target, states.clone()));
            }
            _ = states.changed() => {}
        }
    }
}

/// Relays one connection until a peer or a reset closes it.
async fn relay_connection(
    client: TcpStream,
    target: SocketAddr,
    mut states: watch::Receiver<RelayState>,
) {
    let resets = states.borrow().resets;
    let relaying = async {
        wait_uncut(&mut states.clone(), |fault| fault.cut_forward).await;
        let server = TcpStream::connect(target).await?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        let forward =
            forward_bytes(client_read, server_write, states.clone(), |fault| fault.cut_forward);
        let back = forward_bytes(server_read, client_write, states.clone(), |fault| fault.cut_back);
        // An error in one direction closes the other too.
        futures::future::try_join(forward, back).await
    };
    let mut resetting = states.clone();
    let ended = tokio::select! {
        ended = relaying => ended.map(|_| ()),
        _ = resetting.wait_for(|state| state.resets != resets) => Ok(()),
    };
    if let Err(error) = ended {
        log::debug!("relayed connection to {target} ended: {error}");
    }
    drop(states.borrow_and_update());
}

/// Waits until the direction that `is_cut` selects is not cut.
async fn wait_uncut(states: &mut watch::Receiver<RelayState>, is_cut: fn(&RelayFault) -> bool) {
    drop(states.wait_for(|state| !is_cut(&state.fault)).await);
}

/// Forwards one direction of a connection, under the faults, until its end.
async fn forward_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut states: watch::Receiver<RelayState>,
    is_cut: fn(&RelayFault) -> bool,
) -> io::Result<()> {
    let (queue, mut chunks) = mpsc::channel::<(Instant, Vec<u8>)>(CHUNKS_IN_FLIGHT);
    let delays = states.clone();
    let read = async move {
        let mut buffer = vec![0; CHUNK_BYTES];
        loop {
            let count = from.read(&mut buffer).await?;
            let delay = Duration::from_millis(delays.borrow().fault.delay_ms);
            let chunk = buffer.get(..count).unwrap_or_default().to_vec();
            // An empty chunk marks the end of the stream.
            if queue.send((Instant::now() + delay, chunk)).await.is_err() || count == 0 {
                return Ok(());
            }
        }
    };
    let write = async move {
        while let Some((due, chunk)) = chunks.recv().await {
            sleep_until(due).await;
            wait_uncut(&mut states, is_cut).await;
            if chunk.is_empty() {
                return to.shutdown().await;
            }
            to.write_all(&chunk).await?;
        }
        Ok(())
    };
    futures::future::try_join(read, write).await.map(|((), ())| ())
}
