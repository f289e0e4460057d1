//! Binding requests, which run at most once per idempotency key.
//!
//! An entry claims the key in the log, delivers the request once, settles the
//! claim by storing its outcome in the log, and answers from the stored outcome.

mod machine;
mod runner;
mod serve;

pub use machine::{ClaimAction, ClaimAnswer, ClaimInput, ClaimMachine, ClaimView, DeliveryResult};
pub use serve::{BindingContext, serve_binding};
