//! HTTP routes for operators: parsing of requests and calls of the [`OperatorHandler`].

use std::future::Future;

use actix_web::error::Error;
use actix_web::web::{Bytes, Data, Json, Path, PayloadConfig, ServiceConfig, resource};
use actix_web::{HttpRequest, web};
use cactusdoor_caller::job::JobStatus;
use cactusdoor_core::config::{DataCentreState, ItemChange};
use cactusdoor_core::name::{DataCentre, ShardName};
use serde::de::DeserializeOwned;

use crate::error::OperatorError;
use crate::types::{
    ChangeAccepted, ChangeRequest, ConfigView, DataCentreChange, MAX_CHANGE_BYTES, RosterView,
};

/// Handles the requests that the routes have parsed.
pub trait OperatorHandler: Clone + Send + 'static {
    fn config(&self) -> impl Future<Output = Result<ConfigView, OperatorError>>;
    fn change(
        &self,
        items: Vec<ItemChange>,
    ) -> impl Future<Output = Result<ChangeAccepted, OperatorError>>;
    fn set_data_centre(
        &self,
        data_centre: DataCentre,
        state: DataCentreState,
    ) -> impl Future<Output = Result<ChangeAccepted, OperatorError>>;
    fn roster(&self) -> impl Future<Output = Result<RosterView, OperatorError>>;
    fn shard_jobs(
        &self,
        shard: ShardName,
    ) -> impl Future<Output = Result<Vec<JobStatus>, OperatorError>>;
}

/// Adds the routes to a server; unknown paths are answered with `not_found`.
pub fn configure<H: OperatorHandler>(handler: H, config: &mut ServiceConfig) {
    let payload_config = || PayloadConfig::new(MAX_CHANGE_BYTES);
    config
        .app_data(Data::new(handler))
        .service(resource("/v1/config").route(web::get().to(show_config::<H>)))
        .service(
            resource("/v1/config/changes")
                .app_data(payload_config())
                .route(web::post().to(change::<H>)),
        )
        .service(
            resource("/v1/data-centres/{name}")
                .app_data(payload_config())
                .route(web::put().to(set_data_centre::<H>)),
        )
        .service(resource("/v1/roster").route(web::get().to(roster::<H>)))
        .service(resource("/v1/shards/{shard}/jobs").route(web::get().to(shard_jobs::<H>)))
        .default_service(web::to(not_found));
}

fn parse_body<T: DeserializeOwned>(body: Result<Bytes, Error>) -> Result<T, OperatorError> {
    let body =
        body.map_err(|error| OperatorError::malformed(format!("could not read body: {error}")))?;
    serde_json::from_slice(&body)
        .map_err(|error| OperatorError::malformed(format!("body does not parse: {error}")))
}

async fn show_config<H: OperatorHandler>(
    handler: Data<H>,
) -> Result<Json<ConfigView>, OperatorError> {
    handler.config().await.map(Json)
}

async fn change<H: OperatorHandler>(
    handler: Data<H>,
    body: Result<Bytes, Error>,
) -> Result<Json<ChangeAccepted>, OperatorError> {
    let request: ChangeRequest = parse_body(body)?;
    handler.change(request.items).await.map(Json)
}

async fn set_data_centre<H: OperatorHandler>(
    handler: Data<H>,
    name: Path<String>,
    body: Result<Bytes, Error>,
) -> Result<Json<ChangeAccepted>, OperatorError> {
    let data_centre = DataCentre::new(&name)
        .map_err(|error| OperatorError::malformed(format!("data centre: {error}")))?;
    let request: DataCentreChange = parse_body(body)?;
    handler.set_data_centre(data_centre, request.state).await.map(Json)
}

async fn roster<H: OperatorHandler>(handler: Data<H>) -> Result<Json<RosterView>, OperatorError> {
    handler.roster().await.map(Json)
}

async fn shard_jobs<H: OperatorHandler>(
    handler: Data<H>,
    shard: Path<String>,
) -> Result<Json<Vec<JobStatus>>, OperatorError> {
    let shard = ShardName::new(&shard)
        .map_err(|error| OperatorError::malformed(format!("shard: {error}")))?;
    handler.shard_jobs(shard).await.map(Json)
}

async fn not_found(http: HttpRequest) -> Result<Json<()>, OperatorError> {
    let message = format!("no route for {} {}", http.method(), http.path());
    Err(OperatorError::NotFound { message })
}
