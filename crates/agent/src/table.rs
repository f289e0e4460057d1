//! The tasks of a VM and what they occupy.
//!
//! Decisions only: callers make the calls to the worker and report the answers.
//! A token leaves the table through [`FinalTask`] alone, and is remembered
//! afterwards so that no late start can revive it.

use std::collections::BTreeSet;

use cactusdoor_core::capacity::{CapacityError, CapacityReservations};
use cactusdoor_core::constants::PAUSE_MARGIN;
use cactusdoor_core::job::{PlacementEnd, StartRefusal, TaskId};
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::{Moment, Token};
use cactusdoor_worker::{
    EndedTask as WorkerEnd, RunningTask as WorkerTask, TaskEnd, TaskInventory,
};
use indexmap::IndexMap;

use crate::life::{
    FinalTask, LiveTask, PlacedTask, ReservedTask, RunningTask, StartDoubt, StoppingTask,
};

/// Tokens remembered as never to start; older ones count as such without being listed.
const MAX_SPENT_TOKENS: usize = 4_096;

/// Answer of the worker to a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LaunchAnswer {
    Runs,
    /// The worker surely did not start it.
    NotStarted,
    /// The worker may have started it.
    Uncertain,
}

/// Answer of the worker to a stop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StopAnswer {
    Ended(TaskEnd),
    UnknownToken,
    /// No answer; the stop has to be repeated.
    Uncertain,
}

/// Tokens that must never start, or not again.
#[derive(Clone, Debug, Default)]
struct SpentTokens {
    floor: Token,
    tokens: BTreeSet<Token>,
}

impl SpentTokens {
    fn insert(&mut self, token: Token) {
        self.tokens.insert(token);
        if self.tokens.len() > MAX_SPENT_TOKENS
            && let Some(lowest) = self.tokens.pop_first()
        {
            self.floor = self.floor.max(lowest + 1);
        }
    }

    fn contains(&self, token: Token) -> bool {
        token < self.floor || self.tokens.contains(&token)
    }
}

/// All tasks of one VM.
#[derive(Clone, Debug)]
pub struct TaskTable {
    book: CapacityReservations,
    live: IndexMap<Token, LiveTask>,
    ended: IndexMap<Token, FinalTask>,
    spent: SpentTokens,
    /// When a task last ended here.
    last_end: Moment,
}

impl TaskTable {
    #[must_use]
    pub fn new(capacity: ResourceVector) -> Self {
        Self {
            book: CapacityReservations::new(capacity),
            live: IndexMap::new(),
            ended: IndexMap::new(),
            spent: SpentTokens::default(),
            last_end: Moment::default(),
        }
    }

    #[must_use]
    pub fn book(&self) -> &CapacityReservations {
        &self.book
    }

    /// Tasks that may occupy the worker.
    pub fn live(&self) -> impl Iterator<Item = &LiveTask> {
        self.live.values()
    }

    /// Ends that the owner has not recorded yet.
    pub fn ended(&self) -> impl Iterator<Item = &FinalTask> {
        self.ended.values()
    }

    #[must_use]
    pub fn get(&self, token: Token) -> Option<&LiveTask> {
        self.live.get(&token)
    }

    #[must_use]
    pub fn end_of(&self, token: Token) -> Option<&PlacementEnd> {
        self.ended.get(&token).map(|task| &task.end)
    }

    /// Whether the token ended here or was told never to start.
    #[must_use]
    pub fn is_spent(&self, token: Token) -> bool {
        self.spent.contains(token)
    }

    #[must_use]
    pub fn holds_task(&self, task: &TaskId) -> bool {
        self.live.values().any(|live| live.placed().task == *task)
    }

    /// Remembers never to start a token that is not here.
    pub fn forbid(&mut self, token: Token) {
        self.spent.insert(token);
    }

    pub fn reserve(&mut self, placed: PlacedTask) -> Result<(), CapacityError> {
        self.book.reserve(placed.token, placed.need)?;
        self.live.insert(placed.token, LiveTask::Reserved(ReservedTask::open(placed)));
        Ok(())
    }

    /// Ends a reservation whose start was not sent.
    pub fn refuse(&mut self, now: Moment, token: Token, refusal: StartRefusal) {
        self.finish(now, token, PlacementEnd::Refused(refusal));
    }

    /// Takes note of the worker's answer to a start.
    pub fn launched(&mut self, now: Moment, token: Token, answer: LaunchAnswer) {
        match answer {
            LaunchAnswer::Runs => self.confirm(now, token),
            LaunchAnswer::NotStarted => self.refuse(now, token, StartRefusal::WorkerFailed),
            LaunchAnswer::Uncertain => self.set_doubt(token, StartDoubt::Unanswered),
        }
    }

    /// Marks a task as being stopped; `false` if it is not here.
    pub fn stop(&mut self, token: Token, cancel: bool) -> bool {
        let Some(position) = self.live.get_index_of(&token) else { return false };
        let Some((_, live)) = self.live.swap_remove_index(position) else { return false };
        let stopping = match live {
            LiveTask::Reserved(task) => task.stop(cancel),
            LiveTask::Running(task) => task.stop(cancel),
            LiveTask::Stopping(task) => StoppingTask { cancel: task.cancel || cancel, ..task },
        };
        self.live.insert(token, LiveTask::Stopping(stopping));
        true
    }

    /// Takes note of the worker's answer to a stop that was sent at `sent`.
    ///
    /// The worker can take a late start between a stop and its answer, so "unknown"
    /// counts only if the task was known to run before the stop was sent.
    pub fn stopped(&mut self, now: Moment, sent: Moment, token: Token, answer: StopAnswer) {
        match (answer, self.live.get(&token)) {
            (StopAnswer::Ended(end), Some(live)) => {
                let cancelled = matches!(live, LiveTask::Stopping(task) if task.cancel);
                self.finish(now, token, placement_end(end, cancelled));
            }
            (StopAnswer::UnknownToken, Some(LiveTask::Stopping(task)))
                if task.doubt.is_none() && task.since < sent =>
            {
                let end = vanished(task.cancel);
                self.finish(now, token, end);
            }
            // The inventory decides.
            _ => {}
        }
    }

    /// Records a throttle that the worker accepted.
    pub fn throttled(&mut self, token: Token, percent: u8) {
        if let Some(LiveTask::Running(task)) = self.live.get_mut(&token) {
            task.throttle = percent;
        }
    }

    /// Takes over what runs and ended before this process started.
    pub fn adopt(&mut self, now: Moment, inventory: &TaskInventory) {
        for task in &inventory.running {
            let placed = placed(task);
            self.book.adopt(task.token, task.need);
            let running = RunningTask { placed, since: now, throttle: task.throttle_percent };
            self.live.insert(task.token, LiveTask::Running(running));
        }
        self.take_ends(now, inventory);
    }

    /// Compares the table with an inventory that was asked for at `sent`.
    pub fn reconcile(&mut self, now: Moment, sent: Moment, inventory: &TaskInventory) {
        self.take_ends(now, inventory);
        for task in &inventory.running {
            match self.live.get(&task.token) {
                Some(LiveTask::Running(_)) => self.throttled(task.token, task.throttle_percent),
                Some(_) => self.confirm_doubtful(now, task.token),
                // An inventory from before the latest end may still list the ended task.
                None if self.last_end < sent => self.adopt_orphan(now, task),
                None => {}
            }
        }
        let listed: BTreeSet<Token> = inventory.running.iter().map(|task| task.token).collect();
        let absent: Vec<Token> =
            self.live.keys().copied().filter(|token| !listed.contains(token)).collect();
        for token in absent {
            self.miss(now, sent, token);
        }
    }

    /// Forgets ends that the owner has recorded; the worker may forget them too.
    pub fn recorded(&mut self, tokens: &[Token]) -> Vec<Token> {
        let known = tokens.iter().copied();
        known.filter(|token| self.ended.swap_remove(token).is_some()).collect()
    }

    /// Ended tokens that the worker still lists although nobody waits for them.
    #[must_use]
    pub fn acknowledgeable(&self, inventory: &TaskInventory) -> Vec<Token> {
        let tokens = inventory.ended.iter().map(|task| task.token);
        tokens.filter(|t| self.is_spent(*t) && !self.ended.contains_key(t)).collect()
    }

    fn take_ends(&mut self, now: Moment, inventory: &TaskInventory) {
        for task in &inventory.ended {
            match self.live.get(&task.token) {
                Some(live) => {
                    let cancelled = matches!(live, LiveTask::Stopping(task) if task.cancel);
                    self.finish(now, task.token, placement_end(task.end.clone(), cancelled));
                }
                None if !self.is_spent(task.token) => self.adopt_end(task),
                None => {}
            }
        }
    }

    fn adopt_end(&mut self, task: &WorkerEnd) {
        let end = placement_end(task.end.clone(), false);
        self.spent.insert(task.token);
        let ended = FinalTask { token: task.token, task: task.task.clone(), end };
        self.ended.insert(task.token, ended);
    }

    /// A start that was given up took effect after all: the task has to stop.
    fn adopt_orphan(&mut self, now: Moment, task: &WorkerTask) {
        self.book.adopt(task.token, task.need);
        let running = RunningTask { placed: placed(task), since: now, throttle: 100 };
        self.live.insert(task.token, LiveTask::Stopping(running.stop(false)));
    }

    /// Handles a live task that an inventory does not list.
    fn miss(&mut self, now: Moment, sent: Moment, token: Token) {
        let (doubt, since, cancel) = match self.live.get(&token) {
            Some(LiveTask::Running(task)) => (None, task.since, false),
            Some(LiveTask::Reserved(task)) => (Some(task.doubt), now, false),
            Some(LiveTask::Stopping(task)) => (task.doubt, task.since, task.cancel),
            None => return,
        };
        match doubt {
            None if since < sent => self.finish(now, token, vanished(cancel)),
            Some(StartDoubt::Unanswered) => self.set_doubt(token, StartDoubt::Absent(now)),
            // A start that lay in a paused worker's socket is read soon after the worker
            // resumes, so one absence right after the resumption proves nothing.
            Some(StartDoubt::Absent(first)) if first.after(PAUSE_MARGIN) <= sent => {
                self.refuse(now, token, StartRefusal::WorkerFailed);
            }
            _ => {}
        }
    }

    fn confirm_doubtful(&mut self, now: Moment, token: Token) {
        let doubt = match self.live.get(&token) {
            Some(LiveTask::Reserved(task)) => Some(task.doubt),
            Some(LiveTask::Stopping(task)) => task.doubt,
            _ => None,
        };
        // While the start is being sent, its own answer decides.
        if doubt.is_some_and(|doubt| doubt != StartDoubt::Asking) {
            self.confirm(now, token);
        }
    }

    fn confirm(&mut self, now: Moment, token: Token) {
        match self.live.get_mut(&token) {
            Some(LiveTask::Stopping(task)) => {
                task.doubt = None;
                task.since = now;
            }
            Some(entry @ LiveTask::Reserved(_)) => {
                if let LiveTask::Reserved(task) = entry.clone() {
                    *entry = LiveTask::Running(task.run(now));
                }
            }
            _ => {}
        }
    }

    fn set_doubt(&mut self, token: Token, doubt: StartDoubt) {
        match self.live.get_mut(&token) {
            Some(LiveTask::Reserved(task)) => task.doubt = doubt,
            Some(LiveTask::Stopping(task)) if task.doubt.is_some() => task.doubt = Some(doubt),
            _ => {}
        }
    }

    fn finish(&mut self, now: Moment, token: Token, end: PlacementEnd) {
        if let Some(live) = self.live.swap_remove(&token) {
            self.last_end = self.last_end.max(now);
            self.book.release(token);
            self.spent.insert(token);
            self.ended.insert(token, live.end(end));
        }
    }
}

fn placed(task: &WorkerTask) -> PlacedTask {
    PlacedTask {
        token: task.token,
        task: task.task.clone(),
        kind: task.kind.clone(),
        need: task.need,
    }
}

/// End of a task that the worker no longer knows, as after a restart of the VM.
fn vanished(cancelled: bool) -> PlacementEnd {
    if cancelled { PlacementEnd::Cancelled } else { PlacementEnd::Evicted { checkpoint: None } }
}

fn placement_end(end: TaskEnd, cancelled: bool) -> PlacementEnd {
    match end {
        TaskEnd::Finished { digest } => PlacementEnd::Finished { digest },
        TaskEnd::Failed => PlacementEnd::Failed,
        TaskEnd::Lapsed => PlacementEnd::Lapsed,
        TaskEnd::Stopped { .. } if cancelled => PlacementEnd::Cancelled,
        TaskEnd::Stopped { checkpoint } => PlacementEnd::Evicted { checkpoint },
    }
}
