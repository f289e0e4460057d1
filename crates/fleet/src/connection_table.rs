//! Open connections of a listening address, and which of them is given up for a new one.

use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::connection::Connection;
use crate::limits::{ClientLimits, RejectCause};

/// Time for which a connection may wait for its client before a new one may displace it: a
/// few round trips.
const DISPLACE_AGE: Duration = Duration::from_millis(500);

/// Displaced connections that may still be open beside the limit.
const MAX_ENDING: usize = 16;

/// Which address a connection came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServedAddress {
    Callers,
    Ready,
    Metrics,
}

/// What the handler of a request knows about its connection.
#[derive(Clone)]
pub struct CallerConnection {
    pub connection: Rc<Connection>,
    pub table: Rc<ConnectionTable>,
    pub address: ServedAddress,
}

/// The open connections, oldest first.
#[derive(Default)]
pub struct ConnectionTable {
    connections: RefCell<IndexMap<u64, Rc<Connection>>>,
    next: Cell<u64>,
}

impl ConnectionTable {
    /// Adds a connection; its number removes it.
    pub fn insert(&self, connection: Rc<Connection>) -> u64 {
        let number = self.next.replace(self.next.get() + 1);
        self.connections.borrow_mut().insert(number, connection);
        number
    }

    pub fn remove(&self, number: u64) {
        self.connections.borrow_mut().swap_remove(&number);
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.connections.borrow().is_empty()
    }

    /// Why no connection of `peer` can be added now; `None` also if it takes the place of one
    /// that waits for its client, which then ends.
    #[must_use]
    pub fn find_excess(&self, peer: IpAddr, limits: &ClientLimits) -> Option<RejectCause> {
        let connections = self.connections.borrow();
        let open = connections.len();
        let is_peer = |connection: &Rc<Connection>| connection.peer == peer;
        // The connections of a peer are counted only if there may be too many.
        let of_peer = if open < limits.peer_connections {
            0
        } else {
            connections.values().filter(|connection| is_peer(connection)).count()
        };
        let (cause, own, excess) =
            if let Some(excess) = of_peer.checked_sub(limits.peer_connections) {
                (RejectCause::PeerConnections, true, excess)
            } else if let Some(excess) = open.checked_sub(limits.connections) {
                (RejectCause::Connections, false, excess)
            } else {
                return None;
            };
        if excess >= MAX_ENDING {
            return Some(cause);
        }
        let candidates = connections.values().filter(|connection| !own || is_peer(connection));
        let displaced = displace_oldest(candidates, DISPLACE_AGE);
        (!displaced).then_some(cause)
    }

    /// Gives up the body that has been arriving longest, if for at least `age`.
    pub fn displace_body(&self, except: &Rc<Connection>, age: Duration) {
        let connections = self.connections.borrow();
        let bodies = connections.values().filter(|connection| connection.reads_body());
        displace_oldest(bodies.filter(|connection| !Rc::ptr_eq(connection, except)), age);
    }

    /// Ends each connection once it has no request.
    pub fn end_all(&self) {
        self.connections.borrow().values().for_each(|connection| connection.end());
    }
}

/// Displaces the connection that has waited longest; whether one has waited for at least `age`.
fn displace_oldest<'a>(
    candidates: impl Iterator<Item = &'a Rc<Connection>>,
    age: Duration,
) -> bool {
    let waiting =
        candidates.filter_map(|connection| Some((connection.waiting_since()?, connection)));
    let oldest = waiting.min_by_key(|(since, _)| *since);
    let Some((_, connection)) = oldest.filter(|(since, _)| *since + age <= Instant::now()) else {
        return false;
    };
    connection.displace();
    true
}
