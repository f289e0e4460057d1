//! Legal requests with very many short fields.

mod hostile;
mod support;

use std::time::Duration;

use hostile::{CONNECTIONS, Load, check, head};

/// Guards against values that take far more memory than their length when they are parsed.
#[actix_web::test]
async fn many_short_fields() {
    check(|target| {
        let steps = format!(r#"{{"spec":"1","steps":[{}{{}}]}}"#, "{},".repeat(80_000));
        let unknown = (0..20_000).map(|number| format!(r#""f{number}":0,"#));
        let unknown = unknown.collect::<String>();
        let unknown = format!(r#"{{"spec":"1","steps":[{{{unknown}"count":1}}]}}"#);
        [steps, unknown]
            .map(|body| {
                let request = |number| {
                    let fields = format!("content-length: {}\r\n", body.len());
                    format!("{}{body}", head("POST", &target.path(number), &fields)).into_bytes()
                };
                let bytes = (0..CONNECTIONS / 6).map(request).collect();
                Load { bytes, piece: usize::MAX, pause: Duration::from_millis(1), read: 4_096 }
            })
            .into()
    })
    .await;
}
