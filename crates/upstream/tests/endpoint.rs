//! The HTTP endpoint for announcements.

use actix_web::http::StatusCode;
use actix_web::test::{TestRequest, call_service, init_service};
use actix_web::{App, test};
use cactusdoor_node::clock::MonotonicClock;
use cactusdoor_timeline::{EventKind, EventLog};
use cactusdoor_upstream::UpstreamRegistry;
use serde_json::json;

fn registry() -> (UpstreamRegistry, EventLog) {
    let events = EventLog::open("agent".parse().unwrap());
    let vm = "vm".parse().unwrap();
    (UpstreamRegistry::open(vm, MonotonicClock::open(), events.clone()), events)
}

/// Guards against announcements that are lost, or accepted with values out of range.
#[test]
async fn announcements_are_checked_and_applied() {
    let (registry, events) = registry();
    let app = init_service(App::new().configure(|config| registry.configure(config))).await;
    let put = |slots: u32| {
        TestRequest::put().uri("/v1/upstream").set_json(json!({
            "service": "s", "address": "127.0.0.1:9000", "slots": slots, "connections": 64,
        }))
    };
    let refused = call_service(&app, put(0).to_request()).await;
    assert_eq!(refused.status(), StatusCode::BAD_REQUEST);
    assert!(registry.present().is_empty());
    for _ in 0..2 {
        let accepted = call_service(&app, put(8).to_request()).await;
        assert_eq!(accepted.status(), StatusCode::NO_CONTENT);
    }
    assert_eq!(registry.present().len(), 1);
    let leave = TestRequest::delete().uri("/v1/upstream").to_request();
    assert_eq!(call_service(&app, leave).await.status(), StatusCode::NO_CONTENT);
    assert!(registry.present()[0].is_leaving());
    let late = call_service(&app, put(8).to_request()).await;
    assert_eq!(late.status(), StatusCode::CONFLICT);
    let kinds: Vec<EventKind> =
        events.page(0, 10).events.into_iter().map(|event| event.kind).collect();
    let (vm, service) = ("vm".parse().unwrap(), "s".parse().unwrap());
    let expected = [
        EventKind::UpstreamAnnounced { vm: "vm".parse().unwrap(), service: "s".parse().unwrap() },
        EventKind::UpstreamLeaving { vm, service },
    ];
    assert_eq!(kinds, expected);
}
