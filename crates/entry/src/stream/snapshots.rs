//! Loads a fold from the newest snapshot, and publishes snapshots when they are due.

use std::time::Duration;

use actix::prelude::*;
use cactusdoor_core::snapshot::SnapshotTracker;
use cactusdoor_log::snapshot;

use super::EntryFold;
use super::actor::StreamActor;

/// Delay before loading is retried.
const LOAD_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Upper bound of the random delay before a snapshot, so that entries do not all
/// publish the same one.
const MAX_PUBLISH_DELAY_MS: u64 = 3_000;

impl<F: EntryFold> StreamActor<F> {
    /// Loads the newest snapshot, and retries until snapshot and stored records
    /// together cover the whole stream.
    pub(super) fn load(&mut self, ctx: &mut Context<Self>) {
        let stream = self.parts.stream.clone();
        if let Some(readiness) = &self.parts.readiness {
            readiness.set_missing(stream.as_str(), "not loaded");
        }
        let (client, empty) = (self.parts.client.clone(), self.parts.empty.clone());
        let loading = async move { snapshot::load(&client, &stream, empty).await };
        ctx.spawn(loading.into_actor(self).map(|loaded, actor, ctx| match loaded {
            Ok(loaded) => {
                let now = actor.parts.clock.now();
                actor.snapshots = SnapshotTracker::loaded(loaded.covers, now);
                actor.install(loaded.fold, ctx);
            }
            Err(error) => {
                log::warn!("could not load stream {}, retrying: {error}", actor.parts.stream);
                if let Some(readiness) = &actor.parts.readiness {
                    readiness.set_missing(actor.parts.stream.as_str(), error.to_string());
                }
                ctx.run_later(LOAD_RETRY_DELAY, Self::load);
            }
        }));
    }

    fn snapshot_due(&self) -> bool {
        let Some(fold) = &self.fold else { return false };
        self.snapshots.is_due(self.bounds.start, fold.next(), self.parts.clock.now())
    }

    /// Publishes a snapshot after a random delay, unless one was published meanwhile.
    pub(super) fn publish_if_due(&mut self, ctx: &mut Context<Self>) {
        if !self.parts.publishes_snapshots || self.publishing || !self.snapshot_due() {
            return;
        }
        self.publishing = true;
        let delay = Duration::from_millis(rand::random::<u64>() % MAX_PUBLISH_DELAY_MS);
        ctx.run_later(delay, |actor, ctx| {
            let (client, stream) = (actor.parts.client.clone(), actor.parts.stream.clone());
            let newest = async move { snapshot::newest_snapshot::<F>(&client, &stream).await };
            ctx.spawn(newest.into_actor(actor).map(|newest, actor, ctx| match newest {
                Ok(newest) => {
                    let covers = newest.map_or(0, |snapshot| snapshot.covers);
                    actor.snapshots.found(covers);
                    actor.publish_snapshot(ctx);
                }
                Err(error) => {
                    log::debug!(
                        "could not read the newest snapshot of stream {}: {error}",
                        actor.parts.stream
                    );
                    actor.publishing = false;
                }
            }));
        });
    }

    fn publish_snapshot(&mut self, ctx: &mut Context<Self>) {
        let due = self.snapshot_due();
        let Some(fold) = self.fold.clone().filter(|_| due) else {
            self.publishing = false;
            return;
        };
        let (client, stream) = (self.parts.client.clone(), self.parts.stream.clone());
        let publishing = async move {
            let covers = fold.next();
            snapshot::publish(&client, &stream, &fold).await.map(|()| covers)
        };
        ctx.spawn(publishing.into_actor(self).map(|published, actor, _| {
            actor.publishing = false;
            match published {
                Ok(covers) => actor.snapshots.published(covers, actor.parts.clock.now()),
                // If only the answer was lost, the retry publishes at most one snapshot too many.
                Err(error) => {
                    log::warn!(
                        "could not publish snapshot of stream {}: {error}",
                        actor.parts.stream
                    );
                }
            }
        }));
    }
}
