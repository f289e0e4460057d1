//! Selection of events by the job, request, VM or data centre they concern.

use cactusdoor_core::job::{JobId, TaskId};
use cactusdoor_core::name::{DataCentre, ShardName, VmName};

use crate::event::{EventKind, TimelineEvent};

/// Subject of an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EventSubject {
    Job(JobId),
    Request(String),
    Vm(VmName),
    DataCentre(DataCentre),
}

/// Selects the events about any of its subjects, or all events if it has none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventFilter {
    pub subjects: Vec<EventSubject>,
}

impl EventFilter {
    #[must_use]
    pub fn passes(&self, event: &TimelineEvent) -> bool {
        self.subjects.is_empty() || self.subjects.iter().any(|subject| subject.matches(&event.kind))
    }
}

impl EventSubject {
    fn matches(&self, kind: &EventKind) -> bool {
        match self {
            Self::Job(job) => kind.job() == Some(job),
            Self::Request(request) => kind.request() == Some(request),
            Self::Vm(vm) => kind.vm() == Some(vm),
            Self::DataCentre(data_centre) => kind.concerns(data_centre),
        }
    }
}

impl EventKind {
    /// The job that the event is about.
    #[must_use]
    pub fn job(&self) -> Option<&JobId> {
        match self {
            Self::JobSubmitted { job, .. }
            | Self::JobCancelled { job }
            | Self::JobParked { job, .. } => Some(job),
            _ => self.task().map(|task| &task.job),
        }
    }

    fn task(&self) -> Option<&TaskId> {
        match self {
            Self::TaskWaits { task, .. }
            | Self::TaskPlaced { task, .. }
            | Self::StartRefused { task, .. }
            | Self::TaskStarted { task, .. }
            | Self::TaskThrottled { task, .. }
            | Self::TaskEnded { task, .. }
            | Self::TaskTransferred { task, .. } => Some(task),
            _ => None,
        }
    }

    /// The request that the event is about.
    #[must_use]
    pub fn request(&self) -> Option<&String> {
        match self {
            Self::RequestSent { request, .. }
            | Self::RequestEnded { request, .. }
            | Self::ClaimWon { request, .. }
            | Self::ClaimSettled { request, .. } => Some(request),
            _ => None,
        }
    }

    /// The VM that the event is about.
    #[must_use]
    pub fn vm(&self) -> Option<&VmName> {
        match self {
            Self::UpstreamAnnounced { vm, .. }
            | Self::UpstreamLeaving { vm, .. }
            | Self::AgentJoined { vm, .. }
            | Self::AgentSilent { vm, .. }
            | Self::VmQuarantined { vm, .. }
            | Self::VmReadmitted { vm }
            | Self::TaskPlaced { vm, .. }
            | Self::StartRefused { vm, .. }
            | Self::TaskStarted { vm, .. }
            | Self::TaskThrottled { vm, .. }
            | Self::TaskEnded { vm, .. }
            | Self::LeaseLapsed { vm, .. }
            | Self::RequestSent { vm, .. }
            | Self::ClaimWon { vm, .. } => Some(vm),
            _ => None,
        }
    }

    /// Whether the event is about a data centre or one of its shards.
    #[must_use]
    pub fn concerns(&self, data_centre: &DataCentre) -> bool {
        let is_local = |shard: &ShardName| {
            let name = shard.as_str().rsplit_once('-').map(|(name, _)| name);
            name == Some(data_centre.as_str())
        };
        match self {
            Self::ProcessStarted { data_centre: name }
            | Self::DataCentreChanged { data_centre: name, .. } => name == data_centre,
            Self::ShardOwned { shard, .. }
            | Self::ShardLost { shard, .. }
            | Self::AgentJoined { shard, .. }
            | Self::AgentSilent { shard, .. }
            | Self::JobSubmitted { shard, .. }
            | Self::LeaseLapsed { shard, .. } => is_local(shard),
            Self::TaskTransferred { from, to, .. } => is_local(from) || is_local(to),
            _ => false,
        }
    }
}
