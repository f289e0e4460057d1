//! The backlog of an owner, and the jobs that entries refuse with it.

mod support;

use std::sync::Arc;

use cactusdoor_core::unit::Moment;
use cactusdoor_queue::backlog::{
    AcceptedWork, Admission, Backlog, ClassWork, RoomRefusal, ServiceBacklog, TimedWork, admit,
    forecast, size_class,
};
use cactusdoor_queue::config::{QueueConfig, QueueTerms};
use cactusdoor_queue::report::{AgentReport, ReportedRun, RunEnd};
use cactusdoor_queue::scheduler::QueueScheduler;
use cactusdoor_queue::spec::{JobSpec, StepSpec, TaskNeed};
use support::*;

/// Rate of best-effort work: 40 processors.
const RATE: u64 = 40_000;

fn of_priority(priority: u32) -> QueueConfig {
    let terms = QueueTerms { priority, attempts: 3, slack_factor: 2.0, slack_base: 1_000 };
    QueueConfig { terms, ..queue() }
}

/// A job with one best-effort step.
fn best_effort(tasks: u32, cpu: u64, estimate: u64) -> JobSpec {
    let need = TaskNeed { cpu, memory: 100, accelerators: 0 };
    job(vec![StepSpec { need, estimate, best_effort: true, ..step(tasks, cpu) }])
}

/// Work of one priority in jobs like this one, with an average remaining time.
fn class(priority: u32, spec: &JobSpec, work: u64, remaining: u64) -> ClassWork {
    let own = AcceptedWork::of(spec, &of_priority(priority)).work;
    let in_time = TimedWork { work, remaining };
    ClassWork { priority, size: size_class(own), in_time, useful: TimedWork::default() }
}

fn backlog(ordered: bool, rate: Option<u64>, classes: Vec<ClassWork>) -> Backlog {
    let service = ServiceBacklog { service: "minutes".into(), rate, work: Vec::new(), classes };
    Backlog { ordered, services: vec![service] }
}

fn decide(backlog: &Backlog, spec: &JobSpec, priority: u32) -> Admission {
    admit(backlog, 100, spec, &of_priority(priority), &[])
}

fn refusal(admission: Admission) -> RoomRefusal {
    match admission {
        Admission::Refuse(refusal) => refusal,
        Admission::Accept => panic!("accepted"),
    }
}

fn small() -> JobSpec {
    best_effort(2, 7_000, 500)
}

fn large() -> JobSpec {
    best_effort(80, 7_000, 2_200)
}

/// Three times as much work as the room can do in 20 s, in jobs of 3 s budget.
fn overload(ordered: bool) -> Backlog {
    let medium = best_effort(20, 7_000, 2_200);
    let work = 3 * RATE / 1_000 * 20_000;
    backlog(ordered, Some(RATE), vec![class(2, &medium, work, 3_000)])
}

/// Guards against refusals while there is room.
#[test]
fn nothing_is_refused_without_waiting_work() {
    assert_eq!(decide(&Backlog::default(), &large(), 2), Admission::Accept);
    assert_eq!(decide(&backlog(false, Some(RATE), vec![]), &large(), 2), Admission::Accept);
    assert_eq!(decide(&backlog(false, Some(1), vec![]), &large(), 2), Admission::Accept);
}

/// Guards against refusals of jobs that the owner would serve before the backlog, and against
/// large jobs that take room in vain.
#[test]
fn an_overload_refuses_the_large_job_of_low_priority_only() {
    for ordered in [false, true] {
        let backlog = overload(ordered);
        assert_eq!(decide(&backlog, &small(), 0), Admission::Accept);
        assert_eq!(decide(&backlog, &large(), 1), Admission::Accept);
        let refused = refusal(decide(&backlog, &large(), 2));
        assert!(refused.forecast.expected > 3 * refused.forecast.budget);
    }
    assert_eq!(decide(&overload(true), &small(), 2), Admission::Accept);
}

/// Guards against the refusal of a job whose result is still of some value.
#[test]
fn a_job_that_would_be_late_but_useful_is_accepted() {
    let spec = best_effort(4, 7_000, 2_000);
    let config = of_priority(2);
    // Budget 5 s: in time until 5 s, useful until 15 s.
    let of_seconds = |seconds: u64| {
        let work = RATE / 1_000 * seconds * 1_000;
        backlog(false, Some(RATE), vec![class(2, &spec, work, 1_000)])
    };
    for seconds in [1, 5, 9, 12] {
        let backlog = of_seconds(seconds);
        let known = forecast(&backlog, 0, &spec, &config, &[]).unwrap();
        assert_eq!(known.expected > known.budget, seconds > 1);
        assert_eq!(decide(&backlog, &spec, 2), Admission::Accept, "{seconds}");
    }
    assert!(matches!(decide(&of_seconds(14), &spec, 2), Admission::Refuse(_)));
}

/// Guards against refusals that help nobody: the waiting jobs have time enough, or have no value
/// any more.
#[test]
fn a_job_is_refused_only_if_others_gain() {
    let work = RATE / 1_000 * 20_000;
    let spec = small();
    let patient = backlog(false, Some(RATE), vec![class(2, &spec, work, 60_000)]);
    let known = forecast(&patient, 0, &spec, &of_priority(2), &[]).unwrap();
    assert!(known.expected > 3 * known.budget && !known.harms);
    assert_eq!(decide(&patient, &spec, 2), Admission::Accept);
    // All jobs are late already: they gain if they would become useless otherwise.
    let late = |remaining| {
        let useful = TimedWork { work, remaining };
        let class = ClassWork { priority: 2, size: size_class(14_000), useful, ..<_>::default() };
        backlog(false, Some(RATE), vec![class])
    };
    assert_eq!(decide(&late(60_000), &spec, 2), Admission::Accept);
    assert!(matches!(decide(&late(10_000), &spec, 2), Admission::Refuse(_)));
}

/// Guards against the refusal of a job that the order serves before all late jobs.
#[test]
fn late_work_does_not_come_before_a_job_in_time() {
    // Budget 2 s, useful for 6 s.
    let spec = small();
    let with_late = |ordered, in_time_ms| {
        let in_time = TimedWork { work: RATE / 1_000 * in_time_ms, remaining: 500 };
        let useful = TimedWork { work: RATE / 1_000 * 20_000, remaining: 5_000 };
        let class = ClassWork { priority: 2, size: size_class(7_000), in_time, useful };
        backlog(ordered, Some(RATE), vec![class])
    };
    assert_eq!(decide(&with_late(true, 0), &spec, 2), Admission::Accept);
    assert_eq!(decide(&with_late(true, 1_400), &spec, 2), Admission::Accept);
    // The job becomes late itself before it is served, or is served in the order of acceptance.
    for backlog in [with_late(true, 1_600), with_late(false, 0)] {
        assert!(matches!(decide(&backlog, &spec, 2), Admission::Refuse(_)));
    }
}

/// Guards against refusals that rest on nothing, and against overflows.
#[test]
fn what_is_not_known_is_accepted() {
    let spec = large();
    let config = of_priority(2);
    assert!(matches!(admit(&overload(false), 2_000, &spec, &config, &[]), Admission::Refuse(_)));
    assert_eq!(admit(&overload(false), 2_001, &spec, &config, &[]), Admission::Accept);
    for rate in [None, Some(0)] {
        let classes = overload(false).services[0].classes.clone();
        assert_eq!(decide(&backlog(false, rate, classes), &spec, 2), Admission::Accept);
    }
    let other = QueueConfig { service: "drafts".into(), ..config.clone() };
    assert_eq!(admit(&overload(false), 0, &spec, &other, &[]), Admission::Accept);
    // Work that reserves processors, without an estimate, without an end, or that begins later.
    let steps = |change: fn(&mut StepSpec)| {
        let mut spec = large();
        change(&mut spec.steps[0]);
        spec
    };
    let reserving = steps(|step| step.best_effort = false);
    let unknown = steps(|step| step.estimate = 0);
    let endless = steps(|step| step.endless = true);
    let recurring = JobSpec { times: 3, ..large() };
    for spec in [reserving, unknown, endless, recurring] {
        assert_eq!(decide(&overload(false), &spec, 2), Admission::Accept);
    }
}

/// Guards against overflows: the numbers come from callers and from other processes.
#[test]
fn extreme_numbers_do_not_overflow() {
    let all = TimedWork { work: u64::MAX, remaining: u64::MAX };
    let class = ClassWork { priority: 0, size: u32::MAX, in_time: all, useful: all };
    for rate in [1, RATE, u64::MAX] {
        let backlog = backlog(false, Some(rate), vec![class, class, ClassWork::default()]);
        for spec in [small(), best_effort(u32::MAX, u64::MAX, u64::MAX)] {
            let accepted = vec![AcceptedWork::of(&spec, &queue()); 3];
            let _ = admit(&backlog, 0, &spec, &of_priority(u32::MAX), &accepted);
        }
    }
    let full = ClassWork { in_time: TimedWork { work: u64::MAX, remaining: 0 }, ..class };
    let refused = refusal(decide(&backlog(false, Some(1), vec![full]), &small(), 2));
    assert_eq!(refused.forecast.expected, u64::MAX);
    assert_eq!(refused.retry_after, 20_000);
}

/// Guards against callers that come back too early or too late.
#[test]
fn retry_after_falls_with_the_backlog() {
    let spec = small();
    let mut retries = Vec::new();
    for seconds in (7..60).rev() {
        let work = RATE / 1_000 * seconds * 1_000;
        let backlog = backlog(false, Some(RATE), vec![class(2, &spec, work, 1_000)]);
        retries.push(refusal(decide(&backlog, &spec, 2)).retry_after);
    }
    assert!(retries.is_sorted_by(|earlier, later| earlier >= later), "{retries:?}");
    assert!(retries.iter().all(|retry| (1_000..=20_000).contains(retry)), "{retries:?}");
    assert!(retries.first() > retries.last());
}

/// Guards against an entry that accepts any number of jobs between two backlogs.
#[test]
fn jobs_accepted_since_the_backlog_count() {
    let spec = large();
    let config = of_priority(2);
    let quiet = backlog(false, Some(RATE), vec![class(2, &spec, 1_000, 1_000)]);
    let mut accepted = Vec::new();
    while admit(&quiet, 0, &spec, &config, &accepted) == Admission::Accept {
        accepted.push(AcceptedWork::of(&spec, &config));
        assert!(accepted.len() < 100);
    }
    assert!(!accepted.is_empty());
}

/// Guards against a path that assumes room for all tasks of a wide step at once.
#[test]
fn a_wide_step_runs_in_waves() {
    let quiet = backlog(false, Some(14_000), vec![class(2, &small(), 1, 1)]);
    let path = |tasks| {
        let spec = best_effort(tasks, 7_000, 1_000);
        forecast(&quiet, 0, &spec, &of_priority(2), &[]).unwrap().path
    };
    assert_eq!([path(1), path(2), path(3), path(20)], [1_000, 1_000, 2_000, 10_000]);
}

/// Guards against a path of whole waves more if the rate is just below a multiple of the need.
#[test]
fn a_rate_just_below_two_tasks_is_not_taken_for_one() {
    let quiet = backlog(false, Some(13_900), vec![class(2, &small(), 1, 1)]);
    let spec = best_effort(20, 7_000, 1_000);
    assert_eq!(forecast(&quiet, 0, &spec, &of_priority(2), &[]).unwrap().path, 10_000);
}

/// Guards against refusals for a job that begins later, or without an amount of work.
#[test]
fn accepted_jobs_that_are_not_judged_do_not_count() {
    let recurring = JobSpec { times: 3, first_due: UNIX + 3_600_000, ..large() };
    let endless = StepSpec { endless: true, ..large().steps[0].clone() };
    let mixed = job(vec![large().steps[0].clone(), endless]);
    for spec in [recurring, mixed] {
        let accepted = vec![AcceptedWork::of(&spec, &of_priority(2)); 20];
        let quiet = backlog(false, Some(RATE), vec![class(2, &large(), 1_000, 1_000)]);
        let admission = admit(&quiet, 0, &large(), &of_priority(2), &accepted);
        assert_eq!(admission, Admission::Accept);
    }
}

/// An owner with one worker that can hold few best-effort tasks at once.
struct Owner {
    scheduler: QueueScheduler,
    reports: u64,
    ends: u64,
    now: u64,
}

impl Owner {
    fn open() -> Self {
        let mut scheduler = scheduler();
        scheduler.set_features(refusing());
        let mut owner = Self { scheduler, reports: 0, ends: 0, now: 10_000 };
        owner.report(|_| {});
        owner
    }

    fn unix(&self) -> u64 {
        UNIX + self.now - 10_000
    }

    fn report(&mut self, change: impl FnOnce(&mut AgentReport)) {
        self.reports += 1;
        let mut message = report("a", self.reports, Some(worker("a", 1)));
        change(&mut message);
        let (now, unix) = (Moment(self.now), self.unix());
        self.scheduler.report(&message, now, unix);
        self.scheduler.balance(now, unix);
        self.scheduler.place(now, unix);
        store(&mut self.scheduler);
    }

    fn backlog(&mut self) -> Backlog {
        self.scheduler.backlog(Moment(self.now), self.unix()).unwrap()
    }

    /// Ends a run of the worker.
    fn end(&mut self, end: RunEnd) {
        let runs = &self.scheduler.workers["a"].runs;
        let Some((task, number)) =
            runs.values().map(|run| (run.start.task.clone(), run.start.run)).next()
        else {
            return;
        };
        self.ends += 1;
        let number = ended(self.ends, &task, number, end);
        self.report(|message| message.ended = vec![number]);
    }
}

/// A job whose tasks need so much memory that the worker of the tests holds two of them.
fn wide(tasks: u32) -> JobSpec {
    let mut spec = best_effort(tasks, 2_000, 1_000);
    spec.steps[0].need.memory = 4_500;
    spec
}

fn best_effort_work(backlog: &Backlog) -> u64 {
    let work = backlog.services.iter().flat_map(|service| &service.work);
    work.map(|work| work.best_effort).sum()
}

/// Guards against a rate that counts idle time, or work that was only removed.
#[test]
fn the_rate_is_the_work_done_while_work_waits() {
    let mut owner = Owner::open();
    assert_eq!(owner.backlog(), Backlog::default());
    owner.scheduler.submit(&"j".into(), wide(40));
    owner.report(|_| {});
    assert_eq!(best_effort_work(&owner.backlog()), 80_000);
    assert_eq!(owner.backlog().services[0].rate, None);
    // One task of 2,000 processor-ms ends in 500 ms.
    for _ in 0..12 {
        owner.now += 500;
        owner.end(RunEnd::Done);
    }
    let known = owner.backlog();
    assert_eq!(best_effort_work(&known), 56_000);
    assert_eq!(known.services[0].rate, Some(4_000));
    owner.scheduler.cancel(&"j".into(), owner.unix());
    assert_eq!(owner.backlog(), Backlog::default());
    owner.now += 6_000;
    owner.scheduler.submit(&"k".into(), wide(40));
    owner.report(|_| {});
    assert_eq!(owner.backlog().services[0].rate, None);
}

/// Guards against progress that is counted twice, or kept although it is lost.
#[test]
fn progress_counts_until_it_is_lost() {
    let mut owner = Owner::open();
    owner.scheduler.submit(&"j".into(), wide(4));
    owner.report(|_| {});
    let list = |owner: &mut Owner, percent| {
        let row = |index| ReportedRun {
            task: task("j", 0, index),
            run: 1,
            checkpoint: "".into(),
            percent: Some(percent),
            speed: 100,
        };
        owner.report(|message| message.runs = Some(vec![row(0), row(1)]));
    };
    list(&mut owner, 50);
    assert_eq!(best_effort_work(&owner.backlog()), 6_000);
    list(&mut owner, 50);
    assert_eq!(best_effort_work(&owner.backlog()), 6_000);
    owner.end(RunEnd::Done);
    assert_eq!(best_effort_work(&owner.backlog()), 5_000);
    owner.end(RunEnd::Stopped);
    assert_eq!(best_effort_work(&owner.backlog()), 6_000);
}

/// Guards against a job that seems late as long as its last step counts as ahead of it, although
/// it is done: its last task was listed with all its progress before it ended.
#[test]
fn the_end_of_a_step_whose_work_was_listed_changes_the_remaining_time() {
    let mut owner = Owner::open();
    let first = wide(1).steps[0].clone();
    let second = StepSpec { after: vec![0], ..first.clone() };
    owner.scheduler.submit(&"j".into(), job(vec![first, second]));
    owner.report(|_| {});
    // Budget 4.1 s, path 2 s: in time until 2.1 s, once the first step is done until 3.1 s.
    let is_in_time = |owner: &mut Owner| owner.backlog().services[0].classes[0].in_time.work > 0;
    owner.now += 2_100;
    assert!(is_in_time(&mut owner));
    let row = ReportedRun {
        task: task("j", 0, 0),
        run: 1,
        checkpoint: "".into(),
        percent: Some(100),
        speed: 100,
    };
    owner.report(|message| message.runs = Some(vec![row]));
    owner.end(RunEnd::Done);
    owner.now += 1_000;
    assert!(is_in_time(&mut owner));
    owner.now += 1;
    assert!(!is_in_time(&mut owner));
}

/// Guards against a refusal for the sake of a job that is in time with or without it: its work
/// must be done at its deadline, not when it can no longer begin anew.
#[test]
fn a_running_job_that_will_be_in_time_is_not_harmed() {
    let mut owner = Owner::open();
    let mut long = wide(4);
    long.steps[0].estimate = 10_000;
    owner.scheduler.submit(&"j".into(), long);
    owner.report(|_| {});
    // Two at once: done in 20 s; budget 20.1 s, path 10 s.
    let mut known = owner.backlog();
    known.services[0].rate = Some(4_000);
    let mut short = wide(1);
    short.steps[0].estimate = 50;
    assert!(!forecast(&known, 0, &short, &queue(), &[]).unwrap().harms);
    assert_eq!(admit(&known, 0, &short, &queue(), &[]), Admission::Accept);
    short.steps[0].estimate = 300;
    assert!(forecast(&known, 0, &short, &queue(), &[]).unwrap().harms);
}

/// Guards against jobs without a value that keep others out.
#[test]
fn useless_work_does_not_count_ahead() {
    let mut owner = Owner::open();
    owner.scheduler.submit(&"j".into(), wide(40));
    owner.report(|_| {});
    // Budget 2.1 s, path 1 s: in time until 1.1 s, useful until 6.3 s.
    let classes = |owner: &mut Owner| {
        let services = owner.backlog().services;
        let classes = services.iter().flat_map(|service| service.classes.clone());
        classes.map(|class| (class.in_time, class.useful)).collect::<Vec<_>>()
    };
    let timed = |remaining| TimedWork { work: 80_000, remaining };
    assert_eq!(classes(&mut owner), [(timed(2_100), TimedWork::default())]);
    owner.now += 1_101;
    assert_eq!(classes(&mut owner), [(TimedWork::default(), timed(5_199))]);
    owner.now += 5_200;
    assert_eq!(classes(&mut owner), []);
    assert_eq!(best_effort_work(&owner.backlog()), 80_000);
}

/// Guards against sums under the terms of a queue before they were changed, or a queue that has
/// been removed.
#[test]
fn changed_and_removed_queues_change_the_sums() {
    let mut owner = Owner::open();
    let terms = Some(QueueTerms { priority: 7, ..queue().terms });
    owner.scheduler.submit(&"j".into(), JobSpec { terms, ..wide(4) });
    owner.report(|_| {});
    let priorities = |owner: &mut Owner| {
        let services = owner.backlog().services;
        let work = services.iter().flat_map(|service| service.work.clone());
        work.map(|work| (work.priority, work.best_effort)).collect::<Vec<_>>()
    };
    assert_eq!(priorities(&mut owner), [(0, 8_000)]);
    owner.scheduler.set_view(view_of(of_priority(3)));
    owner.report(|_| {});
    assert_eq!(priorities(&mut owner), [(3, 8_000)]);
    let mut removed = view();
    removed.config.as_mut().unwrap().queues = [("other".into(), Arc::new(queue()))].into();
    owner.scheduler.set_view(removed);
    owner.report(|_| {});
    assert_eq!(priorities(&mut owner), [(7, 8_000)]);
}

/// Guards against a backlog of an owner whose switch is off.
#[test]
fn without_the_switch_there_is_no_backlog() {
    let mut scheduler = scheduler();
    scheduler.submit(&"j".into(), wide(4));
    scheduler.place(Moment(10_000), UNIX);
    assert_eq!(scheduler.backlog(Moment(10_000), UNIX), None);
    scheduler.set_features(refusing());
    scheduler.place(Moment(10_000), UNIX);
    let known = scheduler.backlog(Moment(10_000), UNIX).unwrap();
    assert_eq!(best_effort_work(&known), 8_000);
}
