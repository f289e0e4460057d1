//! One run of the placement experiment.

use super::baseline::{BaselineChoice, FifoPolicy};
use super::jobs;
use super::owners::OwnerPolicy;
use super::scenario::{LENGTH, PlacementScenario};
use super::world::{PlacementFigures, PlacementWorld};
use crate::preset::SitePreset;

/// The policies that are compared.
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
    fn submit(&mut self, world: &PlacementWorld<'_>, job: usize);
    fn cancel(&mut self, world: &mut PlacementWorld<'_>, job: usize);
    /// Called after each step of the model.
    fn step(&mut self, world: &mut PlacementWorld<'_>) -> anyhow::Result<()>;
}

/// Runs `scenario` under one policy.
pub fn run(
    site: &SitePreset,
    scenario: &PlacementScenario,
    kind: PlacementKind,
    seed: u64,
) -> anyhow::Result<PlacementFigures> {
    let jobs = jobs::draw(site, scenario, seed)?;
    let plans = jobs::plans(site)?;
    let mut world = PlacementWorld::new(site, scenario, &jobs, &plans, seed);
    let mut policy: Box<dyn PlacementPolicy> = match kind {
        PlacementKind::Cactusdoor => Box::new(OwnerPolicy::open(&world)?),
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
    while world.now < LENGTH {
        world.advance();
        while jobs.get(submitted).is_some_and(|job| job.at <= world.now) {
            policy.submit(&world, submitted);
            submitted += 1;
        }
        while let Some((_, job)) = cancellations.get(cancelled).filter(|it| it.0 <= world.now) {
            policy.cancel(&mut world, *job);
            cancelled += 1;
        }
        policy.step(&mut world)?;
    }
    Ok(world.conclude())
}
