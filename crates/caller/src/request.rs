//! Interactive and binding requests, and the parsing of their headers.

use std::str::FromStr;

use actix_web::HttpRequest;
use bytes::Bytes;
use cactusdoor_core::claim::RequestKey;
use cactusdoor_core::name::{IdempotencyKey, PlanName, ServiceName};
use cactusdoor_core::unit::Millis;

use crate::error::CallerError;

/// Largest body of a request, in bytes.
pub const MAX_REQUEST_BYTES: usize = 8 * 1024 * 1024;
/// Deadline of a request without the header `X-Deadline-Ms`.
const DEFAULT_DEADLINE: Millis = 2_000;
const DEADLINE_RANGE: std::ops::RangeInclusive<Millis> = 10..=60_000;

/// An idempotent request, which the entry may retry.
#[derive(Clone, Debug)]
pub struct InteractiveRequest {
    pub plan: PlanName,
    pub service: ServiceName,
    pub deadline_ms: Millis,
    pub body: Bytes,
}

/// A non-idempotent request, identified by its key.
#[derive(Clone, Debug)]
pub struct BindingRequest {
    pub key: RequestKey,
    pub service: ServiceName,
    pub deadline_ms: Millis,
    pub body: Bytes,
}

/// Parses a name; an error starts with `location`, the place of the name in the request.
pub fn parse_name<T: FromStr>(location: &str, text: &str) -> Result<T, CallerError>
where
    T::Err: std::fmt::Display,
{
    text.parse().map_err(|error| CallerError::malformed(format!("{location}: {error}")))
}

fn header<'a>(request: &'a HttpRequest, name: &str) -> Result<Option<&'a str>, CallerError> {
    let Some(value) = request.headers().get(name) else { return Ok(None) };
    let text = value.to_str();
    text.map(Some).map_err(|_| CallerError::malformed(format!("header {name} is not text")))
}

fn required_header<'a>(request: &'a HttpRequest, name: &str) -> Result<&'a str, CallerError> {
    header(request, name)?
        .ok_or_else(|| CallerError::malformed(format!("header {name} is required")))
}

/// Plan from the header `X-Plan`.
pub fn plan(request: &HttpRequest) -> Result<PlanName, CallerError> {
    parse_name("header X-Plan", required_header(request, "X-Plan")?)
}

/// Key of a binding request or job, from the header `Idempotency-Key`.
pub fn idempotency_key(request: &HttpRequest) -> Result<IdempotencyKey, CallerError> {
    parse_name("header Idempotency-Key", required_header(request, "Idempotency-Key")?)
}

/// Milliseconds that the caller waits for an answer, from the header `X-Deadline-Ms`.
pub fn deadline_ms(request: &HttpRequest) -> Result<Millis, CallerError> {
    let Some(text) = header(request, "X-Deadline-Ms")? else { return Ok(DEFAULT_DEADLINE) };
    let (low, high) = (DEADLINE_RANGE.start(), DEADLINE_RANGE.end());
    text.parse().ok().filter(|millis| DEADLINE_RANGE.contains(millis)).ok_or_else(|| {
        CallerError::malformed(format!("header X-Deadline-Ms must be from {low} to {high}"))
    })
}
