//! Need and run time per task kind, learned from what tasks really used.
//!
//! Usage figures lag, so a task's peak is known only some time after it
//! started. The need of a kind is an upper quantile of the peaks of recent
//! tasks with a margin; it may lie above the declared need as well as below.

use std::collections::VecDeque;

use cactusdoor_core::name::TaskKind;
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::{Millis, Token};
use indexmap::IndexMap;

/// Peaks kept per kind; a few minutes of a busy kind.
const PEAKS: usize = 128;
/// Peaks below which the declared need is used.
const ENOUGH_PEAKS: usize = 8;
/// Quantile of the processor peaks, in percent. Processors are shared, so a
/// rare excess only slows tasks down.
const PROCESSOR_QUANTILE: usize = 95;
/// Margin on every learned amount, in percent.
const MARGIN_PERCENT: u64 = 15;
/// Least learned need, in percent of the declared one: lagging figures may
/// miss a short peak.
const FLOOR_PERCENT: u64 = 25;
/// Quantile of the run times, in percent.
const RUN_TIME_QUANTILE: usize = 75;
/// Samples below which a task's peak does not count.
const ENOUGH_SAMPLES: u32 = 3;

#[derive(Clone, Debug, Default)]
struct KindHistory {
    processors: VecDeque<u64>,
    memory: VecDeque<u64>,
    run_times: VecDeque<Millis>,
}

#[derive(Clone, Debug)]
struct TaskPeak {
    kind: TaskKind,
    peak: ResourceVector,
    samples: u32,
}

/// What is known of the kinds.
#[derive(Clone, Debug, Default)]
pub struct UsageLearner {
    kinds: IndexMap<TaskKind, KindHistory>,
    running: IndexMap<Token, TaskPeak>,
}

impl UsageLearner {
    /// A usage figure of a running task.
    pub fn observe(&mut self, token: Token, kind: &TaskKind, used: ResourceVector) {
        let peak = self.running.entry(token).or_insert_with(|| TaskPeak {
            kind: kind.clone(),
            peak: ResourceVector::ZERO,
            samples: 0,
        });
        peak.peak = super::allowance::max(peak.peak, used);
        peak.samples += 1;
    }

    /// The task has ended; `run_time` is known if it ran to its end.
    pub fn ended(&mut self, token: Token, kind: &TaskKind, run_time: Option<Millis>) {
        let peak = self.running.swap_remove(&token);
        let history = self.kinds.entry(kind.clone()).or_default();
        if let Some(run_time) = run_time {
            push(&mut history.run_times, run_time);
        }
        if let Some(peak) = peak.filter(|peak| peak.samples >= ENOUGH_SAMPLES) {
            push(&mut history.processors, peak.peak.processors);
            push(&mut history.memory, peak.peak.memory);
        }
    }

    /// The amount to commit for a task of `kind`.
    ///
    /// Accelerators are used whole, so their number is the declared one. Memory
    /// cannot be shared: the largest recent peak counts, not a quantile.
    #[must_use]
    pub fn need(&self, kind: &TaskKind, declared: ResourceVector) -> ResourceVector {
        let Some(history) = self.kinds.get(kind) else { return declared };
        let mut processors: Vec<u64> = history.processors.iter().copied().collect();
        let mut memory: Vec<u64> = history.memory.iter().copied().collect();
        for peak in self.running.values().filter(|peak| peak.kind == *kind) {
            if peak.samples >= ENOUGH_SAMPLES {
                processors.push(peak.peak.processors);
                memory.push(peak.peak.memory);
            }
        }
        if processors.len() < ENOUGH_PEAKS {
            return declared;
        }
        let learned = |amount: u64, declared: u64| {
            let with_margin = amount + amount * MARGIN_PERCENT / 100;
            with_margin.max(declared * FLOOR_PERCENT / 100).max(1)
        };
        let peak_memory = memory.iter().copied().max().unwrap_or(declared.memory);
        ResourceVector {
            processors: learned(quantile(&mut processors, PROCESSOR_QUANTILE), declared.processors),
            memory: learned(peak_memory, declared.memory),
            accelerators: declared.accelerators,
        }
    }

    /// Expected run time of a task of `kind`.
    #[must_use]
    pub fn run_time(&self, kind: &TaskKind, declared: Millis) -> Millis {
        match self.kinds.get(kind) {
            Some(history) if history.run_times.len() >= ENOUGH_PEAKS => {
                let mut times: Vec<Millis> = history.run_times.iter().copied().collect();
                quantile(&mut times, RUN_TIME_QUANTILE)
            }
            _ => declared,
        }
    }
}

fn push(values: &mut VecDeque<u64>, value: u64) {
    if values.len() == PEAKS {
        values.pop_front();
    }
    values.push_back(value);
}

fn quantile(values: &mut [u64], percent: usize) -> u64 {
    values.sort_unstable();
    let rank = (values.len() * percent).div_ceil(100).max(1) - 1;
    values.get(rank).copied().unwrap_or(0)
}
