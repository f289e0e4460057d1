//! Patterns of heavy days on a large fleet: who waits, and where work goes.

mod support;

use cactusdoor_core::unit::Moment;
use cactusdoor_queue::interference::{InterferenceModel, InterferenceSample, ShareChange};
use cactusdoor_queue::report::RunEnd;
use cactusdoor_queue::scheduler::QueueScheduler;
use cactusdoor_queue::spec::{JobSpec, StepSpec};
use support::*;

const NOW: Moment = Moment(10_000);

/// A scheduler whose agents have reported a worker each.
fn fleet(agents: &[&str]) -> QueueScheduler {
    let mut scheduler = scheduler();
    for name in agents {
        scheduler.report(&report(name, 1, Some(worker(name, 1))), NOW, UNIX);
    }
    scheduler
}

fn serving(image: &str, tasks: u32) -> StepSpec {
    StepSpec { latency_bound: 200, endless: true, image: Some(image.into()), ..step(tasks, 1_000) }
}

fn placed(scheduler: &QueueScheduler, agent: &str, job: &str) -> usize {
    let runs = scheduler.workers[agent].runs.keys();
    runs.filter(|task| &*task.job == job).count()
}

/// Pattern: a backlog of jobs of several steps. The one whose remaining steps no longer fit
/// before its deadline gives way to one that can still be in time, though it is older.
#[test]
fn a_job_whose_remaining_chain_is_too_long_comes_after_one_that_can_be_in_time() {
    let mut scheduler = fleet(&["a"]);
    let long = StepSpec { estimate: 2_000, ..step(1, 3_000) };
    let next = StepSpec { after: vec![0], ..long.clone() };
    // 8,100 ms for a chain of 4,000 ms: it must begin within 4,100 ms.
    let older = JobSpec { accepted: UNIX - 4_200, ..job(vec![long.clone(), next.clone()]) };
    let newer = JobSpec { accepted: UNIX - 4_000, ..job(vec![long, next]) };
    scheduler.submit(&"older".into(), older);
    scheduler.submit(&"newer".into(), newer);
    scheduler.place(NOW, UNIX);
    assert_eq!((placed(&scheduler, "a", "older"), placed(&scheduler, "a", "newer")), (0, 1));
}

/// Pattern: many images, so that few pairs have met. An image that has interfered little with
/// some serving images is expected to interfere little with the others.
#[test]
fn an_unknown_pair_is_judged_by_the_other_pairs_of_the_image() {
    let mut model = InterferenceModel::default();
    for (image, now) in [("light", 3.0), ("heavy", 1.0)] {
        for serving in ["p", "q", "r"] {
            for _ in 0..40 {
                let shares = vec![ShareChange { image: image.into(), before: 0.0, now: 0.1 }];
                let serving = serving.into();
                model.learn(&InterferenceSample { serving, before: 3.0, now, shares });
            }
        }
    }
    let coefficient = |image: &str| model.coefficient(Some(&"new".into()), Some(&image.into()));
    assert!(coefficient("light") < 2.0, "{}", coefficient("light"));
    assert!(coefficient("heavy") > 10.0, "{}", coefficient("heavy"));
    assert!(coefficient("light") < coefficient("unknown"));
    assert!(coefficient("unknown") < coefficient("heavy"));
}

/// Pattern: short tasks that reserve processors beside best-effort ones. They go beside serving
/// tasks, which they do not disturb, and leave the workers without any to best-effort tasks.
#[test]
fn short_tasks_leave_workers_without_serving_tasks_to_best_effort_ones() {
    let mut scheduler = fleet(&["a", "b"]);
    scheduler.submit(&"serves".into(), job(vec![serving("p", 2)]));
    scheduler.place(NOW, UNIX);
    let shared = if placed(&scheduler, "a", "serves") > 0 { "a" } else { "b" };
    assert_eq!(placed(&scheduler, shared, "serves"), 2);
    scheduler.submit(&"short".into(), job(vec![step(2, 1_000)]));
    scheduler.place(NOW, UNIX);
    assert_eq!(placed(&scheduler, shared, "short"), 2);
}

/// Pattern: a full fleet of hundreds of machines with a long backlog. Guards against an owner
/// that looks at the backlog again without a change, and against room that stays unused.
#[test]
fn a_full_fleet_waits_for_room_and_uses_what_is_freed() {
    let names: Vec<_> = (0..160).map(|index| format!("side-{index}")).collect();
    let mut scheduler = fleet(&names.iter().map(String::as_str).collect::<Vec<_>>());
    for index in 0..300 {
        scheduler.submit(&format!("j{index:03}").into(), job(vec![step(40, 1_000)]));
    }
    while scheduler.place(NOW, UNIX) {}
    let runs = |scheduler: &QueueScheduler| -> usize {
        scheduler.workers.values().map(|tracked| tracked.runs.len()).sum()
    };
    assert_eq!(runs(&scheduler), 640, "four on each worker");
    assert!(!scheduler.place(NOW, UNIX));
    assert!(scheduler.next_wake(NOW, UNIX).is_some_and(|wake| wake > NOW), "no busy loop");
    store(&mut scheduler);
    let freed = scheduler.workers["side-77"].runs.keys().next().unwrap().clone();
    let mut end = report("side-77", 2, Some(worker("side-77", 1)));
    end.ended = vec![ended(1, &freed, 1, RunEnd::Done)];
    scheduler.report(&end, NOW, UNIX);
    assert_eq!(runs(&scheduler), 639);
    scheduler.place(NOW, UNIX);
    assert_eq!(runs(&scheduler), 640, "the freed room is used at once");
}
