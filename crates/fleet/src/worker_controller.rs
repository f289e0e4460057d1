//! Control of one worker: renews its lease, polls its runs and executes the owner's orders.
//!
//! Decides when the worker is removed and until when a call extends its lease. Starts no task
//! without a valid lease and a recent answer of the owner, and removes a worker that does not
//! answer only after every lease sent to it has certainly expired.

mod registration;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use cactusdoor_core::unit::{Epoch, Millis, Moment};
use cactusdoor_node::clock::{MonotonicClock, unix_ms};
use cactusdoor_platform::announcement::WorkerAnnouncement;
use cactusdoor_platform::worker::{PollRequest, PolledList, WorkerClient, WorkerError};
use cactusdoor_queue::agent::{AgentState, WorkerCall};
use cactusdoor_queue::features::SchedulingFeatures;
use cactusdoor_queue::lease::clock_bound;
use cactusdoor_queue::name::{RunNumber, TaskName, WorkerIncarnation};
use cactusdoor_queue::report::StartOrder;
use tokio::sync::{Notify, Semaphore, mpsc};

pub use self::registration::{AnnouncementFilter, AnnouncementUse};
use crate::announcements::WorkerMessage;
use crate::appender::pause;
use crate::decision::DecisionEvent;
use crate::decision_log::DecisionLog;
use crate::metrics::AgentMetrics;
use crate::odd_entry;

/// Longest wait of a poll of the worker: half of the time between two throttle changes,
/// which only follow a poll.
const SHARED_POLL_WAIT: Millis = 250;
/// Longest wait of a poll while no serving task runs beside a best-effort task; a
/// best-effort task may start at any time.
const UNSHARED_POLL_WAIT: Millis = 600;
/// Pause before the next poll while the owner has not acknowledged ended runs: until
/// then, a poll answers at once.
const ACKNOWLEDGE_WAIT: Duration = Duration::from_millis(60);
/// Pause after a call that failed, in ms.
const RETRY_PAUSE: (u64, u64) = (40, 90);
/// Refused connections in a row after which the worker is removed.
const GONE_POLLS: u32 = 2;
/// Most concurrent calls to the worker beside the poll: a quarter of the connections
/// that a worker accepts.
const MAX_CALLS: usize = 16;
/// Age limit of the owner's last answer when a task starts, in percent of the bound on
/// cancels; the age of the owner's reads uses another share.
const ANSWER_AGE_PERCENT: Millis = 45;
/// A lease as the worker's clock counts it, in percent: clocks may run slow by 2%.
const CLOCK_PERCENT: u64 = 98;

/// Dependencies and settings of a controller.
pub struct ControllerContext {
    pub worker: WorkerClient,
    pub clock: MonotonicClock,
    pub log: DecisionLog,
    pub metrics: AgentMetrics,
    /// Longest lease that the worker accepts.
    pub lease_limit: Millis,
    /// Time after which no task of a cancelled job starts.
    pub cancel_bound: Millis,
    /// Longest time for which a serving task may miss its latency bound.
    pub harm_bound: Millis,
    pub features: SchedulingFeatures,
    pub messages: mpsc::Receiver<WorkerMessage>,
}

/// The worker's clock at a moment of this process's clock.
#[derive(Clone, Copy, Debug, Default)]
struct ClockSample {
    clock: Millis,
    at: Moment,
}

/// Controls one worker.
pub struct WorkerController {
    worker: WorkerClient,
    clock: MonotonicClock,
    log: DecisionLog,
    metrics: AgentMetrics,
    lease_limit: Millis,
    harm_bound: Millis,
    /// Greatest age of the owner's answer on which a start may rely.
    answer_age_limit: Millis,
    pub state: RefCell<AgentState>,
    sample: Cell<ClockSample>,
    /// End of the longest lease that the worker may have been sent.
    leased_until: Cell<Moment>,
    /// Latest deadline of a start call without an answer, including those of an earlier
    /// process of this agent.
    unanswered_until: Cell<Moment>,
    /// Whether the last poll had no answer.
    unresponsive: Cell<bool>,
    filter: RefCell<AnnouncementFilter>,
    /// An announced incarnation that the worker has not confirmed yet.
    candidate: RefCell<Option<WorkerAnnouncement>>,
    /// Wakes the confirmation: a new candidate, or an answer of the owner.
    candidate_due: Notify,
    /// Number of polls sent to the worker.
    polls: Cell<u64>,
    /// Number of the newest poll that was answered with a list.
    listed: Cell<u64>,
    calls: Semaphore,
    /// Starts whose calls are under way or about to be repeated.
    starting: RefCell<Vec<StartOrder>>,
    /// Wakes the poll loop: a new worker, or acknowledged ends.
    wake: Notify,
    /// Wakes the reporter: ended runs, or a change of the worker.
    pub report_due: Notify,
}

impl WorkerController {
    /// Starts to control the worker.
    pub fn spawn(context: ControllerContext) -> Rc<Self> {
        let ControllerContext { worker, clock, log, metrics, messages, .. } = context;
        let ControllerContext { lease_limit, cancel_bound, harm_bound, features, .. } = context;
        let unanswered_until = Cell::new(clock.now().after(lease_limit));
        let mut state = AgentState::default();
        state.set_features(features);
        state.expect_earlier_calls(clock.now());
        let controller = Rc::new(Self {
            worker,
            clock,
            log,
            metrics,
            lease_limit,
            harm_bound,
            answer_age_limit: cancel_bound * ANSWER_AGE_PERCENT / 100,
            state: RefCell::new(state),
            sample: Cell::default(),
            leased_until: Cell::default(),
            unanswered_until,
            unresponsive: Cell::new(false),
            filter: RefCell::default(),
            candidate: RefCell::default(),
            candidate_due: Notify::new(),
            polls: Cell::new(0),
            listed: Cell::new(0),
            calls: Semaphore::new(MAX_CALLS),
            starting: RefCell::default(),
            wake: Notify::new(),
            report_due: Notify::new(),
        });
        actix_rt::spawn(Rc::clone(&controller).handle_messages(messages));
        actix_rt::spawn(Rc::clone(&controller).confirm_candidates());
        actix_rt::spawn(Rc::clone(&controller).poll());
        controller
    }

    async fn handle_messages(self: Rc<Self>, mut messages: mpsc::Receiver<WorkerMessage>) {
        while let Some(message) = messages.recv().await {
            match message {
                WorkerMessage::Announced(announced) => self.register(announced),
                WorkerMessage::Left(worker) => self.handle_leave(&worker),
            }
        }
    }

    fn handle_leave(&self, worker: &str) {
        let mut state = self.state.borrow_mut();
        if let Some(known) = state.worker.as_mut().filter(|known| *known.incarnation.id == *worker)
        {
            known.leaves_in = Some(0);
            self.report_due.notify_one();
        }
    }

    /// Polls the worker for as long as the process runs.
    async fn poll(self: Rc<Self>) {
        let mut refused_polls = 0;
        loop {
            let Some(incarnation) = self.known_incarnation() else {
                refused_polls = 0;
                self.wake.notified().await;
                continue;
            };
            if self.state.borrow().has_ends() {
                let _ = tokio::time::timeout(ACKNOWLEDGE_WAIT, self.wake.notified()).await;
            }
            self.polls.set(self.polls.get() + 1);
            let number = self.polls.get();
            let request = self.request();
            match self.worker.poll(&incarnation, request).await {
                Ok(polled) => {
                    refused_polls = 0;
                    self.unresponsive.set(false);
                    let skipped = polled.skipped;
                    self.apply_list(&incarnation, number, polled);
                    self.set_throttles(&incarnation).await;
                    if skipped > 0 {
                        odd_entry::warn("the worker's list", format!("{skipped} rows"));
                        // An end that is not acknowledged is listed at once with every poll.
                        tokio::time::sleep(ACKNOWLEDGE_WAIT).await;
                    }
                }
                Err(WorkerError::OtherIncarnation) => {
                    self.remove(&incarnation, "another incarnation answers")
                }
                Err(WorkerError::NoListener) => {
                    refused_polls += 1;
                    if refused_polls >= GONE_POLLS {
                        self.remove_crashed(&incarnation);
                    }
                    pause(RETRY_PAUSE).await;
                }
                Err(error) => {
                    log::debug!("could not poll the worker: {error}");
                    if matches!(error, WorkerError::NoAnswer | WorkerError::NotSent) {
                        self.handle_no_answer(&incarnation);
                    }
                    pause(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// The worker's incarnation, once an owner's epoch is known: a worker refuses an epoch
    /// below the highest that it has seen.
    fn known_incarnation(&self) -> Option<WorkerIncarnation> {
        let state = self.state.borrow();
        state.incarnation().filter(|_| state.epoch > 0).cloned()
    }

    fn request(&self) -> PollRequest {
        let state = self.state.borrow();
        let wait = if state.is_shared() { SHARED_POLL_WAIT } else { UNSHARED_POLL_WAIT };
        // The owner gets no report of the worker before its first list.
        let wait = if state.has_list() { wait } else { 0 };
        let deadline = self.deadline(&state);
        PollRequest { deadline, epoch: state.epoch, acknowledged: state.acknowledged, wait }
    }

    /// The end of the agent lease on the worker's clock, or earlier; `None` without a valid
    /// lease. Call it directly before the call that extends the worker's lease.
    fn deadline(&self, state: &AgentState) -> Option<Millis> {
        let sample = self.sample.get();
        let now = self.clock.now();
        if now >= state.lease_end || self.unresponsive.get() {
            return None;
        }
        self.leased_until.set(self.leased_until.get().max(state.lease_end));
        let remaining = state.lease_end.0.saturating_sub(sample.at.0);
        Some(sample.clock.saturating_add(remaining * CLOCK_PERCENT / 100))
    }

    /// The deadline of a start call; `None` also if the owner's last answer is too old.
    fn start_deadline(&self) -> Option<Millis> {
        let state = self.state.borrow();
        let is_fresh = self.clock.now() <= state.answered_at.after(self.answer_age_limit);
        if is_fresh { self.deadline(&state) } else { None }
    }

    fn apply_list(&self, incarnation: &WorkerIncarnation, number: u64, polled: PolledList) {
        let mut state = self.state.borrow_mut();
        if state.incarnation() != Some(incarnation) {
            return;
        }
        if polled.born != 0 && polled.born != incarnation.born {
            state.remove_restarted();
            self.log_removal(incarnation, "worker has restarted");
            return;
        }
        self.sample.set(ClockSample { clock: polled.clock, at: self.clock.now() });
        self.metrics.listings.inc();
        // The runs that an incomplete list lacks may still go on: number 0 ends none of them.
        let number = if polled.complete { number } else { 0 };
        self.listed.set(self.listed.get().max(number));
        let is_first = !state.has_list();
        if state.apply_list(number, polled.list) || is_first {
            self.report_due.notify_one();
        }
    }

    async fn set_throttles(&self, incarnation: &WorkerIncarnation) {
        let (calls, epoch) = {
            let mut state = self.state.borrow_mut();
            (state.throttle(self.harm_bound, self.clock.now(), unix_ms()), state.epoch)
        };
        for call in calls {
            match self.worker.set_speed(incarnation, &call, epoch).await {
                Ok(_) => {
                    self.state.borrow_mut().record_speed(&call);
                    self.metrics.throttles.inc();
                    let (task, run, percent) = (call.task, call.run, call.percent);
                    self.log.record(DecisionEvent::RunThrottled { task, run, percent });
                }
                Err(error) => log::debug!("could not throttle {}: {error}", call.task),
            }
        }
    }

    fn remove(&self, incarnation: &WorkerIncarnation, cause: &'static str) {
        let mut state = self.state.borrow_mut();
        if state.incarnation() == Some(incarnation) {
            state.remove();
            self.log_removal(incarnation, cause);
        }
    }

    /// Removes a worker whose process has ended; it may start again under its id.
    fn remove_crashed(&self, incarnation: &WorkerIncarnation) {
        let mut state = self.state.borrow_mut();
        if state.incarnation() != Some(incarnation) {
            return;
        }
        for (task, run) in state.remove_crashed(self.clock.now()) {
            self.log.record(DecisionEvent::RunHeld { task, run });
        }
        self.log_removal(incarnation, "connections are refused");
    }

    fn log_removal(&self, incarnation: &WorkerIncarnation, cause: &'static str) {
        self.log.record(DecisionEvent::WorkerGone { worker: incarnation.id.to_string(), cause });
        self.report_due.notify_one();
    }

    /// Stops extending the lease until the worker answers again. Once its last lease has
    /// certainly expired, the worker has ended its runs and is removed.
    fn handle_no_answer(&self, incarnation: &WorkerIncarnation) {
        self.unresponsive.set(true);
        if self.clock.now() >= clock_bound(self.leased_until.get(), 0) {
            self.remove(incarnation, "lease has expired");
        }
    }

    /// Makes the worker calls that follow from an answer of the owner.
    pub fn execute(self: &Rc<Self>, calls: Vec<WorkerCall>) {
        self.wake.notify_one();
        self.candidate_due.notify_one();
        for call in calls {
            let controller = Rc::clone(self);
            match call {
                WorkerCall::Start(order) => {
                    // A start may be ordered again while its earlier calls go on.
                    if !self.starting.borrow().contains(&order) {
                        self.starting.borrow_mut().push(order.clone());
                        actix_rt::spawn(controller.start(order));
                    }
                }
                WorkerCall::Stop { task, run } => {
                    actix_rt::spawn(controller.stop(task, run));
                }
            }
        }
    }

    /// Executes a start order and then allows it to be executed again.
    async fn start(self: Rc<Self>, order: StartOrder) {
        self.repeat_start(&order).await;
        self.starting.borrow_mut().retain(|starting| *starting != order);
    }

    /// Starts a task; repeats the call until the worker has answered.
    async fn repeat_start(self: &Rc<Self>, order: &StartOrder) {
        let Ok(_permit) = self.calls.acquire().await else { return };
        let (mut attempts, mut refused_at) = (0, None);
        loop {
            if !self.state.borrow().needs_start(order) {
                return;
            }
            // A leaving worker gets no new task, not even by a repeated call.
            let leaving = self.state.borrow().is_leaving();
            if leaving && self.abandon_start(order, "worker leaves", attempts, &mut refused_at) {
                return;
            }
            let deadline = if leaving { None } else { self.start_deadline() };
            let Some(deadline) = deadline else {
                pause(RETRY_PAUSE).await;
                continue;
            };
            let epoch = self.state.borrow().epoch;
            attempts += 1;
            match self.call_start(order, deadline, epoch).await {
                Ok(_) | Err(WorkerError::AlreadyEnded) => {
                    self.state.borrow_mut().record_answer(&order.task, order.run, self.polls.get());
                    self.log_start(order, "answered", attempts);
                    return;
                }
                Err(WorkerError::NoAnswer | WorkerError::Malformed) => {
                    let until = self.unanswered_until.get().max(self.leased_until.get());
                    self.unanswered_until.set(until);
                }
                Err(
                    error @ (WorkerError::NoCapacity
                    | WorkerError::NoTicket
                    | WorkerError::Refused(_)),
                ) => {
                    if self.abandon_start(order, &error.to_string(), attempts, &mut refused_at) {
                        return;
                    }
                }
                Err(_) => {}
            }
            pause(RETRY_PAUSE).await;
        }
    }

    /// Calls the worker to start a task, and records whether a call may still be carried out.
    async fn call_start(
        &self,
        order: &StartOrder,
        deadline: Millis,
        epoch: Epoch,
    ) -> Result<Millis, WorkerError> {
        let repeated = self.state.borrow_mut().record_start_call(order, self.clock.now());
        let answer = self.worker.start(order, deadline, epoch).await;
        let mut state = self.state.borrow_mut();
        if matches!(answer, Err(WorkerError::NoAnswer | WorkerError::Malformed)) {
            state.record_start_call(order, self.clock.now());
        } else if !repeated {
            state.settle_start(order);
        }
        answer
    }

    /// Ends a start that the worker refuses or must not get; returns `false` if it is to be
    /// repeated. `refused_at`: polls sent before the first refusal.
    ///
    /// An earlier call without an answer may have started the run, or may still do so. The
    /// next list shows a run that has started; any other run is stopped before it ends as not
    /// started.
    fn abandon_start(
        self: &Rc<Self>,
        order: &StartOrder,
        outcome: &str,
        attempts: u32,
        refused_at: &mut Option<u64>,
    ) -> bool {
        let uncertain = self.clock.now() < clock_bound(self.unanswered_until.get(), 0);
        let refused_at = *refused_at.get_or_insert(self.polls.get());
        if uncertain && self.listed.get() <= refused_at {
            return false;
        }
        let stop = {
            let mut state = self.state.borrow_mut();
            if !state.needs_start(order) || state.is_running(&order.task, order.run) {
                return true;
            }
            state.abandon_start(order, uncertain)
        };
        self.log_start(order, outcome, attempts);
        self.report_due.notify_one();
        self.execute(stop.into_iter().collect());
        true
    }

    fn log_start(&self, order: &StartOrder, outcome: &str, attempts: u32) {
        let label = if outcome == "answered" { "answered" } else { "refused" };
        self.metrics.starts.with_label_values(&[label]).inc();
        let (task, run, outcome) = (order.task.clone(), order.run, outcome.to_owned());
        self.log.record(DecisionEvent::StartAnswered { task, run, outcome, attempts });
    }

    /// Stops a run; repeats the call until the worker has answered.
    async fn stop(self: Rc<Self>, task: TaskName, run: RunNumber) {
        let mut attempts = 0;
        loop {
            let (incarnation, epoch) = {
                let state = self.state.borrow();
                let Some(incarnation) = state.incarnation().cloned() else { return };
                if !state.needs_stop(&task, run) {
                    return;
                }
                (incarnation, state.epoch)
            };
            attempts += 1;
            let outcome = match self.worker.stop(&incarnation, &task, run, epoch).await {
                Ok(_) => "stopped",
                Err(WorkerError::AlreadyEnded) => "ended before",
                Err(WorkerError::OtherIncarnation) => return,
                Err(_) => {
                    pause(RETRY_PAUSE).await;
                    continue;
                }
            };
            self.state.borrow_mut().record_stop_answer(&task, run, self.polls.get());
            let outcome = outcome.to_owned();
            self.log.record(DecisionEvent::StopAnswered { task, run, outcome, attempts });
            return;
        }
    }
}
