//! Bodies of callers' requests, within a limit of bytes over all connections.
//!
//! A body is charged as it arrives. If there is no room for it, the body that has been arriving
//! longest is given up, as its client is the most likely not to end it.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use actix_web::http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use actix_web::web::Payload;
use futures::Stream as _;
use tokio::time::Instant;

use crate::connection_table::CallerConnection;
use crate::limits::{CALL_BYTES, RejectCause};

/// Least growth of a body's memory.
const GROWTH_BYTES: usize = 16 * 1024;
/// Longest wait for room: a third of the default deadline, and twice `GIVE_UP_AGE`.
const ROOM_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two attempts to get room.
const ROOM_PAUSE: Duration = Duration::from_millis(20);
/// Age from which a body is given up for another one: above the 0.21 s of the largest legal
/// body on a link of 10 Mbit/s.
const GIVE_UP_AGE: Duration = Duration::from_millis(500);

/// Bytes of bodies that are held, over all connections.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    used: Arc<AtomicUsize>,
    limit: usize,
}

impl BodyBudget {
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { used: Arc::default(), limit }
    }

    #[must_use]
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// A lease of no bytes.
    #[must_use]
    pub fn lease(&self) -> BodyLease {
        BodyLease { budget: self.clone(), bytes: 0 }
    }
}

/// Part of the budget; returned when it is dropped.
#[derive(Debug)]
pub struct BodyLease {
    budget: BodyBudget,
    bytes: usize,
}

impl BodyLease {
    /// Whether the budget has room for `bytes` more, which are then part of the lease.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let limit = self.budget.limit;
        let grown = self.budget.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |used| {
            used.checked_add(bytes).filter(|total| *total <= limit)
        });
        if grown.is_ok() {
            self.bytes += bytes;
        }
        grown.is_ok()
    }
}

impl Drop for BodyLease {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A whole body and its part of the budget.
#[derive(Debug)]
pub struct HeldBody {
    pub bytes: Vec<u8>,
    pub lease: BodyLease,
}

/// What the head of a request says about its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeclaredBody {
    Empty,
    Sized(usize),
    Chunked,
}

impl DeclaredBody {
    #[must_use]
    pub fn of(headers: &HeaderMap) -> Self {
        if headers.contains_key(TRANSFER_ENCODING) {
            return Self::Chunked;
        }
        let length = headers.get(CONTENT_LENGTH);
        match length.and_then(|length| length.to_str().ok()?.trim().parse().ok()) {
            Some(0) | None => Self::Empty,
            Some(length) => Self::Sized(length),
        }
    }
}

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    Rejected(RejectCause),
    /// The client closed the connection, or the body is not encoded correctly.
    Broken,
}

/// Reads the body of a request with these headers, of at most `limit` bytes.
pub async fn read(
    caller: &CallerConnection,
    headers: &HeaderMap,
    payload: &mut Payload,
    budget: &BodyBudget,
    limit: usize,
) -> Result<HeldBody, BodyError> {
    let mut body = HeldBody { bytes: Vec::new(), lease: budget.lease() };
    match DeclaredBody::of(headers) {
        DeclaredBody::Empty => return Ok(body),
        DeclaredBody::Sized(length) if length > limit => {
            return Err(BodyError::Rejected(RejectCause::BodySize));
        }
        DeclaredBody::Sized(_) | DeclaredBody::Chunked => {}
    }
    make_room(caller, &mut body.lease, CALL_BYTES).await?;
    let limits = caller.connection.limits;
    let started = Instant::now();
    caller.connection.permit_body();
    loop {
        let pause = Instant::now() + Duration::from_millis(limits.body);
        let deadline = pause.min(started + limits.body_time(body.bytes.len()));
        let chunk = poll_fn(|context| {
            let polled = Pin::new(&mut *payload).poll_next(context);
            if polled.is_pending() {
                caller.connection.widen();
            }
            polled
        });
        let chunk = match tokio::time::timeout_at(deadline, chunk).await {
            Ok(Some(Ok(chunk))) => chunk,
            Ok(Some(Err(error))) => {
                log::debug!("a body has not arrived: {error}");
                return Err(BodyError::Broken);
            }
            Ok(None) => break,
            Err(_) => return Err(BodyError::Rejected(RejectCause::BodyTime)),
        };
        if body.bytes.len() + chunk.len() > limit {
            return Err(BodyError::Rejected(RejectCause::BodySize));
        }
        if body.bytes.len() + chunk.len() > body.bytes.capacity() {
            let growth = chunk.len().max(GROWTH_BYTES);
            make_room(caller, &mut body.lease, growth).await?;
            body.bytes.reserve_exact(growth);
        }
        body.bytes.extend_from_slice(&chunk);
    }
    caller.connection.end_body();
    Ok(body)
}

async fn make_room(
    caller: &CallerConnection,
    lease: &mut BodyLease,
    bytes: usize,
) -> Result<(), BodyError> {
    let deadline = Instant::now() + ROOM_TIMEOUT;
    while !lease.grow(bytes) {
        caller.table.displace_body(&caller.connection, GIVE_UP_AGE);
        if Instant::now() >= deadline {
            return Err(BodyError::Rejected(RejectCause::BodyBytes));
        }
        tokio::time::sleep(ROOM_PAUSE).await;
    }
    Ok(())
}

/// Number of JSON values in `body`, at most `limit` + 1: strings, numbers, names, lists and maps.
///
/// Counts separators outside strings, so that no value is built. Keys count as values, as they
/// take memory too.
#[must_use]
pub fn count_values(body: &[u8], limit: usize) -> usize {
    let (mut values, mut in_string, mut escaped) = (1, false, false);
    for byte in body {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            b',' | b':' | b'[' | b'{' if !in_string => values += 1,
            _ => {}
        }
        if values > limit {
            break;
        }
    }
    values
}
