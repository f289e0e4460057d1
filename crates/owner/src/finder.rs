//! Reads the task stream of a shard to its end, and probes the shard's owner.

use std::net::SocketAddr;

use cactusdoor_core::fold::{StreamFold, fold_text};
use cactusdoor_core::name::{ShardName, StreamName};
use cactusdoor_core::rendezvous::stream;
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::shard::ShardFold;
use cactusdoor_core::unit::Offset;
use cactusdoor_log::client::{LogClient, ReadError};
use cactusdoor_log::snapshot::{LoadError, load};
use cactusdoor_peer::heartbeat::{AgentHeartbeat, AgentIdentity, HeartbeatRefusal};
use cactusdoor_timeline::HybridTime;

use crate::peers::{PeerPool, short_call};
use crate::scheduler::PROBE_INCARNATION;

const READ_PAGE: usize = 1_000;

/// State of a shard's stream up to its end.
pub struct ReadShard {
    pub stream: StreamName,
    pub fold: ShardFold,
    /// Offset that the newest snapshot covers.
    pub covers: Offset,
}

/// Reads the stream of `shard` to its end.
pub async fn read_shard(log: &LogClient, shard: &ShardName) -> Result<ReadShard, LoadError> {
    let stream = stream::tasks(shard)?;
    let loaded = load(log, &stream, ShardFold::new(shard.clone())).await?;
    let mut read = ReadShard { stream, fold: loaded.fold, covers: loaded.covers };
    read_tail(log, &mut read).await?;
    Ok(read)
}

/// Folds the records appended since the last read.
pub async fn read_tail(log: &LogClient, read: &mut ReadShard) -> Result<(), ReadError> {
    loop {
        let page = log.read(&read.stream, read.fold.next(), READ_PAGE, 0).await?;
        for record in &page.records {
            if let Err(error) = fold_text(&mut read.fold, record.offset, &record.body) {
                log::warn!("skipping record {} of stream {}: {error}", record.offset, read.stream);
            }
        }
        if StreamFold::next(&read.fold) >= page.next || page.records.is_empty() {
            return Ok(());
        }
    }
}

/// Whether the process at `address` answers as the owner of `shard`.
pub async fn answers_as_owner(
    peers: &PeerPool,
    identity: &AgentIdentity,
    shard: &ShardName,
    address: SocketAddr,
    at: HybridTime,
) -> bool {
    let Ok(client) = peers.agent(address).await else { return false };
    let agent = AgentIdentity { incarnation: PROBE_INCARNATION, ..identity.clone() };
    let probe = AgentHeartbeat {
        at,
        agent,
        shard: shard.clone(),
        epoch: 0,
        number: 0,
        config_revision: u64::MAX,
        lease_left_ms: 0,
        capacity: ResourceVector::ZERO,
        committed: ResourceVector::ZERO,
        draining: false,
        held: Vec::new(),
        ended: Vec::new(),
        usage: Vec::new(),
        upstreams: Vec::new(),
    };
    match peers.answer(address, client.heartbeat(short_call(), probe).await) {
        Ok(Ok(_)) => true,
        Ok(Err(HeartbeatRefusal::NotOwner { .. })) | Err(_) => false,
    }
}
