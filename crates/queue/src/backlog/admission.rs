//! Decision of an entry whether it accepts a job.
//!
//! A job is refused only if it would be useless when it completes, and if its work would keep
//! other jobs from being in time or useful. Everything that is unknown accepts the job.

use cactusdoor_core::unit::Millis;

use super::{Backlog, ClassWork, ServiceBacklog, TimedWork, size_class, task_work};
use crate::config::QueueConfig;
use crate::name::ServiceName;
use crate::spec::JobSpec;

/// Greatest age of a backlog with which a job is refused, ms: the bound of section 6 of the
/// design page.
const MAX_BACKLOG_AGE: Millis = 2_000;
/// Multiple of the time budget after which a job has no value to its caller.
pub(super) const USELESS_BUDGETS: Millis = 3;
/// Least time after which a refused caller may retry, ms.
const MIN_RETRY: Millis = 1_000;
/// Longest such time, ms. Callers are told up to half as much more, 30 s in all.
const MAX_RETRY: Millis = 20_000;

/// Work of a job that an entry has accepted since the last backlog.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedWork {
    pub service: ServiceName,
    pub priority: u32,
    /// Best-effort work, processor-ms.
    pub work: u64,
    /// Time budget, ms.
    pub budget: Millis,
}

impl AcceptedWork {
    /// The work of a job in a queue; none if the job is not judged, as it begins later or has no
    /// amount of work.
    #[must_use]
    pub fn of(spec: &JobSpec, config: &QueueConfig) -> Self {
        let is_judged = spec.times == 0 && !spec.is_endless();
        let steps = spec.steps.iter().filter(|step| is_judged && step.best_effort);
        let work = steps.map(|step| task_work(step).saturating_mul(u64::from(step.tasks)));
        Self {
            service: config.service.clone(),
            priority: config.terms.priority,
            work: work.fold(0, u64::saturating_add),
            budget: config.terms.time_budget(spec.critical_path()),
        }
    }
}

/// When a job would complete, with what the forecast rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CompletionForecast {
    /// Best-effort work that is served before the job, processor-ms.
    pub ahead: u64,
    /// Work done in a ms, thousandths of a processor-ms.
    pub rate: u64,
    /// Critical path, with waves where a step is wider than the room, ms.
    pub path: Millis,
    /// Time until the job would be complete, ms.
    pub expected: Millis,
    /// Time budget of the job, ms.
    pub budget: Millis,
    /// Whether other jobs would be in time or useful only without the job.
    pub harms: bool,
}

/// Why a job is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoomRefusal {
    pub forecast: CompletionForecast,
    /// Time after which the job would be in time, ms.
    pub retry_after: Millis,
}

/// Whether an entry accepts a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    Accept,
    /// The job would complete when it is useless.
    Refuse(RoomRefusal),
}

/// Decides whether an entry accepts a job. `age`: age of the backlog, ms; `accepted`: what this
/// entry has accepted since.
#[must_use]
pub fn admit(
    backlog: &Backlog,
    age: Millis,
    spec: &JobSpec,
    config: &QueueConfig,
    accepted: &[AcceptedWork],
) -> Admission {
    let Some(forecast) = forecast(backlog, age, spec, config, accepted) else {
        return Admission::Accept;
    };
    let useful = forecast.budget.saturating_mul(USELESS_BUDGETS);
    // A shorter wait is over before the caller could retry, also if the job alone is too large
    // for the room.
    let waits = duration(forecast.ahead, forecast.rate) >= MIN_RETRY;
    if !waits || forecast.expected <= useful || !forecast.harms {
        return Admission::Accept;
    }
    let retry_after = forecast.expected.saturating_sub(forecast.budget);
    let retry_after = retry_after.clamp(MIN_RETRY, MAX_RETRY);
    Admission::Refuse(RoomRefusal { forecast, retry_after })
}

/// When a job would complete; `None` if that is not known, or if the job has no best-effort work
/// that begins now.
#[must_use]
pub fn forecast(
    backlog: &Backlog,
    age: Millis,
    spec: &JobSpec,
    config: &QueueConfig,
    accepted: &[AcceptedWork],
) -> Option<CompletionForecast> {
    let own = AcceptedWork::of(spec, config);
    if age > MAX_BACKLOG_AGE || own.work == 0 {
        return None;
    }
    let service = backlog.services.iter().find(|service| service.service == own.service)?;
    let rate = service.rate.filter(|rate| *rate > 0)?;
    let classes = with_accepted(service, accepted);
    let path = path_in_waves(spec, rate);
    let (first, late) = work_ahead(&classes, &own, backlog.ordered);
    let all = first.saturating_add(late);
    let in_time = duration(first, rate).saturating_add(path) <= own.budget;
    let ahead = if in_time { first } else { all };
    let expected = duration(ahead, rate).saturating_add(path);
    let harms = harms(&classes, &own, rate);
    Some(CompletionForecast { ahead, rate, path, expected, budget: own.budget, harms })
}

/// Best-effort work before a job that can be in time, and what comes before it too once it is late
/// itself: the order serves late jobs of a priority after all others.
fn work_ahead(classes: &[ClassWork], own: &AcceptedWork, ordered: bool) -> (u64, u64) {
    let (mut first, mut late) = (0u64, 0u64);
    for class in classes {
        let (in_time, useful) = (class.in_time.work, class.useful.work);
        if class.priority < own.priority || (class.priority == own.priority && !ordered) {
            first = first.saturating_add(in_time).saturating_add(useful);
        } else if class.priority == own.priority && class.size <= size_class(own.work) {
            first = first.saturating_add(in_time);
            late = late.saturating_add(useful);
        }
    }
    (first, late)
}

/// The classes of a service, with the jobs that were accepted since.
fn with_accepted(service: &ServiceBacklog, accepted: &[AcceptedWork]) -> Vec<ClassWork> {
    let own = accepted.iter().filter(|accepted| accepted.service == service.service);
    let own = own.map(|accepted| ClassWork {
        priority: accepted.priority,
        size: size_class(accepted.work),
        in_time: TimedWork { work: accepted.work, remaining: accepted.budget },
        useful: TimedWork::default(),
    });
    service.classes.iter().copied().chain(own).collect()
}

/// Whether the work that has a value cannot be done, on average, while it has it, once the job
/// is added: only then does a refusal make other jobs be in time or useful.
fn harms(classes: &[ClassWork], own: &AcceptedWork, rate: u64) -> bool {
    let in_time = mean(classes.iter().map(|class| class.in_time));
    let useful = mean(classes.iter().map(|class| class.useful));
    let all = in_time.work.saturating_add(useful.work);
    // Jobs that can only be late share the room with those that can be in time.
    [(in_time, in_time.work), (useful, all)].into_iter().any(|(timed, before)| {
        let needed = duration(before.saturating_add(own.work), rate);
        timed.work > 0 && needed > timed.remaining
    })
}

fn mean(parts: impl Iterator<Item = TimedWork>) -> TimedWork {
    let (work, until) = parts.fold((0u128, 0u128), |(work, until), part| {
        let product = u128::from(part.work) * u128::from(part.remaining);
        (work + u128::from(part.work), until.saturating_add(product))
    });
    let remaining = until.checked_div(work).unwrap_or_default();
    let saturate = |number| u64::try_from(number).unwrap_or(u64::MAX);
    TimedWork { work: saturate(work), remaining: saturate(remaining) }
}

/// Time that work needs at a rate above 0, ms.
fn duration(work: u64, rate: u64) -> Millis {
    let time = u128::from(work) * 1_000 / u128::from(rate.max(1));
    u64::try_from(time).unwrap_or(u64::MAX)
}

/// Critical path, ms, where a best-effort step runs in waves if not all its tasks can run at
/// once.
fn path_in_waves(spec: &JobSpec, rate: u64) -> Millis {
    let mut steps = spec.steps.clone();
    for step in steps.iter_mut().filter(|step| step.best_effort) {
        // Rounded up: a rate is measured a little below what the room holds.
        let at_once = rate.div_ceil(step.need.cpu.max(1)).max(1);
        let waves = u64::from(step.tasks).div_ceil(at_once);
        step.estimate = step.estimate.saturating_mul(waves);
    }
    JobSpec { steps, payload: String::new(), ..spec.clone() }.critical_path()
}
