//! Bodies far over the limit.

mod hostile;
mod support;

use std::time::Duration;

use hostile::{CONNECTIONS, Load, check, head};

/// Bytes sent of each body; its length announces 100 MB.
const SENT_BYTES: usize = 1_500_000;

/// Guards against bodies that are held before their length or their route is checked.
#[actix_web::test]
async fn bodies_over_the_limit() {
    check(|target| {
        ["content-length: 100000000\r\n", "transfer-encoding: chunked\r\n"]
            .map(|fields| {
                let request = |number| {
                    let mut bytes = head("POST", &target.path(number), fields).into_bytes();
                    if fields.starts_with("transfer") {
                        bytes.extend_from_slice(b"5f5e100\r\n");
                    }
                    bytes.resize(bytes.len() + SENT_BYTES, b' ');
                    bytes
                };
                let bytes = (0..CONNECTIONS / 3).map(request).collect();
                Load { bytes, piece: usize::MAX, pause: Duration::from_millis(1), read: 0 }
            })
            .into()
    })
    .await;
}
