//! Listening sockets in a process that starts children.
//!
//! All children and listeners of the process have to go through this module;
//! otherwise a child can hold a copy of a closed listener.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::history::lock;

/// Held while a child is started and while an address is bound. Between fork and
/// exec a child holds copies of all sockets, so a closed address stays in use.
static SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// Longest time for which a bind is retried while the address is in use. Linux
/// resumes the parent shortly before it closes the child's copies of a listener.
const ADDRESS_RELEASE_TIMEOUT: Duration = Duration::from_secs(1);
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(1);

/// Starts a child; returns once it executes its program.
pub fn spawn_child(command: &mut Command) -> io::Result<Child> {
    let _guard = lock(&SPAWN_LOCK);
    command.spawn()
}

/// Binds an address whose listener this process may have just closed.
pub fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let _guard = lock(&SPAWN_LOCK);
    let deadline = Instant::now() + ADDRESS_RELEASE_TIMEOUT;
    loop {
        match TcpListener::bind(address) {
            Err(error) if error.kind() == ErrorKind::AddrInUse && Instant::now() < deadline => {
                std::thread::sleep(BIND_RETRY_INTERVAL);
            }
            bound => return bound,
        }
    }
}

/// Whether nobody listens on an address.
#[must_use]
pub fn is_free(address: SocketAddr) -> bool {
    let _guard = lock(&SPAWN_LOCK);
    // Closed before the lock is released, so that no child gets a copy.
    TcpListener::bind(address).is_ok()
}
