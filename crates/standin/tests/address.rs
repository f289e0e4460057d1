//! Binding of addresses while other threads start child processes.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};

use cactusdoor_standin::harness::address::free_address;
use cactusdoor_standin::harness::child::{ChildSet, ChildSpec};
use cactusdoor_standin::relay::TcpRelay;

/// Addresses that each test thread selects and binds.
const ADDRESS_COUNT: usize = 150;

/// Kills and starts a child repeatedly until `done`.
fn restart_child(done: &AtomicBool) {
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
/// another thread starts holds copies of all sockets until it executes its program.
#[test]
fn free_address_can_be_bound_while_children_start() {
    let done = AtomicBool::new(false);
    let failures: Vec<String> = std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| restart_child(&done));
        }
        let binders: Vec<_> = (0..2).map(|_| scope.spawn(bind_addresses)).collect();
        let failures = binders.into_iter().flat_map(|binder| binder.join().unwrap()).collect();
        done.store(true, Ordering::Relaxed);
        failures
    });
    assert_eq!(failures, Vec::<String>::new());
}

/// Binds each address twice, as a restarted upstream does; returns the errors.
fn bind_addresses() -> Vec<String> {
    let mut failures = Vec::new();
    for _ in 0..ADDRESS_COUNT {
        let address = free_address().unwrap();
        for attempt in ["first", "second"] {
            if let Err(error) = TcpRelay::spawn(address, address) {
                failures.push(format!("{address}, {attempt} bind: {error}"));
            }
        }
    }
    failures
}
