//! Lifecycle of a task on a VM: reserved, running, stopping, final.
//!
//! Each state is a type of its own. A transition consumes the earlier state, so a
//! task that has ended cannot be stopped or started again.

use cactusdoor_core::job::{PlacementEnd, StartRefusal, TaskId};
use cactusdoor_core::name::TaskKind;
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::{Moment, Token};
use cactusdoor_peer::heartbeat::RunState;

/// The parts of a placement that all states share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacedTask {
    pub token: Token,
    pub task: TaskId,
    pub kind: TaskKind,
    pub need: ResourceVector,
}

/// Progress of a start that the worker has not confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnconfirmedStart {
    /// The start is being sent and has no answer yet.
    Sending,
    /// The start was not answered, and no inventory has been received since.
    Unanswered,
    /// An inventory received at this moment did not list the task.
    Unlisted(Moment),
}

/// A task with reserved resources; it is not known whether the worker runs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReservedTask {
    pub placed: PlacedTask,
    pub unconfirmed: UnconfirmedStart,
}

impl ReservedTask {
    #[must_use]
    pub fn open(placed: PlacedTask) -> Self {
        Self { placed, unconfirmed: UnconfirmedStart::Sending }
    }

    #[must_use]
    pub fn run(self, now: Moment) -> RunningTask {
        RunningTask { placed: self.placed, since: now, throttle: 100 }
    }

    #[must_use]
    pub fn stop(self, cancel: bool) -> StoppingTask {
        StoppingTask {
            placed: self.placed,
            cancel,
            unconfirmed: Some(self.unconfirmed),
            since: Moment(0),
        }
    }

    #[must_use]
    pub fn refuse(self, refusal: StartRefusal) -> FinalTask {
        FinalTask::new(self.placed, PlacementEnd::Refused(refusal))
    }
}

/// A task that the worker runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningTask {
    pub placed: PlacedTask,
    /// When the worker was first known to run the task.
    pub since: Moment,
    /// Speed in percent of full speed; 100 if the task is not throttled.
    pub throttle: u8,
}

impl RunningTask {
    #[must_use]
    pub fn stop(self, cancel: bool) -> StoppingTask {
        StoppingTask { placed: self.placed, cancel, unconfirmed: None, since: self.since }
    }

    #[must_use]
    pub fn end(self, end: PlacementEnd) -> FinalTask {
        FinalTask::new(self.placed, end)
    }
}

/// A task that is being stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoppingTask {
    pub placed: PlacedTask,
    /// Whether the job was cancelled, so that the stop takes no checkpoint.
    pub cancel: bool,
    /// Set while it is not known whether the worker ever ran the task.
    pub unconfirmed: Option<UnconfirmedStart>,
    /// When the worker was first known to run the task; 0 if that is not known.
    pub since: Moment,
}

impl StoppingTask {
    #[must_use]
    pub fn end(self, end: PlacementEnd) -> FinalTask {
        FinalTask::new(self.placed, end)
    }
}

/// A task that has ended; its resources are free.
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

/// A task that may occupy resources of the worker.
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
