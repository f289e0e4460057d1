//! TCP transport of the services: bincode in length-delimited frames.

use std::future::Future;
use std::io;
use std::net::SocketAddr;

use tarpc::client::Config;
use tarpc::serde_transport::tcp;
use tarpc::tokio_serde::formats::Bincode;

use crate::{AgentServiceClient, EntryServiceClient};

/// Largest frame: a request body of 8 MiB with its envelope.
pub const MAX_FRAME_BYTES: usize = 9 * 1024 * 1024;

/// Connects to an agent; the future drives the connection and ends with it.
pub async fn connect_agent(
    address: SocketAddr,
) -> io::Result<(AgentServiceClient, impl Future<Output = ()>)> {
    let mut connect = tcp::connect(address, Bincode::default);
    connect.config_mut().max_frame_length(MAX_FRAME_BYTES);
    let transport = connect.await?;
    // Small requests must not wait until the answers to earlier ones arrive.
    transport.get_ref().set_nodelay(true)?;
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
    // Small requests must not wait until the answers to earlier ones arrive.
    transport.get_ref().set_nodelay(true)?;
    let new = EntryServiceClient::new(Config::default(), transport);
    let dispatch = async move {
        if let Err(error) = new.dispatch.await {
            log::debug!("connection to entry {address} broke: {error}");
        }
    };
    Ok((new.client, dispatch))
}
