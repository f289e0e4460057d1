//! One run of the placement experiment.

use super::baseline::{BaselineChoice, FifoPolicy};
use super::jobs;
use super::model::{PlacementModel, PlacementResult};
use super::owner::OwnerPolicy;
use super::scenario::{PlacementScenario, RUN_DURATION};
use crate::preset::SitePreset;

/// Policies under comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementKind {
    Cactusdoor,
    FirstFit,
    LeastLoaded,
}

impl PlacementKind {
    pub const ALL: [Self; 3] = [Self::Cactusdoor, Self::FirstFit, Self::LeastLoaded];

    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Cactusdoor => "cactusdoor",
            Self::FirstFit => "first fit",
            Self::LeastLoaded => "least loaded",
        }
    }
}

/// Decides which task runs where.
pub trait PlacementPolicy {
    /// `job` is a position in the model's jobs.
    fn submit(&mut self, model: &PlacementModel<'_>, job: usize);
    fn cancel(&mut self, model: &mut PlacementModel<'_>, job: usize);
    /// Called after each step of the model.
    fn step(&mut self, model: &mut PlacementModel<'_>) -> anyhow::Result<()>;
}

/// Runs `scenario` under one policy.
pub fn run(
    site: &SitePreset,
    scenario: &PlacementScenario,
    kind: PlacementKind,
    seed: u64,
) -> anyhow::Result<PlacementResult> {
    let jobs = jobs::generate(site, scenario, seed)?;
    let plans = jobs::plans(site)?;
    let mut model = PlacementModel::new(site, scenario, &jobs, &plans, seed);
    let mut policy: Box<dyn PlacementPolicy> = match kind {
        PlacementKind::Cactusdoor => Box::new(OwnerPolicy::new(&model)?),
        PlacementKind::FirstFit => Box::new(FifoPolicy::new(BaselineChoice::FirstFit)),
        PlacementKind::LeastLoaded => Box::new(FifoPolicy::new(BaselineChoice::LeastLoaded)),
    };
    let mut submitted = 0;
    let mut cancellations: Vec<(u64, usize)> = jobs
        .iter()
        .enumerate()
        .filter_map(|(position, job)| job.cancelled_at.map(|at| (at, position)))
        .collect();
    cancellations.sort_unstable();
    let mut cancelled = 0;
    while model.now < RUN_DURATION {
        model.advance();
        while jobs.get(submitted).is_some_and(|job| job.arrival <= model.now) {
            policy.submit(&model, submitted);
            submitted += 1;
        }
        while let Some((_, job)) = cancellations.get(cancelled).filter(|it| it.0 <= model.now) {
            policy.cancel(&mut model, *job);
            cancelled += 1;
        }
        policy.step(&mut model)?;
    }
    Ok(model.into_result())
}
