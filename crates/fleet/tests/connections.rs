//! Connections of callers that keep to the protocol, at the limits of a server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_web::{HttpResponse, web};
use cactusdoor_fleet::connection_table::ServedAddress;
use cactusdoor_fleet::decision_log::DecisionLog;
use cactusdoor_fleet::guard::{self, ConfigureApp, GuardContext, GuardHandle, GuardedAddress};
use cactusdoor_fleet::limits::ClientLimits;
use cactusdoor_fleet::metrics::EntryMetrics;
use cactusdoor_fleet::rejections::Rejections;
use cactusdoor_standin::harness::address::free_address;
use prometheus::Registry;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::timeout;

const REQUEST: &[u8] = b"GET /ok HTTP/1.1\r\nhost: a\r\n\r\n";
/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Above the time for which a connection that waits is kept in any case.
const WAITING_TIME: Duration = Duration::from_millis(700);

/// Serves `/ok`, and `/panic` with a handler that panics.
fn serve(limits: ClientLimits) -> (GuardHandle, SocketAddr, EntryMetrics) {
    let metrics = EntryMetrics::open(&Registry::new()).unwrap();
    let log = DecisionLog::open("e".into(), std::io::sink()).unwrap();
    let rejections = Rejections::new(metrics.rejected.clone(), log);
    let configure: ConfigureApp = Arc::new(|config| {
        config.route("/ok", web::get().to(async || HttpResponse::Ok().finish())).route(
            "/panic",
            web::get().to(async || -> HttpResponse { panic!("a handler panics") }),
        );
    });
    let address = free_address().unwrap();
    let addresses = vec![GuardedAddress { address, kind: ServedAddress::Callers }];
    let context = GuardContext { configure, limits, rejections };
    (guard::serve(vec![(context, addresses)]).unwrap(), address, metrics)
}

/// Reads until the end of an answer without a body; empty if the connection closes.
async fn read_answer(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let read = async {
        while !answer.ends_with(b"\r\n\r\n") {
            match stream.read_u8().await {
                Ok(byte) => answer.push(byte),
                Err(_) => break,
            }
        }
    };
    timeout(ANSWER_TIMEOUT, read).await.unwrap();
    String::from_utf8(answer).unwrap()
}

async fn ask(stream: &mut TcpStream, request: &[u8]) -> String {
    // The server may have closed the connection; the answer is then empty.
    drop(stream.write_all(request).await);
    read_answer(stream).await
}

/// Guards against connections that are kept open for clients that send nothing, while a probe or a
/// caller is refused.
#[actix_web::test]
async fn a_new_connection_takes_the_place_of_a_waiting_one() {
    let limits = ClientLimits { connections: 4, peer_connections: 4, ..ClientLimits::default() };
    let (_handle, address, _) = serve(limits);
    let mut waiting = Vec::new();
    for _ in 0..4 {
        waiting.push(TcpStream::connect(address).await.unwrap());
    }
    tokio::time::sleep(WAITING_TIME).await;
    let mut probe = TcpStream::connect(address).await.unwrap();
    let answer = ask(&mut probe, REQUEST).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Guards against idle connections that are counted as rejected when the process stops.
#[actix_web::test]
async fn a_stop_rejects_nothing() {
    let (handle, address, metrics) = serve(ClientLimits::default());
    let mut stream = TcpStream::connect(address).await.unwrap();
    assert!(ask(&mut stream, REQUEST).await.starts_with("HTTP/1.1 200"));
    timeout(ANSWER_TIMEOUT, handle.stop(ANSWER_TIMEOUT * 2)).await.unwrap();
    assert_eq!(metrics.rejected.with_label_values(&["displaced"]).get(), 0);
}

/// Guards against a connection whose handler panics, and which counts as open from then on.
#[actix_web::test]
async fn a_panic_releases_its_connection() {
    let limits = ClientLimits { connections: 2, peer_connections: 2, ..ClientLimits::default() };
    let (handle, address, _) = serve(limits);
    for _ in 0..2 {
        let mut stream = TcpStream::connect(address).await.unwrap();
        assert_eq!(ask(&mut stream, b"GET /panic HTTP/1.1\r\nhost: a\r\n\r\n").await, "");
    }
    let mut stream = TcpStream::connect(address).await.unwrap();
    let answer = ask(&mut stream, REQUEST).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    drop(stream);
    // All connections have ended, so the stop needs no grace.
    timeout(ANSWER_TIMEOUT, handle.stop(ANSWER_TIMEOUT * 2)).await.unwrap();
}

/// Guards against an idle connection that ends with the time of a head, because its client sends a
/// line break after a body, as some do.
#[actix_web::test]
async fn an_empty_line_is_not_the_start_of_a_head() {
    let limits = ClientLimits { head: 100, ..ClientLimits::default() };
    let (_handle, address, _) = serve(limits);
    let mut stream = TcpStream::connect(address).await.unwrap();
    assert!(ask(&mut stream, REQUEST).await.starts_with("HTTP/1.1 200"));
    stream.write_all(b"\r\n").await.unwrap();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let answer = ask(&mut stream, REQUEST).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}
