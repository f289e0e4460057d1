//! Interactive requests: admission, choice of upstreams, attempts.

mod actor;
mod check;
mod core;
mod interactive;

pub use self::actor::{RequestActor, ServeBinding, ServeInteractive};
pub use self::check::{AnswerFault, check_answer, check_kept};
pub use self::core::{Acquired, RequestCore, RequestParts, SlotGuard};
pub(crate) use self::interactive::judge_refusal;
pub use self::interactive::request_name;
