//! The stored record of what an owner has learned.

use assert_matches::assert_matches;
use cactusdoor_queue::interference::{
    InterferenceEstimates, InterferenceModel, InterferenceSample, ShareChange,
};
use cactusdoor_queue::learned::{LearnedError, LearnedRecord};
use cactusdoor_queue::name::Label;
use serde_json::{Value, json};

const UNIX: u64 = 1_700_000_000_000;

fn model() -> InterferenceModel {
    let mut model = InterferenceModel::default();
    for _ in 0..50 {
        model.learn(&InterferenceSample {
            serving: "web".into(),
            before: 3.0,
            now: 1.0,
            shares: vec![ShareChange { image: "batch".into(), before: 0.0, now: 0.1 }],
        });
    }
    model
}

fn record() -> Value {
    serde_json::from_slice(&LearnedRecord::of(&model(), UNIX).encode()).unwrap()
}

fn decode(record: &Value, unix: u64) -> Result<LearnedRecord, LearnedError> {
    LearnedRecord::decode(record.to_string().as_bytes(), unix)
}

/// Guards against a new owner that places best-effort tasks as if nothing were known.
#[test]
fn a_successor_begins_with_the_learned_coefficients() {
    let learned = decode(&record(), UNIX + 30_000).unwrap();
    assert_eq!((learned.images(), learned.age(UNIX + 30_000)), (1, 30_000));
    let (before, after) = (model(), learned.into_model());
    let pair = (Some("web".into()), Some("batch".into()));
    let coefficient =
        |model: &InterferenceModel| model.coefficient(pair.0.as_ref(), pair.1.as_ref());
    assert!((coefficient(&before) - coefficient(&after)).abs() < 1e-3);
    assert!(coefficient(&after) > 10.0, "not the default");
}

/// Guards against decisions on records that are old, from the future or of another build.
#[test]
fn records_of_another_time_or_version_are_not_used() {
    assert_matches!(decode(&record(), UNIX + 600_001), Err(LearnedError::Old(600_001)));
    assert_matches!(decode(&record(), UNIX - 60_001), Err(LearnedError::Future));
    assert_matches!(decode(&record(), UNIX - 60_000), Ok(_));
    let mut other = record();
    other["version"] = json!(2);
    assert_matches!(decode(&other, UNIX), Err(LearnedError::Version(2)));
}

/// Guards against a record of another writer that makes every placement impossible or free.
#[test]
fn odd_records_are_not_used() {
    for value in [json!(-1.0), json!(0.0), json!(1e9), json!(null), json!("x")] {
        let mut odd = record();
        odd["estimates"][0]["presses"][0][1] = value.clone();
        assert_matches!(decode(&odd, UNIX), Err(_), "coefficient {value}");
        let mut odd = record();
        odd["estimates"][0]["calm"] = value.clone();
        let is_zero = value == json!(0.0);
        assert_eq!(decode(&odd, UNIX).is_ok(), is_zero, "baseline {value}");
    }
    let mut large = record();
    large["estimates"] = json!(vec![record()["estimates"][0].clone(); 201]);
    assert_matches!(decode(&large, UNIX), Err(LearnedError::TooLarge));
    for text in ["", "{}", "[1]", "{\"version\":1}"] {
        assert_matches!(
            LearnedRecord::decode(text.as_bytes(), UNIX),
            Err(LearnedError::Malformed(_))
        );
    }
}

/// Guards against a mean for unknown pairs that stays as it was before a pair was learned, or before
/// the estimates were replaced.
#[test]
fn the_coefficient_of_unknown_pairs_follows_what_is_learned() {
    let image = |name: &str| -> Label { name.into() };
    let (unknown, fills) = (image("unknown"), image("fills"));
    let mut model = InterferenceModel::default();
    let coefficient = |model: &InterferenceModel| model.coefficient(Some(&unknown), Some(&fills));
    let initial = coefficient(&model);
    let mean = |known: &[f64]| {
        let sum: f64 = known.iter().map(|value| value.ln()).sum();
        ((sum + initial.ln()) / (known.len() + 1) as f64).exp()
    };
    let estimates = |value: f32| InterferenceEstimates {
        image: image("s0"),
        baseline: 4.0,
        coefficients: vec![(image("fills"), value)],
    };
    for value in [24.0, 54.0] {
        model.set_estimates(vec![estimates(value)]);
        assert!((coefficient(&model) - mean(&[f64::from(value)])).abs() < 1e-9);
    }
    for serving in ["s0", "s1", "s2"] {
        let before = coefficient(&model);
        model.learn(&InterferenceSample {
            serving: image(serving),
            before: 6.0,
            now: 1.0,
            shares: vec![ShareChange { image: image("fills"), before: 0.0, now: 0.1 }],
        });
        assert_ne!(coefficient(&model), before, "{serving}");
        let known = model.estimates().into_iter().map(|known| f64::from(known.coefficients[0].1));
        let known: Vec<_> = known.collect();
        assert!((coefficient(&model) - mean(&known)).abs() < 1e-3, "{serving}");
    }
    model.set_estimates(Vec::new());
    assert_eq!(coefficient(&model).to_bits(), initial.to_bits());
}
