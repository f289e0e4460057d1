//! Refusal of a job for lack of room: its event, its count and the time until a retry.
//!
//! The decision is [`cactusdoor_queue::backlog::admit`]; only the jitter is added here.

use std::time::{Duration, Instant};

use cactusdoor_core::unit::Millis;
use cactusdoor_queue::backlog::Admission;
use cactusdoor_queue::config::QueueConfig;
use cactusdoor_queue::name::JobId;
use cactusdoor_queue::spec::JobSpec;
use rand::Rng as _;

use crate::api::ApiContext;
use crate::decision::DecisionEvent;

/// Longest time that callers are told, s.
const MAX_RETRY_SECONDS: u64 = 30;
/// Longest wait for the owner's answer whether it knows the job: less than a call of 3 s.
const OWNER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Most that is added to a caller's time, percent: callers retry at different times.
const MAX_JITTER: u64 = 50;

/// Decides whether a job is refused; returns the seconds after which its caller may retry, or
/// `None` if it is accepted. A job that may run is not refused: the owner is asked, as another
/// entry may have stored it.
pub async fn refuse(
    context: &ApiContext,
    queue: &QueueConfig,
    job: &JobId,
    spec: JobSpec,
    deadline: Instant,
) -> Option<u64> {
    if !context.refusals || context.states.may_run(job) {
        return None;
    }
    let (admission, age) = context.states.admit(&spec, queue, context.clock.now());
    // The lease of the body does not cover the parsed job during the wait for the owner.
    drop(spec);
    let Admission::Refuse(refusal) = admission else { return None };
    let now = Instant::now();
    let deadline = now + owner_wait(deadline.saturating_duration_since(now));
    // The call itself may wait if too many others are under way.
    let answer = tokio::time::timeout_at(deadline.into(), context.find(job, deadline)).await;
    let is_unknown = matches!(answer, Ok(Ok(None)));
    // A concurrent call may have begun to store it meanwhile.
    if !is_unknown || context.states.may_run(job) {
        return None;
    }
    let jitter = rand::rng().random_range(0..=MAX_JITTER);
    let retry_after = retry_seconds(refusal.retry_after, jitter);
    context.metrics.room_refusals.with_label_values(&[&*queue.name]).inc();
    let forecast = refusal.forecast;
    context.log.record(DecisionEvent::RoomRefused {
        job: job.clone(),
        queue: queue.name.clone(),
        service: queue.service.clone(),
        priority: queue.terms.priority,
        ahead: forecast.ahead,
        rate: forecast.rate,
        path: forecast.path,
        expected: forecast.expected,
        budget: forecast.budget,
        backlog_age: age,
        retry_after,
    });
    Some(retry_after)
}

/// Longest wait for the owner's answer, for a caller that has this time left: a job that is accepted
/// without an answer must still be stored.
#[must_use]
pub fn owner_wait(remaining: Duration) -> Duration {
    (remaining / 2).min(OWNER_TIMEOUT)
}

/// Whole seconds of a time with this jitter, percent: at equal steps from the time to one that is
/// `MAX_JITTER` percent longer, both rounded up.
#[must_use]
pub fn retry_seconds(retry_after: Millis, jitter: u64) -> u64 {
    let seconds = |percent: u64| {
        let millis = retry_after.saturating_mul(100 + percent) / 100;
        millis.div_ceil(1_000).clamp(1, MAX_RETRY_SECONDS)
    };
    let (first, last) = (seconds(0), seconds(MAX_JITTER));
    first + (last - first + 1) * jitter.min(MAX_JITTER) / (MAX_JITTER + 1)
}
