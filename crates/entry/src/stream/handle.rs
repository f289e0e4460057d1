//! Cloneable handle to a stream actor.

use actix::prelude::*;
use cactusdoor_core::unit::Offset;
use cactusdoor_log::appender::FlushMode;
use cactusdoor_log::client::{LogClient, ReadError};
use tokio::sync::watch;
use tokio::time::Instant;

use super::EntryFold;
use super::actor::{
    Commit, CommitError, CommitResult, Inspect, StreamActor, StreamParts, StreamView,
};

/// Handle to a stream actor, which stops when all handles are dropped.
pub struct StreamHandle<F: EntryFold> {
    address: Addr<StreamActor<F>>,
    client: LogClient,
    stream: cactusdoor_core::name::StreamName,
    progress: watch::Receiver<Option<Offset>>,
}

impl<F: EntryFold> Clone for StreamHandle<F> {
    fn clone(&self) -> Self {
        Self {
            address: self.address.clone(),
            client: self.client.clone(),
            stream: self.stream.clone(),
            progress: self.progress.clone(),
        }
    }
}

impl<F: EntryFold> StreamHandle<F> {
    /// Starts the actor on the current thread.
    #[must_use]
    pub fn spawn(parts: StreamParts<F>) -> Self {
        let (sender, progress) = watch::channel(None);
        let (client, stream) = (parts.client.clone(), parts.stream.clone());
        let address = StreamActor::new(parts, sender).start();
        Self { address, client, stream, progress }
    }

    /// Appends `body`, waits until the fold has read it, and returns its effect.
    ///
    /// A record that is still queued at `expires` is not appended.
    pub async fn commit(
        &self,
        body: F::Record,
        flush: FlushMode,
        expires: Option<Instant>,
    ) -> CommitResult<F::Effect> {
        let commit = Commit { body, flush, expires };
        self.address.send(commit).await.unwrap_or(Err(CommitError::Stopping))
    }

    /// Applies `call` to the fold; `None` if the fold is not loaded.
    pub async fn inspect<R: Send + 'static>(
        &self,
        call: impl FnOnce(StreamView<'_, F>) -> R + Send + 'static,
    ) -> Option<R> {
        self.address.send(Inspect { call: Box::new(call) }).await.ok().flatten()
    }

    /// Offset up to which the fold has read; `None` before it is loaded.
    #[must_use]
    pub fn progress(&self) -> watch::Receiver<Option<Offset>> {
        self.progress.clone()
    }

    /// Waits until the fold has read everything stored at the time of the call.
    pub async fn catch_up(&self) -> Result<(), ReadError> {
        let bounds = self.client.bounds(&self.stream).await?;
        let mut progress = self.progress.clone();
        let caught_up =
            progress.wait_for(|next| next.is_some_and(|next| next >= bounds.next)).await;
        caught_up.map(drop).map_err(|_| ReadError::Unavailable)
    }
}
