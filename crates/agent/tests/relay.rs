//! Requests through the relay actor to a scripted upstream.

mod support;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix::Addr;
use bytes::Bytes;
use cactusdoor_agent::ledger::LedgerLimits;
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

/// An upstream that answers each request when it is told to.
struct HeldUpstream {
    address: SocketAddr,
    received: Rc<Cell<usize>>,
    arrival: Rc<Notify>,
    go: Rc<Notify>,
}

const WHOLE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npong";
const CUT: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npo";

impl HeldUpstream {
    async fn spawn(answer: &'static [u8]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let upstream = Self {
            address,
            received: Rc::default(),
            arrival: Rc::new(Notify::new()),
            go: Rc::new(Notify::new()),
        };
        let (received, arrival, go) =
            (Rc::clone(&upstream.received), Rc::clone(&upstream.arrival), Rc::clone(&upstream.go));
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (received, arrival, go) =
                    (Rc::clone(&received), Rc::clone(&arrival), Rc::clone(&go));
                tokio::task::spawn_local(async move {
                    hold(stream, answer, &received, &arrival, &go).await;
                });
            }
        });
        upstream
    }

    async fn await_requests(&self, count: usize) {
        while self.received.get() < count {
            self.arrival.notified().await;
        }
    }
}

async fn hold(
    mut stream: TcpStream,
    answer: &[u8],
    received: &Cell<usize>,
    arrival: &Notify,
    go: &Notify,
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
    go.notified().await;
    stream.write_all(answer).await.unwrap();
}

struct Bench {
    relay: Addr<RequestRelay>,
    upstreams: UpstreamRegistry,
}

fn bench() -> Bench {
    let clock = MonotonicClock::open();
    let events = EventLog::open("agent".parse().unwrap());
    let upstreams = UpstreamRegistry::open("vm".parse().unwrap(), clock, events);
    let relay = RequestRelay::spawn(RelaySettings {
        incarnation: INCARNATION,
        clock,
        upstreams: upstreams.clone(),
        limits: LedgerLimits { claims: 1_000, answer_bytes: 1_000_000 },
        metrics: AgentMetrics::open(&prometheus::Registry::new()).unwrap(),
    });
    Bench { relay, upstreams }
}

impl Bench {
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

/// Guards against answers that reach another request, with two in progress.
#[actix_rt::test]
async fn answers_carry_the_id_of_their_request() {
    let bench = bench();
    let upstream = HeldUpstream::spawn(WHOLE).await;
    bench.announce(upstream.address, 2, 4);
    let one = bench.relay.send(ForwardCall(call(1, 20_000)));
    let two = bench.relay.send(ForwardCall(call(2, 20_000)));
    let go = async {
        upstream.await_requests(2).await;
        upstream.go.notify_waiters();
    };
    let (one, two, ()) = tokio::join!(one, two, go);
    let (one, two) = (one.unwrap().unwrap(), two.unwrap().unwrap());
    assert_eq!((one.id.number, two.id.number), (1, 2));
    assert_eq!(one.digest, cactusdoor_peer::digest(b"pong"));
    assert_eq!((one.length, &one.body[..]), (4, &b"pong"[..]));
}

/// Guards against a partial answer that is passed on.
#[actix_rt::test]
async fn answer_that_breaks_off_is_reported_as_broken() {
    let bench = bench();
    let upstream = HeldUpstream::spawn(CUT).await;
    bench.announce(upstream.address, 2, 4);
    upstream.go.notify_one();
    let answer = bench.relay.send(ForwardCall(call(1, 20_000))).await.unwrap();
    assert_eq!(answer, Err(CallFailure::Broken));
}

/// Guards against requests that wait for an upstream that has left, and against
/// new work for a leaving one; its request in progress completes.
#[actix_rt::test]
async fn leaving_upstream_completes_and_gets_nothing_new() {
    let bench = bench();
    let upstream = HeldUpstream::spawn(WHOLE).await;
    bench.announce(upstream.address, 1, 4);
    let running = bench.relay.send(ForwardCall(call(1, 20_000)));
    let waiting = bench.relay.send(ForwardCall(call(2, 20_000)));
    let script = async {
        upstream.await_requests(1).await;
        bench.upstreams.leave(None);
        let refused = bench.relay.send(ForwardCall(call(3, 20_000))).await.unwrap();
        assert_eq!(refused, Err(CallFailure::NotRun(CallRefusal::Leaving)));
        upstream.go.notify_waiters();
    };
    let (running, waiting, ()) = tokio::join!(running, waiting, script);
    assert!(running.unwrap().is_ok());
    assert_eq!(waiting.unwrap(), Err(CallFailure::NotRun(CallRefusal::Leaving)));
    assert_eq!(upstream.received.get(), 1);
}

/// Guards against a request that waits for a slot beyond its deadline.
#[actix_rt::test]
async fn waiting_request_is_refused_at_its_deadline() {
    let bench = bench();
    let upstream = HeldUpstream::spawn(WHOLE).await;
    bench.announce(upstream.address, 1, 4);
    let running = bench.relay.send(ForwardCall(call(1, 20_000)));
    let script = async {
        upstream.await_requests(1).await;
        let late = bench.relay.send(ForwardCall(call(2, 30))).await.unwrap();
        assert_eq!(late, Err(CallFailure::NotRun(CallRefusal::DeadlineTooShort)));
        let load = bench.relay.send(ListUpstreams).await.unwrap()[0].load;
        assert_eq!((load.in_flight, load.queued), (1, 0));
        upstream.go.notify_waiters();
    };
    let (running, ()) = tokio::join!(running, script);
    assert!(running.unwrap().is_ok());
}

/// Guards against a graceful stop that cuts off requests or accepts new ones.
#[actix_rt::test]
async fn drain_waits_for_requests_in_progress() {
    let bench = bench();
    let upstream = HeldUpstream::spawn(WHOLE).await;
    bench.announce(upstream.address, 1, 4);
    let running = bench.relay.send(ForwardCall(call(1, 20_000)));
    let script = async {
        upstream.await_requests(1).await;
        let mut drain = Box::pin(bench.relay.send(DrainRequests));
        let refused = async {
            let refused = bench.relay.send(ForwardCall(call(2, 20_000))).await.unwrap();
            assert_eq!(refused, Err(CallFailure::NotRun(CallRefusal::Draining)));
        };
        tokio::select! {
            biased;
            _ = &mut drain => panic!("drained with a request in progress"),
            () = refused => {}
        }
        upstream.go.notify_waiters();
        drain.await.unwrap();
    };
    let (running, ()) = tokio::join!(running, script);
    assert!(running.unwrap().is_ok());
}

/// Guards against a second run: the delivery is repeated while the first one is
/// with the upstream and after its end.
#[actix_rt::test]
async fn repeated_delivery_reaches_the_upstream_once() {
    let bench = bench();
    let upstream = HeldUpstream::spawn(WHOLE).await;
    bench.announce(upstream.address, 4, 8);
    let first = bench.relay.send(delivery(5));
    let script = async {
        upstream.await_requests(1).await;
        let again = bench.relay.send(delivery(5)).await.unwrap();
        assert_eq!(again, Err(DeliveryFailure::DeliveredBefore));
        assert_eq!(bench.fence(5).await.unwrap(), FenceReply::InProgress);
        upstream.go.notify_waiters();
    };
    let (first, ()) = tokio::join!(first, script);
    assert!(first.unwrap().is_ok());
    let again = bench.relay.send(delivery(5)).await.unwrap();
    assert_eq!(again, Err(DeliveryFailure::DeliveredBefore));
    let reply = bench.fence(5).await.unwrap();
    assert!(matches!(reply, FenceReply::Ended(ClaimOutcome::Done(kept)) if kept.length == 4));
    assert_eq!(upstream.received.get(), 1);
}

/// Guards against a request that runs after its claim was fenced: first when the
/// fence overtakes the delivery, then when it comes while the delivery waits.
#[actix_rt::test]
async fn fenced_claim_does_not_reach_the_upstream() {
    let bench = bench();
    let upstream = HeldUpstream::spawn(WHOLE).await;
    bench.announce(upstream.address, 1, 4);
    assert_eq!(bench.fence(5).await.unwrap(), FenceReply::Fenced);
    let late = bench.relay.send(delivery(5)).await.unwrap();
    assert_eq!(late, Err(DeliveryFailure::Fenced));
    let running = bench.relay.send(ForwardCall(call(1, 20_000)));
    let script = async {
        upstream.await_requests(1).await;
        let waiting = bench.relay.send(delivery(6));
        let fence = async {
            while bench.relay.send(ListUpstreams).await.unwrap()[0].load.queued == 0 {
                tokio::task::yield_now().await;
            }
            assert_eq!(bench.fence(6).await.unwrap(), FenceReply::Fenced);
            upstream.go.notify_waiters();
        };
        let (waiting, ()) = tokio::join!(waiting, fence);
        assert_eq!(waiting.unwrap(), Err(DeliveryFailure::Fenced));
    };
    let (running, ()) = tokio::join!(running, script);
    assert!(running.unwrap().is_ok());
    assert_eq!(upstream.received.get(), 1);
    let load = bench.relay.send(ListUpstreams).await.unwrap()[0].load;
    assert_eq!(load.in_flight, 0);
}

/// Guards against "not run" or a retry after the upstream broke in mid-answer.
#[actix_rt::test]
async fn broken_delivery_is_unknown_and_not_repeated() {
    let bench = bench();
    let upstream = HeldUpstream::spawn(CUT).await;
    bench.announce(upstream.address, 4, 8);
    upstream.go.notify_one();
    let broken = bench.relay.send(delivery(5)).await.unwrap();
    assert_eq!(broken, Err(DeliveryFailure::Unknown));
    let reply = bench.fence(5).await.unwrap();
    assert_eq!(reply, FenceReply::Ended(ClaimOutcome::Unknown));
    let again = bench.relay.send(delivery(5)).await.unwrap();
    assert_eq!(again, Err(DeliveryFailure::DeliveredBefore));
    assert_eq!(upstream.received.get(), 1);
}

/// Guards against "unknown" for a delivery that surely did not reach the upstream.
#[actix_rt::test]
async fn refused_connection_counts_as_not_delivered() {
    let bench = bench();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    bench.announce(listener.local_addr().unwrap(), 4, 8);
    drop(listener);
    let refused = bench.relay.send(delivery(5)).await.unwrap();
    assert_eq!(refused, Err(DeliveryFailure::NotRun(CallRefusal::ConnectionRefused)));
    assert_eq!(bench.fence(5).await.unwrap(), FenceReply::Fenced);
}

/// Guards against a binding request whose outcome is lost because the entry that
/// sent it gave up: the delivery goes on and its outcome can be asked for.
#[actix_rt::test]
async fn abandoned_delivery_keeps_its_outcome() {
    let bench = bench();
    let upstream = HeldUpstream::spawn(WHOLE).await;
    bench.announce(upstream.address, 4, 8);
    {
        let delivery = bench.relay.send(delivery(5));
        tokio::select! {
            _ = delivery => panic!("answered before the upstream"),
            () = upstream.await_requests(1) => {}
        }
    }
    upstream.go.notify_waiters();
    let settled = async {
        while bench.fence(5).await.unwrap() == FenceReply::InProgress {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), settled).await.unwrap();
    let reply = bench.fence(5).await.unwrap();
    assert!(matches!(reply, FenceReply::Ended(ClaimOutcome::Done(_))));
}
