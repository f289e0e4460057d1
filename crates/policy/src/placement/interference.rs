//! Slowdown that one kind of task causes in another.
//!
//! The slowdown of a task is modelled as the sum of one weight per neighbour,
//! by the pair of kinds. Each observation moves the weights of the neighbours
//! that were present by their part of the error, so a kind that is there when
//! nothing is slow loses the blame that it shared with others.

use cactusdoor_core::name::TaskKind;
use indexmap::IndexMap;

/// Part of the error that one observation corrects.
const LEARNING_RATE: f64 = 0.2;

/// Learned weights, in percent of speed lost per neighbour.
#[derive(Clone, Debug, Default)]
pub struct PairTable {
    /// By victim and neighbour.
    weights: IndexMap<TaskKind, IndexMap<TaskKind, f64>>,
}

impl PairTable {
    /// A task of kind `victim` ran at `speed_percent` beside `neighbours`.
    pub fn observe(&mut self, victim: &TaskKind, neighbours: &[&TaskKind], speed_percent: u8) {
        if neighbours.is_empty() {
            return;
        }
        let slowdown = 100.0 - f64::from(speed_percent.min(100));
        let counts = count(neighbours);
        let expected: f64 =
            counts.iter().map(|(kind, count)| count * self.weight(victim, kind)).sum();
        let squares: f64 = counts.iter().map(|(_, count)| count * count).sum();
        // Divided by the squares, the correction of the sum is the learning
        // rate's part of the error, however many neighbours share a weight.
        let step = LEARNING_RATE * (slowdown - expected) / squares;
        for (neighbour, count) in counts {
            let weights = self.weights.entry(victim.clone()).or_default();
            let weight = weights.entry(neighbour.clone()).or_default();
            *weight = (*weight + step * count).clamp(0.0, 100.0);
        }
    }

    /// Slowdown that a newcomer is expected to suffer and cause among residents,
    /// which are given as kinds with their numbers, in percent.
    #[must_use]
    pub fn added<'a>(
        &self,
        newcomer: &TaskKind,
        residents: impl IntoIterator<Item = (&'a TaskKind, u32)>,
    ) -> f64 {
        let pairs = residents.into_iter().map(|(resident, count)| {
            let both = self.weight(resident, newcomer) + self.weight(newcomer, resident);
            f64::from(count) * both
        });
        pairs.sum()
    }

    /// Whether any pair was observed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.weights.is_empty()
    }

    /// Slowdown that one `neighbour` causes in `victim`, in percent.
    #[must_use]
    pub fn weight(&self, victim: &TaskKind, neighbour: &TaskKind) -> f64 {
        let weights = self.weights.get(victim);
        weights.and_then(|weights| weights.get(neighbour)).copied().unwrap_or(0.0)
    }
}

/// Distinct kinds with their numbers.
fn count<'a>(kinds: &[&'a TaskKind]) -> Vec<(&'a TaskKind, f64)> {
    let mut counts: Vec<(&TaskKind, f64)> = Vec::new();
    for kind in kinds {
        match counts.iter_mut().find(|(known, _)| known == kind) {
            Some((_, count)) => *count += 1.0,
            None => counts.push((kind, 1.0)),
        }
    }
    counts
}
