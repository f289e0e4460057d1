//! Generates the jobs of a run from its seed; every policy gets the same jobs.

use anyhow::Context;
use cactusdoor_core::job::{JobClass, JobId, JobSpec};
use cactusdoor_core::name::PlanName;
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::Millis;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::scenario::{PlacementScenario, RUN_DURATION};
use crate::event::MILLISECOND;
use crate::interference::TASK_KINDS;
use crate::load::{LoadShape, log_normal};
use crate::preset::SitePreset;

/// Wall-clock time at the start of a run, in ms since 1970.
pub const START_UNIX_MS: Millis = 1_700_000_000_000;
/// Plans that submit batch jobs.
const BATCH_PLANS: usize = 6;
/// Sigma of the log-normal ratio of real to declared usage and run time.
const DECLARED_SIGMA: f64 = 0.5;
/// Sigma of the log-normal run times of the tasks of one job.
const TASK_SIGMA: f64 = 0.2;
/// Factor on the interference that a noisy task causes.
const NOISE_FACTOR: f64 = 3.0;
/// Noisy jobs arrive only in the first half of each such period.
const NOISE_PERIOD: Millis = 120_000;
/// Share of the jobs of the last 120 s that is cancelled at each cancellation time.
const CANCELLED_SHARE: f64 = 0.3;

/// A job with its real behaviour, which policies do not see.
#[derive(Clone, Debug)]
pub struct ModelJob {
    pub spec: JobSpec,
    /// Time of submission since the start of the run.
    pub arrival: Millis,
    /// Index of the kind in the interference model.
    pub kind: usize,
    /// Run time of each task without interference, in seconds.
    pub run_times: Vec<f64>,
    /// Real usage of a task; `spec.need` is what the job declares.
    pub usage: ResourceVector,
    /// Factor on the interference that a task causes.
    pub noise_factor: f64,
    /// Every task fails on every VM.
    pub always_fails: bool,
    pub cancelled_at: Option<Millis>,
}

impl ModelJob {
    /// Whether the job can finish on a VM of this size.
    #[must_use]
    pub fn can_finish(&self, vm: ResourceVector) -> bool {
        !self.always_fails && self.cancelled_at.is_none() && vm.can_fit(self.spec.need)
    }
}

/// A plan with its allowance.
#[derive(Clone, Debug)]
pub struct ModelPlan {
    pub name: PlanName,
    pub allowance: ResourceVector,
}

/// Plans of the site; the last one submits the latency-critical tasks.
pub fn plans(site: &SitePreset) -> anyhow::Result<Vec<ModelPlan>> {
    let vms = site.vms as u64;
    let accelerators = site.vm.accelerators * u32::try_from(site.vms)?;
    let total = ResourceVector::new(site.vm.processors * vms, site.vm.memory * vms, accelerators);
    let mut plans = Vec::new();
    for plan in 0..=BATCH_PLANS {
        let name = PlanName::new(&format!("plan-{plan}")).context("could not name a plan")?;
        // The first plan submits two jobs in five and reaches its allowance at the peak.
        let allowance = if plan == 0 {
            ResourceVector::new(total.processors / 4, total.memory / 2, accelerators)
        } else {
            total
        };
        plans.push(ModelPlan { name, allowance });
    }
    Ok(plans)
}

/// Declared need and run time of a task.
fn declared_size(kind: usize) -> (ResourceVector, Millis) {
    let need = |processors, gibibytes: u64, accelerators| {
        ResourceVector::new(processors, gibibytes * 1_024, accelerators)
    };
    match kind {
        0 => (need(1_000, 2, 0), 20_000),
        1 => (need(2_000, 4, 0), 30_000),
        2 => (need(2_000, 8, 0), 40_000),
        3 => (need(4_000, 8, 0), 30_000),
        4 => (need(4_000, 16, 0), 50_000),
        _ => (need(2_000, 8, 1), 20_000),
    }
}

/// Jobs of a run, in order of arrival.
///
/// # Errors
/// Fails if a name is invalid.
pub fn generate(
    site: &SitePreset,
    scenario: &PlacementScenario,
    seed: u64,
) -> anyhow::Result<Vec<ModelJob>> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let plans = plans(site)?;
    let mut jobs = service_jobs(site, &plans)?;
    // Mean declared work of a job in processor seconds; 4.5 is its mean number of tasks.
    let mean_work = (0..TASK_KINDS).map(|kind| {
        let (need, time) = declared_size(kind);
        4.5 * need.processors as f64 / 1e3 * time as f64 / 1e3
    });
    let mean_work = mean_work.sum::<f64>() / TASK_KINDS as f64;
    let processors = site.vms as f64 * site.vm.processors as f64 / 1e3;
    let shape = LoadShape {
        peak_factor: 2.2,
        peak_start: 120_000 * MILLISECOND,
        peak_end: 420_000 * MILLISECOND,
        ..LoadShape::constant(scenario.load * processors / mean_work)
    };
    let mut arrival = 5_000 * MILLISECOND;
    loop {
        arrival = shape.next_arrival(arrival, &mut rng);
        if arrival / MILLISECOND >= RUN_DURATION {
            break;
        }
        let number = jobs.len();
        jobs.push(batch_job(site, scenario, &plans, arrival / MILLISECOND, number, &mut rng)?);
    }
    for &cancelled_at in scenario.cancellations {
        for job in jobs.iter_mut().filter(|job| job.spec.class == JobClass::Batch) {
            let recent = job.arrival < cancelled_at
                && job.arrival + 120_000 > cancelled_at
                && job.cancelled_at.is_none();
            if recent && rng.random_bool(CANCELLED_SHARE) {
                job.cancelled_at = Some(cancelled_at);
            }
        }
    }
    Ok(jobs)
}

/// The latency-critical job, with as many tasks as the site has VMs.
fn service_jobs(site: &SitePreset, plans: &[ModelPlan]) -> anyhow::Result<Vec<ModelJob>> {
    let plan = plans.last().context("there are no plans")?;
    let tasks = u32::try_from(site.vms)?;
    let spec = JobSpec {
        id: JobId { plan: plan.name.clone(), key: "service".parse()? },
        kind: "service".parse()?,
        class: JobClass::LatencyCritical,
        tasks,
        need: ResourceVector::new(4_000, 8 * 1_024, 0),
        run_time_ms: 3_600_000,
        urgent: false,
        deadline_unix_ms: None,
        checkpoints: false,
    };
    Ok(vec![ModelJob {
        usage: spec.need,
        spec,
        arrival: 1_000,
        kind: 0,
        run_times: vec![f64::INFINITY; site.vms],
        noise_factor: 0.0,
        always_fails: false,
        cancelled_at: None,
    }])
}

fn batch_job(
    site: &SitePreset,
    scenario: &PlacementScenario,
    plans: &[ModelPlan],
    arrival: Millis,
    number: usize,
    rng: &mut ChaCha8Rng,
) -> anyhow::Result<ModelJob> {
    let plan = if rng.random_bool(0.28) { 0 } else { rng.random_range(0..BATCH_PLANS) };
    let kind = rng.random_range(0..TASK_KINDS);
    let (mut need, run_time) = declared_size(kind);
    let urgent = rng.random_bool(0.04);
    let fault_draw = rng.random::<f64>();
    let tasks = if urgent { 1 } else { rng.random_range(1..=8_u32) };
    let slack = rng.random_range(2..=6_u64);
    let has_deadline = rng.random_bool(0.6);
    let noisy_period = arrival % NOISE_PERIOD < NOISE_PERIOD / 2;
    let noisy = rng.random_bool(scenario.noisy_share);
    let usage_ratio = log_normal(rng, DECLARED_SIGMA);
    let run_time_ratio = log_normal(rng, DECLARED_SIGMA);
    let real = |declared: u64| (declared as f64 * usage_ratio) as u64;
    let usage = ResourceVector::new(real(need.processors), real(need.memory), need.accelerators);
    if fault_draw < 0.01 {
        need.processors = 2 * site.vm.processors;
    }
    let run_times =
        (0..tasks).map(|_| run_time as f64 / 1e3 * run_time_ratio * log_normal(rng, TASK_SIGMA));
    let run_times = run_times.collect();
    let spec = JobSpec {
        id: JobId { plan: plans[plan].name.clone(), key: format!("job-{number}").parse()? },
        kind: format!("kind-{kind}").parse()?,
        class: JobClass::Batch,
        tasks,
        need,
        run_time_ms: run_time,
        urgent,
        deadline_unix_ms: has_deadline.then_some(START_UNIX_MS + arrival + slack * run_time),
        checkpoints: kind != 0,
    };
    let noise_factor = if noisy_period && noisy { NOISE_FACTOR } else { 1.0 };
    let always_fails = (0.01..0.02).contains(&fault_draw);
    Ok(ModelJob {
        spec,
        arrival,
        kind,
        run_times,
        usage,
        noise_factor,
        always_fails,
        cancelled_at: None,
    })
}
