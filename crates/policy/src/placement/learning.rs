//! Learns the resource need and run time of each task kind from measured usage.
//!
//! Usage samples are delayed, so a task's peak is known only some time after its
//! start. The learned need is an upper quantile of the processor peaks and the
//! largest memory peak of recent tasks, plus a margin. It may be above or below the
//! declared need.

use std::collections::VecDeque;

use cactusdoor_core::name::TaskKind;
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::{Millis, Token};
use indexmap::IndexMap;

/// Values kept per kind and measurement; a few minutes of a busy kind.
const MAX_VALUES: usize = 128;
/// Values below which the declared need or run time is used.
const MIN_VALUES: usize = 8;
/// Quantile of the processor peaks, in percent. Processors are shared, so
/// exceeding it occasionally only slows tasks down.
const PROCESSOR_QUANTILE: usize = 95;
/// Margin added to each learned amount, in percent.
const MARGIN_PERCENT: u64 = 15;
/// Least learned need, in percent of the declared one, because delayed samples
/// may miss a short peak.
const FLOOR_PERCENT: u64 = 25;
/// Quantile of the run times, in percent.
const RUN_TIME_QUANTILE: usize = 75;
/// Samples below which a task's peak is ignored.
const MIN_SAMPLES: u32 = 3;

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

/// History per kind, and the peaks of the running tasks.
#[derive(Clone, Debug, Default)]
pub struct UsageLearner {
    kinds: IndexMap<TaskKind, KindHistory>,
    running: IndexMap<Token, TaskPeak>,
}

impl UsageLearner {
    /// Records a usage sample of a running task.
    pub fn observe(&mut self, token: Token, kind: &TaskKind, used: ResourceVector) {
        let peak = self.running.entry(token).or_insert_with(|| TaskPeak {
            kind: kind.clone(),
            peak: ResourceVector::ZERO,
            samples: 0,
        });
        peak.peak = super::allowance::max(peak.peak, used);
        peak.samples += 1;
    }

    /// Records the end of a task; `run_time` is given if it completed.
    pub fn ended(&mut self, token: Token, kind: &TaskKind, run_time: Option<Millis>) {
        let peak = self.running.swap_remove(&token);
        let history = self.kinds.entry(kind.clone()).or_default();
        if let Some(run_time) = run_time {
            push(&mut history.run_times, run_time);
        }
        if let Some(peak) = peak.filter(|peak| peak.samples >= MIN_SAMPLES) {
            push(&mut history.processors, peak.peak.processors);
            push(&mut history.memory, peak.peak.memory);
        }
    }

    /// Resources to commit for a task of `kind`.
    ///
    /// Accelerators are not divisible, so their number is the declared one. Memory
    /// cannot be shared, so the largest recent peak counts instead of a quantile.
    #[must_use]
    pub fn need(&self, kind: &TaskKind, declared: ResourceVector) -> ResourceVector {
        let Some(history) = self.kinds.get(kind) else { return declared };
        let mut processors: Vec<u64> = history.processors.iter().copied().collect();
        let mut memory: Vec<u64> = history.memory.iter().copied().collect();
        for peak in self.running.values().filter(|peak| peak.kind == *kind) {
            if peak.samples >= MIN_SAMPLES {
                processors.push(peak.peak.processors);
                memory.push(peak.peak.memory);
            }
        }
        if processors.len() < MIN_VALUES {
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

    /// Expected run time of a task of `kind`; `declared` if too few were seen.
    #[must_use]
    pub fn run_time(&self, kind: &TaskKind, declared: Millis) -> Millis {
        match self.kinds.get(kind) {
            Some(history) if history.run_times.len() >= MIN_VALUES => {
                let mut times: Vec<Millis> = history.run_times.iter().copied().collect();
                quantile(&mut times, RUN_TIME_QUANTILE)
            }
            _ => declared,
        }
    }
}

fn push(values: &mut VecDeque<u64>, value: u64) {
    if values.len() == MAX_VALUES {
        values.pop_front();
    }
    values.push_back(value);
}

fn quantile(values: &mut [u64], percent: usize) -> u64 {
    values.sort_unstable();
    let rank = (values.len() * percent).div_ceil(100).max(1) - 1;
    values.get(rank).copied().unwrap_or(0)
}
