//! Model of an agent's execution of the owner's orders.

use cactusdoor_core::unit::Moment;
use cactusdoor_queue::agent::WorkerCall;
use cactusdoor_queue::lease::clock_bound;
use cactusdoor_queue::name::{RunNumber, TaskName};
use cactusdoor_queue::report::StartOrder;

use super::agent::RETRY_PAUSE;
use super::event::{CallBody, Event, Outcome, Wake};
use super::{AGENTS, Simulation};

/// Age limit of the owner's last answer when a task starts, ms.
const ANSWER_AGE_LIMIT: u64 = 1_350;

/// A start or a stop that is repeated until the worker has answered.
#[derive(Clone, Debug)]
pub struct OrderLoop {
    order: WorkerCall,
    /// Number of polls before the first refusal of a start.
    refused_at: Option<u64>,
    /// Whether a call of the start before the one under way got no answer.
    repeated: bool,
    /// Number of the call under way.
    pub call: Option<u64>,
}

impl Simulation {
    /// Makes the calls that follow from an answer of the owner.
    pub(super) fn execute_orders(&mut self, index: usize, calls: Vec<WorkerCall>) {
        self.wake_poll(index);
        self.notify_candidate(index);
        for order in calls {
            let agent = &mut self.agents[index];
            let key = agent.next_number();
            agent
                .orders
                .insert(key, OrderLoop { order, refused_at: None, repeated: false, call: None });
            self.continue_order(index, key);
        }
    }

    /// Sends the call of an order, waits, or gives the order up.
    pub(super) fn continue_order(&mut self, index: usize, key: u64) {
        let Some(order) = self.agents[index].orders.get(&key).map(|known| known.order.clone())
        else {
            return;
        };
        match order {
            WorkerCall::Start(start) => self.continue_start(index, key, &start),
            WorkerCall::Stop { task, run } => self.continue_stop(index, key, &task, run),
        }
    }

    fn continue_start(&mut self, index: usize, key: u64, start: &StartOrder) {
        let now = self.now;
        let agent = &mut self.agents[index];
        if !agent.state.needs_start(start) {
            agent.orders.remove(&key);
            return;
        }
        if agent.state.is_leaving() {
            if self.abandon_start(index, key, start) {
                self.agents[index].orders.remove(&key);
            } else {
                self.pause_order(index, key);
            }
            return;
        }
        let is_fresh = now <= agent.state.answered_at.0 + ANSWER_AGE_LIMIT;
        let deadline = self.deadline(index).filter(|_| is_fresh);
        let Some(deadline) = deadline else {
            self.pause_order(index, key);
            return;
        };
        let body = CallBody::Start { order: Box::new(start.clone()), deadline };
        let repeated = self.agents[index].state.record_start_call(start, Moment(now));
        if let Some(order) = self.agents[index].orders.get_mut(&key) {
            order.repeated = repeated;
        }
        let number = self.send_call(index, &start.incarnation, body);
        self.set_call(index, key, Some(number));
    }

    fn continue_stop(&mut self, index: usize, key: u64, task: &TaskName, run: RunNumber) {
        let agent = &mut self.agents[index];
        let incarnation = agent.state.incarnation().cloned();
        let incarnation = incarnation.filter(|_| agent.state.needs_stop(task, run));
        let Some(incarnation) = incarnation else {
            agent.orders.remove(&key);
            return;
        };
        let body = CallBody::Stop { task: task.clone(), run };
        let number = self.send_call(index, &incarnation, body);
        self.set_call(index, key, Some(number));
    }

    fn set_call(&mut self, index: usize, key: u64, call: Option<u64>) {
        if let Some(order) = self.agents[index].orders.get_mut(&key) {
            order.call = call;
        }
    }

    fn pause_order(&mut self, index: usize, key: u64) {
        let pause = self.draw(RETRY_PAUSE.0, RETRY_PAUSE.1);
        let to = self.agents[index].process(index);
        self.set_call(index, key, None);
        self.schedule(self.now + pause, Event::Wake { to, wake: Wake::Order(key) });
    }

    pub(super) fn handle_order(&mut self, index: usize, key: u64, outcome: Outcome) {
        let agent = &mut self.agents[index];
        let Some(known) = agent.orders.get_mut(&key) else { return };
        known.call = None;
        let ends = match known.order.clone() {
            WorkerCall::Start(start) => self.handle_start(index, key, &start, &outcome),
            WorkerCall::Stop { task, run } => match outcome {
                Outcome::Done | Outcome::Ended => {
                    agent.state.record_stop_answer(&task, run, agent.polls);
                    true
                }
                Outcome::OtherIncarnation => true,
                _ => false,
            },
        };
        if ends {
            self.agents[index].orders.remove(&key);
        } else {
            self.pause_order(index, key);
        }
    }

    /// Handles the answer to a start; returns whether the order is done.
    fn handle_start(
        &mut self,
        index: usize,
        key: u64,
        start: &StartOrder,
        outcome: &Outcome,
    ) -> bool {
        let now = self.moment();
        let agent = &mut self.agents[index];
        let repeated = agent.orders.get(&key).is_some_and(|order| order.repeated);
        if matches!(outcome, Outcome::NoAnswer) {
            agent.state.record_start_call(start, now);
        } else if !repeated {
            agent.state.settle_start(start);
        }
        match outcome {
            Outcome::Done | Outcome::Ended => {
                agent.state.record_answer(&start.task, start.run, agent.polls);
                true
            }
            Outcome::NoAnswer => {
                agent.unanswered_until = agent.unanswered_until.max(agent.leased_until);
                false
            }
            Outcome::NoCapacity | Outcome::Refused => self.abandon_start(index, key, start),
            _ => false,
        }
    }

    /// Ends a refused start; returns `false` if it is to be repeated.
    fn abandon_start(&mut self, index: usize, key: u64, start: &StartOrder) -> bool {
        let now = self.moment();
        let agent = &mut self.agents[index];
        let uncertain = now < clock_bound(agent.unanswered_until, 0);
        let polls = agent.polls;
        let Some(order) = agent.orders.get_mut(&key) else { return true };
        let refused_at = *order.refused_at.get_or_insert(polls);
        if uncertain && agent.listed <= refused_at {
            return false;
        }
        if !agent.state.needs_start(start) || agent.state.is_running(&start.task, start.run) {
            return true;
        }
        let stop = agent.state.abandon_start(start, uncertain);
        let (name, task, run) = (AGENTS[index], &start.task, start.run);
        self.note(format!("agent {name}: start of {task} run {run} refused"));
        self.notify_report(index);
        self.execute_orders(index, stop.into_iter().collect());
        true
    }
}
