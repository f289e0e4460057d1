//! Calls of an agent to its worker, and the worker's list of runs.

use crate::name::{Checkpoint, RunNumber, TaskName};
use crate::report::{EndedRun, StartOrder};

/// A run as the worker lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedRun {
    pub task: TaskName,
    pub run: RunNumber,
    pub checkpoint: Checkpoint,
    /// Progress, percent.
    pub percent: u8,
    /// Tail latency, ms, of a serving task; otherwise processors in use, in thousandths.
    pub measurement: u64,
}

/// The runs that a worker lists as running and as ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerList {
    pub running: Vec<ListedRun>,
    pub ended: Vec<EndedRun>,
}

/// A call to the worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerCall {
    Start(StartOrder),
    Stop { task: TaskName, run: RunNumber },
}
