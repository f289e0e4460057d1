//! The upstream client with upstreams that fail at different points.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use cactusdoor_peer::answer::RequestId;
use cactusdoor_peer::digest;
use cactusdoor_upstream::{SendFailure, UpstreamClient, UpstreamRequest};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Far longer than a loopback exchange takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Behaviour of a scripted upstream for each request on each of its connections.
#[derive(Clone)]
enum Script {
    /// Sends these bytes and keeps the connection open.
    Answer(&'static [u8]),
    /// Sends these bytes and closes the connection.
    AnswerAndClose(&'static [u8]),
    NoAnswer,
}

struct ScriptedUpstream {
    address: SocketAddr,
    requests: Arc<AtomicUsize>,
    connections: Arc<AtomicUsize>,
}

impl ScriptedUpstream {
    async fn spawn(script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(AtomicUsize::new(0));
        let connections = Arc::new(AtomicUsize::new(0));
        let upstream = Self {
            address,
            requests: Arc::clone(&requests),
            connections: Arc::clone(&connections),
        };
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                connections.fetch_add(1, Ordering::Relaxed);
                tokio::task::spawn_local(serve(stream, script.clone(), Arc::clone(&requests)));
            }
        });
        upstream
    }

    fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }
}

/// Reads requests with the body `ping` and answers them by the script.
async fn serve(mut stream: TcpStream, script: Script, requests: Arc<AtomicUsize>) {
    let mut received = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let read = stream.read(&mut buffer).await.unwrap_or(0);
        if read == 0 {
            return;
        }
        received.extend_from_slice(&buffer[..read]);
        if !received.ends_with(b"ping") {
            continue;
        }
        received.clear();
        requests.fetch_add(1, Ordering::Relaxed);
        match script {
            Script::Answer(bytes) => stream.write_all(bytes).await.unwrap(),
            Script::AnswerAndClose(bytes) => {
                stream.write_all(bytes).await.unwrap();
                return;
            }
            Script::NoAnswer => {}
        }
    }
}

fn request(key: Option<&str>) -> UpstreamRequest {
    UpstreamRequest {
        id: RequestId { entry: 1, number: 2, attempt: 0 },
        plan: "plan".parse().unwrap(),
        service: "service".parse().unwrap(),
        key: key.map(|key| key.parse().unwrap()),
        body: Bytes::from_static(b"ping"),
    }
}

async fn outcome(script: Script) -> Result<Bytes, SendFailure> {
    let upstream = ScriptedUpstream::spawn(script).await;
    let answer = UpstreamClient::open().send(upstream.address, &request(None), TEST_TIMEOUT).await;
    assert_eq!(upstream.requests(), 1);
    answer.map(|answer| {
        assert_eq!(
            (answer.length, answer.digest),
            (answer.body.len() as u64, digest(&answer.body))
        );
        answer.body
    })
}

/// Guards against rejecting complete answers.
#[actix_rt::test]
async fn complete_answers_are_accepted() {
    let sized = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npong";
    assert_eq!(outcome(Script::Answer(sized)).await.unwrap(), "pong");
    assert_eq!(outcome(Script::AnswerAndClose(sized)).await.unwrap(), "pong");
    let chunked =
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\npo\r\n2\r\nng\r\n0\r\n\r\n";
    assert_eq!(outcome(Script::Answer(chunked)).await.unwrap(), "pong");
    assert_eq!(outcome(Script::AnswerAndClose(chunked)).await.unwrap(), "pong");
    let empty = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(outcome(Script::Answer(empty)).await.unwrap(), "");
}

/// Guards against accepting truncated answers.
#[actix_rt::test]
async fn truncated_answers_are_reported_as_broken() {
    let truncated_answers: [&'static [u8]; 8] = [
        b"",
        b"HTTP/1.1 200 O",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npon",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npong\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\npong",
    ];
    for truncated in truncated_answers {
        let broken = outcome(Script::AnswerAndClose(truncated)).await;
        assert_eq!(broken, Err(SendFailure::Broken), "{:?}", std::str::from_utf8(truncated));
    }
}

/// Guards against accepting an answer without a length, which may be truncated.
#[actix_rt::test]
async fn answer_without_a_length_is_reported_as_broken() {
    let answer_without_length = b"HTTP/1.1 200 OK\r\n\r\npong";
    let broken = outcome(Script::AnswerAndClose(answer_without_length)).await;
    assert_eq!(broken, Err(SendFailure::Broken));
}

/// Guards against "not run" for a request that the upstream may have run.
#[actix_rt::test]
async fn missing_answer_is_reported_as_timed_out() {
    let upstream = ScriptedUpstream::spawn(Script::NoAnswer).await;
    let client = UpstreamClient::open();
    let timeout = Duration::from_millis(50);
    let answer = client.send(upstream.address, &request(None), timeout).await;
    assert_eq!(answer, Err(SendFailure::TimedOut));
}

/// Guards against "unknown" for a request that certainly was not sent.
#[actix_rt::test]
async fn refused_connection_counts_as_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    for key in [None, Some("key")] {
        let answer = UpstreamClient::open().send(address, &request(key), TEST_TIMEOUT).await;
        assert_eq!(answer, Err(SendFailure::NotSent));
    }
}

/// Guards against running a request twice because the client follows a redirect.
#[actix_rt::test]
async fn redirects_are_not_followed() {
    let target = ScriptedUpstream::spawn(Script::NoAnswer).await;
    let text = format!(
        "HTTP/1.1 307 Temporary Redirect\r\nLocation: http://{}/\r\nContent-Length: 0\r\n\r\n",
        target.address
    );
    let upstream = ScriptedUpstream::spawn(Script::Answer(text.leak().as_bytes())).await;
    let client = UpstreamClient::open();
    let answer = client.send(upstream.address, &request(Some("key")), TEST_TIMEOUT).await.unwrap();
    assert_eq!(answer.status, 307);
    assert_eq!((upstream.requests(), target.requests()), (1, 0));
}

/// Guards against a binding request whose outcome is unknown because its pooled
/// connection was closing, and against a new connection for each interactive request.
#[actix_rt::test]
async fn only_interactive_requests_share_connections() {
    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npong";
    let upstream = ScriptedUpstream::spawn(Script::Answer(answer)).await;
    let client = UpstreamClient::open();
    for _ in 0..3 {
        client.send(upstream.address, &request(None), TEST_TIMEOUT).await.unwrap();
    }
    assert_eq!(upstream.connections.load(Ordering::Relaxed), 1);
    for _ in 0..3 {
        client.send(upstream.address, &request(Some("key")), TEST_TIMEOUT).await.unwrap();
    }
    assert_eq!(upstream.connections.load(Ordering::Relaxed), 4);
}
