//! Numbers at the ends of their ranges, in jobs, records and reports of other writers: they
//! saturate, and the jobs beside them are placed.

mod support;

use cactusdoor_core::unit::Moment;
use cactusdoor_queue::interference::{InterferenceSample, ShareChange};
use cactusdoor_queue::name::TaskName;
use cactusdoor_queue::record::{JobEnding, PlacedAt, TaskRecord};
use cactusdoor_queue::report::{AgentReport, JobState, ReportedRun, RunEnd, WorkerInfo};
use cactusdoor_queue::scheduler::QueueScheduler;
use cactusdoor_queue::spec::{JobSpec, StepSpec, TaskNeed};
use proptest::prelude::*;
use support::*;

const NOW: Moment = Moment(100_000);

/// A scheduler that a worker of this capacity reports to.
fn scheduler_with(capacity: u64) -> QueueScheduler {
    let mut scheduler = scheduler();
    let capacity = TaskNeed { cpu: capacity, memory: capacity, accelerators: capacity };
    let info = WorkerInfo { capacity, ..worker("a", 1) };
    scheduler.report(&report("a", 1, Some(info)), NOW, UNIX);
    scheduler
}

fn best_effort(tasks: u32, cpu: u64) -> StepSpec {
    StepSpec { best_effort: true, ..step(tasks, cpu) }
}

/// The processors of best-effort tasks are not compared with the worker's capacity: their
/// sum once overflowed.
#[test]
fn best_effort_tasks_with_huge_needs_are_placed_without_overflow() {
    let mut scheduler = scheduler_with(4_000);
    scheduler.submit(&"a".into(), job(vec![best_effort(3, u64::MAX)]));
    scheduler.submit(&"b".into(), job(vec![step(1, 1_000)]));
    for round in 0..40 {
        let now = NOW.after(round * 100);
        let again = report("a", 2 + round, Some(worker("a", 1)));
        scheduler.report(&again, now, UNIX);
        scheduler.place(now, UNIX);
        store(&mut scheduler);
    }
    assert!(starts(&scheduler, "a").iter().any(|(task, _)| &*task.job == "b"));
}

#[test]
fn a_worker_with_a_huge_capacity_is_used_without_overflow() {
    let mut scheduler = scheduler_with(u64::MAX);
    let serving = StepSpec { latency_bound: 100, ..step(1, u64::MAX / 8) };
    scheduler.submit(&"a".into(), job(vec![step(2, u64::MAX / 8), serving, best_effort(1, 5)]));
    scheduler.place(NOW, UNIX);
    store(&mut scheduler);
    scheduler.submit(&"b".into(), job(vec![step(1, 1_000)]));
    scheduler.place(NOW, UNIX);
    store(&mut scheduler);
    assert!(starts(&scheduler, "a").iter().any(|(task, _)| &*task.job == "b"));
}

#[test]
fn a_huge_estimate_does_not_overflow_the_stall_limit() {
    let mut scheduler = scheduler_with(4_000);
    let estimate = u64::MAX;
    scheduler.submit(&"a".into(), job(vec![StepSpec { estimate, ..step(1, 100) }]));
    scheduler.place(NOW, UNIX);
    store(&mut scheduler);
    let name = task("a", 0, 0);
    for number in 2..5 {
        let runs = vec![ReportedRun {
            task: name.clone(),
            run: 1,
            checkpoint: "".into(),
            percent: Some(0),
            speed: 100,
        }];
        let report = AgentReport {
            received: 1,
            runs: Some(runs),
            ..report("a", number, Some(worker("a", 1)))
        };
        scheduler.report(&report, NOW.after(number * 5_000), UNIX);
    }
    assert!(scheduler.is_assigned(&agent("a"), &name, 1));
}

#[test]
fn times_and_paths_at_the_end_of_their_range_saturate() {
    let spec =
        JobSpec { times: 3, first_due: u64::MAX, interval: u64::MAX, ..job(vec![step(1, 1)]) };
    assert_eq!(spec.due(2), Some(u64::MAX));
    let mut scheduler = scheduler_with(4_000);
    scheduler.submit(&"a".into(), spec);
    scheduler.place(NOW, UNIX);
    assert!(starts(&scheduler, "a").is_empty(), "not due");
}

/// A record of an occurrence or a task that the job does not have once kept the job from
/// being completed, or opened an occurrence before its time.
#[test]
fn a_record_of_a_task_that_the_job_does_not_have_is_ignored() {
    for name in ["a.7.0.0", "a.4294967295.0.0", "a.0.9.0", "a.0.0.9"] {
        let mut scheduler = scheduler();
        scheduler.submit(&"a".into(), job(vec![step(1, 100)]));
        let record = TaskRecord { run: 1, ..TaskRecord::default() };
        scheduler.restore_task(&name.parse().unwrap(), &record, NOW);
        let done = TaskRecord { run: 1, done: true, ..TaskRecord::default() };
        scheduler.restore_task(&"a.0.0.0".parse().unwrap(), &done, NOW);
        scheduler.finish_loading(UNIX);
        let ending = scheduler.ended.get("a").map(|ending| ending.state);
        assert_eq!(ending, Some(JobState::Completed), "{name}");
    }
    let mut scheduler = scheduler();
    let spec = JobSpec { times: 2, first_due: u64::MAX, ..job(vec![step(1, 100)]) };
    scheduler.submit(&"a".into(), spec);
    let record = TaskRecord { run: 1, ..TaskRecord::default() };
    scheduler.restore_task(&"a.1.0.9".parse().unwrap(), &record, NOW);
    assert!(scheduler.jobs["a"].occurrences.is_empty(), "not due");
}

/// The numbers of runs and failures in records of another writer once overflowed.
#[test]
fn run_numbers_and_failures_at_the_end_of_their_range_do_not_overflow() {
    let mut scheduler = scheduler_with(4_000);
    let gang = StepSpec { gang: true, ..step(2, 100) };
    scheduler.submit(&"a".into(), job(vec![step(1, 100), gang]));
    for name in ["a.0.0.0", "a.0.1.0", "a.0.1.1"] {
        let record = TaskRecord { run: u32::MAX, failures: u32::MAX, ..TaskRecord::default() };
        scheduler.restore_task(&name.parse().unwrap(), &record, NOW);
    }
    scheduler.finish_loading(UNIX);
    scheduler.place(NOW, UNIX);
    store(&mut scheduler);
    assert!(scheduler.ended.contains_key("a"), "all attempts are used");
}

/// The store holds keys of up to 255 bytes.
#[test]
fn a_text_longer_than_a_key_names_no_task() {
    let name = |length: usize| format!("{}.0.0.0", "j".repeat(length));
    assert!(name(200).parse::<TaskName>().is_ok());
    assert!(name(250).parse::<TaskName>().is_err());
    for odd in ["j.4294967296.0.0", "j.0.65536.0", "j.-1.0.0", "j.0.0", ".0.0.0", "", "j.0.0.1e3"] {
        assert!(odd.parse::<TaskName>().is_err(), "{odd}");
    }
}

fn number() -> impl Strategy<Value = u64> {
    prop_oneof![Just(0), Just(1), 0..5_000u64, Just(u64::MAX / 2), Just(u64::MAX), any::<u64>()]
}

fn small() -> impl Strategy<Value = u32> {
    prop_oneof![4 => 0..3u32, 1 => Just(u32::MAX), 1 => any::<u32>()]
}

fn need() -> impl Strategy<Value = TaskNeed> {
    (number(), number(), number()).prop_map(|(cpu, memory, accelerators)| TaskNeed {
        cpu,
        memory,
        accelerators,
    })
}

prop_compose! {
    fn any_step()(
        tasks in 0..4u32,
        need in need(),
        estimate in number(),
        after in prop::collection::vec(prop_oneof![Just(0u16), Just(u16::MAX)], 0..2),
        flags in any::<[bool; 6]>(),
        per_worker in small(),
        latency_bound in number(),
        may_miss in prop::option::of(small()),
    ) -> StepSpec {
        let [checkpoints, gang, one_rack, speculative, endless, best_effort] = flags;
        let image = gang.then(|| "x".into());
        StepSpec {
            tasks, need, estimate, after, checkpoints, gang, one_rack, label: None, rack: None,
            per_worker, speculative, endless, image, latency_bound, best_effort, may_miss,
        }
    }
}

prop_compose! {
    fn any_job()(
        steps in prop::collection::vec(any_step(), 0..3),
        times in 0..4u32,
        first_due in number(),
        interval in number(),
        accepted in number(),
    ) -> JobSpec {
        JobSpec { times, first_due, interval, accepted, ..job(steps) }
    }
}

fn any_task() -> impl Strategy<Value = TaskName> {
    (prop::sample::select(vec!["a", "b", "c"]), small(), 0..3u16, small()).prop_map(
        |(job, occurrence, step, index)| TaskName { job: job.into(), occurrence, step, index },
    )
}

prop_compose! {
    fn any_record()(
        run in small(), failures in small(), born in number(), is_placed in any::<bool>(),
        done in any::<bool>(), agent in prop::sample::select(vec!["a", "b"]),
    ) -> TaskRecord {
        let incarnation = WorkerInfo { ..worker(agent, born) }.incarnation;
        let placed = is_placed.then(|| PlacedAt { agent: agent.into(), incarnation });
        TaskRecord { run, failures, checkpoint: "".into(), placed, done }
    }
}

fn any_end() -> impl Strategy<Value = RunEnd> {
    use RunEnd::{Alone, Broken, Done, Failed, Lapsed, NotStarted, Stopped};
    prop::sample::select(vec![Done, Failed, Stopped, Lapsed, Broken, Alone, NotStarted])
}

prop_compose! {
    fn any_report()(
        agent in prop::sample::select(vec!["a", "b"]),
        capacity in need(),
        born in number(),
        leaves_in in prop::option::of(number()),
        ends in prop::collection::vec((number(), any_task(), small(), any_end()), 0..3),
        runs in prop::option::of(prop::collection::vec((any_task(), small(), any::<u8>()), 0..3)),
        received in number(),
        wait in number(),
        headrooms in any::<[f32; 4]>(),
    ) -> AgentReport {
        let worker = WorkerInfo { capacity, leaves_in, ..worker(agent, born) };
        let runs = runs.map(|runs| runs.into_iter().map(|(task, run, percent)| ReportedRun {
            task, run, checkpoint: "".into(), percent: Some(percent), speed: percent,
        }).collect());
        let ends = ends.into_iter().map(|(number, task, run, end)| ended(number, &task, run, end));
        let [before, now, share, share_now] = headrooms;
        let shares = vec![ShareChange { image: "x".into(), before: share, now: share_now }];
        let samples = vec![InterferenceSample { serving: "x".into(), before, now, shares }];
        AgentReport {
            ended: ends.collect(), runs, received, wait, samples,
            ..report(agent, 1, Some(worker))
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..Default::default() })]

    /// No job, record or report ends the owner's process.
    #[test]
    fn no_number_makes_the_scheduler_panic(
        jobs in prop::collection::vec(any_job(), 1..4),
        records in prop::collection::vec((any_task(), any_record()), 0..5),
        reports in prop::collection::vec(any_report(), 1..6),
        unix in number(),
        ending in number(),
    ) {
        let mut scheduler = scheduler();
        scheduler.restore_ending(&"z".into(), JobEnding { state: JobState::Failed, at: ending });
        for (id, job) in ["a", "b", "c"].into_iter().zip(&jobs) {
            scheduler.submit(&id.into(), job.clone());
        }
        for (task, record) in &records {
            scheduler.restore_task(task, record, NOW);
        }
        scheduler.finish_loading(unix);
        let mut now = NOW;
        for (number, report) in (1u64..).zip(reports) {
            now = now.after(900);
            scheduler.report(&AgentReport { number, ..report }, now, unix);
            scheduler.place(now, unix);
            store(&mut scheduler);
            scheduler.expire(now, unix);
            scheduler.drop_ended(unix);
            let _pending = scheduler.pending();
        }
        scheduler.report(&report("a", 99, None), now, unix);
        scheduler.expire(Moment(u64::MAX), unix);
        store(&mut scheduler);
        let estimates = scheduler.interference.estimates();
        let finite = estimates.iter().all(|image| {
            image.baseline.is_finite() && image.coefficients.iter().all(|(_, c)| c.is_finite())
        });
        prop_assert!(finite, "{estimates:?}");
    }
}
