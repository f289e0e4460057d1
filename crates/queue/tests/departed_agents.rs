//! Agents that an owner expects to hear from.

mod support;

use cactusdoor_core::unit::{Millis, Moment};
use support::*;

const NOW: Moment = Moment(10_000);
const SILENCE: Millis = 2_500;
/// Longer than any lease, ms.
const DEPARTED: Millis = 10_000;

/// Guards against an owner that resigns although every living agent reaches it: agents of
/// machines that were removed or replaced during its term counted as silent for good.
#[test]
fn agents_that_have_left_are_not_expected_to_report() {
    let mut scheduler = scheduler();
    for name in ["a", "b", "c", "d", "e", "f"] {
        scheduler.report(&report(name, 1, Some(worker(name, 1))), NOW, UNIX);
    }
    let later = NOW.after(DEPARTED);
    for name in ["a", "b"] {
        scheduler.report(&report(name, 2, Some(worker(name, 1))), later, UNIX);
    }
    assert_eq!(scheduler.reached_agents(SILENCE, later), (2, 2));
}

/// An owner that is cut off sees all other agents fall silent at about the same time.
#[test]
fn agents_that_fall_silent_are_known_for_longer_than_a_lease() {
    let mut scheduler = scheduler();
    for name in ["a", "b", "c"] {
        scheduler.report(&report(name, 1, Some(worker(name, 1))), NOW, UNIX);
    }
    assert_eq!(scheduler.reached_agents(SILENCE, NOW.after(SILENCE)), (3, 3));
    assert_eq!(scheduler.reached_agents(SILENCE, NOW.after(SILENCE + 1)), (0, 3));
    assert_eq!(scheduler.reached_agents(SILENCE, NOW.after(9_500)), (0, 3));
}
