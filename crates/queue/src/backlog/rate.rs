//! Measured rate of best-effort work.

use std::collections::VecDeque;

use cactusdoor_core::unit::{Millis, Moment};

/// Duration of a slot of the measurement, ms.
const SLOT: Millis = 500;
/// Slots of the measurement: 5 s.
const SLOTS: usize = 10;
/// Least slots in which work waited: progress is reported with a delay of up to a second, so
/// shorter measurements show too low a rate.
const MIN_SLOTS: usize = 5;

#[derive(Clone, Copy, Debug, Default)]
struct RateSlot {
    /// Number of the slot since the start of the clock.
    number: u64,
    /// Work done less work lost, in hundredths of a processor-ms.
    done: i128,
    /// Whether work waited or was throttled.
    waited: bool,
}

/// Best-effort work done in the last slots.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkRate {
    slots: VecDeque<RateSlot>,
}

impl WorkRate {
    fn slot(&mut self, now: Moment) -> &mut RateSlot {
        let number = now.0 / SLOT;
        if self.slots.back().is_none_or(|slot| slot.number < number) {
            self.slots.push_back(RateSlot { number, ..RateSlot::default() });
            if self.slots.len() > SLOTS + 1 {
                self.slots.pop_front();
            }
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }

    /// Records done work, in hundredths of a processor-ms; negative if work was lost.
    pub(crate) fn add(&mut self, done: i128, now: Moment) {
        let slot = self.slot(now);
        slot.done = slot.done.saturating_add(done);
    }

    /// Records that work waits or is throttled.
    pub(crate) fn wait(&mut self, now: Moment) {
        self.slot(now).waited = true;
    }

    /// Thousandths of a processor-ms in a ms, over the complete slots of the last 5 s in which
    /// work waited; `None` if there are too few.
    pub(crate) fn mean(&self, now: Moment) -> Option<u64> {
        let current = now.0 / SLOT;
        let oldest = current.saturating_sub(SLOTS as u64);
        let recent = self
            .slots
            .iter()
            .filter(|slot| slot.waited && slot.number >= oldest && slot.number < current);
        let (count, done) = recent.fold((0usize, 0i128), |(count, done), slot| {
            (count + 1, done.saturating_add(slot.done))
        });
        if count < MIN_SLOTS {
            return None;
        }
        let done = u128::try_from(done).unwrap_or_default();
        let time = count as u128 * u128::from(SLOT);
        Some(u64::try_from(done.saturating_mul(10) / time).unwrap_or(u64::MAX))
    }
}
