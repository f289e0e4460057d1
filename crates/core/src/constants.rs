//! Durations and limits of the protocol. All processes must use the same values.

use crate::unit::Millis;

/// Largest age of the last confirmation of the configuration at which a task may start.
pub const MAX_CONFIG_AGE: Millis = 3_000;
/// Time between two heartbeats of an agent to its owner.
pub const HEARTBEAT_INTERVAL: Millis = 1_000;
/// Time without contact with its owner after which an agent searches for another.
pub const OWNER_TIMEOUT: Millis = 3_000;
/// Largest random delay before a process claims a shard.
pub const CLAIM_JITTER: Millis = 1_000;
/// Time without contact after which agents of other data centres may claim a shard.
pub const REMOTE_OWNER_TIMEOUT: Millis = 10 * OWNER_TIMEOUT;
/// Duration of a lease on a task, counted by the agent from when it sent the heartbeat.
pub const TASK_LEASE: Millis = 8_000;
/// Duration of a long lease, granted while the log is unreachable. No new owner can claim
/// the shard without the log, so tasks must survive the loss of their owner.
pub const OUTAGE_LEASE: Millis = 3_600_000;
/// Age of the last confirming read after which the log counts as unreachable.
pub const LOG_TIMEOUT: Millis = 10_000;
/// Largest difference between the clock rates of two VMs.
pub const CLOCK_RATE_MARGIN_PERCENT: u64 = 1;
/// Longest time between a holder's check of its lease and the effect that the check permits.
pub const PAUSE_MARGIN: Millis = 2_000;
/// Time for which the key of a binding request is kept after its claim.
pub const KEY_LIFETIME: Millis = 24 * 3_600 * 1_000;
/// Time for which an ended job is kept.
pub const ENDED_JOB_LIFETIME: Millis = 24 * 3_600 * 1_000;
/// Number of claim streams.
pub const CLAIM_STREAMS: u64 = 4;
/// Longest answer that is stored with the outcome of a binding request.
pub const MAX_STORED_ANSWER_BYTES: usize = 64 * 1024;
/// Time without contact after which agents, entries and shards are dropped from the lists
/// of members.
pub const MEMBERSHIP_LIFETIME: Millis = 10_000;

/// Longest time that may pass on another VM's clock while `millis` pass on this one.
///
/// Adds 1 ms because the difference of two rounded times may be up to 1 ms too small.
#[must_use]
pub fn with_rate_margin(millis: Millis) -> Millis {
    let millis = millis.saturating_add(1);
    millis.saturating_add(millis.saturating_mul(CLOCK_RATE_MARGIN_PERCENT).div_ceil(100))
}

/// Time after which a lease of `duration` has certainly expired, on the grantor's clock.
///
/// The holder's clock measures the pause too, so the rate margin applies to both.
#[must_use]
pub fn with_lease_margins(duration: Millis) -> Millis {
    with_rate_margin(duration.saturating_add(PAUSE_MARGIN))
}
