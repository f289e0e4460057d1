//! How recently a view of the configuration was confirmed to be complete.
//!
//! Decides whether a task may start under the view. The recorded time must never be
//! later than the time at which the confirming read was sent.

use crate::constants::{MAX_CONFIG_AGE, with_rate_margin};
use crate::unit::{Millis, Moment};

/// The time up to which a view is known to be complete.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfirmedView {
    confirmed: Option<Moment>,
}

impl ConfirmedView {
    /// Records that a read sent at `sent` reached the end of the stream.
    pub fn confirm(&mut self, sent: Moment) {
        self.confirmed = self.confirmed.max(Some(sent));
    }

    /// Records a reply to a message sent at `sent`; the replier's view was `age` old.
    ///
    /// The replier measured the age on its own clock, which may be the slower one.
    pub fn confirm_relayed(&mut self, sent: Moment, age: Millis) {
        let age = with_rate_margin(age);
        if age <= sent.0 {
            self.confirm(sent.before(age));
        }
    }

    /// Age of the latest confirmation; `None` if there was none.
    #[must_use]
    pub fn age(&self, now: Moment) -> Option<Millis> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Whether a task may start under this view.
    #[must_use]
    pub fn allows_start(&self, now: Moment) -> bool {
        self.age(now).is_some_and(|age| age <= MAX_CONFIG_AGE)
    }
}
