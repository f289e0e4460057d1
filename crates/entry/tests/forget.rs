//! The cutoff before which keys of binding requests expire.

use cactusdoor_core::constants::KEY_LIFETIME;
use cactusdoor_entry::key_expiry::expiry_cutoff;

/// Guards against keys that never expire, and against expiry records that would
/// have no effect.
#[test]
fn keys_expire_after_their_lifetime() {
    let now = 10 * KEY_LIFETIME;
    let claims = [now - KEY_LIFETIME - 1, now];
    assert_eq!(expiry_cutoff(claims.into_iter(), now), Some(now - KEY_LIFETIME));
    assert_eq!(expiry_cutoff([now - KEY_LIFETIME, now].into_iter(), now), None);
    assert_eq!(expiry_cutoff(std::iter::empty(), now), None);
}

/// Guards against an entry with a fast clock that expires keys which callers may
/// still repeat.
#[test]
fn fast_clock_expires_no_key() {
    let now = 10 * KEY_LIFETIME;
    let ahead = now + 2 * KEY_LIFETIME;
    assert_eq!(expiry_cutoff([now - 1_000, now].into_iter(), ahead), None);
}

/// Guards against an entry that expires nothing because one claim has a time
/// in the future.
#[test]
fn claim_with_a_future_time_does_not_move_the_cutoff() {
    let now = 10 * KEY_LIFETIME;
    let claims = [now - KEY_LIFETIME - 1, now + 5 * KEY_LIFETIME];
    assert_eq!(expiry_cutoff(claims.into_iter(), now), Some(now - KEY_LIFETIME));
}
