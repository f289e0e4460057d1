//! How fast an agent lets tasks that fill idle processors run, so that the
//! tasks that serve users beside them meet their bound.
//!
//! How much a task that fills disturbs depends on its image. The owner learns
//! the press of each image from samples of all workers; each agent turns these
//! figures into paces, lightest images first, and corrects them by the tail
//! latencies that it sees.

use cactusdoor_core::unit::{Millis, Moment};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::name::{Label, RunNumber, TaskName};

/// Full speed, percent.
pub const FULL_PACE: u8 = 100;
/// Figures are of the last half second: a pace is kept until they show it.
const PACE_INTERVAL: Millis = 500;
/// Share of the bound that a tail latency may reach by the model.
const GOAL: f64 = 0.75;
/// Above this share of the bound the paces fall, below the other they rise.
const HIGH: f64 = 0.9;
const LOW: f64 = 0.65;
/// Factors by which the correction of the model falls and rises.
const FALL: f64 = 0.5;
const RISE: f64 = 1.25;
/// Range of the correction.
const MIN_SCALE: f64 = 0.02;
const MAX_SCALE: f64 = 4.0;
/// Tasks that fill stand still after so long over a bound. A bound may be missed
/// for 4 s; the figures come up to half a second late, a look 250 ms, and a pace
/// is set up to 750 ms after the last one.
const STANDSTILL: Millis = 1_400;
/// Share of the bound without any press, before it is learned.
const FIRST_BASE: f64 = 0.4;
/// Range of the learned base.
const BASE_RANGE: (f64, f64) = (0.1, 0.65);
/// Weight of the base beside the shares of the images when an error is spread: a
/// sample says little of an image that hardly works.
const BASE_SHARE: f64 = 0.3;
/// Press of an image that was never seen: in doubt it disturbs.
const UNKNOWN_PRESS: f64 = 1.5;
/// Least press, so that the correction reaches every image.
const LEAST_PRESS: f64 = 0.05;
const MOST_PRESS: f64 = 50.0;
/// Ratios above this say no more than that the bound is far exceeded.
const MOST_RATIO: f64 = 4.0;
/// Share of an error that one sample corrects.
const LEARNING_RATE: f64 = 0.2;
/// A task ranks by its press times its rest; this much more than the rest keeps
/// heavy images behind light ones to the end.
const RANK_REST: f64 = 1.1;
/// Paces are set in steps, percent.
const PACE_STEP: u8 = 5;

/// Tail latency of a worker's serving tasks beside the tasks that fill there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PressSample {
    /// Highest tail latency as a share of its bound.
    pub ratio: f64,
    /// By image: processors at work as a share of the worker's.
    pub shares: Vec<(Label, f64)>,
}

/// What the images of tasks that fill add to the tail latencies beside them.
#[derive(Clone, Debug, PartialEq)]
pub struct PressModel {
    presses: IndexMap<Label, f64>,
    /// Share of the bound without any press.
    base: f64,
}

/// The learned figures, for the agents.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PressFigures {
    pub base: f64,
    pub presses: Vec<(Label, f64)>,
}

impl Default for PressModel {
    fn default() -> Self {
        Self { presses: IndexMap::new(), base: FIRST_BASE }
    }
}

impl PressModel {
    /// Press of an image for a whole worker's processors, as a share of the bound.
    #[must_use]
    pub fn press(&self, image: Option<&Label>) -> f64 {
        let known = image.and_then(|image| self.presses.get(image)).copied();
        known.unwrap_or(UNKNOWN_PRESS)
    }

    /// Corrects base and presses by the error of a sample (normalised least
    /// mean squares).
    pub fn learn(&mut self, sample: &PressSample) {
        if !sample.ratio.is_finite() {
            return;
        }
        let norm: f64 = sample.shares.iter().map(|(_, share)| share * share).sum();
        let norm = norm + BASE_SHARE * BASE_SHARE;
        let modelled = |(image, share): &(Label, f64)| self.press(Some(image)) * share;
        let expected = self.base + sample.shares.iter().map(modelled).sum::<f64>();
        let step = LEARNING_RATE * (sample.ratio.min(MOST_RATIO) - expected) / norm;
        let (least, most) = BASE_RANGE;
        self.base = (self.base + step * BASE_SHARE * BASE_SHARE).clamp(least, most);
        for (image, share) in &sample.shares {
            let press = self.press(Some(image)) + step * share;
            self.presses.insert(image.clone(), press.clamp(LEAST_PRESS, MOST_PRESS));
        }
    }

    #[must_use]
    pub fn figures(&self) -> PressFigures {
        let presses = self.presses.iter().map(|(image, press)| (image.clone(), *press));
        PressFigures { base: self.base, presses: presses.collect() }
    }

    /// Takes up the owner's figures.
    pub fn take(&mut self, figures: PressFigures) {
        self.presses = figures.presses.into_iter().collect();
        self.base = figures.base;
    }

    /// What the bound leaves for tasks that fill.
    #[must_use]
    pub fn room(&self) -> f64 {
        GOAL - self.base
    }

    /// How much slower tasks with this press in sum have to run.
    #[must_use]
    pub fn slowdown(&self, press: f64) -> f64 {
        press / self.room()
    }
}

/// A call to set the pace of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PaceCall {
    pub task: TaskName,
    pub run: RunNumber,
    pub percent: u8,
}

/// A running task that fills.
#[derive(Clone, Debug, PartialEq)]
pub struct FillingRun {
    pub task: TaskName,
    pub run: RunNumber,
    pub image: Option<Label>,
    /// Processors as a share of the worker's.
    pub share: f64,
    /// Percent.
    pub pace: u8,
    /// Progress, percent.
    pub percent: u8,
}

/// The paces of the tasks that fill on one worker.
#[derive(Clone, Debug)]
pub struct FillPace {
    pub model: PressModel,
    /// Correction of the model on this worker.
    scale: f64,
    next: Moment,
    over_since: Option<Moment>,
}

impl Default for FillPace {
    fn default() -> Self {
        Self { model: PressModel::default(), scale: 1.0, next: Moment::default(), over_since: None }
    }
}

impl FillPace {
    /// Follows the newest figures: `ratio` is the highest tail latency as a
    /// share of its bound, `None` where no task serves. Returns the new paces
    /// and, where the figures are of the old ones, a sample.
    pub fn follow(
        &mut self,
        ratio: Option<f64>,
        filling: &[FillingRun],
        now: Moment,
    ) -> (Vec<PaceCall>, Option<PressSample>) {
        let Some(ratio) = ratio else {
            self.over_since = None;
            self.scale = 1.0;
            return (changes(filling, |_| FULL_PACE), None);
        };
        if now < self.next {
            return (Vec::new(), None);
        }
        self.next = now.after(PACE_INTERVAL);
        self.correct(ratio, now);
        let sample = sample(ratio, filling);
        let still = self.over_since.is_some_and(|since| since.after(STANDSTILL) <= now);
        let paces = if still { vec![0; filling.len()] } else { self.paces(filling) };
        let mut paces = paces.into_iter();
        (changes(filling, |_| paces.next().unwrap_or(FULL_PACE)), sample)
    }

    fn correct(&mut self, ratio: f64, now: Moment) {
        if ratio > HIGH {
            self.scale = (self.scale * FALL).max(MIN_SCALE);
        } else if ratio < LOW {
            self.scale = (self.scale * RISE).min(MAX_SCALE);
        }
        if ratio <= 1.0 {
            self.over_since = None;
        } else if self.over_since.is_none() {
            self.over_since = Some(now);
        }
    }

    /// Gives the room that the bound leaves to the lightest images first, and
    /// among alike to the tasks that are nearly done.
    fn paces(&self, filling: &[FillingRun]) -> Vec<u8> {
        let mut order: Vec<_> = filling.iter().enumerate().collect();
        let press = |run: &FillingRun| self.model.press(run.image.as_ref());
        let rank = |run: &FillingRun| press(run) * (RANK_REST - f64::from(run.percent) / 100.0);
        order.sort_by(|(_, one), (_, other)| rank(one).total_cmp(&rank(other)));
        let mut room = self.model.room() * self.scale;
        let mut paces = vec![0; filling.len()];
        for (index, run) in order {
            let wanted = press(run) * run.share;
            let part = if wanted <= room { 1.0 } else { (room / wanted).max(0.0) };
            room -= wanted * part;
            paces[index] = percent(part);
        }
        paces
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share from 0 to 1 in percent"
)]
fn percent(part: f64) -> u8 {
    let percent = (part * f64::from(FULL_PACE)) as u8;
    percent / PACE_STEP * PACE_STEP
}

fn changes(filling: &[FillingRun], mut pace: impl FnMut(&FillingRun) -> u8) -> Vec<PaceCall> {
    let paced = filling.iter().map(|run| (run, pace(run)));
    let changed = paced.filter(|(run, percent)| run.pace != *percent);
    changed
        .map(|(run, percent)| PaceCall { task: run.task.clone(), run: run.run, percent })
        .collect()
}

fn sample(ratio: f64, filling: &[FillingRun]) -> Option<PressSample> {
    let mut shares: IndexMap<Label, f64> = IndexMap::new();
    for run in filling.iter().filter(|run| run.pace > 0) {
        let image = run.image.clone()?;
        *shares.entry(image).or_insert(0.0) += run.share * f64::from(run.pace) / 100.0;
    }
    Some(PressSample { ratio, shares: shares.into_iter().collect() })
}
