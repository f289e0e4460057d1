//! Builders shared by the tests.
#![allow(dead_code)]

pub mod fake_owner;
pub mod fake_worker;

use cactusdoor_agent::manager::{ManagerIdentity, ReplyEffect, StaleReply, StartStep, TaskManager};
use cactusdoor_agent::table::LaunchAnswer;
use cactusdoor_core::config::{ConfigDelta, ConfigItem, DataCentreState, ItemValue};
use cactusdoor_core::constants::TASK_LEASE;
use cactusdoor_core::job::{JobClass, JobId, TaskId};
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::{Epoch, Incarnation, Millis, Moment, Revision, Token};
use cactusdoor_peer::heartbeat::HeartbeatReply;
use cactusdoor_peer::task::{StopMode, TaskStart, TaskStop};
use cactusdoor_timeline::HybridTime;
use cactusdoor_worker::{EndedTask, RunningTask, TaskEnd, TaskInventory};

pub const INCARNATION: Incarnation = 77;
pub const T0: Moment = Moment(1_000_000);

pub fn capacity() -> ResourceVector {
    ResourceVector::new(8_000, 16_384, 2)
}

pub fn task(index: u32) -> TaskId {
    let job = JobId { plan: "plan".parse().unwrap(), key: "job".parse().unwrap() };
    TaskId { job, index }
}

pub fn start(token: Token, epoch: Epoch, need: ResourceVector) -> TaskStart {
    TaskStart {
        at: HybridTime::default(),
        shard: "dc1-0".parse().unwrap(),
        epoch,
        agent_incarnation: INCARNATION,
        token,
        task: task(u32::try_from(token).unwrap()),
        kind: "transcription".parse().unwrap(),
        class: JobClass::Batch,
        need,
        run_time_ms: 10_000,
        checkpoint: None,
    }
}

pub fn small(token: Token, epoch: Epoch) -> TaskStart {
    start(token, epoch, ResourceVector::new(1_000, 1_024, 0))
}

pub fn stop(token: Token, epoch: Epoch, mode: StopMode) -> TaskStop {
    TaskStop {
        at: HybridTime::default(),
        shard: "dc1-0".parse().unwrap(),
        epoch,
        task: task(u32::try_from(token).unwrap()),
        token,
        mode,
    }
}

pub fn reply(epoch: Epoch, lease_ms: Millis, config_age_ms: Option<Millis>) -> HeartbeatReply {
    HeartbeatReply {
        at: HybridTime::default(),
        epoch,
        lease_ms,
        config: ConfigDelta { base: 0, revision: 0, items: Vec::new() },
        config_age_ms,
        recorded: Vec::new(),
        silent_shards: Vec::new(),
    }
}

pub fn data_centre_delta(
    base: Revision,
    revision: Revision,
    state: DataCentreState,
) -> ConfigDelta {
    let value = ItemValue::DataCentre("dc1".parse().unwrap(), state);
    ConfigDelta { base, revision, items: vec![ConfigItem { revision, value }] }
}

pub fn identity() -> ManagerIdentity {
    ManagerIdentity {
        incarnation: INCARNATION,
        shard: "dc1-0".parse().unwrap(),
        data_centre: "dc1".parse().unwrap(),
    }
}

/// A manager whose worker runs no tasks and whose owner, of epoch 1, answered at [`T0`].
pub fn manager() -> TaskManager {
    let mut manager = TaskManager::new(identity());
    manager.load_inventory(T0, T0, capacity(), &TaskInventory::default());
    heartbeat(&mut manager, T0, T0, &reply(1, TASK_LEASE, Some(0))).unwrap();
    manager
}

/// Applies a reply, received at `now`, to a heartbeat sent at `sent`.
pub fn heartbeat(
    manager: &mut TaskManager,
    now: Moment,
    sent: Moment,
    reply: &HeartbeatReply,
) -> Result<ReplyEffect, StaleReply> {
    let number = manager.request_lease(sent).number;
    manager.apply_reply(now, sent, number, reply)
}

/// Starts a small task that the worker confirms.
pub fn run(manager: &mut TaskManager, now: Moment, token: Token, epoch: Epoch) {
    assert_eq!(manager.begin_start(now, &small(token, epoch)), Ok(StartStep::Launch));
    manager.launch_lease(now, token, epoch).unwrap();
    manager.record_launch(now, token, LaunchAnswer::Runs);
}

pub fn listed(token: Token, lease_left_ms: Millis) -> RunningTask {
    RunningTask {
        token,
        task: task(u32::try_from(token).unwrap()),
        kind: "transcription".parse().unwrap(),
        need: ResourceVector::new(1_000, 1_024, 0),
        throttle_percent: 100,
        lease_left_ms,
    }
}

pub fn inventory(running: &[Token], ended: &[(Token, TaskEnd)]) -> TaskInventory {
    let ended = ended.iter().map(|(token, end)| EndedTask {
        token: *token,
        task: task(u32::try_from(*token).unwrap()),
        end: end.clone(),
    });
    TaskInventory {
        running: running.iter().map(|token| listed(*token, 5_000)).collect(),
        ended: ended.collect(),
    }
}
