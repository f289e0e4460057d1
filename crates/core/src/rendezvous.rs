//! Rendezvous hashing: assigns plans to home shards and keys to claim streams.
//!
//! Also holds the names of shards and streams. All processes must get the same
//! result, so the hash function (XXH3) and the names are part of the protocol.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::constants::CLAIM_STREAMS;
use crate::name::{DataCentre, NameError, PlanName, ShardName, StreamName};

/// The target with the highest score for `name`; of equal scores, the smaller target.
pub fn pick<'a, T: AsRef<str> + ?Sized>(
    name: &str,
    targets: impl IntoIterator<Item = &'a T>,
) -> Option<&'a T> {
    let seed = xxh3_64(name.as_bytes());
    targets.into_iter().max_by(|a, b| {
        let score = |t: &T| xxh3_64_with_seed(t.as_ref().as_bytes(), seed);
        score(a).cmp(&score(b)).then_with(|| b.as_ref().cmp(a.as_ref()))
    })
}

/// The shards of a data centre, `<data centre>-<index>` with indices from 0.
pub fn shards_of(centre: &DataCentre, count: u64) -> Result<Vec<ShardName>, NameError> {
    (0..count).map(|index| ShardName::new(&format!("{centre}-{index}"))).collect()
}

/// The shard that counts the use of a plan's allowance; `None` if there are no shards.
pub fn home_shard<'a>(plan: &PlanName, shards: &'a [ShardName]) -> Option<&'a ShardName> {
    pick(plan.as_str(), shards)
}

/// Number of the claim stream for the binding requests of `key` in `plan`.
#[must_use]
pub fn claim_stream(plan: &str, key: &str) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), xxh3_64(plan.as_bytes())) % CLAIM_STREAMS
}

impl AsRef<str> for ShardName {
    fn as_ref(&self) -> &str {
        self.as_str()
    }
}

/// Names of the streams.
pub mod stream {
    use super::{ShardName, StreamName};
    use crate::name::NameError;

    /// The configuration stream.
    pub fn config() -> Result<StreamName, NameError> {
        StreamName::new("config")
    }

    /// The task stream of a shard.
    pub fn tasks(shard: &ShardName) -> Result<StreamName, NameError> {
        StreamName::new(&format!("tasks-{shard}"))
    }

    /// A claim stream, by number.
    pub fn claims(number: u64) -> Result<StreamName, NameError> {
        StreamName::new(&format!("claims-{number}"))
    }

    /// The stream that holds the snapshots of `stream`.
    pub fn snapshots(stream: &StreamName) -> Result<StreamName, NameError> {
        StreamName::new(&format!("{stream}.snapshot"))
    }
}
