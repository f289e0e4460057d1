//! What an entry knows of the jobs, as the owner tells it.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cactusdoor_core::unit::Epoch;
use cactusdoor_peer::queue::{FindReply, WatchReply, WatchRequest};
use cactusdoor_queue::name::{JobId, QueueName};
use cactusdoor_queue::report::JobState;
use indexmap::IndexMap;
use tokio::sync::{mpsc, oneshot};

use crate::finder::OwnerFinder;
use crate::lane::pause;
use crate::link::OwnerLink;

/// Longest wait for a change; pending figures are at most this old.
const WATCH_WAIT: u64 = 700;
/// Pause after a call without an answer, in ms.
const RETRY_PAUSE: (u64, u64) = (100, 250);
/// Jobs of which an entry keeps the state: some minutes of a busy site.
const MAX_JOBS: usize = 50_000;

#[derive(Debug, Default)]
struct WatchedJobs {
    states: IndexMap<JobId, JobState>,
    pending: IndexMap<QueueName, u64>,
    /// Whether an owner that was confirmed recently has told its pending figures.
    told: bool,
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

    /// Notes a job that was stored here and that the owner may not have read yet.
    pub fn accept(&self, job: &JobId) {
        self.lock().states.entry(job.clone()).or_insert(JobState::Queued);
    }

    /// Accepted jobs of which no task has been started; `None` before an owner
    /// has told.
    #[must_use]
    pub fn pending(&self, queue: &str) -> Option<u64> {
        let jobs = self.lock();
        jobs.told.then(|| jobs.pending.get(queue).copied().unwrap_or_default())
    }

    /// Takes up the owner's answer; a state that is known is never lowered.
    pub fn take(&self, reply: WatchReply) {
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
        jobs.told = reply.confirmed;
    }
}

/// Asks the owner for a job that the entry does not know.
#[derive(Debug)]
pub struct FindCall {
    pub job: JobId,
    pub limit: Duration,
    pub reply: oneshot::Sender<Option<FindReply>>,
}

/// Watches the owner from now on.
pub fn spawn(
    finder: Rc<OwnerFinder>,
    states: JobStates,
    mut finds: mpsc::UnboundedReceiver<FindCall>,
) {
    let link = Rc::new(OwnerLink::default());
    let watching = JobWatch {
        finder: Rc::clone(&finder),
        link: Rc::clone(&link),
        states,
        position: Cell::default(),
    };
    actix_rt::spawn(watching.run());
    actix_rt::spawn(async move {
        while let Some(call) = finds.recv().await {
            actix_rt::spawn(find(Rc::clone(&finder), Rc::clone(&link), call));
        }
    });
}

async fn find(finder: Rc<OwnerFinder>, link: Rc<OwnerLink>, call: FindCall) {
    let answer = match finder.owner() {
        Some(beacon) => link.find(beacon.address, call.job, call.limit).await.ok(),
        None => None,
    };
    if call.reply.send(answer).is_err() {
        log::debug!("a caller gave up a query");
    }
}

struct JobWatch {
    finder: Rc<OwnerFinder>,
    link: Rc<OwnerLink>,
    states: JobStates,
    /// Epoch, next change and number of the pending figures.
    position: Cell<(Epoch, u64, u64)>,
}

impl JobWatch {
    async fn run(self) {
        loop {
            if self.watch().await {
                continue;
            }
            if let Err(fault) = self.finder.refresh().await {
                log::debug!("could not look for the owner: {fault}");
            }
            pause(RETRY_PAUSE).await;
        }
    }

    async fn watch(&self) -> bool {
        let Some(beacon) = self.finder.owner() else { return false };
        let (epoch, from, pending) = self.position.get();
        let request = WatchRequest { epoch, from, pending, wait: WATCH_WAIT };
        match self.link.watch(beacon.address, request).await {
            Ok(Some(reply)) if reply.epoch >= epoch => {
                self.position.set((reply.epoch, reply.next, reply.pending.0));
                // An owner that is cut off from the store may have been replaced.
                let confirmed = reply.confirmed;
                self.states.take(reply);
                confirmed
            }
            _ => false,
        }
    }
}
