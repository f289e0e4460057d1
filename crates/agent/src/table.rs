//! The tasks of one VM and the resources reserved for them.
//!
//! Decides from the worker's answers and inventories when a task runs and when it
//! has ended. Performs no I/O: callers make the calls and record the answers here.
//! A live task leaves the table only as a [`FinalTask`]. Its token is remembered,
//! so that a late start cannot run it again.

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

use crate::lifecycle::{
    FinalTask, LiveTask, PlacedTask, ReservedTask, RunningTask, StoppingTask, UnconfirmedStart,
};

/// Retired tokens that are remembered one by one; all lower ones count as retired.
const MAX_RETIRED_TOKENS: usize = 4_096;

/// Answer of the worker to a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LaunchAnswer {
    Runs,
    /// The worker certainly did not start it.
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

/// Tokens that must never start, or must not start again.
#[derive(Clone, Debug, Default)]
struct RetiredTokens {
    /// Lower tokens count as retired.
    floor: Token,
    tokens: BTreeSet<Token>,
}

impl RetiredTokens {
    fn insert(&mut self, token: Token) {
        self.tokens.insert(token);
        if self.tokens.len() > MAX_RETIRED_TOKENS
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
    reservations: CapacityReservations,
    live: IndexMap<Token, LiveTask>,
    ended: IndexMap<Token, FinalTask>,
    retired: RetiredTokens,
    /// When a task of this VM last ended.
    last_end: Moment,
}

impl TaskTable {
    #[must_use]
    pub fn new(capacity: ResourceVector) -> Self {
        Self {
            reservations: CapacityReservations::new(capacity),
            live: IndexMap::new(),
            ended: IndexMap::new(),
            retired: RetiredTokens::default(),
            last_end: Moment::default(),
        }
    }

    #[must_use]
    pub fn reservations(&self) -> &CapacityReservations {
        &self.reservations
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

    /// Whether the token has ended on this VM or must never start here.
    #[must_use]
    pub fn is_retired(&self, token: Token) -> bool {
        self.retired.contains(token)
    }

    #[must_use]
    pub fn has_live_task(&self, task: &TaskId) -> bool {
        self.live.values().any(|live| live.placed().task == *task)
    }

    /// Forbids the start of a token that has no live task.
    pub fn forbid(&mut self, token: Token) {
        self.retired.insert(token);
    }

    pub fn reserve(&mut self, placed: PlacedTask) -> Result<(), CapacityError> {
        self.reservations.reserve(placed.token, placed.need)?;
        self.live.insert(placed.token, LiveTask::Reserved(ReservedTask::open(placed)));
        Ok(())
    }

    /// Ends a reservation whose start was not sent.
    pub fn refuse(&mut self, now: Moment, token: Token, refusal: StartRefusal) {
        self.finish(now, token, PlacementEnd::Refused(refusal));
    }

    /// Records the worker's answer to a start.
    pub fn record_launch(&mut self, now: Moment, token: Token, answer: LaunchAnswer) {
        match answer {
            LaunchAnswer::Runs => self.confirm(now, token),
            LaunchAnswer::NotStarted => self.refuse(now, token, StartRefusal::WorkerFailed),
            LaunchAnswer::Uncertain => self.set_unconfirmed(token, UnconfirmedStart::Unanswered),
        }
    }

    /// Marks a task as stopping; `false` if the token has no live task.
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

    /// Records the worker's answer to a stop that was sent at `sent`.
    ///
    /// The worker can receive a late start between a stop and the answer to it, so
    /// "unknown" ends the task only if it was known to run before the stop was sent.
    pub fn record_stop(&mut self, now: Moment, sent: Moment, token: Token, answer: StopAnswer) {
        match (answer, self.live.get(&token)) {
            (StopAnswer::Ended(end), Some(live)) => {
                let cancelled = matches!(live, LiveTask::Stopping(task) if task.cancel);
                self.finish(now, token, placement_end(end, cancelled));
            }
            (StopAnswer::UnknownToken, Some(LiveTask::Stopping(task)))
                if task.unconfirmed.is_none() && task.since < sent =>
            {
                let end = lost_end(task.cancel);
                self.finish(now, token, end);
            }
            // The next inventories decide.
            _ => {}
        }
    }

    /// Records a throttle that the worker accepted.
    pub fn record_throttle(&mut self, token: Token, percent: u8) {
        if let Some(LiveTask::Running(task)) = self.live.get_mut(&token) {
            task.throttle = percent;
        }
    }

    /// Adopts the tasks that ran or ended before this process started.
    pub fn adopt(&mut self, now: Moment, inventory: &TaskInventory) {
        for task in &inventory.running {
            let placed = placed(task);
            self.reservations.adopt(task.token, task.need);
            let running = RunningTask { placed, since: now, throttle: task.throttle_percent };
            self.live.insert(task.token, LiveTask::Running(running));
        }
        self.apply_ends(now, inventory);
    }

    /// Reconciles the table with an inventory that was requested at `sent`.
    pub fn reconcile(&mut self, now: Moment, sent: Moment, inventory: &TaskInventory) {
        self.apply_ends(now, inventory);
        for task in &inventory.running {
            match self.live.get(&task.token) {
                Some(LiveTask::Running(_)) => {
                    self.record_throttle(task.token, task.throttle_percent);
                }
                Some(_) => self.confirm_listed(now, task.token),
                // An inventory requested before the latest end may still list the ended task.
                None if self.last_end < sent => self.adopt_late_start(now, task),
                None => {}
            }
        }
        let listed: BTreeSet<Token> = inventory.running.iter().map(|task| task.token).collect();
        let absent: Vec<Token> =
            self.live.keys().copied().filter(|token| !listed.contains(token)).collect();
        for token in absent {
            self.handle_absence(now, sent, token);
        }
    }

    /// Forgets ends that the owner has recorded; returns the tokens that were known,
    /// whose ends the worker may forget too.
    pub fn forget_recorded(&mut self, tokens: &[Token]) -> Vec<Token> {
        let known = tokens.iter().copied();
        known.filter(|token| self.ended.swap_remove(token).is_some()).collect()
    }

    /// Tokens whose ends the worker still lists although the owner has recorded them
    /// or does not need them.
    #[must_use]
    pub fn acknowledgeable(&self, inventory: &TaskInventory) -> Vec<Token> {
        let tokens = inventory.ended.iter().map(|task| task.token);
        tokens.filter(|t| self.is_retired(*t) && !self.ended.contains_key(t)).collect()
    }

    fn apply_ends(&mut self, now: Moment, inventory: &TaskInventory) {
        for task in &inventory.ended {
            match self.live.get(&task.token) {
                Some(live) => {
                    let cancelled = matches!(live, LiveTask::Stopping(task) if task.cancel);
                    self.finish(now, task.token, placement_end(task.end.clone(), cancelled));
                }
                None if !self.is_retired(task.token) => self.adopt_end(task),
                None => {}
            }
        }
    }

    fn adopt_end(&mut self, task: &WorkerEnd) {
        let end = placement_end(task.end.clone(), false);
        self.retired.insert(task.token);
        let ended = FinalTask { token: task.token, task: task.task.clone(), end };
        self.ended.insert(task.token, ended);
    }

    /// Adopts a task that the worker started after its start counted as failed; the task
    /// has to stop.
    fn adopt_late_start(&mut self, now: Moment, task: &WorkerTask) {
        self.reservations.adopt(task.token, task.need);
        let running = RunningTask { placed: placed(task), since: now, throttle: 100 };
        self.live.insert(task.token, LiveTask::Stopping(running.stop(false)));
    }

    /// Handles a live task that an inventory does not list.
    fn handle_absence(&mut self, now: Moment, sent: Moment, token: Token) {
        let (unconfirmed, since, cancel) = match self.live.get(&token) {
            Some(LiveTask::Running(task)) => (None, task.since, false),
            Some(LiveTask::Reserved(task)) => (Some(task.unconfirmed), now, false),
            Some(LiveTask::Stopping(task)) => (task.unconfirmed, task.since, task.cancel),
            None => return,
        };
        match unconfirmed {
            None if since < sent => self.finish(now, token, lost_end(cancel)),
            Some(UnconfirmedStart::Unanswered) => {
                self.set_unconfirmed(token, UnconfirmedStart::Unlisted(now))
            }
            // A start can wait in the socket of a paused worker, which reads it soon after
            // it resumes. One inventory without the task therefore does not show that the
            // start is lost.
            Some(UnconfirmedStart::Unlisted(first)) if first.after(PAUSE_MARGIN) <= sent => {
                self.refuse(now, token, StartRefusal::WorkerFailed);
            }
            _ => {}
        }
    }

    fn confirm_listed(&mut self, now: Moment, token: Token) {
        let unconfirmed = match self.live.get(&token) {
            Some(LiveTask::Reserved(task)) => Some(task.unconfirmed),
            Some(LiveTask::Stopping(task)) => task.unconfirmed,
            _ => None,
        };
        // While the start is being sent, the answer to it decides.
        if unconfirmed.is_some_and(|unconfirmed| unconfirmed != UnconfirmedStart::Sending) {
            self.confirm(now, token);
        }
    }

    fn confirm(&mut self, now: Moment, token: Token) {
        match self.live.get_mut(&token) {
            Some(LiveTask::Stopping(task)) => {
                task.unconfirmed = None;
                task.since = now;
            }
            Some(live @ LiveTask::Reserved(_)) => {
                if let LiveTask::Reserved(task) = live.clone() {
                    *live = LiveTask::Running(task.run(now));
                }
            }
            _ => {}
        }
    }

    fn set_unconfirmed(&mut self, token: Token, unconfirmed: UnconfirmedStart) {
        match self.live.get_mut(&token) {
            Some(LiveTask::Reserved(task)) => task.unconfirmed = unconfirmed,
            Some(LiveTask::Stopping(task)) if task.unconfirmed.is_some() => {
                task.unconfirmed = Some(unconfirmed)
            }
            _ => {}
        }
    }

    fn finish(&mut self, now: Moment, token: Token, end: PlacementEnd) {
        if let Some(live) = self.live.swap_remove(&token) {
            self.last_end = self.last_end.max(now);
            self.reservations.release(token);
            self.retired.insert(token);
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

/// End of a task that the worker no longer knows, for example after a VM restart.
fn lost_end(cancelled: bool) -> PlacementEnd {
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
