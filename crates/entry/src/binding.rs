//! Binding requests: claimed in the log, delivered once, settled, answered.

mod machine;
mod runner;
mod serve;

pub use machine::{ClaimAction, ClaimAnswer, ClaimInput, ClaimMachine, ClaimView, DeliveryResult};
pub use serve::{BindingContext, serve_binding};
