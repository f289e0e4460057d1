//! A TCP relay that delays and cuts traffic between two processes.
//!
//! A cut holds bytes back and passes them on when it is lifted, as a network
//! does whose packets are repeated. It does not end connections; a reset does.

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
/// Chunks on their way in one direction of a connection.
const CHUNKS_IN_FLIGHT: usize = 256;
/// Pause before a refused address is bound again.
const BIND_PAUSE: Duration = Duration::from_millis(20);

/// Disturbances; setting one replaces all earlier ones.
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
    /// Both directions cut.
    #[must_use]
    pub fn partition() -> Self {
        Self { cut_forward: true, cut_back: true, ..Self::default() }
    }
}

/// What all connections of a relay obey.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct RelayOrder {
    fault: RelayFault,
    /// Number of resets so far; connections end when it changes.
    resets: u64,
    closed: bool,
}

/// Handle to a running relay; dropping it ends all connections.
pub struct TcpRelay {
    address: SocketAddr,
    order: Arc<watch::Sender<RelayOrder>>,
    thread: Option<JoinHandle<()>>,
}

impl TcpRelay {
    /// Relays connections from `address` to `target`; port 0 selects a free one.
    pub fn spawn(address: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = bind_listener(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let order = Arc::new(watch::Sender::new(RelayOrder::default()));
        let orders = order.subscribe();
        let thread = std::thread::spawn(move || {
            actix_web::rt::System::new().block_on(async move {
                if let Err(error) = serve(listener, address, target, orders).await {
                    log::error!("relay at {address} ended: {error}");
                }
            });
        });
        Ok(Self { address, order, thread: Some(thread) })
    }

    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn set_fault(&self, fault: RelayFault) {
        self.order.send_modify(|order| order.fault = fault);
    }

    /// Ends all connections.
    pub fn reset(&self) {
        self.order.send_modify(|order| order.resets += 1);
    }

    /// Serves `/fault` and `/reset` on `address`.
    pub fn control(&self, address: SocketAddr) -> io::Result<RunningServer> {
        let order = Data::from(self.order.clone());
        RunningServer::spawn(address, 1, move |config| configure(config, order.clone()))
    }
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.order.send_modify(|order| order.closed = true);
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

fn configure(config: &mut ServiceConfig, order: Data<watch::Sender<RelayOrder>>) {
    config
        .app_data(order)
        .route("/fault", post().to(set_fault))
        .route("/fault", get().to(fault))
        .route("/reset", post().to(reset));
}

async fn set_fault(
    order: Data<watch::Sender<RelayOrder>>,
    fault: Json<RelayFault>,
) -> HttpResponse {
    order.send_modify(|order| order.fault = *fault);
    HttpResponse::NoContent().finish()
}

async fn fault(order: Data<watch::Sender<RelayOrder>>) -> HttpResponse {
    let fault = order.borrow().fault;
    HttpResponse::Ok().json(fault)
}

async fn reset(order: Data<watch::Sender<RelayOrder>>) -> HttpResponse {
    order.send_modify(|order| order.resets += 1);
    HttpResponse::NoContent().finish()
}

async fn serve(
    listener: std::net::TcpListener,
    address: SocketAddr,
    target: SocketAddr,
    mut orders: watch::Receiver<RelayOrder>,
) -> io::Result<()> {
    let mut listening = Some(TcpListener::from_std(listener)?);
    loop {
        let order = *orders.borrow_and_update();
        if order.closed {
            return Ok(());
        }
        if order.fault.refuse {
            listening = None;
            drop(orders.changed().await);
            continue;
        }
        let Some(listener) = &listening else {
            listening = TcpListener::bind(address).await.ok();
            sleep(BIND_PAUSE).await;
            continue;
        };
        tokio::select! {
            accepted = listener.accept() => {
                let (client, _) = accepted?;
                spawn(connect(client, target, orders.clone()));
            }
            _ = orders.changed() => {}
        }
    }
}

/// Carries one connection until a side or a reset ends it.
async fn connect(client: TcpStream, target: SocketAddr, mut orders: watch::Receiver<RelayOrder>) {
    let resets = orders.borrow().resets;
    let carry = async {
        pass(&mut orders.clone(), |fault| fault.cut_forward).await;
        let server = TcpStream::connect(target).await?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        let forward = pump(client_read, server_write, orders.clone(), |fault| fault.cut_forward);
        let back = pump(server_read, client_write, orders.clone(), |fault| fault.cut_back);
        // A reset of one direction ends the other too.
        futures::future::try_join(forward, back).await
    };
    let mut resetting = orders.clone();
    let ended = tokio::select! {
        ended = carry => ended.map(|_| ()),
        _ = resetting.wait_for(|order| order.resets != resets) => Ok(()),
    };
    if let Err(error) = ended {
        log::debug!("relayed connection to {target} ended: {error}");
    }
    drop(orders.borrow_and_update());
}

/// Waits until the cut that `is_cut` looks at is lifted.
async fn pass(orders: &mut watch::Receiver<RelayOrder>, is_cut: fn(&RelayFault) -> bool) {
    drop(orders.wait_for(|order| !is_cut(&order.fault)).await);
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut orders: watch::Receiver<RelayOrder>,
    is_cut: fn(&RelayFault) -> bool,
) -> io::Result<()> {
    let (queue, mut chunks) = mpsc::channel::<(Instant, Vec<u8>)>(CHUNKS_IN_FLIGHT);
    let delays = orders.clone();
    let read = async move {
        let mut buffer = vec![0; CHUNK_BYTES];
        loop {
            let count = from.read(&mut buffer).await?;
            let delay = Duration::from_millis(delays.borrow().fault.delay_ms);
            let chunk = buffer.get(..count).unwrap_or_default().to_vec();
            // An empty chunk carries the end of the stream.
            if queue.send((Instant::now() + delay, chunk)).await.is_err() || count == 0 {
                return Ok(());
            }
        }
    };
    let write = async move {
        while let Some((due, chunk)) = chunks.recv().await {
            sleep_until(due).await;
            pass(&mut orders, is_cut).await;
            if chunk.is_empty() {
                return to.shutdown().await;
            }
            to.write_all(&chunk).await?;
        }
        Ok(())
    };
    futures::future::try_join(read, write).await.map(|((), ())| ())
}
