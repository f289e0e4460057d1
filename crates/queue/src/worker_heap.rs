//! Workers for the tasks of a step, by cost.
//!
//! The cost of most workers is not computed: a lower bound shows that others are better.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use cactusdoor_core::unit::Moment;

use crate::config::QueueConfig;
use crate::name::{AgentName, Label, StepName, TaskName};
use crate::placement::{ChoiceContext, cost, least_cost};
use crate::scheduler::QueueScheduler;
use crate::spec::StepSpec;

/// Workers by the cost of a task, lowest first; at equal cost in the order of the fleet. The
/// last part tells whether the cost is known, or a lower bound of it.
pub(crate) type WorkerHeap = BinaryHeap<Reverse<(u64, usize, bool)>>;
/// Step of a placement.
pub(crate) type PlacedStep<'a> = (&'a StepName, &'a StepSpec, &'a QueueConfig);

impl QueueScheduler {
    /// All workers that can take a task of the step, within a rack if one is given, by cost.
    pub(crate) fn rank_workers(
        &self,
        rack: Option<&Label>,
        name: &StepName,
        step: &StepSpec,
        config: &QueueConfig,
        now: Moment,
    ) -> WorkerHeap {
        let context = ChoiceContext { within: rack, ..self.choice(name, step, config, now) };
        let workers = self.workers.values().enumerate();
        let ranked = workers.filter_map(|(index, tracked)| {
            let (cost, exact) = least_cost(tracked, &context)?;
            Some((cost, index, exact))
        });
        ranked.map(Reverse).collect()
    }

    pub(crate) fn push_worker(
        &self,
        heap: &mut WorkerHeap,
        worker: usize,
        (name, step, config): PlacedStep<'_>,
        now: Moment,
    ) {
        let Some((_, tracked)) = self.workers.get_index(worker) else { return };
        if let Some(cost) = cost(tracked, &self.choice(name, step, config, now)) {
            heap.push(Reverse((cost, worker, true)));
        }
    }

    /// Takes the worker with the lowest cost that has no run of the task and is not avoided.
    pub(crate) fn pop_worker(
        &self,
        heap: &mut WorkerHeap,
        task: &TaskName,
        avoided: Option<&AgentName>,
        step: PlacedStep<'_>,
        now: Moment,
    ) -> Option<usize> {
        let mut passed = Vec::new();
        let chosen = loop {
            let Some(Reverse((cost, worker, exact))) = heap.pop() else { break None };
            let (_, tracked) = self.workers.get_index(worker)?;
            if !exact {
                self.push_worker(heap, worker, step, now);
            } else if avoided == Some(&tracked.agent) || tracked.runs.contains_key(task) {
                passed.push(Reverse((cost, worker, exact)));
            } else {
                break Some(worker);
            }
        };
        heap.extend(passed);
        chosen
    }
}
