//! Sizes of messages and records, and the time to encode and parse a heartbeat.

use std::pin::Pin;
use std::time::Instant;

use bytes::BytesMut;
use cactusdoor_core::claim::{ClaimRecord, ClaimSpec, RequestKey};
use cactusdoor_core::config::ConfigDelta;
use cactusdoor_core::envelope::{LogEnvelope, WriterId};
use cactusdoor_core::job::{JobClass, PlacementEnd, TaskId};
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::shard::TaskRecord;
use cactusdoor_owner::scheduler::EntryView;
use cactusdoor_peer::heartbeat::{AgentHeartbeat, HeartbeatReply};
use cactusdoor_peer::task::TaskStart;
use cactusdoor_timeline::HybridTime;
use serde::Serialize;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_serde::{Deserializer, Serializer};

use super::shard::{self, ModelShard};
use super::{micros_each, owner};
use crate::report::ReportTable;

/// Encodings and parsings, of which the median is printed.
const REPEATS: usize = 2_000;

/// Bytes of a message as the RPC transport encodes it, without the call's envelope.
pub fn encoded_length<T: Serialize>(message: &T) -> anyhow::Result<usize> {
    let mut codec = Bincode::<(), &T>::default();
    Ok(Pin::new(&mut codec).serialize(&message)?.len())
}

pub fn run() -> anyhow::Result<()> {
    let mut shard = ModelShard::with_running_tasks(24)?;
    let mut table = ReportTable::new(&["message or record", "encoding", "bytes"]);
    let mut row = |name: &str, encoding: &str, bytes: usize| {
        table.row(vec![name.into(), encoding.into(), bytes.to_string()]);
    };
    let mut heartbeat = shard.heartbeat(0);
    row(
        &format!("heartbeat, {} tasks", heartbeat.held.len()),
        "bincode",
        encoded_length(&heartbeat)?,
    );
    let times = coding_time(&heartbeat)?;
    for tasks in [6, 0] {
        heartbeat.held.truncate(tasks);
        heartbeat.usage.truncate(tasks);
        row(
            &format!("heartbeat, {} tasks", heartbeat.held.len()),
            "bincode",
            encoded_length(&heartbeat)?,
        );
    }
    let state = shard::configuration(shard::PLANS)?.state().clone();
    for (name, config) in [
        ("heartbeat reply", ConfigDelta { items: Vec::new(), ..state.delta_since(1) }),
        ("heartbeat reply with one change", {
            let mut delta = state.delta_since(0);
            delta.items.drain(..delta.items.len().saturating_sub(1));
            delta
        }),
        ("heartbeat reply with the whole configuration", state.delta_since(0)),
    ] {
        row(name, "bincode", encoded_length(&heartbeat_reply(config))?);
    }
    let mut view = EntryView::default();
    let empty_bytes = shard.scheduler.roster(shard.now, &mut view);
    let empty_bytes = empty_bytes.map(|mut update| {
        update.members.clear();
        encoded_length(&update)
    });
    row("roster update without members", "bincode", empty_bytes.transpose()?.unwrap_or(0));
    let mut view = EntryView::default();
    if let Some(update) = shard.scheduler.roster(shard.now, &mut view)
        && let Some(member) = update.members.first()
    {
        row("roster member with one upstream", "bincode", encoded_length(member)?);
    }
    let spec = shard::job(1, JobClass::Batch, 13, ResourceVector::new(1_000, 4_000, 0))?;
    let task = TaskId { job: spec.id.clone(), index: 3 };
    let identity = shard::identity(3)?;
    let start = TaskStart {
        at: HybridTime::default(),
        shard: "north-0".parse()?,
        epoch: 3,
        agent_incarnation: identity.incarnation,
        token: 1_000_000,
        task: task.clone(),
        kind: spec.kind.clone(),
        class: spec.class,
        need: spec.need,
        run_time_ms: spec.run_time_ms,
        checkpoint: None,
    };
    row("task start", "bincode", encoded_length(&start)?);
    let (need, vm) = (spec.need, identity.vm.clone());
    let placed = TaskRecord::TaskPlaced { epoch: 3, task: task.clone(), vm, need };
    let end = PlacementEnd::Finished { digest: u64::MAX / 3 };
    let ended = TaskRecord::TaskEnded { epoch: 3, task, token: 1_000_000, end };
    row("placement record", "JSON", record_length(placed)?);
    row("end record", "JSON", record_length(ended)?);
    row("job record", "JSON", record_length(TaskRecord::JobSubmitted(spec.clone()))?);
    let key = RequestKey { plan: spec.id.plan, key: spec.id.key };
    let claim = ClaimSpec {
        key: key.clone(),
        request_digest: u64::MAX / 3,
        agent: identity.vm,
        agent_incarnation: identity.incarnation,
        claimed_unix_ms: 1_700_000_000_000,
    };
    row("claim record", "JSON", record_length(ClaimRecord::Claimed(claim))?);
    let outcome = cactusdoor_core::claim::ClaimOutcome::NotRun;
    let settled = ClaimRecord::Settled { key, claim: 1_000_000, outcome };
    row("settlement record without a body", "JSON", record_length(settled)?);
    print!("{}", table.text());
    println!(
        "\nEncoding and parsing a heartbeat of 13 tasks: {:.1} us and {:.1} us",
        times.0, times.1
    );
    Ok(())
}

fn heartbeat_reply(config: ConfigDelta) -> HeartbeatReply {
    HeartbeatReply {
        at: HybridTime::default(),
        epoch: 3,
        lease_ms: 8_000,
        config,
        config_age_ms: Some(100),
        recorded: Vec::new(),
        silent_shards: Vec::new(),
    }
}

/// Bytes of a record in its envelope.
fn record_length<B: Serialize>(body: B) -> anyhow::Result<usize> {
    let writer =
        WriterId { process: "agent-north-0012".parse()?, incarnation: 0x1234_5678_9abc_def0 };
    Ok(LogEnvelope { writer, sequence: 100_000, body }.encode()?.len())
}

/// Median microseconds to encode and to parse a heartbeat.
fn coding_time(heartbeat: &AgentHeartbeat) -> anyhow::Result<(f64, f64)> {
    let mut codec = Bincode::<AgentHeartbeat, AgentHeartbeat>::default();
    let (mut encoding, mut parsing) = (Vec::new(), Vec::new());
    for _ in 0..REPEATS {
        let begin = Instant::now();
        let bytes = Pin::new(&mut codec).serialize(heartbeat)?;
        encoding.push(micros_each(begin.elapsed(), 1));
        let bytes = BytesMut::from(bytes.as_ref());
        let begin = Instant::now();
        let parsed = Pin::new(&mut codec).deserialize(&bytes)?;
        parsing.push(micros_each(begin.elapsed(), 1));
        anyhow::ensure!(
            parsed.number == heartbeat.number,
            "the parsed heartbeat differs from the encoded one"
        );
    }
    Ok((owner::median(encoding), owner::median(parsing)))
}
