//! Where a job that is not submitted would be placed, and why.
//!
//! Uses the checks and costs of the placement and changes no state. One task of each ready step
//! is looked at: later tasks, and the members of a gang, find the room that earlier ones leave.

use cactusdoor_core::unit::{Millis, Moment};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::config::QueueConfig;
use crate::forecast::SlowdownForecast;
use crate::job::JobProgress;
use crate::name::{AgentName, StepName};
use crate::placement::{ChoiceContext, UnfitReason, check_cost, fits_empty};
use crate::rank::{RankClass, RankInput, StepRank};
use crate::scheduler::QueueScheduler;
use crate::spec::{JobSpec, StepSpec};
use crate::waiting::StepTurn;

/// Most steps of a job that are explained: bounds the answer.
pub const MAX_EXPLAINED_STEPS: usize = 32;
/// Most distinct needs for which all workers are looked at: bounds the time in the owner's loop. With 8
/// best-effort needs and 2,100 workers, an explanation took 2.5 ms (median of 50; longest 4.7 ms).
pub const MAX_EXPLAINED_NEEDS: usize = 8;
/// Most workers that are named for a step.
pub const MAX_NAMED_WORKERS: usize = 10;

/// What would become of a job now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobExplanation {
    pub priority: u32,
    /// Time budget, ms.
    pub budget: Millis,
    /// Unix time by which the first occurrence should be done.
    pub deadline: Millis,
    /// When the first occurrence begins, if that is later than now; Unix time.
    pub due: Option<Millis>,
    /// Position in the order of best-effort jobs; `None` without this order.
    pub rank: Option<RankExplanation>,
    /// The first steps of the job.
    pub steps: Vec<StepExplanation>,
    /// Number of steps that are not explained.
    pub omitted: usize,
}

/// Position of the job's best-effort steps in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankExplanation {
    pub rank: StepRank,
    pub class: RankClass,
}

/// What would become of a step now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepExplanation {
    pub step: u16,
    pub tasks: u32,
    pub gang: bool,
    pub best_effort: bool,
    pub outcome: StepOutcome,
    /// Steps of other jobs that are ahead in the waiting order.
    pub ahead: usize,
    /// Workers that can take a task, the best first.
    pub workers: Vec<WorkerCost>,
    /// Number of workers that can take a task.
    pub fitting: usize,
    /// Number of workers that cannot, by reason.
    pub unfit: Vec<ReasonCount>,
}

/// Whether one task of a step would be placed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StepOutcome {
    /// The first worker takes a task at once, unless steps ahead take its room.
    Placed,
    /// No worker can take a task now, but one could without its present runs.
    Waits,
    /// No known worker is large enough or has the label, whatever runs on it.
    NeverFits,
    /// Waits for these steps of its job.
    After(Vec<u16>),
    /// The step has no task.
    Empty,
    /// The job has more distinct needs than are looked at.
    NotExamined,
}

/// A worker that can take a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCost {
    pub agent: AgentName,
    /// Cost of the placement; the lowest is chosen.
    pub cost: u64,
    /// Forecast speed of a best-effort task, percent; `None` without forecasts.
    pub speed: Option<u8>,
}

/// Number of workers that cannot take a task for a reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReasonCount {
    pub reason: UnfitReason,
    pub workers: usize,
}

/// The workers' verdicts on a need.
#[derive(Clone, Debug)]
struct NeedVerdict {
    outcome: StepOutcome,
    workers: Vec<WorkerCost>,
    fitting: usize,
    unfit: Vec<ReasonCount>,
}

/// The part of a step on which the verdicts on its first task depend.
fn need_of(step: &StepSpec) -> StepSpec {
    StepSpec {
        need: step.need,
        label: step.label.clone(),
        rack: step.rack.clone(),
        per_worker: step.per_worker,
        image: step.image.clone(),
        latency_bound: step.latency_bound,
        best_effort: step.best_effort,
        ..StepSpec::default()
    }
}

impl QueueScheduler {
    /// Explains where a valid job would be placed if it were submitted now.
    #[must_use]
    pub fn explain(&self, spec: JobSpec, now: Moment, unix: Millis) -> JobExplanation {
        let config = self.queue_config(&spec);
        // Only the first occurrence is explained, and an empty id is that of no job.
        let spec = JobSpec { times: spec.times.min(1), ..spec };
        let due = spec.due(0).filter(|due| *due > unix);
        let mut job = JobProgress::open("".into(), spec);
        job.open_due(due.unwrap_or(unix));
        job.update_idle(now);
        let input = self.features.job_order.then(|| self.rank_input(&job, 0, unix));
        let input = input.filter(|_| job.spec.steps.iter().any(|step| step.best_effort));
        let steps = self.explain_steps(&job, &config, input.as_ref(), now, unix);
        JobExplanation {
            priority: config.terms.priority,
            budget: config.terms.time_budget(job.critical_path),
            deadline: Self::deadline(&self.view, &job, 0),
            due,
            rank: input.map(|input| RankExplanation { rank: input.rank(), class: input.class() }),
            omitted: job.spec.steps.len() - steps.len(),
            steps,
        }
    }

    fn explain_steps(
        &self,
        job: &JobProgress,
        config: &QueueConfig,
        input: Option<&RankInput>,
        now: Moment,
        unix: Millis,
    ) -> Vec<StepExplanation> {
        let late = Self::late_at(&self.view, job, 0).is_some_and(|at| at <= unix);
        let accepted = StepTurn::Accepted { late, accepted: job.spec.accepted };
        let ranked = input.map_or(accepted, |input| StepTurn::Ranked(input.rank()));
        let ahead = |turn| self.waiting.count_before(config.terms.priority, turn);
        let (ahead_reserving, ahead_best_effort) = (ahead(accepted), ahead(ranked));
        let mut verdicts: IndexMap<usize, NeedVerdict> = IndexMap::new();
        let mut needs: Vec<StepSpec> = Vec::new();
        let steps = (0u16..).zip(&job.spec.steps).take(MAX_EXPLAINED_STEPS);
        let explained = steps.map(|(number, step)| {
            let verdict = if step.tasks == 0 {
                NeedVerdict::without_workers(StepOutcome::Empty)
            } else if !job.is_ready(0, number) {
                NeedVerdict::without_workers(StepOutcome::After(step.after.clone()))
            } else {
                let need = need_of(step);
                let known = needs.iter().position(|known| *known == need);
                if known.is_none() && needs.len() == MAX_EXPLAINED_NEEDS {
                    NeedVerdict::without_workers(StepOutcome::NotExamined)
                } else {
                    let index = known.unwrap_or(needs.len());
                    let name = StepName { job: job.id.clone(), occurrence: 0, step: number };
                    if known.is_none() {
                        needs.push(need);
                    }
                    let context = self.choice_for(&name, step, config, job.may_wait(now), now);
                    verdicts.entry(index).or_insert_with(|| self.judge(&context)).clone()
                }
            };
            StepExplanation {
                step: number,
                tasks: step.tasks,
                gang: step.gang,
                best_effort: step.best_effort,
                outcome: verdict.outcome,
                ahead: if step.best_effort { ahead_best_effort } else { ahead_reserving },
                workers: verdict.workers,
                fitting: verdict.fitting,
                unfit: verdict.unfit,
            }
        });
        explained.collect()
    }

    /// Asks each worker whether it can take a task.
    fn judge(&self, context: &ChoiceContext<'_>) -> NeedVerdict {
        let mut costs = Vec::new();
        let mut reasons: IndexMap<UnfitReason, usize> = IndexMap::new();
        for (index, tracked) in self.workers.values().enumerate() {
            match check_cost(tracked, context) {
                Ok(cost) => costs.push((cost, index)),
                Err(reason) => *reasons.entry(reason).or_default() += 1,
            }
        }
        // At equal cost in the order of the fleet, as in a placement.
        costs.sort_unstable();
        let best = costs.iter().take(MAX_NAMED_WORKERS).filter_map(|(cost, index)| {
            let (agent, tracked) = self.workers.get_index(*index)?;
            let speed = (context.forecasts && context.step.best_effort)
                .then(|| SlowdownForecast::of(tracked, context).speed());
            Some(WorkerCost { agent: agent.clone(), cost: *cost, speed })
        });
        let outcome = if !costs.is_empty() {
            StepOutcome::Placed
        } else if self.workers.values().any(|tracked| fits_empty(tracked, context)) {
            StepOutcome::Waits
        } else {
            StepOutcome::NeverFits
        };
        reasons.sort_unstable_keys();
        let unfit = reasons.into_iter().map(|(reason, workers)| ReasonCount { reason, workers });
        NeedVerdict {
            outcome,
            workers: best.collect(),
            fitting: costs.len(),
            unfit: unfit.collect(),
        }
    }
}

impl NeedVerdict {
    /// Verdict on a step for which no worker is asked.
    fn without_workers(outcome: StepOutcome) -> Self {
        Self { outcome, workers: Vec::new(), fitting: 0, unfit: Vec::new() }
    }
}
