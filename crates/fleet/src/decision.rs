//! What the decision log can say.

use cactusdoor_core::unit::{Epoch, Millis, Offset};
use cactusdoor_queue::name::{AgentName, DataCentre, JobId, QueueName, RunNumber, TaskName};
use cactusdoor_queue::report::{JobState, RunEnd};
use serde::Serialize;

/// Who stored a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredVia {
    /// The entry itself.
    Store,
    /// The owner, as the store turned the entry away.
    Owner,
}

/// A decision that touches a request or changes what the process believes.
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
        fault: Option<String>,
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
    OwnerResigned {
        epoch: Epoch,
        cause: &'static str,
    },
    /// Starts wait, or go on, as cancels or operators' orders may be unknown.
    StartsWithheld {
        epoch: Epoch,
        withheld: bool,
        /// Of the newest reading of the requests.
        requests_age: Millis,
        /// Of the newest reading of what operators say.
        view_age: Millis,
    },
    JobShown {
        job: JobId,
        state: JobState,
        epoch: Epoch,
    },
    TaskPlaced {
        task: TaskName,
        run: RunNumber,
        agent: AgentName,
        epoch: Epoch,
    },
    RunEnded {
        task: TaskName,
        run: RunNumber,
        agent: AgentName,
        end: RunEnd,
        epoch: Epoch,
    },
    AgentSilent {
        agent: AgentName,
        /// `None` if this owner has never heard it.
        silent: Option<Millis>,
    },
    WorkerBarred {
        agent: AgentName,
        bars: u32,
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
    RunPaced {
        task: TaskName,
        run: RunNumber,
        percent: u8,
    },
    WorkerMet {
        worker: String,
        born: u64,
    },
    WorkerLeaving {
        worker: String,
        left: Millis,
    },
    WorkerGone {
        worker: String,
        cause: &'static str,
    },
    LinesLeftOut {
        kinds: Vec<(&'static str, u64)>,
    },
}

impl DecisionEvent {
    /// Name of the event, and whether it is about a failure or a change of
    /// belief, which is kept when the budget is used up.
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
            Self::CancelAccepted { .. } => ("cancel_accepted", false),
            Self::CallRefused { .. } => ("call_refused", true),
            Self::OwnerFound { .. } => ("owner_found", true),
            Self::OwnerLost { .. } => ("owner_lost", true),
            Self::OwnerElected { .. } => ("owner_elected", true),
            Self::ElectionLost { .. } => ("election_lost", true),
            Self::OwnerResigned { .. } => ("owner_resigned", true),
            Self::StartsWithheld { .. } => ("starts_withheld", true),
            Self::JobShown { .. } => ("job_shown", false),
            Self::TaskPlaced { .. } => ("task_placed", false),
            Self::RunEnded { end, .. } => ("run_ended", *end != RunEnd::Done),
            Self::AgentSilent { .. } => ("agent_silent", true),
            Self::WorkerBarred { .. } => ("worker_barred", true),
            Self::StartAnswered { attempts, .. } => ("start_answered", *attempts > 1),
            Self::StopAnswered { attempts, .. } => ("stop_answered", *attempts > 1),
            Self::RunPaced { .. } => ("run_paced", false),
            Self::WorkerMet { .. } => ("worker_met", true),
            Self::WorkerLeaving { .. } => ("worker_leaving", true),
            Self::WorkerGone { .. } => ("worker_gone", true),
            Self::LinesLeftOut { .. } => ("lines_left_out", true),
        }
    }
}
