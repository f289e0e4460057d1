//! Remaining work that is computed anew from the jobs.

use std::collections::BTreeMap;

use cactusdoor_core::unit::Moment;
use cactusdoor_queue::backlog::TimedWork;
use cactusdoor_queue::job::{JobProgress, StepProgress, TaskPlace, TaskProgress};
use cactusdoor_queue::name::ServiceName;
use cactusdoor_queue::scheduler::QueueScheduler;
use cactusdoor_queue::spec::StepSpec;

/// Best-effort and reserving work, hundredths of a processor-ms.
type KindWork = (u128, u128);

/// Work, hundredths of a processor-ms, and its sum times the time at which it must be done.
#[derive(Clone, Copy, Default)]
struct ValuedWork {
    work: u128,
    weighted: u128,
}

impl ValuedWork {
    fn add(&mut self, work: u128, until: u64) {
        self.work += work;
        self.weighted += work * u128::from(until);
    }

    fn timed(&self, unix: u64) -> TimedWork {
        let work = u64::try_from(self.work / 100).unwrap();
        let until = self.weighted.checked_div(self.work).unwrap_or(0);
        TimedWork { work, remaining: u64::try_from(until).unwrap().saturating_sub(unix) }
    }
}

fn left(task: &TaskProgress) -> u128 {
    if task.place == TaskPlace::Done { 0 } else { 100 - u128::from(task.percent) }
}

fn work(steps: &[StepProgress], specs: &[StepSpec], best_effort: bool) -> u128 {
    let steps = steps.iter().zip(specs);
    let steps = steps.filter(|(_, spec)| spec.best_effort == best_effort && !spec.endless);
    let work = steps.map(|(step, spec)| {
        let task = u128::from(spec.need.cpu * spec.estimate / 1_000);
        step.tasks.iter().map(|progress| task * left(progress)).sum::<u128>()
    });
    work.sum()
}

/// Longest chain of estimates from a step on, if it is not done.
fn chain(job: &JobProgress, steps: &[StepProgress], from: usize) -> u64 {
    if steps[from].tasks.iter().all(|task| task.place == TaskPlace::Done) {
        return 0;
    }
    job.spec.chains()[from]
}

/// Compares the backlog of a scheduler with the sums over its jobs.
pub fn check_backlog(scheduler: &mut QueueScheduler, now: Moment, unix: u64) {
    let backlog = scheduler.backlog(now, unix).unwrap();
    let mut kinds: BTreeMap<(ServiceName, u32), KindWork> = BTreeMap::new();
    let mut classes: BTreeMap<(ServiceName, u32, u32), [ValuedWork; 2]> = BTreeMap::new();
    for job in scheduler.jobs.values() {
        check_progress(scheduler, job);
        let config = scheduler.queue_config(&job.spec);
        let budget = config.terms.time_budget(job.spec.critical_path());
        for (&occurrence, steps) in &job.occurrences {
            let best_effort = work(steps, &job.spec.steps, true);
            let key = (config.service.clone(), config.terms.priority);
            let kind = kinds.entry(key.clone()).or_default();
            kind.0 += best_effort;
            kind.1 += work(steps, &job.spec.steps, false);
            let begins = job.spec.due(occurrence).unwrap_or(job.spec.accepted);
            let path = (0..steps.len()).map(|from| chain(job, steps, from)).max().unwrap_or(0);
            if unix > begins + 3 * budget && unix > begins + budget - path {
                continue;
            }
            let whole = u64::try_from(best_effort / 100).unwrap();
            let size = whole.max(1).ilog2() / 2;
            let class = classes.entry((key.0, key.1, size)).or_default();
            if unix <= (begins + budget).saturating_sub(path) {
                class[0].add(best_effort, begins + budget);
            } else {
                class[1].add(best_effort, begins + 3 * budget);
            }
        }
    }
    let whole = |work: u128| u64::try_from(work / 100).unwrap();
    let counted: BTreeMap<_, _> = backlog
        .services
        .iter()
        .flat_map(|service| service.work.iter().map(|work| (service.service.clone(), work)))
        .map(|(service, work)| ((service, work.priority), (work.best_effort, work.reserving)))
        .collect();
    let expected: BTreeMap<_, _> =
        kinds.into_iter().map(|(key, sum)| (key, (whole(sum.0), whole(sum.1)))).collect();
    assert_eq!(counted, expected);
    let counted: BTreeMap<_, _> = backlog
        .services
        .iter()
        .flat_map(|service| service.classes.iter().map(|class| (service.service.clone(), class)))
        .map(|(service, class)| {
            ((service, class.priority, class.size), [class.in_time, class.useful])
        })
        .collect();
    let timed = |sums: [ValuedWork; 2]| sums.map(|sum| sum.timed(unix));
    let expected: BTreeMap<_, _> =
        classes.into_iter().map(|(key, sums)| (key, timed(sums))).collect();
    assert_eq!(counted, expected);
}

/// Checks the progress of placed tasks against the newest lists of their workers.
fn check_progress(scheduler: &QueueScheduler, job: &JobProgress) {
    for tracked in scheduler.workers.values() {
        let runs = tracked.runs.iter().filter(|(name, _)| name.job == job.id);
        for (name, run) in runs {
            let task = job.task(name).unwrap();
            let is_current = task.run == run.start.run && task.place != TaskPlace::Done;
            if let Some(percent) = run.percent.filter(|_| is_current) {
                assert_eq!(task.percent / 10, percent.min(100) / 10, "{name}");
            }
        }
    }
}
