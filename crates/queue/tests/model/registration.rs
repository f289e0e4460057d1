//! Model of an agent's registration of its worker, which confirms announcements.

use cactusdoor_core::unit::Moment;
use cactusdoor_queue::report::WorkerInfo;

use super::agent::RETRY_PAUSE;
use super::event::{AgentProcess, CallBody, Event, Outcome, Wake};
use super::worker::LEASE_LIMIT;
use super::{AGENTS, Simulation};

/// An announced incarnation that the worker has not confirmed yet.
#[derive(Clone, Debug)]
struct Candidate {
    /// Number and clock of the announcement.
    announced: (u64, u64),
    info: WorkerInfo,
}

/// Progress of the confirmation of announcements.
#[derive(Debug, Default)]
pub struct Registration {
    /// Number and clock of the newest applied announcement.
    newest: (u64, u64),
    candidate: Option<Candidate>,
    /// The candidate that a poll under way asks for.
    asked: Option<Candidate>,
    /// Number of that poll.
    pub call: Option<u64>,
    paused: bool,
    due: bool,
}

impl Simulation {
    pub(super) fn handle_announcement(
        &mut self,
        to: AgentProcess,
        number: u64,
        clock: u64,
        info: WorkerInfo,
    ) {
        let boxed = Box::new(info.clone());
        if !self.is_awake(to, Event::Announcement { to, number, clock, info: boxed }) {
            return;
        }
        let index = to.agent;
        let agent = &mut self.agents[index];
        let announced = (number, clock);
        match agent.state.incarnation() {
            Some(known) if *known == info.incarnation => {
                let (newest, newest_clock) = agent.registration.newest;
                if number <= newest && clock <= newest_clock {
                    return;
                }
                agent.registration.newest = announced;
                let (leaving, leaves) = (agent.state.is_leaving(), info.leaves_in.is_some());
                agent.state.register(info);
                if leaves != leaving {
                    self.notify_report(index);
                }
            }
            Some(known) if info.incarnation.born < known.born => {}
            _ => {
                agent.registration.candidate = Some(Candidate { announced, info });
                self.notify_candidate(index);
            }
        }
    }

    /// Wakes the confirmation of candidates.
    pub(super) fn notify_candidate(&mut self, index: usize) {
        let registration = &mut self.agents[index].registration;
        if registration.call.is_some() || registration.paused {
            registration.due = true;
        } else {
            self.confirm_candidate(index);
        }
    }

    /// Asks the worker whether it is the candidate.
    pub(super) fn confirm_candidate(&mut self, index: usize) {
        let agent = &mut self.agents[index];
        let registration = &mut agent.registration;
        (registration.paused, registration.due) = (false, false);
        let is_callable = agent.state.epoch > 0;
        let Some(candidate) = registration.candidate.clone().filter(|_| is_callable) else {
            return;
        };
        registration.asked = Some(candidate.clone());
        let body = CallBody::Poll { deadline: None, acknowledged: 0, wait: 0 };
        let number = self.send_call(index, &candidate.info.incarnation, body);
        self.agents[index].registration.call = Some(number);
    }

    pub(super) fn handle_confirmation(&mut self, index: usize, outcome: Outcome) {
        let registration = &mut self.agents[index].registration;
        registration.call = None;
        let Some(asked) = registration.asked.take() else { return };
        let incarnation = &asked.info.incarnation;
        match outcome {
            Outcome::Listed { .. } | Outcome::OtherIncarnation | Outcome::NoListener => {
                let newest = registration.candidate.as_ref();
                if newest.is_some_and(|newest| newest.info.incarnation == *incarnation) {
                    registration.candidate = None;
                }
                if let Outcome::Listed { born, clock, .. } = outcome
                    && born == incarnation.born
                {
                    self.register(index, asked, clock);
                }
                self.confirm_candidate(index);
            }
            Outcome::Fenced => {
                if registration.due {
                    self.confirm_candidate(index);
                }
            }
            _ => {
                registration.paused = true;
                let pause = self.draw(RETRY_PAUSE.0, RETRY_PAUSE.1);
                let to = self.agents[index].process(index);
                self.schedule(self.now + pause, Event::Wake { to, wake: Wake::Candidate });
            }
        }
    }

    fn register(&mut self, index: usize, candidate: Candidate, clock: u64) {
        let now = self.now;
        let agent = &mut self.agents[index];
        let born = candidate.info.incarnation.born;
        if !agent.state.register(candidate.info) {
            return;
        }
        agent.registration.newest = candidate.announced;
        agent.sample = (clock, now);
        agent.unresponsive = false;
        agent.leased_until = Moment(now + LEASE_LIMIT);
        let calls = agent.state.stop_late_starts(Moment(now));
        self.note(format!("agent {}: worker born {born} registered", AGENTS[index]));
        self.execute_orders(index, calls);
        self.notify_report(index);
    }
}
