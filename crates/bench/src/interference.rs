//! Model of the interference between tasks on a VM.
//!
//! The cost of each pair of kinds is generated once per seed. It is hidden from the
//! policies, which see only delayed usage samples.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::load::log_normal;

/// Number of kinds of batch tasks.
pub const TASK_KINDS: usize = 6;

/// Slowdown that one running task of each kind causes, as a fraction of the run time.
#[derive(Clone, Debug)]
pub struct InterferenceModel {
    /// Slowdown of an interactive service by an unthrottled batch task, by its kind.
    pub service_costs: [f64; TASK_KINDS],
    /// Slowdown of a batch task, by its own kind and then by the other task's kind.
    pub batch_costs: [[f64; TASK_KINDS]; TASK_KINDS],
}

impl InterferenceModel {
    /// Random costs: a quarter of the pairs interfere strongly, the others hardly.
    pub fn generate(rng: &mut ChaCha8Rng) -> Self {
        let mut cost = |strong_cost: f64| {
            let median = if rng.random::<f64>() < 0.25 { strong_cost } else { 0.02 };
            median * log_normal(rng, 0.4)
        };
        let service_costs = std::array::from_fn(|_| cost(0.30));
        let batch_costs = std::array::from_fn(|_| std::array::from_fn(|_| cost(0.15)));
        Self { service_costs, batch_costs }
    }

    /// Factor on the service time beside `running` batch tasks, counted by kind.
    #[must_use]
    pub fn service_factor(&self, running: &[u32; TASK_KINDS]) -> f64 {
        let costs = self.service_costs.iter().zip(running);
        1.0 + costs.map(|(cost, &count)| cost * f64::from(count)).sum::<f64>()
    }

    /// Factor on the run time of a batch task of `kind` among `running`, which includes it.
    #[must_use]
    pub fn batch_factor(&self, kind: usize, running: &[u32; TASK_KINDS]) -> f64 {
        let mut others = *running;
        others[kind] = others[kind].saturating_sub(1);
        let costs = self.batch_costs[kind].iter().zip(&others);
        1.0 + costs.map(|(cost, &count)| cost * f64::from(count)).sum::<f64>()
    }
}
