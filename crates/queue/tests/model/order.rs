//! Model of an agent's execution of the owner's orders.

use cactusdoor_queue::agent::WorkerCall;
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
    /// Whether an earlier call may have been executed.
    uncertain: bool,
    /// Number of the call under way.
    pub call: Option<u64>,
}

impl Simulation {
    /// Makes the calls that follow from an answer of the owner.
    pub(super) fn execute_orders(&mut self, index: usize, calls: Vec<WorkerCall>) {
        self.wake_poll(index);
        for order in calls {
            let agent = &mut self.agents[index];
            let key = agent.next_number();
            agent.orders.insert(key, OrderLoop { order, uncertain: false, call: None });
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
        let is_fresh = now <= agent.state.answered_at.0 + ANSWER_AGE_LIMIT;
        let deadline = self.deadline(index).filter(|_| is_fresh);
        let Some(deadline) = deadline else {
            self.pause_order(index, key);
            return;
        };
        let body = CallBody::Start { order: Box::new(start.clone()), deadline };
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
        known.uncertain |= matches!(outcome, Outcome::NoAnswer);
        let answered = matches!(outcome, Outcome::Done | Outcome::Ended);
        let (task, run, refused) = match &known.order {
            WorkerCall::Start(start) => {
                let refused = matches!(outcome, Outcome::NoCapacity | Outcome::Refused);
                (start.task.clone(), start.run, refused && !known.uncertain)
            }
            WorkerCall::Stop { task, run } => {
                if matches!(outcome, Outcome::OtherIncarnation) {
                    agent.orders.remove(&key);
                    return;
                }
                (task.clone(), *run, false)
            }
        };
        if answered {
            let known = agent.orders.remove(&key);
            let is_stop = known.is_some_and(|known| matches!(known.order, WorkerCall::Stop { .. }));
            if is_stop {
                agent.state.record_stop_answer(&task, run, agent.polls);
            } else {
                agent.state.record_answer(&task, run, agent.polls);
            }
        } else if refused {
            agent.orders.remove(&key);
            agent.state.record_refusal(&task, run);
            self.note(format!("agent {}: start of {task} run {run} refused", AGENTS[index]));
            self.notify_report(index);
        } else {
            self.pause_order(index, key);
        }
    }
}
