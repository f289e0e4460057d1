//! Documents in which one value is odd, and bytes that are no document.

use proptest::prelude::*;
use serde_json::Value;

/// Text that marks the value to replace.
const MARK: &str = "@odd@";

/// A value that no decoder expects, as text: JSON values cannot hold all of them.
fn odd_text() -> impl Strategy<Value = String> {
    let fixed = [
        "null",
        "true",
        "{}",
        "[]",
        "\"\"",
        "\"x\"",
        "-1",
        "0",
        "1.5",
        "1e400",
        "-1e400",
        "1e308",
        "-1e308",
        "9007199254740993",
        "18446744073709551615",
        "18446744073709551616",
        "4294967295",
        "4294967296",
        "65536",
        r#""\ud800""#,
        r#""\u0000""#,
        r#""10.0.0.1:70000""#,
        "[[[]]]",
        "NaN",
    ];
    prop_oneof![
        8 => prop::sample::select(fixed.to_vec()).prop_map(str::to_owned),
        1 => (100..5_000usize).prop_map(|depth| "[".repeat(depth) + &"]".repeat(depth)),
        1 => (100..5_000usize).prop_map(|depth| "{\"a\":".repeat(depth) + "1" + &"}".repeat(depth)),
        1 => (100..20_000usize).prop_map(|length| format!("\"{}\"", "x".repeat(length))),
        1 => any::<u64>().prop_map(|number| number.to_string()),
        1 => any::<f64>().prop_map(|number| format!("{number:e}")),
    ]
}

/// Number of values in a document, itself included.
fn values(document: &Value) -> usize {
    1 + match document {
        Value::Array(items) => items.iter().map(values).sum(),
        Value::Object(fields) => fields.values().map(values).sum(),
        _ => 0,
    }
}

/// Marks the value with this number.
fn mark(document: &mut Value, number: &mut usize) {
    if *number == 0 {
        *document = Value::from(MARK);
    }
    *number = number.wrapping_sub(1);
    match document {
        Value::Array(items) => items.iter_mut().for_each(|item| mark(item, number)),
        Value::Object(fields) => fields.values_mut().for_each(|field| mark(field, number)),
        _ => {}
    }
}

/// The document with one odd value, or cut, or other bytes in its place.
pub fn odd_document(document: Value) -> impl Strategy<Value = Vec<u8>> {
    let count = values(&document);
    let whole = document.to_string().into_bytes();
    let replaced = (0..count, odd_text()).prop_map(move |(mut number, odd)| {
        let mut document = document.clone();
        mark(&mut document, &mut number);
        document.to_string().replace(&format!("\"{MARK}\""), &odd).into_bytes()
    });
    let cut_from = whole.clone();
    let length = whole.len();
    prop_oneof![
        12 => replaced,
        1 => (0..length).prop_map(move |end| cut_from[..end].to_vec()),
        1 => (0..length, any::<u8>()).prop_map(move |(at, byte)| {
            let mut bytes = whole.clone();
            bytes[at] = byte;
            bytes
        }),
        1 => prop::collection::vec(any::<u8>(), 0..200),
    ]
}
