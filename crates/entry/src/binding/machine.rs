//! The course of one binding request, without I/O.
//!
//! The machine names the next action and takes its result. Two rules keep a
//! request from running twice: `Deliver` is named at most once, and only after
//! the fold has accepted this process's own claim.

use cactusdoor_core::claim::{ClaimOutcome, ClaimStatus};
use cactusdoor_core::name::VmName;
use cactusdoor_core::unit::{Incarnation, Offset};
use cactusdoor_peer::answer::FenceReply;

/// What the fold says of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimView {
    pub claim: Offset,
    pub request_digest: u64,
    pub agent: VmName,
    pub agent_incarnation: Incarnation,
    pub claimed_unix_ms: u64,
    pub outcome: Option<ClaimOutcome>,
}

impl From<&ClaimStatus> for ClaimView {
    fn from(status: &ClaimStatus) -> Self {
        Self {
            claim: status.offset,
            request_digest: status.spec.request_digest,
            agent: status.spec.agent.clone(),
            agent_incarnation: status.spec.agent_incarnation,
            claimed_unix_ms: status.spec.claimed_unix_ms,
            outcome: status.outcome.clone(),
        }
    }
}

/// How the delivery ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DeliveryResult {
    /// The whole answer, checked.
    Answered(ClaimOutcome),
    /// Surely not delivered.
    NotDelivered,
    /// The agent does not know what came of the call.
    Unknown,
    /// No usable word from the agent; it has to be asked.
    Unresolved,
}

/// The next thing to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Looks at the fold.
    ReadClaim,
    /// Appends a claim and reads it back.
    AppendClaim,
    /// Sends the request under the own claim at this offset.
    Deliver { claim: Offset },
    /// Waits until the fold holds an outcome, or the holder is silent for too long.
    AwaitOutcome { view: ClaimView },
    /// Asks the agent for the outcome, or forbids the delivery.
    Fence { view: ClaimView },
    /// Waits a moment before the agent is asked again.
    Pause,
    /// Appends an outcome and reads it back.
    Settle { claim: Offset, outcome: ClaimOutcome },
    /// Waits a moment before the outcome is appended again.
    PauseSettle { claim: Offset, outcome: ClaimOutcome },
    /// Tells the caller; nothing remains to be done.
    Answer(ClaimAnswer),
}

/// What the caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The final outcome of the key.
    Outcome(ClaimOutcome),
    /// The key belongs to another request.
    Conflict,
    /// Not decided: the same key may be sent again.
    Undecided,
}

/// Result of an action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimInput {
    /// To `View` and `Await`: the key as the fold has it.
    ClaimRead(Option<ClaimView>),
    /// The fold is not loaded.
    NotLoaded,
    /// The fold accepted the own claim; `late` if the caller has been told `unknown` by now.
    Won {
        claim: Offset,
        late: bool,
    },
    /// Another claim was first, or the fold dropped this one.
    Lost,
    /// The claim has no effect, or none that this process can see.
    NotClaimed,
    Delivered(DeliveryResult),
    /// To `Await`: the holder has been silent past the deadline.
    HolderSilent(ClaimView),
    FenceAnswered(FenceReply),
    /// The agent did not answer; `given_up` after long enough.
    FenceFailed {
        given_up: bool,
    },
    /// The pause is over.
    Resumed,
    /// An outcome for the key stands in the fold.
    Settled,
    /// The outcome was not stored; `given_up` after long enough.
    NotSettled {
        given_up: bool,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    Reading,
    Claiming,
    Delivering {
        claim: Offset,
    },
    /// Watches a claim of another process, or an own one with unclear delivery.
    Awaiting,
    Fencing {
        view: ClaimView,
    },
    Settling {
        claim: Offset,
        outcome: ClaimOutcome,
    },
    Settled,
    Done,
}

/// State machine of one binding request.
#[derive(Clone, Debug)]
pub struct ClaimMachine {
    request_digest: u64,
    phase: Phase,
    /// Whether this process sent the request under its own claim.
    delivered: bool,
    /// Whether this process claimed the key before; it claims only once.
    claimed: bool,
}

impl ClaimMachine {
    #[must_use]
    pub fn new(request_digest: u64) -> Self {
        Self { request_digest, phase: Phase::Reading, delivered: false, claimed: false }
    }

    /// The first action.
    #[must_use]
    pub fn start(&self) -> ClaimAction {
        ClaimAction::ReadClaim
    }

    /// The action after `input`; an input that does not belong to the phase ends undecided.
    pub fn step(&mut self, input: ClaimInput) -> ClaimAction {
        match (std::mem::replace(&mut self.phase, Phase::Done), input) {
            (Phase::Reading | Phase::Awaiting, ClaimInput::ClaimRead(view)) => {
                self.claim_read(view)
            }
            (Phase::Settled, ClaimInput::ClaimRead(Some(view))) => match view.outcome {
                Some(outcome) => self.answer(ClaimAnswer::Outcome(outcome)),
                None => self.answer(ClaimAnswer::Undecided),
            },
            (Phase::Claiming, ClaimInput::Won { claim, late: false }) => {
                self.phase = Phase::Delivering { claim };
                self.delivered = true;
                ClaimAction::Deliver { claim }
            }
            // The caller knows nothing of the outcome, and only this process
            // may deliver its claim, so it is safe to settle it as not run.
            (Phase::Claiming, ClaimInput::Won { claim, late: true }) => {
                self.settle(claim, ClaimOutcome::NotRun)
            }
            (Phase::Claiming, ClaimInput::Lost) => {
                self.phase = Phase::Reading;
                ClaimAction::ReadClaim
            }
            (Phase::Delivering { claim }, ClaimInput::Delivered(result)) => {
                self.delivery_ended(claim, result)
            }
            (Phase::Awaiting, ClaimInput::HolderSilent(view)) => self.fence(view),
            (Phase::Fencing { view }, ClaimInput::FenceAnswered(reply)) => {
                self.fence_answered(view, reply)
            }
            (Phase::Fencing { view }, ClaimInput::FenceFailed { given_up }) => {
                if given_up {
                    self.settle(view.claim, ClaimOutcome::Unknown)
                } else {
                    self.pause()
                }
            }
            (Phase::Awaiting, ClaimInput::Resumed) => {
                self.phase = Phase::Awaiting;
                ClaimAction::ReadClaim
            }
            (Phase::Settling { .. }, ClaimInput::Settled) => {
                self.phase = Phase::Settled;
                ClaimAction::ReadClaim
            }
            (Phase::Settling { claim, outcome }, ClaimInput::NotSettled { given_up: false }) => {
                self.phase = Phase::Settling { claim, outcome: outcome.clone() };
                ClaimAction::PauseSettle { claim, outcome }
            }
            (Phase::Settling { claim, outcome }, ClaimInput::Resumed) => {
                self.settle(claim, outcome)
            }
            _ => self.answer(ClaimAnswer::Undecided),
        }
    }

    fn claim_read(&mut self, view: Option<ClaimView>) -> ClaimAction {
        let Some(view) = view else {
            // A key that was claimed and is absent now has been forgotten.
            if self.claimed {
                return self.answer(ClaimAnswer::Undecided);
            }
            self.claimed = true;
            self.phase = Phase::Claiming;
            return ClaimAction::AppendClaim;
        };
        if view.request_digest != self.request_digest {
            return self.answer(ClaimAnswer::Conflict);
        }
        if let Some(outcome) = view.outcome {
            return self.answer(ClaimAnswer::Outcome(outcome));
        }
        if self.delivered {
            // The holder is this process, so there is nobody else to wait for.
            return self.fence(view);
        }
        self.phase = Phase::Awaiting;
        ClaimAction::AwaitOutcome { view }
    }

    fn delivery_ended(&mut self, claim: Offset, result: DeliveryResult) -> ClaimAction {
        match result {
            DeliveryResult::Answered(outcome) => self.settle(claim, outcome),
            DeliveryResult::NotDelivered => self.settle(claim, ClaimOutcome::NotRun),
            DeliveryResult::Unknown => self.settle(claim, ClaimOutcome::Unknown),
            DeliveryResult::Unresolved => {
                self.phase = Phase::Awaiting;
                ClaimAction::ReadClaim
            }
        }
    }

    fn fence(&mut self, view: ClaimView) -> ClaimAction {
        self.phase = Phase::Fencing { view: view.clone() };
        ClaimAction::Fence { view }
    }

    fn fence_answered(&mut self, view: ClaimView, reply: FenceReply) -> ClaimAction {
        match reply {
            FenceReply::Fenced => self.settle(view.claim, ClaimOutcome::NotRun),
            FenceReply::Ended(outcome) => self.settle(view.claim, outcome),
            FenceReply::OtherIncarnation => self.settle(view.claim, ClaimOutcome::Unknown),
            FenceReply::InProgress => self.pause(),
        }
    }

    fn pause(&mut self) -> ClaimAction {
        self.phase = Phase::Awaiting;
        ClaimAction::Pause
    }

    fn settle(&mut self, claim: Offset, outcome: ClaimOutcome) -> ClaimAction {
        self.phase = Phase::Settling { claim, outcome: outcome.clone() };
        ClaimAction::Settle { claim, outcome }
    }

    fn answer(&mut self, answer: ClaimAnswer) -> ClaimAction {
        self.phase = Phase::Done;
        ClaimAction::Answer(answer)
    }
}
