//! The stored state of all jobs, as a candidate reads it around its election.
//!
//! Turns the stored records into the scheduler of the new owner. The requests must be read
//! after the last read of the tasks.

use std::time::Duration;

use cactusdoor_core::unit::{Epoch, Millis, Moment, Offset};
use cactusdoor_platform::store::{ReadError, StoreClient, StoredRecord};
use cactusdoor_queue::name::{JobId, TaskName};
use cactusdoor_queue::record::{
    ELECTION_KEY, JobEnding, OwnerElected, RequestKey, TaskKey, TaskRecord,
};
use cactusdoor_queue::scheduler::QueueScheduler;
use cactusdoor_queue::spec::JobSpec;
use indexmap::IndexMap;

use crate::follower::{read_newest, warn_skipped};
use crate::odd_entry;
use crate::topic::{REQUESTS, TASKS};

/// Highest epoch that a record may name: far above the Unix time, and half of what JSON carries
/// exactly, so that epochs can be counted on.
pub const MAX_EPOCH: Epoch = 1 << 52;

/// Stored records, as of an offset of each topic.
#[derive(Debug, Default)]
pub struct StoredState {
    jobs: Vec<(JobId, JobSpec)>,
    cancels: Vec<JobId>,
    tasks: Vec<(TaskName, TaskRecord)>,
    endings: Vec<(JobId, JobEnding)>,
    newest: IndexMap<String, StoredRecord>,
    /// Offset of the next record of `keyed.requests`.
    pub requests_end: Offset,
    /// Offset of the next record of `keyed.tasks`.
    pub tasks_end: Offset,
}

impl StoredState {
    /// Reads `keyed.tasks`.
    pub async fn load(store: &StoreClient) -> Result<Self, ReadError> {
        let mut state = Self::default();
        let (newest, end) = read_newest(store, TASKS).await?;
        state.tasks_end = end;
        for stored in newest {
            state.newest.insert(stored.record.key.clone(), stored);
        }
        state.catch_up(store).await?;
        Ok(state)
    }

    /// Reads the requests. Call it after the last read of the tasks: the requests then include
    /// the job of every placement. In the other order, a job that was submitted and placed between the
    /// two reads would be placed a second time.
    pub async fn read_requests(&mut self, store: &StoreClient) -> Result<(), ReadError> {
        let (requests, end) = read_newest(store, REQUESTS).await?;
        self.requests_end = end;
        for stored in requests {
            self.collect_request(&stored);
        }
        Ok(())
    }

    /// Reads the records appended to `keyed.tasks` since the last read.
    pub async fn catch_up(&mut self, store: &StoreClient) -> Result<(), ReadError> {
        loop {
            let page = store.read(TASKS, self.tasks_end, Duration::ZERO).await?;
            warn_skipped(TASKS, page.skipped);
            for stored in page.records {
                let known = self.newest.get(&stored.record.key).map(|known| known.offset);
                if known.is_none_or(|known| known < stored.offset) {
                    self.newest.insert(stored.record.key.clone(), stored);
                }
            }
            self.tasks_end = page.next;
            if page.next >= page.end {
                return Ok(());
            }
        }
    }

    /// Epoch of the last election, 0 if there was none; `None` if its record is unreadable.
    #[must_use]
    pub fn epoch(&self) -> Option<Epoch> {
        let stored = self.newest.get(ELECTION_KEY);
        let Some(value) = stored.and_then(|stored| stored.record.value.as_ref()) else {
            return Some(0);
        };
        match serde_json::from_slice::<OwnerElected>(value) {
            Ok(elected) if elected.epoch <= MAX_EPOCH => Some(elected.epoch),
            Ok(elected) => {
                odd_entry::warn("the elections", format!("epoch {}", elected.epoch));
                None
            }
            Err(error) => {
                odd_entry::warn("the elections", error);
                None
            }
        }
    }

    fn collect_request(&mut self, stored: &StoredRecord) {
        let Some(value) = &stored.record.value else { return };
        match RequestKey::parse(&stored.record.key) {
            RequestKey::Cancel(job) => self.cancels.push(job),
            RequestKey::Job(job) => match JobSpec::decode(value) {
                Ok(spec) => self.jobs.push((job, spec)),
                Err(error) => odd_entry::warn("the requests", format!("{job}: {error}")),
            },
        }
    }

    fn collect_task(&mut self, stored: &StoredRecord) {
        let Some(value) = &stored.record.value else { return };
        let parsed = match TaskKey::parse(&stored.record.key) {
            TaskKey::Election => Ok(()),
            TaskKey::Task(name) => {
                serde_json::from_slice(value).map(|record| self.tasks.push((name, record)))
            }
            TaskKey::Job(job) => {
                serde_json::from_slice(value).map(|ending| self.endings.push((job, ending)))
            }
        };
        if let Err(error) = parsed {
            odd_entry::warn("the tasks", format!("{}: {error}", stored.record.key));
        }
    }

    /// The scheduler of the owner of `epoch`; leases of earlier owners end by `leases_end`.
    #[must_use]
    pub fn into_scheduler(
        mut self,
        epoch: Epoch,
        leases_end: Moment,
        now: Moment,
        unix: Millis,
    ) -> QueueScheduler {
        for stored in std::mem::take(&mut self.newest).into_values() {
            self.collect_task(&stored);
        }
        let mut scheduler = QueueScheduler::open(epoch, leases_end);
        for (job, ending) in self.endings {
            scheduler.restore_ending(&job, ending);
        }
        let mut jobs = self.jobs;
        jobs.sort_by_key(|(_, job)| job.accepted);
        for (job, spec) in jobs {
            scheduler.submit(&job, spec);
        }
        for (name, record) in &self.tasks {
            scheduler.restore_task(name, record, now);
        }
        scheduler.finish_loading(unix);
        for job in self.cancels {
            scheduler.cancel(&job, unix);
        }
        scheduler
    }
}
