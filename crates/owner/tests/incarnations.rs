//! Heartbeats of a restarted agent that arrive out of order at a new owner.

mod support;

use cactusdoor_timeline::HybridTime;
use support::{FakeAgent, SchedulerHarness};

/// Guards against an owner that refuses a live agent for good, because a late heartbeat
/// of the agent's earlier process looks like a newer incarnation.
#[test]
fn a_late_heartbeat_of_an_earlier_process_does_not_displace_the_live_one() {
    let mut harness = SchedulerHarness::owner("vm-0");
    let mut agent = FakeAgent::new("vm-1");
    agent.identity.incarnation = 3;
    let old = agent.next_heartbeat();
    agent.identity.incarnation = 4;
    harness.send_heartbeat(&mut agent).unwrap();
    let _ = harness.scheduler.handle_heartbeat(harness.now, HybridTime::default(), &old);
    harness.settle();
    assert!(harness.send_heartbeat(&mut agent).is_ok(), "the live agent is refused");
}
