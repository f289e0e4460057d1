//! The actor that appends submissions and cancellations, and answers job queries.
//!
//! A submission is acknowledged once the log has stored it. The actor follows a
//! task stream only while callers query its jobs: it drops a shard's fold
//! [`FOLLOW_DURATION`] after the last query, and follows at most
//! [`MAX_FOLLOWED`] shards at once.

use std::collections::HashMap;
use std::time::Duration;

use actix::prelude::*;
use cactusdoor_caller::job::{JobReceipt, JobStatus};
use cactusdoor_caller::{CallerError, ErrorCode, RetryAdvice};
use cactusdoor_core::envelope::WriterId;
use cactusdoor_core::job::{JobId, JobSpec};
use cactusdoor_core::name::ShardName;
use cactusdoor_core::rendezvous::{home_shard, stream};
use cactusdoor_core::shard::{ShardFold, TaskRecord};
use cactusdoor_core::unit::{Millis, Moment};
use cactusdoor_log::appender::{FlushMode, GroupAppender, NotStored};
use cactusdoor_log::client::LogClient;
use cactusdoor_node::clock::MonotonicClock;
use cactusdoor_peer::roster::ShardCapacity;
use cactusdoor_timeline::{EventKind, EventLog};
use indexmap::IndexMap;
use tokio::time::Instant;

use super::status::{StatusInputs, data_centre_of, job_status};
use crate::config::SharedConfig;
use crate::membership::{GetCapacity, MembershipActor};
use crate::metrics::EntryMetrics;
use crate::readiness::{ReadinessState, WorkGuard};
use crate::stream::{StreamHandle, StreamParts};

/// Time for which a task stream is followed after the last query.
const FOLLOW_DURATION: Millis = 60_000;
/// Most task streams followed at once.
const MAX_FOLLOWED: usize = 4;
/// Longest wait for an append, and for a fold to catch up.
const LOG_CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time since the fold last reached the end of its stream above which the log
/// counts as unreachable.
const MAX_VIEW_AGE: Millis = 3_000;

type Reply<T> = Result<T, CallerError>;

#[derive(Message)]
#[rtype(result = "Reply<JobReceipt>")]
pub struct SubmitJob(pub JobSpec);

#[derive(Message)]
#[rtype(result = "Reply<JobReceipt>")]
pub struct CancelJob(pub JobId);

#[derive(Message)]
#[rtype(result = "Reply<JobStatus>")]
pub struct GetJob(pub JobId);

/// Jobs of a shard; `None` if the shard is not configured.
#[derive(Message)]
#[rtype(result = "Option<Reply<Vec<JobStatus>>>")]
pub struct GetShardJobs(pub ShardName);

/// Dependencies and settings of the actor.
pub struct JobParts {
    pub client: LogClient,
    pub clock: MonotonicClock,
    pub writer: WriterId,
    pub shards: Vec<ShardName>,
    pub flush_ms: Millis,
    pub config: SharedConfig,
    pub events: EventLog,
    pub metrics: EntryMetrics,
    pub readiness: ReadinessState,
    pub membership: Addr<MembershipActor>,
}

struct FollowedShard {
    handle: StreamHandle<ShardFold>,
    last_query: Moment,
}

/// Appends job records and answers queries.
pub struct JobActor {
    parts: JobParts,
    appenders: HashMap<ShardName, GroupAppender<TaskRecord>>,
    followed: IndexMap<ShardName, FollowedShard>,
}

impl JobActor {
    #[must_use]
    pub fn new(parts: JobParts) -> Self {
        Self { parts, appenders: HashMap::new(), followed: IndexMap::new() }
    }

    fn admit(&self) -> Reply<WorkGuard> {
        if self.parts.readiness.is_draining() {
            let text = "this entry is stopping";
            return Err(CallerError::not_run(ErrorCode::Draining, RetryAdvice::SameKey, text));
        }
        Ok(self.parts.readiness.track_request())
    }

    fn home(&self, job: &JobId) -> Reply<ShardName> {
        home_shard(&job.plan, &self.parts.shards).cloned().ok_or_else(|| {
            let text = "no shard is configured";
            CallerError::unknown(ErrorCode::NotReady, RetryAdvice::SameKey, text)
        })
    }

    fn appender(&mut self, shard: &ShardName) -> Reply<GroupAppender<TaskRecord>> {
        if let Some(appender) = self.appenders.get(shard) {
            return Ok(appender.clone());
        }
        let name = stream::tasks(shard).map_err(|error| invalid_name(shard, &error))?;
        let (client, writer) = (self.parts.client.clone(), self.parts.writer.clone());
        let appender = GroupAppender::spawn(client, name, writer, self.parts.flush_ms);
        self.appenders.insert(shard.clone(), appender.clone());
        Ok(appender)
    }

    fn append(
        &mut self,
        job: JobId,
        record: TaskRecord,
        kind: &'static str,
    ) -> ResponseFuture<Reply<JobReceipt>> {
        let prepared = self.admit().and_then(|work| {
            let shard = self.home(&job)?;
            Ok((work, self.appender(&shard)?, shard))
        });
        let (events, metrics) = (self.parts.events.clone(), self.parts.metrics.clone());
        Box::pin(async move {
            let (_work, appender, shard) = prepared?;
            let expires = Some(Instant::now() + LOG_CALL_TIMEOUT);
            let storing = appender.append_before(record, FlushMode::Grouped, expires);
            let stored = tokio::time::timeout(LOG_CALL_TIMEOUT, storing).await;
            let result = if matches!(stored, Ok(Ok(_))) { "stored" } else { "not_stored" };
            metrics.jobs.with_label_values(&[kind, result]).inc();
            stored.unwrap_or(Err(NotStored::Unknown)).map_err(not_stored)?;
            events.record(if kind == "submit" {
                EventKind::JobSubmitted { job: job.clone(), shard: shard.clone() }
            } else {
                EventKind::JobCancelled { job: job.clone() }
            });
            Ok(JobReceipt { plan: job.plan, key: job.key, shard })
        })
    }

    /// The task stream of a shard. Starts to follow it if necessary, and then drops the
    /// shard with the oldest query if [`MAX_FOLLOWED`] shards are followed.
    fn follow(&mut self, shard: &ShardName) -> Reply<StreamHandle<ShardFold>> {
        let last_query = self.parts.clock.now();
        if let Some(followed) = self.followed.get_mut(shard) {
            followed.last_query = last_query;
            return Ok(followed.handle.clone());
        }
        if self.followed.len() >= MAX_FOLLOWED {
            let oldest = self.followed.iter().min_by_key(|(_, followed)| followed.last_query);
            if let Some(shard) = oldest.map(|(shard, _)| shard.clone()) {
                self.followed.swap_remove(&shard);
            }
        }
        let handle = StreamHandle::spawn(StreamParts {
            client: self.parts.client.clone(),
            clock: self.parts.clock,
            stream: stream::tasks(shard).map_err(|error| invalid_name(shard, &error))?,
            writer: self.parts.writer.clone(),
            flush_ms: None,
            empty: ShardFold::new(shard.clone()),
            publishes_snapshots: false,
            events: None,
            readiness: None,
            hook: None,
        });
        self.followed.insert(shard.clone(), FollowedShard { handle: handle.clone(), last_query });
        Ok(handle)
    }

    fn drop_idle(&mut self) {
        let now = self.parts.clock.now();
        self.followed.retain(|_, followed| now.since(followed.last_query) <= FOLLOW_DURATION);
    }

    /// Waits up to [`LOG_CALL_TIMEOUT`] until the fold of a shard has read everything
    /// stored at the time of the call, then applies `query` to the fold.
    fn query<R: Send + 'static>(
        &mut self,
        shard: ShardName,
        query: impl FnOnce(&ShardFold, &StatusInputs) -> R + Send + 'static,
    ) -> ResponseFuture<Reply<R>> {
        let handle = self.follow(&shard);
        let (config, membership) = (self.parts.config.get(), self.parts.membership.clone());
        let clock = self.parts.clock;
        let query = Box::new(query);
        Box::pin(query_fold(handle, shard, config, membership, clock, query))
    }
}

type FoldQuery<R> = Box<dyn FnOnce(&ShardFold, &StatusInputs) -> R + Send>;

async fn query_fold<R: Send + 'static>(
    handle: Reply<StreamHandle<ShardFold>>,
    shard: ShardName,
    config: Option<std::sync::Arc<cactusdoor_core::config::ConfigState>>,
    membership: Addr<MembershipActor>,
    clock: MonotonicClock,
    query: FoldQuery<R>,
) -> Reply<R> {
    let handle = handle?;
    let caught_up = tokio::time::timeout(LOG_CALL_TIMEOUT, handle.catch_up()).await;
    let current = matches!(caught_up, Ok(Ok(())));
    let data_centre = data_centre_of(&shard);
    let capacity: Option<ShardCapacity> = membership.send(GetCapacity(shard)).await.ok().flatten();
    let now = clock.now();
    let result = handle.inspect(move |view| {
        let recent = view.confirmed.age(now).is_some_and(|age| age <= MAX_VIEW_AGE);
        let log_unreachable = !current && !recent;
        let inputs = StatusInputs { config, capacity, data_centre, log_unreachable };
        // A fold that never reached the end of its stream may lack jobs.
        (current || view.confirmed.age(now).is_some()).then(|| query(view.fold, &inputs))
    });
    result.await.flatten().ok_or_else(|| {
        let text = "the task stream could not be read";
        CallerError::unknown(ErrorCode::LogUnavailable, RetryAdvice::SameKey, text)
    })
}

fn invalid_name(shard: &ShardName, error: &cactusdoor_core::name::NameError) -> CallerError {
    CallerError::malformed(format!("shard {shard}: {error}"))
}

fn not_stored(error: NotStored) -> CallerError {
    let (code, retry) = (ErrorCode::LogUnavailable, RetryAdvice::SameKey);
    match error {
        NotStored::Unknown | NotStored::Stopped => {
            CallerError::unknown(code, retry, error.to_string())
        }
        _ => CallerError::not_run(code, retry, error.to_string()),
    }
}

impl Actor for JobActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(Duration::from_secs(5), |actor, _| actor.drop_idle());
    }
}

impl Handler<SubmitJob> for JobActor {
    type Result = ResponseFuture<Reply<JobReceipt>>;

    fn handle(&mut self, SubmitJob(spec): SubmitJob, _: &mut Self::Context) -> Self::Result {
        let plan_exists =
            self.parts.config.get().map(|config| config.plan(&spec.id.plan).is_some());
        let refusal = match plan_exists {
            Some(true) => None,
            Some(false) => {
                let text = format!("plan {} does not exist", spec.id.plan);
                Some(CallerError::not_run(ErrorCode::UnknownPlan, RetryAdvice::Never, text))
            }
            None => {
                let text = "the configuration is not loaded yet";
                Some(CallerError::not_run(ErrorCode::NotReady, RetryAdvice::SameKey, text))
            }
        };
        match refusal {
            Some(error) => Box::pin(async { Err(error) }),
            None => self.append(spec.id.clone(), TaskRecord::JobSubmitted(spec), "submit"),
        }
    }
}

impl Handler<CancelJob> for JobActor {
    type Result = ResponseFuture<Reply<JobReceipt>>;

    fn handle(&mut self, CancelJob(job): CancelJob, _: &mut Self::Context) -> Self::Result {
        self.append(job.clone(), TaskRecord::JobCancelled(job), "cancel")
    }
}

impl Handler<GetJob> for JobActor {
    type Result = ResponseFuture<Reply<JobStatus>>;

    fn handle(&mut self, GetJob(job): GetJob, _: &mut Self::Context) -> Self::Result {
        let shard = match self.home(&job) {
            Ok(shard) => shard,
            Err(error) => return Box::pin(async { Err(error) }),
        };
        let name = job.clone();
        let result = self.query(shard, move |fold, inputs| {
            fold.job(&job).map(|tracked| job_status(fold, tracked, inputs))
        });
        Box::pin(async move {
            result.await?.ok_or_else(|| {
                let text = format!("job {name} does not exist or was forgotten");
                CallerError::unknown(ErrorCode::NotFound, RetryAdvice::Never, text)
            })
        })
    }
}

impl Handler<GetShardJobs> for JobActor {
    type Result = ResponseFuture<Option<Reply<Vec<JobStatus>>>>;

    fn handle(&mut self, GetShardJobs(shard): GetShardJobs, _: &mut Self::Context) -> Self::Result {
        if !self.parts.shards.contains(&shard) {
            return Box::pin(async { None });
        }
        let result = self.query(shard, |fold, inputs| {
            fold.jobs().map(|tracked| job_status(fold, tracked, inputs)).collect()
        });
        Box::pin(async move { Some(result.await) })
    }
}
