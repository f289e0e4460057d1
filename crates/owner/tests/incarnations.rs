//! Heartbeats of a restarted agent that arrive out of order at a new owner.

mod support;

use cactusdoor_timeline::HybridTime;
use support::{Bench, FakeAgent};

/// Guards against a live agent that its owner refuses for good, because a heartbeat
/// of the process before it arrived late.
#[test]
fn late_heartbeat_of_an_earlier_process_does_not_displace_the_live_one() {
    let mut bench = Bench::owner("vm-0");
    let mut agent = FakeAgent::new("vm-1");
    agent.identity.incarnation = 3;
    let old = agent.beat();
    agent.identity.incarnation = 4;
    bench.beat(&mut agent).unwrap();
    let _ = bench.book.beat(bench.now, HybridTime::default(), &old);
    bench.settle();
    assert!(bench.beat(&mut agent).is_ok(), "the live agent is refused");
}
