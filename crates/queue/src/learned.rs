//! Stored record of what an owner has learned, for its successor.
//!
//! The record only improves the first decisions of a new owner: one that is old, of another
//! version or not plausible is ignored, and the successor learns anew.

use cactusdoor_core::unit::Millis;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::interference::{InterferenceEstimates, InterferenceModel, is_plausible};

/// Version of the record's format and of the model that it belongs to.
const RECORD_VERSION: u32 = 1;
/// Greatest age of a record, ms: interference belongs to images, of which most last longer
/// than any election.
const MAX_RECORD_AGE: Millis = 600_000;
/// Difference of the machines' times of day that is tolerated, ms.
const CLOCK_TOLERANCE: Millis = 60_000;
/// Most images on either side of the estimates, so that a record stays within a store's limit.
const MAX_IMAGES: usize = 200;

/// Why a record is not used.
#[derive(Debug, Error)]
pub enum LearnedError {
    #[error("record does not parse")]
    Malformed(#[from] serde_json::Error),
    #[error("record has version {0}")]
    Version(u32),
    #[error("record is {0} ms old")]
    Old(Millis),
    #[error("record is from the future")]
    Future,
    #[error("estimate of image {0:?} is not plausible")]
    Implausible(String),
    #[error("record has too many images")]
    TooLarge,
}

/// What an owner has learned.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedRecord {
    version: u32,
    /// Unix time of the record.
    at: Millis,
    estimates: Vec<InterferenceEstimates>,
}

impl LearnedRecord {
    /// A record of the model at a Unix time, limited to the first `MAX_IMAGES` images.
    #[must_use]
    pub fn of(model: &InterferenceModel, unix: Millis) -> Self {
        let mut estimates = model.estimates();
        estimates.truncate(MAX_IMAGES);
        for image in &mut estimates {
            image.coefficients.truncate(MAX_IMAGES);
        }
        Self { version: RECORD_VERSION, at: unix, estimates }
    }

    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes and checks a stored record.
    pub fn decode(value: &[u8], unix: Millis) -> Result<Self, LearnedError> {
        let record: Self = serde_json::from_slice(value)?;
        if record.version != RECORD_VERSION {
            return Err(LearnedError::Version(record.version));
        }
        if record.at > unix.saturating_add(CLOCK_TOLERANCE) {
            return Err(LearnedError::Future);
        }
        let age = record.age(unix);
        if age > MAX_RECORD_AGE {
            return Err(LearnedError::Old(age));
        }
        let is_large =
            |estimates: &InterferenceEstimates| estimates.coefficients.len() > MAX_IMAGES;
        if record.estimates.len() > MAX_IMAGES || record.estimates.iter().any(is_large) {
            return Err(LearnedError::TooLarge);
        }
        match record.estimates.iter().find(|estimates| !is_plausible(estimates)) {
            Some(odd) => Err(LearnedError::Implausible(odd.image.to_string())),
            None => Ok(record),
        }
    }

    /// Time since the record was made, ms; 0 if this machine's clock is behind.
    #[must_use]
    pub fn age(&self, unix: Millis) -> Millis {
        unix.saturating_sub(self.at)
    }

    /// Number of serving images with estimates.
    #[must_use]
    pub fn images(&self) -> usize {
        self.estimates.len()
    }

    /// The model that a new owner begins with.
    #[must_use]
    pub fn into_model(self) -> InterferenceModel {
        let mut model = InterferenceModel::default();
        model.set_estimates(self.estimates);
        model
    }
}
