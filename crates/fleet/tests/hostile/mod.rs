//! Load of misbehaving clients on one entry, and the checks after it.
//!
//! Connections are not blocking and are written to in turn, so that a process that stops
//! reading one of them does not end the load on the others.

#![allow(dead_code, reason = "each test file uses some of the helpers")]

use std::fs::File;
use std::io::{ErrorKind, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rustix::fs::{FlockOperation, flock};
use serde_json::json;

use crate::support::{TestCluster, tasks};

/// Limits of the processes under test, far below the defaults so that a small load reaches them.
pub const LIMITS: &str = "[limits]\nbody_bytes = 2000000\nconnections = 100\n\
    peer_connections = 100\nhead_ms = 2000\nbody_ms = 2000\nbody_rate = 1000\n\
    answer_ms = 2000\nrequests_ahead = 8\nsteps = 200\nfields = 4000\n";
/// Connections of each load: three times the limit.
pub const CONNECTIONS: usize = 300;
/// Largest growth of the resident memory, KiB: 2 MB of bodies and 100 connections of 64 KiB,
/// and as much again for the allocator's free memory.
const MAX_GROWTH_KIB: u64 = 20 * 1024;
/// Largest growth of the open descriptors: the connections of callers, those that are being
/// refused, and those at the ready address.
const MAX_DESCRIPTORS: usize = 220;
/// Time of one load.
const LOAD_TIME: Duration = Duration::from_secs(4);
/// Longest wait until an ordinary job is accepted.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(40);

/// Where a load goes.
#[derive(Clone, Copy, Debug)]
pub enum Target {
    Queue,
    NoRoute,
    Ready,
}

pub const TARGETS: [Target; 3] = [Target::Queue, Target::NoRoute, Target::Ready];

impl Target {
    pub fn address(self, cluster: &TestCluster) -> SocketAddr {
        let (callers, ready) = cluster.entry_addresses(0);
        if matches!(self, Self::Ready) { ready } else { callers }
    }

    /// Path of the request with this number.
    pub fn path(self, number: usize) -> String {
        match self {
            Self::Queue => format!("/q/hostile{number}"),
            Self::NoRoute => format!("/nowhere/{number}"),
            Self::Ready => "/readiness".to_owned(),
        }
    }
}

/// Keeps other tests of this kind from running at the same time.
pub fn lock() -> File {
    let path = std::env::temp_dir().join("cactusdoor-hostile.lock");
    let file = File::options().create(true).append(true).open(path).unwrap();
    flock(&file, FlockOperation::LockExclusive).unwrap();
    file
}

/// What each connection of a load sends, and at which pace.
pub struct Load {
    /// Bytes that one connection sends.
    pub bytes: Vec<Vec<u8>>,
    /// Most bytes of one write.
    pub piece: usize,
    /// Pause between two writes to a connection.
    pub pause: Duration,
    /// Most bytes read of the answers in each turn.
    pub read: usize,
}

/// Largest values of a process during a load.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    pub resident_kib: u64,
    pub descriptors: usize,
}

impl Usage {
    pub fn read(process: u32) -> Self {
        let status = std::fs::read_to_string(format!("/proc/{process}/status"));
        let status = status.expect("the process has ended");
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident = resident.and_then(|text| text.split_whitespace().next()?.parse().ok());
        let descriptors = std::fs::read_dir(format!("/proc/{process}/fd")).unwrap().count();
        Self { resident_kib: resident.expect("the process has ended"), descriptors }
    }

    fn raise(&mut self, other: Self) {
        self.resident_kib = self.resident_kib.max(other.resident_kib);
        self.descriptors = self.descriptors.max(other.descriptors);
    }
}

/// Connections that stay open after their load, and the usage during it.
pub struct Loaded {
    connections: Vec<TcpStream>,
    pub usage: Usage,
}

/// Sends a load; a connection that the process closes is not opened again.
pub async fn send(process: u32, address: SocketAddr, load: Load) -> Loaded {
    let thread = std::thread::spawn(move || send_blocking(process, address, &load));
    while !thread.is_finished() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    thread.join().unwrap()
}

fn send_blocking(process: u32, address: SocketAddr, load: &Load) -> Loaded {
    let deadline = Instant::now() + LOAD_TIME;
    let mut usage = Usage::read(process);
    let mut connections = Vec::new();
    for bytes in &load.bytes {
        let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(500)) else {
            continue;
        };
        stream.set_nonblocking(true).unwrap();
        connections.push((stream, bytes.as_slice()));
    }
    while Instant::now() < deadline {
        connections.retain_mut(|(stream, rest)| step(stream, rest, load));
        usage.raise(Usage::read(process));
        std::thread::sleep(load.pause);
    }
    Loaded { connections: connections.into_iter().map(|(stream, _)| stream).collect(), usage }
}

/// Writes a piece and reads a little; whether the connection is still open.
fn step(stream: &mut TcpStream, rest: &mut &[u8], load: &Load) -> bool {
    if load.read > 0 {
        let mut buffer = vec![0; load.read];
        match stream.read(&mut buffer) {
            Ok(0) => return false,
            Err(error) if error.kind() != ErrorKind::WouldBlock => return false,
            _ => {}
        }
    }
    let piece = &rest[..rest.len().min(load.piece)];
    if piece.is_empty() {
        return true;
    }
    match stream.write(piece) {
        Ok(sent) => *rest = &rest[sent..],
        Err(error) if error.kind() != ErrorKind::WouldBlock => return false,
        Err(_) => {}
    }
    true
}

/// The head of a request with `fields`, each ended by a line break.
pub fn head(method: &str, path: &str, fields: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\nhost: minutes.example\r\n{fields}\r\n")
}

/// A whole job whose spec has about `bytes`.
pub fn job(bytes: usize) -> String {
    json!({"spec": "x".repeat(bytes), "steps": tasks(1)}).to_string()
}

/// Runs one load at each target against a new cluster, then checks the process and one job.
///
/// Guards against a process that ends, hangs, or exceeds its memory or descriptors.
pub async fn check(loads: impl Fn(Target) -> Vec<Load>) {
    let _lock = lock();
    let cluster = TestCluster::open_with(1, LIMITS).await;
    cluster.await_ready(0).await;
    complete_job(&cluster, "before").await;
    let process = cluster.entry_process(0);
    let start = Usage::read(process);
    let mut faults = Vec::new();
    for target in TARGETS {
        for (number, load) in loads(target).into_iter().enumerate() {
            let loaded = send(process, target.address(&cluster), load).await;
            let name = format!("{target:?} {number}");
            faults.extend(bounds_exceeded(&name, start, loaded.usage));
            complete_job(&cluster, &format!("after{target:?}{number}")).await;
            drop(loaded);
        }
    }
    cluster.await_ready(0).await;
    cluster.check();
    assert!(faults.is_empty(), "bounds exceeded: {faults:#?}");
}

/// Prints the usage of a load, and returns it if it exceeds a bound.
pub fn bounds_exceeded(name: &str, start: Usage, usage: Usage) -> Option<String> {
    let growth = usage.resident_kib.saturating_sub(start.resident_kib);
    let descriptors = usage.descriptors.saturating_sub(start.descriptors);
    let seen = format!("{name}: {growth} KiB, {descriptors} descriptors");
    println!("{seen}");
    (growth > MAX_GROWTH_KIB || descriptors > MAX_DESCRIPTORS).then_some(seen)
}

/// Submits an ordinary job at the entry under load and waits until it is shown as completed.
pub async fn complete_job(cluster: &TestCluster, id: &str) {
    let body = json!({"spec": "20", "steps": tasks(1)});
    let deadline = Instant::now() + ACCEPT_TIMEOUT;
    while cluster.call("POST", 0, &format!("/q/{id}"), body.clone()).await.0 != 200 {
        assert!(Instant::now() < deadline, "job {id} was not accepted\n{}", cluster.logs());
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    cluster.await_state(id, "completed").await;
}

/// Sends one request and returns the whole answer, up to the time limit.
pub async fn exchange(address: SocketAddr, request: Vec<u8>) -> String {
    let request = Arc::new(request);
    let thread = std::thread::spawn(move || {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(6))).unwrap();
        stream.set_write_timeout(Some(Duration::from_secs(6))).unwrap();
        // The process may answer and close before it has read everything.
        let _ = stream.write_all(&request);
        let mut answer = Vec::new();
        let mut buffer = [0; 4096];
        while !answer.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
            match stream.read(&mut buffer) {
                Ok(count) if count > 0 => answer.extend_from_slice(&buffer[..count]),
                _ => break,
            }
        }
        String::from_utf8_lossy(&answer).into_owned()
    });
    while !thread.is_finished() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    thread.join().unwrap()
}
