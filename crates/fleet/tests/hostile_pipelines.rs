//! Pipelined requests whose answers are not read.

mod hostile;
mod support;

use std::time::Duration;

use hostile::{CONNECTIONS, Load, check, head};

/// Bytes of the requests of each connection.
const PIPELINED_BYTES: usize = 4_000_000;

/// Guards against answers that pile up in memory, and requests that are read ahead.
#[actix_web::test]
async fn pipelined_requests_without_reading() {
    check(|target| {
        let request = head("GET", &target.path(0), "");
        let requests = request.repeat(PIPELINED_BYTES / request.len()).into_bytes();
        let bytes = vec![requests; CONNECTIONS / 4];
        vec![Load { bytes, piece: usize::MAX, pause: Duration::from_millis(1), read: 0 }]
    })
    .await;
}
