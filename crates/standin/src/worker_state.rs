//! State of the worker stand-in: its running and ended tasks, the fencing tokens
//! it has seen, usage samples and the injected fault.
//!
//! It decides whether a start is accepted and which usage sample is reported. It
//! records every start and stop in the history.

use std::collections::{HashMap, VecDeque};
use std::io;
use std::sync::Mutex;

use cactusdoor_core::job::TaskId;
use cactusdoor_core::name::CheckpointName;
use cactusdoor_core::resource::ResourceVector;
use cactusdoor_core::unit::{Millis, Token};
use cactusdoor_worker::{
    EndedTask, LeaseRenewal, RenewalReply, RunningTask, StopOrder, TaskEnd, TaskInventory,
    TaskLaunch, TaskUsage, UsageReport, WorkerStatus,
};
use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::history::{HistoryLog, UnixMicros, lock, unix_us};
use crate::task_simulator::{EndCause, SimulatedTask, TaskSimulator, TimedEnd};
use crate::worker::{StopReason, TaskChange, TaskHistory, WorkerFault, WorkerOptions};

const MICROS_PER_MILLI: u64 = 1_000;

/// Outcome of a start order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    Started,
    /// The task is already running under this token.
    Running,
    /// The token is not above the last one of the task, or belongs to another task.
    TokenStale,
    DoesNotFit,
    BadCheckpoint,
}

/// State behind the worker's HTTP interface.
pub struct WorkerState {
    options: WorkerOptions,
    fault: Mutex<WorkerFault>,
    tasks: Mutex<TaskTable>,
    history: HistoryLog<TaskHistory>,
}

struct TaskTable {
    /// Differs after each restart of the VM.
    boot: u64,
    simulator: TaskSimulator,
    /// Ends that the agent has not acknowledged.
    ended: IndexMap<Token, EndedTask>,
    /// Highest token by task.
    last_tokens: HashMap<TaskId, Token>,
    /// Usage samples, oldest first.
    samples: VecDeque<(UnixMicros, Vec<TaskUsage>)>,
}

impl WorkerState {
    pub fn open(options: WorkerOptions) -> io::Result<Self> {
        let now = unix_us();
        let simulator = TaskSimulator::new(options.capacity, options.behaviour.clone(), now);
        let tasks = TaskTable {
            boot: now,
            simulator,
            ended: IndexMap::new(),
            last_tokens: HashMap::new(),
            samples: VecDeque::new(),
        };
        let history = HistoryLog::open(options.history.as_deref())?;
        Ok(Self { options, fault: Mutex::default(), tasks: Mutex::new(tasks), history })
    }

    pub fn fault(&self) -> WorkerFault {
        lock(&self.fault).clone()
    }

    pub fn set_fault(&self, fault: WorkerFault) {
        let behaviour = fault.behaviour.clone();
        *lock(&self.fault) = fault;
        self.with_tasks(|tasks| {
            tasks.simulator.behaviour = behaviour.unwrap_or_else(|| self.options.behaviour.clone());
        });
    }

    /// Whether the answer to the current call is lost; decrements the fault's count.
    pub fn loses_answer(&self) -> bool {
        let mut fault = lock(&self.fault);
        let loses = fault.lose_answers > 0;
        fault.lose_answers = fault.lose_answers.saturating_sub(1);
        loses
    }

    /// Advances the simulation to the current time, then runs `action` on the tasks.
    fn with_tasks<T>(&self, action: impl FnOnce(&mut TaskTable) -> T) -> T {
        let mut tasks = lock(&self.tasks);
        for end in tasks.simulator.advance(unix_us()) {
            self.record_timed_end(&mut tasks, end);
        }
        action(&mut tasks)
    }

    fn record_timed_end(&self, tasks: &mut TaskTable, ended: TimedEnd) {
        let (end, reason) = match ended.cause {
            EndCause::LeaseExpired => (TaskEnd::Lapsed, StopReason::Lapsed),
            EndCause::Completed if ended.task.fails => (TaskEnd::Failed, StopReason::Failed),
            EndCause::Completed => {
                let digest = xxh3_64(ended.task.task.to_string().as_bytes());
                (TaskEnd::Finished { digest }, StopReason::Finished)
            }
        };
        self.record_end(tasks, ended.time, ended.token, ended.task, end, reason);
    }

    fn record_end(
        &self,
        tasks: &mut TaskTable,
        time: UnixMicros,
        token: Token,
        ended: SimulatedTask,
        end: TaskEnd,
        reason: StopReason,
    ) {
        self.record_change(tasks.boot, time, token, &ended, TaskChange::Stopped(reason));
        tasks.ended.insert(token, EndedTask { token, task: ended.task, end });
    }

    fn record_change(
        &self,
        boot: u64,
        time_unix_us: UnixMicros,
        token: Token,
        task: &SimulatedTask,
        change: TaskChange,
    ) {
        self.history.push(TaskHistory {
            worker: self.options.name.clone(),
            boot,
            time_unix_us,
            task: task.task.clone(),
            token,
            kind: task.kind.clone(),
            need: task.need,
            change,
        });
    }

    /// Ends tasks that have completed or whose lease has expired, and records a usage
    /// sample.
    pub fn tick(&self) {
        let lag = self.usage_lag() * MICROS_PER_MILLI;
        self.with_tasks(|tasks| {
            let now = tasks.simulator.now();
            let sample = tasks.sample();
            tasks.samples.push_back((now, sample));
            // Keeps the newest sample that is at least `lag` old at the front.
            while tasks.samples.get(1).is_some_and(|(time, _)| time + lag <= now) {
                tasks.samples.pop_front();
            }
        });
    }

    fn usage_lag(&self) -> Millis {
        lock(&self.fault).usage_lag_ms.unwrap_or(self.options.usage_lag_ms)
    }

    pub fn status(&self) -> WorkerStatus {
        self.with_tasks(|tasks| WorkerStatus {
            capacity: tasks.simulator.capacity,
            boot: tasks.boot,
        })
    }

    pub fn inventory(&self) -> TaskInventory {
        self.with_tasks(|tasks| {
            let now = tasks.simulator.now();
            let running = tasks.simulator.running.iter().map(|(&token, running)| RunningTask {
                token,
                task: running.task.clone(),
                kind: running.kind.clone(),
                need: running.need,
                throttle_percent: running.throttle_percent,
                lease_left_ms: running.lease_end.saturating_sub(now) / MICROS_PER_MILLI,
            });
            let running = running.collect();
            TaskInventory { running, ended: tasks.ended.values().cloned().collect() }
        })
    }

    /// Starts a task; its lease runs from `received`.
    pub fn start(&self, token: Token, launch: TaskLaunch, received: UnixMicros) -> StartOutcome {
        let fault = self.fault();
        self.with_tasks(|tasks| {
            if let Some(running) = tasks.simulator.running.get(&token) {
                let same = running.task == launch.task;
                return if same { StartOutcome::Running } else { StartOutcome::TokenStale };
            }
            if tasks.last_tokens.get(&launch.task).is_some_and(|&last| token <= last) {
                return StartOutcome::TokenStale;
            }
            let committed = tasks.simulator.committed();
            if !tasks.simulator.capacity.saturating_sub(committed).can_fit(launch.need) {
                return StartOutcome::DoesNotFit;
            }
            let Some(done_us) = checkpoint_progress_us(launch.checkpoint.as_ref()) else {
                return StartOutcome::BadCheckpoint;
            };
            let task = simulated_task(tasks, &launch, done_us, received, &fault);
            let change = TaskChange::Started { checkpoint: launch.checkpoint };
            self.record_change(tasks.boot, tasks.simulator.now(), token, &task, change);
            tasks.last_tokens.insert(launch.task, token);
            tasks.simulator.running.insert(token, task);
            StartOutcome::Started
        })
    }

    /// Extends the leases of running tasks; returns the tokens that are not running.
    pub fn renew(&self, renewal: &LeaseRenewal, received: UnixMicros) -> RenewalReply {
        let lease_end = lease_end(received, renewal.lease_ms);
        self.with_tasks(|tasks| {
            let mut lapsed = Vec::new();
            for &token in &renewal.tokens {
                match tasks.simulator.running.get_mut(&token) {
                    Some(running) => running.lease_end = lease_end,
                    None => lapsed.push(token),
                }
            }
            RenewalReply { lapsed }
        })
    }

    /// Stops a task and returns its end; `None` if the token is unknown.
    pub fn stop(&self, token: Token, order: StopOrder) -> Option<TaskEnd> {
        self.with_tasks(|tasks| {
            if let Some(stopped) = tasks.simulator.running.shift_remove(&token) {
                let checkpoint =
                    order.checkpoint.then(|| checkpoint_name(token, stopped.done_us)).flatten();
                let end = TaskEnd::Stopped { checkpoint: checkpoint.clone() };
                let reason = StopReason::Ordered { checkpoint };
                let now = tasks.simulator.now();
                self.record_end(tasks, now, token, stopped, end, reason);
            }
            tasks.ended.get(&token).map(|ended| ended.end.clone())
        })
    }

    /// Sets the speed of a task in percent; `false` if it is not running.
    pub fn throttle(&self, token: Token, percent: u8) -> bool {
        self.with_tasks(|tasks| match tasks.simulator.running.get_mut(&token) {
            Some(running) => {
                running.throttle_percent = percent;
                true
            }
            None => false,
        })
    }

    /// The newest usage sample that is at least the configured lag old.
    pub fn usage(&self) -> UsageReport {
        let lag_ms = self.usage_lag();
        self.with_tasks(|tasks| {
            let latest = tasks.simulator.now().saturating_sub(lag_ms * MICROS_PER_MILLI);
            let sample = tasks.samples.iter().rev().find(|(time, _)| *time <= latest);
            let tasks = sample.map(|(_, usage)| usage.clone()).unwrap_or_default();
            UsageReport { lag_ms, tasks }
        })
    }

    /// Removes the ends of these tokens.
    pub fn acknowledge(&self, tokens: &[Token]) {
        self.with_tasks(|tasks| tasks.ended.retain(|token, _| !tokens.contains(token)));
    }

    /// Ends all tasks as a crash does, and discards ends, tokens and samples.
    pub fn restart_vm(&self) {
        self.with_tasks(|tasks| {
            let now = tasks.simulator.now();
            for (token, task) in std::mem::take(&mut tasks.simulator.running) {
                let change = TaskChange::Stopped(StopReason::Crashed);
                self.record_change(tasks.boot, now, token, &task, change);
            }
            tasks.boot += 1;
            tasks.ended.clear();
            tasks.last_tokens.clear();
            tasks.samples.clear();
        });
    }

    pub fn history(&self) -> Vec<TaskHistory> {
        self.with_tasks(|_| self.history.records())
    }
}

impl TaskTable {
    fn sample(&self) -> Vec<TaskUsage> {
        let usage = self.simulator.running.iter().map(|(&token, running)| {
            let factor = self.simulator.behaviour.usage_percent(&running.kind) / 100.0;
            let throttle = f64::from(running.throttle_percent) / 100.0;
            let used = ResourceVector {
                processors: (running.need.processors as f64 * factor * throttle) as u64,
                memory: (running.need.memory as f64 * factor) as u64,
                accelerators: running.need.accelerators,
            };
            let speed_percent = self.simulator.speed_percent(token).round() as u8;
            TaskUsage { token, used, speed_percent }
        });
        usage.collect()
    }
}

fn simulated_task(
    tasks: &TaskTable,
    launch: &TaskLaunch,
    done_us: f64,
    received: UnixMicros,
    fault: &WorkerFault,
) -> SimulatedTask {
    let fails = fault.fail_tasks || fault.fail_kinds.contains(&launch.kind);
    let percent = tasks.simulator.behaviour.run_time_percent(&launch.kind);
    let total_us = if fails {
        Some(done_us + (fault.fail_after_ms * MICROS_PER_MILLI) as f64)
    } else if launch.endless {
        None
    } else {
        Some((launch.run_time_ms * MICROS_PER_MILLI) as f64 * percent / 100.0)
    };
    SimulatedTask {
        task: launch.task.clone(),
        kind: launch.kind.clone(),
        need: launch.need,
        throttle_percent: 100,
        lease_end: lease_end(received, launch.lease_ms),
        done_us,
        total_us,
        fails,
    }
}

/// End of a lease that was received at `received`.
fn lease_end(received: UnixMicros, lease: Millis) -> UnixMicros {
    received.saturating_add(lease.saturating_mul(MICROS_PER_MILLI))
}

/// Checkpoint name that contains the progress, because any worker may resume the task.
fn checkpoint_name(token: Token, done_us: f64) -> Option<CheckpointName> {
    CheckpointName::new(&format!("checkpoint-{token}-{}", done_us as u64)).ok()
}

/// Progress in microseconds that a checkpoint contains, 0 without one; `None` if its
/// name has no progress.
fn checkpoint_progress_us(checkpoint: Option<&CheckpointName>) -> Option<f64> {
    let Some(checkpoint) = checkpoint else { return Some(0.0) };
    let (_, done) = checkpoint.as_str().rsplit_once('-')?;
    done.parse().ok().map(|done: u64| done as f64)
}
