//! What runs beside an owner's loop: its appends, its beacon and its reading.

use std::time::Duration;

use cactusdoor_core::unit::Offset;
use cactusdoor_platform::store::KeyedRecord;
use tokio::sync::{mpsc, watch};

use super::{LaneVerdict, OwnerContext};
use crate::finder::OwnerBeacon;
use crate::follower::{TopicFollower, TopicReading};
use crate::lane::{AppendLane, LaneFault, pause};
use crate::topic::REQUESTS;

/// Between two renewals of the beacon.
pub(super) const BEACON_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait of a reading of requests; also bounds the answer to `find`.
const REQUEST_WAIT: Duration = Duration::from_millis(500);
/// Pause before a refused append is repeated, in ms.
const REFUSED_PAUSE: (u64, u64) = (60, 180);

/// Records to append together.
pub(super) struct LaneGroup {
    pub records: Vec<KeyedRecord>,
    /// Whether a refusal of the store is repeated until it takes them.
    pub insists: bool,
}

/// Appends groups in order.
pub(super) fn spawn_lane(
    mut lane: AppendLane,
) -> (mpsc::UnboundedSender<LaneGroup>, mpsc::UnboundedReceiver<LaneVerdict>) {
    let (groups, mut waiting) = mpsc::unbounded_channel::<LaneGroup>();
    let (results, verdicts) = mpsc::unbounded_channel();
    actix_rt::spawn(async move {
        while let Some(group) = waiting.recv().await {
            let verdict = loop {
                match lane.append(None, &group.records).await {
                    Err(LaneFault::Refused(_)) if group.insists && !waiting.is_closed() => {
                        pause(REFUSED_PAUSE).await;
                    }
                    verdict => break verdict,
                }
            };
            // Nobody waits for the verdicts of forgotten requests.
            if results.send(verdict).is_err() && verdict.is_err() {
                return;
            }
        }
    });
    (groups, verdicts)
}

/// Renews the beacon until the owner resigns, and then says so.
pub(super) fn spawn_beacons(
    mut lane: AppendLane,
    mut beacon: OwnerBeacon,
    mut resigned: watch::Receiver<bool>,
) -> mpsc::UnboundedReceiver<LaneVerdict> {
    let (results, verdicts) = mpsc::unbounded_channel();
    actix_rt::spawn(async move {
        loop {
            let renewal = tokio::time::timeout(BEACON_INTERVAL, resigned.changed());
            match renewal.await {
                Ok(Ok(())) => beacon.resigned = *resigned.borrow(),
                Ok(Err(_)) => return,
                Err(_) => {}
            }
            let verdict = lane.append(None, &[beacon.record()]).await;
            if results.send(verdict).is_err()
                || beacon.resigned
                || verdict == Err(LaneFault::Fenced)
            {
                return;
            }
        }
    });
    verdicts
}

/// Follows the requests from an offset on.
pub(super) fn spawn_requests(
    context: &OwnerContext,
    next: Offset,
) -> mpsc::UnboundedReceiver<TopicReading> {
    let (readings, receiver) = mpsc::unbounded_channel();
    let (store, clock) = (context.store.clone(), context.clock);
    actix_rt::spawn(async move {
        let mut follower = TopicFollower::resume(store, clock, REQUESTS, next);
        while !readings.is_closed() {
            match follower.read(REQUEST_WAIT).await {
                Ok(reading) => {
                    if readings.send(reading).is_err() {
                        return;
                    }
                }
                Err(fault) => {
                    log::debug!("could not read requests: {fault}");
                    follower.recover().await;
                }
            }
        }
    });
    receiver
}
