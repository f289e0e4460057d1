//! What the fold's tasks add up to, kept up to date record by record.
//!
//! The fold answers questions about one task; placement asks about all pending
//! tasks, all tasks of a VM and all tasks of a plan.

use std::collections::{BTreeSet, HashMap};

use cactusdoor_core::job::{JobId, TaskId, TaskMove};
use cactusdoor_core::name::{PlanName, VmName};
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::shard::{JobEntry, ShardFold, TaskState};
use cactusdoor_core::unit::{Epoch, Token};
use cactusdoor_policy::placement::allowance::{AllowanceBook, max};
use indexmap::{IndexMap, IndexSet};

/// A placement that the fold holds.
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

/// What one task adds to the sums. A task that needs nothing more from this
/// shard adds nothing and is not kept here.
#[derive(Clone, Debug, PartialEq, Eq)]
enum TaskShare {
    Pending,
    Placed(Placement),
    /// Handed over; `reserved` counts against the plan's allowance at home.
    Away {
        reserved: ResourceVector,
        unconfirmed: Option<Box<TaskMove>>,
    },
    /// To be handed back to the home shard.
    Ended,
}

#[derive(Clone, Debug)]
struct IndexedTask {
    share: TaskShare,
    /// Counted against the plan's allowance.
    charged: ResourceVector,
}

/// Sums over the tasks of a fold.
#[derive(Clone, Debug, Default)]
pub struct TaskIndex {
    tasks: HashMap<TaskId, IndexedTask>,
    pending: IndexMap<JobId, BTreeSet<u32>>,
    vms: IndexMap<VmName, VmLoad>,
    /// Placements per job and VM.
    spread: HashMap<JobId, IndexMap<VmName, u32>>,
    allowances: AllowanceBook,
    /// Use in this shard by plan, whichever shard is the home.
    local: AllowanceBook,
    unconfirmed: IndexMap<TaskId, TaskMove>,
    /// Ended tasks, which a shard other than the home hands back.
    ended: IndexMap<JobId, BTreeSet<u32>>,
    cancelled: IndexSet<JobId>,
    /// Number of kept tasks per job.
    open: IndexMap<JobId, u32>,
    over: IndexSet<JobId>,
}

impl TaskIndex {
    /// The index of everything in `fold`.
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

    /// VMs that hold placements, or held some.
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
        match &self.tasks.get(task)?.share {
            TaskShare::Placed(placement) => Some(placement),
            _ => None,
        }
    }

    #[must_use]
    pub fn allowances(&self) -> &AllowanceBook {
        &self.allowances
    }

    #[must_use]
    pub fn local_use(&self, plan: &PlanName) -> ResourceVector {
        self.local.used(plan)
    }

    #[must_use]
    pub fn unconfirmed(&self) -> &IndexMap<TaskId, TaskMove> {
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
    pub fn over(&self) -> &IndexSet<JobId> {
        &self.over
    }

    /// Takes over the state of all tasks of `job`; `before` lists the tasks
    /// that it had, in case the job is gone.
    pub fn refresh_job(&mut self, fold: &ShardFold, job: &JobId, before: &[u32]) {
        let entry = fold.job(job);
        let current = entry.into_iter().flat_map(|entry| entry.tasks.keys().copied());
        let indices: BTreeSet<u32> = before.iter().copied().chain(current).collect();
        for index in indices {
            self.replace(fold, &TaskId { job: job.clone(), index });
        }
        self.classify(fold, job);
    }

    /// Takes over the state of one task.
    pub fn refresh(&mut self, fold: &ShardFold, task: &TaskId) {
        self.replace(fold, task);
        self.classify(fold, &task.job);
    }

    fn classify(&mut self, fold: &ShardFold, job: &JobId) {
        let open = self.open.contains_key(job);
        let entry = fold.job(job);
        set_member(&mut self.cancelled, job, open && entry.is_some_and(|entry| entry.cancelled));
        set_member(&mut self.over, job, !open && entry.is_some());
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

    fn add(&mut self, task: &TaskId, entry: &IndexedTask) {
        *self.open.entry(task.job.clone()).or_default() += 1;
        self.allowances.add(&task.job.plan, entry.charged);
        match &entry.share {
            TaskShare::Pending => {
                self.pending.entry(task.job.clone()).or_default().insert(task.index);
            }
            TaskShare::Placed(placement) => {
                self.local.add(&task.job.plan, placement.need);
                let load = self.vms.entry(placement.vm.clone()).or_default();
                load.tasks.insert(placement.token, task.clone());
                load.committed = load.committed.saturating_add(placement.need);
                let spread = self.spread.entry(task.job.clone()).or_default();
                *spread.entry(placement.vm.clone()).or_default() += 1;
            }
            TaskShare::Away { unconfirmed, .. } => {
                if let Some(task_move) = unconfirmed {
                    self.unconfirmed.insert(task.clone(), (**task_move).clone());
                }
            }
            TaskShare::Ended => {
                self.ended.entry(task.job.clone()).or_default().insert(task.index);
            }
        }
    }

    fn thin_out(&mut self, job: &JobId, vm: &VmName) {
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

    fn subtract(&mut self, task: &TaskId, entry: &IndexedTask) {
        if let Some(open) = self.open.get_mut(&task.job) {
            *open -= 1;
            if *open == 0 {
                self.open.swap_remove(&task.job);
            }
        }
        self.allowances.remove(&task.job.plan, entry.charged);
        match &entry.share {
            TaskShare::Pending => remove_from(&mut self.pending, task),
            TaskShare::Placed(placement) => {
                self.local.remove(&task.job.plan, placement.need);
                if let Some(load) = self.vms.get_mut(&placement.vm) {
                    load.tasks.swap_remove(&placement.token);
                    load.committed = load.committed.saturating_sub(placement.need);
                }
                self.thin_out(&task.job, &placement.vm);
            }
            TaskShare::Away { .. } => {
                self.unconfirmed.swap_remove(task);
            }
            TaskShare::Ended => remove_from(&mut self.ended, task),
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

fn indexed(job: &JobEntry, task: &TaskId) -> Option<IndexedTask> {
    let entry = job.tasks.get(&task.index)?;
    let share = match &entry.state {
        TaskState::Pending { .. } => TaskShare::Pending,
        TaskState::Placed { token, epoch, vm, need, .. } => TaskShare::Placed(Placement {
            token: *token,
            epoch: *epoch,
            vm: vm.clone(),
            need: *need,
        }),
        TaskState::Away { confirmed: true, .. } | TaskState::Ended(_)
            if finished_here(job, &entry.state) =>
        {
            return None;
        }
        TaskState::Away { task_move, confirmed } => TaskShare::Away {
            reserved: job.spec.need,
            unconfirmed: (!confirmed).then(|| Box::new(task_move.clone())),
        },
        TaskState::Ended(_) => TaskShare::Ended,
    };
    let charged = match &share {
        _ if !job.home => ResourceVector::ZERO,
        TaskShare::Placed(placement) => max(placement.need, job.spec.need),
        TaskShare::Away { reserved, .. } => *reserved,
        TaskShare::Pending | TaskShare::Ended => ResourceVector::ZERO,
    };
    Some(IndexedTask { share, charged })
}

/// Whether this shard has nothing more to do for a task in `state`.
fn finished_here(job: &JobEntry, state: &TaskState) -> bool {
    matches!(state, TaskState::Ended(_)) == job.home
}
