//! Life cycle of a task on a VM: reserved, running, stopping, final.
//!
//! Each state is a type of its own; a transition consumes the earlier state, so
//! a task that ended cannot be stopped or started again.

use cactusdoor_core::job::{PlacementEnd, StartRefusal, TaskId};
use cactusdoor_core::name::TaskKind;
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::{Moment, Token};
use cactusdoor_peer::heartbeat::RunState;

/// What is known of a placement for as long as it exists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacedTask {
    pub token: Token,
    pub task: TaskId,
    pub kind: TaskKind,
    pub need: ResourceVector,
}

/// Whether an unanswered start reached the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartDoubt {
    /// The start is being sent.
    Asking,
    /// The start was not answered; the worker has not been asked since.
    Unanswered,
    /// The worker answered at this moment without listing the task.
    Absent(Moment),
}

/// Resources are reserved; it is not known whether the worker runs the task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReservedTask {
    pub placed: PlacedTask,
    pub doubt: StartDoubt,
}

impl ReservedTask {
    #[must_use]
    pub fn open(placed: PlacedTask) -> Self {
        Self { placed, doubt: StartDoubt::Asking }
    }

    #[must_use]
    pub fn run(self, now: Moment) -> RunningTask {
        RunningTask { placed: self.placed, since: now, throttle: 100 }
    }

    #[must_use]
    pub fn stop(self, cancel: bool) -> StoppingTask {
        StoppingTask { placed: self.placed, cancel, doubt: Some(self.doubt), since: Moment(0) }
    }

    #[must_use]
    pub fn refuse(self, refusal: StartRefusal) -> FinalTask {
        FinalTask::new(self.placed, PlacementEnd::Refused(refusal))
    }
}

/// The worker runs the task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningTask {
    pub placed: PlacedTask,
    /// When the worker was first known to run it.
    pub since: Moment,
    /// Percentage of its processors.
    pub throttle: u8,
}

impl RunningTask {
    #[must_use]
    pub fn stop(self, cancel: bool) -> StoppingTask {
        StoppingTask { placed: self.placed, cancel, doubt: None, since: self.since }
    }

    #[must_use]
    pub fn end(self, end: PlacementEnd) -> FinalTask {
        FinalTask::new(self.placed, end)
    }
}

/// The task is being stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoppingTask {
    pub placed: PlacedTask,
    /// Without a checkpoint, because the job was cancelled.
    pub cancel: bool,
    /// Set while it is not known whether the worker ever ran it.
    pub doubt: Option<StartDoubt>,
    pub since: Moment,
}

impl StoppingTask {
    #[must_use]
    pub fn end(self, end: PlacementEnd) -> FinalTask {
        FinalTask::new(self.placed, end)
    }
}

/// The task ended and its resources are free.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinalTask {
    pub token: Token,
    pub task: TaskId,
    pub end: PlacementEnd,
}

impl FinalTask {
    fn new(placed: PlacedTask, end: PlacementEnd) -> Self {
        Self { token: placed.token, task: placed.task, end }
    }
}

/// A task that may occupy the worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LiveTask {
    Reserved(ReservedTask),
    Running(RunningTask),
    Stopping(StoppingTask),
}

impl LiveTask {
    #[must_use]
    pub fn placed(&self) -> &PlacedTask {
        match self {
            Self::Reserved(task) => &task.placed,
            Self::Running(task) => &task.placed,
            Self::Stopping(task) => &task.placed,
        }
    }

    #[must_use]
    pub fn state(&self) -> RunState {
        match self {
            Self::Reserved(_) => RunState::Starting,
            Self::Running(RunningTask { throttle: 100, .. }) => RunState::Running,
            Self::Running(task) => RunState::Throttled(task.throttle),
            Self::Stopping(_) => RunState::Stopping,
        }
    }

    /// Ends the task from any state.
    #[must_use]
    pub fn end(self, end: PlacementEnd) -> FinalTask {
        let placed = match self {
            Self::Reserved(task) => task.placed,
            Self::Running(task) => task.placed,
            Self::Stopping(task) => task.placed,
        };
        FinalTask::new(placed, end)
    }
}
