//! Serves operators: changes of the configuration, and views of it and of the roster.
//!
//! A change is answered only after its record was appended and read back through
//! the fold: `200` means accepted, `409` that the fold rejected it, as when another
//! change of the same item came first.

use std::time::Duration;

use actix::prelude::*;
use cactusdoor_caller::job::JobStatus;
use cactusdoor_core::config::{
    ConfigEffect, ConfigFold, ConfigRecord, DataCentreState, ItemChange, ItemName, ItemValue,
};
use cactusdoor_core::name::{DataCentre, ShardName};
use cactusdoor_log::appender::FlushMode;
use cactusdoor_node::clock::MonotonicClock;
use cactusdoor_operator::types::{ChangeAccepted, ConfigView, RosterView};
use cactusdoor_operator::{OperatorError, OperatorHandler};
use tokio::time::Instant;

use crate::job::{GetShardJobs, JobActor};
use crate::membership::{GetRoster, MembershipActor};
use crate::metrics::EntryMetrics;
use crate::readiness::ReadinessState;
use crate::stream::StreamHandle;

/// Longest wait for the log before the outcome of a change is reported as unknown.
const LOG_CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Allowed weights of a plan.
const WEIGHT_RANGE: std::ops::RangeInclusive<u32> = 1..=1_000;

/// Changes items of the configuration, all or none.
#[derive(Message)]
#[rtype(result = "Result<ChangeAccepted, OperatorError>")]
pub struct ChangeConfig(pub Vec<ItemChange>);

/// Sets the state of a data centre, based on the last revision that this entry has read.
#[derive(Message)]
#[rtype(result = "Result<ChangeAccepted, OperatorError>")]
pub struct ChangeDataCentre(pub DataCentre, pub DataCentreState);

/// The configuration as of this entry's last read of the log.
#[derive(Message)]
#[rtype(result = "Result<ConfigView, OperatorError>")]
pub struct GetConfig;

/// Checks and commits operators' changes.
pub struct OperatorActor {
    pub config: StreamHandle<ConfigFold>,
    pub data_centres: Vec<DataCentre>,
    pub clock: MonotonicClock,
    pub metrics: EntryMetrics,
    pub readiness: ReadinessState,
}

type Reply<T> = Result<T, OperatorError>;

impl Actor for OperatorActor {
    type Context = Context<Self>;
}

impl OperatorActor {
    /// Refuses values out of range and data centres that do not exist.
    fn check(&self, items: &[ItemChange]) -> Reply<()> {
        if self.readiness.is_draining() {
            let message = "this entry is stopping".to_owned();
            return Err(OperatorError::NotChanged { message });
        }
        for item in items {
            match &item.value {
                ItemValue::Plan(name, Some(spec)) if !WEIGHT_RANGE.contains(&spec.weight) => {
                    let (low, high) = (WEIGHT_RANGE.start(), WEIGHT_RANGE.end());
                    let text = format!("weight of plan {name} must be from {low} to {high}");
                    return Err(OperatorError::malformed(text));
                }
                ItemValue::DataCentre(name, _) if !self.data_centres.contains(name) => {
                    let message = format!("data centre {name} does not exist");
                    return Err(OperatorError::NotFound { message });
                }
                _ => {}
            }
        }
        Ok(())
    }
}

/// Appends a change and waits until the fold has accepted or rejected it.
async fn commit_change(
    config: StreamHandle<ConfigFold>,
    items: Vec<ItemChange>,
    metrics: EntryMetrics,
) -> Reply<ChangeAccepted> {
    let expires = Some(Instant::now() + LOG_CALL_TIMEOUT);
    let record = ConfigRecord::Changed { items };
    let committing = config.commit(record, FlushMode::Immediate, expires);
    let result = match tokio::time::timeout(LOG_CALL_TIMEOUT, committing).await {
        Ok(Ok(committed)) => match committed.effect {
            Some(ConfigEffect::Accepted(revision)) => Ok(ChangeAccepted { revision }),
            Some(ConfigEffect::Rejected(conflict)) => Err(OperatorError::Conflict { conflict }),
            Some(ConfigEffect::Ignored) | None => {
                let message = "the log dropped the change".to_owned();
                Err(OperatorError::NotChanged { message })
            }
        },
        Ok(Err(error)) if error.is_uncertain() => {
            Err(OperatorError::Unknown { message: error.to_string() })
        }
        Ok(Err(error)) => Err(OperatorError::NotChanged { message: error.to_string() }),
        Err(_) => {
            let message = "the log service did not answer in time".to_owned();
            Err(OperatorError::Unknown { message })
        }
    };
    let label = match &result {
        Ok(_) => "accepted",
        Err(OperatorError::Conflict { .. }) => "conflict",
        Err(OperatorError::Unknown { .. }) => "unknown",
        Err(_) => "not_changed",
    };
    metrics.changes.with_label_values(&[label]).inc();
    result
}

fn not_loaded() -> OperatorError {
    OperatorError::NotReady { message: "the configuration is not loaded yet".to_owned() }
}

impl Handler<ChangeConfig> for OperatorActor {
    type Result = ResponseFuture<Reply<ChangeAccepted>>;

    fn handle(&mut self, ChangeConfig(items): ChangeConfig, _: &mut Self::Context) -> Self::Result {
        let checked = self.check(&items);
        let (config, metrics) = (self.config.clone(), self.metrics.clone());
        let work = self.readiness.track_request();
        Box::pin(async move {
            let _work = work;
            checked?;
            commit_change(config, items, metrics).await
        })
    }
}

impl Handler<ChangeDataCentre> for OperatorActor {
    type Result = ResponseFuture<Reply<ChangeAccepted>>;

    fn handle(&mut self, message: ChangeDataCentre, _: &mut Self::Context) -> Self::Result {
        let ChangeDataCentre(name, state) = message;
        let item = ItemName::DataCentre(name.clone());
        let value = ItemValue::DataCentre(name, state);
        let checked = self.check(&[ItemChange { premise: 0, value: value.clone() }]);
        let (config, metrics) = (self.config.clone(), self.metrics.clone());
        let work = self.readiness.track_request();
        Box::pin(async move {
            let _work = work;
            checked?;
            let premise = config.inspect(move |view| view.fold.state().premise(&item)).await;
            let premise = premise.ok_or_else(not_loaded)?;
            commit_change(config, vec![ItemChange { premise, value }], metrics).await
        })
    }
}

impl Handler<GetConfig> for OperatorActor {
    type Result = ResponseFuture<Reply<ConfigView>>;

    fn handle(&mut self, _: GetConfig, _: &mut Self::Context) -> Self::Result {
        let (config, now) = (self.config.clone(), self.clock.now());
        Box::pin(async move {
            let view = config.inspect(move |view| ConfigView {
                revision: view.fold.state().revision(),
                confirmed_age_ms: view.confirmed.age(now),
                items: view.fold.state().items().cloned().collect(),
            });
            view.await.ok_or_else(not_loaded)
        })
    }
}

/// Handler of the operator API, which sends each call to an actor.
#[derive(Clone)]
pub struct OperatorApi {
    pub operators: Addr<OperatorActor>,
    pub membership: Addr<MembershipActor>,
    pub jobs: Addr<JobActor>,
}

fn actor_stopped(_: MailboxError) -> OperatorError {
    OperatorError::Unknown { message: "this entry is stopping".to_owned() }
}

impl OperatorHandler for OperatorApi {
    async fn config(&self) -> Reply<ConfigView> {
        self.operators.send(GetConfig).await.map_err(actor_stopped)?
    }

    async fn change(&self, items: Vec<ItemChange>) -> Reply<ChangeAccepted> {
        self.operators.send(ChangeConfig(items)).await.map_err(actor_stopped)?
    }

    async fn set_data_centre(
        &self,
        data_centre: DataCentre,
        state: DataCentreState,
    ) -> Reply<ChangeAccepted> {
        self.operators.send(ChangeDataCentre(data_centre, state)).await.map_err(actor_stopped)?
    }

    async fn roster(&self) -> Reply<RosterView> {
        self.membership.send(GetRoster).await.map_err(actor_stopped)
    }

    async fn shard_jobs(&self, shard: ShardName) -> Reply<Vec<JobStatus>> {
        let message = format!("shard {shard} does not exist");
        let jobs = self.jobs.send(GetShardJobs(shard)).await.map_err(actor_stopped)?;
        let jobs = jobs.ok_or(OperatorError::NotFound { message })?;
        jobs.map_err(|error| OperatorError::NotReady { message: error.message })
    }
}
