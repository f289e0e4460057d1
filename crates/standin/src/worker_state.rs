//! What one worker stand-in knows of its tasks.

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
use crate::task_clock::{EndCause, SimulatedTask, TaskClock, TimedEnd};
use crate::worker::{StopReason, TaskChange, TaskHistory, WorkerFault, WorkerOptions};

const MICROS_PER_MILLI: u64 = 1_000;

/// Result of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartVerdict {
    Started,
    Running,
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
    boot: u64,
    clock: TaskClock,
    ended: IndexMap<Token, EndedTask>,
    /// Highest token used for each task.
    used: HashMap<TaskId, Token>,
    samples: VecDeque<(UnixMicros, Vec<TaskUsage>)>,
}

impl WorkerState {
    pub fn open(options: WorkerOptions) -> io::Result<Self> {
        let now = unix_us();
        let clock = TaskClock::new(options.capacity, options.behaviour.clone(), now);
        let tasks = TaskTable {
            boot: now,
            clock,
            ended: IndexMap::new(),
            used: HashMap::new(),
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
            tasks.clock.behaviour = behaviour.unwrap_or_else(|| self.options.behaviour.clone());
        });
    }

    /// Whether the answer to the present call is to be lost.
    pub fn loses_answer(&self) -> bool {
        let mut fault = lock(&self.fault);
        let loses = fault.lose_answers > 0;
        fault.lose_answers = fault.lose_answers.saturating_sub(1);
        loses
    }

    /// Runs `action` on the tasks as they are now.
    fn with_tasks<T>(&self, action: impl FnOnce(&mut TaskTable) -> T) -> T {
        let mut tasks = lock(&self.tasks);
        for end in tasks.clock.advance(unix_us()) {
            self.enter_timed_end(&mut tasks, end);
        }
        action(&mut tasks)
    }

    fn enter_timed_end(&self, tasks: &mut TaskTable, ended: TimedEnd) {
        let (end, reason) = match ended.cause {
            EndCause::LeaseExpired => (TaskEnd::Lapsed, StopReason::Lapsed),
            EndCause::Completed if ended.task.fails => (TaskEnd::Failed, StopReason::Failed),
            EndCause::Completed => {
                let digest = xxh3_64(ended.task.task.to_string().as_bytes());
                (TaskEnd::Finished { digest }, StopReason::Finished)
            }
        };
        self.enter_end(tasks, ended.time, ended.token, ended.task, end, reason);
    }

    fn enter_end(
        &self,
        tasks: &mut TaskTable,
        time: UnixMicros,
        token: Token,
        ended: SimulatedTask,
        end: TaskEnd,
        reason: StopReason,
    ) {
        self.record(tasks.boot, time, token, &ended, TaskChange::Stopped(reason));
        tasks.ended.insert(token, EndedTask { token, task: ended.task, end });
    }

    fn record(
        &self,
        boot: u64,
        time_unix_us: UnixMicros,
        token: Token,
        subject: &SimulatedTask,
        change: TaskChange,
    ) {
        self.history.push(TaskHistory {
            worker: self.options.name.clone(),
            boot,
            time_unix_us,
            task: subject.task.clone(),
            token,
            kind: subject.kind.clone(),
            need: subject.need,
            change,
        });
    }

    /// Enforces leases and samples usage.
    pub fn tick(&self) {
        let lag = self.usage_lag() * MICROS_PER_MILLI;
        self.with_tasks(|tasks| {
            let now = tasks.clock.now();
            let sample = tasks.sample();
            tasks.samples.push_back((now, sample));
            // The newest sample that is old enough stays in front.
            while tasks.samples.get(1).is_some_and(|(time, _)| time + lag <= now) {
                tasks.samples.pop_front();
            }
        });
    }

    fn usage_lag(&self) -> Millis {
        lock(&self.fault).usage_lag_ms.unwrap_or(self.options.usage_lag_ms)
    }

    pub fn status(&self) -> WorkerStatus {
        self.with_tasks(|tasks| WorkerStatus { capacity: tasks.clock.capacity, boot: tasks.boot })
    }

    pub fn inventory(&self) -> TaskInventory {
        self.with_tasks(|tasks| {
            let now = tasks.clock.now();
            let running = tasks.clock.running.iter().map(|(&token, running)| RunningTask {
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

    /// Starts a task; the lease counts from `received`.
    pub fn start(&self, token: Token, launch: TaskLaunch, received: UnixMicros) -> StartVerdict {
        let fault = self.fault();
        self.with_tasks(|tasks| {
            if let Some(running) = tasks.clock.running.get(&token) {
                let same = running.task == launch.task;
                return if same { StartVerdict::Running } else { StartVerdict::TokenStale };
            }
            if tasks.used.get(&launch.task).is_some_and(|&used| token <= used) {
                return StartVerdict::TokenStale;
            }
            let committed = tasks.clock.committed();
            if !tasks.clock.capacity.saturating_sub(committed).holds(launch.need) {
                return StartVerdict::DoesNotFit;
            }
            let Some(done_us) = checkpointed_us(launch.checkpoint.as_ref()) else {
                return StartVerdict::BadCheckpoint;
            };
            let task = simulated(tasks, &launch, done_us, received, &fault);
            let change = TaskChange::Started { checkpoint: launch.checkpoint };
            self.record(tasks.boot, tasks.clock.now(), token, &task, change);
            tasks.used.insert(launch.task, token);
            tasks.clock.running.insert(token, task);
            StartVerdict::Started
        })
    }

    pub fn renew(&self, renewal: &LeaseRenewal, received: UnixMicros) -> RenewalReply {
        let lease_end = lease_end(received, renewal.lease_ms);
        self.with_tasks(|tasks| {
            let mut lapsed = Vec::new();
            for &token in &renewal.tokens {
                match tasks.clock.running.get_mut(&token) {
                    Some(running) => running.lease_end = lease_end,
                    None => lapsed.push(token),
                }
            }
            RenewalReply { lapsed }
        })
    }

    /// Stops a task and tells how it ended; `None` if the token is unknown.
    pub fn stop(&self, token: Token, order: StopOrder) -> Option<TaskEnd> {
        self.with_tasks(|tasks| {
            if let Some(stopped) = tasks.clock.running.shift_remove(&token) {
                let checkpoint =
                    order.checkpoint.then(|| checkpoint_name(token, stopped.done_us)).flatten();
                let end = TaskEnd::Stopped { checkpoint: checkpoint.clone() };
                let reason = StopReason::Ordered { checkpoint };
                let now = tasks.clock.now();
                self.enter_end(tasks, now, token, stopped, end, reason);
            }
            tasks.ended.get(&token).map(|ended| ended.end.clone())
        })
    }

    /// `false` if the task does not run.
    pub fn throttle(&self, token: Token, percent: u8) -> bool {
        self.with_tasks(|tasks| match tasks.clock.running.get_mut(&token) {
            Some(running) => {
                running.throttle_percent = percent;
                true
            }
            None => false,
        })
    }

    pub fn usage(&self) -> UsageReport {
        let lag_ms = self.usage_lag();
        self.with_tasks(|tasks| {
            let newest = tasks.clock.now().saturating_sub(lag_ms * MICROS_PER_MILLI);
            let sample = tasks.samples.iter().rev().find(|(time, _)| *time <= newest);
            let tasks = sample.map(|(_, usage)| usage.clone()).unwrap_or_default();
            UsageReport { lag_ms, tasks }
        })
    }

    pub fn acknowledge(&self, tokens: &[Token]) {
        self.with_tasks(|tasks| tasks.ended.retain(|token, _| !tokens.contains(token)));
    }

    pub fn restart_vm(&self) {
        self.with_tasks(|tasks| {
            let now = tasks.clock.now();
            for (token, task) in std::mem::take(&mut tasks.clock.running) {
                let change = TaskChange::Stopped(StopReason::Crashed);
                self.record(tasks.boot, now, token, &task, change);
            }
            tasks.boot += 1;
            tasks.ended.clear();
            tasks.used.clear();
            tasks.samples.clear();
        });
    }

    pub fn history(&self) -> Vec<TaskHistory> {
        self.with_tasks(|_| self.history.records())
    }
}

impl TaskTable {
    fn sample(&self) -> Vec<TaskUsage> {
        let usage = self.clock.running.iter().map(|(&token, running)| {
            let factor = self.clock.behaviour.usage_percent(&running.kind) / 100.0;
            let throttle = f64::from(running.throttle_percent) / 100.0;
            let used = ResourceVector {
                processors: (running.need.processors as f64 * factor * throttle) as u64,
                memory: (running.need.memory as f64 * factor) as u64,
                accelerators: running.need.accelerators,
            };
            let speed_percent = self.clock.speed_percent(token).round() as u8;
            TaskUsage { token, used, speed_percent }
        });
        usage.collect()
    }
}

fn simulated(
    tasks: &TaskTable,
    launch: &TaskLaunch,
    done_us: f64,
    received: UnixMicros,
    fault: &WorkerFault,
) -> SimulatedTask {
    let fails = fault.fail_tasks || fault.fail_kinds.contains(&launch.kind);
    let percent = tasks.clock.behaviour.run_time_percent(&launch.kind);
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

fn lease_end(received: UnixMicros, lease: Millis) -> UnixMicros {
    received.saturating_add(lease.saturating_mul(MICROS_PER_MILLI))
}

/// A name that carries the progress, because any worker may resume the task.
fn checkpoint_name(token: Token, done_us: f64) -> Option<CheckpointName> {
    CheckpointName::new(&format!("checkpoint-{token}-{}", done_us as u64)).ok()
}

/// Progress held by a checkpoint; `None` if it is not one of this stand-in.
fn checkpointed_us(checkpoint: Option<&CheckpointName>) -> Option<f64> {
    let Some(checkpoint) = checkpoint else { return Some(0.0) };
    let (_, done) = checkpoint.as_str().rsplit_once('-')?;
    done.parse().ok().map(|done: u64| done as f64)
}
