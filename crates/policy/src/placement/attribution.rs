//! Tells a worker that fails everything from a job that fails everywhere.
//!
//! Failures of several jobs on one VM, without a success in between, hold the VM
//! back, and so does a row of failures of a job that succeeds elsewhere. Failures
//! of one job on several VMs park the job. Where fewer VMs can run it, it must fail
//! on all of them, and as often in total. A failure on a VM that is held back says
//! nothing about the job, so it is taken off the job's count.

use cactusdoor_core::job::JobId;
use cactusdoor_core::name::VmName;
use cactusdoor_core::unit::{Millis, Moment};
use indexmap::{IndexMap, IndexSet};

/// Jobs that must fail on a VM before it is held back.
pub const JOBS_PER_BAD_VM: usize = 3;
/// Failures in a row that hold a VM back if the job succeeds elsewhere.
pub const FAILURES_PER_BAD_VM: u32 = 5;
/// Failures, and VMs on which a job must fail, before it is parked.
pub const VMS_PER_BAD_JOB: usize = 3;
/// First time for which a VM is held back or a job stays parked.
pub const FIRST_BACKOFF: Millis = 30_000;
/// Longest such time.
pub const LONGEST_BACKOFF: Millis = 3_600_000;
/// Failures older than this do not count.
pub const FAILURE_LIFETIME: Millis = 600_000;

/// What a VM may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmStanding {
    Good,
    /// No tasks until then.
    HeldBack(Moment),
    /// One task at a time, to find out whether the VM works again.
    Probing,
}

/// What a failure led to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FailureVerdict {
    Undecided,
    /// Several jobs failed on the VM.
    VmHeldBack {
        failures: u32,
    },
    /// The job failed on this many VMs.
    JobFailsEverywhere {
        vms: u32,
    },
}

#[derive(Clone, Debug, Default)]
struct VmRecord {
    failed: IndexMap<JobId, Moment>,
    failures: u32,
    /// Failures since the last success.
    streak: u32,
    held_until: Option<Moment>,
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
    /// Whether a task of the job ran to its end.
    works: bool,
    parked_until: Option<Moment>,
    backoff: Millis,
}

/// Failures by VM and by job.
#[derive(Clone, Debug, Default)]
pub struct FailureLedger {
    vms: IndexMap<VmName, VmRecord>,
    jobs: IndexMap<JobId, JobRecord>,
}

impl FailureLedger {
    #[must_use]
    pub fn standing(&self, vm: &VmName, now: Moment) -> VmStanding {
        match self.vms.get(vm).and_then(|record| record.held_until) {
            None => VmStanding::Good,
            Some(until) if now < until => VmStanding::HeldBack(until),
            Some(_) => VmStanding::Probing,
        }
    }

    /// A task of `job`, which `usable` VMs could run, failed on `vm`.
    pub fn failed(
        &mut self,
        vm: &VmName,
        job: &JobId,
        usable: usize,
        now: Moment,
    ) -> FailureVerdict {
        let record = self.vms.entry(vm.clone()).or_default();
        record.failures += 1;
        record.streak += 1;
        if record.held_until.is_some() {
            // A probe failed, or a task placed before the VM was held back.
            if record.held_until.is_some_and(|until| now >= until) {
                record.hold(now);
            }
            return FailureVerdict::VmHeldBack { failures: record.failures };
        }
        record.failed.retain(|_, at| now.since(*at) <= FAILURE_LIFETIME);
        record.failed.insert(job.clone(), now);
        let works = self.jobs.get(job).is_some_and(|record| record.works);
        if record.failed.len() >= JOBS_PER_BAD_VM || (works && record.streak >= FAILURES_PER_BAD_VM)
        {
            record.hold(now);
            let failures = record.failures;
            let blamed: IndexSet<JobId> = record.failed.keys().cloned().collect();
            for job in &blamed {
                if let Some(record) = self.jobs.get_mut(job) {
                    record.failed_on.swap_remove(vm);
                }
            }
            return FailureVerdict::VmHeldBack { failures };
        }
        self.failed_job(vm, job, usable, now)
    }

    fn failed_job(
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
        let enough_vms = record.failed_on.len() >= VMS_PER_BAD_JOB.min(usable);
        if !enough_vms || total < VMS_PER_BAD_JOB {
            return FailureVerdict::Undecided;
        }
        let vms = u32::try_from(record.failed_on.len()).unwrap_or(u32::MAX);
        record.backoff = next_backoff(record.backoff);
        record.parked_until = Some(now.after(record.backoff));
        let failed_on: Vec<VmName> = record.failed_on.drain(..).map(|(vm, _)| vm).collect();
        // The job is to blame, so its failures do not count against the VMs.
        for vm in &failed_on {
            if let Some(record) = self.vms.get_mut(vm) {
                record.failed.swap_remove(job);
            }
        }
        FailureVerdict::JobFailsEverywhere { vms }
    }

    /// A task ran to its end on `vm`; `true` if that ends a probe.
    pub fn succeeded(&mut self, vm: &VmName, job: &JobId) -> bool {
        let record = JobRecord { works: true, ..JobRecord::default() };
        self.jobs.insert(job.clone(), record);
        self.vms.swap_remove(vm).is_some_and(|record| record.held_until.is_some())
    }

    /// Whether a task of `job` failed on `vm` recently.
    #[must_use]
    pub fn has_failed_on(&self, job: &JobId, vm: &VmName) -> bool {
        self.jobs.get(job).is_some_and(|record| record.failed_on.contains_key(vm))
    }

    /// When a parked job is tried again; `None` if this ledger did not park it.
    #[must_use]
    pub fn parked_until(&self, job: &JobId) -> Option<Moment> {
        self.jobs.get(job)?.parked_until
    }

    /// Adopts a job that an earlier owner parked.
    pub fn adopt_parked(&mut self, job: &JobId, now: Moment) -> Moment {
        let record = self.jobs.entry(job.clone()).or_default();
        record.backoff = record.backoff.max(FIRST_BACKOFF);
        *record.parked_until.get_or_insert(now.after(record.backoff))
    }

    /// The job may run again; the next parking lasts longer.
    pub fn released(&mut self, job: &JobId) {
        if let Some(record) = self.jobs.get_mut(job) {
            record.parked_until = None;
        }
    }

    /// Forgets a job that has ended.
    pub fn forget_job(&mut self, job: &JobId) {
        self.jobs.swap_remove(job);
    }

    /// VMs that are held back or on probe.
    #[must_use]
    pub fn held_back(&self) -> usize {
        self.vms.values().filter(|record| record.held_until.is_some()).count()
    }
}

impl VmRecord {
    fn hold(&mut self, now: Moment) {
        self.backoff = next_backoff(self.backoff);
        self.held_until = Some(now.after(self.backoff));
    }
}

fn next_backoff(last: Millis) -> Millis {
    if last == 0 { FIRST_BACKOFF } else { (2 * last).min(LONGEST_BACKOFF) }
}
