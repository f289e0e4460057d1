//! Decisions of the owner of one shard, without I/O and without a clock.
//!
//! Everything that happens comes in as a call with its moment: a record that was
//! folded, a heartbeat, an answer, a timer. What is to be done about it goes out as
//! [`BookAction`]s. A decision counts only once its record has come back
//! through the fold under the own epoch, so an append whose answer was lost is
//! treated like any other, and a replaced owner decides nothing.

pub mod action;
mod agents;
mod append;
mod fold;
mod index;
mod moves;
mod placing;
mod preempting;
mod pressure;
mod roster;
mod tasks;
mod upkeep;
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
use cactusdoor_policy::placement::attribution::FailureLedger;
use cactusdoor_policy::placement::interference::PairTable;
use cactusdoor_policy::placement::learning::UsageLearner;
use cactusdoor_policy::placement::ramp::ReturnRamp;
use cactusdoor_timeline::event::{EventKind, WaitReason};
use indexmap::IndexMap;

pub use action::{BookAction, CallOutcome, Ticket};
pub use agents::PROBE_INCARNATION;
pub use index::{Placement, TaskIndex, VmLoad};
pub use roster::EntryView;

use agents::AgentBook;
use append::{AppendKey, AppendTable};
use moves::MoveBook;
use preempting::VmPreemption;
use roster::RosterBook;
use tasks::{PendingStart, PendingStop};
use witness::{EarlierGrants, WitnessState};

/// Which shard, and who keeps its book.
#[derive(Clone, Debug)]
pub struct BookSettings {
    pub shard: ShardName,
    pub identity: AgentIdentity,
    pub writer: WriterId,
    /// All shards of the system.
    pub shards: Vec<ShardName>,
}

/// A period of ownership by this process.
#[derive(Clone, Debug)]
struct OwnerTenure {
    epoch: Epoch,
    since: Moment,
    earlier: EarlierGrants,
}

#[derive(Clone, Debug)]
enum OwnerRole {
    /// Not owner; a claim may be under way.
    Candidate,
    Owner(OwnerTenure),
    /// Owner until a moment ago; a later claim stands in the stream.
    Replaced,
}

/// Delay of a task after a failure, or after it came back from another shard.
#[derive(Clone, Copy, Debug, Default)]
struct TaskBackoff {
    until: Moment,
    step: u32,
}

/// State of the owner of a shard.
pub struct ShardBook {
    settings: BookSettings,
    data_centre: DataCentre,
    fold: ShardFold,
    index: TaskIndex,
    role: OwnerRole,
    handing_back: bool,
    tasks_view: ConfirmedView,
    config_view: ConfirmedView,
    config: Arc<ConfigState>,
    agents: IndexMap<VmName, AgentBook>,
    pending_starts: IndexMap<Token, PendingStart>,
    stops: IndexMap<Token, PendingStop>,
    appends: AppendTable,
    ledger: FailureLedger,
    learner: UsageLearner,
    pairs: PairTable,
    ramp: ReturnRamp,
    backoffs: IndexMap<TaskId, TaskBackoff>,
    waits: HashMap<JobId, (WaitReason, Moment)>,
    ended_since: IndexMap<JobId, Moment>,
    preemptions: IndexMap<VmName, VmPreemption>,
    moves: MoveBook,
    roster: RosterBook,
    witness: WitnessState,
    /// Something changed that may let a pending task be placed.
    placing_due: bool,
    /// Urgent work has arrived since the last round.
    urgent_due: bool,
    last_round: Moment,
    actions: Vec<BookAction>,
}

/// Data centre of a shard named `<data centre>-<index>`.
#[must_use]
pub fn data_centre_of(shard: &ShardName) -> Option<DataCentre> {
    let (name, _) = shard.as_str().rsplit_once('-')?;
    DataCentre::new(name).ok()
}

impl ShardBook {
    /// The book of a shard whose stream was read up to `fold`.
    #[must_use]
    pub fn new(settings: BookSettings, fold: ShardFold) -> Self {
        Self {
            data_centre: data_centre_of(&settings.shard)
                .unwrap_or_else(|| settings.identity.data_centre.clone()),
            index: TaskIndex::of(&fold),
            fold,
            role: OwnerRole::Candidate,
            handing_back: false,
            tasks_view: ConfirmedView::default(),
            config_view: ConfirmedView::default(),
            config: Arc::default(),
            agents: IndexMap::new(),
            pending_starts: IndexMap::new(),
            stops: IndexMap::new(),
            appends: AppendTable::default(),
            ledger: FailureLedger::default(),
            learner: UsageLearner::default(),
            pairs: PairTable::default(),
            ramp: ReturnRamp::default(),
            backoffs: IndexMap::new(),
            waits: HashMap::new(),
            ended_since: IndexMap::new(),
            preemptions: IndexMap::new(),
            moves: MoveBook::default(),
            roster: RosterBook::default(),
            witness: WitnessState::default(),
            placing_due: false,
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

    /// What is to be done, in order; empties the list.
    pub fn take_actions(&mut self) -> Vec<BookAction> {
        std::mem::take(&mut self.actions)
    }

    fn tenure(&self) -> Option<&OwnerTenure> {
        match &self.role {
            OwnerRole::Owner(tenure) => Some(tenure),
            _ => None,
        }
    }

    fn act(&mut self, action: BookAction) {
        self.actions.push(action);
    }

    fn event(&mut self, kind: EventKind) {
        self.actions.push(BookAction::Event(kind));
    }

    /// Claims the shard. The claim counts once it is folded.
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

    /// Starts nothing from here on and answers heartbeats no more.
    pub fn hand_back(&mut self) {
        self.handing_back = true;
    }

    /// A read of the task stream that was sent at `sent` reached its end.
    pub fn confirmed(&mut self, sent: Moment) {
        self.tasks_view.confirm(sent);
        self.appends.settle_unknown(sent);
    }

    /// A newer configuration.
    pub fn configured(&mut self, now: Moment, config: Arc<ConfigState>) {
        let before = self.config.data_centre(&self.data_centre);
        let after = config.data_centre(&self.data_centre);
        if before == DataCentreState::Out && after == DataCentreState::In {
            self.ramp.begin(now);
        }
        self.config = config;
        self.placing_due = true;
    }

    /// The configuration was complete at `sent`.
    pub fn config_confirmed(&mut self, sent: Moment) {
        self.config_view.confirm(sent);
    }

    fn append(&mut self, key: AppendKey, record: TaskRecord, urgent: bool) -> Ticket {
        let ticket = self.appends.open(key);
        self.act(BookAction::Append { ticket, record, urgent });
        ticket
    }

    fn spec(&self, job: &JobId) -> Option<&Arc<JobSpec>> {
        self.fold.job(job).map(|entry| &entry.spec)
    }

    fn is_task_busy(&self, task: &TaskId) -> bool {
        self.appends.is_busy(&AppendKey::Task(task.clone()))
    }
}
