//! The order of best-effort steps: the policy, the owner's ranks, and the agents' use of them.

mod support;

use cactusdoor_core::unit::Moment;
use cactusdoor_queue::features::SchedulingFeatures;
use cactusdoor_queue::name::StepName;
use cactusdoor_queue::rank::{
    MAX_SIZE_DELAY, RankClass, RankCounts, RankInput, SIZE_WEIGHT, StepRank,
};
use cactusdoor_queue::record::{PlacedAt, TaskKey, TaskRecord};
use cactusdoor_queue::report::ReportedRun;
use cactusdoor_queue::scheduler::QueueScheduler;
use cactusdoor_queue::spec::{JobSpec, StepSpec, TaskNeed};
use support::*;

const NOW: Moment = Moment(10_000);
const ORDERED: SchedulingFeatures =
    SchedulingFeatures { job_order: true, ..SchedulingFeatures::NONE };

fn input() -> RankInput {
    RankInput {
        priority: 2,
        accepted: UNIX,
        deadline: UNIX + 5_000,
        budget: 5_000,
        remaining_path: 2_000,
        remaining_work: 600_000_000,
        total_work: 600_000_000,
        capacity: 400_000,
        now: UNIX,
    }
}

fn step_name(job: &str, step: u16) -> StepName {
    StepName { job: job.into(), occurrence: 0, step }
}

/// A best-effort step whose tasks run for 2 s on one processor.
fn filling(tasks: u32) -> StepSpec {
    StepSpec { best_effort: true, estimate: 2_000, ..step(tasks, 1_000) }
}

/// A scheduler with one worker of this many processors.
fn owner(features: SchedulingFeatures, processors: u64) -> QueueScheduler {
    let mut scheduler = scheduler();
    scheduler.set_features(features);
    let mut info = worker("a", 1);
    info.capacity = TaskNeed { cpu: processors * 1_000, memory: 1_000_000, accelerators: 0 };
    scheduler.report(&report("a", 1, Some(info)), NOW, UNIX);
    scheduler
}

fn pass(scheduler: &mut QueueScheduler, now: Moment, unix: u64) {
    scheduler.balance(now, unix);
    scheduler.place(now, unix);
    store(scheduler);
}

fn placed(scheduler: &QueueScheduler, job: &str) -> usize {
    let runs = scheduler.workers["a"].runs.keys();
    runs.filter(|task| &*task.job == job).count()
}

/// Lists the runs of the worker; those of `job` with this progress.
fn list(scheduler: &mut QueueScheduler, number: u64, job: &str, percent: u8, now: Moment) {
    let tracked = &scheduler.workers["a"];
    let mut message = report("a", number, tracked.worker.clone());
    let listed = tracked.runs.values().map(|run| ReportedRun {
        task: run.start.task.clone(),
        run: run.start.run,
        checkpoint: "".into(),
        percent: Some(if &*run.start.task.job == job { percent } else { 0 }),
        speed: 100,
    });
    message.runs = Some(listed.collect());
    scheduler.report(&message, now, UNIX);
}

fn ranks(scheduler: &mut QueueScheduler, now: Moment) -> Vec<(StepName, StepRank)> {
    scheduler.due_ranks(&agent("a"), now).map(|update| update.ranks).unwrap_or_default()
}

/// One job of the fixed pattern: 2 s of work on each of `width` processors.
struct PatternJob {
    accepted: u64,
    width: u64,
    /// Processor-ms that remain, thousandths.
    remaining: u64,
    done: Option<u64>,
}

const PATTERN_PROCESSORS: u64 = 400;
const PATTERN_DURATION: u64 = 2_000;
const PATTERN_BUDGET: u64 = 5_000;
const PATTERN_TICK: u64 = 50;

/// Jobs of 20 s at 1.3 times the capacity: mean 160 processors for 2 s, every 615 ms.
fn pattern() -> Vec<PatternJob> {
    let widths = [80, 320, 40, 160, 240, 80, 400, 160, 40, 80];
    let job = |number: u64| {
        let width = widths[usize::try_from(number).unwrap() % widths.len()];
        let remaining = width * 1_000 * PATTERN_DURATION;
        PatternJob { accepted: UNIX + number * 615, width, remaining, done: None }
    };
    (0..33).map(job).collect()
}

/// Divides the processors among the jobs in the order of `key`; returns the time at which each
/// job was done.
fn play(key: impl Fn(&RankInput) -> u64) -> Vec<(u64, u64)> {
    let mut jobs = pattern();
    for tick in 0..2_000 {
        let now = UNIX + tick * PATTERN_TICK;
        let live = jobs.iter_mut().filter(|job| job.accepted <= now && job.done.is_none());
        let mut order: Vec<_> = live
            .map(|job| {
                let total_work = job.width * 1_000 * PATTERN_DURATION;
                let input = RankInput {
                    priority: 2,
                    accepted: job.accepted,
                    deadline: job.accepted + PATTERN_BUDGET,
                    budget: PATTERN_BUDGET,
                    remaining_path: PATTERN_DURATION * job.remaining / total_work,
                    remaining_work: job.remaining,
                    total_work,
                    capacity: PATTERN_PROCESSORS * 1_000,
                    now,
                };
                (key(&input), job)
            })
            .collect();
        order.sort_by_key(|(key, _)| *key);
        let mut free = PATTERN_PROCESSORS;
        for (_, job) in order {
            let given = free.min(job.width);
            free -= given;
            job.remaining = job.remaining.saturating_sub(given * 1_000 * PATTERN_TICK);
            if job.remaining == 0 {
                job.done = Some(now + PATTERN_TICK);
            }
        }
    }
    jobs.iter().map(|job| (job.accepted, job.done.expect("a job starved"))).collect()
}

fn in_time(jobs: &[(u64, u64)]) -> usize {
    jobs.iter().filter(|(accepted, done)| done - accepted <= PATTERN_BUDGET).count()
}

/// Guards against an order in which every job of an overload is served slightly too late.
#[test]
fn more_jobs_are_in_time_than_by_acceptance() {
    let ranked = play(RankInput::rank);
    let accepted = play(|input| input.accepted);
    println!("in time: {} by rank, {} by acceptance", in_time(&ranked), in_time(&accepted));
    assert!(in_time(&ranked) > in_time(&accepted));
    // The order used without the feature: late jobs last, then by acceptance.
    let late = play(|input| {
        let late = input.now > input.deadline - input.remaining_path;
        (u64::from(late) << 60) + input.accepted
    });
    println!("in time: {} by lateness and acceptance", in_time(&late));
    assert!(in_time(&ranked) >= in_time(&late));
}

/// Guards against starvation: jobs that arrive after the delay of a job never overtake it.
#[test]
fn overtaking_is_bounded() {
    for remaining_work in [1_000, 600_000_000, 90_000_000_000, u64::MAX] {
        let large = RankInput { remaining_work, ..input() };
        let delay = remaining_work.saturating_mul(SIZE_WEIGHT) / large.capacity;
        let after = delay.min(MAX_SIZE_DELAY) + 1;
        let (accepted, deadline) = (UNIX + after, UNIX + after + 5_000);
        let small = RankInput { remaining_work: 0, accepted, deadline, ..input() };
        assert!(large.rank() < small.rank(), "{remaining_work}");
    }
    // Across classes, a late job gives way to all that can be in time: every job of the pattern
    // completes (checked by `play`), the last one once the overload has ended.
    let longest = play(RankInput::rank).iter().map(|(accepted, done)| done - accepted).max();
    println!("longest time to completion: {longest:?} ms");
}

#[test]
fn a_rank_orders_by_priority_class_and_time() {
    let base = input();
    let higher = RankInput { priority: 1, now: UNIX + 60_000, ..base };
    let useful = RankInput { now: UNIX + 3_001, accepted: UNIX - 1_000, ..base };
    let neither = RankInput { now: UNIX + 15_001, accepted: UNIX - 2_000, ..base };
    let classes = [base.class(), useful.class(), neither.class()];
    assert_eq!(classes, [RankClass::Feasible, RankClass::Useful, RankClass::Neither]);
    assert!(higher.rank() < base.rank());
    assert!(base.rank() < useful.rank() && useful.rank() < neither.rank());
    let nearer = RankInput { remaining_work: 1_000, accepted: UNIX + 500, ..base };
    assert!(nearer.rank() < base.rank(), "a job near its end comes first");
    let times = [base, useful, neither].map(|input| input.next_class_at());
    assert_eq!(times, [Some(UNIX + 3_001), Some(UNIX + 15_001), None]);
    let endless = RankInput { deadline: u64::MAX, now: u64::MAX - 1, ..base };
    assert_eq!(endless.class(), RankClass::Feasible);
}

/// Guards against overflow of a part of the rank into the next.
#[test]
fn odd_inputs_stay_within_their_part_of_the_rank() {
    let odd = RankInput {
        priority: u32::MAX,
        accepted: u64::MAX,
        deadline: u64::MAX - 1,
        budget: u64::MAX,
        remaining_path: u64::MAX,
        remaining_work: u64::MAX,
        total_work: u64::MAX,
        capacity: 1,
        now: u64::MAX,
    };
    let lowest = RankInput { priority: u32::MAX, ..input() };
    assert!(input().rank() < lowest.rank());
    assert!(lowest.rank() < odd.rank());
    assert_eq!(RankInput { capacity: 0, ..input() }.rank() & ((1 << 54) - 1), UNIX);
}

/// A small job that arrives after a large one is served first, and only with the switch on.
#[test]
fn a_small_job_overtakes_a_large_one_that_is_as_old() {
    for (features, expected) in [(ORDERED, (0, 1)), (SchedulingFeatures::default(), (1, 0))] {
        let mut scheduler = owner(features, 1);
        let large = JobSpec { accepted: UNIX - 100, ..job(vec![filling(30)]) };
        scheduler.submit(&"large".into(), large);
        scheduler.submit(&"small".into(), job(vec![filling(1)]));
        pass(&mut scheduler, NOW, UNIX);
        assert_eq!((placed(&scheduler, "large"), placed(&scheduler, "small")), expected);
    }
}

/// Guards against an order that mixes reserving and best-effort steps by unlike measures.
#[test]
fn priority_decides_first_then_reserving_steps_come_first() {
    let mut scheduler = owner(ORDERED, 1);
    let reserving = StepSpec { estimate: 60_000, ..step(1, 600) };
    let old = JobSpec { accepted: UNIX - 50, ..job(vec![filling(1)]) };
    scheduler.submit(&"fills".into(), old);
    scheduler.submit(&"reserves".into(), job(vec![reserving]));
    pass(&mut scheduler, NOW, UNIX);
    assert_eq!((placed(&scheduler, "reserves"), placed(&scheduler, "fills")), (1, 0));
}

/// Guards against waiting steps that keep the position of an old rank.
#[test]
fn progress_moves_waiting_steps() {
    let mut scheduler = owner(ORDERED, 2);
    // The second step fits nowhere until the worker has the label.
    let away = StepSpec { label: Some("b".into()), ..filling(1) };
    for name in ["x", "y"] {
        scheduler.submit(&name.into(), job(vec![filling(1), away.clone()]));
    }
    pass(&mut scheduler, NOW, UNIX);
    assert_eq!((placed(&scheduler, "x"), placed(&scheduler, "y")), (1, 1));
    let before = ranks(&mut scheduler, NOW);
    list(&mut scheduler, 2, "y", 50, Moment(10_100));
    pass(&mut scheduler, Moment(10_250), UNIX);
    assert_eq!(ranks(&mut scheduler, Moment(10_310)), vec![], "within 300 ms of its last rank");
    pass(&mut scheduler, Moment(10_400), UNIX);
    let after = ranks(&mut scheduler, Moment(10_400));
    assert_eq!((&before[0].0, &after[0].0), (&step_name("x", 0), &step_name("y", 0)));
    assert!(after[0].1 < before[1].1, "progress must help");
    let mut info = worker("a", 1);
    info.labels.push("b".into());
    // Room for one more task.
    info.capacity.memory = 350;
    scheduler.report(&report("a", 3, Some(info)), Moment(10_500), UNIX);
    pass(&mut scheduler, Moment(10_500), UNIX);
    assert_eq!((placed(&scheduler, "x"), placed(&scheduler, "y")), (1, 2));
}

/// Guards against a job that keeps its class while it waits and nothing else happens.
#[test]
fn a_job_that_can_no_longer_be_in_time_falls_behind() {
    let mut scheduler = owner(ORDERED, 1);
    // Its tasks fit nowhere until the other worker comes.
    let away = |step: StepSpec| StepSpec { label: Some("b".into()), ..step };
    scheduler.submit(&"old".into(), job(vec![away(filling(1))]));
    pass(&mut scheduler, NOW, UNIX);
    let wake = scheduler.next_wake(NOW, UNIX).expect("a timer for the next class");
    assert!(wake <= Moment(NOW.0 + 2_101), "woken at {wake:?}");
    let newer = JobSpec { accepted: UNIX + 3_000, ..job(vec![away(filling(1))]) };
    scheduler.submit(&"new".into(), newer);
    let mut info = worker("a", 1);
    info.labels.push("b".into());
    // Room for one task.
    info.capacity.memory = 150;
    let now = Moment(NOW.0 + 3_000);
    scheduler.report(&report("a", 2, Some(info)), now, UNIX + 3_000);
    pass(&mut scheduler, now, UNIX + 3_000);
    assert_eq!((placed(&scheduler, "old"), placed(&scheduler, "new")), (0, 1));
}

/// Guards against ranks that depend on what an owner has seen besides the records.
#[test]
fn two_owners_with_the_same_records_rank_alike() {
    let mut first = owner(ORDERED, 4);
    let jobs = [("x", 3), ("y", 1), ("z", 5)].map(|(name, tasks)| {
        (name, JobSpec { accepted: UNIX - 70, ..job(vec![filling(tasks), filling(1)]) })
    });
    for (name, spec) in &jobs {
        first.submit(&(*name).into(), spec.clone());
    }
    first.balance(NOW, UNIX);
    first.place(NOW, UNIX);
    let writes = store(&mut first);
    let mut second = owner(SchedulingFeatures::default(), 4);
    for (name, spec) in jobs.iter().rev() {
        second.submit(&(*name).into(), spec.clone());
    }
    for (key, value) in writes.into_iter().filter_map(|write| write.record) {
        if let (TaskKey::Task(name), Some(value)) = (TaskKey::parse(&key), value) {
            let record: TaskRecord = serde_json::from_slice(&value).unwrap();
            second.restore_task(&name, &record, NOW);
        }
    }
    second.finish_loading(UNIX);
    // An owner switches its features on when it has loaded its state.
    second.set_features(ORDERED);
    let (later, unix) = (Moment(NOW.0 + 1_000), UNIX + 50);
    for scheduler in [&mut first, &mut second] {
        list(scheduler, 2, "y", 40, Moment(NOW.0 + 500));
        pass(scheduler, later, unix);
    }
    let known = ranks(&mut first, later);
    assert!(known.len() >= 2, "{known:?}");
    assert_eq!(known, ranks(&mut second, later));
}

/// Guards against updates that are too frequent, too long, or lost for good.
#[test]
fn updates_are_bounded_in_rate_and_size_and_repeated() {
    let mut scheduler = owner(ORDERED, 1_000);
    for number in 0..220u64 {
        let spec = JobSpec { accepted: UNIX - number, ..job(vec![filling(2)]) };
        scheduler.submit(&format!("j{number}").into(), spec);
    }
    pass(&mut scheduler, NOW, UNIX);
    assert_eq!(scheduler.workers["a"].runs.len(), 440);
    let update = scheduler.due_ranks(&agent("a"), NOW).unwrap();
    assert_eq!(update.ranks.len(), 200);
    assert!(update.ranks.is_sorted_by_key(|(_, rank)| *rank), "the last steps are left out");
    list(&mut scheduler, 2, "j219", 10, Moment(NOW.0 + 100));
    pass(&mut scheduler, Moment(NOW.0 + 299), UNIX);
    assert_eq!(scheduler.due_ranks(&agent("a"), Moment(NOW.0 + 299)), None);
    pass(&mut scheduler, Moment(NOW.0 + 400), UNIX);
    let changed = scheduler.due_ranks(&agent("a"), Moment(NOW.0 + 400)).unwrap();
    assert!(changed.number > update.number);
    assert_eq!(scheduler.due_ranks(&agent("a"), Moment(NOW.0 + 1_000)), None, "no change");
    let repeated = scheduler.due_ranks(&agent("a"), Moment(NOW.0 + 3_400)).unwrap();
    assert_eq!((repeated.ranks == changed.ranks, repeated.number > changed.number), (true, true));
    // A restarted agent has no ranks.
    let mut message = report("a", 1, scheduler.workers["a"].worker.clone());
    message.incarnation = 2;
    scheduler.report(&message, Moment(NOW.0 + 3_800), UNIX);
    assert!(scheduler.due_ranks(&agent("a"), Moment(NOW.0 + 3_800)).is_some());
    assert_eq!(scheduler.due_ranks(&agent("unknown"), NOW), None);
}

#[test]
fn without_the_switch_there_are_no_ranks() {
    let mut scheduler = owner(SchedulingFeatures::default(), 4);
    scheduler.submit(&"x".into(), job(vec![filling(2)]));
    pass(&mut scheduler, NOW, UNIX);
    list(&mut scheduler, 2, "x", 50, Moment(NOW.0 + 400));
    pass(&mut scheduler, Moment(NOW.0 + 400), UNIX);
    assert_eq!(scheduler.due_ranks(&agent("a"), Moment(NOW.0 + 400)), None);
    assert_eq!(scheduler.take_rank_counts(Moment(NOW.0 + 400)), None);
    // Switched on later, the order knows the progress; switched off, it is forgotten.
    scheduler.set_features(ORDERED);
    pass(&mut scheduler, Moment(NOW.0 + 500), UNIX);
    let late = ranks(&mut scheduler, Moment(NOW.0 + 500));
    let mut fresh = owner(ORDERED, 4);
    fresh.submit(&"x".into(), job(vec![filling(2)]));
    pass(&mut fresh, NOW, UNIX);
    list(&mut fresh, 2, "x", 50, Moment(NOW.0 + 400));
    pass(&mut fresh, Moment(NOW.0 + 400), UNIX);
    assert_eq!(late, ranks(&mut fresh, Moment(NOW.0 + 400)));
    assert_eq!(late[0].0, step_name("x", 0));
    scheduler.set_features(SchedulingFeatures::default());
    assert_eq!(scheduler.due_ranks(&agent("a"), Moment(NOW.0 + 900)), None);
}

/// Guards against a log event for each change of a rank.
#[test]
fn counts_are_published_at_most_every_five_seconds() {
    let mut scheduler = owner(ORDERED, 4);
    scheduler.submit(&"x".into(), job(vec![filling(2), filling(1)]));
    pass(&mut scheduler, NOW, UNIX);
    let both = RankCounts { feasible: 2, ..RankCounts::default() };
    assert_eq!(scheduler.take_rank_counts(NOW), Some(both));
    scheduler.submit(&"y".into(), job(vec![filling(1)]));
    pass(&mut scheduler, Moment(NOW.0 + 4_999), UNIX);
    assert_eq!(scheduler.take_rank_counts(Moment(NOW.0 + 4_999)), None);
    let later = RankCounts { feasible: 3, ..both };
    assert_eq!(scheduler.take_rank_counts(Moment(NOW.0 + 5_000)), Some(later));
    assert_eq!(scheduler.take_rank_counts(Moment(NOW.0 + 10_000)), None, "no change");
    scheduler.cancel(&"x".into(), UNIX);
    scheduler.cancel(&"y".into(), UNIX);
    let none = RankCounts::default();
    assert_eq!(scheduler.take_rank_counts(Moment(NOW.0 + 15_000)), Some(none));
}

/// Guards against ranks that stay old because others have changed after them: more change in a call
/// than one call computes.
#[test]
fn under_lasting_progress_the_oldest_ranks_are_computed_first() {
    const JOBS: u64 = 2_400;
    let mut scheduler = owner(ORDERED, JOBS);
    for number in 0..JOBS {
        scheduler.submit(&format!("j{number}").as_str().into(), job(vec![filling(1)]));
    }
    while scheduler.place(NOW, UNIX) {}
    store(&mut scheduler);
    assert_eq!(scheduler.workers["a"].runs.len(), 2_400);
    let before: Vec<_> = (0..JOBS).map(|number| rank_of(&scheduler, number)).collect();
    // The capacity is measured first, which has all ranks computed.
    for call in 1..=40 {
        let now = Moment(NOW.0 + call * 100);
        let percent = u8::try_from(call).unwrap();
        let mut message = report("a", 1 + call, scheduler.workers["a"].worker.clone());
        let listed = scheduler.workers["a"].runs.values().map(|run| ReportedRun {
            task: run.start.task.clone(),
            run: run.start.run,
            checkpoint: "".into(),
            percent: Some(percent),
            speed: 100,
        });
        message.runs = Some(listed.collect());
        scheduler.report(&message, now, UNIX);
        scheduler.balance(now, UNIX);
    }
    let old = (0..JOBS).filter(|number| rank_of(&scheduler, *number) == before[*number as usize]);
    assert_eq!(old.count(), 0, "ranks of 40 calls ago");
}

fn rank_of(scheduler: &QueueScheduler, number: u64) -> StepRank {
    scheduler.step_rank(&step_name(&format!("j{number}"), 0)).unwrap()
}

/// Guards against ranks by the first report's processors after an election: the delays for
/// remaining work were many times too long until the other workers had reported.
#[test]
fn a_new_owner_waits_for_the_workers_with_runs() {
    const UNKNOWN_UNTIL: Moment = Moment(NOW.0 + 5_000);
    let open = || {
        let mut scheduler = QueueScheduler::open(2, UNKNOWN_UNTIL);
        scheduler.set_view(view());
        scheduler.submit(&"x".into(), job(vec![filling(2)]));
        for (index, name) in ["a", "b"].into_iter().enumerate() {
            let placed = PlacedAt { agent: agent(name), incarnation: worker(name, 1).incarnation };
            let record = TaskRecord { run: 1, placed: Some(placed), ..TaskRecord::default() };
            let index = u32::try_from(index).unwrap();
            scheduler.restore_task(&step_name("x", 0).task(index), &record, NOW);
        }
        scheduler.finish_loading(UNIX);
        scheduler.set_features(ORDERED);
        scheduler.report(&report("a", 1, Some(worker("a", 1))), NOW, UNIX);
        pass(&mut scheduler, NOW, UNIX);
        assert_eq!(scheduler.ranked_capacity(&"minutes".into()), 0, "half of the workers");
        scheduler
    };
    let mut scheduler = open();
    scheduler.report(&report("b", 1, Some(worker("b", 1))), NOW, UNIX);
    pass(&mut scheduler, Moment(NOW.0 + 100), UNIX);
    assert_eq!(scheduler.ranked_capacity(&"minutes".into()), 8_000);
    // The other worker is lost.
    let mut scheduler = open();
    let later = Moment(UNKNOWN_UNTIL.0 + 1);
    scheduler.report(&report("a", 2, Some(worker("a", 1))), later, UNIX);
    pass(&mut scheduler, later, UNIX);
    assert_eq!(scheduler.ranked_capacity(&"minutes".into()), 4_000);
}
