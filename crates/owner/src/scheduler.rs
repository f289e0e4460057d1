//! Scheduling decisions of the owner of one shard, without I/O and without a clock.
//!
//! The caller reports every event together with its time: a folded record, a heartbeat,
//! an answer, a timer tick. The scheduler queues [`SchedulerAction`]s, which the caller
//! carries out in order.
//!
//! A decision takes effect only when its record is read back from the log under this
//! owner's epoch. So an append whose answer was lost needs no special case, and an owner
//! that was replaced decides nothing.

pub mod action;
mod agents;
mod append;
mod fold;
mod index;
mod maintenance;
mod placement;
mod preemption;
mod pressure;
mod roster;
mod tasks;
mod transfers;
mod witness;

use std::collections::HashMap;
use std::sync::Arc;

use cactusdoor_core::config::{ConfigState, DataCentreState};
use cactusdoor_core::envelope::WriterId;
use cactusdoor_core::freshness::ConfirmedView;
use cactusdoor_core::job::{JobId, JobSpec, TaskId};
use cactusdoor_core::name::{DataCentre, ShardName, VmName};
use cactusdoor_core::shard::{ShardFold, ShardOwnership, TaskRecord};
use cactusdoor_core::unit::{Epoch, Moment, Token};
use cactusdoor_peer::heartbeat::AgentIdentity;
use cactusdoor_policy::placement::attribution::FailureHistory;
use cactusdoor_policy::placement::interference::InterferenceTable;
use cactusdoor_policy::placement::learning::UsageLearner;
use cactusdoor_policy::placement::ramp::ReturnRamp;
use cactusdoor_timeline::event::{EventKind, WaitReason};
use indexmap::IndexMap;

pub use action::{AppendId, CallOutcome, SchedulerAction};
pub use agents::PROBE_INCARNATION;
pub use index::{Placement, TaskIndex, VmLoad};
pub use roster::EntryView;

use agents::TrackedAgent;
use append::{AppendKey, AppendTable};
use preemption::VmPreemption;
use roster::RosterState;
use tasks::{PendingStart, PendingStop};
use transfers::TransferState;
use witness::{EarlierLeases, WitnessState};

/// Identity of the shard and of the process that schedules it.
#[derive(Clone, Debug)]
pub struct SchedulerSettings {
    pub shard: ShardName,
    pub identity: AgentIdentity,
    pub writer: WriterId,
    /// All shards of the system.
    pub shards: Vec<ShardName>,
}

/// Ownership of the shard by this process, from its claim on.
#[derive(Clone, Debug)]
struct OwnerTenure {
    epoch: Epoch,
    since: Moment,
    earlier: EarlierLeases,
}

#[derive(Clone, Debug)]
enum OwnerRole {
    /// Not owner; a claim may be under way.
    Candidate,
    Owner(OwnerTenure),
    /// Was the owner until another process's claim was folded.
    Replaced,
}

/// Delay before a task is placed again after a failure, or after it returned from
/// another shard.
#[derive(Clone, Copy, Debug, Default)]
struct TaskBackoff {
    until: Moment,
    step: u32,
}

/// State and decisions of the owner of a shard.
pub struct ShardScheduler {
    settings: SchedulerSettings,
    data_centre: DataCentre,
    fold: ShardFold,
    index: TaskIndex,
    role: OwnerRole,
    releasing: bool,
    tasks_view: ConfirmedView,
    config_view: ConfirmedView,
    config: Arc<ConfigState>,
    agents: IndexMap<VmName, TrackedAgent>,
    pending_starts: IndexMap<Token, PendingStart>,
    pending_stops: IndexMap<Token, PendingStop>,
    appends: AppendTable,
    history: FailureHistory,
    learner: UsageLearner,
    interference: InterferenceTable,
    ramp: ReturnRamp,
    backoffs: IndexMap<TaskId, TaskBackoff>,
    waits: HashMap<JobId, (WaitReason, Moment)>,
    ended_since: IndexMap<JobId, Moment>,
    preemptions: IndexMap<VmName, VmPreemption>,
    transfers: TransferState,
    roster: RosterState,
    witness: WitnessState,
    /// Something changed that may allow a pending task to be placed.
    placement_due: bool,
    /// An urgent task became placeable since the last round.
    urgent_due: bool,
    last_round: Moment,
    actions: Vec<SchedulerAction>,
}

/// Data centre of a shard named `<data centre>-<index>`.
#[must_use]
pub fn data_centre_of(shard: &ShardName) -> Option<DataCentre> {
    let (name, _) = shard.as_str().rsplit_once('-')?;
    DataCentre::new(name).ok()
}

impl ShardScheduler {
    /// Starts from a shard's stream that was read up to `fold`.
    #[must_use]
    pub fn new(settings: SchedulerSettings, fold: ShardFold) -> Self {
        Self {
            data_centre: data_centre_of(&settings.shard)
                .unwrap_or_else(|| settings.identity.data_centre.clone()),
            index: TaskIndex::of(&fold),
            fold,
            role: OwnerRole::Candidate,
            releasing: false,
            tasks_view: ConfirmedView::default(),
            config_view: ConfirmedView::default(),
            config: Arc::default(),
            agents: IndexMap::new(),
            pending_starts: IndexMap::new(),
            pending_stops: IndexMap::new(),
            appends: AppendTable::default(),
            history: FailureHistory::default(),
            learner: UsageLearner::default(),
            interference: InterferenceTable::default(),
            ramp: ReturnRamp::default(),
            backoffs: IndexMap::new(),
            waits: HashMap::new(),
            ended_since: IndexMap::new(),
            preemptions: IndexMap::new(),
            transfers: TransferState::default(),
            roster: RosterState::default(),
            witness: WitnessState::default(),
            placement_due: false,
            urgent_due: false,
            last_round: Moment::default(),
            actions: Vec::new(),
            settings,
        }
    }

    #[must_use]
    pub fn fold(&self) -> &ShardFold {
        &self.fold
    }

    #[must_use]
    pub fn index(&self) -> &TaskIndex {
        &self.index
    }

    #[must_use]
    pub fn shard(&self) -> &ShardName {
        &self.settings.shard
    }

    /// Epoch of this process, `None` while it does not own the shard.
    #[must_use]
    pub fn owned_epoch(&self) -> Option<Epoch> {
        self.tenure().map(|tenure| tenure.epoch)
    }

    /// Whether a later claim ended the ownership of this process.
    #[must_use]
    pub fn is_replaced(&self) -> bool {
        matches!(self.role, OwnerRole::Replaced)
    }

    #[must_use]
    pub fn ownership(&self) -> Option<&ShardOwnership> {
        self.fold.ownership()
    }

    /// Whether appends to the task stream are under way.
    #[must_use]
    pub fn has_open_appends(&self) -> bool {
        !self.appends.is_empty()
    }

    /// Returns the queued actions in order and empties the queue.
    pub fn take_actions(&mut self) -> Vec<SchedulerAction> {
        std::mem::take(&mut self.actions)
    }

    fn tenure(&self) -> Option<&OwnerTenure> {
        match &self.role {
            OwnerRole::Owner(tenure) => Some(tenure),
            _ => None,
        }
    }

    fn push_action(&mut self, action: SchedulerAction) {
        self.actions.push(action);
    }

    fn push_event(&mut self, kind: EventKind) {
        self.actions.push(SchedulerAction::Event(kind));
    }

    /// Appends a claim of the shard, which takes effect when it is folded.
    pub fn claim(&mut self) {
        if !matches!(self.role, OwnerRole::Candidate) || self.appends.is_busy(&AppendKey::Claim) {
            return;
        }
        let record = TaskRecord::OwnerClaimed {
            epoch: self.fold.epoch() + 1,
            owner: self.settings.identity.vm.clone(),
            address: self.settings.identity.address,
        };
        self.append(AppendKey::Claim, record, true);
    }

    /// Places no more tasks and refuses heartbeats from now on.
    pub fn release(&mut self) {
        self.releasing = true;
    }

    /// Reports that a read of the task stream, sent at `sent`, reached its end.
    pub fn confirmed(&mut self, sent: Moment) {
        self.tasks_view.confirm(sent);
        self.appends.settle_unknown(sent);
    }

    /// Applies a newer configuration.
    pub fn configured(&mut self, now: Moment, config: Arc<ConfigState>) {
        let before = self.config.data_centre(&self.data_centre);
        let after = config.data_centre(&self.data_centre);
        if before == DataCentreState::Out && after == DataCentreState::In {
            self.ramp.begin(now);
        }
        self.config = config;
        self.placement_due = true;
    }

    /// Reports that a read of the configuration, sent at `sent`, reached its end.
    pub fn config_confirmed(&mut self, sent: Moment) {
        self.config_view.confirm(sent);
    }

    fn append(&mut self, key: AppendKey, record: TaskRecord, urgent: bool) -> AppendId {
        let append_id = self.appends.open(key);
        self.push_action(SchedulerAction::Append { append_id, record, urgent });
        append_id
    }

    fn spec(&self, job: &JobId) -> Option<&Arc<JobSpec>> {
        self.fold.job(job).map(|status| &status.spec)
    }

    fn is_task_busy(&self, task: &TaskId) -> bool {
        self.appends.is_busy(&AppendKey::Task(task.clone()))
    }
}
