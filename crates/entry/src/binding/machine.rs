//! State machine of one binding request, without I/O.
//!
//! The machine returns the next action and receives its result. Two rules keep
//! a request from running twice: the machine returns `Deliver` at most once, and
//! only after the fold has accepted this process's own claim. The entry whose
//! claim was accepted is the holder of the claim.

use cactusdoor_core::claim::{ClaimOutcome, ClaimStatus};
use cactusdoor_core::name::VmName;
use cactusdoor_core::unit::{Incarnation, Offset};
use cactusdoor_peer::answer::FenceReply;

/// The claim of a key, as read from the fold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimView {
    /// Offset of the claim in its stream.
    pub claim: Offset,
    pub request_digest: u64,
    pub agent: VmName,
    pub agent_incarnation: Incarnation,
    /// By the holder's wall clock.
    pub claimed_unix_ms: u64,
    /// `None` until the claim is settled.
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

/// Result of delivering a request to an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DeliveryResult {
    /// The answer is complete and was checked.
    Answered(ClaimOutcome),
    /// Certainly not delivered.
    NotDelivered,
    /// The agent reported that the outcome of the call is unknown.
    Unknown,
    /// No usable reply; a fence has to request the outcome from the agent.
    Unresolved,
}

/// The next action to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Reads the claim of the key from the fold.
    ReadClaim,
    /// Appends a claim and reads it back.
    AppendClaim,
    /// Sends the request under this process's claim at the offset `claim`.
    Deliver { claim: Offset },
    /// Waits until the fold contains an outcome or the holder has timed out.
    AwaitOutcome { view: ClaimView },
    /// Requests the outcome from the agent; an agent without an outcome refuses the
    /// delivery from now on.
    Fence { view: ClaimView },
    /// Waits before the claim is read, and if necessary fenced, again.
    Pause,
    /// Appends an outcome and reads it back.
    Settle { claim: Offset, outcome: ClaimOutcome },
    /// Waits before the outcome is appended again.
    PauseSettle { claim: Offset, outcome: ClaimOutcome },
    /// Answers the caller; the machine is done.
    Answer(ClaimAnswer),
}

/// Answer for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The final outcome of the key.
    Outcome(ClaimOutcome),
    /// The key belongs to another request.
    Conflict,
    /// Not decided; the caller may send the same key again.
    Undecided,
}

/// Result of an action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimInput {
    /// Of `ReadClaim` and `AwaitOutcome`: the claim in the fold, if any.
    ClaimRead(Option<ClaimView>),
    /// The fold is not loaded.
    NotLoaded,
    /// The fold accepted this process's claim; `late` if the caller's deadline has
    /// passed, so that the caller has been answered `unknown`.
    Won {
        claim: Offset,
        late: bool,
    },
    /// Another claim was first, or the fold dropped this process's claim.
    Lost,
    /// The claim was not stored, or its effect could not be read back.
    NotClaimed,
    Delivered(DeliveryResult),
    /// Of `AwaitOutcome`: the fold has no outcome, and the holder has timed out.
    HolderTimedOut(ClaimView),
    FenceAnswered(FenceReply),
    /// The agent gave no usable answer; `given_up` once the time budget is spent.
    FenceFailed {
        given_up: bool,
    },
    /// The pause is over.
    Resumed,
    /// The fold contains an outcome for the key.
    Settled,
    /// The outcome was not stored; `given_up` once the time budget is spent.
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
    /// Waits for the outcome of another process's claim, or of its own claim if the
    /// result of the delivery is unresolved.
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

    /// The action after `input`. An input that does not fit the phase ends the request
    /// as undecided.
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
            // Only this process may deliver its claim, and the caller has been
            // answered `unknown`, so settling the claim as not run is safe.
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
            (Phase::Awaiting, ClaimInput::HolderTimedOut(view)) => self.fence(view),
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
            // A claimed key that is missing from the fold has expired.
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
            // This process is the holder, so there is no other process to wait for.
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
