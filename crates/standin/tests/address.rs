//! Addresses of the harness while other threads start child processes.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};

use cactusdoor_standin::harness::address::free_address;
use cactusdoor_standin::harness::child::{ChildSet, ChildSpec};
use cactusdoor_standin::relay::TcpRelay;

/// Addresses that each test thread chooses and binds.
const ADDRESSES: usize = 150;

/// Starts and ends a child over and over until `done`.
fn start_children(done: &AtomicBool) {
    let directory = tempfile::tempdir().unwrap();
    let mut children = ChildSet::default();
    let spec = ChildSpec {
        program: std::env::current_exe().unwrap(),
        arguments: vec!["--list".into()],
        log: directory.path().join("log"),
        operator: SocketAddr::from(([127, 0, 0, 1], 1)),
    };
    children.spawn("child", spec).unwrap();
    while !done.load(Ordering::Relaxed) {
        children.restart("child").unwrap();
    }
}

/// Guards against an address that is still in use when it is bound: a child that
/// another thread starts holds copies of all sockets until it runs its program.
#[test]
fn chosen_address_can_be_bound_while_children_start() {
    let done = AtomicBool::new(false);
    let failures: Vec<String> = std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| start_children(&done));
        }
        let binders: Vec<_> = (0..2).map(|_| scope.spawn(bind_addresses)).collect();
        let failures = binders.into_iter().flat_map(|binder| binder.join().unwrap()).collect();
        done.store(true, Ordering::Relaxed);
        failures
    });
    assert_eq!(failures, Vec::<String>::new());
}

/// Binds addresses twice, as an upstream does that returns; the errors.
fn bind_addresses() -> Vec<String> {
    let mut failures = Vec::new();
    for _ in 0..ADDRESSES {
        let address = free_address().unwrap();
        for time in ["first", "second"] {
            if let Err(error) = TcpRelay::spawn(address, address) {
                failures.push(format!("{address}, {time} time: {error}"));
            }
        }
    }
    failures
}
