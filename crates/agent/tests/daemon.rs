//! A whole agent process, called through its RPC service and operator routes.

mod support;

use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use cactusdoor_agent::daemon::AgentDaemon;
use cactusdoor_node::agent::AgentSettings;
use cactusdoor_peer::answer::{
    CallFailure, CallRefusal, ClaimDelivery, DeliveryFailure, RequestId, UpstreamCall,
};
use cactusdoor_peer::{AgentServiceClient, wire};
use support::fake_worker::FakeWorker;
use tarpc::context::Context;

fn settings(worker: &FakeWorker) -> AgentSettings {
    let text = format!(
        "[process]\nname = agent-1\nvm = vm-1\ndata_centre = dc1\nrack = r1\n\
         peer_address = 127.0.0.1:0\noperator_address = 127.0.0.1:0\n\
         [log]\naddress = 127.0.0.1:9\n[entries]\npeers = 127.0.0.1:9\n\
         [shards]\ndata_centres = dc1\n[worker]\naddress = {}\n\
         [upstream]\naddress = 127.0.0.1:0\n[limits]\nworker_poll_ms = 20\n",
        worker.address
    );
    AgentSettings::parse(Path::new("agent.ini"), &text).unwrap()
}

async fn connect(daemon: &AgentDaemon) -> AgentServiceClient {
    let (client, dispatch) = wire::connect_agent(daemon.identity.address).await.unwrap();
    actix_rt::spawn(dispatch);
    client
}

fn call(body: Bytes) -> UpstreamCall {
    UpstreamCall {
        id: RequestId { entry: 1, number: 2, attempt: 0 },
        plan: "plan".parse().unwrap(),
        service: "echo".parse().unwrap(),
        deadline_left_ms: 20_000,
        body,
    }
}

/// An upstream that answers with the body of the request.
fn echo_upstream() -> std::net::SocketAddr {
    use actix_web::web::{PayloadConfig, post};
    let server = actix_web::HttpServer::new(|| {
        actix_web::App::new()
            .app_data(PayloadConfig::new(16 * 1024 * 1024))
            .route("/v1/requests", post().to(|body: Bytes| async { body }))
    });
    let server = server.workers(1).disable_signals().bind("127.0.0.1:0").unwrap();
    let address = server.addrs()[0];
    actix_rt::spawn(server.run());
    address
}

/// Guards against permitted bodies that do not fit into a frame, against announcements
/// that the relay does not see, and against a stop that hangs.
#[actix_rt::test]
async fn announced_upstream_answers_through_the_agent() {
    let worker = FakeWorker::spawn();
    let daemon = AgentDaemon::spawn(settings(&worker)).await.unwrap();
    let agent = connect(&daemon).await;
    let unannounced = agent.call(Context::current(), call(Bytes::new())).await.unwrap();
    assert_eq!(unannounced, Err(CallFailure::NotRun(CallRefusal::NoUpstream)));
    let announced = awc::Client::default()
        .put(format!("http://{}/v1/upstream", daemon.upstream_address))
        .send_json(&serde_json::json!({
            "service": "echo", "address": echo_upstream(), "slots": 8, "connections": 64,
        }));
    assert!(announced.await.unwrap().status().is_success());
    let body = Bytes::from(vec![b'x'; 8 * 1024 * 1024]);
    let answer = agent.call(Context::current(), call(body.clone())).await.unwrap().unwrap();
    assert_eq!(answer.digest, cactusdoor_peer::digest(&body));
    assert_eq!(answer.length, 8 * 1024 * 1024);
    let delivery = ClaimDelivery {
        key: cactusdoor_core::claim::RequestKey {
            plan: "plan".parse().unwrap(),
            key: "key".parse().unwrap(),
        },
        claim: 7,
        agent_incarnation: daemon.identity.incarnation,
        call: call(Bytes::from_static(b"once")),
    };
    let first = agent.deliver(Context::current(), delivery.clone()).await.unwrap().unwrap();
    assert_eq!(&first.body[..], b"once");
    let second = agent.deliver(Context::current(), delivery).await.unwrap();
    assert_eq!(second, Err(DeliveryFailure::DeliveredBefore));
    tokio::time::timeout(Duration::from_secs(20), daemon.stop()).await.unwrap();
}

/// Guards against an agent that is ready before it has the worker's inventory, and
/// against missing operator routes.
#[actix_rt::test]
async fn operator_routes_report_the_agent_status() {
    let worker = FakeWorker::spawn();
    worker.state().running.insert(10, support::listed(10, 8_000));
    let daemon = AgentDaemon::spawn(settings(&worker)).await.unwrap();
    let http = awc::Client::default();
    let url = |path: &str| format!("http://{}{path}", daemon.operator_address);
    let ready = async {
        while !http.get(url("/readyz")).send().await.unwrap().status().is_success() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), ready).await.unwrap();
    let mut agent = http.get(url("/v1/agent")).send().await.unwrap();
    let agent: serde_json::Value = agent.json().await.unwrap();
    assert_eq!(agent["committed"]["processors"], 1_000);
    assert_eq!(agent["held"][0]["token"], 10);
    let mut config = http.get(url("/v1/config")).send().await.unwrap();
    let config: serde_json::Value = config.json().await.unwrap();
    assert_eq!(config["revision"], 0);
    assert!(config["confirmed_age_ms"].is_null());
    let metrics = http.get(url("/metrics")).send().await.unwrap().body().await.unwrap();
    let metrics = String::from_utf8(metrics.to_vec()).unwrap();
    assert!(metrics.contains("cactusdoor_agent_heartbeats_total"));
}
