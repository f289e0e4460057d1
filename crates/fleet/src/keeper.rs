//! Keeps a worker's lease, lists its runs and carries out orders.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use cactusdoor_core::unit::{Millis, Moment};
use cactusdoor_node::clock::{MonotonicClock, unix_ms};
use cactusdoor_platform::announcement::WorkerAnnouncement;
use cactusdoor_platform::worker::{HeldList, HoldRequest, WorkerClient, WorkerFault};
use cactusdoor_queue::agent::{AgentBook, WorkerCall};
use cactusdoor_queue::lease::clock_bound;
use cactusdoor_queue::name::{RunNumber, TaskName, WorkerLife};
use cactusdoor_queue::report::StartOrder;
use tokio::sync::{Notify, Semaphore, mpsc};

use crate::announcements::WorkerMessage;
use crate::decision::DecisionEvent;
use crate::journal::DecisionLog;
use crate::lane::pause;
use crate::meters::AgentMeters;

/// Longest wait of a look at the worker: half of the time between two paces, which
/// only follow a look.
const SHARED_WAIT: Millis = 250;
/// The same while no task that serves runs beside one that fills; a task that
/// fills may start at any time.
const CALM_WAIT: Millis = 600;
/// Wait for the store before the next look, while ends are not stored: a look
/// answers at once as long as there are ends that were not noted.
const NOTE_WAIT: Duration = Duration::from_millis(60);
/// Pause after a call that failed, in ms.
const RETRY_PAUSE: (u64, u64) = (40, 90);
/// Looks in a row that nobody listens for before a worker counts as gone.
const GONE_LOOKS: u32 = 2;
/// Calls to the worker at the same time, beside the look: a quarter of the
/// connections that a worker takes.
const MAX_CALLS: usize = 16;
/// Share of the bound on cancels that the owner's last answer may be old at a
/// start, in percent; the owner's readings take another share.
const START_PERCENT: Millis = 45;
/// Clocks may run slow by 2%: a lease is shortened by that share.
const CLOCK_PERCENT: u64 = 98;

/// What a keeper needs.
pub struct KeeperContext {
    pub worker: WorkerClient,
    pub clock: MonotonicClock,
    pub log: DecisionLog,
    pub meters: AgentMeters,
    /// Longest lease that the worker accepts.
    pub lease_limit: Millis,
    /// After it no task of a cancelled job starts.
    pub cancel_bound: Millis,
    /// A task that serves may miss its bound for so long.
    pub harm_bound: Millis,
    pub messages: mpsc::UnboundedReceiver<WorkerMessage>,
}

/// The worker's clock as of a moment.
#[derive(Clone, Copy, Debug, Default)]
struct ClockSample {
    clock: Millis,
    at: Moment,
}

/// Keeps one worker.
pub struct WorkerKeeper {
    worker: WorkerClient,
    clock: MonotonicClock,
    log: DecisionLog,
    meters: AgentMeters,
    lease_limit: Millis,
    harm_bound: Millis,
    /// Oldest answer of the owner that a start may rest on.
    start_limit: Millis,
    pub book: RefCell<AgentBook>,
    sample: Cell<ClockSample>,
    /// No lease of the worker ends later.
    leased_until: Cell<Moment>,
    /// The last look had no answer.
    silent: Cell<bool>,
    /// Number of the newest announcement of the worker's life.
    announced: Cell<u64>,
    /// Looks at the worker that have been sent.
    looks: Cell<u64>,
    calls: Semaphore,
    /// Wakes the looks: a new worker, or ends that were noted.
    wake: Notify,
    /// Wakes the reporter: ends, or a change of the worker.
    pub news: Notify,
}

impl WorkerKeeper {
    /// Starts to keep the worker.
    pub fn spawn(context: KeeperContext) -> Rc<Self> {
        let KeeperContext { worker, clock, log, meters, messages, .. } = context;
        let KeeperContext { lease_limit, cancel_bound, harm_bound, .. } = context;
        let keeper = Rc::new(Self {
            worker,
            clock,
            log,
            meters,
            lease_limit,
            harm_bound,
            start_limit: cancel_bound * START_PERCENT / 100,
            book: RefCell::default(),
            sample: Cell::default(),
            leased_until: Cell::default(),
            silent: Cell::new(false),
            announced: Cell::new(0),
            looks: Cell::new(0),
            calls: Semaphore::new(MAX_CALLS),
            wake: Notify::new(),
            news: Notify::new(),
        });
        actix_rt::spawn(Rc::clone(&keeper).take_messages(messages));
        actix_rt::spawn(Rc::clone(&keeper).look());
        keeper
    }

    async fn take_messages(self: Rc<Self>, mut messages: mpsc::UnboundedReceiver<WorkerMessage>) {
        while let Some(message) = messages.recv().await {
            match message {
                WorkerMessage::Announced(announced) => self.meet(announced),
                WorkerMessage::Left(worker) => self.take_leave(&worker),
            }
        }
    }

    fn meet(&self, announced: WorkerAnnouncement) {
        let now = self.clock.now();
        let mut book = self.book.borrow_mut();
        let same = book.life() == Some(&announced.worker.life);
        // A delayed announcement says nothing new.
        if same && announced.number <= self.announced.get() {
            return;
        }
        let (life, leaves) = (announced.worker.life.clone(), announced.worker.leaves_in);
        let leaving = book.worker.as_ref().is_some_and(|worker| worker.leaves_in.is_some());
        if book.meet(announced.worker) {
            self.sample.set(ClockSample { clock: announced.clock, at: now });
            // An earlier process may have extended the lease just before.
            self.leased_until.set(now.after(self.lease_limit));
            let (worker, born) = (life.id.to_string(), life.born);
            self.log.note(DecisionEvent::WorkerMet { worker, born });
            self.wake.notify_one();
        } else if book.life() != Some(&life) {
            return;
        }
        self.announced.set(announced.number);
        if let Some(left) = leaves.filter(|_| !leaving) {
            self.log.note(DecisionEvent::WorkerLeaving { worker: life.id.to_string(), left });
        }
        if !same || leaves.is_some() != leaving {
            self.news.notify_one();
        }
    }

    fn take_leave(&self, worker: &str) {
        let mut book = self.book.borrow_mut();
        if let Some(state) = book.worker.as_mut().filter(|state| *state.life.id == *worker) {
            state.leaves_in = Some(0);
            self.news.notify_one();
        }
    }

    /// Looks at the worker for as long as the process runs.
    async fn look(self: Rc<Self>) {
        let mut unheard = 0;
        loop {
            let Some(life) = self.known_life() else {
                unheard = 0;
                self.wake.notified().await;
                continue;
            };
            if self.book.borrow().has_ends() {
                let _ = tokio::time::timeout(NOTE_WAIT, self.wake.notified()).await;
            }
            self.looks.set(self.looks.get() + 1);
            let number = self.looks.get();
            let request = self.request();
            match self.worker.hold(&life, request).await {
                Ok(held) => {
                    unheard = 0;
                    self.silent.set(false);
                    self.take_list(&life, number, held);
                    self.set_pace(&life).await;
                }
                Err(WorkerFault::OtherLife) => self.part(&life, "another life answers"),
                Err(WorkerFault::NoListener) => {
                    unheard += 1;
                    if unheard >= GONE_LOOKS {
                        self.part(&life, "does not listen");
                    }
                    pause(RETRY_PAUSE).await;
                }
                Err(fault) => {
                    log::debug!("look at the worker failed: {fault}");
                    if matches!(fault, WorkerFault::NoAnswer | WorkerFault::NotSent) {
                        self.take_silence(&life);
                    }
                    pause(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// The worker's life, once an owner's epoch is known: a worker refuses a
    /// lower one than it has seen.
    fn known_life(&self) -> Option<WorkerLife> {
        let book = self.book.borrow();
        book.life().filter(|_| book.epoch > 0).cloned()
    }

    fn request(&self) -> HoldRequest {
        let book = self.book.borrow();
        let wait = if book.is_shared() { SHARED_WAIT } else { CALM_WAIT };
        let deadline = self.deadline(&book);
        HoldRequest { deadline, epoch: book.epoch, noted: book.noted, wait }
    }

    /// The end of the grant on the worker's clock, at the latest; the last step
    /// before a call that extends the lease.
    fn deadline(&self, book: &AgentBook) -> Option<Millis> {
        let sample = self.sample.get();
        let now = self.clock.now();
        if now >= book.granted_until || self.silent.get() {
            return None;
        }
        self.leased_until.set(self.leased_until.get().max(book.granted_until));
        let left = book.granted_until.0.saturating_sub(sample.at.0);
        Some(sample.clock + left * CLOCK_PERCENT / 100)
    }

    fn take_list(&self, life: &WorkerLife, number: u64, held: HeldList) {
        let mut book = self.book.borrow_mut();
        if book.life() != Some(life) {
            return;
        }
        if held.born != 0 && held.born != life.born {
            drop(book);
            self.part(life, "was born again");
            return;
        }
        self.sample.set(ClockSample { clock: held.clock, at: self.clock.now() });
        self.meters.listings.inc();
        if book.list(number, held.list) {
            self.news.notify_one();
        }
    }

    async fn set_pace(&self, life: &WorkerLife) {
        let (calls, epoch) = {
            let mut book = self.book.borrow_mut();
            (book.pace(self.harm_bound, self.clock.now(), unix_ms()), book.epoch)
        };
        for call in calls {
            match self.worker.pace(life, &call, epoch).await {
                Ok(_) => {
                    self.book.borrow_mut().paced(&call);
                    self.meters.paces.inc();
                    let (task, run, percent) = (call.task, call.run, call.percent);
                    self.log.note(DecisionEvent::RunPaced { task, run, percent });
                }
                Err(fault) => log::debug!("pace of {} was not set: {fault}", call.task),
            }
        }
    }

    fn part(&self, life: &WorkerLife, cause: &'static str) {
        let mut book = self.book.borrow_mut();
        if book.life() == Some(life) {
            book.part();
            self.log.note(DecisionEvent::WorkerGone { worker: life.id.to_string(), cause });
            self.news.notify_one();
        }
    }

    /// Looks only, without a lease, until the worker answers again; once the
    /// lease that it had has passed its runs are over.
    fn take_silence(&self, life: &WorkerLife) {
        self.silent.set(true);
        if self.clock.now() >= clock_bound(self.leased_until.get(), 0) {
            self.part(life, "lease has passed");
        }
    }

    /// Carries out the calls that an answer of the owner asks for.
    pub fn carry_out(self: &Rc<Self>, calls: Vec<WorkerCall>) {
        self.wake.notify_one();
        for call in calls {
            let keeper = Rc::clone(self);
            match call {
                WorkerCall::Start(order) => actix_rt::spawn(keeper.start(order)),
                WorkerCall::Stop { task, run } => actix_rt::spawn(keeper.stop(task, run)),
            };
        }
    }

    /// Starts a task; repeats the call until the worker has answered.
    async fn start(self: Rc<Self>, order: StartOrder) {
        let Ok(_permit) = self.calls.acquire().await else { return };
        let (mut attempts, mut uncertain) = (0, false);
        loop {
            let (deadline, epoch) = {
                let book = self.book.borrow();
                if !book.wants_start(&order) {
                    return;
                }
                if book.is_leaving() {
                    drop(book);
                    self.give_up(&order, uncertain, attempts);
                    return;
                }
                let fresh = self.clock.now() <= book.answered_at.after(self.start_limit);
                (self.deadline(&book).filter(|_| fresh), book.epoch)
            };
            let Some(deadline) = deadline else {
                pause(RETRY_PAUSE).await;
                continue;
            };
            attempts += 1;
            let fault = match self.worker.start(&order, deadline, epoch).await {
                Ok(_) | Err(WorkerFault::Old) => {
                    self.book.borrow_mut().answered(&order.task, order.run, self.looks.get());
                    self.note_start(&order, "answered", attempts);
                    return;
                }
                Err(fault) => fault,
            };
            uncertain |= matches!(fault, WorkerFault::NoAnswer | WorkerFault::Malformed);
            let refused = matches!(
                fault,
                WorkerFault::NoRoom | WorkerFault::NoTicket | WorkerFault::Refused(_)
            );
            if refused && !uncertain {
                self.book.borrow_mut().refused(&order.task, order.run);
                self.note_start(&order, &fault.to_string(), attempts);
                self.news.notify_one();
                return;
            }
            pause(RETRY_PAUSE).await;
        }
    }

    /// A worker that leaves gets nothing new, also not by a repeated call.
    fn give_up(self: &Rc<Self>, order: &StartOrder, uncertain: bool, attempts: u32) {
        let stop = self.book.borrow_mut().give_up(order, uncertain);
        self.note_start(order, "worker leaves", attempts);
        self.news.notify_one();
        self.carry_out(stop.into_iter().collect());
    }

    fn note_start(&self, order: &StartOrder, outcome: &str, attempts: u32) {
        let label = if outcome == "answered" { "answered" } else { "refused" };
        self.meters.starts.with_label_values(&[label]).inc();
        let (task, run, outcome) = (order.task.clone(), order.run, outcome.to_owned());
        self.log.note(DecisionEvent::StartAnswered { task, run, outcome, attempts });
    }

    /// Stops a run; repeats the call until the worker has answered.
    async fn stop(self: Rc<Self>, task: TaskName, run: RunNumber) {
        let mut attempts = 0;
        loop {
            let (life, epoch) = {
                let book = self.book.borrow();
                let Some(life) = book.life().cloned() else { return };
                if !book.wants_stop(&task, run) {
                    return;
                }
                (life, book.epoch)
            };
            attempts += 1;
            let outcome = match self.worker.stop(&life, &task, run, epoch).await {
                Ok(_) => "stopped",
                Err(WorkerFault::Old) => "ended before",
                Err(WorkerFault::OtherLife) => return,
                Err(_) => {
                    pause(RETRY_PAUSE).await;
                    continue;
                }
            };
            self.book.borrow_mut().answered(&task, run, self.looks.get());
            let outcome = outcome.to_owned();
            self.log.note(DecisionEvent::StopAnswered { task, run, outcome, attempts });
            return;
        }
    }
}
