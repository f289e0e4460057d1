//! Placement rounds: which pending tasks get which VMs.

use std::collections::HashMap;

use cactusdoor_core::config::DataCentreState;
use cactusdoor_core::constants::CONFIG_FRESHNESS;
use cactusdoor_core::job::{JobClass, JobId, JobSpec, ParkReason, TaskId};
use cactusdoor_core::name::{PlanName, RackName, TaskKind, VmName};
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::shard::TaskRecord;
use cactusdoor_core::unit::{Millis, Moment};
use cactusdoor_policy::placement::allowance::{max, min};
use cactusdoor_policy::placement::attribution::VmStanding;
use cactusdoor_policy::placement::choice::{VmOffer, choose};
use cactusdoor_policy::placement::eviction::PressureStep;
use cactusdoor_policy::placement::order::{DeadlineSlack, FairQueue, JobDemand, PlanShare};
use cactusdoor_timeline::event::{EventKind, WaitReason};
use indexmap::IndexMap;

use super::ShardBook;
use super::append::{AppendKey, PlacementHold};
use super::preempting::has_precedence;

/// Most placements in one round, so that a round stays within milliseconds.
const ROUND_PLACEMENTS: usize = 512;
/// Most tasks for which room is made in one round: each looks at all tasks of the
/// shard.
const ROUND_PREEMPTIONS: usize = 32;
/// Most appends under way; beyond it the log is the bottleneck.
const MAX_OPEN_APPENDS: usize = 2_048;
/// Least time between rounds, unless urgent work arrives: a round costs the same
/// however little has changed.
const ROUND_PAUSE: Millis = 200;
/// Time after which a round is repeated although nothing changed: backoffs end
/// and deadlines come closer.
const ROUND_INTERVAL: Millis = 500;

/// What the expected need and run time of a job depend on.
type ExpectedKey = (TaskKind, ResourceVector, Millis);

/// A VM that takes tasks in this round.
pub(super) struct OpenVm {
    pub vm: VmName,
    rack: RackName,
    pub capacity: ResourceVector,
    pub free: ResourceVector,
    /// Kinds of the tasks there, with their numbers.
    kinds: IndexMap<TaskKind, u32>,
    /// Takes no more than one task, as a probe.
    pub probing: bool,
    /// Takes no tasks that may be held back, to protect latency-critical ones.
    pub protected: bool,
    /// Room is being made there; takes only tasks with precedence.
    pub reserved: bool,
}

/// A job with tasks to place.
struct OpenJob {
    id: JobId,
    need: ResourceVector,
    /// Lowest index that was not looked at in this round.
    next: u32,
    home: bool,
}

/// What a round remembers between its placements.
#[derive(Default)]
struct RoundMemory {
    /// Running tasks per job and rack.
    racks: HashMap<JobId, HashMap<RackName, u32>>,
    /// Needs for which there was no room, by class and precedence of the job.
    too_large: Vec<((bool, bool), ResourceVector)>,
    /// Tasks for which room is being made.
    preempted: usize,
}

impl RoundMemory {
    fn has_no_room(&self, rank: (bool, bool), need: ResourceVector) -> bool {
        self.too_large.iter().any(|(other, failed)| *other == rank && need.holds(*failed))
    }
}

impl ShardBook {
    /// Runs a placement round if one is due.
    pub(super) fn place(&mut self, now: Moment, unix_ms: Millis) {
        let pause = match (self.urgent_due, self.placing_due) {
            (true, _) => 0,
            (false, true) => ROUND_PAUSE,
            (false, false) => ROUND_INTERVAL,
        };
        if now.since(self.last_round) < pause || self.tenure().is_none() || self.handing_back {
            return;
        }
        self.placing_due = false;
        self.urgent_due = false;
        self.last_round = now;
        if self.index.pending().is_empty() {
            return;
        }
        if let Some(reason) = self.standstill(now) {
            let jobs: Vec<JobId> = self.index.pending().keys().cloned().collect();
            for job in jobs {
                self.wait(now, &job, reason.clone());
            }
            return;
        }
        self.settle_preemptions();
        let vms = self.open_vms(now);
        let (jobs, queue) = self.demands(now, unix_ms, &vms);
        self.round(now, vms, jobs, queue);
    }

    /// Why nothing at all can be placed.
    fn standstill(&self, now: Moment) -> Option<WaitReason> {
        if self.config.data_centre(&self.data_centre) == DataCentreState::Out {
            return Some(WaitReason::DataCentreOut);
        }
        if self.tasks_view.age(now).is_none_or(|age| age > CONFIG_FRESHNESS) {
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
            let standing = self.ledger.standing(vm, now);
            let held_back = matches!(standing, VmStanding::HeldBack(_));
            if held_back || !agent.takes_tasks(now) || !self.grant_is_short(vm, now) {
                continue;
            }
            let load = self.index.vm(vm);
            let probing = standing == VmStanding::Probing;
            let occupied = load.is_some_and(|load| !load.tasks.is_empty());
            if probing && (occupied || self.appends.held(vm) != ResourceVector::ZERO) {
                continue;
            }
            let committed = load.map_or(ResourceVector::ZERO, |load| load.committed);
            let taken = committed.saturating_add(self.appends.held(vm)).saturating_add(agent.stray);
            let kinds = if self.pairs.is_empty() { IndexMap::new() } else { self.kinds_on(vm) };
            open.push(OpenVm {
                vm: vm.clone(),
                rack: agent.identity.rack.clone(),
                capacity: agent.capacity,
                free: agent.capacity.saturating_sub(taken),
                kinds,
                probing,
                protected: agent.escalation.step() != PressureStep::Free,
                reserved: self.is_preempting(vm),
            });
        }
        let count = self.ramp.open(now, open.len());
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
            if largest.holds(agent.capacity) { largest } else { max(largest, agent.capacity) }
        })
    }

    /// Whether some known VM could hold `need` if it were empty.
    pub(super) fn some_vm_holds(&self, need: ResourceVector) -> bool {
        self.agents.values().any(|agent| agent.capacity.holds(need))
    }

    /// Number of VMs that could run a task of `need` if they were empty; unbounded
    /// while agents may not have reported yet.
    pub(super) fn usable_vms(&self, now: Moment, need: ResourceVector) -> usize {
        if !self.knows_its_vms(now) {
            return usize::MAX;
        }
        let usable = self.agents.iter().filter(|(vm, agent)| {
            let good = self.ledger.standing(vm, now) == VmStanding::Good;
            good && !agent.silent && !agent.draining && agent.capacity.holds(need)
        });
        usable.count()
    }

    /// The amount to commit for a task of the job, from the `learned` one.
    ///
    /// Away from home it stays within the declared need, which is what the home
    /// shard reserves in the plan's allowance. It also stays within what the
    /// plan and some VM can hold at all, as far as the declared need does.
    fn need(&self, spec: &JobSpec, home: bool, learned: ResourceVector) -> ResourceVector {
        if !home {
            return min(learned, spec.need);
        }
        let allowed = self
            .config
            .allowance(&spec.id.plan)
            .is_none_or(|allowance| allowance.batch.holds(learned));
        if allowed && self.some_vm_holds(learned) { learned } else { min(learned, spec.need) }
    }

    fn demands(
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
                    self.wait(now, &job, WaitReason::Backoff);
                }
                continue;
            };
            let weight = self.config.plan(&job.plan).map_or(1, |plan| plan.weight);
            let used = self.index.local_use(&job.plan);
            let entry = plans.entry(job.plan.clone());
            let plan = entry.index();
            entry.or_insert(PlanShare { weight, used });
            // Jobs of one kind mostly declare the same, and learned figures are
            // quantiles that are not computed for free.
            let key = (spec.kind.clone(), spec.need, spec.run_time_ms);
            let (learned, run_time) = *expected.entry(key).or_insert_with(|| {
                let run_time = self.learner.run_time(&spec.kind, spec.run_time_ms);
                (self.learner.need(&spec.kind, spec.need), run_time)
            });
            let need = self.need(&spec, home, learned);
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

    /// The lowest pending task of the job from `from` on that may be placed now.
    fn next_task(&self, now: Moment, job: &JobId, from: u32) -> Option<u32> {
        let mut pending = self.index.pending().get(job)?.range(from..).copied();
        pending.find(|index| {
            let task = TaskId { job: job.clone(), index: *index };
            let waits = self.backoffs.get(&task).is_some_and(|backoff| now < backoff.until);
            !waits && !self.is_task_busy(&task)
        })
    }

    fn is_backing_off(&self, now: Moment, job: &JobId) -> bool {
        let first = self.index.pending().get(job).and_then(|tasks| tasks.first());
        let task = first.map(|index| TaskId { job: job.clone(), index: *index });
        let backoff = task.and_then(|task| self.backoffs.get(&task));
        backoff.is_some_and(|backoff| now < backoff.until)
    }

    /// The job's specification if its tasks may be placed now.
    fn placeable(
        &mut self,
        now: Moment,
        job: &JobId,
    ) -> Option<(std::sync::Arc<JobSpec>, bool, u64)> {
        let entry = self.fold.job(job)?;
        if entry.cancelled || self.appends.is_busy(&AppendKey::Job(job.clone())) {
            return None;
        }
        let found = (entry.spec.clone(), entry.home, entry.since);
        if let Some(reason) = entry.parked.clone() {
            self.wait(now, job, WaitReason::Parked(reason));
            return None;
        }
        if let Some(reason) = self.never(now, &found.0, found.1) {
            self.park(job, reason);
            return None;
        }
        Some(found)
    }

    /// Why no task of the job can run, whatever else ends.
    fn never(&self, now: Moment, spec: &JobSpec, home: bool) -> Option<ParkReason> {
        if home {
            let Some(allowance) = self.config.allowance(&spec.id.plan) else {
                return Some(ParkReason::UnknownPlan);
            };
            if let Some(kind) = allowance.batch.shortage(spec.need) {
                return Some(ParkReason::ExceedsAllowance(kind));
            }
        }
        // A task that came from another shard goes back there instead.
        if !home || !self.knows_its_vms(now) || self.some_vm_holds(spec.need) {
            return None;
        }
        if self.moves.some_shard_holds(spec.need) {
            return None;
        }
        let kind = self.largest_capacity().shortage(spec.need);
        // No single VM has enough of everything at once; memory is named then.
        Some(ParkReason::NeverFits(kind.unwrap_or(cactusdoor_core::resource::ResourceKind::Memory)))
    }

    fn round(
        &mut self,
        now: Moment,
        mut vms: Vec<OpenVm>,
        mut jobs: Vec<OpenJob>,
        mut queue: FairQueue,
    ) {
        let mut memory = RoundMemory::default();
        let mut placed = 0;
        while let Some(position) = queue.peek() {
            if placed >= ROUND_PLACEMENTS || self.appends.len() >= MAX_OPEN_APPENDS {
                self.placing_due = true;
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
            match self.place_task(&task, need, home, &mut vms, &mut memory) {
                Ok(()) => {
                    placed += 1;
                    queue.placed(position);
                    self.waits.remove(&task.job);
                }
                Err(WaitReason::NoRoom)
                    if memory.preempted < ROUND_PREEMPTIONS
                        && self.preempt_for(now, &task, need, home, &mut vms) =>
                {
                    memory.preempted += 1;
                    self.urgent_due |= memory.preempted == ROUND_PREEMPTIONS;
                    self.wait(now, &task.job, WaitReason::NoRoom);
                }
                Err(reason) => {
                    queue.finish(position);
                    self.wait(now, &task.job, reason);
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
        memory: &mut RoundMemory,
    ) -> Result<(), WaitReason> {
        let Some(epoch) = self.owned_epoch() else { return Err(WaitReason::LogUnreachable) };
        let Some(spec) = self.spec(&task.job).cloned() else { return Err(WaitReason::NoRoom) };
        let charged = if home { max(need, spec.need) } else { ResourceVector::ZERO };
        if home && !self.allowance_covers(&task.job.plan, charged) {
            return Err(WaitReason::AllowanceUsed);
        }
        let critical = spec.class == JobClass::LatencyCritical;
        let precedence = has_precedence(&spec);
        if memory.has_no_room((critical, precedence), need) {
            return Err(WaitReason::NoRoom);
        }
        if !memory.racks.contains_key(&task.job) {
            memory.racks.insert(task.job.clone(), self.racks_of(&task.job));
        }
        let in_racks = memory.racks.entry(task.job.clone()).or_default();
        let job_running: u32 = in_racks.values().sum();
        let offers = vms.iter().enumerate().filter_map(|(position, open)| {
            let closed = (open.protected && !critical) || (open.reserved && !precedence);
            if closed || !open.free.holds(need) {
                return None;
            }
            let residents = open.kinds.iter().map(|(kind, count)| (kind, *count));
            let offer = VmOffer {
                capacity: open.capacity,
                free: open.free,
                slowdown_percent: self.pairs.added(&spec.kind, residents),
                job_in_rack: in_racks.get(&open.rack).copied().unwrap_or(0),
                job_running,
                failed_here: self.ledger.has_failed_on(&task.job, &open.vm),
            };
            Some((position, offer))
        });
        let Some(position) = choose(offers, need) else {
            memory.too_large.push(((critical, precedence), need));
            return Err(WaitReason::NoRoom);
        };
        let open = &mut vms[position];
        open.free =
            if open.probing { ResourceVector::ZERO } else { open.free.saturating_sub(need) };
        if !self.pairs.is_empty() {
            *open.kinds.entry(spec.kind.clone()).or_default() += 1;
        }
        *in_racks.entry(open.rack.clone()).or_default() += 1;
        let vm = open.vm.clone();
        let record = TaskRecord::TaskPlaced { epoch, task: task.clone(), vm: vm.clone(), need };
        let ticket = self.append(AppendKey::Task(task.clone()), record, spec.urgent);
        let plan = task.job.plan.clone();
        self.appends.hold(ticket, PlacementHold { vm, need, plan, charged });
        Ok(())
    }

    /// Whether the plan may use `need` more, with what is being placed.
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

    /// Notes why a job's next task is not placed.
    pub(super) fn wait(&mut self, now: Moment, job: &JobId, reason: WaitReason) {
        if self.waits.get(job).is_some_and(|(known, _)| *known == reason) {
            return;
        }
        self.waits.insert(job.clone(), (reason.clone(), now));
        let first = self.index.pending().get(job).and_then(|tasks| tasks.first());
        if let Some(index) = first.copied() {
            let task = TaskId { job: job.clone(), index };
            self.event(EventKind::TaskWaits { task, reason });
        }
    }
}
