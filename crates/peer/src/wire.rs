//! TCP transport of the services: bincode in length-delimited frames.

use std::future::Future;
use std::io;
use std::net::SocketAddr;

use tarpc::client::Config;
use tarpc::serde_transport::tcp;
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::TcpStream;

use crate::{AgentServiceClient, EntryServiceClient};

/// Largest frame: a request body of 8 MiB with its envelope.
pub const MAX_FRAME_BYTES: usize = 9 * 1024 * 1024;

/// Sends small frames at once, on both sides of a connection.
///
/// Otherwise a call waits until the one before it on the same connection has
/// been acknowledged, which is often only with its answer.
pub fn send_at_once(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)
}

/// Connects to an agent; the future drives the connection and ends with it.
pub async fn connect_agent(
    address: SocketAddr,
) -> io::Result<(AgentServiceClient, impl Future<Output = ()>)> {
    let mut connect = tcp::connect(address, Bincode::default);
    connect.config_mut().max_frame_length(MAX_FRAME_BYTES);
    let transport = connect.await?;
    send_at_once(transport.get_ref())?;
    let new = AgentServiceClient::new(Config::default(), transport);
    let dispatch = async move {
        if let Err(error) = new.dispatch.await {
            log::debug!("connection to agent {address} broke: {error}");
        }
    };
    Ok((new.client, dispatch))
}

/// Connects to an entry; the future drives the connection and ends with it.
pub async fn connect_entry(
    address: SocketAddr,
) -> io::Result<(EntryServiceClient, impl Future<Output = ()>)> {
    let mut connect = tcp::connect(address, Bincode::default);
    connect.config_mut().max_frame_length(MAX_FRAME_BYTES);
    let transport = connect.await?;
    send_at_once(transport.get_ref())?;
    let new = EntryServiceClient::new(Config::default(), transport);
    let dispatch = async move {
        if let Err(error) = new.dispatch.await {
            log::debug!("connection to entry {address} broke: {error}");
        }
    };
    Ok((new.client, dispatch))
}
