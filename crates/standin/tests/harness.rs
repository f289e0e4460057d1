//! The harness: children, addresses, settings files and the API client.
//!
//! The children are stand-ins; the daemons have tests of their own.

mod common;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use assert_matches::assert_matches;
use awc::http::Method;
use cactusdoor_node::process::read_process;
use cactusdoor_node::settings::SettingsFile;
use cactusdoor_standin::harness::address::{free_address, loopback_ip};
use cactusdoor_standin::harness::child::{ChildSet, ChildSpec, HarnessError, find_program};
use cactusdoor_standin::harness::settings::{
    ProcessAddresses, SharedSettings, agent_settings, entry_settings, write_settings,
};
use cactusdoor_standin::harness::{ApiClient, ApiError};
use cactusdoor_standin::upstream::{UpstreamFault, UpstreamOptions, UpstreamStandin};

use common::loopback;

/// Longest wait for a child.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a log service as child `log`; returns its address too.
fn log_child(directory: &Path) -> (ChildSet, SocketAddr) {
    let operator = free_address().unwrap();
    let spec = ChildSpec {
        program: env!("CARGO_BIN_EXE_cactusdoor-standin").into(),
        arguments: vec!["log".into(), operator.to_string().into()],
        log: directory.join("log.log"),
        operator,
    };
    let mut children = ChildSet::default();
    children.spawn("log", spec).unwrap();
    (children, operator)
}

/// Guards against a stand-in that does not start with the documented arguments.
#[actix_rt::test]
async fn every_stand_in_starts_and_stops() {
    let directory = tempfile::tempdir().unwrap();
    let mut children = ChildSet::default();
    let free = || free_address().unwrap().to_string();
    let commands = [
        vec!["log".to_owned(), "--retention-ms=60000".into(), "--appends-per-second=500".into()],
        vec!["worker".into(), "--processors=8000".into()],
        vec!["upstream".into(), "--service=counter".into(), "--slots=4".into()],
        vec!["relay".into(), format!("--listen={}", free()), format!("--target={}", free())],
    ];
    for mut arguments in commands {
        let name = arguments[0].clone();
        let operator = free_address().unwrap();
        arguments.push(operator.to_string());
        let spec = ChildSpec {
            program: env!("CARGO_BIN_EXE_cactusdoor-standin").into(),
            arguments: arguments.into_iter().map(Into::into).collect(),
            log: directory.path().join(format!("{name}.log")),
            operator,
        };
        children.spawn(&name, spec).unwrap();
        children.wait_ready(&name, WAIT_TIMEOUT).await.unwrap();
        children.terminate(&name).unwrap();
        assert!(children.wait_exit(&name, WAIT_TIMEOUT).await.unwrap().success());
    }
}

/// Guards against a child that counts as ready before it answers, and against one
/// that cannot start again at its address after a crash.
#[actix_rt::test]
async fn killed_child_starts_again_at_its_address() {
    let directory = tempfile::tempdir().unwrap();
    let (mut children, _) = log_child(directory.path());
    for _ in 0..3 {
        children.wait_ready("log", WAIT_TIMEOUT).await.unwrap();
        assert!(children.is_running("log").unwrap());
        children.kill("log").unwrap();
        assert!(!children.is_running("log").unwrap());
        children.start("log").unwrap();
    }
    children.wait_ready("log", WAIT_TIMEOUT).await.unwrap();
}

/// Guards against a paused child that still answers, or that does not resume.
#[actix_rt::test]
async fn paused_child_answers_again_after_resuming() {
    let directory = tempfile::tempdir().unwrap();
    let (mut children, operator) = log_child(directory.path());
    children.wait_ready("log", WAIT_TIMEOUT).await.unwrap();
    children.pause("log").unwrap();
    let http = awc::Client::builder().timeout(Duration::from_millis(200)).finish();
    assert!(http.get(format!("http://{operator}/readyz")).send().await.is_err());
    children.resume("log").unwrap();
    children.wait_ready("log", WAIT_TIMEOUT).await.unwrap();
}

/// Guards against a child that still runs, and may answer, when `pause` returns.
#[actix_rt::test]
async fn no_thread_of_a_child_runs_once_pause_returns() {
    let directory = tempfile::tempdir().unwrap();
    let (mut children, _) = log_child(directory.path());
    children.wait_ready("log", WAIT_TIMEOUT).await.unwrap();
    let threads = format!("/proc/{}/task", children.process_id("log").unwrap());
    for round in 0..100 {
        children.pause("log").unwrap();
        for thread in std::fs::read_dir(&threads).unwrap() {
            let stat = std::fs::read_to_string(thread.unwrap().path().join("stat")).unwrap();
            // The state follows the name, which may contain spaces.
            let state = stat.rsplit(") ").next().unwrap().chars().next();
            assert_eq!(state, Some('T'), "round {round}: {stat}");
        }
        children.resume("log").unwrap();
    }
    children.wait_ready("log", WAIT_TIMEOUT).await.unwrap();
}

/// Guards against a graceful stop that is reported as a crash or not at all.
#[actix_rt::test]
async fn terminated_child_ends_with_success() {
    let directory = tempfile::tempdir().unwrap();
    let (mut children, _) = log_child(directory.path());
    children.wait_ready("log", WAIT_TIMEOUT).await.unwrap();
    children.terminate("log").unwrap();
    assert!(children.wait_exit("log", WAIT_TIMEOUT).await.unwrap().success());
    assert_matches!(children.terminate("log"), Err(HarnessError::NotRunning { .. }));
    assert_matches!(children.kill("other"), Err(HarnessError::UnknownChild(_)));
}

/// Guards against an endless wait for a child that has ended, and against an error
/// without the end of the child's log.
#[actix_rt::test]
async fn ended_child_is_reported_with_its_log() {
    let directory = tempfile::tempdir().unwrap();
    let spec = ChildSpec {
        program: env!("CARGO_BIN_EXE_cactusdoor-standin").into(),
        arguments: vec!["nothing".into()],
        log: directory.path().join("child.log"),
        operator: free_address().unwrap(),
    };
    let mut children = ChildSet::default();
    children.spawn("child", spec).unwrap();
    let ended = children.wait_ready("child", WAIT_TIMEOUT).await;
    assert_matches!(ended, Err(HarnessError::Ended { tail, .. }) => {
        assert!(tail.contains("nothing"), "{tail}");
    });
    assert_matches!(find_program("cactusdoor-none"), Err(HarnessError::ProgramMissing { .. }));
}

/// Guards against children that outlive a panicking test.
#[actix_rt::test]
async fn panicking_test_ends_its_children() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().to_owned();
    let (mut children, operator) = log_child(&path);
    children.wait_ready("log", WAIT_TIMEOUT).await.unwrap();
    let panicking = std::thread::spawn(move || {
        let _children = children;
        panic!("test panic");
    });
    assert!(panicking.join().is_err());
    assert!(std::net::TcpStream::connect(operator).is_err());
}

/// Guards against an address that two calls return.
#[actix_rt::test]
async fn free_addresses_are_distinct() {
    let addresses: Vec<SocketAddr> = (0..50).map(|_| free_address().unwrap()).collect();
    for (position, address) in addresses.iter().enumerate() {
        assert!(!addresses[..position].contains(address));
        assert!(address.ip().is_loopback());
    }
    assert!(loopback_ip().is_loopback());
}

/// Guards against settings files that the daemons cannot read.
#[actix_rt::test]
async fn daemons_can_read_the_written_settings() {
    let directory = tempfile::tempdir().unwrap();
    let address = free_address().unwrap();
    let data_centre = cactusdoor_core::name::DataCentre::new("a").unwrap();
    let shared = SharedSettings {
        data_centres: vec![data_centre.clone()],
        shards_per_data_centre: 1,
        entries: vec![address],
        level: "info".into(),
        entry_limits: Vec::new(),
        agent_limits: Vec::new(),
    };
    let process = ProcessAddresses {
        name: "entry-a-0".into(),
        vm: "a-entry-vm-0".into(),
        data_centre,
        rack: "a-rack-0".into(),
        peer: address,
        operator: address,
        log: address,
    };
    let path = directory.path().join("settings.ini");
    for ini in [
        entry_settings(&shared, &process, address),
        agent_settings(&shared, &process, address, address),
    ] {
        write_settings(&ini, &path).unwrap();
        let mut file = SettingsFile::open(&path).unwrap();
        let read = read_process(&mut file).unwrap();
        assert_eq!(read.name.as_str(), process.name);
        assert_eq!(read.peer_address, address);
        let expected = "addresses";
        assert_eq!(file.required("log", "address", expected), Some(address));
        assert_eq!(file.list("entries", "peers", expected), Some(vec![address]));
        assert_eq!(file.list("shards", "data_centres", expected), Some(vec!["a".to_owned()]));
    }
}

/// Guards against a truncated answer that is accepted as complete.
#[actix_rt::test]
async fn truncated_answer_is_incomplete() {
    let options = UpstreamOptions {
        name: "upstream-1".into(),
        service: cactusdoor_core::name::ServiceName::new("counter").unwrap(),
        agent: None,
        announced: None,
        slots: 1,
        connections: 8,
        service_time_ms: 0,
        answer_bytes: 1_000,
        history: None,
    };
    let upstream = UpstreamStandin::spawn(loopback(), options).unwrap();
    let client = ApiClient::open(upstream.address());
    let post = || client.send(Method::POST, "/v1/requests", &[], bytes::Bytes::new());
    assert_eq!(post().await.unwrap().success().unwrap().body.len(), 1_000);
    upstream.set_fault(UpstreamFault { break_answers: 1, ..UpstreamFault::default() });
    assert_matches!(post().await, Err(ApiError::IncompleteAnswer { .. }));
    let missing = client.get("/v1/none").await.unwrap().success();
    assert_matches!(missing, Err(ApiError::Status { status: 404, .. }));
}
