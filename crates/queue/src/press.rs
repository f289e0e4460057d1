//! How much the tasks that fill idle processors disturb the tasks that serve
//! users beside them.
//!
//! The tail latency of a serving task grows like that of a queue: its inverse
//! falls linearly with the load, and with the processors that tasks beside it
//! use. The headroom, bound over tail latency, is therefore modelled as a sum: a
//! calm headroom of the serving image, less a press for each pair of images
//! times the share of the worker's processors that the filling image uses.
//!
//! The load of a serving task changes all the time. Presses are learned from the
//! changes between two looks, which the load hardly reaches.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::name::Label;

/// Press of a pair that was never seen: a task that fills a sixth of a worker
/// takes one headroom.
const UNKNOWN_PRESS: f64 = 6.0;
/// Range of a learned press.
const PRESS_RANGE: (f64, f64) = (0.2, 300.0);
/// Calm headroom of an image that was never seen: half of the bound is used.
const FIRST_CALM: f64 = 2.0;
/// Highest headroom that says more than that the task is idle.
const MOST_HEADROOM: f64 = 8.0;
/// Headroom below which the tail latency says no more than that it is far too high.
pub const FAR_OVER: f64 = 0.4;
/// Share of an error that one sample corrects.
const LEARNING_RATE: f64 = 0.2;
/// Changes of the shares below this are hardly learned from: the load changes too.
const CHANGE_NOISE: f64 = 0.06;
/// Weight of one sample in the calm headroom.
const CALM_WEIGHT: f64 = 0.05;
/// Least calm headroom beyond the goal that placements count with.
const LEAST_ROOM: f64 = 0.1;

/// Processors that an image uses, as a share of the worker's.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareChange {
    pub image: Label,
    pub before: f32,
    pub now: f32,
}

/// A serving image on a worker at two looks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PressSample {
    pub serving: Label,
    /// Mean headroom of the image's tasks that both looks list.
    pub before: f32,
    pub now: f32,
    pub shares: Vec<ShareChange>,
}

/// What is known of a serving image.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServingFigures {
    pub image: Label,
    pub calm: f32,
    /// By filling image, for a whole worker's processors.
    pub presses: Vec<(Label, f32)>,
}

#[derive(Clone, Debug, PartialEq)]
struct ServingPress {
    calm: f64,
    presses: IndexMap<Label, f64>,
}

impl Default for ServingPress {
    fn default() -> Self {
        Self { calm: FIRST_CALM, presses: IndexMap::new() }
    }
}

/// What is known of all serving images.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PressModel {
    serving: IndexMap<Label, ServingPress>,
}

impl PressModel {
    /// Press of a filling image on a serving one, for a whole worker's processors.
    #[must_use]
    pub fn press(&self, serving: Option<&Label>, filling: Option<&Label>) -> f64 {
        let known = serving.and_then(|image| self.serving.get(image));
        let press = known.and_then(|known| known.presses.get(filling?)).copied();
        press.unwrap_or(UNKNOWN_PRESS)
    }

    /// Headroom of a serving image beyond `goal` with nothing beside it.
    #[must_use]
    pub fn room(&self, serving: Option<&Label>, goal: f64) -> f64 {
        let known = serving.and_then(|image| self.serving.get(image));
        let calm = known.map_or(FIRST_CALM, |known| known.calm);
        (calm - goal).max(LEAST_ROOM)
    }

    /// Corrects the presses by the error of a sample (normalised least mean squares).
    pub fn learn(&mut self, sample: &PressSample) {
        let (before, now) = (headroom(sample.before), headroom(sample.now));
        if !before.is_finite() || !now.is_finite() {
            return;
        }
        let serving = Some(&sample.serving);
        let shares: Vec<_> = sample.shares.iter().map(Share::of).collect();
        let norm: f64 = shares.iter().map(|share| share.change * share.change).sum();
        let norm = norm + CHANGE_NOISE * CHANGE_NOISE;
        let expected: f64 =
            shares.iter().map(|share| -self.press(serving, Some(share.image)) * share.change).sum();
        let error = now - before - expected;
        let corrected: Vec<_> = shares
            .iter()
            .map(|share| {
                let old = self.press(serving, Some(share.image));
                let new = old - LEARNING_RATE * error * share.change / norm;
                // Far over its bound the headroom hides how much it would have changed.
                let hidden = before.min(now) < FAR_OVER && new < old;
                let (least, most) = PRESS_RANGE;
                (share, if hidden { old } else { new.clamp(least, most) })
            })
            .collect();
        let pressed: f64 = corrected.iter().map(|(share, press)| press * share.now).sum();
        let known = self.serving.entry(sample.serving.clone()).or_default();
        for (share, press) in &corrected {
            if share.change != 0.0 {
                known.presses.insert(share.image.clone(), *press);
            }
        }
        if now >= FAR_OVER {
            known.calm += CALM_WEIGHT * ((now + pressed).min(MOST_HEADROOM) - known.calm);
        }
    }

    /// The learned figures, for the agents.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, reason = "rough figures")]
    pub fn figures(&self) -> Vec<ServingFigures> {
        let figures = self.serving.iter().map(|(image, known)| ServingFigures {
            image: image.clone(),
            calm: known.calm as f32,
            presses: known.presses.iter().map(|(image, p)| (image.clone(), *p as f32)).collect(),
        });
        figures.collect()
    }

    /// Takes up the owner's figures.
    pub fn take(&mut self, figures: Vec<ServingFigures>) {
        let serving = figures.into_iter().map(|figures| {
            let presses = figures.presses.into_iter();
            let presses = presses.map(|(image, press)| (image, f64::from(press))).collect();
            (figures.image, ServingPress { calm: f64::from(figures.calm), presses })
        });
        self.serving = serving.collect();
    }
}

struct Share<'a> {
    image: &'a Label,
    now: f64,
    change: f64,
}

impl<'a> Share<'a> {
    fn of(share: &'a ShareChange) -> Self {
        let (before, now) = (f64::from(share.before), f64::from(share.now));
        Self { image: &share.image, now, change: now - before }
    }
}

fn headroom(figure: f32) -> f64 {
    f64::from(figure).min(MOST_HEADROOM)
}
