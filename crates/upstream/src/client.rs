//! HTTP client that sends requests to an upstream.
//!
//! Sends each request at most once. An answer counts only if it is complete; all other
//! outcomes are classified by whether the upstream may have run the request.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use actix_service::ServiceExt;
use actix_tls::connect::{Connector as TcpConnector, Resolver};
use awc::error::{ConnectError, SendRequestError};
use awc::http::Uri;
use awc::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use awc::{ClientRequest, ClientResponse, Connector};
use bytes::{Bytes, BytesMut};
use cactusdoor_core::name::{IdempotencyKey, PlanName, ServiceName};
use cactusdoor_peer::answer::{AnswerDigest, RequestId};
use cactusdoor_peer::digest;
use futures::Stream;
use thiserror::Error;

use crate::watched::{CloseFlag, WatchedStream};

/// Longest time to connect; the upstream is on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long idle connections are reused: shorter than the keep-alive time of common
/// servers, so that a request seldom uses a connection that the upstream is closing.
const KEEP_ALIVE: Duration = Duration::from_secs(2);
/// Largest answer that is forwarded.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// A request as sent to an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    pub id: RequestId,
    pub plan: PlanName,
    pub service: ServiceName,
    /// Set for binding requests.
    pub key: Option<IdempotencyKey>,
    pub body: Bytes,
}

/// An answer that was received completely.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteAnswer {
    pub status: u16,
    pub length: u64,
    pub digest: AnswerDigest,
    pub body: Bytes,
}

/// Why a request got no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SendFailure {
    /// No byte of the request was sent.
    #[error("could not connect to the upstream")]
    NotSent,
    /// The upstream may have run the request.
    #[error("connection to the upstream broke")]
    Broken,
    /// The upstream may have run the request.
    #[error("upstream did not answer in time")]
    TimedOut,
}

/// Sends requests to upstreams, each at most once.
#[derive(Clone)]
pub struct UpstreamClient {
    pooled: awc::Client,
    /// Opens a connection for each request. The upstream can close a pooled connection
    /// just as a request is sent, which would leave the outcome of a binding request
    /// unknown.
    single: awc::Client,
    closed: CloseFlag,
}

impl UpstreamClient {
    #[must_use]
    pub fn open() -> Self {
        let closed = CloseFlag::default();
        Self { pooled: client(&closed), single: client(&closed), closed }
    }

    /// Sends a request at most once and waits for the complete answer.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: &UpstreamRequest,
        timeout: Duration,
    ) -> Result<CompleteAnswer, SendFailure> {
        match tokio::time::timeout(timeout, self.exchange(address, request)).await {
            Ok(result) => result,
            Err(_) => Err(SendFailure::TimedOut),
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: &UpstreamRequest,
    ) -> Result<CompleteAnswer, SendFailure> {
        let sent = self.prepare(address, request).send_body(request.body.clone());
        let mut response = sent.await.map_err(|error| send_failure(&error))?;
        let status = response.status().as_u16();
        let body = self.complete_body(&mut response).await?;
        Ok(CompleteAnswer { status, length: body.len() as u64, digest: digest(&body), body })
    }

    fn prepare(&self, address: SocketAddr, request: &UpstreamRequest) -> ClientRequest {
        let http = if request.key.is_some() { &self.single } else { &self.pooled };
        let prepared = http
            .post(format!("http://{address}/v1/requests"))
            .insert_header(("X-Request-Id", request_label(&request.id)))
            .insert_header(("X-Plan", request.plan.as_str()))
            .insert_header(("X-Service", request.service.as_str()));
        match &request.key {
            Some(key) => prepared.insert_header(("Idempotency-Key", key.as_str())).force_close(),
            None => prepared,
        }
    }

    async fn complete_body<S>(&self, response: &mut ClientResponse<S>) -> Result<Bytes, SendFailure>
    where
        S: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
    {
        let expected = body_length(response)?;
        let mut body = BytesMut::new();
        while let Some(chunk) = self.next_chunk(response).await? {
            if body.len() + chunk.len() > MAX_ANSWER_BYTES {
                return Err(SendFailure::Broken);
            }
            body.extend_from_slice(&chunk);
        }
        match expected {
            Some(length) if length != body.len() => Err(SendFailure::Broken),
            _ => Ok(body.freeze()),
        }
    }

    /// The next part of a body; `None` only after the regular end of the body.
    async fn next_chunk<S>(
        &self,
        response: &mut ClientResponse<S>,
    ) -> Result<Option<Bytes>, SendFailure>
    where
        S: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
    {
        poll_fn(|cx| {
            // The stream reads only its own connection within this poll, so the flag
            // belongs to this connection.
            self.closed.clear();
            let part = Pin::new(&mut *response).poll_next(cx);
            part.map(|part| match part {
                Some(Ok(chunk)) => Ok(Some(chunk)),
                Some(Err(_)) => Err(SendFailure::Broken),
                None if self.closed.is_set() => Err(SendFailure::Broken),
                None => Ok(None),
            })
        })
        .await
    }
}

/// Text form of a request id.
#[must_use]
pub fn request_label(id: &RequestId) -> String {
    format!("{:016x}-{}-{}", id.entry, id.number, id.attempt)
}

fn client(closed: &CloseFlag) -> awc::Client {
    let closed = closed.clone();
    let watched = TcpConnector::new(Resolver::default()).service().map(
        move |connection: actix_tls::connect::Connection<Uri, actix_rt::net::TcpStream>| {
            let (stream, request) = connection.into_parts();
            actix_tls::connect::Connection::new(request, WatchedStream::new(stream, closed.clone()))
        },
    );
    let connector = Connector::new()
        .connector(watched)
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(KEEP_ALIVE)
        .limit(0);
    // A redirect would send the request a second time.
    awc::Client::builder().connector(connector).disable_timeout().disable_redirects().finish()
}

/// Length of the body by its header; `None` for a chunked body.
fn body_length<S>(response: &ClientResponse<S>) -> Result<Option<usize>, SendFailure> {
    let headers = response.headers();
    if headers.contains_key(TRANSFER_ENCODING) {
        return Ok(None);
    }
    let length = headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    // Without a length a complete body cannot be distinguished from a truncated one.
    length.and_then(|text| text.parse().ok()).map(Some).ok_or(SendFailure::Broken)
}

/// `awc` reports `Disconnected` also when the upstream closes the connection after it has
/// received the request, so that error counts as sent.
fn send_failure(error: &SendRequestError) -> SendFailure {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => SendFailure::Broken,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => SendFailure::NotSent,
        _ => SendFailure::Broken,
    }
}
