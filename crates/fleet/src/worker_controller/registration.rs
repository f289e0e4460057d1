//! Which announcements an agent applies, and when a worker is registered.
//!
//! Announcements may be late, or of another writer. Another incarnation than the known one is
//! registered only once the worker itself answers as that incarnation: its registration tells
//! the owner that the runs of the known one have ended.

use std::rc::Rc;

use cactusdoor_core::unit::{Millis, Moment};
use cactusdoor_platform::announcement::WorkerAnnouncement;
use cactusdoor_platform::worker::{PollRequest, WorkerError};
use cactusdoor_queue::report::WorkerInfo;

use super::{ClockSample, RETRY_PAUSE, WorkerController};
use crate::appender::pause;
use crate::decision::DecisionEvent;
use crate::odd_entry;

/// Most time, ms, by which an announcement's clock may lie after the worker's own answers.
const CLOCK_TOLERANCE: Millis = 5_000;
const SOURCE: &str = "the worker's announcements";

/// What follows from an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementUse {
    /// Names the known incarnation; its state is applied.
    Update,
    /// Names another incarnation, which the worker has to confirm.
    Confirm,
    /// Older than the newest applied one.
    Outdated,
    /// Not of the known worker.
    Odd(&'static str),
}

/// Selects the announcements that are applied.
#[derive(Debug, Default)]
pub struct AnnouncementFilter {
    /// Number and clock of the newest applied announcement of the known incarnation.
    newest: (u64, Millis),
    /// A description other than the known one, as announced last.
    changed: Option<WorkerInfo>,
}

impl AnnouncementFilter {
    /// Begins with a new incarnation, registered by `announced`.
    fn open(announced: &WorkerAnnouncement) -> Self {
        Self { newest: (announced.number, announced.clock), changed: None }
    }

    /// Judges an announcement; `clock`: the clock of the known worker, by its own answers.
    pub fn judge(
        &mut self,
        announced: &WorkerAnnouncement,
        known: Option<&WorkerInfo>,
        clock: Millis,
    ) -> AnnouncementUse {
        let Some(known) = known else { return AnnouncementUse::Confirm };
        if known.incarnation != announced.worker.incarnation {
            let earlier = announced.worker.incarnation.born < known.incarnation.born;
            return if earlier { AnnouncementUse::Outdated } else { AnnouncementUse::Confirm };
        }
        if announced.clock > clock.saturating_add(CLOCK_TOLERANCE) {
            return AnnouncementUse::Odd("clock is ahead of the worker's");
        }
        // Both rise. A number that is too high must not hide those that follow.
        let (number, newest_clock) = self.newest;
        if announced.number <= number && announced.clock <= newest_clock {
            return AnnouncementUse::Outdated;
        }
        if !is_same_description(&announced.worker, known) {
            // A worker does not change, but the first announcement may have been the odd one.
            let changed = self.changed.replace(announced.worker.clone());
            if changed.is_none_or(|changed| !is_same_description(&changed, &announced.worker)) {
                return AnnouncementUse::Odd("worker is described otherwise");
            }
        }
        self.changed = None;
        self.newest = (announced.number, announced.clock);
        AnnouncementUse::Update
    }
}

/// Whether two announcements differ in the time until the worker leaves at most.
fn is_same_description(one: &WorkerInfo, other: &WorkerInfo) -> bool {
    WorkerInfo { leaves_in: other.leaves_in, ..one.clone() } == *other
}

impl WorkerController {
    pub(super) fn register(&self, announced: WorkerAnnouncement) {
        let mut state = self.state.borrow_mut();
        let clock = self.worker_clock(self.clock.now());
        let judged = self.filter.borrow_mut().judge(&announced, state.worker.as_ref(), clock);
        match judged {
            AnnouncementUse::Update => {
                let leaving = state.is_leaving();
                let worker = announced.worker.incarnation.id.to_string();
                let leaves_in = announced.worker.leaves_in;
                state.register(announced.worker);
                if let Some(remaining) = leaves_in.filter(|_| !leaving) {
                    self.log.record(DecisionEvent::WorkerLeaving { worker, remaining });
                }
                if leaves_in.is_some() != leaving {
                    self.report_due.notify_one();
                }
            }
            AnnouncementUse::Confirm => {
                *self.candidate.borrow_mut() = Some(announced);
                self.candidate_due.notify_one();
            }
            AnnouncementUse::Outdated => {}
            AnnouncementUse::Odd(cause) => odd_entry::warn(SOURCE, cause),
        }
    }

    /// Registers announced incarnations once the worker answers as them.
    pub(super) async fn confirm_candidates(self: Rc<Self>) {
        loop {
            self.candidate_due.notified().await;
            while let Some(candidate) = self.next_candidate()
                && self.confirm(&candidate).await
            {}
        }
    }

    /// The newest announced incarnation, once an owner's epoch is known.
    fn next_candidate(&self) -> Option<WorkerAnnouncement> {
        let is_callable = self.state.borrow().epoch > 0;
        self.candidate.borrow().clone().filter(|_| is_callable)
    }

    /// Asks the worker whether it is the candidate; returns `false` if that has to wait for
    /// the next announcement or answer of the owner.
    async fn confirm(self: &Rc<Self>, candidate: &WorkerAnnouncement) -> bool {
        let incarnation = &candidate.worker.incarnation;
        let epoch = self.state.borrow().epoch;
        let request = PollRequest { deadline: None, epoch, acknowledged: 0, wait: 0 };
        match self.worker.poll(incarnation, request).await {
            Ok(polled) if polled.born == 0 || polled.born == incarnation.born => {
                self.take_candidate(candidate);
                self.apply_confirmed(candidate, polled.clock);
            }
            Ok(_) | Err(WorkerError::OtherIncarnation) => {
                self.take_candidate(candidate);
                odd_entry::warn(SOURCE, format!("worker does not answer as {}", incarnation.id));
            }
            // It has ended; if it starts again, it announces itself again.
            Err(WorkerError::NoListener) => self.take_candidate(candidate),
            // The epoch of the newest owner is not known yet.
            Err(WorkerError::Fenced) => return false,
            Err(error) => {
                log::debug!("could not confirm worker {}: {error}", incarnation.id);
                pause(RETRY_PAUSE).await;
            }
        }
        true
    }

    /// Removes the candidate, unless another one has been announced meanwhile.
    fn take_candidate(&self, candidate: &WorkerAnnouncement) {
        let mut newest = self.candidate.borrow_mut();
        if newest
            .as_ref()
            .is_some_and(|newest| newest.worker.incarnation == candidate.worker.incarnation)
        {
            *newest = None;
        }
    }

    fn apply_confirmed(self: &Rc<Self>, announced: &WorkerAnnouncement, clock: Millis) {
        let now = self.clock.now();
        let calls = {
            let mut state = self.state.borrow_mut();
            if !state.register(announced.worker.clone()) {
                return;
            }
            state.stop_late_starts(now)
        };
        *self.filter.borrow_mut() = AnnouncementFilter::open(announced);
        self.sample.set(ClockSample { clock, at: now });
        self.unresponsive.set(false);
        // An earlier process of this agent may have extended the lease just before it ended.
        self.leased_until.set(now.after(self.lease_limit));
        let (worker, born) =
            (announced.worker.incarnation.id.to_string(), announced.worker.incarnation.born);
        self.log.record(DecisionEvent::WorkerRegistered { worker: worker.clone(), born });
        if let Some(remaining) = announced.worker.leaves_in {
            self.log.record(DecisionEvent::WorkerLeaving { worker, remaining });
        }
        self.execute(calls);
        self.report_due.notify_one();
    }

    /// The worker's clock, by its newest answer.
    fn worker_clock(&self, now: Moment) -> Millis {
        let sample = self.sample.get();
        sample.clock.saturating_add(now.since(sample.at))
    }
}
