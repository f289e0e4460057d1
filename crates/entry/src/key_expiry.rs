//! Expires idempotency keys of binding requests after [`KEY_LIFETIME`].
//!
//! A key must not expire while callers may still repeat it.

use std::time::Duration;

use cactusdoor_core::claim::{ClaimFold, ClaimRecord};
use cactusdoor_core::constants::KEY_LIFETIME;
use cactusdoor_core::unit::Millis;
use cactusdoor_log::appender::FlushMode;
use cactusdoor_node::clock::unix_ms;

use crate::stream::StreamHandle;

/// Least time between two passes, in ms; a random delay of up to the same length is added.
const PASS_INTERVAL_MS: Millis = 600_000;

/// Unix time in ms before which claims may expire; `None` if no claim is that old.
///
/// The cutoff follows this process's wall clock or the newest claim, whichever is
/// earlier, so that a clock that runs far ahead expires no key that callers may
/// still repeat.
#[must_use]
pub fn expiry_cutoff(claimed: impl Iterator<Item = Millis>, unix_ms: Millis) -> Option<Millis> {
    let (mut oldest, mut newest) = (Millis::MAX, 0);
    for at in claimed {
        oldest = oldest.min(at);
        newest = newest.max(at);
    }
    let before = unix_ms.min(newest).saturating_sub(KEY_LIFETIME);
    (oldest < before).then_some(before)
}

/// Starts periodic expiry of the keys of one claim stream on the current thread.
pub fn expire_keys(stream: StreamHandle<ClaimFold>) {
    actix_rt::spawn(async move {
        loop {
            let delay = PASS_INTERVAL_MS + rand::random::<u64>() % PASS_INTERVAL_MS;
            tokio::time::sleep(Duration::from_millis(delay)).await;
            let now = unix_ms();
            let before = stream.inspect(move |view| {
                expiry_cutoff(view.fold.claims().map(|claim| claim.spec.claimed_unix_ms), now)
            });
            let Some(before_unix_ms) = before.await.flatten() else { continue };
            let record = ClaimRecord::Forgotten { before_unix_ms };
            if let Err(error) = stream.commit(record, FlushMode::Grouped, None).await {
                log::info!("could not expire old keys before the next pass: {error}");
            }
        }
    });
}
