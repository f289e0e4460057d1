//! The upstream stand-in: executions, limits, announcements and faults.

mod common;

use std::net::SocketAddr;
use std::sync::mpsc;

use actix_web::HttpResponse;
use actix_web::web::{Json, delete, put};
use assert_matches::assert_matches;
use awc::error::{ConnectError, SendRequestError};
use cactusdoor_core::name::ServiceName;
use cactusdoor_standin::announcer::UpstreamAnnouncement;
use cactusdoor_standin::server::RunningServer;
use cactusdoor_standin::upstream::{
    AnswerBody, ExecutionChange, RequestParameters, UpstreamFault, UpstreamOptions, UpstreamStandin,
};
use futures::future::join_all;

use common::{eventually, loopback};

fn options() -> UpstreamOptions {
    UpstreamOptions {
        name: "upstream-1".into(),
        service: ServiceName::new("counter").unwrap(),
        agent: None,
        announced: None,
        slots: 2,
        connections: 8,
        service_time_ms: 0,
        answer_bytes: 0,
        history: None,
    }
}

fn open(options: UpstreamOptions) -> UpstreamStandin {
    UpstreamStandin::spawn(loopback(), options).unwrap()
}

fn post(client: &awc::Client, address: SocketAddr, id: &str) -> awc::ClientRequest {
    let request = client.post(format!("http://{address}/v1/requests"));
    request
        .insert_header(("X-Request-Id", id))
        .insert_header(("X-Plan", "plan"))
        .insert_header(("X-Service", "counter"))
}

/// Guards against answers that do not identify their request, and against a size
/// or service time other than the request sets.
#[actix_rt::test]
async fn answer_identifies_its_request() {
    let upstream = open(options());
    let client = awc::Client::default();
    let parameters = RequestParameters { service_time_ms: Some(20), answer_bytes: Some(5_000) };
    let started = std::time::Instant::now();
    let request = post(&client, upstream.address(), "r-1").insert_header(("Idempotency-Key", "k"));
    let mut response = request.send_json(&parameters).await.unwrap();
    assert!(started.elapsed().as_millis() >= 20);
    let body = response.body().await.unwrap();
    assert_eq!(body.len(), 5_000);
    let answer: AnswerBody = serde_json::from_slice(&body).unwrap();
    assert_eq!(answer.request_id, "r-1");
    assert_eq!(answer.key.as_deref(), Some("k"));
    let sent = serde_json::to_vec(&parameters).unwrap();
    assert_eq!(answer.body_digest, xxhash_rust::xxh3::xxh3_64(&sent));
    let history = upstream.history();
    assert_matches!(history[0].change, ExecutionChange::Started { leaving_us: None });
    assert_eq!(history[1].change, ExecutionChange::Completed);
    assert!(history.iter().all(|record| record.key.as_deref() == Some("k")));
}

/// Guards against more concurrent executions than slots.
#[actix_rt::test]
async fn concurrent_executions_do_not_exceed_the_slots() {
    let upstream = open(UpstreamOptions { service_time_ms: 30, ..options() });
    let client = awc::Client::default();
    let posts = (0..8).map(|number| {
        let id = format!("r-{number}");
        post(&client, upstream.address(), &id).send()
    });
    for response in join_all(posts).await {
        assert!(response.unwrap().status().is_success());
    }
    let mut running = 0;
    for record in upstream.history() {
        match record.change {
            ExecutionChange::Started { .. } => running += 1,
            _ => running -= 1,
        }
        assert!((0..=2).contains(&running));
    }
    assert_eq!(upstream.status().executions, 8);
}

/// Guards against a connection limit that is not enforced.
#[actix_rt::test]
async fn connections_beyond_the_limit_are_closed() {
    let upstream = open(UpstreamOptions { connections: 1, service_time_ms: 300, ..options() });
    let (first, second) = (awc::Client::default(), awc::Client::default());
    let admitted = post(&first, upstream.address(), "r-1").send();
    let excess = async {
        eventually("the first request runs", || upstream.status().executions == 1).await;
        post(&second, upstream.address(), "r-2").send().await
    };
    let (admitted, excess) = futures::join!(admitted, excess);
    assert!(admitted.is_ok());
    assert!(excess.is_err());
    assert_eq!(upstream.status().over_limit, 1);
    assert_eq!(upstream.status().executions, 1);
}

/// Guards against faults that prevent the execution, or that do not affect the answer.
#[actix_rt::test]
async fn requests_with_truncated_or_lost_answers_are_executed() {
    let upstream = open(UpstreamOptions { answer_bytes: 2_000, ..options() });
    let client = awc::Client::default();
    upstream.set_fault(UpstreamFault { break_answers: 1, ..UpstreamFault::default() });
    let mut response = post(&client, upstream.address(), "r-1").send().await.unwrap();
    let content_length = response.headers().get("Content-Length").unwrap().to_str().unwrap();
    assert_eq!(content_length, "2000");
    // `awc` reports a body that ends early as complete, so the length is checked.
    assert!(response.body().await.is_ok_and(|body| body.len() == 1_000));
    upstream.set_fault(UpstreamFault { lose_answers: 1, ..UpstreamFault::default() });
    assert!(post(&client, upstream.address(), "r-2").send().await.is_err());
    assert_eq!(upstream.status().executions, 2);
    upstream.set_fault(UpstreamFault { status: Some(500), ..UpstreamFault::default() });
    let failed = post(&client, upstream.address(), "r-3").send().await.unwrap();
    assert_eq!(failed.status().as_u16(), 500);
}

/// Guards against a refusal that still executes requests, or that never ends.
#[actix_rt::test]
async fn upstream_accepts_connections_after_the_refusal_time() {
    let upstream = open(options());
    let client = awc::Client::default();
    upstream.set_fault(UpstreamFault { refuse_ms: 500, ..UpstreamFault::default() });
    loop {
        match post(&client, upstream.address(), "r-1").send().await {
            Err(SendRequestError::Connect(ConnectError::Io(_))) => break,
            _ => tokio::time::sleep(std::time::Duration::from_millis(5)).await,
        }
    }
    let executed = upstream.status().executions;
    while post(&client, upstream.address(), "r-2").send().await.is_err() {
        assert_eq!(upstream.status().executions, executed);
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
}

/// An agent's announcement endpoint, and a receiver of its calls; `None` is a withdrawal.
fn announcement_server() -> (RunningServer, mpsc::Receiver<Option<UpstreamAnnouncement>>) {
    let (sender, receiver) = mpsc::channel();
    let server = RunningServer::spawn(loopback(), 1, move |config| {
        let (announced, withdrawn) = (sender.clone(), sender.clone());
        let announce = move |body: Json<UpstreamAnnouncement>| {
            announced.send(Some(body.into_inner())).unwrap();
            async { HttpResponse::NoContent().finish() }
        };
        let withdraw = move || {
            withdrawn.send(None).unwrap();
            async { HttpResponse::NoContent().finish() }
        };
        config.route("/v1/upstream", put().to(announce));
        config.route("/v1/upstream", delete().to(withdraw));
    });
    (server.unwrap(), receiver)
}

/// Guards against an upstream that announces itself only once, or that still
/// announces itself after its withdrawal.
#[actix_rt::test]
async fn upstream_announces_itself_until_it_leaves() {
    let (agent, announcements) = announcement_server();
    let upstream =
        open(UpstreamOptions { agent: Some(agent.address()), service_time_ms: 300, ..options() });
    for _ in 0..2 {
        let announcement = announcements.recv().unwrap().unwrap();
        assert_eq!(announcement.address, upstream.address());
        assert_eq!((announcement.slots, announcement.connections), (2, 8));
    }
    let client = awc::Client::default();
    let request = post(&client, upstream.address(), "r-1").send();
    let leave = async {
        eventually("the request runs", || upstream.status().executions == 1).await;
        upstream.leave();
        eventually("the agent acknowledges the withdrawal", || {
            upstream.status().withdrawn_unix_us.is_some()
        })
        .await;
    };
    let (response, ()) = futures::join!(request, leave);
    assert!(response.unwrap().status().is_success());
    while announcements.recv().unwrap().is_some() {}
    let late = post(&client, upstream.address(), "r-2").send().await;
    assert!(late.is_ok());
    let history = upstream.history();
    let late = history.iter().find(|record| record.request_id == "r-2").unwrap();
    assert_matches!(late.change, ExecutionChange::Started { leaving_us: Some(_) });
    assert!(announcements.try_recv().is_err());
}
