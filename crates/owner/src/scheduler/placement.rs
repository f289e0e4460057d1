//! Placement rounds: decides which pending tasks are placed on which VMs.
//!
//! A round takes tasks in the order of the fair queue and appends their placements. It
//! starts nothing: a task is started when its placement is read back.

use std::collections::HashMap;

use cactusdoor_core::config::DataCentreState;
use cactusdoor_core::constants::MAX_CONFIG_AGE;
use cactusdoor_core::job::{JobClass, JobId, JobSpec, ParkReason, TaskId};
use cactusdoor_core::name::{PlanName, RackName, TaskKind, VmName};
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::shard::TaskRecord;
use cactusdoor_core::unit::{Millis, Moment};
use cactusdoor_policy::placement::allowance::{max, min};
use cactusdoor_policy::placement::attribution::VmHealth;
use cactusdoor_policy::placement::choice::{VmCandidate, choose};
use cactusdoor_policy::placement::eviction::PressureStep;
use cactusdoor_policy::placement::order::{DeadlineSlack, FairQueue, JobDemand, PlanShare};
use cactusdoor_timeline::event::{EventKind, WaitReason};
use indexmap::IndexMap;

use super::ShardScheduler;
use super::append::{AppendKey, PlacementReservation};
use super::preemption::has_precedence;

/// Most placements in one round, so that a round takes only milliseconds.
const ROUND_PLACEMENTS: usize = 512;
/// Most preemptions in one round, because each examines all tasks of the shard.
const ROUND_PREEMPTIONS: usize = 32;
/// Most appends under way; beyond this the log is the bottleneck.
const MAX_OPEN_APPENDS: usize = 2_048;
/// Least time between rounds unless urgent work arrives, because the cost of a round does
/// not depend on how much has changed.
const ROUND_PAUSE: Millis = 200;
/// Time after which a round is repeated without a change, because backoffs end and
/// deadlines come closer.
const ROUND_INTERVAL: Millis = 500;

/// Inputs of the expected need and run time of a job.
type ExpectedKey = (TaskKind, ResourceVector, Millis);

/// A VM that accepts tasks in this round.
pub(super) struct OpenVm {
    pub vm: VmName,
    rack: RackName,
    pub capacity: ResourceVector,
    pub free: ResourceVector,
    /// Number of tasks on the VM by kind.
    kinds: IndexMap<TaskKind, u32>,
    /// Accepts at most one task, to probe a VM after its quarantine.
    pub probing: bool,
    /// Accepts only latency-critical tasks, to protect those already there.
    pub protected: bool,
    /// A preemption is under way; accepts only urgent and latency-critical tasks.
    pub reserved: bool,
}

/// A job with tasks to place.
struct OpenJob {
    id: JobId,
    need: ResourceVector,
    /// Lowest task index not yet considered in this round.
    next: u32,
    home: bool,
}

/// State of a round between its placements.
#[derive(Default)]
struct RoundState {
    /// Running tasks per job and rack.
    racks: HashMap<JobId, HashMap<RackName, u32>>,
    /// Needs that fitted no VM, by class and precedence of the job.
    unplaceable: Vec<((bool, bool), ResourceVector)>,
    /// Number of tasks with a preemption under way.
    preempted: usize,
}

impl RoundState {
    fn is_unplaceable(&self, rank: (bool, bool), need: ResourceVector) -> bool {
        self.unplaceable.iter().any(|(other, failed)| *other == rank && need.can_fit(*failed))
    }
}

impl ShardScheduler {
    /// Runs a placement round if one is due.
    pub(super) fn place(&mut self, now: Moment, unix_ms: Millis) {
        let pause = match (self.urgent_due, self.placement_due) {
            (true, _) => 0,
            (false, true) => ROUND_PAUSE,
            (false, false) => ROUND_INTERVAL,
        };
        if now.since(self.last_round) < pause || self.tenure().is_none() || self.releasing {
            return;
        }
        self.placement_due = false;
        self.urgent_due = false;
        self.last_round = now;
        if self.index.pending().is_empty() {
            return;
        }
        if let Some(reason) = self.global_wait_reason(now) {
            let jobs: Vec<JobId> = self.index.pending().keys().cloned().collect();
            for job in jobs {
                self.record_wait(now, &job, reason.clone());
            }
            return;
        }
        self.settle_preemptions();
        let vms = self.open_vms(now);
        let (jobs, queue) = self.collect_demands(now, unix_ms, &vms);
        self.run_round(now, vms, jobs, queue);
    }

    /// Reason why no task at all can be placed, if there is one.
    fn global_wait_reason(&self, now: Moment) -> Option<WaitReason> {
        if self.config.data_centre(&self.data_centre) == DataCentreState::Out {
            return Some(WaitReason::DataCentreOut);
        }
        if self.tasks_view.age(now).is_none_or(|age| age > MAX_CONFIG_AGE) {
            return Some(WaitReason::LogUnreachable);
        }
        if !self.config_view.allows_start(now) {
            return Some(WaitReason::ConfigurationStale);
        }
        None
    }

    fn open_vms(&self, now: Moment) -> Vec<OpenVm> {
        let mut open = Vec::new();
        for (vm, agent) in &self.agents {
            let health = self.history.health(vm, now);
            let quarantined = matches!(health, VmHealth::Quarantined(_));
            if quarantined || !agent.accepts_tasks(now) || !self.lease_is_short(vm, now) {
                continue;
            }
            let load = self.index.vm(vm);
            let probing = health == VmHealth::Probing;
            let occupied = load.is_some_and(|load| !load.tasks.is_empty());
            if probing && (occupied || self.appends.reserved(vm) != ResourceVector::ZERO) {
                continue;
            }
            let committed = load.map_or(ResourceVector::ZERO, |load| load.committed);
            let used =
                committed.saturating_add(self.appends.reserved(vm)).saturating_add(agent.orphaned);
            let kinds =
                if self.interference.is_empty() { IndexMap::new() } else { self.kinds_on(vm) };
            open.push(OpenVm {
                vm: vm.clone(),
                rack: agent.identity.rack.clone(),
                capacity: agent.capacity,
                free: agent.capacity.saturating_sub(used),
                kinds,
                probing,
                protected: agent.escalation.step() != PressureStep::Unrestricted,
                reserved: self.is_preempting(vm),
            });
        }
        let count = self.ramp.open_vms(now, open.len());
        open.truncate(count);
        open
    }

    fn kinds_on(&self, vm: &VmName) -> IndexMap<TaskKind, u32> {
        let mut kinds: IndexMap<TaskKind, u32> = IndexMap::new();
        for task in self.index.vm(vm).into_iter().flat_map(|load| load.tasks.values()) {
            let Some(spec) = self.spec(&task.job) else { continue };
            match kinds.get_mut(&spec.kind) {
                Some(count) => *count += 1,
                None => {
                    kinds.insert(spec.kind.clone(), 1);
                }
            }
        }
        kinds
    }

    /// Largest capacity of a known VM.
    pub(super) fn largest_capacity(&self) -> ResourceVector {
        self.agents.values().fold(ResourceVector::ZERO, |largest, agent| {
            if largest.can_fit(agent.capacity) { largest } else { max(largest, agent.capacity) }
        })
    }

    /// Whether some known VM could hold `need` if it were empty.
    pub(super) fn some_vm_holds(&self, need: ResourceVector) -> bool {
        self.agents.values().any(|agent| agent.capacity.can_fit(need))
    }

    /// Number of VMs that could run a task of `need` if they were empty; `usize::MAX`
    /// while some agents may not have reported yet.
    pub(super) fn usable_vms(&self, now: Moment, need: ResourceVector) -> usize {
        if !self.agents_reported(now) {
            return usize::MAX;
        }
        let usable = self.agents.iter().filter(|(vm, agent)| {
            let healthy = self.history.health(vm, now) == VmHealth::Healthy;
            healthy && !agent.silent && !agent.draining && agent.capacity.can_fit(need)
        });
        usable.count()
    }

    /// Resources to commit for a task of the job, given the `learned` need.
    ///
    /// At home this is the learned need, if the plan's allowance and some VM could hold
    /// it. Otherwise, and away from home, it is limited to the declared need, which the
    /// home shard reserves in the plan's allowance.
    fn committed_need(
        &self,
        spec: &JobSpec,
        home: bool,
        learned: ResourceVector,
    ) -> ResourceVector {
        if !home {
            return min(learned, spec.need);
        }
        let allowed = self
            .config
            .allowance(&spec.id.plan)
            .is_none_or(|allowance| allowance.batch.can_fit(learned));
        if allowed && self.some_vm_holds(learned) { learned } else { min(learned, spec.need) }
    }

    fn collect_demands(
        &mut self,
        now: Moment,
        unix_ms: Millis,
        vms: &[OpenVm],
    ) -> (Vec<OpenJob>, FairQueue) {
        let mut plans: IndexMap<PlanName, PlanShare> = IndexMap::new();
        let mut jobs = Vec::new();
        let mut expected: HashMap<ExpectedKey, (ResourceVector, Millis)> = HashMap::new();
        let mut demands = Vec::new();
        let pending: Vec<JobId> = self.index.pending().keys().cloned().collect();
        for job in pending {
            let Some((spec, home, since)) = self.placeable(now, &job) else { continue };
            let Some(next) = self.next_task(now, &job, 0) else {
                if self.is_backing_off(now, &job) {
                    self.record_wait(now, &job, WaitReason::Backoff);
                }
                continue;
            };
            let weight = self.config.plan(&job.plan).map_or(1, |plan| plan.weight);
            let used = self.index.local_usage(&job.plan);
            let slot = plans.entry(job.plan.clone());
            let plan = slot.index();
            slot.or_insert(PlanShare { weight, used });
            // Most jobs of one kind declare the same need, and learned estimates are
            // quantiles that are costly to compute.
            let key = (spec.kind.clone(), spec.need, spec.run_time_ms);
            let (learned, run_time) = *expected.entry(key).or_insert_with(|| {
                let run_time = self.learner.run_time(&spec.kind, spec.run_time_ms);
                (self.learner.need(&spec.kind, spec.need), run_time)
            });
            let need = self.committed_need(&spec, home, learned);
            demands.push(JobDemand {
                plan,
                urgent: has_precedence(&spec),
                slack: DeadlineSlack::new(spec.deadline_unix_ms, run_time, unix_ms),
                run_time,
                since,
                need,
            });
            jobs.push(OpenJob { id: job, need, next, home });
        }
        let total =
            vms.iter().fold(ResourceVector::ZERO, |total, vm| total.saturating_add(vm.capacity));
        (jobs, FairQueue::new(total, plans.into_values().collect(), demands))
    }

    /// Lowest pending task of the job, from index `from` on, that may be placed now.
    fn next_task(&self, now: Moment, job: &JobId, from: u32) -> Option<u32> {
        let mut pending = self.index.pending().get(job)?.range(from..).copied();
        pending.find(|index| {
            let task = TaskId { job: job.clone(), index: *index };
            let delayed = self.backoffs.get(&task).is_some_and(|backoff| now < backoff.until);
            !delayed && !self.is_task_busy(&task)
        })
    }

    fn is_backing_off(&self, now: Moment, job: &JobId) -> bool {
        let first = self.index.pending().get(job).and_then(|tasks| tasks.first());
        let task = first.map(|index| TaskId { job: job.clone(), index: *index });
        let backoff = task.and_then(|task| self.backoffs.get(&task));
        backoff.is_some_and(|backoff| now < backoff.until)
    }

    /// The job's specification, whether this shard is its home, and the offset at which
    /// it entered this shard; `None` if its tasks may not be placed now.
    fn placeable(
        &mut self,
        now: Moment,
        job: &JobId,
    ) -> Option<(std::sync::Arc<JobSpec>, bool, u64)> {
        let status = self.fold.job(job)?;
        if status.cancelled || self.appends.is_busy(&AppendKey::Job(job.clone())) {
            return None;
        }
        let found = (status.spec.clone(), status.home, status.since);
        if let Some(reason) = status.parked.clone() {
            self.record_wait(now, job, WaitReason::Parked(reason));
            return None;
        }
        if let Some(reason) = self.park_reason(now, &found.0, found.1) {
            self.park(job, reason);
            return None;
        }
        Some(found)
    }

    /// Reason to park the job: none of its tasks could run even on empty VMs.
    fn park_reason(&self, now: Moment, spec: &JobSpec, home: bool) -> Option<ParkReason> {
        if home {
            let Some(allowance) = self.config.allowance(&spec.id.plan) else {
                return Some(ParkReason::UnknownPlan);
            };
            if let Some(kind) = allowance.batch.shortage(spec.need) {
                return Some(ParkReason::ExceedsAllowance(kind));
            }
        }
        // A task of another home shard is returned there instead.
        if !home || !self.agents_reported(now) || self.some_vm_holds(spec.need) {
            return None;
        }
        if self.transfers.some_shard_holds(spec.need) {
            return None;
        }
        let kind = self.largest_capacity().shortage(spec.need);
        // If no single kind is short everywhere, no VM has enough of all kinds at once;
        // memory is reported.
        Some(ParkReason::NeverFits(kind.unwrap_or(cactusdoor_core::resource::ResourceKind::Memory)))
    }

    fn run_round(
        &mut self,
        now: Moment,
        mut vms: Vec<OpenVm>,
        mut jobs: Vec<OpenJob>,
        mut queue: FairQueue,
    ) {
        let mut state = RoundState::default();
        let mut placed = 0;
        while let Some(position) = queue.peek() {
            if placed >= ROUND_PLACEMENTS || self.appends.len() >= MAX_OPEN_APPENDS {
                self.placement_due = true;
                break;
            }
            let job = &mut jobs[position];
            let Some(index) = self.next_task(now, &job.id, job.next) else {
                queue.finish(position);
                continue;
            };
            job.next = index + 1;
            let task = TaskId { job: job.id.clone(), index };
            let (need, home) = (job.need, job.home);
            match self.place_task(&task, need, home, &mut vms, &mut state) {
                Ok(()) => {
                    placed += 1;
                    queue.placed(position);
                    self.waits.remove(&task.job);
                }
                Err(WaitReason::NoCapacity)
                    if state.preempted < ROUND_PREEMPTIONS
                        && self.preempt_for(now, &task, need, home, &mut vms) =>
                {
                    state.preempted += 1;
                    self.urgent_due |= state.preempted == ROUND_PREEMPTIONS;
                    self.record_wait(now, &task.job, WaitReason::NoCapacity);
                }
                Err(reason) => {
                    queue.finish(position);
                    self.record_wait(now, &task.job, reason);
                }
            }
        }
    }

    fn place_task(
        &mut self,
        task: &TaskId,
        need: ResourceVector,
        home: bool,
        vms: &mut [OpenVm],
        state: &mut RoundState,
    ) -> Result<(), WaitReason> {
        let Some(epoch) = self.owned_epoch() else { return Err(WaitReason::LogUnreachable) };
        let Some(spec) = self.spec(&task.job).cloned() else { return Err(WaitReason::NoCapacity) };
        let charged = if home { max(need, spec.need) } else { ResourceVector::ZERO };
        if home && !self.allowance_covers(&task.job.plan, charged) {
            return Err(WaitReason::AllowanceUsed);
        }
        let critical = spec.class == JobClass::LatencyCritical;
        let precedence = has_precedence(&spec);
        if state.is_unplaceable((critical, precedence), need) {
            return Err(WaitReason::NoCapacity);
        }
        if !state.racks.contains_key(&task.job) {
            state.racks.insert(task.job.clone(), self.racks_of(&task.job));
        }
        let in_racks = state.racks.entry(task.job.clone()).or_default();
        let job_running: u32 = in_racks.values().sum();
        let candidates = vms.iter().enumerate().filter_map(|(position, open)| {
            let closed = (open.protected && !critical) || (open.reserved && !precedence);
            if closed || !open.free.can_fit(need) {
                return None;
            }
            let residents = open.kinds.iter().map(|(kind, count)| (kind, *count));
            let candidate = VmCandidate {
                capacity: open.capacity,
                free: open.free,
                slowdown_percent: self.interference.expected_slowdown(&spec.kind, residents),
                job_in_rack: in_racks.get(&open.rack).copied().unwrap_or(0),
                job_running,
                failed_here: self.history.has_failed_on(&task.job, &open.vm),
            };
            Some((position, candidate))
        });
        let Some(position) = choose(candidates, need) else {
            state.unplaceable.push(((critical, precedence), need));
            return Err(WaitReason::NoCapacity);
        };
        let open = &mut vms[position];
        open.free =
            if open.probing { ResourceVector::ZERO } else { open.free.saturating_sub(need) };
        if !self.interference.is_empty() {
            *open.kinds.entry(spec.kind.clone()).or_default() += 1;
        }
        *in_racks.entry(open.rack.clone()).or_default() += 1;
        let vm = open.vm.clone();
        let record = TaskRecord::TaskPlaced { epoch, task: task.clone(), vm: vm.clone(), need };
        let append_id = self.append(AppendKey::Task(task.clone()), record, spec.urgent);
        let plan = task.job.plan.clone();
        self.appends.reserve(append_id, PlacementReservation { vm, need, plan, charged });
        Ok(())
    }

    /// Whether the plan may use `need` more, counting placements under way.
    pub(super) fn allowance_covers(&self, plan: &PlanName, need: ResourceVector) -> bool {
        let Some(allowance) = self.config.allowance(plan) else { return false };
        let more = self.appends.charged(plan).saturating_add(need);
        self.index.allowances().shortage(plan, allowance.batch, more).is_none()
    }

    /// Running tasks of the job by rack.
    fn racks_of(&self, job: &JobId) -> HashMap<RackName, u32> {
        let mut racks = HashMap::new();
        for (vm, count) in self.index.spread(job) {
            if let Some(agent) = self.agents.get(vm) {
                *racks.entry(agent.identity.rack.clone()).or_default() += count;
            }
        }
        racks
    }

    /// Records why the job's next task is not placed.
    pub(super) fn record_wait(&mut self, now: Moment, job: &JobId, reason: WaitReason) {
        if self.waits.get(job).is_some_and(|(known, _)| *known == reason) {
            return;
        }
        self.waits.insert(job.clone(), (reason.clone(), now));
        let first = self.index.pending().get(job).and_then(|tasks| tasks.first());
        if let Some(index) = first.copied() {
            let task = TaskId { job: job.clone(), index };
            self.push_event(EventKind::TaskWaits { task, reason });
        }
    }
}
