//! Client of the administration API, used by the command line and by tests.

use std::net::SocketAddr;
use std::time::Duration;

use awc::http::StatusCode;
use cactusdoor_caller::job::JobStatus;
use cactusdoor_core::config::{DataCentreState, ItemChange};
use cactusdoor_core::name::{DataCentre, ShardName};
use cactusdoor_timeline::EventPage;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::error::{OperatorError, OperatorErrorBody};
use crate::types::{ChangeAccepted, ChangeRequest, ConfigView, DataCentreChange, RosterView};

/// Longer than the time after which an entry that waits for the log answers `unknown`.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Why a call failed.
#[derive(Debug, Error)]
pub enum OperatorClientError {
    /// Could not connect, so nothing was changed.
    #[error("could not connect to {address}: {reason}")]
    Unreachable { address: SocketAddr, reason: String },
    /// No valid answer arrived; a change may have taken effect.
    #[error("no answer from {address}: {reason}")]
    NoAnswer { address: SocketAddr, reason: String },
    #[error(transparent)]
    Refused(OperatorError),
}

/// Client of one process at its operator address. Only entries serve all routes; the
/// events are served by every daemon.
#[derive(Clone)]
pub struct OperatorClient {
    http: awc::Client,
    address: SocketAddr,
}

impl OperatorClient {
    #[must_use]
    pub fn open(address: SocketAddr) -> Self {
        let http = awc::Client::builder().timeout(ANSWER_TIMEOUT).finish();
        Self { http, address }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    pub async fn config(&self) -> Result<ConfigView, OperatorClientError> {
        self.receive_answer(self.http.get(self.url("/v1/config")).send()).await
    }

    pub async fn change(
        &self,
        items: Vec<ItemChange>,
    ) -> Result<ChangeAccepted, OperatorClientError> {
        let request = self.http.post(self.url("/v1/config/changes"));
        self.receive_answer(request.send_json(&ChangeRequest { items })).await
    }

    pub async fn set_data_centre(
        &self,
        data_centre: &DataCentre,
        state: DataCentreState,
    ) -> Result<ChangeAccepted, OperatorClientError> {
        let request = self.http.put(self.url(&format!("/v1/data-centres/{data_centre}")));
        self.receive_answer(request.send_json(&DataCentreChange { state })).await
    }

    pub async fn roster(&self) -> Result<RosterView, OperatorClientError> {
        self.receive_answer(self.http.get(self.url("/v1/roster")).send()).await
    }

    pub async fn shard_jobs(
        &self,
        shard: &ShardName,
    ) -> Result<Vec<JobStatus>, OperatorClientError> {
        self.receive_answer(self.http.get(self.url(&format!("/v1/shards/{shard}/jobs"))).send())
            .await
    }

    /// One page of the events that the daemon recorded, from `number` on.
    pub async fn events(&self, number: u64) -> Result<EventPage, OperatorClientError> {
        self.receive_answer(self.http.get(self.url(&format!("/v1/events?from={number}"))).send())
            .await
    }

    async fn receive_answer<T: DeserializeOwned>(
        &self,
        sent: awc::SendClientRequest,
    ) -> Result<T, OperatorClientError> {
        let address = self.address;
        let mut response = sent.await.map_err(|error| {
            let reason = error.to_string();
            match error {
                awc::error::SendRequestError::Connect(_) => {
                    OperatorClientError::Unreachable { address, reason }
                }
                _ => OperatorClientError::NoAnswer { address, reason },
            }
        })?;
        let malformed = |error: awc::error::JsonPayloadError| OperatorClientError::NoAnswer {
            address,
            reason: format!("answer does not parse: {error}"),
        };
        if response.status() == StatusCode::OK {
            return response.json().limit(MAX_ANSWER_BYTES).await.map_err(malformed);
        }
        let body: OperatorErrorBody = response.json().await.map_err(malformed)?;
        Err(OperatorClientError::Refused(body.error))
    }
}
