//! Job states and pending counts that an entry receives from the owner.
//!
//! Decides which states an entry returns without a query to the owner. A job that has ended
//! keeps its state. Pending counts are returned only while the store confirms the owner's
//! appends, and only for a short time after the owner's last answer.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cactusdoor_core::unit::{Epoch, Millis, Moment};
use cactusdoor_node::clock::MonotonicClock;
use cactusdoor_peer::queue::{BacklogReply, FindReply, WatchReply, WatchRequest};
use cactusdoor_queue::backlog::{AcceptedWork, Admission, Backlog, admit};
use cactusdoor_queue::config::QueueConfig;
use cactusdoor_queue::name::{JobId, QueueName};
use cactusdoor_queue::report::JobState;
use cactusdoor_queue::spec::JobSpec;
use indexmap::{IndexMap, IndexSet};
use tokio::sync::{Semaphore, mpsc, oneshot};

use crate::appender::pause;
use crate::finder::{OwnerFinder, OwnerHeartbeat};
use crate::owner_client::{CallError, OwnerClient};

/// Longest wait for a change, in ms; the pending counts of an owner that answers are hardly
/// older.
const WATCH_WAIT: Millis = 700;
/// Greatest age of a pending count, ms: the bound that is promised to callers.
const MAX_PENDING_AGE: Millis = 2_000;
/// Pause after a call without an answer, in ms.
const RETRY_PAUSE: (u64, u64) = (100, 250);
/// Most jobs whose state an entry keeps: those of a few minutes at high load.
const MAX_JOBS: usize = 50_000;
/// Most accepted jobs that are added to a backlog: those of its greatest age at high load.
const MAX_ACCEPTED: usize = 1_000;

/// Queries to the owner at once, and as many that wait: as many as callers have connections.
pub const MAX_FINDS: usize = 2_000;

/// Jobs that are dropped together: dropping the oldest one moves all others.
const DROPPED_JOBS: usize = 1_000;

#[derive(Debug, Default)]
struct WatchedJobs {
    states: IndexMap<JobId, JobState>,
    pending: IndexMap<QueueName, u64>,
    /// The newest backlog and its arrival.
    backlog: Option<(Backlog, Moment)>,
    /// Jobs that this entry has tried to store: some may be stored without an answer.
    attempted: IndexSet<JobId>,
    /// Work accepted here since then.
    accepted: Vec<AcceptedWork>,
    /// Arrival of the last answer; `None` if the store had not recently confirmed its owner.
    confirmed: Option<Moment>,
}

/// States of jobs; shared with the threads that answer callers.
#[derive(Clone, Debug, Default)]
pub struct JobStates {
    jobs: Arc<Mutex<WatchedJobs>>,
}

impl JobStates {
    fn lock(&self) -> MutexGuard<'_, WatchedJobs> {
        self.jobs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    #[must_use]
    pub fn get(&self, job: &str) -> Option<JobState> {
        self.lock().states.get(job).copied()
    }

    /// Records a job that was stored here and that the owner may not have read yet.
    pub fn accept(&self, job: &JobId) {
        let mut jobs = self.lock();
        jobs.states.entry(job.clone()).or_insert(JobState::Queued);
        // Without an answer of an owner, no other call drops old states.
        if jobs.states.len() > MAX_JOBS + DROPPED_JOBS {
            drop(jobs.states.drain(..DROPPED_JOBS));
        }
    }

    /// Accepted jobs of which no task has been started; `None` without a recent answer of a
    /// confirmed owner.
    #[must_use]
    pub fn pending(&self, queue: &str, now: Moment) -> Option<u64> {
        let jobs = self.lock();
        let is_recent = jobs.confirmed.is_some_and(|at| now <= at.after(MAX_PENDING_AGE));
        is_recent.then(|| jobs.pending.get(queue).copied().unwrap_or_default())
    }

    /// Replaces the backlog, which arrived at `now`.
    pub fn set_backlog(&self, backlog: Option<Backlog>, now: Moment) {
        let mut jobs = self.lock();
        jobs.backlog = backlog.map(|backlog| (backlog, now));
        jobs.accepted.clear();
    }

    /// The newest backlog and its age, ms.
    #[must_use]
    pub fn backlog(&self, now: Moment) -> Option<(Backlog, Millis)> {
        let jobs = self.lock();
        let (backlog, at) = jobs.backlog.as_ref()?;
        Some((backlog.clone(), now.0.saturating_sub(at.0)))
    }

    /// Records that this entry is about to store a job.
    pub fn attempt(&self, job: &JobId) {
        let mut jobs = self.lock();
        jobs.attempted.insert(job.clone());
        if jobs.attempted.len() > MAX_JOBS + DROPPED_JOBS {
            drop(jobs.attempted.drain(..DROPPED_JOBS));
        }
    }

    /// Whether the job is known or may have been stored by this entry: it may run.
    #[must_use]
    pub fn may_run(&self, job: &JobId) -> bool {
        let jobs = self.lock();
        jobs.states.contains_key(job) || jobs.attempted.contains(job)
    }

    /// Decides whether a job is accepted, and counts an accepted one; returns the age of the
    /// backlog too, ms. A job is counted before it is stored, as others are decided meanwhile.
    #[must_use]
    pub fn admit(&self, spec: &JobSpec, queue: &QueueConfig, now: Moment) -> (Admission, Millis) {
        let mut jobs = self.lock();
        let jobs = &mut *jobs;
        let Some((backlog, at)) = &jobs.backlog else { return (Admission::Accept, 0) };
        let age = now.0.saturating_sub(at.0);
        let admission = admit(backlog, age, spec, queue, &jobs.accepted);
        // An owner that is lost sends no further backlog; then none is used.
        if admission == Admission::Accept && jobs.accepted.len() < MAX_ACCEPTED {
            let accepted = AcceptedWork::of(spec, queue);
            jobs.accepted.extend((accepted.work > 0).then_some(accepted));
        }
        (admission, age)
    }

    /// Applies the owner's answer; the state of a job never returns to an earlier one.
    pub fn apply(&self, reply: WatchReply, now: Moment) {
        let mut jobs = self.lock();
        for (job, state) in reply.states {
            let known = jobs.states.entry(job).or_insert(state);
            if !known.has_ended() && state != JobState::Queued {
                *known = state;
            }
        }
        while jobs.states.len() > MAX_JOBS {
            jobs.states.shift_remove_index(0);
        }
        if let (_, Some(pending)) = reply.pending {
            jobs.pending = pending.into_iter().collect();
        }
        jobs.confirmed = reply.confirmed.then_some(now);
    }
}

/// A query to the owner for a job that the entry does not know.
#[derive(Debug)]
pub struct FindCall {
    pub job: JobId,
    pub limit: Duration,
    pub reply: oneshot::Sender<Option<FindReply>>,
}

/// Starts the watch of job states and the queries to the owner.
pub fn spawn(
    finder: Rc<OwnerFinder>,
    clock: MonotonicClock,
    states: JobStates,
    mut finds: mpsc::Receiver<FindCall>,
) {
    let client = Rc::new(OwnerClient::default());
    let watching = JobWatch {
        finder: Rc::clone(&finder),
        client: Rc::clone(&client),
        clock,
        states,
        position: Cell::default(),
    };
    actix_rt::spawn(watching.run());
    actix_rt::spawn(async move {
        let permits = Arc::new(Semaphore::new(MAX_FINDS));
        while let Some(call) = finds.recv().await {
            let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
            let (finder, client) = (Rc::clone(&finder), Rc::clone(&client));
            actix_rt::spawn(async move {
                find(finder, client, call).await;
                drop(permit);
            });
        }
    });
}

async fn find(finder: Rc<OwnerFinder>, client: Rc<OwnerClient>, call: FindCall) {
    let answer = match finder.owner() {
        Some(heartbeat) => client.find(heartbeat.address, call.job, call.limit).await.ok(),
        None => None,
    };
    if call.reply.send(answer).is_err() {
        log::debug!("a caller closed its query before the answer");
    }
}

struct JobWatch {
    finder: Rc<OwnerFinder>,
    client: Rc<OwnerClient>,
    clock: MonotonicClock,
    states: JobStates,
    /// Epoch, index of the next change and number of the pending counts.
    position: Cell<(Epoch, u64, u64)>,
}

impl JobWatch {
    async fn run(self) {
        loop {
            if self.watch().await {
                continue;
            }
            if let Err(error) = self.finder.refresh().await {
                log::debug!("could not read the owner's heartbeat: {error}");
            }
            pause(RETRY_PAUSE).await;
        }
    }

    async fn watch(&self) -> bool {
        let Some(heartbeat) = self.finder.owner() else { return false };
        let (epoch, from, pending) = self.position.get();
        let request = WatchRequest { epoch, from, pending, wait: WATCH_WAIT };
        match self.exchange(&heartbeat, request).await {
            Ok(Some(reply)) if reply.epoch >= epoch => {
                self.position.set((reply.epoch, reply.next, reply.pending.0));
                // An owner that cannot reach the store may have been replaced.
                let confirmed = reply.confirmed;
                self.states.apply(reply, self.clock.now());
                confirmed
            }
            _ => false,
        }
    }

    /// Sends a watch, and keeps the backlog of the answer if the owner sends one.
    async fn exchange(
        &self,
        heartbeat: &OwnerHeartbeat,
        request: WatchRequest,
    ) -> Result<Option<WatchReply>, CallError> {
        if !heartbeat.backlogs {
            return self.client.watch(heartbeat.address, request).await;
        }
        let answer = self.client.watch_backlog(heartbeat.address, request).await?;
        Ok(answer.map(|BacklogReply { watch, backlog }| {
            self.states.set_backlog(backlog, self.clock.now());
            watch
        }))
    }
}
