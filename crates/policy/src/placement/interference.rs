//! Estimates the slowdown that one kind of task causes in another.
//!
//! The model is linear: the slowdown of a task is the sum of one weight per
//! neighbour, for each pair of kinds. Each observation corrects the weights of the
//! neighbours that were present by their part of the error. The weight of a
//! harmless kind therefore falls as soon as it is observed without a slowdown.

use cactusdoor_core::name::TaskKind;
use indexmap::IndexMap;

/// Fraction of the error that one observation corrects.
const LEARNING_RATE: f64 = 0.2;

/// Learned weights, in percent of full speed lost per neighbour.
#[derive(Clone, Debug, Default)]
pub struct InterferenceTable {
    /// By victim, then by neighbour.
    weights: IndexMap<TaskKind, IndexMap<TaskKind, f64>>,
}

impl InterferenceTable {
    /// Learns from a task of kind `victim` that ran at `speed_percent` beside `neighbours`.
    pub fn observe(&mut self, victim: &TaskKind, neighbours: &[&TaskKind], speed_percent: u8) {
        if neighbours.is_empty() {
            return;
        }
        let slowdown = 100.0 - f64::from(speed_percent.min(100));
        let counts = count(neighbours);
        let expected: f64 =
            counts.iter().map(|(kind, count)| count * self.weight(victim, kind)).sum();
        let squares: f64 = counts.iter().map(|(_, count)| count * count).sum();
        // Normalised by the squared counts, so that the sum is corrected by the
        // learning rate times the error, however many neighbours share a weight.
        let step = LEARNING_RATE * (slowdown - expected) / squares;
        for (neighbour, count) in counts {
            let weights = self.weights.entry(victim.clone()).or_default();
            let weight = weights.entry(neighbour.clone()).or_default();
            *weight = (*weight + step * count).clamp(0.0, 100.0);
        }
    }

    /// Slowdown that a new task is expected to suffer and to cause, in percent.
    ///
    /// `residents` are the kinds of the running tasks with their counts.
    #[must_use]
    pub fn expected_slowdown<'a>(
        &self,
        newcomer: &TaskKind,
        residents: impl IntoIterator<Item = (&'a TaskKind, u32)>,
    ) -> f64 {
        let pairs = residents.into_iter().map(|(resident, count)| {
            let mutual = self.weight(resident, newcomer) + self.weight(newcomer, resident);
            f64::from(count) * mutual
        });
        pairs.sum()
    }

    /// Whether nothing has been observed yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.weights.is_empty()
    }

    /// Slowdown that one task of kind `neighbour` causes in `victim`, in percent.
    #[must_use]
    pub fn weight(&self, victim: &TaskKind, neighbour: &TaskKind) -> f64 {
        let weights = self.weights.get(victim);
        weights.and_then(|weights| weights.get(neighbour)).copied().unwrap_or(0.0)
    }
}

/// Distinct kinds with their counts.
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
