//! Decides which job's task is placed next.
//!
//! Urgent jobs come first, then jobs with little slack before their deadline, then
//! the jobs of the plan with the lowest weighted dominant share of the shard. A job
//! that can no longer meet its deadline gets no precedence, because it would delay
//! jobs that still can.

use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::{Millis, Offset};

/// Slack up to which a deadline takes precedence, as a multiple of the run time.
const SHORT_SLACK_RUN_TIMES: u64 = 1;
/// Slack up to which a deadline takes precedence for any run time; allows for a
/// transfer between shards and an eviction.
const SHORT_SLACK_FLOOR: Millis = 30_000;

/// Time for which the start of a job may still be delayed without missing its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeadlineSlack {
    /// The job has no deadline.
    None,
    Remaining(Millis),
    /// The deadline cannot be met any more.
    Missed,
}

impl DeadlineSlack {
    /// Slack of a job whose tasks run for `run_time`; `deadline` in Unix milliseconds.
    #[must_use]
    pub fn new(deadline: Option<Millis>, run_time: Millis, unix_ms: Millis) -> Self {
        match deadline {
            None => Self::None,
            Some(deadline) => deadline
                .checked_sub(unix_ms.saturating_add(run_time))
                .map_or(Self::Missed, Self::Remaining),
        }
    }

    /// The remaining slack, if it is short enough to take precedence.
    fn short_slack(self, run_time: Millis) -> Option<Millis> {
        match self {
            Self::Remaining(slack) => {
                let limit = SHORT_SLACK_FLOOR.max(run_time.saturating_mul(SHORT_SLACK_RUN_TIMES));
                (slack <= limit).then_some(slack)
            }
            _ => None,
        }
    }
}

/// A job with pending tasks.
#[derive(Clone, Debug)]
pub struct JobDemand {
    /// Index of the job's plan in the list of shares.
    pub plan: usize,
    pub urgent: bool,
    pub slack: DeadlineSlack,
    pub run_time: Millis,
    /// Offset that orders jobs by arrival.
    pub since: Offset,
    /// Resources that one task needs.
    pub need: ResourceVector,
}

/// Weight of a plan and its usage in this shard.
#[derive(Clone, Copy, Debug)]
pub struct PlanShare {
    pub weight: u32,
    pub used: ResourceVector,
}

/// Order of the demands in one placement round.
#[derive(Debug)]
pub struct FairQueue {
    total: ResourceVector,
    shares: Vec<PlanShare>,
    demands: Vec<JobDemand>,
    /// Urgent demands and those with short slack; the next one is last.
    preferred: Vec<usize>,
    /// The other demands of each plan; the next one is last.
    by_plan: Vec<Vec<usize>>,
}

impl FairQueue {
    /// Orders `demands` for a shard with `total` capacity.
    #[must_use]
    pub fn new(total: ResourceVector, shares: Vec<PlanShare>, demands: Vec<JobDemand>) -> Self {
        let mut preferred = Vec::new();
        let mut by_plan = vec![Vec::new(); shares.len()];
        for (position, demand) in demands.iter().enumerate() {
            if demand.urgent || demand.slack.short_slack(demand.run_time).is_some() {
                preferred.push(position);
            } else {
                by_plan[demand.plan].push(position);
            }
        }
        preferred.sort_by_key(|&position| std::cmp::Reverse(preferred_key(&demands[position])));
        for queue in &mut by_plan {
            queue.sort_by_key(|&position| std::cmp::Reverse(plan_key(&demands[position])));
        }
        Self { total, shares, demands, preferred, by_plan }
    }

    /// Index of the demand whose task is placed next.
    #[must_use]
    pub fn peek(&self) -> Option<usize> {
        if let Some(&position) = self.preferred.last() {
            return Some(position);
        }
        let waiting = (0..self.shares.len()).filter(|&plan| !self.by_plan[plan].is_empty());
        let lowest = waiting.min_by(|&a, &b| self.share(a).total_cmp(&self.share(b)))?;
        self.by_plan[lowest].last().copied()
    }

    /// Counts a placed task of `demand` towards its plan's usage.
    pub fn placed(&mut self, demand: usize) {
        let JobDemand { plan, need, .. } = self.demands[demand];
        self.shares[plan].used = self.shares[plan].used.saturating_add(need);
    }

    /// Removes a demand that has no further task for this round.
    pub fn finish(&mut self, demand: usize) {
        if self.preferred.last() == Some(&demand) {
            self.preferred.pop();
            return;
        }
        let queue = &mut self.by_plan[self.demands[demand].plan];
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

fn preferred_key(demand: &JobDemand) -> (bool, Millis, Offset) {
    let slack = demand.slack.short_slack(demand.run_time).unwrap_or(Millis::MAX);
    (!demand.urgent, if demand.urgent { 0 } else { slack }, demand.since)
}

fn plan_key(demand: &JobDemand) -> (Millis, Offset) {
    let slack = match demand.slack {
        DeadlineSlack::Remaining(slack) => slack,
        _ => Millis::MAX,
    };
    (slack, demand.since)
}
