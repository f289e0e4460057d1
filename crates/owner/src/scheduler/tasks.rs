//! Starts and stops of tasks, repeated until agents acknowledge them.
//!
//! A start is sent only to the incarnation it was first addressed to. A start whose
//! answer was lost may still arrive, so it is withdrawn by a stop.

use cactusdoor_core::config::DataCentreState;
use cactusdoor_core::job::{JobId, PlacementEnd, StartRefusal, TaskId};
use cactusdoor_core::name::VmName;
use cactusdoor_core::shard::TaskState;
use cactusdoor_core::unit::{Incarnation, Millis, Moment, Token};
use cactusdoor_peer::task::{StopMode, StopReply, TaskRefusal, TaskStart, TaskStop};
use cactusdoor_timeline::{EventKind, HybridTime};

use super::ShardScheduler;
use super::action::{CallOutcome, SchedulerAction};

/// Pause before a lost or refused call is repeated.
const RETRY_PAUSE: Millis = 500;

/// A committed placement whose end is not recorded yet.
#[derive(Clone, Debug)]
pub(super) struct PendingStart {
    task: TaskId,
    vm: VmName,
    /// Incarnation of the agent when the placement was committed.
    pub incarnation: Incarnation,
    in_flight: bool,
    /// An answer was lost, so a copy of the start may still be in transit.
    uncertain: bool,
    next_try: Moment,
    pub started: Option<Moment>,
    pub missing_since: Option<Moment>,
}

/// A stop that is repeated until it is acknowledged.
#[derive(Clone, Debug)]
pub(super) struct PendingStop {
    task: TaskId,
    pub vm: VmName,
    mode: StopMode,
    in_flight: bool,
    next_try: Moment,
}

impl ShardScheduler {
    /// Sends the start of a placement that was just committed.
    pub(super) fn begin_start(&mut self, now: Moment, token: Token, task: &TaskId) {
        let Some(placement) = self.index.placement(task) else { return };
        let vm = placement.vm.clone();
        let incarnation = self.agents.get(&vm).map_or(0, |agent| agent.identity.incarnation);
        let pending_start = PendingStart {
            task: task.clone(),
            vm,
            incarnation,
            in_flight: false,
            uncertain: false,
            next_try: now,
            started: None,
            missing_since: None,
        };
        self.pending_starts.insert(token, pending_start);
        self.send_start(now, token);
    }

    fn send_start(&mut self, now: Moment, token: Token) {
        let Some(epoch) = self.owned_epoch() else { return };
        // The agent would refuse the start; the stop that follows ends the placement.
        if self.config.data_centre(&self.data_centre) == DataCentreState::Out {
            return;
        }
        let Some(pending_start) = self.pending_starts.get(&token) else { return };
        let Some(agent) = self.agents.get(&pending_start.vm) else { return };
        if agent.identity.incarnation != pending_start.incarnation {
            return;
        }
        let Some(status) = self.fold.job(&pending_start.task.job) else { return };
        let state = status.tasks.get(&pending_start.task.index).map(|task| &task.state);
        let Some(TaskState::Placed { need, checkpoint, .. }) = state else { return };
        let start = TaskStart {
            at: HybridTime::default(),
            shard: self.settings.shard.clone(),
            epoch,
            agent_incarnation: pending_start.incarnation,
            token,
            task: pending_start.task.clone(),
            kind: status.spec.kind.clone(),
            class: status.spec.class,
            need: *need,
            run_time_ms: status.spec.run_time_ms,
            checkpoint: checkpoint.clone(),
        };
        let (vm, address) = (pending_start.vm.clone(), agent.identity.address);
        if let Some(pending_start) = self.pending_starts.get_mut(&token) {
            pending_start.in_flight = true;
            pending_start.next_try = now.after(RETRY_PAUSE);
        }
        self.push_action(SchedulerAction::Start { vm, address, start });
    }

    /// Handles the answer to a start.
    pub fn start_answered(
        &mut self,
        now: Moment,
        token: Token,
        answer: CallOutcome<Result<(), StartRefusal>>,
    ) {
        let Some(pending_start) = self.pending_starts.get_mut(&token) else { return };
        pending_start.in_flight = false;
        let (task, vm, uncertain) =
            (pending_start.task.clone(), pending_start.vm.clone(), pending_start.uncertain);
        match answer {
            CallOutcome::Answered(Ok(())) => {
                pending_start.started = Some(now);
                if let Some(agent) = self.agents.get_mut(&vm) {
                    agent.clear_refusals();
                }
                self.push_event(EventKind::TaskStarted { task, token, vm });
            }
            // An earlier copy of the start may still arrive; the stop makes the agent
            // refuse it.
            CallOutcome::Answered(Err(_)) if uncertain => {
                self.request_stop(now, token, &task, &vm, StopMode::CheckpointAndStop);
                self.send_stops(now);
            }
            CallOutcome::Answered(Err(refusal)) => {
                self.record_end(&task, token, PlacementEnd::Refused(refusal));
                if let Some(pending_start) = self.pending_starts.get_mut(&token) {
                    // If the append fails, the stop yields the end.
                    pending_start.uncertain = true;
                    pending_start.next_try = now.after(4 * RETRY_PAUSE);
                }
            }
            CallOutcome::Lost => {
                pending_start.uncertain = true;
                pending_start.next_try = now.after(RETRY_PAUSE);
            }
        }
    }

    /// Repeats starts whose answers were lost.
    pub(super) fn retry_starts(&mut self, now: Moment) {
        let due: Vec<Token> = self
            .pending_starts
            .iter()
            .filter(|(token, pending_start)| {
                pending_start.started.is_none()
                    && !pending_start.in_flight
                    && now >= pending_start.next_try
                    && !self.pending_stops.contains_key(*token)
                    && !self.is_task_busy(&pending_start.task)
            })
            .map(|(token, _)| *token)
            .collect();
        for token in due {
            self.send_start(now, token);
        }
    }

    /// Requests a stop, which is repeated until it is acknowledged.
    pub(super) fn request_stop(
        &mut self,
        now: Moment,
        token: Token,
        task: &TaskId,
        vm: &VmName,
        mode: StopMode,
    ) {
        let pending_stop = self.pending_stops.entry(token).or_insert_with(|| PendingStop {
            task: task.clone(),
            vm: vm.clone(),
            mode,
            in_flight: false,
            next_try: now,
        });
        // A cancelled task needs no checkpoint.
        if mode == StopMode::Cancel {
            pending_stop.mode = mode;
        }
    }

    /// Stops the placed tasks of a job if it is cancelled.
    pub(super) fn stop_cancelled(&mut self, now: Moment, job: &JobId) {
        let Some(status) = self.fold.job(job).filter(|status| status.cancelled) else { return };
        let placed: Vec<(TaskId, Token, VmName)> = status
            .tasks
            .iter()
            .filter_map(|(index, task)| match &task.state {
                TaskState::Placed { token, vm, .. } => {
                    Some((TaskId { job: job.clone(), index: *index }, *token, vm.clone()))
                }
                _ => None,
            })
            .collect();
        for (task, token, vm) in placed {
            self.request_stop(now, token, &task, &vm, StopMode::Cancel);
        }
        self.send_stops(now);
    }

    /// Sends the stops that are due to agents that are not silent.
    pub(super) fn send_stops(&mut self, now: Moment) {
        let Some(epoch) = self.owned_epoch() else { return };
        let mut due = Vec::new();
        for (token, pending_stop) in &mut self.pending_stops {
            if pending_stop.in_flight || now < pending_stop.next_try {
                continue;
            }
            let Some(agent) = self.agents.get(&pending_stop.vm).filter(|agent| !agent.silent)
            else {
                continue;
            };
            pending_stop.in_flight = true;
            pending_stop.next_try = now.after(RETRY_PAUSE);
            let stop = TaskStop {
                at: HybridTime::default(),
                shard: self.settings.shard.clone(),
                epoch,
                task: pending_stop.task.clone(),
                token: *token,
                mode: pending_stop.mode,
            };
            let (vm, address) = (pending_stop.vm.clone(), agent.identity.address);
            due.push(SchedulerAction::Stop { vm, address, stop });
        }
        self.actions.append(&mut due);
    }

    /// Handles the answer of `vm` to a stop or throttle.
    pub fn stop_answered(
        &mut self,
        now: Moment,
        vm: &VmName,
        stop: &TaskStop,
        answer: CallOutcome<Result<StopReply, TaskRefusal>>,
    ) {
        let token = stop.token;
        if let StopMode::Throttle(percent) = stop.mode {
            if let CallOutcome::Answered(Ok(StopReply::Throttled)) = answer {
                let (task, vm) = (stop.task.clone(), vm.clone());
                self.push_event(EventKind::TaskThrottled { task, token, vm, percent });
            }
            return;
        }
        let Some(pending_stop) = self.pending_stops.get_mut(&token) else { return };
        pending_stop.in_flight = false;
        pending_stop.next_try = now.after(RETRY_PAUSE);
        let (task, vm) = (pending_stop.task.clone(), pending_stop.vm.clone());
        let end = match answer {
            CallOutcome::Answered(Ok(StopReply::Ended(end))) => end,
            CallOutcome::Answered(Ok(StopReply::NotRunning)) => {
                PlacementEnd::Evicted { checkpoint: None }
            }
            CallOutcome::Answered(Ok(StopReply::Throttled) | Err(_)) | CallOutcome::Lost => return,
        };
        if let Some(agent) = self.agents.get_mut(&vm) {
            agent.fences.swap_remove(&token);
        }
        let current = self.index.placement(&task).is_some_and(|placed| placed.token == token);
        if current {
            // The pending stop is kept until the end is folded, in case the append fails.
            self.record_end(&task, token, end);
        } else {
            self.pending_stops.swap_remove(&token);
        }
    }
}
