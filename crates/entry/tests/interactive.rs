//! Interactive requests through a running entry: intact answers, correct outcomes, and
//! retries within the budget.

mod support;

use std::net::TcpListener;

use cactusdoor_core::config::{DataCentreState, ItemChange, ItemValue, PlanSpec};
use cactusdoor_core::name::{DataCentre, PlanName, TeamName, VmName};
use cactusdoor_peer::answer::CallRefusal;
use support::agent::{Behaviour, FakeAgent};
use support::entry::{TestEntry, plan_items, update};
use support::eventually;
use support::log::FakeLog;

/// Path, headers and expected status.
type Case<'a> = (&'a str, &'a [(&'a str, &'a str)], u16);

/// Deadline in ms that no test reaches.
const LONG_DEADLINE_MS: u64 = 30_000;

async fn start(vms: &[&str]) -> (FakeLog, Vec<FakeAgent>, TestEntry) {
    let log = FakeLog::open();
    let entry = TestEntry::open("entry1", &log, &[]).await;
    entry.publish_plan().await;
    let mut agents = Vec::new();
    for vm in vms {
        agents.push(FakeAgent::open(vm).await);
    }
    entry.list_members(1, agents.iter().map(|agent| agent.member("dc1")).collect()).await;
    (log, agents, entry)
}

/// Sends the requests that earn a retry budget of `extra` attempts.
async fn earn_retries(entry: &TestEntry, extra: u32) {
    for _ in 0..extra * 10 {
        assert_eq!(entry.interactive(b"x", LONG_DEADLINE_MS).await.status, 200);
    }
}

/// Guards against passing on an answer that belongs to another attempt, is
/// incomplete or is corrupt.
#[actix::test]
async fn corrupt_answers_are_not_passed_on() {
    let (_log, agents, entry) = start(&["vm1"]).await;
    for behaviour in [Behaviour::OtherRequest, Behaviour::Partial, Behaviour::Corrupted] {
        agents[0].set_behaviour(behaviour);
        let reply = entry.interactive(b"x", LONG_DEADLINE_MS).await;
        assert_eq!((reply.status, &*reply.error("outcome")), (502, "unknown"), "{behaviour:?}");
        assert!(reply.request.is_some(), "operators find the request by its id");
    }
}

/// Guards against refusing a retry that the budget allows.
#[actix::test]
async fn corrupt_answer_is_retried_within_the_budget() {
    let (_log, agents, entry) = start(&["vm1", "vm2"]).await;
    earn_retries(&entry, 20).await;
    agents[0].set_behaviour(Behaviour::Partial);
    let before = agents[0].calls();
    while agents[0].calls() < before + 3 {
        assert_eq!(entry.interactive(b"x", LONG_DEADLINE_MS).await.status, 200);
    }
}

/// Guards against retries that amplify an overload: they stay within 10% of the
/// requests.
#[actix::test]
async fn retries_stay_within_the_budget() {
    let (_log, agents, entry) = start(&["vm1", "vm2", "vm3"]).await;
    for agent in &agents {
        agent.set_behaviour(Behaviour::Broken);
    }
    let mut requests = 0;
    while requests < 200 {
        let reply = entry.interactive(b"x", LONG_DEADLINE_MS).await;
        assert_eq!(reply.error("outcome"), "unknown");
        requests += 1;
    }
    let calls: u32 = agents.iter().map(FakeAgent::calls).sum();
    assert!(calls <= requests + requests / 10, "{calls} calls for {requests} requests");
    assert!(calls > requests, "no retry at all");
}

/// Guards against an "unknown" answer when no upstream was called.
#[actix::test]
async fn request_refused_by_all_upstreams_is_not_run() {
    let (_log, agents, entry) = start(&["vm1", "vm2"]).await;
    for refusal in [CallRefusal::QueueFull, CallRefusal::ConnectionRefused] {
        agents.iter().for_each(|agent| agent.set_behaviour(Behaviour::Refuse(refusal)));
        let reply = entry.interactive(b"x", LONG_DEADLINE_MS).await;
        assert_eq!((reply.status, &*reply.error("outcome")), (503, "not_run"), "{refusal:?}");
    }
}

/// Guards against a "not run" answer when one of several attempts may have run.
#[actix::test]
async fn one_uncertain_attempt_makes_the_outcome_unknown() {
    let (_log, agents, entry) = start(&["vm1", "vm2"]).await;
    earn_retries(&entry, 2).await;
    agents[0].set_behaviour(Behaviour::Broken);
    agents[1].set_behaviour(Behaviour::Refuse(CallRefusal::QueueFull));
    loop {
        let before = agents[0].calls();
        let reply = entry.interactive(b"x", LONG_DEADLINE_MS).await;
        if agents[0].calls() > before {
            assert_eq!(reply.error("outcome"), "unknown");
            break;
        }
        assert_eq!(reply.error("outcome"), "not_run");
    }
}

/// Guards against failed requests while an agent stops: its refusals cost no retry
/// budget, and it gets no requests once it is listed as leaving.
#[actix::test]
async fn stopping_agent_gets_no_more_requests() {
    let (_log, agents, entry) = start(&["vm1", "vm2"]).await;
    agents[0].set_behaviour(Behaviour::Refuse(CallRefusal::Draining));
    while agents[0].calls() == 0 {
        assert_eq!(entry.interactive(b"x", LONG_DEADLINE_MS).await.status, 200);
    }
    let mut leaving = agents[0].member("dc1");
    leaving.upstreams[0].leaving = true;
    entry.list_members(2, vec![leaving, agents[1].member("dc1")]).await;
    let before = agents[0].calls();
    for _ in 0..30 {
        assert_eq!(entry.interactive(b"x", LONG_DEADLINE_MS).await.status, 200);
    }
    assert_eq!(agents[0].calls(), before);
}

/// Guards against sending requests to an agent whose connection is accepted but
/// never answered: the outcome is unknown, and the upstream is ejected.
#[actix::test]
async fn half_open_agent_is_ejected() {
    let (_log, agents, entry) = start(&["vm1"]).await;
    let unresponsive = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut member = agents[0].member("dc1");
    member.agent.vm = VmName::new("vm2").unwrap();
    member.agent.address = unresponsive.local_addr().unwrap();
    entry.list_members(2, vec![member.clone()]).await;
    let reply = entry.interactive(b"x", 50).await;
    assert_eq!((reply.status, &*reply.error("outcome")), (504, "unknown"));
    entry.list_members(3, vec![member, agents[0].member("dc1")]).await;
    // Five consecutive failures eject the upstream of the unresponsive agent.
    let answered = async || {
        let mut consecutive = 0;
        while consecutive < 20 && entry.interactive(b"x", 50).await.status == 200 {
            consecutive += 1;
        }
        (consecutive == 20).then_some(())
    };
    eventually("ejection", answered).await;
}

/// Guards against waiting for the first attempt when its agent hangs and the hedge
/// has answered.
#[actix::test]
async fn hedge_answers_when_an_agent_hangs() {
    let (_log, agents, entry) = start(&["vm1", "vm2"]).await;
    earn_retries(&entry, 5).await;
    agents[0].set_behaviour(Behaviour::Hang);
    let before = agents[0].calls();
    while agents[0].calls() == before {
        let reply = entry.interactive(b"x", LONG_DEADLINE_MS).await;
        assert_eq!((reply.status, &*reply.body), (200, &b"echo:x"[..]));
    }
}

/// Guards against failed requests or budget spent on an agent that refuses
/// connections, since nothing was sent to it.
#[actix::test]
async fn refused_connection_is_redirected_without_budget() {
    let (_log, agents, entry) = start(&["vm1"]).await;
    let closed = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut unreachable = agents[0].member("dc1");
    unreachable.agent.vm = VmName::new("vm2").unwrap();
    unreachable.agent.address = closed.local_addr().unwrap();
    drop(closed);
    entry.list_members(2, vec![unreachable, agents[0].member("dc1")]).await;
    for _ in 0..20 {
        assert_eq!(entry.interactive(b"x", LONG_DEADLINE_MS).await.status, 200);
    }
}

/// Guards against sending requests to a data centre that is out of service.
#[actix::test]
async fn data_centre_out_of_service_gets_no_requests() {
    let (_log, agents, entry) = start(&["vm1"]).await;
    let remote = FakeAgent::open("vm9").await;
    let mut other = update(1, 1, true, vec![remote.member("dc2")]);
    other.shard = cactusdoor_core::name::ShardName::new("dc2-0").unwrap();
    other.data_centre = DataCentre::new("dc2").unwrap();
    entry.roster(other).await;
    assert_eq!(entry.interactive(b"x", LONG_DEADLINE_MS).await.status, 200);
    assert_eq!((agents[0].calls(), remote.calls()), (1, 0));
    let local = DataCentre::new("dc1").unwrap();
    entry.operators.set_data_centre(&local, DataCentreState::Out).await.unwrap();
    assert_eq!(entry.interactive(b"x", LONG_DEADLINE_MS).await.status, 200);
    assert_eq!((agents[0].calls(), remote.calls()), (1, 1));
}

/// Guards against serving plans that do not exist, have no allowance or exceed
/// their request rate.
#[actix::test]
async fn plans_and_their_rates_are_enforced() {
    let (_log, _agents, entry) = start(&["vm1"]).await;
    let headers = [("X-Plan", "stranger")];
    let reply = entry.post("/v1/services/minutes/requests", &headers, b"x").await;
    assert_eq!((reply.status, &*reply.error("code")), (403, "unknown_plan"));
    assert_eq!((&*reply.error("outcome"), &*reply.error("retry")), ("not_run", "never"));

    let view = entry.operators.change(plan_items("slow", 2)).await.unwrap();
    entry.wait_revision(view.revision).await;
    let headers = [("X-Plan", "slow")];
    let mut refused = 0;
    for _ in 0..20 {
        let reply = entry.post("/v1/services/minutes/requests", &headers, b"x").await;
        if reply.status == 429 {
            assert_eq!(reply.error("outcome"), "not_run");
            refused += 1;
        }
    }
    assert!(refused > 0);

    let name = PlanName::new("bare").unwrap();
    let spec = PlanSpec { team: TeamName::new("team").unwrap(), weight: 1 };
    let value = ItemValue::Plan(name, Some(spec));
    entry.operators.change(vec![ItemChange { premise: 0, value }]).await.unwrap();
    let reply = entry.post("/v1/services/minutes/requests", &[("X-Plan", "bare")], b"x").await;
    assert_eq!(reply.status, 429, "a plan without allowance may send nothing");
}

/// Guards against panics and untyped errors on invalid requests.
#[actix::test]
async fn invalid_requests_get_typed_errors() {
    let (_log, agents, entry) = start(&["vm1"]).await;
    let path = "/v1/services/minutes/requests";
    let plan = ("X-Plan", "koperasi");
    let cases: &[Case<'_>] = &[
        (path, &[], 400),
        (path, &[("X-Plan", "a b")], 400),
        (path, &[("X-Plan", "")], 400),
        (path, &[plan, ("X-Deadline-Ms", "9")], 400),
        (path, &[plan, ("X-Deadline-Ms", "60001")], 400),
        (path, &[plan, ("X-Deadline-Ms", "soon")], 400),
        (path, &[plan, ("X-Deadline-Ms", "99999999999999999999")], 400),
        ("/v1/services/a%20b/requests", &[plan], 400),
        ("/v1/services/minutes/binding", &[plan], 400),
        ("/v1/services/minutes/binding", &[plan, ("Idempotency-Key", "a/b")], 400),
        ("/v1/jobs", &[("Idempotency-Key", "k")], 400),
        ("/v1/nothing", &[plan], 404),
    ];
    for (path, headers, status) in cases {
        let reply = entry.post(path, headers, b"{\"plan\": [").await;
        assert_eq!(reply.status, *status, "{path} {headers:?}");
        assert_eq!(reply.error("outcome"), "not_run", "{path} {headers:?}");
    }
    let reply = entry.post(path, &[plan], &vec![0; (8 << 20) + 1]).await;
    assert_eq!((reply.status, &*reply.error("code")), (413, "too_large"));
    let reply = entry.post("/v1/jobs", &[("Idempotency-Key", "k")], &vec![b' '; 70_000]).await;
    assert_eq!((reply.status, &*reply.error("code")), (413, "too_large"));
    let reply = entry.post(path, &[("X-Plan", "koperasi")], &vec![0; 8 << 20]).await;
    assert_eq!((reply.status, reply.body.len()), (200, (8 << 20) + 5));
    assert_eq!(agents[0].calls(), 1);
}

/// Guards against a stop that interrupts requests or accepts new ones.
#[actix::test]
async fn stop_finishes_requests_and_refuses_new_ones() {
    let (_log, agents, entry) = start(&["vm1"]).await;
    agents[0].set_behaviour(Behaviour::Slow(300));
    let during = async {
        eventually("request in progress", async || (agents[0].calls() > 0).then_some(())).await;
        let stopping = async {
            entry.daemon.stop().await;
        };
        let refused = async {
            eventually("draining", async || (!entry.daemon.is_ready()).then_some(())).await;
            entry.interactive(b"y", LONG_DEADLINE_MS).await
        };
        futures::join!(stopping, refused).1
    };
    let (reply, refused) = futures::join!(entry.interactive(b"x", LONG_DEADLINE_MS), during);
    assert_eq!((reply.status, &*reply.body), (200, &b"echo:x"[..]));
    assert_eq!((&*refused.error("code"), &*refused.error("outcome")), ("draining", "not_run"));
    assert_eq!(agents[0].calls(), 1);
}

/// Guards against interactive requests that depend on the log.
#[actix::test]
async fn log_outage_does_not_stop_interactive_requests() {
    let (log, _agents, entry) = start(&["vm1"]).await;
    log.state().down = true;
    assert_eq!(entry.interactive(b"x", LONG_DEADLINE_MS).await.status, 200);
}
