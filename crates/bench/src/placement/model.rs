//! Model of the VMs: which tasks run, how fast they run, and the result of the run.
//!
//! It refuses starts beyond a VM's capacity or on a VM out of service, and counts
//! violations of allowances and capacities. It decides no placement.

use std::collections::HashMap;

use cactusdoor_core::job::{JobClass, PlacementEnd, StartRefusal};
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::{Millis, Token};
use cactusdoor_peer::task::{StopMode, StopReply};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::jobs::{ModelJob, ModelPlan, START_UNIX_MS};
use super::scenario::{PlacementScenario, RUN_DURATION};
use crate::interference::InterferenceModel;
use crate::preset::SitePreset;

/// Simulated time between two steps.
pub const STEP_INTERVAL: Millis = 50;
/// Delay until a data centre's new state reaches policies and agents.
pub const CONFIG_DELAY: Millis = 1_500;
/// Time from the start of a failing task to its failure.
const TIME_TO_FAILURE: Millis = 2_000;
/// Work lost by a checkpoint and its restoration, in seconds of run time without interference.
const CHECKPOINT_COST: f64 = 2.0;

/// Position of the job and index of the task in it.
pub type TaskKey = (usize, u32);

/// A running task.
#[derive(Clone, Debug)]
pub struct ModelTask {
    pub token: Token,
    pub key: TaskKey,
    pub need: ResourceVector,
    /// Percent of full speed.
    pub throttle: u8,
    /// Fraction of the speed without interference, before the throttle.
    pub speed: f64,
    fails_at: Option<Millis>,
}

/// A task that has ended and whose end the policy has not acknowledged.
#[derive(Clone, Debug)]
pub struct ModelEnd {
    pub token: Token,
    pub key: TaskKey,
    pub end: PlacementEnd,
}

/// Tasks of a VM.
#[derive(Clone, Debug, Default)]
pub struct ModelVm {
    pub running: Vec<ModelTask>,
    pub ended: Vec<ModelEnd>,
}

impl ModelVm {
    /// Sum of the needs of the running tasks.
    #[must_use]
    pub fn committed(&self) -> ResourceVector {
        self.running
            .iter()
            .fold(ResourceVector::ZERO, |total, task| total.saturating_add(task.need))
    }
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct PlacementResult {
    /// Run time without interference of the finished tasks, in seconds.
    pub finished_work: f64,
    /// Part of `finished_work` that finished during the outage.
    pub outage_work: f64,
    /// `finished_work` by intervals of 10 s.
    pub work_over_time: Vec<f64>,
    /// Evictions of batch tasks whose job was not cancelled.
    pub evictions: u64,
    /// Work that these evictions lost, in seconds of run time without interference.
    pub lost_work: f64,
    /// Slowdown factor of an interactive service, one sample per second and VM in service.
    pub service_slowdowns: Vec<f64>,
    /// Slowdown factor of the latency-critical tasks, one sample per second and task.
    pub critical_slowdowns: Vec<f64>,
    /// Jobs that can finish and whose deadline lies within the run.
    pub deadlines: u64,
    pub deadlines_met: u64,
    pub urgent_jobs: u64,
    /// Urgent jobs whose first task started within 1 s.
    pub urgent_jobs_in_time: u64,
    /// One check per plan and step.
    pub allowance_checks: u64,
    pub allowances_kept: u64,
    /// One check per VM and step.
    pub capacity_checks: u64,
    pub capacities_kept: u64,
    /// Starts of a task that was already running, and ends of tasks beyond the number
    /// of tasks of a job.
    pub duplicate_runs: u64,
}

/// State of a run.
pub struct PlacementModel<'a> {
    pub site: &'a SitePreset,
    pub scenario: &'a PlacementScenario,
    pub jobs: &'a [ModelJob],
    pub plans: &'a [ModelPlan],
    pub now: Millis,
    pub vms: Vec<ModelVm>,
    pub result: PlacementResult,
    interference: InterferenceModel,
    /// Work done, in seconds of run time without interference.
    progress: HashMap<TaskKey, f64>,
    first_start: HashMap<usize, Millis>,
    /// Unfinished tasks of each job.
    unfinished_tasks: Vec<usize>,
    finished_at: HashMap<usize, Millis>,
}

impl<'a> PlacementModel<'a> {
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
            result: PlacementResult {
                work_over_time: vec![0.0; (RUN_DURATION / 10_000) as usize],
                ..PlacementResult::default()
            },
            interference: InterferenceModel::generate(&mut rng),
            progress: HashMap::new(),
            first_start: HashMap::new(),
            unfinished_tasks: jobs.iter().map(|job| job.run_times.len()).collect(),
            finished_at: HashMap::new(),
        }
    }

    /// Whether the outage of data centre 0 has reached policies and agents, and its end
    /// has not.
    #[must_use]
    pub fn is_outage_known(&self) -> bool {
        self.scenario
            .outage
            .is_some_and(|(from, to)| (from + CONFIG_DELAY..to + CONFIG_DELAY).contains(&self.now))
    }

    /// Whether the VM is out of service according to the state that policies and agents
    /// have received.
    #[must_use]
    pub fn is_vm_out(&self, vm: usize) -> bool {
        self.site.data_centre_of(vm) == 0 && self.is_outage_known()
    }

    /// Starts a task and returns the agent's answer.
    ///
    /// # Errors
    /// Refuses a start on a VM that is out of service or short of a resource.
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
            self.result.duplicate_runs += 1;
        }
        let failing_worker = self.scenario.failing_worker;
        let worker_fails =
            vm == 1 && failing_worker.is_some_and(|(from, to)| (from..to).contains(&self.now));
        let fails = self.jobs[key.0].always_fails || worker_fails;
        self.first_start.entry(key.0).or_insert(self.now);
        self.vms[vm].running.push(ModelTask {
            token,
            key,
            need,
            throttle: 100,
            speed: 1.0,
            fails_at: fails.then_some(self.now + TIME_TO_FAILURE),
        });
        Ok(())
    }

    /// Stops or throttles a task and returns the agent's answer.
    pub fn stop(&mut self, vm: usize, token: Token, mode: StopMode) -> StopReply {
        let position = self.vms[vm].running.iter().position(|task| task.token == token);
        let Some(position) = position else {
            let ended = self.vms[vm].ended.iter().find(|ended| ended.token == token);
            return ended.map_or(StopReply::NotRunning, |it| StopReply::Ended(it.end.clone()));
        };
        if let StopMode::Throttle(percent) = mode {
            self.vms[vm].running[position].throttle = percent;
            return StopReply::Throttled;
        }
        let task = self.vms[vm].running.remove(position);
        let job = &self.jobs[task.key.0];
        let has_checkpoint = mode == StopMode::CheckpointAndStop && job.spec.checkpoints;
        let done = self.progress.entry(task.key).or_default();
        let lost = if has_checkpoint { done.min(CHECKPOINT_COST) } else { *done };
        *done -= lost;
        let cancelled = job.cancelled_at.is_some_and(|at| at <= self.now);
        if job.spec.class == JobClass::Batch && !cancelled {
            self.result.evictions += 1;
            self.result.lost_work += lost;
        }
        let checkpoint = format!("checkpoint-{token}").parse().ok().filter(|_| has_checkpoint);
        let end = match mode {
            StopMode::Cancel => PlacementEnd::Cancelled,
            _ => PlacementEnd::Evicted { checkpoint },
        };
        self.vms[vm].ended.push(ModelEnd { token, key: task.key, end: end.clone() });
        StopReply::Ended(end)
    }

    /// Advances all tasks by one step.
    pub fn advance(&mut self) {
        self.now += STEP_INTERVAL;
        for vm in 0..self.vms.len() {
            self.advance_vm(vm);
        }
        self.check_commitments();
    }

    fn advance_vm(&mut self, vm: usize) {
        let jobs = self.jobs;
        let is_batch = |task: &ModelTask| jobs[task.key.0].spec.class == JobClass::Batch;
        // A task interferes in proportion to the processor time that its throttle leaves it.
        let weight =
            |task: &ModelTask| jobs[task.key.0].noise_factor * f64::from(task.throttle) / 100.0;
        let running = std::mem::take(&mut self.vms[vm].running);
        let processors = running.iter().map(|task| {
            jobs[task.key.0].usage.processors as f64 * f64::from(task.throttle) / 100.0
        });
        let overcommit = (processors.sum::<f64>() / self.site.vm.processors as f64).max(1.0);
        let batch = || running.iter().filter(|task| is_batch(task));
        let costs = batch()
            .map(|task| self.interference.service_costs[jobs[task.key.0].kind] * weight(task));
        let service_slowdown = (1.0 + costs.sum::<f64>()) * overcommit;
        let speeds: Vec<f64> = running
            .iter()
            .map(|task| {
                if !is_batch(task) {
                    return 1.0 / service_slowdown;
                }
                let costs = &self.interference.batch_costs[jobs[task.key.0].kind];
                let others = batch().filter(|other| other.token != task.token);
                let interference =
                    others.map(|other| costs[jobs[other.key.0].kind] * weight(other));
                1.0 / ((1.0 + interference.sum::<f64>()) * overcommit)
            })
            .collect();
        if self.now.is_multiple_of(1_000) && !self.is_vm_out(vm) {
            self.result.service_slowdowns.push(service_slowdown);
            let critical = running.iter().filter(|task| !is_batch(task)).map(|_| service_slowdown);
            self.result.critical_slowdowns.extend(critical);
        }
        for (mut task, speed) in running.into_iter().zip(speeds) {
            task.speed = speed;
            let done = self.progress.entry(task.key).or_default();
            *done += STEP_INTERVAL as f64 / 1e3 * speed * f64::from(task.throttle) / 100.0;
            let run_time = jobs[task.key.0].run_times[task.key.1 as usize];
            let end = if task.fails_at.is_some_and(|at| self.now >= at) {
                *done = 0.0;
                PlacementEnd::Failed
            } else if *done >= run_time {
                self.record_finished(task.key, run_time);
                PlacementEnd::Finished { digest: task.token }
            } else {
                self.vms[vm].running.push(task);
                continue;
            };
            self.vms[vm].ended.push(ModelEnd { token: task.token, key: task.key, end });
        }
    }

    fn record_finished(&mut self, key: TaskKey, run_time: f64) {
        self.result.finished_work += run_time;
        if let Some(interval) = self.result.work_over_time.get_mut((self.now / 10_000) as usize) {
            *interval += run_time;
        }
        if self.scenario.outage.is_some_and(|(from, to)| (from..to).contains(&self.now)) {
            self.result.outage_work += run_time;
        }
        let unfinished = &mut self.unfinished_tasks[key.0];
        if *unfinished == 0 {
            self.result.duplicate_runs += 1;
            return;
        }
        *unfinished -= 1;
        if *unfinished == 0 {
            self.finished_at.insert(key.0, self.now);
        }
    }

    /// Checks commitments against capacities and allowances.
    fn check_commitments(&mut self) {
        let mut plan_usage: HashMap<&str, ResourceVector> = HashMap::new();
        for vm in &self.vms {
            self.result.capacity_checks += 1;
            self.result.capacities_kept += u64::from(self.site.vm.can_fit(vm.committed()));
            for task in &vm.running {
                let usage =
                    plan_usage.entry(self.jobs[task.key.0].spec.id.plan.as_str()).or_default();
                *usage = usage.saturating_add(task.need);
            }
        }
        for plan in self.plans {
            let usage = plan_usage.get(plan.name.as_str()).copied().unwrap_or_default();
            self.result.allowance_checks += 1;
            self.result.allowances_kept += u64::from(plan.allowance.can_fit(usage));
        }
    }

    /// Counts the deadlines and urgent starts, and returns the result.
    #[must_use]
    pub fn into_result(mut self) -> PlacementResult {
        for (position, job) in self.jobs.iter().enumerate() {
            if !job.can_finish(self.site.vm) {
                continue;
            }
            if let Some(deadline) = job.spec.deadline_unix_ms.map(|at| at - START_UNIX_MS)
                && deadline < RUN_DURATION
            {
                self.result.deadlines += 1;
                let met = self.finished_at.get(&position).is_some_and(|at| *at <= deadline);
                self.result.deadlines_met += u64::from(met);
            }
            if job.spec.urgent && job.arrival + 1_000 < RUN_DURATION {
                self.result.urgent_jobs += 1;
                let started = self.first_start.get(&position);
                let in_time = started.is_some_and(|at| *at <= job.arrival + 1_000);
                self.result.urgent_jobs_in_time += u64::from(in_time);
            }
        }
        self.result
    }
}
