//! Seeded jobs, the same for every policy.

use anyhow::Context;
use cactusdoor_core::job::{JobClass, JobId, JobSpec};
use cactusdoor_core::name::PlanName;
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::Millis;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::scenario::{LENGTH, PlacementScenario};
use crate::event::MILLISECOND;
use crate::load::{LoadShape, log_normal};
use crate::model::KINDS;
use crate::preset::SitePreset;

/// Wall-clock time at the start of a run.
pub const START_UNIX: Millis = 1_700_000_000_000;
/// Plans that submit batch jobs.
const BATCH_PLANS: usize = 6;
/// Spread of real sizes and run times around the declared ones.
const DECLARED_SIGMA: f64 = 0.5;
/// Spread of the tasks of one job.
const TASK_SIGMA: f64 = 0.2;
/// Factor on the interference of a noisy task.
const NOISE: f64 = 3.0;
/// Noisy jobs arrive in the first half of each such period.
const NOISE_PERIOD: Millis = 120_000;
/// Share of live jobs that a wave cancels.
const CANCELLED: f64 = 0.3;

/// A job and what is true of it, which no policy knows.
#[derive(Clone, Debug)]
pub struct ModelJob {
    pub spec: JobSpec,
    pub at: Millis,
    pub kind: usize,
    /// Undisturbed run time of each task in seconds.
    pub work: Vec<f64>,
    /// What a task really uses.
    pub used: ResourceVector,
    pub noise: f64,
    /// Every task fails, wherever it runs.
    pub broken: bool,
    pub cancelled_at: Option<Millis>,
}

impl ModelJob {
    /// Whether the job can run to its end.
    #[must_use]
    pub fn is_sound(&self, vm: ResourceVector) -> bool {
        !self.broken && self.cancelled_at.is_none() && vm.holds(self.spec.need)
    }
}

/// A plan with its allowance.
#[derive(Clone, Debug)]
pub struct ModelPlan {
    pub name: PlanName,
    pub allowance: ResourceVector,
}

/// Plans of the site; the last one runs the latency-critical tasks.
pub fn plans(site: &SitePreset) -> anyhow::Result<Vec<ModelPlan>> {
    let vms = site.vms as u64;
    let accelerators = site.vm.accelerators * u32::try_from(site.vms)?;
    let total = ResourceVector::new(site.vm.processors * vms, site.vm.memory * vms, accelerators);
    let mut plans = Vec::new();
    for plan in 0..=BATCH_PLANS {
        let name = PlanName::new(&format!("plan-{plan}")).context("could not name a plan")?;
        // The first plan submits two jobs in five and its allowance binds at the peak.
        let allowance = if plan == 0 {
            ResourceVector::new(total.processors / 4, total.memory / 2, accelerators)
        } else {
            total
        };
        plans.push(ModelPlan { name, allowance });
    }
    Ok(plans)
}

fn declared(kind: usize) -> (ResourceVector, Millis) {
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

/// Draws the jobs of a run in the order of their arrival.
pub fn draw(
    site: &SitePreset,
    scenario: &PlacementScenario,
    seed: u64,
) -> anyhow::Result<Vec<ModelJob>> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let plans = plans(site)?;
    let mut jobs = services(site, &plans)?;
    // Mean declared work of a job in processor seconds.
    let mean = (0..KINDS).map(|kind| {
        let (need, time) = declared(kind);
        4.5 * need.processors as f64 / 1e3 * time as f64 / 1e3
    });
    let mean = mean.sum::<f64>() / KINDS as f64;
    let processors = site.vms as f64 * site.vm.processors as f64 / 1e3;
    let shape = LoadShape {
        peak_factor: 2.2,
        peak_start: 120_000 * MILLISECOND,
        peak_end: 420_000 * MILLISECOND,
        ..LoadShape::constant(scenario.load * processors / mean)
    };
    let mut at = 5_000 * MILLISECOND;
    loop {
        at = shape.next_arrival(at, &mut rng);
        if at / MILLISECOND >= LENGTH {
            break;
        }
        let number = jobs.len();
        jobs.push(batch(site, scenario, &plans, at / MILLISECOND, number, &mut rng)?);
    }
    for &wave in scenario.cancellations {
        for job in jobs.iter_mut().filter(|job| job.spec.class == JobClass::Batch) {
            let live = job.at < wave && job.at + 120_000 > wave && job.cancelled_at.is_none();
            if live && rng.random_bool(CANCELLED) {
                job.cancelled_at = Some(wave);
            }
        }
    }
    Ok(jobs)
}

/// Latency-critical jobs, one task per VM in total.
fn services(site: &SitePreset, plans: &[ModelPlan]) -> anyhow::Result<Vec<ModelJob>> {
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
        used: spec.need,
        spec,
        at: 1_000,
        kind: 0,
        work: vec![f64::INFINITY; site.vms],
        noise: 0.0,
        broken: false,
        cancelled_at: None,
    }])
}

fn batch(
    site: &SitePreset,
    scenario: &PlacementScenario,
    plans: &[ModelPlan],
    at: Millis,
    number: usize,
    rng: &mut ChaCha8Rng,
) -> anyhow::Result<ModelJob> {
    let plan = if rng.random_bool(0.28) { 0 } else { rng.random_range(0..BATCH_PLANS) };
    let kind = rng.random_range(0..KINDS);
    let (mut need, time) = declared(kind);
    let urgent = rng.random_bool(0.04);
    let fault = rng.random::<f64>();
    let tasks = if urgent { 1 } else { rng.random_range(1..=8_u32) };
    let slack = rng.random_range(2..=6_u64);
    let has_deadline = rng.random_bool(0.6);
    let wave = at % NOISE_PERIOD < NOISE_PERIOD / 2;
    let noisy = rng.random_bool(scenario.noisy);
    let size = log_normal(rng, DECLARED_SIGMA);
    let length = log_normal(rng, DECLARED_SIGMA);
    let real = |amount: u64| (amount as f64 * size) as u64;
    let used = ResourceVector::new(real(need.processors), real(need.memory), need.accelerators);
    if fault < 0.01 {
        need.processors = 2 * site.vm.processors;
    }
    let work = (0..tasks).map(|_| time as f64 / 1e3 * length * log_normal(rng, TASK_SIGMA));
    let work = work.collect();
    let spec = JobSpec {
        id: JobId { plan: plans[plan].name.clone(), key: format!("job-{number}").parse()? },
        kind: format!("kind-{kind}").parse()?,
        class: JobClass::Batch,
        tasks,
        need,
        run_time_ms: time,
        urgent,
        deadline_unix_ms: has_deadline.then_some(START_UNIX + at + slack * time),
        checkpoints: kind != 0,
    };
    let noise = if wave && noisy { NOISE } else { 1.0 };
    let broken = (0.01..0.02).contains(&fault);
    Ok(ModelJob { spec, at, kind, work, used, noise, broken, cancelled_at: None })
}
