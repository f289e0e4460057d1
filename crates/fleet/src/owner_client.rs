//! RPC client for calls to the owner, over one connection.
//!
//! The connection is dropped after a call without an answer; calls are not repeated here.

use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cactusdoor_peer::queue::{
    BacklogReply, ExplainReply, ExplainRequest, FindReply, QueueServiceClient, RelayedAppend,
    RelayedRequest, StoreReply, WatchReply, WatchRequest,
};
use cactusdoor_peer::wire;
use cactusdoor_queue::name::JobId;
use cactusdoor_queue::report::{AgentReport, LoadReport, OrderedReply, ReportReply};
use tarpc::client::RpcError;
use tarpc::context::Context;
use thiserror::Error;

/// Longest wait for an answer, beyond the wait that the call requests: an owner with a
/// tenth of a core may need a few hundred ms when all agents call at once.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// No process listens at the address.
    #[error("could not connect to the owner")]
    NotConnected,
    #[error("owner did not answer")]
    NoAnswer,
}

/// Client with a connection to the owner that was last called.
#[derive(Default)]
pub struct OwnerClient {
    client: RefCell<Option<(SocketAddr, QueueServiceClient)>>,
}

impl OwnerClient {
    pub async fn report(
        &self,
        address: SocketAddr,
        report: AgentReport,
    ) -> Result<ReportReply, CallError> {
        let limit = ANSWER_TIMEOUT + Duration::from_millis(report.wait);
        self.call(
            address,
            limit,
            |client, context| async move { client.report(context, report).await },
        )
        .await
    }

    pub async fn report_load(
        &self,
        address: SocketAddr,
        report: LoadReport,
    ) -> Result<OrderedReply, CallError> {
        let limit = ANSWER_TIMEOUT + Duration::from_millis(report.report.wait);
        self.call(address, limit, |client, context| async move {
            client.report_load(context, report).await
        })
        .await
    }

    pub async fn watch_backlog(
        &self,
        address: SocketAddr,
        request: WatchRequest,
    ) -> Result<Option<BacklogReply>, CallError> {
        let limit = ANSWER_TIMEOUT + Duration::from_millis(request.wait);
        self.call(address, limit, |client, context| async move {
            client.watch_backlog(context, request).await
        })
        .await
    }

    pub async fn watch(
        &self,
        address: SocketAddr,
        request: WatchRequest,
    ) -> Result<Option<WatchReply>, CallError> {
        let limit = ANSWER_TIMEOUT + Duration::from_millis(request.wait);
        self.call(
            address,
            limit,
            |client, context| async move { client.watch(context, request).await },
        )
        .await
    }

    pub async fn find(
        &self,
        address: SocketAddr,
        job: JobId,
        limit: Duration,
    ) -> Result<FindReply, CallError> {
        self.call(address, limit, |client, context| async move { client.find(context, job).await })
            .await
    }

    pub async fn explain(
        &self,
        address: SocketAddr,
        request: ExplainRequest,
        limit: Duration,
    ) -> Result<Option<ExplainReply>, CallError> {
        self.call(address, limit, |client, context| async move {
            client.explain(context, request).await
        })
        .await
    }

    pub async fn store(
        &self,
        address: SocketAddr,
        requests: Vec<RelayedRequest>,
        limit: Duration,
    ) -> Result<StoreReply, CallError> {
        self.call(
            address,
            limit,
            |client, context| async move { client.store(context, requests).await },
        )
        .await
    }

    pub async fn append(
        &self,
        address: SocketAddr,
        append: RelayedAppend,
        limit: Duration,
    ) -> Result<StoreReply, CallError> {
        self.call(
            address,
            limit,
            |client, context| async move { client.append(context, append).await },
        )
        .await
    }

    async fn call<T, F: Future<Output = Result<T, RpcError>>>(
        &self,
        address: SocketAddr,
        limit: Duration,
        call: impl FnOnce(QueueServiceClient, Context) -> F,
    ) -> Result<T, CallError> {
        let exchange = async {
            let client = self.connect(address).await?;
            let mut context = Context::current();
            context.deadline = Instant::now() + limit;
            call(client, context).await.map_err(|_| CallError::NoAnswer)
        };
        let answer = tokio::time::timeout(limit, exchange).await;
        let answer = answer.unwrap_or(Err(CallError::NoAnswer));
        if answer.is_err() {
            self.client.borrow_mut().take();
        }
        answer
    }

    async fn connect(&self, address: SocketAddr) -> Result<QueueServiceClient, CallError> {
        if let Some((open, client)) = &*self.client.borrow()
            && *open == address
        {
            return Ok(client.clone());
        }
        let connected = wire::connect_queue(address).await;
        let (client, dispatch) = connected.map_err(|_| CallError::NotConnected)?;
        actix_rt::spawn(dispatch);
        *self.client.borrow_mut() = Some((address, client.clone()));
        Ok(client)
    }
}
