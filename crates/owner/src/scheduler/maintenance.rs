//! Decisions triggered by the timer: expired leases, parked jobs, reduced allowances, and
//! jobs and agents to forget.

use cactusdoor_core::constants::{
    ENDED_JOB_LIFETIME, OUTAGE_LEASE, TASK_LEASE, with_lease_margins,
};
use cactusdoor_core::job::{JobId, ParkReason, PlacementEnd, TaskId};
use cactusdoor_core::name::{PlanName, VmName};
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::shard::TaskRecord;
use cactusdoor_core::unit::{Millis, Moment, Token};
use cactusdoor_peer::task::StopMode;
use cactusdoor_policy::placement::allowance::max;
use cactusdoor_timeline::EventKind;
use indexmap::IndexMap;

use super::ShardScheduler;
use super::append::AppendKey;

/// Time after a claim by which the agents of the shard have reported.
const REPORT_TIME: Millis = 10_000;
/// Interval of the checks on parked, cancelled and ended jobs, silent agents, allowances
/// and transfers.
const CHECK_INTERVAL: Millis = 1_000;

impl ShardScheduler {
    /// Runs everything that is due; called several times a second.
    pub fn tick(&mut self, now: Moment, unix_ms: Millis) {
        if self.tenure().is_none() {
            return;
        }
        self.detect_silence(now);
        self.maintain_witness(now);
        self.expire_leases(now);
        self.send_stops(now);
        self.retry_starts(now);
        if self.transfers.pass_due(now, CHECK_INTERVAL) {
            self.release_parked(now);
            self.stop_all_cancelled(now);
            self.forget_ended(now);
            self.forget_agents(now);
            // With an out-of-date configuration, a data centre may appear out of service,
            // or an allowance too small.
            if self.config_view.allows_start(now) {
                self.enforce_allowances(now);
                self.plan_transfers(now);
            }
        }
        self.send_transfers(now);
        self.place(now, unix_ms);
    }

    /// Ends the placements on VMs whose leases have certainly expired.
    fn expire_leases(&mut self, now: Moment) {
        let expired: Vec<VmName> = self
            .index
            .vms()
            .filter(|(vm, load)| !load.tasks.is_empty() && now >= self.certain_expiry(vm))
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in expired {
            let load = self.index.vm(&vm);
            let tasks: Vec<(Token, TaskId)> = load
                .into_iter()
                .flat_map(|load| load.tasks.iter().map(|(token, task)| (*token, task.clone())))
                .filter(|(_, task)| !self.is_task_busy(task))
                .collect();
            if tasks.is_empty() {
                continue;
            }
            for (token, task) in tasks {
                self.record_end(&task, token, PlacementEnd::Lapsed);
            }
            let shard = self.settings.shard.clone();
            self.push_event(EventKind::LeaseLapsed { vm, shard });
        }
    }

    /// Whether the agents of the shard had time to report.
    pub(super) fn agents_reported(&self, now: Moment) -> bool {
        let since = self.tenure().map(|tenure| tenure.since);
        !self.agents.is_empty() && since.is_some_and(|since| now.since(since) >= REPORT_TIME)
    }

    pub(super) fn park(&mut self, job: &JobId, reason: ParkReason) {
        let Some(epoch) = self.owned_epoch() else { return };
        let key = AppendKey::Job(job.clone());
        if !self.appends.is_busy(&key) {
            let record = TaskRecord::JobParked { epoch, job: job.clone(), reason };
            self.append(key, record, false);
        }
    }

    fn release_parked(&mut self, now: Moment) {
        let parked: Vec<(JobId, ParkReason)> = self
            .index
            .pending()
            .keys()
            .filter_map(|job| Some((job.clone(), self.fold.job(job)?.parked.clone()?)))
            .collect();
        for (job, reason) in parked {
            let Some(status) = self.fold.job(&job) else { continue };
            let (need, home) = (status.spec.need, status.home);
            let allowance = self.config.allowance(&job.plan).map(|allowance| allowance.batch);
            let free = match reason {
                ParkReason::UnknownPlan => !home || allowance.is_some(),
                ParkReason::ExceedsAllowance(_) => {
                    !home || allowance.is_some_and(|limit| limit.can_fit(need))
                }
                ParkReason::NeverFits(_) => {
                    self.some_vm_holds(need) || self.transfers.some_shard_holds(need)
                }
                ParkReason::FailsEverywhere { .. } => {
                    let until = self.history.parked_until(&job);
                    now >= until.unwrap_or_else(|| self.history.restore_parked(&job, now))
                }
            };
            let key = AppendKey::Job(job.clone());
            if let (true, Some(epoch)) = (free && !self.appends.is_busy(&key), self.owned_epoch()) {
                self.append(key, TaskRecord::JobReleased { epoch, job }, false);
            }
        }
    }

    /// Stops the tasks of all cancelled jobs, also of those cancelled before the claim.
    fn stop_all_cancelled(&mut self, now: Moment) {
        let cancelled: Vec<JobId> = self.index.cancelled().iter().cloned().collect();
        for job in cancelled {
            self.stop_cancelled(now, &job);
        }
    }

    /// Stops the newest tasks of plans that exceed a reduced allowance.
    fn enforce_allowances(&mut self, now: Moment) {
        let mut surplus: IndexMap<PlanName, ResourceVector> = IndexMap::new();
        for (plan, used) in self.index.allowances().plans() {
            let limit = self.config.allowance(plan).map(|allowance| allowance.batch);
            let limit = limit.unwrap_or(ResourceVector::ZERO);
            if !limit.can_fit(used) {
                surplus.insert(plan.clone(), used.saturating_sub(limit));
            }
        }
        if surplus.is_empty() {
            return;
        }
        let mut placed: Vec<(Token, TaskId, VmName)> = Vec::new();
        for (vm, load) in self.index.vms() {
            for (token, task) in &load.tasks {
                let home = self.fold.job(&task.job).is_some_and(|job| job.home);
                if home && surplus.contains_key(&task.job.plan) {
                    placed.push((*token, task.clone(), vm.clone()));
                }
            }
        }
        // Stops under way are counted first, so that no further tasks are stopped for the
        // same excess.
        placed.sort_by_key(|(token, _, _)| {
            (!self.pending_stops.contains_key(token), std::cmp::Reverse(*token))
        });
        for (token, task, vm) in placed {
            let (Some(remaining), Some(placement), Some(spec)) = (
                surplus.get_mut(&task.job.plan),
                self.index.placement(&task),
                self.fold.job(&task.job).map(|job| job.spec.clone()),
            ) else {
                continue;
            };
            if *remaining != ResourceVector::ZERO {
                *remaining = remaining.saturating_sub(max(placement.need, spec.need));
                self.request_stop(now, token, &task, &vm, StopMode::CheckpointAndStop);
            }
        }
        self.send_stops(now);
    }

    /// Forgets jobs that ended in this shard, or left it, `ENDED_JOB_LIFETIME` ago.
    ///
    /// A job that left is kept as long as one that ended, because a repetition of
    /// an earlier transfer must find the higher move number until then.
    fn forget_ended(&mut self, now: Moment) {
        let Some(epoch) = self.owned_epoch() else { return };
        let completed: Vec<JobId> = self.index.completed().iter().cloned().collect();
        for job in completed {
            let since = *self.ended_since.entry(job.clone()).or_insert(now);
            let key = AppendKey::Job(job.clone());
            if now.since(since) >= ENDED_JOB_LIFETIME && !self.appends.is_busy(&key) {
                self.append(key, TaskRecord::JobForgotten { epoch, job }, false);
            }
        }
    }

    /// Forgets agents that have been silent beyond the longest lease and hold no tasks.
    fn forget_agents(&mut self, now: Moment) {
        let retention = with_lease_margins(OUTAGE_LEASE.max(TASK_LEASE));
        let gone: Vec<VmName> = self
            .agents
            .iter()
            .filter(|(vm, agent)| {
                let idle = self.index.vm(vm).is_none_or(|load| load.tasks.is_empty());
                // An abandoned start may still arrive after the agent is back.
                idle && agent.fences.is_empty() && now.since(agent.last_heartbeat) >= retention
            })
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in gone {
            self.agents.swap_remove(&vm);
            self.pending_stops.retain(|_, pending_stop| pending_stop.vm != vm);
        }
    }
}
