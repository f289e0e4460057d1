//! Rendezvous hashing: which of several targets a name belongs to.
//!
//! All processes must agree, so the hash is fixed (XXH3) and part of the
//! protocol.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::constants::CLAIM_STREAMS;
use crate::name::{DataCentre, NameError, PlanName, ShardName, StreamName};

/// The target with the highest score for `name`, ties to the smaller target.
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

/// The shard that accounts for a plan's allowance.
pub fn home_shard<'a>(plan: &PlanName, shards: &'a [ShardName]) -> Option<&'a ShardName> {
    pick(plan.as_str(), shards)
}

/// The claim stream of a binding request's key, given as `plan` and `key`.
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

    /// The stream that holds the snapshots of `of`.
    pub fn snapshots(of: &StreamName) -> Result<StreamName, NameError> {
        StreamName::new(&format!("{of}.snapshot"))
    }
}
