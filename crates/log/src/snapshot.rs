//! Loads the state of a fold from its newest snapshot, and publishes snapshots.
//!
//! A fold must not start from empty if records were dropped that no snapshot covers.

use cactusdoor_core::fold::StreamFold;
use cactusdoor_core::name::{NameError, StreamName};
use cactusdoor_core::rendezvous::stream;
use cactusdoor_core::snapshot::FoldSnapshot;
use cactusdoor_core::unit::Offset;
use serde::Serialize;
use thiserror::Error;

use crate::client::{AppendError, LogClient, ReadError, StreamBounds};

/// Last snapshots that are read, because an older one may be stored after the newest.
const MAX_CANDIDATES: Offset = 4;

/// Why a fold could not be loaded.
#[derive(Debug, Error)]
pub enum LoadError {
    #[error(transparent)]
    Read(#[from] ReadError),
    #[error(transparent)]
    Name(#[from] NameError),
    /// No snapshot covers the records that retention dropped, so their effect would be
    /// lost.
    #[error("stream {stream} starts at offset {} and no snapshot covers it", bounds.start)]
    Uncovered { stream: StreamName, bounds: StreamBounds },
}

/// Why a snapshot was not published.
#[derive(Debug, Error)]
pub enum PublishError {
    #[error(transparent)]
    Append(#[from] AppendError),
    #[error(transparent)]
    Name(#[from] NameError),
    #[error("could not encode snapshot")]
    Encoding(#[from] serde_json::Error),
}

/// A loaded fold and the offset up to which its snapshot covers the stream.
#[derive(Clone, Debug)]
pub struct LoadedFold<F> {
    pub fold: F,
    pub covers: Offset,
}

/// Loads the fold of the stream `name` from its newest snapshot. Without a snapshot it is
/// `empty`, if no records have been dropped yet. Later records are not read.
pub async fn load<F: StreamFold>(
    client: &LogClient,
    name: &StreamName,
    empty: F,
) -> Result<LoadedFold<F>, LoadError> {
    let newest = newest_snapshot::<F>(client, name).await?;
    let bounds = client.bounds(name).await?;
    let (covers, fold) = match newest {
        Some(snapshot) => (snapshot.covers, snapshot.fold),
        None => (0, empty),
    };
    if covers < bounds.start {
        return Err(LoadError::Uncovered { stream: name.clone(), bounds });
    }
    Ok(LoadedFold { fold, covers })
}

/// The snapshot that covers the most records, if there is one.
pub async fn newest_snapshot<F: StreamFold>(
    client: &LogClient,
    name: &StreamName,
) -> Result<Option<FoldSnapshot<F>>, LoadError> {
    let snapshots = stream::snapshots(name)?;
    let bounds = client.bounds(&snapshots).await?;
    if bounds.next <= bounds.start {
        return Ok(None);
    }
    let from = bounds.start.max(bounds.next.saturating_sub(MAX_CANDIDATES));
    let page = client.read(&snapshots, from, MAX_CANDIDATES as usize, 0).await?;
    let parsed = page.records.iter().filter_map(|record| parse::<F>(name, &record.body));
    Ok(parsed.max_by_key(|snapshot| snapshot.covers))
}

fn parse<F: StreamFold>(name: &StreamName, text: &str) -> Option<FoldSnapshot<F>> {
    let parsed = serde_json::from_str(text);
    if let Err(error) = &parsed {
        log::error!("could not parse snapshot of stream {name}: {error}");
    }
    parsed.ok()
}

/// Publishes the state of `fold`.
pub async fn publish<F: StreamFold>(
    client: &LogClient,
    name: &StreamName,
    fold: &F,
) -> Result<(), PublishError> {
    #[derive(Serialize)]
    struct SnapshotRef<'a, F> {
        covers: Offset,
        fold: &'a F,
    }
    let text = serde_json::to_string(&SnapshotRef { covers: fold.next(), fold })?;
    client.append(&stream::snapshots(name)?, &[text]).await?;
    Ok(())
}
