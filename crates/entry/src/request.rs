//! Interactive requests: admission, choice of upstreams, attempts and retries.

mod actor;
mod check;
mod interactive;
mod router;

pub use self::actor::{RequestActor, ServeBinding, ServeInteractive};
pub use self::check::{AnswerError, check_answer, check_stored};
pub(crate) use self::interactive::classify_refusal;
pub use self::interactive::request_name;
pub use self::router::{RequestParts, RequestRouter, SlotGuard, SlotOutcome};
