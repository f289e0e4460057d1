//! Slow senders and slow readers in large numbers.

mod hostile;
mod support;

use std::time::Duration;

use hostile::{CONNECTIONS, Load, check, head, job};

fn load(bytes: Vec<u8>, read: usize) -> Load {
    Load {
        bytes: vec![bytes; CONNECTIONS],
        piece: if read > 0 { usize::MAX } else { 1 },
        pause: Duration::from_millis(100),
        read,
    }
}

/// Guards against connections that are held open by heads, bodies and answers that hardly move.
#[actix_web::test]
async fn slow_senders_and_readers() {
    check(|target| {
        let body = job(1_000);
        let fields = format!("content-length: {}\r\n", body.len());
        let slow_head = head("POST", &target.path(0), &fields);
        let large_head = format!("{}{}", &slow_head[..slow_head.len() - 2], "x".repeat(100_000));
        let answered = head("GET", &target.path(0), "").repeat(20_000);
        let mut loads = vec![
            load(slow_head.into_bytes(), 0),
            load(Vec::new(), 0),
            load(answered.into_bytes(), 1),
        ];
        loads.push(Load { piece: usize::MAX, ..load(large_head.into_bytes(), 0) });
        loads
    })
    .await;
}
