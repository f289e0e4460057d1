//! The relay actor between callers and a scripted upstream.

mod support;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix::Addr;
use bytes::Bytes;
use cactusdoor_agent::claims::ClaimLimits;
use cactusdoor_agent::metrics::AgentMetrics;
use cactusdoor_agent::relay::{
    DeliverClaim, DrainRequests, FenceClaim, ForwardCall, ListUpstreams, RelaySettings,
    RequestRelay,
};
use cactusdoor_core::claim::{ClaimOutcome, RequestKey};
use cactusdoor_core::unit::Offset;
use cactusdoor_node::clock::MonotonicClock;
use cactusdoor_peer::answer::{
    CallFailure, CallRefusal, ClaimDelivery, ClaimFence, DeliveryFailure, FenceReply, RequestId,
    UpstreamCall,
};
use cactusdoor_timeline::EventLog;
use cactusdoor_upstream::{Announcement, UpstreamRegistry};
use support::INCARNATION;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// An upstream that answers each request only when the test allows it.
struct DelayedUpstream {
    address: SocketAddr,
    received: Rc<Cell<usize>>,
    arrival: Rc<Notify>,
    proceed: Rc<Notify>,
}

const COMPLETE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npong";
const TRUNCATED: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npo";

impl DelayedUpstream {
    async fn spawn(answer: &'static [u8]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let upstream = Self {
            address,
            received: Rc::default(),
            arrival: Rc::new(Notify::new()),
            proceed: Rc::new(Notify::new()),
        };
        let (received, arrival, proceed) = (
            Rc::clone(&upstream.received),
            Rc::clone(&upstream.arrival),
            Rc::clone(&upstream.proceed),
        );
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (received, arrival, proceed) =
                    (Rc::clone(&received), Rc::clone(&arrival), Rc::clone(&proceed));
                tokio::task::spawn_local(async move {
                    answer_when_allowed(stream, answer, &received, &arrival, &proceed).await;
                });
            }
        });
        upstream
    }

    async fn wait_for_requests(&self, count: usize) {
        while self.received.get() < count {
            self.arrival.notified().await;
        }
    }
}

async fn answer_when_allowed(
    mut stream: TcpStream,
    answer: &[u8],
    received: &Cell<usize>,
    arrival: &Notify,
    proceed: &Notify,
) {
    let mut text = Vec::new();
    let mut buffer = [0; 4_096];
    while !text.ends_with(b"ping") {
        let read = stream.read(&mut buffer).await.unwrap_or(0);
        if read == 0 {
            return;
        }
        text.extend_from_slice(&buffer[..read]);
    }
    received.set(received.get() + 1);
    arrival.notify_waiters();
    proceed.notified().await;
    stream.write_all(answer).await.unwrap();
}

struct RelayHarness {
    relay: Addr<RequestRelay>,
    upstreams: UpstreamRegistry,
}

fn harness() -> RelayHarness {
    let clock = MonotonicClock::open();
    let events = EventLog::open("agent".parse().unwrap());
    let upstreams = UpstreamRegistry::open("vm".parse().unwrap(), clock, events);
    let relay = RequestRelay::spawn(RelaySettings {
        incarnation: INCARNATION,
        clock,
        upstreams: upstreams.clone(),
        limits: ClaimLimits { claims: 1_000, answer_bytes: 1_000_000 },
        metrics: AgentMetrics::open(&prometheus::Registry::new()).unwrap(),
    });
    RelayHarness { relay, upstreams }
}

impl RelayHarness {
    fn announce(&self, address: SocketAddr, slots: u32, connections: u32) {
        let service = "service".parse().unwrap();
        self.upstreams.announce(Announcement { service, address, slots, connections });
    }

    fn fence(&self, claim: Offset) -> actix::dev::Request<RequestRelay, FenceClaim> {
        let fence = ClaimFence { key: key(), claim, agent_incarnation: INCARNATION };
        self.relay.send(FenceClaim(fence))
    }
}

fn key() -> RequestKey {
    RequestKey { plan: "plan".parse().unwrap(), key: "key".parse().unwrap() }
}

fn call(number: u64, deadline_left_ms: u64) -> UpstreamCall {
    UpstreamCall {
        id: RequestId { entry: 1, number, attempt: 0 },
        plan: "plan".parse().unwrap(),
        service: "service".parse().unwrap(),
        deadline_left_ms,
        body: Bytes::from_static(b"ping"),
    }
}

fn delivery(claim: Offset) -> DeliverClaim {
    let call = call(claim, 20_000);
    DeliverClaim(ClaimDelivery { key: key(), claim, agent_incarnation: INCARNATION, call })
}

/// Guards against two requests in progress that get each other's answers.
#[actix_rt::test]
async fn answers_have_the_id_of_their_request() {
    let harness = harness();
    let upstream = DelayedUpstream::spawn(COMPLETE).await;
    harness.announce(upstream.address, 2, 4);
    let one = harness.relay.send(ForwardCall(call(1, 20_000)));
    let two = harness.relay.send(ForwardCall(call(2, 20_000)));
    let proceed = async {
        upstream.wait_for_requests(2).await;
        upstream.proceed.notify_waiters();
    };
    let (one, two, ()) = tokio::join!(one, two, proceed);
    let (one, two) = (one.unwrap().unwrap(), two.unwrap().unwrap());
    assert_eq!((one.id.number, two.id.number), (1, 2));
    assert_eq!(one.digest, cactusdoor_peer::digest(b"pong"));
    assert_eq!((one.length, &one.body[..]), (4, &b"pong"[..]));
}

/// Guards against forwarding a truncated answer.
#[actix_rt::test]
async fn truncated_answer_is_reported_as_broken() {
    let harness = harness();
    let upstream = DelayedUpstream::spawn(TRUNCATED).await;
    harness.announce(upstream.address, 2, 4);
    upstream.proceed.notify_one();
    let answer = harness.relay.send(ForwardCall(call(1, 20_000))).await.unwrap();
    assert_eq!(answer, Err(CallFailure::Broken));
}

/// Guards against new and waiting requests for a leaving upstream; the request in
/// progress completes.
#[actix_rt::test]
async fn leaving_upstream_completes_its_request_and_gets_no_other() {
    let harness = harness();
    let upstream = DelayedUpstream::spawn(COMPLETE).await;
    harness.announce(upstream.address, 1, 4);
    let running = harness.relay.send(ForwardCall(call(1, 20_000)));
    let waiting = harness.relay.send(ForwardCall(call(2, 20_000)));
    let script = async {
        upstream.wait_for_requests(1).await;
        harness.upstreams.leave(None);
        let refused = harness.relay.send(ForwardCall(call(3, 20_000))).await.unwrap();
        assert_eq!(refused, Err(CallFailure::NotRun(CallRefusal::Leaving)));
        upstream.proceed.notify_waiters();
    };
    let (running, waiting, ()) = tokio::join!(running, waiting, script);
    assert!(running.unwrap().is_ok());
    assert_eq!(waiting.unwrap(), Err(CallFailure::NotRun(CallRefusal::Leaving)));
    assert_eq!(upstream.received.get(), 1);
}

/// Guards against a request that waits for a slot after its deadline.
#[actix_rt::test]
async fn waiting_request_is_refused_at_its_deadline() {
    let harness = harness();
    let upstream = DelayedUpstream::spawn(COMPLETE).await;
    harness.announce(upstream.address, 1, 4);
    let running = harness.relay.send(ForwardCall(call(1, 20_000)));
    let script = async {
        upstream.wait_for_requests(1).await;
        let late = harness.relay.send(ForwardCall(call(2, 30))).await.unwrap();
        assert_eq!(late, Err(CallFailure::NotRun(CallRefusal::DeadlineTooShort)));
        let load = harness.relay.send(ListUpstreams).await.unwrap()[0].load;
        assert_eq!((load.in_flight, load.queued), (1, 0));
        upstream.proceed.notify_waiters();
    };
    let (running, ()) = tokio::join!(running, script);
    assert!(running.unwrap().is_ok());
}

/// Guards against a graceful stop that cuts off requests or accepts new ones.
#[actix_rt::test]
async fn drain_waits_for_requests_in_progress() {
    let harness = harness();
    let upstream = DelayedUpstream::spawn(COMPLETE).await;
    harness.announce(upstream.address, 1, 4);
    let running = harness.relay.send(ForwardCall(call(1, 20_000)));
    let script = async {
        upstream.wait_for_requests(1).await;
        let mut drain = Box::pin(harness.relay.send(DrainRequests));
        let refused = async {
            let refused = harness.relay.send(ForwardCall(call(2, 20_000))).await.unwrap();
            assert_eq!(refused, Err(CallFailure::NotRun(CallRefusal::Draining)));
        };
        tokio::select! {
            biased;
            _ = &mut drain => panic!("drained with a request in progress"),
            () = refused => {}
        }
        upstream.proceed.notify_waiters();
        drain.await.unwrap();
    };
    let (running, ()) = tokio::join!(running, script);
    assert!(running.unwrap().is_ok());
}

/// Guards against running a request twice: its delivery is repeated while the first one
/// is in progress and again after its end.
#[actix_rt::test]
async fn repeated_delivery_reaches_the_upstream_once() {
    let harness = harness();
    let upstream = DelayedUpstream::spawn(COMPLETE).await;
    harness.announce(upstream.address, 4, 8);
    let first = harness.relay.send(delivery(5));
    let script = async {
        upstream.wait_for_requests(1).await;
        let again = harness.relay.send(delivery(5)).await.unwrap();
        assert_eq!(again, Err(DeliveryFailure::DeliveredBefore));
        assert_eq!(harness.fence(5).await.unwrap(), FenceReply::InProgress);
        upstream.proceed.notify_waiters();
    };
    let (first, ()) = tokio::join!(first, script);
    assert!(first.unwrap().is_ok());
    let again = harness.relay.send(delivery(5)).await.unwrap();
    assert_eq!(again, Err(DeliveryFailure::DeliveredBefore));
    let reply = harness.fence(5).await.unwrap();
    assert!(matches!(reply, FenceReply::Ended(ClaimOutcome::Done(stored)) if stored.length == 4));
    assert_eq!(upstream.received.get(), 1);
}

/// Guards against running a request after its claim was fenced: first the fence arrives
/// before the delivery, then while the delivery waits for a slot.
#[actix_rt::test]
async fn fenced_claim_does_not_reach_the_upstream() {
    let harness = harness();
    let upstream = DelayedUpstream::spawn(COMPLETE).await;
    harness.announce(upstream.address, 1, 4);
    assert_eq!(harness.fence(5).await.unwrap(), FenceReply::Fenced);
    let late = harness.relay.send(delivery(5)).await.unwrap();
    assert_eq!(late, Err(DeliveryFailure::Fenced));
    let running = harness.relay.send(ForwardCall(call(1, 20_000)));
    let script = async {
        upstream.wait_for_requests(1).await;
        let waiting = harness.relay.send(delivery(6));
        let fence = async {
            while harness.relay.send(ListUpstreams).await.unwrap()[0].load.queued == 0 {
                tokio::task::yield_now().await;
            }
            assert_eq!(harness.fence(6).await.unwrap(), FenceReply::Fenced);
            upstream.proceed.notify_waiters();
        };
        let (waiting, ()) = tokio::join!(waiting, fence);
        assert_eq!(waiting.unwrap(), Err(DeliveryFailure::Fenced));
    };
    let (running, ()) = tokio::join!(running, script);
    assert!(running.unwrap().is_ok());
    assert_eq!(upstream.received.get(), 1);
    let load = harness.relay.send(ListUpstreams).await.unwrap()[0].load;
    assert_eq!(load.in_flight, 0);
}

/// Guards against "not run" or a second delivery after the upstream truncated its answer.
#[actix_rt::test]
async fn broken_delivery_is_unknown_and_not_repeated() {
    let harness = harness();
    let upstream = DelayedUpstream::spawn(TRUNCATED).await;
    harness.announce(upstream.address, 4, 8);
    upstream.proceed.notify_one();
    let broken = harness.relay.send(delivery(5)).await.unwrap();
    assert_eq!(broken, Err(DeliveryFailure::Unknown));
    let reply = harness.fence(5).await.unwrap();
    assert_eq!(reply, FenceReply::Ended(ClaimOutcome::Unknown));
    let again = harness.relay.send(delivery(5)).await.unwrap();
    assert_eq!(again, Err(DeliveryFailure::DeliveredBefore));
    assert_eq!(upstream.received.get(), 1);
}

/// Guards against "unknown" for a delivery that certainly did not reach the upstream.
#[actix_rt::test]
async fn refused_connection_counts_as_not_delivered() {
    let harness = harness();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    harness.announce(listener.local_addr().unwrap(), 4, 8);
    drop(listener);
    let refused = harness.relay.send(delivery(5)).await.unwrap();
    assert_eq!(refused, Err(DeliveryFailure::NotRun(CallRefusal::ConnectionRefused)));
    assert_eq!(harness.fence(5).await.unwrap(), FenceReply::Fenced);
}

/// Guards against losing the outcome of a binding request when the entry that sent it
/// abandoned the call: the delivery continues, and a fence returns its outcome.
#[actix_rt::test]
async fn abandoned_delivery_keeps_its_outcome() {
    let harness = harness();
    let upstream = DelayedUpstream::spawn(COMPLETE).await;
    harness.announce(upstream.address, 4, 8);
    {
        let delivery = harness.relay.send(delivery(5));
        tokio::select! {
            _ = delivery => panic!("answered before the upstream"),
            () = upstream.wait_for_requests(1) => {}
        }
    }
    upstream.proceed.notify_waiters();
    let settled = async {
        while harness.fence(5).await.unwrap() == FenceReply::InProgress {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), settled).await.unwrap();
    let reply = harness.fence(5).await.unwrap();
    assert!(matches!(reply, FenceReply::Ended(ClaimOutcome::Done(_))));
}
