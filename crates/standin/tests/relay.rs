//! The relay: delays, cuts, resets, refusals and its control interface.

mod common;

use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use cactusdoor_standin::relay::{RelayFault, TcpRelay};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use common::loopback;

/// Time for which a cut direction must deliver nothing.
const CUT_CHECK_TIME: Duration = Duration::from_millis(100);

/// A relay, and both ends of a connection through it.
async fn connect() -> (TcpRelay, TcpStream, TcpStream) {
    let listener = TcpListener::bind(loopback()).await.unwrap();
    let relay = TcpRelay::spawn(loopback(), listener.local_addr().unwrap()).unwrap();
    let client = TcpStream::connect(relay.address()).await.unwrap();
    let (server, _) = listener.accept().await.unwrap();
    (relay, client, server)
}

async fn receive(stream: &mut TcpStream) -> u8 {
    stream.read_u8().await.unwrap()
}

/// Guards against a cut that loses bytes or also cuts the other direction.
#[actix_rt::test]
async fn one_way_cut_holds_bytes_until_it_ends() {
    let (relay, mut client, mut server) = connect().await;
    client.write_u8(1).await.unwrap();
    assert_eq!(receive(&mut server).await, 1);
    relay.set_fault(RelayFault { cut_forward: true, ..RelayFault::default() });
    client.write_u8(2).await.unwrap();
    server.write_u8(3).await.unwrap();
    assert_eq!(receive(&mut client).await, 3);
    assert!(timeout(CUT_CHECK_TIME, server.read_u8()).await.is_err());
    relay.set_fault(RelayFault::default());
    assert_eq!(receive(&mut server).await, 2);
}

/// Guards against a partition that lets one direction through.
#[actix_rt::test]
async fn partition_cuts_both_directions() {
    let (relay, mut client, mut server) = connect().await;
    relay.set_fault(RelayFault::partition());
    client.write_u8(1).await.unwrap();
    server.write_u8(2).await.unwrap();
    assert!(timeout(CUT_CHECK_TIME, server.read_u8()).await.is_err());
    assert!(timeout(CUT_CHECK_TIME, client.read_u8()).await.is_err());
    relay.set_fault(RelayFault::default());
    assert_eq!(receive(&mut server).await, 1);
    assert_eq!(receive(&mut client).await, 2);
}

/// Guards against a delay that is not applied to both directions.
#[actix_rt::test]
async fn delay_applies_in_both_directions() {
    let (relay, mut client, mut server) = connect().await;
    relay.set_fault(RelayFault { delay_ms: 40, ..RelayFault::default() });
    let started = Instant::now();
    client.write_u8(1).await.unwrap();
    assert_eq!(receive(&mut server).await, 1);
    assert!(started.elapsed() >= Duration::from_millis(40));
    server.write_u8(2).await.unwrap();
    assert_eq!(receive(&mut client).await, 2);
    assert!(started.elapsed() >= Duration::from_millis(80));
}

/// Guards against the end of a stream that is not forwarded.
#[actix_rt::test]
async fn end_of_stream_is_relayed() {
    let (_relay, mut client, mut server) = connect().await;
    client.write_u8(1).await.unwrap();
    client.shutdown().await.unwrap();
    assert_eq!(receive(&mut server).await, 1);
    assert_eq!(server.read(&mut [0]).await.unwrap(), 0);
    server.write_u8(2).await.unwrap();
    assert_eq!(receive(&mut client).await, 2);
}

/// Guards against connections that survive a reset, and against a refusal that
/// accepts connections or does not end.
#[actix_rt::test]
async fn reset_closes_connections_and_refusal_rejects_new_ones() {
    let (relay, mut client, _server) = connect().await;
    relay.reset();
    assert_matches!(client.read(&mut [0]).await, Ok(0) | Err(_));
    relay.set_fault(RelayFault { refuse: true, ..RelayFault::default() });
    while TcpStream::connect(relay.address()).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    relay.set_fault(RelayFault::default());
    while TcpStream::connect(relay.address()).await.is_err() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against faults that can be injected only from within the process.
#[actix_rt::test]
async fn relay_is_controlled_over_http() {
    let (relay, mut client, mut server) = connect().await;
    let control = relay.serve_control(loopback()).unwrap();
    let url = format!("http://{}/fault", control.address());
    let http = awc::Client::default();
    let response = http.post(&url).send_json(&RelayFault::partition()).await.unwrap();
    assert!(response.status().is_success());
    client.write_u8(1).await.unwrap();
    assert!(timeout(CUT_CHECK_TIME, server.read_u8()).await.is_err());
    let fault: RelayFault = http.get(&url).send().await.unwrap().json().await.unwrap();
    assert_eq!(fault, RelayFault::partition());
}
