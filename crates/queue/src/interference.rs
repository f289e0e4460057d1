//! Model of the interference of best-effort tasks with the serving tasks beside them.
//!
//! The tail latency of a serving task grows like that of a queue: its inverse
//! falls linearly with the load, and with the processors that tasks beside it
//! use. The headroom, latency bound divided by tail latency, is therefore modelled as
//! the baseline headroom of the serving image, less an interference coefficient for
//! each best-effort image times the share of the worker's processors that it uses.
//!
//! The load of a serving task changes all the time. Coefficients are learned from the
//! changes between two polls, since the load hardly changes in that time. The model decides
//! nothing; placement and throttling use it.

use std::sync::OnceLock;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::name::Label;

/// Interference coefficient of a pair of images while none is known: a best-effort task on a sixth
/// of a worker lowers the headroom by 1.
const DEFAULT_COEFFICIENT: f64 = 6.0;
/// Least and greatest learned interference coefficient.
const COEFFICIENT_RANGE: (f64, f64) = (0.2, 300.0);
/// Baseline headroom of an unknown image: its tail latency is half of the bound.
const DEFAULT_BASELINE: f64 = 2.0;
/// Upper limit of headrooms in the model; above it the task is practically idle.
pub(crate) const MAX_HEADROOM: f64 = 8.0;
/// Headroom below which the tail latency is too far over its bound to be informative.
pub const OVERLOADED_HEADROOM: f64 = 0.4;
/// Share of the prediction error that one sample corrects.
const LEARNING_RATE: f64 = 0.2;
/// Changes of processor shares below this have little weight, since the load changes too.
const CHANGE_NOISE: f64 = 0.06;
/// Weight of one sample in the baseline headroom.
const BASELINE_WEIGHT: f64 = 0.05;
/// Largest share of a worker's processors in a sample: measurements may exceed the whole.
const MAX_SHARE: f32 = 4.0;
/// Least spare headroom that a placement assumes.
const MIN_SPARE_HEADROOM: f64 = 0.1;

/// Change of the processors that an image uses, as a share of the worker's.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareChange {
    pub image: Label,
    pub before: f32,
    pub now: f32,
}

/// Headroom of a serving image on one worker at two polls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InterferenceSample {
    pub serving: Label,
    /// Mean headroom of the image's tasks that both polls list.
    pub before: f32,
    pub now: f32,
    pub shares: Vec<ShareChange>,
}

/// Estimates for a serving image, as sent to the agents.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InterferenceEstimates {
    pub image: Label,
    /// Baseline headroom.
    #[serde(rename = "calm")]
    pub baseline: f32,
    /// Interference coefficient by best-effort image, for a whole worker's processors.
    #[serde(rename = "presses")]
    pub coefficients: Vec<(Label, f32)>,
}

/// Values by image. A forecast looks up each image on a worker; the standard hasher takes most of
/// that time.
type ImageMap<V> = IndexMap<Label, V, foldhash::fast::RandomState>;

#[derive(Clone, Debug, PartialEq)]
struct ImageEstimates {
    baseline: f64,
    coefficients: ImageMap<f64>,
}

impl Default for ImageEstimates {
    fn default() -> Self {
        Self { baseline: DEFAULT_BASELINE, coefficients: ImageMap::default() }
    }
}

/// Learned estimates for all serving images.
#[derive(Clone, Debug, Default)]
pub struct InterferenceModel {
    serving: ImageMap<ImageEstimates>,
    /// Coefficient of a pair that was not seen together, by best-effort image; computed at the
    /// first use after a change of the image's coefficients.
    expected: ImageMap<OnceLock<f64>>,
}

/// Compares what was learned, not which means have been used.
impl PartialEq for InterferenceModel {
    fn eq(&self, other: &Self) -> bool {
        self.serving == other.serving
    }
}

/// Estimates for one serving image.
#[derive(Clone, Copy, Debug)]
pub struct ServingEstimates<'a> {
    model: &'a InterferenceModel,
    known: Option<&'a ImageEstimates>,
}

impl ServingEstimates<'_> {
    /// Loss of headroom if a best-effort image uses a whole worker.
    #[must_use]
    pub fn coefficient(&self, best_effort: Option<&Label>) -> f64 {
        let coefficient = self.known.and_then(|known| known.coefficients.get(best_effort?));
        coefficient.copied().unwrap_or_else(|| self.model.expected_coefficient(best_effort))
    }

    /// Learned average of the baseline headroom.
    #[must_use]
    pub fn baseline(&self) -> f64 {
        self.known.map_or(DEFAULT_BASELINE, |known| known.baseline)
    }
}

impl InterferenceModel {
    /// Loss of headroom of a serving image if a best-effort image uses a whole worker.
    #[must_use]
    pub fn coefficient(&self, serving: Option<&Label>, best_effort: Option<&Label>) -> f64 {
        self.serving_image(serving).coefficient(best_effort)
    }

    /// Estimates for a serving image, to look up several of them.
    #[must_use]
    pub fn serving_image(&self, serving: Option<&Label>) -> ServingEstimates<'_> {
        let known = serving.and_then(|image| self.serving.get(image));
        ServingEstimates { model: self, known }
    }

    /// Baseline headroom of a serving image beyond `target`.
    #[must_use]
    pub fn spare_headroom(&self, serving: Option<&Label>, target: f64) -> f64 {
        spare_beyond(self.baseline(serving), target)
    }

    /// Learned average of the baseline headroom of a serving image.
    #[must_use]
    pub fn baseline(&self, serving: Option<&Label>) -> f64 {
        self.serving_image(serving).baseline()
    }

    /// Coefficient of a pair that was not seen together: the geometric mean of the default and
    /// of the pairs that were, with the same best-effort image.
    fn expected_coefficient(&self, best_effort: Option<&Label>) -> f64 {
        let Some(image) = best_effort else { return DEFAULT_COEFFICIENT };
        match self.expected.get(image) {
            Some(expected) => *expected.get_or_init(|| self.mean_coefficient(image)),
            None => self.mean_coefficient(image),
        }
    }

    fn mean_coefficient(&self, image: &Label) -> f64 {
        let known = self.serving.values().filter_map(|known| known.coefficients.get(image));
        let (mut sum, mut count) = (DEFAULT_COEFFICIENT.ln(), 1.0);
        for coefficient in known {
            sum += coefficient.ln();
            count += 1.0;
        }
        (sum / count).exp()
    }

    /// Corrects the coefficients by a sample's error (normalised least mean squares).
    pub fn learn(&mut self, sample: &InterferenceSample) {
        let (before, now) = (headroom(sample.before), headroom(sample.now));
        let is_share = |share: f32| (0.0..=MAX_SHARE).contains(&share);
        let is_usable = |share: &ShareChange| is_share(share.before) && is_share(share.now);
        if !before.is_finite() || !now.is_finite() || !sample.shares.iter().all(is_usable) {
            return;
        }
        let serving = Some(&sample.serving);
        let shares: Vec<_> = sample.shares.iter().map(Share::of).collect();
        let norm: f64 = shares.iter().map(|share| share.change * share.change).sum();
        let norm = norm + CHANGE_NOISE * CHANGE_NOISE;
        let expected: f64 = shares
            .iter()
            .map(|share| -self.coefficient(serving, Some(share.image)) * share.change)
            .sum();
        let error = now - before - expected;
        let corrected: Vec<_> = shares
            .iter()
            .map(|share| {
                let old = self.coefficient(serving, Some(share.image));
                let new = old - LEARNING_RATE * error * share.change / norm;
                // Far over the bound, the headroom understates the change.
                let is_understated = before.min(now) < OVERLOADED_HEADROOM && new < old;
                let (least, most) = COEFFICIENT_RANGE;
                (share, if is_understated { old } else { new.clamp(least, most) })
            })
            .collect();
        let lost: f64 = corrected.iter().map(|(share, coefficient)| coefficient * share.now).sum();
        let known = self.serving.entry(sample.serving.clone()).or_default();
        for (share, coefficient) in &corrected {
            if share.change != 0.0 {
                known.coefficients.insert(share.image.clone(), *coefficient);
                self.expected.insert(share.image.clone(), OnceLock::new());
            }
        }
        if now >= OVERLOADED_HEADROOM {
            known.baseline += BASELINE_WEIGHT * ((now + lost).min(MAX_HEADROOM) - known.baseline);
        }
    }

    /// The learned estimates, for the agents.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, reason = "estimates need no more precision")]
    pub fn estimates(&self) -> Vec<InterferenceEstimates> {
        let estimates = self.serving.iter().map(|(image, known)| InterferenceEstimates {
            image: image.clone(),
            baseline: known.baseline as f32,
            coefficients: known
                .coefficients
                .iter()
                .map(|(image, value)| (image.clone(), *value as f32))
                .collect(),
        });
        estimates.collect()
    }

    /// Replaces the estimates by those of the owner.
    pub fn set_estimates(&mut self, estimates: Vec<InterferenceEstimates>) {
        let serving = estimates.into_iter().map(|estimates| {
            let coefficients = estimates.coefficients.into_iter();
            let coefficients =
                coefficients.map(|(image, value)| (image, f64::from(value))).collect();
            (
                estimates.image,
                ImageEstimates { baseline: f64::from(estimates.baseline), coefficients },
            )
        });
        self.serving = serving.collect();
        let images = self.serving.values().flat_map(|known| known.coefficients.keys());
        self.expected = images.map(|image| (image.clone(), OnceLock::new())).collect();
    }
}

/// Whether stored estimates can have been learned: within the model's ranges.
pub(crate) fn is_plausible(estimates: &InterferenceEstimates) -> bool {
    let (least, most) = COEFFICIENT_RANGE;
    let is_learned =
        |(_, coefficient): &(Label, f32)| (least..=most).contains(&f64::from(*coefficient));
    (0.0..=MAX_HEADROOM).contains(&f64::from(estimates.baseline))
        && estimates.coefficients.iter().all(is_learned)
}

/// Headroom beyond `target` that a placement assumes.
pub(crate) fn spare_beyond(baseline: f64, target: f64) -> f64 {
    (baseline - target).max(MIN_SPARE_HEADROOM)
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

fn headroom(value: f32) -> f64 {
    f64::from(value).min(MAX_HEADROOM)
}
