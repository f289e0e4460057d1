//! Observations of the owner about runs: lapses and runs that it did not assign.

mod support;

use cactusdoor_core::unit::Moment;
use cactusdoor_queue::lease::{AGENT_LEASE, clock_bound};
use cactusdoor_queue::observation::{LapseCause, RunObservation};
use cactusdoor_queue::report::{ReportedRun, RunEnd};
use cactusdoor_queue::scheduler::{CommitEffect, QueueScheduler};
use support::*;

const NOW: Moment = Moment(10_000);

/// A scheduler with one worker and a job of two tasks that run on it.
fn running() -> QueueScheduler {
    let mut scheduler = scheduler();
    scheduler.report(&report("a", 1, Some(worker("a", 1))), NOW, UNIX);
    scheduler.submit(&"j".into(), job(vec![step(2, 1_000)]));
    scheduler.place(NOW, UNIX);
    store(&mut scheduler);
    scheduler
}

fn listed(index: u32, run: u32) -> ReportedRun {
    ReportedRun {
        task: task("j", 0, index),
        run,
        checkpoint: "".into(),
        percent: Some(10),
        speed: 100,
    }
}

/// Lapses of both tasks' first runs.
fn lapses(cause: LapseCause) -> Vec<RunObservation> {
    let lapse = |index| RunObservation::Lapsed {
        agent: agent("a"),
        task: task("j", 0, index),
        run: 1,
        cause,
    };
    (0..2).map(lapse).collect()
}

#[test]
fn runs_of_a_worker_reported_as_ended_lapse_with_that_cause() {
    let mut scheduler = running();
    let mut gone = report("a", 2, None);
    gone.ended_incarnation = Some(worker("a", 1).incarnation);
    scheduler.report(&gone, NOW, UNIX);
    assert_eq!(scheduler.take_observations(), lapses(LapseCause::WorkerEnded));
    assert_eq!(scheduler.take_observations(), []);
}

/// A report may name both the ended incarnation and its successor.
#[test]
fn a_reported_end_is_the_cause_even_if_a_successor_has_registered() {
    let mut scheduler = running();
    let mut replaced = report("a", 2, Some(successor("a", 2)));
    replaced.ended_incarnation = Some(worker("a", 1).incarnation);
    scheduler.report(&replaced, NOW, UNIX);
    assert_eq!(scheduler.take_observations(), lapses(LapseCause::WorkerEnded));
}

#[test]
fn runs_of_a_replaced_worker_lapse_with_that_cause() {
    let mut scheduler = running();
    scheduler.report(&report("a", 2, Some(successor("a", 2))), NOW, UNIX);
    assert_eq!(scheduler.take_observations(), lapses(LapseCause::WorkerReplaced));
}

#[test]
fn runs_of_an_agent_whose_lease_expired_lapse_with_that_cause() {
    let mut scheduler = running();
    scheduler.expire(clock_bound(NOW, AGENT_LEASE).after(1), UNIX);
    assert_eq!(scheduler.take_observations(), lapses(LapseCause::LeaseExpired));
}

#[test]
fn a_reported_end_is_no_lapse() {
    let mut scheduler = running();
    let mut end = report("a", 2, Some(worker("a", 1)));
    end.ended = vec![
        ended(1, &task("j", 0, 0), 1, RunEnd::Done),
        ended(2, &task("j", 0, 1), 1, RunEnd::Lapsed),
    ];
    end.runs = Some(Vec::new());
    scheduler.report(&end, NOW, UNIX);
    assert_eq!(scheduler.take_observations(), []);
}

#[test]
fn an_unassigned_run_is_observed_once_for_each_stop_order() {
    let mut scheduler = running();
    let listing = |number, received| {
        let mut listing = report("a", number, Some(worker("a", 1)));
        listing.received = received;
        listing.runs = Some(vec![listed(0, 1), listed(1, 7)]);
        listing
    };
    let unassigned =
        [RunObservation::Unassigned { agent: agent("a"), task: task("j", 0, 1), run: 7 }];
    scheduler.report(&listing(2, 0), NOW, UNIX);
    assert_eq!(scheduler.take_observations(), unassigned);
    scheduler.report(&listing(3, 0), NOW, UNIX);
    assert_eq!(scheduler.take_observations(), [], "the stop is still outstanding");
    let received = scheduler.workers["a"].last_order;
    scheduler.report(&listing(4, received), NOW, UNIX);
    assert_eq!(scheduler.take_observations(), unassigned, "a second stop was ordered");
    assert_eq!(stops(&scheduler, "a"), [(task("j", 0, 1), 7)]);
}

#[test]
fn a_placement_tells_what_is_reserved_on_its_worker() {
    let mut scheduler = running();
    scheduler.submit(&"k".into(), job(vec![step(1, 500)]));
    scheduler.place(NOW, UNIX);
    let reserved: Vec<_> = store(&mut scheduler)
        .into_iter()
        .filter_map(|write| match write.effect? {
            CommitEffect::Started { task, reserved_cpu, .. } => Some((task, reserved_cpu)),
            _ => None,
        })
        .collect();
    assert_eq!(reserved, [(task("k", 0, 0), 2_500)]);
}
