//! Admission of requests by slots, connections and deadline.

use cactusdoor_agent::admission::{AdmissionQueue, Offer, Turn};
use cactusdoor_core::unit::Moment;
use cactusdoor_peer::answer::{CallRefusal, UpstreamLoad};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const NOW: Moment = Moment(1_000_000);

fn soon() -> Moment {
    NOW.after(10_000)
}

/// Guards against more requests at the upstream than it has slots, and against a
/// queue beyond the connections that it accepts.
#[test]
fn slots_and_connections_bound_the_queue() {
    let mut queue = AdmissionQueue::new(2, 4);
    assert_eq!(queue.offer(NOW, 1, soon()), Offer::Admitted);
    assert_eq!(queue.offer(NOW, 2, soon()), Offer::Admitted);
    assert_eq!(queue.offer(NOW, 3, soon()), Offer::Queued);
    assert_eq!(queue.offer(NOW, 4, soon()), Offer::Queued);
    assert_eq!(queue.offer(NOW, 5, soon()), Offer::Refused(CallRefusal::QueueFull));
    assert_eq!(queue.load(), UpstreamLoad { in_flight: 2, queued: 2, slots: 2 });
    queue.release(None);
    assert_eq!(queue.next_turn(NOW), Some(Turn::Admitted(3)));
    assert_eq!(queue.next_turn(NOW), None);
}

/// Guards against requests that wait although their answer would come too late.
#[test]
fn deadline_that_cannot_be_met_is_refused_early() {
    let mut queue = AdmissionQueue::new(1, 64);
    assert_eq!(queue.offer(NOW, 1, soon()), Offer::Admitted);
    queue.release(Some(100_000));
    assert_eq!(queue.offer(NOW, 2, soon()), Offer::Admitted);
    let short = Offer::Refused(CallRefusal::DeadlineTooShort);
    assert_eq!(queue.offer(NOW, 3, NOW.after(199)), short);
    assert_eq!(queue.offer(NOW, 3, NOW.after(200)), Offer::Queued);
    assert_eq!(queue.offer(NOW, 4, NOW.after(299)), short);
}

/// Guards against a request that is sent after its deadline has become hopeless.
#[test]
fn waiting_request_is_refused_when_its_turn_comes_too_late() {
    let mut queue = AdmissionQueue::new(2, 64);
    assert_eq!(queue.offer(NOW, 1, soon()), Offer::Admitted);
    queue.release(Some(100_000));
    assert_eq!(queue.offer(NOW, 1, soon()), Offer::Admitted);
    assert_eq!(queue.offer(NOW, 2, soon()), Offer::Admitted);
    assert_eq!(queue.offer(NOW, 3, NOW.after(250)), Offer::Queued);
    let late = NOW.after(200);
    queue.release(Some(100_000));
    assert_eq!(queue.next_turn(late), Some(Turn::Refused(3)));
}

/// Guards against a slow phase after which every request is refused for good.
#[test]
fn idle_upstream_gets_a_request_whatever_its_latency() {
    let mut queue = AdmissionQueue::new(1, 64);
    assert_eq!(queue.offer(NOW, 1, soon()), Offer::Admitted);
    queue.release(Some(30_000_000));
    assert_eq!(queue.offer(NOW, 2, NOW.after(50)), Offer::Admitted);
    queue.release(Some(1_000));
    assert!(queue.latency_us() < 30_000_000);
    let passed = Offer::Refused(CallRefusal::DeadlineTooShort);
    assert_eq!(queue.offer(NOW, 3, NOW), passed);
}

#[derive(Clone, Debug)]
enum Step {
    Offer(u64),
    Release(u64),
    Turn,
    Withdraw(usize),
    Resize(u32, u32),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..500_u64).prop_map(Step::Offer),
        3 => (0..200_000_u64).prop_map(Step::Release),
        3 => Just(Step::Turn),
        1 => (0..50_usize).prop_map(Step::Withdraw),
        1 => (1..8_u32, 1..16_u32).prop_map(|(s, c)| Step::Resize(s, c)),
        2 => (0..100_u64).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..150)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against slots that leak or are given twice, and against requests that
    /// get no verdict or two of them.
    #[test]
    fn every_request_gets_one_verdict(steps in steps()) {
        let (mut slots, mut connections) = (4, 8);
        let mut queue = AdmissionQueue::new(slots, connections);
        let mut now = NOW;
        let mut running = 0_u32;
        let mut waiting = Vec::new();
        for (ticket, step) in steps.into_iter().enumerate() {
            let ticket = ticket as u64;
            match step {
                Step::Offer(patience) => match queue.offer(now, ticket, now.after(patience)) {
                    Offer::Admitted => {
                        running += 1;
                        prop_assert!(running <= slots.min(connections));
                    }
                    Offer::Queued => waiting.push(ticket),
                    Offer::Refused(_) => {}
                },
                Step::Release(latency) if running > 0 => {
                    running -= 1;
                    queue.release(Some(latency));
                }
                Step::Release(_) => {}
                Step::Turn => if let Some(turn) = queue.next_turn(now) {
                    let (Turn::Admitted(ticket) | Turn::Refused(ticket)) = turn;
                    prop_assert_eq!(waiting.remove(0), ticket);
                    if matches!(turn, Turn::Admitted(_)) {
                        running += 1;
                        prop_assert!(running <= slots.min(connections));
                    }
                },
                Step::Withdraw(position) => {
                    if let Some(ticket) = waiting.get(position).copied() {
                        prop_assert!(queue.withdraw(ticket));
                        prop_assert!(!queue.withdraw(ticket));
                        waiting.remove(position);
                    }
                }
                Step::Resize(new_slots, new_connections) => {
                    (slots, connections) = (new_slots, new_connections);
                    queue.resize(slots, connections);
                }
                Step::Wait(time) => now = now.after(time),
            }
            prop_assert_eq!(queue.load().in_flight, running);
            prop_assert_eq!(queue.load().queued as usize, waiting.len());
        }
    }
}
