//! HTTP routes for callers: parsing of requests and calls of the [`CallerHandler`].

use std::future::Future;

use actix_web::error::{Error, PayloadError};
use actix_web::web::{Bytes, Data, Json, Path, PayloadConfig, ServiceConfig, resource, to};
use actix_web::{HttpRequest, HttpResponse, web};
use cactusdoor_core::claim::RequestKey;
use cactusdoor_core::job::{JobId, JobSpec};

use crate::answer::ServiceAnswer;
use crate::error::{CallerError, ErrorCode, RetryAdvice};
use crate::job::{JobReceipt, JobStatus, JobSubmission, MAX_JOB_BYTES};
use crate::request::{self, BindingRequest, InteractiveRequest, MAX_REQUEST_BYTES, parse_name};

/// Handles the requests that the routes have validated.
pub trait CallerHandler: Clone + Send + 'static {
    fn interactive(
        &self,
        request: InteractiveRequest,
    ) -> impl Future<Output = Result<ServiceAnswer, CallerError>>;
    fn binding(
        &self,
        request: BindingRequest,
    ) -> impl Future<Output = Result<ServiceAnswer, CallerError>>;
    fn submit(&self, spec: JobSpec) -> impl Future<Output = Result<JobReceipt, CallerError>>;
    fn job(&self, job: JobId) -> impl Future<Output = Result<JobStatus, CallerError>>;
    fn cancel(&self, job: JobId) -> impl Future<Output = Result<JobReceipt, CallerError>>;
}

/// Adds the routes to a server; unknown paths are answered with `not_found`.
pub fn configure<H: CallerHandler>(handler: H, config: &mut ServiceConfig) {
    config
        .app_data(Data::new(handler))
        .service(
            resource("/v1/services/{service}/requests")
                .app_data(PayloadConfig::new(MAX_REQUEST_BYTES))
                .route(web::post().to(interactive::<H>)),
        )
        .service(
            resource("/v1/services/{service}/binding")
                .app_data(PayloadConfig::new(MAX_REQUEST_BYTES))
                .route(web::post().to(binding::<H>)),
        )
        .service(
            resource("/v1/jobs")
                .app_data(PayloadConfig::new(MAX_JOB_BYTES))
                .route(web::post().to(submit::<H>)),
        )
        .service(
            resource("/v1/jobs/{plan}/{key}")
                .route(web::get().to(job::<H>))
                .route(web::delete().to(cancel::<H>)),
        )
        .default_service(to(not_found));
}

type BodyResult = Result<Bytes, Error>;

fn read_body(body: BodyResult, limit: usize) -> Result<Bytes, CallerError> {
    body.map_err(|error| match error.as_error::<PayloadError>() {
        Some(PayloadError::Overflow) => {
            let text = format!("body is larger than {limit} bytes");
            CallerError::not_run(ErrorCode::TooLarge, RetryAdvice::Never, text)
        }
        _ => CallerError::malformed(format!("could not read body: {error}")),
    })
}

async fn interactive<H: CallerHandler>(
    handler: Data<H>,
    http: HttpRequest,
    service: Path<String>,
    body: BodyResult,
) -> Result<HttpResponse, CallerError> {
    let request = InteractiveRequest {
        plan: request::plan(&http)?,
        service: parse_name("service", &service)?,
        deadline_ms: request::deadline_ms(&http)?,
        body: read_body(body, MAX_REQUEST_BYTES)?,
    };
    Ok(handler.interactive(request).await?.into_response())
}

async fn binding<H: CallerHandler>(
    handler: Data<H>,
    http: HttpRequest,
    service: Path<String>,
    body: BodyResult,
) -> Result<HttpResponse, CallerError> {
    let key = RequestKey { plan: request::plan(&http)?, key: request::idempotency_key(&http)? };
    let request = BindingRequest {
        key,
        service: parse_name("service", &service)?,
        deadline_ms: request::deadline_ms(&http)?,
        body: read_body(body, MAX_REQUEST_BYTES)?,
    };
    Ok(handler.binding(request).await?.into_response())
}

async fn submit<H: CallerHandler>(
    handler: Data<H>,
    http: HttpRequest,
    body: BodyResult,
) -> Result<HttpResponse, CallerError> {
    let key = request::idempotency_key(&http)?;
    let body = read_body(body, MAX_JOB_BYTES)?;
    let submission: JobSubmission = serde_json::from_slice(&body)
        .map_err(|error| CallerError::malformed(format!("job does not parse: {error}")))?;
    let receipt = handler.submit(submission.into_spec(key)?).await?;
    Ok(HttpResponse::Accepted().json(receipt))
}

fn job_id(path: &(String, String)) -> Result<JobId, CallerError> {
    Ok(JobId { plan: parse_name("plan", &path.0)?, key: parse_name("key", &path.1)? })
}

async fn job<H: CallerHandler>(
    handler: Data<H>,
    path: Path<(String, String)>,
) -> Result<Json<JobStatus>, CallerError> {
    handler.job(job_id(&path)?).await.map(Json)
}

async fn cancel<H: CallerHandler>(
    handler: Data<H>,
    path: Path<(String, String)>,
) -> Result<HttpResponse, CallerError> {
    let receipt = handler.cancel(job_id(&path)?).await?;
    Ok(HttpResponse::Accepted().json(receipt))
}

async fn not_found(http: HttpRequest) -> Result<HttpResponse, CallerError> {
    let text = format!("no route for {} {}", http.method(), http.path());
    Err(CallerError::not_run(ErrorCode::NotFound, RetryAdvice::Never, text))
}
