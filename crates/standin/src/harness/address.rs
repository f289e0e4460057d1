//! Selection of free loopback addresses.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};

use crate::socket::is_free;

/// Lowest port. The range is below the ephemeral ports, so that no outgoing
/// connection takes a port between its selection and its use.
const FIRST_PORT: u16 = 10_000;
const LAST_PORT: u16 = 30_000;

/// Loopback address derived from the process id, so that concurrent processes differ.
#[must_use]
pub fn loopback_ip() -> IpAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    // Process ids have at most 22 bits. The last byte avoids 0 and 255; the second
    // byte is at least 128, because other programs use lower networks.
    let second = 128 | (low & 0x80) >> 1 | (high & 0x3f);
    Ipv4Addr::new(127, second, middle, (low & 0x7f) + 1).into()
}

/// An address that nobody listens on; each call returns a different one.
///
/// Fails once all ports have been returned.
pub fn free_address() -> io::Result<SocketAddr> {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        if port > LAST_PORT {
            return Err(io::Error::other("no free loopback port remains"));
        }
        let address = SocketAddr::new(loopback_ip(), port);
        if is_free(address) {
            return Ok(address);
        }
    }
}
