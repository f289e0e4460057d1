//! Names and job specifications for tests, by number.

use std::net::SocketAddr;

use cactusdoor_core::job::{JobClass, JobId, JobSpec, TaskId};
use cactusdoor_core::name::{
    CheckpointName, DataCentre, IdempotencyKey, PlanName, ProcessName, ShardName, TaskKind,
    TeamName, VmName,
};
use cactusdoor_core::resource::ResourceVector;

macro_rules! numbered_name {
    ($function:ident, $name:ident, $prefix:literal) => {
        pub fn $function(number: usize) -> $name {
            $name::new(&format!(concat!($prefix, "{}"), number)).unwrap()
        }
    };
}

numbered_name!(vm, VmName, "vm");
numbered_name!(plan, PlanName, "plan");
numbered_name!(team, TeamName, "team");
numbered_name!(key, IdempotencyKey, "key");
numbered_name!(shard, ShardName, "dc-");
numbered_name!(centre, DataCentre, "dc");
numbered_name!(process, ProcessName, "process");
numbered_name!(checkpoint, CheckpointName, "checkpoint");

pub fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + number as u16))
}

pub fn need() -> ResourceVector {
    ResourceVector::new(1_000, 512, 0)
}

pub fn job(number: usize) -> JobId {
    JobId { plan: plan(0), key: key(number) }
}

pub fn task(job_number: usize, index: u32) -> TaskId {
    TaskId { job: job(job_number), index }
}

pub fn spec(job_number: usize, class: JobClass, tasks: u32) -> JobSpec {
    JobSpec {
        id: job(job_number),
        kind: TaskKind::new("transcription").unwrap(),
        class,
        tasks,
        need: need(),
        run_time_ms: 1_000,
        urgent: false,
        deadline_unix_ms: None,
        checkpoints: true,
    }
}
