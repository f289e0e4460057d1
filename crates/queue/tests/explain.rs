//! Explanations of where a job would be placed: the same decisions as the placement, and no
//! change of the scheduler.

mod support;

use std::collections::BTreeSet;

use cactusdoor_core::unit::Moment;
use cactusdoor_queue::config::OperatorView;
use cactusdoor_queue::explain::{
    JobExplanation, MAX_EXPLAINED_NEEDS, MAX_EXPLAINED_STEPS, MAX_NAMED_WORKERS, ReasonCount,
    StepExplanation, StepOutcome,
};
use cactusdoor_queue::features::SchedulingFeatures;
use cactusdoor_queue::name::StepName;
use cactusdoor_queue::placement::UnfitReason;
use cactusdoor_queue::rank::RankClass;
use cactusdoor_queue::report::WorkerInfo;
use cactusdoor_queue::scheduler::QueueScheduler;
use cactusdoor_queue::spec::{JobSpec, StepSpec, TaskNeed};
use support::*;

const NOW: Moment = Moment(10_000);

const ALL: SchedulingFeatures =
    SchedulingFeatures { headroom_forecast: true, job_order: true, ..SchedulingFeatures::NONE };

fn fleet(workers: &[WorkerInfo]) -> QueueScheduler {
    let mut scheduler = scheduler();
    for (index, info) in workers.iter().enumerate() {
        scheduler.report(&report(&format!("a{index}"), 1, Some(info.clone())), NOW, UNIX);
    }
    scheduler
}

fn explain(scheduler: &QueueScheduler, steps: Vec<StepSpec>) -> JobExplanation {
    explain_spec(scheduler, job(steps))
}

/// Explains a job, and checks that the scheduler is as before.
fn explain_spec(scheduler: &QueueScheduler, spec: JobSpec) -> JobExplanation {
    let before = format!("{scheduler:?}");
    let explanation = scheduler.explain(spec, NOW, UNIX);
    assert_eq!(format!("{scheduler:?}"), before, "an explanation changed the scheduler");
    explanation
}

fn first(scheduler: &QueueScheduler, step: StepSpec) -> StepExplanation {
    explain(scheduler, vec![step]).steps.remove(0)
}

/// Checks that all workers refuse a task of the step for this reason.
fn assert_reason(scheduler: &QueueScheduler, step: StepSpec, reason: UnfitReason) -> StepOutcome {
    let explained = first(scheduler, step);
    let workers = scheduler.workers.len();
    assert_eq!(explained.unfit, [ReasonCount { reason, workers }]);
    assert_eq!((explained.fitting, explained.workers.len()), (0, 0));
    explained.outcome
}

fn submit_and_place(scheduler: &mut QueueScheduler, id: &str, spec: JobSpec) {
    assert!(scheduler.submit(&id.into(), spec));
    scheduler.balance(NOW, UNIX);
    scheduler.place(NOW, UNIX);
    store(scheduler);
}

fn agent_of(scheduler: &QueueScheduler, id: &str) -> Option<String> {
    let task = scheduler.jobs[id].task(&task(id, 0, 0)).unwrap();
    task.agent.as_ref().map(ToString::to_string)
}

/// Guards against a reason that hides another one, and against "never fits" for a worker that is
/// only busy or not available at present.
#[test]
fn each_reason_of_an_unavailable_worker_is_named() {
    let small = || step(1, 1_000);
    let (waits, never) = (StepOutcome::Waits, StepOutcome::NeverFits);
    let other = WorkerInfo { service: "hours".into(), ..worker("a0", 1) };
    assert_eq!(assert_reason(&fleet(&[other]), small(), UnfitReason::OtherService), never);
    let leaving = WorkerInfo { leaves_in: Some(5_000), ..worker("a0", 1) };
    assert_eq!(assert_reason(&fleet(&[leaving]), small(), UnfitReason::Leaving), waits);

    let mut scheduler = fleet(&[worker("a0", 1)]);
    scheduler.set_view(OperatorView { taken_out: BTreeSet::from(["north".into()]), ..view() });
    assert_eq!(assert_reason(&scheduler, small(), UnfitReason::TakenOut), waits);

    let mut scheduler = scheduler_with_report_at(Moment(NOW.0 - 1_601));
    assert_eq!(assert_reason(&scheduler, small(), UnfitReason::Silent), waits);
    scheduler.workers["a0"].worker = None;
    assert_eq!(assert_reason(&scheduler, small(), UnfitReason::NoWorker), never);

    let mut scheduler = fleet(&[worker("a0", 1)]);
    scheduler.workers["a0"].health.quarantine(NOW);
    assert_eq!(assert_reason(&scheduler, small(), UnfitReason::Quarantined), waits);
}

fn scheduler_with_report_at(at: Moment) -> QueueScheduler {
    let mut scheduler = scheduler();
    scheduler.report(&report("a0", 1, Some(worker("a0", 1))), at, UNIX);
    scheduler
}

#[test]
fn each_reason_of_a_worker_without_room_is_named() {
    let scheduler = fleet(&[worker("a0", 1)]);
    let never = StepOutcome::NeverFits;
    let labelled = StepSpec { label: Some("b".into()), ..step(1, 1_000) };
    assert_eq!(assert_reason(&scheduler, labelled, UnfitReason::LabelMissing), never);
    assert_eq!(assert_reason(&scheduler, step(1, 4_001), UnfitReason::Processors), never);
    let need = |memory, accelerators| StepSpec {
        need: TaskNeed { cpu: 1_000, memory, accelerators },
        ..step(1, 1_000)
    };
    assert_eq!(assert_reason(&scheduler, need(10_001, 0), UnfitReason::Memory), never);
    assert_eq!(assert_reason(&scheduler, need(100, 1), UnfitReason::Accelerators), never);
}

/// Guards against "never fits" for a need that a busy worker has room for later.
#[test]
fn a_need_that_only_lacks_room_waits() {
    let mut scheduler = fleet(&[worker("a0", 1)]);
    submit_and_place(&mut scheduler, "j", job(vec![step(1, 3_000)]));
    let outcome = assert_reason(&scheduler, step(1, 2_000), UnfitReason::Processors);
    assert_eq!(outcome, StepOutcome::Waits);
}

/// An unknown job has no runs, so the limit can only refuse a task if there are runs of an empty
/// id, which no caller can submit.
#[test]
fn the_limit_for_each_worker_is_named() {
    let mut scheduler = fleet(&[worker("a0", 1)]);
    let limited = StepSpec { per_worker: 1, ..step(1, 500) };
    submit_and_place(&mut scheduler, "", job(vec![limited.clone()]));
    let outcome = assert_reason(&scheduler, limited, UnfitReason::WorkerLimit);
    assert_eq!(outcome, StepOutcome::Waits);
}

#[test]
fn a_slowdown_over_the_limit_is_named_and_the_speed_is_shown_below_it() {
    for features in [SchedulingFeatures::default(), ALL] {
        let mut scheduler = fleet(&[worker("a0", 1)]);
        scheduler.set_features(features);
        let filling = |cpu| StepSpec { best_effort: true, estimate: 1_000, ..step(1, cpu) };
        let outcome = assert_reason(&scheduler, filling(8_000), UnfitReason::Slowdown);
        assert_eq!(outcome, StepOutcome::Waits);
        let explained = first(&scheduler, filling(1_000));
        assert_eq!(explained.outcome, StepOutcome::Placed);
        let speed = features.headroom_forecast.then_some(100);
        assert_eq!(explained.workers[0].speed, speed);
    }
}

/// Guards against an explanation that differs from the placement.
#[test]
fn the_first_worker_is_the_one_that_the_placement_chooses() {
    let sized = |agent: &str, cpu, rack: &str| WorkerInfo {
        capacity: TaskNeed { cpu, memory: 10_000, accelerators: 0 },
        labels: vec!["a".into(), rack.into()],
        ..worker(agent, 1)
    };
    let steps = [
        step(1, 700),
        StepSpec { best_effort: true, estimate: 500, ..step(1, 900) },
        StepSpec { latency_bound: 200, image: Some("s".into()), ..step(1, 1_500) },
        StepSpec { rack: Some("r2".into()), ..step(1, 300) },
        StepSpec { best_effort: true, image: Some("b".into()), ..step(1, 400) },
        StepSpec { best_effort: true, rack: Some("r2".into()), ..step(1, 1_000) },
        StepSpec { label: Some("r3".into()), ..step(1, 2_000) },
        StepSpec { per_worker: 1, ..step(1, 600) },
    ];
    for features in [SchedulingFeatures::default(), ALL] {
        let mut scheduler = fleet(&[
            sized("a0", 4_000, "r1"),
            sized("a1", 8_000, "r2"),
            sized("a2", 6_000, "r2"),
            sized("a3", 8_000, "r3"),
        ]);
        scheduler.set_features(features);
        let mut placed = 0;
        for (index, step) in steps.iter().cycle().take(32).enumerate() {
            let explained = first(&scheduler, step.clone());
            let id = format!("j{index}");
            submit_and_place(&mut scheduler, &id, job(vec![step.clone()]));
            let named = explained.workers.first().map(|worker| worker.agent.to_string());
            assert_eq!(named, agent_of(&scheduler, &id), "job {index}: {explained:?}");
            assert_eq!(named.is_some(), explained.outcome == StepOutcome::Placed);
            placed += usize::from(named.is_some());
        }
        assert!((12..32).contains(&placed), "placed and refused jobs are covered: {placed}");
    }
}

/// Guards against a class or rank that is not the one of the submitted job.
#[test]
fn the_rank_and_the_deadline_are_those_of_the_submitted_job() {
    let mut scheduler = fleet(&[worker("a0", 1)]);
    scheduler.set_features(ALL);
    scheduler.balance(NOW, UNIX);
    let filling = StepSpec { best_effort: true, estimate: 2_000, ..step(3, 8_000) };
    let explained = explain(&scheduler, vec![filling.clone()]);
    submit_and_place(&mut scheduler, "j", job(vec![filling.clone()]));
    let name = StepName { job: "j".into(), occurrence: 0, step: 0 };
    let ranked = explained.rank.unwrap();
    assert_eq!(Some(ranked.rank), scheduler.step_rank(&name));
    assert_eq!(ranked.class, RankClass::Feasible);
    assert_eq!((explained.budget, explained.deadline), (4_100, UNIX + 4_100));
    // A later job is behind it, and an earlier one is not.
    let later = JobSpec { accepted: UNIX + 50, ..job(vec![filling.clone()]) };
    assert_eq!(explain_spec(&scheduler, later).steps[0].ahead, 1);
    let earlier = JobSpec { accepted: UNIX - 50, ..job(vec![filling]) };
    assert_eq!(explain_spec(&scheduler, earlier).steps[0].ahead, 0);
    assert_eq!(explain(&scheduler, vec![step(1, 1)]).rank, None, "a reserving job has no rank");
}

#[test]
fn reserving_steps_ahead_are_counted() {
    let mut scheduler = fleet(&[worker("a0", 1)]);
    submit_and_place(&mut scheduler, "j", job(vec![step(2, 3_000), step(1, 9_000)]));
    let later = JobSpec { accepted: UNIX + 1, ..job(vec![step(1, 1_000)]) };
    let explained = explain_spec(&scheduler, later);
    assert_eq!(explained.steps[0].ahead, 2);
    assert_eq!(explained.steps[0].outcome, StepOutcome::Placed, "refused steps do not block");
}

#[test]
fn odd_jobs_are_explained() {
    let scheduler = fleet(&[worker("a0", 1)]);
    let after = StepSpec { after: vec![0], ..step(1, 1_000) };
    let steps = explain(&scheduler, vec![step(1, 1_000), after.clone()]).steps;
    assert_eq!(steps[1].outcome, StepOutcome::After(vec![0]));
    // A step without a task is done, so the steps after it are ready.
    let steps = explain(&scheduler, vec![step(0, 1_000), after]).steps;
    assert_eq!(steps[0].outcome, StepOutcome::Empty);
    assert_eq!(steps[1].outcome, StepOutcome::Placed);
    let huge = step(1, u64::MAX);
    assert_eq!(first(&scheduler, huge).outcome, StepOutcome::NeverFits);
    let endless = StepSpec { endless: true, estimate: u64::MAX, ..step(20_000, 0) };
    assert_eq!(first(&scheduler, endless).outcome, StepOutcome::Placed);
    let recurring = JobSpec {
        times: 20_000,
        first_due: UNIX + 60_000,
        interval: u64::MAX,
        ..job(vec![step(1, 1_000)])
    };
    let explained = explain_spec(&scheduler, recurring);
    assert_eq!(explained.due, Some(UNIX + 60_000));
    assert_eq!(explained.steps[0].outcome, StepOutcome::Placed);
    let explained = explain_spec(&scheduler, JobSpec { queue: "gone".into(), ..job(vec![]) });
    assert!(explained.steps.is_empty());
    let empty = first(&QueueScheduler::open(1, Moment(0)), step(1, 1_000));
    assert_eq!((empty.outcome, empty.unfit), (StepOutcome::NeverFits, Vec::new()));
}

/// Guards against answers and times in the owner's loop that grow with the job or the fleet.
#[test]
fn an_explanation_is_bounded() {
    let workers: Vec<_> = (0..40).map(|index| worker(&format!("a{index}"), 1)).collect();
    let scheduler = fleet(&workers);
    let steps = (0..100).map(|index| step(1, 100 + index)).collect();
    let explained = explain(&scheduler, steps);
    assert_eq!(explained.steps.len(), MAX_EXPLAINED_STEPS);
    assert_eq!(explained.omitted, 100 - MAX_EXPLAINED_STEPS);
    let examined = explained.steps.iter().filter(|step| step.outcome == StepOutcome::Placed);
    assert_eq!(examined.clone().count(), MAX_EXPLAINED_NEEDS);
    for step in examined {
        assert_eq!((step.workers.len(), step.fitting), (MAX_NAMED_WORKERS, 40));
    }
    // Equal needs are looked at once.
    let explained = explain(&scheduler, vec![step(1, 100); 100]);
    assert!(explained.steps.iter().all(|step| step.outcome == StepOutcome::Placed));
}

/// Prints the time of the largest explanation, which delays the other calls in the owner's loop.
#[test]
#[ignore = "measures; run in release mode"]
fn time_of_the_largest_explanation() {
    let workers: Vec<_> = (0..2_100).map(|index| worker(&format!("a{index}"), 1)).collect();
    let mut scheduler = fleet(&workers);
    scheduler.set_features(ALL);
    let serving =
        StepSpec { latency_bound: 200, image: Some("s".into()), per_worker: 1, ..step(2_100, 500) };
    for _ in 0..6 {
        if !scheduler.jobs.contains_key("s") {
            scheduler.submit(&"s".into(), job(vec![serving.clone()]));
        }
        scheduler.place(NOW, UNIX);
        store(&mut scheduler);
    }
    let filling = |cpu| StepSpec { best_effort: true, image: Some("b".into()), ..step(600, cpu) };
    let steps: Vec<_> = (0..32).map(|index| filling(100 + index)).collect();
    let mut times = Vec::new();
    for _ in 0..50 {
        let spec = job(steps.clone());
        let begin = std::time::Instant::now();
        let explained = scheduler.explain(spec, NOW, UNIX);
        times.push(begin.elapsed());
        assert_eq!(explained.steps.len(), 32);
    }
    times.sort_unstable();
    println!("median {:?}, longest {:?}", times[25], times[49]);
}
