//! Admission of requests by slots, connections and deadline.

use cactusdoor_agent::admission::{AdmissionQueue, AdmissionResult, WaitResult};
use cactusdoor_core::unit::Moment;
use cactusdoor_peer::answer::{CallRefusal, UpstreamLoad};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const NOW: Moment = Moment(1_000_000);

fn soon() -> Moment {
    NOW.after(10_000)
}

/// Guards against more requests in flight than the upstream has slots, and against more
/// requests in total than it accepts connections.
#[test]
fn slots_and_connections_bound_the_queue() {
    let mut queue = AdmissionQueue::new(2, 4);
    assert_eq!(queue.offer(NOW, 1, soon()), AdmissionResult::Admitted);
    assert_eq!(queue.offer(NOW, 2, soon()), AdmissionResult::Admitted);
    assert_eq!(queue.offer(NOW, 3, soon()), AdmissionResult::Queued);
    assert_eq!(queue.offer(NOW, 4, soon()), AdmissionResult::Queued);
    assert_eq!(queue.offer(NOW, 5, soon()), AdmissionResult::Refused(CallRefusal::QueueFull));
    assert_eq!(queue.load(), UpstreamLoad { in_flight: 2, queued: 2, slots: 2 });
    queue.release(None);
    assert_eq!(queue.end_wait(NOW), Some(WaitResult::Admitted(3)));
    assert_eq!(queue.end_wait(NOW), None);
}

/// Guards against requests that wait although their answer is expected too late.
#[test]
fn request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut queue = AdmissionQueue::new(1, 64);
    assert_eq!(queue.offer(NOW, 1, soon()), AdmissionResult::Admitted);
    queue.release(Some(100_000));
    assert_eq!(queue.offer(NOW, 2, soon()), AdmissionResult::Admitted);
    let too_short = AdmissionResult::Refused(CallRefusal::DeadlineTooShort);
    assert_eq!(queue.offer(NOW, 3, NOW.after(199)), too_short);
    assert_eq!(queue.offer(NOW, 3, NOW.after(200)), AdmissionResult::Queued);
    assert_eq!(queue.offer(NOW, 4, NOW.after(299)), too_short);
}

/// Guards against sending a request that waited so long that it cannot meet its
/// deadline any more.
#[test]
fn waiting_request_that_became_too_late_is_refused() {
    let mut queue = AdmissionQueue::new(2, 64);
    assert_eq!(queue.offer(NOW, 1, soon()), AdmissionResult::Admitted);
    queue.release(Some(100_000));
    assert_eq!(queue.offer(NOW, 1, soon()), AdmissionResult::Admitted);
    assert_eq!(queue.offer(NOW, 2, soon()), AdmissionResult::Admitted);
    assert_eq!(queue.offer(NOW, 3, NOW.after(250)), AdmissionResult::Queued);
    let late = NOW.after(200);
    queue.release(Some(100_000));
    assert_eq!(queue.end_wait(late), Some(WaitResult::Refused(3)));
}

/// Guards against an upstream that gets no request again after a slow phase, because its
/// mean latency is too high and is not measured any more.
#[test]
fn idle_upstream_gets_a_request_whatever_its_latency() {
    let mut queue = AdmissionQueue::new(1, 64);
    assert_eq!(queue.offer(NOW, 1, soon()), AdmissionResult::Admitted);
    queue.release(Some(30_000_000));
    assert_eq!(queue.offer(NOW, 2, NOW.after(50)), AdmissionResult::Admitted);
    queue.release(Some(1_000));
    assert!(queue.latency_us() < 30_000_000);
    let refused = AdmissionResult::Refused(CallRefusal::DeadlineTooShort);
    assert_eq!(queue.offer(NOW, 3, NOW), refused);
}

#[derive(Clone, Debug)]
enum Step {
    Offer(u64),
    Release(u64),
    EndWait,
    Withdraw(usize),
    Resize(u32, u32),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..500_u64).prop_map(Step::Offer),
        3 => (0..200_000_u64).prop_map(Step::Release),
        3 => Just(Step::EndWait),
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

    /// Guards against leaked slots, slots that are assigned twice, and requests that are
    /// not admitted or refused exactly once.
    #[test]
    fn every_request_is_admitted_or_refused_once(steps in steps()) {
        let (mut slots, mut connections) = (4, 8);
        let mut queue = AdmissionQueue::new(slots, connections);
        let mut now = NOW;
        let mut running = 0_u32;
        let mut waiting = Vec::new();
        for (number, step) in steps.into_iter().enumerate() {
            let number = number as u64;
            match step {
                Step::Offer(time_limit) => match queue.offer(now, number, now.after(time_limit)) {
                    AdmissionResult::Admitted => {
                        running += 1;
                        prop_assert!(running <= slots.min(connections));
                    }
                    AdmissionResult::Queued => waiting.push(number),
                    AdmissionResult::Refused(_) => {}
                },
                Step::Release(latency) if running > 0 => {
                    running -= 1;
                    queue.release(Some(latency));
                }
                Step::Release(_) => {}
                Step::EndWait => if let Some(result) = queue.end_wait(now) {
                    let (WaitResult::Admitted(number) | WaitResult::Refused(number)) = result;
                    prop_assert_eq!(waiting.remove(0), number);
                    if matches!(result, WaitResult::Admitted(_)) {
                        running += 1;
                        prop_assert!(running <= slots.min(connections));
                    }
                },
                Step::Withdraw(position) => {
                    if let Some(number) = waiting.get(position).copied() {
                        prop_assert!(queue.withdraw(number));
                        prop_assert!(!queue.withdraw(number));
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
