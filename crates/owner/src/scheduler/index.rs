//! Index of a fold's tasks, updated record by record.
//!
//! The fold answers questions about one task; placement needs all pending tasks, all
//! tasks of a VM and the usage of a plan.

use std::collections::{BTreeSet, HashMap};

use cactusdoor_core::job::{JobId, TaskId, TaskTransfer};
use cactusdoor_core::name::{PlanName, VmName};
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::shard::{ShardFold, TaskState, TrackedJob};
use cactusdoor_core::unit::{Epoch, Token};
use cactusdoor_policy::placement::allowance::{AllowanceUsage, max};
use indexmap::{IndexMap, IndexSet};

/// A placement recorded in the fold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    pub token: Token,
    pub epoch: Epoch,
    pub vm: VmName,
    pub need: ResourceVector,
}

/// Placements on one VM.
#[derive(Clone, Debug, Default)]
pub struct VmLoad {
    pub tasks: IndexMap<Token, TaskId>,
    pub committed: ResourceVector,
}

/// State of a task as the index counts it. A task that needs nothing more from this shard
/// is not indexed.
#[derive(Clone, Debug, PartialEq, Eq)]
enum IndexedState {
    Pending,
    Placed(Placement),
    /// Transferred to another shard; `reserved` counts against the plan's allowance at
    /// home.
    Transferred {
        reserved: ResourceVector,
        unconfirmed: Option<Box<TaskTransfer>>,
    },
    /// Ended; to be returned to the home shard.
    Ended,
}

#[derive(Clone, Debug)]
struct IndexedTask {
    state: IndexedState,
    /// Counted against the plan's allowance.
    charged: ResourceVector,
}

/// Tasks of a fold by job, VM and plan.
#[derive(Clone, Debug, Default)]
pub struct TaskIndex {
    tasks: HashMap<TaskId, IndexedTask>,
    pending: IndexMap<JobId, BTreeSet<u32>>,
    vms: IndexMap<VmName, VmLoad>,
    /// Number of placements per job and VM.
    spread: HashMap<JobId, IndexMap<VmName, u32>>,
    allowances: AllowanceUsage,
    /// Usage in this shard by plan, whichever shard is the home.
    local_usage: AllowanceUsage,
    unconfirmed: IndexMap<TaskId, TaskTransfer>,
    /// Ended tasks, which a shard other than the home returns.
    ended: IndexMap<JobId, BTreeSet<u32>>,
    cancelled: IndexSet<JobId>,
    /// Number of indexed tasks per job.
    open: IndexMap<JobId, u32>,
    completed: IndexSet<JobId>,
}

impl TaskIndex {
    /// Builds the index of all tasks in `fold`.
    #[must_use]
    pub fn of(fold: &ShardFold) -> Self {
        let mut index = Self::default();
        let jobs: Vec<JobId> = fold.jobs().map(|job| job.spec.id.clone()).collect();
        for job in jobs {
            index.refresh_job(fold, &job, &[]);
        }
        index
    }

    #[must_use]
    pub fn pending(&self) -> &IndexMap<JobId, BTreeSet<u32>> {
        &self.pending
    }

    #[must_use]
    pub fn pending_count(&self) -> usize {
        self.pending.values().map(BTreeSet::len).sum()
    }

    /// VMs that have placements, or had some.
    pub fn vms(&self) -> impl Iterator<Item = (&VmName, &VmLoad)> {
        self.vms.iter()
    }

    #[must_use]
    pub fn vm(&self, vm: &VmName) -> Option<&VmLoad> {
        self.vms.get(vm)
    }

    /// VMs that run tasks of the job, with the number of tasks.
    pub fn spread(&self, job: &JobId) -> impl Iterator<Item = (&VmName, u32)> {
        let vms = self.spread.get(job).into_iter().flatten();
        vms.map(|(vm, count)| (vm, *count))
    }

    #[must_use]
    pub fn placement(&self, task: &TaskId) -> Option<&Placement> {
        match &self.tasks.get(task)?.state {
            IndexedState::Placed(placement) => Some(placement),
            _ => None,
        }
    }

    #[must_use]
    pub fn allowances(&self) -> &AllowanceUsage {
        &self.allowances
    }

    #[must_use]
    pub fn local_usage(&self, plan: &PlanName) -> ResourceVector {
        self.local_usage.used(plan)
    }

    #[must_use]
    pub fn unconfirmed(&self) -> &IndexMap<TaskId, TaskTransfer> {
        &self.unconfirmed
    }

    #[must_use]
    pub fn ended(&self) -> &IndexMap<JobId, BTreeSet<u32>> {
        &self.ended
    }

    /// Cancelled jobs with tasks that have not ended.
    #[must_use]
    pub fn cancelled(&self) -> &IndexSet<JobId> {
        &self.cancelled
    }

    /// Jobs that need nothing more from this shard.
    #[must_use]
    pub fn completed(&self) -> &IndexSet<JobId> {
        &self.completed
    }

    /// Updates all tasks of `job`; `before` lists the indices of its earlier tasks, in
    /// case the job is gone.
    pub fn refresh_job(&mut self, fold: &ShardFold, job: &JobId, before: &[u32]) {
        let status = fold.job(job);
        let current = status.into_iter().flat_map(|status| status.tasks.keys().copied());
        let indices: BTreeSet<u32> = before.iter().copied().chain(current).collect();
        for index in indices {
            self.replace(fold, &TaskId { job: job.clone(), index });
        }
        self.classify(fold, job);
    }

    /// Updates one task.
    pub fn refresh(&mut self, fold: &ShardFold, task: &TaskId) {
        self.replace(fold, task);
        self.classify(fold, &task.job);
    }

    fn classify(&mut self, fold: &ShardFold, job: &JobId) {
        let open = self.open.contains_key(job);
        let status = fold.job(job);
        set_member(&mut self.cancelled, job, open && status.is_some_and(|status| status.cancelled));
        set_member(&mut self.completed, job, !open && status.is_some());
    }

    fn replace(&mut self, fold: &ShardFold, task: &TaskId) {
        if let Some(old) = self.tasks.remove(task) {
            self.subtract(task, &old);
        }
        if let Some(new) = fold.job(&task.job).and_then(|job| indexed(job, task)) {
            self.add(task, &new);
            self.tasks.insert(task.clone(), new);
        }
    }

    fn add(&mut self, task: &TaskId, indexed: &IndexedTask) {
        *self.open.entry(task.job.clone()).or_default() += 1;
        self.allowances.add(&task.job.plan, indexed.charged);
        match &indexed.state {
            IndexedState::Pending => {
                self.pending.entry(task.job.clone()).or_default().insert(task.index);
            }
            IndexedState::Placed(placement) => {
                self.local_usage.add(&task.job.plan, placement.need);
                let load = self.vms.entry(placement.vm.clone()).or_default();
                load.tasks.insert(placement.token, task.clone());
                load.committed = load.committed.saturating_add(placement.need);
                let spread = self.spread.entry(task.job.clone()).or_default();
                *spread.entry(placement.vm.clone()).or_default() += 1;
            }
            IndexedState::Transferred { unconfirmed, .. } => {
                if let Some(transfer) = unconfirmed {
                    self.unconfirmed.insert(task.clone(), (**transfer).clone());
                }
            }
            IndexedState::Ended => {
                self.ended.entry(task.job.clone()).or_default().insert(task.index);
            }
        }
    }

    fn remove_spread(&mut self, job: &JobId, vm: &VmName) {
        let Some(spread) = self.spread.get_mut(job) else { return };
        if let Some(count) = spread.get_mut(vm) {
            *count -= 1;
            if *count == 0 {
                spread.swap_remove(vm);
            }
        }
        if spread.is_empty() {
            self.spread.remove(job);
        }
    }

    fn subtract(&mut self, task: &TaskId, indexed: &IndexedTask) {
        if let Some(open) = self.open.get_mut(&task.job) {
            *open -= 1;
            if *open == 0 {
                self.open.swap_remove(&task.job);
            }
        }
        self.allowances.remove(&task.job.plan, indexed.charged);
        match &indexed.state {
            IndexedState::Pending => remove_from(&mut self.pending, task),
            IndexedState::Placed(placement) => {
                self.local_usage.remove(&task.job.plan, placement.need);
                if let Some(load) = self.vms.get_mut(&placement.vm) {
                    load.tasks.swap_remove(&placement.token);
                    load.committed = load.committed.saturating_sub(placement.need);
                }
                self.remove_spread(&task.job, &placement.vm);
            }
            IndexedState::Transferred { .. } => {
                self.unconfirmed.swap_remove(task);
            }
            IndexedState::Ended => remove_from(&mut self.ended, task),
        }
    }
}

fn set_member(set: &mut IndexSet<JobId>, job: &JobId, member: bool) {
    if member {
        set.insert(job.clone());
    } else {
        set.swap_remove(job);
    }
}

fn remove_from(sets: &mut IndexMap<JobId, BTreeSet<u32>>, task: &TaskId) {
    if let Some(set) = sets.get_mut(&task.job) {
        set.remove(&task.index);
        if set.is_empty() {
            sets.swap_remove(&task.job);
        }
    }
}

fn indexed(job: &TrackedJob, task: &TaskId) -> Option<IndexedTask> {
    let status = job.tasks.get(&task.index)?;
    let state = match &status.state {
        TaskState::Pending { .. } => IndexedState::Pending,
        TaskState::Placed { token, epoch, vm, need, .. } => IndexedState::Placed(Placement {
            token: *token,
            epoch: *epoch,
            vm: vm.clone(),
            need: *need,
        }),
        TaskState::Transferred { confirmed: true, .. } | TaskState::Ended(_)
            if finished_here(job, &status.state) =>
        {
            return None;
        }
        TaskState::Transferred { transfer, confirmed } => IndexedState::Transferred {
            reserved: job.spec.need,
            unconfirmed: (!confirmed).then(|| Box::new(transfer.clone())),
        },
        TaskState::Ended(_) => IndexedState::Ended,
    };
    let charged = match &state {
        _ if !job.home => ResourceVector::ZERO,
        IndexedState::Placed(placement) => max(placement.need, job.spec.need),
        IndexedState::Transferred { reserved, .. } => *reserved,
        IndexedState::Pending | IndexedState::Ended => ResourceVector::ZERO,
    };
    Some(IndexedTask { state, charged })
}

/// Whether this shard has nothing more to do for a task in `state`.
fn finished_here(job: &TrackedJob, state: &TaskState) -> bool {
    matches!(state, TaskState::Ended(_)) == job.home
}
