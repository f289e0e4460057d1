//! Decides whether repeated failures are caused by a VM or by a job.
//!
//! A VM is quarantined when several jobs fail on it without a success in between, or
//! when several tasks fail on it in a row and the job of the last one has succeeded
//! before. A job is parked when it fails on several VMs. If fewer VMs can run the job,
//! it must fail on all of them, with the same number of failures in total. When a VM
//! is quarantined, the failures on it no longer count against the jobs, because the VM
//! is the likely cause.

use cactusdoor_core::job::JobId;
use cactusdoor_core::name::VmName;
use cactusdoor_core::unit::{Millis, Moment};
use indexmap::{IndexMap, IndexSet};

/// Distinct jobs that must fail on a VM before it is quarantined.
pub const JOBS_TO_QUARANTINE_VM: usize = 3;
/// Consecutive failures that quarantine a VM if the job has succeeded before.
pub const FAILURES_TO_QUARANTINE_VM: u32 = 5;
/// Failures of a job, and distinct VMs it must fail on, before it is parked.
pub const VMS_TO_PARK_JOB: usize = 3;
/// Length of a first quarantine or parking; each further one is twice as long.
pub const FIRST_BACKOFF: Millis = 30_000;
/// Longest quarantine or parking.
pub const LONGEST_BACKOFF: Millis = 3_600_000;
/// Age beyond which a failure no longer counts.
pub const FAILURE_LIFETIME: Millis = 600_000;

/// Whether a VM may be given tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmHealth {
    Healthy,
    /// No tasks until this moment.
    Quarantined(Moment),
    /// One task at a time, to test whether the VM has recovered.
    Probing,
}

/// Conclusion drawn from a failure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FailureVerdict {
    Undecided,
    /// The VM is quarantined, with this many failures since its last success.
    VmQuarantined {
        failures: u32,
    },
    /// The job is parked; it failed on this many VMs.
    JobFailsEverywhere {
        vms: u32,
    },
}

#[derive(Clone, Debug, Default)]
struct VmRecord {
    /// Last failure of each job.
    failed: IndexMap<JobId, Moment>,
    failures: u32,
    consecutive: u32,
    quarantined_until: Option<Moment>,
    backoff: Millis,
}

/// Failures of a job on one VM.
#[derive(Clone, Copy, Debug, Default)]
struct JobFailures {
    last: Moment,
    count: usize,
}

#[derive(Clone, Debug, Default)]
struct JobRecord {
    failed_on: IndexMap<VmName, JobFailures>,
    /// Whether a task of the job has completed on any VM.
    has_succeeded: bool,
    parked_until: Option<Moment>,
    backoff: Millis,
}

/// Recent failures by VM and by job.
#[derive(Clone, Debug, Default)]
pub struct FailureHistory {
    vms: IndexMap<VmName, VmRecord>,
    jobs: IndexMap<JobId, JobRecord>,
}

impl FailureHistory {
    #[must_use]
    pub fn health(&self, vm: &VmName, now: Moment) -> VmHealth {
        match self.vms.get(vm).and_then(|record| record.quarantined_until) {
            None => VmHealth::Healthy,
            Some(until) if now < until => VmHealth::Quarantined(until),
            Some(_) => VmHealth::Probing,
        }
    }

    /// Records a failure of `job` on `vm`; `usable` is the number of VMs that can run it.
    pub fn failed(
        &mut self,
        vm: &VmName,
        job: &JobId,
        usable: usize,
        now: Moment,
    ) -> FailureVerdict {
        let record = self.vms.entry(vm.clone()).or_default();
        record.failures += 1;
        record.consecutive += 1;
        if record.quarantined_until.is_some() {
            // Either the probe failed, or a task placed before the quarantine.
            if record.quarantined_until.is_some_and(|until| now >= until) {
                record.quarantine(now);
            }
            return FailureVerdict::VmQuarantined { failures: record.failures };
        }
        record.failed.retain(|_, at| now.since(*at) <= FAILURE_LIFETIME);
        record.failed.insert(job.clone(), now);
        let has_succeeded = self.jobs.get(job).is_some_and(|record| record.has_succeeded);
        if record.failed.len() >= JOBS_TO_QUARANTINE_VM
            || (has_succeeded && record.consecutive >= FAILURES_TO_QUARANTINE_VM)
        {
            record.quarantine(now);
            let failures = record.failures;
            let failed_jobs: IndexSet<JobId> = record.failed.keys().cloned().collect();
            for job in &failed_jobs {
                if let Some(record) = self.jobs.get_mut(job) {
                    record.failed_on.swap_remove(vm);
                }
            }
            return FailureVerdict::VmQuarantined { failures };
        }
        self.record_job_failure(vm, job, usable, now)
    }

    fn record_job_failure(
        &mut self,
        vm: &VmName,
        job: &JobId,
        usable: usize,
        now: Moment,
    ) -> FailureVerdict {
        let record = self.jobs.entry(job.clone()).or_default();
        record.failed_on.retain(|_, failures| now.since(failures.last) <= FAILURE_LIFETIME);
        let here = record.failed_on.entry(vm.clone()).or_default();
        *here = JobFailures { last: now, count: here.count + 1 };
        let total: usize = record.failed_on.values().map(|failures| failures.count).sum();
        let enough_vms = record.failed_on.len() >= VMS_TO_PARK_JOB.min(usable);
        if !enough_vms || total < VMS_TO_PARK_JOB {
            return FailureVerdict::Undecided;
        }
        let vms = u32::try_from(record.failed_on.len()).unwrap_or(u32::MAX);
        record.backoff = next_backoff(record.backoff);
        record.parked_until = Some(now.after(record.backoff));
        let failed_on: Vec<VmName> = record.failed_on.drain(..).map(|(vm, _)| vm).collect();
        // The job is the cause, so its failures no longer count against the VMs.
        for vm in &failed_on {
            if let Some(record) = self.vms.get_mut(vm) {
                record.failed.swap_remove(job);
            }
        }
        FailureVerdict::JobFailsEverywhere { vms }
    }

    /// Records a completed task on `vm`; `true` if that ends a quarantine.
    pub fn succeeded(&mut self, vm: &VmName, job: &JobId) -> bool {
        let record = JobRecord { has_succeeded: true, ..JobRecord::default() };
        self.jobs.insert(job.clone(), record);
        self.vms.swap_remove(vm).is_some_and(|record| record.quarantined_until.is_some())
    }

    /// Whether a task of `job` failed on `vm` recently.
    #[must_use]
    pub fn has_failed_on(&self, job: &JobId, vm: &VmName) -> bool {
        self.jobs.get(job).is_some_and(|record| record.failed_on.contains_key(vm))
    }

    /// When a parked job is retried; `None` if this owner did not park it.
    #[must_use]
    pub fn parked_until(&self, job: &JobId) -> Option<Moment> {
        self.jobs.get(job)?.parked_until
    }

    /// Restores a job that an earlier owner parked; returns when it is retried.
    pub fn restore_parked(&mut self, job: &JobId, now: Moment) -> Moment {
        let record = self.jobs.entry(job.clone()).or_default();
        record.backoff = record.backoff.max(FIRST_BACKOFF);
        *record.parked_until.get_or_insert(now.after(record.backoff))
    }

    /// Ends the parking of a job; its next one lasts longer.
    pub fn unpark(&mut self, job: &JobId) {
        if let Some(record) = self.jobs.get_mut(job) {
            record.parked_until = None;
        }
    }

    /// Drops the record of a job that has ended.
    pub fn forget_job(&mut self, job: &JobId) {
        self.jobs.swap_remove(job);
    }

    /// Number of VMs that are quarantined or probing.
    #[must_use]
    pub fn quarantined(&self) -> usize {
        self.vms.values().filter(|record| record.quarantined_until.is_some()).count()
    }
}

impl VmRecord {
    fn quarantine(&mut self, now: Moment) {
        self.backoff = next_backoff(self.backoff);
        self.quarantined_until = Some(now.after(self.backoff));
    }
}

fn next_backoff(last: Millis) -> Millis {
    if last == 0 { FIRST_BACKOFF } else { (2 * last).min(LONGEST_BACKOFF) }
}
