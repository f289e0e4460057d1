//! Measured rate of best-effort work.

use std::collections::BTreeMap;

use cactusdoor_core::unit::{Millis, Moment};

/// Duration of a slot of the measurement, ms.
const SLOT: Millis = 500;
/// Slots of the measurement: 5 s.
const SLOTS: u64 = 10;
/// Least slots in which work waited: progress is reported with a delay of up to a second, so
/// shorter measurements show too low a rate.
const MIN_SLOTS: usize = 5;
/// Longest time between two samples of an owner that places tasks, ms: the agents' reports call
/// it at least every 0.6 s.
const MAX_SAMPLE_GAP: Millis = 1_200;
/// Longest time between two lists of a worker for which its runs count, ms: a list is sent every
/// 0.6 s.
const MAX_LIST_GAP: Millis = 1_000;
/// Time after an interruption until the rate is that of a full fleet again, ms: a placement, the
/// start of its run, and the first list with its progress.
const SETTLE_TIME: Millis = 2_000;

/// The time since which the owner has placed tasks without an interruption.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PlacingTime {
    sampled: Option<Moment>,
    /// Begin of the measurement.
    from: Moment,
}

impl PlacingTime {
    /// Records that the owner places tasks.
    pub(crate) fn sample(&mut self, now: Moment) {
        if !self.is_placing(now) {
            self.interrupt(now);
        }
        self.sampled = Some(now);
    }

    /// Has the measurement begin anew: work is done that is not listed, or nothing can be placed.
    pub(crate) fn interrupt(&mut self, now: Moment) {
        self.from = now.after(SETTLE_TIME);
    }

    fn is_placing(&self, now: Moment) -> bool {
        self.sampled.is_some_and(|at| now <= at.after(MAX_SAMPLE_GAP))
    }

    /// Begin of the measurement; `None` if the owner does not place tasks at present.
    pub(crate) fn measured_from(&self, now: Moment) -> Option<Moment> {
        self.is_placing(now).then_some(self.from)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct RateSlot {
    /// Work done, in hundredths of a processor-ms.
    done: u128,
    /// Processor time of the listed runs, in the same unit.
    used: u128,
    /// Whether work waited at a sample.
    waited: bool,
    /// Whether none waited at another.
    idle: bool,
}

impl RateSlot {
    fn record(&mut self, waits: bool) {
        self.waited |= waits;
        self.idle |= !waits;
    }
}

/// Best-effort work done in the last slots.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkRate {
    /// By the number of the slot since the start of the clock.
    slots: BTreeMap<u64, RateSlot>,
    /// Slot of the newest sample, and whether work waited.
    sampled: Option<(u64, bool)>,
}

impl WorkRate {
    fn slot(&mut self, number: u64) -> &mut RateSlot {
        if !self.slots.contains_key(&number) {
            self.slots = self.slots.split_off(&number.saturating_sub(SLOTS));
        }
        self.slots.entry(number).or_default()
    }

    /// Records done work, in hundredths of a processor-ms. Work that is lost later has been done:
    /// it waits again, and says nothing about the room.
    pub(crate) fn add(&mut self, done: u128, now: Moment) {
        let slot = self.slot(now.0 / SLOT);
        slot.done = slot.done.saturating_add(done);
    }

    /// Records the processors, thousandths, that the runs of a worker have used for a time, ms.
    pub(crate) fn add_used(&mut self, cpu: u64, time: Millis, now: Moment) {
        let slot = self.slot(now.0 / SLOT);
        let used = u128::from(cpu) * u128::from(time.min(MAX_LIST_GAP)) / 10;
        slot.used = slot.used.saturating_add(used);
    }

    /// Records whether work waits for room. Work waits in the slots without a sample if it waits
    /// before and after them.
    pub(crate) fn sample(&mut self, waits: bool, now: Moment) {
        let current = now.0 / SLOT;
        let (last, waited) = self.sampled.unwrap_or((current, waits));
        for number in last.saturating_add(1).max(current.saturating_sub(SLOTS))..current {
            self.slot(number).record(waits && waited);
        }
        self.slot(current).record(waits);
        self.sampled = Some((current, waits));
    }

    /// Thousandths of a processor-ms in a ms, over the complete slots of the last 5 s in which
    /// work waited all the time; `None` if there are too few. It is at least the processors that
    /// the listed runs have used: progress may be listed rarely, and an estimate may be too low
    /// for the tasks that take the room, but not for those that wait. `from`: begin of the measurement.
    pub(crate) fn mean(&self, from: Moment, now: Moment) -> Option<u64> {
        let current = now.0 / SLOT;
        let oldest = current.saturating_sub(SLOTS).max(from.0.div_ceil(SLOT));
        let recent = self.slots.range(oldest.min(current)..current);
        let waited = recent.filter(|(_, slot)| slot.waited && !slot.idle);
        let (mut count, mut done, mut used) = (0usize, 0u128, 0u128);
        for (_, slot) in waited {
            count += 1;
            done = done.saturating_add(slot.done);
            used = used.saturating_add(slot.used);
        }
        if count < MIN_SLOTS {
            return None;
        }
        let time = count as u128 * u128::from(SLOT);
        Some(u64::try_from(done.max(used).saturating_mul(10) / time).unwrap_or(u64::MAX))
    }
}
