//! Events of the simulation and the messages that they carry.

use std::sync::Arc;

use cactusdoor_queue::agent::WorkerList;
use cactusdoor_queue::name::{RunNumber, TaskName};
use cactusdoor_queue::report::{AgentReport, ReportReply, StartOrder, WorkerInfo};

use super::fault::Restart;

/// A process of an agent; messages to an earlier process are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentProcess {
    pub agent: usize,
    pub process: u64,
}

/// A call to a worker.
#[derive(Clone, Debug)]
pub struct Call {
    pub from: AgentProcess,
    pub number: u64,
    /// Id of the worker that the caller expects.
    pub id: Arc<str>,
    /// Start of the incarnation whose connection carries the call.
    pub born: u64,
    pub epoch: u64,
    pub body: CallBody,
    /// Whether the call may reach a later incarnation under the same id.
    pub held: bool,
    /// Whether the answer reaches the caller.
    pub answered: bool,
}

#[derive(Clone, Debug)]
pub enum CallBody {
    Start { order: Box<StartOrder>, deadline: u64 },
    Stop { task: TaskName, run: RunNumber },
    Poll { deadline: Option<u64>, acknowledged: u64, wait: u64 },
}

/// Answer to a call as the caller sees it.
#[derive(Clone, Debug)]
pub enum Outcome {
    Done,
    Listed { clock: u64, born: u64, list: WorkerList },
    Ended,
    Fenced,
    Late,
    NoCapacity,
    Refused,
    OtherIncarnation,
    NoListener,
    NoAnswer,
}

/// Part of an agent's process that continues after a pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wake {
    Poll(u64),
    Order(u64),
    Candidate,
    Orders,
    Ends,
    EndsPause,
}

#[derive(Clone, Debug)]
pub enum Event {
    Call {
        worker: usize,
        call: Call,
    },
    PollDue {
        worker: usize,
        number: u64,
        born: u64,
    },
    Outcome {
        to: AgentProcess,
        number: u64,
        outcome: Outcome,
    },
    Wake {
        to: AgentProcess,
        wake: Wake,
    },
    Report {
        epoch: u64,
        from: AgentProcess,
        number: u64,
        report: Box<AgentReport>,
    },
    /// `None`: the caller stops waiting.
    Reply {
        to: AgentProcess,
        number: u64,
        reply: Option<Box<ReportReply>>,
    },
    Announcement {
        to: AgentProcess,
        number: u64,
        clock: u64,
        info: Box<WorkerInfo>,
    },
    Announce {
        worker: usize,
        born: u64,
    },
    WorkerChange {
        worker: usize,
    },
    /// A draining worker ends.
    Leave {
        worker: usize,
        born: u64,
    },
    WorkerRestart {
        worker: usize,
        restart: Restart,
    },
    AgentRestart {
        agent: usize,
    },
    OwnerTick {
        epoch: u64,
    },
    Heartbeat {
        epoch: u64,
    },
    Stored {
        epoch: u64,
        sent: u64,
    },
    Close {
        epoch: u64,
    },
    Elect,
    Open {
        epoch: u64,
        fenced: u64,
    },
}
