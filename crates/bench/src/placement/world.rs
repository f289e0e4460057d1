//! Model of the VMs: what runs, how fast it runs, and what is measured.

use std::collections::HashMap;

use cactusdoor_core::job::{JobClass, PlacementEnd, StartRefusal};
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::{Millis, Token};
use cactusdoor_peer::task::{StopMode, StopReply};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::jobs::{ModelJob, ModelPlan, START_UNIX};
use super::scenario::{LENGTH, PlacementScenario};
use crate::model::PairModel;
use crate::preset::SitePreset;

/// Time between steps of the model.
pub const STEP: Millis = 50;
/// Time until policies and agents know that a data centre changed its state.
pub const CONFIG_DELAY: Millis = 1_500;
/// Run time of a task that fails.
const FAILURE_TIME: Millis = 2_000;
/// Work that a checkpoint and its restoration cost, in seconds.
const CHECKPOINT_COST: f64 = 2.0;

/// A task of a job, by position.
pub type TaskKey = (usize, u32);

/// A task that runs.
#[derive(Clone, Debug)]
pub struct ModelTask {
    pub token: Token,
    pub key: TaskKey,
    pub need: ResourceVector,
    pub throttle: u8,
    /// Speed compared with an undisturbed run, without the throttle.
    pub speed: f64,
    fails_at: Option<Millis>,
}

/// A task that ended and was not reported yet.
#[derive(Clone, Debug)]
pub struct ModelEnd {
    pub token: Token,
    pub key: TaskKey,
    pub end: PlacementEnd,
}

/// A VM with its worker.
#[derive(Clone, Debug, Default)]
pub struct ModelVm {
    pub running: Vec<ModelTask>,
    pub ended: Vec<ModelEnd>,
}

impl ModelVm {
    #[must_use]
    pub fn committed(&self) -> ResourceVector {
        self.running
            .iter()
            .fold(ResourceVector::ZERO, |total, task| total.saturating_add(task.need))
    }
}

/// What a run is judged by.
#[derive(Clone, Debug, Default)]
pub struct PlacementFigures {
    /// Undisturbed run time of finished tasks in seconds.
    pub work: f64,
    pub work_while_out: f64,
    /// `work` by intervals of 10 s.
    pub work_over_time: Vec<f64>,
    pub evictions: u64,
    pub lost_work: f64,
    /// Slowdown factor of an interactive service on every VM in service, by VM and second.
    pub slowdowns: Vec<f64>,
    /// Slowdown factor of the latency-critical tasks, by task and second.
    pub critical_slowdowns: Vec<f64>,
    pub deadlines: u64,
    pub deadlines_met: u64,
    pub urgent: u64,
    pub urgent_in_time: u64,
    pub allowance_checks: u64,
    pub allowances_kept: u64,
    pub capacity_checks: u64,
    pub capacities_kept: u64,
    /// Tasks started in a data centre that is out, or beside a copy.
    pub faults: u64,
}

/// State of the model.
pub struct PlacementWorld<'a> {
    pub site: &'a SitePreset,
    pub scenario: &'a PlacementScenario,
    pub jobs: &'a [ModelJob],
    pub plans: &'a [ModelPlan],
    pub now: Millis,
    pub vms: Vec<ModelVm>,
    pub figures: PlacementFigures,
    pairs: PairModel,
    progress: HashMap<TaskKey, f64>,
    first_start: HashMap<usize, Millis>,
    unfinished: Vec<usize>,
    finished_at: HashMap<usize, Millis>,
}

impl<'a> PlacementWorld<'a> {
    #[must_use]
    pub fn new(
        site: &'a SitePreset,
        scenario: &'a PlacementScenario,
        jobs: &'a [ModelJob],
        plans: &'a [ModelPlan],
        seed: u64,
    ) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(!seed);
        Self {
            site,
            scenario,
            jobs,
            plans,
            now: 0,
            vms: vec![ModelVm::default(); site.vms],
            figures: PlacementFigures {
                work_over_time: vec![0.0; (LENGTH / 10_000) as usize],
                ..PlacementFigures::default()
            },
            pairs: PairModel::draw(&mut rng),
            progress: HashMap::new(),
            first_start: HashMap::new(),
            unfinished: jobs.iter().map(|job| job.work.len()).collect(),
            finished_at: HashMap::new(),
        }
    }

    /// Whether policies and agents see data centre 0 as out.
    #[must_use]
    pub fn is_out(&self) -> bool {
        self.scenario.out.is_some_and(|(out, back)| {
            (out + CONFIG_DELAY..back + CONFIG_DELAY).contains(&self.now)
        })
    }

    #[must_use]
    pub fn is_vm_out(&self, vm: usize) -> bool {
        self.site.data_centre_of(vm) == 0 && self.is_out()
    }

    /// An agent's answer to a start.
    pub fn start(
        &mut self,
        vm: usize,
        token: Token,
        key: TaskKey,
        need: ResourceVector,
    ) -> Result<(), StartRefusal> {
        if self.is_vm_out(vm) {
            return Err(StartRefusal::DataCentreOut);
        }
        let free = self.site.vm.saturating_sub(self.vms[vm].committed());
        if let Some(kind) = free.shortage(need) {
            return Err(StartRefusal::DoesNotFit(kind));
        }
        if self.vms.iter().any(|vm| vm.running.iter().any(|task| task.key == key)) {
            self.figures.faults += 1;
        }
        let failing = self.scenario.failing;
        let bad = vm == 1 && failing.is_some_and(|(from, to)| (from..to).contains(&self.now));
        let fails = self.jobs[key.0].broken || bad;
        self.first_start.entry(key.0).or_insert(self.now);
        self.vms[vm].running.push(ModelTask {
            token,
            key,
            need,
            throttle: 100,
            speed: 1.0,
            fails_at: fails.then_some(self.now + FAILURE_TIME),
        });
        Ok(())
    }

    /// An agent's answer to a stop or throttle.
    pub fn stop(&mut self, vm: usize, token: Token, mode: StopMode) -> StopReply {
        let found = self.vms[vm].running.iter().position(|task| task.token == token);
        let Some(position) = found else {
            let ended = self.vms[vm].ended.iter().find(|ended| ended.token == token);
            return ended.map_or(StopReply::NotRunning, |it| StopReply::Ended(it.end.clone()));
        };
        if let StopMode::Throttle(percent) = mode {
            self.vms[vm].running[position].throttle = percent;
            return StopReply::Throttled;
        }
        let task = self.vms[vm].running.remove(position);
        let job = &self.jobs[task.key.0];
        let keeps = mode == StopMode::CheckpointAndStop && job.spec.checkpoints;
        let done = self.progress.entry(task.key).or_default();
        let lost = if keeps { done.min(CHECKPOINT_COST) } else { *done };
        *done -= lost;
        let cancelled = job.cancelled_at.is_some_and(|at| at <= self.now);
        if job.spec.class == JobClass::Batch && !cancelled {
            self.figures.evictions += 1;
            self.figures.lost_work += lost;
        }
        let name = format!("checkpoint-{token}").parse().ok().filter(|_| keeps);
        let end = match mode {
            StopMode::Cancel => PlacementEnd::Cancelled,
            _ => PlacementEnd::Evicted { checkpoint: name },
        };
        self.vms[vm].ended.push(ModelEnd { token, key: task.key, end: end.clone() });
        StopReply::Ended(end)
    }

    /// Time passes for all tasks.
    pub fn advance(&mut self) {
        self.now += STEP;
        for vm in 0..self.vms.len() {
            self.advance_vm(vm);
        }
        self.check();
    }

    fn advance_vm(&mut self, vm: usize) {
        let jobs = self.jobs;
        let is_batch = |task: &ModelTask| jobs[task.key.0].spec.class == JobClass::Batch;
        // Interference of a task is proportional to the processors it is left.
        let weight = |task: &ModelTask| jobs[task.key.0].noise * f64::from(task.throttle) / 100.0;
        let running = std::mem::take(&mut self.vms[vm].running);
        let used = running
            .iter()
            .map(|task| jobs[task.key.0].used.processors as f64 * f64::from(task.throttle) / 100.0);
        let crowding = (used.sum::<f64>() / self.site.vm.processors as f64).max(1.0);
        let batch = || running.iter().filter(|task| is_batch(task));
        let on_service =
            batch().map(|task| self.pairs.on_service[jobs[task.key.0].kind] * weight(task));
        let service = (1.0 + on_service.sum::<f64>()) * crowding;
        let speeds: Vec<f64> = running
            .iter()
            .map(|task| {
                if !is_batch(task) {
                    return 1.0 / service;
                }
                let costs = &self.pairs.on_batch[jobs[task.key.0].kind];
                let others = batch().filter(|other| other.token != task.token);
                let cost = others.map(|other| costs[jobs[other.key.0].kind] * weight(other));
                1.0 / ((1.0 + cost.sum::<f64>()) * crowding)
            })
            .collect();
        if self.now.is_multiple_of(1_000) && !self.is_vm_out(vm) {
            self.figures.slowdowns.push(service);
            let critical = running.iter().filter(|task| !is_batch(task)).map(|_| service);
            self.figures.critical_slowdowns.extend(critical);
        }
        for (mut task, speed) in running.into_iter().zip(speeds) {
            task.speed = speed;
            let done = self.progress.entry(task.key).or_default();
            *done += STEP as f64 / 1e3 * speed * f64::from(task.throttle) / 100.0;
            let work = jobs[task.key.0].work[task.key.1 as usize];
            let end = if task.fails_at.is_some_and(|at| self.now >= at) {
                *done = 0.0;
                PlacementEnd::Failed
            } else if *done >= work {
                self.finished(task.key, work);
                PlacementEnd::Finished { digest: task.token }
            } else {
                self.vms[vm].running.push(task);
                continue;
            };
            self.vms[vm].ended.push(ModelEnd { token: task.token, key: task.key, end });
        }
    }

    fn finished(&mut self, key: TaskKey, work: f64) {
        self.figures.work += work;
        if let Some(interval) = self.figures.work_over_time.get_mut((self.now / 10_000) as usize) {
            *interval += work;
        }
        if self.scenario.out.is_some_and(|(out, back)| (out..back).contains(&self.now)) {
            self.figures.work_while_out += work;
        }
        let left = &mut self.unfinished[key.0];
        if *left == 0 {
            self.figures.faults += 1;
            return;
        }
        *left -= 1;
        if *left == 0 {
            self.finished_at.insert(key.0, self.now);
        }
    }

    /// Checks commitments against capacities and allowances.
    fn check(&mut self) {
        let mut used: HashMap<&str, ResourceVector> = HashMap::new();
        for vm in &self.vms {
            self.figures.capacity_checks += 1;
            self.figures.capacities_kept += u64::from(self.site.vm.holds(vm.committed()));
            for task in &vm.running {
                let plan = used.entry(self.jobs[task.key.0].spec.id.plan.as_str()).or_default();
                *plan = plan.saturating_add(task.need);
            }
        }
        for plan in self.plans {
            let used = used.get(plan.name.as_str()).copied().unwrap_or_default();
            self.figures.allowance_checks += 1;
            self.figures.allowances_kept += u64::from(plan.allowance.holds(used));
        }
    }

    /// Counts deadlines and urgent starts at the end of a run.
    #[must_use]
    pub fn conclude(mut self) -> PlacementFigures {
        for (position, job) in self.jobs.iter().enumerate() {
            if !job.is_sound(self.site.vm) {
                continue;
            }
            if let Some(deadline) = job.spec.deadline_unix_ms.map(|at| at - START_UNIX)
                && deadline < LENGTH
            {
                self.figures.deadlines += 1;
                let met = self.finished_at.get(&position).is_some_and(|at| *at <= deadline);
                self.figures.deadlines_met += u64::from(met);
            }
            if job.spec.urgent && job.at + 1_000 < LENGTH {
                self.figures.urgent += 1;
                let started = self.first_start.get(&position);
                let in_time = started.is_some_and(|at| *at <= job.at + 1_000);
                self.figures.urgent_in_time += u64::from(in_time);
            }
        }
        self.figures
    }
}
