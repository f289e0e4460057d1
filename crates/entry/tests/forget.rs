//! Keys of binding requests are remembered for their lifetime.

use cactusdoor_core::constants::KEY_LIFETIME;
use cactusdoor_entry::key_expiry::expiry_cutoff;

/// Guards against keys that are kept for ever, and records without effect.
#[test]
fn keys_are_forgotten_after_their_lifetime() {
    let now = 10 * KEY_LIFETIME;
    let claims = [now - KEY_LIFETIME - 1, now];
    assert_eq!(expiry_cutoff(claims.into_iter(), now), Some(now - KEY_LIFETIME));
    assert_eq!(expiry_cutoff([now - KEY_LIFETIME, now].into_iter(), now), None);
    assert_eq!(expiry_cutoff(std::iter::empty(), now), None);
}

/// Guards against a process whose clock runs ahead and that forgets keys which
/// callers may still repeat.
#[test]
fn clock_that_runs_ahead_forgets_nothing() {
    let now = 10 * KEY_LIFETIME;
    let ahead = now + 2 * KEY_LIFETIME;
    assert_eq!(expiry_cutoff([now - 1_000, now].into_iter(), ahead), None);
}

/// Guards against an entry that forgets nothing because one claim carries a
/// time in the future.
#[test]
fn claim_from_the_future_does_not_move_the_bound() {
    let now = 10 * KEY_LIFETIME;
    let claims = [now - KEY_LIFETIME - 1, now + 5 * KEY_LIFETIME];
    assert_eq!(expiry_cutoff(claims.into_iter(), now), Some(now - KEY_LIFETIME));
}
