//! Reads of one connection, without a server.

use std::rc::Rc;
use std::time::Duration;

use cactusdoor_fleet::connection::{Connection, GuardedStream};
use cactusdoor_fleet::limits::ClientLimits;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

const REQUEST: &[u8] = b"GET /ok HTTP/1.1\r\nhost: a\r\n\r\n";

/// Guards against a busy process that takes the next request of a client, sent after the answer
/// to the one before, for a pipelined one.
#[actix_web::test]
async fn requests_after_their_answers_are_not_ahead() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (stream, peer) = listener.accept().await.unwrap();
    let connection = Connection::open(peer.ip(), ClientLimits::default());
    let mut stream = GuardedStream::new(stream, Rc::clone(&connection));
    for number in 0..200 {
        client.write_all(REQUEST).await.unwrap();
        // The request is there before the server looks for it, as if other tasks had run first.
        tokio::time::sleep(Duration::from_millis(2)).await;
        let mut head = [0; 1024];
        assert_eq!(stream.read(&mut head).await.unwrap(), REQUEST.len());
        connection.begin(false);
        assert!(!connection.exceeds_ahead(), "request {number}");
        assert!(!connection.finish());
        stream.write_all(b".").await.unwrap();
        assert_eq!(client.read_u8().await.unwrap(), b'.');
    }
}

/// Guards against a connection that stays open after it was displaced, because its client does not
/// read the last answer and nothing more is read from it.
#[actix_web::test]
async fn a_displaced_connection_does_not_wait_for_its_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let _client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (stream, peer) = listener.accept().await.unwrap();
    let limits = ClientLimits { answer: 600_000, ..ClientLimits::default() };
    let connection = Connection::open(peer.ip(), limits);
    let mut stream = GuardedStream::new(stream, Rc::clone(&connection));
    let written = actix_web::rt::spawn(async move { stream.write_all(&vec![0; 64 << 20]).await });
    tokio::time::sleep(Duration::from_millis(200)).await;
    connection.displace();
    let written = tokio::time::timeout(Duration::from_secs(20), written).await;
    assert!(written.expect("the answer is still written").unwrap().is_err());
}

/// Guards against a request that is lost because the server stops when it has just arrived.
#[actix_web::test]
async fn a_request_that_has_arrived_is_read_before_the_end() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (stream, peer) = listener.accept().await.unwrap();
    let connection = Connection::open(peer.ip(), ClientLimits::default());
    let mut stream = GuardedStream::new(stream, Rc::clone(&connection));
    client.write_all(REQUEST).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    connection.end();
    let mut head = [0; 1024];
    assert_eq!(stream.read(&mut head).await.unwrap(), REQUEST.len());
    connection.begin(false);
    assert!(connection.finish(), "the answer does not announce the end");
}
