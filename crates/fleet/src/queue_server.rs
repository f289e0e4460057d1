//! RPC server of an agent for calls to the owner.
//!
//! Passes calls to the owner's loop while this process is the owner; otherwise answers that
//! this process is not the owner. Decides nothing about the calls.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};

use cactusdoor_peer::queue::{
    BacklogReply, ExplainReply, ExplainRequest, FindReply, QueueService, RelayedAppend,
    RelayedRequest, StoreReply, WatchReply, WatchRequest,
};
use cactusdoor_peer::wire::{MAX_FRAME_BYTES, disable_nagle};
use cactusdoor_queue::name::JobId;
use cactusdoor_queue::report::{AgentReport, LoadReport, OrderedReply, ReportReply};
use futures::StreamExt as _;
use tarpc::context::Context;
use tarpc::serde_transport::tcp;
use tarpc::server::{BaseChannel, Channel as _};
use tarpc::tokio_serde::formats::Bincode;
use tokio::sync::{mpsc, oneshot};

/// A call to the owner and its reply channel.
#[derive(Debug)]
pub enum OwnerCall {
    Report(Box<AgentReport>, oneshot::Sender<ReportReply>),
    LoadReport(Box<LoadReport>, oneshot::Sender<OrderedReply>),
    Watch(WatchRequest, oneshot::Sender<WatchReply>),
    WatchBacklog(WatchRequest, oneshot::Sender<BacklogReply>),
    Find(JobId, oneshot::Sender<FindReply>),
    Store(Vec<RelayedRequest>, oneshot::Sender<StoreReply>),
    Explain(ExplainRequest, oneshot::Sender<ExplainReply>),
    Append(RelayedAppend, oneshot::Sender<StoreReply>),
}

/// Receives calls while this process is the owner.
pub type CallReceiver = mpsc::Receiver<OwnerCall>;

/// Calls that wait for the owner's loop: two for each of 2,100 agents and those of the entries.
const WAITING_CALLS: usize = 8_192;
/// Open connections: 2,100 agents and the entries; the rest of the 4,096 descriptors is for the
/// agent's own connections and files.
const MAX_CONNECTIONS: usize = 3_000;
/// Calls in progress on one connection: an entry sends its callers' queries on one.
const CONNECTION_CALLS: usize = 4_096;

/// The listening server; cheap to clone.
#[derive(Clone, Default)]
pub struct QueueServer {
    owner: Arc<Mutex<Option<mpsc::Sender<OwnerCall>>>>,
}

impl QueueServer {
    /// Listens at `address`.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let server = Self::default();
        let mut listener = tcp::listen(&address, Bincode::default).await?;
        listener.config_mut().max_frame_length(MAX_FRAME_BYTES);
        let service = server.clone();
        actix_rt::spawn(async move {
            let connections = Rc::new(());
            let mut was_full = false;
            while let Some(accepted) = listener.next().await {
                match accepted {
                    Ok(_) if Rc::strong_count(&connections) > MAX_CONNECTIONS => {
                        if !was_full {
                            log::warn!("connections of peers are refused: too many are open");
                        }
                        was_full = true;
                    }
                    Ok(transport) => {
                        was_full = false;
                        if let Err(error) = disable_nagle(transport.get_ref()) {
                            log::debug!("could not set up a connection: {error}");
                        }
                        let channel = BaseChannel::with_defaults(transport);
                        let channel = channel.max_concurrent_requests(CONNECTION_CALLS);
                        let calls = channel.execute(service.clone().serve());
                        let connection = Rc::clone(&connections);
                        actix_rt::spawn(async move {
                            calls.for_each_concurrent(None, |call| call).await;
                            drop(connection);
                        });
                    }
                    Err(error) => log::warn!("could not accept a connection: {error}"),
                }
            }
        });
        Ok(server)
    }

    /// Directs calls to the returned receiver from now on.
    #[must_use]
    pub fn open(&self) -> CallReceiver {
        let (sender, receiver) = mpsc::channel(WAITING_CALLS);
        *self.owner.lock().unwrap_or_else(PoisonError::into_inner) = Some(sender);
        receiver
    }

    /// From now on, answers calls as a process that is not the owner.
    pub fn close(&self) {
        self.owner.lock().unwrap_or_else(PoisonError::into_inner).take();
    }

    async fn call_owner<T>(&self, call: impl FnOnce(oneshot::Sender<T>) -> OwnerCall) -> Option<T> {
        self.send(call)?.await.ok()
    }

    /// Sends a call to the owner's loop; `None` if this process is not the owner.
    fn send<T>(
        &self,
        call: impl FnOnce(oneshot::Sender<T>) -> OwnerCall,
    ) -> Option<oneshot::Receiver<T>> {
        let owner = self.owner.lock().unwrap_or_else(PoisonError::into_inner).clone()?;
        let (sender, receiver) = oneshot::channel();
        if let Err(error) = owner.try_send(call(sender)) {
            // A line for each call would be unbounded; its caller logs the refusal.
            log::debug!("a call to the owner was refused: {error}");
            return None;
        }
        Some(receiver)
    }
}

impl QueueService for QueueServer {
    async fn report(self, _: Context, report: AgentReport) -> ReportReply {
        let reply = self.call_owner(|reply| OwnerCall::Report(Box::new(report), reply)).await;
        reply.unwrap_or(ReportReply::NotOwner)
    }

    async fn report_load(self, _: Context, report: LoadReport) -> OrderedReply {
        let call = |reply| OwnerCall::LoadReport(Box::new(report), reply);
        let not_owner = OrderedReply { reply: ReportReply::NotOwner, ranks: None };
        self.call_owner(call).await.unwrap_or(not_owner)
    }

    async fn watch_backlog(self, _: Context, request: WatchRequest) -> Option<BacklogReply> {
        self.call_owner(|reply| OwnerCall::WatchBacklog(request, reply)).await
    }

    async fn explain(self, _: Context, request: ExplainRequest) -> Option<ExplainReply> {
        self.call_owner(|reply| OwnerCall::Explain(request, reply)).await
    }

    async fn watch(self, _: Context, request: WatchRequest) -> Option<WatchReply> {
        self.call_owner(|reply| OwnerCall::Watch(request, reply)).await
    }

    async fn find(self, _: Context, job: JobId) -> FindReply {
        let reply = self.call_owner(|reply| OwnerCall::Find(job, reply)).await;
        reply.unwrap_or(FindReply::NotOwner)
    }

    async fn store(self, _: Context, requests: Vec<RelayedRequest>) -> StoreReply {
        match self.send(|reply| OwnerCall::Store(requests, reply)) {
            Some(reply) => reply.await.unwrap_or(StoreReply::Unknown),
            None => StoreReply::NotStored,
        }
    }

    async fn append(self, _: Context, append: RelayedAppend) -> StoreReply {
        match self.send(|reply| OwnerCall::Append(append, reply)) {
            Some(reply) => reply.await.unwrap_or(StoreReply::Unknown),
            None => StoreReply::NotStored,
        }
    }
}
