//! Routing decisions with fixed times and random numbers.

use cactusdoor_core::name::{DataCentre, PlanName, VmName};
use cactusdoor_core::unit::{Millis, Moment};
use cactusdoor_policy::routing::allowance::PlanRates;
use cactusdoor_policy::routing::attempt::{AttemptEnd, AttemptHistory, RequestOutcome};
use cactusdoor_policy::routing::budget::{MAX_SAVED, RetryBudget};
use cactusdoor_policy::routing::concurrency::ConcurrencyLimit;
use cactusdoor_policy::routing::ejection::{
    FAILURES_TO_EJECT, FIRST_EJECTION, OutlierDetector, RETURN_TIME,
};
use cactusdoor_policy::routing::pool::{AttemptResult, PoolChoice, ServicePool};
use cactusdoor_policy::routing::queue::{QueueRefusal, WaitQueue};
use cactusdoor_policy::routing::upstream::UpstreamListing;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const NOW: Moment = Moment(1_000_000);

fn vm(name: &str) -> VmName {
    VmName::new(name).unwrap()
}

fn data_centre(name: &str) -> DataCentre {
    DataCentre::new(name).unwrap()
}

fn listing(data_centre_name: &str, slots: u32) -> UpstreamListing {
    UpstreamListing {
        data_centre: data_centre(data_centre_name),
        incarnation: 1,
        leaving: false,
        slots,
        connections: 64,
        latency: 1_000,
    }
}

fn pool(upstreams: &[(&str, &str)]) -> ServicePool {
    let mut pool = ServicePool::default();
    for (name, data_centre_name) in upstreams {
        pool.update_listing(&vm(name), listing(data_centre_name, 2));
    }
    pool
}

fn choose(pool: &ServicePool, now: Moment, tried: &[VmName], random: [u64; 2]) -> PoolChoice {
    pool.choose(now, &data_centre("dc1"), |_| true, tried, random)
}

/// Guards against remote requests while the local data centre has capacity, and
/// against refusals while another data centre has capacity.
#[test]
fn requests_stay_local_and_go_to_other_data_centres_under_load() {
    let mut pool = pool(&[("vm1", "dc1"), ("vm2", "dc2")]);
    for _ in 0..2 {
        assert_eq!(choose(&pool, NOW, &[], [1, 1]), PoolChoice::Send(vm("vm1")));
        pool.sent(&vm("vm1"));
    }
    for _ in 0..2 {
        assert_eq!(choose(&pool, NOW, &[], [0, 0]), PoolChoice::Send(vm("vm2")));
        pool.sent(&vm("vm2"));
    }
    assert_eq!(choose(&pool, NOW, &[], [0, 0]), PoolChoice::Full);
    pool.ended(&vm("vm2"), NOW, AttemptResult::Answered(1_000));
    assert_eq!(choose(&pool, NOW, &[], [0, 0]), PoolChoice::Send(vm("vm2")));
}

/// Guards against requests to the more loaded or slower of two candidates.
#[test]
fn the_lower_product_of_load_and_latency_is_chosen() {
    let mut pool = pool(&[("vm1", "dc1"), ("vm2", "dc1")]);
    for (name, latency) in [("vm1", 1_000), ("vm2", 9_000)] {
        pool.sent(&vm(name));
        pool.ended(&vm(name), NOW, AttemptResult::Answered(latency));
    }
    for random in [[0, 0], [1, 0]] {
        assert_eq!(choose(&pool, NOW, &[], random), PoolChoice::Send(vm("vm1")));
    }
    pool.sent(&vm("vm2"));
    pool.ended(&vm("vm2"), NOW, AttemptResult::Answered(1_000));
    for _ in 0..60 {
        pool.sent(&vm("vm2"));
        pool.ended(&vm("vm2"), NOW, AttemptResult::Answered(1_000));
    }
    pool.sent(&vm("vm1"));
    for random in [[0, 0], [1, 0]] {
        assert_eq!(choose(&pool, NOW, &[], random), PoolChoice::Send(vm("vm2")));
    }
}

/// Guards against an upstream that was slow once and is never tried again.
#[test]
fn the_weight_of_a_latency_decays_with_age() {
    let mut pool = pool(&[("vm1", "dc1"), ("vm2", "dc1")]);
    for (name, latency) in [("vm1", 1_000), ("vm2", 9_000)] {
        pool.sent(&vm(name));
        pool.ended(&vm(name), NOW, AttemptResult::Answered(latency));
    }
    let later = NOW.after(10_000);
    pool.sent(&vm("vm1"));
    pool.ended(&vm("vm1"), later, AttemptResult::Answered(1_000));
    assert_eq!(choose(&pool, later, &[], [0, 0]), PoolChoice::Send(vm("vm2")));
}

/// Guards against attempts at upstreams that were tried before, are leaving, refused
/// as leaving, or are in a data centre that is out of service.
#[test]
fn closed_upstreams_are_skipped() {
    let mut pool = pool(&[("vm1", "dc1"), ("vm2", "dc1"), ("vm3", "dc2")]);
    assert_eq!(choose(&pool, NOW, &[vm("vm1")], [0, 0]), PoolChoice::Send(vm("vm2")));
    pool.update_listing(&vm("vm1"), UpstreamListing { leaving: true, ..listing("dc1", 2) });
    pool.sent(&vm("vm2"));
    pool.ended(&vm("vm2"), NOW, AttemptResult::Closed);
    assert_eq!(choose(&pool, NOW, &[], [0, 0]), PoolChoice::Send(vm("vm3")));
    let only_first = |data_centre: &DataCentre| data_centre.as_str() == "dc1";
    let choice = pool.choose(NOW, &data_centre("dc1"), only_first, &[], [0, 0]);
    assert_eq!(choice, PoolChoice::None);
    // Another listing in a roster does not reopen it at once.
    pool.update_listing(&vm("vm2"), listing("dc1", 2));
    let choice = pool.choose(NOW, &data_centre("dc1"), only_first, &[], [0, 0]);
    assert_eq!(choice, PoolChoice::None);
    let later = NOW.after(3_000);
    let choice = pool.choose(later, &data_centre("dc1"), only_first, &[], [0, 0]);
    assert_eq!(choice, PoolChoice::Send(vm("vm2")));
}

/// Guards against an upstream that fails every request and keeps its share, and
/// against one that never regains its share.
#[test]
fn a_failing_upstream_is_ejected_and_returns_gradually() {
    let mut pool = pool(&[("vm1", "dc1"), ("vm2", "dc1"), ("vm3", "dc1")]);
    for failure in 1..=FAILURES_TO_EJECT {
        pool.sent(&vm("vm1"));
        let ejected = pool.ended(&vm("vm1"), NOW, AttemptResult::Failed);
        assert_eq!(ejected, failure == FAILURES_TO_EJECT);
    }
    let share = |now: Moment| {
        let mut random = StdRng::seed_from_u64(7);
        let mut chosen = 0;
        for _ in 0..3_000 {
            let choice = choose(&pool, now, &[], [random.random(), random.random()]);
            chosen += u32::from(choice == PoolChoice::Send(vm("vm1")));
        }
        chosen
    };
    assert_eq!(share(NOW.after(FIRST_EJECTION - 1)), 0);
    let mut busy = pool.clone();
    for name in ["vm2", "vm2", "vm3", "vm3"] {
        busy.sent(&vm(name));
    }
    let choice = choose(&busy, NOW.after(FIRST_EJECTION - 1), &[], [0, 0]);
    assert_eq!(choice, PoolChoice::Full, "a single ejected upstream is not a last resort");
    assert_eq!(share(NOW.after(FIRST_EJECTION)), 0, "the others are idle at a tenth of its cost");
    // Two of three pairs contain it, and on equal costs the first of a pair is chosen.
    let returned = share(NOW.after(FIRST_EJECTION + RETURN_TIME));
    assert!((900..=1_100).contains(&returned), "{returned}");
}

/// Guards against a network failure that ejects all upstreams.
#[test]
fn ejections_of_more_than_half_of_the_upstreams_are_ignored() {
    let mut pool = pool(&[("vm1", "dc1"), ("vm2", "dc1"), ("vm3", "dc1")]);
    for name in ["vm1", "vm2"] {
        for _ in 0..FAILURES_TO_EJECT {
            pool.sent(&vm(name));
            pool.ended(&vm(name), NOW, AttemptResult::Failed);
        }
    }
    assert!(matches!(choose(&pool, NOW, &[vm("vm3")], [0, 0]), PoolChoice::Send(_)));
}

/// Guards against a lost data centre in which each upstream must fail several times
/// before it is ejected, and against requests to unreachable upstreams while others
/// have capacity.
#[test]
fn unreachable_upstreams_are_ejected_at_once() {
    let mut pool = pool(&[("vm1", "dc1"), ("vm2", "dc1"), ("vm3", "dc2")]);
    for name in ["vm1", "vm2"] {
        pool.sent(&vm(name));
        assert!(pool.ended(&vm(name), NOW, AttemptResult::Unreachable));
    }
    for _ in 0..2 {
        assert_eq!(choose(&pool, NOW, &[], [0, 0]), PoolChoice::Send(vm("vm3")));
        pool.sent(&vm("vm3"));
    }
    assert!(matches!(choose(&pool, NOW, &[], [0, 0]), PoolChoice::Send(_)), "last resort");
}

/// Guards against an upstream that is many times slower than its peers.
#[test]
fn a_slow_upstream_is_ejected() {
    let mut pool = pool(&[("vm1", "dc1"), ("vm2", "dc1"), ("vm3", "dc1"), ("vm4", "dc1")]);
    pool.sent(&vm("vm1"));
    assert!(pool.ended(&vm("vm1"), NOW, AttemptResult::Answered(400_000)));
    let chosen = choose(&pool, NOW, &[], [0, 0]);
    assert!(matches!(chosen, PoolChoice::Send(name) if name != vm("vm1")));
}

/// Guards against ejections that do not become longer, and against a detector that
/// never resets.
#[test]
fn repeated_ejections_double_in_length() {
    let mut detector = OutlierDetector::default();
    detector.eject(NOW);
    let returned = NOW.after(FIRST_EJECTION);
    assert!(!detector.is_ejected(returned));
    // During the return one failure is enough.
    assert!(detector.failed(returned));
    assert!(detector.is_ejected(returned.after(2 * FIRST_EJECTION - 1)));
    assert!(!detector.is_ejected(returned.after(2 * FIRST_EJECTION)));
    let healthy = returned.after(2 * FIRST_EJECTION + RETURN_TIME);
    detector.succeeded(healthy);
    assert_eq!(detector.share_percent(healthy), 100);
    assert!(!detector.failed(healthy));
}

/// Guards against retries beyond a tenth of the requests.
#[test]
fn the_retry_budget_is_a_tenth_of_the_requests_and_bounded() {
    let mut budget = RetryBudget::default();
    assert!(!budget.spend());
    let spent = (0..1_000).filter(|_| {
        budget.earn();
        budget.spend()
    });
    assert_eq!(spent.count(), 100);
    (0..1_000_000).for_each(|_| budget.earn());
    let burst = (0..1_000_000).filter(|_| budget.spend()).count();
    assert_eq!(burst as u64, MAX_SAVED);
}

/// Guards against a limit that does not follow latency, leaves its bounds, or
/// grows without use.
#[test]
fn the_concurrency_limit_follows_latency() {
    let mut limit = ConcurrencyLimit::new(8, 16);
    assert_eq!(limit.current(), 8);
    for _ in 0..1_000 {
        limit.answered(10_000, 1);
    }
    assert_eq!(limit.current(), 8, "an unused limit does not grow");
    for _ in 0..1_000 {
        limit.answered(10_000, limit.current());
    }
    assert_eq!(limit.current(), 16, "limited by the connections");
    for _ in 0..400 {
        limit.answered(100_000, limit.current());
    }
    assert!(limit.current() < 4, "{}", limit.current());
    for _ in 0..10_000 {
        limit.refused();
    }
    assert_eq!(limit.current(), 1);
    limit.set_ceiling(0);
    assert_eq!(limit.current(), 1);
}

/// Guards against requests that wait although they cannot be answered in time, and
/// against a queue that grows without bound.
#[test]
fn the_queue_refuses_requests_that_would_be_late_or_exceed_its_length() {
    let mut queue = WaitQueue::new(3);
    let deadline = NOW.after(100);
    let check = |queue: &WaitQueue<u32>, deadline| queue.check(NOW, deadline, 40_000, 1);
    assert_eq!(check(&queue, NOW.after(59)), Err(QueueRefusal::DeadlineTooShort));
    assert_eq!(check(&queue, deadline), Ok(()));
    queue.push(deadline, 1);
    assert_eq!(check(&queue, deadline), Ok(()));
    queue.push(NOW.after(10), 2);
    assert_eq!(check(&queue, deadline), Err(QueueRefusal::DeadlineTooShort));
    queue.push(NOW.after(200), 3);
    assert_eq!(check(&queue, NOW.after(10_000)), Err(QueueRefusal::Full));
    assert_eq!(queue.pop(NOW.after(50)), Some(1));
    assert_eq!(queue.pop(NOW.after(50)), Some(3), "the deadline of request 2 has passed");
    assert_eq!(queue.pop(NOW), None);
}

/// Guards against plans that exceed their allowance through several entries.
#[test]
fn a_plans_rate_is_split_between_entries() {
    let plan = PlanName::new("p").unwrap();
    let admitted = |rate: u32, entries: usize, time: Millis| {
        let mut rates = PlanRates::default();
        (0..=time).filter(|at| rates.admit(&plan, rate, entries, NOW.after(*at))).count()
    };
    // The full bucket of one second, plus the refill of ten seconds.
    assert_eq!(admitted(100, 1, 10_000), 1_100);
    assert_eq!(admitted(100, 4, 10_000), 275);
    assert_eq!(admitted(1, 4, 10_000), 11);
    assert_eq!(admitted(0, 1, 10_000), 0);
}

/// Guards against an outcome of "not run" while one attempt may have run.
#[test]
fn not_run_is_reported_only_if_all_attempts_were_refused() {
    let mut attempts = AttemptHistory::default();
    assert_eq!(attempts.outcome(), RequestOutcome::NotRun, "nothing was sent");
    attempts.begin_attempt();
    assert_eq!(attempts.outcome(), RequestOutcome::Unknown, "the attempt has not ended");
    attempts.end_attempt(AttemptEnd::Refused);
    assert_eq!(attempts.outcome(), RequestOutcome::NotRun);
    attempts.begin_attempt();
    attempts.end_attempt(AttemptEnd::Uncertain);
    attempts.begin_attempt();
    attempts.end_attempt(AttemptEnd::Refused);
    assert_eq!(attempts.outcome(), RequestOutcome::Unknown);
}
