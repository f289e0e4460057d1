//! Answers operators' calls that ask where a job would be placed.

use cactusdoor_core::unit::Moment;
use cactusdoor_node::clock::unix_ms;
use cactusdoor_peer::queue::{ExplainRefusal, ExplainReply, ExplainRequest};
use cactusdoor_platform::submission;

use super::OwnerTerm;

/// Largest body that is parsed in the owner's loop, bytes: a job of 32 steps takes a few KiB.
const MAX_BODY_BYTES: usize = 64 * 1024;

impl OwnerTerm {
    /// Explains a job without submitting it.
    pub(super) fn explain(&self, request: &ExplainRequest, now: Moment) -> ExplainReply {
        let config = self.scheduler.view().config.as_ref().filter(|_| self.may_place());
        let config = config.ok_or(ExplainRefusal::NotPlacing)?;
        let queue = config.queues.get(&request.queue).ok_or(ExplainRefusal::UnknownQueue)?;
        if request.body.len() > MAX_BODY_BYTES {
            return Err(ExplainRefusal::TooLarge(MAX_BODY_BYTES));
        }
        let unix = unix_ms();
        let spec = submission::read(&request.body, queue, unix)
            .map_err(|error| ExplainRefusal::InvalidJob(describe(&error)))?;
        Ok(self.scheduler.explain(spec, now, unix))
    }
}

/// The error with its causes: that of the parser names the position in the body.
fn describe(error: &dyn std::error::Error) -> String {
    let causes = std::iter::successors(error.source(), |cause| cause.source());
    causes.fold(error.to_string(), |text, cause| format!("{text}: {cause}"))
}
