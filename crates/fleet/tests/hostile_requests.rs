//! Single requests that are not legal get a clear error.

mod hostile;
mod support;

use hostile::{LIMITS, complete_job, exchange, head, lock};
use support::TestCluster;

/// Guards against connections that are closed without an answer, or answered as accepted.
#[actix_web::test]
async fn illegal_requests() {
    let _lock = lock();
    let cluster = TestCluster::open_with(1, LIMITS).await;
    cluster.await_ready(0).await;
    complete_job(&cluster, "before").await;
    let callers = cluster.entry_addresses(0).0;
    let post = |body: &[u8]| {
        let fields = format!("content-length: {}\r\n", body.len());
        let mut bytes = head("POST", "/q/illegal", &fields).into_bytes();
        bytes.extend_from_slice(body);
        bytes
    };
    let steps = |step: &str| format!(r#"{{"spec":"1","steps":[{step}]}}"#).into_bytes();
    let large_head = head("POST", "/q/illegal", &format!("x: {}\r\n", "x".repeat(1_000_000)));
    let many_steps = format!("{}{{}}", "{},".repeat(1_000));
    let many_fields = format!(r#"{{"after":[{}1]}}"#, "1,".repeat(10_000));
    let cases = [
        ("100 MB", post(&vec![b' '; 100_000_000]), "413"),
        ("large head", large_head.into_bytes(), "431"),
        ("invalid UTF-8", post(b"{\"spec\":\"\xff\xfe\",\"steps\":[{}]}"), "400"),
        ("NaN", post(&steps(r#"{"estimateMs":NaN}"#)), "400"),
        ("overflow", post(&steps(r#"{"estimateMs":1e999}"#)), "400"),
        ("large count", post(&steps(r#"{"count":99999999999999999999}"#)), "400"),
        ("many steps", post(&steps(&many_steps)), "400"),
        ("many fields", post(&steps(&many_fields)), "400"),
    ];
    let mut faults = Vec::new();
    for (name, request, status) in cases {
        let answer = exchange(callers, request).await;
        let line = answer.lines().next().unwrap_or("no answer").to_owned();
        println!("{name}: {line}");
        if !line.contains(status) {
            faults.push(format!("{name}: {line}"));
        }
    }
    complete_job(&cluster, "after").await;
    cluster.check();
    assert!(faults.is_empty(), "unclear answers: {faults:#?}");
}
