//! Which job's task is placed next.
//!
//! Urgent jobs come first, then jobs whose deadline can just be met, then the
//! plan with the lowest weighted share of the shard. A deadline that cannot be
//! met any more gives no precedence, because it would delay work that still can.

use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::{Millis, Offset};

/// Slack below which a deadline takes precedence, as a multiple of the run time.
const PRESSURE_RUN_TIMES: u64 = 1;
/// Slack below which a deadline takes precedence in any case; covers a move
/// between shards and an eviction.
const PRESSURE_FLOOR: Millis = 30_000;

/// Time left before a job must start to meet its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeadlineSlack {
    None,
    Left(Millis),
    Missed,
}

impl DeadlineSlack {
    /// Slack of a job with `deadline`, if a task of it runs `run_time`.
    #[must_use]
    pub fn new(deadline: Option<Millis>, run_time: Millis, unix_ms: Millis) -> Self {
        match deadline {
            None => Self::None,
            Some(deadline) => deadline
                .checked_sub(unix_ms.saturating_add(run_time))
                .map_or(Self::Missed, Self::Left),
        }
    }

    fn presses(self, run_time: Millis) -> Option<Millis> {
        match self {
            Self::Left(left) => {
                let limit = PRESSURE_FLOOR.max(run_time.saturating_mul(PRESSURE_RUN_TIMES));
                (left <= limit).then_some(left)
            }
            _ => None,
        }
    }
}

/// A job with pending tasks.
#[derive(Clone, Debug)]
pub struct JobDemand {
    /// Position of its plan among the shares.
    pub plan: usize,
    pub urgent: bool,
    pub slack: DeadlineSlack,
    pub run_time: Millis,
    /// Order of arrival.
    pub since: Offset,
    /// Need of one task.
    pub need: ResourceVector,
}

/// What a plan uses in this shard.
#[derive(Clone, Copy, Debug)]
pub struct PlanShare {
    pub weight: u32,
    pub used: ResourceVector,
}

/// Order of one placement round.
#[derive(Debug)]
pub struct FairQueue {
    total: ResourceVector,
    shares: Vec<PlanShare>,
    demands: Vec<JobDemand>,
    /// Urgent and pressing demands, the next one last.
    first: Vec<usize>,
    /// Per plan the other demands, the next one last.
    rest: Vec<Vec<usize>>,
}

impl FairQueue {
    /// A round over a shard with `total` capacity.
    #[must_use]
    pub fn new(total: ResourceVector, shares: Vec<PlanShare>, demands: Vec<JobDemand>) -> Self {
        let mut first = Vec::new();
        let mut rest = vec![Vec::new(); shares.len()];
        for (position, demand) in demands.iter().enumerate() {
            if demand.urgent || demand.slack.presses(demand.run_time).is_some() {
                first.push(position);
            } else {
                rest[demand.plan].push(position);
            }
        }
        first.sort_by_key(|&position| std::cmp::Reverse(first_key(&demands[position])));
        for queue in &mut rest {
            queue.sort_by_key(|&position| std::cmp::Reverse(rest_key(&demands[position])));
        }
        Self { total, shares, demands, first, rest }
    }

    /// The demand whose task is next.
    #[must_use]
    pub fn peek(&self) -> Option<usize> {
        if let Some(&position) = self.first.last() {
            return Some(position);
        }
        let waiting = (0..self.shares.len()).filter(|&plan| !self.rest[plan].is_empty());
        let lowest = waiting.min_by(|&a, &b| self.share(a).total_cmp(&self.share(b)))?;
        self.rest[lowest].last().copied()
    }

    /// A task of `demand` was placed.
    pub fn placed(&mut self, demand: usize) {
        let JobDemand { plan, need, .. } = self.demands[demand];
        self.shares[plan].used = self.shares[plan].used.saturating_add(need);
    }

    /// The demand has no further task for this round.
    pub fn finish(&mut self, demand: usize) {
        if self.first.last() == Some(&demand) {
            self.first.pop();
            return;
        }
        let queue = &mut self.rest[self.demands[demand].plan];
        if let Some(position) = queue.iter().rposition(|&other| other == demand) {
            queue.remove(position);
        }
    }

    /// Dominant share of a plan, divided by its weight.
    fn share(&self, plan: usize) -> f64 {
        let PlanShare { weight, used } = self.shares[plan];
        let part = |used: u64, total: u64| used as f64 / total.max(1) as f64;
        let dominant = part(used.processors, self.total.processors)
            .max(part(used.memory, self.total.memory))
            .max(part(used.accelerators.into(), self.total.accelerators.into()));
        dominant / f64::from(weight.max(1))
    }
}

fn first_key(demand: &JobDemand) -> (bool, Millis, Offset) {
    let left = demand.slack.presses(demand.run_time).unwrap_or(Millis::MAX);
    (!demand.urgent, if demand.urgent { 0 } else { left }, demand.since)
}

fn rest_key(demand: &JobDemand) -> (Millis, Offset) {
    let left = match demand.slack {
        DeadlineSlack::Left(left) => left,
        _ => Millis::MAX,
    };
    (left, demand.since)
}
