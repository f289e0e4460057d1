//! Sums of the remaining work of an owner's jobs, changed by the job that changes.

use std::collections::{BTreeMap, BTreeSet};

use cactusdoor_core::unit::{Millis, Moment};
use indexmap::{IndexMap, IndexSet};

use super::rate::{PlacingTime, WorkRate};
use super::{Backlog, ClassWork, PriorityWork, ServiceBacklog, TimedWork, size_class};
use crate::name::{AgentName, JobId, ServiceName};

/// Latest time that is told apart, Unix ms (year 2527): sums of work times time fit into
/// their type with it.
const MAX_TIME: Millis = 1 << 44;

/// An occurrence of a job.
pub(super) type OccurrenceKey = (JobId, u32);

/// Remaining work of an occurrence, in hundredths of a processor-ms, and when it loses its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct TrackedWork {
    pub service: ServiceName,
    pub priority: u32,
    pub best_effort: u128,
    pub reserving: u128,
    /// Unix time until which the occurrence can be in time.
    pub in_time_until: Millis,
    /// Unix time at which it must be done to be in time.
    pub deadline: Millis,
    /// Unix time until which it is useful.
    pub useful_until: Millis,
}

/// Value that an occurrence has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ValueClass {
    InTime,
    Useful,
    Useless,
}

impl TrackedWork {
    fn value(&self, unix: Millis) -> ValueClass {
        if unix <= self.in_time_until {
            ValueClass::InTime
        } else if unix <= self.useful_until {
            ValueClass::Useful
        } else {
            ValueClass::Useless
        }
    }

    /// End of the value that it has, at most `MAX_TIME`.
    fn until(&self, value: ValueClass) -> Millis {
        let until = match value {
            ValueClass::InTime => self.in_time_until,
            ValueClass::Useful => self.useful_until,
            ValueClass::Useless => 0,
        };
        until.min(MAX_TIME)
    }

    /// When its work must be done to have this value, at most `MAX_TIME`.
    fn due(&self, value: ValueClass) -> Millis {
        let until = self.until(value);
        if value == ValueClass::InTime { self.deadline.min(MAX_TIME) } else { until }
    }

    fn size(&self) -> u32 {
        size_class(whole(self.best_effort))
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct WorkSum {
    work: u128,
    /// Sum of the work times the time at which it must be done.
    weighted: u128,
    /// Number of occurrences: a sum without any is dropped.
    count: usize,
}

#[derive(Clone, Copy, Debug, Default)]
struct KindSum {
    best_effort: u128,
    reserving: u128,
    count: usize,
}

type ClassKey = (ServiceName, u32, u32, ValueClass);

/// Sums of the remaining work.
#[derive(Debug, Default)]
pub(crate) struct BacklogIndex {
    entries: IndexMap<OccurrenceKey, (TrackedWork, ValueClass)>,
    kinds: BTreeMap<(ServiceName, u32), KindSum>,
    classes: BTreeMap<ClassKey, WorkSum>,
    /// When entries lose the value that they have.
    ends: BTreeSet<(Millis, JobId, u32)>,
    rates: IndexMap<ServiceName, WorkRate>,
    pub(super) placing: PlacingTime,
    /// When the worker of each agent was last listed.
    listed: IndexMap<AgentName, Moment>,
    /// Newest Unix time: the clock may be set back.
    unix: Millis,
}

impl BacklogIndex {
    /// Forgets all work; the rates stay.
    pub(crate) fn clear(&mut self) {
        let old = std::mem::take(self);
        let Self { rates, placing, listed, unix, .. } = old;
        *self = Self { rates, placing, listed, unix, ..Self::default() };
    }

    pub(super) fn contains(&self, key: &OccurrenceKey) -> bool {
        self.entries.contains_key(key)
    }

    pub(super) fn insert(&mut self, key: OccurrenceKey, work: TrackedWork) {
        self.remove(&key);
        let value = work.value(self.unix);
        self.count(&key, &work, value, true);
        self.entries.insert(key, (work, value));
    }

    pub(super) fn remove(&mut self, key: &OccurrenceKey) {
        if let Some((work, value)) = self.entries.swap_remove(key) {
            self.count(key, &work, value, false);
        }
    }

    /// Changes the work of an entry; returns its service and the best-effort work done,
    /// none if work was lost.
    pub(super) fn change(
        &mut self,
        key: &OccurrenceKey,
        change: impl FnOnce(&mut TrackedWork),
    ) -> Option<(ServiceName, u128)> {
        let (work, value) = self.entries.get_mut(key)?;
        let old = work.clone();
        change(work);
        let new = work.clone();
        let old_value = std::mem::replace(value, new.value(self.unix));
        let value = *value;
        let same_class = old.size() == new.size() && old.until(old_value) == new.until(value);
        if old_value == value && same_class {
            self.shift(&old, &new, value);
        } else {
            self.count(key, &old, old_value, false);
            self.count(key, &new, value, true);
        }
        Some((new.service, old.best_effort.saturating_sub(new.best_effort)))
    }

    /// Changes the amounts of an entry that stays in its class: most changes are progress.
    fn shift(&mut self, old: &TrackedWork, new: &TrackedWork, value: ValueClass) {
        let apply = |sum: &mut u128, before: u128, after: u128| {
            *sum = sum.saturating_sub(before).saturating_add(after);
        };
        if let Some(kind) = self.kinds.get_mut(&(new.service.clone(), new.priority)) {
            apply(&mut kind.best_effort, old.best_effort, new.best_effort);
            apply(&mut kind.reserving, old.reserving, new.reserving);
        }
        let key = (new.service.clone(), new.priority, new.size(), value);
        if old.best_effort != new.best_effort
            && let Some(class) = self.classes.get_mut(&key)
        {
            let due = u128::from(new.due(value));
            let weighted = |work: u128| work.saturating_mul(due);
            apply(&mut class.work, old.best_effort, new.best_effort);
            apply(&mut class.weighted, weighted(old.best_effort), weighted(new.best_effort));
        }
    }

    /// Adds an entry to the sums, or takes it out of them.
    fn count(&mut self, key: &OccurrenceKey, work: &TrackedWork, value: ValueClass, added: bool) {
        let apply = |sum: &mut u128, amount: u128| {
            *sum = if added { sum.saturating_add(amount) } else { sum.saturating_sub(amount) };
        };
        let number = |count: &mut usize| {
            *count = if added { *count + 1 } else { count.saturating_sub(1) };
            *count > 0
        };
        let kind_key = (work.service.clone(), work.priority);
        let kind = self.kinds.entry(kind_key.clone()).or_default();
        apply(&mut kind.best_effort, work.best_effort);
        apply(&mut kind.reserving, work.reserving);
        if !number(&mut kind.count) {
            self.kinds.remove(&kind_key);
        }
        if value == ValueClass::Useless {
            return;
        }
        let until = work.until(value);
        let class_key = (work.service.clone(), work.priority, work.size(), value);
        let class = self.classes.entry(class_key.clone()).or_default();
        apply(&mut class.work, work.best_effort);
        let due = u128::from(work.due(value));
        apply(&mut class.weighted, work.best_effort.saturating_mul(due));
        if !number(&mut class.count) {
            self.classes.remove(&class_key);
        }
        let end = (until, key.0.clone(), key.1);
        if added {
            self.ends.insert(end);
        } else {
            self.ends.remove(&end);
        }
    }

    /// Moves the entries whose value has ended to the next one.
    pub(super) fn advance(&mut self, unix: Millis) {
        self.unix = self.unix.max(unix);
        while self.ends.first().is_some_and(|(until, ..)| *until < self.unix.min(MAX_TIME)) {
            let Some((_, job, occurrence)) = self.ends.pop_first() else { return };
            self.change(&(job, occurrence), |_| {});
        }
    }

    pub(super) fn rate(&mut self, service: &ServiceName) -> &mut WorkRate {
        if !self.rates.contains_key(service) {
            self.rates.insert(service.clone(), WorkRate::default());
        }
        &mut self.rates[service]
    }

    /// `None` if the owner does not place tasks: what is done then is no measure of the room.
    fn mean_rate(&self, service: &ServiceName, now: Moment) -> Option<u64> {
        let from = self.placing.measured_from(now)?;
        self.rates.get(service)?.mean(from, now)
    }

    /// Records the processors, thousandths, that a worker's runs use according to its list.
    pub(super) fn list(&mut self, agent: &AgentName, service: &ServiceName, cpu: u64, now: Moment) {
        if let Some(before) = self.listed.insert(agent.clone(), now) {
            self.rate(service).add_used(cpu, now.0.saturating_sub(before.0), now);
        }
    }

    /// Records for which services work waits for room.
    pub(super) fn sample(&mut self, waiting: &IndexSet<ServiceName>, now: Moment) {
        self.placing.sample(now);
        for service in waiting {
            self.rate(service);
        }
        for (service, rate) in &mut self.rates {
            rate.sample(waiting.contains(service), now);
        }
    }

    /// The backlog at a time.
    pub(super) fn answer(&mut self, ordered: bool, now: Moment, unix: Millis) -> Backlog {
        self.advance(unix);
        Backlog { ordered, services: self.services(now) }
    }

    /// The sums of each service.
    fn services(&self, now: Moment) -> Vec<ServiceBacklog> {
        let mut services: IndexMap<ServiceName, ServiceBacklog> = IndexMap::new();
        for ((service, priority), sum) in &self.kinds {
            let known = services.entry(service.clone()).or_insert_with(|| ServiceBacklog {
                service: service.clone(),
                rate: self.mean_rate(service, now),
                ..ServiceBacklog::default()
            });
            let (best_effort, reserving) = (whole(sum.best_effort), whole(sum.reserving));
            known.work.push(PriorityWork { priority: *priority, best_effort, reserving });
        }
        for ((service, priority, size, value), sum) in &self.classes {
            let Some(known) = services.get_mut(service) else { continue };
            let is_same = |class: &ClassWork| (class.priority, class.size) == (*priority, *size);
            if !known.classes.last().is_some_and(is_same) {
                let (priority, size) = (*priority, *size);
                known.classes.push(ClassWork { priority, size, ..ClassWork::default() });
            }
            let Some(class) = known.classes.last_mut() else { continue };
            let until = sum.weighted.checked_div(sum.work).unwrap_or_default();
            let remaining = until.saturating_sub(u128::from(self.unix));
            let remaining = u64::try_from(remaining).unwrap_or(u64::MAX);
            let timed = TimedWork { work: whole(sum.work), remaining };
            match value {
                ValueClass::InTime => class.in_time = timed,
                _ => class.useful = timed,
            }
        }
        services.into_values().collect()
    }
}

/// Processor-ms of hundredths.
fn whole(work: u128) -> u64 {
    u64::try_from(work / 100).unwrap_or(u64::MAX)
}
