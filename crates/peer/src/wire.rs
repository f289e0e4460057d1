//! TCP transport of the RPC services: bincode in length-delimited frames.

use std::future::Future;
use std::io;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tarpc::client::{Config, NewClient};
use tarpc::serde_transport::{Transport, tcp};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{ChannelError, ClientMessage, Response};
use tokio::net::TcpStream;

use crate::queue::QueueServiceClient;
use crate::{AgentServiceClient, EntryServiceClient};

/// Client transport for requests `Req` and responses `Resp`.
type PeerTransport<Req, Resp> = Transport<
    TcpStream,
    Response<Resp>,
    ClientMessage<Req>,
    Bincode<Response<Resp>, ClientMessage<Req>>,
>;

/// Largest frame: a request body of 8 MiB plus its envelope.
pub const MAX_FRAME_BYTES: usize = 9 * 1024 * 1024;

/// Disables Nagle's algorithm, which both sides of a connection must do.
///
/// Otherwise a request waits until the previous one on the connection has been
/// acknowledged, which often happens only with its response.
pub fn disable_nagle(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)
}

/// Connects to a peer; `client` builds the client from the transport.
async fn connect<C, D, Req, Resp>(
    address: SocketAddr,
    client: impl FnOnce(PeerTransport<Req, Resp>) -> NewClient<C, D>,
) -> io::Result<(C, impl Future<Output = ()>)>
where
    D: Future<Output = Result<(), ChannelError<io::Error>>>,
    Req: Serialize,
    Resp: for<'de> Deserialize<'de>,
{
    let mut connect = tcp::connect(address, Bincode::default);
    connect.config_mut().max_frame_length(MAX_FRAME_BYTES);
    let transport = connect.await?;
    disable_nagle(transport.get_ref())?;
    let new_client = client(transport);
    let dispatch = async move {
        if let Err(error) = new_client.dispatch.await {
            log::debug!("connection to peer {address} failed: {error}");
        }
    };
    Ok((new_client.client, dispatch))
}

/// Connects to an agent. The caller runs the future, which drives the connection and
/// ends with it.
pub async fn connect_agent(
    address: SocketAddr,
) -> io::Result<(AgentServiceClient, impl Future<Output = ()>)> {
    connect(address, |transport| AgentServiceClient::new(Config::default(), transport)).await
}

/// Connects to an entry; the future is as in [`connect_agent`].
pub async fn connect_entry(
    address: SocketAddr,
) -> io::Result<(EntryServiceClient, impl Future<Output = ()>)> {
    connect(address, |transport| EntryServiceClient::new(Config::default(), transport)).await
}

/// Connects to the owner of the queues; the future is as in [`connect_agent`].
pub async fn connect_queue(
    address: SocketAddr,
) -> io::Result<(QueueServiceClient, impl Future<Output = ()>)> {
    connect(address, |transport| QueueServiceClient::new(Config::default(), transport)).await
}
