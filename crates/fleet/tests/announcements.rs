//! Announcements of the real worker are applied, whatever other writers announce between them.

use cactusdoor_fleet::worker_controller::{AnnouncementFilter, AnnouncementUse};
use cactusdoor_platform::announcement::WorkerAnnouncement;
use cactusdoor_queue::name::WorkerIncarnation;
use cactusdoor_queue::report::WorkerInfo;
use cactusdoor_queue::spec::TaskNeed;
use proptest::prelude::*;

fn worker() -> WorkerInfo {
    WorkerInfo {
        incarnation: WorkerIncarnation { id: "i-1".into(), born: 77 },
        service: "s".into(),
        data_centre: "z".into(),
        capacity: TaskNeed { cpu: 16_000, memory: 32_768, accelerators: 0 },
        labels: vec!["a".into(), "r1".into()],
        leaves_in: None,
    }
}

fn announced(worker: WorkerInfo, number: u64, clock: u64) -> WorkerAnnouncement {
    WorkerAnnouncement { worker, number, clock }
}

#[test]
fn an_announcement_that_arrives_late_is_outdated() {
    let mut filter = AnnouncementFilter::default();
    let mut judge = |number, clock, leaves_in| {
        let worker = WorkerInfo { leaves_in, ..worker() };
        filter.judge(&announced(worker.clone(), number, clock), Some(&worker), 10_000)
    };
    assert_eq!(judge(4, 9_000, Some(2_000)), AnnouncementUse::Update);
    assert_eq!(judge(3, 8_000, None), AnnouncementUse::Outdated);
    assert_eq!(judge(4, 9_000, Some(2_000)), AnnouncementUse::Outdated);
    assert_eq!(judge(5, 10_000, Some(1_000)), AnnouncementUse::Update);
}

#[test]
fn another_incarnation_waits_for_the_worker() {
    let mut filter = AnnouncementFilter::default();
    let mut judge = |id: &str, born, known: Option<&WorkerInfo>| {
        let other =
            WorkerInfo { incarnation: WorkerIncarnation { id: id.into(), born }, ..worker() };
        filter.judge(&announced(other, 1, 10), known, 10)
    };
    assert_eq!(judge("i-1", 77, None), AnnouncementUse::Confirm);
    let known = worker();
    assert_eq!(judge("i-1", 78, Some(&known)), AnnouncementUse::Confirm);
    assert_eq!(judge("i-2", 77, Some(&known)), AnnouncementUse::Confirm);
    assert_eq!(judge("i-1", 76, Some(&known)), AnnouncementUse::Outdated);
}

/// A first announcement with a false description must not hide the true one for good.
#[test]
fn a_description_that_is_announced_twice_is_applied() {
    let mut filter = AnnouncementFilter::default();
    let first = WorkerInfo { service: "other".into(), ..worker() };
    let mut judge = |number| {
        filter.judge(&announced(worker(), number, number * 1_000), Some(&first), number * 1_000)
    };
    assert!(matches!(judge(2), AnnouncementUse::Odd(_)));
    assert_eq!(judge(3), AnnouncementUse::Update);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..Default::default() })]

    /// Others cannot know the worker's clock: theirs are behind it, or far ahead.
    #[test]
    fn every_announcement_of_the_worker_is_applied(
        gaps in prop::collection::vec((1..20_000u64, 1..4u64, 0..400u64), 1..20),
        others in prop::collection::vec(
            (any::<u64>(), prop_oneof![0..500_000u64, 2_000_000..u64::MAX], any::<bool>()), 0..20),
    ) {
        let mut filter = AnnouncementFilter::default();
        let known = worker();
        let (mut number, mut clock) = (0, 500_000);
        let mut others = others.into_iter();
        for (gap, step, age) in gaps {
            clock += gap;
            number += step;
            // The worker's clock as its answers give it is late by the age of the newest one.
            let known_clock = clock - age;
            if let Some((other_number, other_clock, otherwise)) = others.next() {
                let mut other = worker();
                if otherwise {
                    other.capacity.cpu = other_number;
                }
                filter.judge(&announced(other, other_number, other_clock), Some(&known), known_clock);
            }
            let judged = filter.judge(&announced(worker(), number, clock), Some(&known), known_clock);
            prop_assert_eq!(judged, AnnouncementUse::Update);
        }
    }
}
