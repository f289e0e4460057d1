//! Listening sockets beside child processes.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::history::lock;

/// Held while a child is started and while an address is bound. Between fork and
/// exec a child holds copies of all sockets, which keep a closed address in use.
static SPAWNING: Mutex<()> = Mutex::new(());

/// Linux resumes the parent shortly before the child's copies are closed, so an
/// address can be in use for a moment although no child is being started.
const COPIES_CLOSE: Duration = Duration::from_secs(1);
const BIND_PAUSE: Duration = Duration::from_millis(1);

/// Starts a child; returns once it runs its program.
pub fn spawn_child(command: &mut Command) -> io::Result<Child> {
    let _spawning = lock(&SPAWNING);
    command.spawn()
}

/// Binds an address that this process may have closed just now.
pub fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let _spawning = lock(&SPAWNING);
    let deadline = Instant::now() + COPIES_CLOSE;
    loop {
        match TcpListener::bind(address) {
            Err(error) if error.kind() == ErrorKind::AddrInUse && Instant::now() < deadline => {
                std::thread::sleep(BIND_PAUSE);
            }
            bound => return bound,
        }
    }
}

/// Whether nobody listens on an address.
#[must_use]
pub fn is_free(address: SocketAddr) -> bool {
    let _spawning = lock(&SPAWNING);
    // Closed before the lock is released, so that no child gets a copy.
    TcpListener::bind(address).is_ok()
}
