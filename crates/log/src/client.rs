//! Single HTTP requests to the log service, without retries.

use std::net::SocketAddr;
use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use awc::http::StatusCode;
use cactusdoor_core::name::StreamName;
use cactusdoor_core::unit::{Millis, Offset};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Longest wait for an answer, in addition to the wait that a read asks for.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest accepted answer: a page of large records or a snapshot.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Offsets of an append: `first` of its records and `next` after them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendedRange {
    pub first: Offset,
    pub next: Offset,
}

/// A record read from a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    pub offset: Offset,
    pub body: String,
}

/// Range of offsets that a stream retains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamBounds {
    /// Earliest retained offset.
    pub start: Offset,
    /// Offset of the next append.
    pub next: Offset,
}

/// Answer to a read, with the bounds of the stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadPage {
    pub start: Offset,
    pub next: Offset,
    pub records: Vec<LogRecord>,
}

/// Why an append has no offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AppendError {
    #[error("log service limits the rate of appends")]
    RateLimited,
    #[error("log service is unavailable")]
    Unavailable,
    /// The append may have been stored.
    #[error("no answer to the append")]
    Uncertain,
}

/// Why a read failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReadError {
    #[error("log service is unavailable")]
    Unavailable,
    #[error("offset was dropped by retention, earliest is {}", .0.start)]
    Dropped(StreamBounds),
    #[error("answer of the log service does not parse")]
    Malformed,
}

#[derive(Serialize)]
struct AppendRequest<'a> {
    records: &'a [String],
}

/// Client of the log service.
#[derive(Clone)]
pub struct LogClient {
    http: awc::Client,
    address: SocketAddr,
}

impl LogClient {
    #[must_use]
    pub fn open(address: SocketAddr) -> Self {
        let http = awc::Client::builder().timeout(ANSWER_TIMEOUT).finish();
        Self { http, address }
    }

    fn url(&self, stream: &StreamName) -> String {
        format!("http://{}/v1/streams/{stream}/records", self.address)
    }

    /// Appends `records` in one request.
    pub async fn append(
        &self,
        stream: &StreamName,
        records: &[String],
    ) -> Result<AppendedRange, AppendError> {
        let request = self.http.post(self.url(stream)).send_json(&AppendRequest { records });
        let mut response = request.await.map_err(|error| match error {
            // Also reported if the connection closes after the request was sent.
            SendRequestError::Connect(ConnectError::Disconnected) => AppendError::Uncertain,
            SendRequestError::Connect(_) => AppendError::Unavailable,
            _ => AppendError::Uncertain,
        })?;
        match response.status() {
            StatusCode::OK => response.json().await.map_err(|_| AppendError::Uncertain),
            StatusCode::TOO_MANY_REQUESTS => Err(AppendError::RateLimited),
            StatusCode::SERVICE_UNAVAILABLE => Err(AppendError::Unavailable),
            _ => Err(AppendError::Uncertain),
        }
    }

    /// Reads at most `max` records from the offset `from`; waits up to `wait` for the first.
    pub async fn read(
        &self,
        stream: &StreamName,
        from: Offset,
        max: usize,
        wait: Millis,
    ) -> Result<ReadPage, ReadError> {
        let url = format!("{}?from={from}&max={max}&wait_ms={wait}", self.url(stream));
        let timeout = ANSWER_TIMEOUT + Duration::from_millis(wait);
        let request = self.http.get(url).timeout(timeout).send();
        let mut response = request.await.map_err(|_| ReadError::Unavailable)?;
        match response.status() {
            StatusCode::OK => {
                let body = response.json().limit(MAX_ANSWER_BYTES).await;
                body.map_err(|_| ReadError::Malformed)
            }
            StatusCode::GONE => {
                let bounds = response.json().await.map_err(|_| ReadError::Malformed)?;
                Err(ReadError::Dropped(bounds))
            }
            _ => Err(ReadError::Unavailable),
        }
    }

    /// Range of retained offsets; an unused stream is empty and starts at 0.
    pub async fn bounds(&self, stream: &StreamName) -> Result<StreamBounds, ReadError> {
        // A read beyond the end returns the bounds without records.
        let page = self.read(stream, Offset::MAX, 0, 0).await?;
        Ok(StreamBounds { start: page.start, next: page.next })
    }
}
