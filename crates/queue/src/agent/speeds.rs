//! Speeds of the best-effort tasks on an agent's worker.
//!
//! Passes the newest list to the throttle controller and keeps the speeds that were set.

use cactusdoor_core::unit::{Millis, Moment};

use super::{AgentState, MAX_SAMPLES};
use crate::throttling::{BestEffortRun, FULL_SPEED, ServingRun, ThrottleCall};

impl AgentState {
    /// Calls that set the speeds of best-effort tasks after a list. `harm_bound`: time,
    /// ms, for which a serving task may miss its latency bound.
    pub fn throttle(&mut self, harm_bound: Millis, now: Moment, unix: Millis) -> Vec<ThrottleCall> {
        let capacity = self.worker.as_ref().map_or(1, |worker| worker.capacity.cpu).max(1);
        let (mut serving, mut best_effort) = (Vec::new(), Vec::new());
        for listed in &self.running {
            let ordered = self.ordered.get(&listed.task);
            let Some(start) = ordered.and_then(|ordered| ordered.original.as_ref()) else {
                continue;
            };
            if start.latency_bound > 0 && listed.percent >= FULL_SPEED {
                let (task, image) = (listed.task.clone(), start.image.clone());
                let headroom = share(start.latency_bound, listed.measurement.max(1));
                serving.push(ServingRun { task, image, headroom });
            }
            if start.best_effort {
                let speed = self.speeds.get(&(listed.task.clone(), listed.run)).copied();
                best_effort.push(BestEffortRun {
                    task: listed.task.clone(),
                    run: listed.run,
                    image: start.image.clone(),
                    share: share(start.cpu, capacity),
                    used: share(listed.measurement, capacity),
                    speed: speed.unwrap_or(FULL_SPEED),
                    percent: listed.percent,
                    late: start.job_deadline < unix,
                    turn: self.features.job_order.then(|| self.ranks.turn(start)),
                });
            }
        }
        self.throttle.is_forecast = self.features.headroom_forecast;
        let update = self.throttle.update(&serving, &best_effort, harm_bound, now);
        self.samples.extend(update.samples);
        let excess = self.samples.len().saturating_sub(MAX_SAMPLES);
        self.samples.drain(..excess);
        update.calls
    }

    pub fn record_speed(&mut self, call: &ThrottleCall) {
        self.speeds.insert((call.task.clone(), call.run), call.percent);
    }

    /// Whether serving and best-effort tasks share the worker.
    #[must_use]
    pub fn is_shared(&self) -> bool {
        let starts = || self.ordered.values().filter_map(|run| run.original.as_ref());
        starts().any(|start| start.latency_bound > 0) && starts().any(|start| start.best_effort)
    }
}

#[expect(clippy::cast_precision_loss, reason = "far below 2^53")]
fn share(part: u64, total: u64) -> f64 {
    part as f64 / total as f64
}
