//! What callers send, checked.

use std::str::FromStr;

use actix_web::HttpRequest;
use bytes::Bytes;
use cactusdoor_core::claim::RequestKey;
use cactusdoor_core::name::{IdempotencyKey, PlanName, ServiceName};
use cactusdoor_core::unit::Millis;

use crate::error::CallerError;

/// Largest body of a request, in bytes.
pub const MAX_REQUEST_BYTES: usize = 8 * 1024 * 1024;
const DEFAULT_DEADLINE: Millis = 2_000;
const DEADLINE_RANGE: std::ops::RangeInclusive<Millis> = 10..=60_000;

/// An idempotent request.
#[derive(Clone, Debug)]
pub struct InteractiveRequest {
    pub plan: PlanName,
    pub service: ServiceName,
    pub deadline_ms: Millis,
    pub body: Bytes,
}

/// A non-idempotent request.
#[derive(Clone, Debug)]
pub struct BindingRequest {
    pub key: RequestKey,
    pub service: ServiceName,
    pub deadline_ms: Millis,
    pub body: Bytes,
}

/// A name from a path, header or body.
pub fn parse_name<T: FromStr>(what: &str, text: &str) -> Result<T, CallerError>
where
    T::Err: std::fmt::Display,
{
    text.parse().map_err(|error| CallerError::malformed(format!("{what}: {error}")))
}

fn header<'a>(request: &'a HttpRequest, name: &str) -> Result<Option<&'a str>, CallerError> {
    let Some(value) = request.headers().get(name) else { return Ok(None) };
    let text = value.to_str();
    text.map(Some).map_err(|_| CallerError::malformed(format!("header {name} is not text")))
}

fn required<'a>(request: &'a HttpRequest, name: &str) -> Result<&'a str, CallerError> {
    header(request, name)?
        .ok_or_else(|| CallerError::malformed(format!("header {name} is required")))
}

/// The plan of a request.
pub fn plan(request: &HttpRequest) -> Result<PlanName, CallerError> {
    parse_name("header X-Plan", required(request, "X-Plan")?)
}

/// The key of a binding request or a job.
pub fn idempotency_key(request: &HttpRequest) -> Result<IdempotencyKey, CallerError> {
    parse_name("header Idempotency-Key", required(request, "Idempotency-Key")?)
}

/// The time a caller waits for an answer.
pub fn deadline_ms(request: &HttpRequest) -> Result<Millis, CallerError> {
    let Some(text) = header(request, "X-Deadline-Ms")? else { return Ok(DEFAULT_DEADLINE) };
    let (low, high) = (DEADLINE_RANGE.start(), DEADLINE_RANGE.end());
    text.parse().ok().filter(|millis| DEADLINE_RANGE.contains(millis)).ok_or_else(|| {
        CallerError::malformed(format!("header X-Deadline-Ms must be from {low} to {high}"))
    })
}
