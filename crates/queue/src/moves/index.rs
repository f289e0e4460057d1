//! Runs that are listed at a low speed, and runs that are stopped for a move or a preemption.
//!
//! A pass reads only the runs whose next look is due, so it costs what is throttled.

use std::collections::BTreeSet;
use std::hash::Hash;

use cactusdoor_core::unit::{Millis, Moment};
use indexmap::IndexMap;

use crate::name::{AgentName, RunNumber, StepName, TaskName};
use crate::worker::AssignedRun;

/// Speed, percent, up to which a listed run is slow: at most a quarter of what its owner assumed.
const SLOW_SPEED: u8 = 25;
/// Least time between the first and the newest low speed of a run that may be moved, ms: longer
/// than the time between two lists, and than a short rise of the load.
const SLOW_TIME: Millis = 1_000;
/// Least time between two looks at a slow run, or at the steps that wait, ms: about half of the
/// time between two lists.
pub(super) const LOOK_INTERVAL: Millis = 500;
/// Most slow runs that one pass looks at: bounds the duration of a pass.
const MAX_LOOKS: usize = 20;

/// Time in which a run was listed at low speeds only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowSpan {
    /// When the first of these lists arrived.
    pub since: Moment,
    /// When the newest one arrived.
    pub newest: Moment,
    /// Newest listed speed, percent.
    pub speed: u8,
}

impl SlowSpan {
    /// The span after a list; `None` if it shows a higher speed, percent.
    #[must_use]
    pub fn of(before: Option<Self>, speed: u8, now: Moment) -> Option<Self> {
        let since = before.map_or(now, |before| before.since);
        (speed <= SLOW_SPEED).then_some(Self { since, newest: now, speed })
    }

    /// Whether the run was slow for long enough to be moved.
    #[must_use]
    pub fn lasts(&self) -> bool {
        self.newest >= self.since.after(SLOW_TIME)
    }
}

#[derive(Clone, Debug)]
struct SlowRun {
    agent: AgentName,
    /// When the run is looked at next.
    due: Moment,
}

/// Why a run is stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StopCause {
    /// It is slow, and this agent's worker is expected to take its task.
    Moved(AgentName),
    /// It holds memory that this step needs.
    Preempted(StepName),
}

/// A run whose stop was ordered here and that has not ended.
#[derive(Clone, Debug)]
struct StoppedRun {
    agent: AgentName,
    run: RunNumber,
    cause: StopCause,
}

/// Numbers of stopped runs by a key; without entries of 0.
#[derive(Clone, Debug)]
struct StopCounts<K>(IndexMap<K, usize>);

impl<K> Default for StopCounts<K> {
    fn default() -> Self {
        Self(IndexMap::new())
    }
}

impl<K: Hash + Eq + Clone> StopCounts<K> {
    fn add(&mut self, key: &K) {
        *self.0.entry(key.clone()).or_default() += 1;
    }

    fn subtract(&mut self, key: &K) {
        let Some(number) = self.0.get_mut(key) else { return };
        *number -= 1;
        if *number == 0 {
            self.0.swap_remove(key);
        }
    }

    fn number(&self, key: &K) -> usize {
        self.0.get(key).copied().unwrap_or_default()
    }
}

/// State of the moves of one owner; none of it is stored.
#[derive(Clone, Debug, Default)]
pub struct MoveState {
    slow: IndexMap<TaskName, SlowRun>,
    due: BTreeSet<(Moment, TaskName)>,
    stopped: IndexMap<TaskName, StoppedRun>,
    moving: usize,
    moving_steps: StopCounts<StepName>,
    /// Agents on whose workers moved tasks are expected to continue.
    targets: StopCounts<AgentName>,
    freeing_steps: StopCounts<StepName>,
    freed_agents: StopCounts<AgentName>,
    /// When the steps that wait for memory were last looked at.
    pub(super) preempted: Moment,
    /// When this owner first decided; `None` before.
    pub(super) began: Option<Moment>,
}

impl MoveState {
    /// Indexes a run after its speed was listed.
    pub fn update(&mut self, agent: &AgentName, run: &AssignedRun, now: Moment) {
        let task = &run.start.task;
        if run.slow.is_none() {
            self.remove(task);
        } else if self.slow.get(task).is_none_or(|known| known.agent != *agent) {
            self.remove(task);
            self.slow.insert(task.clone(), SlowRun { agent: agent.clone(), due: now });
            self.due.insert((now, task.clone()));
        }
    }

    fn remove(&mut self, task: &TaskName) {
        if let Some(known) = self.slow.swap_remove(task) {
            self.due.remove(&(known.due, task.clone()));
        }
    }

    /// Removes a run that has ended; returns whether it was stopped for a move or a preemption.
    pub fn end(&mut self, agent: &AgentName, task: &TaskName, run: RunNumber) -> bool {
        if self.slow.get(task).is_some_and(|known| known.agent == *agent) {
            self.remove(task);
        }
        let stopped = self.stopped.get(task);
        let ended = stopped.is_some_and(|known| known.run == run);
        if ended {
            self.forget_stop(task);
        }
        ended
    }

    /// Slow runs whose look is due, with their agents; the next look is set.
    pub(super) fn take_due(&mut self, now: Moment) -> Vec<(TaskName, AgentName)> {
        let mut taken = Vec::new();
        while taken.len() < MAX_LOOKS
            && let Some((_, task)) = self.due.first().filter(|(due, _)| *due <= now).cloned()
        {
            self.due.pop_first();
            let Some(known) = self.slow.get_mut(&task) else { continue };
            known.due = now.after(LOOK_INTERVAL);
            self.due.insert((known.due, task.clone()));
            taken.push((task, known.agent.clone()));
        }
        taken
    }

    /// Tasks of the slow runs, with the agents of their workers.
    pub fn slow(&self) -> impl Iterator<Item = (&TaskName, &AgentName)> {
        self.slow.iter().map(|(task, known)| (task, &known.agent))
    }

    pub(super) fn stop(
        &mut self,
        agent: &AgentName,
        task: &TaskName,
        run: RunNumber,
        cause: StopCause,
    ) {
        self.forget_stop(task);
        match &cause {
            StopCause::Moved(target) => {
                self.moving += 1;
                self.moving_steps.add(&task.step_name());
                self.targets.add(target);
            }
            StopCause::Preempted(step) => {
                self.freeing_steps.add(step);
                self.freed_agents.add(agent);
            }
        }
        self.stopped.insert(task.clone(), StoppedRun { agent: agent.clone(), run, cause });
    }

    fn forget_stop(&mut self, task: &TaskName) {
        let Some(stopped) = self.stopped.swap_remove(task) else { return };
        match &stopped.cause {
            StopCause::Moved(target) => {
                self.moving -= 1;
                self.moving_steps.subtract(&task.step_name());
                self.targets.subtract(target);
            }
            StopCause::Preempted(step) => {
                self.freeing_steps.subtract(step);
                self.freed_agents.subtract(&stopped.agent);
            }
        }
    }

    /// Number of moves under way.
    pub(super) fn moving(&self) -> usize {
        self.moving
    }

    /// Number of moves under way of tasks of a step.
    pub(super) fn moving_of(&self, step: &StepName) -> usize {
        self.moving_steps.number(step)
    }

    /// Whether a move under way is expected to end on the agent's worker.
    pub(super) fn is_target(&self, agent: &AgentName) -> bool {
        self.targets.number(agent) > 0
    }

    /// Whether runs are being stopped for the step.
    pub(super) fn frees_for(&self, step: &StepName) -> bool {
        self.freeing_steps.number(step) > 0
    }

    /// Whether runs on the agent's worker are being stopped for any step.
    pub(crate) fn frees_on(&self, agent: &AgentName) -> bool {
        self.freed_agents.number(agent) > 0
    }
}
