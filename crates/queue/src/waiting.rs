//! Steps with tasks that wait for a worker, and the workers that have gained room.
//!
//! Steps that the same workers can run form a class. A class is refused once no worker can
//! take its first step; it is tried again only for workers that have gained room since.
//! Among the classes that are not refused, the first step in order is served next.

use std::collections::{BTreeMap, BTreeSet};

use cactusdoor_core::unit::Millis;
use indexmap::IndexMap;

use crate::config::QueueConfig;
use crate::name::{AgentName, Label, ServiceName, StepName};
use crate::rank::StepRank;
use crate::spec::{StepSpec, TaskNeed};

/// Turn of a waiting step among those of its priority; reserving steps come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StepTurn {
    /// Occurrences that can no longer meet their deadline come last.
    Accepted { late: bool, accepted: Millis },
    /// A best-effort step, if there is an order of these.
    Ranked(StepRank),
}

/// Order in which waiting steps are served.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepOrder {
    /// 0 is the highest priority.
    pub priority: u32,
    pub turn: StepTurn,
    pub step: StepName,
}

/// What decides on which workers a best-effort task may run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct BestEffortNeed {
    image: Option<Label>,
    cpu: u64,
    may_wait: bool,
}

/// What decides on which workers the tasks of a step may run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NeedClass {
    service: ServiceName,
    /// Memory may be kept for steps of higher priorities.
    priority: u32,
    reserved: TaskNeed,
    label: Option<Label>,
    best_effort: Option<BestEffortNeed>,
    /// A step for which its own runs count, too: a gang, one with a limit for each worker, or
    /// one with a task that must not be placed on a certain worker.
    alone: Option<StepName>,
}

impl NeedClass {
    #[must_use]
    pub fn of(
        name: &StepName,
        step: &StepSpec,
        config: &QueueConfig,
        may_wait: bool,
        avoids: bool,
    ) -> Self {
        let best_effort = step.best_effort.then(|| BestEffortNeed {
            image: step.image.clone(),
            cpu: step.need.cpu,
            may_wait,
        });
        Self {
            service: config.service.clone(),
            priority: config.terms.priority,
            reserved: step.reserved(),
            label: step.label.clone(),
            best_effort,
            alone: (step.gang || step.per_worker > 0 || avoids).then(|| name.clone()),
        }
    }
}

/// Waiting steps of one class.
#[derive(Debug, Default)]
struct NeedQueue {
    steps: BTreeSet<StepOrder>,
    /// Number of the room change up to which no worker can take the class.
    refused: Option<u64>,
}

/// All waiting steps.
#[derive(Debug, Default)]
pub struct WaitingSteps {
    entries: IndexMap<StepName, (NeedClass, StepOrder)>,
    classes: IndexMap<NeedClass, NeedQueue>,
}

impl WaitingSteps {
    /// Adds a step, or moves it to another class or position.
    pub fn insert(&mut self, class: NeedClass, order: StepOrder) {
        let step = order.step.clone();
        if let Some((known, position)) = self.entries.get(&step) {
            if *known == class && *position == order {
                return;
            }
            // The class keeps its refusal, as its needs are the same.
            if *known == class
                && position.priority == order.priority
                && let StepTurn::Ranked(rank) = order.turn
            {
                self.rerank(&step, rank);
                return;
            }
            self.remove(&step);
        }
        self.classes.entry(class.clone()).or_default().steps.insert(order.clone());
        self.entries.insert(step, (class, order));
    }

    /// Moves a waiting step to the position of its new rank.
    pub fn rerank(&mut self, step: &StepName, rank: StepRank) {
        let Some((class, order)) = self.entries.get_mut(step) else { return };
        let Some(queue) = self.classes.get_mut(class) else { return };
        queue.steps.remove(order);
        order.turn = StepTurn::Ranked(rank);
        queue.steps.insert(order.clone());
    }

    pub fn remove(&mut self, step: &StepName) {
        let Some((class, order)) = self.entries.swap_remove(step) else { return };
        let Some(queue) = self.classes.get_mut(&class) else { return };
        queue.steps.remove(&order);
        if queue.steps.is_empty() {
            self.classes.swap_remove(&class);
        }
    }

    pub fn clear(&mut self) {
        self.entries.clear();
        self.classes.clear();
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of steps that come before a turn of a priority.
    #[must_use]
    pub fn count_before(&self, priority: u32, turn: StepTurn) -> usize {
        let orders = self.entries.values().map(|(_, order)| order);
        orders.filter(|order| (order.priority, order.turn) < (priority, turn)).count()
    }

    /// First step in order among the classes that are not refused.
    #[must_use]
    pub fn first(&self) -> Option<StepName> {
        let open = self.classes.values().filter(|queue| queue.refused.is_none());
        open.filter_map(|queue| queue.steps.first()).min().map(|order| order.step.clone())
    }

    /// First steps in order of the refused classes, at most `limit`.
    #[must_use]
    pub fn refused_steps(&self, limit: usize) -> Vec<StepName> {
        let refused = self.classes.values().filter(|queue| queue.refused.is_some());
        let mut first: Vec<_> = refused.filter_map(|queue| queue.steps.first()).collect();
        first.sort();
        first.into_iter().take(limit).map(|order| order.step.clone()).collect()
    }

    /// Class of a waiting step.
    #[must_use]
    pub fn class_of(&self, step: &StepName) -> Option<&NeedClass> {
        self.entries.get(step).map(|(class, _)| class)
    }

    /// Refuses a class, as no worker can take it at this number of room changes.
    pub fn refuse(&mut self, class: &NeedClass, number: u64) {
        if let Some(queue) = self.classes.get_mut(class) {
            queue.refused = Some(number);
        }
    }

    /// Opens the refused classes that a worker may take according to `admits`, which is asked
    /// with the first step of a class and an agent whose worker has gained room since.
    pub fn reopen(&mut self, rooms: &RoomChanges, admits: impl Fn(&StepName, &AgentName) -> bool) {
        for queue in self.classes.values_mut() {
            let Some(refused) = queue.refused.filter(|refused| *refused < rooms.number) else {
                continue;
            };
            let Some(first) = queue.steps.first() else { continue };
            let mut gained = rooms.since(refused);
            let admitted = gained.any(|agent| admits(&first.step, agent));
            queue.refused = (!admitted).then_some(rooms.number);
        }
    }

    /// First best-effort step of each class that no worker can take, with its service.
    pub fn refused_best_effort(&self) -> impl Iterator<Item = (&ServiceName, &StepName)> {
        let refused = |(class, queue): &(&NeedClass, &NeedQueue)| {
            class.best_effort.is_some() && queue.refused.is_some()
        };
        let refused = self.classes.iter().filter(refused);
        refused.filter_map(|(class, queue)| Some((&class.service, &queue.steps.first()?.step)))
    }

    /// Opens all classes of best-effort steps.
    pub fn reopen_best_effort(&mut self) {
        for (class, queue) in &mut self.classes {
            if class.best_effort.is_some() {
                queue.refused = None;
            }
        }
    }
}

/// Workers that have gained room, in the order of their newest gain.
#[derive(Debug, Default)]
pub struct RoomChanges {
    /// Number of the newest change.
    pub number: u64,
    agents: BTreeMap<u64, AgentName>,
    newest: IndexMap<AgentName, u64>,
}

impl RoomChanges {
    /// Records that an agent's worker may now take a task that it could not take before.
    pub fn gain(&mut self, agent: &AgentName) {
        self.number += 1;
        if let Some(older) = self.newest.insert(agent.clone(), self.number) {
            self.agents.remove(&older);
        }
        self.agents.insert(self.number, agent.clone());
    }

    /// Agents whose workers have gained room after the change with this number.
    fn since(&self, number: u64) -> impl Iterator<Item = &AgentName> {
        self.agents.range(number + 1..).map(|(_, agent)| agent)
    }
}
