//! The actor of one stream: reads records into the fold, and appends to the stream.
//!
//! It answers an append with the effect of the record in the fold, and therefore
//! only after the record is read back. "Own" records are those of this process.

use std::collections::HashMap;

use actix::prelude::*;
use cactusdoor_core::constants::LOG_TIMEOUT;
use cactusdoor_core::envelope::WriterId;
use cactusdoor_core::fold::{FoldedRecord, StreamFold, fold_text};
use cactusdoor_core::freshness::ConfirmedView;
use cactusdoor_core::name::StreamName;
use cactusdoor_core::snapshot::SnapshotTracker;
use cactusdoor_core::unit::{Millis, Offset};
use cactusdoor_log::appender::{FlushMode, GroupAppender, NotStored};
use cactusdoor_log::client::{LogClient, LogRecord, StreamBounds};
use cactusdoor_log::follower::{FollowEvent, StreamFollower};
use cactusdoor_node::clock::MonotonicClock;
use cactusdoor_timeline::{EventKind, EventLog};
use indexmap::IndexMap;
use thiserror::Error;
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

use super::{EntryFold, FoldHook};
use crate::readiness::ReadinessState;

/// Most effects of own records buffered until their append is answered; beyond it the
/// oldest is dropped. An effect stays buffered if the caller of its append has
/// disconnected.
const MAX_BUFFERED_EFFECTS: usize = 8_192;

/// Dependencies and settings of a stream actor.
pub struct StreamParts<F: EntryFold> {
    pub client: LogClient,
    pub clock: MonotonicClock,
    pub stream: StreamName,
    pub writer: WriterId,
    /// Least time between two grouped appends, in ms; `None` if this actor only reads.
    ///
    /// A process numbers its records within a stream, so only one actor of the
    /// process may append to it.
    pub flush_ms: Option<Millis>,
    /// Fold of an empty stream.
    pub empty: F,
    /// Whether this process publishes snapshots of the stream.
    pub publishes_snapshots: bool,
    /// Set if outages of the log are to be recorded as events.
    pub events: Option<EventLog>,
    /// Set if the process is not ready until this stream is read to its end.
    pub readiness: Option<ReadinessState>,
    pub hook: Option<FoldHook<F>>,
}

/// Why an append returned no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CommitError {
    /// Not stored unless the reason is [`NotStored::Unknown`].
    #[error("{0}")]
    NotStored(#[from] NotStored),
    /// Stored, but not read back: retention dropped the record, or a loaded snapshot
    /// covers it.
    #[error("record was stored but could not be read back")]
    NotRead,
    #[error("the process is stopping")]
    Stopping,
}

impl CommitError {
    /// Whether the record may be stored and have an effect.
    #[must_use]
    pub fn is_uncertain(self) -> bool {
        !matches!(
            self,
            Self::NotStored(
                NotStored::RateLimited
                    | NotStored::Unavailable
                    | NotStored::Lost
                    | NotStored::Encoding
            )
        )
    }
}

/// A record of this process that was stored and read back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommittedRecord<E> {
    pub offset: Offset,
    /// `None` if the fold dropped the record.
    pub effect: Option<E>,
}

pub type CommitResult<E> = Result<CommittedRecord<E>, CommitError>;
type EffectSender<F> = oneshot::Sender<Option<<F as StreamFold>::Effect>>;

/// Appends a record and reads it back.
#[derive(Message)]
#[rtype(result = "CommitResult<F::Effect>")]
pub(super) struct Commit<F: EntryFold> {
    pub body: F::Record,
    pub flush: FlushMode,
    /// A record that is still queued at this time is not appended.
    pub expires: Option<Instant>,
}

/// The fold and the time up to which it is complete.
pub struct StreamView<'a, F> {
    pub fold: &'a F,
    pub confirmed: ConfirmedView,
}

type InspectCall<F, R> = Box<dyn FnOnce(StreamView<'_, F>) -> R + Send>;

/// Applies a function to the fold; `None` if the fold is not loaded.
#[derive(Message)]
#[rtype(result = "Option<R>")]
pub(super) struct Inspect<F: EntryFold, R: Send + 'static> {
    pub call: InspectCall<F, R>,
}

/// Owns the fold of one stream and appends to the stream.
pub struct StreamActor<F: EntryFold> {
    pub(super) parts: StreamParts<F>,
    pub(super) fold: Option<F>,
    pub(super) confirmed: ConfirmedView,
    /// As of the last read.
    pub(super) bounds: StreamBounds,
    pub(super) snapshots: SnapshotTracker,
    pub(super) publishing: bool,
    /// Whether an outage was recorded and has not ended.
    unreachable: bool,
    appender: Option<GroupAppender<F::Record>>,
    follower: Option<StreamFollower>,
    /// Effects of own records that no append has received yet, by offset.
    effects: IndexMap<Offset, F::Effect>,
    /// Appends whose records have not been read back, by offset.
    waiters: HashMap<Offset, EffectSender<F>>,
    /// Offset up to which the fold has read; `None` before it is loaded.
    progress: watch::Sender<Option<Offset>>,
}

impl<F: EntryFold> StreamActor<F> {
    pub(super) fn new(parts: StreamParts<F>, progress: watch::Sender<Option<Offset>>) -> Self {
        let appender = parts.flush_ms.map(|flush_ms| {
            let (client, stream) = (parts.client.clone(), parts.stream.clone());
            GroupAppender::spawn(client, stream, parts.writer.clone(), flush_ms)
        });
        Self {
            parts,
            fold: None,
            confirmed: ConfirmedView::default(),
            bounds: StreamBounds { start: 0, next: 0 },
            snapshots: SnapshotTracker::default(),
            publishing: false,
            unreachable: false,
            appender,
            follower: None,
            effects: IndexMap::new(),
            waiters: HashMap::new(),
            progress,
        }
    }

    /// Installs a loaded fold if it is ahead of the present one, and follows the
    /// stream from there.
    pub(super) fn install(&mut self, fold: F, ctx: &mut Context<Self>) {
        let ahead = self.fold.as_ref().is_none_or(|current| current.next() < fold.next());
        let fold = match self.fold.take() {
            Some(current) if !ahead => current,
            _ => fold,
        };
        let from = fold.next();
        if let Some(hook) = &mut self.parts.hook {
            hook(&fold, None);
        }
        // The effects of records that the loaded fold covers are unknown.
        self.waiters.retain(|offset, _| *offset >= from);
        self.fold = Some(fold);
        self.progress.send_replace(Some(from));
        let (client, stream) = (self.parts.client.clone(), self.parts.stream.clone());
        let (follower, mut events) = StreamFollower::spawn(client, stream, from, self.parts.clock);
        self.follower = Some(follower);
        ctx.add_stream(futures::stream::poll_fn(move |context| events.poll_recv(context)));
    }

    fn fold_records(&mut self, records: &[LogRecord]) {
        let Some(fold) = &mut self.fold else { return };
        for record in records {
            match fold_text(fold, record.offset, &record.body) {
                Ok(folded) => {
                    if let Some(hook) = &mut self.parts.hook {
                        hook(fold, Some(&folded));
                    }
                    if folded.writer == self.parts.writer {
                        resolve_effect(&mut self.waiters, &mut self.effects, folded);
                    }
                }
                Err(error) => {
                    let stream = &self.parts.stream;
                    log::error!(
                        "could not fold record {} of stream {stream}: {error}",
                        record.offset
                    );
                }
            }
        }
        let next = fold.next();
        self.waiters.retain(|offset, sender| *offset >= next && !sender.is_closed());
        if !records.is_empty() {
            self.progress.send_replace(Some(next));
        }
    }

    /// Records an outage longer than [`LOG_TIMEOUT`], and its end; `read` is whether the
    /// last read succeeded.
    fn record_reachability(&mut self, read: bool) {
        let Some(events) = &self.parts.events else { return };
        let age = self.confirmed.age(self.parts.clock.now());
        if !read && !self.unreachable && age.is_none_or(|age| age > LOG_TIMEOUT) {
            self.unreachable = true;
            events.record(EventKind::LogUnreachable);
        } else if read && self.unreachable {
            self.unreachable = false;
            events.record(EventKind::LogReachable);
        }
    }

    /// Receives the effect of an own record once the record is folded.
    fn await_effect(&mut self, offset: Offset) -> oneshot::Receiver<Option<F::Effect>> {
        let (sender, receiver) = oneshot::channel();
        if let Some(effect) = self.effects.swap_remove(&offset) {
            drop(sender.send(Some(effect)));
        } else if self.fold.as_ref().is_some_and(|fold| fold.next() > offset) {
            // A loaded snapshot covers the record, so its effect is unknown. The
            // dropped sender reports that.
        } else {
            self.waiters.insert(offset, sender);
        }
        receiver
    }
}

fn resolve_effect<E>(
    waiters: &mut HashMap<Offset, oneshot::Sender<Option<E>>>,
    effects: &mut IndexMap<Offset, E>,
    folded: FoldedRecord<E>,
) {
    match waiters.remove(&folded.offset) {
        Some(waiter) => drop(waiter.send(Some(folded.effect))),
        None => {
            if effects.len() >= MAX_BUFFERED_EFFECTS {
                effects.shift_remove_index(0);
            }
            effects.insert(folded.offset, folded.effect);
        }
    }
}

impl<F: EntryFold> Actor for StreamActor<F> {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(4_096);
        self.load(ctx);
    }
}

impl<F: EntryFold> StreamHandler<FollowEvent> for StreamActor<F> {
    fn handle(&mut self, event: FollowEvent, ctx: &mut Self::Context) {
        match event {
            FollowEvent::Read { sent, records, at_end, bounds } => {
                self.fold_records(&records);
                self.bounds = bounds;
                if at_end {
                    self.confirmed.confirm(sent);
                    self.record_reachability(true);
                    if let Some(readiness) = &self.parts.readiness {
                        readiness.set_available(self.parts.stream.as_str());
                    }
                }
                self.publish_if_due(ctx);
            }
            FollowEvent::Gap(bounds) => {
                log::error!(
                    "retention dropped records of stream {} below offset {} before they were read; \
                     loading a snapshot",
                    self.parts.stream,
                    bounds.start
                );
                self.load(ctx);
            }
            FollowEvent::Failed(error) => {
                log::debug!("could not read stream {}: {error}", self.parts.stream);
                self.record_reachability(false);
            }
        }
    }

    /// Does nothing: the default stops the actor when a follower ends after a gap.
    fn finished(&mut self, _: &mut Self::Context) {}
}

impl<F: EntryFold> Handler<Commit<F>> for StreamActor<F> {
    type Result = ResponseActFuture<Self, CommitResult<F::Effect>>;

    fn handle(&mut self, message: Commit<F>, _: &mut Self::Context) -> Self::Result {
        let appender = self.appender.clone();
        let stored = async move {
            let appender = appender.ok_or(NotStored::Stopped)?;
            appender.append_before(message.body, message.flush, message.expires).await
        };
        let read = stored.into_actor(self).then(|stored, actor, _| {
            let effect = stored.map(|stored| (stored.offset, actor.await_effect(stored.offset)));
            async move {
                let (offset, effect) = effect?;
                let effect = effect.await.map_err(|_| CommitError::NotRead)?;
                Ok(CommittedRecord { offset, effect })
            }
            .into_actor(actor)
        });
        Box::pin(read)
    }
}

impl<F: EntryFold, R: Send + 'static> Handler<Inspect<F, R>> for StreamActor<F> {
    type Result = MessageResult<Inspect<F, R>>;

    fn handle(&mut self, message: Inspect<F, R>, _: &mut Self::Context) -> Self::Result {
        let confirmed = self.confirmed;
        let view = self.fold.as_ref().map(|fold| StreamView { fold, confirmed });
        MessageResult(view.map(message.call))
    }
}
