//! Reads the stored state of all jobs before an election.

use std::time::Duration;

use cactusdoor_core::unit::{Epoch, Millis, Moment, Offset};
use cactusdoor_platform::store::{ReadFault, StoreClient, StoredRecord};
use cactusdoor_queue::book::QueueBook;
use cactusdoor_queue::name::{JobId, TaskName};
use cactusdoor_queue::record::{
    ELECTION_KEY, JobEnding, OwnerElected, RequestKey, TaskKey, TaskRecord,
};
use cactusdoor_queue::spec::JobSpec;
use indexmap::IndexMap;

use crate::follower::read_newest;
use crate::topic::{REQUESTS, TASKS};

/// All that is stored, as of an offset of each topic.
#[derive(Debug, Default)]
pub struct StoredState {
    jobs: Vec<(JobId, JobSpec)>,
    cancels: Vec<JobId>,
    tasks: Vec<(TaskName, TaskRecord)>,
    endings: Vec<(JobId, JobEnding)>,
    newest: IndexMap<String, StoredRecord>,
    /// Where `keyed.requests` goes on.
    pub requests_end: Offset,
    /// Where `keyed.tasks` ends.
    pub tasks_end: Offset,
}

impl StoredState {
    /// Reads the tasks.
    pub async fn load(store: &StoreClient) -> Result<Self, ReadFault> {
        let mut state = Self::default();
        let (newest, end) = read_newest(store, TASKS).await?;
        state.tasks_end = end;
        for stored in newest {
            state.newest.insert(stored.record.key.clone(), stored);
        }
        state.catch_up(store).await?;
        Ok(state)
    }

    /// Reads the requests, after the last reading of the tasks: the request of
    /// every placement is then among them. The other way round, a job that was
    /// handed in and placed between the two would be placed a second time.
    pub async fn read_requests(&mut self, store: &StoreClient) -> Result<(), ReadFault> {
        let (requests, end) = read_newest(store, REQUESTS).await?;
        self.requests_end = end;
        for stored in requests {
            self.take_request(&stored);
        }
        Ok(())
    }

    /// Reads what was appended to `keyed.tasks` since.
    pub async fn catch_up(&mut self, store: &StoreClient) -> Result<(), ReadFault> {
        loop {
            let page = store.read(TASKS, self.tasks_end, Duration::ZERO).await?;
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

    /// Of the last election; 0 if there was none.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        let stored = self.newest.get(ELECTION_KEY);
        let value = stored.and_then(|stored| stored.record.value.as_ref());
        let elected = value.map(|value| serde_json::from_slice::<OwnerElected>(value));
        match elected {
            Some(Ok(elected)) => elected.epoch,
            Some(Err(error)) => {
                log::error!("record of the election is not used: {error}");
                0
            }
            None => 0,
        }
    }

    fn take_request(&mut self, stored: &StoredRecord) {
        let Some(value) = &stored.record.value else { return };
        match RequestKey::parse(&stored.record.key) {
            RequestKey::Cancel(job) => self.cancels.push(job),
            RequestKey::Job(job) => match serde_json::from_slice(value) {
                Ok(spec) => self.jobs.push((job, spec)),
                Err(error) => log::error!("job {job} is not used: {error}"),
            },
        }
    }

    fn take_task(&mut self, stored: &StoredRecord) {
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
            log::error!("record {} is not used: {error}", stored.record.key);
        }
    }

    /// The book of the owner of `epoch`.
    #[must_use]
    pub fn into_book(
        mut self,
        epoch: Epoch,
        grants: Moment,
        now: Moment,
        unix: Millis,
    ) -> QueueBook {
        for stored in std::mem::take(&mut self.newest).into_values() {
            self.take_task(&stored);
        }
        let mut book = QueueBook::open(epoch, grants);
        for (job, ending) in self.endings {
            book.restore_ending(&job, ending);
        }
        let mut jobs = self.jobs;
        jobs.sort_by_key(|(_, job)| job.accepted);
        for (job, spec) in jobs {
            book.submit(&job, spec);
        }
        for (name, record) in &self.tasks {
            book.restore_task(name, record, now);
        }
        book.finish_loading(unix);
        for job in self.cancels {
            book.cancel(&job, unix);
        }
        book
    }
}
