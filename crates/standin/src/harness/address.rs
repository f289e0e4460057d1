//! Free loopback addresses.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};

use crate::socket::is_free;

/// Below the range from which systems choose ports of outgoing connections, so
/// that none of them takes a port between its choice and its use.
const FIRST_PORT: u16 = 10_000;
const LAST_PORT: u16 = 30_000;

/// An address of the loopback network that differs between concurrent processes.
#[must_use]
pub fn loopback_ip() -> IpAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    // Process ids have at most 22 bits. The last byte avoids 0 and 255, and the
    // second one the networks that other programs use.
    let network = 128 | (low & 0x80) >> 1 | (high & 0x3f);
    Ipv4Addr::new(127, network, middle, (low & 0x7f) + 1).into()
}

/// An address that nobody listens on; each call returns another one.
pub fn free_address() -> io::Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    loop {
        let port = NEXT.fetch_add(1, Ordering::Relaxed);
        if port > LAST_PORT {
            return Err(io::Error::other("no free port is left"));
        }
        let address = SocketAddr::new(loopback_ip(), port);
        if is_free(address) {
            return Ok(address);
        }
    }
}
