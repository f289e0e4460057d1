//! Bodies of legal size that stop just short of their end, over many open connections.

mod hostile;
mod support;

use std::time::Duration;

use hostile::{CONNECTIONS, Load, Target, check, head, job};

/// Size of each job's spec: just under the operators' limit.
const SPEC_BYTES: usize = 250_000;

/// All bytes but the last, with a length.
fn sized(target: Target, number: usize) -> Vec<u8> {
    let body = job(SPEC_BYTES);
    let fields = format!("content-length: {}\r\n", body.len());
    let mut bytes = head("POST", &target.path(number), &fields).into_bytes();
    bytes.extend_from_slice(&body.as_bytes()[..body.len() - 1]);
    bytes
}

/// All bytes but the last, in chunks of `size`, without the last chunk.
fn chunked(target: Target, number: usize, size: usize) -> Vec<u8> {
    let body = job(SPEC_BYTES);
    let fields = "transfer-encoding: chunked\r\n";
    let mut bytes = head("POST", &target.path(number), fields).into_bytes();
    for chunk in body.as_bytes()[..body.len() - 1].chunks(size) {
        bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

fn load(bytes: impl Fn(usize) -> Vec<u8>, piece: usize) -> Load {
    let bytes = (0..CONNECTIONS).map(bytes).collect();
    Load { bytes, piece, pause: Duration::from_millis(1), read: 0 }
}

/// Guards against the memory of unfinished bodies growing with the number of connections.
#[actix_web::test]
async fn bodies_that_stop_short() {
    check(|target| {
        vec![
            load(|number| sized(target, number), usize::MAX),
            load(|number| sized(target, number), 8_000),
            load(|number| chunked(target, number, 1_000), usize::MAX),
        ]
    })
    .await;
}
