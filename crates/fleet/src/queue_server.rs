//! RPC server of an agent for calls to the owner.
//!
//! Passes calls to the owner's loop while this process is the owner; otherwise answers that
//! this process is not the owner. Decides nothing about the calls.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use cactusdoor_peer::queue::{
    BacklogReply, FindReply, QueueService, RelayedAppend, RelayedRequest, StoreReply, WatchReply,
    WatchRequest,
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
    Append(RelayedAppend, oneshot::Sender<StoreReply>),
}

/// Receives calls while this process is the owner.
pub type CallReceiver = mpsc::UnboundedReceiver<OwnerCall>;

/// The listening server; cheap to clone.
#[derive(Clone, Default)]
pub struct QueueServer {
    owner: Arc<Mutex<Option<mpsc::UnboundedSender<OwnerCall>>>>,
}

impl QueueServer {
    /// Listens at `address`.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let server = Self::default();
        let mut listener = tcp::listen(&address, Bincode::default).await?;
        listener.config_mut().max_frame_length(MAX_FRAME_BYTES);
        let service = server.clone();
        actix_rt::spawn(async move {
            while let Some(accepted) = listener.next().await {
                match accepted {
                    Ok(transport) => {
                        if let Err(error) = disable_nagle(transport.get_ref()) {
                            log::debug!("could not set up a connection: {error}");
                        }
                        let channel = BaseChannel::with_defaults(transport);
                        let calls = channel.execute(service.clone().serve());
                        actix_rt::spawn(calls.for_each_concurrent(None, |call| call));
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
        let (sender, receiver) = mpsc::unbounded_channel();
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
        owner.send(call(sender)).ok()?;
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
