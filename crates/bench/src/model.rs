//! Model of the systems served: tasks that disturb one another on a VM.
//!
//! The slowdown of a pair of kinds is drawn once per seed and is not known to
//! any policy; a policy sees only usage samples that lag.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::load::log_normal;

/// Kinds of batch work in the model.
pub const KINDS: usize = 6;

/// Slowdown that one running task of a kind causes.
#[derive(Clone, Debug)]
pub struct PairModel {
    /// Slowdown of an interactive service at full intensity, by kind of batch task.
    pub on_service: [f64; KINDS],
    /// Slowdown of a batch task, by own kind and by kind of the neighbour.
    pub on_batch: [[f64; KINDS]; KINDS],
}

impl PairModel {
    /// Draws the costs: most pairs hardly disturb, a few do strongly.
    pub fn draw(rng: &mut ChaCha8Rng) -> Self {
        let mut cost = |strong: f64| {
            let mean = if rng.random::<f64>() < 0.25 { strong } else { 0.02 };
            mean * log_normal(rng, 0.4)
        };
        let on_service = std::array::from_fn(|_| cost(0.30));
        let on_batch = std::array::from_fn(|_| std::array::from_fn(|_| cost(0.15)));
        Self { on_service, on_batch }
    }

    /// Factor on the service time with `running` tasks of each kind.
    #[must_use]
    pub fn service_factor(&self, running: &[u32; KINDS]) -> f64 {
        let costs = self.on_service.iter().zip(running);
        1.0 + costs.map(|(cost, &count)| cost * f64::from(count)).sum::<f64>()
    }

    /// Factor on the run time of a task of `kind` beside `running`, which includes it.
    #[must_use]
    pub fn batch_factor(&self, kind: usize, running: &[u32; KINDS]) -> f64 {
        let mut others = *running;
        others[kind] = others[kind].saturating_sub(1);
        let costs = self.on_batch[kind].iter().zip(&others);
        1.0 + costs.map(|(cost, &count)| cost * f64::from(count)).sum::<f64>()
    }
}
