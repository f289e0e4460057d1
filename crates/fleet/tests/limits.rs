//! Limits on clients: settings, counts of values, ends of heads, and well-behaved requests.

mod hostile;
mod support;

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use cactusdoor_fleet::body::{BodyBudget, count_values};
use cactusdoor_fleet::head_scan::HeadScan;
use cactusdoor_fleet::limits::{ClientLimits, MAX_HEAD_BYTES, READ_WINDOW_BYTES};
use cactusdoor_fleet::watcher::JobStates;
use cactusdoor_queue::report::JobState;
use hostile::{head, job};
use support::TestCluster;

/// Guards against refused jobs whose strings contain separators, and against uncounted values.
#[test]
fn values_are_counted_outside_strings() {
    let count = |text: &str| count_values(text.as_bytes(), 100);
    assert_eq!(count(r#"{"a":[1,2,{"b":"x"}]}"#), 8);
    assert_eq!(count(r#"{"a":"[,:{\"[,:{\\"}"#), 3);
    assert_eq!(count(&"[".repeat(1_000)), 101);
    assert!(count_values(job(200_000).as_bytes(), 100) < 20);
}

/// Guards against heads whose end is found too early, late, or not when it comes in pieces.
#[test]
fn heads_end_at_the_first_empty_line() {
    let heads = ["GET / HTTP/1.1\r\nhost: a\r\n\r\n", "\r\nGET / HTTP/1.1\n\n", "G\r\n\n"];
    for text in heads {
        let bytes = [text.as_bytes(), b"rest\r\n\r\n"].concat();
        for size in 1..=bytes.len() {
            let (mut scan, mut sent, mut end) = (HeadScan::default(), 0, None);
            for piece in bytes.chunks(size) {
                end = scan.advance(piece).map(|count| sent + count);
                if end.is_some() {
                    break;
                }
                sent += piece.len();
            }
            assert_eq!(end, Some(text.len()), "{text:?} in pieces of {size}");
        }
    }
}

/// Guards against bytes that stay charged after their body is dropped.
#[test]
fn leases_return_their_bytes() {
    let budget = BodyBudget::new(100);
    let (mut one, mut other) = (budget.lease(), budget.lease());
    assert!(one.grow(60) && !other.grow(50) && other.grow(40));
    assert_eq!(budget.used(), 100);
    drop(one);
    assert!(other.grow(60) && !other.grow(usize::MAX));
    drop(other);
    assert_eq!(budget.used(), 0);
}

/// Guards against states that pile up while jobs are stored and no owner answers.
#[test]
fn states_of_accepted_jobs_are_bounded() {
    let states = JobStates::default();
    for number in 0..60_000 {
        states.accept(&format!("j{number}").into());
    }
    assert_eq!(states.get("j0"), None);
    assert_eq!(states.get("j59999"), Some(JobState::Queued));
}

/// Guards against defaults that exceed the memory and descriptors of the smallest entry.
#[test]
fn the_defaults_fit_the_smallest_machine() {
    let limits = ClientLimits::default();
    // Buffers grow to the next power of two.
    let read = MAX_HEAD_BYTES.max(READ_WINDOW_BYTES).next_power_of_two();
    let connections = limits.connections * (read + 16 * 1024);
    let whole = connections + limits.body_bytes + 20_000_000;
    assert!(whole < 160_000_000, "{whole}");
    assert!(limits.connections + limits.reserved().connections * 2 + 200 < 4_100);
    assert_eq!(limits.connections, limits.peer_connections);
}

/// Sends requests on one connection, in pieces, and returns what came until the connection closed.
fn talk(address: SocketAddr, pieces: &[&[u8]], pause: Duration) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(4))).unwrap();
    for piece in pieces {
        stream.write_all(piece).unwrap();
        std::thread::sleep(pause);
    }
    let mut answer = Vec::new();
    // The connection stays open; the time limit ends the read.
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8(answer).unwrap()
}

/// Guards against limits that well-behaved clients reach with the default settings.
#[actix_web::test]
async fn well_behaved_requests_are_served() {
    let cluster = TestCluster::open(1).await;
    cluster.await_ready(0).await;
    hostile::complete_job(&cluster, "first").await;
    let address = cluster.entry_addresses(0).0;
    let pause = Duration::from_millis(20);
    let talk = |pieces: Vec<Vec<u8>>, pause| async move {
        let thread = std::thread::spawn(move || {
            let pieces: Vec<&[u8]> = pieces.iter().map(Vec::as_slice).collect();
            talk(address, &pieces, pause)
        });
        while !thread.is_finished() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        thread.join().unwrap()
    };
    let body = format!("{}{}", " ".repeat(261_900), job(100));
    let sized = format!("content-length: {}\r\n", body.len());
    let large = format!("{}{body}", head("POST", "/q/large", &sized)).into_bytes();
    let answer = talk(large.chunks(30_000).map(<[u8]>::to_vec).collect(), pause).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "large body: {answer}");
    let mut chunked = head("POST", "/q/chunked", "transfer-encoding: chunked\r\n").into_bytes();
    for chunk in body.as_bytes().chunks(100) {
        chunked.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        chunked.extend_from_slice(chunk);
        chunked.extend_from_slice(b"\r\n");
    }
    chunked.extend_from_slice(b"0\r\n\r\n");
    let answer = talk(vec![chunked], pause).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "chunks: {answer}");
    let expecting = head("POST", "/q/expect", &format!("{sized}expect: 100-continue\r\n"));
    let answer = talk(vec![expecting.into_bytes(), body.clone().into_bytes()], pause).await;
    assert!(answer.starts_with("HTTP/1.1 100"), "expect: {answer}");
    assert!(answer.contains("HTTP/1.1 200"), "expect: {answer}");
    let fields = format!("x: {}\r\n", "x".repeat(16 * 1024 - 100));
    let answer = talk(vec![head("GET", "/q/first", &fields).into_bytes()], pause).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "large head: {answer}");
    let slow = head("GET", "/q/first", "").into_bytes();
    let slow = slow.chunks(10).map(<[u8]>::to_vec).collect();
    let answer = talk(slow, Duration::from_millis(500)).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "slow head: {answer}");
    let pipelined = head("GET", "/q/first", "").repeat(20).into_bytes();
    let answer = talk(vec![pipelined], pause).await;
    assert_eq!(answer.matches("HTTP/1.1 200").count(), 20, "pipelined: {answer}");
    assert_eq!(answer.matches("completed").count(), 20, "pipelined: {answer}");
}

/// Guards against a job that is stored although its deadline passed while its body arrived.
#[actix_web::test]
async fn a_deadline_counts_while_the_body_arrives() {
    let cluster = TestCluster::open(1).await;
    cluster.await_ready(0).await;
    hostile::complete_job(&cluster, "first").await;
    let body = job(100);
    let fields = format!("content-length: {}\r\nx-deadline-ms: 500\r\n", body.len());
    let head = head("POST", "/q/late", &fields).into_bytes();
    let address = cluster.entry_addresses(0).0;
    let pieces = [head, body.into_bytes()];
    let thread = std::thread::spawn(move || {
        let pieces: Vec<&[u8]> = pieces.iter().map(Vec::as_slice).collect();
        talk(address, &pieces, Duration::from_millis(800))
    });
    while !thread.is_finished() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let answer = thread.join().unwrap();
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert_eq!(cluster.call("GET", 0, "/q/late", serde_json::Value::Null).await.0, 410);
}

/// Guards against a refusal by a limit that does not say when to retry.
#[actix_web::test]
async fn too_many_pipelined_requests_are_told_when_to_retry() {
    let cluster = TestCluster::open_with(1, hostile::LIMITS).await;
    cluster.await_ready(0).await;
    let requests = head("GET", "/q/none", "").repeat(100).into_bytes();
    let address = cluster.entry_addresses(0).0;
    let thread = std::thread::spawn(move || talk(address, &[&requests], Duration::ZERO));
    while !thread.is_finished() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let answers = thread.join().unwrap();
    let refusal = answers.split("HTTP/1.1 ").find(|answer| answer.starts_with("429"));
    let refusal = refusal.unwrap_or_else(|| panic!("no refusal: {answers}"));
    assert!(
        refusal.contains("retry-after: 1") && refusal.contains("connection: close"),
        "{refusal}"
    );
}
