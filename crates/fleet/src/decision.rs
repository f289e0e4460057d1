//! Events of the decision log.
//!
//! An event is a decision about a request, or a change in a process's view of the system.
//! Operators' tools read the written names of events and fields, which must not change, even
//! where the Rust name differs.

use std::net::IpAddr;

use cactusdoor_core::unit::{Epoch, Millis, Offset};
use cactusdoor_queue::name::{
    AgentName, DataCentre, JobId, QueueName, RunNumber, ServiceName, TaskName,
};
use cactusdoor_queue::observation::LapseCause;
use cactusdoor_queue::report::{JobState, RunEnd};
use serde::Serialize;

use crate::limits::RejectCause;

/// Who stored a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredVia {
    /// The entry itself.
    Store,
    /// The owner, as the store refused or delayed the entry's append.
    Owner,
}

/// A decision about a request, or a change in the process's view of the system.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum DecisionEvent {
    ProcessStarted {
        role: &'static str,
        incarnation: u64,
    },
    ProcessStopping,
    ProcessStopped,
    SettingsReloaded {
        /// Why the new settings are invalid; `None` if they are valid.
        #[serde(rename = "fault")]
        error: Option<String>,
    },
    DependencyLost {
        dependency: &'static str,
        cause: String,
    },
    DependencyRegained {
        dependency: &'static str,
        silent: Millis,
    },
    ConfigApplied {
        version: u64,
        queues: usize,
        offset: Offset,
    },
    DataCentreTakenOut {
        data_centre: DataCentre,
    },
    DataCentreBroughtBack {
        data_centre: DataCentre,
    },
    JobAccepted {
        job: JobId,
        queue: QueueName,
        version: u64,
        via: StoredVia,
        waited: Millis,
    },
    JobRefused {
        /// `submit` or `cancel`.
        call: &'static str,
        job: JobId,
        queue: QueueName,
        status: u16,
        cause: &'static str,
        waited: Millis,
    },
    /// The job would have been useless when complete; its `job_refused` follows.
    RoomRefused {
        job: JobId,
        queue: QueueName,
        service: ServiceName,
        priority: u32,
        /// Best-effort work that the owner would serve before the job, processor-ms.
        ahead: u64,
        /// Rate at which such work is done, thousandths of a processor.
        rate: u64,
        /// Length of the job's critical path with the present room, ms.
        path: Millis,
        /// Time until the job would have been complete, ms.
        expected: Millis,
        /// Time budget of the job, ms.
        budget: Millis,
        backlog_age: Millis,
        /// Time after which the caller may retry, s.
        retry_after: u64,
    },
    CancelAccepted {
        job: JobId,
        via: StoredVia,
        waited: Millis,
    },
    CallRefused {
        path: String,
        status: u16,
        cause: &'static str,
    },
    /// Connections or requests were rejected because of a limit; at most one line in 5 s for
    /// each cause.
    ConnectionRejected {
        cause: RejectCause,
        /// Rejections since the last line of this cause.
        count: u64,
        /// Peer address of the last one.
        peer: IpAddr,
    },
    OwnerFound {
        epoch: Epoch,
        owner: AgentName,
    },
    OwnerLost {
        epoch: Epoch,
        cause: String,
        silent: Millis,
    },
    OwnerElected {
        epoch: Epoch,
        jobs: usize,
        runs: usize,
        loading: Millis,
    },
    ElectionLost {
        epoch: Epoch,
        cause: String,
    },
    /// The owner begins with what its predecessor has learned.
    EstimatesLoaded {
        epoch: Epoch,
        /// Serving images with estimates.
        images: usize,
        /// Age of the record.
        age: Millis,
    },
    OwnerResigned {
        epoch: Epoch,
        cause: &'static str,
    },
    /// A round of the owner's loop took long: agents wait for their answers.
    OwnerSlow {
        epoch: Epoch,
        /// Duration of the round.
        round: Millis,
        /// Calls that had waited for it.
        calls: usize,
    },
    /// Numbers of best-effort steps by what their jobs can still achieve.
    OrderChanged {
        epoch: Epoch,
        /// The job can be in time.
        feasible: usize,
        /// The job is late, but of some value.
        useful: usize,
        neither: usize,
    },
    /// The owner withholds starts, as it may not know of cancels or operators' records, or
    /// resumes them.
    StartsWithheld {
        epoch: Epoch,
        withheld: bool,
        /// Age of the newest read of the requests.
        requests_age: Millis,
        /// Age of the newest read of the operators' records.
        view_age: Millis,
    },
    #[serde(rename = "job_shown")]
    JobPublished {
        job: JobId,
        state: JobState,
        epoch: Epoch,
    },
    TaskPlaced {
        task: TaskName,
        run: RunNumber,
        agent: AgentName,
        /// Processors of the worker that the owner has reserved, this task's included,
        /// thousandths.
        reserved_cpu: u64,
        /// Expected speed, percent, of a best-effort run; `None` if `headroom_forecast` is off.
        #[serde(skip_serializing_if = "Option::is_none")]
        forecast: Option<u8>,
        epoch: Epoch,
    },
    RunEnded {
        task: TaskName,
        run: RunNumber,
        agent: AgentName,
        end: RunEnd,
        epoch: Epoch,
    },
    /// The owner ended a run whose end no agent has reported.
    RunLapsed {
        task: TaskName,
        run: RunNumber,
        agent: AgentName,
        cause: LapseCause,
        epoch: Epoch,
    },
    /// The worker lists a run that the owner has not assigned; its stop was ordered.
    RunUnassigned {
        task: TaskName,
        run: RunNumber,
        agent: AgentName,
        epoch: Epoch,
    },
    /// The run waited for its start in a data centre taken out; its stop was ordered.
    StartWithdrawn {
        task: TaskName,
        run: RunNumber,
        agent: AgentName,
        epoch: Epoch,
    },
    /// The run made little progress; its stop was ordered, so that its task continues elsewhere.
    RunMoved {
        task: TaskName,
        run: RunNumber,
        agent: AgentName,
        /// Agent of the worker for which the speed was forecast.
        target: AgentName,
        /// Listed speed, in percent of full speed.
        speed: u8,
        /// Expected time to the end on the present worker.
        here: Millis,
        /// Expected time to the end after the move.
        there: Millis,
        epoch: Epoch,
    },
    /// The run held memory that a job of a higher priority needs; its stop was ordered.
    RunPreempted {
        task: TaskName,
        run: RunNumber,
        agent: AgentName,
        needed_by: JobId,
        epoch: Epoch,
    },
    /// The worker has crashed, and a call without an answer may start the run again on its
    /// successor: the run has not ended yet.
    RunHeld {
        task: TaskName,
        run: RunNumber,
    },
    AgentSilent {
        agent: AgentName,
        /// Time since its last report; `None` if it has never reported to this owner.
        silent: Option<Millis>,
    },
    #[serde(rename = "worker_barred")]
    WorkerQuarantined {
        agent: AgentName,
        /// Number of quarantines of the worker so far.
        #[serde(rename = "bars")]
        quarantines: u32,
        epoch: Epoch,
    },
    StartAnswered {
        task: TaskName,
        run: RunNumber,
        outcome: String,
        attempts: u32,
    },
    StopAnswered {
        task: TaskName,
        run: RunNumber,
        outcome: String,
        attempts: u32,
    },
    #[serde(rename = "run_paced")]
    RunThrottled {
        task: TaskName,
        run: RunNumber,
        /// Speed of the run, in percent of full speed.
        percent: u8,
    },
    #[serde(rename = "worker_met")]
    WorkerRegistered {
        worker: String,
        born: u64,
    },
    WorkerLeaving {
        worker: String,
        #[serde(rename = "left")]
        remaining: Millis,
    },
    WorkerGone {
        worker: String,
        cause: &'static str,
    },
    /// Exceeded budgets: kinds of events and their numbers in one second.
    #[serde(rename = "lines_left_out")]
    LinesSuppressed {
        kinds: Vec<(&'static str, u64)>,
    },
}

impl DecisionEvent {
    /// Name of the event, and whether it is about a failure or a change of state: these have
    /// the larger budget.
    #[must_use]
    pub fn kind(&self) -> (&'static str, bool) {
        match self {
            Self::ProcessStarted { .. } => ("process_started", true),
            Self::ProcessStopping => ("process_stopping", true),
            Self::ProcessStopped => ("process_stopped", true),
            Self::SettingsReloaded { .. } => ("settings_reloaded", true),
            Self::DependencyLost { .. } => ("dependency_lost", true),
            Self::DependencyRegained { .. } => ("dependency_regained", true),
            Self::ConfigApplied { .. } => ("config_applied", true),
            Self::DataCentreTakenOut { .. } => ("data_centre_taken_out", true),
            Self::DataCentreBroughtBack { .. } => ("data_centre_brought_back", true),
            Self::JobAccepted { .. } => ("job_accepted", false),
            Self::JobRefused { .. } => ("job_refused", true),
            Self::RoomRefused { .. } => ("room_refused", true),
            Self::CancelAccepted { .. } => ("cancel_accepted", false),
            Self::CallRefused { .. } => ("call_refused", true),
            Self::ConnectionRejected { .. } => ("connection_rejected", true),
            Self::OwnerFound { .. } => ("owner_found", true),
            Self::OwnerLost { .. } => ("owner_lost", true),
            Self::OwnerElected { .. } => ("owner_elected", true),
            Self::ElectionLost { .. } => ("election_lost", true),
            Self::EstimatesLoaded { .. } => ("estimates_loaded", true),
            Self::OwnerResigned { .. } => ("owner_resigned", true),
            Self::OwnerSlow { .. } => ("owner_slow", false),
            Self::OrderChanged { .. } => ("order_changed", false),
            Self::StartsWithheld { .. } => ("starts_withheld", true),
            Self::JobPublished { .. } => ("job_shown", false),
            Self::TaskPlaced { .. } => ("task_placed", false),
            Self::RunEnded { end, .. } => ("run_ended", *end != RunEnd::Done),
            Self::RunLapsed { .. } => ("run_lapsed", true),
            Self::RunUnassigned { .. } => ("run_unassigned", true),
            Self::StartWithdrawn { .. } => ("start_withdrawn", true),
            Self::RunMoved { .. } => ("run_moved", false),
            Self::RunPreempted { .. } => ("run_preempted", false),
            Self::RunHeld { .. } => ("run_held", true),
            Self::AgentSilent { .. } => ("agent_silent", true),
            Self::WorkerQuarantined { .. } => ("worker_barred", true),
            Self::StartAnswered { attempts, .. } => ("start_answered", *attempts > 1),
            Self::StopAnswered { attempts, .. } => ("stop_answered", *attempts > 1),
            Self::RunThrottled { .. } => ("run_paced", false),
            Self::WorkerRegistered { .. } => ("worker_met", true),
            Self::WorkerLeaving { .. } => ("worker_leaving", true),
            Self::WorkerGone { .. } => ("worker_gone", true),
            Self::LinesSuppressed { .. } => ("lines_left_out", true),
        }
    }
}
